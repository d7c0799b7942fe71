"""Jobs of several steps: the submission of a client account, the state of each task,
and the form in which the submission is stored for a successor. Scheduling decisions are
made in :mod:`.scheduler`."""

import typing as t

import msgspec

from .fieldtypes import Integer
from .fieldtypes import Real
from .shardtime import UNKNOWN_TIME
from .tasktimes import TaskTimes

__all__ = [
    "DONE",
    "MAX_TASKS",
    "PENDING",
    "RUNNING",
    "STARTING",
    "STATE_NAMES",
    "STOPPING",
    "Step",
    "Submission",
    "Task",
    "Workflow",
    "WorkflowState",
    "has_valid_steps",
    "job_of",
    "parse_task_name",
]

PENDING: t.Final = 0
STARTING: t.Final = 1
RUNNING: t.Final = 2
STOPPING: t.Final = 3
DONE: t.Final = 4
# The names that logs show, by state.
STATE_NAMES: t.Final = ("pending", "starting", "running", "stopping", "done")
FULL_PACE: t.Final = 100
# Tasks of a job, over all its occurrences.
MAX_TASKS: t.Final = 5000

WorkflowState: t.TypeAlias = t.Literal[
    "queued", "running", "completed", "failed", "cancelled"
]


class Step(msgspec.Struct, frozen=True, array_like=True):
    """A number of equal tasks of a job. Durations are in milliseconds.

    :param cpu: thousandths of a core for each task.
    :param depends_on: numbers of the earlier steps that must be done first.
    :param gang: whether the tasks can work only all at once.
    :param required_labels: labels that a box must carry.
    :param affinity: rack that holds the data; empty for none.
    :param per_box: maximum of tasks of this step on one box; 0 for no limit.
    :param speculative: whether copies of a task may run at the same time.
    :param long_running: whether the tasks run until the job is cancelled.
    :param image: program that the tasks run; tasks of one image behave alike.
    :param target_ms: target of the tail latency of a serving task; 0 for none.
    :param best_effort: whether the tasks use only processor time that others leave
        unused.
    :param max_unavailable: maximum of tasks of a long-running step that may be
        unavailable at once.
    """

    count: Integer
    cpu: Integer = 0
    memory_mb: Integer = 0
    gpu: Integer = 0
    estimate_ms: Integer = 0
    depends_on: tuple[Integer, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    rack_local: bool = False
    required_labels: tuple[str, ...] = ()
    affinity: str = ""
    per_box: Integer = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: Real = 0.0
    best_effort: bool = False
    max_unavailable: Integer = 0


class Submission(msgspec.Struct, frozen=True, array_like=True):
    """A job as it was accepted.

    :param queue: name of the queue that accepted it.
    :param service: pool of boxes that ran the queue's tasks when it was accepted.
    :param spec: opaque text for the tasks.
    :param repeat_count: number of occurrences of the steps; 0 for one, without delay.
    :param start_at_ms: wall time of the first occurrence, in milliseconds since 1970.
    :param interval_ms: time from one occurrence to the next.
    :param accepted_ms: when the leader accepted it, in shard time.
    :param max_attempts: failed runs of a task before the job fails, as its queue was
        configured when it was accepted; 0 if an older version accepted it.
    """

    job: str
    queue: str
    service: str
    spec: str
    steps: tuple[Step, ...]
    repeat_count: Integer = 0
    start_at_ms: Integer = 0
    interval_ms: Integer = 0
    accepted_ms: Integer = UNKNOWN_TIME
    max_attempts: Integer = 0


def has_valid_steps(submission: Submission) -> bool:
    """Return whether the steps of a stored job can be decided about, as those of every
    job that is accepted can."""
    steps = submission.steps
    tasks = sum(step.count for step in steps) * max(1, submission.repeat_count)
    if not steps or tasks > MAX_TASKS:
        return False
    return all(
        step.count > 0
        and min(step.cpu, step.memory_mb, step.gpu, step.estimate_ms, step.per_box) >= 0
        and all(0 <= earlier < number for earlier in step.depends_on)
        for number, step in enumerate(steps)
    )


class Task:
    """One task of a job, with the state of its latest run.

    :ivar spec: the step that it belongs to.
    :ivar run: number of its latest start, 0 before the first.
    :ivar sent: whether the command of that start may have been sent; for one of a
        predecessor, it may.
    :ivar inherited: whether a predecessor started that run, and recorded when.
    :ivar running_since: time from which that run is known to run; 0 while it is not.
    :ivar suspicion: number of boxes that it may have crashed; see :mod:`.crashloops`.
    :ivar evidence: that it did crash them, in decibans; see :mod:`.crashevidence`.
    :ivar proven: whether the store says that its run was observed running for long.
    :ivar row_checkpoint: the checkpoint in its record in the store, which may be an
        earlier one.
    :ivar idle_since: since when no run of it runs: when its last one ended, at the
        latest, or before the first when it was enqueued; 0 before that.
    :ivar done_at: time at which it was done, in seconds on the steady clock.
    """

    __slots__ = (
        "_times",
        "box",
        "checkpoint",
        "confirmed_at",
        "done_at",
        "evidence",
        "failed_runs",
        "idle_since",
        "index",
        "inherited",
        "name",
        "occurrence",
        "pace",
        "paced_at",
        "proven",
        "row_checkpoint",
        "run",
        "running_since",
        "sent",
        "slow_since",
        "spec",
        "started_at",
        "state",
        "step",
        "stop_sent_at",
        "suspicion",
        "ticket",
        "workflow",
    )

    def __init__(
        self, workflow: "Workflow", occurrence: int, step: int, index: int
    ) -> None:
        self.workflow = workflow
        self.occurrence = occurrence
        self.step = step
        self.index = index
        self.name = f"{workflow.submission.job}.{occurrence}.{step}.{index}"
        self.spec = workflow.submission.steps[step]
        self.run = 0
        self.state = PENDING
        self.box = ""
        # The empty set is shared by all tasks without failures, which are most: a set
        # of its own would be a good part of the memory of each.
        self.failed_runs: frozenset[int] = frozenset()
        self.sent = True
        self.inherited = False
        self.running_since = 0.0
        self.suspicion = 0
        self.evidence = 0
        self.proven = False
        self.checkpoint = ""
        self.row_checkpoint = ""
        self.started_at = 0.0
        self.confirmed_at = 0.0
        self.stop_sent_at = 0.0
        self.pace = FULL_PACE
        self.paced_at = 0.0
        self.slow_since = 0.0
        self.ticket = ""
        self.idle_since = 0.0
        self.done_at = 0.0
        self._times: TaskTimes | None = None

    @property
    def times(self) -> TaskTimes:
        """Time spent in each phase; created on first use, since most tasks of a long
        job have not begun yet."""
        if self._times is None:
            self._times = TaskTimes()
        return self._times

    @property
    def failures(self) -> int:
        """Number of failed runs; an end that a box lists again counts once."""
        return len(self.failed_runs)

    @property
    def placed(self) -> bool:
        """Whether it occupies room on a box."""
        return self.state in (STARTING, RUNNING, STOPPING)

    def set_pace(self, percent: int, now: float) -> None:
        """Record a new pace, in percent of the full speed of the task."""
        if self.pace == FULL_PACE:
            self.slow_since = now
        self.pace = percent
        self.paced_at = now
        if self.state == RUNNING:
            self.times.enter(self._run_phase, now)

    def mark_running(self, now: float) -> None:
        """Record that a poll listed its run, or that its start was confirmed."""
        self.state = RUNNING
        self.confirmed_at = now
        # Otherwise a run of weeks counts as one that has just begun, and is suspected of
        # having crashed a box that is lost soon after a take-over.
        began = self.started_at if self.inherited else now
        self.running_since = self.running_since or began
        self.times.enter(self._run_phase, now)

    @property
    def _run_phase(self) -> t.Literal["run", "slowed"]:
        return "run" if self.pace == FULL_PACE else "slowed"


class Workflow:
    """A job, its tasks and its state.

    :ivar retired: whether its tasks were dropped after its end.
    :ivar total_work: estimated work of all tasks, in millionths of a core-second.
    :ivar due_at: time by which it should be completed, in seconds on the steady clock.
    :ivar unfinished: (occurrence, step) -> number of tasks that are not done.
    """

    def __init__(self, submission: Submission, accepted_at: float) -> None:
        self.submission = submission
        self.accepted_at = accepted_at
        self.due_at = accepted_at
        self.ended: WorkflowState | None = None
        self.ended_at = 0.0
        self.begun = False
        self.retired = False
        self.tasks: dict[tuple[int, int, int], Task] = {}
        self.unfinished: dict[tuple[int, int], int] = {}
        for occurrence in range(max(1, submission.repeat_count)):
            self._add_occurrence(occurrence)
        self.total_work = self.remaining_work

    def _add_occurrence(self, occurrence: int) -> None:
        for number, step in enumerate(self.submission.steps):
            self.unfinished[(occurrence, number)] = step.count
            for index in range(step.count):
                task = Task(self, occurrence, number, index)
                self.tasks[(occurrence, number, index)] = task

    @property
    def state(self) -> WorkflowState:
        """The state as shown to its client account."""
        if self.ended is not None:
            return self.ended
        return "running" if self.begun else "queued"

    @property
    def terminal(self) -> bool:
        """Whether it has ended, so that no task of it is started any more."""
        return self.ended is not None

    @property
    def held_back(self) -> bool:
        """Whether a leader leaves it as it is, without its tasks; see
        :mod:`.leaderfailures`."""
        return self.retired and not self.terminal

    def due_at_ms(self, occurrence: int) -> int:
        """Return the wall time at which an occurrence is due, in milliseconds since
        1970; 0 for without delay."""
        submission = self.submission
        if not submission.repeat_count:
            return 0
        return submission.start_at_ms + occurrence * submission.interval_ms

    def step_ready(self, occurrence: int, step: int) -> bool:
        """Return whether all steps that ``step`` depends on are done."""
        dependencies = self.submission.steps[step].depends_on
        return all(
            self.unfinished[(occurrence, number)] == 0 for number in dependencies
        )

    def step_tasks(self, occurrence: int, step: int) -> list[Task]:
        """Return the tasks of one step, by index."""
        count = self.submission.steps[step].count
        return [self.tasks[(occurrence, step, index)] for index in range(count)]

    def mark_done(self, task: Task, now: float) -> None:
        """Count a task as done, once."""
        if task.state != DONE:
            task.state = DONE
            task.done_at = now
            task.times.enter(None, now)
            self.unfinished[(task.occurrence, task.step)] -= 1

    @property
    def all_done(self) -> bool:
        """Whether every task is done."""
        return not any(self.unfinished.values())

    @property
    def remaining_work(self) -> int:
        """Estimated work of the tasks not done yet, in millionths of a core-second."""
        steps = self.submission.steps
        return sum(
            count * steps[number].cpu * steps[number].estimate_ms
            for (_, number), count in self.unfinished.items()
        )

    def critical_path_ms(
        self, step: int, estimates: t.Callable[[Step], float]
    ) -> float:
        """Return the critical path from the start of ``step`` to the end of the job.

        :param estimates: returns the duration of a step, in milliseconds.
        """
        return self.critical_paths_ms(estimates)[step]

    def critical_paths_ms(self, estimates: t.Callable[[Step], float]) -> list[float]:
        """Return the critical paths from the start of each step to the end of the job.

        :param estimates: returns the duration of a step, in milliseconds.
        """
        steps = self.submission.steps
        longest = [0.0] * len(steps)
        for number in range(len(steps) - 1, -1, -1):
            successors = [
                longest[later]
                for later in range(number + 1, len(steps))
                if number in steps[later].depends_on
            ]
            longest[number] = estimates(steps[number]) + max(successors, default=0.0)
        return longest

    def end(self, state: WorkflowState, now: float) -> None:
        """Set the final state of the job."""
        self.ended = state
        self.ended_at = now

    def retire(self) -> None:
        """Drop the tasks of an ended job, since only its state is queried any more."""
        self.retired = True
        self.tasks.clear()
        self.unfinished.clear()


def job_of(task: str) -> str:
    """Return the job of a task, by its name."""
    return task.partition(".")[0]


def parse_task_name(name: str) -> tuple[str, tuple[int, int, int]] | None:
    """Split a task's name into its job and its occurrence, step and index; return
    ``None`` if it is not a task's name."""
    job, *numbers = name.split(".")
    try:
        occurrence, step, index = map(int, numbers)
    except ValueError:
        return None
    return job, (occurrence, step, index)
