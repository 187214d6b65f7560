"""A network in memory under a virtual clock, with scripted upstreams."""

import dataclasses
import enum
import itertools

from twisted.internet import error
from twisted.internet import task
from twisted.python import failure

from godwitflow.http1 import callers
from godwitflow.http1 import messages
from godwitflow.model import ids
from godwitflow.policy import registrations
from godwitflow.policy import retry_budget
from godwitflow.policy import routing
from godwitflow.tier import dispatcher
from godwitflow.tier import front
from godwitflow.tier import headers
from godwitflow.tier import metrics

NAMES = headers.HeaderNames(
    request_id=b"x-id",
    deadline=b"x-left",
    signature=b"x-sign",
    expect_upstream=b"x-expect",
    not_executed=b"x-not-run",
    part_signatures=b"x-parts",
    missing_parts=b"x-missing",
    request_id_out=b"X-Id",
    deadline_out=b"X-Left",
    expect_upstream_out=b"X-Expect",
    part_signatures_out=b"X-Parts",
    missing_parts_out=b"X-Missing",
)
LINK_S = 0.0005
HOST = "a.example"


class Mode(enum.Enum):
    """How an upstream behaves."""

    SOUND = "sound"
    REJECT = "reject"
    SILENT = "silent"
    RESET = "reset"
    REFUSE = "refuse"
    ERROR = "error"
    STALE = "stale"
    ENCODED = "encoded"
    MISDIRECTED = "misdirected"
    UNSIGNED = "unsigned"
    FULL_UNMARKED = "full_unmarked"
    LATE_UNMARKED = "late_unmarked"


@dataclasses.dataclass
class Upstream:
    """An upstream that answers after ``latency_ms``."""

    name: str
    service: str
    address: str
    latency_ms: float = 10.0
    mode: Mode = Mode.SOUND
    body: bytes = b""
    runs: list = dataclasses.field(default_factory=list)
    rejected: int = 0
    cancelled: int = 0

    def registration(self):
        return registrations.Registration(
            ids.UpstreamId(self.name),
            ids.ServiceName(self.service),
            self.address,
            ids.FailureDomain("d1"),
            2,
            registrations.UpstreamState.READY,
            0.0,
            1,
            1,
        )


class Pipe:
    """A client's transport to an upstream."""

    def __init__(self, net, upstream, client):
        self.net = net
        self.upstream = upstream
        self.client = client
        self.open = True
        self.busy = None

    def setTcpNoDelay(self, value):  # noqa: N802
        pass

    def write(self, data):
        self.busy = data
        self.net.callLater(LINK_S, self._arrive, data)

    def abortConnection(self):  # noqa: N802
        if self.open and self.busy is not None:
            self.upstream.cancelled += 1
        self.open = False

    def _arrive(self, data):
        upstream = self.upstream
        request = parse(data)
        wait_s = upstream.latency_ms / 1_000.0
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
                upstream.runs.append(request)
                self._run(mode, wait_s, request)

    def _run(self, mode, wait_s, request):
        upstream = self.upstream
        sign = [
            (b"X-Id", request.get(b"x-id", b"")),
            (b"X-Sign", upstream.name.encode()),
        ]
        match mode:
            case Mode.RESET:
                self.net.callLater(wait_s, self._lose)
            case Mode.ERROR:
                self._reply(wait_s, 500, sign, b"broken")
            case Mode.FULL_UNMARKED:
                self._reply(wait_s, 503, sign, b"")
            case Mode.LATE_UNMARKED:
                self._reply(wait_s, 429, sign, b"")
            case Mode.ENCODED:
                coded = [*sign, (b"Content-Encoding", b"gzip")]
                self._reply(wait_s, 200, coded, upstream.body)
            case Mode.UNSIGNED:
                self._reply(wait_s, 200, sign[:1], upstream.body)
            case Mode.STALE:
                old = [(b"X-Id", b"old"), (b"X-Sign", b"forged")]
                self._reply(wait_s / 2, 200, old, b"old" * 16)
                self._reply(wait_s, 200, sign, upstream.body)
            case _:
                self._reply(wait_s, 200, sign, upstream.body)

    def _reply(self, wait_s, status, fields, body):
        data = messages.serialize_response(
            messages.Response(status, b"", fields, body), False
        )
        self.net.callLater(wait_s + LINK_S, self._deliver, data)

    def _deliver(self, data):
        if self.open:
            self.busy = None
            self.client.dataReceived(data)

    def _lose(self):
        if self.open:
            self.open = False
            self.client.connectionLost(failure.Failure(error.ConnectionLost()))


def parse(data):
    """Return a request's line, headers in lower case, and body."""
    head, _, body = data.partition(b"\r\n\r\n")
    line, *rows = head.split(b"\r\n")
    found = {b"line": line, b"body": body}
    for row in rows:
        name, _, value = row.partition(b": ")
        found[name.lower()] = value
    return found


