"""Breakdown of the duration of jobs by phase.

Each task sums up the time it spent in each phase. The breakdown of a job adds up the
tasks along its critical path: the last task done, the last done of those that it
depended on, and so on to the start. The log line at the end of a job has the sums."""

import typing as t

from .tasktimes import PHASES
from .workflows import Task
from .workflows import Workflow

__all__ = ["QueueTimes", "job_times", "queue_times"]

# Events whose log lines have the breakdown.
END_EVENTS: t.Final = ("job_completed", "job_failed")


class QueueTimes(t.NamedTuple):
    """Mean breakdown of the jobs of one queue, in seconds per job.

    :param late: number of jobs that ended after their due time, which is estimated.
    :param phases: phase -> mean over all jobs.
    :param late_phases: phase -> mean over the late jobs.
    """

    queue: str
    jobs: int
    failed: int
    late: int
    took_s: float
    phases: dict[str, float]
    late_phases: dict[str, float]


def queue_times(lines: t.Iterable[t.Mapping[str, t.Any]]) -> list[QueueTimes]:
    """Summarize the log lines written at the ends of jobs, by queue."""
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
    """Return ``PHASE_s`` -> seconds along the critical path of the job."""
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
