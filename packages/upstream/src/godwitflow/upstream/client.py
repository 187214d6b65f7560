"""The interface to upstreams, independent of their protocol."""

import typing

from godwitflow.model import ids
from godwitflow.policy import jobs


class Client(typing.Protocol):
    """Calls upstreams, with one or more jobs per call."""

    async def call(
        self,
        upstream: ids.UpstreamId,
        batch: tuple[jobs.Job, ...],
        timeout_ms: float,
        handle: "CallHandle",
    ) -> jobs.CallResult:
        """Make one call of at most ``timeout_ms``.

        Raises no exception: failures are reported in the result.
        """
        ...

    def cancel(
        self, upstream: ids.UpstreamId, batch: tuple[jobs.Job, ...]
    ) -> None:
        """Ask the upstream to stop working on these jobs."""
        ...


class CallHandle:
    """Lets a dispatcher abort a call whose connection is unresponsive."""

    def __init__(self) -> None:
        self._abort: typing.Callable[[], None] | None = None

    def bind(self, abort: typing.Callable[[], None] | None) -> None:
        """Set the function that aborts the call; None after the call."""
        self._abort = abort

    def abort(self) -> None:
        """Abort the call, if it is in flight, and close its connection."""
        if self._abort is not None:
            self._abort()
