"""Tests of one node's requests for permits and of its answers to others."""

import unittest

import simulation

from godwitflow.model import ids
from godwitflow.policy import permits as policy
from godwitflow.policy import rate_limits
from godwitflow.tier import permits
from godwitflow.wire import messages

OTHER = ids.NodeId("n2")


class FakeMembers:
    """Two live members; records the messages sent to the other one."""

    def __init__(self, node):
        self.nodes = [node, OTHER]
        self.sent = []

    def live_nodes(self):
        return list(self.nodes)

    def node_count(self):
        return 2

    def send_to(self, nodes, message):
        self.sent.append(message)


class PermitsTest(unittest.TestCase):
    def setUp(self):
        self.sim = simulation.Simulation(replicas=1)
        self.paused_ms = 0.0
        # The other node issues the permits of the service "one".
        node = next(
            name
            for number in range(100)
            if policy.rank_issuers(
                [name := ids.NodeId(f"a{number}"), OTHER],
                policy.group_of(ids.ServiceName("one")),
            )[0]
            == OTHER
        )
        self.members = FakeMembers(node)
        self.permits = permits.Permits(
            self.sim.reactor,
            lambda: self.sim.reactor.now_ms() + self.paused_ms,
            node,
            self.members,
            self.sim.dispatcher.find_upstream,
            self.sim.limit_watch,
            self.sim.log,
        )
        self.upstream = self.sim.dispatcher.find_upstream(
            ids.UpstreamId("one-0"), 1
        )
        now_ms = self.sim.reactor.now_ms()
        self.sim.limit_watch.apply(
            self.upstream, rate_limits.LimitNews(10.0, now_ms, node), now_ms
        )
        self.decisions = []

    def request(self):
        self.permits.request(self.upstream, False, self.decisions.append)
        self.sim.advance(1.0)
        return self.members.sent[-1].wants[-1]

    def reply(self, want, issued=True):
        answer = messages.PermitAnswer(want.ticket, issued, 0.0)
        self.permits.on_reply(OTHER, messages.PermitReply((answer,)))

    def test_permit_is_used_at_once(self):
        self.reply(self.request())
        self.assertEqual([True], self.decisions)

    def test_permit_that_is_read_after_a_pause_is_not_used(self):
        want = self.request()
        self.paused_ms = 3_000.0
        self.reply(want)
        self.assertEqual([False], self.decisions)
        self.sim.advance(1_000.0)
        self.assertEqual([False], self.decisions)

    def test_repeated_and_unknown_answers_are_ignored(self):
        want = self.request()
        self.reply(want)
        self.reply(want)
        answer = messages.PermitAnswer(9_999, True, 0.0)
        self.permits.on_reply(OTHER, messages.PermitReply((answer,)))
        self.assertEqual([True], self.decisions)

    def test_answer_of_a_node_that_was_not_asked_is_ignored(self):
        want = self.request()
        answer = messages.PermitAnswer(want.ticket, True, 0.0)
        self.permits.on_reply(
            ids.NodeId("n3"), messages.PermitReply((answer,))
        )
        self.assertEqual([], self.decisions)

    def test_unanswered_request_is_denied_once(self):
        self.request()
        self.sim.advance(2 * permits.REPLY_TIMEOUT_MS)
        self.assertEqual([False], self.decisions)

    def test_change_of_the_issuer_is_logged_and_shown(self):
        self.request()
        (line,) = self.permits.lines()
        self.assertIn(f'issuer="{OTHER}"', line)
        self.members.nodes.remove(OTHER)
        self.permits.on_members_changed()
        self.permits.request(self.upstream, False, self.decisions.append)
        logged = [
            (fields["issuer"], fields["previous"])
            for event, fields in self.sim.log.lines
            if event == "issuer"
        ]
        own = self.members.nodes[0]
        self.assertEqual([(OTHER, None), (own, OTHER)], logged)

    def test_node_that_is_not_the_issuer_denies(self):
        want = self.request()
        self.permits.on_request(OTHER, messages.PermitRequest(False, (want,)))
        (answer,) = self.members.sent[-1].answers
        self.assertFalse(answer.issued)
