"""Tests of strikes."""

import unittest

from godwitflow.policy import crash_history

ONE = crash_history.fingerprint(b"GET", b"/a", None)


class StrikesTest(unittest.TestCase):
    def setUp(self):
        self.strikes = crash_history.CrashHistory()

    def test_one_bad_run_condemns_nothing(self):
        self.strikes.record_crashes(ONE, 10, 0.0)
        self.assertFalse(self.strikes.is_blocked(ONE, 1.0))

    def test_request_that_keeps_crashing_is_condemned_for_long(self):
        for at_ms in (0.0, 5_000.0):
            self.strikes.record_crashes(ONE, 2, at_ms)
        self.assertTrue(self.strikes.is_blocked(ONE, 5_001.0))
        self.assertTrue(self.strikes.is_blocked(ONE, 600_000.0))
        self.assertFalse(self.strikes.is_blocked(ONE, 605_001.0))

    def test_request_that_runs_well_is_cleared(self):
        for at_ms in (0.0, 1.0):
            self.strikes.record_crashes(ONE, 2, at_ms)
        self.strikes.clear(ONE)
        self.assertFalse(self.strikes.is_blocked(ONE, 2.0))

    def test_table_is_bounded(self):
        for number in range(crash_history.MAX_ENTRIES + 10):
            self.strikes.record_crashes(number, 5, float(number))
            self.strikes.record_crashes(number, 5, float(number))
        self.assertFalse(self.strikes.is_blocked(0, 1.0))
        self.assertTrue(
            self.strikes.is_blocked(crash_history.MAX_ENTRIES, 20_000.0)
        )

    def test_fingerprint_tells_parts_apart(self):
        seen = {
            crash_history.fingerprint(method, target, body)
            for method in (b"GET", b"POST")
            for target in (b"/a", b"/b", b"/ab")
            for body in (None, b"x", b"bx")
        }
        self.assertEqual(18, len(seen))
