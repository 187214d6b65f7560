"""Callers that keep their connections, through a library's HTTP client."""

import io
import random
import typing
import urllib.parse

from twisted.internet import defer
from twisted.internet import task
from twisted.web import client
from twisted.web import http_headers

from godwitflow.adapter import protocol_names
from godwitflow.soak import history as ledgers
from godwitflow.standins import fixtures

DEADLINE_MS = 1_500
PATIENCE_S = 3.0
PAUSE_S = (0.01, 0.08)
ADDRESSES_KEPT_S = 1.5

HEADERS = protocol_names.HEADERS
Kind = ledgers.Kind
Place = fixtures.NodeEndpoints


class Caller:
    """Sends one request after another, to nodes that the system names."""

    def __init__(
        self,
        reactor: typing.Any,
        name: str,
        source: random.Random,
        nodes: typing.Callable[[], list[tuple[Place, str]]],
        ledger: ledgers.Ledger,
        turn: typing.Callable[[], int],
    ) -> None:
        self.stopped = False
        self._reactor = reactor
        self._name = name
        self._random = source
        self._nodes = nodes
        self._ledger = ledger
        self._turn = turn
        self._count = 0
        self._named: list[str] = []
        self._named_until_s = 0.0
        pool = client.HTTPConnectionPool(reactor)
        pool.retryAutomatically = False
        self._pool = pool
        self._agent = client.Agent(reactor, connectTimeout=1.0, pool=pool)

    async def run(self) -> None:
        """Send requests until stopped."""
        while not self.stopped:
            pause_s = self._random.uniform(*PAUSE_S)
            await task.deferLater(self._reactor, pause_s)
            await self._ask()
        await self._pool.closeCachedConnections()

    async def _ask(self) -> None:
        place, life = await self._choose()
        await self.ask(place, life, self._random.choice(list(Kind)))

    async def ask(self, place: Place, life: str, kind: Kind) -> ledgers.Sent:
        """Send one request to a node; return what became of it."""
        self._count += 1
        name = f"{self._name}x{self._count}"
        body = b""
        method = "GET"
        if kind is Kind.ONCE:
            method = "POST"
            body = self._random.randbytes(self._random.choice((0, 9, 40_000)))
        sent = ledgers.Sent(
            name,
            kind,
            method,
            f"/{kind.value}/{urllib.parse.quote(name)}?q=%2F1",
            body,
            life,
            self._reactor.seconds(),
            self._turn(),
        )
        self._ledger.sent[name] = sent
        await self._exchange(place, sent)
        sent.ended_at_s = self._reactor.seconds()
        return sent

    async def named(self, place: Place) -> list[str]:
        """Return the addresses that a node names to this caller now."""
        self._named = []
        await self._ask_addresses(place)
        return self._named

    async def _choose(self) -> tuple[Place, str]:
        """Pick a node among those that the system names just now."""
        if self._reactor.seconds() >= self._named_until_s:
            asked, _ = self._random.choice(self._nodes())
            await self._ask_addresses(asked)
        nodes = self._nodes()
        named = [
            found
            for found in nodes
            if found[0].address(found[0].front_port) in self._named
        ]
        return self._random.choice(named or nodes)

    async def _ask_addresses(self, place: Place) -> None:
        path = fixtures.resolve_target(place.failure_domain)
        url = f"http://{place.address(place.directory_port)}{path}".encode()
        asking = self._agent.request(b"GET", url)
        asking.addTimeout(1.0, self._reactor)
        try:
            response = await asking
            reading = client.readBody(response)
            reading.addTimeout(1.0, self._reactor)
            body = await reading
        except Exception:
            return
        if response.code == 200:
            self._named = fixtures.decode_addresses(body)
            self._named_until_s = self._reactor.seconds() + ADDRESSES_KEPT_S

    async def _exchange(self, place: Place, sent: ledgers.Sent) -> None:
        address = place.address(place.front_port)
        headers = {
            "Host": [fixtures.HOST],
            HEADERS.request_id_out.decode(): [sent.request],
            HEADERS.deadline_out.decode(): [str(DEADLINE_MS)],
        }
        producer: typing.Any = None
        if sent.body:
            producer = client.FileBodyProducer(io.BytesIO(sent.body))
        asking = self._agent.request(
            sent.method.encode(),
            f"http://{address}{sent.target}".encode(),
            http_headers.Headers(headers),
            producer,
        )
        asking.addTimeout(PATIENCE_S, self._reactor)
        try:
            response = await asking
            reading = client.readBody(response)
            reading.addTimeout(PATIENCE_S, self._reactor)
            sent.answer = await reading
        except Exception:
            sent.status = 0
            return
        _take(sent, response)


def _take(sent: ledgers.Sent, response: typing.Any) -> None:
    sent.status = response.code
    rows = [
        row
        for name in (HEADERS.part_signatures, HEADERS.signature)
        for row in response.headers.getRawHeaders(name, [])
    ]
    sent.signatures = tuple(
        part.strip().decode() for row in rows for part in row.split(b",")
    )
    missing = response.headers.getRawHeaders(HEADERS.missing_parts, [b"0"])
    sent.missing = int(missing[0])


async def ready(reactor: typing.Any, place: Place) -> bool:
    """Ask a node whether it is ready."""
    url = f"http://{place.address(place.ready_port)}/readiness".encode()
    asking = client.Agent(reactor, connectTimeout=0.5).request(b"GET", url)
    asking.addTimeout(1.0, reactor)
    try:
        response = await asking
        await client.readBody(response)
    except Exception:
        return False
    return response.code == 200


def together(runs: list[typing.Any]) -> "defer.Deferred[typing.Any]":
    """Wait for all of several coroutines."""
    return defer.gatherResults([defer.ensureDeferred(run) for run in runs])
