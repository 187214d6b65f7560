"""Tracing: a span for each hop, linked by the W3C ``traceparent``."""

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
    """An open span, with the traceparent that its children are given."""

    span: trace.Span
    traceparent: str

    def end(self, **attributes: str | int | float | bool) -> None:
        """Set attributes on the span and end it."""
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
    """Starts spans for a random share of the queries.

    A query whose caller sent a ``traceparent`` with the sampled flag is
    always traced, in the caller's trace.
    """

    def __init__(
        self,
        node: str,
        share: float,
        processors: tuple[export.SpanProcessor, ...],
    ) -> None:
        self.share = share if processors else 0.0
        self.enabled = bool(processors)
        self.random = random.Random()
        resource = resources.Resource.create(
            {"service.name": "godwitflow", "service.instance.id": node}
        )
        self.provider = sdk_trace.TracerProvider(resource=resource)
        for processor in processors:
            self.provider.add_span_processor(processor)
        self.tracer = self.provider.get_tracer("godwitflow")

    def start_query(self, name: str, traceparent: str) -> Span | None:
        """Start the span of a query; return None if it is not traced."""
        if not self.enabled:
            return None
        sampled = traceparent.endswith("-01")
        if not sampled and self.random.random() >= self.share:
            return None
        return self.start(name, traceparent if sampled else "")

    def start(self, name: str, traceparent: str, ago_ms: float = 0.0) -> Span:
        """Start a span that began ``ago_ms`` ago.

        ``traceparent`` names its parent; empty for a new trace.
        """
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
        """Export the remaining spans and shut the exporters down."""
        self.provider.shutdown()


def span_processors(
    file: str, otlp_url: str
) -> tuple[export.SpanProcessor, ...]:
    """Return a span processor for each exporter that is set.

    An empty file name or URL sets none.
    """
    processors: list[export.SpanProcessor] = []
    if file:
        exporter = _FileExporter(pathlib.Path(file))
        processors.append(export.SimpleSpanProcessor(exporter))
    if otlp_url:
        otlp = trace_exporter.OTLPSpanExporter(endpoint=otlp_url)
        processors.append(export.BatchSpanProcessor(otlp))
    return tuple(processors)


def trace_id_of(traceparent: str) -> str:
    """Return the trace id of a traceparent, or an empty string."""
    parts = traceparent.split("-")
    return parts[1] if len(parts) == 4 else ""
