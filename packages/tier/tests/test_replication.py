"""Tests of replication: delays, faults and the number of store calls."""

import random
import unittest

import node_fixture
import replicating_fleet

from godwitflow.http1 import callers
from godwitflow.http1 import messages as http_messages
from godwitflow.model import errors
from godwitflow.policy import store_watch
from godwitflow.store import objects
from godwitflow.tier import replication
from godwitflow.wire import messages

KIND = replicating_fleet.KIND
MAX_DELAY_MS = replicating_fleet.MAX_DELAY_MS
STATES = messages.MemberState


class FetchingPeer:
    """A peer's connection that records the response."""

    def __init__(self):
        self.response = None

    def write_response(self, request, response):
        self.response = response


class FetchResponseTest(unittest.TestCase):
    """Serves fetches after many changes of one large object in a row."""

    def setUp(self):
        self.fleet = replicating_fleet.Fleet(1)
        self.fleet.advance(1_000.0)
        self.node = self.fleet.nodes[0]
        self.after = self.node.followers[KIND].copy.revision
        for step in range(12):
            spec = {"routes": [f"route-{n}-{step}" for n in range(2_000)]}
            self.fleet.store.write(KIND, "main", spec)
            self.fleet.advance(400.0)

    def fetch(self, after, deflate=True):
        peer = FetchingPeer()
        headers = [(b"Accept-Encoding", b"deflate")] if deflate else []
        request = http_messages.Request(
            b"GET",
            replication._fetch_target(KIND, after),
            headers,
            None,
            True,
            0.0,
        )
        self.node.serve_fetch(callers.Exchange(peer, request))
        return peer.response

    def test_delta_contains_only_latest_version_and_is_small(self):
        response = self.fetch(self.after)
        delta = replication._decode_delta(replication._inflate(response.body))
        (change,) = delta.changes
        self.assertEqual("route-0-11", change.object.spec["routes"][0])
        self.assertLess(len(response.body), 20_000)

    def test_response_depends_on_copy_and_requested_revision(self):
        first = self.fetch(self.after)
        self.assertEqual(first.body, self.fetch(self.after).body)
        self.fleet.store.write(KIND, "main", {"routes": ["last"]})
        self.fleet.advance(400.0)
        full = replication._inflate(self.fetch(objects.NO_REVISION).body)
        self.assertTrue(replication._decode_delta(full).full)
        newer = replication._inflate(self.fetch(self.after).body)
        (change,) = replication._decode_delta(newer).changes
        self.assertEqual(["last"], change.object.spec["routes"])

    def test_peer_of_earlier_version_gets_uncompressed_reply(self):
        plain = self.fetch(self.after, deflate=False)
        deflated = self.fetch(self.after)
        self.assertEqual([], plain.headers)
        self.assertEqual(plain.body, replication._decoded_body(plain))
        self.assertEqual(plain.body, replication._decoded_body(deflated))
        delta = replication._decode_delta(plain.body)
        self.assertEqual(1, len(delta.changes))

    def test_reply_that_cannot_be_inflated_is_rejected(self):
        body = self.fetch(self.after).body
        for bad in (b"", b"garbage", body[:-5], b"x" + body):
            with self.assertRaises(errors.CodecError):
                replication._inflate(bad)


class OddFetchTest(unittest.TestCase):
    def test_odd_revision_in_a_fetch_is_refused(self):
        fixture = node_fixture.serving_node()
        for after in (b"", b"-1", b"%C2%B2", b"9" * 5_000, b"1e3", b"0x1"):
            path = b"/state/upstreams?after=" + after
            self.assertIn(b" 404 ", fixture.request(5, path), after[:20])


