"""Which upstream of a service gets a call.

Answers uneven load: replicas that are slow, paused, failing, rejecting,
cold or silent. Each replica has a cost, the time that a call may take
there; replicas are drawn with a probability that falls with the square
of the cost, so that many nodes with the same view do not all choose the
same one, and a costly replica is still tried now and then.
"""

import dataclasses
import random
import typing

from godwitflow.model import ids
from godwitflow.policy import observations

LATENCY_GAIN = 0.2
LATENCY_RATIO_MAX = 8.0
RECOVERY_HALF_LIFE_MS = 2_000.0
FAILURE_GAIN = 0.2
FAILURE_MAX = 0.95
FAILURE_HALF_LIFE_MS = 4_000.0
SILENT_AFTER_MS = 300.0  # longer than the pauses of a sound upstream
SILENT_AFTER_USUAL = 5.0
COLD_FACTOR = 1.6
FAR_FACTOR = 1.8
REPORT_GAIN = 0.3
REPORT_CALLS_MAX = 3
SUSPECTED_RATIO = 1.8
SUSPECTED_FAILURE_SHARE = 0.15
EJECT_AFTER = 3
EJECT_MS = 500.0
EJECT_MAX_MS = 1_000.0
TRIAL_GAP_MS = 250.0
TRIAL_GAP_MAX_MS = 1_000.0


