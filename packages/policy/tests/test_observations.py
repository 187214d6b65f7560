"""Tests of the observations that nodes report to each other."""

import random
import unittest

from godwitflow.model import ids
from godwitflow.policy import observations
from godwitflow.policy import replica_choice

MEDIAN_MS = 10.0


def never_degraded(name):
    return False


class ObservationsTest(unittest.TestCase):
    def test_only_notable_observations_are_reported(self):
        collected = observations.Observations()
        collected.record_reply(ids.UpstreamId("fast"), 1.0)
        collected.record_reply(ids.UpstreamId("slow"), 9.0)
        collected.record_failure(ids.UpstreamId("broken"))
        reports = {
            item.upstream: item for item in collected.end_round(never_degraded)
        }
        self.assertEqual({"slow", "broken"}, set(reports))
        self.assertEqual(9.0, reports["slow"].latency_ratio)
        self.assertEqual((0, 1), (reports["broken"].replies, 1))

    def test_recovery_of_degraded_upstreams_is_reported(self):
        collected = observations.Observations()
        collected.record_reply(ids.UpstreamId("back"), 1.0)
        reports = collected.end_round(lambda name: name == "back")
        self.assertEqual(["back"], [item.upstream for item in reports])

    def test_each_call_is_reported_once(self):
        collected = observations.Observations()
        collected.record_failure(ids.UpstreamId("broken"))
        self.assertEqual(1, len(collected.end_round(never_degraded)))
        self.assertEqual([], collected.end_round(never_degraded))

    def test_round_is_bounded_and_keeps_the_worst(self):
        collected = observations.Observations()
        for number in range(50):
            collected.record_reply(ids.UpstreamId(f"u{number}"), 3.0 + number)
        reports = collected.end_round(never_degraded)
        self.assertEqual(observations.MAX_REPORTS_PER_ROUND, len(reports))
        self.assertEqual("u49", reports[0].upstream)


class ReportTest(unittest.TestCase):
    def test_reports_of_slow_calls_reduce_the_share_of_calls(self):
        slow = replica_choice.ReplicaHealth()
        healthy = replica_choice.ReplicaHealth()
        report = observations.Observation(ids.UpstreamId("a"), 1, 9.0, 0)
        for _ in range(4):
            slow.on_peer_report(0.0, report)
        candidates = [
            replica_choice.Candidate(ids.UpstreamId("a"), slow, False, 2),
            replica_choice.Candidate(ids.UpstreamId("b"), healthy, False, 2),
        ]
        rng = random.Random(1)
        chosen = [
            replica_choice.choose(candidates, 0.0, MEDIAN_MS, rng).upstream
            for _ in range(500)
        ]
        self.assertLess(chosen.count("a"), 75)

    def test_reports_alone_never_make_an_upstream_unavailable(self):
        health = replica_choice.ReplicaHealth()
        report = observations.Observation(ids.UpstreamId("a"), 0, 1.0, 40)
        for _ in range(100):
            health.on_peer_report(0.0, report)
        self.assertFalse(health.unavailable(0.0))
        self.assertFalse(health.needs_trial(0.0))

    def test_own_successful_replies_outweigh_reports(self):
        health = replica_choice.ReplicaHealth()
        report = observations.Observation(ids.UpstreamId("a"), 1, 9.0, 1)
        for _ in range(10):
            health.on_peer_report(0.0, report)
        for _ in range(12):
            health.on_reply(0.0, MEDIAN_MS, MEDIAN_MS)
        self.assertFalse(health.degraded)


class FleetTest(unittest.TestCase):
    """Simulates a fleet in which a node makes few calls to an upstream."""

    def _slow_calls(self, peer_count):
        nodes, rounds = 64, 20
        rng = random.Random(7)
        names = [ids.UpstreamId(name) for name in ("a", "b", "c")]
        health = [
            {name: replica_choice.ReplicaHealth() for name in names}
            for _ in range(nodes)
        ]
        counts = [observations.Observations() for _ in range(nodes)]
        slow = 0
        for step in range(rounds):
            now_ms = 400.0 * step
            for node in range(nodes):
                if rng.random() < 0.36:
                    slow += self._call(health[node], counts[node], now_ms, rng)
            for node in range(nodes):
                for report in counts[node].end_round(never_degraded):
                    for peer in rng.sample(range(nodes), peer_count):
                        health[peer][report.upstream].on_peer_report(
                            now_ms, report
                        )
        return slow

    def _call(self, health, counts, now_ms, rng):
        candidates = [
            replica_choice.Candidate(key, replica, False, 2)
            for key, replica in health.items()
        ]
        name = replica_choice.choose(
            candidates, now_ms, MEDIAN_MS, rng
        ).upstream
        took_ms = 90.0 if name == "a" else 10.0
        health[name].on_reply(now_ms + took_ms, took_ms, MEDIAN_MS)
        counts.record_reply(name, took_ms / MEDIAN_MS)
        return name == "a"

    def test_reports_reduce_calls_to_a_slow_upstream(self):
        alone, shared = self._slow_calls(0), self._slow_calls(4)
        self.assertLess(shared, 0.6 * alone)
