"""Take-over: a process claims an epoch at the store and reads its predecessor's records
until the read is proved to be complete.

Without this proof a successor starts completed tasks again: on a store that shows
records 3 s late these were up to 192 tasks in 30 s of work."""

import time
import typing as t

import anyio

from . import steadyclock
from .interfaces import AppendRefused
from .interfaces import Fenced
from .interfaces import NewestRecords
from .interfaces import NewestUnavailable
from .interfaces import NumberTaken
from .interfaces import Record
from .interfaces import Records
from .interfaces import RecordsGone
from .interfaces import Store
from .interfaces import StoreUnavailable
from .interfaces import Writer
from .newestread import NewestReader
from .nodelog import NodeLog
from .standby import RecordsCopy
from .statedigest import EpochClaim
from .statedigest import IncompleteRead
from .statedigest import LeaderMark
from .statedigest import Verdict
from .statedigest import claims_to_read
from .statedigest import read_leader_mark
from .statedigest import verify_read

__all__ = ["JOBS_TOPIC", "StateUnavailable", "StateReader", "take_over"]

JOBS_TOPIC: t.Final = "keyed.jobs"
CLAIM_TIMEOUT_S: t.Final = 1.0
# A page that makes no progress for this long has failed.
PAGE_TIMEOUT_S: t.Final = 2.0
# Wait before a failed page, or an incomplete read, is read again.
READ_RETRY_INTERVAL_S: t.Final = 0.1
# After this many failed attempts at one page, or this time since it last made progress,
# this process gives up: another one may have a better connection to the store.
MAX_PAGE_ATTEMPTS: t.Final = 20
# Failed reads after which a copy is given up, and all records are read instead.
MAX_COPY_ATTEMPTS: t.Final = 3
PAGE_PROGRESS_TIMEOUT_S: t.Final = 4.0
# Records that are missing for this long count as lost: a longer wait would leave the
# shard without a leader. An older version of this program writes no digests, which is
# met at the first take-over after an upgrade.
DIGEST_MISMATCH_TIMEOUT_S: t.Final = 4.0
NO_DIGEST_TIMEOUT_S: t.Final = 1.0


async def take_over(
    store: Store, epoch: int, by: str
) -> EpochClaim | Fenced | NumberTaken | StoreUnavailable:
    """Claim an epoch at the store.

    :param by: the incarnation of this process.
    :returns: ``EpochClaim`` if this process is the leader now; ``NumberTaken`` if an
        earlier incarnation of it has led in this epoch.
    """
    records = (EpochClaim.record(epoch, by),)
    sent_at = steadyclock.now()
    writer = Writer(epoch, 1)
    outcome = await store.append(JOBS_TOPIC, records, writer, CLAIM_TIMEOUT_S)
    if isinstance(outcome, AppendRefused):
        return StoreUnavailable(outcome.reason, not_applied=True)
    if isinstance(outcome, Fenced | NumberTaken | StoreUnavailable):
        return outcome
    return EpochClaim(epoch, by, outcome.end, sent_at=sent_at)


class StateUnavailable(t.NamedTuple):
    """The predecessor's state can't be read, so this process can't lead.

    :param pages: number of pages that were read.
    :param records: number of records on them.
    """

    reason: str
    pages: int = 0
    records: int = 0


class StateReader:
    """Reads a predecessor's records; the claim keeps others from writing meanwhile.

    :param copy: a copy of the records from before the claim, if there is one.
    """

    def __init__(
        self,
        store: Store,
        claim: EpochClaim,
        log: NodeLog,
        copy: RecordsCopy | None = None,
    ) -> None:
        self._store = store
        self._copy = copy
        self._claim = claim
        self._log = log
        # The fault that all latest reads had in common, and since when.
        self._fault: IncompleteRead | None = None
        self._fault_since = 0.0
        self._records_lost = False
        self._used_copy = False

    @property
    def used_copy(self) -> bool:
        """Whether what :meth:`run` returned is the copy, continued."""
        return self._used_copy

    @property
    def records_lost(self) -> bool:
        """Whether records are missing from what :meth:`run` returned."""
        return self._records_lost

    async def run(self) -> NewestRecords | StateUnavailable:
        """Return the records once they are proved to be complete, or what they lack
        counts as lost."""
        while True:
            copied = await self._continue_copy()
            read = copied or await self._read()
            if isinstance(read, StateUnavailable):
                return read
            fault = verify_read(read, self._claim)
            if fault is None:
                self._used_copy = copied is not None
                return read
            inputs = {"verdict": fault.verdict.value, "why": fault.reason}
            self._log.event("reading_not_whole", epoch=self._claim.epoch, **inputs)
            if fault.verdict in (Verdict.SUPERSEDED, Verdict.EPOCH_REUSED):
                return StateUnavailable(fault.reason)
            if copied is not None:
                continue
            if self._is_lost(fault, time.monotonic()):
                self._log.event("records_lost", epoch=self._claim.epoch, **inputs)
                self._records_lost = True
                return read
            await anyio.sleep(READ_RETRY_INTERVAL_S)

    async def _continue_copy(self) -> NewestRecords | None:
        """Return the records of the copy with all that was written up to the claim, or
        ``None`` if there is none that can be continued. It is used once."""
        copy, self._copy = self._copy, None
        attempts = 0
        while copy is not None and copy.end < self._claim.end:
            outcome = await self._store.read(JOBS_TOPIC, copy.end, 0.0)
            if isinstance(outcome, Records) and outcome.records:
                copy.apply(outcome)
                continue
            attempts += 1
            if isinstance(outcome, RecordsGone) or attempts >= MAX_COPY_ATTEMPTS:
                self._log.event(
                    "standby_failed", end=copy.end, reason=type(outcome).__name__
                )
                return None
            await anyio.sleep(READ_RETRY_INTERVAL_S)
        return None if copy is None else copy.newest

    async def read_leader_mark(self, records: t.Sequence[Record]) -> LeaderMark | None:
        """Return the mark of the leader before this one, as :func:`.read_leader_mark`.

        :param records: the predecessor's records.
        """
        later: tuple[Record, ...] = ()
        start = claims_to_read(records, self._claim)
        if start is not None:
            outcome = await self._store.read(JOBS_TOPIC, start, 0.0)
            if isinstance(outcome, Records):
                later = outcome.records[: self._claim.end - start]
            inputs = {"claims": self._claim.end - start, "read": len(later)}
            self._log.event("claims_read", epoch=self._claim.epoch, **inputs)
        return read_leader_mark(records, self._claim, later)

    def _is_lost(self, fault: IncompleteRead, now: float) -> bool:
        """Return whether the missing records have been missing for too long."""
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
        """Read all pages; pages that fail are read again."""
        reader = NewestReader(self._store, JOBS_TOPIC, self._claim.end)
        pages, attempts, since = 0, 0, time.monotonic()
        while True:
            outcome = await reader.read_pages(PAGE_TIMEOUT_S)
            if not isinstance(outcome, NewestUnavailable):
                return outcome
            now = time.monotonic()
            if outcome.pages > pages:
                pages, attempts, since = outcome.pages, 0, now
            if not attempts:
                # The first attempt may have made progress until a timeout ago.
                since = max(since, now - PAGE_TIMEOUT_S)
            attempts += 1
            if attempts >= MAX_PAGE_ATTEMPTS or now - since > PAGE_PROGRESS_TIMEOUT_S:
                return StateUnavailable(*outcome)
            await anyio.sleep(READ_RETRY_INTERVAL_S)
