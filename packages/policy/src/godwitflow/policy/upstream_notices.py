"""What an upstream says of itself in its responses, and what follows.

An upstream that shuts down says so, and one that turns a call away may
name a time for which it wants no calls. Either holds for one instance of
the upstream on this node, whatever the store says: a registration can be
late, repeated, or out of reach.
"""

import dataclasses
import enum
import typing

from godwitflow.model import ids
from godwitflow.policy import header_decimals

MAX_PAUSE_MS = 3_600_000.0
# Calls of requests that were received in time may wait a little longer.
LEAVING_USE_SHARE = 0.8
RESUME_SPREAD_SHARE = 0.1
MAX_INSTANCES = 10_000
MS_PER_S = 1_000.0


class Usage(enum.Enum):
    """What an upstream may be used for."""

    NORMAL = "normal"
    LAST_CHOICE = "last_choice"
    NONE = "none"


@dataclasses.dataclass(slots=True)
class Notices:
    """What one instance of an upstream has said.

    It leaves if ``leaving_until_ms`` is set; until then calls may be made
    if no other upstream takes them. No calls are made until
    ``paused_until_ms``.
    """

    leaving_until_ms: float | None = None
    paused_until_ms: float = 0.0

    def usage(self, now_ms: float) -> Usage:
        """Return what the upstream may be used for.

        >>> notices = Notices(paused_until_ms=500.0)
        >>> notices.usage(499.0).value, notices.usage(500.0).value
        ('none', 'normal')
        """
        if now_ms < self.paused_until_ms:
            return Usage.NONE
        if self.leaving_until_ms is None:
            return Usage.NORMAL
        if now_ms < self.leaving_until_ms:
            return Usage.LAST_CHOICE
        return Usage.NONE

    def on_leaving(self, now_ms: float, drain_ms: float) -> bool:
        """Record that it leaves; False if that was known."""
        if self.leaving_until_ms is not None:
            return False
        self.leaving_until_ms = now_ms + LEAVING_USE_SHARE * drain_ms
        return True

    def on_pause(self, now_ms: float, pause_ms: float, draw: float) -> None:
        """Record a named time, which replaces an earlier one.

        ``draw`` is a random number from 0 to 1. It spreads the calls of the
        nodes that were named the same time.
        """
        pause_ms = min(pause_ms, MAX_PAUSE_MS)
        spread_ms = draw * RESUME_SPREAD_SHARE * pause_ms
        self.paused_until_ms = now_ms + pause_ms + spread_ms


@dataclasses.dataclass(frozen=True, slots=True)
class PauseStated:
    """The response names a time for which no calls are wanted."""

    pause_ms: float


PauseStatement = (
    PauseStated | header_decimals.NotStated | header_decimals.Unreadable
)


def read_pause(values: typing.Sequence[bytes]) -> PauseStatement:
    """Read the values of a Retry-After header, in seconds.

    Of several values the longest counts. Dates are not read.

    >>> read_pause([b"0.5", b"2"])
    PauseStated(pause_ms=2000.0)
    >>> read_pause([b"-1"])
    Unreadable(text='-1')
    """
    match header_decimals.read_one(values, max):
        case float(pause_s):
            return PauseStated(pause_s * MS_PER_S)
        case unstated:
            return unstated


class NoticeBook:
    """The notices of upstreams, by instance.

    They outlive the registration, so that an instance which is registered
    again is not taken for a new one. The oldest are dropped beyond
    ``MAX_INSTANCES``.
    """

    def __init__(self) -> None:
        self._notices: dict[tuple[ids.UpstreamId, int], Notices] = {}

    def of(self, upstream: ids.UpstreamId, started_at_ms: int) -> Notices:
        """Return the notices of an instance, which may be empty."""
        key = (upstream, started_at_ms)
        notices = self._notices.pop(key, None) or Notices()
        self._notices[key] = notices
        if len(self._notices) > MAX_INSTANCES:
            del self._notices[next(iter(self._notices))]
        return notices
