"""Storage format of jobs, from which a successor restores them.

The amount written is proportional to what changed: the progress of a job is stored in
groups of tasks, of which only changed ones are written, and of an ended job only its
state remains. With one record for all tasks of a job, a job of n tasks wrote n squared
rows.

The store takes no record above a limit, and checkpoints may have any length. Where the
rows of a group would make a long record, its long checkpoints get records of their own;
see :mod:`.longcheckpoints`. Those of tasks that run are not written again with each
change of another task: boxes list them, and a start needs those of tasks that wait."""

import collections
import typing as t

import msgspec

from .errors import UnreadableRecord
from .interfaces import Record
from .longcheckpoints import LongCheckpoints
from .shardtime import MAX_SHARD_TIME_MS
from .shardtime import SHARD_TIME_KEY
from .shardtime import UNKNOWN_TIME
from .shardtime import ShardTime
from .shardtime import decode_shard_time
from .slices import SlicedWork
from .withdrawnleases import LEASE_KEY
from .withdrawnleases import decode_lease_left
from .witnesses import PANEL_KEY
from .workflows import DONE
from .workflows import RUNNING
from .workflows import STARTING
from .workflows import STOPPING
from .workflows import Submission
from .workflows import Task
from .workflows import Workflow
from .workflows import WorkflowState

