"""Requests that crash the upstreams that run them, by fingerprint."""

import dataclasses

from godwitflow.model import ids

MAX_CRASHES = 2
KEPT_MS = 600_000.0
MAX_ENTRIES = 10_000


@dataclasses.dataclass
class Record:
    """Crashes under one fingerprint and trials running now."""

    crashes: int = 0
    running: int = 0
    seen_at_ms: float = 0.0


class Suspects:
    """Counts crashes and says who may still run.

    At most ``MAX_CRASHES`` upstreams are lost to one fingerprint: trials
    in flight count as crashes until they are over.
    """

    def __init__(self) -> None:
        self._records: dict[ids.Fingerprint, Record] = {}

    def condemned(self, fingerprint: ids.Fingerprint) -> bool:
        """Tell whether a request must not run any more."""
        record = self._records.get(fingerprint)
        return record is not None and record.crashes >= MAX_CRASHES

    def suspected(self, fingerprint: ids.Fingerprint) -> bool:
        """Tell whether a request has crashed an upstream before."""
        record = self._records.get(fingerprint)
        return record is not None and record.crashes > 0

    def may_start(self, fingerprint: ids.Fingerprint) -> bool:
        """Tell whether one more trial could not pass the bound."""
        record = self._records.get(fingerprint)
        if record is None:
            return True
        return record.crashes + record.running < MAX_CRASHES

    def on_start(self, fingerprint: ids.Fingerprint, now_ms: float) -> None:
        """Count a trial as running."""
        record = self._records.setdefault(fingerprint, Record())
        record.running += 1
        record.seen_at_ms = now_ms
        if len(self._records) > MAX_ENTRIES:
            self._evict(now_ms)

    def on_end(
        self, fingerprint: ids.Fingerprint, crashed: bool, now_ms: float
    ) -> None:
        """Count a trial as over."""
        record = self._records.setdefault(fingerprint, Record())
        record.running = max(0, record.running - 1)
        record.seen_at_ms = now_ms
        if crashed:
            record.crashes += 1
        elif record.running == 0 and record.crashes == 0:
            del self._records[fingerprint]

    def learn(
        self, fingerprint: ids.Fingerprint, crashes: int, now_ms: float
    ) -> bool:
        """Take a peer's count; True where it was news."""
        record = self._records.setdefault(fingerprint, Record())
        if crashes <= record.crashes:
            return False
        record.crashes = crashes
        record.seen_at_ms = now_ms
        return True

    def crashes(self, fingerprint: ids.Fingerprint) -> int:
        """Return how many upstreams a request has crashed."""
        record = self._records.get(fingerprint)
        return record.crashes if record else 0

    def _evict(self, now_ms: float) -> None:
        for fingerprint, record in list(self._records.items()):
            old = now_ms - record.seen_at_ms > KEPT_MS
            if record.running == 0 and (old or record.crashes == 0):
                del self._records[fingerprint]
