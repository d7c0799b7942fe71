"""Where the time of a job went. Each task sums how long it spent in each phase; the
time of a job is that of its last task, of the last task which that one waited for,
and so on to the start. The sums stand in the log line at the end of a job."""

import typing as t

if t.TYPE_CHECKING:
    from .workflows import Task
    from .workflows import Workflow

__all__ = ["PHASES", "QueueTimes", "TaskTimes", "job_times", "queue_times"]

Phase: t.TypeAlias = t.Literal["room", "order", "run", "slowed", "stop", "failed"]

# Waits for a box; ordered, and not seen to run; runs at full pace; runs slower; is
# being stopped; ran and failed.
PHASES: t.Final[tuple[Phase, ...]] = (
    "room",
    "order",
    "run",
    "slowed",
    "stop",
    "failed",
)


# Lines that hold a job's times.
ENDS: t.Final = ("job_completed", "job_failed")


class TaskTimes:
    """Seconds that one task spent in each phase since its step's turn came."""

    __slots__ = ("_phase", "_run", "_since", "_spent")

    def __init__(self) -> None:
        self._phase: Phase | None = None
        self._since = 0.0
        self._spent: dict[Phase, float] = {}
        # What the current run has spent, so that it can be counted as failed.
        self._run: dict[Phase, float] = {}

    @property
    def spent(self) -> t.Mapping[Phase, float]:
        """Phase -> seconds; phases that never were are missing."""
        return self._spent

    def enter(self, phase: Phase | None, now: float) -> None:
        """Begin a phase; ``None`` when the task is done."""
        if self._phase is not None:
            passed = now - self._since
            self._spent[self._phase] = self._spent.get(self._phase, 0.0) + passed
            if self._phase in ("run", "slowed"):
                self._run[self._phase] = self._run.get(self._phase, 0.0) + passed
        if phase == "order":
            self._run.clear()
        self._phase, self._since = phase, now

    def failed(self, now: float) -> None:
        """Count what the current run spent as failed."""
        self.enter(self._phase, now)
        for phase, seconds in self._run.items():
            self._spent[phase] -= seconds
            self._spent["failed"] = self._spent.get("failed", 0.0) + seconds
        self._run.clear()


class QueueTimes(t.NamedTuple):
    """Where the jobs of one queue spent their time, in seconds a job.

    :param late: jobs that ended after they were due, by their estimates.
    :param phases: phase -> mean over all jobs; of late jobs in ``late_phases``.
    """

    queue: str
    jobs: int
    failed: int
    late: int
    took_s: float
    phases: dict[str, float]
    late_phases: dict[str, float]


def queue_times(lines: t.Iterable[t.Mapping[str, t.Any]]) -> list[QueueTimes]:
    """Sum up the lines that were written at the ends of jobs, by queue."""
    queues: dict[str, list[t.Mapping[str, t.Any]]] = {}
    for line in lines:
        if line.get("event") in ENDS and isinstance(line.get("queue"), str):
            queues.setdefault(line["queue"], []).append(line)
    return [_queue_times(queue, ends) for queue, ends in sorted(queues.items())]


def _queue_times(queue: str, ends: list[t.Mapping[str, t.Any]]) -> QueueTimes:
    late = [end for end in ends if end["late_s"] > 0.0]
    return QueueTimes(
        queue=queue,
        jobs=len(ends),
        failed=sum(end["event"] == "job_failed" for end in ends),
        late=len(late),
        took_s=_mean(ends, "took_s"),
        phases={phase: _mean(ends, f"{phase}_s") for phase in PHASES},
        late_phases={phase: _mean(late, f"{phase}_s") for phase in PHASES},
    )


def _mean(ends: list[t.Mapping[str, t.Any]], field: str) -> float:
    return round(sum(end[field] for end in ends) / len(ends), 2) if ends else 0.0


def job_times(workflow: "Workflow") -> dict[str, float]:
    """Return phase -> seconds along the chain of tasks that ended last."""
    sums = dict.fromkeys(PHASES, 0.0)
    task = _last(workflow.tasks.values())
    while task is not None:
        for phase, seconds in task.times.spent.items():
            sums[phase] += seconds
        needs = task.spec.depends_on
        task = _last(
            other
            for number in needs
            for other in workflow.step_tasks(task.occurrence, number)
        )
    return {f"{phase}_s": round(seconds, 3) for phase, seconds in sums.items()}


def _last(tasks: t.Iterable["Task"]) -> "Task | None":
    return max(tasks, key=lambda task: task.done_at, default=None)
