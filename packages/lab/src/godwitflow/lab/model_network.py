"""Connections from one client to upstreams, on the virtual clock."""

import typing

from godwitflow.lab import model_upstream
from godwitflow.lab import virtual_clock
from godwitflow.model import ids
from godwitflow.policy import connection_pool
from godwitflow.policy import jobs

PROBE_TIMEOUT_MS = 200.0
ONE_WAY_MS = 0.25

ResultCallback = typing.Callable[[jobs.CallResult], None]


class CallInFlight:
    """A call at an upstream and the connection that carries it."""

    def __init__(
        self,
        upstream_call: model_upstream.UpstreamCall,
        connection: connection_pool.Connection,
    ) -> None:
        self.upstream_call = upstream_call
        self.connection = connection
        self.sent_at_ms = 0.0
        self.finished = False


class ModelNetwork:
    """Carries calls on pooled connections.

    Opening a connection takes ``connect_ms``, and a connection can become
    silent: it stays open and carries nothing. After a timeout the client
    probes idle connections to the same upstream if ``probe_siblings``.
    """

    def __init__(
        self,
        clock: virtual_clock.Clock,
        upstreams: dict[ids.UpstreamId, model_upstream.ModelUpstream],
        connect_ms: float,
        cap: int,
        probe_siblings: bool,
    ) -> None:
        self.clock = clock
        self.upstreams = upstreams
        self.connect_ms = connect_ms
        self.cap = cap
        self.probe_siblings = probe_siblings
        self.pools: dict[
            ids.UpstreamId, connection_pool.ConnectionPoolState
        ] = {}
        self.silent: set[tuple[ids.UpstreamId, int]] = set()

    def _pool(
        self, upstream: ids.UpstreamId
    ) -> connection_pool.ConnectionPoolState:
        pool = self.pools.get(upstream)
        if pool is None:
            pool = connection_pool.ConnectionPoolState(self.cap)
            self.pools[upstream] = pool
        return pool

    def call(
        self,
        upstream: ids.UpstreamId,
        batch: tuple[jobs.Job, ...],
        timeout_ms: float,
        crashing: bool,
        on_result: ResultCallback,
    ) -> CallInFlight | None:
        """Start a call and pass its result to ``on_result``.

        At the connection cap the result is ``CallNotSent`` and the return
        value None.
        """
        pool = self._pool(upstream)
        opened_before = pool.opened_count
        connection = pool.acquire(self.clock.now_ms)
        if connection is None:
            self.clock.after(0.0, on_result, jobs.CallNotSent())
            return None
        upstream_call = model_upstream.UpstreamCall(batch, lambda result: None)
        upstream_call.crashing = crashing
        call = CallInFlight(upstream_call, connection)
        call.sent_at_ms = self.clock.now_ms

        def finish(result: jobs.CallResult) -> None:
            if call.finished:
                return
            call.finished = True
            self._update_pool(upstream, call, result)
            on_result(result)

        def on_reply(result: jobs.CallResult) -> None:
            if (upstream, connection.id) not in self.silent:
                self.clock.after(ONE_WAY_MS, finish, result)

        def on_lost() -> None:
            left_ms = call.sent_at_ms + timeout_ms - self.clock.now_ms
            self.clock.after(left_ms, finish, jobs.CallTimedOut())

        upstream_call.on_result = on_reply
        upstream_call.on_lost = on_lost
        call.finish = finish  # type: ignore[attr-defined]
        delay_ms = ONE_WAY_MS
        if pool.opened_count > opened_before:
            delay_ms += self.connect_ms
        if (upstream, connection.id) not in self.silent:
            target = self.upstreams[upstream]
            self.clock.after(delay_ms, target.submit, upstream_call)
        else:
            on_lost()
        return call

    def abort(self, call: CallInFlight) -> None:
        """Time a call out now, which closes its connection."""
        call.finish(jobs.CallTimedOut())  # type: ignore[attr-defined]

    def cancel(self, upstream: ids.UpstreamId, call: CallInFlight) -> None:
        """Send the upstream a cancellation of a call."""
        if (upstream, call.connection.id) in self.silent:
            return
        target = self.upstreams[upstream]
        self.clock.after(ONE_WAY_MS, target.cancel, call.upstream_call)

    def _update_pool(
        self,
        upstream: ids.UpstreamId,
        call: CallInFlight,
        result: jobs.CallResult,
    ) -> None:
        pool = self._pool(upstream)
        now_ms = self.clock.now_ms
        match result:
            case jobs.CallDone():
                pool.release(now_ms, call.connection)
            case jobs.CallTimedOut():
                siblings = pool.on_unresponsive(
                    call.connection, call.sent_at_ms
                )
                target = self.upstreams[upstream]
                target.cancel(call.upstream_call)
                for sibling in siblings:
                    self._probe(upstream, pool, sibling)
            case _:
                pool.close(call.connection)

    def _probe(
        self,
        upstream: ids.UpstreamId,
        pool: connection_pool.ConnectionPoolState,
        sibling: connection_pool.Connection,
    ) -> None:
        silent = (upstream, sibling.id) in self.silent
        if not self.probe_siblings or not silent:
            delay_ms = 2 * ONE_WAY_MS if self.probe_siblings else 0.0
            self.clock.after(
                delay_ms, pool.release, self.clock.now_ms, sibling
            )
        else:
            self.clock.after(PROBE_TIMEOUT_MS, pool.close, sibling)

    def silence_connections(self, share: float, rng: typing.Any) -> None:
        """Make a random share of the open connections silent permanently."""
        for upstream, pool in self.pools.items():
            for connection in list(pool.open.values()):
                if rng.random() < share:
                    self.silent.add((upstream, connection.id))
