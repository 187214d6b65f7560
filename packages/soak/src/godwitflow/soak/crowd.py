"""A crowd of clients that send large bodies to one node.

Three of four clients stop just short of the end of their request and keep
the connection open. The node's settings name a small VM, so that a small
crowd exceeds what the node may hold. The report has nothing that depends on
the speed of the machine.
"""

import dataclasses
import enum
import pathlib
import typing

import cyclopts
from twisted.internet import interfaces
from twisted.internet import protocol
from twisted.internet import task
from zope.interface import implementer

from godwitflow.soak import history as histories
from godwitflow.soak import small_node
from godwitflow.standins import fixtures

MEMORY_MB = 96
MAX_DESCRIPTORS = 512
CLIENTS = 600
BODY_BYTES = 262_144  # the most that the configuration allows
PIECE_BYTES = 8_192
LARGE_CHUNK_BYTES = 65_536
SMALL_CHUNK_BYTES = 8
SMALL_CHUNKS_BODY_BYTES = 131_072
COMPLETE_EVERY = 4  # one client of this many sends its request whole
REQUEST_TIMEOUT_MS = 600_000  # no client of the crowd is late
PIPELINED_REQUESTS = 30
PIPELINED_HEADER_BYTES = 8_192
AUTHORIZATION = f"Authorization: Token {fixtures.KEYS['north']}"
MAX_POLLS = 100  # clients whose node stops reading do not settle

app = cyclopts.App(help_format="markdown")


class Form(enum.Enum):
    """How the clients send their requests.

    ``UNREAD`` clients send many whole requests at once and read no answer.
    """

    WHOLE = "whole"
    PIECES = "pieces"
    LARGE_CHUNKS = "large-chunks"
    SMALL_CHUNKS = "small-chunks"
    UNREAD = "unread"


@dataclasses.dataclass(slots=True)
class Report:
    """What a run found.

    ``exit_codes`` are those of processes that ended. ``calm_status`` is
    that of a request with the largest body allowed before the crowd came,
    ``status`` that of an ordinary request while it is there.
    """

    exit_codes: list[int] = dataclasses.field(default_factory=list)
    peak_mb: float = 0.0
    descriptors: int = 0
    calm_status: int = 0
    status: int = 0


def request_pieces(form: Form, number: int) -> list[bytes]:
    """Return what one client sends, split into writes."""
    if form is Form.UNREAD:
        return [_unread_request(number)] * PIPELINED_REQUESTS
    chunked = form in (Form.LARGE_CHUNKS, Form.SMALL_CHUNKS)
    framing = "Transfer-Encoding: chunked"
    if not chunked:
        framing = f"Content-Length: {BODY_BYTES}"
    head = (
        f"POST /all/{number} HTTP/1.1\r\nHost: {fixtures.HOST}\r\n"
        f"Request-Id: crowd-{number}\r\n{AUTHORIZATION}\r\n"
        f"{framing}\r\n\r\n"
    ).encode()
    body = _body(form)
    if number % COMPLETE_EVERY:
        body = body[:-1]
    if form is Form.PIECES:
        return [head] + [
            body[start : start + PIECE_BYTES]
            for start in range(0, len(body), PIECE_BYTES)
        ]
    return [head + body]


def _unread_request(number: int) -> bytes:
    padding = "x" * PIPELINED_HEADER_BYTES
    return (
        f"GET /one/{number} HTTP/1.1\r\nHost: {fixtures.HOST}\r\n"
        f"Request-Id: crowd-{number}\r\n{AUTHORIZATION}\r\n"
        f"Padding: {padding}\r\n\r\n"
    ).encode()


def _body(form: Form) -> bytes:
    match form:
        case Form.LARGE_CHUNKS:
            return _chunks(BODY_BYTES, LARGE_CHUNK_BYTES)
        case Form.SMALL_CHUNKS:
            return _chunks(SMALL_CHUNKS_BODY_BYTES, SMALL_CHUNK_BYTES)
        case Form.WHOLE | Form.PIECES | Form.UNREAD:
            return b"x" * BODY_BYTES


