"""The lifecycle of a node: starting, serving and stopping.

The node creates its components and connects them with each other; it
leaves the handling of requests to them.
"""

import dataclasses
import enum
import functools
import random
import typing

from twisted.internet import defer
from twisted.internet import task

from godwitflow.http1 import caller_capacity
from godwitflow.http1 import callers
from godwitflow.http1 import messages as http_messages
from godwitflow.model import ids
from godwitflow.policy import node_load
from godwitflow.policy import registrations
from godwitflow.policy import routing
from godwitflow.policy import stop_plan
from godwitflow.store import objects
from godwitflow.tier import cluster_state
from godwitflow.tier import crash_exchange
from godwitflow.tier import directory
from godwitflow.tier import dispatcher as dispatching
from godwitflow.tier import front
from godwitflow.tier import headers
from godwitflow.tier import health_exchange
from godwitflow.tier import limit_watch
from godwitflow.tier import log as logs
from godwitflow.tier import metrics
from godwitflow.tier import peer_protocol
from godwitflow.tier import permits
from godwitflow.tier import quotas
from godwitflow.tier import replication
from godwitflow.tier import request_router
from godwitflow.tier import self_registration
from godwitflow.tier import settings as node_settings
from godwitflow.tier import traffic
from godwitflow.tier import where
from godwitflow.wire import messages

CHECK_INTERVAL_S = 0.5
RECENT_START_S = 5.0
TRAFFIC_LOG_INTERVAL_S = 10.0
FIRST_START_WAIT_MS = 1_500.0
RESTART_WAIT_MS = 120.0
LISTEN_BACKLOG = 512
STOP_CHECK_INTERVAL_S = 0.1
MIN_STOP_TTLS = 1.2  # callers use an address until its TTL has passed


class Stage(enum.Enum):
    """The lifecycle stage of a node."""

    STARTING = "starting"
    SERVING = "serving"
    STOPPING = "stopping"


