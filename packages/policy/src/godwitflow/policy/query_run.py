"""One query from admission to its answer, at the front that took it.

The run performs no input or output: each event returns the actions to
carry out. A run pins one snapshot; where that is retired meanwhile, the
run starts over once, as a whole, on the newer one.
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

MAX_OWNERS = 3


@dataclasses.dataclass(frozen=True, slots=True)
class SendPieces:
    """Send pieces of this query to the dispatcher on a node."""

    node: ids.NodeId
    scatter: messages.Scatter


@dataclasses.dataclass(frozen=True, slots=True)
class CancelPieces:
    """Tell a node's dispatcher that pieces are no longer wanted."""

    node: ids.NodeId
    pieces: tuple[ids.PieceId, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Finish:
    """Give the caller its answer or refusal."""

    result: answers.Answer | answers.Refusal


Action = SendPieces | CancelPieces | Finish
Route = typing.Callable[[ids.ReplicaSetId], list[ids.NodeId]]


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """What a run needs to know of its query; times are absolute."""

    query_id: str
    trace_id: str
    service: ids.ServiceName
    rank: ids.Rank
    order: int
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
class _Slowest:
    queue_ms: float = 0.0
    upstream_ms: float = 0.0

    def take(self, piece: messages.Piece) -> None:
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
        piece_ids: typing.Iterator[int],
    ) -> None:
        self.request = request
        self.route = route
        self.piece_ids = piece_ids
        self.done = False
        self.call_count = 0
        self._ran: set[answers.RunStatus] = set()
        self._restarts = 0
        self._newer: index_model.Index | None = None
        self._wants_newer = False
        self._pin(index)

    def _pin(self, index: index_model.Index) -> None:
        self.index = index
        shards = self._shards(index)
        self._refs = {}
        for shard in shards:
            piece = ids.PieceId(next(self.piece_ids))
            ref = messages.PieceRef(piece, shard, index.shards[shard])
            self._refs[piece] = ref
        expected = {piece: ref.shard for piece, ref in self._refs.items()}
        self.gather = gather.Gather(index.snapshot, expected)
        self._at: dict[ids.PieceId, ids.NodeId] = {}
        self._owed: collections.Counter[ids.NodeId] = collections.Counter()
        self._owners_tried: dict[ids.PieceId, set[ids.NodeId]] = {}
        self._slowest = _Slowest()
        self._held: list[ids.PieceId] = []
        self._statuses: set[messages.PieceStatus] = set()
        self._retry_after_ms = 0.0
        self._canary: ids.PieceId | None = None

    def _shards(self, index: index_model.Index) -> list[ids.ShardId]:
        key = self.request.shard_key
        if key is not None:
            return [index_model.shard_for_key(index, key)]
        return list(index.shards)

    @property
    def pieces(self) -> typing.Collection[ids.PieceId]:
        """The piece ids of the current snapshot's scatter."""
        return self._refs.keys()

    @property
    def pending_nodes(self) -> set[ids.NodeId]:
        """The nodes on which this query has pieces out."""
        return {node for node, count in self._owed.items() if count}

    def open_pieces(self) -> list[ids.PieceId]:
        """Return the pieces sent and not settled."""
        pending = self.gather.pending()
        return [piece for piece in pending if piece in self._at]

    # Events -----------------------------------------------------------

    def start(self, now_ms: float) -> list[Action]:
        """Scatter the query, or its canary alone."""
        pieces = list(self._refs)
        if not self.request.canary or len(pieces) == 1:
            return self._send(now_ms, pieces)
        place = self.request.fingerprint % len(pieces)
        self._canary = pieces.pop(place)
        self._held = pieces
        return self._send(now_ms, [self._canary])

    def on_piece(
        self, now_ms: float, piece: messages.Piece
    ) -> tuple[gather.Verdict, list[Action]]:
        """Take a dispatcher's reply for one piece."""
        self.call_count += piece.calls
        if self.done:
            return gather.Verdict.UNKNOWN, []
        if self._elsewhere(piece):
            return gather.Verdict.REROUTED, self._send(
                now_ms, [piece.piece_id]
            )
        verdict = self.gather.accept(piece)
        if verdict in (gather.Verdict.TAKEN, gather.Verdict.MISSED):
            self._settle(piece.piece_id)
        return verdict, self._after(now_ms, piece, verdict)

    def _elsewhere(self, piece: messages.Piece) -> bool:
        """Tell whether another owner should be asked for a piece."""
        unavailable = piece.status is messages.PieceStatus.UNAVAILABLE
        not_run = piece.ran is answers.RunStatus.NOT_RUN
        tried = self._owners_tried.get(piece.piece_id, set())
        return unavailable and not_run and len(tried) < MAX_OWNERS

    def _after(
        self,
        now_ms: float,
        piece: messages.Piece,
        verdict: gather.Verdict,
    ) -> list[Action]:
        match verdict:
            case gather.Verdict.TAKEN:
                self._ran.add(answers.RunStatus.RAN)
                self._slowest.take(piece)
                return self._on_taken(now_ms, piece)
            case gather.Verdict.MISSED:
                return self._on_missed(now_ms, piece)
            case _:
                return []

    def _on_taken(self, now_ms: float, piece: messages.Piece) -> list[Action]:
        if self.gather.settled:
            return self._finish(now_ms)
        if piece.piece_id != self._canary or not self._held:
            return []
        held, self._held = self._held, []
        return self._send(now_ms, held)

    def _on_missed(self, now_ms: float, piece: messages.Piece) -> list[Action]:
        self._ran.add(piece.ran)
        self._statuses.add(piece.status)
        self._retry_after_ms = max(self._retry_after_ms, piece.retry_after_ms)
        if piece.status is messages.PieceStatus.WRONG_SNAPSHOT:
            return self._on_retired(now_ms)
        if self._held or not self._reachable():
            return self._give_up(now_ms)
        if self.gather.settled:
            return self._finish(now_ms)
        return []

    def _reachable(self) -> bool:
        """Tell whether the least coverage can still be reached."""
        total = len(self._refs)
        open_count = len(self.gather.pending())
        best = (self.gather.answered + open_count) / total
        return best >= self.request.least_coverage

    def _give_up(self, now_ms: float) -> list[Action]:
        return self._cancel_open() + self._finish(now_ms)

    def _on_retired(self, now_ms: float) -> list[Action]:
        """Start over on a newer index, once, or wait for it."""
        if self._restarts or not self.request.idempotent:
            return self._give_up(now_ms)
        newer = self._newer
        if newer is None or newer.snapshot <= self.index.snapshot:
            self._wants_newer = True
            return []
        if self.open_pieces():
            self._ran.add(answers.RunStatus.UNKNOWN)
        self._restarts += 1
        self._wants_newer = False
        actions = self._cancel_open()
        self._pin(newer)
        return actions + self.start(now_ms)

    def on_index(
        self, now_ms: float, index: index_model.Index
    ) -> list[Action]:
        """Learn of a newer index, used only if the old one is gone."""
        self._newer = index
        if self.done or not self._wants_newer:
            return []
        return self._on_retired(now_ms)

    def on_node_lost(self, now_ms: float, node: ids.NodeId) -> list[Action]:
        """Turn to the next owners for what a silent node has."""
        if self.done:
            return []
        lost = [
            piece for piece in self.open_pieces() if self._at[piece] == node
        ]
        if not lost:
            return []
        self._ran.add(answers.RunStatus.UNKNOWN)
        if not self.request.idempotent:
            return self._finish(now_ms)
        return self._send(now_ms, lost)

    def on_deadline(self, now_ms: float) -> list[Action]:
        """Answer with what has arrived."""
        if self.done:
            return []
        if self.open_pieces():
            self._ran.add(answers.RunStatus.UNKNOWN)
        return self._give_up(now_ms)

    # Sending ----------------------------------------------------------

    def _send(self, now_ms: float, pieces: list[ids.PieceId]) -> list[Action]:
        by_node: dict[ids.NodeId, list[messages.PieceRef]] = {}
        chosen: dict[ids.ReplicaSetId, list[ids.NodeId]] = {}
        unrouted = []
        for piece in pieces:
            ref = self._refs[piece]
            nodes = chosen.get(ref.replica_set)
            if nodes is None:
                nodes = self.route(ref.replica_set)
                chosen[ref.replica_set] = nodes
            node = self._untried(piece, nodes)
            if node is None:
                unrouted.append(ref)
                continue
            self._settle(piece)
            self._at[piece] = node
            self._owed[node] += 1
            by_node.setdefault(node, []).append(ref)
        actions: list[Action] = [
            SendPieces(node, self._scatter(now_ms, refs))
            for node, refs in by_node.items()
        ]
        return actions + self._miss(now_ms, unrouted)

    def _settle(self, piece: ids.PieceId) -> None:
        """Note that a piece's node owes it no more."""
        node = self._at.get(piece)
        if node is not None and self._owed[node] > 0:
            self._owed[node] -= 1

    def _untried(
        self, piece: ids.PieceId, nodes: list[ids.NodeId]
    ) -> ids.NodeId | None:
        tried = self._owners_tried.setdefault(piece, set())
        if len(tried) >= MAX_OWNERS:
            return None
        for node in nodes:
            if node not in tried:
                tried.add(node)
                return node
        return None

    def _miss(
        self, now_ms: float, refs: list[messages.PieceRef]
    ) -> list[Action]:
        actions: list[Action] = []
        for ref in refs:
            if self.done:
                break
            ran = answers.RunStatus.NOT_RUN
            if ref.piece_id in self._at:
                ran = answers.RunStatus.UNKNOWN
            piece = messages.Piece(
                ref.piece_id,
                ref.shard,
                self.index.snapshot,
                messages.PieceStatus.FAILED,
                ran,
            )
            verdict = self.gather.accept(piece)
            actions += self._after(now_ms, piece, verdict)
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
            request.order,
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
        for piece in self.open_pieces():
            by_node.setdefault(self._at[piece], []).append(piece)
        return [
            CancelPieces(node, tuple(pieces))
            for node, pieces in by_node.items()
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
        ran = self._ran_state()
        code, message = self._reason(coverage, ran)
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

    def _ran_state(self) -> answers.RunStatus:
        if answers.RunStatus.UNKNOWN in self._ran:
            return answers.RunStatus.UNKNOWN
        if answers.RunStatus.RAN in self._ran:
            return answers.RunStatus.RAN
        if self.open_pieces():
            return answers.RunStatus.UNKNOWN
        return answers.RunStatus.NOT_RUN

    def _reason(
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
    """Return a source of piece ids, unique within one process."""
    return itertools.count(1)
