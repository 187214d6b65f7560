"""Tests that a fleet keeps customers' quotas, and grants them."""

import random
import unittest

import quota_fleet

from godwitflow.policy import customers
from godwitflow.policy import quotas

BOUNDS = quotas.QuotaBounds()
SIZES = (9, 59, 300)
RUSH_MS = 6_000.0


class FleetQuotaTest(unittest.TestCase):
    def assert_bound(self, fleet, name="hot"):
        quota = fleet.customers[name].quota
        allowed = quota.rate_per_s * 5.0 + quota.burst + BOUNDS.spare(quota)
        most = quota_fleet.most_in_window(
            fleet.admitted[name], BOUNDS.window_ms
        )
        self.assertLessEqual(most, allowed)

    def test_customer_at_seven_times_its_quota_gets_its_quota(self):
        for nodes in SIZES:
            for entries in (None, ["n3"]):
                fleet = quota_fleet.QuotaFleet(nodes)
                quota = fleet.customers["hot"].quota
                fleet.run(RUSH_MS, entries, hot=7 * quota.rate_per_s)
                allotted = quota.rate_per_s * 6.0 + quota.burst
                count = len(fleet.admitted["hot"])
                self.assertGreaterEqual(count, 0.95 * allotted, nodes)
                self.assert_bound(fleet)

    def test_customer_at_half_of_its_quota_is_never_refused(self):
        for nodes in SIZES:
            fleet = quota_fleet.QuotaFleet(nodes)
            fleet.run(RUSH_MS, hot=160.0, calm=11.0)
            self.assertEqual(0, fleet.refused["calm"], nodes)

    def test_customer_at_half_of_its_quota_mostly_does_not_wait(self):
        fleet = quota_fleet.QuotaFleet(59)
        entries = [f"n{number}" for number in range(6)]
        fleet.run(10_000.0, entries, calm=11.0)
        waits_ms = fleet.waits_ms["calm"]
        without = sum(wait_ms == 0.0 for wait_ms in waits_ms)
        self.assertGreater(without, 0.8 * len(waits_ms))
        self.assertLess(max(waits_ms), 10.0)

    def test_datagrams_of_a_node_do_not_grow_with_the_fleet(self):
        for nodes in SIZES:
            fleet = quota_fleet.QuotaFleet(nodes)
            fleet.run(RUSH_MS, hot=160.0)
            most = max(node.sent for node in fleet.nodes.values())
            self.assertLessEqual(most, 1_200, nodes)

    def test_bound_holds_under_kills_pauses_and_splits(self):
        for seed in range(6):
            fleet = quota_fleet.QuotaFleet(9, seed)
            self._play_faults(fleet, random.Random(seed), 8)
            self.assert_bound(fleet)

    def test_bound_of_a_large_fleet_holds_under_faults(self):
        for seed in range(2):
            fleet = quota_fleet.QuotaFleet(59, seed)
            self._play_faults(fleet, random.Random(seed), 6)
            self.assert_bound(fleet)

    def _play_faults(self, fleet, rng, rounds):
        for _ in range(rounds):
            up = [
                name for name, node in fleet.nodes.items() if not node.frozen
            ]
            issuer = self._issuer(fleet)
            match rng.randrange(4):
                case 0 if issuer in up:
                    fleet.kill(issuer)
                case 1 if issuer in up:
                    fleet.pause(issuer, rng.uniform(500.0, 6_000.0))
                case 2:
                    count = rng.randint(1, len(fleet.names) // 2)
                    fleet.split(
                        set(rng.sample(fleet.names, count)),
                        rng.uniform(1_000.0, 8_000.0),
                    )
                case _ if up:
                    fleet.kill(rng.choice(up))
            fleet.run(rng.uniform(500.0, 4_000.0), hot=200.0)
        fleet.run(4_000.0, hot=200.0)

    def _issuer(self, fleet, customer="hot"):
        ranking = quotas.permits.rank_issuers(
            fleet.names, quotas.group_of(customer)
        )
        return ranking[0]

    def test_issuer_that_wakes_does_not_grant_a_burst_again(self):
        fleet = quota_fleet.QuotaFleet(9)
        fleet.run(2_000.0, hot=200.0)
        fleet.pause(self._issuer(fleet), 4_500.0)
        fleet.run(8_000.0, hot=200.0)
        self.assert_bound(fleet)

    def test_restart_of_all_nodes_grants_no_second_burst(self):
        fleet = quota_fleet.QuotaFleet(9)
        fleet.run(1_000.0, hot=200.0)
        for name in list(fleet.names):
            fleet.kill(name, 500.0)
        fleet.run(5_000.0, hot=200.0)
        self.assert_bound(fleet)
        self.assertGreater(len(fleet.admitted["hot"]), 60)

    def test_backlog_after_a_restart_of_all_nodes_is_served(self):
        fleet = quota_fleet.QuotaFleet(9, quota=customers.Quota(3.0, 3.0))
        for name in list(fleet.names):
            fleet.kill(name, 500.0)
        fleet.run(1_500.0)
        for node in fleet.nodes.values():
            fleet.ask("calm", node)
        fleet.run(300.0)
        self.assertEqual(0, fleet.refused["calm"])

    def test_restarts_of_all_nodes_in_a_row_keep_the_bound(self):
        for quota in (customers.Quota(3.0, 3.0), customers.Quota(40.0, 40.0)):
            fleet = quota_fleet.QuotaFleet(9, quota=quota)
            fleet.run(1_000.0, hot=300.0)
            for _ in range(2):
                for name in list(fleet.names):
                    fleet.kill(name, 1_000.0)
                fleet.run(4_000.0, hot=300.0)
            self.assert_bound(fleet)

    def test_killed_issuer_is_replaced(self):
        fleet = quota_fleet.QuotaFleet(9)
        fleet.run(1_000.0, calm=6.0)
        fleet.kill(self._issuer(fleet, "calm"), 60_000.0)
        fleet.run(8_000.0)
        before = len(fleet.admitted["calm"])
        fleet.run(4_000.0, calm=6.0)
        self.assertGreater(len(fleet.admitted["calm"]) - before, 14)

    def test_silent_issuer_does_not_stop_a_customer(self):
        fleet = quota_fleet.QuotaFleet(9)
        fleet.run(1_000.0, calm=6.0)
        fleet.pause(self._issuer(fleet, "calm"), 60_000.0)
        fleet.refused["calm"] = 0
        before = len(fleet.admitted["calm"])
        fleet.run(1_500.0, calm=3.0)
        self.assertGreater(len(fleet.admitted["calm"]), before)
        self.assertLessEqual(fleet.refused["calm"], 1)
