"""Failures of leaders that repeat: an unexpected error while a leader decides ends its
leadership, and its successor meets the same job in the same state.

So a leader that fails writes which jobs the failing decision was about. That alone
proves nothing against them: the error may come from elsewhere, and a decision may be
about several jobs. A job at which several leaders have failed is held back by the next
one, which leaves it as it is and serves all others. If that leader does not fail, others
serve the jobs that were held back again, one more each. A job is set aside, ended as
failed without a decision about it, if a leader fails at it that differs from one that did
not fail only in serving it."""

import collections
import traceback
import types
import typing as t

import msgspec

from .fieldtypes import Epoch
from .jobrestore import JobsApart
from .shardstate import WaitingStep
from .workflows import Submission
from .workflows import Task
from .workflows import Workflow

__all__ = [
    "LeaderFailure",
    "describe_failure",
    "format_trace",
    "jobs_apart",
]

# Leaders that must have failed at a job before it is held back.
FAILURES_BEFORE_HELD_BACK: t.Final = 2
# A failure whose innermost frame knows more jobs says nothing about any of them.
MAX_JOBS: t.Final = 4
# Limit of the jobs that one leader treats apart: with more, the cause is not in the jobs.
MAX_APART: t.Final = 16
MAX_REASON_CHARACTERS: t.Final = 300
# The end of a trace is what tells where the error was raised.
MAX_TRACE_CHARACTERS: t.Final = 4_000


class LeaderFailure(msgspec.Struct, frozen=True, array_like=True):
    """The failure of the leader of one epoch, or that it did not fail.

    :param jobs: what the failing decision was about; empty if that is not known.
    :param reason: the error and where it was raised.
    :param held_back: the jobs that the leader held back.
    :param calm: whether it led for a while without a failure.
    """

    epoch: Epoch
    jobs: tuple[str, ...] = ()
    reason: str = ""
    held_back: tuple[str, ...] = ()
    calm: bool = False


def describe_failure(
    epoch: int, error: BaseException, held_back: tuple[str, ...] = ()
) -> LeaderFailure:
    """Return the description of an error that ended a leadership."""
    cause = _first_cause(error)
    frames = list(traceback.walk_tb(cause.__traceback__))
    where = ""
    if frames:
        frame, line = frames[-1]
        where = f" in {frame.f_code.co_name}, line {line}"
    reason = f"{cause!r}{where}"[:MAX_REASON_CHARACTERS]
    for frame, _ in reversed(frames):
        jobs = _jobs_in(frame)
        if jobs:
            jobs = jobs if len(jobs) <= MAX_JOBS else ()
            return LeaderFailure(epoch, jobs, reason, held_back)
    return LeaderFailure(epoch, (), reason, held_back)


def format_trace(error: BaseException) -> str:
    """Return the trace of an error for the log."""
    lines = traceback.format_exception(_first_cause(error))
    return "".join(lines)[-MAX_TRACE_CHARACTERS:]


def jobs_apart(failures: t.Iterable[LeaderFailure]) -> JobsApart:
    """Return the jobs that the next leader does not decide about."""
    failed_at: dict[str, set[int]] = collections.defaultdict(set)
    # Jobs without which a leader did not fail, and that are to be served again.
    excluded: list[str] = []
    proven: list[str] = []
    for failure in sorted(failures, key=lambda failure: failure.epoch):
        served = [job for job in excluded if job not in failure.held_back]
        if failure.calm:
            for job in served:
                failed_at.pop(job, None)
            excluded = list(failure.held_back)
            continue
        for job in failure.jobs:
            failed_at[job].add(failure.epoch)
        if len(served) == 1:
            excluded.remove(served[0])
            # Another job is served next if the failure is not about this one.
            (proven if served[0] in failure.jobs else excluded).append(served[0])
    suspects = [
        job
        for job, epochs in failed_at.items()
        if len(epochs) >= FAILURES_BEFORE_HELD_BACK
        and job not in excluded
        and job not in proven
    ]
    if len(proven) + len(suspects) + len(excluded) > MAX_APART:
        return JobsApart()
    held_back = [*excluded, *suspects] if suspects else excluded[1:]
    epochs_of = {job: tuple(sorted(failed_at[job])) for job in proven}
    return JobsApart(tuple(proven), tuple(held_back), epochs_of)


def _first_cause(error: BaseException) -> BaseException:
    """Return the first error of a group; the others are of tasks that were cancelled."""
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def _jobs_in(frame: types.FrameType) -> tuple[str, ...]:
    """Return the jobs that the local variables of a frame are about."""
    jobs: dict[str, None] = {}
    for name, value in frame.f_locals.items():
        if isinstance(value, Task | WaitingStep):
            jobs[value.workflow.submission.job] = None
        elif isinstance(value, Workflow):
            jobs[value.submission.job] = None
        elif isinstance(value, Submission):
            jobs[value.job] = None
        elif name == "job" and isinstance(value, str):
            jobs[value] = None
    return tuple(jobs)
