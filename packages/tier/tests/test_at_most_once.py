"""Tests that a response which is lost after the work ran stays true.

Upstreams reject, fail, cut off, fall silent and recover in any order, and
callers give up or are refused.
"""

import unittest

import hypothesis
from hypothesis import strategies
import simulated_upstreams
import simulation

Mode = simulated_upstreams.Mode
NOT_RUN_STATUSES = (408, 421, 429, 503)
MODES = strategies.sampled_from(
    [
        Mode.HEALTHY,
        Mode.REJECT,
        Mode.SILENT,
        Mode.RESET,
        Mode.REFUSE,
        Mode.ERROR,
        Mode.STALE,
        Mode.MISDIRECTED,
        Mode.UNMARKED_503,
        Mode.CUT_HEAD,
    ]
)
STEPS = strategies.lists(
    strategies.tuples(
        strategies.tuples(MODES, MODES, MODES),
        strategies.sampled_from([b"/once/", b"/one/", b"/all/"]),
        strategies.sampled_from([None, 20, 200, 2_000]),
        strategies.floats(0.0, 400.0),
    ),
    min_size=1,
    max_size=12,
)
SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=300
)
DRAIN_MS = 4_000.0


class AtMostOnceTest(unittest.TestCase):
    def play(self, steps):
        """Return the simulation and its callers by request id."""
        sim = simulation.Simulation(shards=2)
        callers = {}
        for number, (modes, target, deadline_ms, wait_ms) in enumerate(steps):
            for upstreams in sim.services.values():
                for upstream, mode in zip(upstreams, modes, strict=True):
                    upstream.mode = mode
            caller, _ = sim.send(target, deadline_ms=deadline_ms)
            callers[b"n1-%d" % number] = (target, caller)
            sim.advance(wait_ms)
        sim.advance(DRAIN_MS)
        return sim, callers

    def runs(self, sim, request_id):
        """Return how many times a request ran at any upstream."""
        return sum(
            request[b"x-id"] == request_id
            for upstreams in sim.services.values()
            for upstream in upstreams
            for request in upstream.executions
        )

    @SETTINGS
    @hypothesis.given(STEPS)
    def test_lost_responses_are_neither_run_again_nor_called_not_run(
        self, steps
    ):
        sim, callers = self.play(steps)
        for request_id, (target, caller) in callers.items():
            self.assertEqual(1, caller.response_count)
            runs = self.runs(sim, request_id)
            if target == b"/once/":
                self.assertLessEqual(runs, 1)
                if caller.response.status in NOT_RUN_STATUSES:
                    self.assertEqual(0, runs)
            if caller.response.status == 200:
                self.assertGreaterEqual(runs, 1)
