"""Boxes that are kept free of lasting work. Tasks that last take room for minutes; once
they hold all of it, short work that must reserve room waits for one of them to end.
How much is kept follows what short work was seen to need."""

import abc
import typing as t

from .boxes import BoxView
from .shardstate import WaitingStep

__all__ = ["Headroom", "ReservedBoxes", "NoHeadroom"]

# Share of a pool kept before any short work was seen, and at most.
INITIAL_RESERVED_SHARE: t.Final = 0.08
MAX_RESERVED_SHARE: t.Final = 0.16
# What is kept covers the need of short work for this share of the time: while both
# wait, a core-second of short work is worth several of lasting work.
NEED_QUANTILE: t.Final = 0.85
# How fast the estimate follows the need, as a share of the pool a second.
ADAPTATION_SHARE_PER_S: t.Final = 0.02
# How often what is kept is chosen anew.
UPDATE_INTERVAL_S: t.Final = 0.3
# Room that nobody needed for so long is given to lasting work: what has room starts
# within three seconds, of which looks and writes take up to one.
UNUSED_THRESHOLD_S: t.Final = 1.8
# Room that is taken for less than this counts as unused throughout: short work comes
# and goes, and an account sees that there was room nearly all the time.
MAX_OCCUPIED_GAP_S: t.Final = 1.2


class Headroom(abc.ABC):
    """Says which boxes lasting work must leave alone."""

    @abc.abstractmethod
    def needs_update(self, now: float) -> bool:
        """Say whether :meth:`update` should be called now."""

    @abc.abstractmethod
    def update(
        self,
        pools: t.Mapping[str, list[BoxView]],
        waiting_short_cpu: t.Mapping[str, int],
        now: float,
    ) -> None:
        """Take up what waits.

        :param pools: service -> its boxes that are open for work.
        :param short: service -> thousandths of a core that waiting short work reserves.
        """

    @abc.abstractmethod
    def allowed_boxes(
        self, entry: WaitingStep, boxes: list[BoxView], now: float
    ) -> list[BoxView]:
        """Return those of ``boxes``, which all have room, where a lasting task may go."""

    @abc.abstractmethod
    def is_reserved(self, box: BoxView) -> bool:
        """Say whether a box is kept free of lasting work now."""


class NoHeadroom(Headroom):
    """Lasting work may go anywhere."""

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
        self, entry: WaitingStep, boxes: list[BoxView], now: float
    ) -> list[BoxView]:
        """Return all."""
        return boxes

    def is_reserved(self, box: BoxView) -> bool:
        """Return false."""
        return False


class ReservedBoxes(Headroom):
    """Keeps whole boxes, so that wide tasks find room in one piece where lasting work
    takes nearly all of it."""

    def __init__(self) -> None:
        self._reserved_cpu: dict[str, float] = {}
        self._reserved: set[str] = set()
        self._updated_at: float | None = None

    def needs_update(self, now: float) -> bool:
        """Say whether the choice is old; it walks over all boxes."""
        return self._updated_at is None or now - self._updated_at >= UPDATE_INTERVAL_S

    def update(
        self,
        pools: t.Mapping[str, list[BoxView]],
        waiting_short_cpu: t.Mapping[str, int],
        now: float,
    ) -> None:
        """Choose the boxes that hold least lasting work, as many as needed."""
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
        self, entry: WaitingStep, boxes: list[BoxView], now: float
    ) -> list[BoxView]:
        """Leave kept boxes out, unless there was room for the task that nobody needed for
        long: its account is promised that it starts then."""
        unreserved = [box for box in boxes if box.incarnation not in self._reserved]
        if unreserved:
            return unreserved
        if not boxes:
            return []
        if now - entry.roomy_at > MAX_OCCUPIED_GAP_S:
            entry.roomy_since = now
        entry.roomy_at = now
        return boxes if now - entry.roomy_since > UNUSED_THRESHOLD_S else []

    def is_reserved(self, box: BoxView) -> bool:
        """See :meth:`Headroom.is_reserved`."""
        return box.incarnation in self._reserved


def _long_running_share(box: BoxView) -> tuple[float, str]:
    return ((box.cpu_used - box.short_cpu) / max(1, box.entry.cpu), box.incarnation)
