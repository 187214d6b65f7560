"""Chooses an upstream for each call.

The dispatcher owns a connection pool and a health record for each
upstream. For each service it owns a retry budget and a queue of calls
that wait for connection capacity.
"""

import functools
import random
import typing

from godwitflow.http1 import receive_memory
from godwitflow.model import ids
from godwitflow.policy import crash_history
from godwitflow.policy import observations
from godwitflow.policy import registrations
from godwitflow.policy import replica_choice
from godwitflow.policy import retry_budget
from godwitflow.policy import routing
from godwitflow.policy import upstream_notices
from godwitflow.policy import work_estimates
from godwitflow.tier import headers
from godwitflow.tier import latency_estimates
from godwitflow.tier import limit_watch as limit_watching
from godwitflow.tier import log as logs
from godwitflow.tier import metrics as metrics_module
from godwitflow.tier import notice_watch as notice_watching
from godwitflow.tier import outbound_request
from godwitflow.tier import outcomes
from godwitflow.tier import permits
from godwitflow.tier import pool
from godwitflow.tier import services
from godwitflow.tier import traffic as traffic_module


class Dispatcher:
    """Selects upstreams for calls.

    ``outcomes`` keeps their health up to date, ``latencies`` the latency
    of each route. ``on_crashes`` is called with the fingerprint of a
    request that crashed upstreams and the number of crashes. ``permits``
    has to be set before the first call. ``response_bytes`` bounds what
    responses take that are being received.
    """

    def __init__(
        self,
        reactor: typing.Any,
        now_ms: typing.Callable[[], float],
        header_names: headers.HeaderNames,
        failure_domain: ids.FailureDomain,
        traffic: traffic_module.Traffic,
        retry_limits: retry_budget.RetryLimits,
        log: logs.Log,
        metrics: metrics_module.Metrics,
        seed: int,
        limit_watch: limit_watching.LimitWatch,
        response_bytes: int = receive_memory.LIMIT_BYTES,
    ) -> None:
        self.log = log
        self.limit_watch = limit_watch
        self.metrics = metrics
        self.reactor = reactor
        self.now_ms = now_ms
        self.header_names = header_names
        self.node_count = 1
        self._cap_divisor = 1
        self.crash_history = crash_history.CrashHistory()
        self.on_crashes: typing.Callable[[ids.Fingerprint, int], None] = (
            _ignore_crashes
        )
        self.permits: permits.Permits
        self.call_count = 0
        self.random = random.Random(seed)
        self.notice_watch = notice_watching.NoticeWatch(
            header_names.leaving, log, metrics, random.Random(seed + 1)
        )
        self.outcomes = outcomes.Outcomes(
            now_ms, log, limit_watch, self.notice_watch, header_names.load
        )
        self.latencies = latency_estimates.LatencyEstimates()
        self.work_estimates = work_estimates.WorkEstimates()
        self._failure_domain = failure_domain
        self._evacuated: frozenset[ids.FailureDomain] = frozenset()
        self._traffic = traffic
        self.receive_memory = receive_memory.ReceiveMemory(response_bytes)
        self._retry_limits = retry_limits
        self._services: dict[ids.ServiceName, services.Service] = {}
        self._upstreams: dict[ids.UpstreamId, services.Upstream] = {}

    # Configuration and registrations ------------------------------------

    def apply_configuration(
        self, configuration: routing.Configuration
    ) -> None:
        """Apply the limits that a configuration sets for upstreams."""
        for configured in configuration.services.values():
            service = self.service(configured.name)
            service.connection_cap = configured.connection_cap
            service.cold_calls_per_s = configured.cold_calls_per_s
            for upstream in service.upstreams:
                upstream.cold_calls_per_s = configured.cold_calls_per_s
        self._update_connection_limits()

    def apply_node_count(self, node_count: int) -> None:
        """Set the number of nodes that share caps and budgets."""
        if node_count != self.node_count:
            self.node_count = max(1, node_count)
            self._update_connection_limits()

    def apply_recent_start(self, recent: bool) -> None:
        """Halve this node's connection limits while ``recent`` is set.

        After a power loss, upstreams may still count the connections of
        the previous process, and they reset connections beyond their
        cap.
        """
        self._cap_divisor = 2 if recent else 1
        self._update_connection_limits()

    def _connection_limit(self, service: services.Service) -> int:
        return max(
            1, service.connection_cap // (self.node_count * self._cap_divisor)
        )

    def apply_retry_limits(self, limits: retry_budget.RetryLimits) -> None:
        """Apply the fleet-wide limits on repeated calls."""
        self._retry_limits = limits
        for service in self._services.values():
            service.retry_budget.limits = limits

    def _update_connection_limits(self) -> None:
        for service in self._services.values():
            for upstream in service.upstreams:
                upstream.pool.max_connections = self._connection_limit(service)

    def apply_registrations(
        self, ready: list[registrations.Registration], now_ms: float
    ) -> None:
        """Replace the set of upstreams that may receive calls."""
        entries = {entry.upstream: entry for entry in ready}
        for name, upstream in list(self._upstreams.items()):
            entry = entries.get(name)
            if entry is None or _is_other_instance(
                entry, upstream.registration
            ):
                self._remove_upstream(name, upstream)
        for name, entry in entries.items():
            current = self._upstreams.get(name)
            if current is None:
                current = self._add_upstream(entry)
            current.registration = entry
            if entry.cold_left_ms > 0:
                current.health.cold_until_ms = now_ms + entry.cold_left_ms
        for service in self._services.values():
            service.dispatch_queue()

    def apply_evacuations(self, domains: frozenset[ids.FailureDomain]) -> None:
        """Stop calls to the upstreams of some failure domains."""
        self._evacuated = domains
        for upstream in self._upstreams.values():
            upstream.evacuated = (
                upstream.registration.failure_domain in domains
            )
        for service in self._services.values():
            service.dispatch_queue()

    def _remove_upstream(
        self, name: ids.UpstreamId, upstream: services.Upstream
    ) -> None:
        del self._upstreams[name]
        service = self.service(upstream.registration.service)
        service.upstreams.remove(upstream)
        self.limit_watch.forget(upstream)
        self.notice_watch.forget(upstream)
        upstream.pool.max_connections = 0
        upstream.pool.close_idle()

    def _add_upstream(
        self, entry: registrations.Registration
    ) -> services.Upstream:
        service = self.service(entry.service)
        connection_pool = pool.ConnectionPool(
            self.reactor,
            entry.address,
            self._connection_limit(service),
            self.header_names.request_id,
            self.now_ms,
            service.dispatch_queue,
            bytes_carried=self._traffic.count_for(
                traffic_module.Purpose.UPSTREAM_CALLS, entry.failure_domain
            ),
            receive_memory=self.receive_memory,
        )
        upstream = services.Upstream(
            entry,
            connection_pool,
            replica_choice.ReplicaHealth(decayed_at_ms=self.now_ms()),
            entry.failure_domain != self._failure_domain,
            evacuated=entry.failure_domain in self._evacuated,
            cold_calls_per_s=service.cold_calls_per_s,
            notices=self.notice_watch.notices_of(entry),
        )
        self._upstreams[entry.upstream] = upstream
        service.upstreams.append(upstream)
        return upstream

    def service(self, name: ids.ServiceName) -> services.Service:
        """Return the service with a name, creating it on first use."""
        service = self._services.get(name)
        if service is None:
            service = services.Service(
                name,
                self._retry_limits,
                functools.partial(self._on_queue_error, name),
            )
            self._services[name] = service
        return service

    def _on_queue_error(
        self, service: ids.ServiceName, error: Exception
    ) -> None:
        self.log.limited_event(
            "call_resume_failed", service=service, error=repr(error)
        )

    # Calls --------------------------------------------------------------

    def untried_upstreams(
        self, service: services.Service, tried: set[ids.UpstreamId]
    ) -> list[services.Upstream]:
        """Return the upstreams of a service that are not in ``tried``.

        Upstreams that answered 421 (Misdirected Request) are left out, and
        so are those that asked for no calls. Those that leave are left out
        while another one is expected to answer.
        """
        now_ms = self.now_ms()
        normal = []
        leaving = []
        for upstream in service.upstreams:
            if upstream.name in tried:
                continue
            match upstream.usage(now_ms):
                case upstream_notices.Usage.NORMAL:
                    normal.append(upstream)
                case upstream_notices.Usage.LAST_CHOICE:
                    leaving.append(upstream)
        if leaving and all(
            upstream.health.unavailable(now_ms) for upstream in normal
        ):
            return normal + leaving
        return normal

    def find_upstream(
        self, name: ids.UpstreamId, started_at_ms: int
    ) -> services.Upstream | None:
        """Return the instance of an upstream; None if it is not known."""
        upstream = self._upstreams.get(name)
        if upstream is None:
            return None
        known_ms = upstream.registration.started_at_ms
        return upstream if known_ms == started_at_ms else None

    def choose_upstream(
        self, eligible: list[services.Upstream], work_ms: float
    ) -> services.Upstream | None:
        """Choose an upstream that has capacity; None if there is none.

        ``work_ms`` is the expected work of the call.
        """
        chosen = replica_choice.choose(
            _candidates(eligible), self.now_ms(), work_ms, self.random
        )
        if chosen is None:
            return None
        return next(
            upstream
            for upstream in eligible
            if upstream.name == chosen.upstream
        )

    def preferred_upstreams(
        self, eligible: list[services.Upstream], work_ms: float
    ) -> set[ids.UpstreamId]:
        """Return the names of those that ``choose_upstream`` draws from."""
        pool = replica_choice.preferred(
            _candidates(eligible), self.now_ms(), work_ms
        )
        return {candidate.upstream for candidate in pool}

    def enqueue(
        self,
        service: services.Service,
        rank: ids.Rank,
        call: services.QueuedCall,
        customer: ids.CustomerName | None = None,
        work_ms: float = 1.0,
    ) -> None:
        """Queue a call until an upstream has capacity.

        The queue is ordered by rank, most urgent first, and within a rank
        fairly by customer and expected work.
        """
        service.queue.push(call, int(rank), customer, work_ms)

    def next_call_key(self) -> int:
        """Count a starting call and return a unique key for it."""
        self.call_count += 1
        return self.call_count

    def record_crashes(
        self,
        outbound: outbound_request.OutboundRequest,
        fingerprint: ids.Fingerprint,
        crashes: int,
    ) -> None:
        """Record a request that got no response and crashed upstreams.

        The request is counted, logged and reported to ``on_crashes``.
        """
        self.crash_history.record_crashes(fingerprint, crashes, self.now_ms())
        self.metrics.count("strikes")
        self.log.limited_event(
            "strike",
            request=outbound.request_id_text,
            fingerprint=f"{fingerprint:016x}",
            crashes=crashes,
        )
        self.on_crashes(fingerprint, crashes)

    def record_repeated_call(
        self,
        outbound: outbound_request.OutboundRequest,
        service: ids.ServiceName,
        reason: str,
    ) -> None:
        """Count and log a retry or hedge of a request."""
        self.metrics.count("repeated_calls", reason=reason)
        now_ms = self.now_ms()
        hedge_delay_ms = self.latencies.of(outbound.route).hedge_delay.value
        self.log.limited_event(
            "call_repeated",
            request=outbound.request_id_text,
            service=service,
            reason=reason,
            elapsed_ms=round(now_ms - outbound.received_at_ms, 1),
            late_after_ms=round(hedge_delay_ms, 1),
        )

    # Peers --------------------------------------------------------------

    def end_observation_round(self) -> list[observations.Observation]:
        """Return the round's observations for peers and start a new round."""
        return self.outcomes.observations.end_round(self._is_degraded)

    def _is_degraded(self, name: ids.UpstreamId) -> bool:
        upstream = self._upstreams.get(name)
        return upstream is not None and upstream.health.degraded

    def apply_observation(self, observation: observations.Observation) -> None:
        """Update an upstream's health from a peer's observation."""
        upstream = self._upstreams.get(observation.upstream)
        if upstream is not None:
            upstream.health.on_peer_report(self.now_ms(), observation)


def _candidates(
    eligible: list[services.Upstream],
) -> list[replica_choice.Candidate]:
    return [
        replica_choice.Candidate(
            upstream.name,
            upstream.health,
            upstream.other_domain,
            upstream.registration.slots,
        )
        for upstream in eligible
        if upstream.pool.has_capacity
    ]


def _ignore_crashes(fingerprint: ids.Fingerprint, crashes: int) -> None:
    """Default ``on_crashes``; a node replaces it to inform its peers."""


def _is_other_instance(
    entry: registrations.Registration, current: registrations.Registration
) -> bool:
    """Return whether an entry has another address, service or start time."""
    return (
        entry.address != current.address
        or entry.service != current.service
        or entry.started_at_ms != current.started_at_ms
    )
