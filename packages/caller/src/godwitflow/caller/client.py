"""Client for callers: address lookup, failover and safe resends."""

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
# Used to bound the wait for an answer if a request has no deadline.
DEFAULT_DEADLINE_MS = 5_000.0
CONNECT_TIMEOUT_S = 1.0
MAX_ATTEMPTS = 3
MIN_RETRY_MS = 20.0

Result = answers.Answer | answers.Refusal

_NOT_SENT = (
    net_error.ConnectError,
    net_error.ConnectionRefusedError,
    _newclient.RequestNotSent,
)


class _AddressReply(msgspec.Struct):
    addresses: tuple[str, ...]
    max_age_ms: float


_result_decoder = msgspec.json.Decoder(answers.Answer | answers.Refusal)
_address_decoder = msgspec.json.Decoder(_AddressReply)


@dataclasses.dataclass(frozen=True)
class Request:
    """A request to a service; ``payload`` is any JSON value.

    A deadline of 0 means the default of the priority. For a request that
    is not idempotent, ``shard_key`` selects its shard and ``request_key``
    identifies it over resends; a random key is used if none is given.
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


def new_request_key() -> ids.RequestKey:
    """Return a new, globally unique request key."""
    return ids.RequestKey(uuid.uuid4().hex)


class Caller:
    """Sends requests to the addresses from the nodes' address replies.

    ``entry_points`` are base URLs known in advance; they are asked for
    addresses at first and when no cached address responds. A request that
    is not idempotent keeps its key over all resends, so it runs at most
    once.
    """

    def __init__(
        self,
        reactor: typing.Any,
        entry_points: tuple[str, ...],
        random_source: random.Random | None = None,
    ) -> None:
        self.reactor = reactor
        self.entry_points = entry_points
        self.random = random_source or random.Random()
        self.resend_count = 0
        self._cached_addresses: tuple[str, ...] = ()
        self._expires_at_s = 0.0
        self.pool = web_client.HTTPConnectionPool(reactor)
        # A resend by the pool would hide that an answer was lost.
        self.pool.retryAutomatically = False
        agent = web_client.Agent(
            reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=self.pool
        )
        self.http = treq_client.HTTPClient(typing.cast(typing.Any, agent))

    async def close(self) -> None:
        """Close all idle connections."""
        await self.pool.closeCachedConnections()

    # Addresses --------------------------------------------------------

    async def addresses(self) -> tuple[str, ...]:
        """Return the addresses to use, looking them up if they have expired.

        Expired addresses are returned if the lookup fails. Raises
        :class:`errors.NoAddressError` if there are none.
        """
        if (
            self._cached_addresses
            and self.reactor.seconds() < self._expires_at_s
        ):
            return self._cached_addresses
        candidates = list(self._cached_addresses) + list(self.entry_points)
        for address in candidates:
            reply = await self._fetch_addresses(address)
            if reply is not None and reply.addresses:
                self._cached_addresses = reply.addresses
                max_age_s = reply.max_age_ms / MS_PER_S
                self._expires_at_s = self.reactor.seconds() + max_age_s
                return self._cached_addresses
        if self._cached_addresses:
            return self._cached_addresses
        raise errors.NoAddressError("no address of the system answered")

    async def _fetch_addresses(self, address: str) -> _AddressReply | None:
        exchange = defer.ensureDeferred(
            self._http_request("GET", f"{address}/v1/addresses", None, {})
        )
        exchange.addTimeout(ADDRESS_TIMEOUT_MS / MS_PER_S, self.reactor)
        try:
            code, body = await exchange
            return _address_decoder.decode(body) if code == 200 else None
        except Exception:
            return None

    async def _http_request(
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

    async def send_request(self, request: Request) -> Result:
        """Send a request and return its answer or refusal.

        Raises :class:`errors.OutcomeUnknownError` if a request that is
        not idempotent was sent and its answer was lost. Sending it again
        with the same key is safe and tells whether it has run. Raises
        :class:`errors.NoAddressError` if no address responded.
        """
        key = request.request_key
        if not request.idempotent and key is None:
            key = new_request_key()
        request = dataclasses.replace(request, request_key=key)
        last_error: Exception | None = None
        for attempt in range(MAX_ATTEMPTS):
            address = await self._choose_address(attempt)
            try:
                result = await self._send(address, request)
            except Exception as error:
                last_error = error
                self._forget_address(address)
                sent = not isinstance(error, _NOT_SENT)
                if sent and not request.idempotent:
                    raise errors.OutcomeUnknownError(
                        f"request key {key}: {error!r}"
                    ) from error
                self.resend_count += 1
                continue
            if not _is_retryable(result) or attempt + 1 == MAX_ATTEMPTS:
                return result
            self.resend_count += 1
            await self._wait_before_retry(result)
        raise errors.NoAddressError(f"no address answered: {last_error!r}")

    async def _choose_address(self, attempt: int) -> str:
        addresses = await self.addresses()
        return addresses[attempt % len(addresses)] if attempt else addresses[0]

    def _forget_address(self, address: str) -> None:
        self._cached_addresses = tuple(
            item for item in self._cached_addresses if item != address
        )
        if not self._cached_addresses:
            self._expires_at_s = 0.0

    async def _wait_before_retry(self, result: Result) -> None:
        wait_ms = MIN_RETRY_MS
        if isinstance(result, answers.Refusal) and result.retry_after_ms:
            wait_ms = max(wait_ms, result.retry_after_ms)
        jitter = self.random.uniform(1.0, 1.3)
        seconds = wait_ms * jitter / MS_PER_S
        await task.deferLater(self.reactor, seconds, lambda: None)

    async def _send(self, address: str, request: Request) -> Result:
        headers = {"Content-Type": "application/json"}
        if request.traceparent:
            headers["traceparent"] = request.traceparent
        body = _encode(request)
        deadline_ms = request.deadline_ms or DEFAULT_DEADLINE_MS
        exchange = defer.ensureDeferred(
            self._http_request("POST", f"{address}/v1/query", body, headers)
        )
        timeout_s = (deadline_ms + ANSWER_GRACE_MS) / MS_PER_S
        exchange.addTimeout(timeout_s, self.reactor)
        _, content = await exchange
        return _result_decoder.decode(content)


def _is_retryable(result: Result) -> bool:
    """Return whether to send a refused request to another address."""
    if isinstance(result, answers.Answer):
        return False
    retryable = (
        answers.RefusalCode.NOT_READY,
        answers.RefusalCode.LEAVING,
    )
    return result.code in retryable and result.ran is answers.RunStatus.NOT_RUN


def _encode(request: Request) -> bytes:
    body: dict[str, typing.Any] = {
        "service": request.service,
        "payload": request.payload,
        "priority": request.priority,
        "deadline_ms": request.deadline_ms,
        "least_coverage": request.least_coverage,
        "idempotent": request.idempotent,
    }
    if request.request_key is not None:
        body["request_key"] = request.request_key
    if request.shard_key is not None:
        body["shard_key"] = request.shard_key
    return msgspec.json.encode(body)
