"""The dispatcher task: queues pieces and calls the upstreams.

The decisions are those of ``policy.dispatcher``; this module makes the
calls, sends the replies and runs the timers.
"""

import dataclasses
import heapq
import typing

from twisted.internet import defer

from godwitflow.daemon import clock
from godwitflow.daemon import logs
from godwitflow.daemon import tracing
from godwitflow.model import answers
from godwitflow.model import ids
from godwitflow.model import index as index_model
from godwitflow.policy import catalog as catalog_module
from godwitflow.policy import crash_suspects
from godwitflow.policy import dispatcher
from godwitflow.policy import jobs
from godwitflow.policy import ownership
from godwitflow.settings import config
from godwitflow.tier import metrics as metrics_module
from godwitflow.upstream import client
from godwitflow.wire import messages

# A replica set without waiting work reports its load this often.
IDLE_REPORT_PERIOD_MS = 1_000.0
# A front that has sent no piece for this long gets no more load reports.
FRONT_EXPIRY_MS = 1_000.0
MIN_TIMER_MS = 0.5
# A running timer is not replaced if it is at most this late.
TIMER_SLACK_MS = 0.5

Send = typing.Callable[[ids.NodeId, messages.Message], None]
SetKey = tuple[ids.ServiceName, ids.ReplicaSetId]

_log = logs.logger("dispatcher")


@dataclasses.dataclass
class _ActiveCall:
    """A call in flight: its abort handle, jobs and spans."""

    handle: client.CallHandle
    jobs: tuple[jobs.Job, ...]
    spans: list[tracing.Span] = dataclasses.field(default_factory=list)


