"""State digest: lets a successor verify that it has read all records that its
predecessor took for kept, and tells it what that one said of its leases.

Each append ends with a digest: a checksum over the keys and values that the topic holds
from then on. So no append is empty, and no two appends share a sequence number. A read
that lacks records or shows older ones does not match its digest. A read that lacks the
successor's own first record, its epoch claim, is older than its epoch, or another
process or incarnation has claimed the epoch.

The digest also carries a :class:`LeaderMark`. It speaks for the time up to the claim only
if nothing but claims follows the append, of processes that renew no lease before their own
first append but on the word of the witnesses that it names: any other one may have renewed
leases without writing anything."""

import enum
import math
import typing as t
import zlib

import msgspec

from .errors import DECODE_ERRORS
from .fieldtypes import Epoch
from .fieldtypes import Integer
from .interfaces import NewestRecords
from .interfaces import Record

__all__ = [
    "DIGEST_BYTES",
    "DIGEST_KEY",
    "EPOCH_CLAIM_KEY",
    "DigestTracker",
    "IncompleteRead",
    "EpochClaim",
    "LeaderMark",
    "Verdict",
    "claims_to_read",
    "read_leader_mark",
    "verify_read",
]

# These are no keys of jobs; readers of jobs ignore them.
DIGEST_KEY: t.Final = "m/state"
EPOCH_CLAIM_KEY: t.Final = "m/taken"
_OWN_KEYS: t.Final = frozenset({DIGEST_KEY, EPOCH_CLAIM_KEY})
# Upper limits of the boxes that a mark names, and of the length of their names: it is
# written with every append. Without names its bound holds for all boxes.
MAX_NAMED_BOXES: t.Final = 8
MAX_BOX_NAME_BYTES: t.Final = 64
# Upper limit of the bytes that a digest adds to an append, with its length prefixes.
DIGEST_BYTES: t.Final = 90 + MAX_NAMED_BOXES * (MAX_BOX_NAME_BYTES + 8)
# A topic without a digest that ends below this offset may hold nothing but epoch
# claims: at the first start all processes try to take over, some of them several times.
MAX_RECORDS_OF_CLAIMS: t.Final = 64
# More claims in a row are not read: of processes that can't finish a take-over, another
# one tries each second or so.
MAX_CLAIMS_READ: t.Final = 16


class StateDigest(msgspec.Struct, frozen=True, array_like=True):
    """Digest of a topic's records without those of this module.

    :param keys: number of keys.
    :param total: exclusive or of the checksums of each key with its value.
    """

    keys: Integer
    total: Integer


class _StoredDigest(msgspec.Struct, frozen=True, array_like=True):
    """Stored form of a digest and a mark; older versions write the digest alone, and
    ignore the mark."""

    keys: Integer
    total: Integer
    epoch: Epoch = 0
    end: Integer = 0
    resigned: bool = False
    inherited_ms: Integer = 0
    lease_ms: Integer = 0
    inherited_ms_of: dict[str, Integer] | None = None
    panel: Integer = 0
    panel_covers_earlier: bool = False


class LeaderMark(t.NamedTuple):
    """What a leader states with an append about the leases of boxes.

    :param end: end offset of the topic after the append.
    :param resigned: whether it grants and renews no lease any more.
    :param inherited_s: how long a lease may still run that an earlier leader granted.
    :param lease_bound_s: how long a lease may run that this leader grants.
    :param inherited_s_of: incarnation of a box -> how long a lease of an earlier leader
        may still run there, for all boxes where one may; ``None`` if they are not named.
    :param panel: version of the panel of witnesses that limits this leader's leases; 0
        if none does, as in a mark of an older version.
    :param passed_over: whether later processes have claimed an epoch and written nothing;
        the panel limits their leases too, but nothing else that the mark says does.
    :param panel_covers_earlier: whether that panel limits every lease of an earlier
        leader that may still run, too, and none of them is longer.
    """

    epoch: int
    end: int
    resigned: bool
    inherited_s: float
    lease_bound_s: float
    inherited_s_of: t.Mapping[str, float] | None = None
    panel: int = 0
    panel_covers_earlier: bool = False
    passed_over: bool = False


class _EpochClaimant(msgspec.Struct, frozen=True, array_like=True):
    """Stored form of an epoch claim.

    :param by: the incarnation of the process that claimed the epoch.
    :param witnessed: whether it grants no lease before its own first append has succeeded,
        unless a majority of the witnesses accepts its polls; older versions do not say so.
    """

    epoch: Epoch
    by: str
    witnessed: bool = False


