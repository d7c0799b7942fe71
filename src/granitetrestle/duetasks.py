"""Long-running tasks that are due: those that have not run for long.

Accounts are promised that a long-running task runs again within six seconds of its last
run while there is room for it, whatever that room is reserved for and whoever else waits.
The lateness of its job says nothing about that: a job that was accepted hours ago is
always late, and its tasks would wait behind all others."""

import typing as t

from .shardstate import WaitingStep
from .workflows import Task

__all__ = ["DueStep", "due_steps"]

# A task is due this long after its last run, or after it was enqueued for the first one.
# What is left of the six seconds is for the room to free, the write and the command.
DUE_AFTER_S: t.Final = 4.2


class DueStep(t.NamedTuple):
    """A waiting step of which tasks are due.

    :param tasks: those tasks, the one that has not run for longest first.
    """

    entry: WaitingStep
    tasks: list[Task]


def due_steps(entries: t.Iterable[WaitingStep], now: float) -> list[DueStep]:
    """Return the steps of which tasks are due, the one overdue longest first."""
    due = []
    for entry in entries:
        if entry.spec.long_running and now - entry.idle_since >= DUE_AFTER_S:
            tasks = _due_tasks(entry, now)
            if tasks:
                due.append(DueStep(entry, tasks))
    due.sort(key=lambda step: step.tasks[0].idle_since)
    return due


def _due_tasks(entry: WaitingStep, now: float) -> list[Task]:
    tasks = sorted(entry.tasks.values(), key=_idle_since)
    if tasks:
        entry.idle_since = tasks[0].idle_since
    return [task for task in tasks if now - task.idle_since >= DUE_AFTER_S]


def _idle_since(task: Task) -> float:
    return task.idle_since
