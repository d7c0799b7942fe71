"""Interfaces to the platform: a durable store (of the configuration, too), boxes that
run tasks under leases, and an advisor on placement.

Each is an abstract base class; :mod:`.platform` implements it for the platform, the
stand-ins for the tests. Every outcome has a type of its own, so that callers can tell
them apart.
"""

import abc
import typing as t

__all__ = [
    "Advice",
    "AdviceUnavailable",
    "Advisor",
    "AppendRefused",
    "Appended",
    "BoxCalls",
    "BoxEntry",
    "BoxNoAnswer",
    "BoxReplaced",
    "Config",
    "EndedRun",
    "Fenced",
    "HallDirective",
    "MAX_KEY_BYTES",
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


# Upper limit of the bytes of a record's key in the store.
MAX_KEY_BYTES: t.Final = 255


class Record(t.NamedTuple):
    """The newest value under a key; ``None`` deletes the key."""

    key: str
    value: bytes | None

    @property
    def size(self) -> int:
        """Its bytes in the store, as the limit for one record counts them: the length
        of the key, the key and the value."""
        return 1 + len(self.key.encode()) + len(self.value or b"")


class Writer(t.NamedTuple):
    """Identifies one append of one epoch, so that the store can answer a repeat like
    the first attempt and refuse appends of older epochs."""

    epoch: int
    sequence: int


class Appended(t.NamedTuple):
    """The records are durable.

    :param end: the topic's end offset after the append.
    """

    end: int


class Fenced(t.NamedTuple):
    """A newer epoch writes to this topic: the caller is deposed."""


class NumberTaken(t.NamedTuple):
    """The store expects another sequence number: another writer uses this epoch.

    :param wanted: the number that the store expects.
    """

    wanted: int


class AppendRefused(t.NamedTuple):
    """The store will never take these records, as one of them is too long. Nothing was
    done, so the sequence number is free for another append.

    :param reason: short text for logs.
    """

    reason: str


class StoreUnavailable(t.NamedTuple):
    """The call was not applied, or its fate is unknown; it may be repeated.

    :param reason: short text for logs.
    :param not_applied: whether the call provably had no effect.
    """

    reason: str
    not_applied: bool = False


class NewestRecords(t.NamedTuple):
    """The newest record of each key, and the offset to read from next."""

    records: tuple[Record, ...]
    end: int


class NewestPage(t.NamedTuple):
    """A page of the newest records; the next page follows the last key of this one.

    :param end: the offset after the topic's last record when this page was made.
    :param last_key: the key to continue at, if it differs from that of the last record,
        which may be a key that is not Unicode text.
    """

    records: tuple[Record, ...]
    end: int
    more: bool
    last_key: str | None = None


class NewestUnavailable(t.NamedTuple):
    """The newest records could not be read completely.

    :param pages: how many pages were read.
    :param records: how many records these pages held.
    """

    reason: str
    pages: int
    records: int


class Records(t.NamedTuple):
    """Records in order, and the offset to read from next."""

    records: tuple[Record, ...]
    end: int


class RecordsGone(t.NamedTuple):
    """The records asked for were dropped; start over from the newest ones."""


class Store(abc.ABC):
    """A log with topics, compacted to the newest record of each key."""

    @abc.abstractmethod
    async def append(
        self,
        topic: str,
        records: t.Sequence[Record],
        writer: Writer | None,
        timeout_s: float,
    ) -> Appended | Fenced | NumberTaken | AppendRefused | StoreUnavailable:
        """Append all records or none.

        :param writer: fences older epochs; ``None`` for an unfenced topic. An append
            that repeats an earlier sequence number is answered like that one and
            writes nothing.
        """

    @abc.abstractmethod
    async def newest_page(
        self, topic: str, after: str | None, timeout_s: float
    ) -> NewestPage | StoreUnavailable:
        """Return a page of the newest records, one for each key. The pages of a topic
        are no snapshot; :mod:`.newestread` reads all of them.

        :param after: last key of the previous page; ``None`` for the first page.
        :param timeout_s: seconds without any progress of the answer.
        """

    @abc.abstractmethod
    async def read(
        self, topic: str, start: int, wait_s: float
    ) -> Records | RecordsGone | StoreUnavailable:
        """Return the records from ``start`` on; wait for one up to ``wait_s``."""


class BoxEntry(t.NamedTuple):
    """One incarnation of a box, as it describes itself.

    :param incarnation: its name, which differs after each restart; see
        :mod:`.incarnations`.
    :param hall: its data hall.
    :param rack: empty if unknown.
    :param cpu: thousandths of a core.
    :param leaving_in_s: minimum time left when draining, else ``None``.
    :param cold: whether it is still slow, as after a start.
    :param box_id: the id under which it is reached; a restart may keep it.
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
    """A configured queue for jobs. Durations are in milliseconds.

    :param priority: 0 is the most urgent.
    :param objective_factor: the latency objective is this factor times the job's
        longest chain of work, plus ``target_ms``.
    :param max_attempts: failed runs of a task before its job fails.
    :param advised: whether the advisor must name the boxes that may run a step.
    :param advice_valid_ms: how long its answer is valid.
    :param advice_decide_ms: how long an answer takes, beside the time for each box.
    :param advice_each_ms: how long it takes for each box that the question names.
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
    advice_decide_ms: float = 0.0
    advice_each_ms: float = 0.0


class Config(t.NamedTuple):
    """A complete configuration.

    :param enforces_capacity: service -> whether its boxes refuse tasks that don't fit.
    """

    version: int
    queues: tuple[Queue, ...]
    enforces_capacity: t.Mapping[str, bool]
    max_body_bytes: int


class HallDirective(t.NamedTuple):
    """Operators' directive about a data hall.

    :param evacuated: whether nothing more is sent to its boxes; else it is in use.
    """

    hall: str
    evacuated: bool


class TaskCommand(t.NamedTuple):
    """Identifies one run of a task on one incarnation of a box."""

    incarnation: str
    address: str
    task: str
    run: int


class CommandAccepted(t.NamedTuple):
    """The box carried out the command, now or earlier.

    :param clock_ms: the box's monotonic clock.
    """

    clock_ms: int


class CommandRejected(t.NamedTuple):
    """The box did nothing.

    :param reason: ``fence``: a newer epoch has sent commands; ``old``: a later run was
        seen; ``late``: the lease has expired; ``room``; ``ticket``; ``unhealthy``;
        ``malformed``.
    """

    reason: str
    clock_ms: int = 0


class CommandNotSent(t.NamedTuple):
    """The command was withdrawn before it was sent: the box does not know of it."""

    reason: str


class BoxReplaced(t.NamedTuple):
    """Another incarnation answers at the address: the addressed one has ended.

    :param reached: whether an earlier attempt may have reached the addressed one.
    """

    reached: bool = False


class BoxNoAnswer(t.NamedTuple):
    """The call may have been carried out, or may still be later.

    :param sent: false if the call provably never left, for lack of a connection.
    :param timed_out: whether it timed out with the connection still open.
    """

    reason: str
    sent: bool = True
    timed_out: bool = False


CommandOutcome: t.TypeAlias = (
    CommandAccepted | CommandRejected | CommandNotSent | BoxReplaced | BoxNoAnswer
)


class RunningTask(t.NamedTuple):
    """A task that runs on a box.

    :param checkpoint: its newest checkpoint, or empty.
    :param percent: progress.
    :param measurement: tail latency in ms for a serving task, else thousandths of a
        core in use; a rough value over the last half second.
    """

    task: str
    run: int
    checkpoint: str
    percent: int
    measurement: float


class EndedRun(t.NamedTuple):
    """The end of a run, which the box keeps until it is acknowledged.

    :param number: rises by one with each end within an incarnation of the box.
    :param how: ``done``, ``failed``, ``stopped``, ``lapsed``, ``broken``, ``alone``.
    """

    number: int
    task: str
    run: int
    how: str
    checkpoint: str


class PollResult(t.NamedTuple):
    """All runs on a box, and the ends not yet acknowledged, the oldest first.

    :param clock_ms: the box's monotonic clock.
    :param more_ends: whether further ends may be listed once these are acknowledged.
    """

    clock_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedRun, ...]
    more_ends: bool = False


