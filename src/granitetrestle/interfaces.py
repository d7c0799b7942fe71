"""What the decider needs of the outside: a store that lasts, boxes that run tasks
under leases, a source of configuration. Each is an abstract base class; the
platform's implementation is in :mod:`.platform`, the tests' in the stand-ins.
Every outcome is a type of its own, so that no caller has to guess."""

import abc
import typing as t

__all__ = [
    "Advice",
    "AdviceUnavailable",
    "Advisor",
    "Appended",
    "BoxCalls",
    "BoxEntry",
    "BoxNoAnswer",
    "BoxReplaced",
    "Config",
    "EndedRun",
    "Fenced",
    "HallDirective",
    "PollResult",
    "PollOutcome",
    "NewestRecords",
    "NumberTaken",
    "NewestPage",
    "NewestUnavailable",
    "CommandAccepted",
    "CommandNotSent",
    "CommandOutcome",
    "CommandRejected",
    "Queue",
    "Record",
    "RecordsGone",
    "Records",
    "RunningTask",
    "Store",
    "StoreUnavailable",
    "TaskCommand",
    "Writer",
]


class Record(t.NamedTuple):
    """The newest value under a key; ``None`` drops the key."""

    key: str
    value: bytes | None


class Writer(t.NamedTuple):
    """Names one append of one epoch, so that the store can answer a repeat as it
    answered the first and refuse those of older epochs."""

    epoch: int
    sequence: int


class Appended(t.NamedTuple):
    """The records are kept."""

    end: int


class Fenced(t.NamedTuple):
    """A newer epoch writes here: the caller decides no more."""


class NumberTaken(t.NamedTuple):
    """The store expects another number of this epoch: somebody else has written in it.

    :param wanted: the number that it expects.
    """

    wanted: int


class StoreUnavailable(t.NamedTuple):
    """No use was made of the call, or its fate is unknown; it may be repeated.

    :param reason: a short word for logs.
    :param undone: the store said that it did nothing.
    """

    reason: str
    not_applied: bool = False


class NewestRecords(t.NamedTuple):
    """The newest record of each key, and the offset at which to read on."""

    records: tuple[Record, ...]
    end: int


class NewestPage(t.NamedTuple):
    """Some of the newest records; the next page follows the last key of this one.

    :param end: the offset after the last record of all when this page was made.
    """

    records: tuple[Record, ...]
    end: int
    more: bool


class NewestUnavailable(t.NamedTuple):
    """The newest records could not all be read.

    :param pages: how many pages came, with so many records.
    """

    reason: str
    pages: int
    records: int


class Records(t.NamedTuple):
    """Records in order, and the offset at which to read on."""

    records: tuple[Record, ...]
    end: int


class RecordsGone(t.NamedTuple):
    """The records asked for were dropped; start over from the newest."""


class Store(abc.ABC):
    """A log with topics, of which the newest record under each key lasts."""

    @abc.abstractmethod
    async def append(
        self,
        topic: str,
        records: t.Sequence[Record],
        writer: Writer | None,
        timeout_s: float,
    ) -> Appended | Fenced | NumberTaken | StoreUnavailable:
        """Append all records or none.

        :param writer: fences older epochs; ``None`` for an unfenced topic. An append
            that repeats another's number is answered as that one was, and keeps nothing.
        """

    @abc.abstractmethod
    async def newest_page(
        self, topic: str, after: str | None, timeout_s: float
    ) -> NewestPage | StoreUnavailable:
        """Return some of the newest records, one for each key. The pages of a topic are
        no snapshot; :mod:`.newestread` reads them all.

        :param after: last key of the page before; ``None`` for the first page.
        """

    @abc.abstractmethod
    async def read(
        self, topic: str, start: int, wait_s: float
    ) -> Records | RecordsGone | StoreUnavailable:
        """Return the records from ``start`` on, waiting for one if there is none."""


class BoxEntry(t.NamedTuple):
    """One life of a box, as it describes itself.

    :param life: its name, which differs after each restart; see :mod:`.incarnations`.
    :param hall: its data hall.
    :param rack: empty if unknown.
    :param cpu: thousandths of a core.
    :param leaving_in_s: least time left when draining, else ``None``.
    :param cold: whether it is slow still, as after a start.
    :param box_id: the id that it is reached by; a restart may keep it.
    """

    incarnation: str
    address: str
    service: str
    hall: str
    rack: str
    labels: frozenset[str]
    cpu: int
    memory_mb: int
    gpu: int
    draining: bool
    leaving_in_s: float | None
    box: str = ""
    cold: bool = False
    box_id: str = ""


