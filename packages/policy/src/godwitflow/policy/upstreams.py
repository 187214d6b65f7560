"""The state of one upstream as observed by its dispatcher."""

import enum

from godwitflow.model import ids
from godwitflow.policy import latency

FAILURES_TO_OPEN = 3
INITIAL_OPEN_MS = 500.0
MAX_OPEN_MS = 8_000.0
COLD_START_LIMIT = 1
REPLIES_PER_RAMP_STEP = 4
MIN_SHED_BACKOFF_MS = 200.0
SLOW_FACTOR = 3.0
SLOW_MIN_COUNT = 3
SLOW_PROBE_INTERVAL_MS = 500.0


class Breaker(enum.Enum):
    """The state of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class Upstream:
    """Slots, health and latency of one upstream.

    ``limit`` is the number of calls that may run concurrently. It starts
    at ``COLD_START_LIMIT`` for a cold upstream and rises by one after
    ``REPLIES_PER_RAMP_STEP`` replies, up to the configured slots. A shed
    reply lowers it by one temporarily.
    """

    __slots__ = (
        "average_latency",
        "breaker",
        "consecutive_failures",
        "id",
        "in_flight",
        "last_probe_at_ms",
        "leaving",
        "limit",
        "open_ms",
        "open_until_ms",
        "ramp_replies",
        "shed_until_ms",
        "slots",
        "successes",
    )

    def __init__(
        self, upstream: ids.UpstreamId, slots: int, cold: bool = False
    ) -> None:
        self.id = upstream
        self.slots = slots
        self.limit = COLD_START_LIMIT if cold else slots
        self.ramp_replies = 0
        self.in_flight = 0
        self.average_latency = latency.MovingAverage(0.2)
        self.breaker = Breaker.CLOSED
        self.consecutive_failures = 0
        self.successes = 0
        self.open_ms = INITIAL_OPEN_MS
        self.open_until_ms = 0.0
        self.shed_until_ms = 0.0
        self.last_probe_at_ms = -SLOW_PROBE_INTERVAL_MS
        self.leaving = False

    def free_slots(self, now_ms: float) -> int:
        """Return how many more calls may start now."""
        if self.leaving:
            return 0
        if self.breaker is Breaker.CLOSED and now_ms >= self.shed_until_ms:
            return self.limit - self.in_flight
        if self.breaker is Breaker.OPEN:
            if now_ms < self.open_until_ms:
                return 0
            self.breaker = Breaker.HALF_OPEN
        if self.breaker is Breaker.HALF_OPEN:
            return 1 if self.in_flight == 0 else 0
        limit = self.limit
        if now_ms < self.shed_until_ms:
            limit = max(1, limit - 1)
        return limit - self.in_flight

    def is_slow(self, median_ms: float) -> bool:
        """Return whether its average latency far exceeds the set's median."""
        if self.average_latency.count < SLOW_MIN_COUNT or median_ms <= 0.0:
            return False
        return self.average_latency.value_ms > SLOW_FACTOR * median_ms

    def on_start(self) -> None:
        """Record the start of a call."""
        self.in_flight += 1

    def on_end(self) -> None:
        """Record the end of a call, whatever its result."""
        self.in_flight -= 1

    def on_success(self, elapsed_ms: float) -> None:
        """Update latency, limit and breaker after a reply."""
        self.average_latency.record(elapsed_ms)
        self.consecutive_failures = 0
        self.successes += 1
        self.open_ms = INITIAL_OPEN_MS
        if self.breaker is Breaker.HALF_OPEN:
            self.breaker = Breaker.CLOSED
            self.limit = COLD_START_LIMIT
            self.ramp_replies = 0
        if self.limit < self.slots:
            self.ramp_replies += 1
            if self.ramp_replies >= REPLIES_PER_RAMP_STEP:
                self.ramp_replies = 0
                self.limit += 1

    def record_latency(self, elapsed_ms: float) -> None:
        """Add the duration of a call without a valid reply to the average."""
        self.average_latency.record(elapsed_ms)

    def on_shed(self, now_ms: float, retry_after_ms: float) -> None:
        """Lower the limit by one for the time that the upstream asks for."""
        wait_ms = max(MIN_SHED_BACKOFF_MS, retry_after_ms)
        self.shed_until_ms = now_ms + wait_ms

    def on_failure(self, now_ms: float, fatal: bool = False) -> None:
        """Record a failure; a fatal one opens the breaker immediately."""
        self.consecutive_failures += 1
        half_open = self.breaker is Breaker.HALF_OPEN
        if fatal or half_open or self.consecutive_failures >= FAILURES_TO_OPEN:
            self.breaker = Breaker.OPEN
            self.open_until_ms = now_ms + self.open_ms
            self.open_ms = min(MAX_OPEN_MS, self.open_ms * 2.0)
