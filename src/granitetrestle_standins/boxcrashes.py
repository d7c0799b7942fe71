"""Crashes of model boxes that are caused by tasks. Counts the crashes of each task and
checks that a crashing task is not started too often. A crashed box stays listed for a
while, and another incarnation answers at its address some time later."""

import math

from granitetrestle_standins.nativebox import BoxModel

__all__ = ["BoxCrashes"]

CRASH_DELAY_S = 0.04
UNLIST_DELAY_S = 1.5
RESTART_DELAY_S = 1.0
# Once a task has crashed CRASH_THRESHOLD boxes, it may be started only
# MAX_STARTS_AFTER_THRESHOLD more times; after GIVE_UP_CRASH_THRESHOLD crashes its job
# may fail.
CRASH_THRESHOLD = 3
MAX_STARTS_AFTER_THRESHOLD = 2
GIVE_UP_CRASH_THRESHOLD = 2


class BoxCrashes:
    """Tracks crashing tasks and crashed boxes. Times are in seconds.

    :ivar crashing: tasks that crash each box that starts them.
    :ivar crash_delay_s: how long after its start a crashing task crashes its box.
    :ivar crash_before_answer: whether the crash precedes the answer to the start.
    :ivar counts: task -> number of boxes that crashed while it ran there.
    """

    def __init__(self) -> None:
        self.crashing: set[str] = set()
        self.crash_delay_s = CRASH_DELAY_S
        self.crash_before_answer = False
        self.counts: dict[str, int] = {}
        self._starts_after_threshold: dict[str, int] = {}
        self._restart_at: dict[str, float] = {}
        self._unlisted_at: dict[str, float] = {}

    def crash(self, box: BoxModel, now: float) -> None:
        """Crash a box and count the crash for each task that runs there."""
        for task in box.running:
            self.counts[task] = self.counts.get(task, 0) + 1
        box.crash(now)

    def crash_and_restart(self, box: BoxModel, now: float) -> None:
        """Crash a box and schedule its restart and the removal of its entry."""
        self.crash(box, now)
        self._restart_at[box.incarnation] = now + RESTART_DELAY_S
        self._unlisted_at[box.incarnation] = now + UNLIST_DELAY_S

    def crash_for_good(self, box: BoxModel, now: float) -> None:
        """Crash a box that no other incarnation follows."""
        self.crash(box, now)
        self._restart_at[box.incarnation] = math.inf

    def crash_due(self, box: BoxModel, now: float) -> bool:
        """Return whether a task that runs on a box crashes it now."""
        return any(
            run.task in self.crashing and now - run.began >= self.crash_delay_s
            for run in box.running.values()
        )

    def crashes_before_answer(self, box: BoxModel) -> bool:
        """Return whether a box crashes before it answers the start of a task."""
        return self.crash_before_answer and bool(
            self.crashing.intersection(box.running)
        )

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
        """Return whether a task of a job crashed enough boxes for the job to fail."""
        return any(
            task.startswith(f"{job}.") and count >= GIVE_UP_CRASH_THRESHOLD
            for task, count in self.counts.items()
        )


def _pop_due(times: dict[str, float], now: float) -> list[str]:
    due = [incarnation for incarnation, at in times.items() if at <= now]
    for incarnation in due:
        del times[incarnation]
    return due
