"""Counters and latency quantiles in the Prometheus text format."""

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
    """A histogram of latencies in microseconds.

    Values are collected in a list until there are many or the histogram
    is read. The histogram library is loaded only then, as loading it at
    import would delay every start of a node.
    """

    def __init__(self) -> None:
        self._pending: list[int] = []
        self._histogram: typing.Any = None

    def record(self, value_us: int) -> None:
        """Add a value, clamped to the range of the histogram."""
        self._pending.append(
            min(max(value_us, MIN_LATENCY_US), MAX_LATENCY_US)
        )
        if len(self._pending) >= MAX_PENDING_VALUES:
            self.histogram()

    def histogram(self) -> typing.Any:
        """Return the HDR histogram of all values recorded so far."""
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
    """The counters and latency histograms of one process."""

    def __init__(self) -> None:
        self._counters: dict[tuple[str, Labels], float] = (
            collections.defaultdict(float)
        )
        self._latencies: dict[tuple[str, str, str], LatencyHistogram] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add an amount to the counter of a name and labels."""
        self._counters[(name, tuple(sorted(labels.items())))] += amount

    def value(self, name: str, **labels: str) -> float:
        """Return the value of a counter; 0 if it was never incremented."""
        return self._counters[(name, tuple(sorted(labels.items())))]

    def record_latency(
        self, service: str, priority: str, hop: str, elapsed_ms: float
    ) -> None:
        """Record the latency of one hop of a query, in milliseconds."""
        key = (service, priority, hop)
        latencies = self._latencies.get(key)
        if latencies is None:
            latencies = LatencyHistogram()
            self._latencies[key] = latencies
        latencies.record(int(elapsed_ms * US_PER_MS))

    def lines(self) -> list[str]:
        """Return all counters and quantiles, one line of text each."""
        lines = []
        for (name, labels), amount in sorted(self._counters.items()):
            lines.append(
                f"godwitflow_{name}_total{_label_text(labels)} {amount:g}"
            )
        for key, latencies in sorted(self._latencies.items()):
            lines += self._latency_lines(key, latencies.histogram())
        return lines

    def _latency_lines(
        self, key: tuple[str, str, str], histogram: typing.Any
    ) -> list[str]:
        service, priority, hop = key
        labels = (("service", service), ("priority", priority), ("hop", hop))
        lines = []
        for quantile in QUANTILES:
            value_ms = histogram.get_value_at_percentile(quantile) / US_PER_MS
            all_labels = (*labels, ("quantile", f"{quantile / 100.0:g}"))
            lines.append(
                f"godwitflow_latency_ms{_label_text(all_labels)} {value_ms:g}"
            )
        count = histogram.total_count
        lines.append(
            f"godwitflow_latency_ms_count{_label_text(labels)} {count}"
        )
        return lines


def gauge_line(name: str, value: float, **labels: str) -> str:
    """Return the line of text for one value of a gauge."""
    return f"godwitflow_{name}{_label_text(tuple(labels.items()))} {value:g}"


def _label_text(labels: Labels) -> str:
    if not labels:
        return ""
    pairs = ",".join(f'{key}="{_escape(value)}"' for key, value in labels)
    return "{" + pairs + "}"


def _escape(value: str) -> str:
    return value.replace("\\", "\\\\").replace('"', '\\"')
