"""ZeroMQ sockets under Twisted's reactor.

An inlet is a bound PULL socket that takes envelopes from all peers; an
outlet is a PUSH socket to one peer. ZeroMQ's own heartbeats close a
connection that has gone silent, and it then connects anew.
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
    """CURVE keys: this process's own pair and the known peers' keys.

    All are Z85 text. A node presents one pair both as server and as
    client, so a peer's public key is all that a node must know.
    """

    secret: bytes
    public: bytes
    peers: frozenset[bytes]

    @classmethod
    def from_settings(
        cls, secret: str, peers: tuple[str, ...]
    ) -> "CurveKeys | None":
        """Build keys from settings; None where no secret is set."""
        if not secret:
            return None
        raw = secret.encode()
        known = frozenset(peer.encode() for peer in peers)
        return cls(raw, zmq.curve_public(raw), known)


def _set_common(socket: zmq.Socket) -> None:
    socket.setsockopt(zmq.LINGER, CLOSE_LINGER_MS)
    socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
    socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
    socket.setsockopt(zmq.MAXMSGSIZE, MAX_MESSAGE_BYTES)


@interface.implementer(interfaces.IReadDescriptor)
class ReceiveSocket:
    """Takes envelopes and hands each to ``receive`` as bytes."""

    def __init__(
        self,
        reactor: typing.Any,
        context: zmq.Context,
        address: str,
        receive: typing.Callable[[bytes], None],
        keys: CurveKeys | None = None,
    ) -> None:
        self.reactor = reactor
        self.receive = receive
        self.socket = context.socket(zmq.PULL)
        _set_common(self.socket)
        self.socket.setsockopt(zmq.RCVHWM, RECEIVE_QUEUE_MESSAGES)
        if keys is not None:
            self.socket.setsockopt(zmq.ZAP_DOMAIN, CURVE_DOMAIN)
            self.socket.curve_server = True
            self.socket.curve_secretkey = keys.secret
        self.socket.bind(address)
        self.address = self.socket.getsockopt_string(zmq.LAST_ENDPOINT)
        self._fd = self.socket.getsockopt(zmq.FD)
        self._again: typing.Any = None
        self.closed = False
        reactor.addReader(self)
        self._schedule()

    def fileno(self) -> int:
        """Return the descriptor that turns readable on an event."""
        return -1 if self.closed else self._fd

    def logPrefix(self) -> str:
        """Name this reader in Twisted's own log."""
        return "inlet"

    def connectionLost(self, reason: object) -> None:
        """Do nothing: ZeroMQ owns the connections."""

    def doRead(self) -> None:
        """Drain the socket: its descriptor is edge-triggered."""
        for _ in range(DRAIN_BATCH):
            try:
                raw = self.socket.recv(zmq.NOBLOCK)
            except zmq.Again:
                return
            self.receive(raw)
            if self.closed:
                return
        self._schedule()

    def _schedule(self) -> None:
        if self._again is None:
            self._again = self.reactor.callLater(0, self._read_again)

    def _read_again(self) -> None:
        self._again = None
        if not self.closed:
            self.doRead()

    def close(self) -> None:
        """Stop reading and close the socket."""
        if self.closed:
            return
        self.reactor.removeReader(self)
        self.closed = True
        if self._again is not None:
            self._again.cancel()
        self.socket.close(linger=0)


class SendSocket:
    """Sends envelopes to one peer; never blocks."""

    def __init__(
        self,
        context: zmq.Context,
        address: str,
        keys: CurveKeys | None = None,
        server_key: bytes = b"",
    ) -> None:
        self.socket = context.socket(zmq.PUSH)
        _set_common(self.socket)
        self.socket.setsockopt(zmq.SNDHWM, SEND_QUEUE_MESSAGES)
        self.socket.setsockopt(zmq.RECONNECT_IVL, 50)
        self.socket.setsockopt(zmq.RECONNECT_IVL_MAX, 1_000)
        if keys is not None:
            self.socket.curve_serverkey = server_key or keys.public
            self.socket.curve_publickey = keys.public
            self.socket.curve_secretkey = keys.secret
        self.socket.connect(address)

    def send(self, raw: bytes) -> bool:
        """Queue an envelope; False where the queue is full."""
        try:
            self.socket.send(raw, zmq.NOBLOCK, copy=True)
        except zmq.Again:
            return False
        return True

    def close(self) -> None:
        """Close once queued envelopes are sent or the linger is over."""
        self.socket.close()


class KeyCheck:
    """Answers ZeroMQ's question whether a client key is known."""

    def __init__(self, peers: frozenset[bytes]) -> None:
        self.peers = peers
        self.refused = 0

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a peer's key is one of the known ones."""
        known = key in self.peers
        self.refused += not known
        return known


def start_authenticator(context: zmq.Context, keys: CurveKeys) -> typing.Any:
    """Start the checker of client keys on a context's own thread."""

    authenticator = thread.ThreadAuthenticator(context)
    authenticator.start()
    check = KeyCheck(keys.peers | {keys.public})
    authenticator.configure_curve_callback(
        domain=CURVE_DOMAIN.decode(), credentials_provider=check
    )
    return authenticator
