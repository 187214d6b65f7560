"""Tests that a fleet keeps to what cold upstreams take."""

import unittest

import fleet as fleets

COLD_PER_S = 6.0
OVERSHOOT = 1.5
SLACK = 5
IN_FLIGHT_MS = 20.0


class ColdUpstreamTest(unittest.TestCase):
    def play(self, nodes, cold_count, cold_left_ms=20_000.0):
        """Run a fleet in which some of three upstreams turn cold.

        Returns the fleet, and for each of them the times of the arrivals
        since then; what was on its way does not count.
        """
        fleet = fleets.Fleet(nodes=nodes, replicas=3)
        for node in fleet.nodes:
            node.apply_configuration(COLD_PER_S)
        fleet.run(2_000.0, 90.0)
        cold = fleet.services["one"][:cold_count]
        for upstream in cold:
            upstream.cold_left_ms = cold_left_ms
        for node in fleet.nodes:
            node.apply_registrations()
        from_ms = fleet.reactor.now_ms() + IN_FLIGHT_MS
        fleet.callers.clear()
        fleet.run(6_000.0, 90.0)
        return fleet, [
            [at_ms for at_ms in upstream.arrived_at_ms if at_ms >= from_ms]
            for upstream in cold
        ]

    def test_cold_upstreams_get_no_more_than_they_take_of_all_nodes(self):
        for nodes in (9, 64):
            fleet, arrivals = self.play(nodes, 3)
            for upstream, times in zip(fleet.services["one"], arrivals):
                most = fleets.most_arrivals(upstream, 1_000.0, times[0])
                self.assertGreater(len(times), 20)
                self.assertLessEqual(most, COLD_PER_S * OVERSHOOT + SLACK)

    def test_others_serve_while_one_is_cold(self):
        fleet, _ = self.play(9, 1)
        self.assertGreaterEqual(fleet.served_share(), 0.99)

    def test_limit_ends_when_the_upstreams_are_warm(self):
        fleet, arrivals = self.play(9, 3, cold_left_ms=1_000.0)
        warm_from_ms = fleet.reactor.now_ms() - 3_000.0
        late = [at for times in arrivals for at in times if at > warm_from_ms]
        self.assertGreater(len(late) / 3.0, 3 * 2 * COLD_PER_S)
