"""``make soak``: minutes of random work and faults over the reducers, with the
invariants asserted all the way. The seed is printed and replays the run."""

import random
import sys
import time
import typing as t

from absl import app
from absl import flags

from granitetrestle.errors import InvariantViolated
from granitetrestle.records import JobSpec

from .chaos import Chaos
from .fakes import Faults
from .fakes import World

__all__ = ["main", "soak"]

FLAGS: t.Final = flags.FLAGS
OPS_PER_ROUND = 40


def _submit(chaos: Chaos, draw: random.Random) -> None:
    kind = draw.random()
    account = draw.choice(["acc", "bank", "fleet"])
    if kind < 0.15:
        service = draw.choice(["unlock", "booking"])
        spec = JobSpec("service", 1.0, 2.0, tasks=draw.randint(1, 3), service=service)
    else:
        spec = JobSpec(
            "batch",
            draw.choice([0.5, 1.0, 2.0, 4.0]),
            draw.choice([1.0, 2.0, 8.0]),
            tasks=draw.randint(1, 4),
            run_s=draw.uniform(0.5, 8.0),
            urgent=kind > 0.85,
        )
    chaos.submit(draw.randrange(100), spec, account)


def _call(chaos: Chaos, draw: random.Random) -> None:
    service = draw.choice(["unlock", "booking"])
    key = f"key{draw.randrange(10**6)}" if draw.random() < 0.3 else ""
    for _ in range(draw.randint(1, 8)):
        chaos.call(draw.randrange(100), service, key)


def _faults(chaos: Chaos, draw: random.Random) -> None:
    chaos.world.faults = Faults(
        lost=draw.choice([0.0, 0.02, 0.2]),
        doubled=draw.choice([0.0, 0.1]),
        late=draw.choice([0.0, 0.05, 0.2]),
        late_s=draw.choice([0.5, 3.0, 6.0]),
        log_down=draw.random() < 0.2,
        log_slow_s=draw.choice([0.0, 0.0, 0.5]),
        lost_answers=draw.choice([0.0, 0.5]),
    )


Operation: t.TypeAlias = t.Callable[[Chaos, random.Random], object]
OPERATIONS: t.Final[tuple[tuple[int, Operation], ...]] = (
    (10, _submit),
    (10, _call),
    (4, lambda c, d: c.edit(d.randrange(100), d.randrange(3))),
    (3, lambda c, d: c.cancel(d.randrange(100))),
    (2, _faults),
    (2, lambda c, d: c.freeze(d.randrange(100), d.choice([0.5, 2.0, 4.0, 15.0]))),
    (1, lambda c, d: c.kill(d.randrange(100))),
    (1, lambda c, d: c.kill_for(d.randrange(100), d.uniform(1.0, 20.0))),
    (2, lambda c, d: c.cut(d.randrange(100), d.randrange(100))),
    (1, lambda c, d: c.box_fails(d.randrange(100), d.uniform(1.0, 30.0))),
    (1, lambda c, d: c.box_leaves(d.randrange(100))),
    (1, lambda c, d: c.box_returns()),
    (3, lambda c, d: c.heal()),
    (2, lambda c, d: c.world.log.expire_all(d.choice([70, 150]))),
)


def soak(seed: int) -> dict[str, int]:
    """Run one round; returns counts of what happened.

    :raises InvariantViolated: if a promise is broken.
    """
    draw = random.Random(seed)
    halls = {"zurich": 3} if seed % 2 else {"zurich": 2, "bern": 2}
    world = World(
        seed,
        halls,
        boxes=draw.randint(1, 4),
        shards=draw.randint(1, 3),
        snapshot_records=60,
    )
    chaos = Chaos(world)
    chaos.advance(draw.uniform(0.0, 8.0))
    weights = [weight for weight, _ in OPERATIONS]
    for _ in range(OPS_PER_ROUND):
        _, operation = draw.choices(OPERATIONS, weights)[0]
        operation(chaos, draw)
        chaos.advance(draw.choice([0.0, 0.1, 0.5, 2.0, 5.0]))
    chaos.settle()
    return {
        "starts": len(world.ledger.starts),
        "finished": world.ledger.finished.total(),
        "requests": len(world.arrivals),
        "executed": world.ledger.executed.total(),
    }


def _main(argv: list[str]) -> None:
    first = FLAGS.seed if FLAGS.seed >= 0 else time.time_ns() % 10**9
    print(f"first seed {first}; a round is replayed by --seed=N --rounds=1")
    ends = time.monotonic() + FLAGS.minutes * 60.0
    totals: dict[str, int] = {}
    rounds = failed = 0
    while time.monotonic() < ends and rounds < FLAGS.rounds:
        seed = first + rounds
        rounds += 1
        try:
            counts = soak(seed)
        except InvariantViolated as error:
            failed += 1
            print(f"seed {seed}: {error.message}")
            continue
        for name, count in counts.items():
            totals[name] = totals.get(name, 0) + count
    print(f"{rounds} rounds, {failed} failed, {totals}")
    sys.exit(1 if failed else 0)


def main() -> None:
    """Run rounds until time or count is up."""
    flags.DEFINE_integer("seed", -1, "first seed; below 0: from the clock")
    flags.DEFINE_float("minutes", 3.0, "when to stop")
    flags.DEFINE_integer("rounds", 10**9, "most rounds")
    app.run(_main)


if __name__ == "__main__":
    main()
