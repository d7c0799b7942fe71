"""State of one owned shard: its boxes, waiting tasks, and tasks that may still run
under an older epoch. Such an uncertain task is not started by a new owner until a
report of each box or the expiry of all older leases proves that it does not run."""

import dataclasses
import typing as t

from .capacity import Assignment
from .capacity import BoxState
from .capacity import CapacityIndex
from .events import BoxInfo
from .jobs import Job
from .jobs import Jobs
from .jobs import Task
from .waiting import Shape
from .waiting import Usage
from .waiting import WaitingTask
from .waiting import WaitingTasks

__all__ = ["OwnedShard"]


@dataclasses.dataclass(slots=True)
class OwnedShard:
    """State of an owned shard under one epoch.

    :param old_starts_expired_wall: wall time (s) after which no start of an older
        epoch can arrive.
    :param old_leases_expired_wall: wall time (s) after which all leases granted by
        older epochs have expired, also on unreachable boxes.
    :param box_of_task: task -> name of the box that it is assigned to.
    :param uncertain: tasks that may still run under an older epoch.
    :param unreconciled: boxes without a report since ``old_starts_expired_wall``.
    :param listed: whether the platform's list of boxes has been applied.
    :param superseded: a box reported a newer epoch; no further decisions are made.
    :param dirty: whether anything changed since the last placement round.
    :param evacuated: the data hall is evacuated; no tasks are started.
    :param blocked: (account, shape) -> why none of its tasks was placed in the last
        round.
    :param boxes_with_starts: boxes with start commands that are not sent yet.
    :param eviction_deadlines: task -> monotonic time (s) until which it waits for
        the tasks evicted for it to leave.
    """

    shard: int
    epoch: int
    old_starts_expired_wall: float
    old_leases_expired_wall: float
    index: CapacityIndex = dataclasses.field(default_factory=CapacityIndex)
    waiting: WaitingTasks = dataclasses.field(default_factory=WaitingTasks)
    box_of_task: dict[str, str] = dataclasses.field(default_factory=dict)
    usage: dict[str, Usage] = dataclasses.field(default_factory=dict)
    uncertain: set[str] = dataclasses.field(default_factory=set)
    unreconciled: set[str] = dataclasses.field(default_factory=set)
    listed: bool = False
    superseded: bool = False
    dirty: bool = True
    evacuated: bool = False
    blocked: dict[tuple[str, Shape], str] = dataclasses.field(default_factory=dict)
    boxes_with_starts: set[str] = dataclasses.field(default_factory=set)
    eviction_deadlines: dict[str, float] = dataclasses.field(default_factory=dict)

    def load_jobs(self, jobs: Jobs) -> None:
        """Add the tasks of every open job of the shard, as waiting or as uncertain."""
        for job in jobs.open_jobs(self.shard).values():
            for task in job.tasks.values():
                self.add_task(job, task)

    def add_task(self, job: Job, task: Task) -> None:
        """Add a task; it is uncertain if an older epoch may have started its attempt."""
        if task.ended or task.task in self.box_of_task:
            return
        if task.opened < self.epoch and self._reconciling():
            self.uncertain.add(task.task)
            return
        self.enqueue(job, task)

    def _reconciling(self) -> bool:
        return not self.listed or bool(self.unreconciled)

    def enqueue(self, job: Job, task: Task) -> None:
        """Enqueue a task that is proven to run nowhere."""
        self.waiting.push(
            WaitingTask(
                task.task, task.attempt, job.job, job.account, job.spec, task.checkpoint
            )
        )
        self.dirty = True

    def set_evacuated(self, evacuated: bool) -> None:
        """Close all boxes to new tasks, or open them again."""
        self.evacuated = evacuated
        for box in self.index.boxes.values():
            box.evacuated = evacuated
        self.dirty = True

    def add_box(self, info: BoxInfo, drained: bool) -> None:
        """Add a box that is new in the list."""
        box = BoxState(info, self.shard, free=BoxState.total_of(info), drained=drained)
        box.evacuated = self.evacuated
        self.index.add(box)
        self.unreconciled.add(info.box)

    def update_box(self, box: BoxState, info: BoxInfo) -> None:
        """Apply the listed state of a box; a box of another size is added anew."""
        if BoxState.total_of(info) == box.total:
            box.info = info
            return
        tasks = list(box.tasks.values())
        self.index.remove(box.info.box)
        self.add_box(info, box.drained)
        fresh = self.index.boxes[info.box]
        fresh.last_report_wall = box.last_report_wall
        fresh.reconciled = box.reconciled
        if box.reconciled:
            self.unreconciled.discard(info.box)
        for assignment in tasks:
            self.index.adopt(fresh, assignment)

    def assign(self, box: BoxState, assignment: Assignment, adopted: bool) -> None:
        """Assign an attempt to ``box``.

        :param adopted: it runs already, so it counts even beyond the capacity.
        """
        if adopted:
            self.index.adopt(box, assignment)
        else:
            self.index.reserve(box, assignment)
        self.box_of_task[assignment.task] = box.info.box
        usage = self.usage.get(assignment.account, Usage())
        self.usage[assignment.account] = usage.with_task(assignment.spec, 1)
        self.uncertain.discard(assignment.task)
        self.waiting.discard(assignment.task)

    def unassign(self, task: str) -> Assignment | None:
        """Release the assignment of a task; ``None`` if it has none."""
        name = self.box_of_task.pop(task, None)
        if name is None:
            return None
        box = self.index.boxes[name]
        assignment = self.index.release(box, task)
        box.starts.pop(task, None)
        usage = self.usage[assignment.account].with_task(assignment.spec, -1)
        self.usage[assignment.account] = usage
        self.dirty = True
        return assignment

    def assignments(self) -> t.Iterator[Assignment]:
        """Iterate over the assignments on all boxes of the shard."""
        for box in self.index.boxes.values():
            yield from box.tasks.values()

    def record_report(self, box: str, sent_wall: float, jobs: Jobs) -> None:
        """Record a report; that of the last unreconciled box resolves uncertain tasks."""
        if sent_wall < self.old_starts_expired_wall or box not in self.unreconciled:
            return
        self.index.boxes[box].reconciled = True
        self.dirty = True
        self.unreconciled.discard(box)
        self.resolve_uncertain(jobs)

    def resolve_uncertain(self, jobs: Jobs) -> None:
        """Enqueue the uncertain tasks once all boxes have reported.

        No box reported them, so they run nowhere.
        """
        if self._reconciling():
            return
        uncertain, self.uncertain = self.uncertain, set()
        for name in sorted(uncertain):
            found = jobs.find_task(name)
            if found is not None and not found[1].ended:
                self.enqueue(*found)
