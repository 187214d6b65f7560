"""Tests of store copies: deltas in any order never move one backwards."""

import doctest
import itertools
import random
import unittest

from godwitflow.policy import store_copy
from godwitflow.policy import store_watch
from godwitflow.store import objects


ERA = 1


def at(number, era=ERA):
    return objects.Revision(era, number)


def put(name, number, era=ERA):
    return objects.Change(
        objects.Object(name, at(number, era), {"r": number}), False
    )


def removal(name, number):
    return objects.Change(objects.Object(name, at(number), None), True)


HISTORY = [
    put("a", 1),
    put("b", 2),
    put("a", 3),
    removal("b", 4),
    put("c", 5),
    put("b", 6),
    removal("a", 7),
]


def expected_objects(revision):
    state = {}
    for change in HISTORY:
        if change.object.revision <= revision:
            if change.removed:
                state.pop(change.object.name, None)
            else:
                state[change.object.name] = change.object
    return state


def full_delta(number):
    changes = tuple(
        objects.Change(item, False)
        for item in expected_objects(at(number)).values()
    )
    return store_copy.Delta("k", at(0), at(number), True, changes)


def partial_delta(after, number):
    changes = tuple(
        change
        for change in HISTORY
        if at(after) < change.object.revision <= at(number)
    )
    return store_copy.Delta("k", at(after), at(number), False, changes)


def one_change(number, name):
    return store_copy.Delta(
        "k", at(number - 1), at(number), False, (put(name, number),)
    )


class StoreCopyTest(unittest.TestCase):
    def test_deltas_in_any_order_never_move_a_copy_backwards(self):
        deltas = [
            full_delta(2),
            partial_delta(2, 4),
            partial_delta(4, 7),
            partial_delta(1, 5),
            full_delta(3),
        ]
        for order in itertools.permutations(deltas):
            copy = store_copy.StoreCopy("k")
            last = objects.NO_REVISION
            for delta in order:
                copy.apply(delta)
                self.assertGreaterEqual(copy.revision, last)
                self.assertEqual(
                    expected_objects(copy.revision), copy.objects, order
                )
                last = copy.revision

    def test_random_exchange_of_deltas_converges(self):
        rng = random.Random(11)
        peers = [store_copy.StoreCopy("k") for _ in range(4)]
        peers[0].apply(full_delta(1))
        for step in range(200):
            if step % 10 == 0 and peers[0].revision < at(7):
                current = peers[0].revision.number
                peers[0].apply(partial_delta(current, current + 1))
            sender, receiver = rng.sample(peers, 2)
            if not sender.empty:
                receiver.apply(sender.delta_after(receiver.revision))
            for peer in peers:
                self.assertEqual(expected_objects(peer.revision), peer.objects)
        self.assertEqual([at(7)] * 4, [peer.revision for peer in peers])

    def test_full_delta_reports_missing_objects_as_removed(self):
        copy = store_copy.StoreCopy("k")
        copy.apply(full_delta(3))
        changes = copy.apply(full_delta(5))
        removed = [change.object.name for change in changes if change.removed]
        self.assertEqual(["b"], removed)

    def test_delta_holds_only_the_last_change_of_each_object(self):
        copy = store_copy.StoreCopy("k")
        copy.apply(full_delta(1))
        for revision in range(2, 30):
            name = "z" if revision % 2 else "y"
            copy.apply(one_change(revision, name))
        delta = copy.delta_after(at(10))
        found = [
            (change.object.name, change.object.revision.number)
            for change in delta.changes
        ]
        self.assertEqual([("y", 28), ("z", 29)], found)
        self.assertEqual(at(29), delta.revision)
        peer = store_copy.StoreCopy("k")
        peer.apply(full_delta(10))
        self.assertEqual(2, len(peer.apply(delta)))
        self.assertEqual(at(29), peer.revision)

    def test_peer_behind_the_change_log_gets_a_full_delta(self):
        copy = store_copy.StoreCopy("k")
        copy.apply(full_delta(1))
        for revision in range(2, store_copy.MAX_LOGGED_CHANGES + 10):
            copy.apply(one_change(revision, "z"))
        self.assertTrue(copy.delta_after(at(1)).full)
        recent = copy.revision.number - 5
        self.assertFalse(copy.delta_after(at(recent)).full)


