"""Tests of the retry budget: the nodes together keep the fleet's limit."""

import random
import unittest

from godwitflow.policy import retry_budget

LIMITS = retry_budget.RetryLimits(0.2, 58.0, 10_000.0)


class RetryBudgetTest(unittest.TestCase):
    def test_uneven_nodes_keep_the_fleet_limit_in_any_window(self):
        rng = random.Random(5)
        nodes = [retry_budget.RetryBudget(LIMITS) for _ in range(9)]
        events = []
        for step in range(4_000):
            now_ms = step * 10.0
            for index, node in enumerate(nodes):
                if rng.random() < 0.02 * index:
                    node.on_request(now_ms)
                    events.append((now_ms, 1, 0))
                if rng.random() < 0.3 and node.try_acquire(now_ms, 9, 0):
                    events.append((now_ms, 0, 1))
        for start_ms in range(0, 30_000, 250):
            requests = extra_calls = 0
            for at_ms, request, extra in events:
                if start_ms <= at_ms < start_ms + LIMITS.window_ms:
                    requests += request
                    extra_calls += extra
            bound = LIMITS.ratio * requests + LIMITS.slack
            self.assertLessEqual(extra_calls, bound, start_ms)

    def test_slack_allows_a_few_calls_without_requests(self):
        budget = retry_budget.RetryBudget(LIMITS)
        taken = sum(budget.try_acquire(0.0, 9, 0) for _ in range(50))
        self.assertGreater(taken, 0)
        self.assertLessEqual(taken, LIMITS.slack / 9)

    def test_reserve_is_kept_for_the_most_urgent_rank(self):
        budget = retry_budget.RetryBudget(LIMITS)
        for _ in range(100):
            budget.on_request(0.0)
        while budget.try_acquire(0.0, 9, 1):
            pass
        self.assertTrue(budget.try_acquire(0.0, 9, 0))

    def test_calls_outside_the_window_do_not_count(self):
        budget = retry_budget.RetryBudget(LIMITS)
        while budget.try_acquire(0.0, 9, 0):
            pass
        self.assertFalse(budget.try_acquire(9_000.0, 9, 0))
        self.assertTrue(budget.try_acquire(11_000.0, 9, 0))


class HeadroomTest(unittest.TestCase):
    def test_headroom_ends_when_half_of_the_budget_is_used(self):
        budget = retry_budget.RetryBudget(LIMITS)
        for _ in range(100):
            budget.on_request(0.0)
        taken = 0
        while budget.has_headroom(0.0, 9, 1):
            self.assertTrue(budget.try_acquire(0.0, 9, 1))
            taken += 1
        left = 0
        while budget.try_acquire(0.0, 9, 1):
            left += 1
        self.assertGreater(left, 0)
        self.assertLessEqual(left, taken)

    def test_headroom_returns_after_the_window(self):
        budget = retry_budget.RetryBudget(LIMITS)
        while budget.try_acquire(0.0, 9, 1):
            pass
        self.assertFalse(budget.has_headroom(0.0, 9, 1))
        self.assertTrue(budget.has_headroom(11_000.0, 9, 1))
