"""Tests of the registry of upstreams."""

import dataclasses
import unittest

from godwitflow.policy import registrations
from godwitflow.store import objects

READY = registrations.UpstreamState.READY
DRAINING = registrations.UpstreamState.DRAINING
BASE = registrations.Registration(
    "u1", "s", "10.0.0.1:80", "d1", 2, READY, 0.0, 5, 1_000
)


def at(number, era=1):
    return objects.Revision(era, number)


def entry(number, era=1, **changes):
    return registrations.Entry(
        "u1", at(number, era), dataclasses.replace(BASE, **changes)
    )


class RegistryTest(unittest.TestCase):
    def setUp(self):
        self.registry = registrations.Registry()
        self.registry.put(entry(10), 0.0)

    def names(self):
        return [item.upstream for item in self.registry.ready()]

    def test_draining_upstream_is_not_ready(self):
        self.registry.put(entry(11, state=DRAINING, sequence=6), 0.0)
        self.assertEqual([], self.names())

    def test_older_revision_changes_nothing(self):
        self.assertFalse(self.registry.put(entry(9, state=DRAINING), 0.0))
        self.registry.remove("u1", at(9), 0.0)
        self.assertEqual(["u1"], self.names())

    def test_delayed_entry_from_before_a_restart_is_ignored(self):
        self.registry.put(entry(11, state=DRAINING, sequence=6), 0.0)
        self.registry.put(entry(12, sequence=5), 0.0)
        self.assertEqual([], self.names())
        self.registry.put(entry(13, sequence=1, started_at_ms=2_000), 0.0)
        self.assertEqual(["u1"], self.names())
        self.registry.put(
            entry(14, state=DRAINING, sequence=90, started_at_ms=1_000), 0.0
        )
        self.assertEqual(["u1"], self.names())

    def test_entry_that_cannot_be_decoded_is_not_ready(self):
        self.registry.put(registrations.Entry("u1", at(11), None), 0.0)
        self.assertEqual([], self.names())

    def test_removed_entry_is_kept_for_the_grace_period(self):
        self.registry.remove_after_grace("u1", at(11), 1_000.0)
        self.assertEqual(["u1"], self.names())
        self.assertFalse(self.registry.expire(3_000.0))
        self.assertTrue(self.registry.expire(3_201.0))
        self.assertEqual([], self.names())

    def test_entry_stored_again_in_the_grace_period_stays(self):
        self.registry.remove_after_grace("u1", at(11), 1_000.0)
        self.registry.put(entry(12, sequence=7), 0.0)
        self.assertFalse(self.registry.expire(9_000.0))
        self.assertEqual(["u1"], self.names())


class RestoredStoreTest(unittest.TestCase):
    """A store came back from a backup, with entries that are out of date."""

    def setUp(self):
        self.registry = registrations.Registry()
        self.registry.put(entry(10), 0.0)

    def ready(self):
        return [item.upstream for item in self.registry.ready()]

    def test_lower_revision_of_the_next_era_is_stored(self):
        # A draining upstream got calls: its entry's revision was lower.
        draining = entry(5, era=2, state=DRAINING, sequence=6)
        self.assertTrue(self.registry.put(draining, 0.0))
        self.assertEqual([], self.ready())

    def test_draining_upstream_stays_so_until_it_registers_again(self):
        self.registry.put(entry(11, state=DRAINING, sequence=6), 0.0)
        self.registry.put(entry(10, era=2), 0.0)
        self.assertEqual([], self.ready())
        again = entry(12, era=2, sequence=1, started_at_ms=2_000)
        self.registry.put(again, 0.0)
        self.assertEqual(["u1"], self.ready())

    def test_removed_upstream_that_the_backup_holds_gets_no_calls(self):
        self.registry.remove("u1", at(11), 0.0)
        self.registry.put(entry(10, era=2), 1_000.0)
        self.assertEqual([], self.ready())
        self.registry.remove("u1", at(12, 2), 4_000.0)
        self.assertEqual([], self.ready())

    def test_removed_upstream_that_registers_again_gets_calls_at_once(self):
        self.registry.remove("u1", at(11), 0.0)
        self.registry.put(entry(10, era=2), 1_000.0)
        self.registry.put(entry(13, era=2, sequence=6), 1_500.0)
        self.assertEqual(["u1"], self.ready())
        self.assertIsNone(self.registry.next_expiry_in_ms(1_500.0))

    def test_restored_entry_that_nobody_removes_is_used_in_the_end(self):
        self.registry.remove("u1", at(11), 0.0)
        self.registry.put(entry(10, era=2), 1_000.0)
        delay_ms = registrations.RESTORED_ENTRY_DELAY_MS
        self.assertEqual(delay_ms, self.registry.next_expiry_in_ms(1_000.0))
        self.assertTrue(self.registry.expire(1_000.0 + delay_ms))
        self.assertEqual(["u1"], self.ready())

    def test_upstream_removed_and_stored_within_an_era_is_used_at_once(self):
        self.registry.remove("u1", at(11), 0.0)
        self.registry.put(entry(12), 100.0)
        self.assertEqual(["u1"], self.ready())

    def test_removals_are_not_kept_for_good(self):
        # Each upstream that ever left would have taken memory.
        memory_ms = registrations.REMOVAL_MEMORY_MS
        for number in range(100):
            name = f"x{number}"
            entry_of_name = registrations.Entry(name, at(20), BASE)
            self.registry.put(entry_of_name, 0.0)
            self.registry.remove(name, at(21), number * memory_ms)
        self.assertEqual(1, len(self.registry._removed_rows))

    def test_removals_are_forgotten(self):
        self.registry.remove("u1", at(11), 0.0)
        self.registry.expire(registrations.REMOVAL_MEMORY_MS)
        self.registry.put(entry(10, era=2), 90_000.0)
        self.assertEqual(["u1"], self.ready())
