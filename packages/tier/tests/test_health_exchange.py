"""Tests of what nodes tell each other of upstreams, over a round."""

import unittest

import net

from godwitflow.model import ids
from godwitflow.tier import health_exchange
from godwitflow.wire import codec
from godwitflow.wire import messages

Mode = net.Mode


class Node:
    """A world with its exchange; what it tells is kept."""

    def __init__(self):
        self.world = net.World(shards=2)
        self.told = []
        self.exchange = health_exchange.HealthExchange(
            self.world.dispatcher,
            lambda message, count: self.told.append((message, count)),
        )

    def run(self, rounds):
        for _ in range(rounds):
            self.world.run(health_exchange.ROUND_MS + 1.0)
            self.exchange.tick()

    def health(self, name):
        for upstream in self.world.dispatcher.service(name[:2]).upstreams:
            if upstream.registration.upstream == name:
                return upstream.health
        return None


class HealthExchangeTest(unittest.TestCase):
    def test_nothing_is_told_while_all_is_well(self):
        node = Node()
        for _ in range(20):
            node.world.ask(b"/all/x")
            node.run(1)
        self.assertEqual([], node.told)

    def test_failing_upstream_is_told_and_believed(self):
        node = Node()
        node.world.services["s0"][1].mode = Mode.ERROR
        for _ in range(20):
            node.world.ask(b"/all/x")
        node.run(1)
        ((message, count),) = node.told
        self.assertEqual(health_exchange.PEERS_PER_ROUND, count)
        self.assertEqual("s0-1", message.reports[0].upstream)
        peer = Node()
        header = codec.Header(codec.VERSION, ids.NodeId("n"), 1, "x:1")
        data = codec.encode(header, [message])
        (heard,) = codec.decode(data).messages
        peer.exchange.on_reports(heard)
        self.assertTrue(peer.health("s0-1").degraded)
        self.assertFalse(peer.health("s0-0").degraded)

    def test_what_was_heard_is_not_told_again(self):
        node = Node()
        report = messages.UpstreamReport(ids.UpstreamId("s0-0"), 0, 1.0, 9)
        node.exchange.on_reports(messages.UpstreamReports((report,)))
        node.run(3)
        self.assertEqual([], node.told)

    def test_report_of_an_unknown_upstream_or_with_odd_figures_is_harmless(
        self,
    ):
        node = Node()
        for name, replies, ratio, failures in (
            ("nobody", 1, 9.0, 0),
            ("s0-0", -5, -3.0, -2),
            ("s0-0", 10**9, 1e300, 10**9),
        ):
            report = messages.UpstreamReport(name, replies, ratio, failures)
            node.exchange.on_reports(messages.UpstreamReports((report,)))
        caller = node.world.ask(b"/all/x")
        self.assertEqual(200, caller.response.status)
