"""Which nodes follow the store themselves.

A few nodes, picked by rendezvous over the living, watch the store and
tell the others what changes, so that the store's calls do not grow with
the fleet. A node that hears from no watcher for a while follows the
store itself; the others do so one after another, as one is enough.

Announcements go down a tree over the same ranking, so that no node tells
more than a few others however large the fleet is; each has two parents.
"""

import functools
import hashlib
import typing

from godwitflow.model import ids

WATCHER_COUNT = 3
FAN_OUT = 8
WATCHER_TIMEOUT_MS = 1_000.0
STAGGER_MS = 120.0


def rank_nodes(
    me: ids.NodeId, living: typing.Iterable[ids.NodeId], salt: str
) -> list[ids.NodeId]:
    """Return the living and this node, the first watcher first."""
    nodes = {*living, me}
    return sorted(nodes, key=lambda node: _weight(node, salt), reverse=True)


def announcement_targets(
    rank: int, ranked: list[ids.NodeId], reaches_store: bool
) -> list[ids.NodeId]:
    """Return whom the node of a rank tells how far its copies go.

    Whoever reaches the store tells the watchers and the first level
    below them. A node that does not watch tells a block of ``FAN_OUT``
    of its own and that of the node ranked next, so that the loss of one
    parent cuts nobody off. The first such block has the last watcher
    for its second parent.

    >>> nodes = [f"n{number}" for number in range(14)]
    >>> audience(0, nodes[:5], True)
    ['n1', 'n2', 'n3', 'n4']
    >>> audience(3, nodes, False)
    ['n11', 'n12', 'n13']
    """
    first = WATCHER_COUNT + FAN_OUT
    told = []
    if reaches_store:
        reach = first + FAN_OUT if rank == WATCHER_COUNT - 1 else first
        told = ranked[:reach]
    if rank >= WATCHER_COUNT:
        start = first + (rank - WATCHER_COUNT) * FAN_OUT
        told = told + ranked[start : start + 2 * FAN_OUT]
    return [node for node in told if node != ranked[rank]]


@functools.lru_cache(maxsize=16_384)
def _weight(node: ids.NodeId, salt: str) -> bytes:
    data = f"{salt}/{node}".encode()
    return hashlib.blake2b(data, digest_size=8).digest()


def should_watch(
    now_ms: float, own_rank: int, covered_at_ms: float, behind_ms: float
) -> bool:
    """Tell whether a node of a rank follows the store itself now.

    ``covered_at_ms`` is when a watcher with a sound view of the store
    was last heard; ``behind_ms`` is for how long peers have held
    something newer that could not be fetched.

    >>> follows(5_000.0, 7, 4_500.0, 0.0)
    False
    >>> follows(7_000.0, 7, 4_500.0, 0.0)
    True
    """
    if own_rank < WATCHER_COUNT or behind_ms > WATCHER_TIMEOUT_MS:
        return True
    uncovered_ms = now_ms - covered_at_ms - WATCHER_TIMEOUT_MS
    return uncovered_ms > (own_rank - WATCHER_COUNT) * STAGGER_MS
