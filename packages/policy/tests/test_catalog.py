"""Tests of what a node holds of the store, and of small parts."""

import unittest

from godwitflow.model import index
from godwitflow.policy import address_choice
from godwitflow.policy import admission
from godwitflow.policy import budget
from godwitflow.policy import catalog
from godwitflow.policy import connection_pool
from godwitflow.policy import known_good
from godwitflow.policy import peer_liveness
from godwitflow.settings import folder
from godwitflow.settings import stored_config
from godwitflow.wire import messages

TEXT = b"""\
services:
  seats:
    index: index/seats
    priorities: {steward: {rank: 0, target_ms: 1, deadline_ms: 600}}
"""


def generation(number, content=TEXT):
    file = folder.File("a.yaml", content)
    head = stored_config.Head(
        number, "ana", str(number), stored_config.file_refs((file,))
    )
    return (
        (stored_config.file_object_name(file.sha256), number, file.content),
        (stored_config.HEAD_NAME, number, stored_config.encode_head(head)),
    )


def index_value(snapshot):
    found = index.Index("seats", snapshot, {"r": ("http://u",)}, {"a": "r"})
    return index.encode(found)


class CatalogTest(unittest.TestCase):
    def setUp(self):
        self.held = catalog.Catalog()

    def give(self, objects):
        return [self.held.apply_object(*item) for item in objects]

    def test_comes_into_force_once_whole(self):
        file, head = generation(1)
        self.assertTrue(self.held.apply_object(*head))
        self.assertIsNone(self.held.config)
        self.assertEqual((file[0],), self.held.missing_files())
        self.held.apply_object(*file)
        self.assertIn("seats", self.held.config.services)
        self.assertFalse(self.held.ready)
        self.held.apply_object("index/seats", 5, index_value(1))
        self.assertTrue(self.held.ready)

    def test_never_reverts(self):
        self.give(generation(3))
        old = generation(2)[1]
        self.assertFalse(self.held.apply_object(old[0], 99, old[2]))
        self.assertFalse(self.held.apply_object(*old))
        self.assertEqual(3, self.held.head.generation)
        self.assertEqual([3], self.held.generations)

    def test_bad_objects_are_refused_and_the_last_good_one_stays(self):
        self.give(generation(1))
        self.held.apply_object("index/seats", 5, index_value(2))
        bad = (
            ("index/seats", 6, b"{"),
            ("index/seats", 7, index_value(2)[:-4]),
            ("index/seats", 8, index_value(1)),
            (stored_config.HEAD_NAME, 9, b"[]"),
            (stored_config.file_object_name("0" * 64), 9, b"not its content"),
            ("elsewhere", 9, b""),
        )
        for item in bad:
            self.assertFalse(self.held.apply_object(*item), item)
        self.assertEqual(len(bad), self.held.refused_count)
        self.assertEqual(2, self.held.indexes["index/seats"].snapshot)

    def test_generation_with_bad_settings_is_not_in_force(self):
        self.give(generation(1))
        self.give(generation(2, b"services: 5\n"))
        self.assertEqual(1, self.held.head.generation)

    def test_digests_say_who_is_behind(self):
        other = catalog.Catalog()
        self.give(generation(1))
        for item in generation(2):
            other.apply_object(*item)
        self.assertTrue(self.held.summary_differs((other.summary(),)))
        self.assertEqual(
            (stored_config.HEAD_NAME,),
            self.held.outdated_names(other.digests()),
        )
        self.assertEqual((), other.outdated_names(self.held.digests()))


