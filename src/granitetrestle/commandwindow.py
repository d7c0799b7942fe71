"""How many orders may be on their way at once. A burst of wide jobs through a small link
queues up there: orders then time out before they have left, are sent again, and the link
carries little else. So orders wait here instead, the urgent ones first, and their number
follows how long answers take, as a congestion window does."""

import collections
import contextlib
import heapq
import itertools
import time
import typing as t

import anyio

from .looplag import LoopLag

__all__ = ["BEST_EFFORT", "FIRST", "SHORT", "UnlimitedWindow", "CommandWindow"]

# Classes of orders: what frees room or protects others goes first, what fills last.
FIRST: t.Final = 0
SHORT: t.Final = 1
BEST_EFFORT: t.Final = 2
# Orders that may be on their way at first, at least and at most. The most is what one
# process's descriptors and the boxes' connections bear; it is far above what answers
# within 10 ms ever need.
AT_FIRST: t.Final = 32
AT_LEAST: t.Final = 4
AT_MOST: t.Final = 256
NO_LIMIT: t.Final = 1_000_000
# Orders that go to one box at a time. Each has a connection of its own; a box takes 64
# from everybody and drops what comes too fast, to be tried again only after a second.
TO_ONE_BOX: t.Final = 4
# An answer that takes so many times the shortest of late has waited in a queue; answers
# below the floor are never taken for slow, since a box of a few tenths of a core answers
# in steps of some ms.
SLOW_FACTOR: t.Final = 5.0
SLOW_FLOOR_S: t.Final = 0.08
# Orders wait here at most for so many windows; further tasks keep their place in the
# decider's order of urgency, and the boxes chosen for them their room.
AHEAD: t.Final = 2
# An order waits about so often for this process's own event loop. Without it a decider
# that is busy with many boxes takes its own delay for the link's, and tasks wait beside
# free room.
OWN_TURNS: t.Final = 4.0
# The window shrinks to this share, at most so often: once for each queue it caused.
SHRINK: t.Final = 0.7
SHRINK_EVERY_S: t.Final = 0.15
# The shortest time is forgotten slowly, as paths change.
FORGET_PER_S: t.Final = 0.02


class _Waiting(t.NamedTuple):
    """An order that waits: by class, then in the order of coming."""

    kind: int
    number: int
    incarnation: str
    granted: anyio.Event


