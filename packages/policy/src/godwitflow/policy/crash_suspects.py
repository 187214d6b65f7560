"""Requests that crash the upstreams that run them, by fingerprint."""

import dataclasses

from godwitflow.model import ids

MAX_CRASHES = 2
KEPT_MS = 600_000.0
MAX_ENTRIES = 10_000


@dataclasses.dataclass
class Record:
    """Crashes under one fingerprint, by shard, and trials running now.

    ``heard`` is the highest count that a peer has told; where the peer
    counted this node's crashes too, the sum errs on the safe side.
    """

    by_shard: dict[ids.ShardId, int] = dataclasses.field(default_factory=dict)
    heard: int = 0
    running: int = 0
    seen_at_ms: float = 0.0

    @property
    def crashes(self) -> int:
        """The upstreams lost, as far as this node knows."""
        return self.heard + sum(self.by_shard.values())


class CrashSuspects:
    """Counts crashes and says who may still run.

    At most ``MAX_CRASHES`` upstreams are lost to one fingerprint: trials
    in flight count as crashes until they are over. A request that was
    merely beside the guilty one is cleared when it succeeds on the same
    shard.
    """

    def __init__(self) -> None:
        self._records: dict[ids.Fingerprint, Record] = {}

    @property
    def quiet(self) -> bool:
        """Whether nothing is suspected and no trial runs."""
        return not self._records

    def is_blocked(self, fingerprint: ids.Fingerprint) -> bool:
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

    def on_end(self, fingerprint: ids.Fingerprint) -> None:
        """Count a trial as over."""
        record = self._records.get(fingerprint)
        if record is None:
            return
        record.running = max(0, record.running - 1)
        if record.running == 0 and record.crashes == 0:
            del self._records[fingerprint]

    def on_crash(
        self,
        fingerprint: ids.Fingerprint,
        shard: ids.ShardId,
        now_ms: float,
    ) -> None:
        """Count an upstream as lost to a request on a shard."""
        record = self._records.setdefault(fingerprint, Record())
        record.by_shard[shard] = record.by_shard.get(shard, 0) + 1
        record.seen_at_ms = now_ms

    def on_success(
        self, fingerprint: ids.Fingerprint, shard: ids.ShardId
    ) -> None:
        """Clear a request of the crash on a shard where it now ran."""
        record = self._records.get(fingerprint)
        if record is not None:
            record.by_shard.pop(shard, None)

    def on_peer_report(
        self, fingerprint: ids.Fingerprint, crashes: int, now_ms: float
    ) -> bool:
        """Take a peer's count; True where it was news."""
        record = self._records.setdefault(fingerprint, Record())
        if crashes <= record.heard:
            return False
        record.heard = crashes
        record.seen_at_ms = now_ms
        return True

    def crash_count(self, fingerprint: ids.Fingerprint) -> int:
        """Return how many upstreams a request has crashed."""
        record = self._records.get(fingerprint)
        return record.crashes if record else 0

    def _evict(self, now_ms: float) -> None:
        for fingerprint, record in list(self._records.items()):
            old = now_ms - record.seen_at_ms > KEPT_MS
            if record.running == 0 and (old or record.crashes == 0):
                del self._records[fingerprint]
