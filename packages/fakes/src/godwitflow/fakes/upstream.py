"""Fake upstream with slots, a connection cap, costs and faults."""

import collections
import random
import typing

import msgspec
from twisted.internet import defer
from twisted.internet import task
from twisted.web import http
from twisted.web import resource
from twisted.web import server

MS_PER_S = 1_000.0
QUEUED_CALLS_PER_SLOT = 2


class Shape(msgspec.Struct, frozen=True):
    """How an upstream behaves.

    Times are in milliseconds. ``batch_share`` is the cost of each further
    item of a batch as a share of that of the first.
    """

    slots: int = 2
    connection_cap: int = 25
    connect_ms: float = 6.0
    service_ms: float = 10.0
    batch_share: float = 0.1


class _Item(msgspec.Struct):
    id: str
    service: str
    shard: str
    snapshot: int
    idempotent: bool
    budget_ms: float
    payload: msgspec.Raw


class _Batch(msgspec.Struct):
    items: list[_Item]


class _Ids(msgspec.Struct):
    ids: list[str]


class FakeUpstream(resource.Resource):
    """The web resource of one upstream.

    ``run_counts`` counts the runs of each non-idempotent payload, so that
    a test can detect a request that ran twice. A payload that contains
    ``crash_marker`` breaks every connection. While ``unresponsive``, no
    call gets a response.
    """

    isLeaf = True

    def __init__(
        self, reactor: typing.Any, shape: Shape, seed: int = 0
    ) -> None:
        super().__init__()
        self.reactor = reactor
        self.shape = shape
        self.random = random.Random(seed)
        self.snapshots: set[int] = {1}
        self.run_counts: collections.Counter[str] = collections.Counter()
        self.crash_marker = b""
        self.slowdown = 1.0
        self.unresponsive = False
        self.draining = False
        self.crash_count = 0
        self.call_count = 0
        self.item_count = 0
        self.busy_slots = 0
        self.url = ""
        self._cancelled: set[str] = set()
        self._waiting: collections.deque[defer.Deferred] = collections.deque()
        self._connections: set[typing.Any] = set()
        self._port: typing.Any = None

    def listen(self, port: int = 0) -> str:
        """Listen on loopback; return the base URL."""
        site = _Site(self)
        self._port = self.reactor.listenTCP(port, site, interface="127.0.0.1")
        self.url = f"http://127.0.0.1:{self._port.getHost().port}"
        return self.url

    async def close(self) -> None:
        """Stop listening and abort every open connection."""
        await defer.maybeDeferred(self._port.stopListening)
        self.break_connections()

    def break_connections(self) -> None:
        """Abort every open connection."""
        for channel in list(self._connections):
            channel.transport.abortConnection()

    def on_connected(self, channel: typing.Any) -> bool:
        """Add a connection; return False if the cap is reached."""
        if len(self._connections) >= self.shape.connection_cap:
            return False
        self._connections.add(channel)
        return True

    def on_disconnected(self, channel: typing.Any) -> None:
        """Remove a closed connection."""
        self._connections.discard(channel)

    def render(self, request: typing.Any) -> typing.Any:
        """Serve one call; the response may be sent later."""
        if self.unresponsive:
            return server.NOT_DONE_YET
        if request.path == b"/health":
            return b"ok"
        body = request.content.read()
        if request.path == b"/cancel":
            self._cancelled.update(msgspec.json.decode(body, type=_Ids).ids)
            return b"{}"
        disconnects: list[typing.Any] = []
        request.notifyFinish().addErrback(disconnects.append)
        defer.ensureDeferred(self._serve(request, body, disconnects))
        return server.NOT_DONE_YET

    async def _serve(
        self, request: typing.Any, body: bytes, disconnects: list[typing.Any]
    ) -> None:
        batch = msgspec.json.decode(body, type=_Batch)
        self.call_count += 1
        results = await self._run(batch)
        if results is None:
            self.crash_count += 1
            self.break_connections()
            return
        if disconnects or self.unresponsive:
            return
        reply = {"items": results, "draining": self.draining}
        request.setHeader("Content-Type", "application/json")
        request.write(msgspec.json.encode(reply))
        request.finish()

    async def _run(self, batch: _Batch) -> list[dict] | None:
        if len(self._waiting) >= self.shape.slots * QUEUED_CALLS_PER_SLOT:
            return [_shed_item(item) for item in batch.items]
        await self._acquire_slot()
        try:
            count = len(batch.items)
            factor = 1.0 + self.shape.batch_share * (count - 1)
            spread = self.random.lognormvariate(0.0, 0.4)
            spent_ms = self.shape.service_ms * factor * spread
            await self._sleep(spent_ms * self.slowdown)
        finally:
            self._release_slot()
        if self._crashes(batch):
            return None
        return [self._run_item(item) for item in batch.items]

    def _crashes(self, batch: _Batch) -> bool:
        marker = self.crash_marker
        return bool(marker) and any(
            marker in bytes(item.payload) for item in batch.items
        )

    def _run_item(self, item: _Item) -> dict[str, typing.Any]:
        if item.id in self._cancelled:
            self._cancelled.discard(item.id)
            return {"id": item.id, "status": "cancelled"}
        if item.snapshot not in self.snapshots:
            return {"id": item.id, "status": "wrong_snapshot"}
        self.item_count += 1
        if not item.idempotent:
            self.run_counts[bytes(item.payload).decode()] += 1
        row = {"shard": item.shard, "snapshot": item.snapshot}
        return {
            "id": item.id,
            "status": "ok",
            "shard": item.shard,
            "snapshot": item.snapshot,
            "rows": [row],
        }

    async def _acquire_slot(self) -> None:
        if self.busy_slots >= self.shape.slots:
            slot_free: defer.Deferred[None] = defer.Deferred()
            self._waiting.append(slot_free)
            await slot_free
        else:
            self.busy_slots += 1

    def _release_slot(self) -> None:
        if self._waiting:
            self._waiting.popleft().callback(None)
        else:
            self.busy_slots -= 1

    async def _sleep(self, spent_ms: float) -> None:
        await task.deferLater(self.reactor, spent_ms / MS_PER_S, lambda: None)


