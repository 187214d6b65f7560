"""Tests of how busy a node finds itself."""

import unittest

from godwitflow.policy import node_load


class Player:
    """A node's load, and the calls that it has made."""

    def __init__(self, cores=1.0):
        self.load = node_load.NodeLoad(cores)
        self.calls = 0
        self.now_ms = 0.0

    def play(self, calls_a_second, seconds):
        """Make calls for some seconds; return the changes with times."""
        changes = []
        for _ in range(seconds * 10):
            self.calls += calls_a_second // 10
            if self.load.update(self.now_ms, self.calls):
                changes.append((self.now_ms, self.load.busy))
            self.now_ms += 100.0
        return changes


class NodeLoadTest(unittest.TestCase):
    def test_flood_makes_a_node_busy_within_two_seconds(self):
        node = Player()
        self.assertEqual([], node.play(100, 5))
        ((at_ms, busy),) = node.play(1_500, 5)
        self.assertTrue(busy)
        self.assertLessEqual(at_ms, 7_100.0)

    def test_node_is_calm_again_after_the_flood(self):
        node = Player()
        node.play(1_500, 5)
        ((_, busy),) = node.play(100, 5)
        self.assertFalse(busy)

    def test_load_between_the_bounds_changes_nothing(self):
        node = Player()
        node.play(1_500, 3)
        self.assertEqual([], node.play(800, 10))
        self.assertEqual([], Player().play(800, 10))

    def test_strong_node_carries_more(self):
        self.assertEqual([], Player(4.0).play(1_500, 5))

    def test_calls_before_the_first_window_do_not_count(self):
        node = Player()
        node.calls = 1_000_000
        self.assertEqual([], node.play(100, 5))
