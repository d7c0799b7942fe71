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
HEARD_S: t.Final = 2.5


class Evacuation:
    """Keeps boxes closed whose halls are evacuated."""

    def __init__(self, state: ShardState) -> None:
        self._state = state
        self._heard_at: float | None = None
        self._held_since: float | None = None

    def heard(self, now: float) -> None:
        """Note that all orders given until now are known."""
        self._heard_at = now

    def up_to_date(self, now: float) -> bool:
        """Say whether starts may rest on what is known of operators' orders."""
        return self._heard_at is None or now - self._heard_at <= HEARD_S

    def held(self, now: float) -> list[Decision]:
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
        assert self._heard_at is not None
        inputs = {"unheard_s": round(now - self._heard_at, 2)}
        return [LogEvent("starts_held", "operators", inputs)]

    def ordered(self, orders: t.Iterable[HallDirective], now: float) -> list[Decision]:
        """Put orders in force, in the order given."""
        effects: list[Decision] = []
        for order in orders:
            effects += self._put_in_force(order, now)
        return effects

    def all_ordered(
        self, orders: t.Iterable[HallDirective], unread: t.Collection[str], now: float
    ) -> list[Decision]:
        """Put all orders there are in force: halls without one are in use.

        :param unread: halls whose order could not be read; they stay as they are.
        """
        orders = list(orders)
        evacuated = {order.hall for order in orders if order.evacuated}
        gone = self._state.evacuated_halls - evacuated - set(unread)
        restored = [HallDirective(hall, False) for hall in sorted(gone)]
        return self.ordered([*restored, *orders], now)

    def _put_in_force(self, order: HallDirective, now: float) -> list[Decision]:
        halls = self._state.evacuated_halls
        if order.evacuated == (order.hall in halls):
            return []
        if order.evacuated:
            halls.add(order.hall)
        else:
            halls.discard(order.hall)
        boxes = [
            box for box in self._state.boxes.values() if box.entry.hall == order.hall
        ]
        for box in boxes:
            box.evacuated = order.evacuated
        inputs = {
            "boxes": len(boxes),
            "tasks": sum(len(box.tasks) for box in boxes),
            "cpu": sum(box.entry.cpu for box in boxes),
            "boxes_left": sum(not box.evacuated for box in self._state.boxes.values()),
        }
        if not order.evacuated:
            return [LogEvent("hall_restored", order.hall, inputs)]
        incarnations = frozenset(box.incarnation for box in boxes)
        self._ask_again(incarnations, now)
        return [
            LogEvent("hall_evacuated", order.hall, inputs),
            WithdrawStarts(incarnations),
        ]

    def _ask_again(self, closed: frozenset[str], now: float) -> None:
        """Let steps whose advice named boxes that are closed now be asked about again."""
        for entry in self._state.waiting.values():
            if not closed.isdisjoint(entry.tickets):
                entry.advice_until = min(entry.advice_until, now)
