"""Tests of what follows from what upstreams say of themselves."""

import doctest
import math
import unittest

import hypothesis
from hypothesis import strategies

from godwitflow.policy import header_decimals
from godwitflow.policy import upstream_notices as notices

DRAIN_MS = 3_000.0
SETTINGS = hypothesis.settings(
    max_examples=300, deadline=None, derandomize=True, database=None
)
# (elapsed since the step before, what is heard)
STEPS = strategies.lists(
    strategies.tuples(
        strategies.floats(0.0, 5_000.0),
        strategies.sampled_from(["leaving", "nothing"])
        | strategies.floats(0.0, 1e9),
    ),
    max_size=12,
)


class NoticesTest(unittest.TestCase):
    @SETTINGS
    @hypothesis.given(STEPS, strategies.floats(0.0, 1.0))
    def test_no_order_of_notices_breaks_a_promise(self, steps, draw):
        heard = notices.Notices()
        now_ms = 0.0
        left_at_ms = None
        pause_end_ms = 0.0
        for elapsed_ms, said in steps:
            now_ms += elapsed_ms
            match said:
                case "leaving":
                    heard.on_leaving(now_ms, DRAIN_MS)
                    left_at_ms = now_ms if left_at_ms is None else left_at_ms
                case float(pause_ms):
                    heard.on_pause(now_ms, pause_ms, draw)
                    pause_end_ms = now_ms + min(pause_ms, notices.MAX_PAUSE_MS)
            for later_ms in (0.0, 1.0, 1_000.0, 2_999.0, 3_001.0, 1e6):
                at_ms = now_ms + later_ms
                usage = heard.usage(at_ms)
                if at_ms < pause_end_ms:
                    self.assertIs(notices.Usage.NONE, usage)
                if left_at_ms is not None:
                    self.assertIsNot(notices.Usage.NORMAL, usage)
                    if at_ms > left_at_ms + DRAIN_MS:
                        self.assertIs(notices.Usage.NONE, usage)
                elif at_ms > pause_end_ms + 0.1 * notices.MAX_PAUSE_MS:
                    self.assertIs(notices.Usage.NORMAL, usage)

    def test_upstream_that_leaves_is_a_last_choice_while_it_drains(self):
        heard = notices.Notices()
        self.assertTrue(heard.on_leaving(1_000.0, DRAIN_MS))
        self.assertIs(notices.Usage.LAST_CHOICE, heard.usage(3_000.0))
        self.assertFalse(heard.on_leaving(3_000.0, DRAIN_MS))
        self.assertIs(notices.Usage.NONE, heard.usage(3_500.0))

    def test_later_time_replaces_the_earlier_one(self):
        heard = notices.Notices()
        heard.on_pause(0.0, 10_000.0, 0.0)
        heard.on_pause(1_000.0, 500.0, 0.0)
        self.assertIs(notices.Usage.NORMAL, heard.usage(1_500.0))

    def test_time_of_an_hour_is_kept_to_its_end(self):
        # After five minutes of it calls went there again.
        heard = notices.Notices()
        hour_ms = 3_600_000.0
        heard.on_pause(0.0, hour_ms, 0.0)
        self.assertIs(notices.Usage.NONE, heard.usage(hour_ms - 1.0))
        self.assertIs(notices.Usage.NORMAL, heard.usage(hour_ms))

    @SETTINGS
    @hypothesis.given(strategies.lists(strategies.binary(max_size=40)))
    def test_any_value_is_a_sane_time_or_unreadable(self, values):
        match notices.read_pause(values):
            case notices.PauseStated(pause_ms):
                self.assertGreaterEqual(pause_ms, 0.0)
                self.assertFalse(math.isnan(pause_ms))
            case header_decimals.Unreadable(text):
                self.assertLessEqual(len(text), header_decimals.MAX_BYTES)
            case header_decimals.NotStated():
                self.assertEqual([], values)

    def test_odd_values_name_no_time(self):
        for value in (
            b"",
            b"-1",
            b"nan",
            b"inf",
            b"1e400",
            b"1_0",
            b"2 s",
            b"9" * 400,
            b"Fri, 31 Dec 1999 23:59:59 GMT",
        ):
            self.assertIsInstance(
                notices.read_pause([value]), header_decimals.Unreadable, value
            )
        heard = notices.Notices()
        heard.on_pause(0.0, 31_536_000_000.0, 0.0)
        self.assertEqual(notices.MAX_PAUSE_MS, heard.paused_until_ms)


class NoticeBookTest(unittest.TestCase):
    def test_notices_belong_to_one_instance(self):
        book = notices.NoticeBook()
        book.of("u1", 1).on_leaving(0.0, DRAIN_MS)
        self.assertIsNotNone(book.of("u1", 1).leaving_until_ms)
        for other in (book.of("u1", 2), book.of("u2", 1)):
            self.assertIsNone(other.leaving_until_ms)

    def test_oldest_are_dropped(self):
        book = notices.NoticeBook()
        for number in range(notices.MAX_INSTANCES + 5):
            book.of(f"u{number}", 1)
        self.assertEqual(notices.MAX_INSTANCES, len(book._notices))


def load_tests(loader, tests, pattern):
    """Add the doctests."""
    tests.addTests(doctest.DocTestSuite(notices))
    tests.addTests(doctest.DocTestSuite(header_decimals))
    return tests
