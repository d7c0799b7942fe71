"""Requests of client accounts and operators for changes: validated against the state of
this process, then submitted to the log. A job that can never run is rejected at once."""

import typing as t
import zlib

from .capacity import Vector
from .events import BoxDrainRequested
from .events import Conclude
from .events import Effect
from .events import HallEvacuateRequested
from .events import JobCancelRequested
from .events import JobSubmitRequested
from .events import TableEditRequested
from .jobs import Jobs
from .outcomes import Reason
from .outcomes import Rejected
from .placement import Placement
from .placementparameters import shard_of
from .records import BoxDrained
from .records import HallEvacuated
from .records import JobCancelled
from .records import JobSubmitted
from .records import TableEdited
from .starts import never_fits
from .submissions import Submissions
from .table import Table

__all__ = ["Intake"]


class Intake:
    """Turns requested changes into facts, or rejects them.

    :param stream: the data hall's stream.
    :param config_stream: the configuration stream, which has the edits of the table.
    :param shards: number of shards of the data hall.
    """

    def __init__(
        self,
        stream: str,
        config_stream: str,
        shards: int,
        table: Table,
        jobs: Jobs,
        placement: Placement,
        submissions: Submissions,
    ) -> None:
        self._stream = stream
        self._config_stream = config_stream
        self._shards = shards
        self._table = table
        self._jobs = jobs
        self._placement = placement
        self._submissions = submissions

    def job_submit(self, event: JobSubmitRequested) -> list[Effect]:
        """Submit a job to the shard that a hash of its name selects."""
        need = Vector.of(event.spec)
        totals = self._box_totals()
        if never_fits(need, totals.values()):
            text = "no box of this data hall is large enough for one task"
            return _reject(event.request, Reason.CAN_NEVER_RUN, text)
        limit = self._table.number(event.account, "max_cores") / self._shards
        if need.cores > limit:
            text = f"one task needs {need.cores:g} cores, the limit is {limit:g}"
            return _reject(event.request, Reason.CAN_NEVER_RUN, text)
        shard = self._choose_shard(event.job, need, totals)
        fact = JobSubmitted(event.request, event.job, event.account, event.spec, shard)
        return self._submissions.submit(event.request, self._stream, fact, event.now)

    def _box_totals(self) -> dict[str, Vector]:
        listed = self._placement.listed or {}
        return {
            name: Vector(info.cores, info.memory_gb, info.accelerators)
            for name, info in listed.items()
        }

    def _choose_shard(
        self, job: str, need: Vector, totals: t.Mapping[str, Vector]
    ) -> int:
        """Choose a shard by a hash of the job's name, in proportion to the cores of each
        shard's boxes that are large enough for a task."""
        cores_by_shard = [0.0] * self._shards
        for box, total in totals.items():
            if need.fits(total):
                cores_by_shard[shard_of(box, self._shards)] += total.cores
        hash_fraction = zlib.crc32(job.encode()) / 2**32
        total_cores = sum(cores_by_shard)
        if not total_cores:
            return int(hash_fraction * self._shards)
        remaining_cores = hash_fraction * total_cores
        for shard, shard_cores in enumerate(cores_by_shard):
            remaining_cores -= shard_cores
            if remaining_cores < 0:
                return shard
        return self._shards - 1

    def job_cancel(self, event: JobCancelRequested) -> list[Effect]:
        """Cancel a job; an operator (empty account) may cancel those of all accounts."""
        job = self._jobs.jobs.get(event.job)
        if job is None or event.account not in ("", job.account):
            return _reject(event.request, Reason.NOT_FOUND, f"no job {event.job}")
        fact = JobCancelled(event.request, event.job)
        return self._submissions.submit(event.request, self._stream, fact, event.now)

    def table_edit(self, event: TableEditRequested) -> list[Effect]:
        """Edit cells of the table."""
        fact = TableEdited(event.request, event.edits)
        stream = self._config_stream
        return self._submissions.submit(event.request, stream, fact, event.now)

    def box_drain(self, event: BoxDrainRequested) -> list[Effect]:
        """Drain a box of this data hall, or restore it to use."""
        if event.box not in (self._placement.listed or {}):
            text = f"no box {event.box} in this data hall"
            return _reject(event.request, Reason.NOT_FOUND, text)
        fact = BoxDrained(event.request, event.box, event.drained)
        return self._submissions.submit(event.request, self._stream, fact, event.now)

    def hall_evacuate(self, event: HallEvacuateRequested) -> list[Effect]:
        """Evacuate this process's data hall, or restore it to use."""
        fact = HallEvacuated(event.request, event.evacuated)
        return self._submissions.submit(event.request, self._stream, fact, event.now)


def _reject(request: str, reason: Reason, detail: str) -> list[Effect]:
    return [Conclude(request, Rejected(reason, detail))]
