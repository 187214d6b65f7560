"""Simulated nodes, with the datagrams between them and a virtual clock."""

import itertools
import random
import zlib

import simulated_upstreams

from godwitflow.http1 import callers
from godwitflow.http1 import messages
from godwitflow.model import ids
from godwitflow.policy import retry_budget
from godwitflow.policy import routing
from godwitflow.tier import dispatcher
from godwitflow.tier import headers
from godwitflow.tier import health_exchange
from godwitflow.tier import limit_watch
from godwitflow.tier import metrics
from godwitflow.tier import permits
from godwitflow.tier import request_router
from godwitflow.tier import traffic
from godwitflow.wire import messages as wire_messages

HEADER_NAMES = headers.HeaderNames(
    request_id=b"x-id",
    deadline=b"x-left",
    signature=b"x-sign",
    expect_upstream=b"x-expect",
    not_executed=b"x-not-run",
    part_signatures=b"x-parts",
    missing_parts=b"x-missing",
    rate_limit=b"x-rate",
    leaving=b"x-leaving",
    load=b"x-load",
    credentials=b"x-auth",
    customer=b"x-customer",
    request_id_out=b"X-Id",
    deadline_out=b"X-Left",
    expect_upstream_out=b"X-Expect",
    part_signatures_out=b"X-Parts",
    missing_parts_out=b"X-Missing",
    customer_out=b"X-Customer",
)
CONNECTION_CAP = 26  # of each upstream, for all nodes together
HOST = "a.example"


class Members:
    """The members that a node knows, and the datagrams between them.

    ``unreachable`` names members to and from which nothing gets through;
    ``dead`` are those that this node takes for dead.
    """

    def __init__(self, node, reactor):
        self.node = node
        self.reactor = reactor
        self.random = random.Random(zlib.crc32(node.encode()))
        self.unreachable = set()
        self.dead = set()
        self.sent = []

    def live_nodes(self):
        return [node for node in self.reactor.nodes if node not in self.dead]

    def started_together(self):
        return False

    def listed_count(self):
        return len(self.reactor.nodes)

    def node_count(self):
        return len(self.reactor.nodes)

    def send_to(self, nodes, message):
        for node in nodes:
            self.sent.append(message)
            if node in self.reactor.nodes and node not in self.unreachable:
                self.reactor.callLater(
                    simulated_upstreams.LINK_DELAY_S,
                    self._deliver,
                    node,
                    message,
                )

    def send_to_random(self, message, count):
        others = [node for node in self.reactor.nodes if node != self.node]
        self.send_to(
            self.random.sample(others, min(count, len(others))), message
        )

    def _deliver(self, node, message):
        receiver = self.reactor.nodes[node]
        if receiver.frozen or self.node in receiver.members.unreachable:
            return
        receiver_permits = receiver.dispatcher.permits
        match message:
            case wire_messages.PermitRequest():
                receiver_permits.on_request(self.node, message)
            case wire_messages.PermitReply():
                receiver_permits.on_reply(self.node, message)
            case wire_messages.LimitReports():
                receiver.exchange.on_limit_reports(self.node, message)
            case wire_messages.UpstreamReports():
                receiver.exchange.on_upstream_reports(message)


class RecordingLog:
    """Records the logged events."""

    def __init__(self):
        self.lines = []

    def event(self, event, **fields):
        self.lines.append((event, fields))

    limited_event = event


class RecordingCaller:
    """A caller's connection that records the response."""

    def __init__(self, reactor):
        self.reactor = reactor
        self.response = None
        self.sent_at_ms = reactor.now_ms()
        self.responded_at_ms = None
        self.response_count = 0

    def write_response(self, request, response):
        self.response = response
        self.responded_at_ms = self.reactor.now_ms()
        self.response_count += 1


