"""Boxes to which a decider renews no lease any more, as its successor will know. Without
that a successor has to count what a predecessor may go on for, from its own take-over,
for boxes that nobody has reached for long.

A lease that is renewed after such a record was written would outlast what a successor
counts. So a box that answers again gets none until the record is gone for certain."""

import typing as t

from .decisions import ResumeLeases
from .interfaces import Record

__all__ = ["LEASE_KEY", "WithdrawnLeases"]

LEASE_KEY: t.Final = "l/"
WITHDRAWN: t.Final = b"withdrawn"


class WithdrawnLeases:
    """The boxes, by life, that get no lease."""

    def __init__(self) -> None:
        # Life -> number of its last change, so that an older one counts no more once
        # it is durable; ``None`` while leases are withdrawn.
        self._resume_changes: dict[str, int | None] = {}
        self._changes = 0
        self._unwritten_rows: dict[str, bytes | None] = {}

    def __contains__(self, incarnation: str) -> bool:
        return incarnation in self._resume_changes

    @property
    def waiting(self) -> bool:
        """Whether something must be written."""
        return bool(self._unwritten_rows)

    @property
    def incarnations(self) -> t.Collection[str]:
        """The boxes."""
        return self._resume_changes.keys()

    def pop_records(self) -> list[Record]:
        """Return what changed since the last call, as records."""
        records = [
            Record(LEASE_KEY + incarnation, row)
            for incarnation, row in self._unwritten_rows.items()
        ]
        self._unwritten_rows.clear()
        return records

    def restore(self, incarnations: t.Iterable[str]) -> None:
        """Take up what a predecessor wrote."""
        self._resume_changes.update(dict.fromkeys(incarnations))

    def withdraw(self, incarnation: str) -> None:
        """Renew no lease there any more."""
        if self._resume_changes.get(incarnation, 0) is not None:
            self._resume_changes[incarnation] = None
            self._unwritten_rows[incarnation] = WITHDRAWN

    def resume(self, incarnation: str) -> list[ResumeLeases]:
        """Let leases be renewed there again once that is durable."""
        if self._resume_changes.get(incarnation, 0) is not None:
            return []
        self._changes += 1
        self._resume_changes[incarnation] = self._changes
        self._unwritten_rows[incarnation] = None
        return [ResumeLeases(incarnation, self._changes)]

    def confirm_resumed(self, resumed: ResumeLeases) -> None:
        """Note that a change is durable."""
        if self._resume_changes.get(resumed.incarnation) == resumed.change:
            del self._resume_changes[resumed.incarnation]
