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

__all__ = ["FirstBox", "KeepApart", "Packer", "better_box", "least_filled"]

# Share of its rated processor time that a task which fills must find unused.
FILL_NEED: t.Final = 0.9
# How much unused room, as a share of the box, weighs against pace.
ROOM_WEIGHT: t.Final = 0.2
# How much pace a task gives up to leave a box to others that have fewer boxes.
OPENNESS_WEIGHT: t.Final = 0.3
# A task that would have to run slower than this waits for a better box: one that runs
# slowly beside serving tasks is soon moved, and disturbs them meanwhile. 0.3 is worth
# 0.016 +- 0.003 less (72 pairs of days of three deployments).
WAIT_PACE: t.Final = 0.6
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


def least_filled(boxes: t.Sequence[BoxView]) -> BoxView | None:
    """Return the box with fewest tasks that fill, for one that has waited too long: it
    is slowed there as much as the serving tasks need."""
    return min(
        boxes, key=lambda box: (len(box.fillers), -box.cpu_free, box.life), default=None
    )


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
    serving tasks are placed so that there is such a box for most of what fills.

    :param grouping: whether serving tasks of one image share boxes; else each goes to
        the fullest box.
    """

    def __init__(self, grouping: bool = True) -> None:
        self._grouping = grouping

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
        if step.target_ms and self._grouping:
            return _serving_box(task, boxes, interference)
        return min(boxes, key=_short_cost, default=None)


def _serving_box(
    task: Task, boxes: t.Sequence[BoxView], interference: Interference
) -> BoxView | None:
    """Each image that fills disturbs only some of the serving images, so a box that
    serves one image alone is open to most of what fills: a task goes to its own image,
    else to an empty box, else to where it closes the box to least. With that, serving
    tasks were over their target for 117 s of a quiet day instead of 170 s (one play
    each), and worth rose by 0.032 +- 0.011 (16 pairs of days)."""
    image = task.spec.image
    alike: list[BoxView] = []
    empty: list[BoxView] = []
    mixed: dict[str, frozenset[str]] = {}
    for box in boxes:
        images = frozenset(other.spec.image for other in box.serving.values())
        if not images:
            empty.append(box)
        elif images == {image}:
            alike.append(box)
        else:
            mixed[box.life] = images
    able = alike or empty
    if able:
        return min(able, key=lambda box: _gap(task, box))
    # Many boxes serve the same images: what a task closes is worked out once for each.
    closes = {
        images: interference.openness(images) - interference.openness(images | {image})
        for images in set(mixed.values())
    }
    return min(
        boxes,
        key=lambda box: (closes[mixed[box.life]], *_gap(task, box)),
        default=None,
    )


def _gap(task: Task, box: BoxView) -> tuple[bool, int, int, str]:
    """Tasks of one step share their load, so they are quiet at the same time; else
    the smallest gap is filled first."""
    strange = not any(_same_step(task, other) for other in box.serving.values())
    return (strange, box.cpu_free, box.fill_cpu, box.life)


def _same_step(task: Task, other: Task) -> bool:
    if task.workflow is not other.workflow:
        return False
    return (task.occurrence, task.step) == (other.occurrence, other.step)


def _short_cost(box: BoxView) -> tuple[bool, int, str]:
    """Leave boxes that are being filled alone, and fill gaps first."""
    return (box.fill_cpu > 0, box.cpu_free, box.life)


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
        worth -= OPENNESS_WEIGHT * load.openness
        if best is None or worth > best_worth:
            best, best_worth = box, worth
    return best
