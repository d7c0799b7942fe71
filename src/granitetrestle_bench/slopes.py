"""``make slopes``: the slopes that docs/CAPACITY.md is worked out from, each
measured at three sizes or more, with its spread, on one core."""

import json
import pathlib
import statistics
import subprocess
import sys
import time
import typing as t

import zmq
from absl import app
from absl import flags

from granitetrestle import events as ev
from granitetrestle.keys import KeyLedger
from granitetrestle.messages import Envelope
from granitetrestle.messages import HallDigest
from granitetrestle.messages import HallDigests
from granitetrestle.messages import LoansHeld
from granitetrestle.messages import decode_envelope
from granitetrestle.messages import encode_envelope
from granitetrestle.records import Batch
from granitetrestle.records import Beat
from granitetrestle.records import CellEdit
from granitetrestle.records import Fact
from granitetrestle.records import JobSpec
from granitetrestle.records import Renewed
from granitetrestle.records import TableEdited
from granitetrestle.records import decode_batch
from granitetrestle.records import encode_batch
from granitetrestle.reducer import CONFIG_STREAM
from granitetrestle.snapshot import decode_hall
from granitetrestle.snapshot import encode_state

from .rigs import OwnerRig
from .rigs import Spread
from .rigs import cpu_of
from .rigs import measure
from .rigs import resident_mb

__all__ = ["main"]

FLAGS: t.Final = flags.FLAGS
BATCH: t.Final = JobSpec("batch", 1.0, 4.0, run_s=600.0)
SERVICE: t.Final = JobSpec("service", 1.0, 4.0, service="unlock")


class Slope(t.NamedTuple):
    """A quantity measured at several sizes.

    :param unit: unit of the values; ``per`` is what the size counts.
    """

    name: str
    unit: str
    per: str
    points: list[tuple[float, Spread]]

    @property
    def slope(self) -> float:
        """Least-squares slope of the medians."""
        xs = [x for x, _ in self.points]
        return statistics.linear_regression(xs, [p.median for _, p in self.points])[0]

    @property
    def base(self) -> float:
        """Value of the fit at size 0."""
        xs = [x for x, _ in self.points]
        return statistics.linear_regression(xs, [p.median for _, p in self.points])[1]


def _over(
    name: str,
    unit: str,
    per: str,
    sizes: t.Sequence[int],
    make: t.Callable[[int], t.Callable[[], float]],
    repeats: int = 5,
) -> Slope:
    points = [(float(size), measure(make(size), repeats)) for size in sizes]
    return Slope(name, unit, per, points)


def placements(boxes: int) -> t.Callable[[], float]:
    """Processor time (us) of one placement among ``boxes`` boxes."""

    def run() -> float:
        rig = OwnerRig(boxes)
        count = 600
        rig.submit(count, 1, BATCH)
        elapsed = cpu_of(lambda: rig.step(ev.Tick(rig.now, rig.now)))
        placed = len(rig.reducer.owner.placement.owned_shards[0].box_of_task)
        assert placed == min(count, 24 * boxes), placed
        return elapsed / placed * 1e6

    return run


def ticks(boxes: int) -> t.Callable[[], float]:
    """Processor time (ms) of a second of ticks with nothing new, 18 tasks a box."""

    def run() -> float:
        rig = OwnerRig(boxes)
        rig.submit(boxes * 2, 1, SERVICE)
        rig.submit(boxes, 16, BATCH)
        for _ in range(5):
            rig.pass_time(0.05)

        def second() -> None:
            for _ in range(20):
                rig.now += 0.05
                rig.step(ev.Tick(rig.now, rig.now))

        rig.take_commands()
        return cpu_of(second) * 1e3

    return run


