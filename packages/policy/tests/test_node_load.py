"""Tests of how busy a node finds itself."""

import unittest

from godwitflow.policy import node_load


def play(load, calls_a_second, seconds, start_s=0):
    """Make calls for some seconds; return the changes with their times."""
    changes = []
    for step in range(seconds * 10):
        now_ms = (start_s + step / 10) * 1_000.0
        for _ in range(calls_a_second // 10):
            load.on_call()
        if load.tick(now_ms):
            changes.append((now_ms, load.busy))
    return changes


class NodeLoadTest(unittest.TestCase):
    def test_flood_makes_a_node_busy_within_two_seconds(self):
        load = node_load.NodeLoad(1.0)
        self.assertEqual([], play(load, 100, 5))
        ((at_ms, busy),) = play(load, 1_500, 5, start_s=5)
        self.assertTrue(busy)
        self.assertLessEqual(at_ms, 7_100.0)

    def test_node_is_calm_again_after_the_flood(self):
        load = node_load.NodeLoad(1.0)
        play(load, 1_500, 5)
        ((_, busy),) = play(load, 100, 5, start_s=5)
        self.assertFalse(busy)

    def test_load_between_the_bounds_changes_nothing(self):
        load = node_load.NodeLoad(1.0)
        play(load, 1_500, 3)
        self.assertEqual([], play(load, 800, 10, start_s=3))
        other = node_load.NodeLoad(1.0)
        self.assertEqual([], play(other, 800, 10))

    def test_strong_node_carries_more(self):
        self.assertEqual([], play(node_load.NodeLoad(4.0), 1_500, 5))
