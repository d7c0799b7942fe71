"""Small fakes at the reducer's interfaces, in virtual time: a log, boxes, and a
network that loses, delays, doubles and crosses what it carries. Several reducers
run among them, so that tests can bring about any order of faults from a seed."""

import collections
import heapq
import random
import typing as t

from granitetrestle import events as ev
from granitetrestle.messages import Message
from granitetrestle.outcomes import Outcome
from granitetrestle.records import Batch
from granitetrestle.reducer import Setup

from .fakebox import FakeBox
from .fakebox import Ledger
from .fakelog import FakeLog
from .fakelog import Faults
from .fakenode import FakeNode

__all__ = ["FakeLog", "FakeNode", "Faults", "World"]

SKEW_S = 0.1


class World:
    """Everything outside the reducers.

    :param seed: decides every random choice.
    """

    def __init__(
        self,
        seed: int,
        halls: t.Mapping[str, int],
        boxes: int,
        shards: int = 1,
        cores: float = 8.0,
        slots: int = 4,
        snapshot_records: int = 2000,
    ) -> None:
        self.random = random.Random(seed)
        self.now = 1000.0
        self.faults = Faults()
        self.log = FakeLog()
        self.ledger = Ledger()
        self.nodes: dict[str, FakeNode] = {}
        self.retired: list[FakeNode] = []
        self.boxes: dict[str, FakeBox] = {}
        self.work_names: dict[str, str] = {}
        self.arrivals: dict[str, ev.RequestArrived] = {}
        self.called: dict[str, FakeNode] = {}
        self.served: list[tuple[float, str, str]] = []
        self._queue: list[tuple[float, int, t.Callable[[], None]]] = []
        self._order = 0
        self._lives: collections.Counter[str] = collections.Counter()
        self._halls = {
            hall: tuple(f"{hall}-{i}" for i in range(1, count + 1))
            for hall, count in halls.items()
        }
        self._shards = shards
        self._snapshot_records = snapshot_records
        for hall in halls:
            for number in range(1, boxes + 1):
                self._add_box(hall, number, cores, slots)
        for hall, nodes in self._halls.items():
            for node in nodes:
                self.start_node(hall, node)

    def _add_box(self, hall: str, number: int, cores: float, slots: int) -> None:
        name = f"{hall}-w{number}"
        rack = f"{hall}-r{number % 2}"
        info = ev.BoxInfo(
            name, hall, rack, name, name, False, cores, 4 * cores, 0, slots
        )
        skew = self.random.uniform(-SKEW_S, SKEW_S)
        self.boxes[name] = FakeBox(info, self.ledger, skew)

    def start_node(self, hall: str, node: str) -> FakeNode:
        """Start a process, also in place of one that ended."""
        self._lives[node] += 1
        setup = Setup(
            node=node,
            incarnation=f"{node}~{self._lives[node]}",
            hall=hall,
            halls=self._halls,
            shards=self._shards,
            snapshot_records=self._snapshot_records,
        )
        skew = self.random.uniform(-SKEW_S, SKEW_S)
        fake = FakeNode(self, setup, skew)
        self.nodes[node] = fake
        fake.start()
        return fake

    def kill(self, node: str) -> None:
        """End a process at once."""
        self.nodes[node].alive = False
        self.retired.append(self.nodes[node])

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

    def send(self, sender: FakeNode, to: str, message: Message) -> None:
        """Carry a message between processes, perhaps."""
        copies = 0 if self.happens(self.faults.lost) else 1
        copies += self.happens(self.faults.doubled)
        for _ in range(copies):
            self.later(self.delay(), lambda: self._deliver(sender, to, message))

    def _deliver(self, sender: FakeNode, to: str, message: Message) -> None:
        target = self.nodes.get(to)
        cut = to in sender.cut_from or (target and sender.name in target.cut_from)
        if target is None or (cut and to != sender.name):
            return
        target.run(
            lambda: target.step(
                ev.PeerMessage(
                    target.mono,
                    target.wall,
                    sender.name,
                    sender.setup.incarnation,
                    message,
                )
            )
        )

    def request(
        self, node: str, account: str, service: str, key: str = "", **more: t.Any
    ) -> str:
        """Let a request arrive at a process; returns its id."""
        fake = self.nodes[node]
        name = f"q{len(self.called)}"
        self.called[name] = fake
        self.work_names[name] = key or name

        def arrive() -> None:
            # A process that is frozen takes it from its backlog when it wakes.
            event = ev.RequestArrived(
                fake.mono, fake.wall, name, account, service, fake.mono + 2.0, key=key
            )
            event = event._replace(**more)
            self.arrivals[name] = event
            fake.step(event)

        fake.run(arrive)
        return name

    def forward(
        self,
        sender: FakeNode,
        peer: FakeNode,
        original: ev.RequestArrived,
        effect: ev.Forward,
        failed: t.Callable[[bool], None],
    ) -> None:
        """Carry a request to a peer and its outcome back."""
        left = max(0.0, effect.deadline - sender.mono)
        state = {"done": False}

        sent_mono = sender.mono

        def arrive() -> None:
            name = f"{effect.request}:{effect.serial}"
            self.work_names[name] = self.work_names[effect.request]
            event = original._replace(
                request=name,
                now=peer.mono,
                wall=peer.wall,
                deadline=peer.mono + effect.peer_deadline - sent_mono,
                hops=effect.hops,
                key_granted=effect.key_granted,
            )
            self.arrivals[name] = event
            peer.callbacks[name] = lambda outcome: self.later(
                self.delay(), lambda: back(outcome)
            )
            peer.step(event)

        def back(outcome: Outcome) -> None:
            if state["done"]:
                return
            state["done"] = True
            kind = type(outcome).__name__
            if kind != "Answered":
                failed(kind == "Unknown")
                return
            sender.run(
                lambda: sender.step(
                    ev.AnswerArrived(sender.mono, effect.request, effect.serial)
                )
            )

        def time_out() -> None:
            if not state["done"]:
                state["done"] = True
                failed(True)

        self.later(left, time_out)
        if not self.happens(self.faults.lost):
            self.later(self.delay(), lambda: peer.run(arrive))