class AddressesTest(unittest.TestCase):
    def row(self, number, **changes):
        fields = {
            "node": f"vm{number}",
            "failure_domain": f"d{number % 3}",
            "inner_address": "",
            "caller_address": f"http://{number}",
            "operator_address": "",
            "incarnation": 1,
            "state": messages.MemberState.ALIVE,
            "joined": True,
        }
        return messages.MemberUpdate(**{**fields, **changes})

    def test_only_joined_members_that_stay(self):
        rows = [
            self.row(1),
            self.row(2, joined=False),
            self.row(3, state=messages.MemberState.LEAVING),
            self.row(4, load=0.9),
        ]
        found = address_choice.choose(rows, "d0", "x", 3, 0)
        self.assertEqual(["http://1", "http://4"], found)


class AdmissionTest(unittest.TestCase):
    def load(self, wait_ms, canaries=0):
        return messages.SetLoad(
            "s", "r", (0.0, wait_ms), (1.0, 1.0), (0, canaries), 0.9
        )

    def test_whole_queries_are_refused_by_their_own_rank(self):
        gate = admission.AdmissionController()
        gate.on_load_report(self.load(600.0), 0.0)
        refused = gate.decide(1.0, 1, 1_000.0, 5)
        self.assertIsInstance(refused, admission.Refuse)
        self.assertGreaterEqual(refused.retry_after_ms, 100.0)
        urgent = gate.decide(1.0, 0, 1_000.0, 5)
        self.assertIsInstance(urgent, admission.Admit)

    def test_hidden_work_counts_and_old_reports_do_not(self):
        gate = admission.AdmissionController()
        gate.on_load_report(self.load(0.0, canaries=700), 0.0)
        self.assertEqual(700.0, gate.expected_wait_ms(1.0, 1))
        self.assertEqual(0.0, gate.expected_wait_ms(5_000.0, 1))


class SmallPartsTest(unittest.TestCase):
    def test_store_calls_keep_to_their_rate(self):
        calls = budget.RateLimiter(rate_per_s=5.0, burst=2.0)
        taken = [calls.try_acquire(ms) for ms in range(0, 10_000, 10)]
        self.assertLessEqual(sum(taken), 52)
        self.assertGreaterEqual(sum(taken), 50)

    def test_known_good_is_bounded(self):
        seen = known_good.KnownGood(2)
        for mark in (1, 2, 1, 3):
            seen.add(mark)
        self.assertTrue(seen.contains(1))
        self.assertFalse(seen.contains(2))

    def test_siblings_of_a_silent_connection_are_not_used(self):
        table = connection_pool.ConnectionPoolState(3)
        old, sibling = table.acquire(0.0), table.acquire(0.0)
        table.release(1.0, sibling)
        doubtful = table.on_unresponsive(old, sent_at_ms=2.0)
        self.assertEqual([sibling], doubtful)
        fresh = table.acquire(3.0)
        self.assertNotIn(fresh, (old, sibling))
        table.release(4.0, sibling)
        self.assertIn(table.acquire(5.0), (sibling,))

    def test_cap_on_connections(self):
        table = connection_pool.ConnectionPoolState(1)
        self.assertIsNotNone(table.acquire(0.0))
        self.assertIsNone(table.acquire(0.0))

    def test_quiet_peer_is_pinged_then_given_up(self):
        table = peer_liveness.PeerLiveness()
        table.on_request_sent("a", 0.0)
        verdicts = []
        for now_ms in range(0, 700, 50):
            verdicts += table.check({"a"}, float(now_ms))
        kinds = [type(item) for item in verdicts]
        self.assertIs(peer_liveness.PingPeer, kinds[0])
        self.assertIn(peer_liveness.PeerUnresponsive, kinds)
        self.assertEqual(["b", "a"], table.responsive_first(["a", "b"]))
        table.on_message("a", 800.0)
        self.assertEqual(["a", "b"], table.responsive_first(["a", "b"]))

    def test_own_pause_is_not_a_peers_silence(self):
        table = peer_liveness.PeerLiveness()
        table.on_message("a", 0.0)
        table.check({"a"}, 10.0)
        verdicts = table.check({"a"}, 5_000.0)
        self.assertEqual([peer_liveness.PingPeer], [type(v) for v in verdicts])
