"""Evacuated data halls: their boxes get no starts until operators restore the hall.

Operators' directives are stored under one key for each hall, so that a successor reads
them before its first start; a hall whose key is gone is in use again.

Tasks that run in an evacuated hall go on. Evacuation is distinct from a box that
leaves, which has a known end before which its tasks must be moved."""

import typing as t

from .decisions import Decision
from .decisions import LogEvent
from .decisions import WithdrawStarts
from .interfaces import HallDirective
from .shardstate import ShardState

__all__ = ["Evacuation"]

# Nothing starts while operators' directives were last read longer ago than this, as
# they may be out of date. A read waits 0.8 s at the store and 1 s for its answer, so a
# single lost answer does not stop starts, and a directive is missed for no longer than
# half of the shortest limit that is required (5 s).
MAX_DIRECTIVES_AGE_S: t.Final = 2.5


class Evacuation:
    """Applies operators' directives to boxes, and holds starts while they may be out of
    date."""

    def __init__(self, state: ShardState) -> None:
        self._state = state
        self._read_at: float | None = None
        self._held_since: float | None = None

    def record_read(self, now: float) -> None:
        """Record that all directives given until now are known."""
        self._read_at = now

    def up_to_date(self, now: float) -> bool:
        """Return whether directives were read recently enough for starts."""
        return self._read_at is None or now - self._read_at <= MAX_DIRECTIVES_AGE_S

    def report_held_starts(self, now: float) -> list[Decision]:
        """Report when starts begin or cease to be held for directives out of date."""
        if self.up_to_date(now):
            if self._held_since is None:
                return []
            held_s = round(now - self._held_since, 2)
            self._held_since = None
            return [LogEvent("starts_go_on", "operators", {"held_s": held_s})]
        if self._held_since is not None:
            return []
        self._held_since = now
        assert self._read_at is not None
        inputs = {"unheard_s": round(now - self._read_at, 2)}
        return [LogEvent("starts_held", "operators", inputs)]

    def apply_directives(
        self, directives: t.Iterable[HallDirective], now: float
    ) -> list[Decision]:
        """Apply directives in the order given."""
        effects: list[Decision] = []
        for directive in directives:
            effects += self._apply_directive(directive, now)
        return effects

    def replace_directives(
        self,
        directives: t.Iterable[HallDirective],
        unread: t.Collection[str],
        now: float,
    ) -> list[Decision]:
        """Apply the full set of directives: halls without one are in use.

        :param unread: halls whose directive could not be read; they stay as they are.
        """
        directives = list(directives)
        evacuated = {directive.hall for directive in directives if directive.evacuated}
        gone = self._state.evacuated_halls - evacuated - set(unread)
        restored = [HallDirective(hall, False) for hall in sorted(gone)]
        return self.apply_directives([*restored, *directives], now)

    def _apply_directive(self, directive: HallDirective, now: float) -> list[Decision]:
        halls = self._state.evacuated_halls
        if directive.evacuated == (directive.hall in halls):
            return []
        if directive.evacuated:
            halls.add(directive.hall)
        else:
            halls.discard(directive.hall)
        boxes = [
            box
            for box in self._state.boxes.values()
            if box.entry.hall == directive.hall
        ]
        for box in boxes:
            box.evacuated = directive.evacuated
        inputs = {
            "boxes": len(boxes),
            "tasks": sum(len(box.tasks) for box in boxes),
            "cpu": sum(box.entry.cpu for box in boxes),
            "boxes_left": sum(not box.evacuated for box in self._state.boxes.values()),
        }
        if not directive.evacuated:
            return [LogEvent("hall_restored", directive.hall, inputs)]
        incarnations = frozenset(box.incarnation for box in boxes)
        return [
            LogEvent("hall_evacuated", directive.hall, inputs),
            WithdrawStarts(incarnations),
        ]
