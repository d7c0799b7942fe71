"""Maintenance phases of a soak of real processes: operators restart processes one after
the other while boxes leave for good, some without notice, and others join; long-running
tasks must soon run on the boxes that remain. In a disorderly phase processes are killed
or frozen as well, and the store may fail."""

import functools
import itertools
import random
import time
import typing as t

from .boxserver import NOT_LISTED
from .nativecluster import NativeCluster
from .runfacts import ClientEvent
from .runjudge import DISORDER_S
from .runjudge import LEASE_S
from .runjudge import PROCESS_SLACK_S
from .runjudge import SILENCE_LIMIT_S
from .soakobserver import SoakObserver
from .soakoperators import Agenda
from .soakoperators import Departure
from .soakoperators import Event
from .soakoperators import SoakOperators

__all__ = ["SoakMaintenance"]

OK: t.Final = 200
# A phase per so many operations of the soak, at least one.
OPERATIONS_PER_PHASE: t.Final = 50
# Of fewer boxes too few would remain in one hall.
MIN_BOXES: t.Final = 6
ORDERLY_PROBABILITY: t.Final = 0.6
LEADER_FIRST_PROBABILITY: t.Final = 0.7
LEADER_LATER_PROBABILITY: t.Final = 0.4
RESTARTS: t.Final = (2, 6)
RESTART_INTERVAL_S: t.Final = (0.5, 2.5)
# Shorter than a lease, so that no task is started on a box that is about to leave.
LOSS_SPREAD_S: t.Final = 2.0
DRAIN_NOTICE_S: t.Final = (2.0, 6.0)
UNLISTED_SERVICE_S: t.Final = (0.5, 4.0)
# From when a box has left until its entry is removed; ``None``: it remains.
ENTRY_REMOVAL_DELAYS_S: t.Final = (None, 0.0, 1.0, 3.0)
# Of all boxes, this share may leave in a run.
LEAVING_SHARE: t.Final = 1 / 3
JOB_INTERVAL_S: t.Final = 0.8
FREEZE_S: t.Final = (0.5, 2.5)
STORE_FAULT_S: t.Final = (0.5, 3.0)
STORE_FAULT_PROBABILITY: t.Final = 0.5
TICK_S: t.Final = 0.05
# A job's time to run until it is cancelled.
LONG_MS: t.Final = 3_600_000


