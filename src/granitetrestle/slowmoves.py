"""Moves of best-effort tasks that are kept slow to boxes where they run faster."""

import typing as t

from .boxes import BoxView
from .boxsearch import is_eligible
from .decisions import Decision
from .decisions import LogEvent
from .mechanisms import Mechanism
from .pacing import slowed_tasks
from .packing import move_target
from .progress import Progress
from .shardstate import ShardState
from .workflows import Task

__all__ = ["SlowTaskMoves"]

# One task is moved at a time, so that the next choice takes its new box into account.
MOVE_INTERVAL_S: t.Final = 0.05
# After a search without result, tasks of the same image that need as much processor
# time or more are skipped for this interval, in which the figures of many boxes change.
# The searches of a pass are limited because each examines all boxes.
MOVE_RETRY_INTERVAL_S: t.Final = 0.3
MAX_MOVE_SEARCHES: t.Final = 8


class SlowTaskMoves:
    """Moves the slowed tasks of a :class:`~.shardstate.ShardState`."""

    def __init__(self, state: ShardState, progress: Progress, now: float) -> None:
        self._state = state
        self._progress = progress
        self._checked_at = now
        # Image -> the least need (thousandths of a core) of a failed search, and when.
        self._failed_searches: dict[str, tuple[int, float]] = {}

    def move(self, now: float) -> list[Decision]:
        """Stop a slowed task if a better box is found, so that it starts anew there."""
        if now - self._checked_at < MOVE_INTERVAL_S or not self._state.is_enabled(
            Mechanism.MOVES
        ):
            return []
        self._checked_at = now
        self._state.index.refresh(now)
        boxes = (
            box
            for pool in self._state.index.pools.values()
            for box in pool.boxes.values()
        )
        tries = 0
        for task in slowed_tasks(boxes, now):
            if not self._should_search(task, now):
                continue
            tries += 1
            box = self._better_box(task, now)
            if box is not None:
                inputs = {"from": task.box, "to": box.incarnation, "pace": task.pace}
                return [
                    LogEvent("moved_for_targets", task.name, inputs),
                    *self._progress.stop(task, now),
                ]
            self._failed_searches[task.spec.image] = (task.spec.cpu, now)
            if tries >= MAX_MOVE_SEARCHES:
                break
        return []

    def _should_search(self, task: Task, now: float) -> bool:
        """Return whether to search a better box for a slowed task now."""
        least, at = self._failed_searches.get(task.spec.image, (0, -1e9))
        return now - at >= MOVE_RETRY_INTERVAL_S or task.spec.cpu < least

    def _better_box(self, task: Task, now: float) -> BoxView | None:
        pool = self._state.index.pool(self._state.service_of(task.workflow))
        able = (box for box in pool.boxes.values() if is_eligible(task.spec, task, box))
        return move_target(task, able, self._state.interference, now)
