"""``make takeover``: what a take-over costs by what lies in the store. A session reads the
records of running tasks, of ended jobs and of boxes from a store in another process over
HTTP, 500 records a page, up to where it would answer clients. Memory is that of a
process of its own, so that nothing else counts."""

import asyncio
import gc
import json
import multiprocessing
import multiprocessing.connection
import pathlib
import random
import sys
import time
import typing as t

import anyio
from absl import app
from absl import flags

from granitetrestle.calls import Caller
from granitetrestle.interfaces import NewestPage
from granitetrestle.interfaces import Record
from granitetrestle.interfaces import StoreUnavailable
from granitetrestle.jobrecords import JobRecords
from granitetrestle.nodelog import NodeLog
from granitetrestle.nodemetrics import NodeMetrics
from granitetrestle.platform.boxes import PlatformBoxes
from granitetrestle.platform.boxes import decode_entry
from granitetrestle.platform.front import decode_directive
from granitetrestle.platform.store import BOX_TOPIC
from granitetrestle.platform.store import CONFIG_TOPIC
from granitetrestle.platform.store import PlatformStore
from granitetrestle.session import Session
from granitetrestle.session import Sources
from granitetrestle.shardstate import SchedulerParameters
from granitetrestle.shardtime import ShardTime
from granitetrestle.statedigest import DigestTracker
from granitetrestle.statedigest import EpochClaim
from granitetrestle.succession import JOBS_TOPIC
from granitetrestle.succession import take_over
from granitetrestle.workflows import DONE
from granitetrestle.workflows import RUNNING
from granitetrestle.workflows import Step
from granitetrestle.workflows import Submission
from granitetrestle.workflows import Workflow
from granitetrestle_standins.nativecluster import free_port
from granitetrestle_standins.nativeplatform import PlatformApp
from granitetrestle_standins.nativestore import StoreModel
from granitetrestle_standins.serving import serve
from granitetrestle_standins.storereadings import PLAIN

from .deciding import KINDS
from .deciding import QUEUES
from .deciding import Kind

__all__ = ["TakeOverCost", "measure_take_over"]

FLAGS: t.Final = flags.FLAGS
PAGE: t.Final = 500
# The size of two years from now.
BOXES: t.Final = 3100
RUNNING_LASTING: t.Final = 7_000
RUNNING_BATCH: t.Final = 49_000
STARTS_PER_S: t.Final = 360.0
ENDED_KEPT_S: t.Final = 120.0
# As long as most of what the sheets' clients hand in.
SPEC: t.Final = "x" * 200
CHECKPOINT: t.Final = "00000bb87a21d94b"
TURN_S: t.Final = 0.002


class TakeOverCost(t.NamedTuple):
    """What one take-over came to.

    :param records: of jobs, on so many ``pages`` with ``stored_mb`` of keys and values.
    :param cpu_s: processor time of the process that takes over, ``wall_s`` its duration.
    :param stood_still_s: longest time in which its event loop did nothing else.
    :param before_mb: resident memory before, ``after_mb`` after, ``peak_mb`` at most.
    """

    running: int
    jobs: int
    ended: int
    boxes: int
    records: int
    pages: int
    stored_mb: float
    cpu_s: float
    wall_s: float
    stood_still_s: float
    before_mb: float
    after_mb: float
    peak_mb: float


