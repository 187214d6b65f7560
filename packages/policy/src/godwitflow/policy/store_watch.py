"""Which nodes follow the store themselves.

A few nodes, picked by rendezvous over the living, watch the store and
tell the others what changes, so that the store's calls do not grow with
the fleet. A node that hears from no watcher for a while follows the
store itself; the others do so one after another, as one is enough.
"""

import functools
import hashlib
import typing

from godwitflow.model import ids

WATCHERS = 3
COVERED_MS = 1_000.0
STAGGER_MS = 120.0


def rank(
    me: ids.NodeId, living: typing.Iterable[ids.NodeId], salt: str
) -> int:
    """Return how many living nodes come before this one; 0 is first."""
    mine = _weight(me, salt)
    return sum(
        1 for node in living if node != me and _weight(node, salt) > mine
    )


@functools.lru_cache(maxsize=16_384)
def _weight(node: ids.NodeId, salt: str) -> bytes:
    data = f"{salt}/{node}".encode()
    return hashlib.blake2b(data, digest_size=8).digest()


def follows(
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
    if own_rank < WATCHERS or behind_ms > COVERED_MS:
        return True
    uncovered_ms = now_ms - covered_at_ms - COVERED_MS
    return uncovered_ms > (own_rank - WATCHERS) * STAGGER_MS
