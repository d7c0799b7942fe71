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
    "NOBODY",
    "Blamed",
    "Losses",
    "Trials",
    "blame",
    "forgive",
    "has_just_begun",
    "is_given_up",
    "may_have_crashed",
]

# A run that was seen at work for so long did not crash its box by being started.
PROVED_S: t.Final = 2.0
# Crashes by a start come within 0.1 s of it; the way of the order and of the news of the
# lost connection, on a slow link and a busy decider, fit in too.
JUST_BEGUN_S: t.Final = 0.5
# Points for a crash: of the task that is suspected most, if its start was answered; of
# others that have just begun, or may not have begun at all; and of those that began
# earlier, if nobody was suspected before.
LIKELY: t.Final = 3
LESS_LIKELY: t.Final = 2
POSSIBLE: t.Final = 1
# Points where boxes are also lost by themselves, in place of the first: two hits by chance
# are then not rare, and four crashes give a task up.
LIKELY_BESIDE_OTHERS: t.Final = 2
# Boxes are lost by themselves where so many fell silent within so long of each other, or
# one was lost of late on which nothing had just begun.
WAVE: t.Final = 3
WAVE_S: t.Final = 0.5
OF_LATE_S: t.Final = 30.0
# Three crashes give a task up, four if no start was answered. Accounts are promised that
# five do; some may not have been counted, while a store or a decider was away.
GIVEN_UP: t.Final = 8
# Two are enough if at the second nothing else had just begun.
GIVEN_UP_ALONE: t.Final = 2 * LIKELY
# A task that has been at work for so long is suspected no more: one that lasts for weeks
# loses boxes now and then, and would be given up in the end.
FORGIVEN_S: t.Final = 60.0
# The most of a pool's open boxes that are kept for suspects at a time, as a share: others
# have just lost a box as well, and wait for room.
TRIAL_SHARE: t.Final = 0.125


class Blamed(t.NamedTuple):
    """What a lost box tells of the tasks that were on it.

    :param tasks: each of them may have crashed it.
    :param alone: whether no other run had just begun there, and this one surely had.
    """

    tasks: tuple[Task, ...]
    alone: bool


NOBODY: t.Final = Blamed((), False)


def _began(task: Task) -> float:
    return task.running_since or task.started_at


def _proved(box: BoxView, task: Task) -> bool:
    """Say whether a run was seen at work for long enough before its box was lost."""
    began = task.running_since
    return bool(began) and box.clock_at - began >= PROVED_S


def may_have_crashed(box: BoxView) -> list[Task]:
    """Return the tasks on a box that was lost of which any may have crashed it."""
    return [task for task in box.tasks.values() if task.sent and not _proved(box, task)]


def has_just_begun(task: Task, lost_at: float) -> bool:
    """Say whether a run was young when its box was lost."""
    return lost_at - _began(task) <= JUST_BEGUN_S


class Losses:
    """Tells whether boxes are lost for other causes than what starts there."""

    def __init__(self) -> None:
        # When boxes fell silent, the newest last.
        self._silent: collections.deque[float] = collections.deque()
        self._unexplained_at = -math.inf

    def silent(self, now: float) -> None:
        """Note that a box fell silent."""
        self._silent.append(now)
        while self._silent[0] < now - OF_LATE_S:
            self._silent.popleft()

    def unexplained(self, now: float) -> None:
        """Note that a box was lost on which nothing had just begun."""
        self._unexplained_at = now

    def by_themselves(self, silent_at: float | None, now: float) -> bool:
        """Say whether a box that is lost now may have been lost by itself.

        :param silent_at: when it fell silent, if it did.
        """
        if now - self._unexplained_at <= OF_LATE_S:
            return True
        at = now if silent_at is None else silent_at
        return sum(abs(other - at) <= WAVE_S for other in self._silent) >= WAVE


def blame(
    able: t.Sequence[Task], lost_at: float = math.inf, by_itself: bool = False
) -> Blamed:
    """Count a box that was lost against the tasks that may have crashed it.

    :param lost_at: when it was lost, or last answered before.
    :param by_itself: whether it may have been lost for another cause.
    """
    likely = [task for task in able if has_just_begun(task, lost_at)]
    likely = likely or list(able)
    most = max((task.suspicion for task in likely), default=0)
    tasks = tuple(task for task in likely if task.suspicion == most)
    for task in able:
        if task in tasks and task.running_since:
            task.suspicion += LIKELY_BESIDE_OTHERS if by_itself else LIKELY
        elif task in likely:
            # Two that crash boxes may start together each time, on the only box there is.
            task.suspicion += LESS_LIKELY
        elif not most:
            # It may take a while to crash a box.
            task.suspicion += POSSIBLE
    alone = len(likely) == 1 and bool(likely[0].running_since) and not by_itself
    return Blamed(tasks, alone)


def is_given_up(task: Task, alone: bool) -> bool:
    """Say whether a task whose box was lost is not tried again.

    :param alone: whether it alone can have been the cause.
    """
    return task.suspicion >= (GIVEN_UP_ALONE if alone else GIVEN_UP)


def forgive(task: Task, now: float) -> None:
    """Suspect a task no more whose run was at work for long."""
    if task.running_since and now - task.running_since >= FORGIVEN_S:
        task.suspicion = 0


class Trials:
    """Chooses the boxes on which suspects are tried."""

    def __init__(self) -> None:
        self._now = 0.0
        # Box that is kept for a suspect -> until when.
        self._kept: dict[str, float] = {}
        self._most = 0
        self._just_begun: collections.Counter[str] = collections.Counter()

    def begin(self, boxes: t.Collection[BoxView], now: float) -> None:
        """Begin a search.

        :param boxes: all that are open for work.
        """
        self._now = now
        self._kept = {
            incarnation: until
            for incarnation, until in self._kept.items()
            if until > now
        }
        self._most = math.ceil(TRIAL_SHARE * len(boxes))
        self._just_begun.clear()
        for box in boxes:
            for task in box.tasks.values():
                if now - _began(task) <= JUST_BEGUN_S:
                    self._just_begun[box.incarnation] += 1

    def rank(self, box: BoxView) -> tuple[int, int, str]:
        """Return how well a box suits a suspect, the least being best: where a crash
        would tell most, and take least along."""
        return (self._just_begun[box.incarnation], len(box.tasks), box.incarnation)

    def started(self, box: BoxView) -> None:
        """Keep a box for the suspect that goes there, for as long as it takes to tell,
        unless too many are kept."""
        self._just_begun[box.incarnation] += 1
        if len(self._kept) < self._most:
            self._kept[box.incarnation] = self._now + JUST_BEGUN_S
            box.closed_until = max(box.closed_until, self._kept[box.incarnation])
