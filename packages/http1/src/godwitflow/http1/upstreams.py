"""The client side of a connection to an upstream.

A connection carries one request at a time. A response is accepted once it
is complete, unless it echoes the id of another request. A response without
an id is accepted only as the first on its connection, where it cannot
belong to an earlier request. Bytes that belong to no request close the
connection, after the response to the current request if there is one. A
connection in an uncertain state is closed rather than reused.

A response with a status that the protocol does not have is malformed.

A response whose head or body does not end is dropped at a size limit, and
one that is mostly framing, such as chunks of two bytes, at a lower one.
"""

import dataclasses
import enum
import socket
import typing

import httptools
from twisted.internet import error as net_error
from twisted.internet import interfaces
from twisted.internet import protocol
from zope.interface import implementer

from godwitflow.http1 import byte_count
from godwitflow.http1 import messages
from godwitflow.http1 import receive_memory

MAX_RESPONSE_BYTES = 16_777_216  # head, body, framing, interim responses
MAX_HEAD_BYTES = 65_536  # including interim responses
MAX_HEADERS = 512
MAX_OVERHEAD_BYTES = 262_144  # head and framing in excess of the body
KEEP_ALIVE_MARGIN_MS = 400.0  # subtracted from the stated timeout
DEFAULT_KEEP_ALIVE_MS = 500.0
MAX_KEEP_ALIVE_DIGITS = 9
LARGE_REQUEST_BYTES = 32_768  # connections that sent more are not reused
MIN_STATUS = 100
MAX_STATUS = 599
SWITCHING = 101
BODY_SLICE_BYTES = 16_384
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
MS_PER_S = 1_000.0


class InvalidStatusError(Exception):
    """The status of a response is none of the protocol."""


def is_status(status: int) -> bool:
    """Return whether a number may be the status of a response.

    101 (Switching Protocols) is none, as no request asks for it.

    >>> is_status(200), is_status(0), is_status(600), is_status(101)
    (True, False, False, False)
    """
    return MIN_STATUS <= status <= MAX_STATUS and status != SWITCHING


class FailureReason(enum.Enum):
    """Why a call got no response; the values are logged."""

    NOT_CONNECTED = "not_connected"
    CONNECTION_LOST = "connection_lost"
    MALFORMED = "malformed"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, slots=True)
class Replied:
    """The call got a complete response."""

    response: messages.Response


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """The call got no response.

    ``request_sent`` is whether the request was written to a connection,
    so that the upstream may have run it.
    """

    reason: FailureReason
    request_sent: bool


Outcome = Replied | Failed


class Call:
    """A request to one upstream; ``on_outcome`` is called exactly once.

    ``data`` is the request without its body. The calls of one request share
    the ``body``.
    """

    __slots__ = (
        "_done",
        "body",
        "data",
        "head_only",
        "on_outcome",
        "request_id",
    )

    def __init__(
        self,
        data: bytes,
        request_id: bytes | None,
        head_only: bool,
        on_outcome: typing.Callable[[Outcome], None],
        body: bytes = b"",
    ) -> None:
        self.data = data
        self.body = body
        self.request_id = request_id
        self.head_only = head_only
        self.on_outcome = on_outcome
        self._done = False

    def finish(self, outcome: Outcome) -> None:
        """Report the outcome; any later one is ignored."""
        if not self._done:
            self._done = True
            self.on_outcome(outcome)


@implementer(interfaces.IPullProducer)
class _BodySender:
    """Sends a large body as fast as the transport takes it.

    The transport copies what it cannot send at once, so a whole body would
    take its size once more for each upstream that it is sent to.
    """

    def __init__(self, transport: typing.Any, body: bytes) -> None:
        self._transport = transport
        self._body = body
        self._offset = 0

    def resumeProducing(self) -> None:  # noqa: N802
        """Send the next slice."""
        end = self._offset + BODY_SLICE_BYTES
        self._transport.write(self._body[self._offset : end])
        self._offset = end
        if end >= len(self._body):
            self._transport.unregisterProducer()

    def stopProducing(self) -> None:  # noqa: N802
        """Free the body, as the connection has ended."""
        self._body = b""


class ConnectionOwner(typing.Protocol):
    """The interface of the pool that owns a connection.

    ``id_header`` is the lower-case name of the header in which responses
    echo the request id. ``bytes_carried`` counts the owner's traffic
    and ``receive_memory`` the responses that are being received.
    """

    id_header: bytes
    bytes_carried: byte_count.ByteCount
    receive_memory: receive_memory.ReceiveMemory

    def now_ms(self) -> float:
        """Return the time of the monotonic clock in milliseconds."""
        ...

    def on_idle(self, connection: "UpstreamConnection") -> None:
        """Take back a connection that can carry another request."""
        ...

    def on_closed(self, connection: "UpstreamConnection") -> None:
        """Remove a closed connection."""
        ...


