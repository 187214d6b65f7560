"""Tests of the rate limits that upstreams state."""

import math
import unittest

import hypothesis
from hypothesis import strategies

from godwitflow.model import ids
from godwitflow.policy import header_decimals
from godwitflow.policy import rate_limits

NODE = ids.NodeId("n1")


def news(calls_per_s, heard_at_ms):
    return rate_limits.LimitNews(calls_per_s, heard_at_ms, NODE)


class ReadStatementTest(unittest.TestCase):
    def test_decimal_numbers_are_limits(self):
        for value, rate in ((b"16.4", 16.4), (b" 8 ", 8.0), (b".5", 0.5)):
            self.assertEqual(
                rate_limits.Stated(rate), rate_limits.read_statement([value])
            )

    def test_no_header_states_nothing(self):
        self.assertEqual(
            header_decimals.NotStated(), rate_limits.read_statement([])
        )

    def test_bad_values_are_unreadable(self):
        for value in (
            b"",
            b"-1",
            b"nan",
            b"inf",
            b"1e9",
            b"1_0",
            b"ten",
            b"1,5",
            b"\xff",
            b"9" * 40,
        ):
            self.assertIsInstance(
                rate_limits.read_statement([value]),
                header_decimals.Unreadable,
                value,
            )

    def test_lowest_of_several_valid_values_counts(self):
        self.assertEqual(
            rate_limits.Stated(4.0),
            rate_limits.read_statement([b"9", b"x", b"4"]),
        )

    def test_zero_still_lets_a_call_through_now_and_then(self):
        self.assertEqual(
            rate_limits.Stated(rate_limits.MIN_CALLS_PER_S),
            rate_limits.read_statement([b"0"]),
        )

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.one_of(
                strategies.binary(max_size=40),
                strategies.from_regex(rb"[ 0-9.,eE+-]*", fullmatch=True),
            ),
            min_size=1,
            max_size=3,
        )
    )
    def test_any_values_are_a_usable_limit_or_unreadable(self, values):
        match rate_limits.read_statement(values):
            case rate_limits.Stated(calls_per_s):
                self.assertTrue(math.isfinite(calls_per_s))
                self.assertGreaterEqual(
                    calls_per_s, rate_limits.MIN_CALLS_PER_S
                )
            case header_decimals.Unreadable(text):
                self.assertLessEqual(len(text), header_decimals.MAX_BYTES)
            case other:
                self.fail(f"{other}")


class KnownLimitTest(unittest.TestCase):
    def test_old_news_does_not_replace_newer_news(self):
        limit = rate_limits.KnownLimit()
        self.assertTrue(limit.apply(news(8.0, 1_000.0), 1_000.0))
        self.assertTrue(limit.apply(news(None, 2_000.0), 2_000.0))
        self.assertFalse(limit.apply(news(8.0, 1_500.0), 2_100.0))
        self.assertIsNone(limit.calls_per_s)

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(strategies.permutations(range(5)))
    def test_latest_news_wins_in_any_order(self, order):
        values = (8.0, None, 4.0, None, 16.0)
        limit = rate_limits.KnownLimit()
        for index in order:
            limit.apply(news(values[index], 100.0 * index), 1_000.0)
        self.assertEqual(16.0, limit.calls_per_s)

    def test_news_from_the_future_is_replaced_by_the_next(self):
        limit = rate_limits.KnownLimit()
        limit.apply(news(8.0, 90_000.0), 1_000.0)
        self.assertTrue(limit.apply(news(None, 1_001.0), 1_002.0))

    def test_response_under_way_when_limit_was_stated_does_not_end_it(self):
        limit = rate_limits.KnownLimit()
        limit.apply(news(8.0, 1_000.0), 1_000.0)
        late = rate_limits.news_of_response(
            header_decimals.NotStated(), 990.0, 1_010.0, NODE
        )
        self.assertFalse(limit.apply(late, 1_010.0))
        self.assertEqual(8.0, limit.calls_per_s)
        after = rate_limits.news_of_response(
            header_decimals.NotStated(), 1_020.0, 1_040.0, NODE
        )
        self.assertTrue(limit.apply(after, 1_040.0))

    def test_unreadable_statement_changes_nothing(self):
        self.assertIsNone(
            rate_limits.news_of_response(
                header_decimals.Unreadable("x"), 1.0, 2.0, NODE
            )
        )
