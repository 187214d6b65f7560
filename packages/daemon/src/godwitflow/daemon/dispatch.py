"""The dispatcher task: replica sets' policy with real calls."""

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
from godwitflow.policy import catalog
from godwitflow.policy import crash_suspects
from godwitflow.policy import dispatcher
from godwitflow.policy import jobs
from godwitflow.policy import ownership
from godwitflow.settings import config
from godwitflow.tier import metrics as metrics_module
from godwitflow.upstream import client
from godwitflow.wire import messages

LOAD_QUIET_MS = 1_000.0
CLIENT_RECENT_MS = 1_000.0
MIN_TIMER_MS = 0.5
TIMER_SLACK_MS = 0.5

Send = typing.Callable[[ids.NodeId, messages.Message], None]
SetKey = tuple[ids.ServiceName, ids.ReplicaSetId]

_log = logs.logger("dispatcher")


@dataclasses.dataclass
class _Flight:
    """A call under way: how to abort it, and what it carries."""

    handle: client.Handle
    jobs: tuple[jobs.Job, ...]
    spans: list[tracing.Span] = dataclasses.field(default_factory=list)


class Dispatch:
    """Owns the connections to upstreams and the queue of each set."""

    def __init__(
        self,
        reactor: typing.Any,
        now_ms: clock.NowMs,
        upstream: client.Client,
        held: catalog.Catalog,
        send: Send,
        metrics: metrics_module.Metrics,
        tracer: tracing.Tracing,
    ) -> None:
        self.reactor = reactor
        self.now_ms = now_ms
        self.upstream = upstream
        self.catalog = held
        self.send = send
        self.metrics = metrics
        self.tracer = tracer
        self.suspects = crash_suspects.CrashSuspects()
        self.sets: dict[SetKey, dispatcher.ReplicaSetDispatcher] = {}
        self._armed: dict[SetKey, float] = {}
        self._wakeups: list[tuple[float, SetKey]] = []
        self._timer: typing.Any = None
        self._timer_at_ms = 0.0
        self._flights: dict[tuple[SetKey, int], _Flight] = {}
        self._clients: dict[SetKey, dict[ids.NodeId, float]] = {}
        self._sets_of: dict[tuple[str, ids.PieceId], SetKey] = {}
        self._reported: dict[SetKey, float] = {}
        self._waited: set[SetKey] = set()
        self._spans: dict[tuple[str, ids.PieceId], tracing.Span] = {}

    # Messages ---------------------------------------------------------

    def on_scatter(
        self, sender: ids.NodeId, scatter: messages.Scatter
    ) -> None:
        """Queue the pieces of one query."""
        now_ms = self.now_ms()
        service = self._service(scatter.service)
        index = self.catalog.index_of(service) if service else None
        for ref in scatter.pieces:
            job = jobs.from_scatter(now_ms, sender, scatter, ref)
            key = (scatter.service, ref.replica_set)
            found = self._set(key, service, index)
            if found is None:
                self._reply_unavailable(job)
                continue
            self._clients.setdefault(key, {})[sender] = now_ms
            self._sets_of[(sender, ref.piece_id)] = key
            self._start_span(job)
            self._perform(key, found, found.submit(now_ms, job))

    def on_cancel(
        self, sender: ids.NodeId, cancel: messages.CancelPieces
    ) -> None:
        """Stop pieces that a front no longer wants."""
        now_ms = self.now_ms()
        for piece in cancel.piece_ids:
            key = self._sets_of.pop((sender, piece), None)
            self._end_span((sender, piece), status="cancelled")
            found = self.sets.get(key) if key else None
            if key is not None and found is not None:
                actions = found.cancel(now_ms, sender, piece)
                self._perform(key, found, actions)

    def on_suspicions(self, news: messages.Suspicions) -> None:
        """Learn of requests that crash upstreams elsewhere."""
        for entry in news.entries:
            self.suspects.on_peer_report(
                entry.fingerprint, entry.crashes, self.now_ms()
            )
            self._stop_suspect(entry.fingerprint)

    def _stop_suspect(self, fingerprint: ids.Fingerprint) -> None:
        for key, found in self.sets.items():
            self._perform(key, found, found.on_crash_report(fingerprint))

    # Sets -------------------------------------------------------------

    def _service(self, name: ids.ServiceName) -> config.Service | None:
        held = self.catalog.config
        return held.services.get(name) if held else None

    def _set(
        self,
        key: SetKey,
        service: config.Service | None,
        index: index_model.Index | None,
    ) -> dispatcher.ReplicaSetDispatcher | None:
        found = self.sets.get(key)
        if found is not None:
            return found
        if service is None or index is None:
            return None
        members = index.replica_sets.get(key[1])
        if members is None:
            return None
        seed = ownership.hash64(key[1]) & 0xFFFF
        found = dispatcher.ReplicaSetDispatcher(
            key[1], service, members, self.suspects, seed
        )
        found.replicas.mark_leaving(frozenset(index.leaving))
        self.sets[key] = found
        return found

    def on_catalog(self) -> None:
        """Follow a newer configuration or index."""
        for key, found in list(self.sets.items()):
            service = self._service(key[0])
            index = self.catalog.index_of(service) if service else None
            if service is None or index is None:
                continue
            if found.service != service:
                found.update_settings(service)
            members = index.replica_sets.get(key[1], ())
            found.replicas.set_members(members)
            found.replicas.mark_leaving(frozenset(index.leaving))

    # Actions ----------------------------------------------------------

    def _perform(
        self,
        key: SetKey,
        found: dispatcher.ReplicaSetDispatcher,
        actions: list[jobs.Action],
    ) -> None:
        for action in actions:
            match action:
                case jobs.StartCall():
                    self._start_call(key, found, action)
                case jobs.CancelCall(call=call, upstream=upstream):
                    flight = self._flights.get((key, call))
                    if flight is not None:
                        self.upstream.cancel(upstream, flight.jobs)
                case jobs.AbortCall(call=call):
                    flight = self._flights.get((key, call))
                    if flight is not None:
                        flight.handle.abort()
                case jobs.Reply():
                    self._reply(key, action)
        self._arm(key, found)

    def _start_call(
        self,
        key: SetKey,
        found: dispatcher.ReplicaSetDispatcher,
        action: jobs.StartCall,
    ) -> None:
        flight = _Flight(client.Handle(), action.jobs)
        if self._spans:
            flight.spans = self._call_spans(action)
        self._flights[(key, action.call)] = flight
        calling = self.upstream.call(
            action.upstream,
            action.jobs,
            found.service.call_timeout_ms,
            flight.handle,
        )
        running = defer.ensureDeferred(calling)
        running.addCallback(self._on_result, key, found, action)

    def _on_result(
        self,
        result: jobs.CallResult,
        key: SetKey,
        found: dispatcher.ReplicaSetDispatcher,
        action: jobs.StartCall,
    ) -> None:
        flight = self._flights.pop((key, action.call))
        for span in flight.spans:
            kind = type(result).__name__
            span.end(upstream=action.upstream, result=kind)
        actions = found.on_result(self.now_ms(), action.call, result)
        if isinstance(result, jobs.CallCrashed):
            self._tell_suspects(action)
        self._perform(key, found, actions)

    def _tell_suspects(self, action: jobs.StartCall) -> None:
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
            self._stop_suspect(entry.fingerprint)

    on_crash: typing.Callable[[messages.Suspicions], None]
    """Called with the suspects of a crash, to spread them."""

    def _reply(self, key: SetKey, action: jobs.Reply) -> None:
        job = action.job
        self._sets_of.pop((job.client, job.piece), None)
        if self._spans:
            status = action.status.name.lower()
            self._end_span((job.client, job.piece), status=status)
        piece = jobs.to_piece(action)
        self.send(ids.NodeId(job.client), piece)

    def _reply_unavailable(self, job: jobs.Job) -> None:
        status = messages.PieceStatus.UNAVAILABLE
        refusal = jobs.Reply(job, status, answers.RunStatus.NOT_RUN)
        piece = jobs.to_piece(refusal)
        self.send(ids.NodeId(job.client), piece)

    # Timers -----------------------------------------------------------

    def _arm(
        self, key: SetKey, found: dispatcher.ReplicaSetDispatcher
    ) -> None:
        """Have a set's policy run again when it wants to.

        All sets share one timer of the reactor, as a timer for each
        would cost more than the policy itself.
        """
        now_ms = self.now_ms()
        wakeup_ms = found.next_wakeup_ms(now_ms)
        armed_ms = self._armed.get(key)
        if wakeup_ms is None or (armed_ms and armed_ms <= wakeup_ms):
            return
        self._armed[key] = wakeup_ms
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
        self._timer = self.reactor.callLater(delay_s, self._wake)

    def _wake(self) -> None:
        now_ms = self.now_ms()
        while self._wakeups and self._wakeups[0][0] <= now_ms:
            wakeup_ms, key = heapq.heappop(self._wakeups)
            if self._armed.get(key) == wakeup_ms:
                del self._armed[key]
                found = self.sets[key]
                self._perform(key, found, found.step(now_ms))
        if self._wakeups:
            self._set_timer(now_ms)

    def report_loads(self) -> None:
        """Tell each recent front how long new work would queue."""
        now_ms = self.now_ms()
        rows: dict[ids.NodeId, list[messages.SetLoad]] = {}
        for key, clients in self._clients.items():
            found = self.sets[key]
            load = found.load.report(key[0], key[1])
            if not self._worth_reporting(now_ms, key, load):
                continue
            for node, seen_at_ms in list(clients.items()):
                if now_ms - seen_at_ms > CLIENT_RECENT_MS:
                    del clients[node]
                    continue
                rows.setdefault(node, []).append(load)
        for node, loads in rows.items():
            self.send(node, messages.Loads(tuple(loads)))

    def _worth_reporting(
        self, now_ms: float, key: SetKey, load: messages.SetLoad
    ) -> bool:
        """Report while work waits, once more after, and now and then."""
        waiting = any(load.wait_ms) or any(load.canaries)
        due = now_ms - self._reported.get(key, -LOAD_QUIET_MS) >= LOAD_QUIET_MS
        waited = key in self._waited
        self._waited.discard(key)
        if waiting:
            self._waited.add(key)
        if not (waiting or waited or due):
            return False
        self._reported[key] = now_ms
        return True

    @property
    def active(self) -> int:
        """The number of calls under way."""
        return len(self._flights)

    @property
    def idle(self) -> bool:
        """Whether no piece is queued and no call is running."""
        queued = sum(len(item.queue) for item in self.sets.values())
        return self.active == 0 and queued == 0

    def stop(self) -> None:
        """Cancel the timer."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    # Spans ------------------------------------------------------------

    def _start_span(self, job: jobs.Job) -> None:
        if job.traceparent:
            span = self.tracer.start("dispatcher.piece", job.traceparent)
            self._spans[(job.client, job.piece)] = span

    def _end_span(
        self, key: tuple[str, ids.PieceId], **attributes: str
    ) -> None:
        span = self._spans.pop(key, None)
        if span is not None:
            span.end(**attributes)

    def _call_spans(self, action: jobs.StartCall) -> list[tracing.Span]:
        spans = []
        for job in action.jobs:
            parent = self._spans.get((job.client, job.piece))
            if parent is not None:
                name = "upstream.call"
                spans.append(self.tracer.start(name, parent.traceparent))
        return spans
