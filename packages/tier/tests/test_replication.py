"""Tests of shared copies: bounds, faults and the number of calls."""

import unittest

import net
from twisted.internet import task

from godwitflow.http1 import callers
from godwitflow.http1 import messages as http_messages
from godwitflow.model import errors
from godwitflow.model import ids
from godwitflow.policy import store_watch
from godwitflow.store import memory_object_store
from godwitflow.tier import replication
from godwitflow.wire import messages

KIND = "servers"
APPLY_BOUND_MS = 3_000.0
STATES = messages.MemberState


class Node(replication.Replication):
    """Replication whose fetches go straight to the other node."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.name = ids.NodeId(f"n{number}")
        self.frozen = False
        self.state = {}
        self.told = 0
        super().__init__(
            fleet.clock,
            fleet.store.client_for(self.name),
            [KIND],
            self.name,
            self,
            self,
            fleet.now_ms,
            net.Log(),
            0.0 if number < 3 else 500.0,
        )

    def non_dead_members(self):
        return self.fleet.rows

    def send_to(self, nodes, message):
        self.told += len(nodes)
        for name in nodes:
            node = self.fleet.by_name[name]
            if self.fleet.reach(self, node):
                self.fleet.clock.callLater(
                    0.001, node.hear, self.name, message
                )

    def hear(self, inner, message):
        if not self.frozen:
            self.on_revisions(inner, message)

    async def fetch(self, inner, kind, after):
        other = self.fleet.by_name[inner]
        await task.deferLater(self.fleet.clock, 0.002)
        if other.frozen or not self.fleet.reach(self, other):
            raise errors.StoreUnavailableError("cut")
        return other.followers[kind].copy.delta_after(after)

    def on_changes(self, kind, news, lapsed):
        for change in news:
            if change.removed:
                self.state.pop(change.object.name, None)
            else:
                self.state[change.object.name] = change.object.revision


class Fleet:
    """Nodes with one store, under a virtual clock."""

    def __init__(self, count):
        self.clock = task.Clock()
        self.clock.advance(100.0)
        self.store = memory_object_store.MemoryObjectStore(self.clock)
        self.store.write(KIND, "a", {})
        self.reach = lambda origin, target: True
        self.nodes = []
        self.rows = [
            messages.MemberUpdate(
                f"n{number}", "d", f"n{number}", "", "", 1, STATES.ALIVE
            )
            for number in range(count)
        ]
        self.nodes = [Node(self, number) for number in range(count)]
        self.by_name = {node.name: node for node in self.nodes}
        for node in self.nodes:
            node.start()

    def now_ms(self):
        return self.clock.seconds() * 1_000.0

    def run(self, for_ms):
        for _ in range(int(for_ms / 20.0)):
            self.clock.advance(0.02)
            for node in self.nodes:
                if not node.frozen:
                    node.tick()

    def watchers(self):
        return [node for node in self.nodes if node.followers[KIND].in_sync]


class Asker:
    """A peer's connection that keeps its one answer."""

    def __init__(self):
        self.response = None

    def write_response(self, request, response):
        self.response = response


