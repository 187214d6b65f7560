"""Chooses an upstream for each call and records the call's outcome.

The dispatcher owns a connection pool and a health record for each
upstream. For each service it owns a retry budget and a queue of calls
that wait for connection capacity.
"""

import dataclasses
import functools
import heapq
import itertools
import random
import typing

from godwitflow.http1 import messages
from godwitflow.http1 import receive_memory
from godwitflow.http1 import upstreams
from godwitflow.model import ids
from godwitflow.policy import crash_history
from godwitflow.policy import observations
from godwitflow.policy import quantile
from godwitflow.policy import registrations
from godwitflow.policy import replica_choice
from godwitflow.policy import retry_budget
from godwitflow.policy import routing
from godwitflow.policy import upstream_notices
from godwitflow.tier import headers
from godwitflow.tier import limit_watch as limit_watching
from godwitflow.tier import log as logs
from godwitflow.tier import metrics as metrics_module
from godwitflow.tier import notice_watch as notice_watching
from godwitflow.tier import outbound_request
from godwitflow.tier import permits
from godwitflow.tier import pool
from godwitflow.tier import services
from godwitflow.tier import traffic as traffic_module

# Initial latency estimates, as shares of a route's target time.
INITIAL_MEDIAN_SHARE = 0.15
INITIAL_HEDGE_DELAY_SHARE = 0.35
HEDGE_DELAY_QUANTILE = 0.88
MIN_MEDIAN_MS = 0.1  # latencies are divided by the median


@dataclasses.dataclass(slots=True)
class LatencyEstimate:
    """Running estimates of the latency of a route's calls, in ms.

    ``median`` is the median latency. ``hedge_delay`` is a high quantile:
    a call that takes longer is hedged with a call to a second replica.
    """

    median: quantile.RunningQuantile
    hedge_delay: quantile.RunningQuantile


