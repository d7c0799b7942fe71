"""Calls to boxes over HTTP, and decoding of the boxes' entries in the store."""

import typing as t

import msgspec

from ..appendpace import DEFAULT_LINK_BYTES_PER_S
from ..calls import Caller
from ..calls import CallFailure
from ..calls import Party
from ..calls import Reply
from ..calls import Request
from ..calls import is_address
from ..errors import DECODE_ERRORS
from ..errors import MalformedEntry
from ..fieldtypes import Integer
from ..fieldtypes import Real
from ..incarnations import box_id_of
from ..incarnations import incarnation_name
from ..incarnations import is_same_incarnation
from ..interfaces import BoxCalls
from ..interfaces import BoxEntry
from ..interfaces import BoxNoAnswer
from ..interfaces import BoxReplaced
from ..interfaces import CommandAccepted
from ..interfaces import CommandOutcome
from ..interfaces import CommandRejected
from ..interfaces import EndedRun
from ..interfaces import PollOutcome
from ..interfaces import PollResult
from ..interfaces import Record
from ..interfaces import RunningTask
from ..interfaces import TaskCommand

__all__ = ["PlatformBoxes", "decode_entry"]

# A box answers within about 3 ms; over a slow link between halls, or when the box that
# runs this process is busy, it takes longer.
COMMAND_TIMEOUT_S: t.Final = 0.4
# A command with a long checkpoint gets the time that this share of the link needs for it.
COMMAND_LINK_SHARE: t.Final = 0.125
# Added to the time that a long poll may wait.
POLL_TIMEOUT_S: t.Final = 0.7
OK: t.Final = 200
BAD_REQUEST: t.Final = 400
CONFLICT: t.Final = 409
MISDIRECTED: t.Final = 421
UNHEALTHY: t.Final = (429, 503)
BOX_ID_HEADER: t.Final = b"expect-instance"
POLL_PATH: t.Final = "/api/hold"
# A box lists no more ends in one answer; the rest follow once these are acknowledged.
MAX_ENDS_PER_POLL: t.Final = 500
# The platform's specification limits neither the tasks on a box nor their checkpoints.
# A box whose answer is longer can't be polled, and all its tasks are taken for lost.
MAX_ANSWER_BYTES: t.Final = 32 * 1024 * 1024


