"""Real sessions, one after the other, with model boxes and a model store that answers
as a scenario sets; all in one process and in real time."""

import contextlib
import json
import os
import time

import anyio

from granitetrestle.interfaces import Appended
from granitetrestle.interfaces import BoxCalls
from granitetrestle.interfaces import BoxEntry
from granitetrestle.interfaces import Config
from granitetrestle.interfaces import Queue
from granitetrestle.interfaces import Record
from granitetrestle.jobcalls import SubmitJob
from granitetrestle.nodelog import NodeLog
from granitetrestle.nodemetrics import NodeMetrics
from granitetrestle.session import Session
from granitetrestle.session import Sources
from granitetrestle.shardstate import SchedulerParameters
from granitetrestle.succession import JOBS_TOPIC
from granitetrestle.succession import take_over
from granitetrestle.workflows import Step
from granitetrestle.workflows import Submission
from granitetrestle_standins.nativebox import BoxModel
from granitetrestle_standins.nativestore import MemoryStore
from granitetrestle_standins.nativestore import StoreModel

QUEUE = Queue("q", "host", "/q/", "pool", 0, 3, 1.5, 1000.0)
CONFIG = Config(1, (QUEUE,), {"pool": True}, 262144)
PARAMETERS = SchedulerParameters(lease_s=3.0, orphan_s=2.0, keep_s=60.0)
# Longer than an idle leader waits before it confirms its lease.
TASK_S = 0.6
TICK_S = 0.01


class CountingModel(StoreModel):
    """Counts appends without records in the sequence, like any other."""

    def append(self, topic, records, writer):
        """See :meth:`StoreModel.append`."""
        if writer is None:
            return super().append(topic, records, writer)
        outcome = super().append(topic, records, writer)
        if isinstance(outcome, Appended):
            writing = self._writers[topic]
            if writing.last is None or writer.sequence == writing.last + 1:
                writing.last = writer.sequence
                writing.answers[writer.sequence] = len(self.topics[topic])
                for number in sorted(writing.answers)[:-5]:
                    del writing.answers[number]
        return outcome


class LongPollStore(MemoryStore):
    """Lets a read wait for records, up to the time that it allows."""

    async def read(self, topic, start, wait_s):
        """See :meth:`MemoryStore.read`."""
        until = time.monotonic() + wait_s
        while time.monotonic() < until and self.model.end(topic) <= start:
            await anyio.sleep(TICK_S)
        return await super().read(topic, start, wait_s)


class StaleReadStore(LongPollStore):
    """Returns the newest records as of some seconds ago, for the first few reads."""

    def __init__(self, model, staleness_s, readings):
        super().__init__(model)
        self._staleness_s = staleness_s
        self._readings = readings
        self._ends = []

    async def append(self, topic, records, writer, timeout_s):
        """See :meth:`MemoryStore.append`."""
        outcome = await super().append(topic, records, writer, timeout_s)
        if topic == JOBS_TOPIC:
            self._ends.append((time.monotonic(), self.model.end(topic)))
        return outcome

    async def newest_page(self, topic, after, timeout_s):
        """See :meth:`MemoryStore.newest_page`."""
        if topic != JOBS_TOPIC or not self._readings:
            return await super().newest_page(topic, after, timeout_s)
        self._readings -= 1
        shown = time.monotonic() - self._staleness_s
        end = max((end for at, end in self._ends if at <= shown), default=0)
        older = StoreModel()
        older.append(topic, self.model.topics[topic][:end], None)
        return await MemoryStore(older).newest_page(topic, after, timeout_s)


