"""Admission control for whole queries at the front.

Dropping single pieces at random would leave most answers partial, so a
query is admitted or refused as a whole, based on the queue waits that
dispatchers report for its rank.
"""

import dataclasses

from godwitflow.model import ids
from godwitflow.wire import messages

MAX_WAIT_SHARE = 0.5
RAMP_START_SHARE = 0.4
REPORT_MAX_AGE_MS = 1_000.0
MIN_RETRY_AFTER_MS = 20.0
QUERY_HASH_RANGE = 1 << 32


@dataclasses.dataclass(frozen=True)
class Admit:
    """Run the query; ``wait_ms`` is expected at its slowest replica set."""

    wait_ms: float


@dataclasses.dataclass(frozen=True)
class Refuse:
    """Do not run the query; retry it after ``retry_after_ms``."""

    wait_ms: float
    retry_after_ms: float


Decision = Admit | Refuse


@dataclasses.dataclass(frozen=True, slots=True)
class _LoadReport:
    load: messages.SetLoad
    at_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class _CachedWait:
    wait_ms: float
    at_ms: float


class AdmissionController:
    """Admits or refuses queries by the load of a service's replica sets.

    A query is refused when the wait expected for its rank exceeds half
    of its deadline. Between 40 % of that limit and the limit itself, the
    admitted share of queries falls linearly from all to none. A hash of
    the query selects them. The ramp keeps the queues from oscillating
    between full and empty while load reports are in transit.

    The expected wait is the longest wait that a replica set reports,
    plus the wait of one piece for each query whose canary is still
    running, because the other pieces of that query are not queued yet.
    """

    def __init__(self) -> None:
        self._reports: dict[ids.ReplicaSetId, _LoadReport] = {}
        self._cached_waits: dict[int, _CachedWait] = {}

    def on_load_report(self, load: messages.SetLoad, now_ms: float) -> None:
        """Store a dispatcher's latest report on one replica set."""
        self._reports[load.replica_set] = _LoadReport(load, now_ms)
        self._cached_waits.clear()

    def expected_wait_ms(self, now_ms: float, rank: ids.Rank) -> float:
        """Return the longest queue wait expected for a new query."""
        cached = self._cached_waits.get(rank)
        if cached is None or now_ms - cached.at_ms > REPORT_MAX_AGE_MS:
            wait_ms = self._compute_wait_ms(now_ms, rank)
            cached = _CachedWait(wait_ms, now_ms)
            self._cached_waits[rank] = cached
        return cached.wait_ms

    def _compute_wait_ms(self, now_ms: float, rank: int) -> float:
        wait_ms = 0.0
        piece_wait_ms = 0.0
        canaries = 0
        for reported in self._reports.values():
            load = reported.load
            stale = now_ms - reported.at_ms > REPORT_MAX_AGE_MS
            if stale or not load.wait_ms:
                continue
            index = min(rank, len(load.wait_ms) - 1)
            wait_ms = max(wait_ms, load.wait_ms[index])
            piece_wait_ms = max(piece_wait_ms, load.wait_per_piece_ms[index])
            canaries += load.canaries[index]
        return wait_ms + canaries * piece_wait_ms

    def decide(
        self,
        now_ms: float,
        rank: ids.Rank,
        deadline_ms: float,
        query_hash: int,
    ) -> Decision:
        """Admit or refuse one query.

        ``query_hash`` is taken modulo ``QUERY_HASH_RANGE``.
        """
        wait_ms = self.expected_wait_ms(now_ms, rank)
        limit_ms = deadline_ms * MAX_WAIT_SHARE
        start_ms = limit_ms * RAMP_START_SHARE
        if wait_ms <= start_ms:
            return Admit(wait_ms)
        share = (limit_ms - wait_ms) / (limit_ms - start_ms)
        if query_hash % QUERY_HASH_RANGE < share * QUERY_HASH_RANGE:
            return Admit(wait_ms)
        retry_after_ms = max(MIN_RETRY_AFTER_MS, wait_ms - start_ms)
        return Refuse(wait_ms, retry_after_ms)
