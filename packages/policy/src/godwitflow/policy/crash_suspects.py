"""Tracks requests that crash upstreams, by fingerprint."""

import dataclasses

from godwitflow.model import ids

MAX_CRASHES = 2
RETENTION_MS = 600_000.0
MAX_ENTRIES = 10_000


@dataclasses.dataclass
class CrashRecord:
    """The crashes and running trials of one fingerprint.

    ``peer_crashes`` is the highest count that a peer has reported. If the
    peer's count includes crashes of this node, the sum is too high, which
    is the safe side.
    """

    crashes_by_shard: dict[ids.ShardId, int] = dataclasses.field(
        default_factory=dict
    )
    peer_crashes: int = 0
    running_trials: int = 0
    updated_at_ms: float = 0.0

    @property
    def crashes(self) -> int:
        """The number of crashes that this node and a peer have counted."""
        return self.peer_crashes + sum(self.crashes_by_shard.values())


class CrashSuspects:
    """Counts crashes by request and decides which requests may run.

    A trial is a call that runs a canary or a suspected request. One
    fingerprint crashes at most ``MAX_CRASHES`` upstreams: running trials
    count as crashes until they end. A request that was only in the same
    batch as the one that crashed the upstream is cleared when it succeeds
    on the same shard.
    """

    def __init__(self) -> None:
        self._records: dict[ids.Fingerprint, CrashRecord] = {}

    @property
    def is_empty(self) -> bool:
        """Whether nothing is recorded: no crash and no running trial."""
        return not self._records

    def is_blocked(self, fingerprint: ids.Fingerprint) -> bool:
        """Return whether a request must not run any more."""
        record = self._records.get(fingerprint)
        return record is not None and record.crashes >= MAX_CRASHES

    def is_suspected(self, fingerprint: ids.Fingerprint) -> bool:
        """Return whether a call of a request has crashed an upstream."""
        record = self._records.get(fingerprint)
        return record is not None and record.crashes > 0

    def may_start_trial(self, fingerprint: ids.Fingerprint) -> bool:
        """Return whether one more trial stays within ``MAX_CRASHES``."""
        record = self._records.get(fingerprint)
        if record is None:
            return True
        return record.crashes + record.running_trials < MAX_CRASHES

    def on_trial_start(
        self, fingerprint: ids.Fingerprint, now_ms: float
    ) -> None:
        """Record the start of a trial."""
        record = self._records.setdefault(fingerprint, CrashRecord())
        record.running_trials += 1
        record.updated_at_ms = now_ms
        if len(self._records) > MAX_ENTRIES:
            self._evict(now_ms)

    def on_trial_end(self, fingerprint: ids.Fingerprint) -> None:
        """Record the end of a trial."""
        record = self._records.get(fingerprint)
        if record is None:
            return
        record.running_trials = max(0, record.running_trials - 1)
        if record.running_trials == 0 and record.crashes == 0:
            del self._records[fingerprint]

    def on_crash(
        self,
        fingerprint: ids.Fingerprint,
        shard: ids.ShardId,
        now_ms: float,
    ) -> None:
        """Record that a request on a shard has crashed an upstream."""
        record = self._records.setdefault(fingerprint, CrashRecord())
        record.crashes_by_shard[shard] = (
            record.crashes_by_shard.get(shard, 0) + 1
        )
        record.updated_at_ms = now_ms

    def on_success(
        self, fingerprint: ids.Fingerprint, shard: ids.ShardId
    ) -> None:
        """Clear the crashes of a request on a shard where it succeeded."""
        record = self._records.get(fingerprint)
        if record is not None:
            record.crashes_by_shard.pop(shard, None)

    def on_peer_report(
        self, fingerprint: ids.Fingerprint, crashes: int, now_ms: float
    ) -> bool:
        """Record a peer's crash count; return whether it is a new maximum."""
        record = self._records.setdefault(fingerprint, CrashRecord())
        if crashes <= record.peer_crashes:
            return False
        record.peer_crashes = crashes
        record.updated_at_ms = now_ms
        return True

    def crash_count(self, fingerprint: ids.Fingerprint) -> int:
        """Return the number of upstreams that a request has crashed."""
        record = self._records.get(fingerprint)
        return record.crashes if record else 0

    def _evict(self, now_ms: float) -> None:
        for fingerprint, record in list(self._records.items()):
            old = now_ms - record.updated_at_ms > RETENTION_MS
            if record.running_trials == 0 and (old or record.crashes == 0):
                del self._records[fingerprint]
