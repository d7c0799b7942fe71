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

__all__ = ["BEST_EFFORT", "URGENT", "SHORT", "UnlimitedWindow", "CommandWindow"]

# Classes of orders: what frees room or protects others goes first, what fills last.
URGENT: t.Final = 0
SHORT: t.Final = 1
BEST_EFFORT: t.Final = 2
# Orders that may be on their way at first, at least and at most. The most is what one
# process's descriptors and the boxes' connections bear; it is far above what answers
# within 10 ms ever need.
INITIAL_WINDOW_SIZE: t.Final = 32
MIN_WINDOW_SIZE: t.Final = 4
MAX_WINDOW_SIZE: t.Final = 256
UNLIMITED_WINDOW_SIZE: t.Final = 1_000_000
# Orders that go to one box at a time. Each has a connection of its own; a box takes 64
# from everybody and drops what comes too fast, to be tried again only after a second.
MAX_COMMANDS_PER_BOX: t.Final = 4
# An answer that takes so many times the shortest of late has waited in a queue; answers
# below the floor are never taken for slow, since a box of a few tenths of a core answers
# in steps of some ms.
SLOW_ANSWER_FACTOR: t.Final = 5.0
MIN_SLOW_ANSWER_S: t.Final = 0.08
# Orders wait here at most for so many windows; further tasks keep their place in the
# decider's order of urgency, and the boxes chosen for them their room.
MAX_QUEUE_WINDOWS: t.Final = 2
# An order waits about so often for this process's own event loop. Without it a decider
# that is busy with many boxes takes its own delay for the link's, and tasks wait beside
# free room.
LOOP_LAG_FACTOR: t.Final = 4.0
# The window shrinks to this share, at most so often: once for each queue it caused.
SHRINK_FACTOR: t.Final = 0.7
MIN_SHRINK_INTERVAL_S: t.Final = 0.15
# The shortest time is forgotten slowly, as paths change.
SHORTEST_ANSWER_GROWTH_PER_S: t.Final = 0.02


