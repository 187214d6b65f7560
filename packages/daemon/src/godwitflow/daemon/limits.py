"""A listener that bounds sizes and times of what clients send."""

import typing

from twisted.web import http
from twisted.web import resource
from twisted.web import server

MAX_BODY_BYTES = 1_000_000
MAX_HEADERS = 64
MAX_HEADER_BYTES = 8_192
REQUEST_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 60


class LimitedRequest(server.Request):
    """A request whose body may not exceed ``MAX_BODY_BYTES``."""

    def gotLength(self, length: int | None) -> None:
        """Refuse a stated length that is too large before reading."""
        if length is not None and length > MAX_BODY_BYTES:
            self._refuse_body()
            return
        super().gotLength(length)

    def handleContentChunk(self, data: bytes) -> None:
        """Refuse a body that grows too large without a stated length."""
        content = self.content
        if content is not None and content.tell() + len(data) > (
            MAX_BODY_BYTES
        ):
            self._refuse_body()
            return
        super().handleContentChunk(data)

    def _refuse_body(self) -> None:
        channel: typing.Any = self.channel
        if channel is None or channel.transport is None:
            return
        body = b'{"kind":"refusal","code":"too_large","ran":"not_run"}'
        head = (
            b"HTTP/1.1 413 Content Too Large\r\n"
            b"Content-Type: application/json\r\n"
            b"Connection: close\r\n"
            b"Content-Length: %d\r\n\r\n" % len(body)
        )
        channel.transport.write(head + body)
        channel.transport.loseConnection()


class LimitedChannel(http.HTTPChannel):
    """A connection that must deliver each whole request in time."""

    maxHeaders = MAX_HEADERS
    totalHeadersSize = MAX_HEADER_BYTES

    def __init__(self) -> None:
        super().__init__()
        self._request_timer: typing.Any = None

    def dataReceived(self, data: bytes) -> None:
        """Start the request's timer with its first byte."""
        if self._request_timer is None:
            self._request_timer = self.callLater(
                REQUEST_TIMEOUT_S, self._too_slow
            )
        super().dataReceived(data)

    def allContentReceived(self) -> None:
        """Stop the timer: the request has arrived as a whole."""
        self._stop_timer()
        super().allContentReceived()

    def lineLengthExceeded(self, line: bytes) -> None:
        """Say why a connection with an endless header line is closed."""
        transport: typing.Any = self.transport
        transport.write(
            b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        transport.loseConnection()

    def connectionLost(self, reason: typing.Any = None) -> None:
        """Stop the timer with the connection."""
        self._stop_timer()
        site: typing.Any = self.factory
        site.channels.discard(self)
        super().connectionLost(reason)

    def _stop_timer(self) -> None:
        if self._request_timer is not None and self._request_timer.active():
            self._request_timer.cancel()
        self._request_timer = None

    def _too_slow(self) -> None:
        self._request_timer = None
        transport: typing.Any = self.transport
        if transport is not None:
            transport.abortConnection()


class LimitedSite(server.Site):
    """A site whose connections are counted and limited."""

    requestFactory = LimitedRequest

    def __init__(self, root: resource.Resource, reactor: typing.Any) -> None:
        super().__init__(
            root, requestFactory=LimitedRequest, timeout=IDLE_TIMEOUT_S
        )
        self.reactor = reactor
        self.channels: set[typing.Any] = set()

    def buildProtocol(self, addr: typing.Any) -> typing.Any:
        """Build a limited connection."""
        channel: typing.Any = LimitedChannel()
        channel.requestFactory = LimitedRequest
        channel.site = self
        channel.factory = self
        channel.timeOut = IDLE_TIMEOUT_S
        channel.callLater = self.reactor.callLater
        channel._reactor = self.reactor
        self.channels.add(channel)
        return channel

    def log(self, request: typing.Any) -> None:
        """Write no access log; metrics and traces say more."""

    def close_idle(self) -> None:
        """Close the connections that carry no request now."""
        for channel in list(self.channels):
            if not channel.requests and channel.transport is not None:
                channel.transport.loseConnection()
