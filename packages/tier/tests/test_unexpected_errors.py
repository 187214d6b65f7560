"""Tests that an error which nobody expects costs one request at most."""

import unittest

import node_fixture
import simulation
import simulation_helpers as helpers

PORTS = {"callers": 1, "addresses": 3, "metrics": 4, "peers": 5}


def raise_error(*arguments, **options):
    raise RecursionError("unexpected")


class FailingCall:
    """A queued call that fails when it is resumed."""

    resume = raise_error


class QueueTest(unittest.TestCase):
    def test_call_that_fails_in_a_queue_does_not_stall_the_others(self):
        # The queue of its service was never looked at again.
        sim = simulation.Simulation(replicas=1)
        sim.dispatcher.apply_node_count(simulation.CONNECTION_CAP)
        service = sim.dispatcher.service("one")
        sim.send(b"/one/")
        sim.dispatcher.enqueue(service, 0, FailingCall())
        callers = [sim.send(b"/one/")[0] for _ in range(3)]
        sim.advance(200.0)
        self.assertEqual(
            [200] * 3, [caller.response.status for caller in callers]
        )
        self.assertIn(
            "call_resume_failed", [name for name, _ in sim.log.lines]
        )


class HandlerTest(unittest.TestCase):
    def break_handlers(self, node):
        """Let each handler of a node's ports fail."""
        node.router.route_table.match = raise_error
        node.directory._codec.encode_addresses = raise_error
        node.metrics.lines = raise_error
        node.replication.followers = None

    def test_request_whose_handler_fails_is_answered(self):
        # Its connection was closed without an answer.
        for name, port in PORTS.items():
            fixture = node_fixture.serving_node()
            self.break_handlers(fixture.node)
            answer = fixture.request(port, b"/state/upstreams?after=1")
            self.assertIn(b" 500 ", answer, name)
            events = [event for event, _ in fixture.log.lines]
            self.assertIn("request_failed", events, name)

    def test_connection_goes_on_after_a_failed_request(self):
        fixture = node_fixture.serving_node()
        match = fixture.node.router.route_table.match
        fixture.node.router.route_table.match = raise_error
        connection = fixture.connect(1)
        connection.dataReceived(node_fixture.GET % b"/one/")
        fixture.node.router.route_table.match = match
        connection.dataReceived(node_fixture.GET % b"/one/")
        fixture.advance(100.0)
        received = connection.transport.value()
        self.assertIn(b" 500 ", received)
        self.assertIn(b"whole", received)


class TimerTest(unittest.TestCase):
    def test_request_whose_timer_fails_is_answered(self):
        # It was held until its caller left.
        for target in (b"/one/", b"/all/"):
            sim = simulation.Simulation(shards=2)
            for service in sim.services:
                helpers.set_all(sim, service, latency_ms=5_000.0)
            caller, exchange = sim.send(target)
            sim.dispatcher.record_repeated_call = raise_error
            sim.advance(2_000.0)
            self.assertEqual(500, caller.response.status, target)
            self.assertFalse(exchange.open)
            names = [name for name, _ in sim.log.lines]
            self.assertIn("request_failed", names)