class TruncatedReadStore(LongPollStore):
    """Leaves out the last half of the newest records, for the first few reads."""

    def __init__(self, model, readings):
        super().__init__(model)
        self._readings = readings

    async def newest_page(self, topic, after, timeout_s):
        """See :meth:`MemoryStore.newest_page`."""
        whole = await super().newest_page(topic, after, timeout_s)
        if topic != JOBS_TOPIC or not self._readings:
            return whole
        self._readings -= 1
        records = sorted(whole.records)
        return whole._replace(records=tuple(records[: len(records) // 2]))


class ModelBoxes(BoxCalls):
    """Boxes that answer at once and run each task for a fixed time."""

    def __init__(self, boxes):
        self.models = {
            f"b{n}": BoxModel(f"b{n}", PARAMETERS.lease_s) for n in range(boxes)
        }
        # Boxes that a leader's epoch can't reach any more.
        self.unreachable = set()
        # How many polls have renewed a lease.
        self.renewals = 0

    def tick(self):
        """End the tasks that have run long enough."""
        now = time.monotonic()
        for model in self.models.values():
            model.tick(now)
            for run in list(model.running.values()):
                if now - run.began > TASK_S:
                    model.end(run.task, "done", now)

    def runs(self):
        """Return task, run and end of each run that began."""
        return [
            (run.task, run.run, run.how)
            for model in self.models.values()
            for run in model.history
        ]

    async def poll(
        self, incarnation, address, token, acknowledged, lease_ends_ms, wait_ms
    ):
        """See :class:`BoxCalls`."""
        model = self.models[incarnation]
        self.renewals += lease_ends_ms is not None
        until = time.monotonic() + wait_ms / 1000.0
        while True:
            self.tick()
            poll = model.poll(acknowledged, lease_ends_ms, token, time.monotonic())
            if getattr(poll, "ended", True) or time.monotonic() >= until:
                return poll
            await anyio.sleep(TICK_S)

    async def start(self, command, token, spec, lease_ends_ms, checkpoint, ticket):
        """See :class:`BoxCalls`."""
        now = time.monotonic()
        return self.models[command.incarnation].start(
            command.task, command.run, spec, lease_ends_ms, token, now
        )

    async def stop(self, command, token):
        """See :class:`BoxCalls`."""
        now = time.monotonic()
        return self.models[command.incarnation].stop(
            command.task, command.run, token, now
        )

    async def pace(self, command, token, percent):
        """See :class:`BoxCalls`."""
        now = time.monotonic()
        model = self.models[command.incarnation]
        return model.pace(command.task, command.run, percent, token, now)


class SessionWorld:
    """A store, boxes, and sessions that succeed each other."""

    def __init__(self, store, boxes, folder):
        self.store = store
        self.boxes = ModelBoxes(boxes)
        self.metrics = NodeMetrics()
        self._log_file = (folder / "sessions.log").open("ab")
        self._folder = folder
        self._jobs = 0
        self.completed = []
        model = store.model
        model.append("config", [Record("config", b"{}")], None)
        for incarnation in self.boxes.models:
            model.append("boxes", [Record(incarnation, b"{}")], None)
        self._sources = Sources(
            store,
            self.boxes,
            "config",
            "boxes",
            lambda record: CONFIG,
            lambda record: self._entry(record.key),
        )

    @staticmethod
    def _entry(incarnation):
        room = (8000, 8000, 0)
        return BoxEntry(
            incarnation, incarnation, "pool", "h", "r", frozenset(), *room, False, None
        )

    @contextlib.asynccontextmanager
    async def session(self, epoch, incarnation=""):
        """Let a process take over; it is killed when the block ends."""
        descriptor = os.dup(self._log_file.fileno())
        log = NodeLog(descriptor, self.metrics.count, node=f"n{epoch}")
        ready = anyio.Event()
        async with anyio.create_task_group() as tasks:
            claim = await take_over(
                self.store, epoch, incarnation or f"incarnation-{epoch}"
            )
            session = Session(self._sources, claim, PARAMETERS, log, self.metrics)
            tasks.start_soon(session.run, ready.set)
            with anyio.fail_after(10.0):
                await ready.wait()
            yield session
            tasks.cancel_scope.cancel()

    async def run_job(self, session, tasks):
        """Submit a job and wait until its completion is visible to its client."""
        self._jobs += 1
        job = f"{self._jobs:016x}"
        step = Step(count=tasks, cpu=500, memory_mb=10, estimate_ms=200)
        submission = Submission(job, "q", "pool", "s", (step,))
        await session.call(f"r{job}", SubmitJob(submission))
        with anyio.fail_after(10.0):
            while session.scheduler.state.workflows[job].state != "completed":
                await anyio.sleep(TICK_S)
            await session.drain()
        self.completed.append(job)
        return job

    def lines(self, event):
        """Return the log lines of one event, of all sessions."""
        lines = (self._folder / "sessions.log").read_text().splitlines()
        return [line for line in map(json.loads, lines) if line["event"] == event]
