"""Events that the reducer applies and effects that it returns, as plain data.

Time, randomness and I/O reach the decisions only through these types. Any run
can therefore be replayed, and a fault is only another order of events."""

import typing as t

from .messages import Message
from .outcomes import Outcome
from .records import CellEdit
from .records import Fact
from .records import JobSpec
from .records import LogRecord

__all__ = [
    "AnswerArrived",
    "AnswerFailed",
    "AppendFacts",
    "BoxAnswered",
    "BoxDrainRequested",
    "BoxFailed",
    "BoxInfo",
    "BoxListRead",
    "BoxReport",
    "CallerLeft",
    "Command",
    "CommandBox",
    "CommandResult",
    "Conclude",
    "Dispatch",
    "Effect",
    "Event",
    "FactsWithdrawn",
    "Forward",
    "HallEvacuateRequested",
    "JobCancelRequested",
    "JobSubmitRequested",
    "LogRead",
    "LogEvent",
    "PeerMessage",
    "Proof",
    "RequestArrived",
    "SendPeer",
    "SnapshotRead",
    "StopRequested",
    "TableEditRequested",
    "TaskReport",
    "Tick",
    "Withdraw",
]


class BoxInfo(t.NamedTuple):
    """An entry of the platform's list of boxes, which lags behind their state.

    :param address: where exchanges are sent.
    :param endpoint_address: where requests are sent.
    :param leaving: about to leave, so that its tasks are drained.
    :param slots: requests that one endpoint on the box serves at a time.
    """

    box: str
    hall: str
    rack: str
    address: str
    endpoint_address: str
    leaving: bool
    cores: float
    memory_gb: float
    accelerators: int
    slots: int


class Command(t.NamedTuple):
    """One command to a box.

    :param not_after: wall time (s) after which the box refuses a start.
    :param expires: wall time (s) at which the box drops the task by itself.
    :param speed: for throttle, the share of its cores that a task may use.
    """

    op: t.Literal["start", "renew", "stop", "checkpoint", "forget", "throttle"]
    task: str
    attempt: int
    epoch: int
    not_after: float = 0.0
    expires: float = 0.0
    spec: JobSpec | None = None
    checkpoint: str = ""
    speed: float = 1.0


class CommandResult(t.NamedTuple):
    """A box's answer to one command; ``error`` is empty if it was carried out."""

    task: str
    attempt: int
    op: str
    error: str


class TaskReport(t.NamedTuple):
    """One task on a box.

    :param state: running, finished, failed, stopped or evicted.
    """

    task: str
    attempt: int
    epoch: int
    state: str
    checkpoint: str = ""
    cores_used: float = 0.0


class BoxReport(t.NamedTuple):
    """All tasks on a box after it carried out the commands of the exchange."""

    tasks: tuple[TaskReport, ...]


class Tick(t.NamedTuple):
    """Time has passed.

    :param now: monotonic time in seconds, in all events.
    :param wall: wall time in seconds, in all events.
    """

    now: float
    wall: float


class LogRead(t.NamedTuple):
    """Records of one stream, in order.

    :param tail: whether the read reached the end of the stream.
    """

    now: float
    stream: str
    records: tuple[LogRecord, ...]
    next_offset: int
    tail: bool


class SnapshotRead(t.NamedTuple):
    """A complete snapshot of ``stream`` that covers the records up to ``upto``."""

    now: float
    stream: str
    upto: int
    payload: bytes


class FactsWithdrawn(t.NamedTuple):
    """Answer to :class:`Withdraw`.

    :param unsent: proves that no fact of the request was sent.
    """

    now: float
    request: str
    unsent: bool


class PeerMessage(t.NamedTuple):
    """A message from another process of the system."""

    now: float
    wall: float
    sender: str
    incarnation: str
    message: Message


class BoxListRead(t.NamedTuple):
    """The platform's list of boxes, of this hall only."""

    now: float
    boxes: tuple[BoxInfo, ...]


class BoxAnswered(t.NamedTuple):
    """A box answered an exchange that was sent at wall time ``sent_wall``."""

    now: float
    wall: float
    box: str
    sent_wall: float
    results: tuple[CommandResult, ...]
    report: BoxReport


class BoxFailed(t.NamedTuple):
    """An exchange failed.

    :param unsent: nothing was sent; otherwise the commands may have arrived.
    """

    now: float
    wall: float
    box: str
    sent_wall: float
    commands: tuple[Command, ...]
    unsent: bool


