"""Effects of the decider. Those marked gated are carried out only when everything
that was decided up to them is durable; the others at once."""

import typing as t

from .jobcalls import JobOutcome

__all__ = [
    "AnswerCall",
    "AskAdvice",
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
    """Tell a caller the outcome. Gated."""

    request: str
    outcome: JobOutcome


class StartTask(t.NamedTuple):
    """Order a run. Gated: a successor must know of every run that may exist."""

    incarnation: str
    task: str
    run: int
    spec: str
    checkpoint: str
    ticket: str
    best_effort: bool = False


class StopTask(t.NamedTuple):
    """Order the end of a run, or that it never begins. Gated."""

    incarnation: str
    task: str
    run: int


class AcknowledgeEnds(t.NamedTuple):
    """A box may forget ends up to ``number``. Gated."""

    incarnation: str
    number: int


class ResumeLeases(t.NamedTuple):
    """Leases of a box may be renewed again. Gated: see :mod:`.leaserights`.

    :param change: number of this change.
    """

    incarnation: str
    change: int


class PaceTask(t.NamedTuple):
    """Let a run work at a share of its speed."""

    incarnation: str
    task: str
    run: int
    percent: int


class AskAdvice(t.NamedTuple):
    """Ask which boxes may run a step of a job."""

    job: str
    occurrence: int
    step: int
    incarnations: tuple[str, ...]


class StartPolling(t.NamedTuple):
    """Begin to look at a box."""

    incarnation: str
    address: str


class StopPolling(t.NamedTuple):
    """Look at a box no more."""

    incarnation: str


class WithdrawStarts(t.NamedTuple):
    """Starts on these boxes that have not been sent are not wanted any more."""

    incarnations: frozenset[str]


class StepDown(t.NamedTuple):
    """A newer epoch was met: this process decides no more."""

    where: str


class LogEvent(t.NamedTuple):
    """A decision or a changed belief, for the log.

    :param subject: the job, task or box concerned.
    :param inputs: what decided it, with its age or version.
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
    | PaceTask
    | AskAdvice
    | StartPolling
    | StopPolling
    | WithdrawStarts
    | StepDown
    | LogEvent
)

GATED: t.Final = (AnswerCall, StartTask, StopTask, AcknowledgeEnds, ResumeLeases)
