"""Tests of a node's contact with the members that the store lists."""

import unittest

import node_fixture

ODD_ADDRESSES = (
    None,
    True,
    -1,
    1e308,
    "odd",
    "a\nb",
    ":",
    "10.0.0.1:99999",
    "10.0.0.1:0",
    "10.0.0.1:\u00b2",
    "a.example:80",
    "x" * 3_000,
    [],
    {"inner": "10.0.0.3:5"},
)


class OddMemberEntriesTest(unittest.TestCase):
    def test_odd_entry_of_a_member_stops_no_other_contact(self):
        # The loop that contacts members failed on each such entry.
        fixture = node_fixture.serving_node()
        peers = fixture.node.peers
        sent = []
        peers.transport = fixture.reactor
        fixture.reactor.write = lambda data, address: sent.append(address)
        for number, odd in enumerate(ODD_ADDRESSES):
            fixture.store.write("members", f"a{number}", {"inner": odd})
        fixture.store.write("members", "b", None)
        fixture.store.write("members", "z", {"inner": "10.0.0.7:5"})
        listing = fixture.store.listing("members")
        fixture.node._self_registration._contact_members(listing)
        fixture.advance(5_000.0)
        self.assertEqual({("10.0.0.7", 5)}, set(sent))
        failed = [
            row for event, row in fixture.log.lines if event == "task_failed"
        ]
        self.assertEqual([], failed)
