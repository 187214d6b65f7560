"""Tests of the permits for calls to upstreams with a rate limit."""

import unittest

import hypothesis
from hypothesis import strategies

from godwitflow.model import ids
from godwitflow.policy import permits

INSTANCE = permits.Instance(ids.UpstreamId("u"), 1)
WINDOW_MS = 4_000.0
RATES = strategies.floats(0.2, 2_000.0)
ASKS = strategies.lists(
    strategies.tuples(
        strategies.floats(0.0, 300.0),
        strategies.booleans(),
        strategies.sampled_from(permits.Role),
    ),
    min_size=1,
    max_size=150,
)


def ask(issuer, rate, now_ms, urgent=True, role=permits.Role.PRIMARY):
    return issuer.decide(INSTANCE, rate, role, 1.0, urgent, now_ms)


def issued_count(issuer, rate, at_ms, asks, urgent=True):
    return sum(
        ask(issuer, rate, at_ms, urgent) == permits.Issued()
        for _ in range(asks)
    )


class PermitIssuerTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
    @hypothesis.given(RATES, ASKS)
    def test_issuer_and_standby_together_keep_to_the_limit(self, rate, asks):
        issuer = permits.PermitIssuer()
        issued_at_ms = []
        now_ms = 0.0
        for wait_ms, urgent, role in asks:
            now_ms += wait_ms
            for _ in range(20):
                if ask(issuer, rate, now_ms, urgent, role) == permits.Issued():
                    issued_at_ms.append(now_ms)
        allowed = 1.5 * rate * WINDOW_MS / 1_000.0 + 5
        for start_ms in issued_at_ms:
            end_ms = start_ms + WINDOW_MS
            count = sum(start_ms <= at_ms <= end_ms for at_ms in issued_at_ms)
            self.assertLessEqual(count, allowed)

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(RATES, strategies.booleans())
    def test_denied_call_gets_a_permit_after_the_wait(self, rate, urgent):
        issuer = permits.PermitIssuer()
        now_ms = 0.0
        while True:
            match ask(issuer, rate, now_ms, urgent):
                case permits.Denied(wait_ms):
                    break
        tries = 0
        while ask(issuer, rate, now_ms, urgent) != permits.Issued():
            tries += 1
            self.assertLess(tries, 5)
            now_ms += wait_ms + 0.001

    def test_first_call_after_a_long_idle_time_gets_a_permit(self):
        issuer = permits.PermitIssuer()
        for number in range(5):
            now_ms = number * 2 * permits.FORGET_AFTER_MS
            self.assertEqual(1, issued_count(issuer, 0.2, now_ms, 1, False))

    def test_urgent_calls_get_the_rest(self):
        issuer = permits.PermitIssuer()
        issued_count(issuer, 20.0, 0.0, 100, False)
        self.assertEqual(0, issued_count(issuer, 20.0, 0.0, 1, False))
        self.assertGreaterEqual(issued_count(issuer, 20.0, 0.0, 10, True), 2)

    def test_calls_that_are_not_urgent_are_not_starved_by_few_urgent(self):
        issuer = permits.PermitIssuer()
        others = 0
        for step in range(400):
            now_ms = step * 25.0
            if step % 16 == 0:
                ask(issuer, 10.0, now_ms, True)
            others += issued_count(issuer, 10.0, now_ms, 1, False)
        self.assertGreater(others, 50)

    def test_part_of_a_split_fleet_issues_its_part(self):
        whole = permits.PermitIssuer()
        part = permits.PermitIssuer()
        counts = [0, 0]
        for step in range(1_000):
            now_ms = step * 10.0
            for index, (issuer, share) in enumerate(
                ((whole, 1.0), (part, 0.25))
            ):
                decision = issuer.decide(
                    INSTANCE, 40.0, permits.Role.PRIMARY, share, True, now_ms
                )
                counts[index] += decision == permits.Issued()
        self.assertAlmostEqual(0.25, counts[1] / counts[0], delta=0.05)

    def test_instances_of_an_upstream_do_not_share_permits(self):
        issuer = permits.PermitIssuer()
        issued_count(issuer, 1.0, 0.0, 10)
        other = permits.Instance(ids.UpstreamId("u"), 2)
        self.assertEqual(
            permits.Issued(),
            issuer.decide(other, 1.0, permits.Role.PRIMARY, 1.0, True, 0.0),
        )


class RankIssuersTest(unittest.TestCase):
    nodes = [ids.NodeId(f"n{number}") for number in range(64)]

    def test_all_nodes_choose_the_same_issuer(self):
        for group in range(permits.GROUP_COUNT):
            self.assertEqual(
                permits.rank_issuers(self.nodes, group),
                permits.rank_issuers(reversed(self.nodes), group),
            )

    def test_loss_of_another_node_moves_no_issuer(self):
        for group in range(permits.GROUP_COUNT):
            ranking = permits.rank_issuers(self.nodes, group)
            rest = [node for node in self.nodes if node != ranking[-1]]
            self.assertEqual(ranking[:-1], permits.rank_issuers(rest, group))

    def test_groups_have_different_issuers(self):
        issuers = {
            permits.rank_issuers(self.nodes, group)[0]
            for group in range(permits.GROUP_COUNT)
        }
        self.assertGreater(len(issuers), 1)