def _shed_item(item: _Item) -> dict[str, typing.Any]:
    return {"id": item.id, "status": "shed", "retry_after_ms": 20.0}


class _Channel(http.HTTPChannel):
    """A connection whose first request waits for the connect cost."""

    upstream: FakeUpstream

    def connectionMade(self) -> None:
        """Abort the connection at the cap, else delay it by its cost."""
        super().connectionMade()
        transport: typing.Any = self.transport
        if not self.upstream.on_connected(self):
            transport.abortConnection()
            return
        transport.pauseProducing()
        cost_s = self.upstream.shape.connect_ms / MS_PER_S
        self.upstream.reactor.callLater(cost_s, self._resume_reading)

    def _resume_reading(self) -> None:
        transport: typing.Any = self.transport
        if transport is not None and transport.connected:
            transport.resumeProducing()

    def connectionLost(self, reason: typing.Any = None) -> None:
        """Remove the connection from the upstream."""
        self.upstream.on_disconnected(self)
        super().connectionLost(reason)


class _Site(server.Site):
    def __init__(self, upstream: FakeUpstream) -> None:
        super().__init__(upstream)
        self.upstream = upstream
        self.noisy = False

    def buildProtocol(self, addr: typing.Any) -> typing.Any:
        channel: typing.Any = _Channel()
        channel.requestFactory = server.Request
        channel.upstream = self.upstream
        channel.site = self
        channel.factory = self
        channel.timeOut = None
        channel.callLater = self.upstream.reactor.callLater
        channel._reactor = self.upstream.reactor
        return channel

    def log(self, request: typing.Any) -> None:
        """Write no access log."""
