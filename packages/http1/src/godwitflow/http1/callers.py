"""The server's side of a caller's connection.

A connection reads one request at a time to its end, hands it on, and
writes one response. What cannot be parsed gets 400 and ends the
connection; nothing of it is handed on.
"""

import dataclasses
import enum
import socket
import typing

import httptools
from twisted.internet import error as net_error
from twisted.internet import protocol

from godwitflow.http1 import messages

LINGER_MS = 1_000.0
QUEUED_REQUESTS = 8
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class State(enum.Enum):
    """Where a caller's connection is."""

    IDLE = "idle"
    READING = "reading"
    BUSY = "busy"
    CLOSING = "closing"


@dataclasses.dataclass(slots=True)
class Limits:
    """What a caller may send, and how long it may take or stay idle."""

    header_bytes: int = 32_768
    body_bytes: int = 8_388_608
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 60_000.0


class Exchange:
    """One request of a caller and the one answer that it gets.

    ``on_gone`` is called once if the caller leaves before the answer.
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
        """Whether an answer is still awaited."""
        return self._connection is not None

    @property
    def caller_host(self) -> str:
        """The address that the caller connected from, without its port."""
        if self._connection is None:
            return ""
        return str(self._connection.transport.getPeer().host)

    def respond(self, response: messages.Response) -> None:
        """Send the answer; later ones are ignored."""
        connection, self._connection = self._connection, None
        self.on_disconnect = None
        if connection is not None:
            connection.write_response(self.request, response)

    def caller_disconnected(self) -> None:
        """Note that the caller is gone."""
        gone, self.on_disconnect = self.on_disconnect, None
        self._connection = None
        if gone is not None:
            gone()


class Server(typing.Protocol):
    """What a caller's connection needs of the node."""

    limits: Limits
    closing: bool
    connections: set["CallerConnection"]

    def now_ms(self) -> float:
        """Return the steady clock's time."""
        ...

    def handle(self, exchange: Exchange) -> None:
        """Take a whole request."""
        ...


