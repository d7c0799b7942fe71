"""Copy of the shard's records that a likely successor keeps up to date.

The more records there are, and the thinner the link, the longer a take-over reads, and
nobody leads meanwhile. A process with a copy reads only what was written since. Whether
the copy is complete is proved like any other read; see :mod:`.statedigest`."""

import time
import typing as t

import anyio

from .interfaces import NewestRecords
from .interfaces import NewestUnavailable
from .interfaces import Record
from .interfaces import Records
from .interfaces import RecordsGone
from .interfaces import Store
from .newestread import read_newest
from .nodelog import NodeLog

__all__ = ["RecordsCopy", "Standby"]

# A take-over reads what was written in this time, which even a thin link carries soon.
FOLLOW_INTERVAL_S: t.Final = 1.0
# A process that is no likely successor any more goes on following for this long: the order
# of the successors changes with each restart, and a new copy costs a read of all records.
KEEP_S: t.Final = 15.0
# A copy that could not be made, or continued, is made anew after this time.
RETRY_INTERVAL_S: t.Final = 5.0


class RecordsCopy:
    """The newest record of each key of a topic, as of an offset.

    :ivar end: offset to read from next.
    """

    def __init__(self, newest: NewestRecords) -> None:
        self._records = {record.key: record for record in newest.records}
        self.end = newest.end

    def apply(self, later: Records) -> None:
        """Apply the records from :attr:`end` on."""
        for record in later.records:
            if record.value is None:
                self._records.pop(record.key, None)
            else:
                self._records[record.key] = record
        self.end = later.end

    @property
    def newest(self) -> NewestRecords:
        """The newest record of each key that is not deleted."""
        return NewestRecords(tuple(self._records.values()), self.end)


class Standby:
    """Keeps a copy of a topic while this process is a likely successor."""

    def __init__(self, store: Store, topic: str, log: NodeLog) -> None:
        self._store = store
        self._topic = topic
        self._log = log
        self._copy: RecordsCopy | None = None
        self._wanted_until = -1e9
        self._leading = False
        self._wake = anyio.Event()

    @property
    def following(self) -> bool:
        """Whether there is a copy."""
        return self._copy is not None

    def update(self, likely: bool, leading: bool) -> None:
        """Record the role of this process; to be called several times a second.

        :param likely: whether it is a likely successor.
        :param leading: whether it leads, or is taking over.
        """
        self._leading = leading
        if likely:
            self._wanted_until = time.monotonic() + KEEP_S
        if self._is_wanted():
            self._wake.set()

    def take(self) -> RecordsCopy | None:
        """Return the copy, if there is one, and keep it no longer."""
        copy, self._copy = self._copy, None
        return copy

    def _is_wanted(self) -> bool:
        return not self._leading and time.monotonic() < self._wanted_until

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            if not self._is_wanted():
                self._copy = None
                self._wake = anyio.Event()
                await self._wake.wait()
            followed = await (self._follow() if self._copy else self._begin())
            await anyio.sleep(FOLLOW_INTERVAL_S if followed else RETRY_INTERVAL_S)

    async def _begin(self) -> bool:
        """Make a copy; returns whether it could be made."""
        outcome = await read_newest(self._store, self._topic)
        if isinstance(outcome, NewestUnavailable):
            self._log.event("standby_failed", **outcome._asdict())
            return False
        if self._is_wanted():
            self._copy = RecordsCopy(outcome)
            self._log.event(
                "standby",
                records=len(outcome.records),
                bytes=total_bytes(outcome.records),
                end=outcome.end,
            )
        return True

    async def _follow(self) -> bool:
        """Apply what was written since; returns whether the copy can be continued."""
        copy = self._copy
        assert copy is not None
        outcome = await self._store.read(self._topic, copy.end, 0.0)
        if isinstance(outcome, Records):
            if copy is self._copy:
                copy.apply(outcome)
        elif isinstance(outcome, RecordsGone):
            self._copy = None
            self._log.event("standby_failed", reason="records are gone", end=copy.end)
            return False
        return True


def total_bytes(records: t.Iterable[Record]) -> int:
    """Return the bytes of keys and values of some records."""
    return sum(record.size for record in records)
