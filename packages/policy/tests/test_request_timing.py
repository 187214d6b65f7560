"""Tests of when a request is hedged, answered and given up."""

import doctest
import unittest

from godwitflow.policy import request_timing


def plan(hedge_delay_ms=20.0, target_ms=100.0, deadline_ms=1_500.0, new=False):
    return request_timing.plan_gather(
        0.0, deadline_ms, target_ms, hedge_delay_ms, new
    )


class RequestTimingTest(unittest.TestCase):
    def test_times_are_in_order(self):
        for hedge_delay_ms in (0.1, 5.0, 20.0, 44.0, 300.0):
            for target_ms in (50.0, 118.0, 1_500.0):
                for new in (False, True):
                    times = plan(hedge_delay_ms, target_ms, new=new)
                    self.assertLess(0.0, times.first_hedge_at_ms)
                    self.assertLessEqual(
                        times.first_hedge_at_ms, times.last_hedge_at_ms
                    )
                    self.assertLess(times.cutoff_at_ms, target_ms)
                    self.assertLess(times.cutoff_at_ms, times.give_up_at_ms)

    def test_request_on_a_new_connection_is_cut_off_earlier(self):
        reused, new = plan(), plan(new=True)
        self.assertLess(new.cutoff_at_ms, reused.cutoff_at_ms)

    def test_last_hedge_leaves_time_for_its_reply(self):
        times = plan(hedge_delay_ms=15.0)
        left_ms = times.cutoff_at_ms - times.last_hedge_at_ms
        self.assertGreaterEqual(left_ms, 15.0)

    def test_deadline_before_the_target_latency_is_kept(self):
        times = plan(deadline_ms=60.0)
        self.assertLessEqual(times.cutoff_at_ms, times.give_up_at_ms)
        self.assertLess(times.give_up_at_ms, 60.0)


def load_tests(loader, tests, pattern):
    """Add the doctests of the module."""
    tests.addTests(doctest.DocTestSuite(request_timing))
    return tests
