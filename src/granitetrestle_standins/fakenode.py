"""One reducer among the fakes: its timers, its reads and appends, its exchanges with
fake boxes, and the invariants that are asserted on the way."""

import collections
import functools
import typing as t

from granitetrestle import events as ev
from granitetrestle.errors import InvariantViolated
from granitetrestle.outcomes import Outcome
from granitetrestle.records import Batch
from granitetrestle.records import LogRecord
from granitetrestle.reducer import CONFIG_STREAM
from granitetrestle.reducer import Reducer
from granitetrestle.reducer import Setup
from granitetrestle.reducer import hall_stream
from granitetrestle.snapshot import SnapshotAssembler
from granitetrestle.snapshot import snapshot_stream

from .fakelog import Writer
from .surroundings import Surroundings

__all__ = ["FakeNode"]

TICK_S = 0.1
READ_S = 0.05
LIST_S = 2.0
EXCHANGE_TIMEOUT_S = 2.0
APPEND_TIMEOUT_S = 1.0


class FakeNode:
    """A reducer with fake adapters.

    :param offset_s: its monotonic clock minus the world's time.
    :param skew: its wall clock minus the world's time.
    """

    def __init__(
        self, world: "Surroundings[FakeNode]", setup: Setup, skew: float
    ) -> None:
        self.world = world
        self.setup = setup
        self.reducer = Reducer(setup)
        self.offset_s = world.random.uniform(0, 1000)
        self.skew = skew
        self.alive = True
        self.frozen_until = 0.0
        self.cut_from_log = False
        self.cut_from: set[str] = set()
        self.writers = {
            CONFIG_STREAM: Writer(),
            hall_stream(setup.hall): Writer(),
        }
        self.offsets = dict.fromkeys(self.writers, 1)
        for stream in list(self.writers):
            self.writers[snapshot_stream(stream)] = Writer()
        self.outcomes: dict[str, Outcome] = {}
        self.callbacks: dict[str, t.Callable[[Outcome], None]] = {}
        self.notes: collections.Counter[str] = collections.Counter()

    @property
    def name(self) -> str:
        """The node's name."""
        return self.setup.node

    @property
    def mono(self) -> float:
        """This process's monotonic clock."""
        return self.world.now + self.offset_s

    @property
    def wall(self) -> float:
        """This process's wall clock."""
        return self.world.now + self.skew

    def start(self) -> None:
        """Begin to tick and to read."""
        self.world.later(0.0, self._tick)
        self.world.later(0.0, self._read_list)
        for stream in self.offsets:
            self.world.later(0.0, functools.partial(self._restore, stream))

    def run(self, function: t.Callable[[], None]) -> None:
        """Run in this process: now, after a freeze, or never if it is dead."""
        if not self.alive:
            return
        if self.world.now < self.frozen_until:
            delay = self.frozen_until - self.world.now
            self.world.later(delay, lambda: self.run(function))
            return
        function()

    def step(self, event: ev.Event) -> None:
        """Apply an event and carry out its effects."""
        for effect in self.reducer.step(event):
            self._carry_out(effect)

    def _tick(self) -> None:
        def tick() -> None:
            self.step(ev.Tick(self.mono, self.wall))
            self.world.later(TICK_S, self._tick)

        self.run(tick)

    def _read_list(self) -> None:
        def read() -> None:
            if not self._log_unreachable():
                boxes = self.world.listed(self.setup.hall)
                self.step(ev.BoxListRead(self.mono, boxes))
            self.world.later(LIST_S, self._read_list)

        self.run(read)

    def _log_unreachable(self) -> bool:
        return self.world.faults.log_down or self.cut_from_log

    def _restore(self, stream: str) -> None:
        """Take up the newest snapshot, as the engine does at a start or a gap."""

        def restore() -> None:
            if self._log_unreachable():
                self.world.later(READ_S, lambda: self._restore(stream))
                return
            self.world.later(READ_S, lambda: self._read(stream))
            assembly = SnapshotAssembler()
            source = snapshot_stream(stream)
            offset = self.world.log.first(source)
            while records := self.world.log.read(source, offset):
                assembly.add(records)
                offset = records[-1].offset + 1
            if assembly.newest is None:
                return
            upto, payload = assembly.newest
            self.step(ev.SnapshotRead(self.mono, stream, upto, payload))
            self.offsets[stream] = self.reducer.offsets.get(stream, 1)

        self.run(restore)

    def _read(self, stream: str) -> None:
        def ask() -> None:
            if self._log_unreachable():
                self.world.later(READ_S, lambda: self._read(stream))
                return
            if self.offsets[stream] < self.world.log.first(stream):
                self._restore(stream)
                return
            self.world.later(READ_S, lambda: self._read(stream))
            records = self.world.log.read(stream, self.offsets[stream])
            upto = self.offsets[stream] + len(records)
            tail = upto >= self.world.log.next(stream)
            delay = self.world.log_delay()
            self.world.later(delay, lambda: self.run(lambda: take(records, upto, tail)))

        def take(records: tuple[LogRecord, ...], upto: int, tail: bool) -> None:
            if upto - len(records) != self.offsets[stream]:
                return
            self.offsets[stream] = upto
            self.step(ev.LogRead(self.mono, stream, records, upto, tail))
            self._settle(stream, records)

        self.run(ask)

    def _settle(self, stream: str, records: tuple[LogRecord, ...]) -> None:
        writer = self.writers[stream]
        for record in records:
            if writer.sending is not None and record.batch == writer.sending:
                writer.sending = None
                self._flush(stream)

    def _carry_out(self, effect: ev.Effect) -> None:
        match effect:
            case ev.AppendFacts():
                self._append(effect)
            case ev.SendPeer():
                self.world.send(self, effect.node, effect.message)
            case ev.CommandBox():
                # The process may be frozen between the decision and the send.
                self.world.later(0.001, lambda: self.run(lambda: self._command(effect)))
            case ev.Conclude():
                self._conclude(effect)
            case ev.Dispatch():
                self.world.later(0.0, lambda: self.run(lambda: self._call(effect)))
            case ev.Forward():
                self.world.later(0.0, lambda: self.run(lambda: self._forward(effect)))
            case ev.Withdraw():
                waiting = self.writers[effect.stream].waiting
                unsent = waiting.pop(effect.request, None) is not None
                self.step(ev.FactsWithdrawn(self.mono, effect.request, unsent))
            case ev.LogEvent():
                self.notes[effect.event] += 1

    def _conclude(self, effect: ev.Conclude) -> None:
        if effect.request in self.outcomes:
            raise InvariantViolated(f"{effect.request} has two outcomes")
        self.outcomes[effect.request] = effect.outcome
        callback = self.callbacks.pop(effect.request, None)
        if callback is not None:
            callback(effect.outcome)

    def _append(self, effect: ev.AppendFacts) -> None:
        writer = self.writers[effect.stream]
        writer.unnamed += 1
        name = effect.request or f"#{writer.unnamed}"
        if name in writer.waiting and not effect.latest_only:
            name = f"{name}#{writer.unnamed}"
        writer.waiting[name] = effect.facts
        self._flush(effect.stream)

    def _flush(self, stream: str) -> None:
        writer = self.writers[stream]
        if writer.sending is not None or not writer.waiting:
            return
        writer.seq += 1
        if stream in self.offsets:
            facts = tuple(f for some in writer.waiting.values() for f in some)
            writer.waiting.clear()
        else:
            _, facts = writer.waiting.popitem(last=False)
        writer.sending = Batch(self.setup.incarnation, writer.seq, facts)
        self._try_append(stream, writer.sending)

    def _try_append(self, stream: str, batch: Batch) -> None:
        writer = self.writers[stream]
        if writer.sending is not batch:
            return
        world = self.world
        if not self._log_unreachable():
            if world.happens(world.faults.late):
                world.later(world.faults.late_s, lambda: world.append(stream, batch))
            else:
                delay = world.log_delay()
                world.later(delay, lambda: world.append(stream, batch))
                if not world.happens(world.faults.lost_answers):
                    done = delay + world.log_delay()
                    world.later(done, lambda: self.run(answered))

        def answered() -> None:
            if writer.sending is batch:
                writer.sending = None
                self._flush(stream)

        # Not read back in time: the same batch again, under the same id.
        world.later(
            APPEND_TIMEOUT_S, lambda: self.run(lambda: self._try_append(stream, batch))
        )

    def _command(self, effect: ev.CommandBox) -> None:
        world = self.world
        box = world.boxes[effect.box]
        sent_wall = self.wall
        state = {"done": False}

        def fail(unsent: bool) -> None:
            if not state["done"]:
                state["done"] = True
                event = ev.BoxFailed(
                    self.mono,
                    self.wall,
                    effect.box,
                    sent_wall,
                    effect.commands,
                    unsent,
                )
                self.step(event)

        def answer(results: tuple[ev.CommandResult, ...], report: ev.BoxReport) -> None:
            if not state["done"]:
                state["done"] = True
                event = ev.BoxAnswered(
                    self.mono, self.wall, effect.box, sent_wall, results, report
                )
                self.step(event)

        def arrive() -> None:
            if box.down:
                return
            results, report = box.exchange(effect.commands, world.now)
            if world.happens(world.faults.lost):
                return
            world.later(
                world.delay(), lambda: self.run(lambda: answer(results, report))
            )

        if effect.box in self.cut_from or box.down:
            fail(unsent=effect.box in self.cut_from)
            return
        world.later(EXCHANGE_TIMEOUT_S, lambda: self.run(lambda: fail(unsent=False)))
        if world.happens(world.faults.lost):
            return
        world.later(world.delay(), arrive)
        if world.happens(world.faults.doubled):
            world.later(world.delay() + world.faults.late_s, arrive)

    def call(self, event: ev.RequestArrived) -> None:
        """Let a caller's request arrive here."""
        self.step(event)

    def _call(self, effect: ev.Dispatch) -> None:
        world = self.world
        box = world.box_at(effect.address)
        name = world.work_names.get(effect.request, effect.request)
        state = {"done": False, "live": False}

        def let_go() -> None:
            if state["live"]:
                state["live"] = False
                box.give_up_request(effect.endpoint)

        def fail(may_have_run: bool) -> None:
            if not state["done"]:
                state["done"] = True
                let_go()
                proof = ev.Proof(may_have_run, "fake")
                self.step(
                    ev.AnswerFailed(self.mono, effect.request, effect.serial, proof)
                )

        def answer() -> None:
            if not state["done"]:
                state["done"] = True
                self.step(ev.AnswerArrived(self.mono, effect.request, effect.serial))

        def arrive() -> None:
            if box.down:
                return
            box.advance(world.now)
            given_up = state["done"]
            if not box.begin_request(effect.endpoint, name, given_up):
                world.later(world.delay(), lambda: self.run(lambda: fail(False)))
                return
            state["live"] = not given_up
            world.served.append((world.now, effect.endpoint, box.info.box))
            world.later(world.service_s(), done)
            if world.happens(world.faults.broken):
                world.later(world.delay(), lambda: self.run(lambda: fail(True)))

        def done() -> None:
            let_go()
            box.end_request(effect.endpoint)
            if not world.happens(world.faults.lost):
                world.later(world.delay(), lambda: self.run(answer))

        if box.info.box in self.cut_from:
            fail(may_have_run=False)
            return
        left = max(0.0, effect.deadline - self.mono)
        world.later(left, lambda: self.run(lambda: fail(may_have_run=True)))
        if not world.happens(world.faults.lost):
            world.later(world.delay(), arrive)

    def _forward(self, effect: ev.Forward) -> None:
        world = self.world
        peer = world.nodes.get(effect.node)

        def failed(may_have_run: bool) -> None:
            proof = ev.Proof(may_have_run, "fake")
            event = ev.AnswerFailed(self.mono, effect.request, effect.serial, proof)
            self.run(lambda: self.step(event._replace(now=self.mono)))

        if peer is None or not peer.alive or effect.node in self.cut_from:
            failed(may_have_run=False)
            return
        original = world.arrivals[effect.request]
        world.forward(self, peer, original, effect, failed)
