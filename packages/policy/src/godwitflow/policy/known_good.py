"""Fingerprints of requests that upstreams have answered before."""

import collections

from godwitflow.model import ids

MAX_ENTRIES = 20_000


class KnownGood:
    """A bounded set that evicts the least recently used fingerprint."""

    def __init__(self, max_entries: int = MAX_ENTRIES) -> None:
        self.max_entries = max_entries
        self._seen: collections.OrderedDict[ids.Fingerprint, None] = (
            collections.OrderedDict()
        )

    def contains(self, fingerprint: ids.Fingerprint) -> bool:
        """Return whether a request was answered before."""
        if fingerprint not in self._seen:
            return False
        self._seen.move_to_end(fingerprint)
        return True

    def add(self, fingerprint: ids.Fingerprint) -> None:
        """Record that a request was answered."""
        self._seen[fingerprint] = None
        self._seen.move_to_end(fingerprint)
        if len(self._seen) > self.max_entries:
            self._seen.popitem(last=False)
