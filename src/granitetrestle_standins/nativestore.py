"""A model of the platform's store: topics of keyed records, with appends that are
fenced by epoch and idempotent by sequence number. Where the store's specification is
ambiguous, a :class:`.StoreReading` selects the interpretation. Tests inject faults."""

import random
import typing as t

from granitetrestle.interfaces import Appended
from granitetrestle.interfaces import Fenced
from granitetrestle.interfaces import NewestPage
from granitetrestle.interfaces import NewestRecords
from granitetrestle.interfaces import NumberTaken
from granitetrestle.interfaces import Record
from granitetrestle.interfaces import Records
from granitetrestle.interfaces import RecordsGone
from granitetrestle.interfaces import Store
from granitetrestle.interfaces import StoreUnavailable
from granitetrestle.interfaces import Writer
from granitetrestle_standins.storereadings import PLAIN
from granitetrestle_standins.storereadings import ChangesOnPage
from granitetrestle_standins.storereadings import EmptyAppend
from granitetrestle_standins.storereadings import StoreReading

__all__ = ["MemoryStore", "OutOfSequence", "Page", "StoreModel"]

MAX_KEPT_ANSWERS = 5


class OutOfSequence(t.NamedTuple):
    """The sequence number of an append does not follow the last one.

    :param wanted: the next sequence number.
    """

    wanted: int


class Page(t.NamedTuple):
    """A page of the newest records, ordered by key.

    :param more: whether further records follow.
    :param end: the offset after the last record of the topic.
    """

    records: tuple[Record, ...]
    more: bool
    end: int


class _DelayedAppend(t.NamedTuple):
    """An append that is applied at ``at`` if its epoch and number are valid then."""

    at: float
    topic: str
    records: tuple[Record, ...]
    writer: Writer | None


class _WriterState:
    """The newest epoch that wrote to a topic, and its recent appends.

    :ivar last: the sequence number of the last append.
    :ivar answers: sequence number -> end offset that was answered.
    """

    def __init__(self) -> None:
        self.epoch = 0
        self.last: int | None = None
        self.answers: dict[int, int] = {}


