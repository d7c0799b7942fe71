"""Where the time of a job went. Each task sums how long it spent in each phase; the
time of a job is that of its last task, of the last task which that one waited for,
and so on to the start. The sums stand in the log line at the end of a job."""

import typing as t

from .tasktimes import PHASES
from .workflows import Task
from .workflows import Workflow

__all__ = ["QueueTimes", "job_times", "queue_times"]

# Lines that hold a job's times.
END_EVENTS: t.Final = ("job_completed", "job_failed")


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
        if line.get("event") in END_EVENTS and isinstance(line.get("queue"), str):
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


def job_times(workflow: Workflow) -> dict[str, float]:
    """Return phase -> seconds along the chain of tasks that ended last."""
    sums = dict.fromkeys(PHASES, 0.0)
    task = _last_done(workflow.tasks.values())
    while task is not None:
        for phase, seconds in task.times.spent.items():
            sums[phase] += seconds
        dependencies = task.spec.depends_on
        task = _last_done(
            other
            for number in dependencies
            for other in workflow.step_tasks(task.occurrence, number)
        )
    return {f"{phase}_s": round(seconds, 3) for phase, seconds in sums.items()}


def _last_done(tasks: t.Iterable[Task]) -> Task | None:
    return max(tasks, key=lambda task: task.done_at, default=None)
