"""The server side of a caller's connection.

A connection passes one complete request at a time to the server and
writes its response before it passes on the next. A request that cannot
be parsed gets status 400 and closes the connection; no part of it is
passed on.
"""

import dataclasses
import enum
import socket
import typing

import httptools
from twisted.internet import error as net_error
from twisted.internet import protocol

from godwitflow.http1 import caller_capacity
from godwitflow.http1 import messages
from godwitflow.http1 import send_queue

LINGERING_CLOSE_MS = 1_000.0
MAX_LINGERING_SEND_MS = 30_000.0
MAX_QUEUED_REQUESTS = 8
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
NO_ROOM_RETRY_S = 1.0
# Very small chunks take long to parse, and others wait meanwhile.
CHUNKED_READ_BYTES = 4_096
MAX_UNSENT_BYTES = 16_384  # beyond it the next request has to wait
UNREAD_ANSWER_MS = 5_000.0  # callers that read at all are faster


class State(enum.Enum):
    """The state of a caller's connection."""

    IDLE = "idle"
    READING = "reading"
    BUSY = "busy"
    CLOSING = "closing"


_ORDER = caller_capacity.EvictionOrder
_ORDER_BY_STATE = {
    State.CLOSING: _ORDER.CLOSING,
    State.READING: _ORDER.READING,
    State.IDLE: _ORDER.IDLE,
}


@dataclasses.dataclass(slots=True)
class Limits:
    """Limits on what a caller may send, and for how long.

    ``header_timeout_ms`` limits the time to receive a complete request, body
    included; ``idle_timeout_ms`` how long a connection may carry none.
    """

    header_bytes: int = 32_768
    body_bytes: int = 8_388_608
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0


class Exchange:
    """One request of a caller and its response.

    ``on_disconnect`` is called once if the caller disconnects before the
    response is sent.
    """

    __slots__ = ("_connection", "on_disconnect", "request")

    def __init__(
        self, connection: "CallerConnection", request: messages.Request
    ) -> None:
        self._connection: CallerConnection | None = connection
        self.request = request
        self.on_disconnect: typing.Callable[[], None] | None = None

    @property
    def open(self) -> bool:
        """Whether the response is still to be sent."""
        return self._connection is not None

    @property
    def caller_host(self) -> str:
        """The IP address of the caller, empty once the exchange is over."""
        if self._connection is None:
            return ""
        return str(self._connection.transport.getPeer().host)

    def respond(self, response: messages.Response) -> None:
        """Send the response; any later one is ignored."""
        connection, self._connection = self._connection, None
        self.on_disconnect = None
        if connection is not None:
            connection.write_response(self.request, response)

    def on_caller_disconnected(self) -> None:
        """End the exchange and call ``on_disconnect``."""
        callback, self.on_disconnect = self.on_disconnect, None
        self._connection = None
        if callback is not None:
            callback()


class Server(typing.Protocol):
    """The interface of the listener that owns the connections."""

    limits: Limits
    closing: bool
    connections: set["CallerConnection"]
    capacity: caller_capacity.CallerCapacity

    def now_ms(self) -> float:
        """Return the time of the monotonic clock in milliseconds."""
        ...

    def handle(self, exchange: Exchange) -> None:
        """Process a complete request."""
        ...


