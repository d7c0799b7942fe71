"""Search for boxes for the tasks of a step. All tasks of a step are equal, so boxes are
ranked once for the step, and after each task only the box that it was placed on is ranked
again. The plain scan of all boxes for each task is the reference that the indexed search
must agree with, and is measured against."""

import abc
import heapq
import typing as t

from .boxes import BoxView
from .boxindex import EligibleBoxes
from .boxindex import Pool
from .packing import Rank
from .packing import Ranking
from .packing import best_box
from .shardstate import WaitingStep
from .workflows import Step
from .workflows import Task

__all__ = [
    "BoxSearch",
    "IndexedSearch",
    "PlacementKey",
    "PlainSearch",
    "StepSearch",
    "placement_key",
    "prefer_data_rack",
    "is_eligible",
]

Narrowing: t.TypeAlias = t.Callable[[list[BoxView]], list[BoxView]]
Reachability: t.TypeAlias = t.Callable[[BoxView], bool]
# What a step needs of a box; see :func:`placement_key`.
PlacementKey: t.TypeAlias = tuple[t.Any, ...]


def is_eligible(step: Step, task: Task, box: BoxView) -> bool:
    """Return whether a box has room for a task and may run it."""
    if not box.fits(step) or not box.entry.labels.issuperset(step.required_labels):
        return False
    if not step.per_box:
        return True
    job = task.workflow.submission.job
    return box.count_step_tasks(job, task.occurrence, task.step) < step.per_box


class StepSearch(abc.ABC):
    """A search for boxes for the tasks of one step, one task after the other."""

    @abc.abstractmethod
    def best(self) -> BoxView | None:
        """Return the best box for the next task, or ``None`` if it should wait. The
        caller places the task there before the next call."""

    @abc.abstractmethod
    def record_placement(self, box: BoxView) -> None:
        """Record that a task is placed on a box that :meth:`best` did not return."""

    @abc.abstractmethod
    def eligible(self) -> list[BoxView]:
        """Return all boxes that have room for one of the tasks and may run it."""


class BoxSearch(abc.ABC):
    """Creates the searches for steps."""

    @abc.abstractmethod
    def begin(
        self,
        entry: WaitingStep,
        pool: Pool,
        ranking: Ranking,
        narrow: Narrowing,
        can_send: Reachability,
    ) -> StepSearch:
        """Return the search for the tasks of ``entry``.

        :param pool: the boxes that they may be placed on.
        :param ranking: orders the boxes.
        :param narrow: filters the eligible boxes.
        :param can_send: returns whether a start can be sent to a box soon; may change
            with each placement.
        """


def placement_key(entry: WaitingStep, service: str, advised: bool) -> PlacementKey:
    """Return what decides which boxes a search finds for a waiting step.

    :param advised: whether advice names the boxes that may run it, so that what it finds
        says nothing about other steps.
    """
    step = entry.spec
    job = entry.workflow.submission.job
    return (
        service,
        step.image,
        step.cpu,
        step.memory_mb,
        step.gpu,
        step.required_labels,
        step.affinity,
        step.best_effort,
        (job, entry.occurrence, entry.step) if advised else None,
    )


def prefer_data_rack(step: Step, boxes: list[BoxView]) -> list[BoxView]:
    """Return the boxes in the rack that holds the data, or all if there are none."""
    if not step.affinity:
        return boxes
    return [box for box in boxes if box.entry.rack == step.affinity] or boxes


class PlainSearch(BoxSearch):
    """Checks all boxes for each task."""

    def begin(
        self,
        entry: WaitingStep,
        pool: Pool,
        ranking: Ranking,
        narrow: Narrowing,
        can_send: Reachability,
    ) -> StepSearch:
        """See :meth:`BoxSearch.begin`."""
        return _PlainWalk(entry, pool, ranking, narrow, can_send)


