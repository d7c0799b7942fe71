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
    :param unheard: boxes that have not reported since ``quiet_wall``.
    :param evacuated: nothing further starts in the data hall.
    :param superseded: a box has shown a newer epoch; nothing is decided any more.
    :param doubts: tasks that an older epoch may have running somewhere.
    """

    shard: int
    epoch: int
    quiet_wall: float
    doubt_ends_wall: float
    index: CapacityIndex = dataclasses.field(default_factory=CapacityIndex)
    waiting: WaitingTasks = dataclasses.field(default_factory=WaitingTasks)
    where: dict[str, str] = dataclasses.field(default_factory=dict)
    usage: dict[str, Usage] = dataclasses.field(default_factory=dict)
    doubts: set[str] = dataclasses.field(default_factory=set)
    unheard: set[str] = dataclasses.field(default_factory=set)
    listed: bool = False
    superseded: bool = False
    dirty: bool = True
    evacuated: bool = False
    blocked: dict[tuple[str, Shape], str] = dataclasses.field(default_factory=dict)
    starting: set[str] = dataclasses.field(default_factory=set)
    evicting_for: dict[str, float] = dataclasses.field(default_factory=dict)

    def open_jobs(self, jobs: Jobs) -> None:
        """Enter every open job of the shard, as waiting or as in doubt."""
        for job in jobs.open_in(self.shard).values():
            for task in job.tasks.values():
                self.enter_task(job, task)

    def enter_task(self, job: Job, task: Task) -> None:
        """Enter a task; an attempt older than the epoch may already run."""
        if task.ended or task.task in self.where:
            return
        if task.opened < self.epoch and self._in_doubt():
            self.doubts.add(task.task)
            return
        self.push(job, task)

    def _in_doubt(self) -> bool:
        return not self.listed or bool(self.unheard)

    def push(self, job: Job, task: Task) -> None:
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
        self.unheard.add(info.box)

    def update_box(self, box: BoxState, info: BoxInfo) -> None:
        """Take over what the list says; a resized box is entered anew."""
        if BoxState.total_of(info) == box.total:
            box.info = info
            return
        tasks = list(box.tasks.values())
        self.index.remove(box.info.box)
        self.add_box(info, box.drained)
        fresh = self.index.boxes[info.box]
        fresh.heard_wall = box.heard_wall
        fresh.settled = box.settled
        if box.settled:
            self.unheard.discard(info.box)
        for assignment in tasks:
            self.index.adopt(fresh, assignment)

    def book(self, box: BoxState, assignment: Assignment, adopted: bool) -> None:
        """Count an attempt as occupying ``box``."""
        if adopted:
            self.index.adopt(box, assignment)
        else:
            self.index.take(box, assignment)
        self.where[assignment.task] = box.info.box
        usage = self.usage.get(assignment.account, Usage())
        self.usage[assignment.account] = usage.changed(assignment.spec, 1)
        self.doubts.discard(assignment.task)
        self.waiting.discard(assignment.task)

    def unbook(self, task: str) -> Assignment | None:
        """Give back what a task had taken; ``None`` if it had nothing."""
        name = self.where.pop(task, None)
        if name is None:
            return None
        box = self.index.boxes[name]
        assignment = self.index.release(box, task)
        box.starts.pop(task, None)
        usage = self.usage[assignment.account].changed(assignment.spec, -1)
        self.usage[assignment.account] = usage
        self.dirty = True
        return assignment

    def assignments(self) -> t.Iterator[Assignment]:
        """Iterate over all that occupies a box of the shard."""
        for box in self.index.boxes.values():
            yield from box.tasks.values()

    def heard(self, box: str, sent_wall: float, jobs: Jobs) -> None:
        """Note a report; the last box to be heard settles all doubts."""
        if sent_wall < self.quiet_wall or box not in self.unheard:
            return
        self.index.boxes[box].settled = True
        self.dirty = True
        self.unheard.discard(box)
        self.settle_doubts(jobs)

    def settle_doubts(self, jobs: Jobs) -> None:
        """Once every box is accounted for, what was not found runs nowhere."""
        if self._in_doubt():
            return
        doubts, self.doubts = self.doubts, set()
        for name in sorted(doubts):
            found = jobs.find_task(name)
            if found is not None and not found[1].ended:
                self.push(*found)
