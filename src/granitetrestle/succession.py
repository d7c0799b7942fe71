"""How a process becomes the decider: it raises the epoch at the store and reads what its
predecessor wrote, until the reading is proved to be the whole of it. A successor that took
any reading for whole started again what its predecessor had done: up to 192 tasks in 30 s
of work that was shown as completed, where the store showed records 3 s late."""

import time
import typing as t

import anyio

from .interfaces import Fenced
from .interfaces import Newest
from .interfaces import NewestUnavailable
from .interfaces import NumberTaken
from .interfaces import Store
from .interfaces import StoreUnavailable
from .interfaces import Writer
from .newestread import NewestRead
from .nodelog import NodeLog
from .statedigest import EpochClaim
from .statedigest import IncompleteRead
from .statedigest import Verdict
from .statedigest import judge

__all__ = ["JOBS_TOPIC", "StateUnavailable", "StateRead", "take_over"]

JOBS_TOPIC: t.Final = "keyed.jobs"
TAKE_OVER_TIMEOUT_S: t.Final = 1.0
# A page has up to a megabyte, which the smallest links (10 Mbit/s) carry in a second.
PAGE_TIMEOUT_S: t.Final = 2.0
# A page that fails, and a reading that is not whole, are read again after this.
READ_AGAIN_S: t.Final = 0.1
# Another process may fare better than one to which the store has refused a page so often,
# or that no page has reached for so long.
PAGE_TRIES: t.Final = 20
SILENT_S: t.Final = 4.0
# What a reading lacks for so long is lost: to wait longer would leave nobody deciding. An
# older version writes no marks, which is seen at the first change to this one.
DIFFERS_FOR_S: t.Final = 4.0
UNMARKED_FOR_S: t.Final = 1.0


async def take_over(
    store: Store, epoch: int, by: str
) -> EpochClaim | Fenced | NumberTaken | StoreUnavailable:
    """Raise the epoch at the store.

    :param by: the life of this process.
    :returns: ``EpochClaim`` if this process decides now; ``NumberTaken`` if an earlier life
        of it has decided in this epoch.
    """
    records = (EpochClaim.record(epoch, by),)
    writer = Writer(epoch, 1)
    outcome = await store.append(JOBS_TOPIC, records, writer, TAKE_OVER_TIMEOUT_S)
    if isinstance(outcome, Fenced | NumberTaken | StoreUnavailable):
        return outcome
    return EpochClaim(epoch, by, outcome.end)


class StateUnavailable(t.NamedTuple):
    """This process can't go on from what its predecessor left."""

    reason: str
    pages: int = 0
    records: int = 0


class StateRead:
    """Reads what a predecessor left; no other can write meanwhile."""

    def __init__(self, store: Store, taken: EpochClaim, log: NodeLog) -> None:
        self._store = store
        self._taken = taken
        self._log = log
        # Since when readings have had the same fault, and which.
        self._fault: IncompleteRead | None = None
        self._fault_since = 0.0

    async def run(self) -> Newest | StateUnavailable:
        """Return the records once they are proved to be whole, or are lost."""
        while True:
            read = await self._read()
            if isinstance(read, StateUnavailable):
                return read
            wrong = judge(read, self._taken)
            if wrong is None:
                return read
            inputs = {"verdict": wrong.verdict.value, "why": wrong.reason}
            self._log.event("reading_not_whole", epoch=self._taken.epoch, **inputs)
            if wrong.verdict in (Verdict.OVER, Verdict.USED):
                return StateUnavailable(wrong.reason)
            if self._is_lost(wrong, time.monotonic()):
                self._log.event("records_lost", epoch=self._taken.epoch, **inputs)
                return read
            await anyio.sleep(READ_AGAIN_S)

    def _is_lost(self, wrong: IncompleteRead, now: float) -> bool:
        """Say whether what a reading lacks has been missing for too long."""
        if wrong != self._fault:
            self._fault, self._fault_since = wrong, now
        for_s = now - self._fault_since
        if wrong.verdict is Verdict.UNMARKED:
            return for_s > UNMARKED_FOR_S
        return wrong.verdict is Verdict.DIFFERS and for_s > DIFFERS_FOR_S

    async def _read(self) -> Newest | StateUnavailable:
        """Read all pages, those again that fail."""
        reading = NewestRead(self._store, JOBS_TOPIC, self._taken.end)
        pages, tries, since = 0, 0, time.monotonic()
        while True:
            outcome = await reading.go_on(PAGE_TIMEOUT_S)
            if not isinstance(outcome, NewestUnavailable):
                return outcome
            now = time.monotonic()
            if outcome.pages > pages:
                pages, tries, since = outcome.pages, 0, now
            tries += 1
            if tries >= PAGE_TRIES or now - since > SILENT_S:
                return StateUnavailable(*outcome)
            await anyio.sleep(READ_AGAIN_S)
