"""Durable list of boxes whose leases the leader no longer renews.

A successor reads it. Without it the successor would have to assume that its predecessor
renewed leases until the take-over, and wait for their end even for boxes that nobody
has reached for long.

A lease renewed while the record stands would outlast the end that a successor assumes.
So a box that answers again gets no lease until the removal of its record is durable."""

import typing as t

from .decisions import ResumeLeases
from .interfaces import Record

__all__ = ["LEASE_KEY", "WithdrawnLeases"]

LEASE_KEY: t.Final = "l/"
WITHDRAWN: t.Final = b"withdrawn"


class WithdrawnLeases:
    """The incarnations of boxes that get no lease."""

    def __init__(self) -> None:
        # Incarnation -> number of its latest resumption, so that an older one that
        # becomes durable later has no effect; `None` while leases are withdrawn.
        self._resume_changes: dict[str, int | None] = {}
        self._changes = 0
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

    def restore(self, incarnations: t.Iterable[str]) -> None:
        """Add the incarnations that a predecessor recorded."""
        self._resume_changes.update(dict.fromkeys(incarnations))

    def withdraw(self, incarnation: str) -> None:
        """Stop renewing leases of an incarnation."""
        if self._resume_changes.get(incarnation, 0) is not None:
            self._resume_changes[incarnation] = None
            self._unwritten_rows[incarnation] = WITHDRAWN

    def resume(self, incarnation: str) -> list[ResumeLeases]:
        """Remove the record of an incarnation; returns the effect that lets leases be
        renewed once the removal is durable."""
        if self._resume_changes.get(incarnation, 0) is not None:
            return []
        self._changes += 1
        self._resume_changes[incarnation] = self._changes
        self._unwritten_rows[incarnation] = None
        return [ResumeLeases(incarnation, self._changes)]

    def confirm_resumed(self, resumed: ResumeLeases) -> None:
        """Renew leases again, since the removal of the record is durable."""
        if self._resume_changes.get(resumed.incarnation) == resumed.change:
            del self._resume_changes[resumed.incarnation]