@dataclasses.dataclass(slots=True)
class ReplicaHealth:
    """What this node has seen of one upstream.

    ``latency_ratio`` compares its replies with those of its peers: 1 is
    as fast as they. ``failure_share`` is the share of calls that failed
    or were rejected. Both return to normal while nothing is seen.
    """

    latency_ratio: float = 1.0
    failure_share: float = 0.0
    failures_in_a_row: int = 0
    ejected_until_ms: float = 0.0
    ejections: int = 0
    cold_until_ms: float = 0.0
    decayed_at_ms: float = 0.0
    replied_at_ms: float = 0.0
    silent: bool = False
    last_call_at_ms: float = 0.0
    trial_gap_ms: float = TRIAL_GAP_MS
    usual_ms: float = 0.0
    in_flight: int = 0
    oldest_call_at_ms: float | None = None

    def _age(self, now_ms: float) -> None:
        elapsed_ms = now_ms - self.decayed_at_ms
        if elapsed_ms > 0:
            kept = 0.5 ** (elapsed_ms / RECOVERY_HALF_LIFE_MS)
            self.latency_ratio = 1.0 + (self.latency_ratio - 1.0) * kept
            self.failure_share *= 0.5 ** (elapsed_ms / FAILURE_HALF_LIFE_MS)
            self.decayed_at_ms = now_ms

    def on_reply(
        self, now_ms: float, elapsed_ms: float, usual_ms: float
    ) -> None:
        """Learn from a good reply."""
        self._age(now_ms)
        self.usual_ms = usual_ms
        ratio = elapsed_ms / usual_ms
        self._note_sign(now_ms)
        ratio = min(ratio, LATENCY_RATIO_MAX)
        self.latency_ratio += LATENCY_GAIN * (ratio - self.latency_ratio)
        self.failure_share -= FAILURE_GAIN * self.failure_share
        self.failures_in_a_row = 0
        self.ejections = 0
        self.ejected_until_ms = 0.0

    def on_peer_report(
        self, now_ms: float, seen: observations.Observation
    ) -> None:
        """Learn from what a peer saw; only the choice is led by it.

        Whether the upstream is unavailable is for this node's own calls to
        say, as a fault may lie between the peer and the upstream.
        """
        self._age(now_ms)
        kept = (1.0 - REPORT_GAIN) ** min(seen.replies, REPORT_CALLS_MAX)
        ratio = min(seen.latency_ratio, LATENCY_RATIO_MAX)
        self.latency_ratio = ratio + (self.latency_ratio - ratio) * kept
        self.failure_share *= kept
        kept = (1.0 - REPORT_GAIN) ** min(seen.failures, REPORT_CALLS_MAX)
        self.failure_share = 1.0 - (1.0 - self.failure_share) * kept

    @property
    def degraded(self) -> bool:
        """Whether the upstream seems worse than its peers."""
        slow = self.latency_ratio >= SUSPECTED_RATIO
        return slow or self.failure_share >= SUSPECTED_FAILURE_SHARE

    def on_rejection(self, now_ms: float) -> None:
        """Learn from a rejection: the upstream lives, but is full."""
        self._count_failure(now_ms)
        self._note_sign(now_ms)
        self.failures_in_a_row = 0

    def on_failure(self, now_ms: float) -> None:
        """Learn from a failure; several in a row eject the upstream."""
        self._count_failure(now_ms)
        self.failures_in_a_row += 1
        if self.failures_in_a_row >= EJECT_AFTER:
            spell_ms = min(EJECT_MAX_MS, EJECT_MS * 2**self.ejections)
            self.ejected_until_ms = now_ms + spell_ms
            self.ejections += 1
            self.failures_in_a_row = EJECT_AFTER - 1

    def _note_sign(self, now_ms: float) -> None:
        """Note that the upstream gave a sign of life."""
        self.replied_at_ms = now_ms
        self.silent = False
        self.trial_gap_ms = TRIAL_GAP_MS

    def on_cancelled(self, now_ms: float, started_at_ms: float) -> bool:
        """Learn that a call was given up; a long one tells of silence.

        Returns whether the call was long enough to count.
        """
        if now_ms - started_at_ms < self._patience_ms():
            return False
        self._count_failure(now_ms)
        if self.replied_at_ms >= started_at_ms:
            return True
        if self.silent:
            self.trial_gap_ms = min(TRIAL_GAP_MAX_MS, 2.0 * self.trial_gap_ms)
        self.silent = True
        return True

    def _patience_ms(self) -> float:
        return max(SILENT_AFTER_MS, SILENT_AFTER_USUAL * self.usual_ms)

    def _count_failure(self, now_ms: float) -> None:
        self._age(now_ms)
        self.failure_share += FAILURE_GAIN * (1.0 - self.failure_share)

    def cost(self, now_ms: float, usual_ms: float, far: bool) -> float:
        """Return the expected time of a call here, in milliseconds."""
        self._age(now_ms)
        cost_ms = usual_ms * self.latency_ratio * (self.in_flight + 1)
        if now_ms < self.cold_until_ms:
            cost_ms *= COLD_FACTOR
        if far:
            cost_ms *= FAR_FACTOR
        if self.oldest_call_at_ms is not None:
            stuck_ms = now_ms - self.oldest_call_at_ms - 3.0 * usual_ms
            cost_ms += max(0.0, stuck_ms)
        sound_share = 1.0 - min(FAILURE_MAX, self.failure_share)
        return cost_ms / (sound_share * sound_share)

    def needs_trial(self, now_ms: float) -> bool:
        """Tell whether the upstream must prove first that it is back."""
        return self.silent or self.unavailable(now_ms)

    def unavailable(self, now_ms: float) -> bool:
        """Tell whether a call has no prospect of an answer.

        An upstream that went silent or keeps failing is unavailable while a
        trial is under way and for a short while after; then the next
        call is the trial.
        """
        if now_ms < self.ejected_until_ms:
            return True
        oldest_ms = self.oldest_call_at_ms
        if self.silent:
            return oldest_ms is not None or (
                now_ms - self.last_call_at_ms < self.trial_gap_ms
            )
        if oldest_ms is None or self.replied_at_ms > oldest_ms:
            return False
        return now_ms - oldest_ms > self._patience_ms()


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that could take a call now."""

    upstream: ids.UpstreamId
    health: ReplicaHealth
    other_domain: bool


def choose(
    candidates: typing.Sequence[Candidate],
    now_ms: float,
    usual_ms: float,
    source: random.Random,
) -> Candidate | None:
    """Draw a candidate; unavailable ones only where no other is left."""
    sound = [
        candidate
        for candidate in candidates
        if not candidate.health.unavailable(now_ms)
    ]
    pool = sound or candidates
    if len(pool) <= 1:
        return pool[0] if pool else None
    weights = []
    for candidate in pool:
        cost_ms = candidate.health.cost(
            now_ms, usual_ms, candidate.other_domain
        )
        weights.append(1.0 / (cost_ms * cost_ms))
    return source.choices(pool, weights)[0]