class CommandWindow:
    """Lets orders go as fast as they are answered.

    :param clock: seconds on a steady clock.
    :param lag: how far behind this process's own event loop is.
    :param slow_floor_s: answers that take less are never taken for slow.
    :param at_least: how many orders may be on their way whatever happens.
    """

    def __init__(
        self,
        clock: t.Callable[[], float] = time.monotonic,
        lag: LoopLag | None = None,
        slow_floor_s: float = SLOW_FLOOR_S,
        at_least: int = AT_LEAST,
    ) -> None:
        self._slow_floor_s = slow_floor_s
        self._at_least = float(at_least)
        self._clock = clock
        self._lag = lag or LoopLag()
        self._size = float(AT_FIRST)
        self._under_way = 0
        self._numbers = itertools.count()
        self._waiting: list[_Waiting] = []
        # Orders on their way to each box, and those that wait for one of them to end.
        self._to_box: collections.Counter[str] = collections.Counter()
        self._held_up: dict[str, list[_Waiting]] = {}
        self._shortest_s: float | None = None
        self._shortest_at = 0.0
        self._shrunk_at = -1e9
        self._slow = False

    @property
    def size(self) -> int:
        """How many orders may be on their way."""
        return int(self._size)

    @property
    def waiting(self) -> int:
        """How many orders wait for their turn."""
        return len(self._waiting) + sum(map(len, self._held_up.values()))

    @property
    def room(self) -> int:
        """How many more orders should be given: those that will be sent soon. Orders that
        wait for one box alone do not count: it may be gone."""
        return max(0, AHEAD * self.size - len(self._waiting))

    @contextlib.asynccontextmanager
    async def turn(self, kind: int, incarnation: str) -> t.AsyncIterator["Turn"]:
        """Wait for a turn to send an order of a class to a box; it ends with the block."""
        entry = _Waiting(kind, next(self._numbers), incarnation, anyio.Event())
        heapq.heappush(self._waiting, entry)
        self._wake()
        try:
            await entry.granted.wait()
            yield Turn(self, self._clock())
        finally:
            if entry.granted.is_set():
                self._under_way -= 1
                self._to_box[incarnation] -= 1
            else:
                self._withdraw(entry)
            self._waiting_for(incarnation)
            self._wake()

    def release(self, incarnations: t.Collection[str]) -> None:
        """Let starts on these boxes have their turn now: they are not wanted any more, so
        nothing is sent, and their tasks need not wait to hear it."""
        for waiting in (self._waiting, *self._held_up.values()):
            for entry in [
                e for e in waiting if e.kind != FIRST and e.incarnation in incarnations
            ]:
                waiting.remove(entry)
                self._grant(entry)
        heapq.heapify(self._waiting)

    def _grant(self, entry: "_Waiting") -> None:
        self._under_way += 1
        self._to_box[entry.incarnation] += 1
        entry.granted.set()

    def _withdraw(self, entry: "_Waiting") -> None:
        if entry in self._waiting:
            self._waiting.remove(entry)
            heapq.heapify(self._waiting)
        elif entry in self._held_up.get(entry.incarnation, ()):
            self._held_up[entry.incarnation].remove(entry)

    def _waiting_for(self, incarnation: str) -> None:
        """Let the orders to a box take part again after one there has ended."""
        for entry in self._held_up.pop(incarnation, ()):
            heapq.heappush(self._waiting, entry)
        if not self._to_box[incarnation]:
            del self._to_box[incarnation]

    def _wake(self) -> None:
        while self._waiting and self._under_way < self.size:
            entry = heapq.heappop(self._waiting)
            if self._to_box[entry.incarnation] >= TO_ONE_BOX:
                self._held_up.setdefault(entry.incarnation, []).append(entry)
                continue
            self._grant(entry)

    def answered(self, took_s: float) -> None:
        """Take note of how long an answer took."""
        now = self._clock()
        if self._shortest_s is None:
            self._shortest_s, self._shortest_at = took_s, now
        grown = 1.0 + FORGET_PER_S * (now - self._shortest_at)
        if took_s < self._shortest_s * grown:
            self._shortest_s, self._shortest_at = took_s, now
        usual_s = SLOW_FACTOR * self._shortest_s + OWN_TURNS * self._lag.lag_s
        self._slow = took_s > max(self._slow_floor_s, usual_s)
        if self._slow:
            self._shrink(now)
        elif self._under_way >= self.size // 2:
            self._grow(1.0 / self._size)

    def unanswered(self) -> None:
        """Take note of an order without an answer. One box alone may be gone; if other
        answers were slow, it is the path."""
        if self._slow:
            self._shrink(self._clock())

    def _grow(self, by: float) -> None:
        self._size = min(float(AT_MOST), self._size + by)

    def _shrink(self, now: float) -> None:
        if now - self._shrunk_at >= SHRINK_EVERY_S:
            self._shrunk_at = now
            self._size = max(self._at_least, self._size * SHRINK)


class UnlimitedWindow(CommandWindow):
    """Baseline: all orders go at once."""

    @property
    def size(self) -> int:
        """More than there ever are."""
        return NO_LIMIT


class Turn:
    """One order on its way."""

    def __init__(self, window: CommandWindow, began: float) -> None:
        self._window = window
        self._began = began

    def ended(self, answered: bool, now: float) -> None:
        """Tell how it went."""
        if answered:
            self._window.answered(now - self._began)
        else:
            self._window.unanswered()
