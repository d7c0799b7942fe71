"""Crash loops: finds the tasks that crash the boxes that start them.

A box that crashes reports no ends of runs, so the cause has to be inferred from the
tasks that were on it, most of which did not cause the crash. A run that was observed
running for a while is cleared. Of the others, tasks that had just started are
suspected, and of these the ones under which boxes crashed before. A suspect is retried
on a box that takes no other task at that moment, so that another crash shows whether it
is the cause."""

import collections
import math
import typing as t

from .boxes import BoxView
from .workflows import Task

__all__ = [
    "NO_BLAME",
    "BlamedTasks",
    "BoxLosses",
    "SuspectPlacement",
    "blame",
    "clear_suspicion",
    "has_just_started",
    "has_outlived_start",
    "is_given_up",
    "is_to_be_recorded",
    "may_have_crashed",
    "ran_under_predecessor",
]

# A run that was observed running for this long did not crash its box by its start.
MIN_PROVEN_RUNTIME_S: t.Final = 2.0
# A run that a predecessor started this long before. A start without an answer is tried
# three times and then stopped, which takes less.
MIN_INHERITED_RUNTIME_S: t.Final = 5.0
# A start that crashes a box does so within 0.1 s; the rest is for the delivery of the
# command and the detection of the lost connection, on a slow link and a busy leader.
JUST_STARTED_MAX_AGE_S: t.Final = 0.5
# A run that its box lists as running this long after the start was answered has outlived
# its start.
OUTLIVED_START_S: t.Final = 0.1
# Points of suspicion for a crash: for the most suspected task, if its start was
# answered; for others that had just started, or may not have started at all; and for
# those that started earlier, if none was suspected before.
LIKELY_POINTS: t.Final = 3
LESS_LIKELY_POINTS: t.Final = 2
POSSIBLE_POINTS: t.Final = 1
# Replaces LIKELY_POINTS while boxes are also lost for unrelated causes: two
# coincidences are then not rare, and a task is given up after four crashes.
LIKELY_POINTS_AMID_LOSSES: t.Final = 2
# A loss may be unrelated to tasks if this many boxes fell silent within this time of
# each other, or if a box on which no task had just started was lost recently.
WAVE_MIN_BOXES: t.Final = 3
WAVE_WINDOW_S: t.Final = 0.5
RECENT_LOSS_WINDOW_S: t.Final = 30.0
# A task is given up after three crashes, or four if no start was answered. Accounts are
# promised that it is after five; some crashes may go uncounted while the store or the
# leader is unavailable.
GIVE_UP_THRESHOLD: t.Final = 8
# Two crashes are enough if the task had provably just started at both, no other boxes
# were being lost, and no other task had just started at the second.
LIKELY_CRASHES_ALONE: t.Final = 2
# A task that has run for this long is no longer suspected: one that runs for weeks
# loses boxes now and then, and would be given up in the end.
CLEARED_RUNTIME_S: t.Final = 60.0
# A task that is suspected of this much, after two lost boxes, is tried where no other
# task has just started, so that a crash by another task is not held against it. It
# waits this long at most until there is such a box.
ISOLATION_THRESHOLD: t.Final = 2 * LESS_LIKELY_POINTS
MAX_ISOLATION_WAIT_S: t.Final = 2.0
# Maximum share of a pool's open boxes that take only a suspect at a time: other tasks
# have just lost a box as well, and wait for room.
MAX_ISOLATED_BOXES_SHARE: t.Final = 0.125


class BlamedTasks(t.NamedTuple):
    """The tasks that are blamed for the loss of a box.

    :param tasks: each of them may have crashed it.
    :param alone: whether one run, and no other, is known to have just started there.
    """

    tasks: tuple[Task, ...]
    alone: bool


NO_BLAME: t.Final = BlamedTasks((), False)


def _start_time(task: Task) -> float:
    return task.running_since or task.started_at


def _is_proven(box: BoxView, task: Task) -> bool:
    """Return whether a run was observed running for long before its box was lost."""
    began = task.running_since
    return bool(began) and box.clock_at - began >= MIN_PROVEN_RUNTIME_S


def is_to_be_recorded(task: Task, now: float) -> bool:
    """Return whether the store should say now that the run of a task was observed
    running for long. Otherwise a successor suspects it as its box is lost soon. Runs
    of other than long-running tasks are too short and too many to be written again."""
    if task.proven or not task.spec.long_running or not task.running_since:
        return False
    return now - task.running_since >= MIN_PROVEN_RUNTIME_S


def ran_under_predecessor(task: Task, lost_at: float) -> bool:
    """Return whether a run that this leader has not observed began long before its box
    was lost: a predecessor has observed it, or had stopped it by then, had its start
    been in doubt."""
    if task.running_since or not task.inherited:
        return False
    if task.proven:
        return True
    return lost_at - task.started_at >= MIN_INHERITED_RUNTIME_S


def may_have_crashed(box: BoxView, lost_at: float) -> list[Task]:
    """Return the tasks on a lost box that may have crashed it."""
    return [
        task
        for task in box.tasks.values()
        if task.sent
        and not _is_proven(box, task)
        and not ran_under_predecessor(task, lost_at)
    ]


def has_just_started(task: Task, lost_at: float) -> bool:
    """Return whether a run had just started when its box was lost."""
    return lost_at - _start_time(task) <= JUST_STARTED_MAX_AGE_S


def has_outlived_start(box: BoxView, task: Task) -> bool:
    """Return whether a run was observed running after a crash by its start would have
    happened."""
    row = box.running.get(task.name)
    if row is None or row.run != task.run or not task.running_since:
        return False
    return box.clock_at - task.running_since >= OUTLIVED_START_S


