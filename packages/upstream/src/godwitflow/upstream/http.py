"""Client of the batch protocol of upstreams, in JSON over HTTP.

The upstreams of ``godwitflow.fakes`` serve this protocol. ``POST /batch``
sends items and returns a result for each; ``POST /cancel`` lists the ids
of items to stop. A reply must be one complete JSON value, so a truncated
reply is never accepted as complete.
"""

import typing

import msgspec
import treq
from treq import client as treq_client
from twisted.internet import defer
from twisted.internet import error as net_error
from twisted.web import _newclient
from twisted.web import client as web_client

from godwitflow.model import ids
from godwitflow.policy import connection_pool
from godwitflow.policy import jobs
from godwitflow.upstream import client

MS_PER_S = 1_000.0
CONNECT_TIMEOUT_S = 1.0
CANCEL_TIMEOUT_MS = 500.0
PROBE_TIMEOUT_MS = 200.0
IDLE_TIMEOUT_S = 120
DEFAULT_CONNECTION_CAP = 8

_NOT_SENT = (
    net_error.ConnectError,
    net_error.ConnectionRefusedError,
    net_error.DNSLookupError,
)


class _RequestItem(msgspec.Struct):
    id: str
    service: str
    shard: str
    snapshot: int
    idempotent: bool
    budget_ms: float
    payload: msgspec.Raw


class _Request(msgspec.Struct):
    items: list[_RequestItem]


class _ReplyItem(msgspec.Struct):
    id: str
    status: str
    shard: str = ""
    snapshot: int = 0
    rows: msgspec.Raw = msgspec.Raw(b"[]")
    retry_after_ms: float = 0.0


class _Reply(msgspec.Struct):
    items: list[_ReplyItem]
    draining: bool = False


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(_Reply)
_HEADERS: dict[bytes | str, bytes | str] = {"Content-Type": "application/json"}


def encode_batch(batch: tuple[jobs.Job, ...], now_ms: float) -> bytes:
    """Encode the body of a call; deadlines are sent as remaining time."""
    items = [
        _RequestItem(
            job.piece_key,
            job.service,
            job.shard,
            job.snapshot,
            job.idempotent,
            round(max(0.0, job.deadline_at_ms - now_ms), 1),
            msgspec.Raw(job.payload),
        )
        for job in batch
    ]
    return _encoder.encode(_Request(items))


def decode_reply(raw: bytes) -> jobs.CallResult:
    """Decode a reply; returns ``CallGarbled`` if it is malformed."""
    try:
        reply = _decoder.decode(raw)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return jobs.CallGarbled()
    items = tuple(_decode_item(item) for item in reply.items)
    return jobs.CallDone(items, reply.draining)


def _decode_item(item: _ReplyItem) -> jobs.Item:
    match item.status:
        case "ok":
            return jobs.ItemOk(
                item.id,
                ids.ShardId(item.shard),
                ids.SnapshotVersion(item.snapshot),
                bytes(item.rows).strip(),
            )
        case "shed":
            return jobs.ItemShed(item.id, item.retry_after_ms)
        case "wrong_snapshot":
            return jobs.ItemWrongSnapshot(item.id)
        case "cancelled":
            return jobs.ItemCancelled(item.id)
        case _:
            return jobs.ItemFailed(item.id)


class _SingleConnectionAgent:
    """An HTTP agent whose pool holds a single connection."""

    def __init__(self, reactor: typing.Any) -> None:
        self.pool = web_client.HTTPConnectionPool(reactor)
        self.pool.maxPersistentPerHost = 1
        self.pool.cachedConnectionTimeout = IDLE_TIMEOUT_S
        self.pool.retryAutomatically = False
        agent = web_client.Agent(
            reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=self.pool
        )
        self.http = treq_client.HTTPClient(typing.cast(typing.Any, agent))


