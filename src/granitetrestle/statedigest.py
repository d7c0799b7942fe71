"""What proves to a successor that the records it has read are all that its predecessor
believed to be kept. Each append ends with a mark: a sum over the keys and values that the
topic holds from then on. So no append is empty, and none has its number in common with
another; a reading that leaves records out, or shows older ones, does not agree with its
mark; and one that does not show a successor's own first record is older than its epoch, or
the epoch is not its own."""

import enum
import typing as t
import zlib

import msgspec

from .interfaces import NewestRecords
from .interfaces import Record

__all__ = [
    "DIGEST_BYTES",
    "DIGEST_KEY",
    "EPOCH_CLAIM_KEY",
    "DigestTracker",
    "IncompleteRead",
    "EpochClaim",
    "Verdict",
    "verify_read",
]

# Keys of no job: a reader of jobs passes over them.
DIGEST_KEY: t.Final = "m/state"
EPOCH_CLAIM_KEY: t.Final = "m/taken"
_OWN_KEYS: t.Final = frozenset({DIGEST_KEY, EPOCH_CLAIM_KEY})
# The most that a mark adds to an append, with the lengths before it.
DIGEST_BYTES: t.Final = 64
# A topic that has seen no more records than this may hold nothing but those with which
# epochs were raised: all processes try at the first start, some of them several times.
MAX_RECORDS_OF_CLAIMS: t.Final = 64


class StateDigest(msgspec.Struct, frozen=True, array_like=True):
    """What a topic holds, records of this module left out.

    :param total: exclusive or of the check sums of each key with its value.
    """

    keys: int
    total: int


class _EpochClaimant(msgspec.Struct, frozen=True, array_like=True):
    """Which life of a process raised an epoch."""

    epoch: int
    by: str


class EpochClaim(t.NamedTuple):
    """An epoch that was raised.

    :param by: the life of the process that raised it.
    :param end: where the topic ended then.
    """

    epoch: int
    by: str
    end: int

    @staticmethod
    def record(epoch: int, by: str) -> Record:
        """Return the record with which a process raises an epoch."""
        return Record(EPOCH_CLAIM_KEY, _encode(_EpochClaimant(epoch, by)))


_encode = msgspec.msgpack.Encoder().encode
_digest_decoder = msgspec.msgpack.Decoder(StateDigest)
_claimant_decoder = msgspec.msgpack.Decoder(_EpochClaimant)


class DigestTracker:
    """Follows what a topic holds.

    :param records: what it holds now.
    """

    def __init__(self, records: t.Iterable[Record] = ()) -> None:
        self._checksums: dict[str, int] = {}
        self._combined = 0
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
        """What the topic holds now."""
        return StateDigest(len(self._checksums), self._combined)

    def with_digest(self, records: t.Sequence[Record]) -> list[Record]:
        """Return the records of an append with their mark."""
        for record in records:
            self._apply(record)
        return [*records, Record(DIGEST_KEY, _encode(self.digest))]


class Verdict(enum.Enum):
    """What a reading is that is not proved to be the whole of what was kept."""

    # It is older than the epoch, or part of it is.
    OUTDATED = "old"
    # Another process has raised a newer epoch.
    SUPERSEDED = "over"
    # An earlier life of this process has decided in the epoch.
    EPOCH_REUSED = "used"
    # It does not agree with its mark: records are missing, or older ones are shown.
    DIGEST_MISMATCH = "differs"
    # It has no mark: an older version of this program wrote last, or the mark is missing.
    NO_DIGEST = "unmarked"


class IncompleteRead(t.NamedTuple):
    """Why a reading is not proved to be the whole of what was kept."""

    verdict: Verdict
    reason: str


def verify_read(read: NewestRecords, claim: EpochClaim) -> IncompleteRead | None:
    """Return why a reading is not proved to be whole, or ``None`` if it is.

    :param taken: the epoch, as it was raised before the reading.
    """
    values = {record.key: record.value for record in read.records}
    claimant = _decode_claimant(values.get(EPOCH_CLAIM_KEY))
    if claimant != _EpochClaimant(claim.epoch, claim.by):
        return _foreign_claim(claimant, claim)
    actual = DigestTracker(read.records).digest
    if DIGEST_KEY not in values:
        if not actual.keys and claim.end <= MAX_RECORDS_OF_CLAIMS:
            return None
        return IncompleteRead(Verdict.NO_DIGEST, f"no mark beside {actual.keys} keys")
    try:
        expected = _digest_decoder.decode(values[DIGEST_KEY] or b"")
    except msgspec.DecodeError as error:
        return IncompleteRead(Verdict.NO_DIGEST, f"the mark can't be read: {error}")
    if actual == expected:
        return None
    return IncompleteRead(Verdict.DIGEST_MISMATCH, f"{actual}, not {expected}")


def _decode_claimant(value: bytes | None) -> _EpochClaimant | None:
    try:
        return _claimant_decoder.decode(value) if value else None
    except msgspec.DecodeError:
        return None


def _foreign_claim(
    claimant: _EpochClaimant | None, claim: EpochClaim
) -> IncompleteRead:
    reason = f"the epoch's first record is not there, but {claimant}"
    if claimant is None or claimant.epoch < claim.epoch:
        return IncompleteRead(Verdict.OUTDATED, reason)
    if claimant.epoch > claim.epoch:
        return IncompleteRead(Verdict.SUPERSEDED, reason)
    return IncompleteRead(Verdict.EPOCH_REUSED, reason)
