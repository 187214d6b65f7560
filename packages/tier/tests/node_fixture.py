"""A node with a simulated store, in memory."""

import simulated_upstreams
import simulation
from twisted.internet import defer
from twisted.internet import testing

from godwitflow.http1 import messages as http_messages
from godwitflow.model import errors
from godwitflow.model import ids
from godwitflow.policy import retry_budget
from godwitflow.policy import routing
from godwitflow.store import memory_object_store
from godwitflow.tier import node as nodes
from godwitflow.tier import settings

GRACE_MS = 6_000.0
GET = b"GET %b HTTP/1.1\r\nHost: a.example\r\nX-Id: 1\r\n\r\n"


class FakeDecoder:
    """Decodes specs that hold only a version or an upstream's address."""

    configuration_kind = "configurations"
    configuration_name = "main"
    registration_kind = "upstreams"
    evacuation_kind = "evacuations"

    def decode_configuration(self, stored):
        if stored.spec is None:
            raise errors.SettingsError(("no spec",))
        one = routing.Single("one")
        once = routing.RetryPolicy.AT_MOST_ONCE
        routes = (
            simulation.make_route("one", b"/one/", one),
            simulation.make_route("long", b"/long/", one, timeout_ms=9_000.0),
            simulation.make_route(
                "once",
                b"/once/",
                one,
                timeout_ms=9_000.0,
                target_ms=1_000.0,
                retry_policy=once,
            ),
        )
        return routing.Configuration(
            stored.revision, stored.spec["version"], routes, {}, None
        )

    def decode_registration(self, stored):
        if "address" not in stored.spec:
            return None
        upstream = simulated_upstreams.Upstream(
            stored.name, "one", stored.spec["address"]
        )
        return upstream.registration()


class FakeAddressCodec:
    """Finds no failure domain and encodes addresses as plain text."""

    def caller_failure_domain(self, request):
        return None

    def encode_addresses(self, addresses, ttl_s):
        text = f"{','.join(addresses)} ttl {ttl_s}"
        return http_messages.text_response(200, text)


class FakePort:
    def stopListening(self):  # noqa: N802
        return defer.succeed(None)


class FakeReactor(testing.MemoryReactorClock):
    """A reactor in memory that connects clients to simulated upstreams.

    Datagrams are discarded; other connections are refused.
    """

    def __init__(self, upstreams):
        super().__init__()
        self.listening = {}
        self.upstreams = upstreams

    def listenTCP(  # noqa: N802
        self, port, factory, backlog=50, interface=""
    ):
        self.listening[port] = factory
        return FakePort()

    def listenUDP(  # noqa: N802
        self, port, protocol, interface="", maxPacketSize=8192
    ):
        protocol.transport = self
        return FakePort()

    def write(self, data, address):
        pass

    def connectTCP(  # noqa: N802
        self, host, port, factory, timeout=30.0, bindAddress=None
    ):
        upstream = self.upstreams.get(f"{host}:{port}")
        if upstream is None:
            factory.clientConnectionFailed(None, None)
            return
        client = factory.buildProtocol(None)
        client.makeConnection(
            simulated_upstreams.FakeTransport(self, upstream, client)
        )


class NodeFixture:
    """A node with a simulated store and one upstream.

    Its ports: 1 for callers, 2 for readiness checks, 3 for addresses, 4
    for metrics, 5 for other nodes.
    """

    def __init__(self, **fields):
        self.upstream = simulated_upstreams.Upstream(
            "u1", "one", "10.0.1.1:80"
        )
        self.upstream.body = b"whole"
        self.reactor = FakeReactor({"10.0.1.1:80": self.upstream})
        self.store = memory_object_store.MemoryObjectStore(self.reactor)
        self.log = simulation.RecordingLog()
        node_settings = settings.NodeSettings(
            ids.NodeId("n1"),
            ids.FailureDomain("d1"),
            "10.0.0.1:1",
            "10.0.0.1:2",
            "10.0.0.1:3",
            "10.0.0.1:4",
            "10.0.0.1:5",
            ("10.0.0.1:5",),
            "10.0.0.9:1",
            True,
            settings.Bounds(
                GRACE_MS,
                5_000.0,
                retry_budget.RetryLimits(0.2, 58.0, 10_000.0),
            ),
            **fields,
        )
        self.log.dropped_total = 0
        self.node = nodes.Node(
            self.reactor,
            node_settings,
            simulation.HEADER_NAMES,
            self.store.client_for("n1"),
            FakeDecoder(),
            self.log,
            1,
            FakeAddressCodec(),
            lambda: self.reactor.seconds() * 1_000.0,
        )
        self.stop_results = []
        self.node.start().addCallback(self.stop_results.append)

    def fill_store(self):
        self.store.write("configurations", "main", {"version": 3})
        self.store.write("upstreams", "u1", {"address": "10.0.1.1:80"})

    def advance(self, for_ms):
        for _ in range(int(for_ms / 10.0)):
            self.reactor.advance(0.01)

    def connect(self, port):
        connection = self.reactor.listening[port].buildProtocol(None)
        transport = testing.StringTransport()
        transport.abortConnection = lambda: None
        transport.loseWriteConnection = lambda: setattr(
            transport, "write_closed", True
        )
        transport.setTcpNoDelay = lambda value: None
        transport.write_closed = False
        connection.makeConnection(transport)
        return connection

    def request(self, port, path=b"/"):
        connection = self.connect(port)
        connection.dataReceived(GET % path)
        self.advance(50.0)
        return connection.transport.value()


def serving_node(**fields):
    """Return the fixture of a node that serves requests.

    ``fields`` are those of its settings.
    """
    fixture = NodeFixture(**fields)
    fixture.fill_store()
    fixture.advance(500.0)
    return fixture
