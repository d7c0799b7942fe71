"""The books of one owned shard: its boxes, what waits, what is in doubt. A new
owner opens a book, counts everything an older epoch may have started as taken,
and closes each doubt only with a box's own report or a lapsed lease."""

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

__all__ = ["ShardBook"]


@dataclasses.dataclass(slots=True)
class ShardBook:
    """State of an owned shard under one epoch.

    :param quiet_wall: wall time (s) after which no start of an older epoch can
        still arrive.
    :param doubt_ends_wall: wall time (s) after which every lease that an older
        epoch granted has lapsed, even on boxes that can't be reached.
    :param starting: boxes that a start waits for.
    :param unheard: boxes that have not reported since ``old_starts_expired_wall``.
    :param evacuated: nothing further starts in the data hall.
    :param superseded: a box has shown a newer epoch; nothing is decided any more.
    :param doubts: tasks that an older epoch may have running somewhere.
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
        """Enter every open job of the shard, as waiting or as in doubt."""
        for job in jobs.open_in(self.shard).values():
            for task in job.tasks.values():
                self.add_task(job, task)

    def add_task(self, job: Job, task: Task) -> None:
        """Enter a task; an attempt older than the epoch may already run."""
        if task.ended or task.task in self.box_of_task:
            return
        if task.opened < self.epoch and self._reconciling():
            self.uncertain.add(task.task)
            return
        self.enqueue(job, task)

    def _reconciling(self) -> bool:
        return not self.listed or bool(self.unreconciled)

    def enqueue(self, job: Job, task: Task) -> None:
        """Let a task that provably runs nowhere wait for a box."""
        self.waiting.push(
            WaitingTask(
                task.task, task.attempt, job.job, job.account, job.spec, task.checkpoint
            )
        )
        self.dirty = True

    def set_evacuated(self, evacuated: bool) -> None:
        """Close all boxes for new tasks, or open them again."""
        self.evacuated = evacuated
        for box in self.index.boxes.values():
            box.evacuated = evacuated
        self.dirty = True

    def add_box(self, info: BoxInfo, drained: bool) -> None:
        """Enter a box that the list shows for the first time."""
        box = BoxState(info, self.shard, free=BoxState.total_of(info), drained=drained)
        box.evacuated = self.evacuated
        self.index.add(box)
        self.unreconciled.add(info.box)

    def update_box(self, box: BoxState, info: BoxInfo) -> None:
        """Take over what the list says; a resized box is entered anew."""
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

    def book(self, box: BoxState, assignment: Assignment, adopted: bool) -> None:
        """Count an attempt as occupying ``box``."""
        if adopted:
            self.index.adopt(box, assignment)
        else:
            self.index.reserve(box, assignment)
        self.box_of_task[assignment.task] = box.info.box
        usage = self.usage.get(assignment.account, Usage())
        self.usage[assignment.account] = usage.with_task(assignment.spec, 1)
        self.uncertain.discard(assignment.task)
        self.waiting.discard(assignment.task)

    def unbook(self, task: str) -> Assignment | None:
        """Give back what a task had taken; ``None`` if it had nothing."""
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
        """Iterate over all that occupies a box of the shard."""
        for box in self.index.boxes.values():
            yield from box.tasks.values()

    def record_report(self, box: str, sent_wall: float, jobs: Jobs) -> None:
        """Note a report; the last box to be heard settles all doubts."""
        if sent_wall < self.old_starts_expired_wall or box not in self.unreconciled:
            return
        self.index.boxes[box].reconciled = True
        self.dirty = True
        self.unreconciled.discard(box)
        self.resolve_uncertain(jobs)

    def resolve_uncertain(self, jobs: Jobs) -> None:
        """Once every box is accounted for, what was not found runs nowhere."""
        if self._reconciling():
            return
        uncertain, self.uncertain = self.uncertain, set()
        for name in sorted(uncertain):
            found = jobs.find_task(name)
            if found is not None and not found[1].ended:
                self.enqueue(*found)
