"""Index of the boxes that are open for work, by pool, with the order of their changes.

A placement pass checks only the boxes that changed since the last one. A scan of all
boxes for each waiting task would cost the number of boxes times that of tasks."""

import collections
import heapq
import itertools
import typing as t

if t.TYPE_CHECKING:
    from .boxes import BoxView

__all__ = ["EligibleBoxes", "BoxIndex", "Pool"]


class Pool:
    """The boxes of one service that are open for work.

    :ivar boxes: incarnation -> box.
    :ivar quarantined: incarnation -> box whose runs fail; not in ``boxes``.
    :ivar sequence: number of the last change.
    """

    def __init__(self) -> None:
        self.boxes: dict[str, BoxView] = {}
        self.quarantined: dict[str, BoxView] = {}
        self.sequence = 0
        # Incarnation -> number of its last change, the newest last.
        self._changed: collections.OrderedDict[str, int] = collections.OrderedDict()

    def update(
        self, box: "BoxView", is_open: bool, is_quarantined: bool = False
    ) -> None:
        """Apply a change of a box."""
        incarnation = box.incarnation
        if is_quarantined:
            self.quarantined[incarnation] = box
        else:
            self.quarantined.pop(incarnation, None)
        if is_open:
            self.boxes[incarnation] = box
        elif self.boxes.pop(incarnation, None) is None:
            return
        self.sequence += 1
        self._changed[incarnation] = self.sequence
        self._changed.move_to_end(incarnation)

    def changed_since(self, sequence: int) -> list[str]:
        """Return the incarnations that changed after ``sequence``, newest first."""
        changed = []
        for incarnation, at in reversed(self._changed.items()):
            if at <= sequence:
                break
            changed.append(incarnation)
        return changed


class EligibleBoxes:
    """The boxes of a pool that are eligible for the tasks of one step.

    :param is_eligible: returns whether a box has room for one of them and may run it.
    """

    __slots__ = ("_is_eligible", "_sequence", "boxes", "pool")

    def __init__(self, pool: Pool, is_eligible: "t.Callable[[BoxView], bool]") -> None:
        self.pool = pool
        self._is_eligible = is_eligible
        self._sequence = pool.sequence
        self.boxes = {
            incarnation: box
            for incarnation, box in pool.boxes.items()
            if is_eligible(box)
        }

    def refresh(self) -> "t.Collection[BoxView]":
        """Apply the changes of the pool and return the eligible boxes."""
        for incarnation in self.pool.changed_since(self._sequence):
            box = self.pool.boxes.get(incarnation)
            if box is not None and self._is_eligible(box):
                self.boxes[incarnation] = box
            else:
                self.boxes.pop(incarnation, None)
        self._sequence = self.pool.sequence
        return self.boxes.values()


class BoxIndex:
    """The pools of all services, updated as boxes change."""

    def __init__(self) -> None:
        self._changed: dict[str, BoxView] = {}
        self._pools: dict[str, Pool] = {}
        self._pool_of: dict[str, str] = {}
        # Heap of boxes that are closed for a while, by when they open again.
        self._reopen: list[tuple[float, int, BoxView]] = []
        self._tie_breakers = itertools.count()

    @property
    def pools(self) -> t.Mapping[str, Pool]:
        """The pools by service; :meth:`refresh` updates them."""
        return self._pools

    def mark_changed(self, box: "BoxView") -> None:
        """Mark a box as changed."""
        self._changed[box.incarnation] = box

    def remove(self, box: "BoxView") -> None:
        """Remove a box."""
        self._changed.pop(box.incarnation, None)
        service = self._pool_of.pop(box.incarnation, None)
        if service is not None:
            self._pools[service].update(box, False)

    def pool(self, service: str) -> Pool:
        """Return the pool of a service, which may be empty."""
        return self._pools.setdefault(service, Pool())

    def refresh(self, now: float) -> None:
        """Apply all changes until now."""
        while self._reopen and self._reopen[0][0] <= now:
            _, _, box = heapq.heappop(self._reopen)
            if box.incarnation in self._pool_of:
                self._changed[box.incarnation] = box
        if not self._changed:
            return
        touched, self._changed = self._changed, {}
        for incarnation, box in touched.items():
            service = box.entry.service
            before = self._pool_of.get(incarnation, service)
            if before != service:
                self._pools[before].update(box, False)
            self._pool_of[incarnation] = service
            pool = self.pool(service)
            pool.update(box, box.open_for_work(now), box.is_quarantined(now))
            if box.closed_until > now:
                entry = (box.closed_until, next(self._tie_breakers), box)
                heapq.heappush(self._reopen, entry)
