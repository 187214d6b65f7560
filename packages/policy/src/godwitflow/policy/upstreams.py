"""One upstream as its dispatcher sees it, from its own observations."""

import enum

from godwitflow.model import ids
from godwitflow.policy import latency

FAILURES_TO_OPEN = 3
OPEN_MS = 500.0
OPEN_MAX_MS = 8_000.0
COLD_LIMIT = 1
RAMP_REPLIES = 4
SHED_BACKOFF_MS = 200.0
SLOW_FACTOR = 3.0
SLOW_MIN_COUNT = 3
SLOW_PROBE_MS = 500.0


class Breaker(enum.Enum):
    """Whether new work may be sent."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half_open"


class Upstream:
    """Slots, health and speed of one upstream.

    ``limit`` is the number of calls that may run at once: it starts at
    ``COLD_LIMIT`` for an upstream that is cold and rises by one after
    ``RAMP_REPLIES`` replies, up to the stated slots; a shed reply lowers
    it by one for a while.
    """

    __slots__ = (
        "average_latency",
        "breaker",
        "failures",
        "id",
        "in_flight",
        "last_probe_at_ms",
        "leaving",
        "limit",
        "open_ms",
        "open_until_ms",
        "ramp",
        "shed_until_ms",
        "slots",
        "successes",
    )

    def __init__(
        self, upstream: ids.UpstreamId, slots: int, cold: bool = False
    ) -> None:
        self.id = upstream
        self.slots = slots
        self.limit = COLD_LIMIT if cold else slots
        self.ramp = 0
        self.in_flight = 0
        self.average_latency = latency.Average(0.2)
        self.breaker = Breaker.CLOSED
        self.failures = 0
        self.successes = 0
        self.open_ms = OPEN_MS
        self.open_until_ms = 0.0
        self.shed_until_ms = 0.0
        self.last_probe_at_ms = -SLOW_PROBE_MS
        self.leaving = False

    def free(self, now_ms: float) -> int:
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

    def is_slow(self, typical_ms: float) -> bool:
        """Tell whether replies take far longer than the set's typical."""
        if self.average_latency.count < SLOW_MIN_COUNT or typical_ms <= 0.0:
            return False
        return self.average_latency.value_ms > SLOW_FACTOR * typical_ms

    def on_start(self) -> None:
        """Account for a call that starts."""
        self.in_flight += 1

    def on_end(self) -> None:
        """Account for a call that is over, whatever became of it."""
        self.in_flight -= 1

    def on_success(self, elapsed_ms: float) -> None:
        """Learn from a reply: speed, ramp, breaker."""
        self.average_latency.record(elapsed_ms)
        self.failures = 0
        self.successes += 1
        self.open_ms = OPEN_MS
        if self.breaker is Breaker.HALF_OPEN:
            self.breaker = Breaker.CLOSED
            self.limit = COLD_LIMIT
            self.ramp = 0
        if self.limit < self.slots:
            self.ramp += 1
            if self.ramp >= RAMP_REPLIES:
                self.ramp = 0
                self.limit += 1

    def on_late(self, elapsed_ms: float) -> None:
        """Learn from a call that was given up after this time."""
        self.average_latency.record(elapsed_ms)

    def on_shed(self, now_ms: float, retry_after_ms: float) -> None:
        """Lower the limit by one for as long as the upstream asks."""
        wait_ms = max(SHED_BACKOFF_MS, retry_after_ms)
        self.shed_until_ms = now_ms + wait_ms

    def on_failure(self, now_ms: float, fatal: bool = False) -> None:
        """Learn from a failure; a fatal one opens the breaker at once."""
        self.failures += 1
        half_open = self.breaker is Breaker.HALF_OPEN
        if fatal or half_open or self.failures >= FAILURES_TO_OPEN:
            self.breaker = Breaker.OPEN
            self.open_until_ms = now_ms + self.open_ms
            self.open_ms = min(OPEN_MAX_MS, self.open_ms * 2.0)