def exchanges(tasks: int) -> t.Callable[[], float]:
    """Processor time (us) in the reducer of one exchange of ``tasks`` tasks."""

    def run() -> float:
        rig = OwnerRig(20)
        rig.submit(20, tasks, BATCH)
        for _ in range(40):
            rig.pass_time(0.1)
        rig.now += 1.2
        rig.step(ev.Tick(rig.now, rig.now))
        answers = [rig.answer_of(command) for command in rig.take_commands()]
        assert len(answers) == 20

        def take_all() -> None:
            for answer in answers:
                rig.step(answer)

        return cpu_of(take_all) / 20 * 1e6

    return run


def _in_child(module: str, *words: str) -> float:
    """Return what a measurement in a process of its own prints."""
    command = [sys.executable, "-m", f"granitetrestle_bench.{module}", *words]
    done = subprocess.run(command, check=True, capture_output=True, timeout=300)
    return float(done.stdout)


def memory(what: str) -> t.Callable[[int], t.Callable[[], float]]:
    """Resident MB of ``size`` things of a kind."""
    return lambda size: lambda: _in_child("memory", what, str(size))


def whole_exchanges(tasks: int) -> t.Callable[[], float]:
    """Processor time (us) of an exchange over HTTP with a box of ``tasks``."""
    return lambda: _in_child("exchange", str(tasks))


def log_records(beats: int) -> t.Callable[[], float]:
    """Processor time (us) to decode and apply a renewal of ``beats`` beats."""

    def run() -> float:
        rig = OwnerRig(1)
        data = [
            encode_batch(
                Batch("g", i, (Renewed(tuple(_beat(n, i) for n in range(beats))),))
            )
            for i in range(1, 301)
        ]

        def apply() -> None:
            for line in data:
                rig.read("hall-hall", decode_batch(line).facts)

        return cpu_of(apply) / len(data) * 1e6

    return run


def _beat(node: int, number: int) -> Beat:
    return Beat(f"zurich-{node}", f"zurich-{node}-1234abcd", number, 12345)


def edits(rows: int) -> t.Callable[[], float]:
    """Processor time (us) of one cell's change with ``rows`` accounts."""

    def run() -> float:
        rig = OwnerRig(1)
        for i in range(rows):
            edit = CellEdit(f"acc{i}", "weight", 1.0, 0)
            rig.read(CONFIG_STREAM, (TableEdited(f"e{i}", (edit,)),))
        versions = rig.reducer.table
        facts: list[Fact] = []
        for i in range(rows):
            seen = versions.cell(f"acc{i}", "weight").version
            edit = CellEdit(f"acc{i}", "weight", 2.0, seen)
            facts.append(TableEdited(f"f{i}", (edit,)))

        def apply() -> None:
            for fact in facts:
                rig.read(CONFIG_STREAM, (fact,))

        return cpu_of(apply) / rows * 1e6

    return run


