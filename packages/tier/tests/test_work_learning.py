"""Tests of what a node learns of the work of requests from its calls."""

import random
import unittest

import simulation

from godwitflow.policy import work_estimates


class WorkLearningTest(unittest.TestCase):
    def setUp(self):
        self.sim = simulation.Simulation(replicas=3)
        self.upstreams = self.sim.services["one"]

    def ratio(self):
        features = work_estimates.features_of("one", b"/one/new", None, 0)
        return self.sim.dispatcher.work_estimates.ratio(features)

    def play(self, count, latency_ms):
        """Send requests one after the other, each with its own target."""
        for number in range(count):
            for upstream in self.upstreams:
                upstream.latency_ms = latency_ms(upstream)
            self.sim.request(b"/one/%d" % number)

    def test_estimate_of_alike_requests_does_not_drift(self):
        rng = random.Random(1)
        self.play(600, lambda _: 10.0 * rng.lognormvariate(0.0, 0.7))
        self.assertAlmostEqual(1.0, self.ratio(), delta=0.3)
        for upstream in self.sim.dispatcher.service("one").upstreams:
            self.assertLess(upstream.health.latency_ratio, 2.5)

    def test_slow_upstream_does_not_make_requests_look_costly(self):
        slow = self.upstreams[0]
        self.play(300, lambda upstream: 80.0 if upstream is slow else 10.0)
        self.assertAlmostEqual(1.0, self.ratio(), delta=0.3)