class _PlainWalk(StepSearch):
    def __init__(
        self,
        entry: WaitingStep,
        pool: Pool,
        ranking: Ranking,
        narrow: Narrowing,
        can_send: Reachability,
    ) -> None:
        self._task = next(iter(entry.tasks.values()))
        self._step = self._task.spec
        self._pool = pool
        self._ranking = ranking
        self._narrow = narrow
        self._can_send = can_send

    def best(self) -> BoxView | None:
        eligible = prefer_data_rack(self._step, self._narrow(self.eligible()))
        return best_box(filter(self._can_send, eligible), self._ranking)

    def record_placement(self, box: BoxView) -> None:
        pass

    def eligible(self) -> list[BoxView]:
        boxes = self._pool.boxes.values()
        return [box for box in boxes if is_eligible(self._step, self._task, box)]


class IndexedSearch(BoxSearch):
    """Checks the boxes that changed since the last search for the step, and ranks the
    eligible ones once."""

    def begin(
        self,
        entry: WaitingStep,
        pool: Pool,
        ranking: Ranking,
        narrow: Narrowing,
        can_send: Reachability,
    ) -> StepSearch:
        """See :meth:`BoxSearch.begin`."""
        if entry.eligible is None or entry.eligible.pool is not pool:
            task = next(iter(entry.tasks.values()))
            step = task.spec

            def fits(box: BoxView) -> bool:
                return is_eligible(step, task, box)

            entry.eligible = EligibleBoxes(pool, fits)
        return _RankedBoxes(entry, entry.eligible, ranking, narrow, can_send)


class _RankedBoxes(StepSearch):
    def __init__(
        self,
        entry: WaitingStep,
        eligible: EligibleBoxes,
        ranking: Ranking,
        narrow: Narrowing,
        can_send: Reachability,
    ) -> None:
        self._task = next(iter(entry.tasks.values()))
        self._step = self._task.spec
        self._eligible = eligible
        self._ranking = ranking
        self._narrow = narrow
        self._can_send = can_send
        self._heap: list[tuple[Rank, str, BoxView]] | None = None
        self._placed_on: BoxView | None = None
        # Boxes that tasks were placed on in this search; the index is updated after it.
        self._placed_boxes: set[str] = set()
        # Whether further boxes become candidates once the ranked ones are full.
        self._ranks_again = bool(self._step.long_running or self._step.affinity)

    def best(self) -> BoxView | None:
        if self._placed_on is not None:
            self._rerank(self._placed_on)
            self._placed_on = None
        if self._heap is None or (self._ranks_again and not self._heap):
            self._heap = self._ranked()
        # What the limits of a path exclude stays excluded for the whole pass.
        while self._heap and not self._can_send(self._heap[0][2]):
            heapq.heappop(self._heap)
        if not self._heap:
            return None
        box = heapq.heappop(self._heap)[2]
        self._placed_on = box
        self._placed_boxes.add(box.incarnation)
        return box

    def record_placement(self, box: BoxView) -> None:
        # The ranks do not reflect the placement: the box would count as having as much
        # room as before, and the rack that holds the data as not full.
        self._placed_boxes.add(box.incarnation)
        self._heap = None

    def eligible(self) -> list[BoxView]:
        return [
            box
            for box in self._eligible.refresh()
            if box.incarnation not in self._placed_boxes
            or is_eligible(self._step, self._task, box)
        ]

    def _ranked(self) -> list[tuple[Rank, str, BoxView]]:
        boxes = prefer_data_rack(self._step, self._narrow(self.eligible()))
        heap = []
        for box in boxes:
            rank = self._ranking.rank(box)
            if rank is not None:
                heap.append((rank, box.incarnation, box))
        heapq.heapify(heap)
        return heap

    def _rerank(self, box: BoxView) -> None:
        assert self._heap is not None
        if not is_eligible(self._step, self._task, box):
            return
        rank = self._ranking.rank(box)
        if rank is not None:
            heapq.heappush(self._heap, (rank, box.incarnation, box))