class JobSubmitRequested(t.NamedTuple):
    """An account submits a job."""

    now: float
    request: str
    job: str
    account: str
    spec: JobSpec


class JobCancelRequested(t.NamedTuple):
    """An account (or, with ``account`` empty, an operator) cancels a job."""

    now: float
    request: str
    job: str
    account: str


class TableEditRequested(t.NamedTuple):
    """An operator changes cells of the table."""

    now: float
    request: str
    edits: tuple[CellEdit, ...]


class BoxDrainRequested(t.NamedTuple):
    """An operator drains a box or ends its drain."""

    now: float
    request: str
    box: str
    drained: bool


class HallEvacuateRequested(t.NamedTuple):
    """An operator evacuates this process's data hall or restores it."""

    now: float
    request: str
    evacuated: bool


class RequestArrived(t.NamedTuple):
    """A caller's request.

    :param deadline: monotonic time in seconds.
    :param repeatable: may run more than once without harm.
    :param key: names work that must run at most once.
    :param issued_at: wall time (s) at which the caller made the key.
    :param hops: how many processes have forwarded it.
    :param key_granted: the decision on its key was already ``run``.
    """

    now: float
    wall: float
    request: str
    account: str
    service: str
    deadline: float
    repeatable: bool = False
    key: str = ""
    issued_at: float = 0.0
    hops: int = 0
    key_granted: bool = False


class Proof(t.NamedTuple):
    """What is known of a failed attempt: whether the work may have begun."""

    may_have_run: bool
    detail: str


class AnswerArrived(t.NamedTuple):
    """A whole answer arrived for attempt ``serial`` of a request."""

    now: float
    request: str
    serial: int


class AnswerFailed(t.NamedTuple):
    """Attempt ``serial`` of a request failed."""

    now: float
    request: str
    serial: int
    proof: Proof


class CallerLeft(t.NamedTuple):
    """The caller hung up before its answer."""

    now: float
    request: str


class StopRequested(t.NamedTuple):
    """A planned stop: release the shards, finish requests in flight, exit."""

    now: float


Event: t.TypeAlias = (
    Tick
    | LogRead
    | SnapshotRead
    | FactsWithdrawn
    | PeerMessage
    | BoxListRead
    | BoxAnswered
    | BoxFailed
    | JobSubmitRequested
    | JobCancelRequested
    | TableEditRequested
    | BoxDrainRequested
    | HallEvacuateRequested
    | RequestArrived
    | AnswerArrived
    | AnswerFailed
    | CallerLeft
    | StopRequested
)


class AppendFacts(t.NamedTuple):
    """Append facts to a stream.

    :param request: name by which :class:`Withdraw` can cancel the append.
    :param latest_only: a newer append of the same name replaces a waiting one.
    """

    stream: str
    facts: tuple[Fact, ...]
    request: str = ""
    latest_only: bool = False


class Withdraw(t.NamedTuple):
    """Cancel an append whose facts were not yet sent."""

    stream: str
    request: str


class SendPeer(t.NamedTuple):
    """Send a message to a process by name; the message may be lost."""

    node: str
    message: Message


class CommandBox(t.NamedTuple):
    """Send commands to a box, which answers with a report."""

    box: str
    address: str
    commands: tuple[Command, ...]


class Conclude(t.NamedTuple):
    """Answer a caller or operator with the single final outcome."""

    request: str
    outcome: Outcome


class Dispatch(t.NamedTuple):
    """Send a request to an endpoint as its attempt ``serial``.

    :param fresh: use only a new connection or one that was just found to work,
        since the request is not repeatable.
    """

    request: str
    serial: int
    endpoint: str
    address: str
    deadline: float
    fresh: bool


class Forward(t.NamedTuple):
    """Forward a request to a process of another hall as its attempt ``serial``.

    :param peer_deadline: the peer's deadline, earlier than ``deadline`` so that
        its typed refusal still arrives in time.
    """

    request: str
    serial: int
    node: str
    deadline: float
    peer_deadline: float
    hops: int
    key_granted: bool


class LogEvent(t.NamedTuple):
    """A decision to write to the log; ``epoch`` is 0 where none applies."""

    event: str
    subject: str
    detail: str = ""
    epoch: int = 0


Effect: t.TypeAlias = (
    AppendFacts
    | Withdraw
    | SendPeer
    | CommandBox
    | Conclude
    | Dispatch
    | Forward
    | LogEvent
)
