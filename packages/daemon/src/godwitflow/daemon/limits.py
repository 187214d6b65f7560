"""HTTP server classes that limit the size and duration of requests."""

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
    """A request whose body is limited to ``MAX_BODY_BYTES``."""

    def gotLength(self, length: int | None) -> None:
        """Reject a Content-Length over the limit before reading the body."""
        if length is not None and length > MAX_BODY_BYTES:
            self._reject_body()
            return
        super().gotLength(length)

    def handleContentChunk(self, data: bytes) -> None:
        """Reject a body of unknown length once it exceeds the limit."""
        content = self.content
        if content is not None and content.tell() + len(data) > (
            MAX_BODY_BYTES
        ):
            self._reject_body()
            return
        super().handleContentChunk(data)

    def _reject_body(self) -> None:
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
    """A connection aborted if a request takes too long to arrive.

    Each request must arrive completely within ``REQUEST_TIMEOUT_S`` of
    its first byte.
    """

    maxHeaders = MAX_HEADERS
    totalHeadersSize = MAX_HEADER_BYTES

    def __init__(self) -> None:
        super().__init__()
        self._request_timer: typing.Any = None

    def dataReceived(self, data: bytes) -> None:
        """Start the request timer at the first byte."""
        if self._request_timer is None:
            self._request_timer = self.callLater(
                REQUEST_TIMEOUT_S, self._on_request_timeout
            )
        super().dataReceived(data)

    def allContentReceived(self) -> None:
        """Stop the request timer: the whole request has arrived."""
        self._stop_timer()
        super().allContentReceived()

    def lineLengthExceeded(self, line: bytes) -> None:
        """Respond with status 400 to a header line over the limit."""
        transport: typing.Any = self.transport
        transport.write(
            b"HTTP/1.1 400 Bad Request\r\nConnection: close\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        transport.loseConnection()

    def connectionLost(self, reason: typing.Any = None) -> None:
        """Stop the request timer and remove the connection from the site."""
        self._stop_timer()
        site: typing.Any = self.factory
        site.channels.discard(self)
        super().connectionLost(reason)

    def _stop_timer(self) -> None:
        if self._request_timer is not None and self._request_timer.active():
            self._request_timer.cancel()
        self._request_timer = None

    def _on_request_timeout(self) -> None:
        self._request_timer = None
        transport: typing.Any = self.transport
        if transport is not None:
            transport.abortConnection()


class LimitedSite(server.Site):
    """A site whose connections are tracked and limited."""

    requestFactory = LimitedRequest

    def __init__(self, root: resource.Resource, reactor: typing.Any) -> None:
        super().__init__(
            root, requestFactory=LimitedRequest, timeout=IDLE_TIMEOUT_S
        )
        self.reactor = reactor
        self.channels: set[typing.Any] = set()

    def buildProtocol(self, addr: typing.Any) -> typing.Any:
        """Build and track a limited connection."""
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
        """Write no access log: metrics and traces cover requests."""

    def close_idle(self) -> None:
        """Close the connections without a request in progress."""
        for channel in list(self.channels):
            if not channel.requests and channel.transport is not None:
                channel.transport.loseConnection()
