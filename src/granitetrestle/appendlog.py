"""What a leader logs and counts of its appends to the store."""

import time

from .jobrecords import job_of_key
from .journal import NotKept
from .journal import RefusedRecord
from .nodelog import NodeLog
from .nodemetrics import NodeMetrics

__all__ = ["AppendLog"]


class AppendLog:
    """Logs the appends of one epoch that don't go as usual."""

    def __init__(self, epoch: int, log: NodeLog, metrics: NodeMetrics) -> None:
        self._epoch = epoch
        self._log = log
        self._metrics = metrics
        self._store_lost_at: float | None = None
        self._unrecorded_jobs: set[str] = set()

    def pop_unrecorded_jobs(self) -> set[str]:
        """Return the jobs of which the store has refused a record since the last
        call."""
        jobs, self._unrecorded_jobs = self._unrecorded_jobs, set()
        return jobs

    def unanswered(self, reason: str, waiting_s: float) -> None:
        """Record that an append is repeated."""
        self._metrics.count("append_repeated")
        if self._store_lost_at is None:
            self._store_lost_at = time.monotonic() - waiting_s
            waiting_s = round(waiting_s, 3)
            self._event("store_lost", reason=reason, waiting_s=waiting_s)

    def answered(self) -> None:
        """Record that an append has succeeded."""
        if self._store_lost_at is not None:
            lost_s = time.monotonic() - self._store_lost_at
            self._store_lost_at = None
            self._event("store_back", lost_s=round(lost_s, 3))

    def not_kept(self, not_kept: NotKept) -> None:
        """Record that an answer does not prove that its records are kept."""
        self._metrics.count("append_not_kept")
        self._event("append_not_kept", **not_kept._asdict())

    def refused(self, record: RefusedRecord) -> None:
        """Record that a record is left out."""
        self._event("record_refused", **record._asdict())
        job = job_of_key(record.key)
        if job:
            self._unrecorded_jobs.add(job)

    def _event(self, event: str, **inputs: object) -> None:
        self._log.event(event, epoch=self._epoch, **inputs)
