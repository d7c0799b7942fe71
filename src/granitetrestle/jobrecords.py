"""Storage format of jobs, from which a successor restores them; see :mod:`.jobrestore`.

The amount written is proportional to what changed: the progress of a job is stored in
groups of tasks, of which only changed ones are written, and of an ended job only its
state remains. With one record for all tasks of a job, a job of n tasks wrote n squared
rows.

The store takes no record above a limit, and checkpoints may have any length. Where the
rows of a group would make a long record, its long checkpoints get records of their own;
see :mod:`.longcheckpoints`. Those of tasks that run are not written again with each
change of another task: boxes list them, and a start needs those of tasks that wait."""

import typing as t

import msgspec

from .fieldtypes import Integer
from .interfaces import Record
from .longcheckpoints import LongCheckpoints
from .shardtime import MAX_SHARD_TIME_MS
from .shardtime import UNKNOWN_TIME
from .shardtime import ShardTime
from .workflows import DONE
from .workflows import PENDING
from .workflows import RUNNING
from .workflows import STOPPING
from .workflows import Submission
from .workflows import Task
from .workflows import Workflow
from .workflows import WorkflowState

__all__ = [
    "DEFAULT_MAX_RECORD_BYTES",
    "ENDED_KEY",
    "GROUP_KEY",
    "POINTS_PER_LOST_BOX",
    "INTERFERENCE_KEY",
    "PROGRESS_KEY",
    "SUBMISSION_KEY",
    "EndedRow",
    "GroupId",
    "JobRecords",
    "JobRow",
    "job_of_key",
    "ObservedRow",
    "longest_submission_record",
]

SUBMISSION_KEY: t.Final = "s/"
PROGRESS_KEY: t.Final = "p/"
GROUP_KEY: t.Final = "t/"
ENDED_KEY: t.Final = "e/"
INTERFERENCE_KEY: t.Final = "i/"
# Tasks in one record. Smaller groups write fewer bytes for a changed task but more
# records for a job: a page of the store has 500 records, and a successor reads all
# pages.
GROUP_TASKS: t.Final = 16
# Above this, the long checkpoints of a group get records of their own.
MAX_GROUP_BYTES: t.Final = 32_768
# Older versions suspect a task by points: this many for each lost box, but not so many
# that they give its job up at the next one.
POINTS_PER_LOST_BOX: t.Final = 2
MAX_POINTS: t.Final = 4
# Used where the settings name no limit.
DEFAULT_MAX_RECORD_BYTES: t.Final = 262_144


class GroupId(t.NamedTuple):
    """Tasks of one step of a job that share a record.

    :param number: index of each of the tasks divided by the group's size, rounded down.
    """

    job: str
    occurrence: int
    step: int
    number: int

    @property
    def key(self) -> str:
        """The key of the group's record in the store."""
        place = f"{self.occurrence}.{self.step}.{self.number}"
        return f"{GROUP_KEY}{self.job}/{place}"


class TaskRow(msgspec.Struct, frozen=True, array_like=True):
    """A task that was started; the fields after the state are only set until it is
    done.

    :param suspicion: points for the boxes that it may have crashed, by which older
        versions decide.
    :param since_ms: when its run was started, or since when it waits for the next one,
        in shard time.
    """

    index: Integer
    run: Integer
    state: t.Annotated[int, msgspec.Meta(ge=PENDING, le=DONE)]
    box: str = ""
    failed_runs: tuple[Integer, ...] = ()
    checkpoint: str = ""
    suspicion: Integer = 0
    since_ms: Integer = UNKNOWN_TIME


class ObservedRow(TaskRow, frozen=True, array_like=True):
    """A task with observations that few tasks have, and that older versions ignore.

    :param likely_crashes: written by older versions only.
    :param proven: as :attr:`.Task.proven`.
    :param idle_since_ms: as :attr:`.Task.idle_since`, in shard time, for long-running
        tasks; not known of those that wait since then.
    :param boxes_lost: as :attr:`.Task.suspicion`; older versions wrote points alone.
    :param evidence: as :attr:`.Task.evidence`.
    """

    likely_crashes: Integer = 0
    proven: bool = False
    idle_since_ms: Integer = UNKNOWN_TIME
    boxes_lost: Integer = 0
    evidence: Integer = 0


