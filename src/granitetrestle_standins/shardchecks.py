"""Checks of a simulated shard that need only its boxes and what was submitted."""

import collections
import typing as t

from granitetrestle.workflows import DONE
from granitetrestle.workflows import Submission
from granitetrestle.workflows import Workflow
from granitetrestle_standins.boxcrashes import BoxCrashes
from granitetrestle_standins.nativebox import BoxModel
from granitetrestle_standins.nativebox import BoxRun
from granitetrestle_standins.promises import PromiseBroken

__all__ = [
    "MAX_ATTEMPTS",
    "check_all_stopped",
    "check_dependencies",
    "check_ended",
    "check_one_place",
    "may_fail",
]

Boxes: t.TypeAlias = t.Collection[BoxModel]

MAX_ATTEMPTS = 3


def check_one_place(boxes: Boxes) -> None:
    """Check that no task runs on two boxes."""
    box_of_task: dict[str, str] = {}
    for box in boxes:
        for run in box.running.values():
            if run.task in box_of_task:
                raise PromiseBroken(
                    f"{run.task} runs on two boxes, "
                    f"{box_of_task[run.task]} and {box.incarnation}"
                )
            box_of_task[run.task] = box.incarnation


def check_dependencies(run: BoxRun, submission: Submission, boxes: Boxes) -> None:
    """Check that a run began after the steps that its step depends on."""
    job, _, step, _ = run.task.split(".")
    ended_done = {
        other.task for box in boxes for other in box.history if other.how == "done"
    }
    for earlier in submission.steps[int(step)].depends_on:
        for index in range(submission.steps[earlier].count):
            if f"{job}.0.{earlier}.{index}" not in ended_done:
                raise PromiseBroken(f"{run.task} began before step {earlier}")


def may_fail(job: str, boxes: Boxes, crashes: BoxCrashes) -> bool:
    """Return whether a task used up its attempts, or has crashed boxes itself; boxes
    that were lost under it for other causes are no reason."""
    failed: collections.Counter[str] = collections.Counter(
        run.task for box in boxes for run in box.history if run.how == "failed"
    )
    exhausted = any(
        task.startswith(f"{job}.") and count >= MAX_ATTEMPTS
        for task, count in failed.items()
    )
    return exhausted or crashes.may_be_given_up(job)


def check_ended(
    job: str, workflow: Workflow | None, was_cancelled: bool, job_may_fail: bool
) -> None:
    """Check that an accepted job has ended, and as it may.

    :raises PromiseBroken: if the job is lost, stalled, or ended in another way.
    """
    if workflow is None:
        raise PromiseBroken(f"{job} was accepted but is missing")
    if not workflow.terminal:
        remaining = [t.name for t in workflow.tasks.values() if t.state != DONE]
        raise PromiseBroken(f"{job} did not end: {remaining}")
    if workflow.ended == "cancelled" and not was_cancelled:
        raise PromiseBroken(f"{job} counts as cancelled")
    if workflow.ended == "failed" and not job_may_fail:
        raise PromiseBroken(f"{job} counts as failed")


def check_all_stopped(boxes: Boxes) -> None:
    """Check that no task runs any more."""
    running = [run for box in boxes for run in box.running]
    if running:
        raise PromiseBroken(f"{running[0]} still runs at the end")
