"""Tests of the checks that nodes follow the store in time."""

import doctest
import unittest

from godwitflow.soak import disturbances as disturbed
from godwitflow.soak import history as histories
from godwitflow.soak import state_checks
from godwitflow.standins import fake_upstream
from godwitflow.standins import fixtures


class StateChecksTest(unittest.TestCase):
    def setUp(self):
        self.history = histories.History([])
        self.history.services = {"u1": "turn-1", "u2": "turn-2"}
        self.confirmations = state_checks.Confirmations([(0.0, 1), (20.0, 2)])
        self.disturbances = disturbed.Disturbances()

    def ask(self, sent_at_s, upstream, status=200):
        """Record a request of node n0 that an upstream ran."""
        request = f"r{len(self.history.requests)}"
        record = histories.RequestRecord(
            request,
            histories.Kind.VERSIONED,
            "GET",
            "/turn/x",
            b"",
            "n0/0",
            sent_at_s,
            1,
            status=status,
            ended_at_s=sent_at_s + 0.1,
            signatures=(f"{upstream}.{request}",),
        )
        self.history.requests[request] = record
        self.history.record_arrival(
            fake_upstream.Arrival(
                upstream,
                self.history.services[upstream],
                request,
                "GET",
                "/turn/x",
                b"",
                sent_at_s,
                True,
            )
        )

    def problems(self):
        return state_checks.judge(
            self.history, self.confirmations, self.disturbances
        ).problems()

    def test_old_configuration_is_reported_once_it_is_due(self):
        self.ask(20.0 + fixtures.APPLY_LIMIT_S, "u1")
        self.assertEqual([], self.problems())
        self.ask(20.5 + fixtures.APPLY_LIMIT_S, "u1")
        self.assertEqual(["CONFIG: 1 requests at n0"], self.problems())

    def test_route_that_is_not_found_is_reported(self):
        self.ask(10.0, "u1", status=404)
        self.assertEqual(["CONFIG: 1 requests at n0"], self.problems())

    def test_request_to_an_upstream_that_drains_is_reported(self):
        self.confirmations.withdrawn_at_s["u2"] = 30.0
        self.ask(30.0 + fixtures.DRAIN_S, "u2")
        self.assertEqual([], self.problems())
        self.ask(30.5 + fixtures.DRAIN_S, "u2")
        self.assertEqual(["DRAIN: 1 requests at n0"], self.problems())

    def test_disturbed_node_is_judged_again_after_the_stable_window(self):
        for sent_at_s, broken in ((41.0, False), (45.5, True)):
            self.setUp()
            self.disturbances.add_node("n0", 40.0, 41.0)
            self.disturbances.add_node("n1", 40.0, 60.0)
            self.ask(sent_at_s, "u1")
            self.assertEqual(broken, bool(self.problems()), sent_at_s)

    def test_withdrawal_while_the_store_is_unstable_is_not_judged(self):
        self.confirmations.withdrawn_at_s["u2"] = 30.0
        self.disturbances.add_store(28.0, 29.0)
        self.ask(40.0, "u2")
        self.assertEqual([], self.problems())

    def test_moments_close_together_make_one_interval(self):
        ongoing = disturbed.Ongoing(self.disturbances, 0.3)
        for now_s in (40.0, 40.2, 40.4):
            ongoing.observe("n0", now_s)
        self.assertFalse(self.disturbances.undisturbed("n0", 44.3, 44.4))
        self.assertTrue(self.disturbances.undisturbed("n0", 44.5, 44.6))
        self.assertTrue(self.disturbances.undisturbed("n0", 35.0, 39.9))


def load_tests(loader, tests, pattern):
    """Add the doctest of disturbances."""
    tests.addTests(doctest.DocTestSuite(disturbed))
    return tests