class CallerConnection(protocol.Protocol):
    """Parses requests and writes answers in their order."""

    transport: typing.Any

    def __init__(self, server: Server) -> None:
        self.server = server
        self.state = State.IDLE
        self.since_ms = server.now_ms()
        self._parser: typing.Any = httptools.HttpRequestParser(self)
        self._queue: list[messages.Request] = []
        self._fresh = True
        self._exchange: Exchange | None = None
        self._failure: messages.Response | None = None
        self._reset_message()

    def _reset_message(self) -> None:
        self._target = b""
        self._headers: messages.Headers = []
        self._body: list[bytes] | None = None
        self._body_bytes = 0
        self._head_done = False
        self._head_bytes = 0
        self._in_message = False

    # The transport ------------------------------------------------------

    def connectionMade(self) -> None:  # noqa: N802
        """Count the connection as open."""
        self.server.connections.add(self)
        self.transport.setTcpNoDelay(True)

    def connectionLost(  # noqa: N802
        self, reason: typing.Any = net_error.ConnectionDone
    ) -> None:
        """Tell the request under way that its caller is gone."""
        self.server.connections.discard(self)
        self.state = State.CLOSING
        self._queue.clear()
        self._parser = None
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.caller_disconnected()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse what came, and start on the first whole request."""
        if self.state is State.CLOSING or self._failure is not None:
            return
        if self.state is State.IDLE:
            self.state = State.READING
            self.since_ms = self.server.now_ms()
        if not self._head_done:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400, "upgrades are not supported")
        except httptools.HttpParserError as error:
            if self._failure is None:
                self._refuse(400, f"malformed request: {error}")
        limit = self.server.limits.header_bytes
        if self._in_message and not self._head_done:
            if self._head_bytes > limit and self._failure is None:
                self._refuse(431, f"headers exceed {limit} bytes")
        self._next()

    # The parser ---------------------------------------------------------

    def on_message_begin(self) -> None:
        """Start a request; its fields were reset after the last one."""
        self._in_message = True

    def on_url(self, url: bytes) -> None:
        """Take a piece of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; trailers are dropped."""
        if not self._head_done:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Check the head, and invite the body where the caller waits."""
        self._head_done = True
        size = len(self._target) + sum(
            len(name) + len(value) + 4 for name, value in self._headers
        )
        limits = self.server.limits
        if size > limits.header_bytes:
            self._refuse(431, f"headers exceed {limits.header_bytes} bytes")
            return
        length = messages.find_header(self._headers, b"content-length")
        if length is not None and int(length) > limits.body_bytes:
            self._refuse(413, f"the body exceeds {limits.body_bytes} bytes")
            return
        coding = messages.find_header(self._headers, b"transfer-encoding")
        if coding is not None and coding.lower() != b"chunked":
            self._refuse(400, "the transfer coding is not supported")
            return
        if length is not None or coding is not None:
            self._body = []
        expect = messages.find_header(self._headers, b"expect")
        if expect is not None and expect.lower() == b"100-continue":
            if self._exchange is None and not self._queue:
                self.transport.write(CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Take a piece of the body."""
        if self._failure is not None or self._body is None:
            return
        self._body_bytes += len(body)
        limit = self.server.limits.body_bytes
        if self._body_bytes > limit:
            self._refuse(413, f"the body exceeds {limit} bytes")
            return
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Queue a whole request."""
        if self._failure is not None:
            return
        body = None if self._body is None else b"".join(self._body)
        request = messages.Request(
            self._parser.get_method(),
            self._target,
            self._headers,
            body,
            self._parser.should_keep_alive(),
            self.server.now_ms(),
            self._fresh,
        )
        self._fresh = False
        self._reset_message()
        self._queue.append(request)
        if len(self._queue) >= QUEUED_REQUESTS:
            self.transport.pauseProducing()

    def _refuse(self, status: int, text: str) -> None:
        self._failure = messages.text_response(status, text)

    # Answers ------------------------------------------------------------

    def _next(self) -> None:
        if self._exchange is not None or self.state is State.CLOSING:
            return
        if self._queue:
            if self._caller_left():
                self.state = State.CLOSING
                self.transport.abortConnection()
                return
            request = self._queue.pop(0)
            self.state = State.BUSY
            self._exchange = Exchange(self, request)
            self.server.handle(self._exchange)
        elif self._failure is not None:
            self.fail(self._failure)

    def _caller_left(self) -> bool:
        """Tell whether the end of the connection is already here.

        A node that was held up reads a request and its caller's leaving
        together; such a request need not start.
        """
        handle = getattr(self.transport, "getHandle", None)
        if handle is None:
            return False  # a transport in memory
        try:
            return handle().recv(1, socket.MSG_PEEK) == b""
        except BlockingIOError:
            return False
        except OSError:
            return True

    def write_response(
        self, request: messages.Request, response: messages.Response
    ) -> None:
        """Write the answer of the request under way."""
        self._exchange = None
        close = self.server.closing or not request.keep_alive
        head_only = request.method == b"HEAD"
        self.transport.write(
            messages.serialize_response(response, close, head_only)
        )
        if close:
            self.start_lingering_close()
            return
        self.state = State.READING if self._in_message else State.IDLE
        self.since_ms = self.server.now_ms()
        if len(self._queue) < QUEUED_REQUESTS:
            self.transport.resumeProducing()
        self._next()

    def fail(self, response: messages.Response) -> None:
        """Answer what was read of a request, and end the connection."""
        self.transport.write(messages.serialize_response(response, True))
        self.start_lingering_close()

    def start_lingering_close(self) -> None:
        """End the sending side, and read on so that no reset is sent."""
        self.state = State.CLOSING
        self.since_ms = self.server.now_ms()
        self.transport.loseWriteConnection()

    def check_timeouts(self, now_ms: float) -> None:
        """End the connection where its caller took or idled too long."""
        waited_ms = now_ms - self.since_ms
        limits = self.server.limits
        match self.state:
            case State.CLOSING if waited_ms > LINGER_MS:
                self.transport.abortConnection()
            case State.READING if waited_ms > limits.header_timeout_ms:
                self.fail(messages.text_response(408, "the request is late"))
            case State.IDLE if waited_ms > limits.idle_timeout_ms:
                self.start_lingering_close()
            case _:
                pass
