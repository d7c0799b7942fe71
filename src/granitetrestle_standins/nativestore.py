"""A store as the platform has one: topics of keyed records, appends that fence by
epoch and answer a repeat as they answered first. Faults are switched on by tests."""

import typing as t

from granitetrestle.outside import Appended
from granitetrestle.outside import Fenced
from granitetrestle.outside import Newest
from granitetrestle.outside import NumberTaken
from granitetrestle.outside import Record
from granitetrestle.outside import Records
from granitetrestle.outside import RecordsGone
from granitetrestle.outside import Store
from granitetrestle.outside import StoreUnavailable
from granitetrestle.outside import Writer

__all__ = ["MemoryStore", "OutOfSequence", "StoreModel"]

ANSWERS_KEPT = 5


class OutOfSequence(t.NamedTuple):
    """The append does not follow the last one."""

    wanted: int


class _Writing:
    """What a topic remembers of the newest epoch that wrote to it."""

    def __init__(self) -> None:
        self.epoch = 0
        self.last: int | None = None
        self.answers: dict[int, int] = {}


class StoreModel:
    """Topics with one partition each."""

    def __init__(self) -> None:
        self.topics: dict[str, list[Record]] = {}
        self.first_kept: dict[str, int] = {}
        self._writing: dict[str, _Writing] = {}

    def end(self, topic: str) -> int:
        """Return the offset after the last record."""
        return len(self.topics.setdefault(topic, []))

    def append(
        self, topic: str, records: t.Sequence[Record], writer: Writer | None
    ) -> Appended | Fenced | OutOfSequence:
        """Append all records or none."""
        log = self.topics.setdefault(topic, [])
        if writer is None:
            log.extend(records)
            return Appended(len(log))
        writing = self._writing.setdefault(topic, _Writing())
        if writer.epoch < writing.epoch:
            return Fenced()
        if writer.epoch > writing.epoch:
            writing.epoch, writing.last = writer.epoch, None
            writing.answers.clear()
        if writer.sequence in writing.answers:
            return Appended(writing.answers[writer.sequence])
        if writing.last is not None and writer.sequence != writing.last + 1:
            return OutOfSequence(writing.last + 1)
        log.extend(records)
        if records:
            # An append without records sets the epoch and takes no number.
            writing.last = writer.sequence
            writing.answers[writer.sequence] = len(log)
            while len(writing.answers) > ANSWERS_KEPT:
                del writing.answers[min(writing.answers)]
        return Appended(len(log))

    def newest(self, topic: str) -> Newest:
        """Return the newest record of each key that was not dropped."""
        log = self.topics.setdefault(topic, [])
        kept = {record.key: record for record in log}
        records = tuple(record for record in kept.values() if record.value is not None)
        return Newest(records, len(log))

    def read(self, topic: str, start: int) -> Records | RecordsGone:
        """Return the records from ``start`` on."""
        if start < self.first_kept.get(topic, 0):
            return RecordsGone()
        log = self.topics.setdefault(topic, [])
        return Records(tuple(log[start:]), len(log))

    def forget(self, topic: str) -> None:
        """Drop the history; the newest of each key stay."""
        self.first_kept[topic] = self.end(topic)


class MemoryStore(Store):
    """The model as a store, with faults.

    :ivar down: every call is refused.
    :ivar lose: how many of the next appends are done and not answered.
    """

    def __init__(self, model: StoreModel) -> None:
        self.model = model
        self.down = False
        self.lose = 0
        self.appends: list[tuple[Writer | None, int]] = []

    async def append(
        self,
        topic: str,
        records: t.Sequence[Record],
        writer: Writer | None,
        timeout_s: float,
    ) -> Appended | Fenced | NumberTaken | StoreUnavailable:
        """See :meth:`granitetrestle.outside.Store.append`."""
        if self.down:
            return StoreUnavailable("down", undone=True)
        self.appends.append((writer, len(records)))
        outcome = self.model.append(topic, records, writer)
        if isinstance(outcome, OutOfSequence):
            return NumberTaken(outcome.wanted)
        if self.lose:
            self.lose -= 1
            return StoreUnavailable("no answer")
        return outcome

    async def newest(
        self, topic: str, timeout_s: float, from_end: int = 0
    ) -> Newest | StoreUnavailable:
        """See :meth:`granitetrestle.outside.Store.newest`."""
        if self.down:
            return StoreUnavailable("down")
        newest = self.model.newest(topic)
        if newest.end < from_end:
            return StoreUnavailable(f"a page of {newest.end}, not of {from_end}")
        return newest

    async def read(
        self, topic: str, start: int, wait_s: float
    ) -> Records | RecordsGone | StoreUnavailable:
        """See :meth:`granitetrestle.outside.Store.read`."""
        return StoreUnavailable("down") if self.down else self.model.read(topic, start)