PollOutcome: t.TypeAlias = PollResult | CommandRejected | BoxReplaced | BoxNoAnswer


class Advice(t.NamedTuple):
    """Which boxes may run a step.

    :param tickets: incarnation of a box -> ticket that a start there must carry.
    :param valid_s: how long the tickets are valid, in seconds.
    """

    tickets: dict[str, str]
    valid_s: float


class AdviceUnavailable(t.NamedTuple):
    """No advice was given; the call may be repeated.

    :param timed_out: whether the call was given up while it may still be answered.
    """

    reason: str
    timed_out: bool = False


class Advisor(abc.ABC):
    """Decides which boxes may run the steps of queues with ``advised`` set."""

    @abc.abstractmethod
    async def advise(
        self, step: str, incarnations: t.Sequence[str], timeout_s: float
    ) -> Advice | AdviceUnavailable:
        """Return which of ``incarnations`` may run ``step``.

        :param timeout_s: seconds after which the call is given up.
        """


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
        """Acknowledge ends, extend the lease, return what runs.

        :param acknowledged: number of the last end that is acknowledged.
        :param lease_ends_ms: end of the lease of all runs, on the box's clock.
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
        """Stop a run, or keep it from starting if it has not."""

    @abc.abstractmethod
    async def pace(
        self, command: TaskCommand, token: int, percent: int
    ) -> CommandOutcome:
        """Set the share of its full speed that a run may use."""