class StateTest(unittest.TestCase):
    """Plays a storm: a large object changes many times."""

    def setUp(self):
        self.fleet = Fleet(1)
        self.fleet.run(1_000.0)
        self.node = self.fleet.nodes[0]
        self.after = self.node.followers[KIND].copy.revision
        for step in range(12):
            text = {"routes": [f"route-{n}-{step}" for n in range(2_000)]}
            self.fleet.store.write(KIND, "main", text)
            self.fleet.run(400.0)

    def ask(self, after, deflate=True):
        asker = Asker()
        fields = [(b"Accept-Encoding", b"deflate")] if deflate else []
        request = http_messages.Request(
            b"GET", b"/state/servers?after=%d" % after, fields, None, True, 0.0
        )
        self.node.serve_fetch(callers.Exchange(asker, request))
        return asker.response

    def test_peer_that_is_behind_gets_the_last_version_and_few_bytes(self):
        response = self.ask(self.after)
        delta = replication._decode_delta(replication._inflate(response.body))
        (change,) = delta.changes
        self.assertEqual("route-0-11", change.object.spec["routes"][0])
        self.assertLess(len(response.body), 20_000)

    def test_answer_follows_the_copy_and_the_question(self):
        first = self.ask(self.after)
        self.assertEqual(first.body, self.ask(self.after).body)
        self.fleet.store.write(KIND, "main", {"routes": ["last"]})
        self.fleet.run(400.0)
        whole = replication._inflate(self.ask(0).body)
        self.assertTrue(replication._decode_delta(whole).full)
        newer = replication._inflate(self.ask(self.after).body)
        (change,) = replication._decode_delta(newer).changes
        self.assertEqual(["last"], change.object.spec["routes"])

    def test_peer_of_an_earlier_version_gets_a_plain_reply(self):
        plain = self.ask(self.after, deflate=False)
        deflated = self.ask(self.after)
        self.assertEqual([], plain.headers)
        self.assertEqual(plain.body, replication._decoded_body(plain))
        self.assertEqual(plain.body, replication._decoded_body(deflated))
        delta = replication._decode_delta(plain.body)
        self.assertEqual(1, len(delta.changes))

    def test_reply_that_cannot_be_inflated_is_refused(self):
        body = self.ask(self.after).body
        for bad in (b"", b"garbage", body[:-5], b"x" + body):
            with self.assertRaises(errors.CodecError):
                replication._inflate(bad)


