"""Progress of jobs: applies the ends of runs, retries tasks, and completes, fails or
cancels jobs. No end is counted twice."""

import typing as t

from .crashloops import reduce_suspicion
from .decisions import Decision
from .decisions import LogEvent
from .decisions import StopTask
from .failureways import FailureWay
from .interfaces import EndedRun
from .jobtimes import job_times
from .mechanisms import Mechanism
from .shardstate import ShardState
from .workflows import DONE
from .workflows import PENDING
from .workflows import STOPPING
from .workflows import Task
from .workflows import Workflow
from .workflows import WorkflowState

__all__ = ["Progress"]

DEFAULT_MAX_ATTEMPTS: t.Final = 3


class Progress:
    """Applies ends of runs and changes of the states of jobs."""

    def __init__(self, state: ShardState) -> None:
        self._state = state

    def handle_run_end(
        self, incarnation: str, row: EndedRun, now: float
    ) -> list[Decision]:
        """Apply the end of a run that a box lists."""
        task = self._state.find_task(row.task)
        if task is None or task.state == DONE:
            return []
        workflow = task.workflow
        box = self._state.boxes.get(incarnation)
        effects: list[Decision] = []
        quarantine_enabled = self._state.is_enabled(Mechanism.QUARANTINE)
        if quarantine_enabled and box is not None and row.how in ("done", "failed"):
            failed = row.how == "failed"
            self._state.failure_rate.observe(failed)
            in_a_row = self._state.failure_rate.quarantine_threshold
            if box.record_run_end(workflow.submission.job, failed, in_a_row, now):
                inputs = {"closed_s": round(box.closed_until - now, 1)}
                effects.append(LogEvent("box_put_aside", incarnation, inputs))
        self._state.mark_task_changed(task)
        if row.how == "done":
            return effects + self._done(task, row, now)
        current = row.run == task.run and task.placed and task.box == incarnation
        if row.how == "failed" and not task.spec.long_running:
            # Boxes list ends to a successor again that its predecessor had written, but
            # not yet acknowledged to the box. A set counts each run once.
            if row.run not in task.failed_runs:
                task.failed_runs |= {row.run}
                effects.append(self._run_failed_event(task, row, incarnation))
            if current:
                task.times.mark_failed(now)
        if row.checkpoint:
            task.checkpoint = row.checkpoint
        if current:
            reduce_suspicion(task, now)
            self.requeue(task, now)
        if task.failures >= self._max_attempts(workflow) and not workflow.terminal:
            why = {
                "by": FailureWay.ATTEMPTS,
                "task": task.name,
                "failures": task.failures,
                "box": incarnation,
                "failed_runs": sorted(task.failed_runs),
                "max_attempts": self._max_attempts(workflow),
                "max_attempts_accepted": workflow.submission.max_attempts,
            }
            effects += self.end(workflow, "failed", now, why)
        return effects

    def _run_failed_event(self, task: Task, row: EndedRun, box: str) -> LogEvent:
        inputs = {
            "run": row.run,
            "box": box,
            "failures": task.failures,
            "max_attempts": self._max_attempts(task.workflow),
        }
        return LogEvent("run_failed", task.name, inputs)

    def _max_attempts(self, workflow: Workflow) -> int:
        """Return how many failed runs of a task fail a job; no job fails without one."""
        submission = workflow.submission
        queue = self._state.queues.get(submission.queue)
        if queue is not None:
            return max(1, queue.max_attempts)
        # No leader since the take-over has read a configuration with the queue.
        return max(1, submission.max_attempts or DEFAULT_MAX_ATTEMPTS)

    def _done(self, task: Task, row: EndedRun, now: float) -> list[Decision]:
        workflow = task.workflow
        if task.spec.long_running:
            if row.run == task.run and task.placed:
                reduce_suspicion(task, now)
                self.requeue(task, now)
            return []
        effects: list[Decision] = []
        members = [task]
        if task.spec.gang:
            members = workflow.step_tasks(task.occurrence, task.step)
        for member in members:
            effects += self._finish(member, row.run, now)
        if workflow.terminal:
            return effects
        if workflow.all_done:
            return effects + self.end(workflow, "completed", now, {"last": row.task})
        self._state.enqueue_successors(workflow, task, now)
        return effects

    def _finish(self, task: Task, run: int, now: float) -> list[Decision]:
        """Mark a task as done, and stop another run of it."""
        effects: list[Decision] = []
        if task.placed and task.run != run:
            effects.append(StopTask(task.box, task.name, task.run))
        key = (task.workflow.submission.job, task.occurrence, task.step)
        waiting = self._state.waiting.get(key)
        if waiting is not None:
            waiting.tasks.pop(task.name, None)
        self._state.free(task)
        task.workflow.mark_done(task, now)
        self._state.mark_task_changed(task)
        return effects

    def requeue(self, task: Task, now: float) -> None:
        """Remove a task from its box and enqueue it again."""
        self._requeue(task, now if task.running_since else task.idle_since, now)

    def _requeue(self, task: Task, idle_since: float, now: float) -> None:
        task.idle_since = idle_since
        self._state.free(task)
        task.state = PENDING
        task.proven = False
        self._state.mark_task_changed(task)
        self._state.enqueue(task, now)

    def requeue_lost(self, task: Task, lost_at: float, now: float) -> None:
        """Requeue a task of a lost box.

        :param lost_at: when the box was lost, at the latest.
        """
        # What a predecessor started has run, unless its start was lost with the box.
        ran = task.running_since or task.inherited
        self._requeue(task, lost_at if ran else task.idle_since, now)

    def stop(self, task: Task, now: float) -> list[Decision]:
        """Stop the run of a placed task."""
        task.state = STOPPING
        task.times.enter("stop", now)
        task.stop_sent_at = now
        task.confirmed_at = 0.0
        return [StopTask(task.box, task.name, task.run)]

    def end(
        self,
        workflow: Workflow,
        state: WorkflowState,
        now: float,
        inputs: t.Mapping[str, t.Any],
    ) -> list[Decision]:
        """Set the final state of a job and stop its remaining runs."""
        workflow.end(state, now)
        self._state.mark_job_ended(workflow)
        self._state.remove_waiting(workflow)
        inputs = {**inputs, **self._times(workflow, now)}
        effects: list[Decision] = [
            LogEvent(f"job_{state}", workflow.submission.job, inputs)
        ]
        for task in workflow.tasks.values():
            if task.placed:
                effects += self.stop(task, now)
        return effects

    def _times(self, workflow: Workflow, now: float) -> dict[str, t.Any]:
        """Return a job's duration, its lateness and the time spent in each phase."""
        return {
            "queue": workflow.submission.queue,
            "took_s": round(now - workflow.accepted_at, 3),
            "late_s": round(now - workflow.due_at, 3),
            **job_times(workflow),
        }
