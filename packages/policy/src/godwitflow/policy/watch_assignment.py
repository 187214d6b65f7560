"""Assigns the watches of the store's objects to nodes.

The head is watched by one node in each failure domain, and each index by
two nodes of the fleet, chosen by rendezvous hashing. The number of watches
depends on the number of failure domains and objects, not on the size of
the fleet.
"""

import heapq
import typing

from godwitflow.model import ids
from godwitflow.policy import ownership
from godwitflow.settings import stored_config

WATCHERS_PER_INDEX = 2


def names_to_watch(
    node: ids.NodeId,
    members: typing.Sequence[ownership.Candidate],
    names: tuple[str, ...],
) -> tuple[str, ...]:
    """Return the names of the objects that a node has to watch."""
    watched = []
    for name in names:
        if name == stored_config.HEAD_NAME:
            chosen = _one_per_domain(name, members)
        else:
            chosen = _highest_ranked(name, members, WATCHERS_PER_INDEX)
        if node in chosen:
            watched.append(name)
    return tuple(watched)


def _one_per_domain(
    name: str, members: typing.Sequence[ownership.Candidate]
) -> list[ids.NodeId]:
    by_domain: dict[str, list[ownership.Candidate]] = {}
    for member in members:
        by_domain.setdefault(member.failure_domain, []).append(member)
    return [_highest_ranked(name, group, 1)[0] for group in by_domain.values()]


def _highest_ranked(
    name: str, members: typing.Sequence[ownership.Candidate], count: int
) -> list[ids.NodeId]:
    key_hash = ownership.hash64(name)

    def weight(member: ownership.Candidate) -> int:
        node_hash = ownership.hash64(member.node)
        return ownership.mix_hashes(key_hash, node_hash)

    ranked = heapq.nlargest(count, members, key=weight)
    return [member.node for member in ranked]
