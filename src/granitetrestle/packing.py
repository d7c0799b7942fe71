"""Bin packing: ranks the boxes that have room for a task.

Serving tasks and the best-effort tasks that slow them down are placed on different
boxes as far as there is room for that."""

import abc
import typing as t

from .boxes import BoxView
from .interference import Interference
from .overload import box_load
from .overload import tolerable_pace
from .workflows import Step
from .workflows import Task

__all__ = [
    "FirstFitPacker",
    "InterferenceAwarePacker",
    "Packer",
    "Rank",
    "Ranking",
    "best_box",
    "move_target",
    "fewest_best_effort",
]

# Share of its nominal processor time that a best-effort task must find unused.
MIN_UNUSED_FACTOR: t.Final = 0.9
# Weight of unused processor time, as a share of the box, relative to pace.
UNUSED_WEIGHT: t.Final = 0.2
# Weight of the compatible share relative to pace: the pace that a task gives up to
# leave a box to others that have fewer boxes to choose from.
COMPATIBLE_SHARE_WEIGHT: t.Final = 0.3
# A task that would run at a lower pace waits for a better box: one that runs slowly
# beside serving tasks is soon moved, and interferes with them until then.
MIN_START_PACE: t.Final = 0.6
# A slowed task is moved only to a box where it would run at least at this pace.
MIN_MOVE_PACE: t.Final = 0.9


Rank: t.TypeAlias = tuple[t.Any, ...]


class Ranking(abc.ABC):
    """Ranks boxes that have room for the equal tasks of one step. A box's rank changes
    only with the box, so after a placement only the box concerned is ranked again."""

    @abc.abstractmethod
    def rank(self, box: BoxView) -> Rank | None:
        """Return the rank of ``box``, the lowest being best; ``None`` if a task should
        wait rather than be placed there."""


def best_box(boxes: t.Iterable[BoxView], ranking: Ranking) -> BoxView | None:
    """Return the box of the lowest rank, or ``None`` if no box has one."""
    best: BoxView | None = None
    best_rank: Rank | None = None
    for box in boxes:
        rank = ranking.rank(box)
        if rank is not None and (best_rank is None or rank < best_rank):
            best, best_rank = box, rank
    return best


class Packer(abc.ABC):
    """Chooses among boxes that may take a task."""

    @abc.abstractmethod
    def ranking(self, task: Task, interference: Interference, now: float) -> Ranking:
        """Return the ranking of boxes for ``task`` and the others of its step."""


def move_target(
    task: Task, boxes: t.Iterable[BoxView], interference: Interference, now: float
) -> BoxView | None:
    """Return the best other box where a slowed best-effort task would run at
    ``MIN_MOVE_PACE`` or faster, or ``None``."""
    others = (box for box in boxes if box.incarnation != task.box)
    return best_box(
        others, _BestEffortRanking(task.spec, interference, now, MIN_MOVE_PACE)
    )


def fewest_best_effort(boxes: t.Iterable[BoxView]) -> BoxView | None:
    """Return the box with the fewest best-effort tasks, for one that has waited too
    long; it is paced there as far as the serving tasks require."""
    return min(
        boxes,
        key=lambda box: (len(box.best_effort_tasks), -box.cpu_free, box.incarnation),
        default=None,
    )


class FirstFitPacker(Packer):
    """Baseline: the first box with room."""

    def ranking(self, task: Task, interference: Interference, now: float) -> Ranking:
        """Return a ranking by name."""
        return _NameRanking()


class _NameRanking(Ranking):
    def rank(self, box: BoxView) -> Rank:
        return (box.incarnation,)


