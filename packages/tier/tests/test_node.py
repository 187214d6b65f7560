"""Tests of a node's life: start, readiness, addresses, stop."""

import dataclasses
import unittest

import net
from twisted.internet import defer
from twisted.internet import testing

from godwitflow.http1 import messages as http_messages
from godwitflow.model import errors
from godwitflow.model import ids
from godwitflow.policy import node_load
from godwitflow.policy import retry_budget
from godwitflow.policy import routing
from godwitflow.store import memory_object_store
from godwitflow.tier import node as nodes
from godwitflow.tier import settings
from godwitflow.wire import messages

GRACE_MS = 6_000.0
GET = b"GET %b HTTP/1.1\r\nHost: a.example\r\nX-Id: 1\r\n\r\n"


class Formats:
    """Objects whose specs hold a version and an upstream's address."""

    configuration_kind = "configurations"
    configuration_name = "main"
    registration_kind = "upstreams"

    def decode_configuration(self, found):
        if found.spec is None:
            raise errors.SettingsError(("no spec",))
        routes = (net.route("one", b"/one/", routing.Single("one")),)
        return routing.Configuration(
            found.revision, found.spec["version"], routes, {}, None
        )

    def decode_registration(self, found):
        if "address" not in found.spec:
            return None
        upstream = net.Upstream(found.name, "one", found.spec["address"])
        return upstream.registration()


class AddressFormat:
    """Names no failure domain, and answers in plain text."""

    def caller_failure_domain(self, request):
        return None

    def encode_addresses(self, addresses, age_s):
        text = f"{','.join(addresses)} kept {age_s}"
        return http_messages.text_response(200, text)


class Port:
    def stopListening(self):  # noqa: N802
        return defer.succeed(None)


class Reactor(testing.MemoryReactorClock):
    """A reactor in memory that also takes datagram ports."""

    def __init__(self, world):
        super().__init__()
        self.listening = {}
        self.world = world

    def listenTCP(  # noqa: N802
        self, port, factory, backlog=50, interface=""
    ):
        self.listening[port] = factory
        return Port()

    def listenUDP(  # noqa: N802
        self, port, protocol, interface="", maxPacketSize=8192
    ):
        protocol.transport = self
        return Port()

    def write(self, data, address):
        pass

    def connectTCP(  # noqa: N802
        self, host, port, factory, timeout=30.0, bindAddress=None
    ):
        upstream = self.world[f"{host}:{port}"]
        client = factory.buildProtocol(None)
        client.makeConnection(net.Pipe(self, upstream, client))


class Life:
    """One node and what it needs."""

    def __init__(self):
        self.upstream = net.Upstream("u1", "one", "10.0.1.1:80")
        self.upstream.body = b"whole"
        self.reactor = Reactor({"10.0.1.1:80": self.upstream})
        self.store = memory_object_store.MemoryObjectStore(self.reactor)
        self.log = net.Log()
        found = settings.NodeSettings(
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
        )
        self.log.dropped_total = 0
        self.node = nodes.Node(
            self.reactor,
            found,
            net.NAMES,
            self.store.client_for("n1"),
            Formats(),
            self.log,
            1,
            AddressFormat(),
            lambda: self.reactor.seconds() * 1_000.0,
        )
        self.ended = []
        self.node.start().addCallback(self.ended.append)

    def fill(self):
        self.store.write("configurations", "main", {"version": 3})
        self.store.write("upstreams", "u1", {"address": "10.0.1.1:80"})

    def run(self, for_ms):
        for _ in range(int(for_ms / 10.0)):
            self.reactor.advance(0.01)

    def connect(self, port):
        connection = self.reactor.listening[port].buildProtocol(None)
        transport = testing.StringTransport()
        transport.abortConnection = lambda: None
        transport.loseWriteConnection = lambda: setattr(
            transport, "ended", True
        )
        transport.setTcpNoDelay = lambda value: None
        transport.ended = False
        connection.makeConnection(transport)
        return connection

    def ask(self, port, path=b"/"):
        connection = self.connect(port)
        connection.dataReceived(GET % path)
        self.run(50.0)
        return connection.transport.value()


