"""Tests that upstreams of evacuated failure domains get no calls."""

import unittest

import node_fixture


class EvacuationTest(unittest.TestCase):
    def setUp(self):
        self.node = node_fixture.serving_node(evacuations=True)
        self.domain = self.node.upstream.registration().failure_domain

    def status(self):
        return self.node.request(1, b"/one/x").split(b" ")[1]

    def evacuate(self, domain):
        self.node.store.write("evacuations", domain, {})
        self.node.advance(1_500.0)

    def test_only_domain_evacuated_is_refused_at_once(self):
        self.assertEqual(b"200", self.status())
        self.evacuate(self.domain)
        arrived = len(self.node.upstream.arrived_at_ms)
        self.assertEqual(b"503", self.status())
        self.assertEqual(arrived, len(self.node.upstream.arrived_at_ms))

    def test_calls_are_made_again_when_an_evacuation_ends(self):
        self.evacuate(self.domain)
        self.node.store.remove("evacuations", self.domain)
        self.node.advance(1_500.0)
        self.assertEqual(b"200", self.status())

    def test_upstream_that_registers_during_an_evacuation_gets_no_calls(self):
        self.evacuate(self.domain)
        self.node.store.remove("upstreams", "u1")
        self.node.advance(1_500.0)
        self.node.store.write("upstreams", "u1", {"address": "10.0.1.1:80"})
        self.node.advance(1_500.0)
        self.assertEqual(b"503", self.status())

    def test_other_domains_are_not_concerned(self):
        self.evacuate("another")
        self.assertEqual(b"200", self.status())

    def test_node_that_starts_does_not_serve_before_it_knows(self):
        node = node_fixture.NodeFixture(evacuations=True)
        node.store.write("evacuations", self.domain, {})
        node.fill_store()
        node.advance(500.0)
        self.assertIn(b" 503 ", node.request(1, b"/one/x"))
        self.assertEqual([], node.upstream.arrived_at_ms)

    def test_evacuations_are_not_read_where_there_are_none(self):
        node = node_fixture.serving_node()
        node.store.write("evacuations", self.domain, {})
        node.advance(1_500.0)
        self.assertIn(b" 200 ", node.request(1, b"/one/x"))
