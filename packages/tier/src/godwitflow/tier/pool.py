"""Connections of this node to one address."""

import typing

from twisted.internet import defer
from twisted.internet import protocol

from godwitflow.http1 import upstreams

CONNECT_TIMEOUT_S = 1.0
MS_PER_S = 1_000.0


class _Factory(protocol.ClientFactory):
    """Makes the one connection that it was given."""

    noisy = False

    def __init__(self, connection: upstreams.UpstreamConnection) -> None:
        self.connection = connection

    def buildProtocol(self, addr: typing.Any) -> typing.Any:  # noqa: N802
        """Return the connection's protocol."""
        return self.connection

    def clientConnectionFailed(  # noqa: N802
        self, connector: typing.Any, reason: typing.Any
    ) -> None:
        """Report that no connection was made."""
        self.connection.connect_failed()


class ConnectionPool:
    """At most ``limit`` connections, the idle ones used again.

    ``on_free`` is called when a place for a call becomes free.
    """

    def __init__(
        self,
        reactor: typing.Any,
        address: str,
        limit: int,
        id_header: bytes,
        now_ms: typing.Callable[[], float],
        on_free: typing.Callable[[], None],
        keep_alive_probes: bool = False,
    ) -> None:
        self.id_header = id_header
        self.limit = limit
        self.opened = 0
        self.now_ms = now_ms
        self._reactor = reactor
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._on_free = on_free
        self._probes = keep_alive_probes
        self._idle: list[upstreams.UpstreamConnection] = []
        self._all: set[upstreams.UpstreamConnection] = set()

    @property
    def has_room(self) -> bool:
        """Whether a call could start now."""
        return len(self._all) - len(self._idle) < self.limit

    def start(
        self, call: upstreams.Call
    ) -> upstreams.UpstreamConnection | None:
        """Send a call on an idle connection or a new one."""
        now_ms = self.now_ms()
        while self._idle:
            connection = self._idle.pop()
            if connection.usable(now_ms):
                connection.send(call)
                return connection
            connection.close()
        if len(self._all) >= self.limit:
            return None
        connection = upstreams.UpstreamConnection(self, self._probes)
        self._all.add(connection)
        self.opened += 1
        connection.send(call)
        self._reactor.connectTCP(
            self._host, self._port, _Factory(connection), CONNECT_TIMEOUT_S
        )
        return connection

    def on_idle(self, connection: upstreams.UpstreamConnection) -> None:
        """Take back a connection."""
        if len(self._all) > self.limit:
            connection.close()
            return
        self._idle.append(connection)
        self._on_free()

    def on_closed(self, connection: upstreams.UpstreamConnection) -> None:
        """Forget a connection."""
        self._all.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        self._on_free()

    def close_idle(self) -> None:
        """Close every connection that carries nothing."""
        for connection in list(self._idle):
            connection.close()

    def close(self) -> None:
        """Close every connection."""
        for connection in list(self._all):
            connection.close()


async def send_request(
    reactor: typing.Any, places: ConnectionPool, data: bytes, timeout_ms: float
) -> upstreams.Outcome:
    """Send one request and wait for its outcome, up to a timeout."""
    done: defer.Deferred[upstreams.Outcome] = defer.Deferred()
    call = upstreams.Call(data, None, False, done.callback)
    connection = places.start(call)
    if connection is None:
        return upstreams.Failed(upstreams.FailureReason.NOT_CONNECTED, False)
    timer = reactor.callLater(timeout_ms / MS_PER_S, connection.cancel)
    outcome = await done
    if timer.active():
        timer.cancel()
    return outcome
