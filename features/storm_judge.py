"""Judges a shard in a storm: which jobs fail that did nothing wrong, how many boxes each
task that crashes boxes takes with it, and how long tasks wait once the storm is over."""

import collections
import math
import typing as t

from granitetrestle.workflows import DONE
from granitetrestle_standins.shardchecks import MAX_ATTEMPTS

# A task may crash this many boxes.
MAX_CRASHES = 5
# One that was there for so long after the storm has to have ended.
MAX_CALM_S = 15.0
# The surroundings are calm once nothing was disturbed for this long.
CALM_S = 3.0
# How soon a task starts while the surroundings are calm and there is room, and how soon
# a long-running task runs again after its last run.
MAX_WAIT_S = 3.0
MAX_LASTING_WAIT_S = 6.0
# Boxes with room for a task, of all boxes: some may be kept for other tasks.
MIN_ROOM_SHARE = 0.34


class LoggedEvent(t.NamedTuple):
    """A line that a leader logged."""

    at: float
    epoch: int
    event: str
    subject: str
    inputs: t.Mapping[str, t.Any]

    def __str__(self):
        inputs = " ".join(f"{key}={value}" for key, value in self.inputs.items())
        return f"{self.at:.2f} epoch {self.epoch} {self.event} {self.subject}: {inputs}"


class Culprit(t.NamedTuple):
    """What became of a task that crashes boxes.

    :param behavior: a word for the way in which it does.
    :param crashes: how many boxes it crashed itself.
    :param failed_after_s: the time from its submission until its job was shown as
        failed; ``None`` if it was not.
    :param ended: whether its job has ended in any way, or the task has.
    :param calm_s: for how long it was there after the storm.
    :param long_running: whether it runs until its job is cancelled.
    """

    task: str
    behavior: str
    crashes: int
    failed_after_s: float | None
    ended: bool
    calm_s: float
    long_running: bool


class Wait(t.NamedTuple):
    """How long a task waited while the surroundings were calm and there was room."""

    seconds: float
    task: str
    at: float
    long_running: bool


class StormJudge:
    """Follows a :class:`.shardworld.ShardWorld` tick by tick.

    :ivar processes: every scheduler process, also those that have ended.
    :ivar disturbed_at: when something last disturbed the shard, other than a crash by
        one of its tasks.
    :ivar waits: the longest waits, by whether the task is long-running.
    :ivar late: the tasks that waited for longer than they may, in the same way.
    """

    def __init__(self, world, processes):
        self._world = world
        self.processes = processes
        self._read = collections.Counter()
        self.events = []
        self.disturbed_at = -math.inf
        self._crashes_seen = 0
        self._waits_since = {}
        self.waits = {False: None, True: None}
        self.late = {False: set(), True: set()}
        self._behaviors = {}
        self._submitted_at = {}
        self._failed_at = {}

    def add_culprit(self, task, behavior):
        """Follow a task that crashes boxes, of a job that is submitted now."""
        self._behaviors[task] = behavior
        self._submitted_at[task] = self._world.now

    def check(self):
        """Note what has happened since the last check."""
        self._read_events()
        workflows = self._world.leader.scheduler.state.workflows
        for task in self._behaviors.keys() - self._failed_at.keys():
            workflow = workflows.get(task.split(".")[0])
            if workflow is not None and workflow.state == "failed":
                self._failed_at[task] = self._world.now

    def _read_events(self):
        for process in self.processes:
            new = process.log_events[self._read[process.epoch] :]
            self._read[process.epoch] += len(new)
            self.events += [
                LoggedEvent(self._world.now, process.epoch, *event) for event in new
            ]

    def measure_waits(self):
        """Note which tasks wait though the surroundings are calm and there is room."""
        world = self._world
        crashes = sum(world.box_crashes.caused.values())
        if crashes > self._crashes_seen:
            self._crashes_seen = crashes
            self.disturbed_at = world.now
        running = {task for box in world.boxes.values() for task in box.running}
        calm_at = self.disturbed_at + CALM_S
        free = [
            entry.cpu - sum(world.cpu(task) for task in world.boxes[name].running)
            for name, entry in world.entries.items()
            if world.boxes[name].alive
        ]
        waiting = set()
        for workflow in world.leader.scheduler.state.workflows.values():
            if workflow.terminal or workflow.submission.job not in world.accepted:
                continue
            for task in workflow.tasks.values():
                if (
                    task.name in running
                    or task.state == DONE
                    or task.name in world.box_crashes.crashing
                    or not workflow.step_ready(task.occurrence, task.step)
                ):
                    continue
                room = sum(cpu >= task.spec.cpu for cpu in free)
                if room >= max(2, math.ceil(MIN_ROOM_SHARE * len(free))):
                    waiting.add(task.name)
                    self._measure(task, calm_at)
        for task in self._waits_since.keys() - waiting:
            del self._waits_since[task]

    def _measure(self, task, calm_at):
        world = self._world
        since = self._waits_since.setdefault(task.name, world.now)
        if world.now < calm_at:
            return
        long_running = task.spec.long_running
        # Its last run may have ended with the last disturbance.
        since = max(since, calm_at - CALM_S if long_running else calm_at)
        wait = Wait(world.now - since, task.name, world.now, long_running)
        if wait.seconds > (MAX_LASTING_WAIT_S if long_running else MAX_WAIT_S):
            self.late[long_running].add(task.name)
        longest = self.waits[long_running]
        if longest is None or wait.seconds > longest.seconds:
            self.waits[long_running] = wait

    def innocent_failures(self):
        """Return the jobs that are shown as failed though none of their tasks crashes
        boxes or used up its attempts."""
        world = self._world
        culprits = {task.split(".")[0] for task in world.box_crashes.crashing}
        failed_runs = collections.Counter(
            run.task
            for box in world.boxes.values()
            for run in box.history
            if run.how == "failed"
        )
        exhausted = {
            task.split(".")[0]
            for task, count in failed_runs.items()
            if count >= MAX_ATTEMPTS
        }
        workflows = world.leader.scheduler.state.workflows
        return sorted(
            job
            for job in world.accepted
            if job in workflows
            and workflows[job].state == "failed"
            and job not in culprits
            and job not in exhausted
        )

    def lines_of(self, job):
        """Return what leaders logged of the lost runs and the end of a job."""
        return [
            event
            for event in self.events
            if event.subject.split(".")[0] == job and event.event != "job_taken"
        ]

    def culprits(self, storm_ended_at):
        """Return what became of each task that crashes boxes.

        :param storm_ended_at: may be now.
        """
        world = self._world
        workflows = world.leader.scheduler.state.workflows
        result = []
        for task, behavior in self._behaviors.items():
            job = task.split(".")[0]
            if job not in world.accepted or job not in workflows:
                continue
            workflow = workflows[job]
            long_running = world.is_long_running(task)
            failed_at = self._failed_at.get(task)
            after_s = (
                None if failed_at is None else failed_at - self._submitted_at[task]
            )
            place = tuple(map(int, task.split(".")[1:]))
            ended = workflow.terminal or workflow.tasks[place].state == DONE
            crashes = world.box_crashes.caused.get(task, 0)
            calm_s = world.now - max(storm_ended_at, self._submitted_at[task])
            result.append(
                Culprit(task, behavior, crashes, after_s, ended, calm_s, long_running)
            )
        return result