class ReplicationTest(unittest.TestCase):
    def nodes_have(self, fleet, name):
        return [name in node.revision_by_name for node in fleet.nodes]

    def test_change_reaches_all_nodes_in_time(self):
        fleet = replicating_fleet.Fleet(9)
        fleet.advance(3_000.0)
        fleet.store.write(KIND, "b", {})
        fleet.advance(500.0)
        self.assertTrue(all(self.nodes_have(fleet, "b")))

    def test_store_calls_do_not_grow_with_fleet(self):
        for count in (9, 64, 200):
            fleet = replicating_fleet.Fleet(count)
            fleet.advance(3_000.0)
            fleet.store.calls_by_client.clear()
            fleet.advance(16_000.0)
            calls = fleet.store.calls_by_client
            confirming, *waiting = sorted(calls.values(), reverse=True)
            self.assertLessEqual(confirming, 16)
            self.assertEqual(2, len(waiting))
            self.assertLessEqual(max(waiting), 3)

    def test_unrelated_changes_cause_few_fetches(self):
        fleet = replicating_fleet.Fleet(9)
        fleet.advance(3_000.0)
        revisions = {
            node.followers[KIND].copy.revision for node in fleet.nodes
        }
        for _ in range(100):
            fleet.store.write("other", "x", {})
            fleet.advance(160.0)
            revisions |= {
                node.followers[KIND].copy.revision for node in fleet.nodes
            }
        self.assertLessEqual(len(revisions), 8)

    def test_announcements_per_node_do_not_grow_with_fleet(self):
        sent_per_s = {}
        for count in (64, 160):
            fleet = replicating_fleet.Fleet(count)
            fleet.advance(3_000.0)
            for node in fleet.nodes:
                node.sent_count = 0
            fleet.advance(2_000.0)
            sent_per_s[count] = (
                max(node.sent_count for node in fleet.nodes) / 2.0
            )
        self.assertLess(sent_per_s[160], 100.0)
        self.assertLess(sent_per_s[160], 1.2 * sent_per_s[64])

    def test_change_reaches_all_nodes_despite_frozen_ones(self):
        fleet = replicating_fleet.Fleet(100)
        fleet.advance(3_000.0)
        ranking = store_watch.rank_nodes(
            fleet.nodes[0].name, fleet.node_by_name, "store"
        )
        for name in (ranking[1], ranking[4], ranking[8], ranking[20]):
            fleet.node_by_name[name].frozen = True
        fleet.store.write(KIND, "b", {})
        fleet.advance(MAX_DELAY_MS)
        missing = [
            node.name
            for node in fleet.nodes
            if "b" not in node.revision_by_name and not node.frozen
        ]
        self.assertEqual([], missing)

    def test_node_without_copy_announces_no_fresh_revision(self):
        fleet = replicating_fleet.Fleet(9)
        announced = [
            node.followers[KIND].kind_revision() for node in fleet.nodes
        ]
        without_copy = [kind for kind in announced if kind.revision == 0]
        self.assertGreater(len(without_copy), 0)
        for kind in without_copy:
            self.assertFalse(kind.fresh)

    def test_no_announcement_stays_fresh_after_store_loss(self):
        fleet = replicating_fleet.Fleet(64)
        fleet.advance(3_000.0)
        fleet.store.should_reject = lambda caller: True
        fleet.advance(12_000.0)
        for node in fleet.nodes:
            self.assertFalse(node.followers[KIND].kind_revision().fresh)

    def test_change_arrives_in_time_without_the_watchers(self):
        for fault in ("freeze", "refuse", "both"):
            fleet = replicating_fleet.Fleet(9)
            fleet.advance(3_000.0)
            watchers = {node.name for node in fleet.in_sync_nodes()}
            self.assertEqual(3, len(watchers))
            if fault in ("refuse", "both"):
                fleet.store.should_reject = lambda caller: caller in watchers
            if fault in ("freeze", "both"):
                for node in fleet.in_sync_nodes():
                    node.frozen = True
            fleet.advance(100.0)
            fleet.store.write(KIND, "b", {})
            fleet.advance(MAX_DELAY_MS)
            received = [
                "b" in node.revision_by_name
                for node in fleet.nodes
                if not node.frozen
            ]
            self.assertTrue(all(received), fault)

    def assert_change_arrives_in_time(self, disturb):
        """Disturb fleets at several moments, and write a change each time."""
        for phase_ms in range(0, 2_000, 200):
            fleet = replicating_fleet.Fleet(9)
            fleet.advance(3_000.0 + phase_ms)
            disturb(fleet)
            fleet.advance(20.0)
            fleet.store.write(KIND, "b", {})
            fleet.advance(MAX_DELAY_MS)
            self.assertTrue(all(self.nodes_have(fleet, "b")), phase_ms)

    def test_change_arrives_in_time_while_watchers_hear_nothing(self):
        # They vouched for the store until their watch timed out after 9.5 s.
        def silence_watchers(fleet):
            silent = {node.name for node in fleet.in_sync_nodes()}
            self.assertEqual(3, len(silent))
            fleet.store.is_silent_to = lambda caller: caller in silent

        self.assert_change_arrives_in_time(silence_watchers)

    def test_change_arrives_in_time_when_open_connections_fall_silent(self):
        # All nodes kept the old configuration until their watches timed out.
        self.assert_change_arrives_in_time(
            lambda fleet: fleet.store.silence_open_connections()
        )

    def test_change_arrives_in_time_while_first_ranks_hear_nothing(self):
        fleet = replicating_fleet.Fleet(64)
        fleet.advance(3_000.0)
        ranking = store_watch.rank_nodes(
            fleet.nodes[0].name, fleet.node_by_name, "store"
        )
        silent = set(ranking[:7])
        fleet.store.is_silent_to = lambda caller: caller in silent
        fleet.store.write(KIND, "b", {})
        fleet.advance(MAX_DELAY_MS)
        self.assertTrue(all(self.nodes_have(fleet, "b")))

    def test_no_announcement_is_fresh_while_the_store_is_silent(self):
        fleet = replicating_fleet.Fleet(9)
        fleet.advance(3_000.0)
        fleet.store.is_silent_to = lambda caller: True
        fleet.advance(2_000.0)
        for node in fleet.nodes:
            self.assertFalse(node.followers[KIND].kind_revision().fresh)

    def test_nodes_refused_by_store_follow_through_peers(self):
        fleet = replicating_fleet.Fleet(9)
        refused = {f"n{number}" for number in (0, 4, 8)}
        fleet.store.should_reject = lambda caller: caller in refused
        fleet.advance(4_000.0)
        fleet.store.write(KIND, "b", {})
        fleet.advance(MAX_DELAY_MS)
        self.assertTrue(all(self.nodes_have(fleet, "b")))

    def test_isolated_node_follows_store(self):
        fleet = replicating_fleet.Fleet(9)
        fleet.advance(3_000.0)
        isolated = next(
            node for node in fleet.nodes if node not in fleet.in_sync_nodes()
        )
        fleet.can_reach = lambda origin, target: (
            isolated not in (origin, target)
        )
        fleet.advance(2_000.0)
        fleet.store.write(KIND, "b", {})
        fleet.advance(MAX_DELAY_MS)
        self.assertIn("b", isolated.revision_by_name)

    def test_dropped_history_causes_new_listing(self):
        fleet = replicating_fleet.Fleet(9)
        fleet.advance(3_000.0)
        fleet.store.should_reject = lambda caller: True
        fleet.advance(3_000.0)
        fleet.store.remove(KIND, "a")
        fleet.store.write(KIND, "b", {})
        fleet.store.drop_history()
        fleet.store.should_reject = lambda caller: False
        fleet.advance(MAX_DELAY_MS)
        for node in fleet.nodes:
            self.assertEqual(["b"], list(node.revision_by_name))

    def test_revisions_never_decrease(self):
        fleet = replicating_fleet.Fleet(9)
        fleet.advance(2_000.0)
        last = {node.name: objects.NO_REVISION for node in fleet.nodes}
        for step in range(100):
            fleet.store.write(KIND, "a", {"step": step})
            if step % 30 == 10:
                fleet.nodes[step % 9].frozen = True
            if step % 30 == 20:
                for node in fleet.nodes:
                    node.frozen = False
            fleet.advance(60.0)
            for node in fleet.nodes:
                revision = node.followers[KIND].copy.revision
                self.assertGreaterEqual(revision, last[node.name])
                last[node.name] = revision

    def test_outage_causes_few_store_calls(self):
        fleet = replicating_fleet.Fleet(64)
        fleet.advance(3_000.0)
        fleet.store.should_reject = lambda caller: True
        before = fleet.store.calls
        fleet.advance(5_000.0)
        self.assertLess(fleet.store.calls - before, 120)

    def test_changes_after_outage_are_marked(self):
        fleet = replicating_fleet.Fleet(3)
        fleet.advance(2_000.0)
        marks = []
        fleet.nodes[0].on_changes = lambda kind, changes, after_outage: (
            marks.append(after_outage)
        )
        fleet.store.remove(KIND, "a")
        fleet.advance(1_000.0)
        fleet.store.should_reject = lambda caller: True
        fleet.store.write(KIND, "c", {})
        fleet.advance(4_000.0)
        fleet.store.remove(KIND, "c")
        fleet.store.should_reject = lambda caller: False
        fleet.advance(2_000.0)
        self.assertFalse(marks[0])
        self.assertTrue(marks[-1])


