"""Running estimates of the latency of each route's calls."""

import dataclasses

from godwitflow.policy import quantile
from godwitflow.policy import routing

# Initial estimates, as shares of a route's target time.
INITIAL_MEDIAN_SHARE = 0.15
INITIAL_HEDGE_DELAY_SHARE = 0.35
HEDGE_DELAY_QUANTILE = 0.88


@dataclasses.dataclass(slots=True)
class LatencyEstimate:
    """Running estimates of the latency of a route's calls, in ms.

    ``median`` is the median latency. ``hedge_delay`` is a high quantile:
    a call that takes longer is hedged with a call to a second replica.
    """

    median: quantile.RunningQuantile
    hedge_delay: quantile.RunningQuantile


class LatencyEstimates:
    """The latency estimates of all routes, by name."""

    def __init__(self) -> None:
        self._estimates: dict[str, LatencyEstimate] = {}

    def of(self, route: routing.Route) -> LatencyEstimate:
        """Return the estimate of a route, creating it if new."""
        estimate = self._estimates.get(route.name)
        if estimate is None:
            estimate = _initial_estimate(route)
            self._estimates[route.name] = estimate
        return estimate


def _initial_estimate(route: routing.Route) -> LatencyEstimate:
    median_ms = INITIAL_MEDIAN_SHARE * route.target_ms
    hedge_delay_ms = INITIAL_HEDGE_DELAY_SHARE * route.target_ms
    return LatencyEstimate(
        quantile.RunningQuantile(0.5, median_ms),
        quantile.RunningQuantile(HEDGE_DELAY_QUANTILE, hedge_delay_ms),
    )
