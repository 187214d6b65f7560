"""Requests and responses as bytes-exact values, and their serialization.

Header names keep the case in which they came; ``find`` compares them
without it.
"""

import dataclasses

Headers = list[tuple[bytes, bytes]]

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

REASONS = {
    200: b"OK",
    400: b"Bad Request",
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
    """A whole request of a caller.

    ``target`` is the path with its query, unchanged. ``body`` is None
    where the caller sent neither a length nor chunks. The first request
    on a connection has cost its caller the set-up of that connection.
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
        """The target without its query."""
        return self.target.split(b"?", 1)[0]


@dataclasses.dataclass(slots=True)
class Response:
    """A whole response of an upstream, or one of this node's own."""

    status: int
    reason: bytes
    headers: Headers
    body: bytes


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header; ``name`` is in lower case.

    >>> find([(b"Host", b"a.example")], b"host")
    b'a.example'
    """
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def end_to_end_headers(headers: Headers) -> Headers:
    """Return the headers that concern more than one connection.

    The length is left out as well: each side frames its own messages.
    """
    named = frozenset[bytes]()
    for key, value in headers:
        if key.lower() == b"connection":
            words = value.lower().split(b",")
            named = named.union(word.strip() for word in words)
    return [
        (key, value)
        for key, value in headers
        if (lower := key.lower()) not in HOP_BY_HOP
        and lower != b"content-length"
        and lower not in named
    ]


def serialize_request(
    method: bytes, target: bytes, headers: Headers, body: bytes | None
) -> bytes:
    """Return a request with a length in place of chunks."""
    lines = [b"%b %b HTTP/1.1" % (method, target)]
    lines += [b"%b: %b" % header for header in headers]
    if body is not None:
        lines.append(b"Content-Length: %d" % len(body))
    head = b"\r\n".join(lines) + b"\r\n\r\n"
    return head + body if body else head


def serialize_response(
    response: Response, close: bool, head_only: bool = False
) -> bytes:
    """Return a response with its length.

    ``head_only`` is for the answer to a HEAD request, whose headers name
    the length of a body that is not sent.
    """
    reason = response.reason or REASONS.get(response.status, b"Unknown")
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
    """Return a short plain-text response of this node's own."""
    headers: Headers = [(b"Content-Type", b"text/plain; charset=utf-8")]
    if retry_after_s is not None:
        headers.append((b"Retry-After", b"%.3f" % retry_after_s))
    return Response(status, b"", headers, text.encode() + b"\n")
