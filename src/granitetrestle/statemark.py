"""What proves to a successor that the records it has read are all that its predecessor
believed to be kept. Each append ends with a mark: how many keys the topic holds from then
on. So no append is empty, and none has its number in common with another; a reading that
leaves records out does not agree with its mark; and one that does not show a successor's
own first record is older than its epoch, or the epoch is not its own."""

import typing as t

import msgspec

from .outside import Newest
from .outside import Record

__all__ = ["MARK_KEY", "TAKEN_KEY", "Marks", "NotWhole", "Taken", "what_is_wrong"]

# Keys of no job: a reader of jobs passes over them.
MARK_KEY: t.Final = "m/state"
TAKEN_KEY: t.Final = "m/taken"
_OWN_KEYS: t.Final = frozenset({MARK_KEY, TAKEN_KEY})


class StateMark(msgspec.Struct, frozen=True, array_like=True):
    """How many keys a topic holds, those of marks left out."""

    keys: int


class _TakenBy(msgspec.Struct, frozen=True, array_like=True):
    """Which life of a process raised an epoch."""

    epoch: int
    by: str


class Taken(t.NamedTuple):
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
        return Record(TAKEN_KEY, _encode(_TakenBy(epoch, by)))


_encode = msgspec.msgpack.Encoder().encode
_marks = msgspec.msgpack.Decoder(StateMark)
_taken = msgspec.msgpack.Decoder(_TakenBy)


class Marks:
    """Follows which keys a topic holds.

    :param records: what it holds now.
    """

    def __init__(self, records: t.Iterable[Record] = ()) -> None:
        self._keys = {record.key for record in records} - _OWN_KEYS

    def marked(self, records: t.Sequence[Record]) -> list[Record]:
        """Return the records of an append with their mark."""
        for record in records:
            if record.value is None:
                self._keys.discard(record.key)
            else:
                self._keys.add(record.key)
        return [*records, Record(MARK_KEY, _encode(StateMark(len(self._keys))))]


class NotWhole(t.NamedTuple):
    """Why a reading is not the whole of what was kept.

    :param ours: whether it shows the first record of the epoch, so that it is no older.
    :param used: whether an earlier life of the process has decided in the epoch.
    """

    reason: str
    ours: bool = False
    used: bool = False


def what_is_wrong(read: Newest, taken: Taken) -> NotWhole | None:
    """Return why a reading is not the whole of what was kept, or ``None`` if it is.

    :param taken: the epoch, as it was raised before the reading.
    """
    values = {record.key: record.value for record in read.records}
    shown = _shown(values.get(TAKEN_KEY))
    if shown != _TakenBy(taken.epoch, taken.by):
        used = shown is not None and shown.epoch == taken.epoch
        return NotWhole(
            f"the epoch's first record is not there, but {shown}", used=used
        )
    mark = values.get(MARK_KEY)
    if mark is None:
        # Nobody decided yet, or an older version did.
        return None
    try:
        expected = _marks.decode(mark).keys
    except msgspec.DecodeError:
        return NotWhole("the mark can't be read", ours=True)
    found = len(values.keys() - _OWN_KEYS)
    if found == expected:
        return None
    return NotWhole(f"{found} keys, of {expected}", ours=True)


def _shown(value: bytes | None) -> _TakenBy | None:
    try:
        return _taken.decode(value) if value else None
    except msgspec.DecodeError:
        return None
