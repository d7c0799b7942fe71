"""``make thinlinks``: what a take-over and a series of appends cost on links of limited
bandwidth, by the size of the state. Store, link and process are in one process, and times
are real."""

import json
import pathlib
import sys
import time
import typing as t

import anyio
from absl import app
from absl import flags

from granitetrestle.calls import Caller
from granitetrestle.interfaces import Record
from granitetrestle.nodelog import NodeLog
from granitetrestle.nodemetrics import NodeMetrics
from granitetrestle.platform.boxes import PlatformBoxes
from granitetrestle.platform.boxes import decode_entry
from granitetrestle.platform.front import decode_directive
from granitetrestle.platform.store import BOX_TOPIC
from granitetrestle.platform.store import CONFIG_TOPIC
from granitetrestle.session import Session
from granitetrestle.session import Sources
from granitetrestle.shardstate import SchedulerParameters
from granitetrestle.standby import RecordsCopy
from granitetrestle.statedigest import EpochClaim
from granitetrestle.succession import JOBS_TOPIC
from granitetrestle.succession import take_over
from granitetrestle_standins.thinlink import ThinLink
from granitetrestle_standins.thinrig import ThinRig
from granitetrestle_standins.thinrig import Writing

__all__ = ["AppendCost", "TakeOverTime", "measure_appends", "measure_take_over"]

FLAGS: t.Final = flags.FLAGS
LINKS_MBPS: t.Final = (2.0, 10.0, 200.0)
STATES_MB: t.Final = (0.3, 1.0, 5.0)
RECORD_BYTES: t.Final = 38_000


class TakeOverTime(t.NamedTuple):
    """How long a take-over took.

    :param copied: whether the process had a copy of the state.
    :param took_s: until it led; ``None`` if it gave up.
    """

    mbps: float
    mb: float
    copied: bool
    took_s: float | None


class AppendCost(t.NamedTuple):
    """What it took to write records at once.

    :param took_s: until all were in the store.
    :param longest_pause_s: longest time without a confirmation of the leader.
    :param overdue_s: longest time that an append counted as waiting for the store.
    :param repeats: attempts beside an earlier one.
    """

    mbps: float
    mb: float
    took_s: float
    longest_pause_s: float
    overdue_s: float
    repeats: int


def measure_take_over(mbps: float, mb: float, copied: bool) -> TakeOverTime:
    """Return how long a take-over takes.

    :param copied: whether the process has a copy of the state.
    """
    rig = ThinRig(mbps)
    rig.fill(mb)
    took_s: float | None = None

    async def script(address: str, link: ThinLink) -> None:
        store = rig.store(address)
        sources = Sources(
            store,
            PlatformBoxes(Caller()),
            CONFIG_TOPIC,
            BOX_TOPIC,
            decode_directive,
            decode_entry,
        )
        copy = RecordsCopy(rig.model.newest(JOBS_TOPIC)) if copied else None
        claim = await take_over(store, 1, "measured")
        assert isinstance(claim, EpochClaim), claim
        session = Session(
            sources,
            claim,
            SchedulerParameters(),
            NodeLog(2),
            NodeMetrics(),
            copy=copy,
        )
        began = time.monotonic()
        async with anyio.create_task_group() as tasks:

            def ready() -> None:
                nonlocal took_s
                took_s = round(time.monotonic() - began, 2)
                tasks.cancel_scope.cancel()

            await session.run(ready)
            tasks.cancel_scope.cancel()

    rig.run(script)
    return TakeOverTime(mbps, mb, copied, took_s)


def measure_appends(mbps: float, mb: float) -> AppendCost:
    """Return what it takes to write records of ``mb`` megabytes at once."""
    rig = ThinRig(mbps)
    count = max(1, round(mb * 1e6 / RECORD_BYTES))
    records = [Record(f"r/{number}", bytes(RECORD_BYTES)) for number in range(count)]
    costs: list[AppendCost] = []

    async def script(address: str, link: ThinLink) -> None:
        writing = Writing(rig, address)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(writing.journal.run)
            tasks.start_soon(writing.watch)
            took_s = await writing.write(records)
            costs.append(
                AppendCost(
                    mbps,
                    mb,
                    round(took_s, 2),
                    round(writing.longest_pause_s, 2),
                    round(writing.overdue_s, 2),
                    writing.journal.repeats,
                )
            )
            tasks.cancel_scope.cancel()

    rig.run(script)
    return costs[0]


def _run(arguments: list[str]) -> None:
    rows: list[TakeOverTime | AppendCost] = []
    for mbps in LINKS_MBPS:
        for mb in STATES_MB:
            rows += [measure_take_over(mbps, mb, copied) for copied in (False, True)]
            rows.append(measure_appends(mbps, mb))
            for row in rows[-3:]:
                print(json.dumps(row._asdict()), flush=True)
    if FLAGS.output:
        text = json.dumps([row._asdict() for row in rows], indent=1)
        pathlib.Path(FLAGS.output).write_text(text + "\n", encoding="utf-8")


def main() -> None:
    """Run the measurement."""
    flags.DEFINE_string("output", "", "file for the rows, as JSON")
    app.run(_run, argv=sys.argv)


if __name__ == "__main__":
    main()
