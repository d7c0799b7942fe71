"""Writes a shard's decisions to the store in batches, and lets their effects go only
when they are durable. An append without an answer is repeated under its number until
the store says how it went; only a newer epoch ends that. A repeat does not end the
try before it: a store that is slow answers that one first."""

import typing as t

import anyio

from .interfaces import Appended
from .interfaces import Fenced
from .interfaces import NumberTaken
from .interfaces import Record
from .interfaces import Store
from .interfaces import StoreUnavailable
from .interfaces import Writer
from .statedigest import DIGEST_BYTES
from .statedigest import DigestTracker

__all__ = ["Journal", "JournalStatus", "NotKept"]

# The store's calls are priced and limited; half of this is added to a decision at
# the mean, little beside what a short job may take.
BATCH_EVERY_S: t.Final = 0.015
# With nothing to write, an append of the mark alone proves that this epoch decides.
CONFIRM_EVERY_S: t.Final = 0.4
# After several times its usual time an append is repeated beside the try before, and
# again after twice as long each; a try is given up after the longest time.
REPEAT_FACTOR: t.Final = 8.0
MIN_REPEAT_S: t.Final = 0.1
TRY_S: t.Final = 1.2
MOST_TRIES_AT_ONCE: t.Final = 3
RETRY_EVERY_S: t.Final = 0.08
RECORDS_BYTES: t.Final = 1_500_000
USUAL_S: t.Final = 0.012
LEARNING_RATE: t.Final = 0.1


_Outcome: t.TypeAlias = Appended | Fenced | NumberTaken


class JournalStatus(t.NamedTuple):
    """How well the store takes our appends.

    :param confirmed_at: when the newest append that succeeded was sent.
    :param answered_at: when it was answered.
    :param waiting_since: when the append under way was first sent, if there is one.
    """

    confirmed_at: float
    answered_at: float
    waiting_since: float | None


class NotKept(t.NamedTuple):
    """An append whose answer does not show that its records are kept.

    :param before: where the topic ended before it, by the answer then.
    :param end: where it ends by the answer to this one.
    """

    sequence: int
    records: int
    before: int
    end: int


