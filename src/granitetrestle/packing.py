"""Which box a task goes to. Serving tasks and tasks that fill are kept apart where
there is room for that, since the ones slow down the others."""

import abc
import typing as t

from .boxes import BoxView
from .interference import Interference
from .overload import bearable_pace
from .overload import box_load
from .workflows import Step
from .workflows import Task

__all__ = ["FirstBox", "KeepApart", "Packer", "better_box"]

# Share of its rated processor time that a task which fills must find unused.
FILL_NEED: t.Final = 0.9
# How much unused room, as a share of the box, weighs against pace.
ROOM_WEIGHT: t.Final = 0.2
# A task that would have to run slower than this waits for a better box.
WAIT_PACE: t.Final = 0.3
# A slowed task moves only to where it will hardly be.
MOVE_PACE: t.Final = 0.9


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


def better_box(
    task: Task, boxes: t.Sequence[BoxView], interference: Interference, now: float
) -> BoxView | None:
    """Return a box where a slowed task that fills would disturb nobody."""
    others = [box for box in boxes if box.life != task.box]
    return _place_filler(task.spec, others, interference, now, MOVE_PACE)


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
            return _place_filler(step, boxes, interference, now)
        if step.target_ms:

            def cost(box: BoxView) -> tuple[float, int, int, str]:
                fillers = _disturbing(step, box, interference)
                return (fillers, -_alike(step, box), box.cpu_free, box.life)

            return min(boxes, key=cost, default=None)
        return min(boxes, key=_least_disturbance, default=None)


def _place_filler(
    step: Step,
    boxes: t.Sequence[BoxView],
    interference: Interference,
    now: float,
    least_pace: float = WAIT_PACE,
) -> BoxView | None:
    best: BoxView | None = None
    best_worth = 0.0
    for box in boxes:
        load = box_load(box, interference, now)
        if load.unused < step.cpu * FILL_NEED:
            continue
        pace = bearable_pace(step, box, load, interference)
        if pace < least_pace:
            continue
        worth = pace + ROOM_WEIGHT * load.unused / box.entry.cpu
        if best is None or worth > best_worth:
            best, best_worth = box, worth
    return best


def _disturbing(step: Step, box: BoxView, interference: Interference) -> float:
    """Return how much of what fills a box is likely to disturb ``step``."""
    if not box.fill_cpu:
        return 0.0
    images = {task.spec.image for task in box.fillers.values()}
    strengths = [interference.strength(step.image, image) for image in images]
    return round(sum(strengths))


def _alike(step: Step, box: BoxView) -> int:
    """Return how many serving tasks of the same image, less those of others."""
    same = sum(task.spec.image == step.image for task in box.serving.values())
    return 2 * same - len(box.serving)


def _least_disturbance(box: BoxView) -> tuple[bool, int, str]:
    return (box.fill_cpu > 0, box.cpu_free, box.life)
