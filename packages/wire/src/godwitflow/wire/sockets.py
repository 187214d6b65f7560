"""ZeroMQ sockets on Twisted's reactor.

A :class:`ReceiveSocket` is a bound PULL socket for envelopes from all
peers; a :class:`SendSocket` is a PUSH socket to one peer. ZeroMQ's
heartbeats close a connection whose peer stops responding, and ZeroMQ then
reconnects.
"""

import dataclasses
import typing

from twisted.internet import interfaces
import zmq
from zmq.auth import thread
from zope import interface

HEARTBEAT_INTERVAL_MS = 1_000
HEARTBEAT_TIMEOUT_MS = 3_000
SEND_QUEUE_MESSAGES = 2_000
RECEIVE_QUEUE_MESSAGES = 10_000
CLOSE_LINGER_MS = 500
DRAIN_BATCH = 200
MAX_MESSAGE_BYTES = 8_000_000
CURVE_DOMAIN = b"godwitflow"


@dataclasses.dataclass(frozen=True)
class CurveKeys:
    """CURVE keys: this process's key pair and the peers' public keys.

    All are Z85 text. A node uses the same key pair as server and as
    client, so one public key is all that it needs to know of a peer.
    """

    secret: bytes
    public: bytes
    peer_keys: frozenset[bytes]

    @classmethod
    def from_settings(
        cls, secret: str, peers: tuple[str, ...]
    ) -> "CurveKeys | None":
        """Build keys from settings; return None if no secret is set."""
        if not secret:
            return None
        raw = secret.encode()
        peer_keys = frozenset(peer.encode() for peer in peers)
        return cls(raw, zmq.curve_public(raw), peer_keys)


def _set_common_options(socket: zmq.Socket) -> None:
    socket.setsockopt(zmq.LINGER, CLOSE_LINGER_MS)
    socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)


@interface.implementer(interfaces.IReadDescriptor)
class ReceiveSocket:
    """Receives envelopes and passes each to ``handler`` as bytes."""

    def __init__(
        self,
        reactor: typing.Any,
        context: zmq.Context,
        address: str,
        handler: typing.Callable[[bytes], None],
        keys: CurveKeys | None = None,
    ) -> None:
        self.reactor = reactor
        self.handler = handler
        self.socket = context.socket(zmq.PULL)
        _set_common_options(self.socket)
        self.socket.setsockopt(zmq.RCVHWM, RECEIVE_QUEUE_MESSAGES)
        if keys is not None:
            self.socket.setsockopt(zmq.ZAP_DOMAIN, CURVE_DOMAIN)
            self.socket.curve_server = True
            self.socket.curve_secretkey = keys.secret
        self.socket.bind(address)
        self.address = self.socket.getsockopt_string(zmq.LAST_ENDPOINT)
        self._fd = self.socket.getsockopt(zmq.FD)
        self._scheduled_read: typing.Any = None
        self.closed = False
        reactor.addReader(self)
        self._schedule_read()

    def fileno(self) -> int:
        """Return the descriptor that becomes readable on an event."""
        return -1 if self.closed else self._fd

    def logPrefix(self) -> str:
        """Return the name of this reader in Twisted's log."""
        return "receive socket"

    def connectionLost(self, reason: object) -> None:
        """Do nothing: ZeroMQ owns the connections."""

    def doRead(self) -> None:
        """Drain the socket, as its descriptor is edge-triggered."""
        for _ in range(DRAIN_BATCH):
            try:
                raw = self.socket.recv(zmq.NOBLOCK)
            except zmq.Again:
                return
            self.handler(raw)
            if self.closed:
                return
        self._schedule_read()

    def _schedule_read(self) -> None:
        if self._scheduled_read is None:
            self._scheduled_read = self.reactor.callLater(
                0, self._run_scheduled_read
            )

    def _run_scheduled_read(self) -> None:
        self._scheduled_read = None
        if not self.closed:
            self.doRead()

    def close(self) -> None:
        """Stop reading and close the socket."""
        if self.closed:
            return
        self.reactor.removeReader(self)
        self.closed = True
        if self._scheduled_read is not None:
            self._scheduled_read.cancel()
        self.socket.close(linger=0)


class SendSocket:
    """Sends envelopes to one peer without blocking.

    Raises :class:`zmq.ZMQError` if the address is no endpoint.
    """

    def __init__(
        self,
        context: zmq.Context,
        address: str,
        keys: CurveKeys | None = None,
        server_key: bytes = b"",
    ) -> None:
        self.socket = context.socket(zmq.PUSH)
        _set_common_options(self.socket)
        self.socket.setsockopt(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
        self.socket.setsockopt(zmq.RECONNECT_IVL, 50)
        self.socket.setsockopt(zmq.RECONNECT_IVL_MAX, 1_000)
        if keys is not None:
            self.socket.curve_serverkey = server_key or keys.public
            self.socket.curve_publickey = keys.public
            self.socket.curve_secretkey = keys.secret
        try:
            self.socket.connect(address)
        except zmq.ZMQError:
            self.socket.close(linger=0)
            raise

    def send(self, raw: bytes) -> bool:
        """Queue an envelope; return False if the queue is full."""
        try:
            self.socket.send(raw, zmq.NOBLOCK, copy=True)
        except zmq.Again:
            return False
        return True

    def close(self) -> None:
        """Close; queued envelopes are sent for ``CLOSE_LINGER_MS`` at most."""
        self.socket.close()


class CredentialsProvider:
    """Accepts the clients whose CURVE key is known."""

    def __init__(self, peers: frozenset[bytes]) -> None:
        self.peers = peers
        self.refused_count = 0

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a client's key is known; ZeroMQ calls this."""
        known = key in self.peers
        self.refused_count += not known
        return known


def start_authenticator(context: zmq.Context, keys: CurveKeys) -> typing.Any:
    """Start a thread that authenticates a context's clients by key."""

    authenticator = thread.ThreadAuthenticator(context)
    authenticator.start()
    provider = CredentialsProvider(keys.peer_keys | {keys.public})
    authenticator.configure_curve_callback(
        domain=CURVE_DOMAIN.decode(), credentials_provider=provider
    )
    return authenticator
