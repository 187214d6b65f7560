"""Callers with persistent connections, on Twisted's HTTP client."""

import io
import random
import typing
import urllib.parse

from twisted.internet import defer
from twisted.internet import task
from twisted.web import client
from twisted.web import http_headers

from godwitflow.adapter import protocol_names
from godwitflow.soak import history as histories
from godwitflow.standins import fixtures

DEADLINE_MS = 1_500
RESPONSE_TIMEOUT_S = 3.0
PAUSE_S = (0.01, 0.08)
ADDRESS_MAX_AGE_S = 1.5

HEADERS = protocol_names.HEADERS
Kind = histories.Kind
Endpoints = fixtures.NodeEndpoints


class Caller:
    """Sends requests one at a time to nodes found by address lookup."""

    def __init__(
        self,
        reactor: typing.Any,
        name: str,
        rng: random.Random,
        nodes: typing.Callable[[], list[tuple[Endpoints, str]]],
        history: histories.History,
        configuration_number: typing.Callable[[], int],
        response_timeout_s: float = RESPONSE_TIMEOUT_S,
    ) -> None:
        self.stopped = False
        self._reactor = reactor
        self._name = name
        self._customer = rng.choice(sorted(fixtures.KEYS))
        self._random = rng
        self._nodes = nodes
        self._history = history
        self._configuration_number = configuration_number
        self._response_timeout_s = response_timeout_s
        self._request_count = 0
        self._addresses: list[str] = []
        self._addresses_expire_at_s = 0.0
        pool = client.HTTPConnectionPool(reactor)
        pool.retryAutomatically = False
        self._pool = pool
        self._agent = client.Agent(reactor, connectTimeout=1.0, pool=pool)

    async def run(self) -> None:
        """Send random requests until stopped."""
        while not self.stopped:
            pause_s = self._random.uniform(*PAUSE_S)
            await task.deferLater(self._reactor, pause_s)
            await self._send_random()
        await self._pool.closeCachedConnections()

    async def _send_random(self) -> None:
        endpoints, process = await self._choose_node()
        await self.send_request(
            endpoints, process, self._random.choice(list(Kind))
        )

    async def send_request(
        self,
        endpoints: Endpoints,
        process: str,
        kind: Kind,
        body: bytes = b"",
    ) -> histories.RequestRecord:
        """Send one request to a node; return its record."""
        self._request_count += 1
        request_id = f"{self._name}x{self._request_count}"
        method = "POST" if body else "GET"
        if kind is Kind.NON_IDEMPOTENT:
            method = "POST"
            body = self._random.randbytes(self._random.choice((0, 9, 40_000)))
        record = histories.RequestRecord(
            request_id,
            kind,
            method,
            f"/{kind.value}/{urllib.parse.quote(request_id)}?q=%2F1",
            body,
            process,
            self._reactor.seconds(),
            self._configuration_number(),
            customer=self._customer,
        )
        self._history.requests[request_id] = record
        await self._exchange(endpoints, record)
        record.ended_at_s = self._reactor.seconds()
        return record

    async def resolve_addresses(self, endpoints: Endpoints) -> list[str]:
        """Return the addresses that a node now gives to callers.

        The list is empty if the lookup fails.
        """
        self._addresses = []
        await self._fetch_addresses(endpoints)
        return self._addresses

    async def _choose_node(self) -> tuple[Endpoints, str]:
        """Choose a node that the last address lookup returned, or else any."""
        if self._reactor.seconds() >= self._addresses_expire_at_s:
            node, _ = self._random.choice(self._nodes())
            await self._fetch_addresses(node)
        nodes = self._nodes()
        listed = [
            candidate
            for candidate in nodes
            if candidate[0].address(candidate[0].front_port) in self._addresses
        ]
        return self._random.choice(listed or nodes)

    async def _fetch_addresses(self, endpoints: Endpoints) -> None:
        path = fixtures.resolve_target(endpoints.failure_domain)
        url = (
            f"http://{endpoints.address(endpoints.directory_port)}{path}"
        ).encode()
        requesting = self._agent.request(b"GET", url)
        requesting.addTimeout(1.0, self._reactor)
        try:
            response = await requesting
            reading = client.readBody(response)
            reading.addTimeout(1.0, self._reactor)
            body = await reading
        except Exception:
            return
        if response.code == 200:
            self._addresses = fixtures.decode_addresses(body)
            self._addresses_expire_at_s = (
                self._reactor.seconds() + ADDRESS_MAX_AGE_S
            )

    async def _exchange(
        self, endpoints: Endpoints, record: histories.RequestRecord
    ) -> None:
        address = endpoints.address(endpoints.front_port)
        headers = {
            "Host": [fixtures.HOST],
            HEADERS.request_id_out.decode(): [record.request],
            HEADERS.deadline_out.decode(): [str(DEADLINE_MS)],
            "Authorization": [f"Token {fixtures.KEYS[self._customer]}"],
            HEADERS.customer_out.decode(): ["forged"],
        }
        producer: typing.Any = None
        if record.body:
            producer = client.FileBodyProducer(io.BytesIO(record.body))
        requesting = self._agent.request(
            record.method.encode(),
            f"http://{address}{record.target}".encode(),
            http_headers.Headers(headers),
            producer,
        )
        requesting.addTimeout(self._response_timeout_s, self._reactor)
        try:
            response = await requesting
            reading = client.readBody(response)
            reading.addTimeout(self._response_timeout_s, self._reactor)
            record.response_body = await reading
        except Exception:
            record.status = 0
            return
        _store_response(record, response)


def _store_response(
    record: histories.RequestRecord, response: typing.Any
) -> None:
    record.status = response.code
    values = [
        value
        for name in (HEADERS.part_signatures, HEADERS.signature)
        for value in response.headers.getRawHeaders(name, [])
    ]
    record.signatures = tuple(
        part.strip().decode() for value in values for part in value.split(b",")
    )
    missing = response.headers.getRawHeaders(HEADERS.missing_parts, [b"0"])
    record.missing_parts = int(missing[0])


async def is_ready(reactor: typing.Any, endpoints: Endpoints) -> bool:
    """Return whether a node's readiness check succeeds."""
    url = (
        f"http://{endpoints.address(endpoints.ready_port)}/readiness"
    ).encode()
    requesting = client.Agent(reactor, connectTimeout=0.5).request(b"GET", url)
    requesting.addTimeout(1.0, reactor)
    try:
        response = await requesting
        await client.readBody(response)
    except Exception:
        return False
    return response.code == 200


def gather_all(runs: list[typing.Any]) -> "defer.Deferred[typing.Any]":
    """Run coroutines concurrently and wait for all of them."""
    return defer.gatherResults([defer.ensureDeferred(run) for run in runs])
