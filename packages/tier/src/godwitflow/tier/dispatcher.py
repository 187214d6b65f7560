"""Upstreams as this node uses them: connections, health and queues.

The dispatcher owns a pool and a health record for each upstream, and for
each service a retry budget and the calls that wait for a free place.
"""

import dataclasses
import heapq
import itertools
import random
import typing

from godwitflow.http1 import messages
from godwitflow.http1 import upstreams
from godwitflow.model import ids
from godwitflow.policy import crash_history
from godwitflow.policy import observations
from godwitflow.policy import quantile
from godwitflow.policy import registrations
from godwitflow.policy import replica_choice
from godwitflow.policy import retry_budget
from godwitflow.policy import routing
from godwitflow.tier import headers
from godwitflow.tier import log as logs
from godwitflow.tier import metrics
from godwitflow.tier import pool
from godwitflow.tier import services

INITIAL_USUAL_SHARE = 0.15
INITIAL_LATE_SHARE = 0.35
LATE_QUANTILE = 0.88
USUAL_MIN_MS = 0.1

if typing.TYPE_CHECKING:
    from godwitflow.tier import subrequest as pieces


@dataclasses.dataclass(slots=True)
class Pace:
    """How long a route's calls to one upstream take, in milliseconds.

    ``usual`` is the median and ``late`` the time after which a second
    replica is worth a call.
    """

    usual: quantile.RunningQuantile
    late: quantile.RunningQuantile