class JobRow(msgspec.Struct, frozen=True, array_like=True):
    """A job's state: a terminal one, or empty.

    :param tasks: written by older versions only, for each task that was ever started:
        occurrence, step, index, run, state, box, failed runs, checkpoint.
    """

    state: str
    tasks: list[
        tuple[Integer, Integer, Integer, Integer, Integer, str, list[Integer], str]
    ] = []


class EndedRow(msgspec.Struct, frozen=True, array_like=True):
    """All that is stored of an ended job whose tasks have all stopped.

    :param ended_ms: when it ended, in shard time.
    """

    state: WorkflowState
    queue: str
    ended_ms: Integer = UNKNOWN_TIME


_encode = msgspec.msgpack.Encoder().encode


def _task_row(task: Task, time: ShardTime) -> TaskRow:
    if task.state == DONE:
        return TaskRow(task.index, task.run, DONE)
    failed = tuple(sorted(task.failed_runs))
    since = task.started_at if task.placed else task.times.waits_since
    row = (
        task.index,
        task.run,
        task.state,
        task.box,
        failed,
        task.checkpoint,
        min(MAX_POINTS, POINTS_PER_LOST_BOX * task.suspicion),
        UNKNOWN_TIME if since is None else time.at(since),
    )
    idle_since_ms = UNKNOWN_TIME
    if task.spec.long_running and task.idle_since and task.idle_since != since:
        idle_since_ms = time.at(task.idle_since)
    if not (task.suspicion or task.proven or idle_since_ms != UNKNOWN_TIME):
        return TaskRow(*row)
    observed = (0, task.proven, idle_since_ms)
    if not task.suspicion:
        return ObservedRow(*row, *observed)
    return ObservedRow(*row, *observed, task.suspicion, task.evidence)


