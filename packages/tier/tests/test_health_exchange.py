"""Tests of the exchange of upstream observations between nodes."""

import unittest

import simulated_upstreams
import simulation

from godwitflow.model import ids
from godwitflow.tier import health_exchange
from godwitflow.wire import codec
from godwitflow.wire import messages

Mode = simulated_upstreams.Mode


class SimulatedNode:
    """A simulation with a health exchange that records what it sends."""

    def __init__(self):
        self.sim = simulation.Simulation(shards=2)
        self.sent = []
        self.exchange = health_exchange.HealthExchange(
            self.sim.dispatcher,
            lambda message, count: self.sent.append((message, count)),
        )

    def run_rounds(self, rounds):
        for _ in range(rounds):
            self.sim.advance(health_exchange.ROUND_MS + 1.0)
            self.exchange.tick()

    def health(self, name):
        for upstream in self.sim.dispatcher.service(name[:2]).upstreams:
            if upstream.registration.upstream == name:
                return upstream.health
        return None


class HealthExchangeTest(unittest.TestCase):
    def test_healthy_upstreams_are_not_reported(self):
        node = SimulatedNode()
        for _ in range(20):
            node.sim.request(b"/all/x")
            node.run_rounds(1)
        self.assertEqual([], node.sent)

    def test_peer_applies_report_of_failing_upstream(self):
        node = SimulatedNode()
        node.sim.services["s0"][1].mode = Mode.ERROR
        for _ in range(20):
            node.sim.request(b"/all/x")
        node.run_rounds(1)
        ((message, count),) = node.sent
        self.assertEqual(health_exchange.PEERS_PER_ROUND, count)
        self.assertEqual("s0-1", message.reports[0].upstream)
        peer = SimulatedNode()
        header = codec.Header(codec.VERSION, ids.NodeId("n"), 1, "x:1")
        data = codec.encode(header, [message])
        (received,) = codec.decode(data).messages
        peer.exchange.on_upstream_reports(received)
        self.assertTrue(peer.health("s0-1").degraded)
        self.assertFalse(peer.health("s0-0").degraded)

    def test_received_reports_are_not_forwarded(self):
        node = SimulatedNode()
        report = messages.UpstreamReport(ids.UpstreamId("s0-0"), 0, 1.0, 9)
        node.exchange.on_upstream_reports(messages.UpstreamReports((report,)))
        node.run_rounds(3)
        self.assertEqual([], node.sent)

    def test_unknown_upstream_and_invalid_values_are_harmless(self):
        node = SimulatedNode()
        for name, replies, ratio, failures in (
            ("nobody", 1, 9.0, 0),
            ("s0-0", -5, -3.0, -2),
            ("s0-0", 10**9, 1e300, 10**9),
        ):
            report = messages.UpstreamReport(name, replies, ratio, failures)
            node.exchange.on_upstream_reports(
                messages.UpstreamReports((report,))
            )
        caller = node.sim.request(b"/all/x")
        self.assertEqual(200, caller.response.status)
