"""What a client account asks about jobs of steps, and what it is told. An adapter
makes these from its own protocol and turns the outcomes back into it."""

import typing as t

from .workflows import Submission
from .workflows import WorkflowState

__all__ = [
    "CancelJob",
    "Cancelled",
    "CountWaiting",
    "GetState",
    "JobAccepted",
    "JobCall",
    "JobOutcome",
    "JobState",
    "NoSuchJob",
    "SubmitJob",
    "WaitingCount",
]


class SubmitJob(t.NamedTuple):
    """Take a job; the same id again is the same job."""

    submission: Submission


class CancelJob(t.NamedTuple):
    """Start nothing more of a job, and stop what runs."""

    job: str


class GetState(t.NamedTuple):
    """How far is a job?"""

    job: str


class CountWaiting(t.NamedTuple):
    """How many jobs of a queue have not begun?"""

    queue: str


JobCall: t.TypeAlias = SubmitJob | CancelJob | GetState | CountWaiting


class JobAccepted(t.NamedTuple):
    """The job is kept."""


class Cancelled(t.NamedTuple):
    """The cancelling is kept."""


class JobState(t.NamedTuple):
    """The job's state."""

    state: WorkflowState


class WaitingCount(t.NamedTuple):
    """Jobs of the queue that have not begun."""

    jobs: int


class NoSuchJob(t.NamedTuple):
    """No job of that id is known."""


JobOutcome: t.TypeAlias = JobAccepted | Cancelled | JobState | WaitingCount | NoSuchJob
