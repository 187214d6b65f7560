"""Tests of copies: no order of news takes a copy back."""

import itertools
import random
import unittest

from godwitflow.policy import store_copy
from godwitflow.policy import store_watch
from godwitflow.store import objects


def put(name, revision):
    return objects.Change(
        objects.Object(name, revision, {"r": revision}), False
    )


def gone(name, revision):
    return objects.Change(objects.Object(name, revision, None), True)


HISTORY = [
    put("a", 1),
    put("b", 2),
    put("a", 3),
    gone("b", 4),
    put("c", 5),
    put("b", 6),
    gone("a", 7),
]


def truth(revision):
    state = {}
    for change in HISTORY:
        if change.object.revision <= revision:
            if change.removed:
                state.pop(change.object.name, None)
            else:
                state[change.object.name] = change.object
    return state


def whole(revision):
    changes = tuple(
        objects.Change(found, False) for found in truth(revision).values()
    )
    return store_copy.Delta("k", 0, revision, True, changes)


def part(after, revision):
    changes = tuple(
        change
        for change in HISTORY
        if after < change.object.revision <= revision
    )
    return store_copy.Delta("k", after, revision, False, changes)


class CopyTest(unittest.TestCase):
    def test_any_order_of_news_holds_a_true_state_and_goes_forward(self):
        deltas = [whole(2), part(2, 4), part(4, 7), part(1, 5), whole(3)]
        for order in itertools.permutations(deltas):
            copy = store_copy.StoreCopy("k")
            last = 0
            for delta in order:
                copy.apply(delta)
                self.assertGreaterEqual(copy.revision, last)
                self.assertEqual(truth(copy.revision), copy.objects, order)
                last = copy.revision

    def test_peers_that_gossip_at_random_agree(self):
        source = random.Random(11)
        peers = [store_copy.StoreCopy("k") for _ in range(4)]
        peers[0].apply(whole(1))
        for step in range(200):
            if step % 10 == 0 and peers[0].revision < 7:
                known = peers[0].revision
                peers[0].apply(part(known, known + 1))
            giver, taker = source.sample(peers, 2)
            if giver.revision:
                taker.apply(giver.delta_after(taker.revision))
            for peer in peers:
                self.assertEqual(truth(peer.revision), peer.objects)
        self.assertEqual([7] * 4, [peer.revision for peer in peers])

    def test_news_names_what_a_list_lacks(self):
        copy = store_copy.StoreCopy("k")
        copy.apply(whole(3))
        news = copy.apply(whole(5))
        removed = [change.object.name for change in news if change.removed]
        self.assertEqual(["b"], removed)

    def test_peer_in_a_storm_gets_each_object_once(self):
        copy = store_copy.StoreCopy("k")
        copy.apply(whole(1))
        for revision in range(2, 30):
            name = "z" if revision % 2 else "y"
            copy.apply(
                store_copy.Delta(
                    "k", revision - 1, revision, False, (put(name, revision),)
                )
            )
        delta = copy.delta_after(10)
        found = [
            (change.object.name, change.object.revision)
            for change in delta.changes
        ]
        self.assertEqual([("y", 28), ("z", 29)], found)
        self.assertEqual(29, delta.revision)
        peer = store_copy.StoreCopy("k")
        peer.apply(whole(10))
        self.assertEqual(2, len(peer.apply(delta)))
        self.assertEqual(29, peer.revision)

    def test_peer_far_behind_gets_everything(self):
        copy = store_copy.StoreCopy("k")
        copy.apply(whole(1))
        for revision in range(2, store_copy.CHANGES_KEPT + 10):
            copy.apply(
                store_copy.Delta(
                    "k", revision - 1, revision, False, (put("z", revision),)
                )
            )
        self.assertTrue(copy.delta_after(1).full)
        self.assertFalse(copy.delta_after(copy.revision - 5).full)


class StoreWatchTest(unittest.TestCase):
    def test_three_of_the_living_watch(self):
        nodes = [f"n{number}" for number in range(64)]
        rankings = {
            tuple(store_watch.rank_nodes(node, nodes, "store"))
            for node in nodes
        }
        self.assertEqual(1, len(rankings))
        self.assertEqual(sorted(nodes), sorted(rankings.pop()))

    def reached(self, ranked, lost=()):
        """Return the rounds after which each node has heard."""
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

    def test_word_reaches_all_in_few_steps_from_few_tellers(self):
        for count in (1, 3, 9, 11, 12, 64, 200, 3_800):
            ranked = [f"n{number}" for number in range(count)]
            rounds = self.reached(ranked)
            self.assertEqual(count, len(rounds))
            self.assertLessEqual(max(rounds.values()), 4)
            most = max(
                len(store_watch.announcement_targets(rank, ranked, True))
                for rank in range(min(count, 100))
            )
            self.assertLessEqual(most, 30)

    def test_loss_of_any_one_node_cuts_nobody_off(self):
        ranked = [f"n{number}" for number in range(120)]
        for lost in ranked[:40]:
            self.assertEqual(120, len(self.reached(ranked, {lost})), lost)

    def test_uncovered_nodes_follow_one_after_another(self):
        follows = store_watch.should_watch
        covered_at_ms = 10_000.0
        self.assertTrue(follows(10_000.0, 2, covered_at_ms, 0.0))
        self.assertFalse(follows(10_900.0, 3, covered_at_ms, 0.0))
        self.assertTrue(follows(11_001.0, 3, covered_at_ms, 0.0))
        self.assertFalse(follows(11_001.0, 4, covered_at_ms, 0.0))
        self.assertTrue(follows(11_121.0, 4, covered_at_ms, 0.0))

    def test_node_that_stays_behind_follows(self):
        self.assertTrue(
            store_watch.should_watch(10_000.0, 60, 10_000.0, 1_001.0)
        )