__all__ = [
    "DEFAULT_MAX_RECORD_BYTES",
    "JobRecords",
    "Restored",
    "longest_submission_record",
    "restore_jobs",
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
# Used where the settings name no limit.
DEFAULT_MAX_RECORD_BYTES: t.Final = 262_144
TERMINAL_STATES: t.Final = frozenset({"completed", "failed", "cancelled"})


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

    :param since_ms: when its run was started, or since when it waits for the next one,
        in shard time.
    """

    index: int
    run: int
    state: int
    box: str = ""
    failed_runs: tuple[int, ...] = ()
    checkpoint: str = ""
    suspicion: int = 0
    since_ms: int = UNKNOWN_TIME


class ObservedRow(TaskRow, frozen=True, array_like=True):
    """A task with observations that few tasks have, and that older versions ignore.

    :param likely_crashes: as :attr:`.Task.likely_crashes`.
    :param proven: as :attr:`.Task.proven`.
    :param idle_since_ms: as :attr:`.Task.idle_since`, in shard time, for long-running
        tasks; not known of those that wait since then.
    """

    likely_crashes: int = 0
    proven: bool = False
    idle_since_ms: int = UNKNOWN_TIME


class JobRow(msgspec.Struct, frozen=True, array_like=True):
    """A job's state: a terminal one, or empty.

    :param tasks: written by older versions only, for each task that was ever started:
        occurrence, step, index, run, state, box, failed runs, checkpoint.
    """

    state: str
    tasks: list[tuple[int, int, int, int, int, str, list[int], str]] = []


class EndedRow(msgspec.Struct, frozen=True, array_like=True):
    """All that is stored of an ended job whose tasks have all stopped.

    :param ended_ms: when it ended, in shard time.
    """

    state: str
    queue: str
    ended_ms: int = UNKNOWN_TIME


_encode = msgspec.msgpack.Encoder().encode
_submissions = msgspec.msgpack.Decoder(Submission)
_job_rows = msgspec.msgpack.Decoder(JobRow)
_task_rows = msgspec.msgpack.Decoder(list[ObservedRow])
_ended_rows = msgspec.msgpack.Decoder(EndedRow)


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
        task.suspicion,
        UNKNOWN_TIME if since is None else time.at(since),
    )
    idle_since_ms = UNKNOWN_TIME
    if task.spec.long_running and task.idle_since and task.idle_since != since:
        idle_since_ms = time.at(task.idle_since)
    if task.likely_crashes or task.proven or idle_since_ms != UNKNOWN_TIME:
        return ObservedRow(*row, task.likely_crashes, task.proven, idle_since_ms)
    return TaskRow(*row)


def _group_of(task: Task) -> GroupId:
    job = task.workflow.submission.job
    return GroupId(job, task.occurrence, task.step, task.index // GROUP_TASKS)


def _submission_record(submission: Submission) -> Record:
    return Record(SUBMISSION_KEY + submission.job, _encode(submission))


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


class Restored(t.NamedTuple):
    """The state that a predecessor wrote.

    :param interference: image -> encoded interference model of it.
    :param leases_left: incarnations of boxes whose leases it no longer renewed -> how
        long the last one may run, or ``None`` if the record does not say it.
    :param groups: the groups in the store.
    :param in_old_format: jobs stored in the format of an older version.
    :param with_unreadable_progress: jobs with a progress record that can't be read.
    :param panel: encoded panel of witnesses, if there is one.
    """

    workflows: dict[str, Workflow]
    interference: dict[str, bytes]
    leases_left: dict[str, float | None]
    groups: list[GroupId]
    in_old_format: list[Workflow]
    with_unreadable_progress: list[Workflow]
    unreadable: list[UnreadableRecord]
    panel: bytes | None = None


def restore_jobs(
    records: t.Iterable[Record], time: ShardTime, now: float
) -> SlicedWork[Restored]:
    """Restore jobs and the shard time from ``records``, one job in each step. Records
    that can't be read are listed in ``unreadable`` and the rest is restored."""
    by_kind: dict[str, dict[str, bytes]] = collections.defaultdict(dict)
    for record in records:
        if record.value is not None:
            by_kind[record.key[:2]][record.key[2:]] = record.value
    leases_left = {
        incarnation: decode_lease_left(value)
        for incarnation, value in by_kind[LEASE_KEY].items()
    }
    panel = by_kind[PANEL_KEY[:2]].get(PANEL_KEY[2:])
    learned = by_kind[INTERFERENCE_KEY]
    restored = Restored({}, learned, leases_left, [], [], [], [], panel)
    for job, value in by_kind[SUBMISSION_KEY].items():
        submission = _read(_submissions, SUBMISSION_KEY + job, value, restored)
        if submission is not None:
            restored.workflows[job] = Workflow(submission, now)
        yield
    ended_ms: dict[str, int] = {}
    for job, value in by_kind[ENDED_KEY].items():
        ended = _read(_ended_rows, ENDED_KEY + job, value, restored)
        if ended is not None:
            restored.workflows[job] = _retired(job, ended, now)
            ended_ms[job] = ended.ended_ms
        yield
    time.restore(_latest_time(by_kind[SHARD_TIME_KEY], ended_ms, restored), now)
    for job, workflow in restored.workflows.items():
        accepted_ms = workflow.submission.accepted_ms
        workflow.accepted_at = workflow.due_at = time.steady(accepted_ms, now)
        if job in ended_ms:
            workflow.ended_at = time.steady(ended_ms[job], now)
        yield
    for job, value in by_kind[PROGRESS_KEY].items():
        _restore_state(job, value, restored, time, now)
        yield
    for place, value in by_kind[GROUP_KEY].items():
        _restore_group(place, value, restored, time, now)
        yield
    return restored


Row = t.TypeVar("Row")


def _read(
    decoder: "msgspec.msgpack.Decoder[Row]", key: str, value: bytes, restored: Restored
) -> Row | None:
    try:
        return decoder.decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        restored.unreadable.append(UnreadableRecord(key, str(error)))
        return None


def _latest_time(
    records: t.Mapping[str, bytes], ended_ms: t.Mapping[str, int], restored: Restored
) -> int:
    """Return the latest shard time that a predecessor recorded."""
    latest_ms = max(ended_ms.values(), default=0)
    for workflow in restored.workflows.values():
        latest_ms = max(latest_ms, workflow.submission.accepted_ms)
    for key, value in records.items():
        try:
            latest_ms = max(latest_ms, decode_shard_time(value))
        except msgspec.DecodeError as error:
            restored.unreadable.append(
                UnreadableRecord(SHARD_TIME_KEY + key, str(error))
            )
    return max(0, latest_ms)


def _retired(job: str, row: EndedRow, now: float) -> Workflow:
    workflow = Workflow(Submission(job, row.queue, "", "", ()), now)
    workflow.end(t.cast(WorkflowState, row.state), now)
    workflow.retire()
    return workflow


def _restore_state(
    job: str, value: bytes, restored: Restored, time: ShardTime, now: float
) -> None:
    workflow = restored.workflows.get(job)
    if workflow is None or workflow.retired:
        return
    row = _read(_job_rows, PROGRESS_KEY + job, value, restored)
    if row is None:
        restored.with_unreadable_progress.append(workflow)
        return
    if row.state in TERMINAL_STATES:
        workflow.end(t.cast(WorkflowState, row.state), now)
    for occurrence, step, index, run, state, box, failed, checkpoint in row.tasks:
        task = workflow.tasks.get((occurrence, step, index))
        if task is not None:
            task_row = ObservedRow(index, run, state, box, tuple(failed), checkpoint)
            _restore_task(task, task_row, time, now)
    if row.tasks:
        restored.in_old_format.append(workflow)


def _restore_group(
    place: str, value: bytes, restored: Restored, time: ShardTime, now: float
) -> None:
    job, _, numbers = place.partition("/")
    workflow = restored.workflows.get(job)
    if workflow is None or workflow.retired:
        return
    try:
        occurrence, step, number = map(int, numbers.split("."))
    except ValueError:
        restored.unreadable.append(
            UnreadableRecord(GROUP_KEY + place, "no group number")
        )
        return
    restored.groups.append(GroupId(job, occurrence, step, number))
    rows = _read(_task_rows, GROUP_KEY + place, value, restored)
    if rows is None:
        restored.with_unreadable_progress.append(workflow)
        return
    for row in rows:
        task = workflow.tasks.get((occurrence, step, row.index))
        if task is not None:
            _restore_task(task, row, time, now)


def _restore_task(task: Task, row: ObservedRow, time: ShardTime, now: float) -> None:
    task.run = row.run
    task.failed_runs = frozenset(row.failed_runs)
    task.checkpoint = task.row_checkpoint = row.checkpoint
    task.suspicion = row.suspicion
    task.likely_crashes = row.likely_crashes
    task.workflow.begun = True
    if row.state == DONE:
        task.workflow.mark_done(task, now)
        return
    task.state = row.state
    if task.workflow.terminal and task.placed:
        # The job's end was written but the task's was not, so its stop may never have
        # been sent.
        task.state = STOPPING
    elif task.state == RUNNING:
        # The first poll shows whether it still runs, and counts it as running then.
        task.state = STARTING
    task.box = row.box if task.placed else ""
    task.started_at = since = time.steady(row.since_ms, now)
    task.idle_since = since
    if row.idle_since_ms != UNKNOWN_TIME:
        task.idle_since = time.steady(row.idle_since_ms, now)
    if task.placed:
        task.inherited = row.since_ms != UNKNOWN_TIME
        task.proven = row.proven
    else:
        task.times.enter("room", since)
