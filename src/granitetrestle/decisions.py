"""Decisions of the scheduler, which the leader carries out. Gated ones are carried out
only once everything that was decided up to them is durable, the others at once."""

import typing as t

from .jobcalls import JobOutcome

__all__ = [
    "AnswerCall",
    "AskAdvice",
    "ConfirmPanel",
    "Decision",
    "AcknowledgeEnds",
    "ResumeLeases",
    "StopPolling",
    "LogEvent",
    "PaceTask",
    "StartTask",
    "StepDown",
    "StopTask",
    "StartPolling",
    "WithdrawStarts",
]


class AnswerCall(t.NamedTuple):
    """Return the outcome of a call to its caller. Gated."""

    request: str
    outcome: JobOutcome


class StartTask(t.NamedTuple):
    """Start a run. Gated: a successor must know of every run that may exist."""

    incarnation: str
    task: str
    run: int
    spec: str
    checkpoint: str
    ticket: str
    best_effort: bool = False


class StopTask(t.NamedTuple):
    """Stop a run, or prevent its start. Gated."""

    incarnation: str
    task: str
    run: int


class AcknowledgeEnds(t.NamedTuple):
    """Acknowledge the ends that a box lists up to ``number``, which it may then drop.
    Gated: a successor could not learn of an end that the box has dropped."""

    incarnation: str
    number: int


class ResumeLeases(t.NamedTuple):
    """Renew the leases of a box again. Gated: see :mod:`.withdrawnleases`.

    :param change: sequence number of this change.
    """

    incarnation: str
    change: int


class ConfirmPanel(t.NamedTuple):
    """Follow a new panel of witnesses alone. Gated: see :mod:`.witnesses`."""

    version: int


class PaceTask(t.NamedTuple):
    """Set the pace of a run.

    :param percent: share of its full speed that the run may use.
    """

    incarnation: str
    task: str
    run: int
    percent: int


class AskAdvice(t.NamedTuple):
    """Ask the advisor which boxes may run a step of a job.

    :param timeout_s: seconds after which the call is given up.
    """

    job: str
    occurrence: int
    step: int
    incarnations: tuple[str, ...]
    timeout_s: float


class StartPolling(t.NamedTuple):
    """Start to poll a box."""

    incarnation: str
    address: str


class StopPolling(t.NamedTuple):
    """Stop polling a box."""

    incarnation: str


class WithdrawStarts(t.NamedTuple):
    """Withdraw all starts on these boxes that have not been sent."""

    incarnations: frozenset[str]


class StepDown(t.NamedTuple):
    """Give up leadership: a command was rejected because a newer epoch exists.

    :param where: incarnation of the box that rejected it.
    """

    where: str


class LogEvent(t.NamedTuple):
    """A decision or a change of the scheduler's state, for the log.

    :param subject: the job, task or box concerned.
    :param inputs: what it was based on, with its age or version.
    """

    event: str
    subject: str
    inputs: t.Mapping[str, t.Any]


Decision: t.TypeAlias = (
    AnswerCall
    | StartTask
    | StopTask
    | AcknowledgeEnds
    | ResumeLeases
    | ConfirmPanel
    | PaceTask
    | AskAdvice
    | StartPolling
    | StopPolling
    | WithdrawStarts
    | StepDown
    | LogEvent
)

GATED: t.Final = (
    AnswerCall,
    StartTask,
    StopTask,
    AcknowledgeEnds,
    ResumeLeases,
    ConfirmPanel,
)