class InterferenceAwarePacker(Packer):
    """Places best-effort tasks where the interference model expects least slowdown, and
    serving tasks so that most best-effort images have such a box.

    :param grouping: whether serving tasks of one image share boxes; else each goes to
        the fullest box with room.
    """

    def __init__(self, grouping: bool = True) -> None:
        self._grouping = grouping

    def ranking(self, task: Task, interference: Interference, now: float) -> Ranking:
        """Return a ranking by the interference that ``task`` causes and suffers."""
        return _WarmBoxFirst(self._ranking_by_kind(task, interference, now))

    def _ranking_by_kind(
        self, task: Task, interference: Interference, now: float
    ) -> Ranking:
        if task.spec.best_effort:
            return _BestEffortRanking(task.spec, interference, now, MIN_START_PACE)
        if task.spec.target_ms and self._grouping:
            return _ServingRanking(task, interference)
        return _ShortTaskRanking()


class _WarmBoxFirst(Ranking):
    """Uses a cold box only when no other has room: one that reports itself slow, as
    after its start or after its data hall was restored."""

    def __init__(self, ranking: Ranking) -> None:
        self._ranking = ranking

    def rank(self, box: BoxView) -> Rank | None:
        rank = self._ranking.rank(box)
        return None if rank is None else (box.entry.cold, *rank)


class _ServingRanking(Ranking):
    """Ranks boxes for a serving task, by the best-effort images that remain compatible.

    Each best-effort image interferes with only some of the serving images, so a box
    that serves a single image is compatible with most of them. A task goes to a box
    that serves its own image, else to one without serving tasks, else to the one whose
    compatible share falls least, so that serving tasks exceed their targets for less
    time."""

    def __init__(self, task: Task, interference: Interference) -> None:
        self._task = task
        self._image = task.spec.image
        self._interference = interference
        # Many boxes serve the same images, so the loss is cached by their set.
        self._losses: dict[frozenset[str], float] = {}

    def rank(self, box: BoxView) -> Rank:
        images = frozenset(other.spec.image for other in box.serving.values())
        if not images:
            return (1, *_gap_rank(self._task, box))
        if images == {self._image}:
            return (0, *_gap_rank(self._task, box))
        return (2, self._compatible_share_loss(images), *_gap_rank(self._task, box))

    def _compatible_share_loss(self, images: frozenset[str]) -> float:
        """Return by how much the compatible share of a box that serves ``images`` would
        fall if it also served this one."""
        loss = self._losses.get(images)
        if loss is None:
            loss = self._interference.compatible_share(images)
            loss -= self._interference.compatible_share(images | {self._image})
            self._losses[images] = loss
        return loss


def _gap_rank(task: Task, box: BoxView) -> tuple[bool, int, int, str]:
    """Return a rank that prefers boxes with a task of the same step, since tasks of one
    step share their load and are idle at the same time, then the least free box (best
    fit)."""
    only_other_steps = not any(
        _same_step(task, other) for other in box.serving.values()
    )
    return (only_other_steps, box.cpu_free, box.best_effort_cpu, box.incarnation)


def _same_step(task: Task, other: Task) -> bool:
    if task.workflow is not other.workflow:
        return False
    return (task.occurrence, task.step) == (other.occurrence, other.step)


class _ShortTaskRanking(Ranking):
    """Prefers boxes without best-effort tasks, then the least free box (best fit)."""

    def rank(self, box: BoxView) -> Rank:
        return (box.best_effort_cpu > 0, box.cpu_free, box.incarnation)


class _BestEffortRanking(Ranking):
    """Ranks boxes for a best-effort task by the pace it would have, then by unused
    processor time; boxes of a high compatible share are left to other images.

    :param min_pace: pace below which a box is not used.
    """

    def __init__(
        self, step: Step, interference: Interference, now: float, min_pace: float
    ) -> None:
        self._step = step
        self._interference = interference
        self._now = now
        self._min_pace = min_pace

    def rank(self, box: BoxView) -> Rank | None:
        load = box_load(box, self._interference, self._now)
        if load.unused < self._step.cpu * MIN_UNUSED_FACTOR:
            return None
        pace = tolerable_pace(self._step, box, load, self._interference)
        if pace < self._min_pace:
            return None
        score = pace + UNUSED_WEIGHT * box.cpu_share(load.unused)
        score -= COMPATIBLE_SHARE_WEIGHT * load.compatible_share
        return (-score, box.incarnation)
