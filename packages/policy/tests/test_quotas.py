"""Tests of issuing customers' quotas."""

import doctest
import random
import unittest

from godwitflow.model import ids
from godwitflow.policy import customers
from godwitflow.policy import quotas

QUOTA = customers.Quota(20.0, 20.0)
CUSTOMER = customers.Customer(ids.CustomerName("c"), (), None, QUOTA)
BOUNDS = quotas.QuotaBounds()
NODE = ids.NodeId("n1")


def authority(role=quotas.Role.PRIMARY, share=1.0, since_ms=0.0):
    return quotas.Authority(role, share, since_ms)


class QuotaIssuerTest(unittest.TestCase):
    def setUp(self):
        self.issuer = quotas.QuotaIssuer(BOUNDS)

    def decide(self, now_ms, held=1, needed=True, customer=CUSTOMER, **fields):
        return self.issuer.decide(
            customer, authority(**fields), NODE, held, needed, now_ms
        )

    def granted(self, from_ms, to_ms, **fields):
        """Ask each millisecond; return how many requests are granted."""
        return sum(
            isinstance(self.decide(float(at_ms), **fields), quotas.Grant)
            for at_ms in range(int(from_ms), int(to_ms))
        )

    def test_full_quota_is_granted_to_a_customer_that_asks_for_more(self):
        spare = BOUNDS.spare(QUOTA)
        count = self.granted(60_000, 65_000)
        self.assertGreaterEqual(count, 20 + 20 * 5 - 1)
        self.assertLessEqual(
            count, 20 + 20 * 5 + quotas.ISSUED_PART * spare + 1
        )

    def test_denial_says_when_the_next_token_is_there(self):
        self.granted(60_000, 60_020)
        denial = self.decide(60_020.0)
        self.assertIsInstance(denial, quotas.Denial)
        later = self.decide(60_020.0 + denial.wait_ms)
        self.assertIsInstance(later, quotas.Grant)

    def test_new_issuer_starts_without_a_burst(self):
        spare = BOUNDS.spare(QUOTA)
        count = self.granted(
            1_000, 1_100, role=quotas.Role.NEW_PRIMARY, since_ms=1_000.0
        )
        self.assertLessEqual(count, quotas.START_PART * spare + 1)

    def test_standby_issues_a_part_of_the_spare(self):
        spare = BOUNDS.spare(QUOTA)
        count = self.granted(
            0, BOUNDS.window_ms, role=quotas.Role.STANDBY, since_ms=0.0
        )
        parts = quotas.STANDBY_PART + quotas.START_PART
        self.assertGreater(count, 0)
        self.assertLessEqual(count, parts * spare)

    def test_sides_of_a_split_fleet_issue_in_proportion(self):
        other = quotas.QuotaIssuer(BOUNDS)
        total = 0
        for at_ms in range(5_000):
            for issuer, share in ((self.issuer, 0.6), (other, 0.4)):
                decision = issuer.decide(
                    CUSTOMER,
                    authority(share=share, since_ms=-9_000.0),
                    NODE,
                    1,
                    True,
                    float(at_ms),
                )
                total += isinstance(decision, quotas.Grant)
        self.assertLessEqual(total, 20 + 20 * 5 + BOUNDS.spare(QUOTA))

    def test_reserves_of_all_nodes_stay_within_a_part_of_the_spare(self):
        reserved = 0
        for number in range(100):
            decision = self.issuer.decide(
                CUSTOMER,
                authority(),
                ids.NodeId(f"n{number}"),
                0,
                False,
                90_000.0 + 50.0 * number,
            )
            reserved += decision.reserve
        self.assertGreater(reserved, 0)
        part = quotas.RESERVE_PART * BOUNDS.spare(QUOTA)
        self.assertLessEqual(reserved, part)

    def test_customer_that_uses_up_its_quota_gets_no_reserve(self):
        self.granted(60_000, 60_015)
        decision = self.decide(60_015.0, held=0)
        self.assertEqual(quotas.Grant(0), decision)

    def test_lowered_quota_takes_the_burst_back(self):
        self.decide(60_000.0)
        low = customers.Quota(1.0, 2.0)
        lowered = customers.Customer(CUSTOMER.name, (), None, low)
        self.assertLessEqual(self.granted(60_001, 60_100, customer=lowered), 2)

    def test_no_spare_leaves_nothing_for_a_standby(self):
        self.issuer.bounds = quotas.QuotaBounds(5_000.0, 0.0, 0.0)
        decision = self.decide(1_000.0, role=quotas.Role.STANDBY)
        self.assertIsInstance(decision, quotas.Denial)


class ReturnTest(unittest.TestCase):
    def test_callers_beyond_the_quota_return_spread(self):
        rng = random.Random(1)
        times_s = [
            quotas.return_after_s(100.0, QUOTA, rng) for _ in range(100)
        ]
        self.assertGreaterEqual(min(times_s), 0.1)
        self.assertGreater(max(times_s) - min(times_s), 0.2)


class NodeQuotaTest(unittest.TestCase):
    def test_reserve_expires(self):
        quota = quotas.NodeQuota([100.0, 200.0])
        self.assertTrue(quota.take(150.0))
        self.assertFalse(quota.take(150.0))


def load_tests(loader, tests, pattern):
    tests.addTests(doctest.DocTestSuite(quotas))
    return tests
