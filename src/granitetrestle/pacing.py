"""Keeps the tail latency of serving tasks below their target: learns from each look
which images disturb them, slows those down, and moves what would have to stay slow."""

import typing as t

from .boxes import BoxView
from .interference import Interference
from .interference import Sighting
from .workflows import FULL_PACE
from .workflows import RUNNING
from .workflows import Task

__all__ = ["PaceChange", "learn", "pace_changes", "to_move"]

# Shares of the target at which a disturbing neighbour is slowed down, and from which
# it may speed up again. Figures are rough, so the two lie well apart.
SLOW_DOWN_AT: t.Final = 0.85
SPEED_UP_BELOW: t.Final = 0.55
SPEED_UP_BY: t.Final = 25
SLOWED: t.Final = 30
# A figure covers half a second: what came later is not its cause.
FIGURE_S: t.Final = 0.55
# A pair more likely than this to disturb is acted on.
SUSPECT: t.Final = 0.3
# A task that is kept slow for so long is better off on another box.
MOVE_AFTER_S: t.Final = 1.0
SPEED_UP_AFTER_S: t.Final = 0.8


class PaceChange(t.NamedTuple):
    """The pace that a task is to have, in percent."""

    task: Task
    percent: int


class _Serving(t.NamedTuple):
    task: Task
    level: float


def _serving(box: BoxView) -> list[_Serving]:
    """Return the serving tasks, with their tail latency as a share of the target."""
    found = []
    for name, row in box.running.items():
        task = box.tasks.get(name)
        if task is not None and task.spec.target_ms and row.figure:
            found.append(_Serving(task, row.figure / task.spec.target_ms))
    return found


def _fillers(box: BoxView) -> list[Task]:
    return [
        task for task in box.tasks.values() if task.spec.fills and task.state == RUNNING
    ]


def learn(box: BoxView, interference: Interference, now: float) -> None:
    """Revise what is known of the images on ``box`` by its newest look."""
    beside = frozenset(
        task.spec.image
        for task in _fillers(box)
        if task.pace > SLOWED and now - task.paced_at > FIGURE_S
    )
    if not beside:
        return
    for task, level in _serving(box):
        interference.saw(Sighting(task.spec.image, level > 1.0, beside))


def pace_changes(
    box: BoxView, interference: Interference, now: float
) -> list[PaceChange]:
    """Return the tasks whose pace is to change."""
    serving = _serving(box)
    changes = []
    for task in _fillers(box):
        pace = _next_pace(task, serving, interference, now)
        if pace != task.pace:
            changes.append(PaceChange(task, pace))
    return changes


def _next_pace(
    task: Task,
    serving: t.Sequence[_Serving],
    interference: Interference,
    now: float,
) -> int:
    worst = 0.0
    for other, level in serving:
        likely = interference.probability(other.spec.image, task.spec.image)
        if likely > SUSPECT:
            worst = max(worst, level)
    if worst > 1.0:
        return 0
    if worst > SLOW_DOWN_AT:
        return min(task.pace, SLOWED)
    settled = now - task.paced_at > SPEED_UP_AFTER_S
    if worst < SPEED_UP_BELOW and settled:
        return min(FULL_PACE, task.pace + SPEED_UP_BY)
    return max(task.pace, 0)


def to_move(box: BoxView, now: float) -> list[Task]:
    """Return tasks that have been kept slow and lose nothing by a move."""
    return [
        task
        for task in _fillers(box)
        if task.spec.checkpointing
        and 0 <= task.pace <= SLOWED
        and now - task.slow_since > MOVE_AFTER_S
    ]
