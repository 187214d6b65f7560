"""Who owns a replica set or a journal partition."""

import bisect
import dataclasses
import functools
import hashlib
import math

from godwitflow.model import ids

LOAD_FACTOR = 1.25
CANDIDATES = 3
POINTS_A_NODE = 16
MANY_SHARE = 20
CACHED_HASHES = 16_384
_MASK = (1 << 64) - 1
_MIX = 0x9E3779B97F4A7C15
_MIX_2 = 0xBF58476D1CE4E5B9


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A node that may own, with its failure domain."""

    node: ids.NodeId
    failure_domain: ids.FailureDomain


@functools.lru_cache(maxsize=CACHED_HASHES)
def hash64(text: str) -> int:
    """Hash text to 64 bits, the same on every node."""
    digest = hashlib.blake2b(text.encode(), digest_size=8)
    return int.from_bytes(digest.digest())


def mix_hashes(key_hash: int, node_hash: int) -> int:
    """Mix two hashes into one, as a rendezvous weight or ring point."""
    mixed = ((key_hash ^ node_hash) * _MIX) & _MASK
    mixed = ((mixed ^ (mixed >> 29)) * _MIX_2) & _MASK
    return mixed ^ (mixed >> 32)


class HashRing:
    """Assigns keys to nodes from one view of the members.

    Each node stands at ``POINTS_A_NODE`` places of a ring of hashes; a
    key's candidates are the next distinct nodes from its own place. With
    a set of ``keys`` given, no node owns more than ``LOAD_FACTOR`` times
    its fair share of them: a key passes on to its next candidate where
    the first is full. docs/design/ownership.md says why a ring.
    """

    def __init__(self, members: tuple[Candidate, ...] = ()) -> None:
        self._members: dict[ids.NodeId, Candidate] = {}
        self._points: list[tuple[int, ids.NodeId]] = []
        self._ranked: dict[str, list[ids.NodeId]] = {}
        self._key_hashes: dict[str, int] = {}
        self._owned: dict[str, ids.NodeId] = {}
        self._keys: tuple[str, ...] = ()
        self._sorted_keys: list[tuple[int, str]] = []
        self.set_members(members)

    @property
    def members(self) -> tuple[ids.NodeId, ...]:
        """The nodes that may own, in name order."""
        return tuple(sorted(self._members))

    def set_members(self, members: tuple[Candidate, ...]) -> bool:
        """Take a new view; True where it differs from the last."""
        fresh = {member.node: member for member in members}
        gone = set(self._members) - set(fresh)
        new = set(fresh) - set(self._members)
        if not gone and not new:
            return False
        self._members = fresh
        many = len(gone) + len(new) > len(fresh) // MANY_SHARE
        if many:
            self._rebuild()
        else:
            self._remove(gone)
            self._insert(new)
        self._assign()
        return True

    def _rebuild(self) -> None:
        self._ranked.clear()
        self._points = sorted(
            point for node in self._members for point in _points_of(node)
        )

    def _remove(self, gone: set[ids.NodeId]) -> None:
        """Take nodes off the ring; rank their keys anew."""
        for node in gone:
            for point in _points_of(node):
                del self._points[bisect.bisect_left(self._points, point)]
        for key, ranked in list(self._ranked.items()):
            if not gone.isdisjoint(ranked):
                del self._ranked[key]

    def _insert(self, new: set[ids.NodeId]) -> None:
        """Put nodes on the ring; rank the keys that reach them anew."""
        places = [point for node in new for point in _points_of(node)]
        for point in places:
            bisect.insort(self._points, point)
        if len(self._members) <= len(new) + CANDIDATES:
            self._ranked.clear()
            return
        unlisted = [key for key in self._ranked if key not in self._key_hashes]
        for key in unlisted:
            del self._ranked[key]
        for point in places:
            self._forget_between(self._reach(point, new), point[0])

    def _reach(
        self, point: tuple[int, ids.NodeId], new: set[ids.NodeId]
    ) -> int:
        """Return the hash after which a key's walk comes to a point."""
        place = bisect.bisect_left(self._points, point)
        seen: set[ids.NodeId] = set()
        while len(seen) < CANDIDATES:
            place -= 1
            hashed, node = self._points[place]
            if node not in new:
                seen.add(node)
        return hashed

    def _forget_between(self, low: int, high: int) -> None:
        """Forget the ranks of keys in a stretch of the ring."""
        first = bisect.bisect_left(self._sorted_keys, (low, ""))
        last = bisect.bisect_right(self._sorted_keys, (high, "\U0010ffff"))
        if low <= high:
            stretch = self._sorted_keys[first:last]
        else:
            stretch = self._sorted_keys[first:] + self._sorted_keys[:last]
        for _, key in stretch:
            self._ranked.pop(key, None)

    def set_keys(self, keys: tuple[str, ...]) -> None:
        """Name the keys whose load is to be bounded."""
        if keys != self._keys:
            self._keys = keys
            self._key_hashes = {key: hash64(key) for key in keys}
            self._sorted_keys = sorted(
                (key_hash, key) for key, key_hash in self._key_hashes.items()
            )
            self._ranked.clear()
            self._assign()

    def _assign(self) -> None:
        self._owned = {}
        if not self._members or not self._keys:
            return
        fair = len(self._keys) / len(self._members)
        most = math.ceil(fair * LOAD_FACTOR)
        counts = dict.fromkeys(self._members, 0)
        for key in self._keys:
            for node in self._ranked_of(key):
                if counts[node] < most:
                    counts[node] += 1
                    self._owned[key] = node
                    break

    def _ranked_of(self, key: str) -> list[ids.NodeId]:
        ranked = self._ranked.get(key)
        if ranked is None:
            key_hash = self._key_hashes.get(key)
            if key_hash is None:
                key_hash = hash64(key)
            ranked = self._walk(key_hash)
            self._ranked[key] = ranked
        return ranked

    def _walk(self, key_hash: int) -> list[ids.NodeId]:
        """Return the next distinct nodes on the ring."""
        points = self._points
        place = bisect.bisect_left(points, (key_hash, ""))
        wanted = min(CANDIDATES, len(self._members))
        found: list[ids.NodeId] = []
        while len(found) < wanted:
            node = points[place % len(points)][1]
            if node not in found:
                found.append(node)
            place += 1
        return found

    def candidates(self, key: str) -> list[ids.NodeId]:
        """Return a key's owner first, then who takes over from it."""
        ranked = self._ranked_of(key)
        owner = self._owned.get(key)
        if owner is None or owner == ranked[0]:
            return ranked
        return [owner] + [node for node in ranked if node != owner]

    def owner(self, key: str) -> ids.NodeId | None:
        """Return the owner of a key, or None where there is no member."""
        found = self.candidates(key) if self._members else []
        return found[0] if found else None


def _points_of(node: ids.NodeId) -> list[tuple[int, ids.NodeId]]:
    node_hash = hash64(node)
    return [
        (mix_hashes(node_hash, place + 1), node)
        for place in range(POINTS_A_NODE)
    ]