class Filling:
    """Writes what a predecessor would have left.

    :param share: of the size of two years from now.
    """

    def __init__(self, model: StoreModel, share: float, seed: int) -> None:
        self._model = model
        self._share = share
        self._random = random.Random(seed)
        self._records = JobRecords(ShardTime())
        self._jobs = 0
        self.boxes = round(BOXES * share)

    def fill(self, ended: int) -> None:
        """Write all of it.

        :param ended: jobs that have ended of late.
        """
        _, batch, lasting = KINDS
        self._fill_running(lasting, round(RUNNING_LASTING * self._share))
        self._fill_running(batch, round(RUNNING_BATCH * self._share))
        for _ in range(ended):
            workflow = Workflow(self._submission(KINDS[0], 1), 0.0)
            workflow.end("completed", 0.0)
            workflow.retire()
            self._records.mark_retired(workflow)
        records = [r for r in self._records.pop_records() if r.value is not None]
        self._model.append(JOBS_TOPIC, DigestTracker().with_digest(records), None)
        self._model.append(BOX_TOPIC, list(map(self._box, range(self.boxes))), None)

    def _fill_running(self, kind: Kind, tasks: int) -> None:
        while tasks > 0:
            steps = kind.steps[0]
            workflow = Workflow(self._submission(kind, steps), 0.0)
            self._records.add_job(workflow)
            at = self._random.randrange(steps)
            for task in workflow.tasks.values():
                if task.step > at:
                    continue
                task.run = 1
                task.state = DONE if task.step < at else RUNNING
                task.box = self._incarnation(self._random.randrange(self.boxes))
                task.checkpoint = CHECKPOINT if task.spec.checkpointing else ""
                self._records.mark_task_changed(task)
                tasks -= task.step == at

    def _submission(self, kind: Kind, steps: int) -> Submission:
        self._jobs += 1
        job = f"{self._random.getrandbits(64):016x}"
        parts = tuple(self._step(kind, number) for number in range(steps))
        return Submission(job, kind.queue, "pool", SPEC, parts)

    def _step(self, kind: Kind, number: int) -> Step:
        width = round(self._random.lognormvariate(0.0, 0.5) * kind.width)
        serving = kind.queue == "last"
        return Step(
            count=min(160, max(1, width)),
            cpu=int(kind.cpu * self._random.uniform(0.6, 1.4)),
            memory_mb=int(kind.memory_mb * self._random.uniform(0.6, 1.4)),
            estimate_ms=int(kind.work_s * 1000),
            depends_on=(number - 1,) if number else (),
            checkpointing=kind.queue == "fill",
            long_running=serving,
            image=f"{kind.queue}{self._random.randrange(30)}",
            target_ms=150.0 if serving else 0.0,
            best_effort=kind.queue == "fill",
        )

    def _incarnation(self, number: int) -> str:
        return f"{number:016x}"

    def _box(self, number: int) -> Record:
        entry = {
            "service": "pool",
            "address": f"127.0.0.1:{1 + number}",
            "zone": f"hall-{number % 10}",
            "state": "ready",
            "capacity": {"cpu": 48000, "mem_mb": 192000, "gpu": 0},
            "labels": ["a", f"r{number // 8}"],
        }
        return Record(self._incarnation(number), json.dumps(entry).encode())


def ended_jobs(share: float) -> int:
    """Return how many jobs end while ended ones are kept, at the peak of starts."""
    rates = {kind.queue: kind.per_s for kind in KINDS}
    starts = sum(
        rates[kind.queue] * kind.width * sum(kind.steps) / len(kind.steps)
        for kind in KINDS
    )
    return round(sum(rates.values()) / starts * STARTS_PER_S * ENDED_KEPT_S * share)


def _config() -> bytes:
    routes = [
        {
            "name": queue.name,
            "host": queue.host,
            "path_prefix": queue.prefix,
            "service": queue.service,
            "priority": queue.priority,
        }
        for queue in QUEUES
    ]
    config = {"version": 2, "routes": routes, "services": [{"name": "pool"}]}
    return json.dumps(config).encode()


def _serve_store(port: int, share: float, ended: int, seed: int) -> None:
    platform = PlatformApp(
        "127.0.0.1", port, PLAIN._replace(page_size=PAGE), [], random.Random(seed)
    )
    model = platform.store.model
    Filling(model, share, seed).fill(ended)
    model.append(CONFIG_TOPIC, [Record("config", _config())], None)
    asyncio.run(serve(platform, "127.0.0.1", port))


class _Counting(PlatformStore):
    """Counts the jobs' pages, records and bytes."""

    pages = records = stored = 0

    async def newest_page(
        self, topic: str, after: str | None, timeout_s: float
    ) -> NewestPage | StoreUnavailable:
        """See :meth:`granitetrestle.interfaces.Store.newest_page`."""
        page = await super().newest_page(topic, after, timeout_s)
        if topic == JOBS_TOPIC and isinstance(page, NewestPage):
            self.pages += 1
            self.records += len(page.records)
            self.stored += sum(len(r.key) + len(r.value or b"") for r in page.records)
        return page


