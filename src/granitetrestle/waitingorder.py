"""The order in which waiting tasks are placed while there is not room for all of them.

It is meant for bursts of wide jobs on a full system, and for the time after an outage,
when many jobs are late already and more are submitted."""

import abc
import typing as t

from .jobsizes import JobSizes
from .jobsizes import SizeClass
from .shardstate import WaitingStep
from .workflows import Step
from .workflows import Task
from .workflows import Workflow

__all__ = [
    "ByArrival",
    "ByUrgency",
    "WaitingOrder",
    "count_waiting_tasks",
    "kind_of_work",
    "lateness_name",
]

IN_TIME: t.Final = 0
LATE: t.Final = 1
TOO_LATE: t.Final = 2
# The names that logs show.
LATENESS_NAMES: t.Final = ("in_time", "late", "too_late")

# Priority, lateness, whether its size class is served enough, and the remaining
# criterion: the time of arrival, the latest start in time, or the work left over the
# job's value.
SortKey: t.TypeAlias = tuple[int, int, bool, float]


class WaitingOrder(abc.ABC):
    """Orders waiting steps."""

    @abc.abstractmethod
    def record_submission(self, workflow: Workflow) -> None:
        """Record a job that was submitted, or was read from a predecessor's records."""

    @abc.abstractmethod
    def start_pass(self, now: float) -> None:
        """Prepare for a pass over the waiting steps."""

    @abc.abstractmethod
    def record_start(self, task: Task) -> None:
        """Record a task that was assigned to a box."""

    @abc.abstractmethod
    def sort_key(self, entry: WaitingStep, now: float) -> SortKey:
        """Return the key to sort by, in ascending order."""


class ByArrival(WaitingOrder):
    """Baseline: by queue priority, then first come, first served."""

    def record_submission(self, workflow: Workflow) -> None:
        """See :meth:`WaitingOrder.record_submission`."""

    def start_pass(self, now: float) -> None:
        """See :meth:`WaitingOrder.start_pass`."""

    def record_start(self, task: Task) -> None:
        """See :meth:`WaitingOrder.record_start`."""

    def sort_key(self, entry: WaitingStep, now: float) -> SortKey:
        """See :meth:`WaitingOrder.sort_key`."""
        return (entry.priority, IN_TIME, True, entry.workflow.accepted_at)


class ByUrgency(WaitingOrder):
    """By queue priority, then by lateness, then by urgency or value.

    Work that can still be in time goes first, then late work, then work that is too
    late to be of use, which is still run. Within these classes the step that must start
    soonest goes first. Best-effort jobs may lack room for long: of them the job with
    the highest value for the work left goes first, after those of underserved size
    classes.

    :param too_late_last: whether work that is too late goes after work that is late.
    :param by_value: whether a job's value counts; else the least work left goes first.
    :param size_shares: whether underserved size classes go first.
    """

    def __init__(self, too_late_last: bool, by_value: bool, size_shares: bool) -> None:
        self._too_late_last = too_late_last
        self._by_value = by_value
        self._size_shares = size_shares
        self._sizes = JobSizes()

    def record_submission(self, workflow: Workflow) -> None:
        """See :meth:`WaitingOrder.record_submission`."""
        if any(step.best_effort for step in workflow.submission.steps):
            self._sizes.record_submission(
                workflow.submission.queue, workflow.total_work
            )

    def start_pass(self, now: float) -> None:
        """See :meth:`WaitingOrder.start_pass`."""
        if self._size_shares:
            self._sizes.update_shares(now)

    def record_start(self, task: Task) -> None:
        """See :meth:`WaitingOrder.record_start`."""
        if task.spec.best_effort and self._size_shares:
            work = task.spec.cpu * task.spec.estimate_ms
            share = work / max(1, task.workflow.total_work)
            self._sizes.record_start(self._size_class(task.workflow), share)

    def _size_class(self, workflow: Workflow) -> SizeClass:
        queue = workflow.submission.queue
        return self._sizes.size_class(queue, workflow.total_work)

    def sort_key(self, entry: WaitingStep, now: float) -> SortKey:
        """See :meth:`WaitingOrder.sort_key`."""
        lateness = self._lateness(entry, now)
        if not entry.spec.best_effort:
            return (entry.priority, lateness, True, entry.latest_start)
        workflow = entry.workflow
        left = float(workflow.remaining_work)
        if self._by_value:
            queue = workflow.submission.queue
            left /= self._sizes.value(queue, workflow.total_work)
        served = not self._sizes.is_underserved(self._size_class(workflow))
        return (entry.priority, lateness, served, left)

    def _lateness(self, entry: WaitingStep, now: float) -> int:
        lateness = _lateness(entry, now)
        return lateness if self._too_late_last else min(LATE, lateness)


def _lateness(entry: WaitingStep, now: float) -> int:
    if now <= entry.latest_start:
        return IN_TIME
    return LATE if now <= entry.latest_useful_start else TOO_LATE


def lateness_name(entry: WaitingStep, now: float) -> str:
    """Return the lateness of a waiting step as logs show it."""
    return LATENESS_NAMES[_lateness(entry, now)]


def kind_of_work(step: Step) -> str:
    """Return the class of work of a step as logs and figures show it."""
    if step.best_effort:
        return "fills"
    return "lasting" if step.long_running else "short"


def count_waiting_tasks(entries: t.Iterable[WaitingStep], now: float) -> dict[str, int]:
    """Return how many tasks wait: by class of work, by lateness, and those suspected of
    crashing boxes."""
    kinds = ("short", "fills", "lasting", "late", "too_late", "suspected")
    waiting = dict.fromkeys(kinds, 0)
    for entry in entries:
        waiting[kind_of_work(entry.spec)] += len(entry.tasks)
        if entry.suspects:
            tasks = entry.tasks.values()
            waiting["suspected"] += sum(task.suspicion > 0 for task in tasks)
        lateness = _lateness(entry, now)
        if lateness != IN_TIME:
            waiting["late" if lateness == LATE else "too_late"] += len(entry.tasks)
    return waiting
