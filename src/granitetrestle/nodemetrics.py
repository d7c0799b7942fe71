"""Prometheus metrics of one process: counters, gauges and latency histograms."""

import typing as t

import prometheus_client

from .failureways import FailureWay
from .failureways import failure_counter

__all__ = ["NodeMetrics"]

# Upper bounds, from a call within a data hall to the longest time that clients wait.
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
    """Collects the metrics of one process and renders them in Prometheus' text format."""

    def __init__(self) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._events = prometheus_client.Counter(
            "granitetrestle_events",
            "Decisions and changed beliefs",
            ["event"],
            registry=self._registry,
        )
        for way in FailureWay:
            # An increase from a series that did not exist can't be alerted on.
            self._events.labels(failure_counter(way))
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
        """Count events of a kind."""
        self._events.labels(event).inc(number)

    def record_answer(self, kind: str, status: int, seconds: float) -> None:
        """Record an answer to a client.

        :param kind: method of the request.
        :param status: HTTP status of the answer.
        """
        self._answers.labels(kind, str(status)).inc()
        self.observe(f"answer_{kind}", seconds)

    def observe(self, name: str, seconds: float) -> None:
        """Record a duration in the latency histogram."""
        self._latency.labels(name).observe(seconds)

    def render(self, state: t.Mapping[str, float]) -> bytes:
        """Return all metrics as text.

        :param state: current value of each gauge, by name.
        """
        for name, value in state.items():
            self._gauges.labels(name).set(value)
        return prometheus_client.generate_latest(self._registry)
