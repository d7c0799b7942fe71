"""Durable list of boxes whose leases the leader no longer renews, and how long the last
lease of each may still run.

A successor reads it. Without it the successor would have to assume that its predecessor
renewed leases until the take-over, and wait for their end even for boxes that nobody
has reached for long.

A lease renewed while the record stands would outlast the end that a successor assumes.
So a box that answers again gets no lease until the removal of its record is durable."""

import math
import typing as t

import msgspec

from .decisions import ResumeLeases
from .errors import DECODE_ERRORS
from .fieldtypes import Integer
from .interfaces import Record

__all__ = ["LEASE_KEY", "WithdrawnLeases", "decode_lease_left"]

LEASE_KEY: t.Final = "l/"
# A record counts from when a successor takes over, so it is written again while its
# lease runs out: the successor waits no more than this for time that has passed.
REWRITE_INTERVAL_S: t.Final = 0.5


class _LeaseRow(msgspec.Struct, frozen=True, array_like=True):
    """Stored form: how long the last lease may run from when the record is written."""

    left_ms: Integer


_encode = msgspec.msgpack.Encoder().encode
_lease_rows = msgspec.msgpack.Decoder(_LeaseRow)


def decode_lease_left(value: bytes) -> float | None:
    """Return for how many seconds the last lease of a box could run when the record was
    written, or ``None`` for a record of an older version, which does not say it."""
    try:
        return _lease_rows.decode(value).left_ms / 1000.0
    except DECODE_ERRORS:
        return None


class WithdrawnLeases:
    """The incarnations of boxes that get no lease."""

    def __init__(self) -> None:
        # Incarnation -> number of its latest resumption, so that an older one that
        # becomes durable later has no effect; `None` while leases are withdrawn.
        self._resume_changes: dict[str, int | None] = {}
        self._changes = 0
        # Incarnation -> when its record was last written, or read from a predecessor.
        self._written_at: dict[str, float] = {}
        self._unwritten_rows: dict[str, bytes | None] = {}

    def __contains__(self, incarnation: str) -> bool:
        return incarnation in self._resume_changes

    @property
    def waiting(self) -> bool:
        """Whether records must be written."""
        return bool(self._unwritten_rows)

    @property
    def incarnations(self) -> t.Collection[str]:
        """The incarnations that get no lease."""
        return self._resume_changes.keys()

    def pop_records(self) -> list[Record]:
        """Return the records that changed since the last call."""
        records = [
            Record(LEASE_KEY + incarnation, row)
            for incarnation, row in self._unwritten_rows.items()
        ]
        self._unwritten_rows.clear()
        return records

    def restore(self, incarnations: t.Iterable[str], now: float) -> None:
        """Add the incarnations that a predecessor recorded."""
        for incarnation in incarnations:
            self._resume_changes[incarnation] = None
            self._written_at[incarnation] = now

    def withdraw(
        self, incarnation: str, left_s: float, now: float, rewrite: bool = False
    ) -> None:
        """Stop renewing leases of an incarnation, and record how long the last one may
        still run.

        :param rewrite: whether to write the record again although it is recent.
        """
        if self._resume_changes.get(incarnation, 0) is None:
            age_s = now - self._written_at.get(incarnation, -math.inf)
            if age_s < REWRITE_INTERVAL_S and not rewrite:
                return
        self._resume_changes[incarnation] = None
        self._written_at[incarnation] = now
        left_ms = math.ceil(max(0.0, left_s) * 1000.0)
        self._unwritten_rows[incarnation] = _encode(_LeaseRow(left_ms))

    def is_written(self, incarnation: str) -> bool:
        """Return whether the record of an incarnation is among those that the records
        returned so far leave in the store."""
        written = incarnation in self._written_at
        return written and incarnation not in self._unwritten_rows

    def resume(self, incarnation: str) -> list[ResumeLeases]:
        """Remove the record of an incarnation; returns the effect that lets leases be
        renewed once the removal is durable."""
        if self._resume_changes.get(incarnation, 0) is not None:
            return []
        self._changes += 1
        self._resume_changes[incarnation] = self._changes
        self._written_at.pop(incarnation, None)
        self._unwritten_rows[incarnation] = None
        return [ResumeLeases(incarnation, self._changes)]

    def confirm_resumed(self, resumed: ResumeLeases) -> None:
        """Renew leases again, since the removal of the record is durable."""
        if self._resume_changes.get(resumed.incarnation) == resumed.change:
            del self._resume_changes[resumed.incarnation]
