"""Which tasks crash the boxes that start them. A box that crashes lists no ends, so that
what ran there has to be judged by what was there, and most of it did nothing wrong. A
run that was seen at work for a while is cleared. Of the others those are suspected that
had just begun, and of these the ones under which boxes crashed before. A suspect is
tried again on a box that takes nothing else at that moment, so that the next crash tells
whether it was this one."""

import collections
import math
import typing as t

from .boxes import BoxView
from .workflows import Task

__all__ = [
    "NO_BLAME",
    "BlamedTasks",
    "BoxLosses",
    "Trials",
    "blame",
    "clear_suspicion",
    "has_just_started",
    "is_given_up",
    "may_have_crashed",
]

# A run that was seen at work for so long did not crash its box by being started.
MIN_PROVEN_RUNTIME_S: t.Final = 2.0
# Crashes by a start come within 0.1 s of it; the way of the order and of the news of the
# lost connection, on a slow link and a busy decider, fit in too.
JUST_STARTED_MAX_AGE_S: t.Final = 0.5
# Points for a crash: of the task that is suspected most, if its start was answered; of
# others that have just begun, or may not have begun at all; and of those that began
# earlier, if nobody was suspected before.
LIKELY_POINTS: t.Final = 3
LESS_LIKELY_POINTS: t.Final = 2
POSSIBLE_POINTS: t.Final = 1
# Points where boxes are also lost by themselves, in place of the first: two hits by chance
# are then not rare, and four crashes give a task up.
LIKELY_POINTS_AMID_LOSSES: t.Final = 2
# Boxes are lost by themselves where so many fell silent within so long of each other, or
# one was lost of late on which nothing had just begun.
WAVE_MIN_BOXES: t.Final = 3
WAVE_WINDOW_S: t.Final = 0.5
RECENT_LOSS_WINDOW_S: t.Final = 30.0
# Three crashes give a task up, four if no start was answered. Accounts are promised that
# five do; some may not have been counted, while a store or a decider was away.
GIVE_UP_THRESHOLD: t.Final = 8
# Two are enough if at the second nothing else had just begun.
GIVE_UP_THRESHOLD_ALONE: t.Final = 2 * LIKELY_POINTS
# A task that has been at work for so long is suspected no more: one that lasts for weeks
# loses boxes now and then, and would be given up in the end.
CLEARED_RUNTIME_S: t.Final = 60.0
# The most of a pool's open boxes that are kept for suspects at a time, as a share: others
# have just lost a box as well, and wait for room.
MAX_TRIAL_BOXES_SHARE: t.Final = 0.125


class BlamedTasks(t.NamedTuple):
    """What a lost box tells of the tasks that were on it.

    :param tasks: each of them may have crashed it.
    :param alone: whether no other run had just begun there, and this one surely had.
    """

    tasks: tuple[Task, ...]
    alone: bool


NO_BLAME: t.Final = BlamedTasks((), False)


def _start_time(task: Task) -> float:
    return task.running_since or task.started_at


def _is_proven(box: BoxView, task: Task) -> bool:
    """Say whether a run was seen at work for long enough before its box was lost."""
    began = task.running_since
    return bool(began) and box.clock_at - began >= MIN_PROVEN_RUNTIME_S


def may_have_crashed(box: BoxView) -> list[Task]:
    """Return the tasks on a box that was lost of which any may have crashed it."""
    return [
        task for task in box.tasks.values() if task.sent and not _is_proven(box, task)
    ]


def has_just_started(task: Task, lost_at: float) -> bool:
    """Say whether a run was young when its box was lost."""
    return lost_at - _start_time(task) <= JUST_STARTED_MAX_AGE_S


class BoxLosses:
    """Tells whether boxes are lost for other causes than what starts there."""

    def __init__(self) -> None:
        # When boxes fell silent, the newest last.
        self._silent: collections.deque[float] = collections.deque()
        self._unexplained_at = -math.inf

    def record_silence(self, now: float) -> None:
        """Note that a box fell silent."""
        self._silent.append(now)
        while self._silent[0] < now - RECENT_LOSS_WINDOW_S:
            self._silent.popleft()

    def record_unexplained(self, now: float) -> None:
        """Note that a box was lost on which nothing had just begun."""
        self._unexplained_at = now

    def may_be_unrelated(self, silent_at: float | None, now: float) -> bool:
        """Say whether a box that is lost now may have been lost by itself.

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
    candidates: t.Sequence[Task], lost_at: float = math.inf, by_itself: bool = False
) -> BlamedTasks:
    """Count a box that was lost against the tasks that may have crashed it.

    :param lost_at: when it was lost, or last answered before.
    :param by_itself: whether it may have been lost for another cause.
    """
    likely = [task for task in candidates if has_just_started(task, lost_at)]
    likely = likely or list(candidates)
    max_suspicion = max((task.suspicion for task in likely), default=0)
    tasks = tuple(task for task in likely if task.suspicion == max_suspicion)
    for task in candidates:
        if task in tasks and task.running_since:
            task.suspicion += LIKELY_POINTS_AMID_LOSSES if by_itself else LIKELY_POINTS
        elif task in likely:
            # Two that crash boxes may start together each time, on the only box there is.
            task.suspicion += LESS_LIKELY_POINTS
        elif not max_suspicion:
            # It may take a while to crash a box.
            task.suspicion += POSSIBLE_POINTS
    alone = len(likely) == 1 and bool(likely[0].running_since) and not by_itself
    return BlamedTasks(tasks, alone)


def is_given_up(task: Task, alone: bool) -> bool:
    """Say whether a task whose box was lost is not tried again.

    :param alone: whether it alone can have been the cause.
    """
    return task.suspicion >= (GIVE_UP_THRESHOLD_ALONE if alone else GIVE_UP_THRESHOLD)


def clear_suspicion(task: Task, now: float) -> None:
    """Suspect a task no more whose run was at work for long."""
    if task.running_since and now - task.running_since >= CLEARED_RUNTIME_S:
        task.suspicion = 0


class Trials:
    """Chooses the boxes on which suspects are tried."""

    def __init__(self) -> None:
        self._now = 0.0
        # Box that is kept for a suspect -> until when.
        self._reserved: dict[str, float] = {}
        self._max_reserved = 0
        self._just_started: collections.Counter[str] = collections.Counter()

    def start_pass(self, boxes: t.Collection[BoxView], now: float) -> None:
        """Begin a search.

        :param boxes: all that are open for work.
        """
        self._now = now
        self._reserved = {
            incarnation: until
            for incarnation, until in self._reserved.items()
            if until > now
        }
        self._max_reserved = math.ceil(MAX_TRIAL_BOXES_SHARE * len(boxes))
        self._just_started.clear()
        for box in boxes:
            for task in box.tasks.values():
                if now - _start_time(task) <= JUST_STARTED_MAX_AGE_S:
                    self._just_started[box.incarnation] += 1

    def rank(self, box: BoxView) -> tuple[int, int, str]:
        """Return how well a box suits a suspect, the least being best: where a crash
        would tell most, and take least along."""
        return (self._just_started[box.incarnation], len(box.tasks), box.incarnation)

    def record_start(self, box: BoxView) -> None:
        """Keep a box for the suspect that goes there, for as long as it takes to tell,
        unless too many are kept."""
        self._just_started[box.incarnation] += 1
        if len(self._reserved) < self._max_reserved:
            self._reserved[box.incarnation] = self._now + JUST_STARTED_MAX_AGE_S
            box.closed_until = max(box.closed_until, self._reserved[box.incarnation])
