"""Tests of the choice among replicas that are slow or failing."""

import random
import unittest

from godwitflow.policy import replica_choice


SLOTS = 3


def share_of(replicas, name, now_ms=0.0, draws=2_000):
    rng = random.Random(3)
    candidates = [
        replica_choice.Candidate(key, health, False, SLOTS)
        for key, health in replicas.items()
    ]
    hits = sum(
        replica_choice.choose(candidates, now_ms, 10.0, rng).upstream == name
        for _ in range(draws)
    )
    return hits / draws


def new_replicas():
    return {name: replica_choice.ReplicaHealth() for name in ("a", "b", "c")}


class ReplicaChoiceTest(unittest.TestCase):
    def test_equal_replicas_get_equal_shares(self):
        for name in "abc":
            self.assertAlmostEqual(
                1 / 3, share_of(new_replicas(), name), delta=0.05
            )

    def test_slow_replica_gets_few_calls_until_it_recovers(self):
        replicas = new_replicas()
        for step in range(10):
            replicas["a"].on_reply(step * 50.0, 90.0, 10.0)
        self.assertLess(share_of(replicas, "a", 500.0), 0.05)
        self.assertGreater(share_of(replicas, "a", 20_000.0), 0.25)

    def test_replica_that_rejects_most_calls_is_avoided(self):
        replicas = new_replicas()
        rng = random.Random(1)
        for step in range(30):
            now_ms = step * 100.0
            if rng.random() < 0.6:
                replicas["a"].on_rejection(now_ms)
            else:
                replicas["a"].on_reply(now_ms, 10.0, 10.0)
        self.assertLess(share_of(replicas, "a", 3_000.0), 0.12)

    def test_replica_with_more_calls_in_flight_gets_fewer(self):
        replicas = new_replicas()
        replicas["a"].in_flight = 3
        self.assertLess(share_of(replicas, "a"), 0.06)

    def test_stuck_replica_is_avoided(self):
        replicas = new_replicas()
        replicas["a"].in_flight = 1
        replicas["a"].oldest_call_at_ms = 0.0
        replicas["a"].last_response_at_ms = 100.0
        self.assertLess(share_of(replicas, "a", 120.0), 0.02)

    def test_failing_replica_is_ejected_and_tried_again(self):
        replicas = new_replicas()
        for _ in range(3):
            replicas["a"].on_failure(0.0)
        self.assertEqual(0.0, share_of(replicas, "a", 100.0))
        self.assertFalse(replicas["a"].unavailable(600.0))

    def test_unresponsive_replica_is_unavailable_until_a_trial(self):
        health = replica_choice.ReplicaHealth()
        health.last_call_at_ms = 0.0
        health.oldest_call_at_ms = 0.0
        health.last_response_at_ms = -1.0
        self.assertFalse(health.unavailable(250.0))
        self.assertTrue(health.unavailable(301.0))
        health.on_cancelled(600.0, 0.0)
        health.oldest_call_at_ms = None
        health.last_call_at_ms = 590.0
        self.assertTrue(health.unavailable(700.0))
        self.assertFalse(health.unavailable(850.0))
        health.last_call_at_ms = 850.0
        health.oldest_call_at_ms = 850.0
        self.assertTrue(health.unavailable(851.0))
        health.on_reply(860.0, 10.0, 10.0)
        self.assertFalse(health.unavailable(900.0))

    def test_long_calls_to_a_healthy_upstream_are_no_failure(self):
        health = replica_choice.ReplicaHealth()
        health.on_reply(0.0, 150.0, 150.0)
        health.oldest_call_at_ms = 1.0
        self.assertFalse(health.unavailable(700.0))
        health.on_cancelled(700.0, 1.0)
        self.assertFalse(health.unresponsive)
        self.assertTrue(health.unavailable(752.0))

    def test_unavailable_replica_is_used_if_it_is_the_only_one(self):
        health = replica_choice.ReplicaHealth(ejected_until_ms=500.0)
        self.assertEqual(1.0, share_of({"a": health}, "a", 100.0))