class HttpClient:
    """Calls upstreams over HTTP, with a connection pool for each.

    ``connection_caps`` is the maximum number of this process's
    connections to one upstream, by service.
    """

    def __init__(
        self,
        reactor: typing.Any,
        now_ms: typing.Callable[[], float],
    ) -> None:
        self.reactor = reactor
        self.now_ms = now_ms
        self.connection_caps: dict[ids.ServiceName, int] = {}
        self.call_count = 0
        self.pool_states: dict[
            ids.UpstreamId, connection_pool.ConnectionPoolState
        ] = {}
        self._agents: dict[
            tuple[ids.UpstreamId, int], _SingleConnectionAgent
        ] = {}
        self._pending_requests: set[defer.Deferred] = set()

    def _pool_state(
        self, upstream: ids.UpstreamId, service: ids.ServiceName
    ) -> connection_pool.ConnectionPoolState:
        cap = self.connection_caps.get(service, DEFAULT_CONNECTION_CAP)
        pool_state = self.pool_states.get(upstream)
        if pool_state is None:
            pool_state = connection_pool.ConnectionPoolState(cap)
            self.pool_states[upstream] = pool_state
        pool_state.cap = cap
        return pool_state

    def _agent(
        self, upstream: ids.UpstreamId, connection: connection_pool.Connection
    ) -> _SingleConnectionAgent:
        key = (upstream, connection.id)
        agent = self._agents.get(key)
        if agent is None:
            agent = _SingleConnectionAgent(self.reactor)
            self._agents[key] = agent
        return agent

    async def call(
        self,
        upstream: ids.UpstreamId,
        batch: tuple[jobs.Job, ...],
        timeout_ms: float,
        handle: client.CallHandle,
    ) -> jobs.CallResult:
        """Make one call on a connection of its own.

        Returns ``CallNotSent`` if all connections are in use.
        """
        pool_state = self._pool_state(upstream, batch[0].service)
        connection = pool_state.acquire(self.now_ms())
        if connection is None:
            return jobs.CallNotSent()
        self.call_count += 1
        sent_at_ms = self.now_ms()
        body = encode_batch(batch, sent_at_ms)
        agent = self._agent(upstream, connection)
        request = defer.ensureDeferred(
            self._post(agent, f"{upstream}/batch", body)
        )
        request.addTimeout(timeout_ms / MS_PER_S, self.reactor)
        handle.bind(request.cancel)
        result = await self._await_result(request)
        handle.bind(None)
        self._release_connection(
            upstream, pool_state, connection, result, sent_at_ms
        )
        return result

    async def _post(
        self, agent: _SingleConnectionAgent, url: str, body: bytes
    ) -> tuple[int, bytes]:
        response = await agent.http.post(url, data=body, headers=_HEADERS)
        content = await treq.content(response)
        return response.code, content

    async def _await_result(
        self, request: "defer.Deferred[tuple[int, bytes]]"
    ) -> jobs.CallResult:
        try:
            code, content = await request
        except _NOT_SENT:
            return jobs.CallNotSent()
        except (
            defer.TimeoutError,
            defer.CancelledError,
            net_error.TimeoutError,
        ):
            return jobs.CallTimedOut()
        except _newclient.RequestNotSent:
            return jobs.CallNotSent()
        except Exception:
            return jobs.CallCrashed()
        if code != 200:
            return jobs.CallGarbled()
        return decode_reply(content)

    def _release_connection(
        self,
        upstream: ids.UpstreamId,
        pool_state: connection_pool.ConnectionPoolState,
        connection: connection_pool.Connection,
        result: jobs.CallResult,
        sent_at_ms: float,
    ) -> None:
        match result:
            case jobs.CallDone() | jobs.CallGarbled():
                pool_state.release(self.now_ms(), connection)
            case jobs.CallTimedOut():
                unverified = pool_state.on_unresponsive(connection, sent_at_ms)
                self._close_agent(upstream, connection)
                for idle_connection in unverified:
                    probe = self._probe(upstream, pool_state, idle_connection)
                    defer.ensureDeferred(probe)
            case _:
                pool_state.close(connection)
                self._close_agent(upstream, connection)

    async def _probe(
        self,
        upstream: ids.UpstreamId,
        pool_state: connection_pool.ConnectionPoolState,
        connection: connection_pool.Connection,
    ) -> None:
        """Probe an unverified connection; close it if it is unresponsive."""
        agent = self._agent(upstream, connection)
        request = defer.ensureDeferred(self._get(agent, f"{upstream}/health"))
        request.addTimeout(PROBE_TIMEOUT_MS / MS_PER_S, self.reactor)
        self._pending_requests.add(request)
        try:
            await request
        except Exception:
            pool_state.close(connection)
            pool_state.unresponsive_count += 1
            self._close_agent(upstream, connection)
            return
        finally:
            self._pending_requests.discard(request)
        pool_state.release(self.now_ms(), connection)

    async def _get(self, agent: _SingleConnectionAgent, url: str) -> None:
        response = await agent.http.get(url)
        await treq.content(response)

    def _close_agent(
        self, upstream: ids.UpstreamId, connection: connection_pool.Connection
    ) -> None:
        agent = self._agents.pop((upstream, connection.id), None)
        if agent is not None:
            agent.pool.closeCachedConnections()

    def cancel(
        self, upstream: ids.UpstreamId, batch: tuple[jobs.Job, ...]
    ) -> None:
        """Ask the upstream to stop working on these jobs.

        Nothing is sent if all connections are in use.
        """
        pool_state = self._pool_state(upstream, batch[0].service)
        connection = pool_state.acquire(self.now_ms())
        if connection is None:
            return
        body = _encoder.encode({"ids": [job.piece_key for job in batch]})
        defer.ensureDeferred(
            self._send_cancel(upstream, pool_state, connection, body)
        )

    async def _send_cancel(
        self,
        upstream: ids.UpstreamId,
        pool_state: connection_pool.ConnectionPoolState,
        connection: connection_pool.Connection,
        body: bytes,
    ) -> None:
        agent = self._agent(upstream, connection)
        request = defer.ensureDeferred(
            self._post(agent, f"{upstream}/cancel", body)
        )
        request.addTimeout(CANCEL_TIMEOUT_MS / MS_PER_S, self.reactor)
        self._pending_requests.add(request)
        try:
            await request
        except Exception:
            pool_state.close(connection)
            self._close_agent(upstream, connection)
            return
        finally:
            self._pending_requests.discard(request)
        pool_state.release(self.now_ms(), connection)

    async def close(self) -> None:
        """Abort probes and cancellations and close all connections."""
        for request in list(self._pending_requests):
            request.cancel()
        agents, self._agents = self._agents, {}
        self.pool_states.clear()
        closing = [
            agent.pool.closeCachedConnections() for agent in agents.values()
        ]
        await defer.gatherResults(closing)