class StoreModel:
    """Topics with one partition each.

    :param reading: interpretation of the specification where it is ambiguous.
    :param draw: chooses between old and new records on pages that are no snapshot.
    """

    def __init__(
        self, reading: StoreReading = PLAIN, draw: random.Random | None = None
    ) -> None:
        self.reading = reading
        self.topics: dict[str, list[Record]] = {}
        self.first_kept: dict[str, int] = {}
        self._writers: dict[str, _WriterState] = {}
        self._draw = draw or random.Random(0)
        # Topic -> its end offset when its first page was last requested.
        self._first_page_ends: dict[str, int] = {}
        self._delayed: list[_DelayedAppend] = []

    def end(self, topic: str) -> int:
        """Return the offset after the last record."""
        return len(self.topics.setdefault(topic, []))

    def append(
        self, topic: str, records: t.Sequence[Record], writer: Writer | None
    ) -> Appended | Fenced | OutOfSequence:
        """Append all records or none; repeat the first answer to a repeated append."""
        log = self.topics.setdefault(topic, [])
        if writer is None:
            log.extend(records)
            return Appended(len(log))
        state = self._writers.setdefault(topic, _WriterState())
        if writer.epoch < state.epoch:
            return Fenced()
        if writer.epoch > state.epoch:
            state.epoch, state.last = writer.epoch, None
            state.answers.clear()
        if writer.sequence in state.answers:
            return Appended(state.answers[writer.sequence])
        if state.last is not None and writer.sequence != state.last + 1:
            return OutOfSequence(state.last + 1)
        log.extend(records)
        if records or self.reading.empty is EmptyAppend.TAKES_NUMBER:
            state.last = writer.sequence
            state.answers[writer.sequence] = len(log)
            while len(state.answers) > MAX_KEPT_ANSWERS:
                del state.answers[min(state.answers)]
        return Appended(len(log))

    def append_later(
        self,
        at: float,
        topic: str,
        records: t.Sequence[Record],
        writer: Writer | None,
    ) -> None:
        """Apply an unanswered append at ``at`` (s), if it is valid then."""
        self._delayed.append(_DelayedAppend(at, topic, tuple(records), writer))

    def tick(self, now: float) -> None:
        """Apply the delayed appends that are due."""
        due = [delayed for delayed in self._delayed if delayed.at <= now]
        self._delayed = [delayed for delayed in self._delayed if delayed.at > now]
        for delayed in sorted(due, key=lambda delayed: delayed.at):
            self.append(delayed.topic, delayed.records, delayed.writer)

    def newest(self, topic: str) -> NewestRecords:
        """Return the newest record of each key that is not deleted."""
        kept = self._kept(topic, self.end(topic))
        records = tuple(record for record in kept.values() if record.value is not None)
        return NewestRecords(records, self.end(topic))

    def page(self, topic: str, after: str) -> Page:
        """Return one page of the newest records whose keys follow ``after``."""
        end = self.end(topic)
        kept = self._kept(topic, end)
        if not after:
            self._first_page_ends[topic] = end
        elif self.reading.pages is ChangesOnPage.OLD_OR_NEW:
            kept = self._old_or_new(kept, topic)
        records = sorted(
            record
            for record in kept.values()
            if record.value is not None and record.key > after
        )
        size = self.reading.page_size
        return Page(tuple(records[:size]), len(records) > size, end)

    def _kept(self, topic: str, end: int) -> dict[str, Record]:
        """Return the newest record of each key before ``end``, deletions included."""
        log = self.topics.setdefault(topic, [])
        return {record.key: record for record in log[:end]}

    def _old_or_new(self, new: t.Mapping[str, Record], topic: str) -> dict[str, Record]:
        """Return each key with its current record, or that of the first page's time."""
        old = self._kept(topic, self._first_page_ends.get(topic, 0))
        mixed = {}
        for key, record in new.items():
            before = old.get(key, Record(key, None))
            mixed[key] = self._draw.choice((before, record))
        return mixed

    def read(self, topic: str, start: int) -> Records | RecordsGone:
        """Return the records from offset ``start`` on."""
        if start < self.first_kept.get(topic, 0):
            return RecordsGone()
        log = self.topics.setdefault(topic, [])
        return Records(tuple(log[start:]), len(log))

    def drop_history(self, topic: str) -> None:
        """Drop the history; the newest record of each key stays."""
        self.first_kept[topic] = self.end(topic)


class MemoryStore(Store):
    """The model behind the interface :class:`.Store`, with faults.

    :ivar down: whether every call is refused.
    :ivar lose: number of next appends that are applied and not answered.
    :ivar appends: writer and record count of each append.
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
        """See :meth:`granitetrestle.interfaces.Store.append`."""
        if self.down:
            return StoreUnavailable("down", not_applied=True)
        self.appends.append((writer, len(records)))
        outcome = self.model.append(topic, records, writer)
        if isinstance(outcome, OutOfSequence):
            return NumberTaken(outcome.wanted)
        if self.lose:
            self.lose -= 1
            return StoreUnavailable("no answer")
        return outcome

    async def newest_page(
        self, topic: str, after: str | None, timeout_s: float
    ) -> NewestPage | StoreUnavailable:
        """See :meth:`granitetrestle.interfaces.Store.newest_page`; all in one page."""
        if self.down:
            return StoreUnavailable("down")
        newest = self.model.newest(topic)
        return NewestPage(newest.records, newest.end, more=False)

    async def read(
        self, topic: str, start: int, wait_s: float
    ) -> Records | RecordsGone | StoreUnavailable:
        """See :meth:`granitetrestle.interfaces.Store.read`."""
        return StoreUnavailable("down") if self.down else self.model.read(topic, start)
