"""Checkpoints that have a record of their own.

The store takes no record above a limit, and a checkpoint may have any length. So where
the rows of a group of tasks would make a long record, the long checkpoints are stored
one by one, under keys that older versions ignore: these read the rows as before, and go
on from the checkpoints that boxes list.

A checkpoint in a task's row counts before one here. An older version writes them there,
and a record here is then of an earlier time. It still belongs to the task."""

import typing as t

import msgspec

from .errors import DECODE_ERRORS
from .errors import UnreadableRecord
from .interfaces import Record
from .slices import SlicedWork
from .workflows import DONE
from .workflows import Workflow
from .workflows import job_of
from .workflows import parse_task_name

__all__ = ["CHECKPOINT_KEY", "LongCheckpoints"]

CHECKPOINT_KEY: t.Final = "k/"


class _CheckpointRow(msgspec.Struct, frozen=True, array_like=True):
    """Stored form of a checkpoint."""

    checkpoint: str


_encode = msgspec.msgpack.Encoder().encode
_checkpoint_rows = msgspec.msgpack.Decoder(_CheckpointRow)


class LongCheckpoints:
    """The records of single checkpoints in the store.

    :param record_bytes: size limit of the store for one record.
    """

    def __init__(self, record_bytes: int) -> None:
        self._record_bytes = record_bytes
        # Job -> name of a task of it -> checkpoint that is in the store.
        self._stored: dict[str, dict[str, str]] = {}
        self._unneeded: list[str] = []
        self._too_long = 0

    def __contains__(self, job: str) -> bool:
        return job in self._stored

    @property
    def too_long(self) -> int:
        """How many checkpoints were not written since not even a record of their own
        can hold them. A task goes on from an earlier one if its box is lost together
        with the leader."""
        return self._too_long

    def put(self, checkpoints: t.Mapping[str, str]) -> list[Record]:
        """Return the records of those checkpoints, by task, that are not stored yet."""
        records = []
        for task, checkpoint in checkpoints.items():
            stored = self._stored.setdefault(job_of(task), {})
            if stored.get(task) == checkpoint:
                continue
            record = Record(CHECKPOINT_KEY + task, _encode(_CheckpointRow(checkpoint)))
            if record.size > self._record_bytes:
                self._too_long += 1
                continue
            stored[task] = checkpoint
            records.append(record)
        return records

    def drop(self, tasks: t.Iterable[str]) -> list[Record]:
        """Return the records that remove the checkpoints of these tasks, as far as there
        are any."""
        return [
            Record(CHECKPOINT_KEY + task, None)
            for task in tasks
            if self._stored.get(job_of(task), {}).pop(task, None) is not None
        ]

    def drop_job(self, job: str) -> list[Record]:
        """Return the records that remove all checkpoints of a job."""
        tasks = self._stored.pop(job, {})
        return [Record(CHECKPOINT_KEY + task, None) for task in tasks]

    def pop_unneeded(self) -> list[Record]:
        """Return the records that remove the checkpoints of jobs that are gone."""
        unneeded, self._unneeded = self._unneeded, []
        return [Record(CHECKPOINT_KEY + task, None) for task in unneeded]

    def restore(
        self,
        records: t.Iterable[Record],
        workflows: t.Mapping[str, Workflow],
        unreadable: list[UnreadableRecord],
    ) -> SlicedWork[None]:
        """Restore the checkpoints of tasks whose rows hold none, one in each step.

        :param workflows: the jobs that are in the store.
        :param unreadable: collects the records that can't be read.
        """
        for key, value in records:
            if not key.startswith(CHECKPOINT_KEY) or value is None:
                continue
            name = key.removeprefix(CHECKPOINT_KEY)
            named = parse_task_name(name)
            workflow = workflows.get(job_of(name))
            gone = workflow is None or (workflow.retired and workflow.terminal)
            if named is None or workflow is None or gone:
                # Older versions leave it in the store when they remove a job.
                self._unneeded.append(name)
                continue
            try:
                checkpoint = _checkpoint_rows.decode(value).checkpoint
            except DECODE_ERRORS as error:
                unreadable.append(UnreadableRecord(key, str(error)))
                checkpoint = ""
            self._stored.setdefault(job_of(name), {})[name] = checkpoint
            task = workflow.tasks.get(named[1])
            if task is not None and task.state != DONE and not task.checkpoint:
                task.checkpoint = checkpoint
            yield
