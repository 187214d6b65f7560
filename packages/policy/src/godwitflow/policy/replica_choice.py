"""Chooses the upstream that gets a call, among the replicas of a service.

Moves load away from replicas that are slow, paused, failing, rejecting,
cold or unresponsive. The cost of a replica is the expected time of a
call: its own work and that of the calls ahead of it, at the pace of the
replica. A replica is drawn at random with a probability inversely
proportional to the square of its cost, so that nodes with the same view
do not all choose the same replica, and an expensive one still gets a call
occasionally.

A replica in the node's own failure domain is preferred while it answers
normally, because traffic between domains is slower and costs more. As soon
as it is slow, failing, cold, late or has many calls in flight, all
replicas take part in the draw.
"""

import dataclasses
import random
import typing

from godwitflow.model import ids
from godwitflow.policy import observations
from godwitflow.policy import reported_load

LATENCY_GAIN = 0.2
LATENCY_RATIO_MAX = 8.0
LATENCY_HALF_LIFE_MS = 2_000.0
FAILURE_GAIN = 0.2
FAILURE_MAX = 0.95
FAILURE_HALF_LIFE_MS = 4_000.0
UNRESPONSIVE_AFTER_MS = 300.0  # longer than the pauses of a healthy upstream
UNRESPONSIVE_LATENCY_FACTOR = 5.0
COLD_COST_FACTOR = 1.6
OTHER_DOMAIN_COST_FACTOR = 1.8
REPORT_GAIN = 0.3
REPORT_CALLS_MAX = 3
DEGRADED_LATENCY_RATIO = 1.8
DEGRADED_FAILURE_SHARE = 0.15
STEADY_MIN_CALLS = 2
STEADY_SLOTS_SHARE = 0.5
STEADY_CALL_WORKS = 2.0
OVERDUE_WORKS = 3.0
# A call that is late waits for calls of other nodes, and may do so for long.
MIN_LEFT_SHARE = 0.7
ROOM_LATENCY_SHARE = 0.4
EJECT_AFTER = 3
EJECT_MS = 500.0
EJECT_MAX_MS = 1_000.0
TRIAL_INTERVAL_MS = 250.0
TRIAL_INTERVAL_MAX_MS = 1_000.0


@dataclasses.dataclass(frozen=True, slots=True)
class CallInFlight:
    """When a call was started, and the work that is expected of it."""

    at_ms: float
    work_ms: float

    def work_left_ms(self, now_ms: float) -> float:
        """Return the work that is left; a late call has some left, too."""
        left_ms = self.work_ms - (now_ms - self.at_ms)
        return max(MIN_LEFT_SHARE * self.work_ms, left_ms)


