"""A caller: keeps the address answer, fails over, resends safely."""

import dataclasses
import random
import typing
import uuid

import msgspec
import treq
from treq import client as treq_client
from twisted.internet import defer
from twisted.internet import error as net_error
from twisted.internet import task
from twisted.web import _newclient
from twisted.web import client as web_client

from godwitflow.model import answers
from godwitflow.model import errors
from godwitflow.model import ids

MS_PER_S = 1_000.0
ADDRESS_TIMEOUT_MS = 1_000.0
ANSWER_GRACE_MS = 1_000.0
DEFAULT_DEADLINE_MS = 5_000.0
CONNECT_TIMEOUT_S = 1.0
MAX_TRIES = 3
MIN_RETRY_MS = 20.0

Result = answers.Answer | answers.Refusal

_NOT_SENT = (
    net_error.ConnectError,
    net_error.ConnectionRefusedError,
    _newclient.RequestNotSent,
)


class _Addresses(msgspec.Struct):
    addresses: tuple[str, ...]
    max_age_ms: float


_result_decoder = msgspec.json.Decoder(answers.Answer | answers.Refusal)
_address_decoder = msgspec.json.Decoder(_Addresses)


@dataclasses.dataclass(frozen=True)
class Ask:
    """One request as the caller states it; ``payload`` is any JSON value.

    For a request that is not idempotent, ``shard_key`` picks its shard
    and ``request_key`` names it; a key is drawn where none is given.
    """

    service: str
    payload: typing.Any
    priority: str = ""
    deadline_ms: float = 0.0
    least_coverage: float = 0.0
    idempotent: bool = True
    request_key: str | None = None
    shard_key: str | None = None
    traceparent: str = ""


def new_key() -> ids.RequestKey:
    """Draw a request key that nobody else draws."""
    return ids.RequestKey(uuid.uuid4().hex)


class Caller:
    """Sends requests to the addresses that the system names.

    ``entry_points`` are addresses known beforehand, asked first and when
    no other answers. A request that is not idempotent keeps its key over
    all resends, so the system runs it at most once.
    """

    def __init__(
        self,
        reactor: typing.Any,
        entry_points: tuple[str, ...],
        source: random.Random | None = None,
    ) -> None:
        self.reactor = reactor
        self.entry_points = entry_points
        self.random = source or random.Random()
        self.resends = 0
        self._known: tuple[str, ...] = ()
        self._until_s = 0.0
        self.pool = web_client.HTTPConnectionPool(reactor)
        # A resend of a request by the pool would hide a lost answer.
        self.pool.retryAutomatically = False
        agent = web_client.Agent(
            reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=self.pool
        )
        self.http = treq_client.HTTPClient(typing.cast(typing.Any, agent))

    async def close(self) -> None:
        """Close the idle connections."""
        await self.pool.closeCachedConnections()

    # Addresses --------------------------------------------------------

    async def addresses(self) -> tuple[str, ...]:
        """Return the addresses to use, asking again once they are old."""
        if self._known and self.reactor.seconds() < self._until_s:
            return self._known
        candidates = list(self._known) + list(self.entry_points)
        for address in candidates:
            found = await self._ask_addresses(address)
            if found is not None and found.addresses:
                self._known = found.addresses
                age_s = found.max_age_ms / MS_PER_S
                self._until_s = self.reactor.seconds() + age_s
                return self._known
        if self._known:
            return self._known
        raise errors.NoAddressError("no address of the system answered")

    async def _ask_addresses(self, address: str) -> _Addresses | None:
        sending = defer.ensureDeferred(
            self._exchange("GET", f"{address}/v1/addresses", None, {})
        )
        sending.addTimeout(ADDRESS_TIMEOUT_MS / MS_PER_S, self.reactor)
        try:
            code, body = await sending
            return _address_decoder.decode(body) if code == 200 else None
        except Exception:
            return None

    async def _exchange(
        self,
        method: str,
        url: str,
        body: bytes | None,
        headers: dict[str, str],
    ) -> tuple[int, bytes]:
        response = await self.http.request(
            method, url, data=body, headers=typing.cast(typing.Any, headers)
        )
        return response.code, await treq.content(response)

    # Requests ---------------------------------------------------------

    async def ask(self, ask: Ask) -> Result:
        """Send a request and return its answer or refusal.

        Raises :class:`errors.OutcomeUnknownError` where a request that
        is not idempotent was sent and its answer was lost; asking again
        with the same key is safe and says what became of it.
        """
        key = ask.request_key
        if not ask.idempotent and key is None:
            key = new_key()
        ask = dataclasses.replace(ask, request_key=key)
        last: Exception | None = None
        for attempt in range(MAX_TRIES):
            address = await self._pick(attempt)
            try:
                result = await self._send(address, ask)
            except Exception as error:
                last = error
                self._forget(address)
                sent = not isinstance(error, _NOT_SENT)
                if sent and not ask.idempotent:
                    raise errors.OutcomeUnknownError(
                        f"request key {key}: {error!r}"
                    ) from error
                self.resends += 1
                continue
            if not _moves_on(result) or attempt + 1 == MAX_TRIES:
                return result
            self.resends += 1
            await self._wait(result)
        raise errors.NoAddressError(f"no address answered: {last!r}")

    async def _pick(self, attempt: int) -> str:
        known = await self.addresses()
        return known[attempt % len(known)] if attempt else known[0]

    def _forget(self, address: str) -> None:
        self._known = tuple(item for item in self._known if item != address)
        if not self._known:
            self._until_s = 0.0

    async def _wait(self, result: Result) -> None:
        wait_ms = MIN_RETRY_MS
        if isinstance(result, answers.Refusal) and result.retry_after_ms:
            wait_ms = max(wait_ms, result.retry_after_ms)
        spread = self.random.uniform(1.0, 1.3)
        seconds = wait_ms * spread / MS_PER_S
        await task.deferLater(self.reactor, seconds, lambda: None)

    async def _send(self, address: str, ask: Ask) -> Result:
        headers = {"Content-Type": "application/json"}
        if ask.traceparent:
            headers["traceparent"] = ask.traceparent
        body = _encode(ask)
        deadline_ms = ask.deadline_ms or DEFAULT_DEADLINE_MS
        sending = defer.ensureDeferred(
            self._exchange("POST", f"{address}/v1/query", body, headers)
        )
        timeout_s = (deadline_ms + ANSWER_GRACE_MS) / MS_PER_S
        sending.addTimeout(timeout_s, self.reactor)
        _, content = await sending
        return _result_decoder.decode(content)


def _moves_on(result: Result) -> bool:
    """Tell whether another address may answer what this one refused."""
    if isinstance(result, answers.Answer):
        return False
    elsewhere = (
        answers.RefusalCode.NOT_READY,
        answers.RefusalCode.LEAVING,
    )
    return result.code in elsewhere and result.ran is answers.RunStatus.NOT_RUN


def _encode(ask: Ask) -> bytes:
    body: dict[str, typing.Any] = {
        "service": ask.service,
        "payload": ask.payload,
        "priority": ask.priority,
        "deadline_ms": ask.deadline_ms,
        "least_coverage": ask.least_coverage,
        "idempotent": ask.idempotent,
    }
    if ask.request_key is not None:
        body["request_key"] = ask.request_key
    if ask.shard_key is not None:
        body["shard_key"] = ask.shard_key
    return msgspec.json.encode(body)