class Dispatcher:
    """Selects upstreams for calls and tracks their health and latency.

    ``on_crashes`` is called with the fingerprint of a request that
    crashed upstreams and the number of crashes. ``permits`` has to be set
    before the first call.
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
        self._observations = observations.Observations()
        self.on_crashes: typing.Callable[[ids.Fingerprint, int], None] = (
            _ignore_crashes
        )
        self.permits: permits.Permits
        self.call_count = 0
        self.random = random.Random(seed)
        self.notice_watch = notice_watching.NoticeWatch(
            header_names.leaving, log, metrics, random.Random(seed + 1)
        )
        self._failure_domain = failure_domain
        self._traffic = traffic
        self._receive_memory = receive_memory.ReceiveMemory()
        self._retry_limits = retry_limits
        self._services: dict[ids.ServiceName, services.Service] = {}
        self._upstreams: dict[ids.UpstreamId, services.Upstream] = {}
        self._latency_estimates: dict[str, LatencyEstimate] = {}
        self._queue_sequence = itertools.count()

    # Configuration and registrations ------------------------------------

    def apply_configuration(
        self, configuration: routing.Configuration
    ) -> None:
        """Apply the connection caps of a configuration."""
        for service in configuration.services.values():
            self.service(service.name).connection_cap = service.connection_cap
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
            receive_memory=self._receive_memory,
        )
        upstream = services.Upstream(
            entry,
            connection_pool,
            replica_choice.ReplicaHealth(decayed_at_ms=self.now_ms()),
            entry.failure_domain != self._failure_domain,
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

    def latency_estimate(self, route: routing.Route) -> LatencyEstimate:
        """Return the latency estimate of a route, creating it if new."""
        estimate = self._latency_estimates.get(route.name)
        if estimate is None:
            target_ms = route.target_ms
            estimate = LatencyEstimate(
                quantile.RunningQuantile(
                    0.5, INITIAL_MEDIAN_SHARE * target_ms
                ),
                quantile.RunningQuantile(
                    HEDGE_DELAY_QUANTILE, INITIAL_HEDGE_DELAY_SHARE * target_ms
                ),
            )
            self._latency_estimates[route.name] = estimate
        return estimate

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
        self, eligible: list[services.Upstream], median_ms: float
    ) -> services.Upstream | None:
        """Choose an upstream that has capacity; None if there is none.

        ``median_ms`` is the median latency of the route's calls.
        """
        candidates = []
        by_id = {}
        for upstream in eligible:
            if upstream.pool.has_capacity:
                name = upstream.name
                by_id[name] = upstream
                candidates.append(
                    replica_choice.Candidate(
                        name,
                        upstream.health,
                        upstream.other_domain,
                        upstream.registration.slots,
                    )
                )
        chosen = replica_choice.choose(
            candidates, self.now_ms(), median_ms, self.random
        )
        return by_id[chosen.upstream] if chosen else None

    def enqueue(
        self,
        service: services.Service,
        rank: ids.Rank,
        call: services.QueuedCall,
    ) -> None:
        """Queue a call until an upstream has capacity.

        The queue is ordered by rank, most urgent first, then by arrival.
        """
        entry = (int(rank), next(self._queue_sequence), call)
        heapq.heappush(service.queue, entry)

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
        hedge_delay_ms = self.latency_estimate(
            outbound.route
        ).hedge_delay.value
        self.log.limited_event(
            "call_repeated",
            request=outbound.request_id_text,
            service=service,
            reason=reason,
            elapsed_ms=round(now_ms - outbound.received_at_ms, 1),
            late_after_ms=round(hedge_delay_ms, 1),
        )

    def record_outcome(
        self,
        upstream: services.Upstream,
        latency: LatencyEstimate,
        elapsed_ms: float,
        outcome: upstreams.Outcome,
        rejected: bool,
    ) -> None:
        """Update an upstream's health and latency from a call's outcome.

        ``rejected`` says that the response guarantees that the upstream
        did not execute the request.
        """
        now_ms = self.now_ms()
        needed_trial = upstream.health.needs_trial(now_ms)
        self._record_limit(upstream, elapsed_ms, outcome, rejected, now_ms)
        paused = self._record_notices(upstream, outcome, now_ms)
        match outcome:
            case upstreams.Replied() if paused:
                upstream.health.on_pause(now_ms)
            case upstreams.Replied(response) if rejected:
                self._record_rejection(upstream, response, now_ms)
            case upstreams.Replied(response) if response.status < 500:
                self._record_reply(upstream, latency, elapsed_ms, now_ms)
            case upstreams.Failed(upstreams.FailureReason.CANCELLED):
                self._record_cancellation(upstream, elapsed_ms, now_ms)
            case _:
                upstream.health.on_failure(now_ms)
                self._observations.record_failure(upstream.name)
        if upstream.health.needs_trial(now_ms) is not needed_trial:
            self.log.limited_event(
                "upstream_back" if needed_trial else "upstream_doubted",
                upstream=upstream.name,
                service=upstream.registration.service,
                failure_share=round(upstream.health.failure_share, 2),
                elapsed_ms=round(elapsed_ms, 1),
            )

    def _record_notices(
        self,
        upstream: services.Upstream,
        outcome: upstreams.Outcome,
        now_ms: float,
    ) -> bool:
        """Learn what the upstream says of itself.

        Return whether it named a time, and so is neither slow nor faulty.
        A 421 (Misdirected Request) is the response of another upstream.
        """
        match outcome:
            case upstreams.Replied(response) if (
                response.status != messages.MISDIRECTED
            ):
                return self.notice_watch.on_response(
                    upstream, response, now_ms
                )
            case _:
                return False

    def _record_limit(
        self,
        upstream: services.Upstream,
        elapsed_ms: float,
        outcome: upstreams.Outcome,
        rejected: bool,
        now_ms: float,
    ) -> None:
        """Learn the upstream's rate limit from its response.

        A 421 (Misdirected Request) is the response of another upstream.
        """
        match outcome:
            case upstreams.Replied(response) if (
                response.status != messages.MISDIRECTED
            ):
                self.limit_watch.on_response(
                    upstream,
                    response,
                    now_ms - elapsed_ms,
                    now_ms,
                    rejected or response.status >= 500,
                )

    def _record_rejection(
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

    def _record_reply(
        self,
        upstream: services.Upstream,
        latency: LatencyEstimate,
        elapsed_ms: float,
        now_ms: float,
    ) -> None:
        median_ms = max(MIN_MEDIAN_MS, latency.median.value)
        upstream.health.on_reply(now_ms, elapsed_ms, median_ms)
        self._observations.record_reply(upstream.name, elapsed_ms / median_ms)
        latency.median.record(elapsed_ms)
        latency.hedge_delay.record(elapsed_ms)

    def _record_cancellation(
        self, upstream: services.Upstream, elapsed_ms: float, now_ms: float
    ) -> None:
        if upstream.health.on_cancelled(now_ms, now_ms - elapsed_ms):
            self._observations.record_failure(upstream.name)

    # Peers --------------------------------------------------------------

    def end_observation_round(self) -> list[observations.Observation]:
        """Return the round's observations for peers and start a new round."""
        return self._observations.end_round(self._is_degraded)

    def _is_degraded(self, name: ids.UpstreamId) -> bool:
        upstream = self._upstreams.get(name)
        return upstream is not None and upstream.health.degraded

    def apply_observation(self, observation: observations.Observation) -> None:
        """Update an upstream's health from a peer's observation."""
        upstream = self._upstreams.get(observation.upstream)
        if upstream is not None:
            upstream.health.on_peer_report(self.now_ms(), observation)


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