def snapshots(tasks: int) -> t.Callable[[], float]:
    """Processor time (ms) to write and read back a hall of ``tasks`` tasks."""

    def run() -> float:
        rig = OwnerRig(1)
        rig.submit(tasks // 10, 10, BATCH)
        reducer = rig.reducer
        state = reducer.state_of("hall-hall")
        return cpu_of(lambda: decode_hall(encode_state(state))) * 1e3

    return run


def _loans(endpoints: int) -> Envelope:
    held = {f"zurich.{i:012x}/0#1": 2 for i in range(endpoints)}
    message = LoansHeld(0, 123456, 77, 76, True, held, {"unlock": 5})
    return Envelope("zurich-1", "zurich-1-1234abcd", message)


def _digest(services: int) -> Envelope:
    halls = tuple(
        HallDigest(
            f"hall{h}",
            17000000,
            {f"hall{h}-{n}": 12345 for n in range(9)},
            {s: f"hall{h}-{s}" for s in range(9)},
            {f"service-{s}": 64 for s in range(services)},
        )
        for h in range(10)
    )
    return Envelope("zurich-1", "zurich-1-1234abcd", HallDigests(halls))


def messages(
    make: t.Callable[[int], Envelope],
) -> t.Callable[[int], t.Callable[[], float]]:
    """Processor time (us) to encode, send, receive and decode one message."""

    def of(size: int) -> t.Callable[[], float]:
        def run() -> float:
            context = zmq.Context()
            inbound = context.socket(zmq.PULL)
            port = inbound.bind_to_random_port("tcp://127.0.0.1")
            outbound = context.socket(zmq.PUSH)
            outbound.connect(f"tcp://127.0.0.1:{port}")
            envelope = make(size)
            count = 300

            def carry() -> None:
                for _ in range(count):
                    outbound.send(encode_envelope(envelope))
                    decode_envelope(inbound.recv())

            carry()
            elapsed = cpu_of(carry)
            outbound.close()
            inbound.close()
            context.term()
            return elapsed / count * 1e6

        return run

    return of


def key_decisions(keys: int) -> t.Callable[[], float]:
    """Processor time (us) of a decision with ``keys`` keys remembered."""

    def run() -> float:
        ledger = KeyLedger(0.0)
        for i in range(keys):
            ledger.decide("acc", f"key{i}", 1000.0, 1000.0, "r")

        def decide() -> None:
            for i in range(1000):
                ledger.decide("acc", f"new{i}", 1000.0, 1000.0, "r")

        return cpu_of(decide) / 1000 * 1e6

    return run


def all_slopes() -> list[Slope]:
    """Measure every slope."""
    return [
        _over("placement", "us", "boxes", (31, 310, 3100), placements, 3),
        _over("second of ticks", "ms", "boxes of 18 tasks", (9, 35, 140), ticks, 3),
        _over("exchange, reducer", "us", "tasks on the box", (2, 9, 18), exchanges, 3),
        _over(
            "exchange, HTTP", "us", "tasks on the box", (2, 9, 18), whole_exchanges, 3
        ),
        _over("renewal record", "us", "beats", (3, 9, 27), log_records, 3),
        _over("cell change", "us", "rows", (66, 220, 660), edits, 3),
        _over("snapshot", "ms", "tasks", (1000, 5600, 20000), snapshots, 3),
        _over("loan message", "us", "endpoints", (8, 78, 700), messages(_loans), 3),
        _over("digests message", "us", "services", (5, 50, 200), messages(_digest), 3),
        _over("key decision", "us", "keys", (100, 10000, 100000), key_decisions, 3),
        _over("memory: tasks", "MB", "tasks", (1000, 5600, 20000), memory("tasks"), 3),
        _over("memory: boxes", "MB", "boxes", (35, 310, 1000), memory("boxes"), 3),
        _over("memory: rows", "MB", "rows", (66, 660, 6600), memory("rows"), 3),
        _over("memory: keys", "MB", "keys", (1000, 20000, 100000), memory("keys"), 3),
    ]


def _main(argv: list[str]) -> None:
    started = time.monotonic()
    slopes = all_slopes()
    print(f"{'what':20} {'size: low / median / high':66} {'slope':>12}")
    for slope in slopes:
        points = "  ".join(
            f"{int(x)}: {p.low:.3g}/{p.median:.3g}/{p.high:.3g}"
            for x, p in slope.points
        )
        print(
            f"{slope.name:20} {points:66} {slope.slope:12.4g} {slope.unit}/{slope.per}"
        )
    out = [
        {
            "name": s.name,
            "unit": s.unit,
            "per": s.per,
            "slope": s.slope,
            "base": s.base,
            "points": [[x, *p] for x, p in s.points],
        }
        for s in slopes
    ]
    path = pathlib.Path(FLAGS.out)
    path.write_text(json.dumps(out, indent=1) + "\n")
    bare = resident_mb()
    print(f"{time.monotonic() - started:.0f} s; this process {bare:.0f} MB; {path}")


def main() -> None:
    """Measure and print."""
    flags.DEFINE_string("out", "docs/measurements/slopes.json", "where to write")
    app.run(_main)


if __name__ == "__main__":
    main()
