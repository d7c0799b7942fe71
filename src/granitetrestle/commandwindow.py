"""Congestion window for commands to boxes: limits how many are in flight at once.

A burst of wide jobs fills the queue of a small link: commands then time out before they
have left, are sent again, and the link carries little else. So commands queue here
instead, the urgent ones first, and the window follows the latency of answers. Each path
has a window of its own; see :mod:`.commandpaths`.
"""

import collections
import contextlib
import heapq
import itertools
import time
import typing as t

import anyio

from .looplag import LoopLag

__all__ = [
    "BEST_EFFORT",
    "URGENT",
    "SHORT",
    "CommandSlots",
    "CommandWindow",
    "UnlimitedWindow",
]

# Priorities, the lowest value first. URGENT commands free capacity or protect other
# tasks: stops and changes of pace.
URGENT: t.Final = 0
SHORT: t.Final = 1
BEST_EFFORT: t.Final = 2
# Commands in flight. The maximum holds for all windows of a leader together; it is what
# one process's descriptors and the boxes' connections allow.
INITIAL_WINDOW_SIZE: t.Final = 32
MIN_WINDOW_SIZE: t.Final = 4
MAX_WINDOW_SIZE: t.Final = 256
UNLIMITED_WINDOW_SIZE: t.Final = 1_000_000
# In flight to one box. Each command has its own connection; a box accepts 64 from all
# callers and drops connections that come too fast, which are retried only after 1 s.
MAX_COMMANDS_PER_BOX: t.Final = 4
# An answer that takes this many times the shortest recent one has waited in a queue.
# Answers below the minimum never count as slow, since a box with a few tenths of a core
# answers in steps of some ms.
SLOW_ANSWER_FACTOR: t.Final = 5.0
MIN_SLOW_ANSWER_S: t.Final = 0.08
# Maximum length of the queue, in windows. Further tasks stay with the scheduler, which
# may still reorder them and has reserved no capacity on boxes for them.
MAX_QUEUE_WINDOWS: t.Final = 2
# A command waits about this many times for the event loop of this process. Without this
# term a leader that is busy with many boxes takes its own delay for the link's, and
# tasks wait although boxes are free.
LOOP_LAG_FACTOR: t.Final = 4.0
# The interval makes the window shrink once, not repeatedly, for each queue it caused.
SHRINK_FACTOR: t.Final = 0.7
MIN_SHRINK_INTERVAL_S: t.Final = 0.15
# The shortest latency ages slowly, since network paths change.
SHORTEST_ANSWER_GROWTH_PER_S: t.Final = 0.02


class _QueuedCommand(t.NamedTuple):
    """A command that waits, ordered by priority, then by arrival."""

    priority: int
    sequence: int
    incarnation: str
    granted: anyio.Event


class CommandSlots:
    """The commands that all windows of a leader together may have in flight.

    :param limit: how many these are.
    """

    def __init__(self, limit: int = MAX_WINDOW_SIZE) -> None:
        self._limit = limit
        self._windows: list[CommandWindow] = []

    def add(self, window: "CommandWindow") -> None:
        """Add a window."""
        self._windows.append(window)

    def grant_turns(self) -> None:
        """Grant turns while there are slots: to the most urgent command, and among
        equals to the window with the fewest in flight."""
        free = self._limit - sum(window.in_flight for window in self._windows)
        while free > 0:
            best: tuple[int, int, CommandWindow] | None = None
            for window in self._windows:
                priority = window.next_priority()
                if priority is None:
                    continue
                if best is None or (priority, window.in_flight) < best[:2]:
                    best = (priority, window.in_flight, window)
            if best is None:
                return
            best[2].grant_next()
            free -= 1


class _ShortestAnswer:
    """The shortest recent latency of one data hall's answers, in seconds."""

    __slots__ = ("_at", "_latency_s")

    def __init__(self, latency_s: float, now: float) -> None:
        self._latency_s, self._at = latency_s, now

    def update(self, latency_s: float, now: float) -> float:
        """Record an answer, and return the shortest latency."""
        grown = 1.0 + SHORTEST_ANSWER_GROWTH_PER_S * (now - self._at)
        if latency_s < self._latency_s * grown:
            self._latency_s, self._at = latency_s, now
        return self._latency_s


