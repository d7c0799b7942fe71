"""Maintenance phases of a soak of real processes: operators restart processes one after
the other while boxes leave for good, some without notice, and others join; long-running
tasks must soon run on the boxes that remain. In a disorderly phase processes are killed
or frozen as well, and the store may fail."""

import bisect
import enum
import itertools
import json
import random
import signal
import time
import typing as t

from .boxserver import NOT_LISTED
from .nativecluster import NativeCluster
from .runfacts import BoxLoss
from .runfacts import ClientEvent
from .runjudge import DISORDER_S
from .runjudge import LEASE_S
from .runjudge import PROCESS_SLACK_S
from .runjudge import SILENCE_LIMIT_S
from .soakobserver import SoakObserver

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
# After which a disturbance that had to be put off is tried again.
RETRY_INTERVAL_S: t.Final = 0.3
# A job's time to run until it is cancelled.
LONG_MS: t.Final = 3_600_000


class _Departure(enum.Enum):
    """How a box leaves."""

    DRAINED = "draining"
    UNLISTED = "unlisted"
    GONE = "gone"
    DARK = "dark"


class _Event(t.NamedTuple):
    """Something that is due.

    :param at: in seconds from the start of the phase.
    :param act: returns whether it could be done; otherwise it is tried again.
    """

    at: float
    act: t.Callable[[], bool]


def _due(event: _Event) -> float:
    return event.at


