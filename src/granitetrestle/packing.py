"""Which box a task goes to. Serving tasks and tasks that fill are kept apart where
there is room for that, since the ones slow down the others."""

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

# Share of its rated processor time that a task which fills must find unused.
MIN_UNUSED_FACTOR: t.Final = 0.9
# How much unused room, as a share of the box, weighs against pace.
UNUSED_WEIGHT: t.Final = 0.2
# How much pace a task gives up to leave a box to others that have fewer boxes.
COMPATIBLE_SHARE_WEIGHT: t.Final = 0.3
# A task that would have to run slower than this waits for a better box: one that runs
# slowly beside serving tasks is soon moved, and disturbs them meanwhile.
MIN_START_PACE: t.Final = 0.6
# A slowed task moves only to where it will hardly be.
MIN_MOVE_PACE: t.Final = 0.9


Rank: t.TypeAlias = tuple[t.Any, ...]


class Ranking(abc.ABC):
    """Ranks boxes that have room for the equal tasks of one step. A box's rank changes
    only with the box, so that after a task was placed only that box is ranked anew."""

    @abc.abstractmethod
    def rank(self, box: BoxView) -> Rank | None:
        """Return the rank of ``box``, the least being best; ``None`` if a task should
        rather wait than go there."""


def best_box(boxes: t.Iterable[BoxView], ranking: Ranking) -> BoxView | None:
    """Return the box that ranks best, if any may be taken."""
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
        """Return how boxes rank for ``task`` and others of its step."""


def move_target(
    task: Task, boxes: t.Iterable[BoxView], interference: Interference, now: float
) -> BoxView | None:
    """Return a box where a slowed task that fills would disturb nobody."""
    others = (box for box in boxes if box.incarnation != task.box)
    return best_box(
        others, _BestEffortRanking(task.spec, interference, now, MIN_MOVE_PACE)
    )


def fewest_best_effort(boxes: t.Iterable[BoxView]) -> BoxView | None:
    """Return the box with fewest tasks that fill, for one that has waited too long: it
    is slowed there as much as the serving tasks need."""
    return min(
        boxes,
        key=lambda box: (len(box.fillers), -box.cpu_free, box.incarnation),
        default=None,
    )


class FirstFitPacker(Packer):
    """Baseline: the first box with room."""

    def ranking(self, task: Task, interference: Interference, now: float) -> Ranking:
        """Return the order of their names."""
        return _NameRanking()


class _NameRanking(Ranking):
    def rank(self, box: BoxView) -> Rank:
        return (box.incarnation,)


class InterferenceAwarePacker(Packer):
    """What fills goes where it disturbs least, by what was learnt of the images;
    serving tasks are placed so that there is such a box for most of what fills.

    :param grouping: whether serving tasks of one image share boxes; else each goes to
        the fullest box.
    """

    def __init__(self, grouping: bool = True) -> None:
        self._grouping = grouping

    def ranking(self, task: Task, interference: Interference, now: float) -> Ranking:
        """Return how much ``task`` harms and is harmed."""
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
    """A box that says that it is slow still, as after its start or after its hall was
    given back, is taken when no other has room."""

    def __init__(self, ranking: Ranking) -> None:
        self._ranking = ranking

    def rank(self, box: BoxView) -> Rank | None:
        rank = self._ranking.rank(box)
        return None if rank is None else (box.entry.cold, *rank)


class _ServingRanking(Ranking):
    """Each image that fills disturbs only some of the serving images, so a box that
    serves one image alone is open to most of what fills: a task goes to its own image,
    else to an empty box, else to where it closes the box to least, so that serving tasks
    are over their targets for less time."""

    def __init__(self, task: Task, interference: Interference) -> None:
        self._task = task
        self._image = task.spec.image
        self._interference = interference
        # Many boxes serve the same images: what a task closes is worked out once.
        self._losses: dict[frozenset[str], float] = {}

    def rank(self, box: BoxView) -> Rank:
        images = frozenset(other.spec.image for other in box.serving.values())
        if not images:
            return (1, *_gap_rank(self._task, box))
        if images == {self._image}:
            return (0, *_gap_rank(self._task, box))
        return (2, self._compatible_share_loss(images), *_gap_rank(self._task, box))

    def _compatible_share_loss(self, images: frozenset[str]) -> float:
        """Return how much less open a box that serves ``images`` would become."""
        loss = self._losses.get(images)
        if loss is None:
            loss = self._interference.compatible_share(images)
            loss -= self._interference.compatible_share(images | {self._image})
            self._losses[images] = loss
        return loss


def _gap_rank(task: Task, box: BoxView) -> tuple[bool, int, int, str]:
    """Tasks of one step share their load, so they are quiet at the same time; else
    the smallest gap is filled first."""
    only_other_steps = not any(
        _same_step(task, other) for other in box.serving.values()
    )
    return (only_other_steps, box.cpu_free, box.best_effort_cpu, box.incarnation)


def _same_step(task: Task, other: Task) -> bool:
    if task.workflow is not other.workflow:
        return False
    return (task.occurrence, task.step) == (other.occurrence, other.step)


class _ShortTaskRanking(Ranking):
    """Leave boxes that are being filled alone, and fill gaps first."""

    def rank(self, box: BoxView) -> Rank:
        return (box.best_effort_cpu > 0, box.cpu_free, box.incarnation)


class _BestEffortRanking(Ranking):
    """Where a task that fills runs fastest, then where most room is left, leaving boxes
    that are open to much to others.

    :param least_pace: where it would run slower it does not go.
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
        score = pace + UNUSED_WEIGHT * load.unused / box.entry.cpu
        score -= COMPATIBLE_SHARE_WEIGHT * load.compatible_share
        return (-score, box.incarnation)