class CommandWindow:
    """Lets commands go as fast as they are answered.

    :param clock: monotonic clock, in seconds.
    :param lag: lag of this process's event loop.
    :param min_slow_answer_s: answers that take less never count as slow.
    :param min_size: minimum size of the window.
    :param slots: shared with the other windows of a leader.
    """

    def __init__(
        self,
        clock: t.Callable[[], float] = time.monotonic,
        lag: LoopLag | None = None,
        min_slow_answer_s: float = MIN_SLOW_ANSWER_S,
        min_size: int = MIN_WINDOW_SIZE,
        slots: CommandSlots | None = None,
    ) -> None:
        self._slots = slots or CommandSlots()
        self._slots.add(self)
        self._min_slow_answer_s = min_slow_answer_s
        self._min_size = float(min_size)
        self._clock = clock
        self._lag = lag or LoopLag()
        self._size = float(INITIAL_WINDOW_SIZE)
        self._in_flight = 0
        self._sequence = itertools.count()
        self._queue: list[_QueuedCommand] = []
        # Commands in flight to each box, and those that wait for one of them to end.
        self._in_flight_to_box: collections.Counter[str] = collections.Counter()
        self._held_for_box: dict[str, list[_QueuedCommand]] = {}
        # By data hall.
        self._shortest_answers: dict[str, _ShortestAnswer] = {}
        self._shrunk_at = -1e9
        self._last_answer_slow = False

    @property
    def size(self) -> int:
        """How many commands may be in flight."""
        return int(self._size)

    @property
    def in_flight(self) -> int:
        """How many commands are in flight."""
        return self._in_flight

    @property
    def waiting(self) -> int:
        """How many commands wait for their turn."""
        return len(self._queue) + sum(map(len, self._held_for_box.values()))

    @property
    def remaining_capacity(self) -> int:
        """How many more commands the queue takes, so that all are sent soon. Commands
        that wait for a single box don't count: it may be gone."""
        return max(0, MAX_QUEUE_WINDOWS * self.size - len(self._queue))

    @contextlib.asynccontextmanager
    async def turn(
        self, priority: int, incarnation: str, hall: str = ""
    ) -> t.AsyncIterator["Turn"]:
        """Wait for a turn to send a command to a box; it ends with the block.

        :param hall: data hall of the box.
        """
        entry = _QueuedCommand(
            priority, next(self._sequence), incarnation, anyio.Event()
        )
        heapq.heappush(self._queue, entry)
        self._slots.grant_turns()
        try:
            await entry.granted.wait()
            yield Turn(self, hall, self._clock())
        finally:
            if entry.granted.is_set():
                self._in_flight -= 1
                self._in_flight_to_box[incarnation] -= 1
            else:
                self._withdraw(entry)
            self._requeue_for_box(incarnation)
            self._slots.grant_turns()

    def release_starts(self, incarnations: t.Collection[str]) -> None:
        """Grant a turn at once to all queued starts on these boxes. They have been
        withdrawn: nothing is sent, and their tasks needn't wait to be placed again."""
        for waiting in (self._queue, *self._held_for_box.values()):
            for entry in [
                e
                for e in waiting
                if e.priority != URGENT and e.incarnation in incarnations
            ]:
                waiting.remove(entry)
                self._grant(entry)
        heapq.heapify(self._queue)

    def _grant(self, entry: "_QueuedCommand") -> None:
        self._in_flight += 1
        self._in_flight_to_box[entry.incarnation] += 1
        entry.granted.set()

    def _withdraw(self, entry: "_QueuedCommand") -> None:
        if entry in self._queue:
            self._queue.remove(entry)
            heapq.heapify(self._queue)
        elif entry in self._held_for_box.get(entry.incarnation, ()):
            self._held_for_box[entry.incarnation].remove(entry)

    def _requeue_for_box(self, incarnation: str) -> None:
        """Queue a box's held commands again after one to it has ended."""
        for entry in self._held_for_box.pop(incarnation, ()):
            heapq.heappush(self._queue, entry)
        if not self._in_flight_to_box[incarnation]:
            del self._in_flight_to_box[incarnation]

    def next_priority(self) -> int | None:
        """Return the priority of the command that may go next, or ``None``."""
        while self._queue and self._in_flight < self.size:
            entry = self._queue[0]
            if self._in_flight_to_box[entry.incarnation] >= MAX_COMMANDS_PER_BOX:
                heapq.heappop(self._queue)
                self._held_for_box.setdefault(entry.incarnation, []).append(entry)
                continue
            return entry.priority
        return None

    def grant_next(self) -> None:
        """Grant a turn to the command that :meth:`next_priority` is about."""
        self._grant(heapq.heappop(self._queue))

    def record_answer(self, latency_s: float, hall: str = "") -> None:
        """Adapt the window to the latency of an answer from a data hall."""
        now = self._clock()
        shortest = self._shortest_answers.setdefault(
            hall, _ShortestAnswer(latency_s, now)
        )
        expected_s = (
            SLOW_ANSWER_FACTOR * shortest.update(latency_s, now)
            + LOOP_LAG_FACTOR * self._lag.lag_s
        )
        self._last_answer_slow = latency_s > max(self._min_slow_answer_s, expected_s)
        if self._last_answer_slow:
            self._shrink(now)
        elif self._in_flight >= self.size // 2:
            self._grow(1.0 / self._size)

    def record_no_answer(self) -> None:
        """Adapt the window to a command without an answer. That box alone may be gone;
        only if the last answer was slow too is the link overloaded."""
        if self._last_answer_slow:
            self._shrink(self._clock())

    def _grow(self, by: float) -> None:
        self._size = min(float(MAX_WINDOW_SIZE), self._size + by)

    def _shrink(self, now: float) -> None:
        if now - self._shrunk_at >= MIN_SHRINK_INTERVAL_S:
            self._shrunk_at = now
            self._size = max(self._min_size, self._size * SHRINK_FACTOR)


class UnlimitedWindow(CommandWindow):
    """Baseline for comparison: all commands go at once."""

    def __init__(self) -> None:
        super().__init__(slots=CommandSlots(UNLIMITED_WINDOW_SIZE))

    @property
    def size(self) -> int:
        """More commands than there ever are."""
        return UNLIMITED_WINDOW_SIZE


class Turn:
    """One command in flight."""

    def __init__(self, window: CommandWindow, hall: str, started_at: float) -> None:
        self._window = window
        self._hall = hall
        self._started_at = started_at

    def finish(self, answered: bool, now: float) -> None:
        """Record whether the command was answered."""
        if answered:
            self._window.record_answer(now - self._started_at, self._hall)
        else:
            self._window.record_no_answer()