class Dispatcher:
    """Finds a place for each call and learns from its outcome."""

    def __init__(
        self,
        reactor: typing.Any,
        now_ms: typing.Callable[[], float],
        names: headers.HeaderNames,
        failure_domain: ids.FailureDomain,
        limits: retry_budget.RetryLimits,
        log: logs.Log,
        figures: metrics.Metrics,
        seed: int,
    ) -> None:
        self.log = log
        self.metrics = figures
        self.reactor = reactor
        self.now_ms = now_ms
        self.names = names
        self.nodes = 1
        self._lives = 1
        self.strikes = crash_history.CrashHistory()
        self._observations = observations.Observations()
        self.on_strike: typing.Callable[[ids.Fingerprint, int], None] = (
            _ignore_strike
        )
        self.calls = 0
        self.random = random.Random(seed)
        self._failure_domain = failure_domain
        self._limits = limits
        self._services: dict[ids.ServiceName, services.Service] = {}
        self._upstreams: dict[ids.UpstreamId, services.Upstream] = {}
        self._paces: dict[str, Pace] = {}
        self._order = itertools.count()

    # What is known ------------------------------------------------------

    def apply_configuration(
        self, configuration: routing.Configuration
    ) -> None:
        """Take the connection caps of a configuration."""
        for service in configuration.services.values():
            self.service(service.name).cap = service.connection_cap
        self._set_limits()

    def apply_nodes(self, nodes: int) -> None:
        """Take the number of nodes that share caps and budgets."""
        if nodes != self.nodes:
            self.nodes = max(1, nodes)
            self._set_limits()

    def apply_recent_start(self, recent: bool) -> None:
        """Halve this node's connections for a while after its start.

        Upstreams may still count those of the life before, which lost
        power, and reset what goes beyond their cap.
        """
        self._lives = 2 if recent else 1
        self._set_limits()

    def _limit(self, service: services.Service) -> int:
        return max(1, service.cap // (self.nodes * self._lives))

    def apply_retry_limits(self, limits: retry_budget.RetryLimits) -> None:
        """Take the fleet's bound on repeated calls."""
        self._limits = limits
        for service in self._services.values():
            service.budget.limits = limits

    def _set_limits(self) -> None:
        for service in self._services.values():
            for upstream in service.upstreams:
                upstream.pool.limit = self._limit(service)

    def apply_registrations(
        self, ready: list[registrations.Registration], now_ms: float
    ) -> None:
        """Take the upstreams that may be given work."""
        wanted = {entry.upstream: entry for entry in ready}
        for name, upstream in list(self._upstreams.items()):
            entry = wanted.get(name)
            if entry is None or _another(entry, upstream.registration):
                self._drop(name, upstream)
        for name, entry in wanted.items():
            known = self._upstreams.get(name)
            if known is None:
                known = self._add(entry)
            known.registration = entry
            if entry.cold_left_ms > 0:
                known.health.cold_until_ms = now_ms + entry.cold_left_ms
        for service in self._services.values():
            service.drain()

    def _drop(self, name: ids.UpstreamId, upstream: services.Upstream) -> None:
        del self._upstreams[name]
        service = self.service(upstream.registration.service)
        service.upstreams.remove(upstream)
        upstream.pool.limit = 0
        upstream.pool.close_idle()

    def _add(self, entry: registrations.Registration) -> services.Upstream:
        service = self.service(entry.service)
        places = pool.ConnectionPool(
            self.reactor,
            entry.address,
            self._limit(service),
            self.names.request_id,
            self.now_ms,
            service.drain,
        )
        upstream = services.Upstream(
            entry,
            places,
            replica_choice.ReplicaHealth(decayed_at_ms=self.now_ms()),
            entry.failure_domain != self._failure_domain,
        )
        self._upstreams[entry.upstream] = upstream
        service.upstreams.append(upstream)
        return upstream

    def service(self, name: ids.ServiceName) -> services.Service:
        """Return a service, known or new."""
        found = self._services.get(name)
        if found is None:
            found = services.Service(name, self._limits)
            self._services[name] = found
        return found

    def pace(self, route: routing.Route) -> Pace:
        """Return how long a route's calls take."""
        found = self._paces.get(route.name)
        if found is None:
            target_ms = route.target_ms
            found = Pace(
                quantile.RunningQuantile(0.5, INITIAL_USUAL_SHARE * target_ms),
                quantile.RunningQuantile(
                    LATE_QUANTILE, INITIAL_LATE_SHARE * target_ms
                ),
            )
            self._paces[route.name] = found
        return found

    # Calls --------------------------------------------------------------

    def usable(
        self, service: services.Service, used: set[ids.UpstreamId]
    ) -> list[services.Upstream]:
        """Return the upstreams that a call has not been sent to."""
        return [
            upstream
            for upstream in service.upstreams
            if not upstream.misdirected and upstream.name not in used
        ]

    def choose(
        self, usable: list[services.Upstream], usual_ms: float
    ) -> services.Upstream | None:
        """Choose among those with a free place; None where there is none."""
        candidates = []
        by_id = {}
        for upstream in usable:
            if upstream.pool.has_room:
                name = upstream.name
                by_id[name] = upstream
                candidates.append(
                    replica_choice.Candidate(
                        name, upstream.health, upstream.far
                    )
                )
        chosen = replica_choice.choose(
            candidates, self.now_ms(), usual_ms, self.random
        )
        return by_id[chosen.upstream] if chosen else None

    def wait(
        self,
        service: services.Service,
        rank: ids.Rank,
        waiter: services.Waiter,
    ) -> None:
        """Queue a call until a place is free, urgent ones first."""
        entry = (int(rank), next(self._order), waiter)
        heapq.heappush(service.waiting, entry)

    def new_key(self) -> int:
        """Count a call that starts, and return a key for it."""
        self.calls += 1
        return self.calls

    def note_strike(
        self, work: "pieces.Work", mark: ids.Fingerprint, crashes: int
    ) -> None:
        """Count, log and tell of a run in which only crashes were met."""
        self.strikes.record_crashes(mark, crashes, self.now_ms())
        self.metrics.count("strikes")
        self.log.decision(
            "strike",
            request=work.request_text,
            fingerprint=f"{mark:016x}",
            crashes=crashes,
        )
        self.on_strike(mark, crashes)

    def note_repeat(
        self, work: "pieces.Work", service: ids.ServiceName, why: str
    ) -> None:
        """Log and count a call beyond the first of a request."""
        self.metrics.count("repeated_calls", reason=why)
        now_ms = self.now_ms()
        late_ms = self.pace(work.route).late.value
        self.log.decision(
            "call_repeated",
            request=work.request_text,
            service=service,
            reason=why,
            elapsed_ms=round(now_ms - work.received_at_ms, 1),
            late_after_ms=round(late_ms, 1),
        )

    def learn(
        self,
        upstream: services.Upstream,
        pace: Pace,
        elapsed_ms: float,
        outcome: upstreams.Outcome,
        rejected: bool,
    ) -> None:
        """Learn from the outcome of a call."""
        now_ms = self.now_ms()
        doubted = upstream.health.needs_trial(now_ms)
        match outcome:
            case upstreams.Replied(response) if rejected:
                self._learn_rejection(upstream, response, now_ms)
            case upstreams.Replied(response) if response.status < 500:
                self._learn_reply(upstream, pace, elapsed_ms, now_ms)
            case upstreams.Failed(upstreams.FailureReason.CANCELLED):
                self._learn_given_up(upstream, elapsed_ms, now_ms)
            case _:
                upstream.health.on_failure(now_ms)
                self._observations.record_failure(upstream.name)
        if upstream.health.needs_trial(now_ms) is not doubted:
            self.log.decision(
                "upstream_back" if doubted else "upstream_doubted",
                upstream=upstream.name,
                service=upstream.registration.service,
                failure_share=round(upstream.health.failure_share, 2),
                elapsed_ms=round(elapsed_ms, 1),
            )

    def _learn_rejection(
        self,
        upstream: services.Upstream,
        response: messages.Response,
        now_ms: float,
    ) -> None:
        upstream.health.on_rejection(now_ms)
        self._observations.record_failure(upstream.name)
        if response.status == messages.MISDIRECTED:
            upstream.misdirected = True
            upstream.pool.close_idle()

    def _learn_reply(
        self,
        upstream: services.Upstream,
        pace: Pace,
        elapsed_ms: float,
        now_ms: float,
    ) -> None:
        usual_ms = max(USUAL_MIN_MS, pace.usual.value)
        upstream.health.on_reply(now_ms, elapsed_ms, usual_ms)
        self._observations.record_reply(upstream.name, elapsed_ms / usual_ms)
        pace.usual.record(elapsed_ms)
        pace.late.record(elapsed_ms)

    def _learn_given_up(
        self, upstream: services.Upstream, elapsed_ms: float, now_ms: float
    ) -> None:
        if upstream.health.on_cancelled(now_ms, now_ms - elapsed_ms):
            self._observations.record_failure(upstream.name)

    # Peers --------------------------------------------------------------

    def take_observations(self) -> list[observations.Observation]:
        """Return what peers should know of upstreams; once each."""
        return self._observations.end_round(self._suspected)

    def _suspected(self, name: ids.UpstreamId) -> bool:
        upstream = self._upstreams.get(name)
        return upstream is not None and upstream.health.degraded

    def apply_observation(self, seen: observations.Observation) -> None:
        """Learn from what a peer saw of an upstream."""
        upstream = self._upstreams.get(seen.upstream)
        if upstream is not None:
            upstream.health.on_peer_report(self.now_ms(), seen)


def _ignore_strike(mark: ids.Fingerprint, crashes: int) -> None:
    """Tell nobody; a node puts its peers in place of this."""


def _another(
    entry: registrations.Registration, known: registrations.Registration
) -> bool:
    """Tell whether an entry is another life, place or service."""
    return (
        entry.address != known.address
        or entry.service != known.service
        or entry.started_at_ms != known.started_at_ms
    )
