"""Small rigs for measuring parts of the product in this process."""

import gc
import resource
import statistics
import time
import typing as t

from granitetrestle import events as ev
from granitetrestle.records import Batch
from granitetrestle.records import Fact
from granitetrestle.records import JobSpec
from granitetrestle.records import JobSubmitted
from granitetrestle.records import LogRecord
from granitetrestle.reducer import CONFIG_STREAM
from granitetrestle.reducer import Reducer
from granitetrestle.reducer import Setup

__all__ = ["OwnerRig", "Spread", "cpu_of", "measure", "resident_mb"]

REPEATS = 5


class Spread(t.NamedTuple):
    """Median and range of repeated measurements."""

    low: float
    median: float
    high: float


def measure(function: t.Callable[[], float], repeats: int = REPEATS) -> Spread:
    """Call a measurement several times."""
    values = sorted(function() for _ in range(repeats))
    return Spread(values[0], statistics.median(values), values[-1])


def cpu_of(function: t.Callable[[], object]) -> float:
    """Return the processor time (s) that a call takes, collector off."""
    gc.collect()
    gc.disable()
    started = time.process_time()
    function()
    elapsed = time.process_time() - started
    gc.enable()
    return elapsed


def resident_mb() -> float:
    """Return the resident memory of this process in MB."""
    with open("/proc/self/statm", encoding="ascii") as statm:
        pages = int(statm.read().split()[1])
    return pages * resource.getpagesize() / 1e6


class OwnerRig:
    """One reducer that owns its hall's only shard, fed by hand.

    :param boxes: boxes of the shard.
    :param cores: cores of each box.
    :param others: other processes of the hall, which only the settings name.
    """

    def __init__(self, boxes: int, cores: float = 24.0, others: int = 0) -> None:
        self.now = 1000.0
        self.offset = 0
        self._seq = 0
        nodes = tuple(f"n{i}" for i in range(others + 1))
        setup = Setup("n0", "n0~1", "hall", {"hall": nodes})
        self.reducer = Reducer(setup)
        self.infos = tuple(
            ev.BoxInfo(
                f"b{i}", "hall", f"r{i % 40}", "a", "e", False, cores, 125.0, 0, 8
            )
            for i in range(boxes)
        )
        self._running: dict[str, dict[str, ev.TaskReport]] = {}
        self._commands: list[ev.CommandBox] = []
        self.read(CONFIG_STREAM, ())
        self.read("hall-hall", ())
        self.step(ev.BoxListRead(self.now, self.infos))
        for _ in range(40):
            self.pass_time(0.1)

    def step(self, event: ev.Event) -> None:
        """Apply an event; what it appends is read back at once."""
        effects = self.reducer.step(event)
        facts: list[Fact] = []
        for effect in effects:
            if isinstance(effect, ev.AppendFacts) and effect.stream == "hall-hall":
                facts += effect.facts
            elif isinstance(effect, ev.CommandBox):
                self._commands.append(effect)
        if facts:
            self.read("hall-hall", tuple(facts))

    def read(self, stream: str, facts: tuple[Fact, ...]) -> None:
        """Let facts be read from a stream, as one record."""
        records: tuple[LogRecord, ...] = ()
        if facts:
            self._seq += 1
            self.offset += 1
            batch = Batch("w", self._seq, facts)
            records = (LogRecord(self.offset, self.now, batch),)
        event = ev.LogRead(self.now, stream, records, self.offset + 1, True)
        self.step(event)

    def pass_time(self, seconds: float, answer: bool = True) -> None:
        """Let time pass by one tick, and boxes answer."""
        self.now += seconds
        self.step(ev.Tick(self.now, self.now))
        self.read("hall-hall", ())
        if answer:
            self.answer()

    def answer(self) -> None:
        """Let every box answer its exchange."""
        commands, self._commands = self._commands, []
        for exchange in commands:
            self.step(self.answer_of(exchange))

    def answer_of(self, exchange: ev.CommandBox) -> ev.BoxAnswered:
        """Return the answer of one box that obeys everything."""
        running = self._running.setdefault(exchange.box, {})
        for command in exchange.commands:
            if command.op == "start":
                running[command.task] = ev.TaskReport(
                    command.task, command.attempt, command.epoch, "running"
                )
            elif command.op in ("stop", "forget"):
                running.pop(command.task, None)
        report = ev.BoxReport(tuple(running.values()))
        return ev.BoxAnswered(self.now, self.now, exchange.box, self.now, (), report)

    def take_commands(self) -> list[ev.CommandBox]:
        """Return the exchanges that wait for their answer."""
        commands, self._commands = self._commands, []
        return commands

    def submit(self, jobs: int, tasks: int, spec: JobSpec, accounts: int = 20) -> None:
        """Let jobs be read from the log."""
        facts = tuple(
            JobSubmitted(
                f"r{self._seq}.{i}",
                f"hall.{self._seq:06x}{i:06x}",
                f"acc{i % accounts}",
                JobSpec(
                    spec.kind,
                    spec.cores,
                    spec.memory_gb,
                    tasks=tasks,
                    run_s=spec.run_s,
                    service=spec.service,
                ),
                0,
            )
            for i in range(jobs)
        )
        self.read("hall-hall", facts)
