"""How a process becomes the decider: it raises the epoch at the store and reads what its
predecessor wrote, until the reading is proved to be the whole of it. A successor that took
any reading for whole started again what its predecessor had done: up to 192 tasks in 30 s
of work that was shown as completed, where the store showed records 3 s late."""

import time
import typing as t

import anyio

from .interfaces import Fenced
from .interfaces import NewestRecords
from .interfaces import NewestUnavailable
from .interfaces import NumberTaken
from .interfaces import Store
from .interfaces import StoreUnavailable
from .interfaces import Writer
from .newestread import NewestReader
from .nodelog import NodeLog
from .statedigest import EpochClaim
from .statedigest import IncompleteRead
from .statedigest import Verdict
from .statedigest import verify_read

__all__ = ["JOBS_TOPIC", "StateUnavailable", "StateReader", "take_over"]

JOBS_TOPIC: t.Final = "keyed.jobs"
CLAIM_TIMEOUT_S: t.Final = 1.0
# A page has up to a megabyte, which the smallest links (10 Mbit/s) carry in a second.
PAGE_TIMEOUT_S: t.Final = 2.0
# A page that fails, and a reading that is not whole, are read again after this.
READ_RETRY_INTERVAL_S: t.Final = 0.1
# Another process may fare better than one to which the store has refused a page so often,
# or that no page has reached for so long.
MAX_PAGE_ATTEMPTS: t.Final = 20
PAGE_PROGRESS_TIMEOUT_S: t.Final = 4.0
# What a reading lacks for so long is lost: to wait longer would leave nobody deciding. An
# older version writes no marks, which is seen at the first change to this one.
DIGEST_MISMATCH_TIMEOUT_S: t.Final = 4.0
NO_DIGEST_TIMEOUT_S: t.Final = 1.0


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
    outcome = await store.append(JOBS_TOPIC, records, writer, CLAIM_TIMEOUT_S)
    if isinstance(outcome, Fenced | NumberTaken | StoreUnavailable):
        return outcome
    return EpochClaim(epoch, by, outcome.end)


class StateUnavailable(t.NamedTuple):
    """This process can't go on from what its predecessor left."""

    reason: str
    pages: int = 0
    records: int = 0


class StateReader:
    """Reads what a predecessor left; no other can write meanwhile."""

    def __init__(self, store: Store, claim: EpochClaim, log: NodeLog) -> None:
        self._store = store
        self._claim = claim
        self._log = log
        # Since when readings have had the same fault, and which.
        self._fault: IncompleteRead | None = None
        self._fault_since = 0.0

    async def run(self) -> NewestRecords | StateUnavailable:
        """Return the records once they are proved to be whole, or are lost."""
        while True:
            read = await self._read()
            if isinstance(read, StateUnavailable):
                return read
            fault = verify_read(read, self._claim)
            if fault is None:
                return read
            inputs = {"verdict": fault.verdict.value, "why": fault.reason}
            self._log.event("reading_not_whole", epoch=self._claim.epoch, **inputs)
            if fault.verdict in (Verdict.SUPERSEDED, Verdict.EPOCH_REUSED):
                return StateUnavailable(fault.reason)
            if self._is_lost(fault, time.monotonic()):
                self._log.event("records_lost", epoch=self._claim.epoch, **inputs)
                return read
            await anyio.sleep(READ_RETRY_INTERVAL_S)

    def _is_lost(self, fault: IncompleteRead, now: float) -> bool:
        """Say whether what a reading lacks has been missing for too long."""
        if fault != self._fault:
            self._fault, self._fault_since = fault, now
        fault_age_s = now - self._fault_since
        if fault.verdict is Verdict.NO_DIGEST:
            return fault_age_s > NO_DIGEST_TIMEOUT_S
        return (
            fault.verdict is Verdict.DIGEST_MISMATCH
            and fault_age_s > DIGEST_MISMATCH_TIMEOUT_S
        )

    async def _read(self) -> NewestRecords | StateUnavailable:
        """Read all pages, those again that fail."""
        reader = NewestReader(self._store, JOBS_TOPIC, self._claim.end)
        pages, attempts, since = 0, 0, time.monotonic()
        while True:
            outcome = await reader.resume(PAGE_TIMEOUT_S)
            if not isinstance(outcome, NewestUnavailable):
                return outcome
            now = time.monotonic()
            if outcome.pages > pages:
                pages, attempts, since = outcome.pages, 0, now
            attempts += 1
            if attempts >= MAX_PAGE_ATTEMPTS or now - since > PAGE_PROGRESS_TIMEOUT_S:
                return StateUnavailable(*outcome)
            await anyio.sleep(READ_RETRY_INTERVAL_S)
