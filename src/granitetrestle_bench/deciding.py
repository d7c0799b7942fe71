"""``make deciding``: what the decider alone costs by the number of boxes. Boxes obey at
once; short chains, jobs that fill and lasting jobs come at rates that grow with the
boxes, so that the work for each box stays the same. Virtual time, measured processor
time."""

import heapq
import itertools
import json
import pathlib
import random
import sys
import time
import typing as t

from absl import app
from absl import flags

from granitetrestle.decisions import AcknowledgeEnds
from granitetrestle.decisions import Decision
from granitetrestle.decisions import PaceTask
from granitetrestle.decisions import StartTask
from granitetrestle.decisions import StopTask
from granitetrestle.interfaces import BoxEntry
from granitetrestle.interfaces import CommandAccepted
from granitetrestle.interfaces import Config
from granitetrestle.interfaces import EndedRun
from granitetrestle.interfaces import PollResult
from granitetrestle.interfaces import Queue
from granitetrestle.interfaces import RunningTask
from granitetrestle.jobcalls import CancelJob
from granitetrestle.jobcalls import SubmitJob
from granitetrestle.scheduler import Scheduler
from granitetrestle.shardstate import SchedulerParameters
from granitetrestle.workflows import Step
from granitetrestle.workflows import Submission

__all__ = ["DecidingCost", "measure_deciding"]

FLAGS: t.Final = flags.FLAGS
FULL_BOXES: t.Final = 270
DECIDE_EVERY_S: t.Final = 0.05
POLL_EVERY_S: t.Final = 0.5
QUEUES: t.Final = (
    Queue("short", "h", "/short/", "pool", 0, 3, 1.5, 250.0),
    Queue("fill", "h", "/fill/", "pool", 2, 2, 2.0, 1000.0),
    Queue("last", "h", "/last/", "pool", 0, 2, 2.2, 2500.0),
)
# A serving task that is busy for about half of its time shows this share of its target.
TAIL_LEVEL: t.Final = 0.4


class Kind(t.NamedTuple):
    """Jobs of one queue.

    :param per_s: jobs a second at ``FULL_BOXES`` boxes; ``first`` are there at once.
    :param width: mean number of tasks of a step; ``work_s`` how long each runs.
    """

    queue: str
    per_s: float
    first: int
    steps: tuple[int, ...]
    width: float
    work_s: float
    cpu: int
    memory_mb: int


# A fleet of scooters at 270 boxes of 32 to 48 cores: unlock checks, van plans, watchers.
KINDS: t.Final = (
    Kind("short", 8.18, 0, (1, 2, 2), 9.4, 0.64, 6400, 13000),
    Kind("fill", 8.03, 13, (2,), 39.0, 1.7, 3500, 6400),
    Kind("last", 0.29, 52, (1,), 24.0, 70.0, 6400, 13000),
)


class DecidingCost(t.NamedTuple):
    """Shares of a core.

    :param decide: for deciding; ``polls`` for taking up looks at boxes.
    :param write: for what must be written; ``written_mb_s`` how much that is.
    :param waiting: tasks without a box at the end.
    """

    boxes: int
    decide: float
    looks: float
    write: float
    written_mb_s: float
    starts_s: float
    waiting: int


