"""The last configuration that could be read, kept in the shard's records while the
operators' record can't be read. Otherwise a successor would have none, and serve nobody."""

import typing as t

from .interfaces import Record

__all__ = ["KeptConfig"]

# Followed by the key of the operators' record. Older versions ignore these records.
KEPT_CONFIG_KEY: t.Final = "o/"


class KeptConfig:
    """The record of a configuration, as operators wrote it."""

    def __init__(self) -> None:
        self._kept: Record | None = None
        self._unwritten: list[Record] = []

    @property
    def record(self) -> Record | None:
        """What is kept, if anything is."""
        return self._kept

    @property
    def waiting(self) -> bool:
        """Whether records must be written."""
        return bool(self._unwritten)

    def keep(self, record: Record) -> None:
        """Keep a configuration for a successor."""
        if record != self._kept:
            self._kept = record
            self._unwritten.append(Record(KEPT_CONFIG_KEY + record.key, record.value))

    def discard(self) -> None:
        """Keep none, since the operators' record can be read again."""
        if self._kept is not None:
            self._unwritten.append(Record(KEPT_CONFIG_KEY + self._kept.key, None))
            self._kept = None

    def pop_records(self) -> list[Record]:
        """Return the records that changed since the last call."""
        records, self._unwritten = self._unwritten, []
        return records

    def restore(self, records: t.Iterable[Record]) -> None:
        """Restore what a predecessor kept."""
        for key, value in records:
            if key.startswith(KEPT_CONFIG_KEY) and value is not None:
                self._kept = Record(key.removeprefix(KEPT_CONFIG_KEY), value)
