"""Feeds that a leader reads continuously from the store: the configuration and
operators' directives, and the list of boxes. A feed is reloaded as a whole if the store
has dropped the records at its offset."""

import abc
import time
import typing as t

import anyio

from . import steadyclock
from .decisions import Decision
from .errors import MalformedDirective
from .errors import MalformedEntry
from .interfaces import Advisor
from .interfaces import BoxCalls
from .interfaces import BoxEntry
from .interfaces import Config
from .interfaces import HallDirective
from .interfaces import NewestRecords
from .interfaces import NewestUnavailable
from .interfaces import Record
from .interfaces import Records
from .interfaces import RecordsGone
from .interfaces import Store
from .interfaces import StoreUnavailable
from .leaderfailures import format_trace
from .newestread import read_newest
from .nodelog import NodeLog
from .scheduler import Scheduler
from .slices import SlicedWork
from .slices import run_to_completion

__all__ = ["BoxFeed", "OperatorFeed", "Sources"]

# Boxes write every 1 to 2 s. A change must be seen well within the 2 s in which a
# leaving box may still be given tasks.
BOX_LIST_INTERVAL_S: t.Final = 0.4
CONFIG_READ_WAIT_S: t.Final = 0.8
# Nothing is decided for clients on a configuration that was read longer ago.
MAX_CONFIG_AGE_S: t.Final = 1.8
RETRY_INTERVAL_S: t.Final = 0.1

Apply: t.TypeAlias = t.Callable[[list[Decision]], None]


class Sources(t.NamedTuple):
    """Where a session reads from, and how the records are decoded.

    :param decode_operator: returns the configuration or the directive that a record
        holds, or ``None`` if it is about something else; raises ``MalformedDirective``
        if it can't be read.
    """

    store: Store
    boxes: BoxCalls
    config_topic: str
    box_topic: str
    decode_operator: t.Callable[[Record], Config | HallDirective | None]
    decode_box: t.Callable[[Record], BoxEntry | None]
    advisor: Advisor | None = None


class _Feed(abc.ABC):
    """Reads one topic continuously. A record that can't be decoded, for whatever reason,
    costs that record: each successor would fail at it like this process.

    :param apply: carries out the scheduler's decisions.
    """

    def __init__(
        self, sources: Sources, scheduler: Scheduler, apply: Apply, log: NodeLog
    ) -> None:
        self._sources = sources
        self._scheduler = scheduler
        self._apply = apply
        self._log = log
        # Offset to read from next.
        self._next_offset = 0

    @abc.abstractmethod
    def load(self, newest: NewestRecords) -> None:
        """Load the newest records of the topic."""

    @abc.abstractmethod
    async def follow(self) -> None:
        """Read new records until cancelled."""

    async def _reload(self, topic: str) -> NewestRecords | None:
        """Return the newest records, or ``None`` if they can't be read (logged)."""
        outcome = await read_newest(self._sources.store, topic, self._next_offset)
        if isinstance(outcome, NewestUnavailable):
            self._log.event("topic_unread", topic=topic, **outcome._asdict())
            return None
        return outcome


class OperatorFeed(_Feed):
    """The configuration, and which data halls are evacuated."""

    def __init__(
        self, sources: Sources, scheduler: Scheduler, apply: Apply, log: NodeLog
    ) -> None:
        super().__init__(sources, scheduler, apply, log)
        self._read_at = -1e9
        # Data halls with a directive that can't be read.
        self._unreadable: set[str] = set()
        # The operators' record of the configuration in force.
        self._config_record: Record | None = None

    @property
    def config(self) -> Config | None:
        """The configuration in force."""
        return self._scheduler.state.config

    @property
    def fresh(self) -> bool:
        """Whether configuration and directives were read recently."""
        return steadyclock.now() - self._read_at < MAX_CONFIG_AGE_S

    @property
    def unreadable(self) -> int:
        """How many data halls have a directive that can't be read."""
        return len(self._unreadable)

    def load(self, newest: NewestRecords, as_of: float | None = None) -> None:
        """See :meth:`_Feed.load`.

        :param as_of: when the read of these records began, on the steady clock; now if
            it is not given.
        """
        self._apply_records(newest, steadyclock.now() if as_of is None else as_of)
        kept = self._scheduler.state.kept_config.record
        if self.config is None and kept is not None:
            self._log.event("config_kept", key=kept.key)
            self._decode([kept])

    async def follow(self) -> None:
        """See :meth:`_Feed.follow`."""
        store, topic = self._sources.store, self._sources.config_topic
        # What the take-over read may be out of date.
        wait_s = 0.0
        while True:
            outcome: Records | NewestRecords | RecordsGone | StoreUnavailable | None
            as_of = steadyclock.now()
            outcome = await store.read(topic, self._next_offset, wait_s)
            if isinstance(outcome, RecordsGone):
                as_of, wait_s = steadyclock.now(), 0.0
                outcome = await self._reload(topic)
            if outcome is None or isinstance(outcome, StoreUnavailable):
                # Starts are held back until the store answers, so the next read must
                # not wait for a record.
                wait_s = 0.0
                await anyio.sleep(RETRY_INTERVAL_S)
                continue
            if outcome.records:
                # It was answered as soon as there was a record, and the next one must
                # not wait: this one may be almost as old as a wait.
                wait_s = 0.0
            else:
                # For the whole wait there was no record. What is known then ages while
                # this answer and the next one are under way.
                as_of = min(as_of + wait_s, steadyclock.now())
                wait_s = max(0.0, CONFIG_READ_WAIT_S - (steadyclock.now() - as_of))
            self._apply_records(outcome, as_of)

    def _apply_records(self, outcome: NewestRecords | Records, as_of: float) -> None:
        """Put configuration and directives in force; :class:`.NewestRecords` replace
        all earlier directives.

        :param as_of: a time on the steady clock up to which all records are known. The
            answer may be processed much later, if this process stood still meanwhile.
        """
        self._next_offset = outcome.end
        directives, unreadable = self._decode(outcome.records)
        evacuation, now = self._scheduler.evacuation, time.monotonic()
        if isinstance(outcome, NewestRecords):
            self._unreadable = unreadable
            self._apply(evacuation.replace_directives(directives, unreadable, now))
        else:
            self._unreadable -= {directive.hall for directive in directives}
            self._unreadable |= unreadable
            self._apply(evacuation.apply_directives(directives, now))
        self._read_at = as_of
        evacuation.record_read(now - (steadyclock.now() - as_of))

    def _decode(
        self, records: t.Iterable[Record]
    ) -> tuple[list[HallDirective], set[str]]:
        """Put configurations in force; return the directives about data halls, and the
        halls whose directive can't be read."""
        directives: list[HallDirective] = []
        unreadable: set[str] = set()
        for record in records:
            try:
                directive = self._sources.decode_operator(record)
            except MalformedDirective as error:
                self._log.event("order_malformed", key=error.key, error=error.message)
                unreadable.add(error.hall)
                if error.is_config and self._config_record is not None:
                    self._scheduler.state.kept_config.keep(self._config_record)
                continue
            except Exception as error:
                inputs = {"error": repr(error), "trace": format_trace(error)}
                self._log.event("order_malformed", key=record.key, **inputs)
                unreadable.add("")
                continue
            if isinstance(directive, Config):
                self._apply(self._scheduler.apply_config(directive))
                self._config_record = record
                if record != self._scheduler.state.kept_config.record:
                    self._scheduler.state.kept_config.discard()
            elif directive is not None:
                directives.append(directive)
        return directives, unreadable


