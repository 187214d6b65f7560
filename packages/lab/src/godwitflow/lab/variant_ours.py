"""The real policy objects, driven by the virtual clock."""

import dataclasses
import itertools
import typing

from godwitflow.lab import arrivals
from godwitflow.lab import model_network
from godwitflow.lab import world as world_module
from godwitflow.model import answers
from godwitflow.model import ids
from godwitflow.model import index as index_model
from godwitflow.policy import admission
from godwitflow.policy import crash_suspects
from godwitflow.policy import dispatcher
from godwitflow.policy import jobs
from godwitflow.policy import known_good
from godwitflow.policy import ownership
from godwitflow.policy import query_run
from godwitflow.wire import messages

LOAD_PERIOD_MS = 50.0
INDEX_LAG_MS = 300.0
MARGIN_MS = 2.0


@dataclasses.dataclass(eq=False)
class _Front:
    name: ids.NodeId
    gate: admission.AdmissionController
    table: crash_suspects.CrashSuspects
    good: known_good.KnownGood
    index: index_model.Index


@dataclasses.dataclass(eq=False)
class _Running:
    run: query_run.QueryRun
    front: _Front
    arrival: arrivals.Arrival


class Godwitflow:
    """Nine fronts and a dispatcher for each replica set."""

    def __init__(self, world: world_module.World) -> None:
        self.world = world
        self.clock = world.clock
        self.piece_ids = itertools.count(1)
        self.fronts = [
            _Front(
                ids.NodeId(f"f{number}"),
                admission.AdmissionController(),
                crash_suspects.CrashSuspects(),
                known_good.KnownGood(),
                world.index,
            )
            for number in range(world_module.FRONTS)
        ]
        self.network = model_network.ModelNetwork(
            world.clock,
            world.upstreams,
            world.shape.upstream.connect_ms,
            world.shape.upstream.connection_cap // 2,
            careful=True,
        )
        world.network = self.network
        world.on_index = self._on_index
        self.sets: dict[str, dispatcher.ReplicaSetDispatcher] = {}
        self.snapshots: dict[str, index_model.Index] = {}
        self.calls: dict[tuple[str, int], typing.Any] = {}
        self.armed: dict[str, float] = {}
        self.running: dict[int, _Running] = {}
        self.crashing: set[ids.Fingerprint] = set()
        for set_id, members in world.index.replica_sets.items():
            self._add_set(set_id, members)
        self.clock.after(LOAD_PERIOD_MS, self._report)

    def _add_set(
        self, set_id: str, members: tuple[ids.UpstreamId, ...]
    ) -> None:
        self.sets[set_id] = dispatcher.ReplicaSetDispatcher(
            ids.ReplicaSetId(set_id),
            self.world.service,
            members,
            crash_suspects.CrashSuspects(),
            ownership.hash64(set_id) & 0xFFFF,
        )

    # Front ------------------------------------------------------------

    def submit(self, arrival: arrivals.Arrival) -> None:
        """Take a query at a random front."""
        front = self.world.random.choice(self.fronts)
        fingerprint = ids.Fingerprint(
            1 if arrival.crashing else arrival.number + 10
        )
        if arrival.crashing:
            self.crashing.add(fingerprint)
        if front.table.is_blocked(fingerprint):
            self._refuse(arrival, answers.RefusalCode.SUSPECT)
            return
        order = ownership.hash64(str(arrival.number)) & 0xFFFFFFFF
        decision = front.gate.decide(
            self.clock.now_ms, arrival.rank, arrival.deadline_ms, order
        )
        if isinstance(decision, admission.Refuse):
            self._refuse(arrival, answers.RefusalCode.OVERLOADED)
            return
        self._start(front, arrival, fingerprint, order)

    def _refuse(
        self, arrival: arrivals.Arrival, code: answers.RefusalCode
    ) -> None:
        refusal = answers.Refusal(code, answers.RunStatus.NOT_RUN, "")
        self.world.finish(arrival, refusal)

    def _start(
        self,
        front: _Front,
        arrival: arrivals.Arrival,
        fingerprint: ids.Fingerprint,
        order: int,
    ) -> None:
        known = front.good.contains(fingerprint)
        canary_from = self.world.service.canary_from_rank
        request = query_run.Request(
            str(arrival.number),
            "",
            front.index.service,
            arrival.rank,
            order,
            self.clock.now_ms,
            self.clock.now_ms + arrival.deadline_ms,
            0.0,
            True,
            fingerprint,
            b"1",
            canary=not known and arrival.rank >= canary_from,
        )
        run = query_run.QueryRun(request, front.index, _route, self.piece_ids)
        running = _Running(run, front, arrival)
        self.world.pieces += len(run.pieces)
        self._perform_run(running, run.start(self.clock.now_ms))
        self.clock.after(
            arrival.deadline_ms - MARGIN_MS, self._deadline, running
        )

    def _deadline(self, running: _Running) -> None:
        actions = running.run.on_deadline(self.clock.now_ms)
        self._perform_run(running, actions)

    def _perform_run(
        self, running: _Running, actions: list[query_run.Action]
    ) -> None:
        for action in actions:
            match action:
                case query_run.SendPieces(scatter=scatter):
                    for ref in scatter.pieces:
                        self.running[ref.piece_id] = running
                    self.clock.after(
                        world_module.HOP_MS,
                        self._arrive,
                        running.front,
                        scatter,
                    )
                case query_run.CancelPieces(node=node, pieces=pieces):
                    self.clock.after(
                        world_module.HOP_MS,
                        self._cancel,
                        running.front.name,
                        node,
                        pieces,
                    )
                case query_run.Finish(result=result):
                    self._finish(running, result)

    def _finish(
        self,
        running: _Running,
        result: answers.Answer | answers.Refusal,
    ) -> None:
        for piece in running.run.pieces:
            self.running.pop(piece, None)
        if isinstance(result, answers.Answer):
            running.front.good.add(running.run.request.fingerprint)
        self.world.finish(running.arrival, result)

    def _on_piece(self, piece: messages.Piece) -> None:
        running = self.running.pop(piece.piece_id, None)
        if running is not None:
            now_ms = self.clock.now_ms
            _, actions = running.run.on_piece(now_ms, piece)
            self._perform_run(running, actions)

    # Dispatcher -------------------------------------------------------

    def _arrive(self, front: _Front, scatter: messages.Scatter) -> None:
        now_ms = self.clock.now_ms
        for ref in scatter.pieces:
            job = jobs.from_scatter(now_ms, front.name, scatter, ref)
            found = self.sets[ref.replica_set]
            actions = found.submit(now_ms, job)
            self._perform_set(ref.replica_set, found, actions)

    def _cancel(
        self,
        client: str,
        node: ids.NodeId,
        pieces: tuple[ids.PieceId, ...],
    ) -> None:
        found = self.sets[node]
        for piece in pieces:
            actions = found.cancel(self.clock.now_ms, client, piece)
            self._perform_set(node, found, actions)

    def _perform_set(
        self,
        set_id: str,
        found: dispatcher.ReplicaSetDispatcher,
        actions: list[jobs.Action],
    ) -> None:
        for action in actions:
            match action:
                case jobs.StartCall():
                    self._call(set_id, found, action)
                case jobs.CancelCall(call=call, upstream=upstream):
                    flight = self.calls.get((set_id, call))
                    if flight is not None:
                        self.network.cancel(upstream, flight)
                case jobs.AbortCall(call=call):
                    flight = self.calls.get((set_id, call))
                    if flight is not None:
                        self.network.abort(flight)
                case jobs.Reply():
                    self._reply(action)
        self._arm(set_id, found)

    def _call(
        self,
        set_id: str,
        found: dispatcher.ReplicaSetDispatcher,
        action: jobs.StartCall,
    ) -> None:
        self.world.calls += len(action.jobs)
        key = (set_id, action.call)

        def done(result: jobs.CallResult) -> None:
            self.calls.pop(key, None)
            actions = found.on_result(self.clock.now_ms, action.call, result)
            if isinstance(result, jobs.CallCrashed):
                self._spread(found, action)
            self._perform_set(set_id, found, actions)

        crashing = any(job.fingerprint in self.crashing for job in action.jobs)
        self.calls[key] = self.network.call(
            action.upstream,
            action.jobs,
            self.world.service.call_timeout_ms,
            crashing,
            done,
        )

    def _spread(
        self, found: dispatcher.ReplicaSetDispatcher, action: jobs.StartCall
    ) -> None:
        for job in action.jobs:
            crashes = found.suspects.crash_count(job.fingerprint)
            self.clock.after(
                world_module.HOP_MS,
                self._learn,
                found,
                job.fingerprint,
                crashes,
            )

    def _learn(
        self,
        teller: dispatcher.ReplicaSetDispatcher,
        fingerprint: ids.Fingerprint,
        crashes: int,
    ) -> None:
        for front in self.fronts:
            front.table.on_peer_report(fingerprint, crashes, self.clock.now_ms)
        for set_id, found in self.sets.items():
            if found is not teller:
                found.suspects.on_peer_report(
                    fingerprint, crashes, self.clock.now_ms
                )
            actions = found.on_crash_report(fingerprint)
            self._perform_set(set_id, found, actions)

    def _reply(self, action: jobs.Reply) -> None:
        piece = jobs.to_piece(action)
        self.clock.after(world_module.HOP_MS, self._on_piece, piece)

    def _arm(
        self, set_id: str, found: dispatcher.ReplicaSetDispatcher
    ) -> None:
        now_ms = self.clock.now_ms
        wakeup_ms = found.next_wakeup_ms(now_ms)
        armed_ms = self.armed.get(set_id, -1.0)
        if wakeup_ms is None or now_ms < armed_ms <= wakeup_ms:
            return
        self.armed[set_id] = wakeup_ms
        self.clock.at(wakeup_ms, self._wake, set_id, found, wakeup_ms)

    def _wake(
        self, set_id: str, found: dispatcher.ReplicaSetDispatcher, at_ms: float
    ) -> None:
        if self.armed.get(set_id) == at_ms:
            self.armed[set_id] = -1.0
            actions = found.step(self.clock.now_ms)
            self._perform_set(set_id, found, actions)

    def _report(self) -> None:
        loads = [
            found.load.report(self.world.index.service, found.id)
            for found in self.sets.values()
        ]
        self.clock.after(world_module.HOP_MS, self._learn_loads, loads)
        self.clock.after(LOAD_PERIOD_MS, self._report)

    def _learn_loads(self, loads: list[messages.SetLoad]) -> None:
        for front in self.fronts:
            for load in loads:
                front.gate.on_load_report(load, self.clock.now_ms)

    # Index ------------------------------------------------------------

    def _on_index(self, index: index_model.Index) -> None:
        """Learn of a newer index, each part after a lag of its own."""
        for front in self.fronts:
            lag_ms = self.world.random.uniform(0.0, INDEX_LAG_MS)
            self.clock.after(lag_ms, self._front_index, front, index)
        for set_id, members in index.replica_sets.items():
            if set_id not in self.sets:
                self._add_set(set_id, members)
            else:
                self.sets[set_id].replicas.set_members(members)

    def _front_index(self, front: _Front, index: index_model.Index) -> None:
        front.index = index
        for running in list(set(self.running.values())):
            if running.front is front:
                actions = running.run.on_index(self.clock.now_ms, index)
                self._perform_run(running, actions)


def _route(set_id: ids.ReplicaSetId) -> list[ids.NodeId]:
    return [ids.NodeId(set_id)]
