"""One node: its tasks, sockets and life cycle."""

import typing

from twisted.internet import defer
from twisted.internet import task
import zmq

from godwitflow.daemon import callers
from godwitflow.daemon import clock
from godwitflow.daemon import control
from godwitflow.daemon import dispatch
from godwitflow.daemon import front
from godwitflow.daemon import journals
from godwitflow.daemon import lifecycle
from godwitflow.daemon import limits
from godwitflow.daemon import logs
from godwitflow.daemon import operators
from godwitflow.daemon import tracing
from godwitflow.model import ids
from godwitflow.policy import catalog
from godwitflow.policy import membership
from godwitflow.policy import ownership
from godwitflow.settings import config
from godwitflow.settings import process_settings
from godwitflow.store import http as store_http
from godwitflow.tier import metrics
from godwitflow.upstream import http as upstream_http
from godwitflow.wire import codec
from godwitflow.wire import links
from godwitflow.wire import messages
from godwitflow.wire import sockets

TICK_S = 0.05
JOURNAL_TICK_S = 0.005
HOUSEKEEPING_S = 5.0
FINISH_POLL_S = 0.05
FINISH_LIMIT_S = 30.0

_log = logs.logger("node")


class Node:
    """Runs the tasks of one godwitflowd on a reactor.

    Several nodes may share a process and a ZeroMQ context, as in the
    demo. ``start`` opens the listeners; ``stop`` leaves gracefully.
    """

    def __init__(
        self,
        reactor: typing.Any,
        settings: process_settings.ProcessSettings,
        context: zmq.Context,
        now_ms: clock.NowMs = clock.monotonic_ms,
    ) -> None:
        self.reactor = reactor
        self.settings = settings
        self.context = context
        self.now_ms = now_ms
        self.id = settings.node
        self.incarnation = int(clock.unix_ms())
        self.lifecycle = lifecycle.new()
        self.metrics = metrics.Metrics()
        self.tracer = tracing.Tracing(
            settings.vm_id,
            settings.trace_share,
            tracing.span_processors(settings.trace_file, settings.trace_otlp),
        )
        self.store = store_http.HttpStore(reactor, settings.platform)
        self.upstream = upstream_http.HttpClient(reactor, now_ms)
        self.catalog = catalog.Catalog()
        self._open_links()
        self._build_tasks()
        self._ports: list[typing.Any] = []
        self._sites: list[limits.LimitedSite] = []
        self._loops: list[task.LoopingCall] = []
        self._stopping: defer.Deferred[None] | None = None
        self._last_pause_count = 0

    # Construction -----------------------------------------------------

    def _open_links(self) -> None:
        settings = self.settings
        keys = sockets.CurveKeys.from_settings(
            settings.curve_secret_key, settings.curve_peers
        )
        self.links = links.Links(
            self.reactor,
            self.context,
            self.id,
            self.incarnation,
            f"tcp://{settings.address}:{settings.inner_port}",
            self._receive,
            keys,
        )

    def _build_tasks(self) -> None:
        settings = self.settings
        me = messages.MemberUpdate(
            self.id,
            ids.FailureDomain(settings.failure_domain),
            self.links.receive_socket.address,
            "",
            "",
            self.incarnation,
            messages.MemberState.ALIVE,
        )
        seed = ownership.hash64(f"{self.id}/{self.incarnation}")
        self.table = membership.Membership(me, seed)
        self.control = control.Control(
            self.reactor,
            self.now_ms,
            self.store,
            self.table,
            self.catalog,
            self.links.send,
            self.metrics,
            settings.seeds,
            seed,
        )
        self.control.on_catalog_change = self._on_catalog_change
        self.control.on_member_lost = self._on_member_lost
        self.dispatch = dispatch.Dispatcher(
            self.reactor,
            self.now_ms,
            self.upstream,
            self.catalog,
            self.send,
            self.metrics,
            self.tracer,
        )
        self.dispatch.on_crash = self._broadcast_suspicions
        self.journals = journals.Journals(
            self.reactor,
            self.now_ms,
            self.id,
            self.incarnation,
            self.store,
            self._journal_settings,
            self.send,
            self.control.route,
            self.metrics,
        )
        self.front = front.Front(
            self.reactor,
            self.now_ms,
            self.id,
            self.catalog,
            self.send,
            self.control.route,
            self.journals,
            self.metrics,
            self.tracer,
        )
        self.front.is_blocked = self.dispatch.suspects.is_blocked
        self.callers = callers.Callers(self.front, self.control)
        self.operators = operators.Operators(
            self.control,
            self.dispatch,
            self.metrics,
            self.links,
            self.lifecycle.name,
        )

    def _journal_settings(self) -> config.Journal:
        current = self.catalog.config
        return current.journal if current else config.Journal()

    # Start ------------------------------------------------------------

    def start(self) -> None:
        """Open the listeners and start the periodic work."""
        settings = self.settings
        caller = self._listen(
            self.callers.resource(), settings.caller_port, settings.address
        )
        operator = self._listen(
            self.operators.resource(),
            settings.operator_port,
            settings.operator_address,
        )
        self.caller_url = f"http://{settings.address}:{caller}"
        self.operator_url = f"http://{settings.operator_address}:{operator}"
        self.table.update_self(
            caller_address=self.caller_url, operator_address=self.operator_url
        )
        self._loop(TICK_S, self._tick)
        self._loop(JOURNAL_TICK_S, self.journals.step)
        self._loop(HOUSEKEEPING_S, self._housekeeping)
        _log.info(
            "started",
            node=self.id,
            caller=self.caller_url,
            operator=self.operator_url,
            inner=self.links.receive_socket.address,
        )

    def _listen(self, root: typing.Any, port: int, address: str) -> int:
        site = limits.LimitedSite(root, self.reactor)
        listening = self.reactor.listenTCP(port, site, interface=address)
        self._ports.append(listening)
        self._sites.append(site)
        return listening.getHost().port

    def _loop(self, period_s: float, work: typing.Callable) -> None:
        loop = task.LoopingCall(work)
        loop.clock = self.reactor
        running = loop.start(period_s, now=False)
        running.addErrback(self._on_loop_error, period_s, work)
        self._loops.append(loop)

    def _on_loop_error(
        self, failure: typing.Any, period_s: float, work: typing.Callable
    ) -> None:
        """Log an unexpected exception and restart the loop."""
        _log.error("a loop failed", detail=failure.getTraceback())
        self.metrics.count("loop_failures")
        self._loop(period_s, work)

    # Loops ------------------------------------------------------------

    def _tick(self) -> None:
        self.control.tick()
        self._check_for_pause()
        self._update_readiness()
        self.front.check_peers()
        self.dispatch.report_loads()
        load = self.dispatch.active_call_count / 100.0
        self.table.update_self(load=round(load, 2))

    def _check_for_pause(self) -> None:
        """Stop serving after a pause until the state is usable again.

        The state may have changed elsewhere while this process was
        paused.
        """
        if self.table.pause_count > self._last_pause_count:
            self._last_pause_count = self.table.pause_count
            self.lifecycle.fall_behind()
            self.control.mark_unconfirmed()
            _log.warn("resumed after a pause", node=self.id)

    def _update_readiness(self) -> None:
        if self.catalog.ready and self.control.state_usable:
            self.lifecycle.catch_up()
        serving = self.lifecycle.may_serve()
        self.front.serving = serving
        joined = self.lifecycle.name() == "serving"
        if joined != self.table.me.joined:
            self.table.update_self(joined=joined)

    def _housekeeping(self) -> None:
        self.links.close_idle(self.now_ms())

    # Messages ---------------------------------------------------------

    def send(self, node: ids.NodeId, message: messages.Message) -> None:
        """Send a message to a node by its id.

        A message to this node is handled without a socket.
        """
        if node == self.id:
            self.reactor.callLater(0, self._handle_local, message)
            return
        member = self.table.find(node)
        if member is not None:
            self.links.send(member.inner_address, message)
        else:
            self.metrics.count("sends_to_unknown_node")

    def _handle_local(self, message: messages.Message) -> None:
        self._handle(self.links.header, message)

    def _receive(
        self, header: codec.Header, batch: list[messages.Message]
    ) -> None:
        self.front.on_peer_message(header.sender)
        for message in batch:
            try:
                self._handle(header, message)
            except Exception as error:
                self.metrics.count("message_failures")
                _log.exception(
                    "a message failed",
                    kind=type(message).__name__,
                    detail=repr(error),
                )

    def _handle(self, header: codec.Header, message: messages.Message) -> None:
        sender = header.sender
        match message:
            case messages.Scatter():
                self.dispatch.on_scatter(sender, message)
            case messages.Piece():
                self.front.on_piece(message)
            case messages.CancelPieces():
                self.dispatch.on_cancel(sender, message)
            case messages.Loads():
                self.front.on_loads(message)
            case messages.Claim():
                self.journals.on_claim(sender, message)
            case messages.ClaimReply():
                self.journals.on_reply(message)
            case messages.Outcome():
                self.journals.on_outcome(message)
            case messages.Suspicions():
                self.dispatch.on_suspicions(message)
            case messages.Ping(sequence=sequence):
                self.links.send(header.inner_address, messages.Pong(sequence))
            case messages.Pong():
                pass
            case _:
                self._handle_control(header, message)

    def _handle_control(
        self, header: codec.Header, message: messages.Message
    ) -> None:
        now_ms = self.now_ms()
        inner_address = header.inner_address
        actions: list[membership.SendTo] = []
        match message:
            case messages.Probe():
                actions = self.table.on_probe(
                    now_ms, header.sender, inner_address, message
                )
                self.control.on_digests(inner_address, message.digests)
            case messages.ProbeAck():
                actions = self.table.on_ack(now_ms, message)
                self.control.on_digests(inner_address, message.digests)
            case messages.ProbeVia():
                actions = self.table.on_probe_via(
                    now_ms, header.sender, inner_address, message
                )
            case messages.Pull():
                self.control.on_pull(inner_address, message)
            case messages.Push():
                self.control.on_push(inner_address, message)
            case messages.MembersPull():
                self.control.on_members_pull(inner_address)
            case messages.MembersPush():
                self.control.on_members_push(message)
        for action in actions:
            self.links.send(action.inner_address, action.message)

    # Callbacks --------------------------------------------------------

    def _on_catalog_change(self, name: str) -> None:
        self.control.update_owner_keys()
        self.control.update_watches()
        self.dispatch.on_catalog_change()
        self._update_connection_caps()
        self.front.on_index(name)

    def _update_connection_caps(self) -> None:
        current = self.catalog.config
        if current is None:
            return
        # Two nodes may own an upstream at the same time while ownership
        # changes, so each uses half of its connection cap.
        self.upstream.connection_caps = {
            ids.ServiceName(name): service.connection_cap // 2
            for name, service in current.services.items()
        }

    def _on_member_lost(self, node: ids.NodeId) -> None:
        _log.info("a member is gone", member=node)
        self.front.on_node_lost(node)

    def _broadcast_suspicions(self, suspicions: messages.Suspicions) -> None:
        for update in self.table.live_members():
            if update.node != self.id:
                self.links.send(update.inner_address, suspicions)

    # Stop -------------------------------------------------------------

    def stop(self) -> "defer.Deferred[None]":
        """Leave gracefully; a second call waits for the first one.

        The node serves callers until their address replies have expired,
        then closes its listeners and finishes the open requests.
        """
        if self._stopping is None:
            self._stopping = defer.ensureDeferred(self._stop())
        stopped: defer.Deferred[None] = defer.Deferred()
        self._stopping.chainDeferred(stopped)
        return stopped

    async def _stop(self) -> None:
        _log.info("leaving", node=self.id)
        self.lifecycle.leave()
        self.control.stopping = True
        self.table.leave()
        await self._sleep(self._address_max_age_s())
        self.lifecycle.drain()
        for port in self._ports:
            await defer.maybeDeferred(port.stopListening)
        await self._finish_requests()
        self.lifecycle.stop()
        await self._close()
        _log.info("stopped", node=self.id)

    def _address_max_age_s(self) -> float:
        """Return how long callers may still use this node's address."""
        return self.control.address_settings.max_age_ms / clock.MS_PER_S

    async def _finish_requests(self) -> None:
        waited_s = 0.0
        while not self._idle() and waited_s < FINISH_LIMIT_S:
            await self._sleep(FINISH_POLL_S)
            waited_s += FINISH_POLL_S
        for site in self._sites:
            site.close_idle()

    def _idle(self) -> bool:
        return (
            self.front.idle
            and self.dispatch.idle
            and self.journals.idle
            and self.callers.open_requests == 0
        )

    async def _close(self) -> None:
        for loop in self._loops:
            if loop.running:
                loop.stop()
        self.dispatch.stop()
        self.links.close()
        await self.upstream.close()
        await self.store.close()
        self.tracer.close()

    async def _sleep(self, seconds: float) -> None:
        await task.deferLater(self.reactor, seconds, lambda: None)
