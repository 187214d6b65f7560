"""Upstreams and services as this node uses them."""

import dataclasses
import heapq
import typing

from godwitflow.model import ids
from godwitflow.policy import registrations
from godwitflow.policy import replica_choice
from godwitflow.policy import retry_budget
from godwitflow.tier import pool

UNKNOWN_CAP = 8


@dataclasses.dataclass(slots=True, eq=False)
class Upstream:
    """An upstream that may be given work."""

    registration: registrations.Registration
    pool: pool.ConnectionPool
    health: replica_choice.ReplicaHealth
    far: bool
    misdirected: bool = False
    calls: dict[int, float] = dataclasses.field(default_factory=dict)

    @property
    def name(self) -> ids.UpstreamId:
        """The upstream's id."""
        return self.registration.upstream

    def note_start(self, key: int, now_ms: float) -> None:
        """Count a call as under way."""
        self.calls[key] = now_ms
        self.health.last_call_at_ms = now_ms
        self._refresh()

    def note_end(self, key: int) -> None:
        """Count a call as over."""
        self.calls.pop(key, None)
        self._refresh()

    def _refresh(self) -> None:
        self.health.in_flight = len(self.calls)
        oldest = next(iter(self.calls.values()), None)
        self.health.oldest_call_at_ms = oldest


class Waiter(typing.Protocol):
    """A call that waits for a place at an upstream."""

    def resume(self) -> bool:
        """Try to send again; False while there is still no place."""
        ...


class Service:
    """The upstreams of one service, its budget and its queue."""

    def __init__(
        self,
        name: ids.ServiceName,
        limits: retry_budget.RetryLimits,
    ) -> None:
        self.name = name
        self.cap = UNKNOWN_CAP
        self.upstreams: list[Upstream] = []
        self.budget = retry_budget.RetryBudget(limits)
        self.waiting: list[tuple[int, int, Waiter]] = []
        self._draining = False

    def unavailable(self, now_ms: float) -> bool:
        """Tell whether no upstream of the service can be expected to answer.

        An upstream whose spell is over counts as sound again, so that
        the next request tries it.
        """
        return all(
            upstream.misdirected or upstream.health.unavailable(now_ms)
            for upstream in self.upstreams
        )

    def doubtful(self, now_ms: float) -> bool:
        """Tell whether every upstream must prove first that it is back."""
        return all(
            upstream.misdirected or upstream.health.needs_trial(now_ms)
            for upstream in self.upstreams
        )

    def drain(self) -> None:
        """Let the most urgent waiting calls take the free places."""
        if self._draining:
            return
        self._draining = True
        while self.waiting:
            entry = heapq.heappop(self.waiting)
            if not entry[2].resume():
                heapq.heappush(self.waiting, entry)
                break
        self._draining = False
