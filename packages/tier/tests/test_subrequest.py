"""Tests of calls to upstreams that need a permit."""

import unittest

import simulation
import simulation_helpers as helpers

from godwitflow.policy import rate_limits

REPLY_MS = 2.0
DENIED_MS = 500.0
DENIED_EVENT = "permit_denied"


class DenyingPermits:
    """Denies every permit after the time of a round trip."""

    def __init__(self, reactor):
        self.reactor = reactor
        self.denied_count = 0

    def request(self, upstream, urgent, on_decision):
        self.reactor.callLater(
            REPLY_MS / 1_000.0, self._deny, upstream, on_decision
        )

    def _deny(self, upstream, on_decision):
        self.denied_count += 1
        upstream.on_denied(True, self.reactor.now_ms() + DENIED_MS)
        on_decision(False)


def limited_simulation(limited_count, node="n1"):
    """Return a node that knows limits of upstreams and gets no permit."""
    sim = simulation.Simulation(replicas=3, node=node)
    sim.dispatcher.permits = DenyingPermits(sim.reactor)
    now_ms = sim.reactor.now_ms()
    for upstream in sim.dispatcher.service("one").upstreams[:limited_count]:
        news = rate_limits.LimitNews(1.0, now_ms, sim.node)
        sim.limit_watch.apply(upstream, news, now_ms)
    return sim


class DeniedPermitTest(unittest.TestCase):
    def test_denied_call_goes_to_an_upstream_without_a_limit(self):
        for target in (b"/one/", b"/once/"):
            sim = limited_simulation(2)
            for _ in range(10):
                sent_at_ms = sim.reactor.now_ms()
                caller = sim.request(target)
                self.assertEqual(200, caller.response.status)
                waited_ms = caller.responded_at_ms - sent_at_ms
                self.assertLess(waited_ms, 30.0)
            self.assertEqual(10, helpers.execution_count(sim, "one"))

    def test_denied_permit_is_logged_with_its_request(self):
        sim = limited_simulation(3)
        sim.request(b"/one/")
        denied = [
            fields for event, fields in sim.log.lines if event == DENIED_EVENT
        ]
        self.assertEqual(3, len(denied))
        self.assertEqual({"n1-0"}, {fields["request"] for fields in denied})
        self.assertEqual(
            {"one-0", "one-1", "one-2"},
            {fields["upstream"] for fields in denied},
        )

    def test_hedge_without_a_permit_goes_to_an_upstream_with_room(self):
        denied_count = 0
        for number in range(20):
            sim = limited_simulation(1, node=f"n{number}")
            sim.services["one"][1].latency_ms = 900.0
            caller = sim.request(b"/one/")
            self.assertEqual(200, caller.response.status)
            waited_ms = caller.responded_at_ms - caller.sent_at_ms
            self.assertLess(waited_ms, 100.0)
            denied_count += sim.dispatcher.permits.denied_count
        self.assertGreater(denied_count, 5)

    def test_hedge_without_any_permit_leaves_the_first_call_alone(self):
        for number in range(20):
            sim = limited_simulation(2, node=f"n{number}")
            sim.services["one"][2].latency_ms = 300.0
            caller = sim.request(b"/one/")
            self.assertEqual(200, caller.response.status)
            self.assertEqual(1, helpers.execution_count(sim, "one"))

    def test_request_without_any_permit_is_refused_at_once(self):
        for target in (b"/one/", b"/once/"):
            sim = limited_simulation(3)
            caller = sim.request(target)
            self.assertEqual(503, caller.response.status)
            waited_ms = caller.responded_at_ms - caller.sent_at_ms
            self.assertLess(waited_ms, 30.0)
            self.assertEqual(0, helpers.execution_count(sim, "one"))
