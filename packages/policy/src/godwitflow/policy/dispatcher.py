"""Decides which queued piece goes to which replica, and when.

One dispatcher owns a replica set: all calls to the set's upstreams are
its own, so one queue in one order serves all their slots. It performs
no input or output: each event returns the actions to carry out.
"""

import collections
import itertools
import math

from godwitflow.model import answers
from godwitflow.model import ids
from godwitflow.policy import budget
from godwitflow.policy import calls
from godwitflow.policy import crash_suspects
from godwitflow.policy import hedging
from godwitflow.policy import jobs
from godwitflow.policy import load
from godwitflow.policy import replicas
from godwitflow.policy import scheduler
from godwitflow.policy import stalled_calls
from godwitflow.policy import upstreams
from godwitflow.settings import config
from godwitflow.wire import messages

RETRY_BURST = 20.0
RETRY_INITIAL = 2.0
MAX_QUEUE = 20_000
MAX_ASIDE = 8
URGENT_RECENT_MS = 1_000.0
RESERVE_SHARE = 0.2
RESERVE_FROM_ROUNDS = 2
MAX_TRIES = 3
EXPIRY_CHECK_MS = 10.0
MIN_WAKEUP_MS = 0.5
SILENCE_CHECK_MS = 50.0


class ReplicaSetDispatcher:
    """The policy for one replica set of one service."""

    def __init__(
        self,
        set_id: ids.ReplicaSetId,
        service: config.Service,
        members: tuple[ids.UpstreamId, ...],
        suspect_table: crash_suspects.CrashSuspects,
        seed: int = 0,
        cold: bool = False,
    ) -> None:
        self.id = set_id
        self.service = service
        self.floors = service.floor_shares
        self.suspects = suspect_table
        self.queue: scheduler.Scheduler[jobs.Job] = scheduler.Scheduler(
            self.floors
        )
        self.replicas = replicas.Replicas(members, service.slots, seed, cold)
        self.load = load.Load(service, self.queue, self.replicas)
        self.hedging = hedging.Hedging(service.hedge)
        self.retries = budget.ShareBudget(
            service.retry_budget_share, RETRY_BURST, RETRY_INITIAL
        )
        self.calls: dict[int, calls.Call] = {}
        self.jobs: dict[tuple[str, ids.PieceId], jobs.Job] = {}
        self.counts: collections.Counter[str] = collections.Counter()
        self._held: list[jobs.Job] = []
        self._call_ids = itertools.count(1)
        self._arrived_at_ms = [-URGENT_RECENT_MS] * len(self.floors)
        self._batch_since_ms: float | None = None
        self._silence_check_at_ms = 0.0
        self._expiry_check_at_ms = 0.0

    def update_settings(self, service: config.Service) -> None:
        """Take the settings of a newer configuration."""
        self.service = service
        self.load.service = service
        self.hedging.apply(service.hedge)
        self.retries.share = service.retry_budget_share
        self.replicas.set_slots(service.slots)
        if service.floor_shares == self.floors:
            return
        waiting = self.queue.drain()
        self.floors = service.floor_shares
        self.queue = scheduler.Scheduler(self.floors)
        self.load = load.Load(service, self.queue, self.replicas)
        self._arrived_at_ms = [-URGENT_RECENT_MS] * len(self.floors)
        for job in self.jobs.values():
            self.load.canaries[self._place(job)] += job.canary
        for job in waiting:
            self.queue.push(job)

    # Events -----------------------------------------------------------

    def submit(self, now_ms: float, job: jobs.Job) -> list[jobs.Action]:
        """Queue a job and start what can start."""
        self.counts["offered"] += 1
        key = (job.client, job.piece)
        if key in self.jobs:
            self.counts["duplicate"] += 1
            return []
        if self.suspects.is_blocked(job.fingerprint):
            return [self._refuse(job, messages.PieceStatus.SUSPECT)]
        if self.queue.waiting >= MAX_QUEUE:
            return [self._refuse(job, messages.PieceStatus.SHED)]
        self.jobs[key] = job
        if job.canary:
            self.load.canaries[self._place(job)] += 1
        self._arrived_at_ms[self._place(job)] = now_ms
        job.queued_at_ms = now_ms
        self.queue.push(job)
        return self.step(now_ms)

    def cancel(
        self, now_ms: float, client: str, piece: ids.PieceId
    ) -> list[jobs.Action]:
        """Stop a job that its front no longer wants."""
        job = self.jobs.get((client, piece))
        if job is None:
            return []
        self._forget(job)
        self.counts["cancelled"] += 1
        if not job.calls:
            self.queue.discard(job)
            return []
        job.done = True
        return self._cancel_calls(job)

    def on_result(
        self, now_ms: float, call_id: int, result: jobs.CallResult
    ) -> list[jobs.Action]:
        """Take the result of a call, then start what can start."""
        call = self.calls.pop(call_id, None)
        if call is None:
            return []
        call.ended = True
        call.upstream.on_end()
        for job in call.jobs:
            job.calls.discard(call_id)
        crashed = isinstance(result, jobs.CallCrashed)
        if crashed or not self.suspects.quiet:
            self._end_trials(now_ms, call, crashed)
        actions: list[jobs.Action] = []
        match result:
            case jobs.CallDone():
                actions += self._on_done(now_ms, call, result)
            case jobs.CallNotSent():
                call.upstream.on_failure(now_ms)
                actions += self._retry_all(call, ran=False)
            case jobs.CallCrashed():
                actions += self._on_crash(now_ms, call)
            case jobs.CallTimedOut() | jobs.CallGarbled():
                self._note_late(now_ms, call)
                actions += self._retry_all(call, ran=True)
        return actions + self.step(now_ms)

    # Starting work ----------------------------------------------------

    def step(self, now_ms: float) -> list[jobs.Action]:
        """Drop what has expired, start what has a slot, hedge."""
        if self._held:
            held, self._held = self._held, []
            for job in held:
                self._requeue(job)
        actions: list[jobs.Action] = []
        if self.queue.waiting:
            if now_ms >= self._expiry_check_at_ms:
                self._expiry_check_at_ms = now_ms + EXPIRY_CHECK_MS
                for job in self.queue.drop_expired(now_ms):
                    actions.append(self._expire(job))
            self._start_queued(now_ms, actions)
        if self.calls:
            for call in self.hedging.late(now_ms):
                actions.extend(self._hedge(now_ms, call))
        if now_ms >= self._silence_check_at_ms:
            actions.extend(self._abort_silent(now_ms))
        return actions

    def next_wakeup_ms(self, now_ms: float) -> float | None:
        """Return when ``step`` should run next without an event."""
        wakeup_ms = None
        if self.calls:
            late_at_ms = self.hedging.next_late_at_ms()
            wakeup_ms = _sooner(late_at_ms, self._silence_check_at_ms)
        if self._batch_since_ms is not None:
            window_ms = self.service.batch_window_ms
            wakeup_ms = _sooner(wakeup_ms, self._batch_since_ms + window_ms)
        if self._held or self.queue.waiting:
            wakeup_ms = _sooner(wakeup_ms, now_ms + EXPIRY_CHECK_MS)
        if wakeup_ms is None:
            return None
        return max(wakeup_ms, now_ms + MIN_WAKEUP_MS)

    def _start_queued(self, now_ms: float, actions: list[jobs.Action]) -> None:
        aside: list[jobs.Job] = []
        while self.queue.waiting and len(aside) < MAX_ASIDE:
            survey = self.replicas.survey(now_ms)
            if survey.free <= 0 or self._waits_for_batch(now_ms):
                break
            started = self._start_next(now_ms, survey, aside)
            if started is None:
                break
            actions.extend(started)
        for job in aside:
            self._requeue(job)

    def _start_next(
        self,
        now_ms: float,
        survey: replicas.Survey,
        aside: list[jobs.Job],
    ) -> list[jobs.Action] | None:
        """Start one call; None where nothing more may start now."""
        allowed = self._allowed_rank(now_ms, survey)
        job = self.queue.pop(allowed)
        if job is None:
            return None
        if self._too_late(now_ms, job):
            return [self._expire(job)]
        if not self.suspects.quiet:
            if self.suspects.is_blocked(job.fingerprint):
                self._finish(job)
                status = messages.PieceStatus.SUSPECT
                return [self._refuse(job, status, _ran(job))]
            if not self._may_run(job):
                self._held.append(job)
                return []
        upstream = self._choose(now_ms, survey, job)
        if upstream is None:
            return self._set_aside(job, aside)
        batch = self._fill(job, allowed)
        return [self._start(now_ms, upstream, batch)]

    def _choose(
        self, now_ms: float, survey: replicas.Survey, job: jobs.Job
    ) -> upstreams.Upstream | None:
        upstream = self.replicas.choose(survey.ready, job.tried)
        if upstream is not None:
            return upstream
        may_probe = job.rank > 0 or len(self.floors) == 1
        wait_ms = self.load.wait_ms(job.rank)
        return self.replicas.choose_doubtful(
            now_ms, survey.ready, job.tried, may_probe, wait_ms
        )

    def _set_aside(
        self, job: jobs.Job, aside: list[jobs.Job]
    ) -> list[jobs.Action]:
        """Keep a job that no free replica may take now."""
        if self.replicas.has_untried(job.tried):
            aside.append(job)
            return []
        self._finish(job)
        return [self._refuse(job, messages.PieceStatus.UNAVAILABLE, _ran(job))]

    def _waits_for_batch(self, now_ms: float) -> bool:
        window_ms = self.service.batch_window_ms
        if self.service.batch_size <= 1 or window_ms <= 0.0:
            return False
        if self.queue.waiting >= self.service.batch_size:
            self._batch_since_ms = None
            return False
        if self._batch_since_ms is None:
            self._batch_since_ms = now_ms
        if now_ms - self._batch_since_ms < window_ms:
            return True
        self._batch_since_ms = None
        return False

    def _fill(self, first: jobs.Job, allowed: int) -> list[jobs.Job]:
        """Add queued jobs to a first one, up to the batch size."""
        batch = [first]
        if not self._batches(first):
            return batch
        aside = []
        while len(batch) < self.service.batch_size:
            job = self.queue.pop(allowed)
            if job is None:
                break
            fits = self._batches(job) and not job.tried
            if fits and self._may_run(job):
                batch.append(job)
            else:
                aside.append(job)
        for job in aside:
            self.queue.push(job)
        return batch

    @staticmethod
    def _batches(job: jobs.Job) -> bool:
        return job.idempotent and not job.alone and not job.canary

    def _allowed_rank(self, now_ms: float, survey: replicas.Survey) -> int:
        """Return the least urgent rank that may take one of the slots.

        While less urgent work floods in, a share of the slots stays free
        for more urgent ranks that have had work lately, since a running
        call cannot be preempted.
        """
        last = len(self._arrived_at_ms) - 1
        less_urgent = self.queue.waiting - self.queue.counts[0]
        if less_urgent <= RESERVE_FROM_ROUNDS * survey.limit:
            return last
        reserve = math.ceil(survey.limit * RESERVE_SHARE)
        if survey.free > reserve or survey.limit <= 2 * reserve:
            return last
        for rank in range(last):
            if now_ms - self._arrived_at_ms[rank] < URGENT_RECENT_MS:
                return rank
        return last

    def _too_late(self, now_ms: float, job: jobs.Job) -> bool:
        """Tell whether a job can no longer be answered in time."""
        needed_ms = self.load.service_time.value_ms * 0.5
        return now_ms + needed_ms >= job.deadline_at_ms

    def _may_run(self, job: jobs.Job) -> bool:
        if not job.canary and not self.suspects.suspected(job.fingerprint):
            return True
        return self.suspects.may_start(job.fingerprint)

    def _start(
        self,
        now_ms: float,
        upstream: upstreams.Upstream,
        batch: list[jobs.Job],
        hedge: bool = False,
    ) -> jobs.StartCall:
        call_id = next(self._call_ids)
        call = calls.Call(
            call_id, upstream, batch, now_ms, upstream.successes, hedge
        )
        self.calls[call.id] = call
        upstream.on_start()
        self.load.on_call(len(self.calls))
        for job in batch:
            job.calls.add(call.id)
            job.tried.append(upstream.id)
            job.call_count += 1
            if job.started_at_ms is None:
                job.started_at_ms = now_ms
                self.hedging.budget.on_primary()
                self.retries.on_primary()
                self.load.on_first_start(self._place(job))
        if batch[0].canary or not self.suspects.quiet:
            self._track_trials(now_ms, batch)
        self.counts["calls"] += 1
        self.counts["pieces_sent"] += len(batch)
        if hedge:
            self.counts["hedges"] += 1
        elif all(job.idempotent for job in batch):
            self.hedging.track(call)
        return jobs.StartCall(call.id, upstream.id, tuple(batch))

    def _track_trials(self, now_ms: float, batch: list[jobs.Job]) -> None:
        for job in batch:
            suspected = self.suspects.suspected(job.fingerprint)
            if job.canary or suspected:
                job.trials += 1
                self.suspects.on_start(job.fingerprint, now_ms)

    def _end_trials(
        self, now_ms: float, call: calls.Call, crashed: bool
    ) -> None:
        """Count a call's trials of suspect requests as over."""
        for job in call.jobs:
            if job.trials:
                job.trials -= 1
                self.suspects.on_end(job.fingerprint)
            if crashed and not job.done:
                self.suspects.on_crash(job.fingerprint, job.shard, now_ms)

    # Hedging ----------------------------------------------------------

    def _hedge(self, now_ms: float, call: calls.Call) -> list[jobs.Action]:
        """Send a late call's open jobs to a second replica, if allowed."""
        open_jobs = call.open_jobs()
        first = open_jobs[0]
        if first.canary or self.suspects.suspected(first.fingerprint):
            return []
        room = self.hedging.room(self.load.busy_share)
        drawn = 0.0 if first.rank == 0 else self.replicas.random.random()
        if drawn >= room:
            self.counts["hedges_no_room"] += 1
            return []
        ready = self.replicas.survey(now_ms).ready
        upstream = self.replicas.choose(ready, first.tried)
        if upstream is None:
            self.counts["hedges_no_replica"] += 1
            return []
        reserve = 0.0 if first.rank == 0 else hedging.URGENT_RESERVE
        if not self.hedging.budget.try_acquire(reserve):
            self.counts["hedges_no_budget"] += 1
            return []
        return [self._start(now_ms, upstream, open_jobs, hedge=True)]

    # Silent connections -----------------------------------------------

    def _abort_silent(self, now_ms: float) -> list[jobs.Action]:
        """Give up calls whose connection has probably gone silent."""
        self._silence_check_at_ms = now_ms + SILENCE_CHECK_MS
        self.load.slots = self.replicas.stated_slots()
        late_ms = self.hedging.delay_ms
        if late_ms is None:
            return []
        actions: list[jobs.Action] = []
        for call in stalled_calls.overdue(
            self.calls.values(), late_ms, now_ms
        ):
            call.aborted = True
            self.counts["aborted"] += 1
            actions.append(jobs.AbortCall(call.id, call.upstream.id))
        return actions

    # Results ----------------------------------------------------------

    def _on_done(
        self, now_ms: float, call: calls.Call, result: jobs.CallDone
    ) -> list[jobs.Action]:
        elapsed_ms = now_ms - call.started_at_ms
        if result.draining:
            call.upstream.leaving = True
        if not call.cancelled:
            call.upstream.on_success(elapsed_ms)
            self.load.service_time.record(elapsed_ms)
            self.hedging.record(elapsed_ms)
        if len(call.jobs) == 1 and len(result.items) == 1:
            only, job = result.items[0], call.jobs[0]
            if only.piece == job.piece_key:
                return self._on_item(now_ms, call, job, only)
        actions: list[jobs.Action] = []
        by_piece = {item.piece: item for item in result.items}
        for job in call.jobs:
            item = by_piece.get(job.piece_key)
            if item is None:
                item = jobs.ItemFailed(job.piece_key)
            actions += self._on_item(now_ms, call, job, item)
        return actions

    def _on_item(
        self,
        now_ms: float,
        call: calls.Call,
        job: jobs.Job,
        item: jobs.Item,
    ) -> list[jobs.Action]:
        if job.done:
            return []
        match item:
            case jobs.ItemOk(snapshot=snapshot, shard=shard):
                if snapshot != job.snapshot or shard != job.shard:
                    job.may_have_run = True
                    return self._wrong_snapshot(job)
                return self._answer(now_ms, call, job, item)
            case jobs.ItemShed(retry_after_ms=retry_after_ms):
                call.upstream.on_shed(now_ms, retry_after_ms)
                return self._retry(job, ran=False)
            case jobs.ItemWrongSnapshot():
                return self._wrong_snapshot(job)
            case jobs.ItemCancelled():
                return self._retry(job, ran=False)
            case jobs.ItemFailed():
                return self._retry(job, ran=True)

    def _answer(
        self, now_ms: float, call: calls.Call, job: jobs.Job, item: jobs.ItemOk
    ) -> list[jobs.Action]:
        self._finish(job)
        if not self.suspects.quiet:
            self.suspects.on_success(job.fingerprint, job.shard)
        if call.hedge:
            self.counts["hedges_won"] += 1
        started_ms = job.started_at_ms or now_ms
        reply = jobs.Reply(
            job,
            messages.PieceStatus.OK,
            answers.RunStatus.RAN,
            item.rows,
            started_ms - job.queued_at_ms,
            now_ms - started_ms,
        )
        if not job.calls:
            return [reply]
        return [reply, *self._cancel_calls(job)]

    def _finish(self, job: jobs.Job) -> None:
        job.done = True
        self._forget(job)

    def _forget(self, job: jobs.Job) -> None:
        found = self.jobs.pop((job.client, job.piece), None)
        if found is not None and job.canary:
            self.load.canaries[self._place(job)] -= 1

    def _place(self, job: jobs.Job) -> int:
        return min(job.rank, len(self.floors) - 1)

    def _cancel_calls(self, job: jobs.Job) -> list[jobs.Action]:
        actions: list[jobs.Action] = []
        for call_id in job.calls:
            call = self.calls.get(call_id)
            if call is None or call.cancelled:
                continue
            if any(not other.done for other in call.jobs):
                continue
            call.cancelled = True
            actions.append(jobs.CancelCall(call_id, call.upstream.id))
        return actions

    def _wrong_snapshot(self, job: jobs.Job) -> list[jobs.Action]:
        """Try another replica; with none left, the snapshot is gone."""
        self.counts["wrong_snapshot"] += 1
        if job.calls:
            return []
        safe = job.idempotent or not job.may_have_run
        if safe and self.replicas.has_untried(job.tried):
            self._requeue(job)
            return []
        self._finish(job)
        status = messages.PieceStatus.WRONG_SNAPSHOT
        return [self._refuse(job, status, _ran(job))]

    def on_crash_report(
        self, fingerprint: ids.Fingerprint
    ) -> list[jobs.Action]:
        """Stop calls of a request that has just crashed an upstream.

        What is stopped before it ran is tried again, as a suspect.
        """
        actions: list[jobs.Action] = []
        for call in self.calls.values():
            if call.cancelled:
                continue
            if any(job.fingerprint == fingerprint for job in call.jobs):
                call.cancelled = True
                cancel = jobs.CancelCall(call.id, call.upstream.id)
                actions.append(cancel)
        return actions

    def _on_crash(self, now_ms: float, call: calls.Call) -> list[jobs.Action]:
        self.counts["crashes"] += 1
        call.upstream.on_failure(now_ms, fatal=True)
        several = len(call.jobs) > 1
        for job in call.jobs:
            job.alone = job.alone or several
        return self._retry_all(call, ran=True)

    def _note_late(self, now_ms: float, call: calls.Call) -> None:
        if stalled_calls.overtaken(call):
            return
        call.upstream.on_failure(now_ms)
        if not call.cancelled:
            call.upstream.on_late(now_ms - call.started_at_ms)

    def _retry_all(self, call: calls.Call, ran: bool) -> list[jobs.Action]:
        actions: list[jobs.Action] = []
        for job in call.jobs:
            if not job.done:
                actions += self._retry(job, ran)
        return actions

    def _retry(self, job: jobs.Job, ran: bool) -> list[jobs.Action]:
        """Try another replica where that is safe and budgeted."""
        job.may_have_run = job.may_have_run or ran
        if job.calls:
            return []
        condemned = self.suspects.is_blocked(job.fingerprint)
        if not condemned and self._may_retry(job):
            self.counts["retries"] += 1
            self._requeue(job)
            return []
        self._finish(job)
        status = messages.PieceStatus.SHED
        if job.may_have_run:
            status = messages.PieceStatus.FAILED
        if condemned:
            status = messages.PieceStatus.SUSPECT
        return [self._refuse(job, status, _ran(job))]

    def _may_retry(self, job: jobs.Job) -> bool:
        safe = job.idempotent or not job.may_have_run
        tries_left = len(job.tried) < min(MAX_TRIES, len(self.replicas))
        return safe and tries_left and self.retries.try_acquire()

    def _requeue(self, job: jobs.Job) -> None:
        if not job.done:
            self.queue.push(job)

    def _expire(self, job: jobs.Job) -> jobs.Reply:
        self.counts["expired"] += 1
        self._finish(job)
        return self._refuse(job, messages.PieceStatus.EXPIRED, _ran(job))

    def _refuse(
        self,
        job: jobs.Job,
        status: messages.PieceStatus,
        ran: answers.RunStatus = answers.RunStatus.NOT_RUN,
    ) -> jobs.Reply:
        self.counts[status.name.lower()] += 1
        retry_after_ms = self.load.wait_ms(job.rank)
        return jobs.Reply(job, status, ran, retry_after_ms=retry_after_ms)


def _sooner(first_ms: float | None, second_ms: float) -> float:
    if first_ms is None or second_ms < first_ms:
        return second_ms
    return first_ms


def _ran(job: jobs.Job) -> answers.RunStatus:
    """Return what a refusal of a job may claim."""
    if job.may_have_run:
        return answers.RunStatus.UNKNOWN
    return answers.RunStatus.NOT_RUN
