"""Ways in which a job comes to be failed, as logs and metrics name them.

A job may be failed though none of its runs ended ``failed``. Each log event that fails a
job has the way in its input ``by``, and each way has a counter of its own, so that an
alert can be set on those that need no failed run."""

import enum
import typing as t

__all__ = ["FAILURE_EVENTS", "FailureWay", "failure_counter"]

# Log events that fail a job.
FAILURE_EVENTS: t.Final = frozenset({"job_failed", "job_set_aside"})


class FailureWay(enum.StrEnum):
    """A way in which a job comes to be failed."""

    # Runs of one task ended ``failed``, as many as its queue allows.
    ATTEMPTS = "attempts"
    # A task is taken to crash the boxes that start it.
    CRASHED_BOXES = "crashed_boxes"
    # Leaders failed by an unexpected error while they decided about the job.
    LEADER_FAILURES = "leader_failures"
    # The store refuses a record of the job.
    REFUSED_RECORD = "refused_record"


def failure_counter(way: str) -> str:
    """Return the label under which the jobs that are failed in this way are counted."""
    return f"job_failed_by_{way}"