class _Watch:
    """Measures from its start to when the session would answer clients.

    :ivar stood_still_s: longest time in which the event loop did nothing else.
    """

    def __init__(self) -> None:
        self.stood_still_s = 0.0
        self._began, self._cpu_began = time.monotonic(), time.process_time()
        self._turn = self._began
        self.cpu_s = self.wall_s = 0.0

    async def run(self) -> None:
        """Watch the event loop until cancelled."""
        while True:
            await anyio.sleep(TURN_S)
            self._turned()

    def _turned(self) -> None:
        now = time.monotonic()
        self.stood_still_s = max(self.stood_still_s, now - self._turn - TURN_S)
        self._turn = now

    def ready(self) -> None:
        """Note that clients could be answered now."""
        self.cpu_s = time.process_time() - self._cpu_began
        self.wall_s = time.monotonic() - self._began
        self._turned()


def _status_mb(field: str) -> float:
    """Return a figure of this process's memory, in MB."""
    for line in pathlib.Path("/proc/self/status").read_text("utf-8").splitlines():
        if line.startswith(f"{field}:"):
            return round(int(line.split()[1]) / 1024.0, 1)
    raise KeyError(field)


def _take_over(address: str, out: multiprocessing.connection.Connection) -> None:
    out.send(anyio.run(_take_over_once, address))


async def _take_over_once(address: str) -> TakeOverCost:
    caller = Caller()
    store = _Counting(address, caller)
    # Until the store listens, and so that a connection is open.
    while isinstance(
        await store.newest_page(CONFIG_TOPIC, None, 5.0), StoreUnavailable
    ):
        await anyio.sleep(0.1)
    boxes = PlatformBoxes(caller)
    sources = Sources(
        store, boxes, CONFIG_TOPIC, BOX_TOPIC, decode_directive, decode_entry
    )
    taken = await take_over(store, 1, "measured")
    assert isinstance(taken, EpochClaim), taken
    session = Session(sources, taken, SchedulerParameters(), NodeLog(2), NodeMetrics())
    gc.collect()
    before_mb = _status_mb("VmRSS")
    watch = _Watch()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch.run)

        def ready() -> None:
            watch.ready()
            tasks.cancel_scope.cancel()

        await session.run(ready)
    state = session.scheduler.state
    running = sum(
        task.state == RUNNING
        for workflow in state.workflows.values()
        for task in workflow.tasks.values()
    )
    ended = sum(workflow.terminal for workflow in state.workflows.values())
    return TakeOverCost(
        running,
        len(state.workflows) - ended,
        ended,
        len(state.boxes),
        store.records,
        store.pages,
        round(store.stored / 1e6, 2),
        round(watch.cpu_s, 3),
        round(watch.wall_s, 3),
        round(watch.stood_still_s, 3),
        before_mb,
        _status_mb("VmRSS"),
        _status_mb("VmHWM"),
    )


def measure_take_over(share: float, ended: int, seed: int = 1) -> TakeOverCost:
    """Return what one take-over costs at a share of the size of two years from now.

    :param ended: jobs that have ended of late.
    """
    # A fork would bring the memory of this process with it.
    fresh = multiprocessing.get_context("spawn")
    port = free_port()
    store = fresh.Process(target=_serve_store, args=(port, share, ended, seed))
    store.start()
    here, there = fresh.Pipe()
    successor = fresh.Process(target=_take_over, args=(f"127.0.0.1:{port}", there))
    successor.start()
    try:
        cost: TakeOverCost = here.recv()
    finally:
        successor.join()
        store.kill()
        store.join()
    return cost


def _run(arguments: list[str]) -> None:
    rows = []
    for share in map(float, FLAGS.shares):
        ended = FLAGS.ended if FLAGS.ended is not None else ended_jobs(share)
        for seed in range(1, FLAGS.seeds + 1):
            rows.append(measure_take_over(share, ended, seed))
            print(json.dumps(rows[-1]._asdict()), flush=True)
    if FLAGS.output:
        text = json.dumps([row._asdict() for row in rows], indent=1)
        pathlib.Path(FLAGS.output).write_text(text + "\n", encoding="utf-8")


def main() -> None:
    """Run the measurement."""
    flags.DEFINE_list("shares", ["0.25", "0.5", "1"], "shares of the target's size")
    flags.DEFINE_integer("ended", None, "ended jobs; by the rates if left out", 0)
    flags.DEFINE_integer("seeds", 3, "runs at each share", 1)
    flags.DEFINE_string("output", "", "file for the rows, as JSON")
    app.run(_run, argv=sys.argv)


if __name__ == "__main__":
    main()
