"""Counters and latency histograms of one process, for its metrics address."""

import typing as t

import prometheus_client

__all__ = ["NodeMetrics"]

# Bounds in seconds, from a call in the same hall to a client's whole patience.
LATENCY_BUCKETS_S: t.Final = (
    0.005,
    0.01,
    0.02,
    0.04,
    0.08,
    0.15,
    0.3,
    0.6,
    1.2,
    2.5,
    5.0,
)


class NodeMetrics:
    """Counts by name; renders the usual text format."""

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._events = prometheus_client.Counter(
            "granitetrestle_events",
            "Decisions and changed beliefs",
            ["event"],
            registry=self._registry,
        )
        self._answers = prometheus_client.Counter(
            "granitetrestle_answers",
            "Answers to clients",
            ["kind", "status"],
            registry=self._registry,
        )
        self._latency = prometheus_client.Histogram(
            "granitetrestle_latency_seconds",
            "Durations by what was done",
            ["what"],
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._gauges = prometheus_client.Gauge(
            "granitetrestle_state",
            "What the process believes now",
            ["what"],
            registry=self._registry,
        )
        self.polls = 0

    def count(self, event: str, number: int = 1) -> None:
        """Count decisions of a kind."""
        self._events.labels(event).inc(number)

    def record_answer(self, kind: str, status: int, seconds: float) -> None:
        """Count an answer to a client."""
        self._answers.labels(kind, str(status)).inc()
        self.observe(f"answer_{kind}", seconds)

    def observe(self, name: str, seconds: float) -> None:
        """Record a duration."""
        self._latency.labels(name).observe(seconds)

    def render(self, state: t.Mapping[str, float]) -> bytes:
        """Return all figures as text, with what the process believes now."""
        for name, value in state.items():
            self._gauges.labels(name).set(value)
        return prometheus_client.generate_latest(self._registry)
