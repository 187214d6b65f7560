"""The front task: takes callers' requests from admission to answer."""

import dataclasses
import itertools
import random
import typing

from twisted.internet import defer

from godwitflow.daemon import clock
from godwitflow.daemon import resolve
from godwitflow.daemon import tracing
from godwitflow.model import answers
from godwitflow.model import ids
from godwitflow.model import queries
from godwitflow.policy import admission
from godwitflow.policy import catalog as catalog_module
from godwitflow.policy import gather
from godwitflow.policy import known_good
from godwitflow.policy import ownership
from godwitflow.policy import peer_liveness
from godwitflow.policy import query_run
from godwitflow.tier import metrics as metrics_module
from godwitflow.wire import messages

# A query is finished this long before its deadline.
ANSWER_MARGIN_MS = 2.0

Result = answers.Answer | answers.Refusal
Send = typing.Callable[[ids.NodeId, messages.Message], None]
Route = typing.Callable[[str], list[ids.NodeId]]


@dataclasses.dataclass
class _RunningQuery:
    run: query_run.QueryRun
    result: "defer.Deferred[Result]"
    timer: typing.Any = None


class Front:
    """Admits queries, scatters their pieces and gathers the answers."""

    def __init__(
        self,
        reactor: typing.Any,
        now_ms: clock.NowMs,
        node: ids.NodeId,
        catalog: catalog_module.Catalog,
        send: Send,
        route: Route,
        journal: "ClaimClient",
        metrics: metrics_module.Metrics,
        tracer: tracing.Tracing,
    ) -> None:
        self.reactor = reactor
        self.now_ms = now_ms
        self.node = node
        self.catalog = catalog
        self.send = send
        self.route = route
        self.journal = journal
        self.metrics = metrics
        self.tracer = tracer
        self.peers = peer_liveness.PeerLiveness()
        self.known_good = known_good.KnownGood()
        self.is_blocked: typing.Callable[[ids.Fingerprint], bool]
        self.running_queries: dict[str, _RunningQuery] = {}
        self.serving = False
        self._admission_controllers: dict[
            str, admission.AdmissionController
        ] = {}
        self._running_by_piece: dict[ids.PieceId, _RunningQuery] = {}
        self._piece_id_counter = query_run.piece_id_source()
        self._query_numbers = itertools.count(1)
        self._query_id_prefix = random.SystemRandom().getrandbits(32)

    # Callers ----------------------------------------------------------

    async def query(
        self, query: queries.Query, traceparent: str = ""
    ) -> Result:
        """Answer or refuse one request.

        A request that cannot be served gives a refusal, not an
        exception.
        """
        number = next(self._query_numbers)
        query_id = f"{self._query_id_prefix:08x}{number:08x}"
        span = self.tracer.start_query("front.query", traceparent)
        result = await self._admit_and_run(query, query_id, span)
        self._record_metrics(query, result)
        if span is not None:
            span.end(query_id=query_id, result=_result_name(result))
        return result

    async def _admit_and_run(
        self,
        query: queries.Query,
        query_id: str,
        span: tracing.Span | None,
    ) -> Result:
        received = resolve.ReceivedQuery(query, query_id, self.now_ms(), span)
        resolved = self._resolve(received)
        if isinstance(resolved, answers.Refusal):
            return resolved
        tie_breaker = ownership.hash64(query_id) & 0xFFFFFFFF
        controller = self._admission_controller(query.service)
        decision = controller.decide(
            self.now_ms(), resolved.rank, resolved.deadline_ms, tie_breaker
        )
        if isinstance(decision, admission.Refuse):
            return resolve.refuse(
                received,
                answers.RefusalCode.OVERLOADED,
                f"expected wait {decision.wait_ms:.0f} ms",
                decision.retry_after_ms,
            )
        if query.idempotent:
            return await self._run(resolved, tie_breaker, 0.0)
        return await self._run_once(resolved, tie_breaker)

    def _resolve(
        self, received: resolve.ReceivedQuery
    ) -> resolve.ResolvedQuery | answers.Refusal:
        if not self.serving:
            return resolve.not_ready(received, "this node is not serving")
        resolved = resolve.resolve_query(self.catalog, received)
        fingerprint = queries.fingerprint(received.query)
        if isinstance(resolved, resolve.ResolvedQuery) and self.is_blocked(
            fingerprint
        ):
            return resolve.refuse(
                received,
                answers.RefusalCode.SUSPECT,
                "this request has crashed upstreams",
            )
        return resolved

    async def _run_once(
        self, resolved: resolve.ResolvedQuery, tie_breaker: int
    ) -> Result:
        """Claim the request key, run the query and report the outcome."""
        query = resolved.received.query
        key = f"{query.service}/{query.request_key}"
        budget_ms = resolved.deadline_ms - ANSWER_MARGIN_MS
        claim_started_at_ms = self.now_ms()
        claim_span = self._start_child_span(
            "front.claim", resolved.received.span
        )
        claim = await self.journal.claim(key, budget_ms)
        claim_ms = self.now_ms() - claim_started_at_ms
        if claim_span is not None:
            claim_span.end(verdict=claim.reply.verdict.name.lower())
        refusal = resolve.claim_refusal(claim.reply, resolved.received)
        if refusal is not None:
            return refusal
        result = await self._run(resolved, tie_breaker, claim_ms)
        ran = result.ran
        note = ""
        if isinstance(result, answers.Answer):
            note = f"ran on shard {result.shard}"
        self.journal.report_outcome(claim, ran, note)
        return result

    def _start_child_span(
        self, name: str, parent: tracing.Span | None
    ) -> tracing.Span | None:
        if parent is None:
            return None
        return self.tracer.start(name, parent.traceparent)

    async def _run(
        self,
        resolved: resolve.ResolvedQuery,
        tie_breaker: int,
        claim_ms: float,
    ) -> Result:
        request = self._build_request(resolved, tie_breaker, claim_ms)
        service = resolved.received.query.service

        def route(set_id: ids.ReplicaSetId) -> list[ids.NodeId]:
            nodes = self.route(f"{service}/{set_id}")
            return self.peers.responsive_first(nodes)

        run = query_run.QueryRun(
            request, resolved.index, route, self._piece_id_counter
        )
        running = _RunningQuery(run, defer.Deferred())
        self.running_queries[request.query_id] = running
        now_ms = self.now_ms()
        left_ms = request.deadline_at_ms - ANSWER_MARGIN_MS - now_ms
        running.timer = self.reactor.callLater(
            max(0.0, left_ms / clock.MS_PER_S), self._on_deadline, running
        )
        self._perform(running, run.start(now_ms))
        return await running.result

    def _build_request(
        self,
        resolved: resolve.ResolvedQuery,
        tie_breaker: int,
        claim_ms: float,
    ) -> query_run.Request:
        query = resolved.received.query
        fingerprint = queries.fingerprint(query)
        canary = (
            resolved.rank >= resolved.service.canary_from_rank
            and query.shard_key is None
            and not self.known_good.contains(fingerprint)
        )
        traceparent = (
            resolved.received.span.traceparent
            if resolved.received.span
            else ""
        )
        return query_run.Request(
            resolved.received.query_id,
            tracing.trace_id_of(traceparent),
            query.service,
            resolved.rank,
            tie_breaker,
            resolved.received.received_at_ms,
            resolved.received.received_at_ms + resolved.deadline_ms,
            query.least_coverage,
            query.idempotent,
            fingerprint,
            bytes(query.payload),
            query.shard_key,
            canary,
            claim_ms,
            traceparent,
        )

    # Messages ---------------------------------------------------------

    def on_piece(self, piece: messages.Piece) -> None:
        """Handle a dispatcher's reply for one piece."""
        running = self._running_by_piece.get(piece.piece_id)
        if running is None:
            self.metrics.count("late_pieces")
            return
        verdict, actions = running.run.on_piece(self.now_ms(), piece)
        if verdict in (gather.Verdict.TAKEN, gather.Verdict.MISSED):
            del self._running_by_piece[piece.piece_id]
        elif verdict is not gather.Verdict.REROUTED:
            self.metrics.count("dropped_pieces", verdict=verdict.value)
        self._perform(running, actions)

    def on_loads(self, loads: messages.Loads) -> None:
        """Apply a dispatcher's load report to admission control."""
        for load in loads.sets:
            controller = self._admission_controller(load.service)
            controller.on_load_report(load, self.now_ms())

    def on_peer_message(self, node: ids.NodeId) -> None:
        """Record that a message from a peer has arrived."""
        self.peers.on_message(node, self.now_ms())

    def on_index(self, name: str) -> None:
        """Pass a newer index to the running queries of its services."""
        current = self.catalog.config
        index = self.catalog.indexes.get(name)
        if current is None or index is None:
            return
        for running in list(self.running_queries.values()):
            service = current.services.get(running.run.request.service)
            if service is not None and service.index == name:
                actions = running.run.on_index(self.now_ms(), index)
                self._perform(running, actions)

    def on_node_lost(self, node: ids.NodeId) -> None:
        """Reroute the pending pieces of a lost node to their next owners."""
        now_ms = self.now_ms()
        for running in list(self.running_queries.values()):
            if node in running.run.pending_nodes:
                self.metrics.count("rerouted_queries")
                actions = running.run.on_node_lost(now_ms, node)
                self._perform(running, actions)

    def check_peers(self) -> None:
        """Ping silent peers with pending pieces.

        The pieces of a peer that does not respond are rerouted.
        """
        awaited: set[ids.NodeId] = set()
        for running in self.running_queries.values():
            awaited |= running.run.pending_nodes
        awaited.discard(self.node)
        for action in self.peers.check(awaited, self.now_ms()):
            match action:
                case peer_liveness.PingPeer(node=node, sequence=sequence):
                    self.send(node, messages.Ping(sequence))
                case peer_liveness.PeerUnresponsive(node=node):
                    self.on_node_lost(node)

    # Actions ----------------------------------------------------------

    def _perform(
        self, running: _RunningQuery, actions: list[query_run.Action]
    ) -> None:
        for action in actions:
            match action:
                case query_run.SendPieces(node=node, scatter=scatter):
                    for ref in scatter.pieces:
                        self._running_by_piece[ref.piece_id] = running
                    self.peers.on_request_sent(node, self.now_ms())
                    self.send(node, scatter)
                case query_run.CancelPieces(node=node, piece_ids=piece_ids):
                    for piece_id in piece_ids:
                        self._running_by_piece.pop(piece_id, None)
                    self.send(node, messages.CancelPieces(piece_ids))
                case query_run.Finish(result=result):
                    self._finish(running, result)

    def _finish(self, running: _RunningQuery, result: Result) -> None:
        run = running.run
        self.running_queries.pop(run.request.query_id, None)
        for piece_id in run.piece_ids:
            self._running_by_piece.pop(piece_id, None)
        if running.timer is not None and running.timer.active():
            running.timer.cancel()
        if isinstance(result, answers.Answer):
            self.known_good.add(run.request.fingerprint)
        extra = max(0, run.call_count - len(run.piece_ids))
        self.metrics.count("extra_calls", extra)
        running.result.callback(result)

    def _on_deadline(self, running: _RunningQuery) -> None:
        self._perform(running, running.run.on_deadline(self.now_ms()))

    def _admission_controller(
        self, service: str
    ) -> admission.AdmissionController:
        controller = self._admission_controllers.get(service)
        if controller is None:
            controller = admission.AdmissionController()
            self._admission_controllers[service] = controller
        return controller

    # Metrics ----------------------------------------------------------

    def _record_metrics(self, query: queries.Query, result: Result) -> None:
        priority = query.priority or "default"
        match result:
            case answers.Answer(coverage=coverage, timing=timing):
                kind = "complete" if coverage.complete else "partial"
                self.metrics.count(
                    "answers",
                    kind=kind,
                    service=query.service,
                    priority=priority,
                )
                hops = (
                    ("total", timing.total_ms),
                    ("queue", timing.queue_ms),
                    ("upstream", timing.upstream_ms),
                    ("claim", timing.claim_ms),
                )
                for hop, spent_ms in hops:
                    self.metrics.record_latency(
                        query.service, priority, hop, spent_ms
                    )
            case answers.Refusal(code=code):
                reason = code.value
                if self._has_known_labels(query):
                    self.metrics.count(
                        "refusals",
                        reason=reason,
                        service=query.service,
                        priority=priority,
                    )
                else:
                    self.metrics.count("refusals", reason=reason)

    def _has_known_labels(self, query: queries.Query) -> bool:
        """Return whether the query's service and priority are configured.

        Names chosen by callers must not become metric labels.
        """
        current = self.catalog.config
        service = current.services.get(query.service) if current else None
        return (
            service is not None
            and service.priority(query.priority) is not None
        )

    @property
    def idle(self) -> bool:
        """Whether no query is running."""
        return not self.running_queries


class ClaimResult(typing.Protocol):
    """A claim with the journal's reply."""

    reply: messages.ClaimReply


class ClaimClient(typing.Protocol):
    """The journal's interface to the front."""

    async def claim(self, key: str, budget_ms: float) -> typing.Any:
        """Claim a key within ``budget_ms``; the result has a ``reply``."""
        ...

    def report_outcome(
        self, claim: typing.Any, ran: answers.RunStatus, note: str
    ) -> None:
        """Report whether a claimed request has run."""
        ...


def _result_name(result: Result) -> str:
    if isinstance(result, answers.Answer):
        return "answer"
    return result.code.value
