"""Tests of what a node believes after it was paused.

Datagrams that came in the pause wait in the kernel and are read then.
"""

import unittest

import node_fixture
import simulation

from godwitflow.wire import codec
from godwitflow.wire import messages

PEER = "10.0.0.2:5"
PAUSE_S = 8.0
REVISIONS = messages.Revisions(
    (messages.KindRevision("upstreams", 1, True, 50.0, 1),)
)
LIMITS = messages.LimitReports((messages.LimitReport("u1", 1, 5.0, 50.0),))


class PausedCallTest(unittest.TestCase):
    def pause_with_a_queued_call(self, pause_s):
        """Return the caller of the queued call, and the upstream."""
        sim = simulation.Simulation(replicas=1)
        sim.dispatcher.apply_node_count(simulation.CONNECTION_CAP)
        (upstream,) = sim.services["one"]
        upstream.latency_ms = 50.0
        sim.send(b"/once/")
        caller, _ = sim.send(b"/once/")
        sim.advance(10.0)
        sim.reactor.rightNow += pause_s
        sim.reactor.advance(0.0)
        sim.advance(200.0)
        return caller, upstream

    def test_call_that_was_queued_in_a_pause_is_not_made_past_its_time(self):
        # It ran for a caller that had left, and got 504 in place of 503.
        caller, upstream = self.pause_with_a_queued_call(PAUSE_S)
        self.assertEqual(503, caller.response.status)
        self.assertEqual(1, len(upstream.arrived_at_ms))

    def test_call_that_was_queued_in_a_pause_is_made_in_time(self):
        caller, upstream = self.pause_with_a_queued_call(0.3)
        self.assertEqual(200, caller.response.status)
        self.assertEqual(2, len(upstream.arrived_at_ms))


class PausedNodeTest(unittest.TestCase):
    def setUp(self):
        self.fixture = node_fixture.serving_node()
        self.node = self.fixture.node

    def receive(self, message):
        header = codec.Header(codec.VERSION, "n2", 1, PEER)
        data = codec.encode(header, [message])
        self.node.peers.datagramReceived(data, ("10.0.0.2", 5))

    def pause(self, tick_first):
        """Let time pass in which the node does not run."""
        self.fixture.reactor.rightNow += PAUSE_S
        if tick_first:
            self.node.peers.tick()

    def is_fresh(self):
        """Return whether the node vouches for its copy of the upstreams."""
        (revision,) = [
            revision
            for revision in self.node.revisions().kinds
            if revision.kind == "upstreams"
        ]
        return revision.fresh

    def test_announcement_that_waited_in_a_pause_is_not_passed_on_as_new(self):
        # The fleet went on to rely on a store that had fallen silent.
        for tick_first in (False, True):
            self.setUp()
            self.fixture.store.is_silent_to = lambda caller: True
            self.fixture.advance(3_000.0)
            self.assertFalse(self.is_fresh())
            self.pause(tick_first)
            self.receive(REVISIONS)
            self.assertFalse(self.is_fresh(), tick_first)

    def test_announcement_counts_again_soon_after_a_pause(self):
        self.fixture.store.is_silent_to = lambda caller: True
        self.fixture.advance(3_000.0)
        self.pause(tick_first=False)
        self.fixture.advance(300.0)
        self.receive(REVISIONS)
        self.assertTrue(self.is_fresh())

    def test_report_of_a_limit_that_waited_in_a_pause_is_old(self):
        for tick_first in (False, True):
            self.setUp()
            self.pause(tick_first)
            self.receive(LIMITS)
            (upstream,) = self.node.dispatcher.service("one").upstreams
            now_ms = self.fixture.reactor.seconds() * 1_000.0
            age_ms = now_ms - upstream.limit.news.heard_at_ms
            self.assertGreaterEqual(age_ms, PAUSE_S * 1_000.0)