# No box has this much of any resource: an entry with more was not written by a box.
MAX_AMOUNT: t.Final = 2**40
# Milliseconds since 1970 are far below this.
MAX_BORN_MS: t.Final = 2**53
# Keys of records about boxes add a prefix and a time of birth to this.
MAX_BOX_ID_BYTES: t.Final = 200
_Amount = t.Annotated[int, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
_Born = t.Annotated[int, msgspec.Meta(ge=0, le=MAX_BORN_MS)]


class _Capacity(msgspec.Struct):
    cpu: _Amount = 0
    mem_mb: _Amount = 0
    gpu: _Amount = 0


class _Entry(msgspec.Struct):
    """A box's entry. ``cpu`` is in thousandths of a core; the second label is the
    rack."""

    service: str
    address: str
    zone: str = ""
    state: t.Literal["ready", "draining"] = "ready"
    capacity: _Capacity = msgspec.field(default_factory=_Capacity)
    labels: list[str] = []
    remaining_ms: t.Annotated[float, msgspec.Meta(ge=0, le=MAX_AMOUNT)] | None = None
    machine: str = ""
    cold_remaining_ms: Real = 0.0
    born: _Born | None = None


class _Identity(msgspec.Struct):
    """The part of a poll's answer that identifies the box's incarnation."""

    born: _Born | None = None


class _RunningRow(msgspec.Struct, array_like=True):
    """A row of ``running``; older boxes don't measure."""

    task: str
    run: Integer
    saved: str
    percent: Real
    measurement: Real = 0.0


class _EndedRow(msgspec.Struct, array_like=True):
    """A row of ``finished``."""

    number: Integer
    task: str
    run: Integer
    how: str
    saved: str


class _PollAnswer(msgspec.Struct):
    """An answer with a row that can't be read is malformed as a whole: without the row,
    a run that goes on would count as not there, and would be started elsewhere."""

    clock_ms: Integer
    running: list[_RunningRow] = []
    finished: list[_EndedRow] = []


class _CommandAnswer(msgspec.Struct):
    clock_ms: Integer = 0
    reason: str = ""


_entries = msgspec.json.Decoder(_Entry)
_identities = msgspec.json.Decoder(_Identity)
_poll_answers = msgspec.json.Decoder(_PollAnswer)
_command_answers = msgspec.json.Decoder(_CommandAnswer)
_encode = msgspec.json.Encoder().encode


def decode_entry(record: Record) -> BoxEntry | None:
    """Return the entry that a box wrote, or ``None`` if it was removed.

    :raises MalformedEntry: if the record is malformed.
    """
    if record.value is None:
        return None
    try:
        raw = _entries.decode(record.value)
    except DECODE_ERRORS as error:
        raise MalformedEntry(record.key, str(error)) from error
    if not _is_box_id(record.key):
        raise MalformedEntry(record.key, "the key can't be the id of a box")
    if not is_address(raw.address):
        raise MalformedEntry(record.key, f"address {raw.address!r} is not IP:PORT")
    leaving_in_ms = raw.remaining_ms
    return BoxEntry(
        incarnation=incarnation_name(record.key, raw.born),
        address=raw.address,
        service=raw.service,
        hall=raw.zone,
        rack=raw.labels[1] if len(raw.labels) > 1 else "",
        labels=frozenset(raw.labels),
        cpu=raw.capacity.cpu,
        memory_mb=raw.capacity.mem_mb,
        gpu=raw.capacity.gpu,
        draining=raw.state != "ready",
        leaving_in_s=None if leaving_in_ms is None else leaving_in_ms / 1000.0,
        box=raw.machine,
        cold=raw.cold_remaining_ms > 0.0,
        box_id=record.key,
    )


def _is_box_id(key: str) -> bool:
    """Return whether a key can be sent in a header, and recorded under another key."""
    return key.isprintable() and 0 < len(key.encode()) <= MAX_BOX_ID_BYTES


class _Incarnation(Party):
    """One incarnation of a box, called with a leader's fencing token. A box that
    restarts may keep its id, so a call needs a connection over which the box has
    reported when it was born.

    :param token: epoch of the leader that calls.
    """

    def __init__(self, incarnation: str, token: int) -> None:
        self._incarnation = incarnation
        self._token = token

    @property
    def name(self) -> str:
        """See :attr:`.Party.name`."""
        return self._incarnation

    @property
    def headers(self) -> tuple[tuple[bytes, bytes], ...]:
        """Headers of a call to this box."""
        return (
            (b"content-type", b"application/json"),
            (BOX_ID_HEADER, box_id_of(self._incarnation).encode()),
        )

    def identity_request(self) -> Request:
        """See :meth:`.Party.identity_request`: a poll that acknowledges and renews
        nothing."""
        body = _encode({"fencing_token": self._token, "last_seen": 0})
        return Request(POLL_PATH, self.headers, body)

    def is_sender(self, reply: Reply) -> bool | None:
        """See :meth:`.Party.is_sender`."""
        if reply.status != OK:
            return None
        try:
            born = _identities.decode(reply.body).born
        except DECODE_ERRORS:
            return None
        box_id = box_id_of(self._incarnation)
        if born is None and self._incarnation != incarnation_name(box_id, None):
            return None
        return is_same_incarnation(self._incarnation, box_id, born)


class PlatformBoxes(BoxCalls):
    """Calls boxes over HTTP.

    Each call reaches only the incarnation that it is for.

    :param link_bytes_per_s: bandwidth of the link of this process.
    """

    def __init__(
        self, caller: Caller, link_bytes_per_s: float = DEFAULT_LINK_BYTES_PER_S
    ) -> None:
        self._caller = caller
        self._command_bytes_per_s = COMMAND_LINK_SHARE * link_bytes_per_s

    async def poll(
        self,
        incarnation: str,
        address: str,
        token: int,
        acknowledged: int,
        lease_ends_ms: int | None,
        wait_ms: int,
    ) -> PollOutcome:
        """See :meth:`.interfaces.BoxCalls.poll`."""
        body: dict[str, t.Any] = {"fencing_token": token, "last_seen": acknowledged}
        if lease_ends_ms is not None:
            body["until_ms"] = lease_ends_ms
        if wait_ms:
            body["wait_ms"] = wait_ms
        timeout_s = POLL_TIMEOUT_S + wait_ms / 1000.0
        party = _Incarnation(incarnation, token)
        request = Request(POLL_PATH, party.headers, _encode(body))
        reply = await self._caller.call_party(
            party,
            address,
            request,
            timeout_s,
            limit=MAX_ANSWER_BYTES,
            no_side_effects=not acknowledged and lease_ends_ms is None,
            answer_identifies=True,
            by_progress=True,
        )
        if isinstance(reply, CallFailure):
            return _failure_outcome(reply)
        if reply.status != OK:
            return _refusal_outcome(reply)
        try:
            return _decode_poll(reply.body)
        except DECODE_ERRORS as error:
            return BoxNoAnswer(f"malformed answer: {error}")

    async def start(
        self,
        command: TaskCommand,
        token: int,
        spec: str,
        lease_ends_ms: int,
        checkpoint: str,
        ticket: str,
    ) -> CommandOutcome:
        """See :meth:`.interfaces.BoxCalls.start`."""
        body = _command_body(command, token)
        body["spec"] = spec
        body["until_ms"] = lease_ends_ms
        if checkpoint:
            body["checkpoint"] = checkpoint
        if ticket:
            body["ticket"] = ticket
        return await self._send_command("/api/run-start", command, token, body)

    async def stop(self, command: TaskCommand, token: int) -> CommandOutcome:
        """See :meth:`.interfaces.BoxCalls.stop`."""
        return await self._send_command(
            "/api/run-stop", command, token, _command_body(command, token)
        )

    async def pace(
        self, command: TaskCommand, token: int, percent: int
    ) -> CommandOutcome:
        """See :meth:`.interfaces.BoxCalls.pace`."""
        body = _command_body(command, token)
        body["percent"] = percent
        return await self._send_command("/api/pace", command, token, body)

    async def _send_command(
        self, path: str, command: TaskCommand, token: int, body: dict[str, t.Any]
    ) -> CommandOutcome:
        party = _Incarnation(command.incarnation, token)
        request = Request(path, party.headers, _encode(body))
        transfer_s = len(request.body) / self._command_bytes_per_s
        reply = await self._caller.call_party(
            party,
            command.address,
            request,
            COMMAND_TIMEOUT_S + transfer_s,
            limit=MAX_ANSWER_BYTES,
            by_progress=True,
        )
        if isinstance(reply, CallFailure):
            return _failure_outcome(reply)
        if reply.status != OK:
            return _refusal_outcome(reply)
        try:
            return CommandAccepted(
                _command_answers.decode(reply.body or b"{}").clock_ms
            )
        except DECODE_ERRORS as error:
            return BoxNoAnswer(f"malformed answer: {error}")


def _failure_outcome(
    failure: CallFailure,
) -> CommandRejected | BoxReplaced | BoxNoAnswer:
    """Return the outcome of a call that the intended incarnation has not answered."""
    may_have_run, other_reply = failure.proof.may_have_run, failure.other_reply
    if other_reply is None:
        return BoxNoAnswer(failure.proof.detail, may_have_run, failure.timed_out)
    outcome = (
        _replacement_outcome(other_reply)
        if other_reply.status == OK
        else _refusal_outcome(other_reply)
    )
    if isinstance(outcome, BoxNoAnswer):
        return outcome._replace(sent=may_have_run)
    return outcome


def _replacement_outcome(other_reply: Reply) -> BoxReplaced | BoxNoAnswer:
    """Return the outcome of a call that another incarnation may have answered.

    An answer without a time of birth doesn't prove that: to take the box for replaced
    would start elsewhere the tasks that its incarnation still runs.
    """
    try:
        born = _identities.decode(other_reply.body).born
    except DECODE_ERRORS as error:
        return BoxNoAnswer(f"malformed answer: {error}")
    if born is None:
        return BoxNoAnswer("the answer lacks the time when the box was born")
    return BoxReplaced()


def _command_body(command: TaskCommand, token: int) -> dict[str, t.Any]:
    return {"task": command.task, "run": command.run, "fencing_token": token}


def _refusal_outcome(reply: Reply) -> CommandRejected | BoxReplaced | BoxNoAnswer:
    """Return the outcome of a call that was answered with an error status.

    Only these statuses prove that the box did nothing; a command that failed in another
    way may have been carried out.
    """
    if reply.status == MISDIRECTED:
        return BoxReplaced()
    if reply.status in (BAD_REQUEST, CONFLICT, *UNHEALTHY):
        return _rejection(reply)
    return BoxNoAnswer(f"status {reply.status}")


def _rejection(reply: Reply) -> CommandRejected:
    if reply.status == BAD_REQUEST:
        return CommandRejected("malformed")
    if reply.status != CONFLICT:
        return CommandRejected("unhealthy")
    try:
        answer = _command_answers.decode(reply.body or b"{}")
    except DECODE_ERRORS:
        return CommandRejected("malformed")
    return CommandRejected(answer.reason, answer.clock_ms)


def _decode_poll(body: bytes) -> PollResult:
    raw = _poll_answers.decode(body)
    running = tuple(
        RunningTask(row.task, row.run, row.saved, int(row.percent), row.measurement)
        for row in raw.running
    )
    ended = tuple(
        EndedRun(row.number, row.task, row.run, row.how, row.saved)
        for row in raw.finished
    )
    return PollResult(raw.clock_ms, running, ended, len(ended) >= MAX_ENDS_PER_POLL)
