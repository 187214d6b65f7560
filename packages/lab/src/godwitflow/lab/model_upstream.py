"""A model of an upstream that runs on the virtual clock."""

import collections
import dataclasses
import random
import typing

from godwitflow.lab import virtual_clock
from godwitflow.policy import jobs

CONNECT_TIMEOUT_MS = 1_000.0
QUEUED_CALLS_PER_SLOT = 20
SERVICE_TIME_SIGMA = 0.35
COLD_SLOWDOWN = 6.0
COLD_CALLS = 20
RESTART_MS = 3_000.0

ResultCallback = typing.Callable[[jobs.CallResult], None]


@dataclasses.dataclass(eq=False)
class UpstreamCall:
    """A call as the upstream sees it, with callbacks to its sender.

    ``on_lost`` is called instead of ``on_result`` if the upstream has
    become unreachable.
    """

    items: tuple[jobs.Job, ...]
    on_result: ResultCallback
    on_lost: typing.Callable[[], None] = lambda: None
    started_at_ms: float = 0.0
    running: bool = False
    finished: bool = False
    crashing: bool = False


class ModelUpstream:
    """Runs calls in slots with a bounded queue, and injects faults.

    ``slot_ms`` is the total time that slots were in use,
    ``slot_ms_by_query`` the part of it spent on finished calls, by
    query. ``slowdown`` multiplies service times.
    """

    def __init__(
        self,
        clock: virtual_clock.Clock,
        name: str,
        slots: int,
        service_ms: float,
        rng: random.Random,
    ) -> None:
        self.clock = clock
        self.name = name
        self.slots = slots
        self.service_ms = service_ms
        self.random = rng
        self.slowdown = 1.0
        self.unreachable = False
        self.down_until_ms = 0.0
        self.cold_calls = 0
        self.snapshots: set[int] = {1}
        self.shard_costs: dict[str, float] = {}
        self.crashes = 0
        self.calls = 0
        self.slot_ms = 0.0
        self.busy = 0
        self.slot_ms_by_query: dict[str, float] = collections.defaultdict(
            float
        )
        self._running: dict[UpstreamCall, None] = {}  # in order of start
        self._queue: collections.deque[UpstreamCall] = collections.deque()

    @property
    def down(self) -> bool:
        """Whether the upstream is restarting and refuses connections."""
        return self.clock.now_ms < self.down_until_ms

    def submit(self, call: UpstreamCall) -> None:
        """Run, queue or shed a call that has arrived."""
        if self.unreachable:
            call.on_lost()
            return
        if self.down:
            call.finished = True
            call.on_result(jobs.CallNotSent())
            return
        self.calls += 1
        if self.busy < self.slots:
            self._start(call)
        elif len(self._queue) < QUEUED_CALLS_PER_SLOT * self.slots:
            self._queue.append(call)
        else:
            call.finished = True
            shed = tuple(jobs.ItemShed(item.piece_key) for item in call.items)
            call.on_result(jobs.CallDone(shed))

    def cancel(self, call: UpstreamCall) -> None:
        """Cancel a queued or running call."""
        if call.finished or self.unreachable or self.down:
            return
        call.finished = True
        if call.running:
            self._free_slot(call)
        dropped = tuple(
            jobs.ItemCancelled(item.piece_key) for item in call.items
        )
        call.on_result(jobs.CallDone(dropped))
        self._start_queued()

    def _start(self, call: UpstreamCall) -> None:
        self.busy += 1
        call.running = True
        call.started_at_ms = self.clock.now_ms
        self._running[call] = None
        duration_ms = self.service_ms * self.random.lognormvariate(
            -SERVICE_TIME_SIGMA * SERVICE_TIME_SIGMA / 2, SERVICE_TIME_SIGMA
        )
        costs = [self.shard_costs.get(job.shard, 1.0) for job in call.items]
        duration_ms *= max(costs, default=1.0)
        if self.cold_calls > 0:
            self.cold_calls -= 1
            duration_ms *= COLD_SLOWDOWN
        self.clock.after(duration_ms * self.slowdown, self._finish, call)

    def _free_slot(self, call: UpstreamCall) -> None:
        self.busy -= 1
        self._running.pop(call, None)
        self.slot_ms += self.clock.now_ms - call.started_at_ms

    def _finish(self, call: UpstreamCall) -> None:
        if call.finished or self.unreachable:
            return
        if call.crashing:
            self.crash()
            return
        call.finished = True
        self._free_slot(call)
        duration_ms = self.clock.now_ms - call.started_at_ms
        for job in call.items:
            self.slot_ms_by_query[job.query_id] += duration_ms / len(
                call.items
            )
        call.on_result(jobs.CallDone(tuple(map(self._item, call.items))))
        self._start_queued()

    def _item(self, job: jobs.Job) -> jobs.Item:
        if job.snapshot not in self.snapshots:
            return jobs.ItemWrongSnapshot(job.piece_key)
        rows = b'["%s@%d"]' % (job.shard.encode(), job.snapshot)
        return jobs.ItemOk(job.piece_key, job.shard, job.snapshot, rows)

    def _start_queued(self) -> None:
        while self._queue and self.busy < self.slots:
            call = self._queue.popleft()
            if not call.finished:
                self._start(call)

    def crash(self) -> None:
        """Fail all calls and restart.

        The upstream is down for ``RESTART_MS``, then cold: its first
        ``COLD_CALLS`` calls take ``COLD_SLOWDOWN`` times as long.
        """
        self.crashes += 1
        interrupted = list(self._running) + list(self._queue)
        for call in list(self._running):
            self._free_slot(call)
        self._queue.clear()
        self.down_until_ms = self.clock.now_ms + RESTART_MS
        self.cold_calls = COLD_CALLS
        for call in interrupted:
            if not call.finished:
                call.finished = True
                call.on_result(jobs.CallCrashed())

    def become_unreachable(self) -> None:
        """Stop responding without closing connections, like a lost VM."""
        interrupted = list(self._running) + list(self._queue)
        for call in list(self._running):
            self._free_slot(call)
        self._queue.clear()
        self.unreachable = True
        for call in interrupted:
            if not call.finished:
                call.on_lost()
