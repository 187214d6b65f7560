"""Counters and latency quantiles, as text for a scraper."""

import collections
import typing

QUANTILES = (50.0, 90.0, 99.0, 99.9)
MIN_LATENCY_US = 1
MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 2
MAX_PENDING_VALUES = 512
US_PER_MS = 1_000.0

Labels = tuple[tuple[str, str], ...]


class LatencyHistogram:
    """The latencies of one kind, in microseconds.

    Values wait in a list until they are many or are asked for: loading
    the histogram's library would delay every start of a node.
    """

    def __init__(self) -> None:
        self._pending: list[int] = []
        self._histogram: typing.Any = None

    def record(self, value_us: int) -> None:
        """Add a value."""
        self._pending.append(
            min(max(value_us, MIN_LATENCY_US), MAX_LATENCY_US)
        )
        if len(self._pending) >= MAX_PENDING_VALUES:
            self.histogram()

    def histogram(self) -> typing.Any:
        """Return the histogram of all values so far."""
        if self._histogram is None:
            from hdrh import histogram  # noqa: PLC0415

            self._histogram = histogram.HdrHistogram(
                MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
            )
        pending, self._pending = self._pending, []
        for value_us in pending:
            self._histogram.record_value(value_us)
        return self._histogram


class Metrics:
    """Everything that one process counts."""

    def __init__(self) -> None:
        self._counters: dict[tuple[str, Labels], float] = (
            collections.defaultdict(float)
        )
        self._latencies: dict[tuple[str, str, str], LatencyHistogram] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a counter."""
        self._counters[(name, tuple(sorted(labels.items())))] += amount

    def value(self, name: str, **labels: str) -> float:
        """Return a counter's value."""
        return self._counters[(name, tuple(sorted(labels.items())))]

    def record_latency(
        self, service: str, priority: str, hop: str, elapsed_ms: float
    ) -> None:
        """Record how long one hop of a query took."""
        key = (service, priority, hop)
        found = self._latencies.get(key)
        if found is None:
            found = LatencyHistogram()
            self._latencies[key] = found
        found.record(int(elapsed_ms * US_PER_MS))

    def lines(self) -> list[str]:
        """Return every figure in the text form that scrapers read."""
        rows = []
        for (name, labels), amount in sorted(self._counters.items()):
            rows.append(
                f"godwitflow_{name}_total{_format_labels(labels)} {amount:g}"
            )
        for key, found in sorted(self._latencies.items()):
            rows += self._latency_lines(key, found.histogram())
        return rows

    def _latency_lines(
        self, key: tuple[str, str, str], found: typing.Any
    ) -> list[str]:
        service, priority, hop = key
        labels = (("service", service), ("priority", priority), ("hop", hop))
        rows = []
        for quantile in QUANTILES:
            value_ms = found.get_value_at_percentile(quantile) / US_PER_MS
            full = (*labels, ("quantile", f"{quantile / 100.0:g}"))
            rows.append(
                f"godwitflow_latency_ms{_format_labels(full)} {value_ms:g}"
            )
        count = found.total_count
        rows.append(
            f"godwitflow_latency_ms_count{_format_labels(labels)} {count}"
        )
        return rows


def gauge_line(name: str, value: float, **labels: str) -> str:
    """Return one line for a value that goes up and down."""
    return (
        f"godwitflow_{name}{_format_labels(tuple(labels.items()))} {value:g}"
    )


def _format_labels(labels: Labels) -> str:
    if not labels:
        return ""
    pairs = ",".join(f'{key}="{_escape(value)}"' for key, value in labels)
    return "{" + pairs + "}"


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"')
