"""Decides which nodes watch the store and who gets their announcements.

A few nodes, chosen by rendezvous hashing over the live members, watch the
store and announce its changes to the others, so that the number of store
calls does not grow with the fleet.

Only an answer of the store shows that a view of it is current; a watch that
waits shows nothing. One watcher therefore asks for an answer about once a
second and the others rely on it. When answers stop, other nodes watch the
store themselves, one after another in the order of their rank, because one
of them is enough.

Announcements travel down a tree over the same ranking, so that no node
sends to more than a few others in a fleet of any size. Each node in the
tree has two parents.
"""

import functools
import hashlib
import typing

from godwitflow.model import ids

WATCHER_COUNT = 3
FAN_OUT = 8
WATCH_WAIT_MS = 8_000.0
CONFIRM_WAIT_MS = 1_000.0
# An answer, its announcement and their delays come within this time.
WATCHER_TIMEOUT_MS = 1_900.0
BEHIND_TIMEOUT_MS = 1_000.0
STAGGER_MS = 120.0  # from one rank to the next


def rank_nodes(
    own_node: ids.NodeId, live: typing.Iterable[ids.NodeId], salt: str
) -> list[ids.NodeId]:
    """Return the live nodes and this one, ranked; watchers come first.

    Different values of ``salt`` give independent rankings.
    """
    nodes = {*live, own_node}
    return sorted(nodes, key=lambda node: _weight(node, salt), reverse=True)


def announcement_targets(
    rank: int, ranked: list[ids.NodeId], reaches_store: bool
) -> list[ids.NodeId]:
    """Return the nodes to which a node announces its copies' revisions.

    A node that reaches the store sends to the watchers and to the first
    level of the tree below them. A node that is not a watcher sends to its
    own block of ``FAN_OUT`` children and to the block of the node ranked
    next, so that the loss of one parent disconnects no node. The second
    parent of the first such block is the last watcher.

    >>> nodes = [f"n{number}" for number in range(14)]
    >>> announcement_targets(0, nodes[:5], True)
    ['n1', 'n2', 'n3', 'n4']
    >>> announcement_targets(3, nodes, False)
    ['n11', 'n12', 'n13']
    """
    first = WATCHER_COUNT + FAN_OUT
    targets = []
    if reaches_store:
        count = first + FAN_OUT if rank == WATCHER_COUNT - 1 else first
        targets = ranked[:count]
    if rank >= WATCHER_COUNT:
        start = first + (rank - WATCHER_COUNT) * FAN_OUT
        targets = targets + ranked[start : start + 2 * FAN_OUT]
    return [node for node in targets if node != ranked[rank]]


@functools.lru_cache(maxsize=16_384)
def _weight(node: ids.NodeId, salt: str) -> bytes:
    data = f"{salt}/{node}".encode()
    return hashlib.blake2b(data, digest_size=8).digest()


def should_watch(
    now_ms: float, own_rank: int, others_reached_at_ms: float, behind_ms: float
) -> bool:
    """Return whether the node with this rank watches the store itself.

    ``others_reached_at_ms`` is when the store last answered another node,
    as far as that was announced. ``behind_ms`` is for how long peers have
    had newer objects that this node could not fetch from them.

    >>> should_watch(5_000.0, 7, 4_500.0, 0.0)
    False
    >>> should_watch(7_000.0, 7, 4_500.0, 0.0)
    True
    """
    if own_rank < WATCHER_COUNT or behind_ms > BEHIND_TIMEOUT_MS:
        return True
    overdue_ms = now_ms - others_reached_at_ms - WATCHER_TIMEOUT_MS
    return overdue_ms > (own_rank - WATCHER_COUNT) * STAGGER_MS


def watch_wait_ms(
    now_ms: float, own_rank: int, others_reached_at_ms: float
) -> float:
    """Return how long a watch may wait before the store answers it.

    The first watcher, and any node that watches without having heard that
    the store answers another one, asks for an answer soon.

    >>> watch_wait_ms(5_000.0, 0, 4_900.0), watch_wait_ms(5_000.0, 1, 4_900.0)
    (1000.0, 8000.0)
    >>> watch_wait_ms(7_000.0, 1, 4_900.0)
    1000.0
    """
    silent_ms = now_ms - others_reached_at_ms
    if own_rank == 0 or silent_ms > WATCHER_TIMEOUT_MS:
        return CONFIRM_WAIT_MS
    return WATCH_WAIT_MS
