"""Moving averages and quantiles of recent latencies."""

from hdrh import histogram

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 2
WINDOW_VALUES = 1_000
MIN_VALUES = 50
REFRESH_INTERVAL = 250
US_PER_MS = 1_000.0


class MovingAverage:
    """An exponentially weighted moving average in milliseconds."""

    __slots__ = ("count", "value_ms", "weight")

    def __init__(self, weight: float = 0.1) -> None:
        self.weight = weight
        self.value_ms = 0.0
        self.count = 0

    def record(self, value_ms: float) -> None:
        """Add a value; the first ``1 / weight`` ones are averaged equally."""
        self.count += 1
        weight = self.weight
        if weight * self.count < 1.0:
            weight = 1.0 / self.count
        self.value_ms += weight * (value_ms - self.value_ms)


class RecentQuantile:
    """One quantile of at most ``WINDOW_VALUES`` recent values.

    The histogram library iterates over all buckets for each quantile, so
    the result is cached. It is available after ``MIN_VALUES`` values and
    is refreshed after every ``REFRESH_INTERVAL`` values.
    """

    __slots__ = ("_cached_ms", "_current", "_previous", "count", "quantile")

    def __init__(self, quantile: float) -> None:
        self.quantile = quantile
        self.count = 0
        self._cached_ms: float | None = None
        self._current = _new_histogram()
        self._previous = _new_histogram()

    def record(self, value_ms: float) -> None:
        """Add a value in milliseconds."""
        self.count += 1
        value_us = int(value_ms * US_PER_MS)
        self._current.record_value(min(max(value_us, 1), HIGHEST_US))
        if self.count == MIN_VALUES or self.count % REFRESH_INTERVAL == 0:
            self._refresh()
        if self.count % WINDOW_VALUES == 0:
            self._previous = self._current
            self._current = _new_histogram()

    def value_ms(self) -> float | None:
        """Return the cached quantile, or None with too few values."""
        return self._cached_ms

    def _refresh(self) -> None:
        window = self._current
        if self._current.total_count < WINDOW_VALUES // 4:
            if self._previous.total_count:
                window = self._previous
        value_us = window.get_value_at_percentile(self.quantile * 100.0)
        self._cached_ms = value_us / US_PER_MS


def _new_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
