"""Tests of replication when the store comes back from a backup."""

import random
import unittest

import replicating_fleet

from godwitflow.store import objects
from godwitflow.wire import messages

KIND = replicating_fleet.KIND
MAX_DELAY_MS = replicating_fleet.MAX_DELAY_MS


class RestoredStoreTest(unittest.TestCase):
    """The store is away for a moment and comes back from a backup."""

    def restore(self, fleet, backup):
        """Restore the store after 1 s in which it refuses all calls."""
        fleet.store.should_reject = lambda caller: True
        fleet.advance(1_000.0)
        fleet.store.restore(backup)
        fleet.store.should_reject = lambda caller: False

    def names(self, fleet):
        return [set(node.revision_by_name) for node in fleet.nodes]

    def copies(self, fleet):
        return [node.followers[KIND].copy for node in fleet.nodes]

    def play(self, count):
        """Restore a store that has lost changes; return the fleet."""
        fleet = replicating_fleet.Fleet(count)
        fleet.advance(3_000.0)
        backup = fleet.store.backup()
        for number in range(10):
            fleet.store.write(KIND, f"lost{number}", {})
        fleet.advance(MAX_DELAY_MS)
        self.restore(fleet, backup)
        return fleet

    def test_changes_of_a_restored_store_reach_every_node(self):
        # All copies kept the higher revision of the era before for good.
        for count in (3, 9, 64):
            fleet = self.play(count)
            fleet.store.write(KIND, "b", {})
            fleet.advance(MAX_DELAY_MS)
            self.assertEqual([{"a", "b"}] * count, self.names(fleet))

    def test_all_nodes_get_to_know_once_that_the_store_was_restored(self):
        fleet = self.play(9)
        fleet.advance(MAX_DELAY_MS)
        self.assertEqual(
            [1] * 9, [node.restored_count for node in fleet.nodes]
        )
        for node in fleet.nodes:
            events = [event for event, _ in node.log.lines]
            self.assertEqual(1, events.count("store_restored"))

    def test_restored_store_is_called_no_more_than_before(self):
        # Each watcher listed it thousands of times a second.
        fleet = self.play(9)
        fleet.advance(MAX_DELAY_MS)
        before = fleet.store.calls
        fleet.advance(9_000.0)
        self.assertLess(fleet.store.calls - before, 20)

    def test_store_that_has_given_the_numbers_out_again_is_followed(self):
        # No watch fails then: only the era tells that changes were lost.
        fleet = replicating_fleet.Fleet(9)
        fleet.advance(3_000.0)
        backup = fleet.store.backup()
        fleet.store.write(KIND, "lost", {})
        fleet.advance(MAX_DELAY_MS)
        fleet.store.restore(backup)
        for number in range(30):
            fleet.store.write(KIND, f"b{number}", {})
        fleet.advance(MAX_DELAY_MS)
        expected = {"a"} | {f"b{number}" for number in range(30)}
        self.assertEqual([expected] * 9, self.names(fleet))

    def test_restarted_node_gets_no_copy_of_the_era_before(self):
        fleet = self.play(9)
        fleet.restart(5)
        fleet.store.write(KIND, "b", {})
        fleet.restart(6)
        fleet.advance(MAX_DELAY_MS)
        self.assertEqual([{"a", "b"}] * 9, self.names(fleet))
        (revision,) = {copy.revision for copy in self.copies(fleet)}
        self.assertEqual(2, revision.era)

    def test_peer_of_the_era_before_does_not_confirm_a_copy(self):
        # A node believed such peers and did not look for itself.
        fleet = self.play(9)
        fleet.advance(MAX_DELAY_MS)
        node = fleet.nodes[8]
        outdated = messages.KindRevision(KIND, 10_000, True, 0.0, 1)
        fleet.can_reach = lambda origin, target: target is not node
        for step in range(8):
            node.on_revisions("n1", messages.Revisions((outdated,)))
            fleet.store.write(KIND, f"b{step}", {})
            fleet.advance(500.0)
        self.assertIn("b0", node.revision_by_name)

    def test_restored_store_that_states_no_new_era_is_not_hammered(self):
        fleet = replicating_fleet.Fleet(9)
        fleet.advance(3_000.0)
        backup = fleet.store.backup()
        fleet.store.write(KIND, "lost", {})
        fleet.advance(MAX_DELAY_MS)
        fleet.store.restore(backup)
        era, number = fleet.store.revision
        fleet.store.revision = objects.Revision(era - 1, number)
        before = fleet.store.calls
        fleet.advance(5_000.0)
        self.assertLess(fleet.store.calls - before, 200)
        (watcher, *_) = [
            node
            for node in fleet.nodes
            if "store_lost" in [event for event, _ in node.log.lines]
        ]
        (error,) = [
            fields["error"]
            for event, fields in watcher.log.lines
            if event == "store_lost"
        ]
        self.assertIn("older than the copy", error)

    def test_repeated_restores_leave_all_nodes_with_the_newest(self):
        for seed in range(20):
            rng = random.Random(seed)
            fleet = replicating_fleet.Fleet(9)
            fleet.advance(2_000.0)
            for step in range(6):
                backup = fleet.store.backup()
                for number in range(rng.randrange(4)):
                    fleet.store.write(KIND, f"lost{step}-{number}", {})
                    fleet.advance(rng.choice((20.0, 400.0)))
                if rng.random() < 0.5:
                    fleet.restart(rng.randrange(9))
                frozen = rng.choice(fleet.nodes)
                frozen.frozen = True
                self.restore(fleet, backup)
                fleet.advance(rng.choice((60.0, 600.0, 2_500.0)))
                frozen.frozen = False
            fleet.store.write(KIND, "newest", {})
            fleet.advance(MAX_DELAY_MS)
            expected = {
                stored.name for stored in fleet.store.listing(KIND).objects
            }
            self.assertEqual([expected] * 9, self.names(fleet), seed)