class FailureDomainTest(unittest.TestCase):
    def setUp(self):
        self.near = replica_choice.ReplicaHealth()
        self.far = replica_choice.ReplicaHealth()

    def share_near(self, now_ms=0.0, draws=1_000):
        rng = random.Random(5)
        candidates = [
            replica_choice.Candidate("near", self.near, False, SLOTS),
            replica_choice.Candidate("far", self.far, True, SLOTS),
        ]
        chosen = [
            replica_choice.choose(candidates, now_ms, 10.0, rng).upstream
            for _ in range(draws)
        ]
        return chosen.count("near") / draws

    def test_steady_replica_of_the_own_domain_gets_all_calls(self):
        self.assertEqual(1.0, self.share_near())
        self.near.in_flight = 1
        self.near.oldest_call_at_ms = 0.0
        self.assertEqual(1.0, self.share_near(15.0))

    def test_slow_replica_of_the_own_domain_loses_most_calls(self):
        for step in range(10):
            self.near.on_reply(step * 50.0, 60.0, 10.0)
        self.assertLess(self.share_near(500.0), 0.25)
        self.assertEqual(1.0, self.share_near(20_000.0))

    def test_failing_replica_of_the_own_domain_loses_most_calls(self):
        for step in range(10):
            self.near.on_rejection(step * 50.0)
        self.assertLess(self.share_near(500.0), 0.25)

    def test_replica_with_a_late_call_shares_the_load(self):
        self.near.in_flight = 1
        self.near.oldest_call_at_ms = 0.0
        self.assertLess(self.share_near(25.0), 0.7)
        self.assertLess(self.share_near(80.0), 0.2)

    def test_late_short_call_does_not_drive_long_ones_to_other_domains(self):
        short = replica_choice.CallInFlight(0.0, 2.0)
        self.near.calls[1] = short
        self.near.in_flight = 1
        self.near.oldest_call_at_ms = 0.0
        self.assertEqual(1.0, self.share_near(15.0))

    def test_long_call_in_flight_is_not_late_for_a_short_one(self):
        self.near.calls[1] = replica_choice.CallInFlight(0.0, 60.0)
        self.near.in_flight = 1
        self.near.oldest_call_at_ms = 0.0
        self.assertEqual(1.0, self.share_near(80.0))

    def test_replica_whose_slots_are_taken_shares_the_load(self):
        self.near.in_flight = 2
        self.near.oldest_call_at_ms = 0.0
        self.assertLess(self.share_near(1.0), 0.5)

    def test_cold_replica_shares_the_load(self):
        self.near.cold_until_ms = 1_000.0
        self.assertLess(self.share_near(), 0.7)
        self.assertEqual(1.0, self.share_near(1_001.0))

    def test_lost_domain_is_replaced_by_others_until_it_is_back(self):
        for _ in range(3):
            self.near.on_failure(0.0)
        self.assertEqual(0.0, self.share_near(100.0))
        self.near.on_reply(600.0, 10.0, 10.0)
        self.assertGreater(self.share_near(20_000.0), 0.99)


class RoomTest(unittest.TestCase):
    MEDIAN_MS = 10.0

    def setUp(self):
        self.health = replica_choice.ReplicaHealth(in_flight=1)

    def room_share(self, left_ms, now_ms=1_000.0):
        rng = random.Random(5)
        hits = sum(
            self.health.has_room(now_ms, self.MEDIAN_MS, left_ms, rng.random())
            for _ in range(1_000)
        )
        return hits / 1_000

    def slow_down(self, ratio):
        for _ in range(30):
            self.health.on_reply(
                1_000.0, ratio * self.MEDIAN_MS, self.MEDIAN_MS
            )

    def test_normal_replica_has_room(self):
        self.assertEqual(1.0, self.room_share(50.0))

    def test_replica_that_answers_too_late_has_no_room(self):
        self.slow_down(6.0)
        self.assertEqual(0.0, self.room_share(50.0))

    def test_fewer_calls_are_added_the_less_time_is_left(self):
        self.slow_down(4.0)
        shares = [self.room_share(left_ms) for left_ms in (100, 60, 50, 39)]
        self.assertEqual(1.0, shares[0])
        self.assertEqual(sorted(shares, reverse=True), shares)
        self.assertGreater(shares[2], 0.0)
        self.assertEqual(0.0, shares[3])

    def test_replica_without_calls_in_flight_gets_one(self):
        self.slow_down(8.0)
        self.health.in_flight = 0
        self.assertEqual(1.0, self.room_share(5.0))

    def test_replica_has_room_again_after_a_while(self):
        self.slow_down(6.0)
        self.assertEqual(1.0, self.room_share(50.0, now_ms=12_000.0))

    def test_no_time_left_is_no_room(self):
        self.assertEqual(0.0, self.room_share(-5.0))
