"""Storage format of the recent losses of boxes, by which a successor goes on; see
:mod:`.crashevidence`."""

import typing as t

import msgspec

from .fieldtypes import Integer
from .interfaces import Record

__all__ = [
    "LOSSES_KEY",
    "HistoryRow",
    "LossRow",
    "SuspectedRow",
    "decode_history",
    "history_record",
]

# Older versions ignore this record.
LOSSES_KEY: t.Final = "n/"


class LossRow(msgspec.Struct, frozen=True, array_like=True):
    """Stored form of a loss.

    :param heard_ms: when it answered last, in shard time.
    :param lost_ms: when it was noticed.
    :param suspects: names of the tasks that may have caused it.
    :param tried: as :attr:`.crashevidence.BoxLoss.tried`.
    """

    incarnation: str
    address: str
    heard_ms: Integer
    lost_ms: Integer
    suspects: tuple[str, ...]
    tried: bool


class SuspectedRow(msgspec.Struct, frozen=True, array_like=True):
    """Stored form of a loss that is not weighed yet; see
    :class:`.crashevidence.SuspectedLoss`."""

    task: str
    run: Integer
    incarnation: str
    answered: bool
    window_ms: Integer
    number: Integer


class HistoryRow(msgspec.Struct, frozen=True, array_like=True):
    """Stored form of the history, in shard time.

    :param at_ms: when it was written.
    :param since_ms: since when losses have been observed.
    """

    at_ms: Integer
    since_ms: Integer
    losses: tuple[LossRow, ...]
    suspected: tuple[SuspectedRow, ...] = ()


_encode = msgspec.msgpack.Encoder().encode
_rows = msgspec.msgpack.Decoder(HistoryRow)


def history_record(row: HistoryRow) -> Record:
    """Return the record that holds a history."""
    return Record(LOSSES_KEY, _encode(row))


def decode_history(value: bytes) -> HistoryRow:
    """Return the history that a record holds.

    :raises msgspec.DecodeError: if it can't be read.
    """
    return _rows.decode(value)
