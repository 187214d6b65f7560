"""Tests of the hash ring and the assignment of watches."""

import collections
import math
import random
import unittest

from godwitflow.policy import ownership
from godwitflow.policy import watch_assignment

KEYS = tuple(f"s/r{n}" for n in range(200))


def members(count, domains=3):
    return tuple(
        ownership.Candidate(f"vm{n}", f"d{n % domains}") for n in range(count)
    )


class HashRingTest(unittest.TestCase):
    def test_candidates_do_not_depend_on_earlier_members(self):
        """Cached candidates after changes equal those of a new ring."""
        rng = random.Random(3)
        everyone = members(60)
        cached = ownership.HashRing(everyone)
        cached.set_keys(KEYS)
        current = list(everyone)
        for _ in range(60):
            if len(current) > 40 and rng.random() < 0.5:
                current.remove(rng.choice(current))
            else:
                absent = [item for item in everyone if item not in current]
                current += absent[:1]
            cached.set_members(tuple(current))
            new_ring = ownership.HashRing(tuple(current))
            new_ring.set_keys(KEYS)
            for key in KEYS:
                self.assertEqual(
                    new_ring.candidates(key), cached.candidates(key)
                )

    def test_load_is_bounded_and_every_key_has_an_owner(self):
        ring = ownership.HashRing(members(9))
        ring.set_keys(KEYS)
        counts = collections.Counter(ring.owner(key) for key in KEYS)
        max_keys = math.ceil(len(KEYS) / 9 * ownership.LOAD_FACTOR)
        # If all three candidates are full, the first one owns the key.
        self.assertLessEqual(max(counts.values()), max_keys + 2)
        self.assertEqual(len(KEYS), sum(counts.values()))

    def test_losing_a_node_moves_few_other_keys(self):
        ring = ownership.HashRing(members(9))
        ring.set_keys(KEYS)
        before = {key: ring.owner(key) for key in KEYS}
        ring.set_members(members(9)[1:])
        moved = [
            key
            for key in KEYS
            if ring.owner(key) != before[key] and before[key] != "vm0"
        ]
        self.assertLess(len(moved), len(KEYS) // 5)

    def test_no_members(self):
        self.assertIsNone(ownership.HashRing().owner("k"))

    def test_few_members(self):
        ring = ownership.HashRing(members(2))
        self.assertEqual({"vm0", "vm1"}, set(ring.candidates("k")))


class WatchAssignmentTest(unittest.TestCase):
    def test_number_of_watches_does_not_grow_with_the_nodes(self):
        names = ("config/head", "index/a", "index/b")
        for count in (9, 90):
            current = members(count)
            watching = [
                name
                for item in current
                for name in watch_assignment.names_to_watch(
                    item.node, current, names
                )
            ]
            self.assertEqual(3, watching.count("config/head"))
            self.assertEqual(2, watching.count("index/a"))
