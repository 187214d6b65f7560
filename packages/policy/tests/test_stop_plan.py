"""Tests of the schedule of a graceful stop."""

import doctest
import unittest

from godwitflow.policy import stop_plan

GRACE_MS = 6_000.0
PLAN = stop_plan.plan_stop(1_000.0, GRACE_MS)


def load_tests(loader, tests, pattern):
    """Add the examples in the module's documentation."""
    tests.addTests(doctest.DocTestSuite(stop_plan))
    return tests


class StopPlanTest(unittest.TestCase):
    def test_requests_are_answered_before_the_end_of_the_grace_period(self):
        self.assertLess(PLAN.answer_at_ms, PLAN.end_at_ms)
        self.assertLess(PLAN.end_at_ms, 1_000.0 + GRACE_MS)

    def test_short_requests_are_taken_for_most_of_the_grace_period(self):
        half_ms = 1_000.0 + 0.5 * GRACE_MS
        for idempotent in (True, False):
            self.assertTrue(PLAN.takes(half_ms, 100.0, idempotent))

    def test_no_request_is_taken_that_may_not_end_in_time(self):
        for now_ms in range(1_000, 7_000, 100):
            for target_ms in (50.0, 900.0, 3_000.0):
                for idempotent in (True, False):
                    if PLAN.takes(float(now_ms), target_ms, idempotent):
                        self.assertLessEqual(
                            now_ms + target_ms, PLAN.answer_at_ms
                        )

    def test_request_that_must_not_be_repeated_is_given_more_time(self):
        target_ms = 1_000.0
        now_ms = PLAN.answer_at_ms - 1.5 * target_ms
        self.assertTrue(PLAN.takes(now_ms, target_ms, True))
        self.assertFalse(PLAN.takes(now_ms, target_ms, False))
