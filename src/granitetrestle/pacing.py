"""Keeps the tail latency of serving tasks below their target by slowing down what
fills beside them, and lets it go faster again when there is slack."""

import typing as t

from .boxes import BoxView
from .workflows import RUNNING
from .workflows import Task

__all__ = ["pace_changes"]

# Shares of the target at which what fills is slowed down, and may speed up. A
# figure is a rough value of the last half second, so the two lie well apart.
SLOW_DOWN_AT: t.Final = 0.8
SPEED_UP_BELOW: t.Final = 0.5
SPEED_UP_BY: t.Final = 15
SLOWEST: t.Final = 10
EVERY_S: t.Final = 0.4


def pace_changes(box: BoxView, now: float) -> list[tuple[Task, int]]:
    """Return the tasks whose pace is to change, and the pace in percent."""
    fillers = [
        task for task in box.tasks.values() if task.spec.fills and task.state == RUNNING
    ]
    if not fillers:
        box.pace = 100
        return []
    if now - box.paced_at >= EVERY_S:
        box.pace = _next_pace(box.pace, _worst(box))
        box.paced_at = now
    return [(task, box.pace) for task in fillers if task.pace != box.pace]


def _worst(box: BoxView) -> float:
    """Return the highest tail latency on the box as a share of its target."""
    worst = 0.0
    for name, row in box.running.items():
        task = box.tasks.get(name)
        if task is not None and task.spec.target_ms:
            worst = max(worst, row.figure / task.spec.target_ms)
    return worst


def _next_pace(pace: int, worst: float) -> int:
    if worst > SLOW_DOWN_AT:
        halved = pace // 2
        return halved if halved >= SLOWEST else 0
    if worst < SPEED_UP_BELOW:
        return min(100, pace + SPEED_UP_BY)
    return pace
