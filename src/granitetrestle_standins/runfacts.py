"""What boxes and clients saw of a run, as plain data: the one source for judging it.
Nothing here comes from the program that is judged. Times are in seconds on one steady
clock, that of the platform in small."""

import enum
import json
import pathlib
import typing as t

__all__ = [
    "BoxFacts",
    "ClientFact",
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


class RunFact(t.NamedTuple):
    """One run of a task on a box.

    :param box: the box's life.
    :param how: how it ended; empty while it goes on.
    :param epoch: of the order to start it; orders without one have 0.
    :param arrived: when that order came to the box.
    :param held_up: whether the box carried that order out late, unanswered.
    :param noted: when a look first confirmed its end.
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
    """The lease of all that ran on a box was over."""

    box: str
    at: float


class RefusedStart(t.NamedTuple):
    """A start that a box refused because a higher epoch had given orders there.

    :param acceptable: whether it would have been taken but for its epoch: that run is not
        there and isn't older than another, its lease is not over, and there is room.
    """

    box: str
    at: float
    task: str
    run: int
    epoch: int
    highest: int
    acceptable: bool


class EpochChange(t.NamedTuple):
    """A box carried out an order of another epoch than that of the order before."""

    box: str
    at: float
    epoch: int


class BoxFacts(t.NamedTuple):
    """What one life of a box saw."""

    runs: list[RunFact]
    lapses: list[Lapse]
    refused: list[RefusedStart]
    epochs: list[EpochChange]


class ClientEvent(enum.Enum):
    """What passed between a client and the program about a job."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    COMPLETED = "completed"
    FAILED = "failed"
    # Sent by a client, whatever became of it.
    CANCEL_SENT = "cancel sent"
    CANCELLED = "cancelled"
    # No such job.
    GONE = "gone"
    # Asked for once all was well, for as long as a client waits.
    UNANSWERED = "unanswered"


class ClientFact(t.NamedTuple):
    """What a client was told of a job, or asked."""

    job: str
    at: float
    told: ClientEvent


class Probe(t.NamedTuple):
    """A call that only a process that decides can answer.

    :param answered: ``None`` if no good answer came.
    """

    sent: float
    answered: float | None


class Facts(t.NamedTuple):
    """All that was seen of a run.

    :param last_fault: when the last disturbance was over; ``None`` if that is not judged.
    :param keep_s: how long an ended job has to be known.
    :param lasting: steps (ID.K.STEP) whose tasks run until their job is cancelled.
    :param speculative: steps of which copies may run at the same time.
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


def job_of(task: str) -> str:
    """Return the job of a task, ID.K.STEP.INDEX."""
    return task.partition(".")[0]


def step_of(task: str) -> str:
    """Return the step of a task, ID.K.STEP."""
    return task.rpartition(".")[0]


def save_facts(facts: Facts, path: pathlib.Path) -> None:
    """Write facts down, so that a run can be judged again."""
    clients = [(fact.job, fact.at, fact.told.value) for fact in facts.clients]
    plain = {
        **facts._asdict(),
        "clients": clients,
        "lasting": sorted(facts.lasting),
        "speculative": sorted(facts.speculative),
    }
    path.write_text(json.dumps(plain))


def load_facts(path: pathlib.Path) -> Facts:
    """Read what :func:`save_facts` wrote."""
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
    )
