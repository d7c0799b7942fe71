"""Data halls that operators have evacuated: nothing further is sent to their boxes until
they are taken back. The orders lie in the store under a key for each hall, so a successor
reads them before its first start, and a hall whose key is gone is in use again.

What runs in such a hall goes on. It is kept apart from a box's own leaving, which has an
end that is known and from which work must be moved."""

import typing as t

from .decisions import Decision
from .decisions import LogEvent
from .decisions import WithdrawStarts
from .interfaces import HallDirective
from .shardstate import ShardState

__all__ = ["Evacuation"]

# Orders of operators that were last read so long ago may be out of date: nothing starts
# until they are read again. One read waits 0.8 s at the store and 1 s for its answer, so a
# single lost answer does not stop starts, and an order is never missed for longer than
# half of the shortest bound that a deployment gave (5 s).
MAX_DIRECTIVES_AGE_S: t.Final = 2.5


class Evacuation:
    """Keeps boxes closed whose halls are evacuated."""

    def __init__(self, state: ShardState) -> None:
        self._state = state
        self._read_at: float | None = None
        self._held_since: float | None = None

    def record_read(self, now: float) -> None:
        """Note that all orders given until now are known."""
        self._read_at = now

    def up_to_date(self, now: float) -> bool:
        """Say whether starts may rest on what is known of operators' orders."""
        return self._read_at is None or now - self._read_at <= MAX_DIRECTIVES_AGE_S

    def report_held_starts(self, now: float) -> list[Decision]:
        """Note when starts begin or cease to be held back for want of news."""
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
        """Put orders in force, in the order given."""
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
        """Put all orders there are in force: halls without one are in use.

        :param unread: halls whose order could not be read; they stay as they are.
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
        self._expire_advice(incarnations, now)
        return [
            LogEvent("hall_evacuated", directive.hall, inputs),
            WithdrawStarts(incarnations),
        ]

    def _expire_advice(self, closed: frozenset[str], now: float) -> None:
        """Let steps whose advice named boxes that are closed now be asked about again."""
        for entry in self._state.waiting.values():
            if not closed.isdisjoint(entry.tickets):
                entry.advice_until = min(entry.advice_until, now)