class ReplicationTest(unittest.TestCase):
    def everybody_holds(self, fleet, name):
        return [name in node.state for node in fleet.nodes]

    def test_change_is_everywhere_within_the_bound(self):
        fleet = Fleet(9)
        fleet.run(3_000.0)
        fleet.store.write(KIND, "b", {})
        fleet.run(500.0)
        self.assertTrue(all(self.everybody_holds(fleet, "b")))

    def test_calls_do_not_grow_with_the_fleet(self):
        calls = {}
        for count in (9, 64, 200):
            fleet = Fleet(count)
            fleet.run(3_000.0)
            before = fleet.store.calls
            fleet.run(16_000.0)
            calls[count] = fleet.store.calls - before
        self.assertLessEqual(calls[200], calls[9] * 1.1)
        self.assertLessEqual(calls[9], 9)

    def test_no_node_tells_more_than_a_few_however_many_there_are(self):
        told = {}
        for count in (64, 160):
            fleet = Fleet(count)
            fleet.run(3_000.0)
            for node in fleet.nodes:
                node.told = 0
            fleet.run(2_000.0)
            told[count] = max(node.told for node in fleet.nodes) / 2.0
        self.assertLess(told[160], 100.0)
        self.assertLess(told[160], 1.2 * told[64])

    def test_change_passes_frozen_nodes_on_its_way(self):
        fleet = Fleet(100)
        fleet.run(3_000.0)
        ranked = store_watch.rank_nodes(
            fleet.nodes[0].name, fleet.by_name, "store"
        )
        for name in (ranked[1], ranked[4], ranked[8], ranked[20]):
            fleet.by_name[name].frozen = True
        fleet.store.write(KIND, "b", {})
        fleet.run(APPLY_BOUND_MS)
        lack = [
            node.name
            for node in fleet.nodes
            if "b" not in node.state and not node.frozen
        ]
        self.assertEqual([], lack)

    def test_node_without_a_copy_vouches_for_nothing(self):
        fleet = Fleet(9)
        told = [node.followers[KIND].kind_revision() for node in fleet.nodes]
        without = [row for row in told if row.revision == 0]
        self.assertGreater(len(without), 0)
        for row in without:
            self.assertFalse(row.fresh)

    def test_announcements_grow_old_everywhere_when_the_store_is_lost(self):
        fleet = Fleet(64)
        fleet.run(3_000.0)
        fleet.store.should_reject = lambda caller: True
        fleet.run(12_000.0)
        for node in fleet.nodes:
            self.assertFalse(node.followers[KIND].kind_revision().fresh)

    def test_bound_holds_when_the_watchers_freeze_or_are_refused(self):
        for fault in ("freeze", "refuse", "both"):
            fleet = Fleet(9)
            fleet.run(3_000.0)
            lost = {node.name for node in fleet.watchers()}
            self.assertEqual(3, len(lost))
            if fault in ("refuse", "both"):
                fleet.store.should_reject = lambda caller: caller in lost
            if fault in ("freeze", "both"):
                for node in fleet.watchers():
                    node.frozen = True
            fleet.run(100.0)
            fleet.store.write(KIND, "b", {})
            fleet.run(APPLY_BOUND_MS)
            holds = [
                "b" in node.state for node in fleet.nodes if not node.frozen
            ]
            self.assertTrue(all(holds), fault)

    def test_refused_nodes_follow_through_their_peers(self):
        fleet = Fleet(9)
        refused = {f"n{number}" for number in (0, 4, 8)}
        fleet.store.should_reject = lambda caller: caller in refused
        fleet.run(4_000.0)
        fleet.store.write(KIND, "b", {})
        fleet.run(APPLY_BOUND_MS)
        self.assertTrue(all(self.everybody_holds(fleet, "b")))

    def test_node_that_hears_no_peer_follows_the_store(self):
        fleet = Fleet(9)
        fleet.run(3_000.0)
        alone = next(
            node for node in fleet.nodes if node not in fleet.watchers()
        )
        fleet.reach = lambda origin, target: alone not in (origin, target)
        fleet.run(2_000.0)
        fleet.store.write(KIND, "b", {})
        fleet.run(APPLY_BOUND_MS)
        self.assertIn("b", alone.state)

    def test_dropped_history_is_listed_anew(self):
        fleet = Fleet(9)
        fleet.run(3_000.0)
        fleet.store.should_reject = lambda caller: True
        fleet.run(3_000.0)
        fleet.store.remove(KIND, "a")
        fleet.store.write(KIND, "b", {})
        fleet.store.drop_history()
        fleet.store.should_reject = lambda caller: False
        fleet.run(APPLY_BOUND_MS)
        for node in fleet.nodes:
            self.assertEqual(["b"], list(node.state))

    def test_no_node_goes_back(self):
        fleet = Fleet(9)
        fleet.run(2_000.0)
        last = {node.name: 0 for node in fleet.nodes}
        for step in range(100):
            fleet.store.write(KIND, "a", {"step": step})
            if step % 30 == 10:
                fleet.nodes[step % 9].frozen = True
            if step % 30 == 20:
                for node in fleet.nodes:
                    node.frozen = False
            fleet.run(60.0)
            for node in fleet.nodes:
                revision = node.followers[KIND].copy.revision
                self.assertGreaterEqual(revision, last[node.name])
                last[node.name] = revision

    def test_outage_costs_few_calls(self):
        fleet = Fleet(64)
        fleet.run(3_000.0)
        fleet.store.should_reject = lambda caller: True
        before = fleet.store.calls
        fleet.run(5_000.0)
        self.assertLess(fleet.store.calls - before, 120)

    def test_removals_after_an_outage_are_marked_as_lapses(self):
        fleet = Fleet(3)
        fleet.run(2_000.0)
        marks = []
        fleet.nodes[0].on_changes = lambda kind, news, lapsed: marks.append(
            lapsed
        )
        fleet.store.remove(KIND, "a")
        fleet.run(1_000.0)
        fleet.store.should_reject = lambda caller: True
        fleet.store.write(KIND, "c", {})
        fleet.run(4_000.0)
        fleet.store.remove(KIND, "c")
        fleet.store.should_reject = lambda caller: False
        fleet.run(2_000.0)
        self.assertFalse(marks[0])
        self.assertTrue(marks[-1])