class Queue(t.NamedTuple):
    """A queue for jobs, as configured. Durations are in milliseconds.

    :param priority: 0 goes first.
    :param stretch: the latency objective is this times the job's longest chain of
        work, plus ``target_ms``.
    :param max_attempts: failed runs of a task before its job fails.
    :param advised: a service must name the boxes that may run a step.
    :param advice_valid_ms: how long such an answer holds.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    max_attempts: int
    objective_factor: float
    target_ms: float
    advised: bool = False
    advice_valid_ms: float = 0.0


class Config(t.NamedTuple):
    """A configuration as a whole.

    :param guarded: service -> whether its boxes refuse what does not fit.
    """

    version: int
    queues: tuple[Queue, ...]
    enforces_capacity: t.Mapping[str, bool]
    max_body_bytes: int


class HallDirective(t.NamedTuple):
    """What operators ask of a data hall.

    :param evacuated: nothing further is to be sent to its boxes; else it is in use.
    """

    hall: str
    evacuated: bool


class TaskCommand(t.NamedTuple):
    """Names one run of a task on one life of a box."""

    incarnation: str
    address: str
    task: str
    run: int


class CommandAccepted(t.NamedTuple):
    """The box did it, or had done so before.

    :param clock_ms: the box's steady clock.
    """

    clock_ms: int


class CommandRejected(t.NamedTuple):
    """The box did nothing.

    :param reason: ``fence`` a newer epoch gave orders there; ``old`` a later run was
        seen; ``late`` the lease is over already; ``room``; ``ticket``; ``unhealthy``;
        ``malformed``.
    """

    reason: str
    clock_ms: int = 0


class CommandNotSent(t.NamedTuple):
    """The order was withdrawn before it was sent: the box knows nothing of it."""

    reason: str


class BoxReplaced(t.NamedTuple):
    """Another life answers at the address: the one meant runs nothing any more.

    :param reached: whether an earlier try of the order may have reached that one.
    """

    reached: bool = False


class BoxNoAnswer(t.NamedTuple):
    """It may have been done, or may still be done later.

    :param sent: false if the call provably never left, for want of a connection.
    :param timed_out: whether the time was over, with the connection still open.
    """

    reason: str
    sent: bool = True
    timed_out: bool = False


CommandOutcome: t.TypeAlias = (
    CommandAccepted | CommandRejected | CommandNotSent | BoxReplaced | BoxNoAnswer
)


class RunningTask(t.NamedTuple):
    """A task at work on a box.

    :param saved: its newest checkpoint, or empty.
    :param percent: how far it has come.
    :param figure: tail latency in ms of a task that serves, else thousandths of a
        core in use; a rough value of the last half second.
    """

    task: str
    run: int
    checkpoint: str
    percent: int
    measurement: float


class EndedRun(t.NamedTuple):
    """The end of a run, which the box keeps until told that it is known.

    :param number: rises by one with each end within a life of the box.
    :param how: ``done``, ``failed``, ``stopped``, ``lapsed``, ``broken``, ``alone``.
    """

    number: int
    task: str
    run: int
    how: str
    checkpoint: str


class PollResult(t.NamedTuple):
    """All that runs on a box, and the ends not yet known, the first ones first.

    :param more_ends: whether there may be ends that are listed only once these are known.
    """

    clock_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedRun, ...]
    more_ends: bool = False


PollOutcome: t.TypeAlias = PollResult | CommandRejected | BoxReplaced | BoxNoAnswer


class Advice(t.NamedTuple):
    """Which boxes may run a step.

    :param tickets: life of a box -> what a start there must bring.
    :param valid_s: how long they hold, in seconds.
    """

    tickets: dict[str, str]
    valid_s: float


class AdviceUnavailable(t.NamedTuple):
    """No advice came; it may be asked for again."""

    reason: str


class Advisor(abc.ABC):
    """Knows which boxes may run the steps of some queues."""

    @abc.abstractmethod
    async def advise(
        self, step: str, incarnations: t.Sequence[str]
    ) -> Advice | AdviceUnavailable:
        """Return which of ``incarnations`` may run ``step``."""


class BoxCalls(abc.ABC):
    """Calls to boxes; each carries the caller's fencing token."""

    @abc.abstractmethod
    async def poll(
        self,
        incarnation: str,
        address: str,
        token: int,
        acknowledged: int,
        lease_ends_ms: int | None,
        wait_ms: int,
    ) -> PollOutcome:
        """Confirm ends up to ``acknowledged``, extend the lease, return what runs.

        :param lease_ends_ms: end of the lease of all that runs, on the box's clock.
        :param wait_ms: how long the answer may wait for an end.
        """

    @abc.abstractmethod
    async def start(
        self,
        command: TaskCommand,
        token: int,
        spec: str,
        lease_ends_ms: int,
        checkpoint: str,
        ticket: str,
    ) -> CommandOutcome:
        """Start a run of a task."""

    @abc.abstractmethod
    async def stop(self, command: TaskCommand, token: int) -> CommandOutcome:
        """Stop a run, or see to it that it never begins."""

    @abc.abstractmethod
    async def pace(
        self, command: TaskCommand, token: int, percent: int
    ) -> CommandOutcome:
        """Let a run work at a share of its speed."""
