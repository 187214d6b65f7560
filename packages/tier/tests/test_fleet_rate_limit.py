"""Tests that a fleet keeps to the rate limits that upstreams state."""

import unittest

import fleet as fleets

from godwitflow.policy import permits
from godwitflow.wire import messages

WINDOW_MS = 4_000.0
STABLE_MS = 4_000.0  # from when the limit was first stated
FACTOR = 1.5
EXTRA_CALLS = 5


def allowed(calls_per_s):
    """Return how many calls a limited upstream may get in a window."""
    return FACTOR * calls_per_s * WINDOW_MS / 1_000.0 + EXTRA_CALLS


def state_limit(upstreams, calls_per_s):
    """Have upstreams state a limit in their responses from now on."""
    for upstream in upstreams:
        upstream.rate_limits = (b"%g" % calls_per_s,)


def arrivals_since(upstream, from_ms):
    return sum(at_ms >= from_ms for at_ms in upstream.arrived_at_ms)


class FleetRateLimitTest(unittest.TestCase):
    def assert_within_limit(self, upstreams, calls_per_s, from_ms):
        for upstream in upstreams:
            most = fleets.most_arrivals(upstream, WINDOW_MS, from_ms)
            self.assertLessEqual(most, allowed(calls_per_s), upstream.name)

    def play(self, limited_count=2, calls_per_s=10.0, rate=90.0, **options):
        """Run a fleet in which upstreams of the service are limited.

        Returns the fleet, the limited upstreams and when the bound begins.
        """
        fleet = fleets.Fleet(replicas=3, **options)
        fleet.run(3_000.0, rate)
        limited = fleet.services["one"][:limited_count]
        state_limit(limited, calls_per_s)
        from_ms = fleet.reactor.now_ms() + STABLE_MS
        return fleet, limited, from_ms

    def test_limited_upstream_gets_no_more_than_it_takes_of_all_nodes(self):
        fleet, limited, from_ms = self.play()
        fleet.run(14_000.0, 90.0)
        self.assert_within_limit(limited, 10.0, from_ms)
        self.assertGreaterEqual(fleet.served_share(), 0.99)

    def test_limited_upstream_is_still_used(self):
        fleet, limited, from_ms = self.play()
        fleet.run(14_000.0, 90.0)
        for upstream in limited:
            self.assertGreater(arrivals_since(upstream, from_ms), 60)

    def test_fleets_of_64_and_195_nodes_keep_to_a_small_limit(self):
        for nodes in (64, 195):
            fleet, limited, from_ms = self.play(
                nodes=nodes, calls_per_s=3.0, rate=60.0
            )
            fleet.run(12_000.0, 60.0)
            self.assert_within_limit(limited, 3.0, from_ms)
            self.assertGreaterEqual(fleet.served_share(), 0.99)

    def test_silent_issuer_is_replaced_within_the_limit(self):
        fleet, limited, from_ms = self.play()
        fleet.run(5_000.0, 90.0)
        issuer = self._issuer(fleet)
        issuer.frozen = True
        fleet.nodes.remove(issuer)
        fleet.run(8_000.0, 90.0)
        self.assert_within_limit(limited, 10.0, from_ms)
        self.assertGreaterEqual(fleet.served_share(), 0.99)
        since_ms = fleet.reactor.now_ms() - 4_000.0
        for upstream in limited:
            self.assertGreater(arrivals_since(upstream, since_ms), 4)

    def test_killed_issuer_is_replaced_within_the_limit(self):
        fleet, limited, from_ms = self.play()
        fleet.run(5_000.0, 90.0)
        fleet.remove(self._issuer(fleet))
        fleet.run(8_000.0, 90.0)
        self.assert_within_limit(limited, 10.0, from_ms)

    def test_two_issuers_by_views_that_differ_for_a_second(self):
        fleet, limited, from_ms = self.play()
        fleet.run(6_000.0, 90.0)
        issuer = self._issuer(fleet)
        others = [node for node in fleet.nodes if node is not issuer]
        ranking = permits.rank_issuers(
            [node.node for node in others], permits.group_of("one")
        )
        others.sort(key=lambda node: ranking.index(node.node))
        for node in others[:5]:
            node.members.dead = {issuer.node}
        fleet.members_changed()
        fleet.run(1_000.0, 90.0)
        for node in others:
            node.members.dead = set()
        fleet.members_changed()
        fleet.run(4_000.0, 90.0)
        self.assert_within_limit(limited, 10.0, from_ms)

    def test_halves_of_a_split_fleet_together_keep_to_the_limit(self):
        fleet, limited, from_ms = self.play(nodes=8)
        fleet.run(5_000.0, 90.0)
        names = [node.node for node in fleet.nodes]
        for node in fleet.nodes:
            own = names[:4] if node.node in names[:4] else names[4:]
            others = set(names) - set(own)
            node.members.unreachable = others
            node.members.dead = others
        fleet.members_changed()
        fleet.run(10_000.0, 90.0)
        self.assert_within_limit(limited, 10.0, from_ms)
        self.assertGreaterEqual(fleet.served_share(), 0.99)

    def test_restarted_nodes_learn_the_limit_before_they_exceed_it(self):
        fleet, limited, from_ms = self.play()
        for name in ("n0", "n3", "n7", "n1"):
            fleet.run(2_000.0, 90.0)
            fleet.restart(name)
        fleet.run(6_000.0, 90.0)
        self.assert_within_limit(limited, 10.0, from_ms)

    def test_excess_of_a_wholly_limited_service_is_refused_at_once(self):
        fleet, limited, from_ms = self.play(limited_count=3)
        fleet.run(3_000.0, 90.0)
        fleet.callers.clear()
        fleet.run(10_000.0, 90.0)
        self.assert_within_limit(limited, 10.0, from_ms)
        self.assertGreater(fleet.served_share(), 0.2)
        refused = [
            caller
            for caller in fleet.callers
            if caller.response and caller.response.status != 200
        ]
        for caller in refused:
            self.assertEqual(503, caller.response.status)
            waited_ms = caller.responded_at_ms - caller.sent_at_ms
            self.assertLess(waited_ms, 100.0)

    def test_hedges_and_retries_count_as_calls(self):
        fleet, limited, from_ms = self.play()
        fleet.services["one"][2].latency_ms = 300.0
        fleet.run(12_000.0, 60.0)
        self.assert_within_limit(limited, 10.0, from_ms)

    def test_last_replica_without_a_limit_is_not_overloaded(self):
        """It serves 133 of the 200 calls a second, and most of them in time.

        The parts that it has no room for are left out.
        """
        fleet = fleets.Fleet(nodes=9, replicas=3, shards=4)
        for upstream in fleet.reactor.upstreams.values():
            upstream.latency_ms = 15.0
            upstream.slots = 2
        state_limit(fleet.services["s0"][:2], 5.0)
        fleet.run(3_000.0, 100.0, b"/all/x")
        fleet.callers.clear()
        fleet.run(6_000.0, 200.0, b"/all/x")
        fleet.run(1_000.0, 0.0)
        self.assertEqual(1.0, fleet.served_share())
        attainable = (133.0 + 2 * 5.0) / 200.0
        self.assertGreater(fleet.complete_share(), 0.75 * attainable)

    def test_end_of_the_limit_is_heard_by_all_nodes(self):
        fleet, limited, _ = self.play()
        fleet.run(8_000.0, 90.0)
        for upstream in limited:
            upstream.rate_limits = ()
        fleet.run(3_000.0, 90.0)
        for node in fleet.nodes:
            self.assertEqual([], node.limit_watch.lines(), node.node)

    def test_lowered_limit_is_kept(self):
        fleet, limited, _ = self.play(calls_per_s=25.0)
        fleet.run(6_000.0, 90.0)
        state_limit(limited, 5.0)
        from_ms = fleet.reactor.now_ms() + STABLE_MS
        fleet.run(12_000.0, 90.0)
        self.assert_within_limit(limited, 5.0, from_ms)

    def test_node_that_never_called_is_told_of_the_limit(self):
        fleet = fleets.Fleet(nodes=3, replicas=3)
        state_limit(fleet.services["one"], 10.0)
        told = fleet.nodes.pop()
        fleet.run(6_000.0, 30.0)
        self.assertEqual(3, len(told.limit_watch.lines()))

    def test_one_bad_value_does_not_shut_an_upstream_out(self):
        fleet, limited, _ = self.play(limited_count=1, calls_per_s=0.0)
        fleet.run(1_000.0, 90.0)
        limited[0].rate_limits = ()
        fleet.run(12_000.0, 90.0)
        since_ms = fleet.reactor.now_ms() - 2_000.0
        self.assertGreater(arrivals_since(limited[0], since_ms), 10)

    def test_datagrams_for_permits_do_not_grow_with_the_fleet(self):
        sent = []
        for nodes in (9, 64):
            fleet, _, _ = self.play(nodes=nodes)
            fleet.run(4_000.0, 90.0)
            sent.append(
                sum(
                    isinstance(message, messages.PermitRequest)
                    for node in fleet.nodes
                    for message in node.members.sent
                )
            )
        self.assertLess(sent[1], 2.5 * sent[0])

    def _issuer(self, fleet):
        group = permits.group_of("one")
        names = [node.node for node in fleet.nodes]
        name = permits.rank_issuers(names, group)[0]
        return next(node for node in fleet.nodes if node.node == name)