class Node:
    """One process of the query tier, with all its components."""

    def __init__(
        self,
        reactor: typing.Any,
        settings: node_settings.NodeSettings,
        header_names: headers.HeaderNames,
        store: objects.ObjectStore,
        decoder: cluster_state.ObjectDecoder,
        log: logs.Log,
        incarnation: int,
        address_codec: directory.AddressCodec,
        now_ms: typing.Callable[[], float],
    ) -> None:
        self.stage = Stage.STARTING
        self._reactor = reactor
        self._now_ms = now_ms
        self._settings = settings
        self._log = log
        self.metrics = metrics.Metrics()
        self.traffic = traffic.Traffic(settings.failure_domain)
        seed = random.getrandbits(32)
        self.limit_watch = limit_watch.LimitWatch(
            settings.node, header_names.rate_limit, log, self.metrics
        )
        self.dispatcher = dispatching.Dispatcher(
            reactor,
            now_ms,
            header_names,
            settings.failure_domain,
            self.traffic,
            settings.bounds.retry,
            log,
            self.metrics,
            seed,
            self.limit_watch,
            settings.response_bytes,
        )
        self.dispatcher.notice_watch.drain_ms = settings.bounds.drain_ms
        self.router = request_router.RequestRouter(self.dispatcher, log, seed)
        self.cluster_state = cluster_state.ClusterState(
            reactor,
            decoder,
            now_ms,
            log,
            self._on_configuration,
            self._on_registrations,
            self._on_evacuations if settings.evacuations else None,
        )
        self._evacuations_known = not settings.evacuations
        self._registrations_known = False
        me = messages.MemberUpdate(
            settings.node,
            settings.failure_domain,
            settings.inner,
            settings.caller_address,
            "",
            incarnation,
            messages.MemberState.ALIVE,
            cores=settings.cores,
        )
        self.load = node_load.NodeLoad(settings.cores)
        self.peers = peer_protocol.PeerProtocol(
            me,
            settings.seeds,
            now_ms,
            log,
            self,
            seed,
            self.traffic,
        )
        self.crash_exchange = crash_exchange.CrashExchange(
            self.dispatcher.crash_history, self.peers.broadcast, now_ms
        )
        self.dispatcher.on_crashes = self.crash_exchange.report
        self.permits = permits.Permits(
            reactor,
            now_ms,
            settings.node,
            self.peers,
            self.dispatcher.find_upstream,
            self.limit_watch,
            log,
        )
        self.dispatcher.permits = self.permits
        self.quotas = quotas.Quotas(
            reactor,
            now_ms,
            settings.node,
            self.peers,
            settings.bounds.quota,
            log,
            seed,
        )
        self.router.customers.quotas = self.quotas
        self._where = where.Where(settings.node, self.router, now_ms)
        self.directory = directory.Directory(
            self.peers, address_codec, settings.bounds.max_address_age_ms
        )
        self.health_exchange = health_exchange.HealthExchange(
            self.dispatcher, self.peers.send_to_random
        )
        self.replication = replication.Replication(
            reactor,
            store,
            self.cluster_state.kinds,
            settings.node,
            self.peers,
            self.cluster_state,
            now_ms,
            log,
            _first_list_delay_ms(settings),
            self.traffic,
        )
        self._self_registration = self_registration.SelfRegistration(
            reactor,
            settings,
            store,
            self.peers,
            log,
            lambda: self.stage is Stage.STOPPING,
        )
        self.replication.on_restored = (
            self._self_registration.on_store_restored
        )
        self.capacity = caller_capacity.CallerCapacity(settings.capacity)
        self._caller_listener = self._new_listener(self._on_request)
        self._readiness_listener = self._new_listener(self._on_ready_check)
        self._directory_listener = self._new_listener(self.directory.handle)
        self._metrics_listener = self._new_listener(self._on_metrics_request)
        self._inner_listener = self._new_listener(self.replication.serve_fetch)
        self._ports: list[typing.Any] = []
        self._caller_port: typing.Any = None
        self._stopped: defer.Deferred[None] = defer.Deferred()
        self._stopping_at_ms = 0.0

    # Start --------------------------------------------------------------

    def start(self) -> "defer.Deferred[None]":
        """Listen and follow the store.

        Returns a Deferred that fires when the node has stopped.
        """
        settings = self._settings
        self._caller_port = self._listen(
            settings.caller_address, self._caller_listener
        )
        self._listen(settings.ready_address, self._readiness_listener)
        self._listen(settings.directory_address, self._directory_listener)
        self._listen(settings.inner, self._inner_listener)
        self._listen(settings.metrics_address, self._metrics_listener)
        host, _, port = settings.inner.rpartition(":")
        self._reactor.listenUDP(
            int(port), self.peers, interface=host, maxPacketSize=65_507
        )
        self._start_loop(peer_protocol.TICK_S, self.peers.tick)
        self._start_loop(peer_protocol.TICK_S, self.replication.tick)
        self._start_loop(peer_protocol.TICK_S, self.health_exchange.tick)
        self._start_loop(CHECK_INTERVAL_S, self._check_timeouts)
        self._start_loop(CHECK_INTERVAL_S, self._update_load)
        self._start_loop(CHECK_INTERVAL_S, self.quotas.tick)
        self._start_loop(TRAFFIC_LOG_INTERVAL_S, self._log_traffic)
        self._start_loop(CHECK_INTERVAL_S, self._summarize_limited_calls)
        self.dispatcher.apply_recent_start(True)
        self._reactor.callLater(
            RECENT_START_S, self.dispatcher.apply_recent_start, False
        )
        self.replication.start()
        self.peers.tick()
        defer.ensureDeferred(self._self_registration.run())
        self._log.event("started", settings=repr(settings))
        return self._stopped

    def _new_listener(
        self, handler: typing.Callable[[callers.Exchange], None]
    ) -> front.Listener:
        return front.Listener(self._now_ms, handler, self._log, self.capacity)

    def _listen(self, address: str, factory: typing.Any) -> typing.Any:
        host, _, port = address.rpartition(":")
        listening_port = self._reactor.listenTCP(
            int(port), factory, backlog=LISTEN_BACKLOG, interface=host
        )
        self._ports.append(listening_port)
        return listening_port

    def _start_loop(
        self, interval_s: float, action: typing.Callable[[], None]
    ) -> None:
        loop = task.LoopingCall(action)
        loop.clock = self._reactor
        running = loop.start(interval_s, now=False)
        running.addErrback(self._on_loop_failure, interval_s, action)

    def _on_loop_failure(
        self,
        failure: typing.Any,
        interval_s: float,
        action: typing.Callable[[], None],
    ) -> None:
        """Log the error and restart the loop; the node keeps running."""
        self._log.event("task_failed", error=failure.getTraceback())
        self._start_loop(interval_s, action)

    # Updates ------------------------------------------------------------

    def apply_settings(self, settings: node_settings.NodeSettings) -> None:
        """Apply changed bounds, and log whether a restart is needed.

        Changed addresses only take effect after a restart.
        """
        previous = self._settings
        if settings == previous:
            return
        self._settings = dataclasses.replace(
            previous, bounds=settings.bounds, seeds=settings.seeds
        )
        self.dispatcher.apply_retry_limits(settings.bounds.retry)
        self.dispatcher.notice_watch.drain_ms = settings.bounds.drain_ms
        self.quotas.issuing.apply_bounds(settings.bounds.quota)
        self.directory.max_age_ms = settings.bounds.max_address_age_ms
        self._log.event(
            "reloaded",
            bounds=repr(settings.bounds),
            needs_restart=self._settings != settings,
        )

    def _on_configuration(self, configuration: routing.Configuration) -> None:
        self.dispatcher.apply_configuration(configuration)
        self.router.apply_configuration(configuration)
        limits = configuration.limits
        if limits is not None:
            self._caller_listener.limits = callers.Limits(
                limits.header_bytes,
                limits.body_bytes,
                limits.header_timeout_ms,
                limits.idle_timeout_ms,
            )
        self._check_ready()

    def _on_registrations(
        self, ready: list[registrations.Registration]
    ) -> None:
        self.dispatcher.apply_registrations(ready, self._now_ms())
        self._registrations_known = True
        self._check_upstreams_known()

    def _on_evacuations(self, domains: frozenset[ids.FailureDomain]) -> None:
        self.dispatcher.apply_evacuations(domains)
        self._evacuations_known = True
        self._check_upstreams_known()

    def _check_upstreams_known(self) -> None:
        """Serve once it is known which upstreams may be called."""
        if self._registrations_known and self._evacuations_known:
            self.router.registrations_known = True
        self._check_ready()

    def _check_ready(self) -> None:
        configured = self.router.route_table is not None
        if self.stage is not Stage.STARTING or not configured:
            return
        if not self.router.registrations_known:
            return
        self.stage = Stage.SERVING
        self._log.event("ready")
        self.peers.membership.update_self(joined=True)
        self.peers.announce()

    def on_revisions(
        self, inner_address: str, message: messages.Revisions
    ) -> None:
        """Process the revisions of a peer's copies of store objects."""
        self.replication.on_revisions(inner_address, message)

    def revisions(self) -> messages.Revisions:
        """Return the revisions of this node's own copies."""
        return self.replication.revisions()

    def on_suspicions(self, message: messages.Suspicions) -> None:
        """Process a peer's reports of requests that crash upstreams."""
        self.crash_exchange.on_suspicions(message)

    def suspicions(self) -> messages.Suspicions:
        """Return the requests that this node refuses."""
        return self.crash_exchange.suspicions()

    def on_upstream_reports(self, message: messages.UpstreamReports) -> None:
        """Process a peer's reports on upstreams."""
        self.health_exchange.on_upstream_reports(message)

    def on_limit_reports(
        self, sender: ids.NodeId, message: messages.LimitReports
    ) -> None:
        """Process a peer's reports on rate limits of upstreams."""
        self.health_exchange.on_limit_reports(sender, message)

    def on_permit_request(
        self, sender: ids.NodeId, message: messages.PermitRequest
    ) -> None:
        """Process a peer's request for permits."""
        self.permits.on_request(sender, message)

    def on_permit_reply(
        self, sender: ids.NodeId, message: messages.PermitReply
    ) -> None:
        """Process the answers to a request for permits."""
        self.permits.on_reply(sender, message)

    def on_quota_request(
        self, sender: ids.NodeId, message: messages.QuotaRequest
    ) -> None:
        """Process a peer's request for tokens of customers' quotas."""
        self.quotas.on_request(sender, message)

    def on_quota_reply(
        self, sender: ids.NodeId, message: messages.QuotaReply
    ) -> None:
        """Process the answers to a request for tokens."""
        self.quotas.on_reply(sender, message)

    def on_members_changed(self) -> None:
        """Update the nodes that share caps, budgets, limits and quotas."""
        self.quotas.on_members_changed()
        self.permits.on_members_changed()
        self.dispatcher.apply_node_count(self.peers.node_count())

    # Requests -----------------------------------------------------------

    def _on_request(self, exchange: callers.Exchange) -> None:
        self.router.handle(exchange)

    def _on_ready_check(self, exchange: callers.Exchange) -> None:
        ready = self.stage is Stage.SERVING
        exchange.respond(
            http_messages.text_response(
                200 if ready else 503, self.stage.value
            )
        )

    def _on_metrics_request(self, exchange: callers.Exchange) -> None:
        """Respond with all metrics as text, or with a request's plan."""
        if exchange.request.path == where.PATH:
            self._where.handle(exchange)
            return
        connections = len(self._caller_listener.connections)
        members = self.peers.membership.all_members()
        lines = [
            *self.metrics.lines(),
            *self.traffic.lines(),
            *self.limit_watch.lines(),
            *self.dispatcher.notice_watch.lines(self._now_ms()),
            *self.permits.lines(),
            *self.replication.lines(),
            *self.cluster_state.lines(),
            metrics.gauge_line("caller_connections", connections),
            metrics.gauge_line("request_bytes_held", self.capacity.held_bytes),
            metrics.gauge_line(
                "requests_without_room", self.capacity.refused_count
            ),
            metrics.gauge_line(
                "connections_evicted", self.capacity.evicted_count
            ),
            metrics.gauge_line(
                "response_bytes_held",
                self.dispatcher.receive_memory.held_bytes,
            ),
            metrics.gauge_line(
                "responses_without_room",
                self.dispatcher.receive_memory.dropped_count,
            ),
            metrics.gauge_line("members", len(members)),
            metrics.gauge_line("log_lines_left_out", self._log.dropped_total),
            metrics.gauge_line("inner_rejected", self.peers.rejected_count),
        ]
        body = ("\n".join(lines) + "\n").encode()
        exchange.respond(http_messages.Response(200, b"OK", [], body))

    def _update_load(self) -> None:
        """Announce to every member when this node becomes busy or calm."""
        if not self.load.update(self._now_ms(), self.dispatcher.call_count):
            return
        announced_load = node_load.BUSY_LOAD if self.load.busy else 0.0
        self._log.event(
            "busy" if self.load.busy else "calm",
            load=round(self.load.load, 2),
            cores=self._settings.cores,
        )
        self.peers.membership.update_self(load=announced_load)
        self.peers.announce()

    def _log_traffic(self) -> None:
        """Log the bytes carried since the start, for capacity planning."""
        self._log.event("traffic", bytes_carried=self.traffic.summary())

    def _summarize_limited_calls(self) -> None:
        self.limit_watch.tick(self._now_ms())
        self.dispatcher.notice_watch.tick(self._now_ms())

    def _check_timeouts(self) -> None:
        for listener in (
            self._caller_listener,
            self._readiness_listener,
            self._directory_listener,
            self._inner_listener,
            self._metrics_listener,
        ):
            listener.check_timeouts()

    # Stop ---------------------------------------------------------------

    def stop(self) -> None:
        """Stop gracefully within the grace period.

        Peers stop directing callers to this node, requests in flight are
        finished, and new ones are served for most of the grace period.
        """
        if self.stage is Stage.STOPPING:
            return
        self.stage = Stage.STOPPING
        now_ms = self._now_ms()
        self._stopping_at_ms = now_ms
        self.router.stop_plan = stop_plan.plan_stop(
            now_ms, self._settings.bounds.stop_grace_ms
        )
        self._log.event(
            "stopping", connections=len(self._caller_listener.connections)
        )
        self.peers.leave()
        self._caller_listener.closing = True
        self._start_loop(
            STOP_CHECK_INTERVAL_S,
            functools.partial(self._check_stopped, self.router.stop_plan),
        )

    def _check_stopped(self, plan: stop_plan.StopPlan) -> None:
        now_ms = self._now_ms()
        elapsed_ms = now_ms - self._stopping_at_ms
        if now_ms >= plan.answer_at_ms:
            self.router.give_up_all()
        if now_ms >= plan.close_idle_at_ms:
            self._caller_listener.close_idle()
        idle = not self._caller_listener.connections
        addresses_expired = (
            elapsed_ms >= MIN_STOP_TTLS * self.directory.address_ttl_ms
        )
        drained = addresses_expired and idle
        if drained or now_ms >= plan.end_at_ms:
            self._finish_stop()

    def _finish_stop(self) -> None:
        if self._stopped.called:
            return
        self.replication.stop()
        self._log.event(
            "stopped",
            connections=len(self._caller_listener.connections),
            bytes_carried=self.traffic.summary(),
        )
        self._stopped.callback(None)


def _first_list_delay_ms(settings: node_settings.NodeSettings) -> float:
    """Return how long a starting node waits before it lists the store.

    Seeds list it immediately. Other nodes wait for the seeds' copies, at
    the first start of the whole system longer than at a restart.
    """
    if settings.inner in settings.seeds:
        return 0.0
    return FIRST_START_WAIT_MS if settings.first_start else RESTART_WAIT_MS
