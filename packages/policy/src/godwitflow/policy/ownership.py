"""Assigns replica sets and journal partitions to owner nodes."""

import bisect
import dataclasses
import functools
import hashlib
import math

from godwitflow.model import ids

LOAD_FACTOR = 1.25
CANDIDATES_PER_KEY = 3
POINTS_PER_NODE = 16
REBUILD_DIVISOR = 20  # rebuild if more than 1/20 of the members change
HASH_CACHE_SIZE = 16_384
_MASK = (1 << 64) - 1
_MULTIPLIER_1 = 0x9E3779B97F4A7C15
_MULTIPLIER_2 = 0xBF58476D1CE4E5B9


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A node that can own keys, with its failure domain."""

    node: ids.NodeId
    failure_domain: ids.FailureDomain


@functools.lru_cache(maxsize=HASH_CACHE_SIZE)
def hash64(text: str) -> int:
    """Hash text to 64 bits, the same on every node."""
    digest = hashlib.blake2b(text.encode(), digest_size=8)
    return int.from_bytes(digest.digest())


def mix_hashes(key_hash: int, node_hash: int) -> int:
    """Mix two hashes into a rendezvous weight or a point on the ring."""
    mixed = ((key_hash ^ node_hash) * _MULTIPLIER_1) & _MASK
    mixed = ((mixed ^ (mixed >> 29)) * _MULTIPLIER_2) & _MASK
    return mixed ^ (mixed >> 32)


class HashRing:
    """Consistent hashing with bounded loads over the current members.

    Each node has ``POINTS_PER_NODE`` points on the ring. The candidates of
    a key are the next distinct nodes after its own hash. Of the keys given
    to ``set_keys``, a node owns at most ``LOAD_FACTOR`` times its fair
    share: if the first candidate is full, the key goes to the next one.
    If all candidates are full, the first one owns the key beyond that
    limit. See docs/design/ownership.md for why a ring is used.
    """

    def __init__(self, members: tuple[Candidate, ...] = ()) -> None:
        self._members: dict[ids.NodeId, Candidate] = {}
        self._points: list[tuple[int, ids.NodeId]] = []
        self._candidates: dict[str, list[ids.NodeId]] = {}
        self._key_hashes: dict[str, int] = {}
        self._owner_by_key: dict[str, ids.NodeId] = {}
        self._keys: tuple[str, ...] = ()
        self._sorted_keys: list[tuple[int, str]] = []
        self.set_members(members)

    @property
    def members(self) -> tuple[ids.NodeId, ...]:
        """The ids of the nodes on the ring, sorted."""
        return tuple(sorted(self._members))

    def set_members(self, members: tuple[Candidate, ...]) -> bool:
        """Replace the members; return whether any joined or left."""
        by_node = {member.node: member for member in members}
        removed = set(self._members) - set(by_node)
        added = set(by_node) - set(self._members)
        if not removed and not added:
            return False
        self._members = by_node
        rebuild = len(removed) + len(added) > len(by_node) // REBUILD_DIVISOR
        if rebuild:
            self._rebuild()
        else:
            self._remove(removed)
            self._insert(added)
        self._assign()
        return True

    def _rebuild(self) -> None:
        self._candidates.clear()
        self._points = sorted(
            point for node in self._members for point in _points_of(node)
        )

    def _remove(self, removed: set[ids.NodeId]) -> None:
        """Remove nodes and drop the cached candidates of their keys."""
        for node in removed:
            for point in _points_of(node):
                del self._points[bisect.bisect_left(self._points, point)]
        for key, candidates in list(self._candidates.items()):
            if not removed.isdisjoint(candidates):
                del self._candidates[key]

    def _insert(self, added: set[ids.NodeId]) -> None:
        """Add nodes and drop the cached candidates of the keys they affect."""
        points = [point for node in added for point in _points_of(node)]
        for point in points:
            bisect.insort(self._points, point)
        if len(self._members) <= len(added) + CANDIDATES_PER_KEY:
            self._candidates.clear()
            return
        # Keys that were not given to set_keys() are not in _sorted_keys,
        # so they cannot be found by their range and are all dropped.
        unlisted = [
            key for key in self._candidates if key not in self._key_hashes
        ]
        for key in unlisted:
            del self._candidates[key]
        for point in points:
            self._invalidate_range(self._range_start(point, added), point[0])

    def _range_start(
        self, point: tuple[int, ids.NodeId], added: set[ids.NodeId]
    ) -> int:
        """Return the hash after which a key's candidates include a point."""
        index = bisect.bisect_left(self._points, point)
        seen: set[ids.NodeId] = set()
        while len(seen) < CANDIDATES_PER_KEY:
            index -= 1
            point_hash, node = self._points[index]
            if node not in added:
                seen.add(node)
        return point_hash

    def _invalidate_range(self, low: int, high: int) -> None:
        """Drop the cached candidates of the keys in a range of the ring."""
        first = bisect.bisect_left(self._sorted_keys, (low, ""))
        last = bisect.bisect_right(self._sorted_keys, (high, "\U0010ffff"))
        if low <= high:
            in_range = self._sorted_keys[first:last]
        else:
            in_range = self._sorted_keys[first:] + self._sorted_keys[:last]
        for _, key in in_range:
            self._candidates.pop(key, None)

    def set_keys(self, keys: tuple[str, ...]) -> None:
        """Set the keys that are assigned with bounded loads."""
        if keys != self._keys:
            self._keys = keys
            self._key_hashes = {key: hash64(key) for key in keys}
            self._sorted_keys = sorted(
                (key_hash, key) for key, key_hash in self._key_hashes.items()
            )
            self._candidates.clear()
            self._assign()

    def _assign(self) -> None:
        self._owner_by_key = {}
        if not self._members or not self._keys:
            return
        fair_share = len(self._keys) / len(self._members)
        max_keys = math.ceil(fair_share * LOAD_FACTOR)
        counts = dict.fromkeys(self._members, 0)
        for key in self._keys:
            for node in self._candidates_of(key):
                if counts[node] < max_keys:
                    counts[node] += 1
                    self._owner_by_key[key] = node
                    break

    def _candidates_of(self, key: str) -> list[ids.NodeId]:
        candidates = self._candidates.get(key)
        if candidates is None:
            key_hash = self._key_hashes.get(key)
            if key_hash is None:
                key_hash = hash64(key)
            candidates = self._next_nodes(key_hash)
            self._candidates[key] = candidates
        return candidates

    def _next_nodes(self, key_hash: int) -> list[ids.NodeId]:
        """Return the next distinct nodes on the ring after a hash."""
        points = self._points
        index = bisect.bisect_left(points, (key_hash, ""))
        count = min(CANDIDATES_PER_KEY, len(self._members))
        nodes: list[ids.NodeId] = []
        while len(nodes) < count:
            node = points[index % len(points)][1]
            if node not in nodes:
                nodes.append(node)
            index += 1
        return nodes

    def candidates(self, key: str) -> list[ids.NodeId]:
        """Return the owner of a key, then the nodes that take over from it."""
        candidates = self._candidates_of(key)
        owner = self._owner_by_key.get(key)
        if owner is None or owner == candidates[0]:
            return candidates
        return [owner] + [node for node in candidates if node != owner]

    def owner(self, key: str) -> ids.NodeId | None:
        """Return the owner of a key, or None if there are no members."""
        nodes = self.candidates(key) if self._members else []
        return nodes[0] if nodes else None


def _points_of(node: ids.NodeId) -> list[tuple[int, ids.NodeId]]:
    node_hash = hash64(node)
    return [
        (mix_hashes(node_hash, index + 1), node)
        for index in range(POINTS_PER_NODE)
    ]
