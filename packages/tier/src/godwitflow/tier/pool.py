"""A pool of HTTP/1.1 client connections to one address."""

import typing

from twisted.internet import defer
from twisted.internet import protocol

from godwitflow.http1 import byte_count
from godwitflow.http1 import receive_memory as memory_limits
from godwitflow.http1 import upstreams

CONNECT_TIMEOUT_S = 1.0
MS_PER_S = 1_000.0


class _SingleConnectionFactory(protocol.ClientFactory):
    """Passes the connection that it was created with to the connector."""

    noisy = False

    def __init__(self, connection: upstreams.UpstreamConnection) -> None:
        self.connection = connection

    def buildProtocol(self, addr: typing.Any) -> typing.Any:  # noqa: N802
        """Return the connection, which is a Twisted protocol."""
        return self.connection

    def clientConnectionFailed(  # noqa: N802
        self, connector: typing.Any, reason: typing.Any
    ) -> None:
        """Notify the connection that it could not be established."""
        self.connection.connect_failed()


class ConnectionPool:
    """Holds at most ``max_connections`` connections and reuses idle ones.

    Each connection carries one call at a time. ``on_capacity`` is called
    when a connection becomes idle or closes, so that another call can be
    sent. ``id_header`` is the lower-case name of the header in which
    responses echo the request id. ``bytes_carried`` and
    ``receive_memory`` may be shared by pools.
    """

    def __init__(
        self,
        reactor: typing.Any,
        address: str,
        max_connections: int,
        id_header: bytes,
        now_ms: typing.Callable[[], float],
        on_capacity: typing.Callable[[], None],
        tcp_keepalive: bool = False,
        bytes_carried: byte_count.ByteCount | None = None,
        receive_memory: memory_limits.ReceiveMemory | None = None,
    ) -> None:
        self.receive_memory = receive_memory or memory_limits.ReceiveMemory()
        self.bytes_carried = bytes_carried or byte_count.ByteCount()
        self.id_header = id_header
        self.max_connections = max_connections
        self.opened_count = 0
        self.now_ms = now_ms
        self._reactor = reactor
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._on_capacity = on_capacity
        self._tcp_keepalive = tcp_keepalive
        self._idle: list[upstreams.UpstreamConnection] = []
        self._connections: set[upstreams.UpstreamConnection] = set()

    @property
    def has_capacity(self) -> bool:
        """Whether a call can be sent now."""
        return len(self._connections) - len(self._idle) < self.max_connections

    def try_send(
        self, call: upstreams.Call
    ) -> upstreams.UpstreamConnection | None:
        """Send a call on an idle or a new connection.

        Returns None if all connections are busy and no more are allowed.
        """
        now_ms = self.now_ms()
        while self._idle:
            connection = self._idle.pop()
            if connection.usable(now_ms):
                connection.send(call)
                return connection
            connection.close()
        if len(self._connections) >= self.max_connections:
            return None
        connection = upstreams.UpstreamConnection(self, self._tcp_keepalive)
        self._connections.add(connection)
        self.opened_count += 1
        connection.send(call)
        self._reactor.connectTCP(
            self._host,
            self._port,
            _SingleConnectionFactory(connection),
            CONNECT_TIMEOUT_S,
        )
        return connection

    def on_idle(self, connection: upstreams.UpstreamConnection) -> None:
        """Return a connection to the pool, or close it if over the limit."""
        if len(self._connections) > self.max_connections:
            connection.close()
            return
        self._idle.append(connection)
        self._on_capacity()

    def on_closed(self, connection: upstreams.UpstreamConnection) -> None:
        """Remove a closed connection from the pool."""
        self._connections.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        self._on_capacity()

    def close_idle(self) -> None:
        """Close every idle connection."""
        for connection in list(self._idle):
            connection.close()

    def close(self) -> None:
        """Close every connection."""
        for connection in list(self._connections):
            connection.close()


async def send_request(
    reactor: typing.Any,
    connection_pool: ConnectionPool,
    data: bytes,
    timeout_ms: float,
) -> upstreams.Outcome:
    """Send one serialized request and return its outcome.

    The call is cancelled after ``timeout_ms``. If the pool has no
    capacity, the outcome is ``NOT_CONNECTED``.
    """
    done: defer.Deferred[upstreams.Outcome] = defer.Deferred()
    call = upstreams.Call(data, None, False, done.callback)
    connection = connection_pool.try_send(call)
    if connection is None:
        return upstreams.Failed(upstreams.FailureReason.NOT_CONNECTED, False)
    timer = reactor.callLater(timeout_ms / MS_PER_S, connection.cancel)
    outcome = await done
    if timer.active():
        timer.cancel()
    return outcome
