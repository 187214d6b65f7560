"""Upstreams that answer with bytes without end.

All upstreams of the shards send, as fast as the node reads or slowly, what
is no response or never ends. The node's settings name a small VM. The report
has nothing that depends on the speed of the machine.
"""

import dataclasses
import enum
import pathlib
import typing

import cyclopts
from twisted.internet import interfaces
from twisted.internet import protocol
from zope.interface import implementer

from godwitflow.soak import callers
from godwitflow.soak import deployment as deployments
from godwitflow.soak import history as histories
from godwitflow.soak import small_node

MEMORY_MB = 96
MAX_DESCRIPTORS = 1_024
CALLERS = 60
REQUESTS_PER_CALLER = 4
BLOCK_BYTES = 65_536
PARKED_BYTES = 250_000
PARKED_HEAD_BYTES = 60_000
PARKED_INTERVAL_S = 0.05
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"

app = cyclopts.App(help_format="markdown")


class Form(enum.Enum):
    """What an upstream sends.

    The ``PARKED`` forms send much at once and then a byte at a time.
    """

    STATUS_LINE = "status-line"
    HEADERS = "headers"
    HEADER_VALUE = "header-value"
    INTERIM = "interim"
    NO_LENGTH = "no-length"
    LENGTH = "length"
    LARGE_CHUNKS = "large-chunks"
    SMALL_CHUNKS = "small-chunks"
    CHUNK_EXTENSION = "chunk-extension"
    TRAILERS = "trailers"
    LINE_ENDS = "line-ends"
    NOISE = "noise"
    PARKED_BODY = "parked-body"
    PARKED_HEAD = "parked-head"


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """What is sent once, and what is sent again and again."""

    start: bytes
    repeated: bytes
    slow: bool = False


def stream_of(form: Form) -> Stream:
    """Return what an upstream sends in a form."""
    match form:
        case Form.STATUS_LINE:
            return Stream(HEAD[:-2], b"x")
        case Form.HEADERS:
            return Stream(HEAD, b"X-Filler: 1\r\n")
        case Form.HEADER_VALUE:
            return Stream(HEAD + b"X-Filler: ", b"x")
        case Form.INTERIM:
            return Stream(b"", b"HTTP/1.1 100 Continue\r\n\r\n")
        case Form.NO_LENGTH:
            return Stream(HEAD + b"\r\n", b"x")
        case Form.LENGTH:
            return Stream(HEAD + b"Content-Length: 99999999999\r\n\r\n", b"x")
        case Form.LARGE_CHUNKS:
            size = BLOCK_BYTES // 2
            return Stream(CHUNKED, b"%x\r\n%b\r\n" % (size, b"x" * size))
        case Form.SMALL_CHUNKS:
            return Stream(CHUNKED, b"2\r\nab\r\n")
        case Form.CHUNK_EXTENSION:
            return Stream(CHUNKED + b"1;", b"x")
        case Form.TRAILERS:
            return Stream(CHUNKED + b"0\r\n", b"X-Filler: 1\r\n")
        case Form.LINE_ENDS:
            return Stream(b"", b"\r\n")
        case Form.NOISE:
            return Stream(b"", bytes(range(256)))
        case Form.PARKED_BODY:
            body = b"x" * PARKED_BYTES
            return Stream(HEAD + b"\r\n" + body, b"x", slow=True)
        case Form.PARKED_HEAD:
            headers = b"X-Filler: 1\r\n" * 500
            start = HEAD + headers + b"X-Long: "
            filler = b"x" * (PARKED_HEAD_BYTES - len(start))
            return Stream(start + filler, b"x", slow=True)


@implementer(interfaces.IPullProducer)
class EndlessUpstream(protocol.Protocol):
    """Answers the first request on a connection without end."""

    def __init__(self, reactor: typing.Any, stream: Stream) -> None:
        self._reactor = reactor
        self._stream = stream
        self._answering = False
        count = max(1, BLOCK_BYTES // len(stream.repeated))
        self._block = stream.repeated * count

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Start to answer."""
        if self._answering:
            return
        self._answering = True
        transport: typing.Any = self.transport
        transport.write(self._stream.start)
        if self._stream.slow:
            self._send_slowly()
        else:
            transport.registerProducer(self, False)

    def resumeProducing(self) -> None:  # noqa: N802
        """Send the next block."""
        transport: typing.Any = self.transport
        transport.write(self._block)

    def stopProducing(self) -> None:  # noqa: N802
        """Stop, as the connection has ended."""

    def _send_slowly(self) -> None:
        transport: typing.Any = self.transport
        if transport is not None and transport.connected:
            transport.write(self._stream.repeated)
            self._reactor.callLater(PARKED_INTERVAL_S, self._send_slowly)


class _EndlessFactory(protocol.ServerFactory):
    noisy = False

    def __init__(self, reactor: typing.Any, stream: Stream) -> None:
        self._reactor = reactor
        self._stream = stream

    def buildProtocol(self, addr: typing.Any) -> EndlessUpstream:  # noqa: N802
        return EndlessUpstream(self._reactor, self._stream)


@dataclasses.dataclass(slots=True)
class Report:
    """What a run found.

    ``exit_codes`` are those of processes that ended. ``start_mb`` is the
    memory of the idle node. ``statuses`` are those of the requests that the
    upstreams spoiled, ``status`` that of an ordinary request meanwhile.
    """

    exit_codes: list[int] = dataclasses.field(default_factory=list)
    start_mb: float = 0.0
    peak_mb: float = 0.0
    statuses: list[int] = dataclasses.field(default_factory=list)
    status: int = 0


class EndlessRun:
    """One node, upstreams of one form, and callers of two kinds."""

    def __init__(
        self, reactor: typing.Any, form: Form, folder: pathlib.Path
    ) -> None:
        self.report = Report()
        self._node = small_node.SmallNode(
            reactor,
            folder,
            {"memoryMb": MEMORY_MB, "maxFds": MAX_DESCRIPTORS},
        )
        factory = _EndlessFactory(reactor, stream_of(form))
        deployment = self._node.deployment
        for name, registered in deployment.upstreams.items():
            if registered.upstream.service in deployments.SHARDS:
                port = reactor.listenTCP(
                    0, factory, interface=deployments.STORE_HOST
                )
                host = port.getHost()
                registered.address = f"{host.host}:{host.port}"
                deployment.register(name, "ready")

    async def run(self) -> Report:
        """Ask the upstreams and return what was found."""
        node = self._node
        report = self.report
        await node.start()
        report.start_mb = node.peak_mb()
        crowd = callers.gather_all(
            [self._ask_often(number) for number in range(CALLERS)]
        )
        report.status = await node.ask("ordinary", histories.Kind.IDEMPOTENT)
        await crowd
        report.peak_mb = node.peak_mb()
        report.exit_codes = list(node.process.exit_codes)
        node.process.kill()
        return report

    async def _ask_often(self, number: int) -> None:
        for count in range(REQUESTS_PER_CALLER):
            status = await self._node.ask(
                f"c{number}-{count}-", histories.Kind.GATHER
            )
            self.report.statuses.append(status)


@app.default
def endless(form: str) -> None:
    """Let upstreams answer without end and print what happened.

    Parameters
    ----------
    form
        What the upstreams send, for example headers, length or parked-body.
    """
    small_node.print_report(
        lambda reactor, folder: EndlessRun(reactor, Form(form), folder).run()
    )


if __name__ == "__main__":
    app()
