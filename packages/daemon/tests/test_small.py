"""Tests of life cycle, logging, metrics and tracing."""

import io
import json
import unittest

import logbook

from godwitflow.daemon import lifecycle
from godwitflow.daemon import logs
from godwitflow.daemon import tracing
from godwitflow.tier import metrics


class LifecycleTest(unittest.TestCase):
    def test_states_from_start_to_stop(self):
        machine = lifecycle.new()
        states = [(machine.name(), machine.may_serve())]
        for step in ("catch_up", "leave", "catch_up", "drain", "stop"):
            getattr(machine, step)()
            states.append((machine.name(), machine.may_serve()))
        self.assertEqual(
            [
                ("starting", False),
                ("serving", True),
                ("leaving", True),
                ("leaving", True),
                ("draining", False),
                ("stopped", False),
            ],
            states,
        )

    def test_outdated_state_returns_node_to_starting(self):
        machine = lifecycle.new()
        machine.catch_up()
        machine.fall_behind()
        self.assertFalse(machine.may_serve())


class LogsTest(unittest.TestCase):
    def test_record_is_one_json_line_with_fields(self):
        stream = io.StringIO()
        with logs.handler(stream, "info").applicationbound():
            logs.logger("front").info("answered", trace_id="ab", rows=3)
            logs.logger("front").debug("not this")
        record = json.loads(stream.getvalue())
        self.assertEqual(
            ("front", "info", "answered", "ab", 3),
            tuple(
                record[name]
                for name in ("logger", "level", "event", "trace_id", "rows")
            ),
        )
        self.assertEqual(logbook.INFO, logbook.lookup_level("INFO"))


class MetricsTest(unittest.TestCase):
    def test_metrics_lines_have_labels_and_quantiles(self):
        registry = metrics.Metrics()
        registry.count("refusals", reason='a"b')
        registry.count("refusals", 2, reason='a"b')
        for value_ms in range(1, 101):
            registry.record_latency("s", "steward", "total", float(value_ms))
        text = "\n".join(registry.lines())
        self.assertIn('godwitflow_refusals_total{reason="a\\"b"} 3', text)
        self.assertIn('hop="total",quantile="0.5"} 50', text)
        self.assertIn("latency_ms_count", text)


class TracingTest(unittest.TestCase):
    def test_spans_continue_the_callers_trace(self):
        spans = []

        class ListExporter(tracing.export.SpanExporter):
            def export(self, batch):
                spans.extend(batch)

        processor = tracing.export.SimpleSpanProcessor(ListExporter())
        tracer = tracing.Tracing("vm1", 0.0, (processor,))
        parent = "00-" + "ab" * 16 + "-" + "cd" * 8 + "-01"
        span = tracer.start_query("front.query", parent)
        child = tracer.start("dispatcher.piece", span.traceparent)
        child.end(status="ok")
        span.end(result="answer")
        self.assertIsNone(tracer.start_query("front.query", ""))
        self.assertEqual("ab" * 16, tracing.trace_id_of(span.traceparent))
        traces = {item.context.trace_id for item in spans}
        self.assertEqual({int("ab" * 16, 16)}, traces)
        self.assertEqual(spans[1].context.span_id, spans[0].parent.span_id)
