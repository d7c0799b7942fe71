"""Calls of client accounts about jobs of steps, and their outcomes. An adapter decodes
the calls from its own protocol and encodes the outcomes in it."""

import typing as t

import anyio

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
    "JobRefused",
    "JobState",
    "NoSuchJob",
    "PendingCall",
    "SubmitJob",
    "WaitingCount",
]


class SubmitJob(t.NamedTuple):
    """Accept a job; a repeated id stands for the same job."""

    submission: Submission


class CancelJob(t.NamedTuple):
    """Start no further task of a job, and stop the running ones."""

    job: str


class GetState(t.NamedTuple):
    """Return the state of a job."""

    job: str


class CountWaiting(t.NamedTuple):
    """Return the number of jobs of a queue that have not begun."""

    queue: str


JobCall: t.TypeAlias = SubmitJob | CancelJob | GetState | CountWaiting


class JobAccepted(t.NamedTuple):
    """The job is stored."""


class Cancelled(t.NamedTuple):
    """The cancellation is stored."""


class JobState(t.NamedTuple):
    """The state of the job."""

    state: WorkflowState


class WaitingCount(t.NamedTuple):
    """The number of jobs of the queue that have not begun."""

    jobs: int


class NoSuchJob(t.NamedTuple):
    """No job of that id is known."""


class JobRefused(t.NamedTuple):
    """The job is not taken and never runs.

    :param reason: short text for logs.
    """

    reason: str


JobOutcome: t.TypeAlias = (
    JobAccepted | JobRefused | Cancelled | JobState | WaitingCount | NoSuchJob
)


class PendingCall:
    """A request that waits for the outcome of its call.

    :param job: the job that it submits, if it does.
    """

    __slots__ = ("changed", "job", "outcome")

    def __init__(self, job: str = "") -> None:
        self.job = job
        self.changed = anyio.Event()
        self.outcome: JobOutcome | None = None
