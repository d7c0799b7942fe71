"""What boxes and clients observed during a run: the only input for judging it.
Nothing here comes from the program under test. Times are in seconds on one monotonic
clock, that of the model platform."""

import enum
import json
import pathlib
import typing as t

__all__ = [
    "BoxFacts",
    "BoxLoss",
    "ClientFact",
    "CulpritCrash",
    "Disorder",
    "EpochChange",
    "Facts",
    "Lapse",
    "Probe",
    "RefusedStart",
    "RunFact",
    "ClientEvent",
    "job_of",
    "load_facts",
    "save_facts",
    "step_of",
]

DONE: t.Final = "done"
FAILED: t.Final = "failed"


class RunFact(t.NamedTuple):
    """One run of a task on a box.

    :param box: the box's incarnation.
    :param how: how it ended; empty while it runs.
    :param epoch: of the start command; 0 for commands without an epoch.
    :param arrived: when the box received that command.
    :param held_up: whether the box executed that command late, without answering it.
    :param noted: when a poll first acknowledged its end.
    """

    box: str
    hall: str
    task: str
    run: int
    epoch: int
    arrived: float
    held_up: bool
    began: float
    ended: float | None = None
    how: str = ""
    noted: float | None = None


class Lapse(t.NamedTuple):
    """The lease of everything that ran on a box expired."""

    box: str
    at: float


class RefusedStart(t.NamedTuple):
    """A start that a box refused because it had seen a command of a higher epoch.

    :param highest: the highest epoch that the box had seen.
    :param acceptable: whether the box would have accepted it but for its epoch: the run
        is not on the box and not older than another run of the task, its lease has not
        expired, and the box has enough free resources.
    """

    box: str
    at: float
    task: str
    run: int
    epoch: int
    highest: int
    acceptable: bool


class EpochChange(t.NamedTuple):
    """A box executed a command of another epoch than that of the command before it."""

    box: str
    at: float
    epoch: int


class CulpritCrash(t.NamedTuple):
    """A task crashed the box that it ran on."""

    box: str
    at: float
    task: str


class BoxLoss(t.NamedTuple):
    """A box left for good.

    :param unlisted: when its list entry was removed, if the box served on without it;
        otherwise equal to ``at``. A leader that takes over from then on can't reach it.
    """

    box: str
    at: float
    unlisted: float


class Disorder(t.NamedTuple):
    """A time in which the leader may have changed without an orderly hand-over, or the
    store was not well."""

    since: float
    until: float


class BoxFacts(t.NamedTuple):
    """What one incarnation of a box recorded."""

    runs: list[RunFact]
    lapses: list[Lapse]
    refused: list[RefusedStart]
    epochs: list[EpochChange]
    culprits: list[CulpritCrash]


class ClientEvent(enum.Enum):
    """What a client sent to the program, or received from it, about a job."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    COMPLETED = "completed"
    FAILED = "failed"
    # The client sent a cancellation, whether or not it was answered.
    CANCEL_SENT = "cancel sent"
    CANCELLED = "cancelled"
    # The program answered that it knows no such job.
    GONE = "gone"
    # No answer within a client's waiting time, after all faults had ended.
    UNANSWERED = "unanswered"


class ClientFact(t.NamedTuple):
    """One event between a client and the program about a job."""

    job: str
    at: float
    told: ClientEvent


class Probe(t.NamedTuple):
    """A call that only the leader can answer.

    :param answered: when it was answered; ``None`` without a valid answer.
    """

    sent: float
    answered: float | None


class Facts(t.NamedTuple):
    """Everything that was observed of a run.

    :param last_fault: when the last disturbance ended; ``None`` skips the check that
        there is a leader soon afterwards.
    :param keep_s: how long the program must still know a job that has ended.
    :param lasting: long-running steps (ID.K.STEP): their tasks run until their job is
        cancelled.
    :param speculative: steps with speculative copies, which may run at the same time.
    :param losses: boxes that left for good while there was room elsewhere.
    :param culprits: crashes of boxes by tasks.
    :param max_attempts: how many runs of a task must end as failed for its job to fail.
    :param observed_until: until when boxes and clients were observed without
        disturbances; ``None`` skips the check that long-running tasks run again.
    """

    runs: t.Sequence[RunFact] = ()
    lapses: t.Sequence[Lapse] = ()
    refused: t.Sequence[RefusedStart] = ()
    epochs: t.Sequence[EpochChange] = ()
    clients: t.Sequence[ClientFact] = ()
    probes: t.Sequence[Probe] = ()
    last_fault: float | None = None
    keep_s: float = 120.0
    lasting: frozenset[str] = frozenset()
    speculative: frozenset[str] = frozenset()
    losses: t.Sequence[BoxLoss] = ()
    disorders: t.Sequence[Disorder] = ()
    culprits: t.Sequence[CulpritCrash] = ()
    max_attempts: int = 3
    observed_until: float | None = None


def job_of(task: str) -> str:
    """Return the job of a task, ID.K.STEP.INDEX."""
    return task.partition(".")[0]


def step_of(task: str) -> str:
    """Return the step of a task, ID.K.STEP."""
    return task.rpartition(".")[0]


def save_facts(facts: Facts, path: pathlib.Path) -> None:
    """Write facts to a file as JSON, so that the run can be judged again."""
    clients = [(fact.job, fact.at, fact.told.value) for fact in facts.clients]
    plain = {
        **facts._asdict(),
        "clients": clients,
        "lasting": sorted(facts.lasting),
        "speculative": sorted(facts.speculative),
    }
    path.write_text(json.dumps(plain))


def load_facts(path: pathlib.Path) -> Facts:
    """Read facts that :func:`save_facts` wrote."""
    plain = json.loads(path.read_text())
    clients = [
        ClientFact(job, at, ClientEvent(told)) for job, at, told in plain["clients"]
    ]
    return Facts(
        runs=[RunFact(*row) for row in plain["runs"]],
        lapses=[Lapse(*row) for row in plain["lapses"]],
        refused=[RefusedStart(*row) for row in plain["refused"]],
        epochs=[EpochChange(*row) for row in plain["epochs"]],
        clients=clients,
        probes=[Probe(*row) for row in plain["probes"]],
        last_fault=plain["last_fault"],
        keep_s=plain["keep_s"],
        lasting=frozenset(plain["lasting"]),
        speculative=frozenset(plain["speculative"]),
        losses=[BoxLoss(*row) for row in plain.get("losses", ())],
        disorders=[Disorder(*row) for row in plain.get("disorders", ())],
        culprits=[CulpritCrash(*row) for row in plain.get("culprits", ())],
        max_attempts=plain.get("max_attempts", Facts().max_attempts),
        observed_until=plain.get("observed_until"),
    )
