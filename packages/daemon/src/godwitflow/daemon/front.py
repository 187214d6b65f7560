"""The front task: callers' requests from admission to answer."""

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
from godwitflow.policy import catalog
from godwitflow.policy import gather
from godwitflow.policy import known_good
from godwitflow.policy import ownership
from godwitflow.policy import peer_liveness
from godwitflow.policy import query_run
from godwitflow.tier import metrics as metrics_module
from godwitflow.wire import messages

ANSWER_MARGIN_MS = 2.0

Result = answers.Answer | answers.Refusal
Send = typing.Callable[[ids.NodeId, messages.Message], None]
Route = typing.Callable[[str], list[ids.NodeId]]


@dataclasses.dataclass
class _Running:
    run: query_run.QueryRun
    result: "defer.Deferred[Result]"
    timer: typing.Any = None


class Front:
    """Admits queries, scatters them, gathers and answers."""

    def __init__(
        self,
        reactor: typing.Any,
        now_ms: clock.NowMs,
        node: ids.NodeId,
        held: catalog.Catalog,
        send: Send,
        route: Route,
        journal: "ClaimClient",
        metrics: metrics_module.Metrics,
        tracer: tracing.Tracing,
    ) -> None:
        self.reactor = reactor
        self.now_ms = now_ms
        self.node = node
        self.catalog = held
        self.send = send
        self.route = route
        self.journal = journal
        self.metrics = metrics
        self.tracer = tracer
        self.peers = peer_liveness.PeerLiveness()
        self.known_good = known_good.KnownGood()
        self.condemned: typing.Callable[[ids.Fingerprint], bool]
        self.runs: dict[str, _Running] = {}
        self.serving = False
        self._admissions: dict[str, admission.AdmissionController] = {}
        self._by_piece: dict[ids.PieceId, _Running] = {}
        self._piece_ids = query_run.piece_id_source()
        self._query_serial = itertools.count(1)
        self._boot = random.SystemRandom().getrandbits(32)

    # Callers ----------------------------------------------------------

    async def query(
        self, query: queries.Query, traceparent: str = ""
    ) -> Result:
        """Answer or refuse one request; never raises for the caller."""
        serial = next(self._query_serial)
        query_id = f"{self._boot:08x}{serial:08x}"
        span = self.tracer.start_query("front.query", traceparent)
        result = await self._admit(query, query_id, span)
        self._note(query, result)
        if span is not None:
            span.end(query_id=query_id, result=_result_name(result))
        return result

    async def _admit(
        self,
        query: queries.Query,
        query_id: str,
        span: tracing.Span | None,
    ) -> Result:
        began = resolve.Arrived(query, query_id, self.now_ms(), span)
        pinned = self._pin(began)
        if isinstance(pinned, answers.Refusal):
            return pinned
        order = ownership.hash64(query_id) & 0xFFFFFFFF
        gate = self._admission(query.service)
        decision = gate.decide(
            self.now_ms(), pinned.rank, pinned.deadline_ms, order
        )
        if isinstance(decision, admission.Refuse):
            return resolve.refuse(
                began,
                answers.RefusalCode.OVERLOADED,
                f"expected wait {decision.wait_ms:.0f} ms",
                decision.retry_after_ms,
            )
        if query.idempotent:
            return await self._run(pinned, order, 0.0)
        return await self._run_once(pinned, order)

    def _pin(
        self, arrived: resolve.Arrived
    ) -> resolve.Pinned | answers.Refusal:
        if not self.serving:
            return resolve.not_ready(arrived, "this node is not serving")
        pinned = resolve.pin(self.catalog, arrived)
        fingerprint = queries.fingerprint(arrived.query)
        if isinstance(pinned, resolve.Pinned) and self.condemned(fingerprint):
            return resolve.refuse(
                arrived,
                answers.RefusalCode.SUSPECT,
                "this request has crashed upstreams",
            )
        return pinned

    async def _run_once(self, pinned: resolve.Pinned, order: int) -> Result:
        """Claim the request key, run, and record the outcome."""
        query = pinned.arrived.query
        key = f"{query.service}/{query.request_key}"
        budget_ms = pinned.deadline_ms - ANSWER_MARGIN_MS
        began_ms = self.now_ms()
        hop = self._start_hop("front.claim", pinned.arrived.span)
        claim = await self.journal.claim(key, budget_ms)
        claim_ms = self.now_ms() - began_ms
        if hop is not None:
            hop.end(verdict=claim.reply.verdict.name.lower())
        refusal = resolve.claim_refusal(claim.reply, pinned.arrived)
        if refusal is not None:
            return refusal
        result = await self._run(pinned, order, claim_ms)
        ran = result.ran
        note = ""
        if isinstance(result, answers.Answer):
            note = f"ran on shard {result.shard}"
        self.journal.outcome(claim, ran, note)
        return result

    def _start_hop(
        self, name: str, parent: tracing.Span | None
    ) -> tracing.Span | None:
        if parent is None:
            return None
        return self.tracer.start(name, parent.traceparent)

    async def _run(
        self, pinned: resolve.Pinned, order: int, claim_ms: float
    ) -> Result:
        request = self._request(pinned, order, claim_ms)
        service = pinned.arrived.query.service

        def route(set_id: ids.ReplicaSetId) -> list[ids.NodeId]:
            nodes = self.route(f"{service}/{set_id}")
            return self.peers.responsive_first(nodes)

        run = query_run.QueryRun(request, pinned.index, route, self._piece_ids)
        running = _Running(run, defer.Deferred())
        self.runs[request.query_id] = running
        now_ms = self.now_ms()
        left_ms = request.deadline_at_ms - ANSWER_MARGIN_MS - now_ms
        running.timer = self.reactor.callLater(
            max(0.0, left_ms / clock.MS_PER_S), self._on_deadline, running
        )
        self._perform(running, run.start(now_ms))
        return await running.result

    def _request(
        self, pinned: resolve.Pinned, order: int, claim_ms: float
    ) -> query_run.Request:
        query = pinned.arrived.query
        fingerprint = queries.fingerprint(query)
        canary = (
            pinned.rank >= pinned.service.canary_from_rank
            and query.shard_key is None
            and not self.known_good.contains(fingerprint)
        )
        traceparent = (
            pinned.arrived.span.traceparent if pinned.arrived.span else ""
        )
        return query_run.Request(
            pinned.arrived.query_id,
            tracing.trace_id_of(traceparent),
            query.service,
            pinned.rank,
            order,
            pinned.arrived.at_ms,
            pinned.arrived.at_ms + pinned.deadline_ms,
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
        """Take a dispatcher's reply for one piece."""
        running = self._by_piece.get(piece.piece_id)
        if running is None:
            self.metrics.count("late_pieces")
            return
        verdict, actions = running.run.on_piece(self.now_ms(), piece)
        if verdict in (gather.Verdict.TAKEN, gather.Verdict.MISSED):
            del self._by_piece[piece.piece_id]
        elif verdict is not gather.Verdict.REROUTED:
            self.metrics.count("dropped_pieces", verdict=verdict.value)
        self._perform(running, actions)

    def on_loads(self, loads: messages.Loads) -> None:
        """Learn how long new work would queue."""
        for load in loads.sets:
            gate = self._admission(load.service)
            gate.on_load_report(load, self.now_ms())

    def on_heard(self, node: ids.NodeId) -> None:
        """Note a sign of life of a peer."""
        self.peers.on_message(node, self.now_ms())

    def on_index(self, name: str) -> None:
        """Tell waiting runs of a newer index."""
        held = self.catalog.config
        index = self.catalog.indexes.get(name)
        if held is None or index is None:
            return
        for running in list(self.runs.values()):
            service = held.services.get(running.run.request.service)
            if service is not None and service.index == name:
                actions = running.run.on_index(self.now_ms(), index)
                self._perform(running, actions)

    def on_node_lost(self, node: ids.NodeId) -> None:
        """Move what a lost node has to the next owners."""
        now_ms = self.now_ms()
        for running in list(self.runs.values()):
            if node in running.run.pending_nodes:
                self.metrics.count("rerouted_queries")
                actions = running.run.on_node_lost(now_ms, node)
                self._perform(running, actions)

    def check_peers(self) -> None:
        """Ping peers that owe pieces and are quiet; drop silent ones."""
        owing: set[ids.NodeId] = set()
        for running in self.runs.values():
            owing |= running.run.pending_nodes
        owing.discard(self.node)
        for verdict in self.peers.check(owing, self.now_ms()):
            match verdict:
                case peer_liveness.PingPeer(node=node, sequence=sequence):
                    self.send(node, messages.Ping(sequence))
                case peer_liveness.PeerUnresponsive(node=node):
                    self.on_node_lost(node)

    # Actions ----------------------------------------------------------

    def _perform(
        self, running: _Running, actions: list[query_run.Action]
    ) -> None:
        for action in actions:
            match action:
                case query_run.SendPieces(node=node, scatter=scatter):
                    for ref in scatter.pieces:
                        self._by_piece[ref.piece_id] = running
                    self.peers.on_request_sent(node, self.now_ms())
                    self.send(node, scatter)
                case query_run.CancelPieces(node=node, pieces=pieces):
                    for piece in pieces:
                        self._by_piece.pop(piece, None)
                    self.send(node, messages.CancelPieces(pieces))
                case query_run.Finish(result=result):
                    self._finish(running, result)

    def _finish(self, running: _Running, result: Result) -> None:
        run = running.run
        self.runs.pop(run.request.query_id, None)
        for piece in run.pieces:
            self._by_piece.pop(piece, None)
        if running.timer is not None and running.timer.active():
            running.timer.cancel()
        if isinstance(result, answers.Answer):
            self.known_good.add(run.request.fingerprint)
        extra = max(0, run.call_count - len(run.pieces))
        self.metrics.count("extra_calls", extra)
        running.result.callback(result)

    def _on_deadline(self, running: _Running) -> None:
        self._perform(running, running.run.on_deadline(self.now_ms()))

    def _admission(self, service: str) -> admission.AdmissionController:
        found = self._admissions.get(service)
        if found is None:
            found = admission.AdmissionController()
            self._admissions[service] = found
        return found

    # Figures ----------------------------------------------------------

    def _note(self, query: queries.Query, result: Result) -> None:
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
                if self._labels_known(query):
                    self.metrics.count(
                        "refusals",
                        reason=reason,
                        service=query.service,
                        priority=priority,
                    )
                else:
                    self.metrics.count("refusals", reason=reason)

    def _labels_known(self, query: queries.Query) -> bool:
        """Tell whether the names are ours, not whatever a caller sent."""
        held = self.catalog.config
        service = held.services.get(query.service) if held else None
        return (
            service is not None
            and service.priority(query.priority) is not None
        )

    @property
    def idle(self) -> bool:
        """Whether no query is under way."""
        return not self.runs


class Claimed(typing.Protocol):
    """A claim with the journal's reply."""

    reply: messages.ClaimReply


class ClaimClient(typing.Protocol):
    """What the front needs of the journal."""

    async def claim(self, key: str, budget_ms: float) -> typing.Any:
        """Claim a key; the result has a ``reply``."""
        ...

    def outcome(
        self, claim: typing.Any, ran: answers.RunStatus, note: str
    ) -> None:
        """Record what became of a claimed request."""
        ...


def _result_name(result: Result) -> str:
    if isinstance(result, answers.Answer):
        return "answer"
    return result.code.value
