"""The replicas of one set and the selection of one for a call."""

import random
import typing

from godwitflow.model import ids
from godwitflow.policy import upstreams

COMPARE_ALL_UP_TO = 4
DEFAULT_LATENCY_MS = 10.0  # assumed before the first reply
MEDIAN_REFRESH_CALLS = 16

_CLOSED = upstreams.Breaker.CLOSED


class Availability(typing.NamedTuple):
    """The replicas with free slots and the totals of the set.

    ``free`` is the number of free slots, ``limit`` the number of calls
    that may run concurrently on healthy replicas.
    """

    ready: list[upstreams.Upstream]
    free: int
    limit: int


class Replicas:
    """The upstreams of one replica set.

    ``choose`` compares the expected time of a call: average latency times
    load. With more than ``COMPARE_ALL_UP_TO`` replicas it compares two
    random ones (power of two choices).
    """

    def __init__(
        self,
        members: tuple[ids.UpstreamId, ...],
        slots: int,
        seed: int,
        cold: bool,
    ) -> None:
        self.slots = slots
        self.random = random.Random(seed)
        self._median_ms = 0.0
        self._median_age = 0
        self._rotation = 0
        self.by_id = {
            name: upstreams.Upstream(name, slots, cold) for name in members
        }

    def __len__(self) -> int:
        return len(self.by_id)

    def set_slots(self, slots: int) -> None:
        """Set the configured number of slots of each upstream."""
        if slots == self.slots:
            return
        self.slots = slots
        for upstream in self.by_id.values():
            warm = upstream.limit == upstream.slots
            upstream.slots = slots
            if warm or upstream.limit > slots:
                upstream.limit = slots

    def mark_leaving(self, leaving: frozenset[ids.UpstreamId]) -> None:
        """Mark upstreams as leaving, so that they get no new calls."""
        for upstream in self.by_id.values():
            if upstream.id in leaving:
                upstream.leaving = True

    def set_members(self, members: tuple[ids.UpstreamId, ...]) -> None:
        """Set the replicas of a newer index; new ones start cold.

        A replica that is not in the index is marked as leaving and is
        removed once no call runs on it.
        """
        for name in members:
            known = self.by_id.get(name)
            if known is None or known.leaving:
                replacement = upstreams.Upstream(name, self.slots, cold=True)
                replacement.in_flight = known.in_flight if known else 0
                self.by_id[name] = replacement
        for name, upstream in list(self.by_id.items()):
            if name not in members:
                upstream.leaving = True
                if upstream.in_flight == 0:
                    del self.by_id[name]

    def availability(self, now_ms: float) -> "Availability":
        """Return the replicas with free slots and the totals."""
        ready = []
        free = 0
        limit = 0
        for upstream in self.by_id.values():
            slots = upstream.free_slots(now_ms)
            if slots > 0:
                ready.append(upstream)
                free += slots
            if upstream.breaker is _CLOSED and not upstream.leaving:
                limit += upstream.limit
        return Availability(ready, free, limit)

    def limit(self) -> int:
        """Return how many calls may run concurrently on healthy replicas."""
        return sum(
            upstream.limit
            for upstream in self.by_id.values()
            if upstream.breaker is _CLOSED and not upstream.leaving
        )

    def configured_slots(self) -> int:
        """Return the configured slots of all replicas that are not leaving."""
        return sum(
            upstream.slots
            for upstream in self.by_id.values()
            if not upstream.leaving
        )

    def has_untried(self, tried: typing.Container[ids.UpstreamId]) -> bool:
        """Return whether an untried replica exists that is not leaving."""
        return any(
            not upstream.leaving and name not in tried
            for name, upstream in self.by_id.items()
        )

    def median_latency_ms(self) -> float:
        """Return the lower median of the replicas' average latency.

        It is recomputed on every ``MEDIAN_REFRESH_CALLS``-th call, and 0.0
        while no replica has enough replies.
        """
        self._median_age += 1
        if self._median_age >= MEDIAN_REFRESH_CALLS:
            self._median_age = 0
            averages = sorted(
                upstream.average_latency.value_ms
                for upstream in self.by_id.values()
                if upstream.average_latency.count >= upstreams.SLOW_MIN_COUNT
            )
            middle = (len(averages) - 1) // 2
            self._median_ms = averages[middle] if averages else 0.0
        return self._median_ms

    def choose(
        self,
        ready: list[upstreams.Upstream],
        tried: typing.Container[ids.UpstreamId],
    ) -> upstreams.Upstream | None:
        """Pick a healthy, untried replica that is not slow, or None."""
        median_ms = self.median_latency_ms()
        usable = [
            upstream
            for upstream in ready
            if upstream.id not in tried
            and upstream.breaker is _CLOSED
            and not upstream.is_slow(median_ms)
        ]
        if len(usable) > COMPARE_ALL_UP_TO:
            usable = self.random.sample(usable, 2)
        self._rotation += 1
        best = None
        best_cost = 0.0
        for offset in range(len(usable)):
            # Rotate the start so that ties do not favor one replica.
            upstream = usable[(offset + self._rotation) % len(usable)]
            latency_ms = (
                upstream.average_latency.value_ms or DEFAULT_LATENCY_MS
            )
            cost = latency_ms * (1 + upstream.in_flight) / upstream.limit
            if best is None or cost < best_cost:
                best, best_cost = upstream, cost
        return best

    def choose_degraded(
        self,
        now_ms: float,
        ready: list[upstreams.Upstream],
        tried: typing.Container[ids.UpstreamId],
        may_probe: bool,
        wait_ms: float,
    ) -> upstreams.Upstream | None:
        """Pick an untried replica that is slow or half-open, or None.

        Such a replica gets an occasional probe to detect its recovery.
        It also gets work if the wait in the queue exceeds its average
        latency, or if no other replica is usable.
        """
        median_ms = self.median_latency_ms()
        for upstream in ready:
            if upstream.id in tried:
                continue
            since_ms = now_ms - upstream.last_probe_at_ms
            probe = may_probe and since_ms >= upstreams.SLOW_PROBE_INTERVAL_MS
            closed = upstream.breaker is _CLOSED
            faster_than_queue = (
                closed and wait_ms > upstream.average_latency.value_ms
            )
            if (
                probe
                or faster_than_queue
                or self._is_only_usable(upstream, median_ms)
            ):
                upstream.last_probe_at_ms = now_ms
                return upstream
        return None

    def _is_only_usable(
        self, upstream: upstreams.Upstream, median_ms: float
    ) -> bool:
        return not any(
            other is not upstream
            and not other.leaving
            and other.breaker is _CLOSED
            and not other.is_slow(median_ms)
            for other in self.by_id.values()
        )
