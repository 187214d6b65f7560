"""The replicas of one set, and the choice of one for a piece of work."""

import random
import typing

from godwitflow.model import ids
from godwitflow.policy import upstreams

COMPARE_ALL_UP_TO = 4
UNMEASURED_MS = 10.0
TYPICAL_REFRESH = 16

_CLOSED = upstreams.Breaker.CLOSED


class Survey(typing.NamedTuple):
    """Replicas with a free slot, their free slots, and the limit."""

    ready: list[upstreams.Upstream]
    free: int
    limit: int


class Replicas:
    """The upstreams of one replica set.

    A choice compares expected time: speed times load. With many replicas
    two are drawn at random and the better one wins.
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
        self._typical_ms = 0.0
        self._typical_age = 0
        self._turn = 0
        self.by_id = {
            name: upstreams.Upstream(name, slots, cold) for name in members
        }

    def __len__(self) -> int:
        return len(self.by_id)

    def set_slots(self, slots: int) -> None:
        """Take a newly stated number of slots for each upstream."""
        if slots == self.slots:
            return
        self.slots = slots
        for upstream in self.by_id.values():
            warm = upstream.limit == upstream.slots
            upstream.slots = slots
            if warm or upstream.limit > slots:
                upstream.limit = slots

    def mark_leaving(self, leaving: frozenset[ids.UpstreamId]) -> None:
        """Mark upstreams that take no new work from now on."""
        for upstream in self.by_id.values():
            if upstream.id in leaving:
                upstream.leaving = True

    def set_members(self, members: tuple[ids.UpstreamId, ...]) -> None:
        """Take the replicas of a newer index; new ones start cold.

        A replica that the index no longer names leaves; it is forgotten
        once no call runs on it.
        """
        for name in members:
            known = self.by_id.get(name)
            if known is None or known.leaving:
                fresh = upstreams.Upstream(name, self.slots, cold=True)
                fresh.in_flight = known.in_flight if known else 0
                self.by_id[name] = fresh
        for name, upstream in list(self.by_id.items()):
            if name not in members:
                upstream.leaving = True
                if upstream.in_flight == 0:
                    del self.by_id[name]

    def survey(self, now_ms: float) -> "Survey":
        """Look at every replica once: who has a slot, and how many."""
        ready = []
        free = 0
        limit = 0
        for item in self.by_id.values():
            slots = item.free(now_ms)
            if slots > 0:
                ready.append(item)
                free += slots
            if item.breaker is _CLOSED and not item.leaving:
                limit += item.limit
        return Survey(ready, free, limit)

    def limit(self) -> int:
        """Return the calls that may run at once on healthy replicas."""
        return sum(
            item.limit
            for item in self.by_id.values()
            if item.breaker is _CLOSED and not item.leaving
        )

    def stated_slots(self) -> int:
        """Return the slots of all replicas that stay."""
        return sum(
            item.slots for item in self.by_id.values() if not item.leaving
        )

    def has_untried(self, tried: typing.Container[ids.UpstreamId]) -> bool:
        """Tell whether a replica that stays has not been tried."""
        return any(
            not item.leaving and name not in tried
            for name, item in self.by_id.items()
        )

    def typical_ms(self) -> float:
        """Return the lower median of the replicas' average latency."""
        self._typical_age += 1
        if self._typical_age >= TYPICAL_REFRESH:
            self._typical_age = 0
            speeds = sorted(
                item.average_latency.value_ms
                for item in self.by_id.values()
                if item.average_latency.count >= upstreams.SLOW_MIN_COUNT
            )
            middle = (len(speeds) - 1) // 2
            self._typical_ms = speeds[middle] if speeds else 0.0
        return self._typical_ms

    def choose(
        self,
        ready: list[upstreams.Upstream],
        tried: typing.Container[ids.UpstreamId],
    ) -> upstreams.Upstream | None:
        """Pick one of ordinary speed among those with a free slot."""
        typical_ms = self.typical_ms()
        usable = [
            item
            for item in ready
            if item.id not in tried
            and item.breaker is _CLOSED
            and not item.is_slow(typical_ms)
        ]
        if len(usable) > COMPARE_ALL_UP_TO:
            usable = self.random.sample(usable, 2)
        self._turn += 1
        best = None
        best_cost = 0.0
        for place in range(len(usable)):
            # Equal costs go round, so that no replica is always first.
            item = usable[(place + self._turn) % len(usable)]
            speed_ms = item.average_latency.value_ms or UNMEASURED_MS
            cost = speed_ms * (1 + item.in_flight) / item.limit
            if best is None or cost < best_cost:
                best, best_cost = item, cost
        return best

    def choose_doubtful(
        self,
        now_ms: float,
        ready: list[upstreams.Upstream],
        tried: typing.Container[ids.UpstreamId],
        may_probe: bool,
        wait_ms: float,
    ) -> upstreams.Upstream | None:
        """Pick a slow or half-open replica where that still makes sense.

        It gets a probe now and then, to notice when it is well again,
        and real work where the queue's wait exceeds its slowness or no
        other replica is usable at all.
        """
        typical_ms = self.typical_ms()
        for item in ready:
            if item.id in tried:
                continue
            since_ms = now_ms - item.last_probe_at_ms
            probe = may_probe and since_ms >= upstreams.SLOW_PROBE_MS
            closed = item.breaker is _CLOSED
            worth = closed and wait_ms > item.average_latency.value_ms
            if probe or worth or self._only_one(item, typical_ms):
                item.last_probe_at_ms = now_ms
                return item
        return None

    def _only_one(self, item: upstreams.Upstream, typical_ms: float) -> bool:
        return not any(
            other is not item
            and not other.leaving
            and other.breaker is _CLOSED
            and not other.is_slow(typical_ms)
            for other in self.by_id.values()
        )
