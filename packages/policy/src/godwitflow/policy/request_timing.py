"""When a request is hedged, answered in part and given up.

Answers stragglers: upstreams that are paused, slow or silent. A
second call is worth most early, but the budget for second calls is
bounded; where it runs low, calls are hedged only at the last moment at
which the second call can still be in time, so that the budget goes to
calls that are stuck rather than a little late.
"""

import dataclasses

LATE_MIN_SHARE = 0.08
LATE_MAX_SHARE = 0.45
LAST_HEDGE_LATES = 1.6
NEW_CALLER_LEG_MS = 28.0  # address answer, handshake and both ways
KNOWN_CALLER_LEG_MS = 25.0  # the same, on a connection that was open
SINGLE_LATE_MAX_SHARE = 0.6
FINAL_MARGIN_MS = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class GatherTimes:
    """The moments of one query, on the steady clock.

    From ``first_hedge_at_ms`` late calls are hedged out of an ample
    budget, at ``last_hedge_at_ms`` out of any. At ``cutoff_at_ms`` the
    query is answered with the shards that are in, if they suffice; at
    ``final_at_ms`` it is given up.
    """

    first_hedge_at_ms: float
    last_hedge_at_ms: float
    cutoff_at_ms: float
    give_up_at_ms: float


def plan_gather(
    received_at_ms: float,
    deadline_at_ms: float,
    target_ms: float,
    late_ms: float,
    new_caller: bool,
) -> GatherTimes:
    """Return the times of a query over many shards.

    ``late_ms`` is how long all but a few calls of the route take.
    ``new_caller`` says that the caller has set up its connection for
    this query: its clock has run since before that.

    >>> plan_gather(0.0, 1_500.0, 100.0, 20.0, False)
    ... # doctest: +NORMALIZE_WHITESPACE
    GatherTimes(first_hedge_at_ms=20.0, last_hedge_at_ms=43.0,
                cutoff_at_ms=75.0, give_up_at_ms=1485.0)
    """
    final_ms = give_up_at_ms(deadline_at_ms)
    leg_ms = NEW_CALLER_LEG_MS if new_caller else KNOWN_CALLER_LEG_MS
    cutoff_at_ms = min(received_at_ms + target_ms - leg_ms, final_ms)
    late_ms = max(late_ms, LATE_MIN_SHARE * target_ms)
    late_ms = min(late_ms, LATE_MAX_SHARE * target_ms)
    first_at_ms = received_at_ms + late_ms
    last_at_ms = cutoff_at_ms - LAST_HEDGE_LATES * late_ms
    return GatherTimes(
        first_at_ms,
        max(first_at_ms, last_at_ms),
        cutoff_at_ms,
        final_ms,
    )


def single_hedge_at_ms(
    now_ms: float, deadline_at_ms: float, target_ms: float, late_ms: float
) -> float:
    """Return when a request to one service gets a second call."""
    late_ms = min(late_ms, SINGLE_LATE_MAX_SHARE * target_ms)
    return min(now_ms + late_ms, give_up_at_ms(deadline_at_ms))


def give_up_at_ms(deadline_at_ms: float) -> float:
    """Return when to give up, so that the caller still hears of it."""
    return deadline_at_ms - FINAL_MARGIN_MS