class Dispatcher:
    """Runs one ``ReplicaSetDispatcher`` for each replica set.

    Sets are created when their first piece arrives.
    """

    def __init__(
        self,
        reactor: typing.Any,
        now_ms: clock.NowMs,
        upstream: client.Client,
        catalog: catalog_module.Catalog,
        send: Send,
        metrics: metrics_module.Metrics,
        tracer: tracing.Tracing,
    ) -> None:
        self.reactor = reactor
        self.now_ms = now_ms
        self.upstream = upstream
        self.catalog = catalog
        self.send = send
        self.metrics = metrics
        self.tracer = tracer
        self.suspects = crash_suspects.CrashSuspects()
        self.on_crash: typing.Callable[[messages.Suspicions], None] = (
            _ignore_suspicions
        )
        self.set_dispatchers: dict[
            SetKey, dispatcher.ReplicaSetDispatcher
        ] = {}
        self._scheduled_ms: dict[SetKey, float] = {}
        self._wakeups: list[tuple[float, SetKey]] = []
        self._timer: typing.Any = None
        self._timer_at_ms = 0.0
        self._active_calls: dict[tuple[SetKey, int], _ActiveCall] = {}
        self._recent_fronts: dict[SetKey, dict[ids.NodeId, float]] = {}
        self._set_by_piece: dict[tuple[str, ids.PieceId], SetKey] = {}
        self._reported_at_ms: dict[SetKey, float] = {}
        self._had_waiting_work: set[SetKey] = set()
        self._piece_spans: dict[tuple[str, ids.PieceId], tracing.Span] = {}

    # Messages ---------------------------------------------------------

    def on_scatter(
        self, sender: ids.NodeId, scatter: messages.Scatter
    ) -> None:
        """Queue the pieces of one query.

        A piece whose service or replica set is unknown here is answered
        as unavailable.
        """
        now_ms = self.now_ms()
        service = self._service_settings(scatter.service)
        index = self.catalog.index_of(service) if service else None
        for ref in scatter.pieces:
            job = jobs.from_scatter(now_ms, sender, scatter, ref)
            key = (scatter.service, ref.replica_set)
            set_dispatcher = self._get_or_create(key, service, index)
            if set_dispatcher is None:
                self._reply_unavailable(job)
                continue
            self._recent_fronts.setdefault(key, {})[sender] = now_ms
            self._set_by_piece[(sender, ref.piece_id)] = key
            self._start_piece_span(job)
            self._perform(
                key, set_dispatcher, set_dispatcher.submit(now_ms, job)
            )

    def on_cancel(
        self, sender: ids.NodeId, cancel: messages.CancelPieces
    ) -> None:
        """Cancel pieces that a front no longer needs."""
        now_ms = self.now_ms()
        for piece_id in cancel.piece_ids:
            key = self._set_by_piece.pop((sender, piece_id), None)
            self._end_piece_span((sender, piece_id), status="cancelled")
            set_dispatcher = self.set_dispatchers.get(key) if key else None
            if key is not None and set_dispatcher is not None:
                actions = set_dispatcher.cancel(now_ms, sender, piece_id)
                self._perform(key, set_dispatcher, actions)

    def on_suspicions(self, suspicions: messages.Suspicions) -> None:
        """Add the crash counts that another node has reported."""
        for entry in suspicions.entries:
            self.suspects.on_peer_report(
                entry.fingerprint, entry.crashes, self.now_ms()
            )
            self._notify_crash(entry.fingerprint)

    def _notify_crash(self, fingerprint: ids.Fingerprint) -> None:
        for key, set_dispatcher in self.set_dispatchers.items():
            self._perform(
                key,
                set_dispatcher,
                set_dispatcher.on_crash_report(fingerprint),
            )

    # Replica sets -----------------------------------------------------

    def _service_settings(
        self, name: ids.ServiceName
    ) -> config.Service | None:
        current = self.catalog.config
        return current.services.get(name) if current else None

    def _get_or_create(
        self,
        key: SetKey,
        service: config.Service | None,
        index: index_model.Index | None,
    ) -> dispatcher.ReplicaSetDispatcher | None:
        set_dispatcher = self.set_dispatchers.get(key)
        if set_dispatcher is not None:
            return set_dispatcher
        if service is None or index is None:
            return None
        members = index.replica_sets.get(key[1])
        if members is None:
            return None
        seed = ownership.hash64(key[1]) & 0xFFFF
        set_dispatcher = dispatcher.ReplicaSetDispatcher(
            key[1], service, members, self.suspects, seed
        )
        set_dispatcher.replicas.mark_leaving(frozenset(index.leaving))
        self.set_dispatchers[key] = set_dispatcher
        return set_dispatcher

    def on_catalog_change(self) -> None:
        """Apply a changed configuration or index to every replica set."""
        for key, set_dispatcher in list(self.set_dispatchers.items()):
            service = self._service_settings(key[0])
            index = self.catalog.index_of(service) if service else None
            if service is None or index is None:
                continue
            if set_dispatcher.service != service:
                set_dispatcher.update_settings(service)
            members = index.replica_sets.get(key[1], ())
            set_dispatcher.replicas.set_members(members)
            set_dispatcher.replicas.mark_leaving(frozenset(index.leaving))

    # Actions ----------------------------------------------------------

    def _perform(
        self,
        key: SetKey,
        set_dispatcher: dispatcher.ReplicaSetDispatcher,
        actions: list[jobs.Action],
    ) -> None:
        for action in actions:
            match action:
                case jobs.StartCall():
                    self._start_call(key, set_dispatcher, action)
                case jobs.CancelCall(call=call, upstream=upstream):
                    active = self._active_calls.get((key, call))
                    if active is not None:
                        self.upstream.cancel(upstream, active.jobs)
                case jobs.AbortCall(call=call):
                    active = self._active_calls.get((key, call))
                    if active is not None:
                        active.handle.abort()
                case jobs.Reply():
                    self._reply(key, action)
        self._schedule(key, set_dispatcher)

    def _start_call(
        self,
        key: SetKey,
        set_dispatcher: dispatcher.ReplicaSetDispatcher,
        action: jobs.StartCall,
    ) -> None:
        active = _ActiveCall(client.CallHandle(), action.jobs)
        if self._piece_spans:
            active.spans = self._start_call_spans(action)
        self._active_calls[(key, action.call)] = active
        call = self.upstream.call(
            action.upstream,
            action.jobs,
            set_dispatcher.service.call_timeout_ms,
            active.handle,
        )
        calling = defer.ensureDeferred(call)
        calling.addCallback(self._on_result, key, set_dispatcher, action)

    def _on_result(
        self,
        result: jobs.CallResult,
        key: SetKey,
        set_dispatcher: dispatcher.ReplicaSetDispatcher,
        action: jobs.StartCall,
    ) -> None:
        active = self._active_calls.pop((key, action.call))
        for span in active.spans:
            kind = type(result).__name__
            span.end(upstream=action.upstream, result=kind)
        actions = set_dispatcher.on_result(self.now_ms(), action.call, result)
        if isinstance(result, jobs.CallCrashed):
            self._report_crash(action)
        self._perform(key, set_dispatcher, actions)

    def _report_crash(self, action: jobs.StartCall) -> None:
        _log.warn(
            "an upstream crashed under a request",
            upstream=action.upstream,
            pieces=[job.piece_key for job in action.jobs],
        )
        entries = tuple(
            messages.Suspicion(
                job.fingerprint,
                self.suspects.crash_count(job.fingerprint),
                0.0,
            )
            for job in action.jobs
        )
        self.on_crash(messages.Suspicions(entries))
        for entry in entries:
            self._notify_crash(entry.fingerprint)

    def _reply(self, key: SetKey, action: jobs.Reply) -> None:
        job = action.job
        self._set_by_piece.pop((job.front_node, job.piece_id), None)
        if self._piece_spans:
            status = action.status.name.lower()
            self._end_piece_span((job.front_node, job.piece_id), status=status)
        piece = jobs.to_piece(action)
        self.send(ids.NodeId(job.front_node), piece)

    def _reply_unavailable(self, job: jobs.Job) -> None:
        status = messages.PieceStatus.UNAVAILABLE
        refusal = jobs.Reply(job, status, answers.RunStatus.NOT_RUN)
        piece = jobs.to_piece(refusal)
        self.send(ids.NodeId(job.front_node), piece)

    # Timers -----------------------------------------------------------

    def _schedule(
        self, key: SetKey, set_dispatcher: dispatcher.ReplicaSetDispatcher
    ) -> None:
        """Schedule the next step of a replica set.

        All sets share one reactor timer: a timer for each set would
        cost more than the policy itself.
        """
        now_ms = self.now_ms()
        wakeup_ms = set_dispatcher.next_wakeup_ms(now_ms)
        scheduled_ms = self._scheduled_ms.get(key)
        if wakeup_ms is None or (scheduled_ms and scheduled_ms <= wakeup_ms):
            return
        self._scheduled_ms[key] = wakeup_ms
        heapq.heappush(self._wakeups, (wakeup_ms, key))
        self._set_timer(now_ms)

    def _set_timer(self, now_ms: float) -> None:
        first_ms = self._wakeups[0][0]
        if self._timer is not None and self._timer.active():
            if self._timer_at_ms <= first_ms + TIMER_SLACK_MS:
                return
            self._timer.cancel()
        delay_ms = max(MIN_TIMER_MS, first_ms - now_ms)
        self._timer_at_ms = now_ms + delay_ms
        delay_s = delay_ms / clock.MS_PER_S
        self._timer = self.reactor.callLater(delay_s, self._run_due)

    def _run_due(self) -> None:
        now_ms = self.now_ms()
        while self._wakeups and self._wakeups[0][0] <= now_ms:
            wakeup_ms, key = heapq.heappop(self._wakeups)
            if self._scheduled_ms.get(key) == wakeup_ms:
                del self._scheduled_ms[key]
                set_dispatcher = self.set_dispatchers[key]
                self._perform(key, set_dispatcher, set_dispatcher.step(now_ms))
        if self._wakeups:
            self._set_timer(now_ms)

    def report_loads(self) -> None:
        """Send each recent front the expected queueing times."""
        now_ms = self.now_ms()
        loads_by_front: dict[ids.NodeId, list[messages.SetLoad]] = {}
        for key, fronts in self._recent_fronts.items():
            set_dispatcher = self.set_dispatchers[key]
            load = set_dispatcher.load.report(key[0], key[1])
            if not self._is_report_due(now_ms, key, load):
                continue
            for node, scattered_at_ms in list(fronts.items()):
                if now_ms - scattered_at_ms > FRONT_EXPIRY_MS:
                    del fronts[node]
                    continue
                loads_by_front.setdefault(node, []).append(load)
        for node, loads in loads_by_front.items():
            self.send(node, messages.Loads(tuple(loads)))

    def _is_report_due(
        self, now_ms: float, key: SetKey, load: messages.SetLoad
    ) -> bool:
        """Return whether to send a load report now, and record it.

        A report is due while work waits, once more when none waits any
        longer, and every ``IDLE_REPORT_PERIOD_MS``.
        """
        waiting = any(load.wait_ms) or any(load.canaries)
        period_elapsed = (
            now_ms - self._reported_at_ms.get(key, -IDLE_REPORT_PERIOD_MS)
            >= IDLE_REPORT_PERIOD_MS
        )
        had_waiting_work = key in self._had_waiting_work
        self._had_waiting_work.discard(key)
        if waiting:
            self._had_waiting_work.add(key)
        if not (waiting or had_waiting_work or period_elapsed):
            return False
        self._reported_at_ms[key] = now_ms
        return True

    @property
    def active_call_count(self) -> int:
        """The number of calls in flight."""
        return len(self._active_calls)

    @property
    def idle(self) -> bool:
        """Whether no piece is queued and no call is in flight."""
        queued = sum(
            len(set_dispatcher.queue)
            for set_dispatcher in self.set_dispatchers.values()
        )
        return self.active_call_count == 0 and queued == 0

    def stop(self) -> None:
        """Cancel the timer."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    # Spans ------------------------------------------------------------

    def _start_piece_span(self, job: jobs.Job) -> None:
        if job.traceparent:
            span = self.tracer.start("dispatcher.piece", job.traceparent)
            self._piece_spans[(job.front_node, job.piece_id)] = span

    def _end_piece_span(
        self, key: tuple[str, ids.PieceId], **attributes: str
    ) -> None:
        span = self._piece_spans.pop(key, None)
        if span is not None:
            span.end(**attributes)

    def _start_call_spans(self, action: jobs.StartCall) -> list[tracing.Span]:
        spans = []
        for job in action.jobs:
            parent = self._piece_spans.get((job.front_node, job.piece_id))
            if parent is not None:
                name = "upstream.call"
                spans.append(self.tracer.start(name, parent.traceparent))
        return spans


def _ignore_suspicions(suspicions: messages.Suspicions) -> None:
    """Default ``on_crash``; a node replaces it to inform its peers."""