class CallerConnection(protocol.Protocol):
    """Parses requests and writes the responses in request order."""

    transport: typing.Any

    def __init__(self, server: Server) -> None:
        self.server = server
        self.state = State.IDLE
        self.state_since_ms = server.now_ms()
        self.held_bytes = 0
        self._request_bytes: list[int] = []  # of complete requests
        self._unsent_bytes = 0
        self._unsent_since_ms = 0.0
        self._written_bytes = 0
        self._parser: typing.Any = httptools.HttpRequestParser(self)
        self._queue: list[messages.Request] = []
        self._first_request = True
        self._exchange: Exchange | None = None
        self._error_response: messages.Response | None = None
        self._reset_message()

    def _reset_message(self) -> None:
        self._target = b""
        self._headers: messages.Headers = []
        self._body: bytearray | None = None
        self._body_bytes = 0
        self._headers_complete = False
        self._header_bytes = 0
        self._header_memory_bytes = 0
        self._unframed_bytes = 0
        self._in_message = False

    # The transport ------------------------------------------------------

    def connectionMade(self) -> None:  # noqa: N802
        """Register the connection with the server."""
        self.server.connections.add(self)
        self.transport.setTcpNoDelay(True)
        self.transport.bufferSize = MAX_UNSENT_BYTES
        self.transport.registerProducer(self, True)
        self.server.capacity.add(self)

    def connectionLost(  # noqa: N802
        self, reason: typing.Any = net_error.ConnectionDone
    ) -> None:
        """Notify the current exchange that its caller disconnected."""
        self.server.connections.discard(self)
        self.server.capacity.remove(self)
        self.state = State.CLOSING
        self._queue.clear()
        self._reset_message()
        self._parser = None
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.on_caller_disconnected()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse received bytes and start the next complete request."""
        if self.state is State.CLOSING or self._error_response is not None:
            return
        if self.state is State.IDLE:
            self.state = State.READING
            self.state_since_ms = self.server.now_ms()
        if not self._headers_complete:
            self._header_bytes += len(data)
        self._unframed_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400, "upgrades are not supported")
        except httptools.HttpParserError as error:
            if self._error_response is None:
                self._reject(400, f"malformed request: {error}")
        self._check_header_bytes()
        self._update_capacity()
        self._handle_next()

    def _check_header_bytes(self) -> None:
        """Reject headers, trailers and chunk extensions that do not end."""
        limit = self.server.limits.header_bytes
        if not self._in_message or self._error_response is not None:
            return
        if not self._headers_complete:
            if self._header_bytes > limit:
                self._reject(431, f"headers exceed {limit} bytes")
        elif self._unframed_bytes > limit:
            self._reject(431, f"trailers exceed {limit} bytes")

    # Capacity -----------------------------------------------------------

    def _update_capacity(self) -> None:
        """Account for what this connection holds now."""
        if self.state is State.CLOSING:
            return
        if self._error_response is not None:
            self._reset_message()
        capacity = self.server.capacity
        incomplete = 0
        if self._headers_complete:
            incomplete = (
                self._header_memory_bytes
                + self._body_bytes
                + self._unframed_bytes
            )
        elif self._in_message:
            incomplete = max(self._header_bytes, self._header_memory_bytes)
        complete = sum(self._request_bytes) + self._unsent_bytes
        capacity.hold(self, complete + incomplete)
        capacity.on_received(self, bool(incomplete or self._unsent_bytes))

    def refuse_incomplete(self) -> None:
        """Refuse the request that is being received, after those before it.

        The caller may try again: nothing of the request has been run. One
        that does not read its answers is disconnected instead.
        """
        if self._unsent_bytes:
            self.evict()
            return
        self._error_response = messages.text_response(
            503, "no room for the request", NO_ROOM_RETRY_S
        )
        self._reset_message()
        self.server.capacity.hold(self, sum(self._request_bytes))
        self._handle_next()

    def eviction_rank(self) -> caller_capacity.EvictionRank | None:
        """Return the order in which to close it, None while it serves."""
        if self._unsent_bytes:
            since_ms = self._unsent_since_ms
            unread_ms = self.server.now_ms() - since_ms
            unread = unread_ms > UNREAD_ANSWER_MS
            order = _ORDER.UNREAD if unread else _ORDER.ANSWERING
            return caller_capacity.EvictionRank(order, since_ms)
        if self._exchange is not None or self._queue:
            return None
        if self.state not in _ORDER_BY_STATE:
            return None
        return caller_capacity.EvictionRank(
            _ORDER_BY_STATE[self.state], self.state_since_ms
        )

    def pauseProducing(self) -> None:  # noqa: N802
        """Handle no further request until the caller has read more."""
        if not self._unsent_bytes:
            self._unsent_since_ms = self.server.now_ms()
        self._unsent_bytes = max(1, self._written_bytes)

    def resumeProducing(self) -> None:  # noqa: N802
        """Go on, as the caller has read what was written."""
        self._unsent_bytes = 0
        self._update_capacity()
        self._handle_next()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: the end of the connection is reported besides."""

    def evict(self) -> None:
        """Close the connection at once, as there are too many."""
        self.state = State.CLOSING
        self.server.capacity.remove(self)
        self.transport.abortConnection()

    # The parser ---------------------------------------------------------

    def on_message_begin(self) -> None:
        """Start a request; the previous one has reset the fields."""
        self._in_message = True

    def on_url(self, url: bytes) -> None:
        """Append to the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Append a header; trailers are dropped."""
        if not self._headers_complete and self._error_response is None:
            self._headers.append((name, value))
            self._header_memory_bytes += (
                len(name) + len(value) + messages.HEADER_OVERHEAD_BYTES
            )

    def on_headers_complete(self) -> None:
        """Check the headers, and send 100 Continue if it is expected."""
        self._headers_complete = True
        self._unframed_bytes = 0
        size = len(self._target) + sum(
            len(name) + len(value) + 4 for name, value in self._headers
        )
        limits = self.server.limits
        if size > limits.header_bytes:
            self._reject(431, f"headers exceed {limits.header_bytes} bytes")
            return
        length = messages.find_header(self._headers, b"content-length")
        if length is not None and int(length) > limits.body_bytes:
            self._reject(413, f"the body exceeds {limits.body_bytes} bytes")
            return
        coding = messages.find_header(self._headers, b"transfer-encoding")
        if coding is not None and coding.lower() != b"chunked":
            self._reject(400, "the transfer coding is not supported")
            return
        if length is not None or coding is not None:
            self._body = bytearray()
        if coding is not None:
            self.transport.bufferSize = CHUNKED_READ_BYTES
        expect = messages.find_header(self._headers, b"expect")
        if expect is not None and expect.lower() == b"100-continue":
            if self._exchange is None and not self._queue:
                self.transport.write(CONTINUE)

    def on_chunk_header(self) -> None:
        """Note that the chunk's size line, with its extensions, has ended."""
        self._unframed_bytes = 0

    def on_body(self, body: bytes) -> None:
        """Append to the body, up to the limit."""
        self._unframed_bytes = 0
        if self._error_response is not None or self._body is None:
            return
        self._body_bytes += len(body)
        limit = self.server.limits.body_bytes
        if self._body_bytes > limit:
            self._reject(413, f"the body exceeds {limit} bytes")
            return
        self._body += body

    def on_message_complete(self) -> None:
        """Queue a complete request."""
        if self._error_response is not None:
            return
        body = None if self._body is None else bytes(self._body)
        request = messages.Request(
            self._parser.get_method(),
            self._target,
            self._headers,
            body,
            self._parser.should_keep_alive(),
            self.server.now_ms(),
            self._first_request,
        )
        self._first_request = False
        self._request_bytes.append(
            caller_capacity.REQUEST_OVERHEAD_BYTES
            + self._header_memory_bytes
            + self._body_bytes
        )
        self._reset_message()
        self.transport.bufferSize = MAX_UNSENT_BYTES
        capacity = self.server.capacity
        capacity.hold(self, sum(self._request_bytes))
        capacity.on_received(self, False)
        if not capacity.has_room(self):
            self._request_bytes.pop()
            self.refuse_incomplete()
            return
        self._queue.append(request)
        if len(self._queue) >= MAX_QUEUED_REQUESTS:
            self.transport.pauseProducing()

    def _reject(self, status: int, text: str) -> None:
        self._error_response = messages.text_response(status, text)

    # Responses ----------------------------------------------------------

    def _handle_next(self) -> None:
        if self._exchange is not None or self.state is State.CLOSING:
            return
        if self._unsent_bytes:
            return
        if self._queue:
            if self._has_caller_disconnected():
                self.state = State.CLOSING
                self.transport.abortConnection()
                return
            request = self._queue.pop(0)
            self.state = State.BUSY
            self._exchange = Exchange(self, request)
            self.server.handle(self._exchange)
        elif self._error_response is not None:
            self.respond_and_close(self._error_response)

    def _has_caller_disconnected(self) -> bool:
        """Return whether the caller has already closed the connection.

        A node that was stalled may read a request together with the end
        of its connection; such a request need not start.
        """
        handle = getattr(self.transport, "getHandle", None)
        if handle is None:
            return False  # an in-memory transport
        try:
            return handle().recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def write_response(
        self, request: messages.Request, response: messages.Response
    ) -> None:
        """Write the response to the current request."""
        self._exchange = None
        self._request_bytes.pop(0)
        close = self.server.closing or not request.keep_alive
        head_only = request.method == b"HEAD"
        data = messages.serialize_response(response, close, head_only)
        self._written_bytes = len(data)
        self.transport.write(data)
        if close:
            self.start_lingering_close()
            return
        self.state = State.READING if self._in_message else State.IDLE
        self.state_since_ms = self.server.now_ms()
        self._update_capacity()
        if len(self._queue) < MAX_QUEUED_REQUESTS:
            self.transport.resumeProducing()
        self._handle_next()

    def respond_and_close(self, response: messages.Response) -> None:
        """Write an error response and close the connection."""
        self.transport.write(messages.serialize_response(response, True))
        self.start_lingering_close()

    def start_lingering_close(self) -> None:
        """Close the sending side, and read on so that no reset is sent.

        What was written is sent first. A reset would discard what the caller
        has not received yet, so it is sent only ``LINGERING_CLOSE_MS`` after
        the caller has everything, or if it takes
        ``MAX_LINGERING_SEND_MS``.
        """
        self.state = State.CLOSING
        self.state_since_ms = self.server.now_ms()
        self._queue.clear()
        self._reset_message()
        self.server.capacity.hold(self, 0)
        self.server.capacity.on_received(self, False)
        self.transport.loseWriteConnection()

    def check_timeouts(self, now_ms: float) -> None:
        """Close the connection if its caller takes or idles too long."""
        waited_ms = now_ms - self.state_since_ms
        limits = self.server.limits
        match self.state:
            case State.CLOSING if waited_ms > self._lingering_ms():
                self.transport.abortConnection()
            case State.READING if waited_ms > limits.header_timeout_ms:
                self.respond_and_close(
                    messages.text_response(408, "the request is late")
                )
            case State.IDLE if waited_ms > limits.idle_timeout_ms:
                self.start_lingering_close()
            case _:
                pass

    def _lingering_ms(self) -> float:
        """Return how long a closed sending side is waited for."""
        handle = getattr(self.transport, "getHandle", None)
        if handle is not None and send_queue.unsent_bytes(handle()):
            return MAX_LINGERING_SEND_MS
        return LINGERING_CLOSE_MS