class BoxFeed(_Feed):
    """The list of boxes."""

    def __init__(
        self, sources: Sources, scheduler: Scheduler, apply: Apply, log: NodeLog
    ) -> None:
        super().__init__(sources, scheduler, apply, log)
        # By key: an incarnation that starts under the id of another replaces it.
        self._entries: dict[str, BoxEntry] = {}
        # Keys of entries that name no usable box, as already logged.
        self._rejected_keys: set[str] = set()

    def __len__(self) -> int:
        return len(self._entries)

    def load(self, newest: NewestRecords) -> None:
        """See :meth:`_Feed.load`."""
        run_to_completion(self.loading(newest))

    def loading(self, newest: NewestRecords) -> SlicedWork[None]:
        """Load the newest records, one entry in each step."""
        self._next_offset = newest.end
        yield from self._applying_records(newest.records)

    async def follow(self) -> None:
        """See :meth:`_Feed.follow`."""
        store, topic = self._sources.store, self._sources.box_topic
        while True:
            await anyio.sleep(BOX_LIST_INTERVAL_S)
            outcome: Records | NewestRecords | RecordsGone | StoreUnavailable | None
            outcome = await store.read(topic, self._next_offset, 0.0)
            if isinstance(outcome, RecordsGone):
                outcome = await self._reload(topic)
                if outcome is not None:
                    self._entries.clear()
            if outcome is None or isinstance(outcome, StoreUnavailable):
                continue
            self._next_offset = outcome.end
            self._apply_records(outcome.records)

    def _apply_records(self, records: t.Iterable[Record]) -> None:
        run_to_completion(self._applying_records(records))

    def _applying_records(self, records: t.Iterable[Record]) -> SlicedWork[None]:
        for record in records:
            yield
            self._entries.pop(record.key, None)
            try:
                entry = self._sources.decode_box(record)
            except MalformedEntry as error:
                self._log_rejected(error.key, error.message)
                continue
            except Exception as error:
                self._log_rejected(record.key, repr(error), format_trace(error))
                continue
            if entry is None:
                self._rejected_keys.discard(record.key)
            else:
                self._entries[record.key] = entry
        fleet, now = self._scheduler.fleet, time.monotonic()
        updating = fleet.update_boxes_in_slices(
            self._usable(), now, self._rejected_keys
        )
        self._apply((yield from updating))

    def _usable(self) -> dict[str, BoxEntry]:
        """Return boxes in use or of a configured service, by incarnation."""
        config = self._scheduler.state.config
        if config is None:
            return {entry.incarnation: entry for entry in self._entries.values()}
        services = config.enforces_capacity.keys() | {
            queue.service for queue in config.queues
        }
        in_use = self._scheduler.state.boxes
        usable: dict[str, BoxEntry] = {}
        for key, entry in self._entries.items():
            if entry.service in services or entry.incarnation in in_use:
                usable[entry.incarnation] = entry
                self._rejected_keys.discard(key)
            else:
                self._log_rejected(key, f"no such service: {entry.service}")
        return usable

    def _log_rejected(self, key: str, reason: str, trace: str = "") -> None:
        """Log once that an entry is not used.

        :param trace: of an error that the decoder should not raise.
        """
        if key not in self._rejected_keys:
            self._rejected_keys.add(key)
            inputs = {"trace": trace} if trace else {}
            self._log.event("box_malformed", box=key, error=reason, **inputs)
