"""Tests of the load that upstreams report."""

import doctest
import unittest

from godwitflow.policy import reported_load


class ReadReportTest(unittest.TestCase):
    def test_odd_reports_are_not_read(self):
        for values in (
            [],
            [b""],
            [b"1,2"],
            [b"1,2,0"],
            [b"-1,2,3"],
            [b"1,2,3,4,5"],
            [b"a,b,c"],
            [b"1,2,99999999"],
            [b"1,2,3", b"1,2,3"],
        ):
            self.assertIsNone(reported_load.read_report(values), values)


class KnownLoadTest(unittest.TestCase):
    def cost_factor(self, *figures, age_ms=0.0):
        known = reported_load.KnownLoad()
        known.apply(reported_load.LoadReport(*figures), 1_000.0)
        return known.cost_factor(1_000.0 + age_ms)

    def test_upstream_without_a_report_costs_as_usual(self):
        self.assertEqual(1.0, reported_load.KnownLoad().cost_factor(5.0))

    def test_queue_and_pace_cost_more(self):
        idle = self.cost_factor(1, 0, 4)
        full = self.cost_factor(4, 0, 4)
        queued = self.cost_factor(4, 8, 4)
        slow = self.cost_factor(1, 0, 4, 2.0)
        self.assertLess(idle, full)
        self.assertLess(full, queued)
        self.assertLess(idle, slow)

    def test_old_report_counts_little(self):
        self.assertAlmostEqual(
            1.0, self.cost_factor(4, 8, 4, age_ms=3_000.0), 2
        )

    def test_false_report_has_a_bounded_effect(self):
        self.assertLessEqual(self.cost_factor(9, 999_999, 1, 9_999.0), 24.0)
        self.assertGreaterEqual(self.cost_factor(0, 0, 1, 0.0), 0.5)


def load_tests(loader, tests, pattern):
    tests.addTests(doctest.DocTestSuite(reported_load))
    return tests
