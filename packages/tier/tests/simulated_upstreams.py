"""Scripted upstreams, and a reactor that connects clients to them."""

import dataclasses
import enum

from twisted.internet import error
from twisted.internet import task
from twisted.python import failure

from godwitflow.http1 import messages
from godwitflow.model import ids
from godwitflow.policy import registrations

LINK_DELAY_S = 0.0005


class Mode(enum.Enum):
    """How an upstream handles requests."""

    HEALTHY = "healthy"
    REJECT = "reject"
    SILENT = "silent"
    RESET = "reset"
    REFUSE = "refuse"
    ERROR = "error"
    STALE = "stale"
    ENCODED = "encoded"
    MISDIRECTED = "misdirected"
    UNSIGNED = "unsigned"
    UNMARKED_503 = "unmarked_503"
    UNMARKED_429 = "unmarked_429"
    CUT_HEAD = "cut_head"


@dataclasses.dataclass
class Upstream:
    """An upstream that responds after ``latency_ms``.

    With ``slots`` it executes as many requests at the same time, and
    queues the others.

    ``executions`` holds the requests that it executed; ``rejected`` and
    ``cancelled`` count requests. ``arrived_at_ms`` holds the times at
    which requests arrived, ``requests`` their bytes. ``rate_limits`` are
    the values of the header that states a rate limit, ``leaving`` those of
    the one that says that it shuts down; ``retry_after`` is sent with each
    503. ``transports`` holds all connections, also the closed ones.
    """

    name: str
    service: str
    address: str
    latency_ms: float = 10.0
    mode: Mode = Mode.HEALTHY
    body: bytes = b""
    executions: list = dataclasses.field(default_factory=list)
    rejected: int = 0
    cancelled: int = 0
    arrived_at_ms: list = dataclasses.field(default_factory=list)
    rate_limits: tuple = ()
    leaving: tuple = ()
    retry_after: tuple = ()
    started_at_ms: int = 1
    cold_left_ms: float = 0.0
    requests: list = dataclasses.field(default_factory=list)
    transports: list = dataclasses.field(default_factory=list)
    slots: int = 0
    slots_free_at_ms: list = dataclasses.field(default_factory=list)

    @property
    def connection_count(self):
        return sum(transport.open for transport in self.transports)

    def wait_ms(self, now_ms):
        """Return the time until a request that arrives now is answered."""
        if not self.slots:
            return self.latency_ms
        free_at_ms = sorted(self.slots_free_at_ms)[-self.slots :]
        start_at_ms = now_ms
        if len(free_at_ms) == self.slots:
            start_at_ms = max(now_ms, free_at_ms.pop(0))
        end_at_ms = start_at_ms + self.latency_ms
        self.slots_free_at_ms = [*free_at_ms, end_at_ms]
        return end_at_ms - now_ms

    def registration(self):
        return registrations.Registration(
            ids.UpstreamId(self.name),
            ids.ServiceName(self.service),
            self.address,
            ids.FailureDomain("d1"),
            2,
            registrations.UpstreamState.READY,
            self.cold_left_ms,
            1,
            self.started_at_ms,
        )


