"""Write-ahead journal of a shard: writes the leader's decisions to the store in batches
and releases their effects only when they are durable.

An append without an answer is repeated under the same sequence number until the store
answers; only a newer epoch ends that. A repeat does not cancel the attempt before it,
which a slow store answers first. A long append is repeated later than a short one: the
attempts would share the link, and none of them would get through.

An append that the store refuses for good is split, down to the record that it does not
take. If it refuses that one each time, and takes appends without it in between, the record
is left out: no successor could write it either, and all else would wait for it without
end."""

import math
import typing as t

import anyio
import anyio.lowlevel

from .appendpace import DEFAULT_LINK_BYTES_PER_S
from .appendpace import AppendPace
from .interfaces import Appended
from .interfaces import AppendRefused
from .interfaces import Fenced
from .interfaces import NumberTaken
from .interfaces import Record
from .interfaces import Store
from .interfaces import StoreUnavailable
from .interfaces import Writer
from .statedigest import DIGEST_BYTES
from .statedigest import DigestTracker
from .statedigest import LeaderMark

__all__ = ["Journal", "JournalStatus", "NotKept", "RefusedRecord"]

# The store charges for calls and limits them. A decision waits half of this on average,
# which is little compared to the time that a short job may take.
BATCH_INTERVAL_S: t.Final = 0.015
# With nothing to write, an append of the state digest alone confirms the leader lease.
CONFIRM_INTERVAL_S: t.Final = 0.4
# An append is repeated next to the previous attempt after this many times its usual
# duration, and again after delays that double. An attempt is given up at the timeout.
REPEAT_DELAY_FACTOR: t.Final = 8.0
MIN_REPEAT_DELAY_S: t.Final = 0.1
APPEND_TIMEOUT_S: t.Final = 1.2
# What the link needs for the bytes of an append comes on top, times these factors: other
# calls share the link. The first is for what counts as late, the second for the timeout.
TRANSFER_FACTOR: t.Final = 2.0
TIMEOUT_TRANSFER_FACTOR: t.Final = 4.0
MAX_CONCURRENT_ATTEMPTS: t.Final = 3
RETRY_INTERVAL_S: t.Final = 0.08
# How often the store must have refused a record by itself before it is left out. A single
# refusal may be about the call, as when its request arrived malformed.
REFUSALS_BEFORE_LEFT_OUT: t.Final = 3
MAX_BATCH_BYTES: t.Final = 1_500_000
# The length in front of each record of a call.
RECORD_PREFIX_BYTES: t.Final = 4

_Outcome: t.TypeAlias = Appended | Fenced | NumberTaken | AppendRefused


class JournalStatus(t.NamedTuple):
    """Progress of the appends.

    :param confirmed_at: when the newest append that succeeded was sent.
    :param answered_at: when it was answered.
    :param waiting_since: when the pending append could have been answered, by the time
        that its bytes need on the link; in the future while they are under way, ``None``
        if there is no append.
    """

    confirmed_at: float
    answered_at: float
    waiting_since: float | None


class NotKept(t.NamedTuple):
    """An append whose answer does not prove that its records are kept.

    :param records: number of its records.
    :param before: end offset of the topic by the answer to the append before.
    :param end: end offset by the answer to this append.
    """

    sequence: int
    records: int
    before: int
    end: int


class RefusedRecord(t.NamedTuple):
    """A record that the store refuses for good.

    :param size: as in :class:`.Record`.
    :param reason: what the store said.
    """

    key: str
    size: int
    reason: str