class _QueuedCommand(t.NamedTuple):
    """An order that waits: by class, then in the order of coming."""

    priority: int
    sequence: int
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
        min_slow_answer_s: float = MIN_SLOW_ANSWER_S,
        min_size: int = MIN_WINDOW_SIZE,
    ) -> None:
        self._min_slow_answer_s = min_slow_answer_s
        self._min_size = float(min_size)
        self._clock = clock
        self._lag = lag or LoopLag()
        self._size = float(INITIAL_WINDOW_SIZE)
        self._in_flight = 0
        self._sequence = itertools.count()
        self._queue: list[_QueuedCommand] = []
        # Orders on their way to each box, and those that wait for one of them to end.
        self._in_flight_to_box: collections.Counter[str] = collections.Counter()
        self._held_for_box: dict[str, list[_QueuedCommand]] = {}
        self._shortest_answer_s: float | None = None
        self._shortest_answer_at = 0.0
        self._shrunk_at = -1e9
        self._last_answer_slow = False

    @property
    def size(self) -> int:
        """How many orders may be on their way."""
        return int(self._size)

    @property
    def waiting(self) -> int:
        """How many orders wait for their turn."""
        return len(self._queue) + sum(map(len, self._held_for_box.values()))

    @property
    def remaining_capacity(self) -> int:
        """How many more orders should be given: those that will be sent soon. Orders that
        wait for one box alone do not count: it may be gone."""
        return max(0, MAX_QUEUE_WINDOWS * self.size - len(self._queue))

    @contextlib.asynccontextmanager
    async def turn(self, priority: int, incarnation: str) -> t.AsyncIterator["Turn"]:
        """Wait for a turn to send an order of a class to a box; it ends with the block."""
        entry = _QueuedCommand(
            priority, next(self._sequence), incarnation, anyio.Event()
        )
        heapq.heappush(self._queue, entry)
        self._grant_turns()
        try:
            await entry.granted.wait()
            yield Turn(self, self._clock())
        finally:
            if entry.granted.is_set():
                self._in_flight -= 1
                self._in_flight_to_box[incarnation] -= 1
            else:
                self._withdraw(entry)
            self._requeue_for_box(incarnation)
            self._grant_turns()

    def release_starts(self, incarnations: t.Collection[str]) -> None:
        """Let starts on these boxes have their turn now: they are not wanted any more, so
        nothing is sent, and their tasks need not wait to hear it."""
        for waiting in (self._queue, *self._held_for_box.values()):
            for entry in [
                e
                for e in waiting
                if e.priority != URGENT and e.incarnation in incarnations
            ]:
                waiting.remove(entry)
                self._grant(entry)
        heapq.heapify(self._queue)

    def _grant(self, entry: "_Waiting") -> None:
        self._in_flight += 1
        self._in_flight_to_box[entry.incarnation] += 1
        entry.granted.set()

    def _withdraw(self, entry: "_Waiting") -> None:
        if entry in self._queue:
            self._queue.remove(entry)
            heapq.heapify(self._queue)
        elif entry in self._held_for_box.get(entry.incarnation, ()):
            self._held_for_box[entry.incarnation].remove(entry)

    def _requeue_for_box(self, incarnation: str) -> None:
        """Let the orders to a box take part again after one there has ended."""
        for entry in self._held_for_box.pop(incarnation, ()):
            heapq.heappush(self._queue, entry)
        if not self._in_flight_to_box[incarnation]:
            del self._in_flight_to_box[incarnation]

    def _grant_turns(self) -> None:
        while self._queue and self._in_flight < self.size:
            entry = heapq.heappop(self._queue)
            if self._in_flight_to_box[entry.incarnation] >= MAX_COMMANDS_PER_BOX:
                self._held_for_box.setdefault(entry.incarnation, []).append(entry)
                continue
            self._grant(entry)

    def record_answer(self, latency_s: float) -> None:
        """Take note of how long an answer took."""
        now = self._clock()
        if self._shortest_answer_s is None:
            self._shortest_answer_s, self._shortest_answer_at = latency_s, now
        grown = 1.0 + SHORTEST_ANSWER_GROWTH_PER_S * (now - self._shortest_answer_at)
        if latency_s < self._shortest_answer_s * grown:
            self._shortest_answer_s, self._shortest_answer_at = latency_s, now
        expected_s = (
            SLOW_ANSWER_FACTOR * self._shortest_answer_s
            + LOOP_LAG_FACTOR * self._lag.lag_s
        )
        self._last_answer_slow = latency_s > max(self._min_slow_answer_s, expected_s)
        if self._last_answer_slow:
            self._shrink(now)
        elif self._in_flight >= self.size // 2:
            self._grow(1.0 / self._size)

    def record_no_answer(self) -> None:
        """Take note of an order without an answer. One box alone may be gone; if other
        answers were slow, it is the path."""
        if self._last_answer_slow:
            self._shrink(self._clock())

    def _grow(self, by: float) -> None:
        self._size = min(float(MAX_WINDOW_SIZE), self._size + by)

    def _shrink(self, now: float) -> None:
        if now - self._shrunk_at >= MIN_SHRINK_INTERVAL_S:
            self._shrunk_at = now
            self._size = max(self._min_size, self._size * SHRINK_FACTOR)


class UnlimitedWindow(CommandWindow):
    """Baseline: all orders go at once."""

    @property
    def size(self) -> int:
        """More than there ever are."""
        return UNLIMITED_WINDOW_SIZE


class Turn:
    """One order on its way."""

    def __init__(self, window: CommandWindow, started_at: float) -> None:
        self._window = window
        self._started_at = started_at

    def finish(self, answered: bool, now: float) -> None:
        """Tell how it went."""
        if answered:
            self._window.record_answer(now - self._started_at)
        else:
            self._window.record_no_answer()
