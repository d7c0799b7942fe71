"""Tasks of lost boxes: requeues them, and gives up those that crash boxes."""

from .boxes import BoxView
from .boxlogevents import count_long_running
from .boxlogevents import run_lost_event
from .crashloops import NO_BLAME
from .crashloops import BlamedTasks
from .crashloops import BoxLosses
from .crashloops import blame
from .crashloops import has_just_started
from .crashloops import has_outlived_start
from .crashloops import is_given_up
from .crashloops import may_have_crashed
from .crashloops import ran_under_predecessor
from .decisions import Decision
from .decisions import LogEvent
from .progress import Progress
from .shardstate import ShardState

__all__ = ["LostTasks"]


class LostTasks:
    """Requeues the tasks of boxes on which nothing runs any more."""

    def __init__(self, state: ShardState, progress: Progress) -> None:
        self._state = state
        self._progress = progress
        self._losses = BoxLosses()

    def record_silence(self, now: float) -> None:
        """Record that a box fell silent."""
        self._losses.record_silence(now)

    def requeue(self, box: BoxView, now: float) -> list[Decision]:
        """Requeue the tasks of a lost box, and give up those that crash boxes."""
        blamed = NO_BLAME
        if not box.entry.draining and not box.answered_unlisted:
            # A crashed box lists no ends. Without this count a task that crashes every
            # box it starts on would be started again without end.
            blamed = self._blame(box, now)
        effects: list[Decision] = []
        lost_at = _lost_at(box, now)
        for task in list(box.tasks.values()):
            suspected = task in blamed.tasks
            effects.append(run_lost_event(box, task, suspected, now))
            given_up = is_given_up(task, suspected and blamed.alone)
            effects += self._progress.requeue_lost(task, given_up, lost_at, now)
        return effects

    def _blame(self, box: BoxView, now: float) -> BlamedTasks:
        """Count the loss of a box against the tasks that may have crashed it."""
        lost_at = _lost_at(box, now)
        candidates = may_have_crashed(box, lost_at)
        if not any(has_just_started(task, lost_at) for task in candidates):
            self._losses.record_unexplained(now)
        maybe_unrelated = self._losses.may_be_unrelated(box.silent_since, now)
        outlived = [task for task in candidates if has_outlived_start(box, task)]
        return blame(candidates, lost_at, maybe_unrelated, outlived)

    def requeue_unlisted(
        self, incarnation: str, since_take_over_s: float, now: float
    ) -> list[Decision]:
        """Requeue the tasks of a box that only a predecessor knew, and that has ended."""
        tasks = self._state.inherited.pop(incarnation)
        there = [task for task in tasks if task.placed and task.box == incarnation]
        inputs = {
            "tasks_lost": len(there),
            "long_running": count_long_running(there),
            "since_take_over_s": round(since_take_over_s, 2),
        }
        effects: list[Decision] = [LogEvent("box_never_listed", incarnation, inputs)]
        took_over_at = now - since_take_over_s
        blame([task for task in there if not ran_under_predecessor(task, took_over_at)])
        for task in there:
            given_up = is_given_up(task, alone=False)
            effects += self._progress.requeue_lost(task, given_up, took_over_at, now)
        return effects


def _lost_at(box: BoxView, now: float) -> float:
    # Without any answer it may have been lost before this leader first polled it.
    return box.lost_at or box.clock_at or box.silent_since or now
