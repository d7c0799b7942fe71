"""Telemetry of a process: JSON log lines, statsd metrics and trace spans. Delivery
is not guaranteed, and telemetry must neither slow nor fail a request."""

import logging
import pathlib
import sys
import typing as t

import statsd
import structlog
from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor
from opentelemetry.sdk.trace.export import SpanExporter
from opentelemetry.sdk.trace.export import SpanExportResult
from opentelemetry.sdk.trace.sampling import ParentBased
from opentelemetry.sdk.trace.sampling import TraceIdRatioBased
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from .settings import Settings

__all__ = ["Metrics", "Telemetry", "start_telemetry", "trace_id"]

PROPAGATOR: t.Final = TraceContextTextMapPropagator()
SPAN_EXPORT_INTERVAL_MS = 500


class _JsonLinesExporter(SpanExporter):
    """Writes each span as one JSON line."""

    def __init__(self, path: str) -> None:
        self._file: t.TextIO = sys.stderr
        if path:
            self._file = pathlib.Path(path).open(  # noqa: SIM115 (kept open)
                "a", encoding="utf-8"
            )

    def export(self, spans: t.Sequence[ReadableSpan]) -> SpanExportResult:
        """Write spans; called from the thread of the span processor."""
        for span in spans:
            self._file.write(span.to_json(indent=None) + "\n")
        self._file.flush()
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        """Flush spans that are still buffered."""
        self._file.flush()


class Metrics:
    """Sends metrics to statsd over UDP; does nothing if no address is set."""

    def __init__(self, settings: Settings) -> None:
        self._client: t.Any = None
        if settings.statsd is not None:
            self._client = statsd.StatsClient(
                settings.statsd.ip, settings.statsd.port, prefix="granitetrestle"
            )

    def count(self, name: str, value: int = 1) -> None:
        """Add to a counter."""
        if self._client is not None:
            self._client.incr(name, value)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(name, value)

    def timing(self, name: str, seconds: float) -> None:
        """Record a duration; sent in milliseconds, statsd's unit."""
        if self._client is not None:
            self._client.timing(name, seconds * 1000.0)


class Telemetry(t.NamedTuple):
    """Logger, metrics and tracer of one process."""

    log: structlog.typing.FilteringBoundLogger
    metrics: Metrics
    tracer: trace.Tracer
    provider: TracerProvider


def trace_id() -> str:
    """Return the id of the current trace as hex, or an empty string without one."""
    context = trace.get_current_span().get_span_context()
    return f"{context.trace_id:032x}" if context.is_valid else ""


def start_telemetry(settings: Settings) -> Telemetry:
    """Configure logging, metrics and tracing from the settings."""
    level = getattr(logging, settings.log_level.upper())
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.EventRenamer("event"),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    log = structlog.get_logger().bind(node=settings.node, hall=settings.hall)
    resource = Resource.create({"service.name": settings.node})
    sampler = ParentBased(TraceIdRatioBased(settings.trace_ratio))
    provider = TracerProvider(resource=resource, sampler=sampler)
    exporter = _JsonLinesExporter(settings.trace_file)
    provider.add_span_processor(
        BatchSpanProcessor(exporter, schedule_delay_millis=SPAN_EXPORT_INTERVAL_MS)
    )
    tracer = provider.get_tracer("granitetrestle")
    return Telemetry(log, Metrics(settings), tracer, provider)
