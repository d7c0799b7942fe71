"""What a leader logs and counts of its scheduler's decisions."""

from .decisions import LogEvent
from .failureways import FAILURE_EVENTS
from .failureways import failure_counter
from .nodelog import NodeLog
from .nodemetrics import NodeMetrics

__all__ = ["log_decision"]


def log_decision(
    decision: LogEvent, epoch: int, log: NodeLog, metrics: NodeMetrics
) -> None:
    """Log a decision. One that fails a job is also counted by its way, and its line has
    the epoch: several leaders may have failed the same job, of which one was heard."""
    inputs = decision.inputs
    if decision.event in FAILURE_EVENTS:
        metrics.count(failure_counter(inputs["by"]))
        inputs = {**inputs, "epoch": epoch}
    log.event(decision.event, subject=decision.subject, **inputs)
