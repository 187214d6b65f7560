"""How many calls a service may get beyond the first of each request.

Answers the load that retries and hedges add when a service is slow or
failing. The whole fleet may add ``ratio`` of the requests of a window
and ``slack`` calls. Each node takes the ratio of its own requests and an
even share of the slack, so the sum keeps the bound without messages
between nodes.
"""

import collections
import dataclasses

from godwitflow.model import ids

BUCKETS = 20
RATIO_USED = 0.9  # room for requests that move between windows
SLACK_USED = 0.8
URGENT_SHARE = 0.25
AMPLE_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class RetryLimits:
    """The fleet's bound: ``ratio`` x requests + ``slack`` a window."""

    ratio: float
    slack: float
    window_ms: float


@dataclasses.dataclass(slots=True)
class _Bucket:
    number: int
    requests: int = 0
    extras: int = 0


class RetryBudget:
    """One node's account of one service over a sliding window."""

    def __init__(self, limits: RetryLimits) -> None:
        self.limits = limits
        self._buckets: collections.deque[_Bucket] = collections.deque()
        self._requests = 0
        self._extras = 0

    def on_request(self, now_ms: float) -> None:
        """Count a request for the service."""
        self._bucket(now_ms).requests += 1
        self._requests += 1

    def try_acquire(self, now_ms: float, nodes: int, rank: ids.Rank) -> bool:
        """Count an extra call if the budget has room for it.

        The last quarter is kept for the most urgent rank.
        """
        bucket = self._bucket(now_ms)
        if self._extras + 1 > self._room(nodes, rank):
            return False
        bucket.extras += 1
        self._extras += 1
        return True

    def has_headroom(self, now_ms: float, nodes: int, rank: ids.Rank) -> bool:
        """Tell whether much of the budget is left for a rank."""
        self._bucket(now_ms)
        return self._extras < AMPLE_SHARE * self._room(nodes, rank)

    def _room(self, nodes: int, rank: ids.Rank) -> float:
        room = self.limits.ratio * RATIO_USED * self._requests
        room += self.limits.slack * SLACK_USED / max(1, nodes)
        return room if rank == 0 else room * (1.0 - URGENT_SHARE)

    def _bucket(self, now_ms: float) -> _Bucket:
        width_ms = self.limits.window_ms / BUCKETS
        number = int(now_ms // width_ms)
        buckets = self._buckets
        while buckets and buckets[0].number < number - BUCKETS:
            old = buckets.popleft()
            self._requests -= old.requests
            self._extras -= old.extras
        if not buckets or buckets[-1].number != number:
            buckets.append(_Bucket(number))
        return buckets[-1]
