"""Connections from one client to upstreams under the virtual clock."""

import typing

from godwitflow.lab import model_upstream
from godwitflow.lab import virtual
from godwitflow.model import ids
from godwitflow.policy import connection_pool
from godwitflow.policy import jobs

PROBE_TIMEOUT_MS = 200.0
WIRE_MS = 0.25

Done = typing.Callable[[jobs.CallResult], None]


class CallInFlight:
    """One call: the work at the upstream and the connection it is on."""

    def __init__(
        self, work: model_upstream.Work, connection: connection_pool.Connection
    ) -> None:
        self.work = work
        self.connection = connection
        self.sent_at_ms = 0.0
        self.over = False


class ModelNetwork:
    """Carries calls on connections that cost time and can go silent."""

    def __init__(
        self,
        clock: virtual.Clock,
        upstreams: dict[ids.UpstreamId, model_upstream.ModelUpstream],
        connect_ms: float,
        cap: int,
        careful: bool,
    ) -> None:
        self.clock = clock
        self.upstreams = upstreams
        self.connect_ms = connect_ms
        self.cap = cap
        self.careful = careful
        self.tables: dict[
            ids.UpstreamId, connection_pool.ConnectionPoolState
        ] = {}
        self.silent: set[tuple[ids.UpstreamId, int]] = set()

    def _table(
        self, upstream: ids.UpstreamId
    ) -> connection_pool.ConnectionPoolState:
        table = self.tables.get(upstream)
        if table is None:
            table = connection_pool.ConnectionPoolState(self.cap)
            self.tables[upstream] = table
        return table

    def call(
        self,
        upstream: ids.UpstreamId,
        batch: tuple[jobs.Job, ...],
        timeout_ms: float,
        crashing: bool,
        done: Done,
    ) -> CallInFlight | None:
        """Start a call; None where the connection cap is reached."""
        table = self._table(upstream)
        opened_before = table.opened_count
        connection = table.acquire(self.clock.now_ms)
        if connection is None:
            self.clock.after(0.0, done, jobs.CallNotSent())
            return None
        work = model_upstream.Work(batch, lambda result: None)
        work.crashing = crashing
        call = CallInFlight(work, connection)
        call.sent_at_ms = self.clock.now_ms

        def finish(result: jobs.CallResult) -> None:
            if call.over:
                return
            call.over = True
            self._after(upstream, call, result)
            done(result)

        def reply(result: jobs.CallResult) -> None:
            if (upstream, connection.id) not in self.silent:
                self.clock.after(WIRE_MS, finish, result)

        def lost() -> None:
            left_ms = call.sent_at_ms + timeout_ms - self.clock.now_ms
            self.clock.after(left_ms, finish, jobs.CallTimedOut())

        work.done = reply
        work.lost = lost
        call.finish = finish  # type: ignore[attr-defined]
        delay_ms = WIRE_MS
        if table.opened_count > opened_before:
            delay_ms += self.connect_ms
        if (upstream, connection.id) not in self.silent:
            target = self.upstreams[upstream]
            self.clock.after(delay_ms, target.submit, work)
        else:
            lost()
        return call

    def abort(self, call: CallInFlight) -> None:
        """Give a call up; its connection is closed."""
        call.finish(jobs.CallTimedOut())  # type: ignore[attr-defined]

    def cancel(self, upstream: ids.UpstreamId, call: CallInFlight) -> None:
        """Tell the upstream that a call is no longer wanted."""
        if (upstream, call.connection.id) in self.silent:
            return
        target = self.upstreams[upstream]
        self.clock.after(WIRE_MS, target.cancel, call.work)

    def _after(
        self,
        upstream: ids.UpstreamId,
        call: CallInFlight,
        result: jobs.CallResult,
    ) -> None:
        table = self._table(upstream)
        now_ms = self.clock.now_ms
        match result:
            case jobs.CallDone():
                table.release(now_ms, call.connection)
            case jobs.CallTimedOut():
                doubtful = table.on_unresponsive(
                    call.connection, call.sent_at_ms
                )
                target = self.upstreams[upstream]
                target.cancel(call.work)
                for sibling in doubtful:
                    self._probe(upstream, table, sibling)
            case _:
                table.close(call.connection)

    def _probe(
        self,
        upstream: ids.UpstreamId,
        table: connection_pool.ConnectionPoolState,
        sibling: connection_pool.Connection,
    ) -> None:
        dead = (upstream, sibling.id) in self.silent
        if not self.careful or not dead:
            delay_ms = 2 * WIRE_MS if self.careful else 0.0
            self.clock.after(
                delay_ms, table.release, self.clock.now_ms, sibling
            )
        else:
            self.clock.after(PROBE_TIMEOUT_MS, table.close, sibling)

    def silence(self, share: float, source: typing.Any) -> None:
        """Let a share of the open connections go silent for good."""
        for upstream, table in self.tables.items():
            for connection in list(table.open.values()):
                if source.random() < share:
                    self.silent.add((upstream, connection.id))