class RestoredStoreTest(unittest.TestCase):
    """A store came back from a backup with lower revision numbers."""

    def setUp(self):
        self.copy = store_copy.StoreCopy("k")
        self.copy.apply(full_delta(7))

    def restored(self, number, *changes):
        revision = at(number, ERA + 1)
        return store_copy.Delta("k", at(0), revision, True, changes)

    def test_lower_revision_of_the_next_era_replaces_the_copy(self):
        changes = self.copy.apply(
            self.restored(4, put("a", 3, ERA + 1), put("d", 4, ERA + 1))
        )
        self.assertEqual(at(4, ERA + 1), self.copy.revision)
        self.assertEqual({"a", "d"}, set(self.copy.objects))
        self.assertEqual(
            [("a", False), ("b", True), ("c", True), ("d", False)],
            sorted((change.object.name, change.removed) for change in changes),
        )

    def test_copy_does_not_go_back_to_the_earlier_era(self):
        self.copy.apply(self.restored(4))
        self.assertEqual([], self.copy.apply(full_delta(7)))
        self.assertEqual({}, self.copy.objects)

    def test_changes_of_another_era_are_not_applied_to_the_copy(self):
        # Their numbers follow the copy's, but what came between is lost.
        self.copy.apply(full_delta(7))
        change = put("e", 8, ERA + 1)
        delta = store_copy.Delta(
            "k", at(7, ERA + 1), at(8, ERA + 1), False, (change,)
        )
        self.assertEqual([], self.copy.apply(delta))
        self.assertEqual(at(7), self.copy.revision)

    def test_peer_of_the_earlier_era_gets_a_full_delta(self):
        self.copy.apply(self.restored(9, put("a", 3, ERA + 1)))
        self.assertTrue(self.copy.delta_after(at(7)).full)
        self.assertFalse(self.copy.delta_after(at(9, ERA + 1)).full)


class StoreWatchTest(unittest.TestCase):
    def test_all_nodes_compute_the_same_ranking(self):
        nodes = [f"n{number}" for number in range(64)]
        rankings = {
            tuple(store_watch.rank_nodes(node, nodes, "store"))
            for node in nodes
        }
        self.assertEqual(1, len(rankings))
        self.assertEqual(sorted(nodes), sorted(rankings.pop()))

    def rounds_to_reach(self, ranked, lost=()):
        """Return after how many rounds each node gets an announcement."""
        rounds = {node: 0 for node in ranked[: store_watch.WATCHER_COUNT]}
        waiting = list(rounds)
        while waiting:
            node = waiting.pop(0)
            if node in lost:
                continue
            rank = ranked.index(node)
            reaches = rank < store_watch.WATCHER_COUNT
            for other in store_watch.announcement_targets(
                rank, ranked, reaches
            ):
                if other not in rounds:
                    rounds[other] = rounds[node] + 1
                    waiting.append(other)
        return rounds

    def test_announcements_reach_all_nodes_in_few_rounds(self):
        for count in (1, 3, 9, 11, 12, 64, 200, 3_800):
            ranked = [f"n{number}" for number in range(count)]
            rounds = self.rounds_to_reach(ranked)
            self.assertEqual(count, len(rounds))
            self.assertLessEqual(max(rounds.values()), 4)
            max_targets = max(
                len(store_watch.announcement_targets(rank, ranked, True))
                for rank in range(min(count, 100))
            )
            self.assertLessEqual(max_targets, 30)

    def test_loss_of_one_node_leaves_all_others_reachable(self):
        ranked = [f"n{number}" for number in range(120)]
        for lost in ranked[:40]:
            self.assertEqual(
                120, len(self.rounds_to_reach(ranked, {lost})), lost
            )

    def test_nodes_without_a_watcher_start_in_rank_order(self):
        should_watch = store_watch.should_watch
        reached_at_ms = 10_000.0
        self.assertTrue(should_watch(10_000.0, 2, reached_at_ms, 0.0))
        self.assertFalse(should_watch(11_899.0, 3, reached_at_ms, 0.0))
        self.assertTrue(should_watch(11_901.0, 3, reached_at_ms, 0.0))
        self.assertFalse(should_watch(11_901.0, 4, reached_at_ms, 0.0))
        self.assertTrue(should_watch(12_021.0, 4, reached_at_ms, 0.0))

    def test_one_watcher_confirms_and_others_only_without_it(self):
        wait_ms = store_watch.watch_wait_ms
        self.assertEqual(1_000.0, wait_ms(10_000.0, 0, 9_999.0))
        self.assertEqual(8_000.0, wait_ms(10_000.0, 1, 8_101.0))
        self.assertEqual(1_000.0, wait_ms(10_000.0, 1, 8_099.0))
        self.assertEqual(1_000.0, wait_ms(10_000.0, 30, 8_099.0))

    def test_node_that_stays_behind_watches_the_store(self):
        self.assertTrue(
            store_watch.should_watch(10_000.0, 60, 10_000.0, 1_001.0)
        )


def load_tests(loader, tests, pattern):
    """Add the doctests of revisions and of who watches the store."""
    tests.addTests(doctest.DocTestSuite(objects))
    tests.addTests(doctest.DocTestSuite(store_watch))
    return tests
