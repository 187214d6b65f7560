"""Shares the connections that an upstream takes among the nodes.

An upstream takes a number of connections from all nodes together, its
cap. Each node may open an even share of it. Where there are more nodes
than connections, that share is less than one, and each node is assigned
some of a service's upstreams instead.

Every node works out the assignment itself, from the members and upstreams
that it knows. Members take an upstream in turn, in an order given by
hashing, until the caps are reached; the first round gives every member
one. A member that joins or leaves changes the assignments of few others.
"""

import typing

from godwitflow.model import ids
from godwitflow.policy import ownership


class Replica(typing.NamedTuple):
    """An upstream of a service, and its failure domain."""

    upstream: ids.UpstreamId
    failure_domain: ids.FailureDomain


def connection_limit(cap: int, node_count: int, recent_start: bool) -> int:
    """Return how many connections a node may open to one upstream.

    After a power loss, upstreams may still count the connections of the
    process before, so a node takes half of its share then.

    >>> connection_limit(26, 9, False), connection_limit(26, 9, True)
    (2, 1)
    """
    lives = 2 if recent_start else 1
    return max(1, cap // (node_count * lives))


def assign(
    service: ids.ServiceName,
    node: ids.NodeId,
    members: typing.Iterable[ownership.Candidate],
    replicas: typing.Sequence[Replica],
    cap: int,
) -> frozenset[ids.UpstreamId]:
    """Return the upstreams of a service that a node is assigned.

    No upstream is assigned to more than ``cap`` members. If the caps of
    all upstreams together are less than the number of members, some
    members are assigned none. A member takes those of its own failure
    domain first.
    """
    preferences = {
        member.node: _preferences(member, replicas)
        for member in _ordered(service, members)
    }
    free = {replica.upstream: cap for replica in replicas}
    assigned = set()
    for _ in replicas:
        for taker, preferred in preferences.items():
            upstream = _take(preferred, free)
            if upstream is not None and taker == node:
                assigned.add(upstream)
    return frozenset(assigned)


def _ordered(
    service: ids.ServiceName, members: typing.Iterable[ownership.Candidate]
) -> list[ownership.Candidate]:
    service_hash = ownership.hash64(service)

    def weight(member: ownership.Candidate) -> tuple[int, ids.NodeId]:
        node_hash = ownership.hash64(member.node)
        return ownership.mix_hashes(service_hash, node_hash), member.node

    return sorted(members, key=weight)


def _preferences(
    member: ownership.Candidate, replicas: typing.Sequence[Replica]
) -> list[ids.UpstreamId]:
    """Return the upstreams in reverse order of preference."""
    node_hash = ownership.hash64(member.node)

    def weight(replica: Replica) -> tuple[bool, int, ids.UpstreamId]:
        upstream_hash = ownership.hash64(replica.upstream)
        return (
            replica.failure_domain == member.failure_domain,
            ownership.mix_hashes(upstream_hash, node_hash),
            replica.upstream,
        )

    return [replica.upstream for replica in sorted(replicas, key=weight)]


def _take(
    preferred: list[ids.UpstreamId], free: dict[ids.UpstreamId, int]
) -> ids.UpstreamId | None:
    """Take the most preferred upstream that has a connection left."""
    while preferred:
        upstream = preferred.pop()
        if free[upstream]:
            free[upstream] -= 1
            return upstream
    return None
