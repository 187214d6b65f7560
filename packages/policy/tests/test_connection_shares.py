"""Tests of the shares of the connections that upstreams take."""

import collections
import unittest

import hypothesis
from hypothesis import strategies

from godwitflow.model import ids
from godwitflow.policy import connection_shares
from godwitflow.policy import ownership

SERVICE = ids.ServiceName("shard")
DOMAINS = ("d0", "d1", "d2", "d3")
SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=60
)
SIZES = strategies.integers(1, 80)
REPLICAS = strategies.integers(1, 5)
CAPS = strategies.integers(1, 40)


def members(count):
    return [
        ownership.Candidate(
            ids.NodeId(f"n{number}"),
            ids.FailureDomain(DOMAINS[number % len(DOMAINS)]),
        )
        for number in range(count)
    ]


def replicas(count):
    return [
        connection_shares.Replica(
            ids.UpstreamId(f"u{number}"),
            ids.FailureDomain(DOMAINS[number % len(DOMAINS)]),
        )
        for number in range(count)
    ]


def assign_all(nodes, upstreams, cap):
    """Return what each node works out for itself."""
    return {
        member.node: connection_shares.assign(
            SERVICE, member.node, nodes, upstreams, cap
        )
        for member in nodes
    }


def takers(assignments):
    """Return the number of nodes of each upstream."""
    return collections.Counter(
        upstream for assigned in assignments.values() for upstream in assigned
    )


class AssignTest(unittest.TestCase):
    @SETTINGS
    @hypothesis.given(SIZES, REPLICAS, CAPS)
    def test_no_upstream_has_more_nodes_than_its_cap(
        self, node_count, replica_count, cap
    ):
        assignments = assign_all(
            members(node_count), replicas(replica_count), cap
        )
        for taker_count in takers(assignments).values():
            self.assertLessEqual(taker_count, cap)

    @SETTINGS
    @hypothesis.given(SIZES, REPLICAS, CAPS)
    def test_every_node_has_an_upstream_while_there_are_connections(
        self, node_count, replica_count, cap
    ):
        hypothesis.assume(node_count <= replica_count * cap)
        assignments = assign_all(
            members(node_count), replicas(replica_count), cap
        )
        self.assertTrue(all(assignments.values()))

    @SETTINGS
    @hypothesis.given(SIZES, REPLICAS)
    def test_all_are_assigned_if_there_are_as_many_connections_as_nodes(
        self, node_count, replica_count
    ):
        upstreams = replicas(replica_count)
        assignments = assign_all(members(node_count), upstreams, node_count)
        for assigned in assignments.values():
            self.assertEqual(replica_count, len(assigned))

    @SETTINGS
    @hypothesis.given(SIZES, REPLICAS, CAPS, strategies.randoms())
    def test_order_of_members_and_upstreams_does_not_matter(
        self, node_count, replica_count, cap, rng
    ):
        nodes = members(node_count)
        upstreams = replicas(replica_count)
        before = assign_all(nodes, upstreams, cap)
        rng.shuffle(nodes)
        rng.shuffle(upstreams)
        self.assertEqual(before, assign_all(nodes, upstreams, cap))

    def test_upstreams_of_the_own_domain_are_assigned_first(self):
        nodes = members(40)
        assignments = assign_all(nodes, replicas(4), 10)
        for member in nodes:
            own = DOMAINS.index(member.failure_domain)
            self.assertEqual({f"u{own}"}, assignments[member.node])

    def test_member_that_leaves_changes_few_other_assignments(self):
        nodes = members(195)
        before = assign_all(nodes, replicas(3), 125)
        after = assign_all(nodes[1:], replicas(3), 125)
        changed = [
            node
            for node, assigned in after.items()
            if assigned != before[node]
        ]
        self.assertLessEqual(len(changed), 195 // 20)