def _group_of(task: Task) -> GroupId:
    job = task.workflow.submission.job
    return GroupId(job, task.occurrence, task.step, task.index // GROUP_TASKS)


def _submission_record(submission: Submission) -> Record:
    return Record(SUBMISSION_KEY + submission.job, _encode(submission))


def job_of_key(key: str) -> str:
    """Return the job that a record says something of which a successor must know, or an
    empty string. A checkpoint only saves work."""
    kind, _, rest = key.partition("/")
    if f"{kind}/" not in (SUBMISSION_KEY, PROGRESS_KEY, GROUP_KEY, ENDED_KEY):
        return ""
    return rest.partition("/")[0]


def longest_submission_record(submission: Submission) -> Record:
    """Return the record that a job would have if it were accepted at the time whose
    stored form is longest."""
    latest = msgspec.structs.replace(submission, accepted_ms=MAX_SHARD_TIME_MS)
    return _submission_record(latest)


class JobRecords:
    """Collects changes of jobs and turns them into records.

    :param record_bytes: size limit of the store for one record.
    """

    def __init__(
        self, time: ShardTime, record_bytes: int = DEFAULT_MAX_RECORD_BYTES
    ) -> None:
        self._time = time
        self._group_bytes = min(record_bytes, MAX_GROUP_BYTES)
        self._checkpoints = LongCheckpoints(record_bytes)
        self._accepted: dict[str, Workflow] = {}
        self._groups: dict[GroupId, Workflow] = {}
        self._states: dict[str, Workflow] = {}
        self._ended: dict[str, Workflow] = {}
        self._dropped: set[str] = set()
        # Groups in the store, by job, to be deleted with the job.
        self._stored: dict[str, set[GroupId]] = {}

    @property
    def checkpoints(self) -> LongCheckpoints:
        """The checkpoints that have a record of their own."""
        return self._checkpoints

    @property
    def waiting(self) -> bool:
        """Whether records must be written."""
        return bool(
            self._accepted
            or self._groups
            or self._states
            or self._ended
            or self._dropped
        )

    def add_job(self, workflow: Workflow) -> None:
        """Add a new job."""
        self._accepted[workflow.submission.job] = workflow

    def mark_task_changed(self, task: Task) -> None:
        """Mark that a task's run, state, box or failures changed."""
        self._groups[_group_of(task)] = task.workflow

    def mark_ended(self, workflow: Workflow) -> None:
        """Mark that a job has ended."""
        self._states[workflow.submission.job] = workflow

    def mark_retired(self, workflow: Workflow) -> None:
        """Mark that only the state of an ended job is still needed."""
        self._ended[workflow.submission.job] = workflow

    def mark_dropped(self, job: str) -> None:
        """Mark that a job is removed, with all its records."""
        self._ended.pop(job, None)
        self._dropped.add(job)

    def add_stored_group(self, group: GroupId) -> None:
        """Add a group whose record is in the store."""
        self._stored.setdefault(group.job, set()).add(group)

    def pop_records(self) -> list[Record]:
        """Return the records of all changes since the last call."""
        records = self._checkpoints.pop_unneeded()
        for workflow in self._accepted.values():
            records.append(_submission_record(workflow.submission))
        for group, workflow in self._groups.items():
            if not workflow.retired:
                records += self._group_records(group, workflow)
                self.add_stored_group(group)
        # Written after the groups, since this replaces a record in the old format that
        # holds the tasks itself.
        for job, workflow in self._states.items():
            if not workflow.retired:
                value = _encode(JobRow(workflow.ended or ""))
                records.append(Record(PROGRESS_KEY + job, value))
        for job, workflow in self._ended.items():
            ended_ms = self._time.at(workflow.ended_at)
            row = EndedRow(workflow.state, workflow.submission.queue, ended_ms)
            records.append(Record(ENDED_KEY + job, _encode(row)))
            records += self._drop_details(job)
        for job in self._dropped:
            records.append(Record(ENDED_KEY + job, None))
            records += self._drop_details(job)
        for changes in (self._accepted, self._groups, self._states, self._ended):
            changes.clear()
        self._dropped.clear()
        return records

    def _group_records(self, group: GroupId, workflow: Workflow) -> list[Record]:
        """Return the record of a group, and those of its checkpoints that need one.

        The records may be split over two appends. So a checkpoint gets a record of its
        own before the group's record is without it, and loses it after that holds it.
        """
        tasks = _begun_tasks(group, workflow)
        rows = [_task_row(task, self._time) for task in tasks]
        record = Record(group.key, _encode(rows))
        fits = record.size <= self._group_bytes
        dropped: list[Task] = []
        records: list[Record] = []
        if not fits:
            rows, separate, dropped = self._separate(rows, tasks)
            records = self._checkpoints.put(separate)
            record = Record(group.key, _encode(rows))
        elif group.job in self._checkpoints:
            dropped = tasks
        for task, row in zip(tasks, rows, strict=True):
            task.row_checkpoint = row.checkpoint
        records.append(record)
        return records + self._checkpoints.drop(task.name for task in dropped)

    def _separate(
        self, rows: list[TaskRow], tasks: list[Task]
    ) -> tuple[list[TaskRow], dict[str, str], list[Task]]:
        """Return the rows of a group without long checkpoints, the checkpoints that get
        records of their own, by task, and the tasks that need no such record."""
        longest = self._group_bytes // (2 * GROUP_TASKS)
        shortened: list[TaskRow] = []
        separate: dict[str, str] = {}
        unneeded: list[Task] = []
        for task, row in zip(tasks, rows, strict=True):
            text = row.checkpoint
            if not _is_longer(text, longest):
                unneeded.append(task)
            elif task.state in (RUNNING, STOPPING) and not _is_longer(
                task.row_checkpoint, longest
            ):
                # What is stored of it stays.
                text = task.row_checkpoint
            else:
                separate[task.name] = text
                text = ""
            shortened.append(msgspec.structs.replace(row, checkpoint=text))
        return shortened, separate, unneeded

    def _drop_details(self, job: str) -> list[Record]:
        keys = [SUBMISSION_KEY + job, PROGRESS_KEY + job]
        keys += [group.key for group in self._stored.pop(job, ())]
        dropped = [Record(key, None) for key in keys]
        return dropped + self._checkpoints.drop_job(job)


def _begun_tasks(group: GroupId, workflow: Workflow) -> list[Task]:
    """Return the tasks of a group that were started."""
    first = group.number * GROUP_TASKS
    count = workflow.submission.steps[group.step].count
    tasks = (
        workflow.tasks[(group.occurrence, group.step, index)]
        for index in range(first, min(first + GROUP_TASKS, count))
    )
    return [task for task in tasks if task.run]


def _is_longer(text: str, size: int) -> bool:
    return len(text.encode()) > size
