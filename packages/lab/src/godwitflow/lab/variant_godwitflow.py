"""godwitflow's policy objects, run on the virtual clock."""

import dataclasses
import itertools
import typing

from godwitflow.lab import arrivals
from godwitflow.lab import model_network
from godwitflow.lab import simulation as simulation_module
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
MAX_INDEX_LAG_MS = 300.0
DEADLINE_MARGIN_MS = 2.0


@dataclasses.dataclass(eq=False)
class _Front:
    name: ids.NodeId
    admission_controller: admission.AdmissionController
    suspects: crash_suspects.CrashSuspects
    known_good_requests: known_good.KnownGood
    index: index_model.Index


@dataclasses.dataclass(eq=False)
class _RunningQuery:
    run: query_run.QueryRun
    front: _Front
    arrival: arrivals.Arrival


class Godwitflow:
    """The variant under test: nine fronts, a dispatcher per replica set."""

    def __init__(self, simulation: simulation_module.Simulation) -> None:
        self.simulation = simulation
        self.clock = simulation.clock
        self.piece_id_counter = itertools.count(1)
        self.fronts = [
            _Front(
                ids.NodeId(f"f{number}"),
                admission.AdmissionController(),
                crash_suspects.CrashSuspects(),
                known_good.KnownGood(),
                simulation.index,
            )
            for number in range(simulation_module.FRONT_COUNT)
        ]
        self.network = model_network.ModelNetwork(
            simulation.clock,
            simulation.upstreams,
            simulation.shape.upstream.connect_ms,
            simulation.shape.upstream.connection_cap // 2,
            probe_siblings=True,
        )
        simulation.network = self.network
        simulation.on_index = self._on_index
        self.sets: dict[str, dispatcher.ReplicaSetDispatcher] = {}
        self.snapshots: dict[str, index_model.Index] = {}
        self.calls: dict[tuple[str, int], typing.Any] = {}
        self.wakeups_ms: dict[str, float] = {}
        self.running: dict[int, _RunningQuery] = {}
        self.crashing_fingerprints: set[ids.Fingerprint] = set()
        for set_id, members in simulation.index.replica_sets.items():
            self._add_set(set_id, members)
        self.clock.after(LOAD_PERIOD_MS, self._report_loads)

    def _add_set(
        self, set_id: str, members: tuple[ids.UpstreamId, ...]
    ) -> None:
        self.sets[set_id] = dispatcher.ReplicaSetDispatcher(
            ids.ReplicaSetId(set_id),
            self.simulation.service,
            members,
            crash_suspects.CrashSuspects(),
            ownership.hash64(set_id) & 0xFFFF,
        )

    # Front ------------------------------------------------------------

    def submit(self, arrival: arrivals.Arrival) -> None:
        """Submit a query to a random front."""
        front = self.simulation.random.choice(self.fronts)
        fingerprint = ids.Fingerprint(
            1 if arrival.crashing else arrival.number + 10
        )
        if arrival.crashing:
            self.crashing_fingerprints.add(fingerprint)
        if front.suspects.is_blocked(fingerprint):
            self._refuse(arrival, answers.RefusalCode.SUSPECT)
            return
        order = ownership.hash64(str(arrival.number)) & 0xFFFFFFFF
        decision = front.admission_controller.decide(
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
        self.simulation.finish(arrival, refusal)

    def _start(
        self,
        front: _Front,
        arrival: arrivals.Arrival,
        fingerprint: ids.Fingerprint,
        order: int,
    ) -> None:
        is_known_good = front.known_good_requests.contains(fingerprint)
        canary_from = self.simulation.service.canary_from_rank
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
            canary=not is_known_good and arrival.rank >= canary_from,
        )
        run = query_run.QueryRun(
            request, front.index, _route, self.piece_id_counter
        )
        running = _RunningQuery(run, front, arrival)
        self.simulation.pieces += len(run.piece_ids)
        self._perform_query_actions(running, run.start(self.clock.now_ms))
        self.clock.after(
            arrival.deadline_ms - DEADLINE_MARGIN_MS,
            self._on_deadline,
            running,
        )

    def _on_deadline(self, running: _RunningQuery) -> None:
        actions = running.run.on_deadline(self.clock.now_ms)
        self._perform_query_actions(running, actions)

    def _perform_query_actions(
        self, running: _RunningQuery, actions: list[query_run.Action]
    ) -> None:
        for action in actions:
            match action:
                case query_run.SendPieces(scatter=scatter):
                    for ref in scatter.pieces:
                        self.running[ref.piece_id] = running
                    self.clock.after(
                        simulation_module.HOP_MS,
                        self._on_scatter,
                        running.front,
                        scatter,
                    )
                case query_run.CancelPieces(node=node, piece_ids=piece_ids):
                    self.clock.after(
                        simulation_module.HOP_MS,
                        self._cancel,
                        running.front.name,
                        node,
                        piece_ids,
                    )
                case query_run.Finish(result=result):
                    self._finish(running, result)

    def _finish(
        self,
        running: _RunningQuery,
        result: answers.Answer | answers.Refusal,
    ) -> None:
        for piece_id in running.run.piece_ids:
            self.running.pop(piece_id, None)
        if isinstance(result, answers.Answer):
            running.front.known_good_requests.add(
                running.run.request.fingerprint
            )
        self.simulation.finish(running.arrival, result)

    def _on_piece(self, piece: messages.Piece) -> None:
        running = self.running.pop(piece.piece_id, None)
        if running is not None:
            now_ms = self.clock.now_ms
            _, actions = running.run.on_piece(now_ms, piece)
            self._perform_query_actions(running, actions)

    # Dispatcher -------------------------------------------------------

    def _on_scatter(self, front: _Front, scatter: messages.Scatter) -> None:
        now_ms = self.clock.now_ms
        for ref in scatter.pieces:
            job = jobs.from_scatter(now_ms, front.name, scatter, ref)
            replica_set = self.sets[ref.replica_set]
            actions = replica_set.submit(now_ms, job)
            self._perform_dispatch_actions(
                ref.replica_set, replica_set, actions
            )

    def _cancel(
        self,
        client: str,
        node: ids.NodeId,
        pieces: tuple[ids.PieceId, ...],
    ) -> None:
        replica_set = self.sets[node]
        for piece in pieces:
            actions = replica_set.cancel(self.clock.now_ms, client, piece)
            self._perform_dispatch_actions(node, replica_set, actions)

    def _perform_dispatch_actions(
        self,
        set_id: str,
        replica_set: dispatcher.ReplicaSetDispatcher,
        actions: list[jobs.Action],
    ) -> None:
        for action in actions:
            match action:
                case jobs.StartCall():
                    self._call(set_id, replica_set, action)
                case jobs.CancelCall(call=call, upstream=upstream):
                    in_flight = self.calls.get((set_id, call))
                    if in_flight is not None:
                        self.network.cancel(upstream, in_flight)
                case jobs.AbortCall(call=call):
                    in_flight = self.calls.get((set_id, call))
                    if in_flight is not None:
                        self.network.abort(in_flight)
                case jobs.Reply():
                    self._send_piece(action)
        self._schedule_wakeup(set_id, replica_set)

    def _call(
        self,
        set_id: str,
        replica_set: dispatcher.ReplicaSetDispatcher,
        action: jobs.StartCall,
    ) -> None:
        self.simulation.calls += len(action.jobs)
        key = (set_id, action.call)

        def done(result: jobs.CallResult) -> None:
            self.calls.pop(key, None)
            actions = replica_set.on_result(
                self.clock.now_ms, action.call, result
            )
            if isinstance(result, jobs.CallCrashed):
                self._broadcast_crashes(replica_set, action)
            self._perform_dispatch_actions(set_id, replica_set, actions)

        crashing = any(
            job.fingerprint in self.crashing_fingerprints
            for job in action.jobs
        )
        self.calls[key] = self.network.call(
            action.upstream,
            action.jobs,
            self.simulation.service.call_timeout_ms,
            crashing,
            done,
        )

    def _broadcast_crashes(
        self,
        replica_set: dispatcher.ReplicaSetDispatcher,
        action: jobs.StartCall,
    ) -> None:
        for job in action.jobs:
            crashes = replica_set.suspects.crash_count(job.fingerprint)
            self.clock.after(
                simulation_module.HOP_MS,
                self._on_crash_report,
                replica_set,
                job.fingerprint,
                crashes,
            )

    def _on_crash_report(
        self,
        reporter: dispatcher.ReplicaSetDispatcher,
        fingerprint: ids.Fingerprint,
        crashes: int,
    ) -> None:
        for front in self.fronts:
            front.suspects.on_peer_report(
                fingerprint, crashes, self.clock.now_ms
            )
        for set_id, replica_set in self.sets.items():
            if replica_set is not reporter:
                replica_set.suspects.on_peer_report(
                    fingerprint, crashes, self.clock.now_ms
                )
            actions = replica_set.on_crash_report(fingerprint)
            self._perform_dispatch_actions(set_id, replica_set, actions)

    def _send_piece(self, action: jobs.Reply) -> None:
        piece = jobs.to_piece(action)
        self.clock.after(simulation_module.HOP_MS, self._on_piece, piece)

    def _schedule_wakeup(
        self, set_id: str, replica_set: dispatcher.ReplicaSetDispatcher
    ) -> None:
        now_ms = self.clock.now_ms
        wakeup_ms = replica_set.next_wakeup_ms(now_ms)
        scheduled_ms = self.wakeups_ms.get(set_id, -1.0)
        if wakeup_ms is None or now_ms < scheduled_ms <= wakeup_ms:
            return
        self.wakeups_ms[set_id] = wakeup_ms
        self.clock.at(wakeup_ms, self._wake, set_id, replica_set, wakeup_ms)

    def _wake(
        self,
        set_id: str,
        replica_set: dispatcher.ReplicaSetDispatcher,
        at_ms: float,
    ) -> None:
        if self.wakeups_ms.get(set_id) == at_ms:
            self.wakeups_ms[set_id] = -1.0
            actions = replica_set.step(self.clock.now_ms)
            self._perform_dispatch_actions(set_id, replica_set, actions)

    def _report_loads(self) -> None:
        loads = [
            replica_set.load.report(
                self.simulation.index.service, replica_set.id
            )
            for replica_set in self.sets.values()
        ]
        self.clock.after(
            simulation_module.HOP_MS, self._on_load_reports, loads
        )
        self.clock.after(LOAD_PERIOD_MS, self._report_loads)

    def _on_load_reports(self, loads: list[messages.SetLoad]) -> None:
        for front in self.fronts:
            for load in loads:
                front.admission_controller.on_load_report(
                    load, self.clock.now_ms
                )

    # Index ------------------------------------------------------------

    def _on_index(self, index: index_model.Index) -> None:
        """Distribute a newer index.

        The replica sets receive it immediately, each front after a random
        delay of up to ``MAX_INDEX_LAG_MS``.
        """
        for front in self.fronts:
            lag_ms = self.simulation.random.uniform(0.0, MAX_INDEX_LAG_MS)
            self.clock.after(lag_ms, self._update_front_index, front, index)
        for set_id, members in index.replica_sets.items():
            if set_id not in self.sets:
                self._add_set(set_id, members)
            else:
                self.sets[set_id].replicas.set_members(members)

    def _update_front_index(
        self, front: _Front, index: index_model.Index
    ) -> None:
        front.index = index
        for running in list(set(self.running.values())):
            if running.front is front:
                actions = running.run.on_index(self.clock.now_ms, index)
                self._perform_query_actions(running, actions)


def _route(set_id: ids.ReplicaSetId) -> list[ids.NodeId]:
    """Return the only owner: each dispatcher has its set's name."""
    return [ids.NodeId(set_id)]
