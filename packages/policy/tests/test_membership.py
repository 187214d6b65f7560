"""Tests of membership in a simulated network with a virtual clock."""

import unittest

from godwitflow.policy import membership
from godwitflow.wire import messages

STATES = messages.MemberState
STEP_MS = 50.0


def row(number, incarnation=1, state=STATES.ALIVE):
    return messages.MemberUpdate(
        f"vm{number}",
        f"d{number % 3}",
        f"tcp://{number}",
        f"http://{number}",
        "",
        incarnation,
        state,
        True,
    )


class Network:
    """Nodes that exchange messages.

    Messages for which ``cut`` returns True are dropped.
    """

    def __init__(self, count):
        rows = [row(number) for number in range(count)]
        self.tables = {}
        for number, me in enumerate(rows):
            table = membership.Membership(me, number)
            table.merge(0.0, rows)
            self.tables[me.node] = table
        self.paused = set()
        self.cut = lambda sender, target: False
        self.now_ms = 0.0
        self.sent = 0

    def post(self, sender, actions):
        for action in actions:
            self.sent += 1
            target = action.node
            unreachable = target not in self.tables or target in self.paused
            if unreachable or self.cut(sender, target):
                continue
            self.handle(sender, target, action.message)

    def handle(self, sender, target, message):
        table = self.tables[target]
        inner_address = self.tables[sender].me.inner_address
        match message:
            case messages.Probe():
                actions = table.on_probe(
                    self.now_ms, sender, inner_address, message
                )
            case messages.ProbeAck():
                actions = table.on_ack(self.now_ms, message)
            case messages.ProbeVia():
                actions = table.on_probe_via(
                    self.now_ms, sender, inner_address, message
                )
        self.post(target, actions)

    def run(self, span_ms):
        until_ms = self.now_ms + span_ms
        while self.now_ms < until_ms:
            self.now_ms += STEP_MS
            for node, table in list(self.tables.items()):
                if node not in self.paused:
                    self.post(node, table.tick(self.now_ms))

    def states(self, of):
        return {
            node: table.members[of].update.state
            for node, table in self.tables.items()
            if node != of and of in table.members
        }


class MembershipTest(unittest.TestCase):
    def test_lost_member_is_declared_dead_by_all(self):
        network = Network(9)
        network.run(2_000.0)
        del network.tables["vm4"]
        network.run(9_000.0)
        self.assertEqual({STATES.DEAD}, set(network.states("vm4").values()))
        others = [table.live_members() for table in network.tables.values()]
        self.assertEqual({8}, {len(alive) for alive in others})

    def test_asymmetric_partition_removes_no_member(self):
        """One domain cannot send to another; probes go through the third."""
        network = Network(9)
        network.cut = lambda sender, target: (
            int(sender[2:]) % 3 == 0 and int(target[2:]) % 3 == 1
        )
        network.run(20_000.0)
        for table in network.tables.values():
            self.assertEqual(9, len(table.live_members()))

    def test_paused_node_resumes_without_removals(self):
        network = Network(6)
        network.run(1_000.0)
        network.paused.add("vm2")
        network.run(1_400.0)
        suspects = [
            state
            for state in network.states("vm2").values()
            if state is STATES.SUSPECT
        ]
        network.run(600.0)
        network.paused.discard("vm2")
        network.run(8_000.0)
        self.assertEqual(1, network.tables["vm2"].pause_count)
        for table in network.tables.values():
            self.assertEqual(6, len(table.live_members()), suspects)
        self.assertGreaterEqual(network.tables["vm2"].me.incarnation, 1)

    def test_node_refutes_its_own_death(self):
        table = membership.Membership(row(0), 1)
        table.merge(0.0, [row(0, 4, STATES.DEAD)])
        self.assertEqual(5, table.me.incarnation)
        self.assertIs(STATES.ALIVE, table.me.state)

    def test_dead_member_returns_with_a_higher_incarnation(self):
        table = membership.Membership(row(0), 1)
        table.merge(0.0, [row(1), row(1, 1, STATES.DEAD)])
        self.assertEqual(1, len(table.live_members()))
        table.merge(0.0, [row(1, 1)])
        self.assertEqual(1, len(table.live_members()))
        table.merge(0.0, [row(1, 2)])
        self.assertEqual(2, len(table.live_members()))

    def test_leaving_member_is_no_longer_live(self):
        network = Network(9)
        network.run(1_000.0)
        network.tables["vm1"].leave()
        network.run(4_000.0)
        self.assertEqual({STATES.LEAVING}, set(network.states("vm1").values()))
        for table in network.tables.values():
            self.assertNotIn(
                "vm1", [item.node for item in table.live_members()]
            )

    def test_platform_list_adds_but_does_not_override(self):
        table = membership.Membership(row(0), 1)
        table.merge(0.0, [row(1, 3, STATES.LEAVING)])
        table.add_listed_members(0.0, [row(1, 9), row(2, 0)])
        self.assertIs(STATES.LEAVING, table.find("vm1").state)
        self.assertEqual(0, table.find("vm2").incarnation)

    def test_message_rate_per_node_is_constant(self):
        rates = []
        for count in (9, 45):
            network = Network(count)
            network.run(1_000.0)
            network.sent = 0
            network.run(10_000.0)
            rates.append(network.sent / count / 10.0)
        self.assertAlmostEqual(rates[0], rates[1], delta=0.5)

    def test_updates_per_message_are_bounded(self):
        table = membership.Membership(row(0), 1)
        table.merge(0.0, [row(number) for number in range(1, 200)])
        actions = []
        now_ms = 0.0
        while not actions:
            now_ms += STEP_MS
            actions = table.tick(now_ms)
        self.assertLessEqual(
            len(actions[0].message.updates),
            membership.MAX_UPDATES_PER_MESSAGE + 1,
        )