class Simulation:
    """A request router with its dispatcher, and upstreams by service.

    ``shards`` services ``s0``, ``s1`` and so on serve the route ``/all/``;
    the service ``one`` serves ``/one/`` and, not idempotent, ``/once/``.
    With ``reactor``, the simulated node shares the clock and the upstreams
    of other nodes.
    """

    def __init__(
        self, shards=0, replicas=3, node="n1", reactor=None, **settings
    ):
        self.reactor = reactor
        if reactor is None:
            self.reactor = simulated_upstreams.SimulatedReactor()
            self.reactor.advance(1_000.0)
        self.node = ids.NodeId(node)
        self.frozen = False
        self.log = RecordingLog()
        self.traffic = traffic.Traffic(ids.FailureDomain("d1"))
        self.metrics = metrics.Metrics()
        self.limit_watch = limit_watch.LimitWatch(
            self.node, HEADER_NAMES.rate_limit, self.log, self.metrics
        )
        self.dispatcher = dispatcher.Dispatcher(
            self.reactor,
            self.reactor.now_ms,
            HEADER_NAMES,
            ids.FailureDomain("d1"),
            self.traffic,
            retry_budget.RetryLimits(0.2, 58.0, 10_000.0),
            self.log,
            self.metrics,
            seed=zlib.crc32(node.encode()),
            limit_watch=self.limit_watch,
        )
        self.members = Members(self.node, self.reactor)
        self.dispatcher.permits = permits.Permits(
            self.reactor,
            self.reactor.now_ms,
            self.node,
            self.members,
            self.dispatcher.find_upstream,
            self.limit_watch,
            self.log,
        )
        self.exchange = health_exchange.HealthExchange(
            self.dispatcher, self.members.send_to_random
        )
        self.reactor.nodes[self.node] = self
        self.router = request_router.RequestRouter(
            self.dispatcher, self.log, 1
        )
        self.router.registrations_known = True
        self._request_ids = itertools.count()
        self.services = {}
        names = [f"s{number}" for number in range(shards)] + ["one"]
        for name in names:
            self.add_service(name, replicas)
        gather = routing.Gather(tuple(names[:-1]), 5, 0.75)
        self.routes = [
            make_route("one", b"/one/", routing.Single("one"), **settings),
            make_route(
                "once",
                b"/once/",
                routing.Single("one"),
                retry_policy=routing.RetryPolicy.AT_MOST_ONCE,
            ),
            make_route("all", b"/all/", gather, **settings),
        ]
        self.apply_configuration()

    def add_service(self, service, replicas):
        shared = self.reactor.services.get(service)
        if shared is not None:
            self.services[service] = shared
            return
        upstreams = []
        for number in range(replicas):
            index = len(self.reactor.upstreams)
            address = f"10.0.{index // 200}.{index % 200 + 1}:80"
            upstream = simulated_upstreams.Upstream(
                f"{service}-{number}", service, address
            )
            upstream.body = bytes([65 + index % 26]) * 16
            self.reactor.upstreams[address] = upstream
            upstreams.append(upstream)
        self.services[service] = upstreams
        self.reactor.services[service] = upstreams

    def apply_configuration(self, cold_calls_per_s=0.0):
        services = {
            name: routing.Service(
                name, "/health", CONNECTION_CAP, cold_calls_per_s
            )
            for name in self.services
        }
        configuration = routing.Configuration(
            1, 1, tuple(self.routes), services, None
        )
        self.router.apply_configuration(configuration)
        self.dispatcher.apply_configuration(configuration)
        self.apply_registrations()

    def apply_registrations(self):
        self.dispatcher.apply_registrations(
            [
                upstream.registration()
                for upstreams in self.services.values()
                for upstream in upstreams
            ],
            self.reactor.now_ms(),
        )

    def send(
        self,
        target,
        deadline_ms=None,
        method=b"GET",
        body=None,
        first_on_connection=False,
        headers=(),
    ):
        """Send a request; return its caller and its exchange."""
        headers = [
            *headers,
            (b"Host", HOST.encode()),
            (
                b"X-Id",
                b"%b-%d" % (self.node.encode(), next(self._request_ids)),
            ),
        ]
        if deadline_ms is not None:
            headers.append((b"X-Left", b"%d" % deadline_ms))
        caller = RecordingCaller(self.reactor)
        request = messages.Request(
            method,
            target,
            headers,
            body,
            True,
            self.reactor.now_ms(),
            first_on_connection,
        )
        exchange = callers.Exchange(caller, request)
        self.router.handle(exchange)
        return caller, exchange

    def advance(self, for_ms, step_ms=1.0):
        """Advance the clock in steps, so that new timers run on time."""
        for _ in range(int(for_ms / step_ms)):
            self.reactor.advance(step_ms / 1_000.0)

    def request(self, target, for_ms=3_000.0, **options):
        """Send a request and advance the clock until it has a response."""
        caller, _ = self.send(target, **options)
        for _ in range(int(for_ms)):
            if caller.response is not None:
                break
            self.reactor.advance(0.001)
        return caller


def make_route(name, prefix, target, **settings):
    """Return a route with default values for all other settings."""
    fields = {
        "retry_policy": routing.RetryPolicy.IDEMPOTENT,
        "timeout_ms": 1_000.0,
        "target_ms": 100.0,
        "priority": ids.Rank(1),
        "attempts": 2,
        **settings,
    }
    return routing.Route(name, HOST, prefix, target=target, **fields)


def find_header(response, name):
    """Return the value of a response's header, or None."""
    return messages.find_header(response.headers, name)