class WithdrawnEntriesTest(unittest.TestCase):
    """What was removed from the store does not come back on any node."""

    def disturb(self, fleet, rng, names):
        """Do one thing at random; ``names`` are the entries of the store."""
        number = rng.randrange(len(fleet.nodes))
        match rng.randrange(8):
            case 0 | 1:
                name = f"e{rng.randrange(1_000_000)}"
                names.add(name)
                fleet.store.write(KIND, name, {})
            case 2 | 3 if names:
                name = rng.choice(sorted(names))
                names.remove(name)
                fleet.store.remove(KIND, name)
            case 4:
                fleet.restart(number)
            case 5:
                fleet.nodes[number].frozen = not fleet.nodes[number].frozen
            case 6:
                fleet.store.drop_history()
            case 7:
                refused = f"n{number}"
                fleet.store.should_reject = lambda caller: caller == refused

    def play(self, seed):
        rng = random.Random(seed)
        fleet = replicating_fleet.Fleet(9)
        fleet.advance(2_000.0)
        names = {"a"}
        newest = {}
        oldest = objects.NO_REVISION
        for _ in range(40):
            self.disturb(fleet, rng, names)
            fleet.advance(rng.choice((20.0, 200.0, 900.0)))
            for node in fleet.nodes:
                revision = node.followers[KIND].copy.revision
                self.assertGreaterEqual(
                    revision, newest.get(node, oldest), seed
                )
                newest[node] = revision
        fleet.store.should_reject = lambda caller: False
        for node in fleet.nodes:
            node.frozen = False
        fleet.advance(MAX_DELAY_MS)
        for node in fleet.nodes:
            self.assertEqual(names, set(node.revision_by_name), seed)

    def test_copies_never_go_back_and_are_the_stores_in_the_end(self):
        for seed in range(40):
            self.play(seed)
