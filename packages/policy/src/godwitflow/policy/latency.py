"""Recent latency: moving averages and quantiles over two windows."""

from hdrh import histogram

LOWEST_US = 1
HIGHEST_US = 600_000_000
DIGITS = 2
WINDOW_COUNT = 1_000
FIRST_COUNT = 50
REFRESH_COUNT = 250
US_PER_MS = 1_000.0


class Average:
    """An exponentially weighted moving average of milliseconds."""

    __slots__ = ("count", "value_ms", "weight")

    def __init__(self, weight: float = 0.1) -> None:
        self.weight = weight
        self.value_ms = 0.0
        self.count = 0

    def record(self, value_ms: float) -> None:
        """Add a value; the first ones count as a plain mean."""
        self.count += 1
        weight = self.weight
        if weight * self.count < 1.0:
            weight = 1.0 / self.count
        self.value_ms += weight * (value_ms - self.value_ms)


class RecentQuantile:
    """One quantile of the last one or two thousand values.

    The histogram library walks its buckets for each quantile, so the
    result is kept: it is there after ``FIRST_COUNT`` values and is
    refreshed after every ``REFRESH_COUNT``.
    """

    __slots__ = ("_current", "_kept_ms", "_previous", "count", "quantile")

    def __init__(self, quantile: float) -> None:
        self.quantile = quantile
        self.count = 0
        self._kept_ms: float | None = None
        self._current = _new_histogram()
        self._previous = _new_histogram()

    def record(self, value_ms: float) -> None:
        """Add a value in milliseconds."""
        self.count += 1
        value_us = int(value_ms * US_PER_MS)
        self._current.record_value(min(max(value_us, 1), HIGHEST_US))
        if self.count == FIRST_COUNT or self.count % REFRESH_COUNT == 0:
            self._refresh()
        if self.count % WINDOW_COUNT == 0:
            self._previous = self._current
            self._current = _new_histogram()

    def value_ms(self) -> float | None:
        """Return the quantile, or None before enough values came."""
        return self._kept_ms

    def _refresh(self) -> None:
        fuller = self._current
        if self._current.total_count < WINDOW_COUNT // 4:
            if self._previous.total_count:
                fuller = self._previous
        value_us = fuller.get_value_at_percentile(self.quantile * 100.0)
        self._kept_ms = value_us / US_PER_MS


def _new_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
