"""Fake of the platform's object API, over HTTP.

It serves a store in memory. Tests can make it unavailable or slow, or make
it lose the responses to writes that it has applied.
"""

import collections
import typing

import msgspec
from twisted.internet import defer
from twisted.internet import task
from twisted.web import resource
from twisted.web import server

from godwitflow.model import errors
from godwitflow.store import http
from godwitflow.store import memory

MS_PER_S = 1_000.0


class FakePlatform(resource.Resource):
    """The object API as a web resource.

    ``down`` makes every call fail; ``latency_ms`` delays each call;
    ``lose_put_answers`` is the number of writes whose responses are to be
    lost.
    """

    isLeaf = True

    def __init__(self, reactor: typing.Any, latency_ms: float = 2.0) -> None:
        super().__init__()
        self.reactor = reactor
        self.store = memory.MemoryStore(reactor)
        self.latency_ms = latency_ms
        self.down = False
        self.lose_put_answers = 0
        self.call_counts: collections.Counter[str] = collections.Counter()
        self._port: typing.Any = None

    def listen(self, port: int = 0) -> str:
        """Listen on loopback; return the base URL."""
        site = server.Site(self)
        site.noisy = False
        self._port = self.reactor.listenTCP(port, site, interface="127.0.0.1")
        return f"http://127.0.0.1:{self._port.getHost().port}"

    async def close(self) -> None:
        """Stop listening and release the open watches."""
        self.store.release_watches()
        await defer.maybeDeferred(self._port.stopListening)

    def render(self, request: typing.Any) -> typing.Any:
        """Serve one call; the response may be sent later."""
        self.call_counts[request.method.decode()] += 1
        if self.down:
            request.setResponseCode(503)
            return b"down"
        defer.ensureDeferred(self._serve(request))
        return server.NOT_DONE_YET

    async def _serve(self, request: typing.Any) -> None:
        disconnects: list[typing.Any] = []
        request.notifyFinish().addErrback(disconnects.append)
        await task.deferLater(
            self.reactor, self.latency_ms / MS_PER_S, lambda: None
        )
        code, body = await self._response(request)
        if disconnects:
            return
        if self.down:
            request.transport.abortConnection()
            return
        if request.method == b"PUT" and self.lose_put_answers:
            self.lose_put_answers -= 1
            request.transport.abortConnection()
            return
        request.setResponseCode(code)
        request.write(body)
        request.finish()

    async def _response(self, request: typing.Any) -> tuple[int, bytes]:
        path = request.path.decode()
        if path == "/objects":
            prefix = _argument(request, b"prefix", "")
            names = await self.store.list_names(prefix)
            return 200, msgspec.json.encode(names)
        name = path.removeprefix("/objects/")
        try:
            if request.method == b"PUT":
                return await self._put(request, name)
            return await self._get(request, name)
        except errors.ObjectNotFoundError:
            return 404, b"missing"
        except errors.StoreConflictError:
            return 412, b"conflict"
        except errors.ValueTooLargeError:
            return 413, b"too large"

    async def _put(self, request: typing.Any, name: str) -> tuple[int, bytes]:
        expected_version = int(request.getHeader("If-Match") or "0")
        value = request.content.read()
        version = await self.store.put(name, value, expected_version)
        request.setHeader(http.VERSION_HEADER, str(version))
        return 200, b""

    async def _get(self, request: typing.Any, name: str) -> tuple[int, bytes]:
        after = int(_argument(request, b"after", "-1"))
        if after >= 0:
            wait_ms = float(_argument(request, b"wait_ms", "0"))
            stored = await self.store.watch(name, after, wait_ms)
        else:
            stored = await self.store.get(name)
        request.setHeader(http.VERSION_HEADER, str(stored.version))
        return 200, stored.value


def _argument(request: typing.Any, name: bytes, default: str) -> str:
    values = request.args.get(name)
    return values[0].decode() if values else default
