"""Small fakes at the reducer's interfaces, in virtual time: a log, boxes, and a
network that loses, delays, doubles and crosses what it carries. Several reducers
run among them, so that tests can bring about any order of faults from a seed."""

import collections
import typing as t

from granitetrestle import events as ev
from granitetrestle.messages import Message
from granitetrestle.outcomes import Outcome
from granitetrestle.reducer import Setup

from .fakebox import FakeBox
from .fakelog import FakeLog
from .fakelog import Faults
from .fakenode import FakeNode
from .surroundings import Surroundings

__all__ = ["FakeLog", "FakeNode", "Faults", "World"]

SKEW_S = 0.1


class World(Surroundings[FakeNode]):
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
        super().__init__(seed)
        self.retired: list[FakeNode] = []
        self.called: dict[str, FakeNode] = {}
        self._incarnations: collections.Counter[str] = collections.Counter()
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
        self._incarnations[node] += 1
        setup = Setup(
            node=node,
            incarnation=f"{node}~{self._incarnations[node]}",
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