class Net(task.Clock):
    """A reactor whose connections lead to scripted upstreams."""

    def __init__(self):
        super().__init__()
        self.upstreams = {}

    def now_ms(self):
        return self.seconds() * 1_000.0

    def connectTCP(  # noqa: N802
        self, host, port, factory, timeout=30.0
    ):
        upstream = self.upstreams.get(f"{host}:{port}")
        if upstream is None or upstream.mode is Mode.REFUSE:
            self.callLater(LINK_S, factory.clientConnectionFailed, None, None)
            return
        client = factory.buildProtocol(None)
        pipe = Pipe(self, upstream, client)
        self.callLater(LINK_S, client.makeConnection, pipe)


class Log:
    """Keeps what is logged."""

    def __init__(self):
        self.lines = []

    def event(self, event, **fields):
        self.lines.append((event, fields))

    limited_event = event


class Caller:
    """A caller's connection that keeps its one answer."""

    def __init__(self, net):
        self.net = net
        self.response = None
        self.answered_at_ms = None
        self.answers = 0

    def write_response(self, request, response):
        self.response = response
        self.answered_at_ms = self.net.now_ms()
        self.answers += 1


class World:
    """A front with its dispatcher, and upstreams by service."""

    def __init__(self, shards=0, replicas=3, **settings):
        self.net = Net()
        self.net.advance(1_000.0)
        self.log = Log()
        self.dispatcher = dispatcher.Dispatcher(
            self.net,
            self.net.now_ms,
            NAMES,
            ids.FailureDomain("d1"),
            retry_budget.RetryLimits(0.2, 58.0, 10_000.0),
            self.log,
            metrics.Metrics(),
            seed=1,
        )
        self.front = front.RequestRouter(self.dispatcher, self.log, 1)
        self.front.registrations_known = True
        self._ids = itertools.count()
        self.services = {}
        names = [f"s{number}" for number in range(shards)] + ["one"]
        for name in names:
            self.add(name, replicas)
        gather = routing.Gather(tuple(names[:-1]), 5, 0.75)
        self.routes = [
            route("one", b"/one/", routing.Single("one"), **settings),
            route(
                "once",
                b"/once/",
                routing.Single("one"),
                retry_policy=routing.RetryPolicy.AT_MOST_ONCE,
            ),
            route("all", b"/all/", gather, **settings),
        ]
        self.apply()

    def add(self, service, replicas):
        found = []
        for number in range(replicas):
            place = len(self.net.upstreams)
            address = f"10.0.{place // 200}.{place % 200 + 1}:80"
            upstream = Upstream(f"{service}-{number}", service, address)
            upstream.body = bytes([65 + place % 26]) * 16
            self.net.upstreams[address] = upstream
            found.append(upstream)
        self.services[service] = found

    def apply(self):
        services = {
            name: routing.Service(name, "/health", 26)
            for name in self.services
        }
        configuration = routing.Configuration(
            1, 1, tuple(self.routes), services, None
        )
        self.front.apply_configuration(configuration)
        self.dispatcher.apply_configuration(configuration)
        self.register()

    def register(self):
        self.dispatcher.apply_registrations(
            [
                upstream.registration()
                for found in self.services.values()
                for upstream in found
            ],
            self.net.now_ms(),
        )

    def send(
        self, target, deadline_ms=None, method=b"GET", body=None, new=False
    ):
        """Send a request; return its caller and its exchange."""
        fields = [
            (b"Host", HOST.encode()),
            (b"X-Id", b"%d" % next(self._ids)),
        ]
        if deadline_ms is not None:
            fields.append((b"X-Left", b"%d" % deadline_ms))
        caller = Caller(self.net)
        request = messages.Request(
            method, target, fields, body, True, self.net.now_ms(), new
        )
        exchange = callers.Exchange(caller, request)
        self.front.handle(exchange)
        return caller, exchange

    def run(self, for_ms, step_ms=1.0):
        """Let time pass."""
        for _ in range(int(for_ms / step_ms)):
            self.net.advance(step_ms / 1_000.0)

    def ask(self, target, for_ms=3_000.0, **options):
        """Send a request and let time pass until it is answered."""
        caller, _ = self.send(target, **options)
        for _ in range(int(for_ms)):
            if caller.response is not None:
                break
            self.net.advance(0.001)
        return caller


def route(name, prefix, target, **settings):
    """Return a route with everything else at its usual value."""
    fields = {
        "retry_policy": routing.RetryPolicy.IDEMPOTENT,
        "timeout_ms": 1_000.0,
        "target_ms": 100.0,
        "priority": ids.Rank(1),
        "attempts": 2,
        **settings,
    }
    return routing.Route(name, HOST, prefix, target=target, **fields)


def value(response, name):
    """Return a header of a response."""
    return messages.find_header(response.headers, name)