class Journal:
    """The only writer of a shard's topic in one epoch.

    :param prepare: makes the decisions that are due and returns the records to write.
    :param release: carries out the effects that were held back for the batch.
    :param on_unanswered: called with the reason why an append is repeated, and with the
        seconds since it was first sent.
    :param on_not_kept: called for an append that was answered although the topic did
        not grow by the number of its records.
    :param on_refused: called for a record that is left out.
    :param end: end offset of the topic when this epoch was claimed, if that is known.
    :param call_bytes: size limit of the store for one call. A larger batch would be
        refused and repeated forever.
    :param link_bytes_per_s: bandwidth of the link to the store, as far as it is known.
    :param leader_mark: returns what the leader states about leases with an append, from
        the end offset of the topic after it.
    :param claimed_at: when the claim of this epoch was sent. Another process may have
        superseded it at any time since, however long this one stood still.
    """

    def __init__(
        self,
        store: Store,
        topic: str,
        epoch: int,
        prepare: t.Callable[[], list[Record]],
        release: t.Callable[[list[t.Any]], None],
        clock: t.Callable[[], float],
        on_unanswered: t.Callable[[str, float], None],
        on_not_kept: t.Callable[["NotKept"], None] = lambda _: None,
        on_refused: t.Callable[["RefusedRecord"], None] = lambda _: None,
        end: int | None = None,
        call_bytes: int = MAX_BATCH_BYTES,
        leader_mark: t.Callable[[int], LeaderMark] | None = None,
        claimed_at: float = math.inf,
        link_bytes_per_s: float = DEFAULT_LINK_BYTES_PER_S,
    ) -> None:
        self._store = store
        self._topic = topic
        self._epoch = epoch
        self._sequence = 1
        self._prepare = prepare
        self._release = release
        self._clock = clock
        self._on_unanswered = on_unanswered
        self._on_not_kept = on_not_kept
        self._on_refused = on_refused
        # End offset of the topic by the newest answer; nobody else writes to it.
        self._end = end
        self._leader_mark = leader_mark
        self._resignation_kept = self._has_appended = False
        self._digest_tracker = DigestTracker()
        max_batch_bytes = min(MAX_BATCH_BYTES, call_bytes) - DIGEST_BYTES
        self._pace = AppendPace(max_batch_bytes, link_bytes_per_s)
        self._held: list[t.Any] = []
        # Numbers of the batch that was begun last, and of the last one that is complete.
        self._begun = self._completed = 0
        # Whether an append was requested, and the event of the next success.
        self._append_requested = False
        self._success = anyio.Event()
        self._wake = anyio.Event()
        self._answered_at = clock()
        self._confirmed_at = min(claimed_at, self._answered_at)
        self._waiting_since: float | None = None
        self.appends = 0
        self.repeats = 0

    @property
    def status(self) -> JournalStatus:
        """Progress of the appends."""
        return JournalStatus(self._confirmed_at, self._answered_at, self._waiting_since)

    @property
    def confirmed_age_s(self) -> float:
        """How long ago the newest append that succeeded was sent."""
        return self._clock() - self._confirmed_at

    @property
    def has_appended(self) -> bool:
        """Whether an append has succeeded."""
        return self._has_appended

    @property
    def end(self) -> int | None:
        """End offset of the topic by the newest answer."""
        return self._end

    @property
    def next_batch(self) -> int:
        """Number of the batch that will write what is decided now."""
        return self._begun + 1

    def is_complete(self, batch: int) -> bool:
        """Return whether a batch is durable and its effects are released."""
        return self._completed >= batch

    @property
    def resignation_kept(self) -> bool:
        """Whether an append has succeeded with which the leader states that it has
        resigned."""
        return self._resignation_kept

    def start_from(self, records: t.Iterable[Record]) -> None:
        """Set the records of the topic before the first append."""
        self._digest_tracker = DigestTracker(records)

    def hold(self, effect: t.Any) -> None:
        """Hold an effect back until all decisions made so far are durable."""
        self._held.append(effect)
        self._wake.set()

    def request_batch(self) -> None:
        """Start the next batch soon, since there is something to decide or write."""
        self._wake.set()

    def now(self) -> float:
        """Return the time of the clock that times the appends."""
        return self._clock()

    def request_append(self) -> None:
        """Append soon, even if there is nothing to write."""
        self._append_requested = True
        self.request_batch()

    async def confirm(self) -> None:
        """Return once an append sent after this call has succeeded."""
        requested_at = self._clock()
        while self._confirmed_at < requested_at:
            self.request_append()
            await self._success.wait()

    async def run(self) -> Fenced | NumberTaken | AppendRefused:
        """Write batches until the store reports a newer epoch or another writer in this
        one, or refuses whatever is written."""
        while True:
            with anyio.move_on_after(CONFIRM_INTERVAL_S):
                await self._wake.wait()
            # A wait that is over already is not cancelled.
            await anyio.lowlevel.checkpoint_if_cancelled()
            self._wake = anyio.Event()
            append_requested, self._append_requested = self._append_requested, False
            self._begun += 1
            records = self._prepare()
            held, self._held = self._held, []
            if records or held or append_requested or self._confirm_due():
                for batch in _split_batches(records, self._pace):
                    outcome = await self._append_acceptable(batch)
                    if not isinstance(outcome, Appended):
                        return outcome
                self._release(held)
            self._completed = self._begun
            await anyio.sleep(BATCH_INTERVAL_S)

    def _confirm_due(self) -> bool:
        return self._clock() - self._confirmed_at > CONFIRM_INTERVAL_S

    async def _append_acceptable(self, batch: t.Sequence[Record]) -> _Outcome:
        """Append what the store takes of a batch."""
        outcome = await self._append(batch)
        if not isinstance(outcome, AppendRefused) or not batch:
            return outcome
        if len(batch) > 1:
            middle = len(batch) // 2
            for part in (batch[:middle], batch[middle:]):
                outcome = await self._append_acceptable(part)
                if not isinstance(outcome, Appended):
                    break
            return outcome
        return await self._append_refused(batch, outcome)

    async def _append_refused(
        self, batch: t.Sequence[Record], refused: AppendRefused
    ) -> _Outcome:
        """Append a record that the store has refused again, or leave it out."""
        for _ in range(REFUSALS_BEFORE_LEFT_OUT - 1):
            # A store that refuses everything proves nothing about the record.
            without = await self._append(())
            if not isinstance(without, Appended):
                return without
            outcome = await self._append(batch)
            if not isinstance(outcome, AppendRefused):
                return outcome
            refused = outcome
        without = await self._append(())
        if isinstance(without, Appended):
            (record,) = batch
            self._on_refused(RefusedRecord(record.key, record.size, refused.reason))
        return without

    async def _append(self, batch: t.Sequence[Record]) -> _Outcome:
        # The state digest keeps every append from being empty. An empty append may
        # share its number with the next one, which a store may take for a repeat and
        # not keep: a successor would then start completed tasks again.
        mark = self._next_mark(len(batch))
        records = self._digest_tracker.with_digest(batch, mark)
        self._sequence += 1
        writer = Writer(self._epoch, self._sequence)
        size = sum(record.size + RECORD_PREFIX_BYTES for record in records)
        transfer_s = TRANSFER_FACTOR * self._pace.transfer_s(size)
        self._waiting_since = self._clock() + transfer_s
        settled = await self._append_until_answered(records, writer, size)
        if isinstance(settled.outcome, Appended):
            if not self._is_kept(writer, len(records), settled.outcome.end):
                return NumberTaken(self._sequence)
            self._confirmed_at, self._answered_at = settled.sent_at, self._clock()
            self._has_appended = True
            self._success.set()
            self._success = anyio.Event()
            if mark is not None and mark.resigned:
                self._resignation_kept = True
        elif isinstance(settled.outcome, AppendRefused):
            self._sequence -= 1
            self._digest_tracker.undo()
        self._waiting_since = None
        return settled.outcome

    def _next_mark(self, records: int) -> LeaderMark | None:
        """Return the mark of an append of some records and the digest."""
        if self._leader_mark is None or self._end is None:
            return None
        return self._leader_mark(self._end + records + 1)

    def _is_kept(self, writer: Writer, records: int, end: int) -> bool:
        """Return whether the topic has grown by at least the records of the append."""
        if self._end is not None and end < self._end + records:
            self._on_not_kept(NotKept(writer.sequence, records, self._end, end))
            return False
        self._end = end
        return True

    async def _append_until_answered(
        self, records: t.Sequence[Record], writer: Writer, size: int
    ) -> "_Settled":
        """Repeat the append until the store answers.

        :param size: its bytes.
        """
        settled: list[_Settled] = []
        started_at = self._clock()
        repeat_delay_s = max(
            MIN_REPEAT_DELAY_S, REPEAT_DELAY_FACTOR * self._pace.short_s
        )
        repeat_delay_s += TRANSFER_FACTOR * self._pace.transfer_s(size)
        open_attempts = 0
        first_attempt = self.appends + 1
        attempt_ended = anyio.Event()

        async def attempt() -> None:
            nonlocal open_attempts
            open_attempts += 1
            sent_at = self._clock()
            self.appends += 1
            first = self.appends == first_attempt
            transfer_s = TIMEOUT_TRANSFER_FACTOR * self._pace.transfer_s(size)
            timeout_s = APPEND_TIMEOUT_S + transfer_s
            outcome = await self._store.append(self._topic, records, writer, timeout_s)
            open_attempts -= 1
            if not isinstance(outcome, StoreUnavailable):
                settled.append(_Settled(outcome, sent_at))
                if first:
                    self._pace.record_answered(size, self._clock() - sent_at)
            else:
                self._on_unanswered(outcome.reason, self._clock() - started_at)
                await anyio.sleep(RETRY_INTERVAL_S)
            attempt_ended.set()

        async with anyio.create_task_group() as attempts:
            while not settled:
                if open_attempts < MAX_CONCURRENT_ATTEMPTS:
                    self.repeats += open_attempts > 0
                    attempts.start_soon(attempt)
                with anyio.move_on_after(repeat_delay_s):
                    await attempt_ended.wait()
                attempt_ended = anyio.Event()
                if not settled and open_attempts:
                    self._pace.record_late(size)
                    self._on_unanswered("no answer yet", self._clock() - started_at)
                repeat_delay_s = min(
                    max(APPEND_TIMEOUT_S, repeat_delay_s), repeat_delay_s * 2
                )
            attempts.cancel_scope.cancel()
        return settled[0]


class _Settled(t.NamedTuple):
    """The answer to an append.

    :param sent_at: when the attempt that was answered was sent.
    """

    outcome: _Outcome
    sent_at: float


def _split_batches(records: list[Record], pace: AppendPace) -> t.Iterator[list[Record]]:
    """Split records into batches that the link carries soon; yields at least one."""
    batch: list[Record] = []
    size = 0
    for record in records:
        length = record.size + RECORD_PREFIX_BYTES
        if batch and size + length > pace.batch_bytes:
            yield batch
            batch, size = [], 0
        batch.append(record)
        size += length
    yield batch
