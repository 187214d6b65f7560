"""Links to peers: outboxes that batch what one reactor turn sends."""

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
    """Counts of what passed, and of what was dropped and why."""

    def __init__(self) -> None:
        self.sent = 0
        self.received = 0
        self.bytes_sent = 0
        self.bytes_received = 0
        self.unsent = 0
        self.malformed = 0
        self.other_version = 0


class Links:
    """All of a process's inner sockets, owned by this object alone.

    ``handler`` gets each envelope's header and messages; an exception
    that it raises is the caller's to prevent. Everything queued for one
    peer within one turn of the reactor leaves as one ZeroMQ message.
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
        self._outlets: dict[str, sockets.SendSocket] = {}
        self._used_at_ms: dict[str, float] = {}
        self._outboxes: dict[str, list[messages.Message]] = (
            collections.defaultdict(list)
        )
        self._flush_call: typing.Any = None
        self.closed = False

    def set_incarnation(self, incarnation: int) -> None:
        """Use another incarnation in the headers from now on."""
        self.header = codec.Header(
            codec.VERSION,
            self.header.sender,
            incarnation,
            self.receive_socket.address,
        )

    def send(self, address: str, message: messages.Message) -> None:
        """Queue a message for a peer's inner address."""
        if self.closed:
            return
        self._outboxes[address].append(message)
        if self._flush_call is None:
            self._flush_call = self.reactor.callLater(0, self.flush)

    def flush(self) -> None:
        """Send every outbox."""
        self._flush_call = None
        outboxes, self._outboxes = (
            self._outboxes,
            collections.defaultdict(list),
        )
        for address, batch in outboxes.items():
            for start in range(0, len(batch), MAX_BATCH_MESSAGES):
                self._post(address, batch[start : start + MAX_BATCH_MESSAGES])

    def _post(self, address: str, batch: list[messages.Message]) -> None:
        raw = codec.encode(self.header, batch)
        if self._outlet(address).send(raw):
            self.counters.sent += len(batch)
            self.counters.bytes_sent += len(raw)
        else:
            self.counters.unsent += len(batch)

    def _outlet(self, address: str) -> sockets.SendSocket:
        outlet = self._outlets.get(address)
        if outlet is None:
            outlet = sockets.SendSocket(self.context, address, self.keys)
            self._outlets[address] = outlet
        self._used_at_ms[address] = self.reactor.seconds() * 1_000.0
        return outlet

    def close_idle(self, now_ms: float) -> None:
        """Close outlets that have not been used for a while."""
        for address, used_at_ms in list(self._used_at_ms.items()):
            if now_ms - used_at_ms > IDLE_CLOSE_MS:
                self._outlets.pop(address).close()
                del self._used_at_ms[address]

    def _receive(self, raw: bytes) -> None:
        try:
            received = codec.decode(raw)
        except errors.CodecError:
            self.counters.malformed += 1
            return
        if received.header.version < 1:
            self.counters.other_version += 1
            return
        self.counters.received += len(received.messages)
        self.counters.bytes_received += len(raw)
        self.counters.malformed += received.rejected
        self.handler(received.header, received.messages)

    def close(self) -> None:
        """Flush, then close every socket."""
        if self.closed:
            return
        if self._flush_call is not None:
            self._flush_call.cancel()
        self.flush()
        self.closed = True
        self.receive_socket.close()
        for outlet in self._outlets.values():
            outlet.close()
        self._outlets.clear()