class SoakMaintenance:
    """Draws phases from a random sequence of its own, so that they don't change what
    else is drawn from the same seed.

    :param submit: submits a job with a body at a node; returns whether it was accepted.
    :ivar jobs: all jobs that were accepted in phases.
    :ivar cancelled: those of them that were cancelled.
    """

    def __init__(
        self,
        seed: int,
        operations: int,
        cluster: NativeCluster,
        observer: SoakObserver,
        submit: t.Callable[[str, str, t.Mapping[str, t.Any]], bool],
    ) -> None:
        self._random = rng = random.Random(f"maintenance {seed}")
        self._cluster = cluster
        self._observer = observer
        self._operators = SoakOperators(cluster, observer)
        self._submit = submit
        # Operation before which there is a phase -> whether it is orderly.
        self._phases: dict[int, bool] = {}
        if cluster.boxes >= MIN_BOXES:
            length = min(operations, OPERATIONS_PER_PHASE)
            for first in range(0, operations - length + 1, length):
                operation = first + rng.randrange(length)
                self._phases[operation] = rng.random() < ORDERLY_PROBABILITY
        self._may_leave = int(cluster.boxes * LEAVING_SHARE)
        self._submitted = 0
        self._agenda = Agenda([])
        self.jobs: set[str] = set()
        self.cancelled: set[str] = set()

    @property
    def counts(self) -> dict[str, int]:
        """How often what happened in all phases."""
        return self._operators.counts

    def is_due(self, operation: int) -> bool:
        """Return whether a phase comes before an operation."""
        return operation in self._phases

    def play(self, operation: int) -> None:
        """Play a phase; everything else must be undisturbed.

        It ends when all long-running tasks run on boxes that remain, or should."""
        lasting = self._submit_lasting()
        orderly = self._phases[operation]
        self._operators.count("orderly phases" if orderly else "disorderly phases")
        self._agenda = Agenda(self._plan(orderly, lasting))
        began = time.monotonic()
        self._operators.last_loss = began
        longest_s = LEASE_S + SILENCE_LIMIT_S + PROCESS_SLACK_S + DISORDER_S
        while self._busy or not self._runs(lasting):
            self._agenda.act()
            self._operators.revive()
            last_fault = max(self._operators.last_loss, self._observer.last_fault)
            if not self._busy and time.monotonic() > last_fault + longest_s:
                break
            time.sleep(TICK_S)
        self._cancel(lasting)

    @property
    def _busy(self) -> bool:
        return self._agenda.left or self._operators.busy

    def _submit_lasting(self) -> str:
        """Submit a job of long-running tasks, and wait until all of them run."""
        count = self._random.randint(2, max(2, self._cluster.boxes))
        job = self._submit_job(count, LONG_MS, True)
        self._observer.lasting.add(f"{job}.0.0")
        self._cluster.wait(
            lambda: len(self._running(job)) == count, f"all of {job} runs"
        )
        return job

    def _submit_job(self, count: int, run_ms: int, long_running: bool) -> str:
        self._submitted += 1
        job = f"{self._submitted:x}".rjust(16, "f")
        step = {"count": count, "cpu": 1000, "mem_mb": 100}
        body = {
            "spec": f"{run_ms}:{step['cpu']}:{step['mem_mb']}",
            "steps": [{**step, "long_running": long_running}],
        }

        nodes = itertools.cycle(self._cluster.nodes())

        def accepted() -> bool:
            return self._submit(job, next(nodes), body)

        if long_running:
            self._cluster.wait(accepted, f"{job} accepted")
            self.jobs.add(job)
        elif accepted():
            self.jobs.add(job)
        return job

    def _cancel(self, job: str) -> None:
        self.cancelled.add(job)
        self._observer.record_event(job, ClientEvent.CANCEL_SENT)
        self._cluster.wait(lambda: self._send_cancel(job), f"{job} cancelled")

    def _send_cancel(self, job: str) -> bool:
        address = self._cluster.fronts[self._cluster.nodes()[0]]
        return self._cluster.call("DELETE", address, f"/jobs/{job}").status == OK

    def _running(self, job: str) -> dict[str, int]:
        """Return the box of each task of a job that runs on a box that has not left."""
        running: dict[str, int] = {}
        for box in self._cluster.all_boxes:
            for task, _, how in self._cluster.rows(box):
                if task.startswith(job) and not how and box not in self._operators.left:
                    running[task] = box
        return running

    def _runs(self, job: str) -> bool:
        tasks = {
            row[0]
            for box in self._cluster.all_boxes
            for row in self._cluster.rows(box)
            if row[0].startswith(job)
        }
        return len(self._running(job)) == len(tasks)

    def _plan(self, orderly: bool, lasting: str) -> t.Iterator[Event]:
        rng = self._random
        at = 0.0
        for number in range(rng.randint(*RESTARTS)):
            first = number == 0
            share = LEADER_FIRST_PROBABILITY if first else LEADER_LATER_PROBABILITY
            leads = rng.random() < share
            name = rng.choice(self._cluster.nodes())
            how = rng.choices(("end", "kill", "freeze"), (4, 4, 2))[0]
            freeze_s = rng.uniform(*FREEZE_S)
            how = "end" if orderly else how
            disturb = self._operators.disturb
            yield Event(at, functools.partial(disturb, name, leads, how, freeze_s))
            at += rng.uniform(*RESTART_INTERVAL_S)
        store_fails = rng.random() < STORE_FAULT_PROBABILITY
        how = rng.choice(("busy", "silent", "slow"))
        seconds, store_at = rng.uniform(*STORE_FAULT_S), rng.uniform(0.0, at)
        if store_fails and not orderly:
            fail_store = self._operators.fail_store
            yield Event(store_at, functools.partial(fail_store, how, seconds))
        yield from self._plan_boxes(at, lasting)
        for number in range(int(at / JOB_INTERVAL_S)):
            count, run_ms = rng.randint(1, 4), rng.choice((100, 400, 1500))
            submit = functools.partial(self._submit_small, count, run_ms)
            yield Event(number * JOB_INTERVAL_S, submit)

    def _submit_small(self, count: int, run_ms: int) -> bool:
        self._submit_job(count, run_ms, False)
        return True

    def _plan_boxes(self, length_s: float, lasting: str) -> t.Iterator[Event]:
        """Plan which boxes leave and join, at some time of the restarts."""
        rng = self._random
        count = min(rng.randint(1, max(1, self._may_leave)), self._may_leave)
        boxes = rng.sample(range(self._cluster.boxes), self._cluster.boxes)
        boxes = [box for box in boxes if box not in self._operators.left]
        # Boxes with long-running tasks first: the loss of others shows less.
        occupied = set(self._running(lasting).values())
        boxes.sort(key=lambda box: box not in occupied)
        self._may_leave -= count
        base = rng.uniform(0.0, length_s)
        kinds = [rng.choice(list(Departure)) for _ in range(count)]
        notices = [rng.uniform(*self._notice_s(kind)) for kind in kinds]
        base = max([base, *notices])
        enter, leave = self._operators.enter, self._operators.leave
        for box, kind, notice_s in zip(boxes, kinds, notices, strict=False):
            at = base + rng.uniform(0.0, LOSS_SPREAD_S)
            dark = rng.random() < 0.5
            delay_s = rng.choice(ENTRY_REMOVAL_DELAYS_S)
            if kind is Departure.DRAINED:
                yield Event(at - notice_s, functools.partial(enter, box, "draining"))
                delay_s = 0.0
            elif kind is Departure.UNLISTED:
                yield Event(at - notice_s, functools.partial(enter, box, NOT_LISTED))
                delay_s = None
            else:
                dark = kind is Departure.DARK
            how = "dark" if dark and kind is not Departure.DRAINED else "gone"
            unlisted_s = notice_s if kind is Departure.UNLISTED else 0.0
            yield Event(at, functools.partial(leave, box, how, unlisted_s, kind))
            if delay_s is not None:
                yield Event(at + delay_s, functools.partial(enter, box, NOT_LISTED))
        for _ in range(count):
            yield Event(rng.uniform(0.0, length_s), self._operators.join)

    @staticmethod
    def _notice_s(kind: Departure) -> tuple[float, float]:
        if kind is Departure.DRAINED:
            return DRAIN_NOTICE_S
        return UNLISTED_SERVICE_S if kind is Departure.UNLISTED else (0.0, 0.0)