class BoxLosses:
    """Detects whether boxes are lost for causes unrelated to the tasks on them."""

    def __init__(self) -> None:
        # When boxes fell silent, the newest last.
        self._silent: collections.deque[float] = collections.deque()
        self._unexplained_at = -math.inf

    def record_silence(self, now: float) -> None:
        """Record that a box fell silent."""
        self._silent.append(now)
        while self._silent[0] < now - RECENT_LOSS_WINDOW_S:
            self._silent.popleft()

    def record_unexplained(self, now: float) -> None:
        """Record that a box was lost on which no task had just started."""
        self._unexplained_at = now

    def may_be_unrelated(self, silent_at: float | None, now: float) -> bool:
        """Return whether the loss of a box now may be unrelated to its tasks.

        :param silent_at: when it fell silent, if it did.
        """
        if now - self._unexplained_at <= RECENT_LOSS_WINDOW_S:
            return True
        at = now if silent_at is None else silent_at
        return (
            sum(abs(other - at) <= WAVE_WINDOW_S for other in self._silent)
            >= WAVE_MIN_BOXES
        )


def blame(
    candidates: t.Sequence[Task],
    lost_at: float = math.inf,
    maybe_unrelated: bool = False,
    outlived: t.Collection[Task] = (),
) -> BlamedTasks:
    """Add points of suspicion to the tasks that may have crashed a lost box.

    :param candidates: the tasks of :func:`may_have_crashed`.
    :param lost_at: when it was lost, or last answered before.
    :param maybe_unrelated: whether it may have been lost for an unrelated cause.
    :param outlived: those of the tasks whose runs have outlived their start.
    """
    likely = [task for task in candidates if has_just_started(task, lost_at)]
    likely = likely or list(candidates)
    max_suspicion = max((task.suspicion for task in likely), default=0)
    tasks = tuple(task for task in likely if task.suspicion == max_suspicion)
    for task in candidates:
        if task in tasks and task.running_since:
            if maybe_unrelated:
                task.suspicion += LIKELY_POINTS_AMID_LOSSES
            else:
                task.suspicion += LIKELY_POINTS
                task.likely_crashes += task not in outlived
        elif task in likely:
            # Two tasks that crash boxes may start together each time, on the only box.
            task.suspicion += LESS_LIKELY_POINTS
        elif not max_suspicion:
            # A task may run for a while before it crashes its box.
            task.suspicion += POSSIBLE_POINTS
    alone = (
        len(likely) == 1
        and bool(likely[0].running_since)
        and likely[0] not in outlived
        and not maybe_unrelated
    )
    return BlamedTasks(tasks, alone)


def is_given_up(task: Task, alone: bool) -> bool:
    """Return whether a task whose box was lost is not retried.

    :param alone: whether it alone can have been the cause.
    """
    if alone and task.likely_crashes >= LIKELY_CRASHES_ALONE:
        return True
    return task.suspicion >= GIVE_UP_THRESHOLD


def clear_suspicion(task: Task, now: float) -> None:
    """Clear the suspicion of a task whose run has been running for long."""
    if task.running_since and now - task.running_since >= CLEARED_RUNTIME_S:
        task.suspicion = task.likely_crashes = 0


def _needs_isolation(task: Task) -> bool:
    return task.suspicion >= ISOLATION_THRESHOLD


class SuspectPlacement:
    """Chooses the boxes on which suspects are retried."""

    def __init__(self) -> None:
        self._now = 0.0
        # Incarnation of a box that takes no task beside a suspect -> until when.
        self._isolated: dict[str, float] = {}
        self._max_isolated = 0
        self._just_started: collections.Counter[str] = collections.Counter()

    def start_pass(self, boxes: t.Collection[BoxView], now: float) -> None:
        """Prepare for the suspects of a step.

        :param boxes: all boxes that are open for work.
        """
        self._now = now
        self._isolated = {
            incarnation: until
            for incarnation, until in self._isolated.items()
            if until > now
        }
        self._max_isolated = math.ceil(MAX_ISOLATED_BOXES_SHARE * len(boxes))
        self._just_started.clear()
        for box in boxes:
            for task in box.tasks.values():
                if now - _start_time(task) <= JUST_STARTED_MAX_AGE_S:
                    self._just_started[box.incarnation] += 1

    def rank(self, box: BoxView) -> tuple[int, int, str]:
        """Return the rank of a box for a suspect, the lowest being best: where a crash
        is the strongest evidence, and affects the fewest other tasks."""
        return (self._just_started[box.incarnation], len(box.tasks), box.incarnation)

    def choose(self, task: Task, boxes: t.Iterable[BoxView]) -> BoxView | None:
        """Return the best of ``boxes`` for a suspect, or ``None`` if it waits until one
        is free of tasks that have just started."""
        box = min(boxes, key=self.rank)
        if self._just_started[box.incarnation] and _needs_isolation(task):
            waits_since = task.times.waits_since
            if waits_since is not None:
                patient = self._now - waits_since < MAX_ISOLATION_WAIT_S
                return None if patient else box
        return box

    def record_start(self, task: Task, box: BoxView) -> None:
        """Close a box to other tasks than the suspect that starts there until a crash
        by its start would have shown, unless too many boxes are isolated for tasks that
        are suspected of less."""
        self._just_started[box.incarnation] += 1
        if _needs_isolation(task) or len(self._isolated) < self._max_isolated:
            self._isolated[box.incarnation] = self._now + JUST_STARTED_MAX_AGE_S
            box.closed_until = max(box.closed_until, self._isolated[box.incarnation])
