"""A stand-in for one upstream: slots, caps, costs and faults."""

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
QUEUE_FACTOR = 2


class Shape(msgspec.Struct, frozen=True):
    """How an upstream behaves; times in milliseconds."""

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


class Upstream(resource.Resource):
    """One upstream's web resource and its state.

    ``ran`` counts the runs of each non-idempotent payload, so that a
    test can see a doubled request. ``crash_on`` is a text that, found in
    a payload, breaks every connection; ``silent`` answers nothing.
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
        self.ran: collections.Counter[str] = collections.Counter()
        self.crash_on = b""
        self.slowdown = 1.0
        self.silent = False
        self.draining = False
        self.crashes = 0
        self.calls = 0
        self.items = 0
        self.busy = 0
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
        """Stop listening and break every connection."""
        await defer.maybeDeferred(self._port.stopListening)
        self.break_connections()

    def break_connections(self) -> None:
        """Abort every open connection."""
        for channel in list(self._connections):
            channel.transport.abortConnection()

    def connected(self, channel: typing.Any) -> bool:
        """Take a connection, or refuse it at the cap."""
        if len(self._connections) >= self.shape.connection_cap:
            return False
        self._connections.add(channel)
        return True

    def disconnected(self, channel: typing.Any) -> None:
        """Forget a connection."""
        self._connections.discard(channel)

    def render(self, request: typing.Any) -> typing.Any:
        """Serve one call; it finishes later."""
        if self.silent:
            return server.NOT_DONE_YET
        if request.path == b"/health":
            return b"ok"
        body = request.content.read()
        if request.path == b"/cancel":
            self._cancelled.update(msgspec.json.decode(body, type=_Ids).ids)
            return b"{}"
        gone: list[typing.Any] = []
        request.notifyFinish().addErrback(gone.append)
        defer.ensureDeferred(self._serve(request, body, gone))
        return server.NOT_DONE_YET

    async def _serve(
        self, request: typing.Any, body: bytes, gone: list[typing.Any]
    ) -> None:
        batch = msgspec.json.decode(body, type=_Batch)
        self.calls += 1
        rows = await self._run(batch)
        if rows is None:
            self.crashes += 1
            self.break_connections()
            return
        if gone or self.silent:
            return
        reply = {"items": rows, "draining": self.draining}
        request.setHeader("Content-Type", "application/json")
        request.write(msgspec.json.encode(reply))
        request.finish()

    async def _run(self, batch: _Batch) -> list[dict] | None:
        if len(self._waiting) >= self.shape.slots * QUEUE_FACTOR:
            return [_shed(item) for item in batch.items]
        await self._enter()
        try:
            count = len(batch.items)
            factor = 1.0 + self.shape.batch_share * (count - 1)
            spread = self.random.lognormvariate(0.0, 0.4)
            spent_ms = self.shape.service_ms * factor * spread
            await self._sleep(spent_ms * self.slowdown)
        finally:
            self._exit()
        if self._crashes(batch):
            return None
        return [self._row(item) for item in batch.items]

    def _crashes(self, batch: _Batch) -> bool:
        needle = self.crash_on
        return bool(needle) and any(
            needle in bytes(item.payload) for item in batch.items
        )

    def _row(self, item: _Item) -> dict[str, typing.Any]:
        if item.id in self._cancelled:
            self._cancelled.discard(item.id)
            return {"id": item.id, "status": "cancelled"}
        if item.snapshot not in self.snapshots:
            return {"id": item.id, "status": "wrong_snapshot"}
        self.items += 1
        if not item.idempotent:
            self.ran[bytes(item.payload).decode()] += 1
        row = {"shard": item.shard, "snapshot": item.snapshot}
        return {
            "id": item.id,
            "status": "ok",
            "shard": item.shard,
            "snapshot": item.snapshot,
            "rows": [row],
        }

    async def _enter(self) -> None:
        if self.busy >= self.shape.slots:
            turn: defer.Deferred[None] = defer.Deferred()
            self._waiting.append(turn)
            await turn
        else:
            self.busy += 1

    def _exit(self) -> None:
        if self._waiting:
            self._waiting.popleft().callback(None)
        else:
            self.busy -= 1

    async def _sleep(self, spent_ms: float) -> None:
        await task.deferLater(self.reactor, spent_ms / MS_PER_S, lambda: None)


def _shed(item: _Item) -> dict[str, typing.Any]:
    return {"id": item.id, "status": "shed", "retry_after_ms": 20.0}


class _Channel(http.HTTPChannel):
    """A connection with a cost before its first request is served."""

    upstream: Upstream

    def connectionMade(self) -> None:
        """Refuse the connection at the cap; charge its cost."""
        super().connectionMade()
        transport: typing.Any = self.transport
        if not self.upstream.connected(self):
            transport.abortConnection()
            return
        transport.pauseProducing()
        cost_s = self.upstream.shape.connect_ms / MS_PER_S
        self.upstream.reactor.callLater(cost_s, self._opened)

    def _opened(self) -> None:
        transport: typing.Any = self.transport
        if transport is not None and transport.connected:
            transport.resumeProducing()

    def connectionLost(self, reason: typing.Any = None) -> None:
        """Give the connection's place back."""
        self.upstream.disconnected(self)
        super().connectionLost(reason)


class _Site(server.Site):
    def __init__(self, upstream: Upstream) -> None:
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