class FakeTransport:
    """The transport of a client's connection to an upstream."""

    def __init__(self, reactor, upstream, client):
        self.reactor = reactor
        self.upstream = upstream
        self.client = client
        self.open = True
        self.pending_request = None

    def setTcpNoDelay(self, value):  # noqa: N802
        pass

    def write(self, data):
        self.pending_request = data
        self.reactor.callLater(LINK_DELAY_S, self._on_request, data)

    def abortConnection(self):  # noqa: N802
        if self.open and self.pending_request is not None:
            self.upstream.cancelled += 1
        self.open = False

    def _on_request(self, data):
        upstream = self.upstream
        now_ms = self.reactor.seconds() * 1_000.0
        upstream.arrived_at_ms.append(now_ms)
        upstream.requests.append(data)
        request = parse_request(data)
        wait_s = upstream.wait_ms(now_ms) / 1_000.0
        match upstream.mode:
            case Mode.REJECT:
                upstream.rejected += 1
                self._reply(0.0, 503, [(b"X-Not-Run", b"1")], b"")
            case Mode.MISDIRECTED:
                upstream.rejected += 1
                self._reply(0.0, 421, [], b"")
            case Mode.SILENT:
                pass
            case mode:
                upstream.executions.append(request)
                self._execute(mode, wait_s, request)

    def _execute(self, mode, wait_s, request):
        upstream = self.upstream
        headers = [
            (b"X-Id", request.get(b"x-id", b"")),
            (b"X-Sign", upstream.name.encode()),
        ]
        match mode:
            case Mode.RESET:
                self.reactor.callLater(wait_s, self._lose_connection)
            case Mode.CUT_HEAD:
                self._reply(wait_s, 200, headers, upstream.body, cut=True)
            case Mode.ERROR:
                self._reply(wait_s, 500, headers, b"broken")
            case Mode.UNMARKED_503:
                self._reply(wait_s, 503, headers, b"")
            case Mode.UNMARKED_429:
                self._reply(wait_s, 429, headers, b"")
            case Mode.ENCODED:
                encoded = [*headers, (b"Content-Encoding", b"gzip")]
                self._reply(wait_s, 200, encoded, upstream.body)
            case Mode.UNSIGNED:
                self._reply(wait_s, 200, headers[:1], upstream.body)
            case Mode.STALE:
                old = [(b"X-Id", b"old"), (b"X-Sign", b"forged")]
                self._reply(wait_s / 2, 200, old, b"old" * 16)
                self._reply(wait_s, 200, headers, upstream.body)
            case _:
                self._reply(wait_s, 200, headers, upstream.body)

    def _reply(self, wait_s, status, headers, body, cut=False):
        upstream = self.upstream
        stated = [(b"X-Rate", value) for value in upstream.rate_limits]
        stated += [(b"X-Leaving", value) for value in upstream.leaving]
        if status == 503:
            stated += [
                (b"Retry-After", value) for value in upstream.retry_after
            ]
        data = messages.serialize_response(
            messages.Response(status, b"", headers + stated, body), False
        )
        deliver = self._deliver
        if cut:
            data = data[: data.index(b"\r\n\r\n") - 4]
            deliver = self._deliver_and_close
        self.reactor.callLater(wait_s + LINK_DELAY_S, deliver, data)

    def _deliver(self, data):
        if self.open:
            self.pending_request = None
            self.client.dataReceived(data)

    def _deliver_and_close(self, data):
        self._deliver(data)
        self._lose_connection(error.ConnectionDone())

    def _lose_connection(self, reason=None):
        if self.open:
            self.open = False
            self.client.connectionLost(
                failure.Failure(reason or error.ConnectionLost())
            )


def parse_request(data):
    """Return a dict of the request line, lower-case headers and body."""
    head, _, body = data.partition(b"\r\n\r\n")
    line, *header_lines = head.split(b"\r\n")
    request = {b"line": line, b"body": body}
    for header_line in header_lines:
        name, _, value = header_line.partition(b": ")
        request[name.lower()] = value
    return request


class SimulatedReactor(task.Clock):
    """A reactor that connects clients to scripted upstreams."""

    def __init__(self):
        super().__init__()
        self.upstreams = {}
        self.services = {}
        self.nodes = {}

    def now_ms(self):
        return self.seconds() * 1_000.0

    def connectTCP(  # noqa: N802
        self, host, port, factory, timeout=30.0
    ):
        upstream = self.upstreams.get(f"{host}:{port}")
        if upstream is None or upstream.mode is Mode.REFUSE:
            self.callLater(
                LINK_DELAY_S, factory.clientConnectionFailed, None, None
            )
            return
        client = factory.buildProtocol(None)
        transport = FakeTransport(self, upstream, client)
        upstream.transports.append(transport)
        self.callLater(LINK_DELAY_S, client.makeConnection, transport)