class EpochClaim(t.NamedTuple):
    """An epoch that was claimed at the store.

    :param by: the incarnation of the process that claimed it.
    :param end: end offset of the topic after the claim.
    :param newest_known: newest epoch in which a process is known to have led before.
    :param sent_at: when the claim was sent, in seconds on a clock that goes on while the
        machine is suspended. It may have been superseded at any time since.
    """

    epoch: int
    by: str
    end: int
    newest_known: int = 0
    sent_at: float = math.inf

    @staticmethod
    def record(epoch: int, by: str) -> Record:
        """Return the record with which a process claims an epoch."""
        return Record(EPOCH_CLAIM_KEY, _encode(_EpochClaimant(epoch, by, True)))


_encode = msgspec.msgpack.Encoder().encode
_digest_decoder = msgspec.msgpack.Decoder(_StoredDigest)
_claimant_decoder = msgspec.msgpack.Decoder(_EpochClaimant)


class DigestTracker:
    """Keeps the digest of a topic up to date.

    :param records: the records that the topic holds now.
    """

    def __init__(self, records: t.Iterable[Record] = ()) -> None:
        self._checksums: dict[str, int] = {}
        self._combined = 0
        # The checksums before the newest append, of the keys that it changes.
        self._before: dict[str, int | None] = {}
        for record in records:
            self._apply(record)

    def _apply(self, record: Record) -> None:
        if record.key in _OWN_KEYS:
            return
        self._combined ^= self._checksums.pop(record.key, 0)
        if record.value is not None:
            self._checksums[record.key] = total = zlib.crc32(
                record.value, zlib.crc32(record.key.encode())
            )
            self._combined ^= total

    @property
    def digest(self) -> StateDigest:
        """The digest of the topic's current records."""
        return StateDigest(len(self._checksums), self._combined)

    def with_digest(
        self, records: t.Sequence[Record], mark: LeaderMark | None = None
    ) -> list[Record]:
        """Return the records of an append followed by the digest after it.

        :param mark: what the leader states with this append, if it knows the offset.
        """
        self._before = {
            record.key: self._checksums.get(record.key) for record in records
        }
        for record in records:
            self._apply(record)
        keys, total = self.digest.keys, self.digest.total
        stored = _StoredDigest(keys, total)
        if mark is not None:
            durations_ms = (
                math.ceil(mark.inherited_s * 1000.0),
                math.ceil(mark.lease_bound_s * 1000.0),
            )
            stored = _StoredDigest(
                keys,
                total,
                mark.epoch,
                mark.end,
                mark.resigned,
                *durations_ms,
                _durations_ms_of_boxes(mark),
                mark.panel,
                mark.panel_covers_earlier,
            )
        return [*records, Record(DIGEST_KEY, _encode(stored))]

    def undo(self) -> None:
        """Restore the digest from before the newest append, which was not done."""
        for key, total in self._before.items():
            self._combined ^= self._checksums.pop(key, 0)
            if total is not None:
                self._checksums[key] = total
                self._combined ^= total
        self._before = {}


def _durations_ms_of_boxes(mark: LeaderMark) -> dict[str, int] | None:
    """Return the stored form of what a mark says of single boxes, unless that is long."""
    named = mark.inherited_s_of
    if named is None or len(named) > MAX_NAMED_BOXES:
        return None
    if any(len(name.encode()) > MAX_BOX_NAME_BYTES for name in named):
        return None
    return {name: math.ceil(left_s * 1000.0) for name, left_s in named.items()}


class Verdict(enum.Enum):
    """Why a read is not proved to be complete."""

    # The read, or part of it, is older than the epoch.
    OUTDATED = "old"
    # Another process has claimed a newer epoch.
    SUPERSEDED = "over"
    # An earlier incarnation of this process has led in the epoch.
    EPOCH_REUSED = "used"
    # The read does not match its digest: records are missing, or older ones are shown.
    DIGEST_MISMATCH = "differs"
    # The digest is missing, or an older version of this program, which writes none,
    # wrote last.
    NO_DIGEST = "unmarked"


class IncompleteRead(t.NamedTuple):
    """A read that is not proved to be complete.

    :param reason: the values that differ, for the log.
    """

    verdict: Verdict
    reason: str


