"""Tests of the crash history of requests."""

import unittest

from godwitflow.policy import crash_history

FINGERPRINT = crash_history.fingerprint(b"GET", b"/a", None)


class CrashHistoryTest(unittest.TestCase):
    def setUp(self):
        self.history = crash_history.CrashHistory()

    def test_single_strike_does_not_block_a_request(self):
        self.history.record_crashes(FINGERPRINT, 10, 0.0)
        self.assertFalse(self.history.is_blocked(FINGERPRINT, 1.0))

    def test_repeated_strikes_block_a_request(self):
        for at_ms in (0.0, 5_000.0):
            self.history.record_crashes(FINGERPRINT, 2, at_ms)
        self.assertTrue(self.history.is_blocked(FINGERPRINT, 5_001.0))
        self.assertTrue(self.history.is_blocked(FINGERPRINT, 600_000.0))
        self.assertFalse(self.history.is_blocked(FINGERPRINT, 605_001.0))

    def test_strikes_of_many_nodes_at_one_moment_block_a_request(self):
        # Counted as one, each node would run the request once more.
        for at_ms in (1_000.0, 1_000.0, 1_002.0):
            self.history.record_crashes(FINGERPRINT, 1, at_ms)
        self.assertTrue(self.history.is_blocked(FINGERPRINT, 1_003.0))

    def test_clear_unblocks_a_request(self):
        for at_ms in (0.0, 1.0):
            self.history.record_crashes(FINGERPRINT, 2, at_ms)
        self.history.clear(FINGERPRINT)
        self.assertFalse(self.history.is_blocked(FINGERPRINT, 2.0))

    def test_what_peers_know_is_merged_and_not_added(self):
        self.history.record_crashes(FINGERPRINT, 2, 100.0)
        peer = crash_history.BlockedRequest(FINGERPRINT, 1, 2, 90.0)
        for _ in range(5):
            self.history.merge(peer)
        self.assertFalse(self.history.is_blocked(FINGERPRINT, 101.0))

    def test_blocked_requests_are_told_with_the_time_of_the_last_strike(self):
        for at_ms in (0.0, 5_000.0):
            self.history.record_crashes(FINGERPRINT, 2, at_ms)
        self.history.record_crashes(1, 2, 6_000.0)
        (told,) = self.history.blocked(7_000.0)
        started = crash_history.CrashHistory()
        started.merge(told)
        self.assertTrue(started.is_blocked(FINGERPRINT, 605_000.0))
        self.assertFalse(started.is_blocked(FINGERPRINT, 605_001.0))
        self.assertEqual([], self.history.blocked(605_001.0))

    def test_few_blocked_requests_are_told_the_latest_first(self):
        for number in range(200):
            for _ in range(2):
                self.history.record_crashes(number, 2, float(number))
        told = self.history.blocked(300.0)
        self.assertEqual(crash_history.MAX_TOLD_ENTRIES, len(told))
        self.assertEqual(199, told[0].fingerprint)

    def test_table_is_bounded(self):
        for number in range(crash_history.MAX_ENTRIES + 10):
            self.history.record_crashes(number, 5, float(number))
            self.history.record_crashes(number, 5, float(number))
        self.assertFalse(self.history.is_blocked(0, 1.0))
        self.assertTrue(
            self.history.is_blocked(crash_history.MAX_ENTRIES, 20_000.0)
        )

    def test_fingerprint_depends_on_each_part(self):
        seen = {
            crash_history.fingerprint(method, target, body)
            for method in (b"GET", b"POST")
            for target in (b"/a", b"/b", b"/ab")
            for body in (None, b"x", b"bx")
        }
        self.assertEqual(18, len(seen))
