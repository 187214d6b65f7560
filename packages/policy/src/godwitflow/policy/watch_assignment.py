"""Which nodes watch which objects of the store.

The head is watched by one node in each failure domain and each index by
two nodes in all, picked by rendezvous. The number of watches follows
from the failure domains and the objects, not from the size of the fleet.
"""

import heapq
import typing

from godwitflow.model import ids
from godwitflow.policy import ownership
from godwitflow.settings import stored_config

WATCHERS_AN_INDEX = 2


def names_to_watch(
    node: ids.NodeId,
    members: typing.Sequence[ownership.Candidate],
    names: tuple[str, ...],
) -> tuple[str, ...]:
    """Return the names that a node watches, given the members it sees."""
    mine = []
    for name in names:
        if name == stored_config.HEAD_NAME:
            chosen = _one_a_domain(name, members)
        else:
            chosen = _best(name, members, WATCHERS_AN_INDEX)
        if node in chosen:
            mine.append(name)
    return tuple(mine)


def _one_a_domain(
    name: str, members: typing.Sequence[ownership.Candidate]
) -> list[ids.NodeId]:
    by_domain: dict[str, list[ownership.Candidate]] = {}
    for member in members:
        by_domain.setdefault(member.failure_domain, []).append(member)
    return [_best(name, group, 1)[0] for group in by_domain.values()]


def _best(
    name: str, members: typing.Sequence[ownership.Candidate], count: int
) -> list[ids.NodeId]:
    key_hash = ownership.hash64(name)

    def weight(member: ownership.Candidate) -> int:
        node_hash = ownership.hash64(member.node)
        return ownership.mix_hashes(key_hash, node_hash)

    ranked = heapq.nlargest(count, members, key=weight)
    return [member.node for member in ranked]
