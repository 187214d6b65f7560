"""This node's state of each service and of each of its upstreams."""

import dataclasses
import typing

from godwitflow.model import ids
from godwitflow.policy import fair_queue
from godwitflow.policy import rate_limits
from godwitflow.policy import registrations
from godwitflow.policy import replica_choice
from godwitflow.policy import retry_budget
from godwitflow.policy import upstream_notices
from godwitflow.tier import pool

DEFAULT_CONNECTION_CAP = 8


@dataclasses.dataclass(slots=True, eq=False)
class Upstream:
    """An upstream that calls may be sent to.

    ``other_domain`` is set if it is in another failure domain than this
    node, ``evacuated`` while the operator wants no calls to its failure
    domain. While it is cold it takes ``cold_calls_per_s`` from all nodes
    together, or any number if that is 0. ``misdirected`` is set once it has
    answered 421 (Misdirected Request). ``notices`` is what it has said of
    itself. A permit for a call was denied until ``denied_until_ms``, and for
    an urgent call until ``urgent_denied_until_ms``.
    """

    registration: registrations.Registration
    pool: pool.ConnectionPool
    health: replica_choice.ReplicaHealth
    other_domain: bool
    misdirected: bool = False
    evacuated: bool = False
    cold_calls_per_s: float = 0.0
    notices: upstream_notices.Notices = dataclasses.field(
        default_factory=upstream_notices.Notices
    )
    limit: rate_limits.KnownLimit = dataclasses.field(
        default_factory=rate_limits.KnownLimit
    )
    denied_until_ms: float = 0.0
    urgent_denied_until_ms: float = 0.0

    @property
    def name(self) -> ids.UpstreamId:
        """The upstream's id."""
        return self.registration.upstream

    def cold_limit(self, now_ms: float) -> float | None:
        """Return the calls a second that it takes while it is cold."""
        if now_ms < self.health.cold_until_ms and self.cold_calls_per_s > 0.0:
            return max(rate_limits.MIN_CALLS_PER_S, self.cold_calls_per_s)
        return None

    def calls_per_s(self, now_ms: float) -> float | None:
        """Return the calls a second that it takes; None without a limit."""
        return rate_limits.lowest(
            self.limit.calls_per_s, self.cold_limit(now_ms)
        )

    def limited(self, now_ms: float) -> bool:
        """Return whether each call needs a permit."""
        return self.calls_per_s(now_ms) is not None

    def usage(self, now_ms: float) -> upstream_notices.Usage:
        """Return what the upstream may be used for."""
        if self.misdirected or self.evacuated:
            return upstream_notices.Usage.NONE
        return self.notices.usage(now_ms)

    def takes_calls(self, now_ms: float) -> bool:
        """Return whether calls may be made at all."""
        return self.usage(now_ms) is not upstream_notices.Usage.NONE

    def on_denied(self, urgent: bool, until_ms: float) -> None:
        """Record that no permit can be had until a point in time.

        What is denied to an urgent call is denied to all others.
        """
        if urgent:
            self.urgent_denied_until_ms = until_ms
        self.denied_until_ms = max(self.denied_until_ms, until_ms)

    def denied(self, urgent: bool, now_ms: float) -> bool:
        """Return whether a permit was denied and cannot be had yet."""
        if not self.limited(now_ms):
            return False
        until_ms = (
            self.urgent_denied_until_ms if urgent else self.denied_until_ms
        )
        return now_ms < until_ms

    def on_call_start(self, key: int, now_ms: float, work_ms: float) -> None:
        """Record that a call of an expected amount of work was started."""
        self.health.calls[key] = replica_choice.CallInFlight(now_ms, work_ms)
        self.health.last_call_at_ms = now_ms
        self._update_health()

    def on_call_end(self, key: int) -> None:
        """Record that a call has ended."""
        self.health.calls.pop(key, None)
        self._update_health()

    def _update_health(self) -> None:
        health = self.health
        health.in_flight = len(health.calls)
        oldest = next(iter(health.calls.values()), None)
        health.oldest_call_at_ms = None if oldest is None else oldest.at_ms


class QueuedCall(typing.Protocol):
    """A call that waits until an upstream has capacity."""

    def resume(self) -> bool:
        """Try to send the call; False if there is still no capacity."""
        ...


class Service:
    """The upstreams of one service, its retry budget and its call queue.

    ``on_error`` is called with an unexpected error of a queued call.
    """

    def __init__(
        self,
        name: ids.ServiceName,
        retry_limits: retry_budget.RetryLimits,
        on_error: typing.Callable[[Exception], None],
    ) -> None:
        self.name = name
        self.connection_cap = DEFAULT_CONNECTION_CAP
        self.cold_calls_per_s = 0.0
        self.upstreams: list[Upstream] = []
        self.retry_budget = retry_budget.RetryBudget(retry_limits)
        self.queue: fair_queue.FairQueue[QueuedCall] = fair_queue.FairQueue()
        self._dispatching = False
        self._on_error = on_error

    def unavailable(self, now_ms: float) -> bool:
        """Return whether no upstream of the service is expected to answer.

        An upstream whose ejection has expired counts as available, so
        that the next request is a trial call.
        """
        return all(
            not upstream.takes_calls(now_ms)
            or upstream.health.unavailable(now_ms)
            for upstream in self.upstreams
        )

    def callable(self, urgent: bool, now_ms: float) -> bool:
        """Return whether an upstream may be called and may answer."""
        return not all(
            not upstream.takes_calls(now_ms)
            or upstream.health.unavailable(now_ms)
            or upstream.denied(urgent, now_ms)
            for upstream in self.upstreams
        )

    def needs_trial(self, now_ms: float) -> bool:
        """Return whether every upstream has to pass a trial call first."""
        return all(
            not upstream.takes_calls(now_ms)
            or upstream.health.needs_trial(now_ms)
            for upstream in self.upstreams
        )

    def back_in_ms(self, now_ms: float) -> float | None:
        """Return when the first upstream takes calls again.

        None if one takes calls now, or if none named a time.
        """
        if any(upstream.takes_calls(now_ms) for upstream in self.upstreams):
            return None
        pauses_ms = [
            upstream.notices.paused_until_ms - now_ms
            for upstream in self.upstreams
            if upstream.notices.paused_until_ms > now_ms
        ]
        return min(pauses_ms, default=None)

    def dispatch_queue(self) -> None:
        """Send queued calls, most urgent first, while there is capacity."""
        if self._dispatching:
            return
        self._dispatching = True
        while (entry := self.queue.pop()) is not None:
            if entry.item is not None and not self._resume(entry.item):
                self.queue.restore(entry)
                break
        self._dispatching = False

    def _resume(self, call: QueuedCall) -> bool:
        """Resume a call; one that fails leaves the queue like a sent one."""
        try:
            return call.resume()
        except Exception as error:
            self._on_error(error)
            return True
