"""The schedule of a graceful stop, and which requests it still takes.

Callers keep a stopping node's address for a while, so it goes on serving.
A request is taken only if it should end before the node does, and each
one that has not ended by then is told so: a caller that only sees its
connection close cannot tell whether the request was executed.
"""

import dataclasses

CLOSE_IDLE_SHARE = 0.58
REFUSE_SHARE = 0.75
ANSWER_SHARE = 0.88
END_SHARE = 0.92
IDEMPOTENT_TARGETS = 1.0
AT_MOST_ONCE_TARGETS = 2.0  # nobody may repeat it after the stop


@dataclasses.dataclass(frozen=True, slots=True)
class StopPlan:
    """The times of a stop's steps, on the clock of the node.

    Idle connections are closed from ``close_idle_at_ms`` on, new requests
    refused from ``refuse_at_ms`` on. At ``answer_at_ms`` all requests that
    are still in flight are answered, and the node ends at ``end_at_ms``.
    """

    close_idle_at_ms: float
    refuse_at_ms: float
    answer_at_ms: float
    end_at_ms: float

    def takes(self, now_ms: float, target_ms: float, idempotent: bool) -> bool:
        """Return whether a request should end before the node does.

        ``target_ms`` is the target time of its route.

        >>> plan = plan_stop(0.0, 6_000.0)
        >>> plan.takes(3_500.0, 1_000.0, True)
        True
        >>> plan.takes(3_500.0, 1_000.0, False)
        False
        """
        targets = IDEMPOTENT_TARGETS if idempotent else AT_MOST_ONCE_TARGETS
        if now_ms > self.refuse_at_ms:
            return False
        return now_ms + targets * target_ms <= self.answer_at_ms


def plan_stop(now_ms: float, grace_ms: float) -> StopPlan:
    """Plan a stop that begins now and may take ``grace_ms``."""
    return StopPlan(
        now_ms + CLOSE_IDLE_SHARE * grace_ms,
        now_ms + REFUSE_SHARE * grace_ms,
        now_ms + ANSWER_SHARE * grace_ms,
        now_ms + END_SHARE * grace_ms,
    )