def verify_read(read: NewestRecords, claim: EpochClaim) -> IncompleteRead | None:
    """Return why a read is not proved to be complete, or ``None`` if it is.

    :param claim: the claim of this process's epoch, made before the read.
    """
    values = {record.key: record.value for record in read.records}
    claimant = _decode_claimant(values.get(EPOCH_CLAIM_KEY))
    if claimant is None or (claimant.epoch, claimant.by) != (claim.epoch, claim.by):
        return _foreign_claim(claimant, claim)
    actual = DigestTracker(read.records).digest
    if DIGEST_KEY not in values:
        if not actual.keys and claim.end <= MAX_RECORDS_OF_CLAIMS:
            return None
        return IncompleteRead(Verdict.NO_DIGEST, f"no digest with {actual.keys} keys")
    try:
        stored = _digest_decoder.decode(values[DIGEST_KEY] or b"")
    except DECODE_ERRORS as error:
        return IncompleteRead(Verdict.NO_DIGEST, f"unreadable digest: {error}")
    expected = StateDigest(stored.keys, stored.total)
    if actual == expected:
        return None
    return IncompleteRead(Verdict.DIGEST_MISMATCH, f"{actual}, not {expected}")


def claims_to_read(records: t.Iterable[Record], claim: EpochClaim) -> int | None:
    """Return the offset from which on there may be nothing but claims, if the claim is
    not the next record after the newest mark; ``None`` if they need not be read.

    :param claim: the claim of this process's epoch, made before the read.
    """
    stored = _read_digest(records)
    if stored is None or not 1 < claim.end - stored.end <= MAX_CLAIMS_READ:
        return None
    return stored.end


def read_leader_mark(
    records: t.Iterable[Record], claim: EpochClaim, later: t.Sequence[Record] = ()
) -> LeaderMark | None:
    """Return the mark of the newest leader before this process that may have granted
    leases, or ``None`` if there is no proof of which one that is.

    :param claim: the claim of this process's epoch, made before the read.
    :param later: the topic's records from :func:`claims_to_read` to the claim.
    """
    stored = _read_digest(records)
    if stored is None or not stored.lease_ms:
        return None
    newest_epoch: int | None = stored.epoch
    passed_over = stored.end + 1 != claim.end
    if passed_over and not stored.panel:
        return None
    if passed_over:
        newest_epoch = _newest_claimed(later, claim, claim.end - stored.end)
    if newest_epoch is None or newest_epoch < claim.newest_known:
        # A leader of a version that claims its epoch without a record came after it.
        return None
    of_boxes = stored.inherited_ms_of
    return LeaderMark(
        stored.epoch,
        stored.end,
        stored.resigned,
        stored.inherited_ms / 1000.0,
        stored.lease_ms / 1000.0,
        None
        if of_boxes is None
        else {name: left_ms / 1000.0 for name, left_ms in of_boxes.items()},
        stored.panel,
        stored.panel_covers_earlier,
        passed_over,
    )


def _read_digest(records: t.Iterable[Record]) -> _StoredDigest | None:
    """Return the digest among some records, if it has a mark."""
    value = next((r.value for r in records if r.key == DIGEST_KEY), None)
    try:
        stored = _digest_decoder.decode(value or b"")
    except DECODE_ERRORS:
        return None
    return stored if stored.epoch else None


def _newest_claimed(
    records: t.Sequence[Record], claim: EpochClaim, count: int
) -> int | None:
    """Return the newest epoch that was claimed before this process's one, or ``None``
    unless all records are claims of processes that have granted no lease.

    :param count: how many records there are.
    """
    if len(records) != count or any(r.key != EPOCH_CLAIM_KEY for r in records):
        return None
    claimants = [_decode_claimant(record.value) for record in records]
    own, earlier = claimants[-1], [c for c in claimants[:-1] if c is not None]
    if own is None or (own.epoch, own.by) != (claim.epoch, claim.by):
        return None
    if len(earlier) < count - 1 or not all(c.witnessed for c in earlier):
        return None
    return max(c.epoch for c in earlier)


def _decode_claimant(value: bytes | None) -> _EpochClaimant | None:
    try:
        return _claimant_decoder.decode(value) if value else None
    except DECODE_ERRORS:
        return None


def _foreign_claim(
    claimant: _EpochClaimant | None, claim: EpochClaim
) -> IncompleteRead:
    reason = f"found {claimant}, expected epoch {claim.epoch} by {claim.by!r}"
    if claimant is None or claimant.epoch < claim.epoch:
        return IncompleteRead(Verdict.OUTDATED, reason)
    if claimant.epoch > claim.epoch:
        return IncompleteRead(Verdict.SUPERSEDED, reason)
    return IncompleteRead(Verdict.EPOCH_REUSED, reason)
