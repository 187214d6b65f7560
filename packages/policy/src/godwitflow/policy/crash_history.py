"""Records requests that crash the upstreams that run them.

Protects upstreams from a request that is resent again and again, to any
node, and crashes an upstream each time. A strike is a run of a request in
which upstreams closed the connection and none replied successfully. Nodes
report strikes to each other as they happen, and tell a node that starts
which requests are blocked. After a few strikes a request is refused before
it runs.
"""

import dataclasses
import hashlib

from godwitflow.model import ids

MIN_RUNS = 2  # a single run may have failed because of a broken link
MIN_CRASHES = 3
RETENTION_MS = 600_000.0
MAX_ENTRIES = 10_000
MAX_TOLD_ENTRIES = 64


@dataclasses.dataclass(slots=True)
class _Record:
    runs: int = 0
    crashes: int = 0
    last_at_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class BlockedRequest:
    """A request that is refused; its last strike was at ``last_at_ms``."""

    fingerprint: ids.Fingerprint
    runs: int
    crashes: int
    last_at_ms: float


class CrashHistory:
    """Counts strikes by request and decides which requests are blocked.

    The strikes of a request expire ``RETENTION_MS`` after the last one.
    """

    def __init__(self) -> None:
        self._records: dict[ids.Fingerprint, _Record] = {}

    @property
    def has_records(self) -> bool:
        """Whether any request has a strike."""
        return bool(self._records)

    def record_crashes(
        self, fingerprint: ids.Fingerprint, crashes: int, now_ms: float
    ) -> None:
        """Count a strike that this node observed or a peer reported."""
        record = self._records.pop(fingerprint, None) or _Record()
        record.runs += 1
        record.crashes += crashes
        record.last_at_ms = now_ms
        self._add(fingerprint, record)

    def _add(self, fingerprint: ids.Fingerprint, record: _Record) -> None:
        self._records[fingerprint] = record
        if len(self._records) > MAX_ENTRIES:
            del self._records[next(iter(self._records))]

    def blocked(self, now_ms: float) -> list[BlockedRequest]:
        """Return the requests that are refused, the latest ones first.

        At most ``MAX_TOLD_ENTRIES`` are returned.
        """
        blocked = [
            BlockedRequest(
                fingerprint, record.runs, record.crashes, record.last_at_ms
            )
            for fingerprint, record in self._records.items()
            if _blocks(record) and not _has_expired(record, now_ms)
        ]
        blocked.sort(key=lambda request: -request.last_at_ms)
        return blocked[:MAX_TOLD_ENTRIES]

    def merge(self, request: BlockedRequest) -> None:
        """Take over what a peer knows of a request.

        Nodes know of the same strikes, so counts are not added.
        """
        record = self._records.pop(request.fingerprint, None) or _Record()
        record.runs = max(record.runs, request.runs)
        record.crashes = max(record.crashes, request.crashes)
        record.last_at_ms = max(record.last_at_ms, request.last_at_ms)
        self._add(request.fingerprint, record)

    def clear(self, fingerprint: ids.Fingerprint) -> None:
        """Remove the strikes of a request that ran successfully."""
        self._records.pop(fingerprint, None)

    def is_blocked(self, fingerprint: ids.Fingerprint, now_ms: float) -> bool:
        """Return whether a request has to be refused before it runs."""
        record = self._records.get(fingerprint)
        if record is None:
            return False
        if _has_expired(record, now_ms):
            del self._records[fingerprint]
            return False
        return _blocks(record)


def _has_expired(record: _Record, now_ms: float) -> bool:
    return now_ms - record.last_at_ms > RETENTION_MS


def _blocks(record: _Record) -> bool:
    return record.runs >= MIN_RUNS and record.crashes >= MIN_CRASHES


def fingerprint(
    method: bytes, target: bytes, body: bytes | None
) -> ids.Fingerprint:
    """Return a 64-bit hash of a request's method, target and body.

    >>> fingerprint(b"GET", b"/a", None) == fingerprint(b"GET", b"/b", None)
    False
    """
    digest = hashlib.blake2b(digest_size=8)
    for part in (method, target, body or b""):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return ids.Fingerprint(int.from_bytes(digest.digest()))
