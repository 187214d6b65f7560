"""Tests of the load estimate of a node."""

import unittest

from godwitflow.policy import node_load


class SimulatedNode:
    """A node that makes calls on a virtual clock."""

    def __init__(self, cores=1.0):
        self.load = node_load.NodeLoad(cores)
        self.calls = 0
        self.now_ms = 0.0

    def run(self, calls_per_second, seconds):
        """Make calls and return each change of ``busy`` with its time."""
        changes = []
        for _ in range(seconds * 10):
            self.calls += calls_per_second // 10
            if self.load.update(self.now_ms, self.calls):
                changes.append((self.now_ms, self.load.busy))
            self.now_ms += 100.0
        return changes


class NodeLoadTest(unittest.TestCase):
    def test_flood_makes_a_node_busy_within_two_seconds(self):
        node = SimulatedNode()
        self.assertEqual([], node.run(100, 5))
        ((at_ms, busy),) = node.run(1_500, 5)
        self.assertTrue(busy)
        self.assertLessEqual(at_ms, 7_100.0)

    def test_node_is_not_busy_after_the_flood(self):
        node = SimulatedNode()
        node.run(1_500, 5)
        ((_, busy),) = node.run(100, 5)
        self.assertFalse(busy)

    def test_load_between_the_thresholds_changes_nothing(self):
        node = SimulatedNode()
        node.run(1_500, 3)
        self.assertEqual([], node.run(800, 10))
        self.assertEqual([], SimulatedNode().run(800, 10))

    def test_node_with_more_cores_takes_more_calls(self):
        self.assertEqual([], SimulatedNode(4.0).run(1_500, 5))

    def test_calls_before_the_first_window_do_not_count(self):
        node = SimulatedNode()
        node.calls = 1_000_000
        self.assertEqual([], node.run(100, 5))