class NodeTest(unittest.TestCase):
    def test_node_without_a_configuration_is_not_ready(self):
        life = Life()
        life.run(300.0)
        self.assertIn(b" 503 ", life.ask(2))
        self.assertIn(b" 503 ", life.ask(3))
        self.assertIn(b" 503 ", life.ask(1, b"/one/"))

    def test_node_serves_once_it_knows_enough(self):
        life = Life()
        life.fill()
        life.run(1_000.0)
        self.assertIn(b" 200 ", life.ask(2))
        self.assertIn(b"10.0.0.1:1", life.ask(3))
        self.assertIn(b"whole", life.ask(1, b"/one/"))
        self.assertIn(b"answers_total", life.ask(4))

    def test_entry_that_cannot_be_used_is_logged_and_harms_nothing(self):
        life = Life()
        life.fill()
        life.store.write("upstreams", "odd", {"state": 7})
        life.run(1_000.0)
        unusable = [
            row["upstream"]
            for event, row in life.log.lines
            if event == "registration_unusable"
        ]
        self.assertEqual(["odd"], unusable)
        self.assertIn(b"whole", life.ask(1, b"/one/"))

    def test_addresses_are_never_kept_longer_than_the_settings_allow(self):
        life = Life()
        life.fill()
        life.run(1_000.0)
        self.assertIn(b"kept 2.0", life.ask(3))
        found = life.node._settings
        bounds = dataclasses.replace(found.bounds, max_address_age_ms=700.0)
        life.node.apply_settings(dataclasses.replace(found, bounds=bounds))
        self.assertIn(b"kept 0.7", life.ask(3))

    def test_first_start_leaves_the_nodes_address_in_the_store(self):
        life = Life()
        life.run(100.0)
        (found,) = life.store.listing("members").objects
        self.assertEqual("10.0.0.1:5", found.spec["inner"])

    def test_stop_leaves_the_answers_at_once_and_cuts_no_request(self):
        life = Life()
        life.fill()
        life.run(1_000.0)
        life.upstream.latency_ms = 2_500.0
        slow = life.connect(1)
        slow.dataReceived(GET % b"/one/")
        life.node.stop()
        self.assertIn(b" 503 ", life.ask(2))
        self.assertIn(b" 503 ", life.ask(3))
        life.run(700.0)
        self.assertEqual([], life.ended)
        late = life.connect(1)
        life.upstream.latency_ms = 10.0
        late.dataReceived(GET % b"/one/")
        life.run(100.0)
        self.assertIn(b"whole", late.transport.value())
        self.assertIn(b"Connection: close", late.transport.value())
        life.run(GRACE_MS)
        self.assertEqual([None], life.ended)
        self.assertTrue(slow.transport.value())

    def test_idle_node_serves_until_its_address_has_grown_old(self):
        life = Life()
        life.fill()
        life.run(1_000.0)
        life.node.stop()
        life.run(life.node.directory.answer_ttl_ms + 100.0)
        self.assertEqual([], life.ended)
        self.assertIn(b"whole", life.ask(1, b"/one/"))
        life.run(GRACE_MS)
        self.assertEqual([None], life.ended)

    def test_defect_in_a_loop_is_logged_and_ends_nothing(self):
        life = Life()
        life.fill()
        life.run(1_000.0)
        failing = [RuntimeError("once")]
        ticked = []

        def action():
            ticked.append(1)
            if failing:
                raise failing.pop()

        life.node._start_loop(0.1, action)
        life.run(1_000.0)
        self.assertGreater(len(ticked), 5)
        errors_seen = [
            row["error"]
            for event, row in life.log.lines
            if event == "task_failed"
        ]
        self.assertEqual(1, len(errors_seen))
        self.assertIn("once", errors_seen[0])
        self.assertIn(b"whole", life.ask(1, b"/one/"))

    def test_stop_ends_within_the_grace_whatever_callers_do(self):
        life = Life()
        life.fill()
        life.run(1_000.0)
        life.connect(1)
        life.node.stop()
        life.node.stop()
        life.run(GRACE_MS - 100.0)
        self.assertEqual([None], life.ended)

    def test_members_are_logged_by_what_changed(self):
        life = Life()
        life.run(300.0)
        for number in range(60):
            update = messages.MemberUpdate(
                ids.NodeId(f"m{number}"),
                ids.FailureDomain("d1"),
                f"10.0.2.{number}:5",
                "",
                "",
                1,
                messages.MemberState.ALIVE,
            )
            life.node.peers.membership.merge(0.0, [update])
            life.node.peers._report_changes()
        lines = [row for event, row in life.log.lines if event == "members"]
        named = [name for row in lines for name in row["changed"]]
        self.assertEqual(61, len(named))
        self.assertEqual(61, len(set(named)))

    def test_busy_node_says_so_and_takes_it_back(self):
        life = Life()
        life.fill()
        life.run(1_000.0)
        for calls, load in ((5_000, node_load.BUSY_LOAD), (0, 0.0)):
            for _ in range(4):
                life.node.dispatcher.call_count += calls
                life.run(500.0)
            self.assertEqual(load, life.node.peers.membership.me.load)
        events = [event for event, _ in life.log.lines]
        self.assertLess(events.index("busy"), events.index("calm"))

    def test_changed_settings_are_taken(self):
        life = Life()
        life.fill()
        life.run(1_000.0)
        found = life.node._settings
        changed = settings.Bounds(
            GRACE_MS, 1.0, retry_budget.RetryLimits(0.0, 0.0, 10_000.0)
        )
        life.node.apply_settings(dataclasses.replace(found, bounds=changed))
        budget = life.node.dispatcher.service("one").retry_budget
        self.assertFalse(budget.try_acquire(0.0, 1, 0))