class Load:
    """Submits jobs, obeys orders, answers looks.

    :param share: of the rates at ``FULL_BOXES``.
    """

    def __init__(self, boxes: int, seed: int) -> None:
        self.random = random.Random(seed)
        self.share = boxes / FULL_BOXES
        self.now = 100.0
        self.scheduler = Scheduler(SchedulerParameters(), self.now)
        self.numbers = itertools.count(1)
        self.ends: list[tuple[float, str, str, int]] = []
        self.running: dict[str, dict[str, tuple[int, Step]]] = {}
        self.ended: dict[str, list[EndedRun]] = {}
        self.count: dict[str, int] = {}
        self.cancels: list[tuple[float, str]] = []
        self.cost = dict.fromkeys(("decide", "looks", "write"), 0.0)
        self.written = self.starts = 0
        self.scheduler.apply_config(Config(1, QUEUES, {"pool": True}, 262144))
        entries = {entry.incarnation: entry for entry in map(self._entry, range(boxes))}
        self.scheduler.fleet.update_boxes(entries, self.now)
        for incarnation in entries:
            (
                self.running[incarnation],
                self.ended[incarnation],
                self.count[incarnation],
            ) = {}, [], 0
            self._poll(incarnation)
        for kind in KINDS:
            for _ in range(round(kind.first * self.share)):
                self._submit(kind)

    def _entry(self, number: int) -> BoxEntry:
        size = 1.5 if number % 3 == 2 else 1.0
        return BoxEntry(
            incarnation=f"{number:016x}",
            address=f"b{number}:1",
            service="pool",
            hall=f"h{number % 5}",
            rack=f"r{number // 8}",
            labels=frozenset({"a", f"r{number // 8}"}),
            cpu=int(32000 * size),
            memory_mb=int(128000 * size),
            gpu=0,
            draining=False,
            leaving_in_s=None,
        )

    def _submit(self, kind: Kind) -> None:
        steps = []
        for number in range(self.random.choice(kind.steps)):
            width = max(1, round(self.random.lognormvariate(0.0, 0.5) * kind.width))
            image = f"{kind.queue}{self.random.randrange(30)}"
            serving = kind.queue == "last"
            step = Step(
                min(160, width),
                int(kind.cpu * self.random.uniform(0.6, 1.4)),
                int(kind.memory_mb * self.random.uniform(0.6, 1.4)),
                estimate_ms=int(kind.work_s * 1000),
                depends_on=(number - 1,) if number else (),
                checkpointing=kind.queue == "fill",
                long_running=serving,
                image="" if kind.queue == "short" else image,
                target_ms=150.0 if serving else 0.0,
                best_effort=kind.queue == "fill",
            )
            steps.append(step)
        job = f"{next(self.numbers):016x}"
        submission = Submission(job, kind.queue, "pool", "x" * 200, tuple(steps))
        self._apply(self.scheduler.handle_call(job, SubmitJob(submission), self.now))
        if kind.queue == "last":
            self.cancels.append((self.now + self.random.uniform(20.0, 120.0), job))

    def _apply(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            if isinstance(decision, StartTask):
                self._start(decision)
            elif isinstance(decision, StopTask):
                self._end(decision.incarnation, decision.task, decision.run, "stopped")
            elif isinstance(decision, AcknowledgeEnds):
                box = self.scheduler.state.boxes[decision.incarnation]
                box.durable_end = decision.number
                kept = [
                    e
                    for e in self.ended[decision.incarnation]
                    if e.number > box.applied_end
                ]
                self.ended[decision.incarnation] = kept
            elif isinstance(decision, PaceTask):
                pass

    def _start(self, order: StartTask) -> None:
        self.starts += 1
        task = self.scheduler.state.find_task(order.task)
        assert task is not None
        self.running[order.incarnation][order.task] = (order.run, task.spec)
        if not task.spec.long_running:
            takes = task.spec.estimate_ms / 1000.0 * self.random.uniform(0.5, 1.5)
            end = (self.now + takes, order.incarnation, order.task, order.run)
            heapq.heappush(self.ends, end)
        answer = CommandAccepted(int(self.now * 1000))
        self._apply(
            self.scheduler.handle_start_outcome(
                order.incarnation, order.task, order.run, answer, self.now
            )
        )

    def _end(self, incarnation: str, task: str, run: int, how: str) -> None:
        if self.running[incarnation].get(task, (0, None))[0] != run:
            return
        del self.running[incarnation][task]
        self.count[incarnation] += 1
        self.ended[incarnation].append(
            EndedRun(self.count[incarnation], task, run, how, "")
        )

    def _poll(self, incarnation: str) -> None:
        plan = self.scheduler.fleet.plan_poll(incarnation, self.now, 0.0)
        assert plan is not None
        rows = tuple(
            RunningTask(name, run, "", 50, self._figure(step))
            for name, (run, step) in self.running[incarnation].items()
        )
        poll = PollResult(int(self.now * 1000), rows, tuple(self.ended[incarnation]))
        began = time.process_time()
        decisions = self.scheduler.fleet.handle_poll_outcome(
            incarnation, self.now, self.now, poll
        )
        self.cost["looks"] += time.process_time() - began
        self._apply(decisions)

    @staticmethod
    def _figure(step: Step) -> float:
        return step.target_ms * TAIL_LEVEL if step.target_ms else float(step.cpu)

    def run(self, seconds: float) -> None:
        """Go on for ``seconds`` of virtual time."""
        incarnations = list(self.running)
        each = max(1, round(len(incarnations) * DECIDE_EVERY_S / POLL_EVERY_S))
        turn = 0
        for _ in range(int(seconds / DECIDE_EVERY_S)):
            self.now += DECIDE_EVERY_S
            for kind in KINDS:
                rate = kind.per_s * self.share * DECIDE_EVERY_S
                for _ in range(int(rate) + (self.random.random() < rate % 1.0)):
                    self._submit(kind)
            while self.cancels and self.cancels[0][0] <= self.now:
                job = self.cancels.pop(0)[1]
                self._apply(self.scheduler.handle_call(job, CancelJob(job), self.now))
            while self.ends and self.ends[0][0] <= self.now:
                self._end(*heapq.heappop(self.ends)[1:], "done")
            for _ in range(each):
                self._poll(incarnations[turn % len(incarnations)])
                turn += 1
            self._decide()

    def _decide(self) -> None:
        began = time.process_time()
        decisions = self.scheduler.decide(self.now, int(self.now * 1000))
        decided = time.process_time()
        records = self.scheduler.take_writes()
        self.cost["decide"] += decided - began
        self.cost["write"] += time.process_time() - decided
        self.written += sum(len(r.key) + len(r.value or b"") for r in records)
        self._apply(decisions)


def measure_deciding(boxes: int, seconds: float, seed: int = 1) -> DecidingCost:
    """Return what deciding for ``boxes`` boxes costs, after a third of the time."""
    load = Load(boxes, seed)
    load.run(seconds / 3.0)
    load.cost = dict.fromkeys(load.cost, 0.0)
    load.written = load.starts = 0
    load.run(seconds)
    waiting = sum(len(entry.tasks) for entry in load.scheduler.state.waiting.values())
    return DecidingCost(
        boxes,
        round(load.cost["decide"] / seconds, 4),
        round(load.cost["looks"] / seconds, 4),
        round(load.cost["write"] / seconds, 4),
        round(load.written / seconds / 1e6, 3),
        round(load.starts / seconds, 1),
        waiting,
    )


def _run(arguments: list[str]) -> None:
    rows = [
        measure_deciding(int(boxes), FLAGS.seconds, seed)
        for boxes in FLAGS.boxes
        for seed in range(1, FLAGS.seeds + 1)
    ]
    for row in rows:
        print(json.dumps(row._asdict()))
    if FLAGS.output:
        text = json.dumps([row._asdict() for row in rows], indent=1)
        pathlib.Path(FLAGS.output).write_text(text + "\n", encoding="utf-8")


def main() -> None:
    """Run the measurement."""
    flags.DEFINE_list("boxes", ["67", "135", "270"], "numbers of boxes")
    flags.DEFINE_float("seconds", 12.0, "virtual seconds measured at each", 1.0)
    flags.DEFINE_integer("seeds", 2, "runs at each number", 1)
    flags.DEFINE_string("output", "", "file for the rows, as JSON")
    app.run(_run, argv=sys.argv)


if __name__ == "__main__":
    main()
