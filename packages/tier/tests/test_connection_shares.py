"""Tests of a node that is assigned some of a service's upstreams."""

import unittest

import simulated_upstreams
import simulation
import simulation_helpers as helpers


class AssignedUpstreamsTest(unittest.TestCase):
    """More nodes than connections leave this node one of three upstreams."""

    def setUp(self):
        self.sim = simulation.Simulation()
        service = self.sim.dispatcher.service("one")
        service.connection_cap = 2
        helpers.set_members(self.sim, 6)
        self.sim.request(b"/one/")
        self.sim.advance(10.0)
        upstreams = service.upstreams
        assigned = {item.name for item in upstreams if item.assigned}
        self.assigned = []
        self.others = []
        for upstream in self.sim.services["one"]:
            if upstream.name in assigned:
                self.assigned.append(upstream)
            else:
                self.others.append(upstream)

    def runs(self, upstreams):
        return sum(len(upstream.executions) for upstream in upstreams)

    def test_calls_and_hedges_go_to_the_assigned_upstream(self):
        self.assertEqual(1, len(self.assigned))
        self.assigned[0].latency_ms = 150.0
        for _ in range(20):
            self.sim.request(b"/one/")
        self.assertEqual(21, self.runs(self.assigned))
        self.assertEqual(0, self.runs(self.others))

    def test_retry_goes_to_another_if_the_assigned_one_fails(self):
        self.assigned[0].mode = simulated_upstreams.Mode.RESET
        self.assertEqual(200, self.sim.request(b"/one/").response.status)
        self.assertEqual(1, self.runs(self.others))

    def test_connection_to_another_is_closed_after_its_call(self):
        self.assigned[0].mode = simulated_upstreams.Mode.RESET
        self.sim.request(b"/one/")
        self.sim.advance(100.0)
        for upstream in self.others:
            self.assertEqual(0, upstream.connection_count)

    def test_others_take_the_calls_while_the_assigned_one_is_silent(self):
        self.assigned[0].mode = simulated_upstreams.Mode.SILENT
        callers = [self.sim.request(b"/one/") for _ in range(10)]
        served = sum(caller.response.status == 200 for caller in callers)
        self.assertGreaterEqual(served, 9)

    def test_others_take_the_calls_that_a_rate_limit_denies(self):
        self.assigned[0].rate_limits = (b"0.5",)
        callers = [self.sim.request(b"/one/") for _ in range(10)]
        self.assertEqual(
            [200] * 10, [caller.response.status for caller in callers]
        )

    def test_more_connections_than_nodes_assign_all_upstreams(self):
        helpers.set_members(self.sim, 2)
        for upstream in self.sim.dispatcher.service("one").upstreams:
            self.assertTrue(upstream.assigned)
            self.assertTrue(upstream.pool.keep_idle)
