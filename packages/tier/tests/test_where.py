"""Tests that a plan says what would happen to a request."""

import random
import unittest

import node_fixture
import simulation

from godwitflow.http1 import messages
from godwitflow.tier import where


class WhereTest(unittest.TestCase):
    def setUp(self):
        self.sim = simulation.Simulation(replicas=4)
        self.where = where.Where(
            "n1", self.sim.router, self.sim.reactor.now_ms
        )

    def plan(self, target=b"/one/x"):
        request = messages.Request(
            b"GET",
            target,
            [(b"Host", simulation.HOST.encode())],
            None,
            True,
            0.0,
        )
        return self.where.plan(request)

    def test_next_request_goes_to_one_of_the_preferred_replicas(self):
        rng = random.Random(1)
        upstreams = self.sim.services["one"]
        for _ in range(1_000):
            for upstream in upstreams:
                upstream.latency_ms = rng.choice((5.0, 20.0, 200.0))
            (service,) = self.plan().services
            preferred = {
                replica.upstream
                for replica in service.replicas
                if replica.preferred
            }
            before = {
                upstream.name: len(upstream.arrived_at_ms)
                for upstream in upstreams
            }
            self.sim.send(b"/one/x")
            self.sim.advance(1.0)
            arrived = [
                upstream.name
                for upstream in upstreams
                if len(upstream.arrived_at_ms) > before[upstream.name]
            ]
            self.assertLessEqual(set(arrived[:1]), preferred)
            self.sim.advance(rng.choice((1, 5, 30)))

    def test_evacuated_replica_is_excluded_and_says_why(self):
        self.sim.dispatcher.apply_evacuations(frozenset(("d1",)))
        (service,) = self.plan().services
        for replica in service.replicas:
            self.assertFalse(replica.preferred)
            self.assertEqual("evacuated", replica.excluded)

    def test_refusals_are_foretold(self):
        self.assertEqual(404, self.plan(b"/none/").status)
        self.sim.router.registrations_known = False
        self.assertEqual(503, self.plan().status)

    def test_plan_sends_nothing(self):
        self.plan()
        self.sim.advance(100.0)
        self.assertFalse(
            any(
                upstream.arrived_at_ms for upstream in self.sim.services["one"]
            )
        )

    def test_node_answers_beside_its_metrics(self):
        node = node_fixture.serving_node()
        data = node.request(
            4, b"/where?host=a.example&target=%2Fone%2Fx&body_bytes=zz"
        )
        self.assertIn(b'"upstream":"u1"', data)
        self.assertIn(b"godwitflow_members", node.request(4, b"/metrics"))
