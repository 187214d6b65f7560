"""Admission of whole queries at the front.

Dropping single pieces at random would leave most answers partial, so a
query is admitted or refused as one, from the waits that dispatchers
report for its rank.
"""

import dataclasses
import typing

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


class _SetWait:
    __slots__ = ("at_ms", "turn_ms", "wait_ms")

    def __init__(self, load: messages.SetLoad, at_ms: float) -> None:
        self.wait_ms = load.wait_ms
        self.turn_ms = load.turn_ms
        self.at_ms = at_ms


@dataclasses.dataclass(frozen=True, slots=True)
class _Worst:
    """The longest wait and turn among the sets, as reported."""

    wait_ms: float
    turn_ms: float
    at_ms: float


class Admission:
    """Decides from the latest load of each replica set of a service.

    A query is refused once the wait expected for its rank exceeds half
    of the deadline. Below that, the share admitted falls linearly, by a
    hash of the query, which keeps the queues from swinging between full
    and empty while reports are on their way.

    The wait expected is the longer of two: what a dispatcher reports,
    and what the queries under way at all fronts will add, of which this
    front knows its own. The second sees work that no queue holds yet.
    """

    def __init__(self) -> None:
        self._sets: dict[ids.ReplicaSetId, _SetWait] = {}
        self._worst: dict[int, _Worst] = {}
        self._under_way: dict[int, float] = {}
        self._fronts = 1

    def learn(
        self, load: messages.SetLoad, fronts: int, now_ms: float
    ) -> None:
        """Take a dispatcher's report on one replica set."""
        self._sets[load.replica_set] = _SetWait(load, now_ms)
        self._fronts = max(1, fronts)
        self._worst.clear()

    def forget(self, keep: typing.Container[ids.ReplicaSetId]) -> None:
        """Forget replica sets that the index no longer names."""
        for set_id in [name for name in self._sets if name not in keep]:
            del self._sets[set_id]
        self._worst.clear()

    def on_start(self, rank: ids.Rank, share: float) -> None:
        """Count a query as under way; ``share`` of the shards it asks."""
        self._under_way[rank] = self._under_way.get(rank, 0.0) + share

    def on_end(self, rank: ids.Rank, share: float) -> None:
        """Count a query as over."""
        left = self._under_way.get(rank, 0.0) - share
        self._under_way[rank] = max(0.0, left)

    def expected_wait_ms(self, now_ms: float, rank: ids.Rank) -> float:
        """Return the longest queue wait that a new query would meet."""
        worst = self._worst.get(rank)
        if worst is None or now_ms - worst.at_ms > REPORT_STALE_MS:
            worst = self._find_worst(now_ms, rank)
            self._worst[rank] = worst
        ahead = self._under_way.get(rank, 0.0) * self._fronts
        return max(worst.wait_ms, ahead * worst.turn_ms)

    def _find_worst(self, now_ms: float, rank: int) -> _Worst:
        wait_ms = 0.0
        turn_ms = 0.0
        for load in self._sets.values():
            if not load.wait_ms:
                continue
            place = min(rank, len(load.wait_ms) - 1)
            turn_ms = max(turn_ms, load.turn_ms[place])
            if now_ms - load.at_ms <= REPORT_STALE_MS:
                wait_ms = max(wait_ms, load.wait_ms[place])
        return _Worst(wait_ms, turn_ms, now_ms)

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
