"""Crashes of model boxes that are caused by tasks. Counts the crashes of each task and
checks that a crashing task is not started too often. A crashed box stays listed for a
while, and another incarnation answers at its address some time later."""

import math
import random
import typing as t

from granitetrestle_standins.nativebox import BoxModel
from granitetrestle_standins.nativebox import BoxRun

__all__ = ["BoxCrashes", "CrashBehavior"]

CRASH_DELAY_S = 0.04
UNLIST_DELAY_S = 1.5
RESTART_DELAY_S = 1.0
# Once a task has crashed CRASH_THRESHOLD boxes, it may be started only
# MAX_STARTS_AFTER_THRESHOLD more times; after GIVE_UP_CRASH_THRESHOLD crashes, one of
# which it caused, its job may fail.
CRASH_THRESHOLD = 3
MAX_STARTS_AFTER_THRESHOLD = 2
GIVE_UP_CRASH_THRESHOLD = 2


class CrashBehavior(t.NamedTuple):
    """How a task crashes boxes.

    :param delay_s: how long after its start it does.
    :param before_answer: whether the crash precedes the answer to the start.
    :param share: share of its starts that crash their boxes.
    """

    delay_s: float = CRASH_DELAY_S
    before_answer: bool = False
    share: float = 1.0


class BoxCrashes:
    """Tracks crashing tasks and crashed boxes. Times are in seconds.

    :ivar crashing: tasks that crash boxes.
    :ivar behaviors: those of them that differ from the attributes that follow.
    :ivar crash_delay_s: how long after its start a crashing task crashes its box.
    :ivar crash_before_answer: whether the crash precedes the answer to the start.
    :ivar counts: task -> number of boxes that crashed while it ran there.
    :ivar caused: task -> number of boxes that it crashed itself.
    """

    def __init__(self) -> None:
        self.crashing: set[str] = set()
        self.behaviors: dict[str, CrashBehavior] = {}
        self.crash_delay_s = CRASH_DELAY_S
        self.crash_before_answer = False
        self.counts: dict[str, int] = {}
        self.caused: dict[str, int] = {}
        self._starts_after_threshold: dict[str, int] = {}
        self._restart_at: dict[str, float] = {}
        self._unlisted_at: dict[str, float] = {}

    def crash(self, box: BoxModel, now: float) -> None:
        """Crash a box and count the crash for each task that runs there."""
        for task in box.running:
            self.counts[task] = self.counts.get(task, 0) + 1
        box.crash(now)

    def crash_and_restart(
        self, box: BoxModel, now: float, causes: t.Iterable[str] = ()
    ) -> None:
        """Crash a box and schedule its restart and the removal of its entry.

        :param causes: the tasks that crash it.
        """
        for task in causes:
            self.caused[task] = self.caused.get(task, 0) + 1
        self.crash(box, now)
        self._restart_at[box.incarnation] = now + RESTART_DELAY_S
        self._unlisted_at[box.incarnation] = now + UNLIST_DELAY_S

    def crash_for_good(self, box: BoxModel, now: float) -> None:
        """Crash a box that no other incarnation follows."""
        self.crash(box, now)
        self._restart_at[box.incarnation] = math.inf

    def causes_due(self, box: BoxModel, now: float) -> list[str]:
        """Return the tasks that run on a box and crash it now."""
        return [
            run.task
            for run in box.running.values()
            if run.task in self.crashing
            and now - run.began >= self._behavior(run.task).delay_s
            and self._crashes(run)
        ]

    def causes_before_answer(self, box: BoxModel) -> list[str]:
        """Return the tasks that crash a box before it answers their start."""
        return [
            run.task
            for run in box.running.values()
            if run.task in self.crashing
            and self._behavior(run.task).before_answer
            and self._crashes(run)
        ]

    def _behavior(self, task: str) -> CrashBehavior:
        default = CrashBehavior(self.crash_delay_s, self.crash_before_answer)
        return self.behaviors.get(task, default)

    def _crashes(self, run: BoxRun) -> bool:
        """Return whether a run of a crashing task crashes its box."""
        share = self._behavior(run.task).share
        # A generator of its own: the answer is the same each time.
        draw = random.Random(f"crash {run.task} {run.run}")
        return share >= 1.0 or draw.random() < share

    def is_down(self, incarnation: str, now: float) -> bool:
        """Return whether a crashed incarnation has no successor yet."""
        return self._restart_at.get(incarnation, 0.0) > now

    def pop_restarted(self, now: float) -> list[str]:
        """Remove and return the crashed incarnations whose restart is due."""
        return _pop_due(self._restart_at, now)

    def pop_unlisted(self, now: float) -> list[str]:
        """Remove and return the crashed incarnations to be unlisted now."""
        return _pop_due(self._unlisted_at, now)

    def exceeds_start_limit(self, task: str) -> bool:
        """Count a start, and return whether it exceeds the limit for its task."""
        if task not in self.crashing or self.counts.get(task, 0) < CRASH_THRESHOLD:
            return False
        self._starts_after_threshold[task] = (
            self._starts_after_threshold.get(task, 0) + 1
        )
        return self._starts_after_threshold[task] > MAX_STARTS_AFTER_THRESHOLD

    def may_be_given_up(self, job: str) -> bool:
        """Return whether a task of a job crashed boxes itself, so that the job may fail
        once enough boxes have crashed while the task ran there."""
        return any(
            task.startswith(f"{job}.")
            and self.counts.get(task, 0) >= GIVE_UP_CRASH_THRESHOLD
            for task in self.caused
        )


def _pop_due(times: dict[str, float], now: float) -> list[str]:
    due = [incarnation for incarnation, at in times.items() if at <= now]
    for incarnation in due:
        del times[incarnation]
    return due