class Journal:
    """The one writer of a shard's topic in one epoch.

    :param prepare: makes the decisions that are due and returns what to write.
    :param release: carries out what the batch held back.
    :param unanswered: told why an append is repeated, and how long it has taken.
    :param not_kept: told of an append that was answered, and after which the store's log
        did not end as much later as it had records.
    :param end: where the topic ended as this epoch was raised, if that is known.
    :param call_bytes: most that the store takes in one call. A batch above it would be
        refused and repeated for ever.
    """

    def __init__(
        self,
        store: Store,
        topic: str,
        epoch: int,
        prepare: t.Callable[[], list[Record]],
        release: t.Callable[[list[t.Any]], None],
        clock: t.Callable[[], float],
        unanswered: t.Callable[[str, float], None],
        not_kept: t.Callable[["NotKept"], None] = lambda _: None,
        end: int | None = None,
        call_bytes: int = RECORDS_BYTES,
    ) -> None:
        self._store = store
        self._topic = topic
        self._epoch = epoch
        self._sequence = 1
        self._prepare = prepare
        self._release = release
        self._clock = clock
        self._unanswered = unanswered
        self._not_kept = not_kept
        # Where the topic ends by the newest answer; it has one writer.
        self._end = end
        self._marks = DigestTracker()
        self._batch_bytes = min(RECORDS_BYTES, call_bytes) - DIGEST_BYTES
        self._held: list[t.Any] = []
        # Whether somebody waits for the next append, and what tells that one succeeded.
        self._asked = False
        self._success = anyio.Event()
        self._wake = anyio.Event()
        self._confirmed_at = self._answered_at = clock()
        self._waiting_since: float | None = None
        self._usual_s = USUAL_S
        self.appends = 0
        self.repeats = 0

    @property
    def status(self) -> JournalStatus:
        """How well the store takes our appends."""
        return JournalStatus(self._confirmed_at, self._answered_at, self._waiting_since)

    @property
    def confirmed_age_s(self) -> float:
        """How long ago the newest append that succeeded was sent."""
        return self._clock() - self._confirmed_at

    @property
    def end(self) -> int | None:
        """Where the topic ends by the newest answer."""
        return self._end

    @property
    def idle(self) -> bool:
        """Whether nothing is held back."""
        return not self._held and self._waiting_since is None

    def goes_on_from(self, records: t.Iterable[Record]) -> None:
        """Learn what the topic holds before the first append."""
        self._marks = DigestTracker(records)

    def hold(self, effect: t.Any) -> None:
        """Keep an effect until all that was decided so far is durable."""
        self._held.append(effect)
        self._wake.set()

    def nudge(self) -> None:
        """Let the next batch come soon: there is something to decide or write."""
        self._wake.set()

    def now(self) -> float:
        """Return the time on the clock by which appends are timed."""
        return self._clock()

    def ask(self) -> None:
        """Let an append come soon, whether or not there is something to write."""
        self._asked = True
        self.nudge()

    async def confirm(self) -> None:
        """Return once an append that is sent from now on has succeeded."""
        asked_at = self._clock()
        while self._confirmed_at < asked_at:
            self.ask()
            await self._success.wait()

    async def run(self) -> Fenced | NumberTaken:
        """Write batches until a newer epoch is met, or somebody else in this one."""
        while True:
            with anyio.move_on_after(CONFIRM_EVERY_S):
                await self._wake.wait()
            self._wake = anyio.Event()
            asked, self._asked = self._asked, False
            records = self._prepare()
            held, self._held = self._held, []
            if records or held or asked or self._confirm_due():
                for part in _parts(records, self._batch_bytes):
                    outcome = await self._append(part)
                    if not isinstance(outcome, Appended):
                        return outcome
                self._release(held)
            await anyio.sleep(BATCH_EVERY_S)

    def _confirm_due(self) -> bool:
        return self._clock() - self._confirmed_at > CONFIRM_EVERY_S

    async def _append(self, part: t.Sequence[Record]) -> _Outcome:
        # With its mark no append is empty. An empty one has its number in common with the
        # next, which a store may answer as a repeat and not keep: a successor would start
        # again what was done.
        records = self._marks.marked(part)
        self._sequence += 1
        writer = Writer(self._epoch, self._sequence)
        began = self._waiting_since = self._clock()
        settled = await self._settle(records, writer)
        if isinstance(settled.outcome, Appended):
            if not self._kept(writer, len(records), settled.outcome.end):
                return NumberTaken(self._sequence)
            taken = self._clock() - began
            self._usual_s += LEARNING_RATE * (taken - self._usual_s)
            self._confirmed_at, self._answered_at = settled.sent, self._clock()
            self._success.set()
            self._success = anyio.Event()
        self._waiting_since = None
        return settled.outcome

    def _kept(self, writer: Writer, records: int, end: int) -> bool:
        """Say whether the topic ends as much later as was appended."""
        if self._end is not None and end < self._end + records:
            self._not_kept(NotKept(writer.sequence, records, self._end, end))
            return False
        self._end = end
        return True

    async def _settle(self, records: t.Sequence[Record], writer: Writer) -> "_Settled":
        """Try until the store says how the append went."""
        settled: list[_Settled] = []
        began = self._clock()
        pause_s = max(MIN_REPEAT_S, REPEAT_FACTOR * self._usual_s)
        open_tries = 0
        news = anyio.Event()

        async def attempt() -> None:
            nonlocal open_tries
            open_tries += 1
            sent = self._clock()
            self.appends += 1
            outcome = await self._store.append(self._topic, records, writer, TRY_S)
            open_tries -= 1
            if not isinstance(outcome, StoreUnavailable):
                settled.append(_Settled(outcome, sent))
            else:
                self._unanswered(outcome.reason, self._clock() - began)
                await anyio.sleep(RETRY_EVERY_S)
            news.set()

        async with anyio.create_task_group() as tries:
            while not settled:
                if open_tries < MOST_TRIES_AT_ONCE:
                    self.repeats += open_tries > 0
                    tries.start_soon(attempt)
                with anyio.move_on_after(pause_s):
                    await news.wait()
                news = anyio.Event()
                if not settled and open_tries:
                    self._unanswered("no answer yet", self._clock() - began)
                pause_s = min(TRY_S, pause_s * 2)
            tries.cancel_scope.cancel()
        return settled[0]


class _Settled(t.NamedTuple):
    """How an append went.

    :param sent: when the try that was answered was sent.
    """

    outcome: _Outcome
    sent: float


def _parts(records: list[Record], most: int) -> t.Iterator[list[Record]]:
    """Cut records into calls of at most so many bytes; at least one call."""
    part: list[Record] = []
    size = 0
    for record in records:
        length = len(record.key) + len(record.value or b"") + 8
        if part and size + length > most:
            yield part
            part, size = [], 0
        part.append(record)
        size += length
    yield part
