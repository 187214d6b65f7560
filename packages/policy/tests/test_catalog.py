"""Tests of the catalog and of small policy modules."""

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
    value = index.Index("seats", snapshot, {"r": ("http://u",)}, {"a": "r"})
    return index.encode(value)


class CatalogTest(unittest.TestCase):
    def setUp(self):
        self.catalog = catalog.Catalog()

    def apply(self, objects):
        return [self.catalog.apply_object(*item) for item in objects]

    def test_odd_object_is_refused_and_the_one_before_stays(self):
        self.apply(generation(1))
        self.catalog.apply_object("index/seats", 1, index_value(1))
        nested = b"[" * 2_000 + b"]" * 2_000
        for number, odd in enumerate(
            (nested, b'{"service":%b}' % nested, b'"\\udcff"', b"9" * 5_000)
        ):
            for name in (stored_config.HEAD_NAME, "index/seats"):
                self.catalog.apply_object(name, 5 + number, odd)
        self.assertIn("seats", self.catalog.config.services)
        (kept,) = self.catalog.indexes.values()
        self.assertEqual(1, kept.snapshot)

    def test_generation_is_active_once_its_files_are_present(self):
        file, head = generation(1)
        self.assertTrue(self.catalog.apply_object(*head))
        self.assertIsNone(self.catalog.config)
        self.assertEqual((file[0],), self.catalog.missing_files())
        self.catalog.apply_object(*file)
        self.assertIn("seats", self.catalog.config.services)
        self.assertFalse(self.catalog.ready)
        self.catalog.apply_object("index/seats", 5, index_value(1))
        self.assertTrue(self.catalog.ready)

    def test_older_generation_is_rejected(self):
        self.apply(generation(3))
        old = generation(2)[1]
        self.assertFalse(self.catalog.apply_object(old[0], 99, old[2]))
        self.assertFalse(self.catalog.apply_object(*old))
        self.assertEqual(3, self.catalog.head.generation)
        self.assertEqual([3], self.catalog.generations)

    def test_invalid_objects_do_not_replace_valid_ones(self):
        self.apply(generation(1))
        self.catalog.apply_object("index/seats", 5, index_value(2))
        invalid = (
            ("index/seats", 6, b"{"),
            ("index/seats", 7, index_value(2)[:-4]),
            ("index/seats", 8, index_value(1)),
            (stored_config.HEAD_NAME, 9, b"[]"),
            (stored_config.file_object_name("0" * 64), 9, b"not its content"),
            ("elsewhere", 9, b""),
        )
        for item in invalid:
            self.assertFalse(self.catalog.apply_object(*item), item)
        self.assertEqual(len(invalid), self.catalog.refused_count)
        self.assertEqual(2, self.catalog.indexes["index/seats"].snapshot)

    def test_generation_with_invalid_settings_is_not_active(self):
        self.apply(generation(1))
        self.apply(generation(2, b"services: 5\n"))
        self.assertEqual(1, self.catalog.head.generation)

    def test_digests_show_which_node_is_outdated(self):
        other = catalog.Catalog()
        self.apply(generation(1))
        for item in generation(2):
            other.apply_object(*item)
        self.assertTrue(self.catalog.summary_differs((other.summary(),)))
        self.assertEqual(
            (stored_config.HEAD_NAME,),
            self.catalog.outdated_names(other.digests()),
        )
        self.assertEqual((), other.outdated_names(self.catalog.digests()))


class AddressChoiceTest(unittest.TestCase):
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

    def test_only_joined_members_that_are_not_leaving(self):
        rows = [
            self.row(1),
            self.row(2, joined=False),
            self.row(3, state=messages.MemberState.LEAVING),
            self.row(4, load=0.9),
        ]
        chosen = address_choice.choose(rows, "d0", "x", 3, 0)
        self.assertEqual(["http://1", "http://4"], chosen)


class AdmissionTest(unittest.TestCase):
    def load(self, wait_ms, canaries=0):
        return messages.SetLoad(
            "s", "r", (0.0, wait_ms), (1.0, 1.0), (0, canaries), 0.9
        )

    def test_refusal_depends_on_the_wait_of_the_rank(self):
        controller = admission.AdmissionController()
        controller.on_load_report(self.load(600.0), 0.0)
        refused = controller.decide(1.0, 1, 1_000.0, 5)
        self.assertIsInstance(refused, admission.Refuse)
        self.assertGreaterEqual(refused.retry_after_ms, 100.0)
        urgent = controller.decide(1.0, 0, 1_000.0, 5)
        self.assertIsInstance(urgent, admission.Admit)

    def test_running_canaries_count_and_stale_reports_do_not(self):
        controller = admission.AdmissionController()
        controller.on_load_report(self.load(0.0, canaries=700), 0.0)
        self.assertEqual(700.0, controller.expected_wait_ms(1.0, 1))
        self.assertEqual(0.0, controller.expected_wait_ms(5_000.0, 1))


class SmallModulesTest(unittest.TestCase):
    def test_rate_limiter_keeps_its_rate(self):
        limiter = budget.RateLimiter(rate_per_s=5.0, burst=2.0)
        taken = [limiter.try_acquire(ms) for ms in range(0, 10_000, 10)]
        self.assertLessEqual(sum(taken), 52)
        self.assertGreaterEqual(sum(taken), 50)

    def test_known_good_evicts_the_least_recently_used(self):
        seen = known_good.KnownGood(2)
        for fingerprint in (1, 2, 1, 3):
            seen.add(fingerprint)
        self.assertTrue(seen.contains(1))
        self.assertFalse(seen.contains(2))

    def test_idle_connections_are_unverified_after_an_unresponsive_one(self):
        pool = connection_pool.ConnectionPoolState(3)
        unresponsive, idle = pool.acquire(0.0), pool.acquire(0.0)
        pool.release(1.0, idle)
        unverified = pool.on_unresponsive(unresponsive, sent_at_ms=2.0)
        self.assertEqual([idle], unverified)
        new = pool.acquire(3.0)
        self.assertNotIn(new, (unresponsive, idle))
        pool.release(4.0, idle)
        self.assertIn(pool.acquire(5.0), (idle,))

    def test_cap_on_connections(self):
        pool = connection_pool.ConnectionPoolState(1)
        self.assertIsNotNone(pool.acquire(0.0))
        self.assertIsNone(pool.acquire(0.0))

    def test_unresponsive_peer_is_pinged_then_reported(self):
        liveness = peer_liveness.PeerLiveness()
        liveness.on_request_sent("a", 0.0)
        actions = []
        for now_ms in range(0, 700, 50):
            actions += liveness.check({"a"}, float(now_ms))
        kinds = [type(item) for item in actions]
        self.assertIs(peer_liveness.PingPeer, kinds[0])
        self.assertIn(peer_liveness.PeerUnresponsive, kinds)
        self.assertEqual(["b", "a"], liveness.responsive_first(["a", "b"]))
        liveness.on_message("a", 800.0)
        self.assertEqual(["a", "b"], liveness.responsive_first(["a", "b"]))

    def test_pause_of_this_process_reports_no_peer(self):
        liveness = peer_liveness.PeerLiveness()
        liveness.on_message("a", 0.0)
        liveness.check({"a"}, 10.0)
        actions = liveness.check({"a"}, 5_000.0)
        self.assertEqual(
            [peer_liveness.PingPeer], [type(item) for item in actions]
        )
