"""Tests of counters and latency quantiles."""

import unittest

from godwitflow.tier import metrics


class MetricsTest(unittest.TestCase):
    def test_quantiles_include_pending_and_merged_values(self):
        registry = metrics.Metrics()
        count = metrics.MAX_PENDING_VALUES + 100
        for number in range(count):
            registry.record_latency("route", "1", "query", 10.0 + number % 10)
        text = "\n".join(registry.lines())
        self.assertIn(f'hop="query"}} {count}', text)
        labels = 'service="route",priority="1",hop="query",quantile="0.5"'
        (line,) = [row for row in text.splitlines() if labels in row]
        self.assertAlmostEqual(14.0, float(line.split()[-1]), delta=1.0)

    def test_out_of_range_values_are_clamped(self):
        registry = metrics.Metrics()
        for elapsed_ms in (-5.0, 0.0, 1e12):
            registry.record_latency("route", "1", "query", elapsed_ms)
        self.assertIn("} 3", registry.lines()[-1])
