"""Tests of whom a node asks for permits."""

import unittest

import simulation

from godwitflow.model import ids
from godwitflow.policy import permits
from godwitflow.tier import issuers

GROUP = permits.Group(0)
ME = ids.NodeId("n1")


class Members:
    """Live members; the number of known ones is not asked for."""

    def __init__(self, *nodes):
        self.nodes = list(nodes)

    def live_nodes(self):
        return self.nodes


class IssuersTest(unittest.TestCase):
    def setUp(self):
        self.members = Members(ME, "n2", "n3")
        self.log = simulation.RecordingLog()
        self.issuers = issuers.Issuers(ME, self.members, self.log)

    def test_first_of_the_ranking_is_asked(self):
        first = self.issuers.ranking(GROUP)[0]
        self.assertEqual(
            (first, permits.Role.PRIMARY), self.issuers.choose(GROUP, 0.0)
        )

    def test_second_stands_in_while_the_first_is_silent(self):
        first, second, _ = self.issuers.ranking(GROUP)
        for _ in range(issuers.SILENT_AFTER_TIMEOUTS):
            self.issuers.on_timeout(first, 0.0)
        standby = (second, permits.Role.STANDBY)
        self.assertEqual(standby, self.issuers.choose(GROUP, 999.0))
        node, _ = self.issuers.choose(GROUP, issuers.SILENT_MS)
        self.assertEqual(first, node)

    def test_reply_ends_the_silence(self):
        first = self.issuers.ranking(GROUP)[0]
        for _ in range(issuers.SILENT_AFTER_TIMEOUTS):
            self.issuers.on_timeout(first, 0.0)
        self.issuers.on_reply(first)
        node, _ = self.issuers.choose(GROUP, 1.0)
        self.assertEqual(first, node)

    def test_changed_members_are_ranked_anew_and_logged(self):
        first = self.issuers.ranking(GROUP)[0]
        self.members.nodes.remove(first)
        self.issuers.on_members_changed()
        self.assertNotEqual(first, self.issuers.ranking(GROUP)[0])
        previous = [fields["previous"] for _, fields in self.log.lines]
        self.assertEqual([None, first], previous)

    def test_node_without_live_members_asks_itself_as_a_standby(self):
        self.members.nodes.clear()
        self.assertEqual(
            (ME, permits.Role.STANDBY), self.issuers.choose(GROUP, 0.0)
        )
