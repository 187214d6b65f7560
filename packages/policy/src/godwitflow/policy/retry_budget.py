"""Limits the retries and hedges that a service receives.

Without a limit, retries and hedges would add load to a service while it
is slow or failing. In each window the fleet may send ``slack`` extra
calls plus ``ratio`` times the number of requests. Each node uses the
ratio of its own requests and an equal share of the slack, so that the
fleet stays within the limit without any coordination.
"""

import collections
import dataclasses

from godwitflow.model import ids

BUCKET_COUNT = 20
RATIO_SAFETY_FACTOR = 0.9  # margin for requests that move between windows
SLACK_SAFETY_FACTOR = 0.8
URGENT_RESERVE_SHARE = 0.25
HEADROOM_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class RetryLimits:
    """The fleet's limit per window: ``ratio`` x requests + ``slack``."""

    ratio: float
    slack: float
    window_ms: float


@dataclasses.dataclass(slots=True)
class _Bucket:
    number: int
    requests: int = 0
    extra_calls: int = 0


class RetryBudget:
    """One node's retry budget for one service, over a sliding window."""

    def __init__(self, limits: RetryLimits) -> None:
        self.limits = limits
        self._buckets: collections.deque[_Bucket] = collections.deque()
        self._requests = 0
        self._extra_calls = 0

    def on_request(self, now_ms: float) -> None:
        """Count a request to the service."""
        self._current_bucket(now_ms).requests += 1
        self._requests += 1

    def try_acquire(self, now_ms: float, nodes: int, rank: ids.Rank) -> bool:
        """Count an extra call and return True if the budget allows it.

        ``URGENT_RESERVE_SHARE`` of the budget is reserved for rank 0, the
        most urgent.
        """
        bucket = self._current_bucket(now_ms)
        if self._extra_calls + 1 > self._allowance(nodes, rank):
            return False
        bucket.extra_calls += 1
        self._extra_calls += 1
        return True

    def has_headroom(self, now_ms: float, nodes: int, rank: ids.Rank) -> bool:
        """Return whether less than ``HEADROOM_SHARE`` is used, for a rank."""
        self._current_bucket(now_ms)
        return self._extra_calls < HEADROOM_SHARE * self._allowance(
            nodes, rank
        )

    def _allowance(self, nodes: int, rank: ids.Rank) -> float:
        allowance = self.limits.ratio * RATIO_SAFETY_FACTOR * self._requests
        allowance += self.limits.slack * SLACK_SAFETY_FACTOR / max(1, nodes)
        return (
            allowance
            if rank == 0
            else allowance * (1.0 - URGENT_RESERVE_SHARE)
        )

    def _current_bucket(self, now_ms: float) -> _Bucket:
        width_ms = self.limits.window_ms / BUCKET_COUNT
        number = int(now_ms // width_ms)
        buckets = self._buckets
        while buckets and buckets[0].number < number - BUCKET_COUNT:
            old = buckets.popleft()
            self._requests -= old.requests
            self._extra_calls -= old.extra_calls
        if not buckets or buckets[-1].number != number:
            buckets.append(_Bucket(number))
        return buckets[-1]
