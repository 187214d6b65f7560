"""The results of a subrequest."""

import dataclasses
import enum

from godwitflow.http1 import messages


class NoResponseReason(enum.Enum):
    """Why a subrequest has no response."""

    NO_UPSTREAM = "no_upstream"
    UNAVAILABLE = "unavailable"
    REJECTED = "rejected"
    NO_BUDGET = "no_budget"
    FAILED = "failed"
    RATE_LIMITED = "rate_limited"
    PAUSED = "paused"
    TIMED_OUT = "timed_out"


@dataclasses.dataclass(frozen=True, slots=True)
class Responded:
    """The response of an upstream, with any status."""

    response: messages.Response


@dataclasses.dataclass(frozen=True, slots=True)
class NoResponse:
    """No response; the request may still have been executed."""

    reason: NoResponseReason
    may_have_run: bool


Result = Responded | NoResponse
