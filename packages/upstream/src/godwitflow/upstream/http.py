"""Upstreams over HTTP and JSON: one dialect, that of the stand-in.

``POST /batch`` carries items and answers items; ``POST /cancel`` names
items that are no longer wanted. A reply's JSON must parse as a whole, so
a reply that was cut short never passes for a full one.
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
DEFAULT_CAP = 8

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
    """Encode a call's body; each deadline is sent as time left."""
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
    """Decode a reply; malformed bytes give ``CallGarbled``."""
    try:
        reply = _decoder.decode(raw)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return jobs.CallGarbled()
    items = tuple(_item(item) for item in reply.items)
    return jobs.CallDone(items, reply.draining)


def _item(item: _ReplyItem) -> jobs.Item:
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


class _Line:
    """One connection: an agent whose pool holds a single connection."""

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
    """Calls upstreams over HTTP, with a connection table for each.

    ``caps`` says, for each service, how many connections to one upstream
    this process may hold.
    """

    def __init__(
        self,
        reactor: typing.Any,
        now_ms: typing.Callable[[], float],
    ) -> None:
        self.reactor = reactor
        self.now_ms = now_ms
        self.caps: dict[ids.ServiceName, int] = {}
        self.calls = 0
        self.tables: dict[
            ids.UpstreamId, connection_pool.ConnectionPoolState
        ] = {}
        self._lines: dict[tuple[ids.UpstreamId, int], _Line] = {}
        self._pending: set[defer.Deferred] = set()

    def _table(
        self, upstream: ids.UpstreamId, service: ids.ServiceName
    ) -> connection_pool.ConnectionPoolState:
        cap = self.caps.get(service, DEFAULT_CAP)
        table = self.tables.get(upstream)
        if table is None:
            table = connection_pool.ConnectionPoolState(cap)
            self.tables[upstream] = table
        table.cap = cap
        return table

    def _line(
        self, upstream: ids.UpstreamId, connection: connection_pool.Connection
    ) -> _Line:
        key = (upstream, connection.id)
        line = self._lines.get(key)
        if line is None:
            line = _Line(self.reactor)
            self._lines[key] = line
        return line

    async def call(
        self,
        upstream: ids.UpstreamId,
        batch: tuple[jobs.Job, ...],
        timeout_ms: float,
        handle: client.Handle,
    ) -> jobs.CallResult:
        """Make one call on one connection."""
        table = self._table(upstream, batch[0].service)
        connection = table.acquire(self.now_ms())
        if connection is None:
            return jobs.CallNotSent()
        self.calls += 1
        sent_at_ms = self.now_ms()
        body = encode_batch(batch, sent_at_ms)
        line = self._line(upstream, connection)
        sending = defer.ensureDeferred(
            self._post(line, f"{upstream}/batch", body)
        )
        sending.addTimeout(timeout_ms / MS_PER_S, self.reactor)
        handle.bind(sending.cancel)
        result = await self._result(sending)
        handle.bind(None)
        self._after(upstream, table, connection, result, sent_at_ms)
        return result

    async def _post(
        self, line: _Line, url: str, body: bytes
    ) -> tuple[int, bytes]:
        response = await line.http.post(url, data=body, headers=_HEADERS)
        content = await treq.content(response)
        return response.code, content

    async def _result(
        self, sending: "defer.Deferred[tuple[int, bytes]]"
    ) -> jobs.CallResult:
        try:
            code, content = await sending
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

    def _after(
        self,
        upstream: ids.UpstreamId,
        table: connection_pool.ConnectionPoolState,
        connection: connection_pool.Connection,
        result: jobs.CallResult,
        sent_at_ms: float,
    ) -> None:
        match result:
            case jobs.CallDone() | jobs.CallGarbled():
                table.release(self.now_ms(), connection)
            case jobs.CallTimedOut():
                doubtful = table.on_unresponsive(connection, sent_at_ms)
                self._drop(upstream, connection)
                for sibling in doubtful:
                    probing = self._probe(upstream, table, sibling)
                    defer.ensureDeferred(probing)
            case _:
                table.close(connection)
                self._drop(upstream, connection)

    async def _probe(
        self,
        upstream: ids.UpstreamId,
        table: connection_pool.ConnectionPoolState,
        connection: connection_pool.Connection,
    ) -> None:
        """Check a doubtful idle connection; close it if it is silent."""
        line = self._line(upstream, connection)
        asking = defer.ensureDeferred(self._ask(line, f"{upstream}/health"))
        asking.addTimeout(PROBE_TIMEOUT_MS / MS_PER_S, self.reactor)
        self._pending.add(asking)
        try:
            await asking
        except Exception:
            table.close(connection)
            table.unresponsive_count += 1
            self._drop(upstream, connection)
            return
        finally:
            self._pending.discard(asking)
        table.release(self.now_ms(), connection)

    async def _ask(self, line: _Line, url: str) -> None:
        response = await line.http.get(url)
        await treq.content(response)

    def _drop(
        self, upstream: ids.UpstreamId, connection: connection_pool.Connection
    ) -> None:
        line = self._lines.pop((upstream, connection.id), None)
        if line is not None:
            line.pool.closeCachedConnections()

    def cancel(
        self, upstream: ids.UpstreamId, batch: tuple[jobs.Job, ...]
    ) -> None:
        """Ask the upstream to stop work on these jobs."""
        table = self._table(upstream, batch[0].service)
        connection = table.acquire(self.now_ms())
        if connection is None:
            return
        body = _encoder.encode({"ids": [job.piece_key for job in batch]})
        defer.ensureDeferred(
            self._send_cancel(upstream, table, connection, body)
        )

    async def _send_cancel(
        self,
        upstream: ids.UpstreamId,
        table: connection_pool.ConnectionPoolState,
        connection: connection_pool.Connection,
        body: bytes,
    ) -> None:
        line = self._line(upstream, connection)
        sending = defer.ensureDeferred(
            self._post(line, f"{upstream}/cancel", body)
        )
        sending.addTimeout(CANCEL_TIMEOUT_MS / MS_PER_S, self.reactor)
        self._pending.add(sending)
        try:
            await sending
        except Exception:
            table.close(connection)
            self._drop(upstream, connection)
            return
        finally:
            self._pending.discard(sending)
        table.release(self.now_ms(), connection)

    async def close(self) -> None:
        """Give up probes and cancellations; close every connection."""
        for sending in list(self._pending):
            sending.cancel()
        lines, self._lines = self._lines, {}
        self.tables.clear()
        closing = [
            line.pool.closeCachedConnections() for line in lines.values()
        ]
        await defer.gatherResults(closing)
