"""Which box a task goes to. Serving tasks and tasks that fill are kept apart where
there is room for that, since the ones slow down the others."""

import abc
import typing as t

from .boxes import BoxView
from .workflows import Task

__all__ = ["FirstBox", "KeepApart", "Packer"]

# Share of its rated processor time that a task which fills must find unused.
FILL_NEED: t.Final = 0.9


class Packer(abc.ABC):
    """Chooses among boxes that may take a task."""

    @abc.abstractmethod
    def choose(self, task: Task, boxes: t.Sequence[BoxView]) -> BoxView | None:
        """Return the box for ``task``; ``boxes`` all have room and may run it."""


class FirstBox(Packer):
    """Baseline: the first box with room."""

    def choose(self, task: Task, boxes: t.Sequence[BoxView]) -> BoxView | None:
        """Return the first."""
        return boxes[0] if boxes else None


class KeepApart(Packer):
    """Serving tasks close together, what fills where the fewest of them are."""

    def choose(self, task: Task, boxes: t.Sequence[BoxView]) -> BoxView | None:
        """Return the box where ``task`` harms and is harmed least."""
        step = task.spec
        if step.fills:
            need = step.cpu * FILL_NEED
            roomy = [box for box in boxes if box.cpu_unused >= need]
            return max(roomy, key=_quiet, default=None)
        if step.target_ms:
            return min(boxes, key=_full_of_servers, default=None)
        return min(boxes, key=_least_disturbance, default=None)


def _quiet(box: BoxView) -> tuple[bool, int, str]:
    return (box.serving == 0, box.cpu_unused, box.life)


def _full_of_servers(box: BoxView) -> tuple[int, int, int, str]:
    return (-min(1, box.serving), box.fill_cpu, box.cpu_free, box.life)


def _least_disturbance(box: BoxView) -> tuple[bool, int, str]:
    return (box.fill_cpu > 0, box.cpu_free, box.life)
