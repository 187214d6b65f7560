"""One query from admission to its answer, at the front that accepted it.

This module performs no I/O: each event returns the actions to carry
out. A run pins one snapshot. If that snapshot is retired in the
meantime, the whole run restarts once on the newer one.
"""

import collections
import dataclasses
import itertools
import typing

import msgspec

from godwitflow.model import answers
from godwitflow.model import ids
from godwitflow.model import index as index_model
from godwitflow.policy import gather
from godwitflow.wire import messages

MAX_OWNERS = 3  # nodes that one piece is sent to


@dataclasses.dataclass(frozen=True, slots=True)
class SendPieces:
    """Send pieces of this query to the dispatcher on a node."""

    node: ids.NodeId
    scatter: messages.Scatter


@dataclasses.dataclass(frozen=True, slots=True)
class CancelPieces:
    """Tell the dispatcher on a node to cancel pieces."""

    node: ids.NodeId
    piece_ids: tuple[ids.PieceId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """Send the answer or refusal to the caller."""

    result: answers.Answer | answers.Refusal


Action = SendPieces | CancelPieces | Finish
# Returns the nodes that may own a replica set, in order of preference.
Route = typing.Callable[[ids.ReplicaSetId], list[ids.NodeId]]


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """The parameters of one query; the ``_at_ms`` times are absolute."""

    query_id: str
    trace_id: str
    service: ids.ServiceName
    rank: ids.Rank
    tie_breaker: int
    started_at_ms: float
    deadline_at_ms: float
    least_coverage: float
    idempotent: bool
    fingerprint: ids.Fingerprint
    payload: bytes
    shard_key: str | None = None
    canary: bool = False
    claim_ms: float = 0.0
    traceparent: str = ""


@dataclasses.dataclass(slots=True)
class _SlowestPiece:
    queue_ms: float = 0.0
    upstream_ms: float = 0.0

    def update(self, piece: messages.Piece) -> None:
        spent_ms = piece.queue_ms + piece.upstream_ms
        if spent_ms >= self.queue_ms + self.upstream_ms:
            self.queue_ms = piece.queue_ms
            self.upstream_ms = piece.upstream_ms


class QueryRun:
    """The state of one query at its front."""

    def __init__(
        self,
        request: Request,
        index: index_model.Index,
        route: Route,
        piece_id_counter: typing.Iterator[int],
    ) -> None:
        self.request = request
        self.route = route
        self.piece_id_counter = piece_id_counter
        self.done = False
        self.call_count = 0
        self._run_statuses: set[answers.RunStatus] = set()
        self._restarts = 0
        self._newer_index: index_model.Index | None = None
        self._awaits_newer_index = False
        self._pin(index)

    def _pin(self, index: index_model.Index) -> None:
        self.index = index
        shards = self._shards(index)
        self._refs = {}
        for shard in shards:
            piece_id = ids.PieceId(next(self.piece_id_counter))
            ref = messages.PieceRef(piece_id, shard, index.shards[shard])
            self._refs[piece_id] = ref
        expected = {
            piece_id: ref.shard for piece_id, ref in self._refs.items()
        }
        self.gather = gather.Gather(index.snapshot, expected)
        self._node_by_piece: dict[ids.PieceId, ids.NodeId] = {}
        self._pending_by_node: collections.Counter[ids.NodeId] = (
            collections.Counter()
        )
        self._tried_owners: dict[ids.PieceId, set[ids.NodeId]] = {}
        self._slowest = _SlowestPiece()
        self._held_pieces: list[ids.PieceId] = []
        self._statuses: set[messages.PieceStatus] = set()
        self._retry_after_ms = 0.0
        self._canary: ids.PieceId | None = None

    def _shards(self, index: index_model.Index) -> list[ids.ShardId]:
        key = self.request.shard_key
        if key is not None:
            return [index_model.shard_for_key(index, key)]
        return list(index.shards)

    @property
    def piece_ids(self) -> typing.Collection[ids.PieceId]:
        """The ids of the pieces on the current snapshot."""
        return self._refs.keys()

    @property
    def pending_nodes(self) -> set[ids.NodeId]:
        """The nodes that have not yet replied to all their pieces."""
        return {node for node, count in self._pending_by_node.items() if count}

    def open_piece_ids(self) -> list[ids.PieceId]:
        """Return the ids of pieces that were sent and have no result yet."""
        pending = self.gather.pending()
        return [
            piece_id for piece_id in pending if piece_id in self._node_by_piece
        ]

    # Events -----------------------------------------------------------

    def start(self, now_ms: float) -> list[Action]:
        """Send all pieces of the query, or only its canary."""
        piece_ids = list(self._refs)
        if not self.request.canary or len(piece_ids) == 1:
            return self._send(now_ms, piece_ids)
        canary_index = self.request.fingerprint % len(piece_ids)
        self._canary = piece_ids.pop(canary_index)
        self._held_pieces = piece_ids
        return self._send(now_ms, [self._canary])

    def on_piece(
        self, now_ms: float, piece: messages.Piece
    ) -> tuple[gather.Verdict, list[Action]]:
        """Handle a dispatcher's reply for one piece."""
        self.call_count += piece.calls
        if self.done:
            return gather.Verdict.UNKNOWN, []
        if self._should_reroute(piece):
            return gather.Verdict.REROUTED, self._send(
                now_ms, [piece.piece_id]
            )
        verdict = self.gather.accept(piece)
        if verdict in (gather.Verdict.TAKEN, gather.Verdict.MISSED):
            self._stop_waiting_for(piece.piece_id)
        return verdict, self._on_verdict(now_ms, piece, verdict)

    def _should_reroute(self, piece: messages.Piece) -> bool:
        """Return whether to send a piece to another owner instead."""
        unavailable = piece.status is messages.PieceStatus.UNAVAILABLE
        not_run = piece.ran is answers.RunStatus.NOT_RUN
        tried = self._tried_owners.get(piece.piece_id, set())
        return unavailable and not_run and len(tried) < MAX_OWNERS

    def _on_verdict(
        self,
        now_ms: float,
        piece: messages.Piece,
        verdict: gather.Verdict,
    ) -> list[Action]:
        match verdict:
            case gather.Verdict.TAKEN:
                self._run_statuses.add(answers.RunStatus.RAN)
                self._slowest.update(piece)
                return self._on_taken(now_ms, piece)
            case gather.Verdict.MISSED:
                return self._on_missed(now_ms, piece)
            case _:
                return []

    def _on_taken(self, now_ms: float, piece: messages.Piece) -> list[Action]:
        if self.gather.settled:
            return self._finish(now_ms)
        if piece.piece_id != self._canary or not self._held_pieces:
            return []
        held, self._held_pieces = self._held_pieces, []
        return self._send(now_ms, held)

    def _on_missed(self, now_ms: float, piece: messages.Piece) -> list[Action]:
        self._run_statuses.add(piece.ran)
        self._statuses.add(piece.status)
        self._retry_after_ms = max(self._retry_after_ms, piece.retry_after_ms)
        if piece.status is messages.PieceStatus.WRONG_SNAPSHOT:
            return self._on_snapshot_retired(now_ms)
        if self._held_pieces or not self._coverage_reachable():
            return self._cancel_and_finish(now_ms)
        if self.gather.settled:
            return self._finish(now_ms)
        return []

    def _coverage_reachable(self) -> bool:
        """Return whether the least coverage can still be reached."""
        total = len(self._refs)
        open_count = len(self.gather.pending())
        best = (self.gather.answered + open_count) / total
        return best >= self.request.least_coverage

    def _cancel_and_finish(self, now_ms: float) -> list[Action]:
        return self._cancel_open() + self._finish(now_ms)

    def _on_snapshot_retired(self, now_ms: float) -> list[Action]:
        """Restart once on a newer index, or wait for it."""
        if self._restarts or not self.request.idempotent:
            return self._cancel_and_finish(now_ms)
        newer = self._newer_index
        if newer is None or newer.snapshot <= self.index.snapshot:
            self._awaits_newer_index = True
            return []
        if self.open_piece_ids():
            self._run_statuses.add(answers.RunStatus.UNKNOWN)
        self._restarts += 1
        self._awaits_newer_index = False
        actions = self._cancel_open()
        self._pin(newer)
        return actions + self.start(now_ms)

    def on_index(
        self, now_ms: float, index: index_model.Index
    ) -> list[Action]:
        """Store a newer index, used only if the pinned snapshot is retired."""
        self._newer_index = index
        if self.done or not self._awaits_newer_index:
            return []
        return self._on_snapshot_retired(now_ms)

    def on_node_lost(self, now_ms: float, node: ids.NodeId) -> list[Action]:
        """Send the pieces of an unresponsive node to their next owners."""
        if self.done:
            return []
        lost = [
            piece_id
            for piece_id in self.open_piece_ids()
            if self._node_by_piece[piece_id] == node
        ]
        if not lost:
            return []
        self._run_statuses.add(answers.RunStatus.UNKNOWN)
        if not self.request.idempotent:
            return self._finish(now_ms)
        return self._send(now_ms, lost)

    def on_deadline(self, now_ms: float) -> list[Action]:
        """Finish with the pieces that have arrived."""
        if self.done:
            return []
        if self.open_piece_ids():
            self._run_statuses.add(answers.RunStatus.UNKNOWN)
        return self._cancel_and_finish(now_ms)

    # Sending ----------------------------------------------------------

    def _send(
        self, now_ms: float, piece_ids: list[ids.PieceId]
    ) -> list[Action]:
        by_node: dict[ids.NodeId, list[messages.PieceRef]] = {}
        chosen: dict[ids.ReplicaSetId, list[ids.NodeId]] = {}
        unrouted = []
        for piece_id in piece_ids:
            ref = self._refs[piece_id]
            nodes = chosen.get(ref.replica_set)
            if nodes is None:
                nodes = self.route(ref.replica_set)
                chosen[ref.replica_set] = nodes
            node = self._next_owner(piece_id, nodes)
            if node is None:
                unrouted.append(ref)
                continue
            self._stop_waiting_for(piece_id)
            self._node_by_piece[piece_id] = node
            self._pending_by_node[node] += 1
            by_node.setdefault(node, []).append(ref)
        actions: list[Action] = [
            SendPieces(node, self._scatter(now_ms, refs))
            for node, refs in by_node.items()
        ]
        return actions + self._fail_unrouted(now_ms, unrouted)

    def _stop_waiting_for(self, piece_id: ids.PieceId) -> None:
        """Stop waiting for a piece's current node to reply."""
        node = self._node_by_piece.get(piece_id)
        if node is not None and self._pending_by_node[node] > 0:
            self._pending_by_node[node] -= 1

    def _next_owner(
        self, piece_id: ids.PieceId, nodes: list[ids.NodeId]
    ) -> ids.NodeId | None:
        tried = self._tried_owners.setdefault(piece_id, set())
        if len(tried) >= MAX_OWNERS:
            return None
        for node in nodes:
            if node not in tried:
                tried.add(node)
                return node
        return None

    def _fail_unrouted(
        self, now_ms: float, refs: list[messages.PieceRef]
    ) -> list[Action]:
        actions: list[Action] = []
        for ref in refs:
            if self.done:
                break
            ran = answers.RunStatus.NOT_RUN
            if ref.piece_id in self._node_by_piece:
                ran = answers.RunStatus.UNKNOWN
            piece = messages.Piece(
                ref.piece_id,
                ref.shard,
                self.index.snapshot,
                messages.PieceStatus.FAILED,
                ran,
            )
            verdict = self.gather.accept(piece)
            actions += self._on_verdict(now_ms, piece, verdict)
        return actions

    def _scatter(
        self, now_ms: float, refs: list[messages.PieceRef]
    ) -> messages.Scatter:
        request = self.request
        return messages.Scatter(
            request.query_id,
            request.service,
            self.index.snapshot,
            request.rank,
            request.tie_breaker,
            request.deadline_at_ms - now_ms,
            request.idempotent,
            self._canary is not None and refs[0].piece_id == self._canary,
            request.fingerprint,
            request.payload,
            tuple(refs),
            request.traceparent,
        )

    def _cancel_open(self) -> list[Action]:
        by_node: dict[ids.NodeId, list[ids.PieceId]] = {}
        for piece_id in self.open_piece_ids():
            by_node.setdefault(self._node_by_piece[piece_id], []).append(
                piece_id
            )
        return [
            CancelPieces(node, tuple(piece_ids))
            for node, piece_ids in by_node.items()
        ]

    # Results ----------------------------------------------------------

    def _finish(self, now_ms: float) -> list[Action]:
        if self.done:
            return []
        self.done = True
        coverage = self.gather.coverage()
        enough = coverage.share >= self.request.least_coverage
        if coverage.answered and enough:
            return [Finish(self._answer(now_ms, coverage))]
        return [Finish(self._refusal(coverage))]

    def _answer(
        self, now_ms: float, coverage: answers.Coverage
    ) -> answers.Answer:
        request = self.request
        shard = None
        if request.shard_key is not None:
            shard = self.gather.shards[0]
        return answers.Answer(
            request.query_id,
            request.trace_id,
            request.service,
            self.index.snapshot,
            coverage,
            msgspec.Raw(self.gather.rows()),
            self._timing(now_ms),
            shard=shard,
        )

    def _timing(self, now_ms: float) -> answers.Timing:
        total_ms = now_ms - self.request.started_at_ms
        queue_ms = self._slowest.queue_ms
        upstream_ms = self._slowest.upstream_ms
        known_ms = queue_ms + upstream_ms + self.request.claim_ms
        return answers.Timing(
            round(total_ms, 3),
            round(self.request.claim_ms, 3),
            round(queue_ms, 3),
            round(upstream_ms, 3),
            round(max(0.0, total_ms - known_ms), 3),
        )

    def _refusal(self, coverage: answers.Coverage) -> answers.Refusal:
        ran = self._run_status()
        code, message = self._refusal_reason(coverage, ran)
        retry_after_ms = None
        if ran is answers.RunStatus.NOT_RUN or self.request.idempotent:
            if code is not answers.RefusalCode.SUSPECT:
                retry_after_ms = max(20, int(self._retry_after_ms))
        return answers.Refusal(
            code,
            ran,
            message,
            self.request.query_id,
            self.request.trace_id,
            retry_after_ms,
        )

    def _run_status(self) -> answers.RunStatus:
        if answers.RunStatus.UNKNOWN in self._run_statuses:
            return answers.RunStatus.UNKNOWN
        if answers.RunStatus.RAN in self._run_statuses:
            return answers.RunStatus.RAN
        if self.open_piece_ids():
            return answers.RunStatus.UNKNOWN
        return answers.RunStatus.NOT_RUN

    def _refusal_reason(
        self, coverage: answers.Coverage, ran: answers.RunStatus
    ) -> tuple[answers.RefusalCode, str]:
        codes = answers.RefusalCode
        total = coverage.total
        if messages.PieceStatus.SUSPECT in self._statuses:
            return codes.SUSPECT, "this request crashes upstreams"
        if coverage.answered:
            text = f"{coverage.answered} of {total} shards answered"
            return codes.COVERAGE, text
        if ran is answers.RunStatus.UNKNOWN and not self.request.idempotent:
            return codes.OUTCOME_UNKNOWN, "it may have run"
        if messages.PieceStatus.SHED in self._statuses:
            return codes.SHED, "the upstreams shed it"
        if messages.PieceStatus.EXPIRED in self._statuses:
            return codes.DEADLINE, "its deadline passed in the queue"
        if self._statuses:
            return codes.FAILED, "no shard answered"
        return codes.DEADLINE, "its deadline passed"


def piece_id_source() -> typing.Iterator[int]:
    """Return a counter of piece ids, unique within one process."""
    return itertools.count(1)
