"""Decides when a request is hedged, answered in part and given up.

Hedges hide stragglers: upstreams that are paused, slow or unresponsive. A
hedge helps most when it is sent early, but hedges are limited by the
retry budget. If the budget runs low, calls are hedged only at the last
moment at which the hedge can still be in time, so that the budget is spent
on stuck calls instead of calls that are a little late.
"""

import dataclasses

HEDGE_DELAY_MIN_SHARE = 0.08
HEDGE_DELAY_MAX_SHARE = 0.45
LAST_HEDGE_DELAYS = 1.6
# Address lookup, handshake and the network round trip to the node.
NEW_CONNECTION_OVERHEAD_MS = 28.0
# As above, on a connection that was already open.
OPEN_CONNECTION_OVERHEAD_MS = 25.0
SINGLE_HEDGE_DELAY_MAX_SHARE = 0.6
GIVE_UP_MARGIN_MS = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class GatherTimes:
    """The schedule of a request to all shards, on the monotonic clock.

    At ``first_hedge_at_ms`` outstanding calls are hedged if the retry
    budget has headroom, at ``last_hedge_at_ms`` if it allows any extra
    call. At ``cutoff_at_ms`` the request is answered with the shards that
    have replied, if they are sufficient. At ``give_up_at_ms`` it fails.
    """

    first_hedge_at_ms: float
    last_hedge_at_ms: float
    cutoff_at_ms: float
    give_up_at_ms: float


def plan_gather(
    received_at_ms: float,
    deadline_at_ms: float,
    target_ms: float,
    hedge_delay_ms: float,
    new_connection: bool,
) -> GatherTimes:
    """Return the schedule of a request to all shards.

    ``hedge_delay_ms`` is a high quantile of the route's call latency.
    ``new_connection`` means that the caller opened a connection for this
    request, so that the latency it observes includes the connection setup.

    >>> plan_gather(0.0, 1_500.0, 100.0, 20.0, False)
    ... # doctest: +NORMALIZE_WHITESPACE
    GatherTimes(first_hedge_at_ms=20.0, last_hedge_at_ms=43.0,
                cutoff_at_ms=75.0, give_up_at_ms=1485.0)
    """
    end_at_ms = give_up_at_ms(deadline_at_ms)
    overhead_ms = (
        NEW_CONNECTION_OVERHEAD_MS
        if new_connection
        else OPEN_CONNECTION_OVERHEAD_MS
    )
    cutoff_at_ms = min(received_at_ms + target_ms - overhead_ms, end_at_ms)
    hedge_delay_ms = max(hedge_delay_ms, HEDGE_DELAY_MIN_SHARE * target_ms)
    hedge_delay_ms = min(hedge_delay_ms, HEDGE_DELAY_MAX_SHARE * target_ms)
    first_at_ms = received_at_ms + hedge_delay_ms
    last_at_ms = cutoff_at_ms - LAST_HEDGE_DELAYS * hedge_delay_ms
    return GatherTimes(
        first_at_ms,
        max(first_at_ms, last_at_ms),
        cutoff_at_ms,
        end_at_ms,
    )


def single_hedge_at_ms(
    now_ms: float,
    deadline_at_ms: float,
    target_ms: float,
    hedge_delay_ms: float,
) -> float:
    """Return when a request to one service is hedged."""
    hedge_delay_ms = min(
        hedge_delay_ms, SINGLE_HEDGE_DELAY_MAX_SHARE * target_ms
    )
    return min(now_ms + hedge_delay_ms, give_up_at_ms(deadline_at_ms))


def give_up_at_ms(deadline_at_ms: float) -> float:
    """Return when to give up, early enough for the caller to be told."""
    return deadline_at_ms - GIVE_UP_MARGIN_MS