class UpstreamConnection(protocol.Protocol):
    """Sends one request at a time and parses its response.

    ``tcp_keepalive`` has the kernel check that the peer still responds.
    """

    transport: typing.Any

    def __init__(
        self, owner: ConnectionOwner, tcp_keepalive: bool = False
    ) -> None:
        self.owner = owner
        self._tcp_keepalive = tcp_keepalive
        self.call: Call | None = None
        self.was_connected = False
        self.closed = False
        self.reusable_until_ms = 0.0
        self._no_reuse = False
        self._received_bytes = 0
        self._head_start_bytes = 0
        self._has_delivered = False
        self._ambiguous = False
        self._body_bytes = 0
        self._held_bytes = 0
        self._keep_alive_ms = DEFAULT_KEEP_ALIVE_MS
        self._complete_responses: list[tuple[messages.Response, bool]] = []
        self._parser: typing.Any = httptools.HttpResponseParser(self)
        self._reset_message()

    def _reset_message(self) -> None:
        self._reason = b""
        self._headers: messages.Headers = []
        self._body = bytearray()
        self._body_bytes = 0
        self._hold(0)
        self._in_message = False
        self._headers_complete = False
        self._framed = False

    def _hold(self, count: int) -> None:
        """Count the bytes that the incomplete response takes now."""
        self.owner.receive_memory.resize(self._held_bytes, count)
        self._held_bytes = count

    # Sending ------------------------------------------------------------

    def send(self, call: Call) -> None:
        """Send a request, now or once the connection is established."""
        self.call = call
        self._received_bytes = 0
        self._head_start_bytes = 0
        # An upstream may respond before it has read all of a large request.
        request_bytes = len(call.data) + len(call.body)
        if call.head_only or request_bytes > LARGE_REQUEST_BYTES:
            self._no_reuse = True
        if self.was_connected:
            self._write_request(call)

    def _write_request(self, call: Call) -> None:
        self.owner.bytes_carried.sent += len(call.data) + len(call.body)
        if len(call.body) <= LARGE_REQUEST_BYTES:
            self.transport.write(call.data + call.body)
            return
        self.transport.write(call.data)
        sender = _BodySender(self.transport, call.body)
        self.transport.registerProducer(sender, False)

    def cancel(self) -> None:
        """Cancel the current request by closing the connection."""
        self.close()

    def close(self) -> None:
        """Abort the connection; a call in progress is cancelled."""
        if self.closed:
            return
        if self.was_connected:
            self._abort(FailureReason.CANCELLED)
        else:
            self._end(FailureReason.CANCELLED)

    def usable(self, now_ms: float) -> bool:
        """Return whether an idle connection can carry another request."""
        return not self.closed and now_ms < self.reusable_until_ms

    # The transport ------------------------------------------------------

    def connectionMade(self) -> None:  # noqa: N802
        """Set up the socket and send the request that was waiting."""
        self.was_connected = True
        if self.closed:
            self.transport.abortConnection()
            return
        self.transport.setTcpNoDelay(True)
        if self._tcp_keepalive:
            self._enable_tcp_keepalive()
        if self.call is not None:
            self._write_request(self.call)

    def _enable_tcp_keepalive(self) -> None:
        """Let the kernel detect a peer that no longer responds."""
        handle = self.transport.getHandle()
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in (
            (socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_S),
            (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
            (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
            (
                socket.TCP_USER_TIMEOUT,
                KEEPALIVE_INTERVAL_S * KEEPALIVE_PROBES * 1_000,
            ),
        ):
            handle.setsockopt(socket.IPPROTO_TCP, option, value)

    def connect_failed(self) -> None:
        """Fail the call: no connection was made and nothing was sent."""
        if not self.closed:
            self._end(FailureReason.NOT_CONNECTED)

    def connectionLost(  # noqa: N802
        self, reason: typing.Any = net_error.ConnectionDone
    ) -> None:
        """Complete a response delimited by the close, or fail the call."""
        self._parser = None
        if self.closed:
            return
        clean = reason.check(net_error.ConnectionDone) is not None
        if clean and self._headers_complete and not self._framed:
            self.closed = True
            self._complete_message()
            self._deliver()
        self._end(FailureReason.CONNECTION_LOST)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse received bytes and deliver the response, if complete."""
        self.owner.bytes_carried.received += len(data)
        if self.closed:
            return
        if self.call is None:
            self.close()
            return
        self._received_bytes += len(data)
        malformed = False
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            malformed = True
            self._no_reuse = True
        self._deliver()
        if self.closed:
            return
        if malformed or (self.call is not None and self._is_endless()):
            self._abort(FailureReason.MALFORMED)

    def _is_endless(self) -> bool:
        """Return whether the incomplete response exceeds a size limit."""
        if self._received_bytes > MAX_RESPONSE_BYTES:
            return True
        message_bytes = self._received_bytes - self._head_start_bytes
        overhead_bytes = messages.HEADER_OVERHEAD_BYTES * len(self._headers)
        self._hold(message_bytes + overhead_bytes)
        if self.owner.receive_memory.must_drop(self._held_bytes):
            return True
        if not self._headers_complete:
            return (
                message_bytes > MAX_HEAD_BYTES
                or len(self._headers) > MAX_HEADERS
            )
        framing_bytes = message_bytes - self._body_bytes
        return framing_bytes - self._body_bytes > MAX_OVERHEAD_BYTES

    def _abort(self, reason: FailureReason) -> None:
        self.closed = True
        self.transport.abortConnection()
        self._end(reason)

    def _end(self, reason: FailureReason) -> None:
        """Leave the pool and fail the call, if any."""
        self.closed = True
        self._reset_message()
        self.owner.on_closed(self)
        self._fail(reason)

    def _fail(self, reason: FailureReason) -> None:
        call, self.call = self.call, None
        if call is not None:
            call.finish(Failed(reason, self.was_connected))

    # The parser ---------------------------------------------------------

    def on_message_begin(self) -> None:
        """Start a new response."""
        self._reset_message()
        self._in_message = True

    def on_status(self, reason: bytes) -> None:
        """Append to the reason phrase."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header; trailers are dropped."""
        if not self._headers_complete:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Record whether the body is delimited by a length or chunks."""
        self._headers_complete = True
        self._status = self._parser.get_status_code()
        if not is_status(self._status):
            raise InvalidStatusError(self._status)
        for name, _ in self._headers:
            if name.lower() in (b"content-length", b"transfer-encoding"):
                self._framed = True
        if self.call is not None and self.call.head_only:
            self._complete_message()

    def on_body(self, body: bytes) -> None:
        """Append to the body."""
        self._body += body
        self._body_bytes += len(body)

    def on_message_complete(self) -> None:
        """Keep the response until all received bytes are parsed."""
        if self._in_message:
            self._complete_message()

    def _complete_message(self) -> None:
        response = messages.Response(
            self._status, self._reason, self._headers, bytes(self._body)
        )
        keep = self._framed and self._parser_keeps_alive()
        if self._status >= 200:
            self._complete_responses.append((response, keep))
            self._head_start_bytes = self._received_bytes
        self._reset_message()

    def _parser_keeps_alive(self) -> bool:
        return self._parser is not None and self._parser.should_keep_alive()

    # Delivery -----------------------------------------------------------

    def _deliver(self) -> None:
        """Finish the call with the response that matches its request."""
        responses, self._complete_responses = self._complete_responses, []
        matched: messages.Response | None = None
        for response, keep in responses:
            self._no_reuse = self._no_reuse or not keep
            if matched is None and self._matches_call(response):
                matched = response
            else:
                self._no_reuse = True
        call = self.call
        if matched is None or call is None:
            if self._ambiguous and not self.closed:
                self._abort(FailureReason.MALFORMED)
            return
        self._has_delivered = True
        self.call = None
        self._update_keep_alive(matched)
        self._finish_call(call, matched)

    def _matches_call(self, response: messages.Response) -> bool:
        """Return whether a response belongs to the current request.

        Without an id it could be a late copy of an earlier response, so
        it is accepted on a new connection only, which is not reused. Calls
        without an id, as to the store, have to accept it.
        """
        if self.call is None or self.call.request_id is None:
            return True
        echoed = messages.find_header(response.headers, self.owner.id_header)
        if echoed is not None:
            return echoed == self.call.request_id
        self._no_reuse = True
        self._ambiguous = self._has_delivered
        return not self._has_delivered

    def _update_keep_alive(self, response: messages.Response) -> None:
        header = messages.find_header(response.headers, b"keep-alive")
        if header is None or b"timeout=" not in header:
            return
        digits = header.split(b"timeout=")[1].split(b",")[0].strip()
        if digits.isdigit() and len(digits) <= MAX_KEEP_ALIVE_DIGITS:
            timeout_ms = int(digits) * MS_PER_S
            self._keep_alive_ms = timeout_ms - KEEP_ALIVE_MARGIN_MS

    def _finish_call(self, call: Call, response: messages.Response) -> None:
        if self.closed:
            pass
        elif self._no_reuse or self._in_message:
            self.closed = True
            self.transport.abortConnection()
            self._reset_message()
            self.owner.on_closed(self)
        else:
            now_ms = self.owner.now_ms()
            self.reusable_until_ms = now_ms + self._keep_alive_ms
            self.owner.on_idle(self)
        call.finish(Replied(response))
