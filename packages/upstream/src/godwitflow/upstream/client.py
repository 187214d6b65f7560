"""The interface to an upstream, whatever its dialect."""

import typing

from godwitflow.model import ids
from godwitflow.policy import jobs


class Client(typing.Protocol):
    """Calls upstreams, one or more jobs a call."""

    async def call(
        self,
        upstream: ids.UpstreamId,
        batch: tuple[jobs.Job, ...],
        timeout_ms: float,
        handle: "Handle",
    ) -> jobs.CallResult:
        """Make one call; never raises, the result says what happened."""
        ...

    def cancel(
        self, upstream: ids.UpstreamId, batch: tuple[jobs.Job, ...]
    ) -> None:
        """Tell the upstream that these jobs are no longer wanted."""
        ...


class Handle:
    """Lets a dispatcher abort a call whose connection has gone silent."""

    def __init__(self) -> None:
        self._abort: typing.Callable[[], None] | None = None

    def bind(self, abort: typing.Callable[[], None] | None) -> None:
        """Set what an abort does; None once the call is over."""
        self._abort = abort

    def abort(self) -> None:
        """Give the call up and close its connection."""
        if self._abort is not None:
            self._abort()
