"""Tests of what part of a quota a node issues, and when."""

import unittest

import quota_fleet

from godwitflow.policy import customers
from godwitflow.policy import permits
from godwitflow.policy import quotas as policy
from godwitflow.tier import quota_issuing
from godwitflow.wire import messages

WANT = messages.QuotaWant(1, "hot", 1, True)


class QuotaIssuingTest(unittest.TestCase):
    def setUp(self):
        self.fleet = quota_fleet.QuotaFleet(3)
        ranking = permits.rank_issuers(
            self.fleet.names, policy.group_of("hot")
        )
        self.issuer = self.fleet.nodes[ranking[0]].quotas.issuing
        self.standby = self.fleet.nodes[ranking[1]].quotas.issuing
        self.last = self.fleet.nodes[ranking[2]].quotas.issuing

    def granted(self, issuing, role=permits.Role.PRIMARY, count=60):
        return sum(
            issuing.decide("n0", WANT, role).granted for _ in range(count)
        )

    def test_only_the_issuer_issues(self):
        self.assertGreaterEqual(self.granted(self.issuer), 23)
        for other in (self.standby, self.last):
            answer = other.decide("n0", WANT, permits.Role.PRIMARY)
            self.assertFalse(answer.granted)
            self.assertEqual(0.0, answer.wait_ms)

    def test_standby_issues_little(self):
        count = self.granted(self.standby, permits.Role.STANDBY)
        self.assertGreater(count, 0)
        self.assertLess(count, 10)
        self.assertEqual(0, self.granted(self.last, permits.Role.STANDBY))

    def test_configuration_long_after_the_start_is_no_pause(self):
        fleet = quota_fleet.QuotaFleet(1)
        node = fleet.nodes["n0"]
        node.quotas.apply_customers(())
        fleet.run(2 * quota_issuing.PAUSE_MS)
        node.quotas.apply_customers(fleet.customers.values())
        fleet.run(quota_fleet.TICK_MS)
        self.assertGreaterEqual(self.granted(node.quotas.issuing), 23)

    def test_pause_empties_the_bucket(self):
        self.fleet.clock.advance(quota_issuing.PAUSE_MS / 1_000.0 + 1.0)
        self.assertLess(self.granted(self.issuer), 10)

    def test_lowered_quota_is_kept_at_once(self):
        low = customers.Customer("hot", (), None, customers.Quota(1.0, 2.0))
        self.issuer.apply_customers({"hot": low})
        self.assertLessEqual(self.granted(self.issuer), 2)

    def test_unknown_customer_is_not_admitted(self):
        want = messages.QuotaWant(1, "other", 0, True)
        answer = self.issuer.decide("n0", want, permits.Role.PRIMARY)
        self.assertFalse(answer.granted)
