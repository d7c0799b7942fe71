"""Messages between the processes of the system. They may be lost, delayed, duplicated
or reordered, so each is either repeated on a tick or answered with its id, and no
permission that a message grants is valid beyond the period that it states."""

import typing as t

import msgspec

from .errors import DECODE_ERRORS
from .errors import FrameError
from .fieldtypes import Epoch
from .fieldtypes import Integer
from .fieldtypes import Real
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
    """A process's heartbeat, sent to the data hall's aggregator, which appends it."""

    beat: Beat


class EndpointInfo(msgspec.Struct, frozen=True, array_like=True):
    """Endpoint of a running task of a service, and its address (IP:PORT)."""

    endpoint: str
    service: str
    address: str


class Loan(msgspec.Struct, frozen=True, array_like=True):
    """Slots of one endpoint that one process may use."""

    endpoint: str
    service: str
    address: str
    slots: Integer


class LoansGranted(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The loans of slots that a shard's owner grants to the receiver.

    :param serial: number of this grant.
    :param answers: number of the :class:`LoansHeld` that this grant answers.
    :param term_s: validity of the loans in seconds, from when the receiver sent that
        message.
    :param complete: whether loans that are not listed end now; otherwise the owner
        does not know all endpoints yet, and they stay valid until they expire.
    """

    shard: Integer
    epoch: Epoch
    serial: Integer
    answers: Integer
    term_s: Real
    complete: bool
    loans: tuple[Loan, ...]


class LoansHeld(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Report of the loans that the sender holds of a shard, and of its demand.

    :param epoch: the newest epoch of the shard that the sender knows; it no longer
        accepts grants of older ones.
    :param number: number of this message; the loans of the answer are valid from when
        this message was sent.
    :param applied: serial of the last grant of ``epoch`` that it applied, or 0.
    :param supports: whether the sender supports the owner: it does not claim the shard
        while its support is valid.
    :param loans: endpoint -> slots granted or in use, whichever is more.
    :param demand: service -> slots that requests use or wait for.
    """

    shard: Integer
    epoch: Epoch
    number: Integer
    applied: Integer
    supports: bool
    loans: dict[str, Integer]
    demand: dict[str, Integer]


class KeyAsked(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Asks the shard's owner whether the sender may run a non-repeatable request.

    :param key: idempotency key of the request.
    :param issued_at: wall time (seconds) at which the caller made the key.
    """

    request: str
    account: str
    key: str
    issued_at: Real


class KeyVerdict(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The owner's decision on a key.

    :param verdict: ``run`` is answered to one request only, so that a key runs at most
        once.
    """

    request: str
    verdict: t.Literal["run", "seen", "too_old", "not_owner"]


class KeyReturned(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Gives back a key that was decided ``run``; the sender has proof that the request
    did not run."""

    request: str
    account: str
    key: str


class HallDigest(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Summary of a data hall for the processes of the others.

    :param version: grows with each digest of the data hall.
    :param nodes: node -> offset up to which it has applied the configuration stream.
    :param owners: shard -> node.
    :param services: service -> slots of its endpoints.
    :param evacuated: whether operators have evacuated the data hall.
    """

    hall: str
    version: Integer
    nodes: dict[str, Integer]
    owners: dict[Integer, str]
    services: dict[str, Integer]
    evacuated: bool = False


class HallDigests(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The newest digest of each data hall that the sender knows."""

    digests: tuple[HallDigest, ...]


class Member(msgspec.Struct, frozen=True, array_like=True):
    """A process of the shard.

    :param address: its address for peers, IP:PORT.
    :param cores: processor cores that it may use on its box.
    """

    node: str
    address: str
    hall: str
    cores: Real = 1.0


class NodeStatus(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """Status report of a process of a shard, sent to some others several times a second.

    :param address: its address for peers, IP:PORT.
    :param epoch: the newest epoch that it knows.
    :param leader: the leader in that epoch; empty if none is known.
    :param store_ok: whether the store answered its latest requests; true if it sent
        none.
    :param ready: whether it may take over.
    :param cores: processor cores that it may use on its box.
    :param successors: processes that take over, in this order; sent by the leader only.
    :param taking_over: whether it is taking over; others wait meanwhile.
    :param leader_age_ms: age of the leader's last message to it, or to the process
        that relayed the leader's report.
    :param leader_address: the leader's address for peers.
    :param subscribes: whether the receiver shall send its reports to the sender, until
        the subscription expires.
    :param asks_members: whether the receiver shall answer with the relays.
    :param members: the relays, if they were asked for.
    :param leader_taking_over: whether the leader answers no requests yet, as far as the
        sender knows.
    """

    node: str
    address: str
    hall: str
    epoch: Epoch
    leader: str
    store_ok: bool
    ready: bool
    cores: Real
    successors: tuple[str, ...] = ()
    taking_over: bool = False
    leader_age_ms: Integer | None = None
    leader_address: str = ""
    subscribes: bool = False
    asks_members: bool = False
    members: tuple[Member, ...] = ()
    leader_taking_over: bool = False

    @property
    def member(self) -> Member:
        """The sender."""
        return Member(self.node, self.address, self.hall, self.cores)


class LeaderResigned(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The leader stops; the receiver shall take over now."""

    epoch: Epoch


class CallForwarded(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """A client's request, forwarded to the leader. It may be sent again to another
    leader.

    :param number: unique among the requests of all incarnations of the sender.
    :param left_s: seconds until the client's deadline.
    :param reply_to: the sender's address for peers, IP:PORT.
    """

    number: Integer
    method: str
    host: str
    path: str
    body: bytes
    left_s: Real
    reply_to: str


class CallAnswered(msgspec.Struct, frozen=True, tag=True, array_like=True):
    """The leader's answer to a forwarded request.

    :param retry_after_s: seconds after which the client shall retry; 0 for no advice.
    :param why: cause of a failure, for the log of the process that forwarded the
        request.
    """

    number: Integer
    status: Integer
    body: bytes
    retry_after_s: Integer
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
    """A message, its sender, and its trace context (may be empty)."""

    sender: str
    incarnation: str
    message: Message
    trace: str = ""


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode_envelope(envelope: Envelope) -> bytes:
    """Return ``envelope`` as MessagePack, the encoding between processes."""
    return _encoder.encode(envelope)


def decode_envelope(data: bytes) -> Envelope:
    """Return the envelope in ``data``.

    :raises FrameError: if ``data`` is not an envelope.
    """
    try:
        return _decoder.decode(data)
    except DECODE_ERRORS as error:
        raise FrameError(f"not an envelope: {error}") from error
