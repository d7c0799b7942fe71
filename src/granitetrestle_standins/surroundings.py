"""Virtual time, draws and outside systems that one world of fakes shares; which
processes live in it is said by :class:`.fakes.World`."""

import abc
import heapq
import random
import typing as t

from granitetrestle import events as ev
from granitetrestle.messages import Message
from granitetrestle.records import Batch

from .fakebox import FakeBox
from .fakebox import Ledger
from .fakelog import FakeLog
from .fakelog import Faults

__all__ = ["Surroundings"]

Node = t.TypeVar("Node")


class Surroundings(abc.ABC, t.Generic[Node]):
    """What a process among fakes sees of its world."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.now = 1000.0
        self.faults = Faults()
        self.log = FakeLog()
        self.ledger = Ledger()
        self.nodes: dict[str, Node] = {}
        self.boxes: dict[str, FakeBox] = {}
        self.work_names: dict[str, str] = {}
        self.arrivals: dict[str, ev.RequestArrived] = {}
        self.served: list[tuple[float, str, str]] = []
        self._queue: list[tuple[float, int, t.Callable[[], None]]] = []
        self._order = 0

    @abc.abstractmethod
    def send(self, sender: Node, to: str, message: Message) -> None:
        """Carry a message between processes, perhaps."""

    @abc.abstractmethod
    def forward(
        self,
        sender: Node,
        peer: Node,
        original: ev.RequestArrived,
        effect: ev.Forward,
        failed: t.Callable[[bool], None],
    ) -> None:
        """Carry a request to a peer and its outcome back."""

    def later(self, delay: float, function: t.Callable[[], None]) -> None:
        """Run ``function`` after ``delay`` seconds of virtual time."""
        self._order += 1
        heapq.heappush(self._queue, (self.now + delay, self._order, function))

    def advance(self, seconds: float) -> None:
        """Let virtual time pass."""
        end = self.now + seconds
        while self._queue and self._queue[0][0] <= end:
            self.now, _, function = heapq.heappop(self._queue)
            for box in self.boxes.values():
                box.advance(self.now)
            function()
        self.now = end

    def advance_until(self, condition: t.Callable[[], bool], limit_s: float) -> float:
        """Let time pass until ``condition`` holds; returns the seconds it took.

        :raises TimeoutError: if it does not within ``limit_s``.
        """
        start = self.now
        while not condition():
            if self.now - start > limit_s:
                raise TimeoutError(f"not within {limit_s} s of virtual time")
            self.advance(0.05)
        return self.now - start

    def happens(self, share: float) -> bool:
        """Draw whether something with this probability happens."""
        return share > 0.0 and self.random.random() < share

    def delay(self) -> float:
        """Draw a network delay in seconds."""
        if self.happens(self.faults.late):
            return self.random.uniform(0.0, self.faults.late_s)
        return self.random.uniform(0.0005, 0.002)

    def log_delay(self) -> float:
        """Draw a delay of the log in seconds."""
        return self.random.uniform(0.002, 0.01) + self.faults.log_slow_s

    def service_s(self) -> float:
        """Draw how long an endpoint works on a request, in seconds."""
        return self.random.uniform(0.001, 0.02)

    def append(self, stream: str, batch: Batch) -> None:
        """Let an append take effect."""
        self.log.append(stream, batch, self.now)

    def listed(self, hall: str) -> tuple[ev.BoxInfo, ...]:
        """Return the platform's list of a hall."""
        return tuple(b.info for b in self.boxes.values() if b.info.hall == hall)

    def box_at(self, address: str) -> FakeBox:
        """Return the box with this address."""
        return self.boxes[address]
