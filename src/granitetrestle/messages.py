"""Messages between the system's own processes. All may be lost, late, doubled
or crossed: each is either repeated on a tick or answered with its own id, and
none carries a right that outlives the term written in it."""

import typing as t

import msgspec

from .errors import FrameError
from .records import Beat

__all__ = [
    "BeatSent",
    "CallAnswered",
    "CallForwarded",
    "EndpointInfo",
    "Envelope",
    "HallDigest",
    "HallDigests",
    "KeyAsked",
    "KeyReturned",
    "KeyVerdict",
    "LeaderResigned",
    "Loan",
    "LoansGranted",
    "LoansHeld",
    "Member",
    "Message",
    "NodeStatus",
    "decode_envelope",
    "encode_envelope",
]


class BeatSent(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """A process's sign of life, for the hall's gatherer to put on the log."""

    beat: Beat


class EndpointInfo(msgspec.Struct, frozen=True, array_like=True):
    """Where a running task of a service answers."""

    endpoint: str
    service: str
    address: str


class Loan(msgspec.Struct, frozen=True, array_like=True):
    """Slots of one endpoint that one process may use."""

    endpoint: str
    service: str
    address: str
    slots: int


class LoansGranted(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """What a shard's owner lends the receiver.

    :param complete: loans not listed end now; otherwise the owner does not know
        all endpoints yet, and they run on until their term.
    :param serial: number of this grant; the term runs from when the receiver
        sent the :class:`LoansHeld` that ``answers`` names.
    :param term_s: seconds.
    """

    shard: int
    epoch: int
    serial: int
    answers: int
    term_s: float
    complete: bool
    loans: tuple[Loan, ...]


class LoansHeld(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """What the sender may still use of a shard, and how much it would like.

    :param epoch: the shard's epoch as the sender knows it; the sender takes no
        grant of an older one any more.
    :param number: number of this message; an answer's term runs from its sending.
    :param applied: serial of the last grant of ``epoch`` that it applied, or 0.
    :param loans: endpoint -> slots granted or in use, whichever is more.
    :param demand: service -> slots in use and waiting.
    :param supports: the sender will not claim the shard for a while.
    """

    shard: int
    epoch: int
    number: int
    applied: int
    supports: bool
    loans: dict[str, int]
    demand: dict[str, int]


class KeyAsked(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """May the sender run the request with this key? (non-repeatable work)

    :param issued_at: wall time (seconds) at which the caller made the key.
    """

    request: str
    account: str
    key: str
    issued_at: float


class KeyVerdict(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The one decision on a key.

    :param verdict: ``run`` goes to exactly one asker, ever.
    """

    request: str
    verdict: t.Literal["run", "seen", "too_old", "not_owner"]


class KeyReturned(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The asker was told ``run`` and has proof that it did not run."""

    request: str
    account: str
    key: str


class HallDigest(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """One hall in brief, for the others.

    :param version: grows with each digest of the hall.
    :param nodes: node -> config offset in force there.
    :param owners: shard -> node.
    :param services: service -> slots that its endpoints have.
    :param evacuated: whether operators let nothing further start there.
    """

    hall: str
    version: int
    nodes: dict[str, int]
    owners: dict[int, str]
    services: dict[str, int]
    evacuated: bool = False


class HallDigests(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """What the sender knows of all halls, newest digest of each."""

    digests: tuple[HallDigest, ...]


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A process, as the others know it.

    :param address: where its peers reach it, IP:PORT.
    :param cores: processor share of its box.
    """

    node: str
    address: str
    hall: str
    cores: float = 1.0


class NodeStatus(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """What a process of a shard tells some others about itself, several times a second.

    :param address: where its peers reach it, IP:PORT.
    :param epoch: the newest epoch that it knows of.
    :param leader: who decides in that epoch; empty if nobody is known to.
    :param store_ok: whether the store answered it of late, or was not asked.
    :param ready: whether it may take over.
    :param cores: processor share of its box.
    :param successors: from the decider only: who takes over, in this order.
    :param taking_over: whether it is about to decide; others leave it the time.
    :param leader_age_ms: how long ago the decider spoke to it, or to the process that
        it knows it from.
    :param leader_address: where the decider's peers reach it.
    :param subscribes: the receiver is to report to the sender for a while.
    :param asks_members: the receiver is to name the relays.
    :param members: the relays, if that was asked.
    """

    node: str
    address: str
    hall: str
    epoch: int
    leader: str
    store_ok: bool
    ready: bool
    cores: float
    successors: tuple[str, ...] = ()
    taking_over: bool = False
    leader_age_ms: int | None = None
    leader_address: str = ""
    subscribes: bool = False
    asks_members: bool = False
    members: tuple[Member, ...] = ()

    @property
    def member(self) -> Member:
        """The sender."""
        return Member(self.node, self.address, self.hall, self.cores)


class LeaderResigned(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The decider stops; the receiver is to take over now."""

    epoch: int


class CallForwarded(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """A client's request, for the decider. It may be sent again to another one.

    :param number: names the request among all of the sender, in all its lives.
    :param left_s: seconds until the client gives up.
    :param reply_to: where the sender's peers reach it, IP:PORT.
    """

    number: int
    method: str
    host: str
    path: str
    body: bytes
    left_s: float
    reply_to: str


class CallAnswered(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The decider's answer to a forwarded request.

    :param retry_after_s: when to come back; 0 for no advice.
    :param why: cause of a failure, for the log of the process that took the request.
    """

    number: int
    status: int
    body: bytes
    retry_after_s: int
    why: str = ""


Message: t.TypeAlias = (
    BeatSent
    | LoansGranted
    | LoansHeld
    | KeyAsked
    | KeyVerdict
    | KeyReturned
    | HallDigests
    | NodeStatus
    | LeaderResigned
    | CallForwarded
    | CallAnswered
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message, its sender, and the trace it belongs to (may be empty)."""

    sender: str
    incarnation: str
    message: Message
    trace: str = ""


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode_envelope(envelope: Envelope) -> bytes:
    """Return the bytes of ``envelope`` as they go between processes."""
    return _encoder.encode(envelope)


def decode_envelope(data: bytes) -> Envelope:
    """Return the envelope in ``data``.

    :raises FrameError: if ``data`` is not an envelope.
    """
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError as error:
        raise FrameError(f"not an envelope: {error}") from error
