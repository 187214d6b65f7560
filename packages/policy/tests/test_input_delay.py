"""Tests of the delay of input."""

import doctest
import unittest

import hypothesis
from hypothesis import strategies

from godwitflow.policy import input_delay

TICK_MS = 100.0
PAUSES = strategies.lists(
    strategies.tuples(strategies.integers(1, 20), strategies.floats(0, 9e3))
)


class InputDelayTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=100)
    @hypothesis.given(PAUSES, strategies.booleans())
    def test_what_came_in_a_pause_is_never_taken_for_newer(
        self, pauses, tick_first
    ):
        now_ms = 0.0
        delay = input_delay.InputDelay(now_ms)
        for ticks, pause_ms in pauses:
            for _ in range(ticks):
                now_ms += TICK_MS
                delay.on_tick(now_ms)
            came_at_ms = now_ms
            now_ms += pause_ms
            if tick_first:
                delay.on_tick(now_ms)
            waited_ms = now_ms - came_at_ms
            if waited_ms > input_delay.PAUSE_THRESHOLD_MS:
                self.assertGreaterEqual(delay.max_ms(now_ms), waited_ms)

    def test_regular_ticks_mean_no_delay(self):
        delay = input_delay.InputDelay(0.0)
        for number in range(50):
            delay.on_tick(number * TICK_MS)
            self.assertEqual(0.0, delay.max_ms(number * TICK_MS + 99.0))


def load_tests(loader, tests, pattern):
    """Add the doctests."""
    tests.addTests(doctest.DocTestSuite(input_delay))
    return tests
