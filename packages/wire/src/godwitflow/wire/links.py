"""Sends messages to peers, in batches, and receives theirs."""

import collections
import typing

import zmq

from godwitflow.model import errors
from godwitflow.model import ids
from godwitflow.wire import codec
from godwitflow.wire import messages
from godwitflow.wire import sockets

IDLE_CLOSE_MS = 60_000.0
MAX_BATCH_MESSAGES = 1_000

Handler = typing.Callable[[codec.Header, list[messages.Message]], None]


class Counters:
    """Counts of messages and bytes sent, received and dropped."""

    def __init__(self) -> None:
        self.sent = 0
        self.received = 0
        self.bytes_sent = 0
        self.bytes_received = 0
        self.unsent = 0
        self.malformed = 0
        self.other_version = 0


class Links:
    """Owns all sockets of a process for messages between nodes.

    ``handler`` is called with the header and messages of each envelope
    and must not raise. The messages queued for one peer within one
    iteration of the reactor are sent as one ZeroMQ message, or as several
    if there are more than ``MAX_BATCH_MESSAGES``.
    """

    def __init__(
        self,
        reactor: typing.Any,
        context: zmq.Context,
        node: ids.NodeId,
        incarnation: int,
        address: str,
        handler: Handler,
        keys: sockets.CurveKeys | None = None,
    ) -> None:
        self.reactor = reactor
        self.context = context
        self.keys = keys
        self.handler = handler
        self.counters = Counters()
        self.receive_socket = sockets.ReceiveSocket(
            reactor, context, address, self._receive, keys
        )
        self.header = codec.Header(
            codec.VERSION, node, incarnation, self.receive_socket.address
        )
        self._send_sockets: dict[str, sockets.SendSocket] = {}
        self._used_at_ms: dict[str, float] = {}
        self._outboxes: dict[str, list[messages.Message]] = (
            collections.defaultdict(list)
        )
        self._flush_call: typing.Any = None
        self.closed = False

    def set_incarnation(self, incarnation: int) -> None:
        """Set the incarnation for the headers of later envelopes."""
        self.header = codec.Header(
            codec.VERSION,
            self.header.sender,
            incarnation,
            self.receive_socket.address,
        )

    def send(self, address: str, message: messages.Message) -> None:
        """Queue a message for the peer at an inner address."""
        if self.closed:
            return
        self._outboxes[address].append(message)
        if self._flush_call is None:
            self._flush_call = self.reactor.callLater(0, self.flush)

    def flush(self) -> None:
        """Send all queued messages."""
        self._flush_call = None
        outboxes, self._outboxes = (
            self._outboxes,
            collections.defaultdict(list),
        )
        for address, batch in outboxes.items():
            for start in range(0, len(batch), MAX_BATCH_MESSAGES):
                self._send_batch(
                    address, batch[start : start + MAX_BATCH_MESSAGES]
                )

    def _send_batch(self, address: str, batch: list[messages.Message]) -> None:
        raw = codec.encode(self.header, batch)
        try:
            send_socket = self._send_socket(address)
        except zmq.ZMQError:  # no endpoint; it must not hold up other peers
            self.counters.unsent += len(batch)
            return
        if send_socket.send(raw):
            self.counters.sent += len(batch)
            self.counters.bytes_sent += len(raw)
        else:
            self.counters.unsent += len(batch)

    def _send_socket(self, address: str) -> sockets.SendSocket:
        send_socket = self._send_sockets.get(address)
        if send_socket is None:
            send_socket = sockets.SendSocket(self.context, address, self.keys)
            self._send_sockets[address] = send_socket
        self._used_at_ms[address] = self.reactor.seconds() * 1_000.0
        return send_socket

    def close_idle(self, now_ms: float) -> None:
        """Close send sockets unused for more than ``IDLE_CLOSE_MS``."""
        for address, used_at_ms in list(self._used_at_ms.items()):
            if now_ms - used_at_ms > IDLE_CLOSE_MS:
                self._send_sockets.pop(address).close()
                del self._used_at_ms[address]

    def _receive(self, raw: bytes) -> None:
        try:
            envelope = codec.decode(raw)
        except errors.CodecError:
            self.counters.malformed += 1
            return
        if envelope.header.version < 1:
            self.counters.other_version += 1
            return
        self.counters.received += len(envelope.messages)
        self.counters.bytes_received += len(raw)
        self.counters.malformed += envelope.rejected
        self.handler(envelope.header, envelope.messages)

    def close(self) -> None:
        """Flush, then close every socket."""
        if self.closed:
            return
        if self._flush_call is not None:
            self._flush_call.cancel()
        self.flush()
        self.closed = True
        self.receive_socket.close()
        for send_socket in self._send_sockets.values():
            send_socket.close()
        self._send_sockets.clear()