def _chunks(body_bytes: int, chunk_bytes: int) -> bytes:
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    return chunk * (body_bytes // chunk_bytes) + b"0\r\n\r\n"


@implementer(interfaces.IPullProducer)
class Client(protocol.Protocol):
    """Sends its pieces and then stays connected.

    ``settled`` is set once the kernel has taken all pieces, or the
    connection has ended.
    """

    def __init__(self, pieces: list[bytes], reads: bool) -> None:
        self.settled = False
        self._reads = reads
        self._pieces = list(reversed(pieces))

    def connectionMade(self) -> None:  # noqa: N802
        """Start to send."""
        transport: typing.Any = self.transport
        if not self._reads:
            transport.pauseProducing()
        transport.registerProducer(self, False)

    def resumeProducing(self) -> None:  # noqa: N802
        """Send the next piece."""
        transport: typing.Any = self.transport
        if self._pieces:
            transport.write(self._pieces.pop())
            return
        transport.unregisterProducer()
        self.settled = True

    def stopProducing(self) -> None:  # noqa: N802
        """Stop sending, as the connection has ended."""
        self.settled = True

    def connectionLost(  # noqa: N802
        self, reason: typing.Any = protocol.connectionDone
    ) -> None:
        """Note that the node has closed the connection."""
        self.settled = True


class _ClientFactory(protocol.ClientFactory):
    noisy = False

    def __init__(self, client: Client) -> None:
        self._client = client

    def buildProtocol(self, addr: typing.Any) -> Client:  # noqa: N802
        return self._client

    def clientConnectionFailed(  # noqa: N802
        self, connector: typing.Any, reason: typing.Any
    ) -> None:
        self._client.settled = True


class CrowdRun:
    """One node, a crowd of one form, and an ordinary caller."""

    def __init__(
        self, reactor: typing.Any, form: Form, folder: pathlib.Path
    ) -> None:
        self.report = Report()
        self._reactor = reactor
        self._form = form
        self._node = small_node.SmallNode(
            reactor,
            folder,
            {"memoryMb": MEMORY_MB, "maxFds": MAX_DESCRIPTORS},
            {"headerTimeoutMs": REQUEST_TIMEOUT_MS},
        )

    async def run(self) -> Report:
        """Play the crowd and return what was found."""
        node = self._node
        report = self.report
        await node.start()
        report.calm_status = await node.ask(
            "calm", histories.Kind.GATHER, b"x" * BODY_BYTES
        )
        await self._send_crowd()
        report.descriptors = node.process.descriptor_count()
        report.status = await node.ask("ordinary", histories.Kind.IDEMPOTENT)
        report.peak_mb = node.peak_mb()
        report.exit_codes = list(node.process.exit_codes)
        node.process.kill()
        return report

    async def _send_crowd(self) -> None:
        """Connect all clients and wait until they have settled."""
        endpoints = self._node.endpoints
        crowd = []
        for number in range(CLIENTS):
            client = Client(
                request_pieces(self._form, number),
                self._form is not Form.UNREAD,
            )
            crowd.append(client)
            self._reactor.connectTCP(
                endpoints.host, endpoints.front_port, _ClientFactory(client)
            )
        for _ in range(MAX_POLLS):
            if all(client.settled for client in crowd):
                break
            await task.deferLater(self._reactor, small_node.POLL_S)


@app.default
def crowd(form: str) -> None:
    """Send a crowd of clients to one node and print what happened.

    Parameters
    ----------
    form
        How the clients send their requests: whole, pieces, large-chunks,
        small-chunks or unread.
    """
    small_node.print_report(
        lambda reactor, folder: CrowdRun(reactor, Form(form), folder).run()
    )


if __name__ == "__main__":
    app()
