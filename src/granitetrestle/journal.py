"""Writes a shard's decisions to the store in batches, and lets their effects go only
when they are durable. An append without an answer is repeated under its number until
the store says how it went; only a newer epoch ends that. A repeat does not end the
try before it: a store that is slow answers that one first."""

import typing as t

import anyio

from .outside import Appended
from .outside import Fenced
from .outside import Record
from .outside import Store
from .outside import Writer

__all__ = ["Journal", "JournalStatus"]

# The store's calls are priced and limited; half of this is added to a decision at
# the mean, out of some 500 ms that a short job leaves.
BATCH_EVERY_S: t.Final = 0.015
# With nothing to write, an empty append still proves that this epoch decides.
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


class JournalStatus(t.NamedTuple):
    """How well the store takes our appends.

    :param confirmed_at: when the newest append that succeeded was sent.
    :param waiting_since: when the append under way was first sent, if there is one.
    """

    confirmed_at: float
    waiting_since: float | None


class Journal:
    """The one writer of a shard's topic in one epoch.

    :param prepare: makes the decisions that are due and returns what to write.
    :param release: carries out what the batch held back.
    :param unanswered: told why an append is repeated, and how long it has taken.
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
        self._batch_bytes = min(RECORDS_BYTES, call_bytes)
        self._held: list[t.Any] = []
        self._wake = anyio.Event()
        self._confirmed_at = clock()
        self._waiting_since: float | None = None
        self._usual_s = USUAL_S
        self.appends = 0
        self.repeats = 0

    @property
    def status(self) -> JournalStatus:
        """How well the store takes our appends."""
        return JournalStatus(self._confirmed_at, self._waiting_since)

    @property
    def idle(self) -> bool:
        """Whether nothing is held back."""
        return not self._held and self._waiting_since is None

    def hold(self, effect: t.Any) -> None:
        """Keep an effect until all that was decided so far is durable."""
        self._held.append(effect)
        self._wake.set()

    def nudge(self) -> None:
        """Let the next batch come soon: there is something to decide or write."""
        self._wake.set()

    async def run(self) -> Fenced:
        """Write batches until a newer epoch is met."""
        while True:
            with anyio.move_on_after(CONFIRM_EVERY_S):
                await self._wake.wait()
            self._wake = anyio.Event()
            records = self._prepare()
            held, self._held = self._held, []
            if records or held or self._confirm_due():
                for part in _parts(records, self._batch_bytes):
                    if isinstance(await self._append(part), Fenced):
                        return Fenced()
                self._release(held)
            await anyio.sleep(BATCH_EVERY_S)

    def _confirm_due(self) -> bool:
        return self._clock() - self._confirmed_at > CONFIRM_EVERY_S

    async def _append(self, records: t.Sequence[Record]) -> Appended | Fenced:
        # An empty append takes no number: the store counts those with records.
        number = self._sequence + 1
        if records:
            self._sequence = number
        writer = Writer(self._epoch, number)
        began = self._waiting_since = self._clock()
        settled = await self._settle(records, writer)
        if isinstance(settled.outcome, Appended):
            taken = self._clock() - began
            self._usual_s += LEARNING_RATE * (taken - self._usual_s)
            self._confirmed_at = settled.sent
        self._waiting_since = None
        return settled.outcome

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
            if isinstance(outcome, Appended | Fenced):
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

    outcome: Appended | Fenced
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
