"""Restores jobs from the records that a predecessor wrote; see :mod:`.jobrecords`."""

import collections
import types
import typing as t

import msgspec

from .errors import DECODE_ERRORS
from .errors import UnreadableRecord
from .interfaces import Record
from .jobrecords import ENDED_KEY
from .jobrecords import GROUP_KEY
from .jobrecords import INTERFERENCE_KEY
from .jobrecords import POINTS_PER_LOST_BOX
from .jobrecords import PROGRESS_KEY
from .jobrecords import SUBMISSION_KEY
from .jobrecords import EndedRow
from .jobrecords import GroupId
from .jobrecords import JobRow
from .jobrecords import ObservedRow
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
from .workflows import has_valid_steps

__all__ = ["NO_JOBS_APART", "JobsApart", "Restored", "restore_jobs"]

TERMINAL_STATES: t.Final = frozenset({"completed", "failed", "cancelled"})

_submissions = msgspec.msgpack.Decoder(Submission)
_job_rows = msgspec.msgpack.Decoder(JobRow)
_task_rows = msgspec.msgpack.Decoder(list[ObservedRow])
_ended_rows = msgspec.msgpack.Decoder(EndedRow)


class JobsApart(t.NamedTuple):
    """The jobs that a leader does not decide about; see :mod:`.leaderfailures`.

    :param set_aside: jobs to end as failed.
    :param held_back: jobs to leave as they are.
    :param failed_epochs: job to end -> epochs of the leaders that have failed at it.
    """

    set_aside: tuple[str, ...] = ()
    held_back: tuple[str, ...] = ()
    failed_epochs: t.Mapping[str, tuple[int, ...]] = types.MappingProxyType({})


NO_JOBS_APART: t.Final = JobsApart()


class Restored(t.NamedTuple):
    """The state that a predecessor wrote.

    :param interference: image -> encoded interference model of it.
    :param leases_left: incarnations of boxes whose leases it no longer renewed -> how
        long the last one may run, or ``None`` if the record does not say it.
    :param groups: the groups in the store.
    :param in_old_format: jobs stored in the format of an older version.
    :param with_unreadable_progress: jobs with a progress record that can't be read.
    :param panel: encoded panel of witnesses, if there is one.
    :param set_aside: jobs that had not ended and are ended as failed, without any task.
    """

    workflows: dict[str, Workflow]
    interference: dict[str, bytes]
    leases_left: dict[str, float | None]
    groups: list[GroupId]
    in_old_format: list[Workflow]
    with_unreadable_progress: list[Workflow]
    unreadable: list[UnreadableRecord]
    panel: bytes | None = None
    set_aside: tuple[Workflow, ...] = ()


def restore_jobs(
    records: t.Iterable[Record],
    time: ShardTime,
    now: float,
    apart: JobsApart = NO_JOBS_APART,
) -> SlicedWork[Restored]:
    """Restore jobs and the shard time from ``records``, one job in each step. Records
    that can't be read are listed in ``unreadable`` and the rest is restored.

    :param apart: jobs to restore without their tasks.
    """
    without_tasks = {*apart.set_aside, *apart.held_back}
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
        if submission is not None and _is_sound(submission, job, restored):
            restored.workflows[job] = _accepted(submission, job in without_tasks, now)
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
        group = _parse_place(place, restored)
        if group is not None and group.job in without_tasks:
            _record_begun(group, restored)
        elif group is not None:
            _restore_group(group, value, restored, time, now)
        yield
    return restored._replace(set_aside=_end_jobs(apart.set_aside, restored, now))


def _record_begun(group: GroupId, restored: Restored) -> None:
    """Record that tasks of a job have begun, of which none is restored."""
    restored.groups.append(group)
    if group.job in restored.workflows:
        restored.workflows[group.job].begun = True


def _end_jobs(
    jobs: t.Collection[str], restored: Restored, now: float
) -> tuple[Workflow, ...]:
    """End jobs as failed; returns those that had not ended."""
    known = (restored.workflows.get(job) for job in jobs)
    failed = [workflow for workflow in known if workflow and not workflow.terminal]
    for workflow in failed:
        workflow.end("failed", now)
    return tuple(failed)


def _accepted(submission: Submission, without_tasks: bool, now: float) -> Workflow:
    """Return a job as it was submitted, or without its steps and tasks."""
    if not without_tasks:
        return Workflow(submission, now)
    workflow = Workflow(msgspec.structs.replace(submission, steps=()), now)
    workflow.retire()
    return workflow


def _is_sound(submission: Submission, job: str, restored: Restored) -> bool:
    """Return whether a submission can be decided about; another writer's may not."""
    reason = ""
    if submission.job != job:
        reason = f"is about job {submission.job[:80]!r}"
    elif not has_valid_steps(submission):
        reason = "has steps that can't be run"
    if reason:
        restored.unreadable.append(UnreadableRecord(SUBMISSION_KEY + job, reason))
    return not reason


Row = t.TypeVar("Row")


def _read(
    decoder: "msgspec.msgpack.Decoder[Row]", key: str, value: bytes, restored: Restored
) -> Row | None:
    try:
        return decoder.decode(value)
    except DECODE_ERRORS as error:
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
        except DECODE_ERRORS as error:
            restored.unreadable.append(
                UnreadableRecord(SHARD_TIME_KEY + key, str(error))
            )
    return max(0, latest_ms)


def _retired(job: str, row: EndedRow, now: float) -> Workflow:
    workflow = Workflow(Submission(job, row.queue, "", "", ()), now)
    workflow.end(row.state, now)
    workflow.retire()
    return workflow


def _restore_state(
    job: str, value: bytes, restored: Restored, time: ShardTime, now: float
) -> None:
    workflow = restored.workflows.get(job)
    if workflow is None or workflow.terminal:
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
    if row.tasks and not workflow.retired:
        restored.in_old_format.append(workflow)


def _parse_place(place: str, restored: Restored) -> GroupId | None:
    """Return the group that a key names after its prefix, or ``None``."""
    job, _, numbers = place.partition("/")
    try:
        occurrence, step, number = map(int, numbers.split("."))
    except ValueError:
        if job in restored.workflows:
            error = UnreadableRecord(GROUP_KEY + place, "no group number")
            restored.unreadable.append(error)
        return None
    return GroupId(job, occurrence, step, number)


def _restore_group(
    group: GroupId, value: bytes, restored: Restored, time: ShardTime, now: float
) -> None:
    workflow = restored.workflows.get(group.job)
    if workflow is None or workflow.retired:
        return
    restored.groups.append(group)
    rows = _read(_task_rows, group.key, value, restored)
    if rows is None:
        restored.with_unreadable_progress.append(workflow)
        return
    for row in rows:
        task = workflow.tasks.get((group.occurrence, group.step, row.index))
        if task is not None:
            _restore_task(task, row, time, now)


def _restore_task(task: Task, row: ObservedRow, time: ShardTime, now: float) -> None:
    task.run = row.run
    task.failed_runs = frozenset(row.failed_runs)
    task.checkpoint = task.row_checkpoint = row.checkpoint
    task.suspicion = row.boxes_lost or row.suspicion // POINTS_PER_LOST_BOX
    task.evidence = row.evidence
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
