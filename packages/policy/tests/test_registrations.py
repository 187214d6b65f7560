"""Tests of the registry of upstreams."""

import dataclasses
import unittest

from godwitflow.policy import registrations

READY = registrations.UpstreamState.READY
DRAINING = registrations.UpstreamState.DRAINING
BASE = registrations.Registration(
    "u1", "s", "10.0.0.1:80", "d1", 2, READY, 0.0, 5, 1_000
)


def entry(revision, **changes):
    return registrations.Entry(
        "u1", revision, dataclasses.replace(BASE, **changes)
    )


class RegistryTest(unittest.TestCase):
    def setUp(self):
        self.registry = registrations.Registry()
        self.registry.put(entry(10))

    def names(self):
        return [item.upstream for item in self.registry.ready()]

    def test_draining_upstream_is_not_ready(self):
        self.registry.put(entry(11, state=DRAINING, sequence=6))
        self.assertEqual([], self.names())

    def test_older_revision_changes_nothing(self):
        self.assertFalse(self.registry.put(entry(9, state=DRAINING)))
        self.registry.remove("u1", 9)
        self.assertEqual(["u1"], self.names())

    def test_delayed_entry_from_before_a_restart_is_ignored(self):
        self.registry.put(entry(11, state=DRAINING, sequence=6))
        self.registry.put(entry(12, sequence=5))
        self.assertEqual([], self.names())
        self.registry.put(entry(13, sequence=1, started_at_ms=2_000))
        self.assertEqual(["u1"], self.names())
        self.registry.put(
            entry(14, state=DRAINING, sequence=90, started_at_ms=1_000)
        )
        self.assertEqual(["u1"], self.names())

    def test_entry_that_cannot_be_decoded_is_not_ready(self):
        self.registry.put(registrations.Entry("u1", 11, None))
        self.assertEqual([], self.names())

    def test_removed_entry_is_kept_for_the_grace_period(self):
        self.registry.remove_after_grace("u1", 11, 1_000.0)
        self.assertEqual(["u1"], self.names())
        self.assertFalse(self.registry.expire(3_000.0))
        self.assertTrue(self.registry.expire(3_201.0))
        self.assertEqual([], self.names())

    def test_entry_stored_again_in_the_grace_period_stays(self):
        self.registry.remove_after_grace("u1", 11, 1_000.0)
        self.registry.put(entry(12, sequence=7))
        self.assertFalse(self.registry.expire(9_000.0))
        self.assertEqual(["u1"], self.names())
