"""HTTP/1.1 requests and responses, and their serialization.

Header names keep the letter case in which they were received;
:func:`find_header` compares them case-insensitively.
"""

import dataclasses

Headers = list[tuple[bytes, bytes]]

HEADER_OVERHEAD_BYTES = 130  # objects that hold one header's name and value
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)

MISDIRECTED = 421

REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


@dataclasses.dataclass(slots=True)
class Request:
    """A complete request from a caller.

    ``target`` is the request target as received: the path with its
    query. ``body`` is None if the request had neither a Content-Length
    nor a chunked body. The latency that a caller sees for the first
    request on a connection includes the connection's setup.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes | None
    keep_alive: bool
    received_at_ms: float
    first_on_connection: bool = False

    @property
    def path(self) -> bytes:
        """The request target without its query."""
        return self.target.split(b"?", 1)[0]


@dataclasses.dataclass(slots=True)
class Response:
    """A complete response from an upstream, or one that this node made."""

    status: int
    reason: bytes
    headers: Headers
    body: bytes


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return a header's first value or None; ``name`` is in lower case.

    >>> find_header([(b"Host", b"a.example")], b"host")
    b'a.example'
    """
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers without the hop-by-hop ones.

    Content-Length is removed too: each connection frames its own
    messages.
    """
    connection_options = frozenset[bytes]()
    for key, value in headers:
        if key.lower() == b"connection":
            options = value.lower().split(b",")
            connection_options = connection_options.union(
                option.strip() for option in options
            )
    return [
        (key, value)
        for key, value in headers
        if (lower := key.lower()) not in HOP_BY_HOP
        and lower != b"content-length"
        and lower not in connection_options
    ]


def serialize_request(
    method: bytes, target: bytes, headers: Headers, body: bytes | None
) -> bytes:
    """Serialize a request; a body is framed by its Content-Length."""
    lines = [b"%b %b HTTP/1.1" % (method, target)]
    lines += [b"%b: %b" % header for header in headers]
    if body is not None:
        lines.append(b"Content-Length: %d" % len(body))
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    return head + body if body else head


def serialize_response(
    response: Response, close: bool, head_only: bool = False
) -> bytes:
    """Serialize a response with its Content-Length.

    ``close`` adds ``Connection: close``. ``head_only`` is for responses
    to HEAD requests: the body is not sent, and its length is left to
    ``response.headers``.
    """
    reason = response.reason or REASON_PHRASES.get(response.status, b"Unknown")
    lines = [b"HTTP/1.1 %d %b" % (response.status, reason)]
    lines += [b"%b: %b" % header for header in response.headers]
    if not head_only and response.status not in (204, 304):
        lines.append(b"Content-Length: %d" % len(response.body))
    if close:
        lines.append(b"Connection: close")
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    return head if head_only else head + response.body


def text_response(
    status: int, text: str, retry_after_s: float | None = None
) -> Response:
    """Return a short plain-text response, for errors and status."""
    headers: Headers = [(b"Content-Type", b"text/plain; charset=utf-8")]
    if retry_after_s is not None:
        headers.append((b"Retry-After", b"%.3f" % retry_after_s))
    return Response(status, b"", headers, text.encode() + b"\n")
