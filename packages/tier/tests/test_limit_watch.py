"""Tests of what is logged and counted about limited upstreams."""

import unittest

import simulated_upstreams
import simulation
import simulation_helpers as helpers

from godwitflow.tier import limit_watch

Mode = simulated_upstreams.Mode


def logged(sim, event):
    return [fields for name, fields in sim.log.lines if name == event]


class LimitWatchTest(unittest.TestCase):
    def test_limit_is_logged_when_it_is_stated_changes_and_ends(self):
        sim = simulation.Simulation(replicas=1)
        helpers.set_all(sim, "one", rate_limits=(b"16.4",))
        sim.request(b"/one/")
        helpers.set_all(sim, "one", rate_limits=(b"8",))
        sim.advance(1_000.0)
        sim.request(b"/one/")
        helpers.set_all(sim, "one", rate_limits=())
        sim.advance(1_000.0)
        sim.request(b"/one/")
        known = logged(sim, "limit_known")
        self.assertEqual(
            [16.4, 8.0], [fields["calls_per_s"] for fields in known]
        )
        self.assertEqual("n1", known[0]["source"])
        self.assertEqual(1, len(logged(sim, "limit_ended")))

    def test_calls_to_limited_upstreams_are_counted_by_kind(self):
        sim = simulation.Simulation(replicas=1)
        helpers.set_all(sim, "one", rate_limits=(b"16.4",))
        for _ in range(3):
            sim.request(b"/one/")
            sim.advance(1_000.0)
        sim.limit_watch.tick(sim.reactor.now_ms())
        (fields,) = logged(sim, "limited_calls")
        self.assertEqual(
            {"one-0": {"calls_per_s": 16.4, "first": 2}}, fields["upstreams"]
        )
        (line,) = sim.limit_watch.lines()
        self.assertIn('upstream="one-0"', line)

    def test_unreadable_limits_fill_no_log_and_change_nothing(self):
        sim = simulation.Simulation(replicas=1)
        helpers.set_all(sim, "one", rate_limits=(b"-1",))
        for _ in range(20):
            self.assertEqual(200, sim.request(b"/one/").response.status)
        self.assertEqual(1, len(logged(sim, "limit_unreadable")))
        self.assertEqual([], logged(sim, "limit_known"))

    def test_rejection_states_a_limit_but_does_not_end_one(self):
        sim = simulation.Simulation(replicas=1)
        helpers.set_all(sim, "one", mode=Mode.REJECT, rate_limits=(b"16.4",))
        sim.request(b"/one/")
        helpers.set_all(sim, "one", rate_limits=())
        sim.advance(1_000.0)
        sim.request(b"/one/")
        self.assertEqual(1, len(logged(sim, "limit_known")))
        self.assertEqual([], logged(sim, "limit_ended"))

    def test_response_cut_short_or_of_another_upstream_states_nothing(self):
        for mode in (Mode.CUT_HEAD, Mode.MISDIRECTED):
            sim = simulation.Simulation(replicas=1)
            helpers.set_all(sim, "one", mode=mode, rate_limits=(b"16.4",))
            sim.request(b"/one/")
            self.assertEqual([], logged(sim, "limit_known"))

    def test_new_instance_is_not_limited_by_what_the_old_one_stated(self):
        sim = simulation.Simulation(replicas=1)
        helpers.set_all(sim, "one", rate_limits=(b"16.4",))
        sim.request(b"/one/")
        helpers.set_all(sim, "one", started_at_ms=2, rate_limits=())
        sim.apply_registrations()
        self.assertEqual([], sim.limit_watch.lines())

    def test_summary_is_logged_once_a_second(self):
        sim = simulation.Simulation(replicas=1)
        helpers.set_all(sim, "one", rate_limits=(b"16.4",))
        for _ in range(4):
            sim.request(b"/one/")
            sim.limit_watch.tick(sim.reactor.now_ms())
        self.assertEqual(1, len(logged(sim, "limited_calls")))
        sim.advance(limit_watch.SUMMARY_INTERVAL_MS)
        sim.request(b"/one/")
        sim.limit_watch.tick(sim.reactor.now_ms())
        self.assertEqual(2, len(logged(sim, "limited_calls")))
