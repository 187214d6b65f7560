"""Tests of the modelled upstream: the order of what it does."""

import random
import unittest

from godwitflow.lab import model_upstream
from godwitflow.policy import jobs


class FakeClock:
    """Collects what is scheduled and never runs it."""

    now_ms = 0.0

    def after(self, delay_ms, action, *args):
        pass


class CrashOrderTest(unittest.TestCase):
    CALLS = 64

    def setUp(self):
        self.ended = []
        self.upstream = model_upstream.ModelUpstream(
            FakeClock(), "u", self.CALLS, 10.0, random.Random(1)
        )
        for number in range(self.CALLS):
            self.upstream.submit(self.new_call(number))

    def new_call(self, number):
        call = model_upstream.UpstreamCall(
            (), lambda result: self.ended.append((number, result))
        )
        call.on_lost = lambda: self.ended.append((number, None))
        return call

    def test_crash_ends_calls_in_the_order_of_their_start(self):
        self.upstream.crash()
        self.assertEqual(
            [(number, jobs.CallCrashed()) for number in range(self.CALLS)],
            self.ended,
        )

    def test_loss_ends_calls_in_the_order_of_their_start(self):
        self.upstream.become_unreachable()
        self.assertEqual(
            [(number, None) for number in range(self.CALLS)], self.ended
        )
