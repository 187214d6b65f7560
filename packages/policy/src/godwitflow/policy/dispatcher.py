"""Decides which queued piece goes to which replica, and when.

One dispatcher owns a replica set and makes all calls to the set's
upstreams, so a single queue serves all their slots. It performs no I/O:
each event returns the actions to carry out.
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

RETRY_BURST_TOKENS = 20.0
RETRY_INITIAL_TOKENS = 2.0
MAX_QUEUE_LENGTH = 20_000
MAX_DEFERRED = 8  # jobs that one step may skip for lack of a replica
URGENT_WINDOW_MS = 1_000.0  # how long an arrival counts as recent
RESERVE_SHARE = 0.2  # of the slots
RESERVE_MIN_ROUNDS = 2  # less urgent pieces queued per slot
MAX_ATTEMPTS = 3
EXPIRY_CHECK_INTERVAL_MS = 10.0
MIN_WAKEUP_DELAY_MS = 0.5
STALL_CHECK_INTERVAL_MS = 50.0


class ReplicaSetDispatcher:
    """Queues and dispatches jobs for one replica set of one service."""

    def __init__(
        self,
        set_id: ids.ReplicaSetId,
        service: config.Service,
        members: tuple[ids.UpstreamId, ...],
        suspects: crash_suspects.CrashSuspects,
        seed: int = 0,
        cold: bool = False,
    ) -> None:
        self.id = set_id
        self.service = service
        self.floor_shares = service.floor_shares
        self.suspects = suspects
        self.queue: scheduler.Scheduler[jobs.Job] = scheduler.Scheduler(
            self.floor_shares
        )
        self.replicas = replicas.Replicas(members, service.slots, seed, cold)
        self.load = load.LoadEstimator(service, self.queue, self.replicas)
        self.hedging = hedging.Hedging(service.hedge)
        self.retry_budget = budget.ShareBudget(
            service.retry_budget_share,
            RETRY_BURST_TOKENS,
            RETRY_INITIAL_TOKENS,
        )
        self.calls: dict[int, calls.Call] = {}
        self.jobs: dict[tuple[str, ids.PieceId], jobs.Job] = {}
        self.counts: collections.Counter[str] = collections.Counter()
        # Jobs that may not start while a trial of their request runs.
        self._held_jobs: list[jobs.Job] = []
        self._call_ids = itertools.count(1)
        self._last_arrival_ms = [-URGENT_WINDOW_MS] * len(self.floor_shares)
        self._batch_window_start_ms: float | None = None
        self._next_stall_check_ms = 0.0
        self._next_expiry_check_ms = 0.0

    def update_settings(self, service: config.Service) -> None:
        """Apply the settings of a newer configuration."""
        self.service = service
        self.load.service = service
        self.hedging.update_settings(service.hedge)
        self.retry_budget.share = service.retry_budget_share
        self.replicas.set_slots(service.slots)
        if service.floor_shares == self.floor_shares:
            return
        waiting = self.queue.drain()
        self.floor_shares = service.floor_shares
        self.queue = scheduler.Scheduler(self.floor_shares)
        self.load = load.LoadEstimator(service, self.queue, self.replicas)
        self._last_arrival_ms = [-URGENT_WINDOW_MS] * len(self.floor_shares)
        for job in self.jobs.values():
            self.load.canaries[self._rank_index(job)] += job.canary
        for job in waiting:
            self.queue.push(job)

    # Events -----------------------------------------------------------

    def submit(self, now_ms: float, job: jobs.Job) -> list[jobs.Action]:
        """Queue a job and start the calls that can start.

        A job is refused if its request is blocked or the queue is full.
        A duplicate is ignored.
        """
        self.counts["offered"] += 1
        key = (job.front_node, job.piece_id)
        if key in self.jobs:
            self.counts["duplicate"] += 1
            return []
        if self.suspects.is_blocked(job.fingerprint):
            return [self._refuse(job, messages.PieceStatus.SUSPECT)]
        if self.queue.waiting >= MAX_QUEUE_LENGTH:
            return [self._refuse(job, messages.PieceStatus.SHED)]
        self.jobs[key] = job
        if job.canary:
            self.load.canaries[self._rank_index(job)] += 1
        self._last_arrival_ms[self._rank_index(job)] = now_ms
        job.queued_at_ms = now_ms
        self.queue.push(job)
        return self.step(now_ms)

    def cancel(
        self, now_ms: float, front_node: str, piece_id: ids.PieceId
    ) -> list[jobs.Action]:
        """Cancel a job at the request of its front."""
        job = self.jobs.get((front_node, piece_id))
        if job is None:
            return []
        self._remove(job)
        self.counts["cancelled"] += 1
        if not job.running_calls:
            self.queue.discard(job)
            return []
        job.done = True
        return self._cancel_calls(job)

    def on_result(
        self, now_ms: float, call_id: int, result: jobs.CallResult
    ) -> list[jobs.Action]:
        """Handle the result of a call, then start the next calls."""
        call = self.calls.pop(call_id, None)
        if call is None:
            return []
        call.ended = True
        call.upstream.on_end()
        for job in call.jobs:
            job.running_calls.discard(call_id)
        crashed = isinstance(result, jobs.CallCrashed)
        if crashed or not self.suspects.is_empty:
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
                self._record_failure(now_ms, call)
                actions += self._retry_all(call, ran=True)
        return actions + self.step(now_ms)

    # Starting work ----------------------------------------------------

    def step(self, now_ms: float) -> list[jobs.Action]:
        """Run what is due.

        Drops expired jobs, starts calls for queued jobs, hedges late
        calls and aborts stalled ones.
        """
        if self._held_jobs:
            held, self._held_jobs = self._held_jobs, []
            for job in held:
                self._requeue(job)
        actions: list[jobs.Action] = []
        if self.queue.waiting:
            if now_ms >= self._next_expiry_check_ms:
                self._next_expiry_check_ms = now_ms + EXPIRY_CHECK_INTERVAL_MS
                for job in self.queue.drop_expired(now_ms):
                    actions.append(self._expire(job))
            self._start_queued(now_ms, actions)
        if self.calls:
            for call in self.hedging.take_late(now_ms):
                actions.extend(self._hedge(now_ms, call))
        if now_ms >= self._next_stall_check_ms:
            actions.extend(self._abort_stalled(now_ms))
        return actions

    def next_wakeup_ms(self, now_ms: float) -> float | None:
        """Return when ``step`` must run next if no event comes before."""
        wakeup_ms = None
        if self.calls:
            late_at_ms = self.hedging.next_late_at_ms()
            wakeup_ms = _earliest(late_at_ms, self._next_stall_check_ms)
        if self._batch_window_start_ms is not None:
            window_ms = self.service.batch_window_ms
            wakeup_ms = _earliest(
                wakeup_ms, self._batch_window_start_ms + window_ms
            )
        if self._held_jobs or self.queue.waiting:
            wakeup_ms = _earliest(wakeup_ms, now_ms + EXPIRY_CHECK_INTERVAL_MS)
        if wakeup_ms is None:
            return None
        return max(wakeup_ms, now_ms + MIN_WAKEUP_DELAY_MS)

    def _start_queued(self, now_ms: float, actions: list[jobs.Action]) -> None:
        deferred: list[jobs.Job] = []
        while self.queue.waiting and len(deferred) < MAX_DEFERRED:
            available = self.replicas.availability(now_ms)
            if available.free <= 0 or self._waits_for_batch(now_ms):
                break
            started = self._start_next(now_ms, available, deferred)
            if started is None:
                break
            actions.extend(started)
        for job in deferred:
            self._requeue(job)

    def _start_next(
        self,
        now_ms: float,
        available: replicas.Availability,
        deferred: list[jobs.Job],
    ) -> list[jobs.Action] | None:
        """Try the next job; None if no job may start now."""
        max_rank = self._max_startable_rank(now_ms, available)
        job = self.queue.pop(max_rank)
        if job is None:
            return None
        if self._will_miss_deadline(now_ms, job):
            return [self._expire(job)]
        if not self.suspects.is_empty:
            if self.suspects.is_blocked(job.fingerprint):
                self._mark_done(job)
                status = messages.PieceStatus.SUSPECT
                return [self._refuse(job, status, _run_status(job))]
            if not self._may_start(job):
                self._held_jobs.append(job)
                return []
        upstream = self._choose_upstream(now_ms, available, job)
        if upstream is None:
            return self._defer(job, deferred)
        batch = self._fill_batch(job, max_rank)
        return [self._start_call(now_ms, upstream, batch)]

    def _choose_upstream(
        self, now_ms: float, available: replicas.Availability, job: jobs.Job
    ) -> upstreams.Upstream | None:
        upstream = self.replicas.choose(available.ready, job.tried_upstreams)
        if upstream is not None:
            return upstream
        may_probe = job.rank > 0 or len(self.floor_shares) == 1
        wait_ms = self.load.wait_ms(job.rank)
        return self.replicas.choose_degraded(
            now_ms, available.ready, job.tried_upstreams, may_probe, wait_ms
        )

    def _defer(
        self, job: jobs.Job, deferred: list[jobs.Job]
    ) -> list[jobs.Action]:
        """Defer a job that no available replica may run now."""
        if self.replicas.has_untried(job.tried_upstreams):
            deferred.append(job)
            return []
        self._mark_done(job)
        return [
            self._refuse(
                job, messages.PieceStatus.UNAVAILABLE, _run_status(job)
            )
        ]

    def _waits_for_batch(self, now_ms: float) -> bool:
        window_ms = self.service.batch_window_ms
        if self.service.batch_size <= 1 or window_ms <= 0.0:
            return False
        if self.queue.waiting >= self.service.batch_size:
            self._batch_window_start_ms = None
            return False
        if self._batch_window_start_ms is None:
            self._batch_window_start_ms = now_ms
        if now_ms - self._batch_window_start_ms < window_ms:
            return True
        self._batch_window_start_ms = None
        return False

    def _fill_batch(self, first: jobs.Job, max_rank: int) -> list[jobs.Job]:
        """Return the first job with queued jobs, up to the batch size."""
        batch = [first]
        if not self._can_batch(first):
            return batch
        deferred = []
        while len(batch) < self.service.batch_size:
            job = self.queue.pop(max_rank)
            if job is None:
                break
            fits = self._can_batch(job) and not job.tried_upstreams
            if fits and self._may_start(job):
                batch.append(job)
            else:
                deferred.append(job)
        for job in deferred:
            self.queue.push(job)
        return batch

    @staticmethod
    def _can_batch(job: jobs.Job) -> bool:
        return job.idempotent and not job.never_batch and not job.canary

    def _max_startable_rank(
        self, now_ms: float, available: replicas.Availability
    ) -> int:
        """Return the least urgent rank that may start a call now.

        While the queue of less urgent work is long, a share of the slots
        is reserved for more urgent ranks that have had work recently,
        because a running call cannot be preempted.
        """
        last = len(self._last_arrival_ms) - 1
        less_urgent = self.queue.waiting - self.queue.counts[0]
        if less_urgent <= RESERVE_MIN_ROUNDS * available.limit:
            return last
        reserve = math.ceil(available.limit * RESERVE_SHARE)
        if available.free > reserve or available.limit <= 2 * reserve:
            return last
        for rank in range(last):
            if now_ms - self._last_arrival_ms[rank] < URGENT_WINDOW_MS:
                return rank
        return last

    def _will_miss_deadline(self, now_ms: float, job: jobs.Job) -> bool:
        """Return whether a job will probably miss its deadline.

        Half of the average service time must be left.
        """
        needed_ms = self.load.service_time.value_ms * 0.5
        return now_ms + needed_ms >= job.deadline_at_ms

    def _may_start(self, job: jobs.Job) -> bool:
        if not job.canary and not self.suspects.is_suspected(job.fingerprint):
            return True
        return self.suspects.may_start_trial(job.fingerprint)

    def _start_call(
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
        self.load.on_call_start(len(self.calls))
        for job in batch:
            job.running_calls.add(call.id)
            job.tried_upstreams.append(upstream.id)
            job.call_count += 1
            if job.started_at_ms is None:
                job.started_at_ms = now_ms
                self.hedging.budget.on_primary()
                self.retry_budget.on_primary()
                self.load.on_first_start(self._rank_index(job))
        if batch[0].canary or not self.suspects.is_empty:
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
            suspected = self.suspects.is_suspected(job.fingerprint)
            if job.canary or suspected:
                job.running_trials += 1
                self.suspects.on_trial_start(job.fingerprint, now_ms)

    def _end_trials(
        self, now_ms: float, call: calls.Call, crashed: bool
    ) -> None:
        """Record the end of a call's trials of suspect requests."""
        for job in call.jobs:
            if job.running_trials:
                job.running_trials -= 1
                self.suspects.on_trial_end(job.fingerprint)
            if crashed and not job.done:
                self.suspects.on_crash(job.fingerprint, job.shard, now_ms)

    # Hedging ----------------------------------------------------------

    def _hedge(self, now_ms: float, call: calls.Call) -> list[jobs.Action]:
        """Send the unfinished jobs of a late call to a second replica.

        The factor of the hedging budget is the probability that load
        allows the hedge. The most urgent rank is denied only at zero.
        """
        unfinished = call.unfinished_jobs()
        first = unfinished[0]
        if first.canary or self.suspects.is_suspected(first.fingerprint):
            return []
        budget_factor = self.hedging.budget_factor(self.load.busy_share)
        draw = 0.0 if first.rank == 0 else self.replicas.random.random()
        if draw >= budget_factor:
            self.counts["hedges_no_room"] += 1
            return []
        ready = self.replicas.availability(now_ms).ready
        upstream = self.replicas.choose(ready, first.tried_upstreams)
        if upstream is None:
            self.counts["hedges_no_replica"] += 1
            return []
        reserve = 0.0 if first.rank == 0 else hedging.URGENT_RESERVE_TOKENS
        if not self.hedging.budget.try_acquire(reserve):
            self.counts["hedges_no_budget"] += 1
            return []
        return [self._start_call(now_ms, upstream, unfinished, hedge=True)]

    # Stalled calls ----------------------------------------------------

    def _abort_stalled(self, now_ms: float) -> list[jobs.Action]:
        """Abort calls whose connection has probably stopped responding."""
        self._next_stall_check_ms = now_ms + STALL_CHECK_INTERVAL_MS
        self.load.slots = self.replicas.configured_slots()
        late_ms = self.hedging.delay_ms
        if late_ms is None:
            return []
        actions: list[jobs.Action] = []
        for call in stalled_calls.find_stalled(
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
            single_item, job = result.items[0], call.jobs[0]
            if single_item.piece_key == job.piece_key:
                return self._on_item(now_ms, call, job, single_item)
        actions: list[jobs.Action] = []
        by_key = {item.piece_key: item for item in result.items}
        for job in call.jobs:
            item = by_key.get(job.piece_key)
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
                return self._reply_with_rows(now_ms, call, job, item)
            case jobs.ItemShed(retry_after_ms=retry_after_ms):
                call.upstream.on_shed(now_ms, retry_after_ms)
                return self._retry(job, ran=False)
            case jobs.ItemWrongSnapshot():
                return self._wrong_snapshot(job)
            case jobs.ItemCancelled():
                return self._retry(job, ran=False)
            case jobs.ItemFailed():
                return self._retry(job, ran=True)

    def _reply_with_rows(
        self, now_ms: float, call: calls.Call, job: jobs.Job, item: jobs.ItemOk
    ) -> list[jobs.Action]:
        self._mark_done(job)
        if not self.suspects.is_empty:
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
        if not job.running_calls:
            return [reply]
        return [reply, *self._cancel_calls(job)]

    def _mark_done(self, job: jobs.Job) -> None:
        job.done = True
        self._remove(job)

    def _remove(self, job: jobs.Job) -> None:
        removed = self.jobs.pop((job.front_node, job.piece_id), None)
        if removed is not None and job.canary:
            self.load.canaries[self._rank_index(job)] -= 1

    def _rank_index(self, job: jobs.Job) -> int:
        return min(job.rank, len(self.floor_shares) - 1)

    def _cancel_calls(self, job: jobs.Job) -> list[jobs.Action]:
        actions: list[jobs.Action] = []
        for call_id in job.running_calls:
            call = self.calls.get(call_id)
            if call is None or call.cancelled:
                continue
            if any(not other.done for other in call.jobs):
                continue
            call.cancelled = True
            actions.append(jobs.CancelCall(call_id, call.upstream.id))
        return actions

    def _wrong_snapshot(self, job: jobs.Job) -> list[jobs.Action]:
        """Try another replica; if none is left, report a wrong snapshot."""
        self.counts["wrong_snapshot"] += 1
        if job.running_calls:
            return []
        safe = job.idempotent or not job.may_have_run
        if safe and self.replicas.has_untried(job.tried_upstreams):
            self._requeue(job)
            return []
        self._mark_done(job)
        status = messages.PieceStatus.WRONG_SNAPSHOT
        return [self._refuse(job, status, _run_status(job))]

    def on_crash_report(
        self, fingerprint: ids.Fingerprint
    ) -> list[jobs.Action]:
        """Cancel the calls of a request that has crashed an upstream.

        Jobs that upstreams cancel before they run are retried as suspects.
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
        batched = len(call.jobs) > 1
        for job in call.jobs:
            job.never_batch = job.never_batch or batched
        return self._retry_all(call, ran=True)

    def _record_failure(self, now_ms: float, call: calls.Call) -> None:
        if stalled_calls.is_overtaken(call):
            return
        call.upstream.on_failure(now_ms)
        if not call.cancelled:
            call.upstream.record_latency(now_ms - call.started_at_ms)

    def _retry_all(self, call: calls.Call, ran: bool) -> list[jobs.Action]:
        actions: list[jobs.Action] = []
        for job in call.jobs:
            if not job.done:
                actions += self._retry(job, ran)
        return actions

    def _retry(self, job: jobs.Job, ran: bool) -> list[jobs.Action]:
        """Retry at another replica if that is safe and within budget."""
        job.may_have_run = job.may_have_run or ran
        if job.running_calls:
            return []
        blocked = self.suspects.is_blocked(job.fingerprint)
        if not blocked and self._may_retry(job):
            self.counts["retries"] += 1
            self._requeue(job)
            return []
        self._mark_done(job)
        status = messages.PieceStatus.SHED
        if job.may_have_run:
            status = messages.PieceStatus.FAILED
        if blocked:
            status = messages.PieceStatus.SUSPECT
        return [self._refuse(job, status, _run_status(job))]

    def _may_retry(self, job: jobs.Job) -> bool:
        safe = job.idempotent or not job.may_have_run
        tries_left = len(job.tried_upstreams) < min(
            MAX_ATTEMPTS, len(self.replicas)
        )
        return safe and tries_left and self.retry_budget.try_acquire()

    def _requeue(self, job: jobs.Job) -> None:
        if not job.done:
            self.queue.push(job)

    def _expire(self, job: jobs.Job) -> jobs.Reply:
        self.counts["expired"] += 1
        self._mark_done(job)
        return self._refuse(
            job, messages.PieceStatus.EXPIRED, _run_status(job)
        )

    def _refuse(
        self,
        job: jobs.Job,
        status: messages.PieceStatus,
        ran: answers.RunStatus = answers.RunStatus.NOT_RUN,
    ) -> jobs.Reply:
        self.counts[status.name.lower()] += 1
        retry_after_ms = self.load.wait_ms(job.rank)
        return jobs.Reply(job, status, ran, retry_after_ms=retry_after_ms)


def _earliest(first_ms: float | None, second_ms: float) -> float:
    if first_ms is None or second_ms < first_ms:
        return second_ms
    return first_ms


def _run_status(job: jobs.Job) -> answers.RunStatus:
    """Return whether a refused job may have run."""
    if job.may_have_run:
        return answers.RunStatus.UNKNOWN
    return answers.RunStatus.NOT_RUN
