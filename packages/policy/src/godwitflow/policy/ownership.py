"""Who owns a replica set or a journal partition: rendezvous hashing."""

import dataclasses
import hashlib
import math

from godwitflow.model import ids

LOAD_FACTOR = 1.25
CANDIDATES = 3
_MASK = (1 << 64) - 1
_MIX = 0x9E3779B97F4A7C15
_MIX_2 = 0xBF58476D1CE4E5B9


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A node that may own, with its failure domain."""

    node: ids.NodeId
    failure_domain: ids.FailureDomain


def hash64(text: str) -> int:
    """Hash text to 64 bits, the same on every node."""
    digest = hashlib.blake2b(text.encode(), digest_size=8)
    return int.from_bytes(digest.digest())


def score(key_hash: int, node_hash: int) -> int:
    """Return the rendezvous weight of a node for a key."""
    mixed = ((key_hash ^ node_hash) * _MIX) & _MASK
    mixed = ((mixed ^ (mixed >> 29)) * _MIX_2) & _MASK
    return mixed ^ (mixed >> 32)


class Owners:
    """Assigns keys to nodes from one view of the members.

    A key's candidates are the nodes with the highest scores, those of
    its preferred failure domain first. With a set of ``keys`` given, no
    node owns more than ``LOAD_FACTOR`` times its fair share of them: a
    key passes on to its next candidate where the first is full.
    """

    def __init__(self, members: tuple[Candidate, ...] = ()) -> None:
        self._members: dict[ids.NodeId, Candidate] = {}
        self._hashes: dict[ids.NodeId, int] = {}
        self._ranked: dict[str, list[tuple[int, ids.NodeId]]] = {}
        self._key_hashes: dict[str, int] = {}
        self._owned: dict[str, ids.NodeId] = {}
        self._keys: tuple[str, ...] = ()
        self.update(members)

    @property
    def members(self) -> tuple[ids.NodeId, ...]:
        """The nodes that may own, in name order."""
        return tuple(sorted(self._members))

    def update(self, members: tuple[Candidate, ...]) -> bool:
        """Take a new view; True where it differs from the last.

        Only keys that rank a changed node are ranked anew, so a change
        costs one score a key and not one a key and member.
        """
        fresh = {member.node: member for member in members}
        gone = set(self._members) - set(fresh)
        new = set(fresh) - set(self._members)
        if not gone and not new:
            return False
        self._members = fresh
        for node in gone:
            del self._hashes[node]
        for node in new:
            self._hashes[node] = hash64(node)
        self._rank_again(gone, new)
        self._assign()
        return True

    def _rank_again(self, gone: set[ids.NodeId], new: set[ids.NodeId]) -> None:
        for key, ranked in list(self._ranked.items()):
            if any(node in gone for _, node in ranked):
                del self._ranked[key]
                continue
            key_hash = self._key_hashes[key]
            for node in new:
                ranked.append((score(key_hash, self._hashes[node]), node))
            ranked.sort(reverse=True)
            del ranked[CANDIDATES:]

    def set_keys(self, keys: tuple[str, ...]) -> None:
        """Name the keys whose load is to be bounded."""
        if keys != self._keys:
            self._keys = keys
            self._assign()

    def _assign(self) -> None:
        self._owned = {}
        if not self._members or not self._keys:
            return
        fair = len(self._keys) / len(self._members)
        most = math.ceil(fair * LOAD_FACTOR)
        counts = dict.fromkeys(self._members, 0)
        for key in self._keys:
            for _, node in self._ranked_of(key):
                if counts[node] < most:
                    counts[node] += 1
                    self._owned[key] = node
                    break

    def _ranked_of(self, key: str) -> list[tuple[int, ids.NodeId]]:
        ranked = self._ranked.get(key)
        if ranked is None:
            key_hash = self._key_hashes.setdefault(key, hash64(key))
            scored = (
                (score(key_hash, node_hash), node)
                for node, node_hash in self._hashes.items()
            )
            ranked = sorted(scored, reverse=True)[:CANDIDATES]
            self._ranked[key] = ranked
        return ranked

    def candidates(self, key: str) -> list[ids.NodeId]:
        """Return a key's owner first, then who takes over from it."""
        ranked = [node for _, node in self._ranked_of(key)]
        owner = self._owned.get(key)
        if owner is None or owner == ranked[0]:
            return ranked
        return [owner] + [node for node in ranked if node != owner]

    def owner(self, key: str) -> ids.NodeId | None:
        """Return the owner of a key, or None where there is no member."""
        found = self.candidates(key) if self._members else []
        return found[0] if found else None
