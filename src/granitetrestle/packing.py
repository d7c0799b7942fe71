"""Which box a task goes to. Serving tasks and tasks that fill are kept apart where
there is room for that, since the ones slow down the others."""

import abc
import typing as t

from .boxes import BoxView
from .interference import Interference
from .workflows import Step
from .workflows import Task

__all__ = ["FirstBox", "KeepApart", "Packer"]

# Share of its rated processor time that a task which fills must find unused.
FILL_NEED: t.Final = 0.9
# How much unused room, as a share of the box, weighs against one task disturbed.
ROOM_WEIGHT: t.Final = 0.5


class Packer(abc.ABC):
    """Chooses among boxes that may take a task."""

    @abc.abstractmethod
    def choose(
        self,
        task: Task,
        boxes: t.Sequence[BoxView],
        interference: Interference,
        now: float,
    ) -> BoxView | None:
        """Return the box for ``task``; ``boxes`` all have room and may run it."""


class FirstBox(Packer):
    """Baseline: the first box with room."""

    def choose(
        self,
        task: Task,
        boxes: t.Sequence[BoxView],
        interference: Interference,
        now: float,
    ) -> BoxView | None:
        """Return the first."""
        return boxes[0] if boxes else None


class KeepApart(Packer):
    """What fills goes where it disturbs least, by what was learnt of the images;
    serving tasks of one image go together, so that there is such a place for most."""

    def choose(
        self,
        task: Task,
        boxes: t.Sequence[BoxView],
        interference: Interference,
        now: float,
    ) -> BoxView | None:
        """Return the box where ``task`` harms and is harmed least."""
        step = task.spec
        if step.fills:
            return _place_filler(step, boxes, interference)
        if step.target_ms:

            def cost(box: BoxView) -> tuple[float, int, int, str]:
                fillers = _disturbing(step, box, interference)
                return (fillers, -_alike(step, box), box.cpu_free, box.life)

            return min(boxes, key=cost, default=None)
        return min(boxes, key=_least_disturbance, default=None)


def _place_filler(
    step: Step, boxes: t.Sequence[BoxView], interference: Interference
) -> BoxView | None:
    best: BoxView | None = None
    best_cost = 0.0
    for box in boxes:
        unused = box.cpu_unused
        if unused < step.cpu * FILL_NEED:
            continue
        serving = [task.spec for task in box.serving.values()]
        risk = interference.risk(serving, step)
        cost = risk - ROOM_WEIGHT * unused / box.entry.cpu
        if best is None or cost < best_cost:
            best, best_cost = box, cost
    return best


def _disturbing(step: Step, box: BoxView, interference: Interference) -> float:
    """Return how much of what fills a box is likely to disturb ``step``."""
    if not box.fill_cpu:
        return 0.0
    images = {task.spec.image for task in box.tasks.values() if task.spec.fills}
    likely = [interference.probability(step.image, image) for image in images]
    return round(sum(likely), 1)


def _alike(step: Step, box: BoxView) -> int:
    """Return how many serving tasks of the same image, less those of others."""
    same = sum(task.spec.image == step.image for task in box.serving.values())
    return 2 * same - len(box.serving)


def _least_disturbance(box: BoxView) -> tuple[bool, int, str]:
    return (box.fill_cpu > 0, box.cpu_free, box.life)