class SoakMaintenance:
    """Draws phases from a random sequence of its own, so that they don't change what
    else is drawn from the same seed.

    :param submit: submits a job with a body at a node; returns whether it was accepted.
    :ivar counts: how often what happened in all phases.
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
        self._submit = submit
        # Operation before which there is a phase -> whether it is orderly.
        self._phases: dict[int, bool] = {}
        if cluster.boxes >= MIN_BOXES:
            length = min(operations, OPERATIONS_PER_PHASE)
            for first in range(0, operations - length + 1, length):
                operation = first + rng.randrange(length)
                self._phases[operation] = rng.random() < ORDERLY_PROBABILITY
        self._may_leave = int(cluster.boxes * LEAVING_SHARE)
        self._left: set[int] = set()
        self._joined = 0
        self._submitted = 0
        # Nodes that were told to end.
        self._ending: set[str] = set()
        self._thaw_at: dict[str, float] = {}
        self._frozen_at: dict[str, float] = {}
        self._last_loss = 0.0
        self._events: list[_Event] = []
        self.counts: dict[str, int] = {}
        self.jobs: set[str] = set()
        self.cancelled: set[str] = set()

    def is_due(self, operation: int) -> bool:
        """Return whether a phase comes before an operation."""
        return operation in self._phases

    def play(self, operation: int) -> None:
        """Play a phase; everything else must be undisturbed.

        It ends when all long-running tasks run on boxes that remain, or should."""
        lasting = self._submit_lasting()
        orderly = self._phases[operation]
        self._count("orderly phases" if orderly else "disorderly phases")
        self._events = sorted(self._plan(orderly, lasting), key=_due)
        began = time.monotonic()
        self._last_loss = began
        longest_s = LEASE_S + SILENCE_LIMIT_S + PROCESS_SLACK_S + DISORDER_S
        while self._busy or not self._runs(lasting):
            if self._events and time.monotonic() - began >= self._events[0].at:
                event = self._events.pop(0)
                if not event.act():
                    later = event._replace(at=event.at + RETRY_INTERVAL_S)
                    bisect.insort(self._events, later, key=_due)
            self._revive()
            last_fault = max(self._last_loss, self._observer.last_fault)
            if not self._busy and time.monotonic() > last_fault + longest_s:
                break
            time.sleep(TICK_S)
        self._cancel(lasting)

    @property
    def _busy(self) -> bool:
        return bool(self._events or self._ending or self._thaw_at)

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

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
                if task.startswith(job) and not how and box not in self._left:
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

    def _plan(self, orderly: bool, lasting: str) -> t.Iterator[_Event]:
        rng = self._random
        at = 0.0
        for number in range(rng.randint(*RESTARTS)):
            first = number == 0
            share = LEADER_FIRST_PROBABILITY if first else LEADER_LATER_PROBABILITY
            leads = rng.random() < share
            name = rng.choice(self._cluster.nodes())
            how = rng.choices(("end", "kill", "freeze"), (4, 4, 2))[0]
            freeze_s = rng.uniform(*FREEZE_S)
            yield _Event(
                at,
                lambda n=name, w=leads, h="end" if orderly else how, s=freeze_s: (  # type: ignore[misc]
                    self._disturb(n, w, h, s)
                ),
            )
            at += rng.uniform(*RESTART_INTERVAL_S)
        store_fails = rng.random() < STORE_FAULT_PROBABILITY
        how = rng.choice(("busy", "silent", "slow"))
        seconds, store_at = rng.uniform(*STORE_FAULT_S), rng.uniform(0.0, at)
        if store_fails and not orderly:
            yield _Event(store_at, lambda: self._fail_store(how, seconds))
        yield from self._plan_boxes(at, lasting)
        for number in range(int(at / JOB_INTERVAL_S)):
            count, run_ms = rng.randint(1, 4), rng.choice((100, 400, 1500))
            yield _Event(
                number * JOB_INTERVAL_S,
                lambda c=count, r=run_ms: self._submit_small(c, r),  # type: ignore[misc]
            )

    def _submit_small(self, count: int, run_ms: int) -> bool:
        self._submit_job(count, run_ms, False)
        return True

    def _plan_boxes(self, length_s: float, lasting: str) -> t.Iterator[_Event]:
        """Plan which boxes leave and join, at some time of the restarts."""
        rng = self._random
        count = min(rng.randint(1, max(1, self._may_leave)), self._may_leave)
        boxes = rng.sample(range(self._cluster.boxes), self._cluster.boxes)
        boxes = [box for box in boxes if box not in self._left]
        # Boxes with long-running tasks first: the loss of others shows less.
        occupied = set(self._running(lasting).values())
        boxes.sort(key=lambda box: box not in occupied)
        self._may_leave -= count
        base = rng.uniform(0.0, length_s)
        kinds = [rng.choice(list(_Departure)) for _ in range(count)]
        notices = [rng.uniform(*self._notice_s(kind)) for kind in kinds]
        base = max([base, *notices])
        for box, kind, notice_s in zip(boxes, kinds, notices, strict=False):
            at = base + rng.uniform(0.0, LOSS_SPREAD_S)
            dark = rng.random() < 0.5
            delay_s = rng.choice(ENTRY_REMOVAL_DELAYS_S)
            if kind is _Departure.DRAINED:
                yield _Event(at - notice_s, lambda b=box: self._enter(b, "draining"))  # type: ignore[misc]
                delay_s = 0.0
            elif kind is _Departure.UNLISTED:
                yield _Event(at - notice_s, lambda b=box: self._enter(b, NOT_LISTED))  # type: ignore[misc]
                delay_s = None
            else:
                dark = kind is _Departure.DARK
            how = "dark" if dark and kind is not _Departure.DRAINED else "gone"
            unlisted_s = notice_s if kind is _Departure.UNLISTED else 0.0
            yield _Event(
                at,
                lambda b=box, h=how, s=unlisted_s, k=kind: self._leave(b, h, s, k),  # type: ignore[misc]
            )
            if delay_s is not None:
                yield _Event(at + delay_s, lambda b=box: self._enter(b, NOT_LISTED))  # type: ignore[misc]
        for _ in range(count):
            yield _Event(rng.uniform(0.0, length_s), self._join)

    @staticmethod
    def _notice_s(kind: _Departure) -> tuple[float, float]:
        if kind is _Departure.DRAINED:
            return DRAIN_NOTICE_S
        return UNLISTED_SERVICE_S if kind is _Departure.UNLISTED else (0.0, 0.0)

    def _enter(self, box: int, state: str) -> bool:
        return self._cluster.box(box, f"/test/entry?state={state}").status == OK

    def _leave(self, box: int, how: str, unlisted_s: float, kind: _Departure) -> bool:
        answer = json.loads(self._cluster.box(box, f"/test/leave?how={how}").content)
        at = answer["at"]
        loss = BoxLoss(answer["incarnation"], at, at - unlisted_s)
        self._observer.losses.append(loss)
        self._left.add(box)
        self._last_loss = max(self._last_loss, at)
        self._count(f"{kind.value} boxes")
        return True

    def _join(self) -> bool:
        if self._joined < self._cluster.spares:
            self._enter(self._cluster.boxes + self._joined, "ready")
            self._joined += 1
            self._count("boxes joined")
        return True

    def _disturb(self, name: str, leads: bool, how: str, freeze_s: float) -> bool:
        now = time.monotonic()
        up = [node for node in self._cluster.nodes() if self._is_ready(node)]
        if len(up) < 2:
            # Without a process that can take over there is no hand-over.
            return False
        leader = self._cluster.leader()
        if leads and leader in up:
            name = leader
        if name not in up:
            name = up[0]
        if how == "freeze":
            self._cluster.kill(name, signal.SIGSTOP)
            self._frozen_at[name], self._thaw_at[name] = now, now + freeze_s
        else:
            number = signal.SIGTERM if how == "end" else signal.SIGKILL
            self._ending.add(name)
            self._cluster.kill(name, number)
            if how == "kill":
                self._observer.record_disorder(now, now)
        self._count(f"{how} the leader" if name == leader else f"{how} another")
        return True

    def _is_ready(self, name: str) -> bool:
        if name in self._ending or name in self._thaw_at:
            return False
        address = self._cluster.readies[name]
        try:
            return self._cluster.call("GET", address, "/api/readyz").status == OK
        except NativeCluster.LOST:
            return False

    def _revive(self) -> None:
        """Restart the processes that have ended, and resume frozen ones when due."""
        now = time.monotonic()
        for name in list(self._ending):
            if self._cluster.processes[name].poll() is not None:
                self._cluster.restart(name)
                self._ending.remove(name)
                self._observer.record_disturbance()
        for name, at in list(self._thaw_at.items()):
            if now >= at:
                self._cluster.kill(name, signal.SIGCONT)
                del self._thaw_at[name]
                self._observer.record_disorder(self._frozen_at.pop(name), now)

    def _fail_store(self, how: str, seconds: float) -> bool:
        now = time.monotonic()
        self._cluster.store(f"/test/store?how={how}&s={seconds}")
        self._observer.record_disorder(now, now + seconds)
        self._count(f"store {how}")
        return True
