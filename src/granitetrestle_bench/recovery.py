"""``make recovery``: how long things take in virtual time among the fakes, over
many seeds: a shard without an owner, an urgent start, a cell in force. The log
answers in 4 to 20 ms here, and 0.5 s later where it is called slow."""

import json
import pathlib
import statistics
import typing as t

from granitetrestle import events as ev
from granitetrestle.records import CellEdit
from granitetrestle.records import JobSpec
from granitetrestle_standins.fakes import FakeNode
from granitetrestle_standins.fakes import Faults
from granitetrestle_standins.fakes import World

__all__ = ["main"]

SEEDS = 40
LIMIT_S = 60.0


def _world(seed: int) -> World:
    world = World(seed, {"zurich": 3}, boxes=4)
    world.advance(4.0 + seed * 0.13)
    return world


def _owner(world: World) -> FakeNode:
    shard = world.nodes["zurich-1"].reducer.ownership.shards[0]
    return world.nodes[shard.holder]


def _in_office(world: World, but: FakeNode) -> bool:
    return any(
        node.alive
        and node is not but
        and node.reducer.ownership.may_start(0, node.mono)
        for node in world.nodes.values()
    )


def killed(seed: int) -> float:
    """Seconds from the owner's death until another may start work."""
    world = _world(seed)
    old = _owner(world)
    world.kill(old.name)
    return world.advance_until(lambda: _in_office(world, old), LIMIT_S)


def stopped(seed: int) -> float:
    """Seconds from a planned stop until another may start work."""
    world = _world(seed)
    old = _owner(world)
    old.step(ev.StopRequested(old.mono))
    return world.advance_until(lambda: _in_office(world, old), LIMIT_S)


def urgent(seed: int) -> float:
    """Seconds from an urgent job's arrival until its task runs."""
    world = _world(seed)
    node = world.nodes["zurich-2"]
    spec = JobSpec("batch", 1.0, 1.0, run_s=30.0, urgent=True)
    node.step(ev.JobSubmitRequested(node.mono, "r", "zurich.u", "acc", spec))
    return world.advance_until(lambda: "zurich.u/0" in world.ledger.running, LIMIT_S)


def urgent_evicting(seed: int) -> float:
    """The same when batch work must be checkpointed first."""
    world = _world(seed)
    node = world.nodes["zurich-2"]
    batch = JobSpec("batch", 8.0, 1.0, tasks=4, run_s=600.0)
    node.step(ev.JobSubmitRequested(node.mono, "b", "zurich.b", "acc", batch))
    world.advance(3.0)
    assert len(world.ledger.running) == 4
    spec = JobSpec("batch", 4.0, 1.0, run_s=30.0, urgent=True)
    node.step(ev.JobSubmitRequested(node.mono, "r", "zurich.u", "acc2", spec))
    return world.advance_until(lambda: "zurich.u/0" in world.ledger.running, LIMIT_S)


def urgent_after_kill(seed: int) -> float:
    """An urgent job that was waiting when its owner died."""
    world = _world(seed)
    old = _owner(world)
    node = next(n for n in world.nodes.values() if n is not old)
    world.kill(old.name)
    spec = JobSpec("batch", 1.0, 1.0, run_s=30.0, urgent=True)
    node.step(ev.JobSubmitRequested(node.mono, "r", "zurich.u", "acc", spec))
    return world.advance_until(lambda: "zurich.u/0" in world.ledger.running, LIMIT_S)


def _cell(seed: int, faults: Faults) -> float:
    world = World(seed, {"zurich": 3, "bern": 3, "basel": 3}, boxes=1)
    world.advance(5.0 + seed * 0.13)
    world.faults = faults
    node = world.nodes["bern-1"]
    edit = CellEdit("acc", "weight", 2.0, 0)
    node.step(ev.TableEditRequested(node.mono, "e", (edit,)))

    def everywhere() -> bool:
        nodes = world.nodes.values()
        return all(n.reducer.table.number("acc", "weight") == 2.0 for n in nodes)

    return world.advance_until(everywhere, LIMIT_S)


def cell(seed: int) -> float:
    """Seconds from an edit until the cell is in force in nine processes."""
    return _cell(seed, Faults())


def cell_slow(seed: int) -> float:
    """The same with a log that answers half a second later."""
    return _cell(seed, Faults(log_slow_s=0.5))


def cell_lost(seed: int) -> float:
    """The same when half of the answers to appends are lost."""
    return _cell(seed, Faults(lost_answers=0.5))


MEASURES: t.Final[tuple[t.Callable[[int], float], ...]] = (
    killed,
    stopped,
    urgent,
    urgent_evicting,
    urgent_after_kill,
    cell,
    cell_slow,
    cell_lost,
)


def main() -> None:
    """Measure and print."""
    out: dict[str, dict[str, float]] = {}
    for measure in MEASURES:
        values = sorted(measure(seed) for seed in range(SEEDS))
        p99 = values[int(0.99 * (len(values) - 1))]
        row = {
            "min": values[0],
            "p50": statistics.median(values),
            "p99": p99,
            "max": values[-1],
        }
        out[measure.__name__] = row
        text = "  ".join(f"{name} {value:5.2f}" for name, value in row.items())
        print(f"{measure.__name__:18} {text} s   ({SEEDS} seeds)", flush=True)
    path = pathlib.Path("docs/measurements/recovery.json")
    path.write_text(json.dumps(out, indent=1) + "\n")


if __name__ == "__main__":
    main()
