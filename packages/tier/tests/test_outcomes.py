"""Tests of what a node learns from the outcomes of its calls."""

import unittest

import simulation

from godwitflow.http1 import messages
from godwitflow.http1 import upstreams

NOT_RUN = [(b"X-Not-Run", b"1")]
LEAVING = [(b"X-Leaving", b"1")]
PAUSE = [(b"Retry-After", b"2")]


def replied(status, headers=()):
    return upstreams.Replied(
        messages.Response(status, b"", list(headers), b"")
    )


def failed(reason):
    return upstreams.Failed(reason, True)


class OutcomesTest(unittest.TestCase):
    def setUp(self):
        self.sim = simulation.Simulation()
        self.dispatcher = self.sim.dispatcher
        self.upstream = self.dispatcher.service("one").upstreams[0]
        self.latency = self.dispatcher.latencies.of(self.sim.routes[0])

    def record(self, outcome, rejected=False, elapsed_ms=20.0):
        self.dispatcher.outcomes.record(
            self.upstream,
            self.latency,
            elapsed_ms,
            outcome,
            rejected,
            self.latency.median.value,
        )

    def test_replies_set_the_latency_of_the_route(self):
        for _ in range(200):
            self.record(replied(200), elapsed_ms=40.0)
        self.assertAlmostEqual(40.0, self.latency.median.value, delta=4.0)
        self.assertEqual(0.0, self.upstream.health.failure_share)

    def test_failures_and_rejections_raise_the_failure_share(self):
        for outcome, rejected in (
            (replied(500), False),
            (replied(503, NOT_RUN), True),
            (failed(upstreams.FailureReason.CONNECTION_LOST), False),
        ):
            self.setUp()
            self.record(outcome, rejected)
            self.assertGreater(self.upstream.health.failure_share, 0.0)

    def test_named_time_is_no_failure(self):
        self.record(replied(503, NOT_RUN + PAUSE), rejected=True)
        self.assertEqual(0.0, self.upstream.health.failure_share)
        now_ms = self.dispatcher.now_ms()
        self.assertFalse(self.upstream.takes_calls(now_ms))

    def test_misdirected_response_says_nothing_of_the_upstream_itself(self):
        self.record(replied(421, LEAVING + PAUSE), rejected=True)
        self.assertTrue(self.upstream.misdirected)
        self.assertIsNone(self.upstream.notices.leaving_until_ms)
        self.assertEqual(0.0, self.upstream.notices.paused_until_ms)

    def test_doubt_and_recovery_are_logged(self):
        lost = failed(upstreams.FailureReason.CONNECTION_LOST)
        for _ in range(5):
            self.record(lost)
        self.record(replied(200))
        events = [name for name, _ in self.sim.log.lines]
        self.assertEqual(["upstream_doubted", "upstream_back"], events)
