"""Admission of whole queries at the front.

Dropping single pieces at random would leave most answers partial, so a
query is admitted or refused as one, from the waits that dispatchers
report for its rank.
"""

import dataclasses

from godwitflow.model import ids
from godwitflow.wire import messages

WAIT_SHARE = 0.5
RAMP_START = 0.4
REPORT_STALE_MS = 1_000.0
MIN_RETRY_AFTER_MS = 20.0
ORDER_SPACE = 1 << 32


@dataclasses.dataclass(frozen=True)
class Admit:
    """Run the query; the wait expected at its slowest replica set."""

    wait_ms: float


@dataclasses.dataclass(frozen=True)
class Refuse:
    """Do not run the query; when a resend may be admitted."""

    wait_ms: float
    retry_after_ms: float


Decision = Admit | Refuse


@dataclasses.dataclass(frozen=True, slots=True)
class _Reported:
    load: messages.SetLoad
    at_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Expected:
    wait_ms: float
    at_ms: float


class AdmissionController:
    """Decides from the latest load of each replica set of a service.

    A query is refused once the wait expected for its rank exceeds half
    of the deadline. Below that, the share admitted falls linearly, by a
    hash of the query, which keeps the queues from swinging between full
    and empty while reports are on their way.

    The wait expected is the longest that a set reports, and a turn for
    each query whose canary is still under way, as all its other pieces
    are yet to come.
    """

    def __init__(self) -> None:
        self._sets: dict[ids.ReplicaSetId, _Reported] = {}
        self._expected: dict[int, _Expected] = {}

    def on_load_report(self, load: messages.SetLoad, now_ms: float) -> None:
        """Take a dispatcher's report on one replica set."""
        self._sets[load.replica_set] = _Reported(load, now_ms)
        self._expected.clear()

    def expected_wait_ms(self, now_ms: float, rank: ids.Rank) -> float:
        """Return the longest queue wait that a new query would meet."""
        kept = self._expected.get(rank)
        if kept is None or now_ms - kept.at_ms > REPORT_STALE_MS:
            wait_ms = self._find_expected(now_ms, rank)
            kept = _Expected(wait_ms, now_ms)
            self._expected[rank] = kept
        return kept.wait_ms

    def _find_expected(self, now_ms: float, rank: int) -> float:
        wait_ms = 0.0
        turn_ms = 0.0
        canaries = 0
        for reported in self._sets.values():
            load = reported.load
            stale = now_ms - reported.at_ms > REPORT_STALE_MS
            if stale or not load.wait_ms:
                continue
            place = min(rank, len(load.wait_ms) - 1)
            wait_ms = max(wait_ms, load.wait_ms[place])
            turn_ms = max(turn_ms, load.wait_per_piece_ms[place])
            canaries += load.canaries[place]
        return wait_ms + canaries * turn_ms

    def decide(
        self, now_ms: float, rank: ids.Rank, deadline_ms: float, order: int
    ) -> Decision:
        """Admit or refuse one query.

        ``order`` is the query's hash, below ``ORDER_SPACE``.
        """
        wait_ms = self.expected_wait_ms(now_ms, rank)
        limit_ms = deadline_ms * WAIT_SHARE
        start_ms = limit_ms * RAMP_START
        if wait_ms <= start_ms:
            return Admit(wait_ms)
        share = (limit_ms - wait_ms) / (limit_ms - start_ms)
        if order % ORDER_SPACE < share * ORDER_SPACE:
            return Admit(wait_ms)
        retry_after_ms = max(MIN_RETRY_AFTER_MS, wait_ms - start_ms)
        return Refuse(wait_ms, retry_after_ms)
