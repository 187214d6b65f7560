"""Tests that odd messages of peers neither stop nor mislead a node."""

import math
import unittest

import msgspec
import node_fixture

from godwitflow.model import addresses
from godwitflow.wire import codec
from godwitflow.wire import messages

PEER = "10.0.0.2:5"
ODD_VALUES = (
    None,
    True,
    -1,
    2**64 - 1,
    -(2**63),
    250_000.5,
    1e308,
    math.nan,
    math.inf,
    -math.inf,
    "",
    "odd",
    "a\nb",
    "10.0.0.1:99999",
    "10.0.0.1:0",
    ":",
    "x" * 3_000,
    b"\xff",
    [],
    {},
)


def peer_row(**changes):
    fields = {
        "node": "n2",
        "failure_domain": "d1",
        "inner_address": PEER,
        "caller_address": "10.0.0.2:1",
        "operator_address": "",
        "incarnation": 7,
        "state": messages.MemberState.ALIVE,
        "joined": True,
        "load": 0.1,
        "cores": 1.0,
        **changes,
    }
    return messages.MemberUpdate(**fields)


def sound_messages():
    """Return a message of each kind that nodes exchange."""
    row = peer_row()
    want = messages.PermitWant(1, "u1", 1, True, 1_000.0, 1.0)
    return [
        messages.Probe(3, (row,), (messages.Digest("a", 1),)),
        messages.ProbeAck(3, (row,)),
        messages.ProbeVia(3, "n2"),
        messages.MembersPull(5),
        messages.MembersPush((row,)),
        messages.Revisions(
            (messages.KindRevision("upstreams", 1, True, 3.0),)
        ),
        messages.Suspicions((messages.Suspicion(5, 1, 2.0, 1),)),
        messages.UpstreamReports((messages.UpstreamReport("u1", 2, 1.5, 1),)),
        messages.LimitReports((messages.LimitReport("u1", 1, 1_000.0, 2.0),)),
        messages.PermitRequest(False, (want,)),
        messages.PermitReply((messages.PermitAnswer(1, True, 2.0, 1_000.0),)),
    ]


def renamed(value, node):
    """Return a copy of a nested list with another node in place of n2."""
    if isinstance(value, list):
        return [renamed(item, node) for item in value]
    return node if value == "n2" else value


def odd_variants(value):
    """Yield copies of a nested list, each with one odd value in it."""
    for odd in ODD_VALUES:
        yield odd
    if isinstance(value, list):
        for index, item in enumerate(value):
            for variant in odd_variants(item):
                yield [*value[:index], variant, *value[index + 1 :]]


class OddMessagesTest(unittest.TestCase):
    def setUp(self):
        self.fixture = node_fixture.serving_node()
        self.peers = self.fixture.node.peers
        self.receive([codec.Header(codec.VERSION, "n2", 7, PEER), []])

    def receive(self, envelope):
        data = msgspec.msgpack.encode(envelope)
        self.peers.datagramReceived(data, ("10.0.0.2", 5))

    def assert_serves(self, what):
        self.fixture.advance(300.0)
        failed = [
            row
            for event, row in self.fixture.log.lines
            if event in ("task_failed", "message_failed")
        ]
        self.assertEqual([], failed, what)
        self.assertIn(b"whole", self.fixture.request(1, b"/one/"), what)
        for member in self.peers.membership.all_members():
            self.assertTrue(addresses.is_valid(member.inner_address), what)
            self.assertTrue(math.isfinite(member.load + member.cores), what)
        for member in self.peers.ready():
            self.assertTrue(addresses.is_valid(member.caller_address), what)

    def test_odd_value_in_any_field_of_any_message_does_no_harm(self):
        header = codec.Header(codec.VERSION, "n2", 7, PEER)
        for message in sound_messages():
            self.setUp()
            raw = msgspec.msgpack.decode(msgspec.msgpack.encode(message))
            self.receive([header, [raw]])
            for number, variant in enumerate(odd_variants(raw)):
                self.receive([header, [renamed(variant, f"m{number}")]])
            self.assert_serves(type(message).__name__)

    def test_odd_value_in_a_header_does_no_harm(self):
        raw = [codec.VERSION, "n2", 7, PEER]
        probe = messages.Probe(3, (peer_row(),))
        for variant in odd_variants(raw):
            self.receive([variant, [probe, messages.MembersPull()]])
        self.assert_serves("header")

    def test_odd_row_hides_no_message_of_the_same_datagram(self):
        header = codec.Header(codec.VERSION, "n2", 7, PEER)
        odd = messages.MembersPush((peer_row(inner_address="10.0.0.2:0"),))
        sound = messages.MembersPush((peer_row(),))
        self.receive([header, [odd, sound]])
        self.assertIsNotNone(self.peers.membership.find("n2"))
        self.assertEqual(1, self.peers.rejected_count)
