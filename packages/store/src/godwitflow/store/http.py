"""HTTP client of the object API, in the form that the fake platform serves.

``GET /objects/NAME`` returns the value with its version in the header
``Object-Version``; ``PUT`` with ``If-Match: VERSION`` is conditional;
``GET`` with ``after`` and ``wait_ms`` watches; ``GET /objects?prefix=``
lists names.
"""

import re
import typing
import urllib.parse

import msgspec
import treq
from treq import client as treq_client
from twisted.internet import defer
from twisted.internet import error as net_error
from twisted.web import _newclient
from twisted.web import client as web_client

from godwitflow.model import errors
from godwitflow.store import versioned_store

MS_PER_S = 1_000.0
CALL_TIMEOUT_MS = 2_000.0
CONNECT_TIMEOUT_S = 1.0
VERSION_HEADER = "Object-Version"
_VERSION = re.compile("[0-9]{1,19}")

_NOT_SENT = (
    net_error.ConnectError,
    net_error.ConnectionRefusedError,
    net_error.TimeoutError,
    _newclient.RequestNotSent,
)


class HttpStore:
    """Client of the store at a base URL such as ``http://10.0.0.2:7000``.

    Implements :class:`godwitflow.store.versioned_store.VersionedStore`.
    ``calls`` counts the requests made.
    """

    def __init__(self, reactor: typing.Any, base_url: str) -> None:
        self.reactor = reactor
        self.base_url = base_url.rstrip("/")
        self.calls = 0
        self._pending: set[defer.Deferred] = set()
        self.pool = web_client.HTTPConnectionPool(reactor)
        self.pool.maxPersistentPerHost = 16
        # If the pool repeated a write, its lost response would go unnoticed.
        self.pool.retryAutomatically = False
        agent = web_client.Agent(
            reactor, connectTimeout=CONNECT_TIMEOUT_S, pool=self.pool
        )
        self.client = treq_client.HTTPClient(typing.cast(typing.Any, agent))

    async def close(self) -> None:
        """Cancel all pending calls and close the idle connections."""
        for sending in list(self._pending):
            sending.cancel()
        await self.pool.closeCachedConnections()

    async def _call(
        self,
        method: str,
        path: str,
        timeout_ms: float,
        **options: typing.Any,
    ) -> tuple[int, typing.Any, bytes]:
        self.calls += 1
        sending = defer.ensureDeferred(self._exchange(method, path, options))
        sending.addTimeout(timeout_ms / MS_PER_S, self.reactor)
        self._pending.add(sending)
        try:
            return await sending
        except _NOT_SENT as error:
            raise errors.StoreUnavailableError(
                f"the store cannot be reached, nothing was applied: {error!r}"
            ) from error
        except Exception as error:
            if method == "PUT":
                raise errors.StoreOutcomeUnknownError(
                    f"the store's response was lost: {error!r}"
                ) from error
            raise errors.StoreUnavailableError(
                f"the store cannot be reached, nothing was applied: {error!r}"
            ) from error
        finally:
            self._pending.discard(sending)

    async def _exchange(
        self, method: str, path: str, options: dict[str, typing.Any]
    ) -> tuple[int, typing.Any, bytes]:
        url = self.base_url + path
        response = await self.client.request(method, url, **options)
        body = await treq.content(response)
        return response.code, response.headers, body

    async def get(self, name: str) -> versioned_store.VersionedValue:
        """Return an object; raises ObjectNotFoundError."""
        path = "/objects/" + urllib.parse.quote(name)
        code, headers, body = await self._call("GET", path, CALL_TIMEOUT_MS)
        return _versioned_value(name, code, headers, body)

    async def put(self, name: str, value: bytes, version: int) -> int:
        """Write the object if it has ``version``; return the new version."""
        if len(value) > versioned_store.MAX_VALUE_BYTES:
            raise errors.ValueTooLargeError(f"{name}: {len(value)} bytes")
        path = "/objects/" + urllib.parse.quote(name)
        code, headers, _ = await self._call(
            "PUT",
            path,
            CALL_TIMEOUT_MS,
            data=value,
            headers={"If-Match": str(version)},
        )
        if code == 412:
            raise errors.StoreConflictError(name)
        if code == 413:
            raise errors.ValueTooLargeError(name)
        if code in (429, 503):
            raise errors.StoreUnavailableError(f"{name}: status {code}")
        if code != 200:
            raise errors.StoreOutcomeUnknownError(f"{name}: status {code}")
        written_version = _version_of(headers)
        if written_version is None:
            raise errors.StoreOutcomeUnknownError(f"{name}: malformed version")
        return written_version

    async def watch(
        self, name: str, after: int, wait_ms: float
    ) -> versioned_store.VersionedValue:
        """Return the object once it is newer than ``after``, or on timeout."""
        query = f"?after={after}&wait_ms={wait_ms:.0f}"
        path = "/objects/" + urllib.parse.quote(name) + query
        timeout_ms = wait_ms + CALL_TIMEOUT_MS
        code, headers, body = await self._call("GET", path, timeout_ms)
        return _versioned_value(name, code, headers, body)

    async def list_names(self, prefix: str) -> list[str]:
        """List the names that start with a prefix."""
        path = "/objects?prefix=" + urllib.parse.quote(prefix, safe="")
        code, _, body = await self._call("GET", path, CALL_TIMEOUT_MS)
        if code != 200:
            raise errors.StoreUnavailableError(f"list: status {code}")
        try:
            return msgspec.json.decode(body, type=list[str])
        except (ValueError, RecursionError) as error:
            raise errors.StoreUnavailableError(
                f"the list of names is malformed: {error}"
            ) from error


def _version_of(headers: typing.Any) -> int | None:
    """Return the version in the headers; None if it is malformed."""
    values = headers.getRawHeaders(VERSION_HEADER) or ["0"]
    return int(values[0]) if _VERSION.fullmatch(values[0]) else None


def _versioned_value(
    name: str, code: int, headers: typing.Any, body: bytes
) -> versioned_store.VersionedValue:
    if code == 404:
        raise errors.ObjectNotFoundError(name)
    if code != 200:
        raise errors.StoreUnavailableError(f"{name}: status {code}")
    version = _version_of(headers)
    if version is None:
        raise errors.StoreUnavailableError(f"{name}: malformed version")
    return versioned_store.VersionedValue(body, version)
