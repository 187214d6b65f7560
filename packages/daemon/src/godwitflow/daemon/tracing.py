"""Traces: a span for each hop, carried on as a W3C traceparent."""

import dataclasses
import pathlib
import random
import typing

from opentelemetry.exporter.otlp.proto.http import trace_exporter
from opentelemetry.sdk import resources
from opentelemetry.sdk import trace as sdk_trace
from opentelemetry.sdk.trace import export
from opentelemetry import trace
from opentelemetry.trace.propagation import tracecontext

from godwitflow.daemon import clock

NS_PER_MS = 1_000_000

_propagator = tracecontext.TraceContextTextMapPropagator()


@dataclasses.dataclass
class Span:
    """A span under way, with the traceparent that its children carry."""

    span: trace.Span
    traceparent: str

    def end(self, **attributes: str | int | float | bool) -> None:
        """End the span with attributes."""
        self.span.set_attributes(attributes)
        self.span.end()


class _FileExporter(export.SpanExporter):
    """Appends each span as a line of JSON to a file."""

    def __init__(self, path: pathlib.Path) -> None:
        self.path = path

    def export(
        self, spans: typing.Sequence[sdk_trace.ReadableSpan]
    ) -> export.SpanExportResult:
        lines = [span.to_json(indent=None) + "\n" for span in spans]
        with self.path.open("a", encoding="utf-8") as stream:
            stream.writelines(lines)
        return export.SpanExportResult.SUCCESS


class Tracing:
    """Starts spans for the share of queries that is traced.

    A caller's own traceparent that says "sampled" is always followed.
    """

    def __init__(
        self,
        node: str,
        share: float,
        exporters: tuple[export.SpanProcessor, ...],
    ) -> None:
        self.share = share if exporters else 0.0
        self.enabled = bool(exporters)
        self.random = random.Random()
        resource = resources.Resource.create(
            {"service.name": "godwitflow", "service.instance.id": node}
        )
        self.provider = sdk_trace.TracerProvider(resource=resource)
        for exporter in exporters:
            self.provider.add_span_processor(exporter)
        self.tracer = self.provider.get_tracer("godwitflow")

    def start_query(self, name: str, traceparent: str) -> Span | None:
        """Start the span of a query; None where it is not traced."""
        if not self.enabled:
            return None
        asked = traceparent.endswith("-01")
        if not asked and self.random.random() >= self.share:
            return None
        return self.start(name, traceparent if asked else "")

    def start(self, name: str, traceparent: str, ago_ms: float = 0.0) -> Span:
        """Start a span that began some milliseconds ago."""
        context = None
        if traceparent:
            context = _propagator.extract({"traceparent": traceparent})
        start_ns = int((clock.unix_ms() - ago_ms) * NS_PER_MS)
        span = self.tracer.start_span(
            name, context=context, start_time=start_ns
        )
        carrier: dict[str, str] = {}
        _propagator.inject(carrier, trace.set_span_in_context(span))
        return Span(span, carrier.get("traceparent", ""))

    def close(self) -> None:
        """Export what is left."""
        self.provider.shutdown()


def exporters(file: str, otlp_url: str) -> tuple[export.SpanProcessor, ...]:
    """Return the exporters that the settings ask for."""
    found: list[export.SpanProcessor] = []
    if file:
        exporter = _FileExporter(pathlib.Path(file))
        found.append(export.SimpleSpanProcessor(exporter))
    if otlp_url:
        otlp = trace_exporter.OTLPSpanExporter(endpoint=otlp_url)
        found.append(export.BatchSpanProcessor(otlp))
    return tuple(found)


def trace_id_of(traceparent: str) -> str:
    """Return the trace id within a traceparent, or an empty string."""
    parts = traceparent.split("-")
    return parts[1] if len(parts) == 4 else ""
