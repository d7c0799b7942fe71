"""Steps for the records of the evidence against tasks."""

import msgspec
from behave import then
from behave import when
from evidence_steps import new_task

from granitetrestle.crashevidence import LOSSES_KEY
from granitetrestle.interfaces import Record
from granitetrestle.jobrecords import GROUP_KEY
from granitetrestle.jobrecords import JobRecords
from granitetrestle.shardstate import SchedulerParameters
from granitetrestle.shardstate import ShardState
from granitetrestle.shardtime import ShardTime
from granitetrestle.workflows import PENDING


class OlderRow(msgspec.Struct, frozen=True, array_like=True):
    """The row of a task as versions read and write it that count points."""

    index: int
    run: int
    state: int
    box: str = ""
    failed_runs: tuple[int, ...] = ()
    checkpoint: str = ""
    suspicion: int = 0
    since_ms: int = -1


class OlderObservedRow(OlderRow, frozen=True, array_like=True):
    """The same with observations."""

    likely_crashes: int = 0
    proven: bool = False
    idle_since_ms: int = -1


@when("a task with {losses:d} losses and evidence of {decibans:d} decibans is written")
def task_written(context, losses, decibans):
    task = new_task(evidence=decibans, losses=losses)
    records = JobRecords(ShardTime())
    records.add_job(task.workflow)
    records.mark_task_changed(task)
    context.records = records.pop_records()


@then("rows of 8 and of 11 fields read it, with at most {most:d} points")
def older_versions_read(context, most):
    (value,) = [x.value for x in context.records if x.key.startswith(GROUP_KEY)]
    for row_type in (OlderRow, OlderObservedRow):
        (row,) = msgspec.msgpack.decode(value, type=list[row_type])
        assert 0 < row.suspicion <= most, row
        assert row.run == 1


@when("an older version has written a row of {fields:d} fields with {points:d} points")
def older_row(context, fields, points):
    restore_older_row(context, fields, points)


@when(
    "an older version has written a row of {fields:d} fields with {points:d} points, "
    "and losses can't be read"
)
def older_row_unreadable(context, fields, points):
    restore_older_row(context, fields, points, Record(LOSSES_KEY, b"\xc1"))


def restore_older_row(context, fields, points, *others):
    job = "a" * 16
    task = new_task(job)
    records = JobRecords(ShardTime())
    records.add_job(task.workflow)
    row_type = OlderRow if fields == 8 else OlderObservedRow
    assert len(row_type.__struct_fields__) == fields
    row = row_type(0, 3, PENDING, suspicion=points)
    group = Record(f"{GROUP_KEY}{job}/0.0.0", msgspec.msgpack.encode([row]))
    restore(context, (*records.pop_records(), group, *others))


@then("{losses:d} losses and no evidence are restored")
def older_restored(context, losses):
    task = context.task
    assert (task.run, task.suspicion, task.evidence) == (3, losses, 0)
    assert not context.restored.unreadable


@then(
    '{losses:d} losses and no evidence are restored, and "{key}" is reported as '
    "unreadable"
)
def rest_restored(context, losses, key):
    task = context.task
    assert (task.run, task.suspicion, task.evidence) == (3, losses, 0)
    assert [record.key for record in context.restored.unreadable] == [key]


@then("a successor restores {losses:d} losses and evidence of {decibans:d} decibans")
def all_restored(context, losses, decibans):
    restore(context, context.records)
    assert (context.task.suspicion, context.task.evidence) == (losses, decibans)


def restore(context, records):
    state = ShardState(SchedulerParameters())
    work = state.restore(records, 7.0)
    while True:
        try:
            next(work)
        except StopIteration as end:
            context.restored = end.value
            break
    (workflow,) = state.workflows.values()
    (context.task,) = workflow.tasks.values()
