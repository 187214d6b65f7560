"""The client's side of a connection to an upstream.

One request at a time. A response counts once it is whole and echoes the
request's id; bytes that belong to no request end the connection after
the request under way. A connection is closed rather than reused when in
doubt.
"""

import dataclasses
import enum
import socket
import typing

import httptools
from twisted.internet import error as net_error
from twisted.internet import protocol

from godwitflow.http1 import messages

MAX_RESPONSE_BYTES = 16_777_216
KEEP_ALIVE_MARGIN_MS = 400.0
UNSTATED_KEEP_ALIVE_MS = 500.0
LARGE_REQUEST_BYTES = 32_768
PROBE_EVERY_S = 1
PROBE_COUNT = 2
MS_PER_S = 1_000.0


class FailureReason(enum.Enum):
    """Why a call brought no response."""

    NOT_CONNECTED = "not_connected"
    CONNECTION_LOST = "connection_lost"
    MALFORMED = "malformed"
    CANCELLED = "cancelled"


@dataclasses.dataclass(frozen=True, slots=True)
class Replied:
    """A whole response that belongs to the request."""

    response: messages.Response


@dataclasses.dataclass(frozen=True, slots=True)
class Failed:
    """No response; ``sent`` tells whether the request may have run."""

    reason: FailureReason
    request_sent: bool


Outcome = Replied | Failed


class Call:
    """A request to one upstream; ``on_outcome`` is called exactly once."""

    __slots__ = ("_done", "data", "head_only", "on_outcome", "request_id")

    def __init__(
        self,
        data: bytes,
        request_id: bytes | None,
        head_only: bool,
        on_outcome: typing.Callable[[Outcome], None],
    ) -> None:
        self.data = data
        self.request_id = request_id
        self.head_only = head_only
        self.on_outcome = on_outcome
        self._done = False

    def finish(self, outcome: Outcome) -> None:
        """Report the outcome; only the first one counts."""
        if not self._done:
            self._done = True
            self.on_outcome(outcome)


class Owner(typing.Protocol):
    """What a connection needs of the pool that holds it."""

    id_header: bytes

    def now_ms(self) -> float:
        """Return the steady clock's time."""
        ...

    def on_idle(self, connection: "UpstreamConnection") -> None:
        """Take back a connection that may carry another request."""
        ...

    def on_closed(self, connection: "UpstreamConnection") -> None:
        """Forget a connection."""
        ...


