"""The naive baseline: round robin, FIFO queues and two retries.

It has no admission control, priorities, hedging or cancellation. Each
front has an equal share of the connection cap and answers when every
shard has replied or failed, or when the deadline has passed.
"""

import collections
import dataclasses
import itertools
import typing

import msgspec

from godwitflow.lab import arrivals
from godwitflow.lab import model_network
from godwitflow.lab import simulation as simulation_module
from godwitflow.model import answers
from godwitflow.model import ids
from godwitflow.model import index as index_model
from godwitflow.policy import jobs

MAX_RETRIES = 2
CALL_TIMEOUT_MS = 2_000.0
RETRY_DELAY_MS = 5.0


@dataclasses.dataclass(eq=False)
class _Query:
    arrival: arrivals.Arrival
    index: index_model.Index
    rows: dict[str, bytes]
    pending: int
    finished: bool = False


@dataclasses.dataclass(eq=False)
class _Piece:
    query: _Query
    job: jobs.Job
    retries: int = 0


class _Front:
    def __init__(self, naive: "Naive") -> None:
        simulation = naive.simulation
        cap = (
            simulation.shape.upstream.connection_cap
            // simulation_module.FRONT_COUNT
        )
        self.network = model_network.ModelNetwork(
            simulation.clock,
            simulation.upstreams,
            simulation.shape.upstream.connect_ms,
            max(1, cap),
            probe_siblings=False,
        )
        self.next_replica: collections.Counter[str] = collections.Counter()
        self.waiting: dict[str, collections.deque[_Piece]] = (
            collections.defaultdict(collections.deque)
        )
        self.in_flight: collections.Counter[str] = collections.Counter()


class Naive:
    """Nine fronts that share no state."""

    def __init__(self, simulation: simulation_module.Simulation) -> None:
        self.simulation = simulation
        self.clock = simulation.clock
        self.piece_id_counter = itertools.count(1)
        self.fronts = [
            _Front(self) for _ in range(simulation_module.FRONT_COUNT)
        ]
        simulation.network = self
        simulation.on_index = self._on_index
        self.index = simulation.index

    def silence_connections(self, share: float, rng: typing.Any) -> None:
        """Make a share of each front's open connections silent."""
        for front in self.fronts:
            front.network.silence_connections(share, rng)

    def _on_index(self, index: index_model.Index) -> None:
        self.index = index

    def submit(self, arrival: arrivals.Arrival) -> None:
        """Scatter a query to all shards without admission control."""
        front = self.simulation.random.choice(self.fronts)
        index = self.index
        query = _Query(arrival, index, {}, len(index.shards))
        self.simulation.pieces += len(index.shards)
        for shard, set_id in index.shards.items():
            job = self._job(arrival, index, shard)
            piece = _Piece(query, job)
            self._route(front, piece, set_id)
        self.clock.after(arrival.deadline_ms, self._finish, query)

    def _job(
        self,
        arrival: arrivals.Arrival,
        index: index_model.Index,
        shard: ids.ShardId,
    ) -> jobs.Job:
        return jobs.Job(
            "naive",
            ids.PieceId(next(self.piece_id_counter)),
            str(arrival.number),
            index.service,
            shard,
            index.snapshot,
            arrival.rank,
            arrival.at_ms + arrival.deadline_ms,
            0,
            True,
            False,
            ids.Fingerprint(0),
            b"1",
        )

    def _route(self, front: _Front, piece: _Piece, set_id: str) -> None:
        members = piece.query.index.replica_sets[ids.ReplicaSetId(set_id)]
        front.next_replica[set_id] += 1
        upstream = members[front.next_replica[set_id] % len(members)]
        front.waiting[upstream].append(piece)
        self._send_waiting(front, upstream, set_id)

    def _send_waiting(
        self, front: _Front, upstream: ids.UpstreamId, set_id: str
    ) -> None:
        queue = front.waiting[upstream]
        while queue and front.in_flight[upstream] < front.network.cap:
            self._call(front, upstream, set_id, queue.popleft())

    def _call(
        self,
        front: _Front,
        upstream: ids.UpstreamId,
        set_id: str,
        piece: _Piece,
    ) -> None:
        front.in_flight[upstream] += 1
        self.simulation.calls += 1

        def done(result: jobs.CallResult) -> None:
            front.in_flight[upstream] -= 1
            self._on_result(front, set_id, piece, result)
            self._send_waiting(front, upstream, set_id)

        front.network.call(
            upstream,
            (piece.job,),
            CALL_TIMEOUT_MS,
            piece.query.arrival.crashing,
            done,
        )

    def _on_result(
        self,
        front: _Front,
        set_id: str,
        piece: _Piece,
        result: jobs.CallResult,
    ) -> None:
        match result:
            case jobs.CallDone(items=(jobs.ItemOk(rows=rows),)):
                piece.query.rows[piece.job.shard] = rows
                self._complete_piece(piece.query)
            case _ if piece.retries < MAX_RETRIES:
                piece.retries += 1
                self.clock.after(
                    RETRY_DELAY_MS, self._route, front, piece, set_id
                )
            case _:
                self._complete_piece(piece.query)

    def _complete_piece(self, query: _Query) -> None:
        query.pending -= 1
        if query.pending == 0:
            self._finish(query)

    def _finish(self, query: _Query) -> None:
        if query.finished:
            return
        query.finished = True
        total = len(query.index.shards)
        if not query.rows:
            refusal = answers.Refusal(
                answers.RefusalCode.FAILED, answers.RunStatus.UNKNOWN, ""
            )
            self.simulation.finish(query.arrival, refusal)
            return
        missing = tuple(
            shard for shard in query.index.shards if shard not in query.rows
        )
        answer = answers.Answer(
            str(query.arrival.number),
            "",
            query.index.service,
            query.index.snapshot,
            answers.Coverage(total - len(missing), total, missing),
            msgspec.Raw(answers.join_rows(list(query.rows.values()))),
            answers.Timing(),
        )
        self.simulation.finish(query.arrival, answer)