@dataclasses.dataclass(slots=True)
class ReplicaHealth:
    """The health of one upstream as observed by this node.

    ``latency_ratio`` is its latency relative to the median of the route's
    calls, or to the expected work of a call: 1.0 is normal.
    ``failure_share`` is the share of calls that failed or were rejected.
    Both decay towards the values of a healthy upstream while there are no
    new observations. ``calls`` are this node's calls in flight, oldest
    first.
    """

    latency_ratio: float = 1.0
    failure_share: float = 0.0
    consecutive_failures: int = 0
    ejected_until_ms: float = 0.0
    ejections: int = 0
    cold_until_ms: float = 0.0
    decayed_at_ms: float = 0.0
    last_response_at_ms: float = 0.0
    unresponsive: bool = False
    last_call_at_ms: float = 0.0
    trial_interval_ms: float = TRIAL_INTERVAL_MS
    median_ms: float = 0.0
    in_flight: int = 0
    oldest_call_at_ms: float | None = None
    calls: dict[int, CallInFlight] = dataclasses.field(default_factory=dict)
    load: reported_load.KnownLoad = dataclasses.field(
        default_factory=reported_load.KnownLoad
    )

    def _decay(self, now_ms: float) -> None:
        elapsed_ms = now_ms - self.decayed_at_ms
        if elapsed_ms > 0:
            decay = 0.5 ** (elapsed_ms / LATENCY_HALF_LIFE_MS)
            self.latency_ratio = 1.0 + (self.latency_ratio - 1.0) * decay
            self.failure_share *= 0.5 ** (elapsed_ms / FAILURE_HALF_LIFE_MS)
            self.decayed_at_ms = now_ms

    def on_reply(
        self,
        now_ms: float,
        elapsed_ms: float,
        median_ms: float,
        work_ms: float | None = None,
    ) -> None:
        """Update from a successful reply; its latency is ``elapsed_ms``.

        ``work_ms`` is the expected work of the call; a costly request does
        not make the upstream look slow.
        """
        self._decay(now_ms)
        self.median_ms = median_ms
        ratio = elapsed_ms / (work_ms or median_ms)
        self._record_response(now_ms)
        ratio = min(ratio, LATENCY_RATIO_MAX)
        self.latency_ratio += LATENCY_GAIN * (ratio - self.latency_ratio)
        self.failure_share -= FAILURE_GAIN * self.failure_share
        self.consecutive_failures = 0
        self.ejections = 0
        self.ejected_until_ms = 0.0

    def on_peer_report(
        self, now_ms: float, observation: observations.Observation
    ) -> None:
        """Update the cost from a peer's observation.

        A report never makes an upstream unavailable, because the fault
        may lie in the network between the peer and the upstream. Only
        this node's own calls decide that.
        """
        self._decay(now_ms)
        old_weight = (1.0 - REPORT_GAIN) ** min(
            observation.replies, REPORT_CALLS_MAX
        )
        ratio = min(observation.latency_ratio, LATENCY_RATIO_MAX)
        self.latency_ratio = ratio + (self.latency_ratio - ratio) * old_weight
        self.failure_share *= old_weight
        old_weight = (1.0 - REPORT_GAIN) ** min(
            observation.failures, REPORT_CALLS_MAX
        )
        self.failure_share = 1.0 - (1.0 - self.failure_share) * old_weight

    @property
    def degraded(self) -> bool:
        """Whether the upstream is slower or fails more than the others."""
        slow = self.latency_ratio >= DEGRADED_LATENCY_RATIO
        return slow or self.failure_share >= DEGRADED_FAILURE_SHARE

    def on_rejection(self, now_ms: float) -> None:
        """Update from a rejection: the upstream responds but is full."""
        self._record_failure(now_ms)
        self._record_response(now_ms)
        self.consecutive_failures = 0

    def on_pause(self, now_ms: float) -> None:
        """Update from a response that asks for no calls for some time."""
        self._record_response(now_ms)
        self.consecutive_failures = 0

    def on_failure(self, now_ms: float) -> None:
        """Update from a failure; ``EJECT_AFTER`` in a row cause ejection."""
        self._record_failure(now_ms)
        self.consecutive_failures += 1
        if self.consecutive_failures >= EJECT_AFTER:
            ejection_ms = min(EJECT_MAX_MS, EJECT_MS * 2**self.ejections)
            self.ejected_until_ms = now_ms + ejection_ms
            self.ejections += 1
            self.consecutive_failures = EJECT_AFTER - 1

    def _record_response(self, now_ms: float) -> None:
        """Record that the upstream responded."""
        self.last_response_at_ms = now_ms
        self.unresponsive = False
        self.trial_interval_ms = TRIAL_INTERVAL_MS

    def on_cancelled(self, now_ms: float, started_at_ms: float) -> bool:
        """Update from a call that was cancelled before its reply.

        Does nothing and returns False if the call was shorter than the
        time after which an upstream counts as unresponsive. A longer one
        counts as a failure. If the upstream has not responded to any call
        since this one started, it is marked unresponsive.
        """
        if now_ms - started_at_ms < self._unresponsive_after_ms():
            return False
        self._record_failure(now_ms)
        if self.last_response_at_ms >= started_at_ms:
            return True
        if self.unresponsive:
            self.trial_interval_ms = min(
                TRIAL_INTERVAL_MAX_MS, 2.0 * self.trial_interval_ms
            )
        self.unresponsive = True
        return True

    def _unresponsive_after_ms(self) -> float:
        return max(
            UNRESPONSIVE_AFTER_MS,
            UNRESPONSIVE_LATENCY_FACTOR * self.median_ms,
        )

    def _record_failure(self, now_ms: float) -> None:
        self._decay(now_ms)
        self.failure_share += FAILURE_GAIN * (1.0 - self.failure_share)

    def cost(self, now_ms: float, work_ms: float, other_domain: bool) -> float:
        """Return the expected time of a call, in milliseconds.

        ``work_ms`` is the expected work of the call. It waits for the work
        of the calls in flight, and for what the upstream reports.
        """
        self._decay(now_ms)
        ahead_ms = self.work_left_ms(now_ms) or work_ms * self.in_flight
        cost_ms = (ahead_ms + work_ms) * self.latency_ratio
        cost_ms *= self.load.cost_factor(now_ms)
        if now_ms < self.cold_until_ms:
            cost_ms *= COLD_COST_FACTOR
        if other_domain:
            cost_ms *= OTHER_DOMAIN_COST_FACTOR
        if self.oldest_call_at_ms is not None:
            oldest_ms = OVERDUE_WORKS * self._oldest_call_work_ms(work_ms)
            overdue_ms = now_ms - self.oldest_call_at_ms - oldest_ms
            cost_ms += max(0.0, overdue_ms)
        success_share = 1.0 - min(FAILURE_MAX, self.failure_share)
        return cost_ms / (success_share * success_share)

    def work_left_ms(self, now_ms: float) -> float:
        """Return the work that is left of this node's calls in flight."""
        return sum(call.work_left_ms(now_ms) for call in self.calls.values())

    def steady(self, now_ms: float, work_ms: float, slots: int) -> bool:
        """Return whether a call is expected to be answered as usual.

        ``slots`` is the number of calls that the upstream runs at the same
        time. This node takes at most ``STEADY_SLOTS_SHARE`` of them while
        there are other replicas, but always ``STEADY_MIN_CALLS``. A call
        that has taken ``STEADY_CALL_WORKS`` times its expected work, and that
        of the call to be made, may be the first one of a pause or an outage.
        A long call does not leave the domain because a short one is late.
        """
        self._decay(now_ms)
        if self.degraded or now_ms < self.cold_until_ms:
            return False
        if self.in_flight >= max(STEADY_MIN_CALLS, STEADY_SLOTS_SHARE * slots):
            return False
        if self.oldest_call_at_ms is None:
            return True
        call_ms = now_ms - self.oldest_call_at_ms
        expected_ms = max(work_ms, self._oldest_call_work_ms(work_ms))
        return call_ms <= STEADY_CALL_WORKS * expected_ms

    def _oldest_call_work_ms(self, default_ms: float) -> float:
        oldest = next(iter(self.calls.values()), None)
        return default_ms if oldest is None else oldest.work_ms

    def has_room(
        self, now_ms: float, median_ms: float, left_ms: float, draw: float
    ) -> bool:
        """Return whether to add a call that is needed within ``left_ms``.

        In an overload the queue of an upstream grows until every call is
        answered too late. The more of the time the expected latency takes,
        the fewer calls are added, so that those are answered in time.
        ``draw`` is a random number from 0 to 1. One call is always
        allowed, or the end of the overload would not be noticed.
        """
        if not self.in_flight:
            return True
        self._decay(now_ms)
        latency_share = median_ms * self.latency_ratio / max(1.0, left_ms)
        return draw * (1.0 - ROOM_LATENCY_SHARE) < 1.0 - latency_share

    def needs_trial(self, now_ms: float) -> bool:
        """Return whether a trial call has to succeed before other calls."""
        return self.unresponsive or self.unavailable(now_ms)

    def unavailable(self, now_ms: float) -> bool:
        """Return whether no reply to a call can be expected.

        An upstream that is unresponsive or keeps failing is unavailable
        while a trial call is in flight and for a short time after it.
        Then the next call is the trial call.
        """
        if now_ms < self.ejected_until_ms:
            return True
        oldest_ms = self.oldest_call_at_ms
        if self.unresponsive:
            return oldest_ms is not None or (
                now_ms - self.last_call_at_ms < self.trial_interval_ms
            )
        if oldest_ms is None or self.last_response_at_ms > oldest_ms:
            return False
        return now_ms - oldest_ms > self._unresponsive_after_ms()


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream that has room for a call."""

    upstream: ids.UpstreamId
    health: ReplicaHealth
    other_domain: bool
    slots: int


def choose(
    candidates: typing.Sequence[Candidate],
    now_ms: float,
    work_ms: float,
    rng: random.Random,
) -> Candidate | None:
    """Draw a candidate at random, or return None if there are none."""
    pool = preferred(candidates, now_ms, work_ms)
    if len(pool) <= 1:
        return pool[0] if pool else None
    weights = []
    for candidate in pool:
        cost_ms = candidate.health.cost(
            now_ms, work_ms, candidate.other_domain
        )
        weights.append(1.0 / (cost_ms * cost_ms))
    return rng.choices(pool, weights)[0]


def preferred(
    candidates: typing.Sequence[Candidate], now_ms: float, work_ms: float
) -> typing.Sequence[Candidate]:
    """Return the candidates that one is drawn from.

    Unavailable upstreams are among them only if there are no others, and
    upstreams of other failure domains only if none of the own is steady.
    """
    available = [
        candidate
        for candidate in candidates
        if not candidate.health.unavailable(now_ms)
    ]
    near = [
        candidate
        for candidate in available
        if not candidate.other_domain
        and candidate.health.steady(now_ms, work_ms, candidate.slots)
    ]
    return near or available or candidates
