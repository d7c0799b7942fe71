"""Headroom: boxes that are reserved from long-running tasks.

Long-running tasks hold room for minutes. Once they hold all of it, short tasks, which
must reserve room, wait until one of them ends. How much is reserved follows the need of
short tasks as observed."""

import abc
import typing as t

from .boxes import BoxView
from .shardstate import ShardState
from .shardstate import WaitingStep

__all__ = ["Headroom", "ReservedBoxes", "NoHeadroom", "waiting_short_cpu"]

# Share of a pool that is reserved before any short task was observed, and its maximum.
INITIAL_RESERVED_SHARE: t.Final = 0.08
MAX_RESERVED_SHARE: t.Final = 0.16
# The reserved room covers the need of short tasks for this share of the time: while
# both wait, a core-second of short tasks is worth several of long-running tasks.
NEED_QUANTILE: t.Final = 0.85
# Rate at which the estimate follows the need, as a share of the pool per second.
ADAPTATION_SHARE_PER_S: t.Final = 0.02
UPDATE_INTERVAL_S: t.Final = 0.3
# Reserved room that was free for this long is opened to long-running tasks: a task that
# has room starts within three seconds, of which polls and writes take up to one.
UNUSED_THRESHOLD_S: t.Final = 1.8
# Room that is occupied for no longer than this counts as free throughout: short tasks
# start and end often, and an account sees that there was room nearly all the time.
MAX_OCCUPIED_GAP_S: t.Final = 1.2


class Headroom(abc.ABC):
    """Decides which boxes long-running tasks may not use."""

    @abc.abstractmethod
    def needs_update(self, now: float) -> bool:
        """Return whether :meth:`update` should be called now."""

    @abc.abstractmethod
    def update(
        self,
        pools: t.Mapping[str, list[BoxView]],
        waiting_short_cpu: t.Mapping[str, int],
        now: float,
    ) -> None:
        """Update the choice of boxes.

        :param pools: service -> its boxes that are open for work.
        :param waiting_short_cpu: service -> thousandths of a core that waiting short
            tasks reserve.
        """

    @abc.abstractmethod
    def allowed_boxes(
        self, entry: WaitingStep, boxes: list[BoxView], due: bool, now: float
    ) -> list[BoxView]:
        """Return those of ``boxes``, which all have room, that a long-running step may
        use.

        :param due: whether the tasks to place are due; see :mod:`.duetasks`.
        """

    @abc.abstractmethod
    def is_reserved(self, box: BoxView) -> bool:
        """Return whether a box is reserved from long-running tasks now."""


class NoHeadroom(Headroom):
    """Baseline: long-running tasks may use any box."""

    def needs_update(self, now: float) -> bool:
        """Return false."""
        return False

    def update(
        self,
        pools: t.Mapping[str, list[BoxView]],
        waiting_short_cpu: t.Mapping[str, int],
        now: float,
    ) -> None:
        """Do nothing."""

    def allowed_boxes(
        self, entry: WaitingStep, boxes: list[BoxView], due: bool, now: float
    ) -> list[BoxView]:
        """Return all."""
        return boxes

    def is_reserved(self, box: BoxView) -> bool:
        """Return false."""
        return False


class ReservedBoxes(Headroom):
    """Reserves whole boxes, so that large short tasks find enough room on one box while
    long-running tasks hold nearly all of the pool."""

    def __init__(self) -> None:
        # Service -> thousandths of a core to reserve, as estimated.
        self._reserved_cpu: dict[str, float] = {}
        self._reserved: set[str] = set()
        self._updated_at: float | None = None

    def needs_update(self, now: float) -> bool:
        """Return whether the choice is out of date; an update walks over all boxes."""
        return self._updated_at is None or now - self._updated_at >= UPDATE_INTERVAL_S

    def update(
        self,
        pools: t.Mapping[str, list[BoxView]],
        waiting_short_cpu: t.Mapping[str, int],
        now: float,
    ) -> None:
        """Choose as many boxes as needed, those with the least long-running work."""
        elapsed_s = 0.0 if self._updated_at is None else now - self._updated_at
        self._updated_at = now
        self._reserved.clear()
        for service, boxes in pools.items():
            self._reserve(service, boxes, waiting_short_cpu.get(service, 0), elapsed_s)

    def _reserve(
        self, service: str, boxes: list[BoxView], waiting_cpu: int, elapsed_s: float
    ) -> None:
        capacity = sum(box.entry.cpu for box in boxes)
        need = waiting_cpu + sum(box.short_cpu for box in boxes)
        reserved_cpu = self._reserved_cpu.get(
            service, INITIAL_RESERVED_SHARE * capacity
        )
        step = ADAPTATION_SHARE_PER_S * capacity * elapsed_s
        if need > reserved_cpu:
            reserved_cpu += step * NEED_QUANTILE
        else:
            reserved_cpu -= step * (1.0 - NEED_QUANTILE)
        reserved_cpu = self._reserved_cpu[service] = max(
            0.0, min(MAX_RESERVED_SHARE * capacity, reserved_cpu)
        )
        for box in sorted(boxes, key=_long_running_share):
            if reserved_cpu <= 0.0:
                break
            self._reserved.add(box.incarnation)
            reserved_cpu -= box.entry.cpu - box.cpu_used + box.short_cpu

    def allowed_boxes(
        self, entry: WaitingStep, boxes: list[BoxView], due: bool, now: float
    ) -> list[BoxView]:
        """Leave reserved boxes out, unless only they have room and the tasks are due or
        it was free for long: accounts are promised that the task starts then."""
        unreserved = [box for box in boxes if box.incarnation not in self._reserved]
        if unreserved:
            return unreserved
        if due:
            return boxes
        if not boxes:
            return []
        if now - entry.room_seen_at > MAX_OCCUPIED_GAP_S:
            entry.room_since = now
        entry.room_seen_at = now
        return boxes if now - entry.room_since > UNUSED_THRESHOLD_S else []

    def is_reserved(self, box: BoxView) -> bool:
        """See :meth:`Headroom.is_reserved`."""
        return box.incarnation in self._reserved


def waiting_short_cpu(state: ShardState) -> dict[str, int]:
    """Return service -> thousandths of a core that waiting short tasks reserve."""
    short: dict[str, int] = {}
    for entry in state.waiting.values():
        step = entry.spec
        if not step.long_running and not step.best_effort:
            service = state.service_of(entry.workflow)
            need = len(entry.tasks) * step.cpu
            short[service] = short.get(service, 0) + need
    return short


def _long_running_share(box: BoxView) -> tuple[float, str]:
    return ((box.cpu_used - box.short_cpu) / max(1, box.entry.cpu), box.incarnation)
