"""Tests of an upstream that asks a whole fleet for a time without calls."""

import unittest

import fleet as fleets
import simulated_upstreams

WINDOW_MS = 100.0
REQUESTS_PER_S = 300.0
SLOTS = 6
LATENCY_MS = 20.0
CAPACITY = SLOTS * WINDOW_MS / LATENCY_MS  # calls in a window


class PausedUpstreamTest(unittest.TestCase):
    def play(self, nodes, seed):
        """Return the most calls in a window after the time."""
        fleet = fleets.Fleet(nodes=nodes, replicas=3, seed=seed)
        for upstream in fleet.services["one"]:
            upstream.latency_ms = LATENCY_MS
            upstream.slots = SLOTS
        fleet.run(2_000.0, REQUESTS_PER_S)
        paused, *_ = fleet.services["one"]
        paused.mode = simulated_upstreams.Mode.REJECT
        paused.retry_after = (b"2",)
        fleet.run(1_000.0, REQUESTS_PER_S)
        paused.mode = simulated_upstreams.Mode.HEALTHY
        from_ms = fleet.reactor.now_ms()
        fleet.run(3_000.0, REQUESTS_PER_S)
        return fleets.most_arrivals(paused, WINDOW_MS, from_ms)

    def test_nodes_do_not_return_to_it_all_at_once(self):
        for nodes in (9, 64, 100):
            for seed in (1, 2, 3):
                most = self.play(nodes, seed)
                self.assertLessEqual(most, CAPACITY, (nodes, seed))