class UpstreamConnection(protocol.Protocol):
    """Carries one request at a time to an upstream."""

    transport: typing.Any

    def __init__(self, owner: Owner, probes: bool = False) -> None:
        self.owner = owner
        self._probes = probes
        self.call: Call | None = None
        self.connected_once = False
        self.closed = False
        self.reusable_until_ms = 0.0
        self._tainted = False
        self._keep_alive_ms = UNSTATED_KEEP_ALIVE_MS
        self._whole: list[tuple[messages.Response, bool]] = []
        self._parser: typing.Any = httptools.HttpResponseParser(self)
        self._reset_message()

    def _reset_message(self) -> None:
        self._reason = b""
        self._headers: messages.Headers = []
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._in_message = False
        self._head_done = False
        self._framed = False

    # Sending ------------------------------------------------------------

    def send(self, call: Call) -> None:
        """Send a request, at once or as soon as connected."""
        self.call = call
        if call.head_only or len(call.data) > LARGE_REQUEST_BYTES:
            self._tainted = True
        if self.connected_once:
            self.transport.write(call.data)

    def cancel(self) -> None:
        """Give up the request under way, and the connection with it."""
        self.close()

    def close(self) -> None:
        """End the connection at once."""
        if self.closed:
            return
        self.closed = True
        if self.connected_once:
            self.transport.abortConnection()
        self.owner.on_closed(self)
        self._fail(FailureReason.CANCELLED)

    def usable(self, now_ms: float) -> bool:
        """Tell whether an idle connection may carry another request."""
        return not self.closed and now_ms < self.reusable_until_ms

    # The transport ------------------------------------------------------

    def connectionMade(self) -> None:  # noqa: N802
        """Send the request that waits for the connection."""
        self.connected_once = True
        if self.closed:
            self.transport.abortConnection()
            return
        self.transport.setTcpNoDelay(True)
        if self._probes:
            self._probe_silence()
        if self.call is not None:
            self.transport.write(self.call.data)

    def _probe_silence(self) -> None:
        """Have the system notice a peer that is silent for good."""
        handle = self.transport.getHandle()
        handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in (
            (socket.TCP_KEEPIDLE, PROBE_EVERY_S),
            (socket.TCP_KEEPINTVL, PROBE_EVERY_S),
            (socket.TCP_KEEPCNT, PROBE_COUNT),
            (socket.TCP_USER_TIMEOUT, PROBE_EVERY_S * PROBE_COUNT * 1_000),
        ):
            handle.setsockopt(socket.IPPROTO_TCP, option, value)

    def connect_failed(self) -> None:
        """Report that no connection was made: nothing was sent."""
        if self.closed:
            return
        self.closed = True
        self.owner.on_closed(self)
        self._fail(FailureReason.NOT_CONNECTED)

    def connectionLost(  # noqa: N802
        self, reason: typing.Any = net_error.ConnectionDone
    ) -> None:
        """Complete a response that ends with its connection, or fail."""
        self._parser = None
        if self.closed:
            return
        self.closed = True
        clean = reason.check(net_error.ConnectionDone) is not None
        if clean and self._head_done and not self._framed:
            self._take_message()
            self._deliver()
        self.owner.on_closed(self)
        self._fail(FailureReason.CONNECTION_LOST)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse what came, and deliver the response that is awaited."""
        if self.closed:
            return
        if self.call is None:
            self.close()
            return
        broken = False
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            broken = True
            self._tainted = True
        self._deliver()
        if self.closed:
            return
        if broken or self._body_bytes > MAX_RESPONSE_BYTES:
            self._abort(FailureReason.MALFORMED)

    def _abort(self, fault: FailureReason) -> None:
        self.closed = True
        self.transport.abortConnection()
        self.owner.on_closed(self)
        self._fail(fault)

    def _fail(self, fault: FailureReason) -> None:
        call, self.call = self.call, None
        if call is not None:
            call.finish(Failed(fault, self.connected_once))

    # The parser ---------------------------------------------------------

    def on_message_begin(self) -> None:
        """Start a response."""
        self._reset_message()
        self._in_message = True

    def on_status(self, reason: bytes) -> None:
        """Take a piece of the reason."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; trailers are dropped."""
        if not self._head_done:
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Note how the body is framed."""
        self._head_done = True
        self._status = self._parser.get_status_code()
        for name, _ in self._headers:
            if name.lower() in (b"content-length", b"transfer-encoding"):
                self._framed = True
        if self.call is not None and self.call.head_only:
            self._take_message()

    def on_body(self, body: bytes) -> None:
        """Take a piece of the body."""
        self._body.append(body)
        self._body_bytes += len(body)

    def on_message_complete(self) -> None:
        """Keep a whole response until the bytes at hand are parsed."""
        if self._in_message:
            self._take_message()

    def _take_message(self) -> None:
        response = messages.Response(
            self._status, self._reason, self._headers, b"".join(self._body)
        )
        keep = self._framed and self._parser_keeps_alive()
        if self._status >= 200:
            self._whole.append((response, keep))
        self._reset_message()

    def _parser_keeps_alive(self) -> bool:
        return self._parser is not None and self._parser.should_keep_alive()

    # Delivery -----------------------------------------------------------

    def _deliver(self) -> None:
        """Hand on the one response that belongs to the request."""
        whole, self._whole = self._whole, []
        wanted: messages.Response | None = None
        for response, keep in whole:
            self._tainted = self._tainted or not keep
            if wanted is None and self._belongs(response):
                wanted = response
            else:
                self._tainted = True
        call = self.call
        if wanted is None or call is None:
            return
        self.call = None
        self._note_keep_alive(wanted)
        self._settle(call, wanted)

    def _belongs(self, response: messages.Response) -> bool:
        echoed = messages.find_header(response.headers, self.owner.id_header)
        if echoed is None or self.call is None:
            return True
        return echoed == self.call.request_id

    def _note_keep_alive(self, response: messages.Response) -> None:
        stated = messages.find_header(response.headers, b"keep-alive")
        if stated is None or b"timeout=" not in stated:
            return
        digits = stated.split(b"timeout=")[1].split(b",")[0].strip()
        if digits.isdigit():
            timeout_ms = int(digits) * MS_PER_S
            self._keep_alive_ms = timeout_ms - KEEP_ALIVE_MARGIN_MS

    def _settle(self, call: Call, response: messages.Response) -> None:
        if self.closed:
            pass
        elif self._tainted or self._in_message:
            self.closed = True
            self.transport.abortConnection()
            self.owner.on_closed(self)
        else:
            now_ms = self.owner.now_ms()
            self.reusable_until_ms = now_ms + self._keep_alive_ms
            self.owner.on_idle(self)
        call.finish(Replied(response))
