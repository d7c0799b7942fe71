"""A soak of real processes in a storm of overlapping faults, see :mod:`.soakstorms`, with
long-running jobs of several tasks and many short jobs. In some seeds a task crashes each
box that starts it. What clients and boxes observed is judged afterwards."""

import argparse
import collections
import functools
import itertools
import pathlib
import random
import shutil
import sys
import tempfile
import time
import typing as t

from .links import RigFault
from .nativecluster import NativeCluster
from .runfacts import ClientEvent
from .runfacts import job_of
from .runjudge import DISORDER_S
from .runjudge import LEASE_S
from .runjudge import PROCESS_SLACK_S
from .runjudge import SILENCE_LIMIT_S
from .runjudge import ViolationKind
from .soakclients import SoakClient
from .soakobserver import SoakObserver
from .soakoperators import Event
from .soakresults import PromiseBroken
from .soakstorms import SoakStorm

__all__ = ["Outcome", "StormSoak", "main", "play"]

NODES: t.Final = (3, 6)
# One seed in so many has as many processes as the machine's limits allow.
LARGE_EVERY: t.Final = 10
LARGE_NODES: t.Final = 36
BOXES: t.Final = (8, 16)
CLIENTS: t.Final = 4
# So many processes are asked for the states of jobs all the time.
OBSERVED_NODES: t.Final = 8
LASTING_JOBS: t.Final = (3, 5)
LASTING_TASKS: t.Final = (4, 10)
# Ends only by a stop.
LASTING_MS: t.Final = 3_600_000
CULPRIT_PROBABILITY: t.Final = 0.35
# With the first the box crashes before it answers the start.
CULPRIT_RUN_TIMES_MS: t.Final = (0, 20, 80)
CULPRIT_DELAY_S: t.Final = (1.0, 8.0)
CULPRIT_WATCH_S: t.Final = 30.0
# Long-running tasks run again within this once nothing is disturbed any more.
RESTART_S: t.Final = LEASE_S + SILENCE_LIMIT_S + PROCESS_SLACK_S + DISORDER_S
SETTLE_S: t.Final = 40.0
END_STATES: t.Final = {
    "completed": ClientEvent.COMPLETED,
    "failed": ClientEvent.FAILED,
    "cancelled": ClientEvent.CANCELLED,
    "gone": ClientEvent.GONE,
}
TICK_S: t.Final = 0.1


class Outcome(t.NamedTuple):
    """What a seed came to.

    :param counts: how often what happened.
    :param culprit: state of the job whose tasks crash boxes, before it was cancelled;
        empty if there was none.
    :param culprit_crashes: how many boxes each of its tasks crashed.
    :param late_restarts: long-running tasks that ran again later than is allowed after
        a single disorder. The bound does not hold in a storm, where leaders are killed
        one after the other.
    :param violations: what was broken; empty if every promise was kept.
    """

    nodes: int
    boxes: int
    jobs: int
    counts: t.Mapping[str, int]
    culprit: str
    culprit_crashes: t.Sequence[int]
    late_restarts: int
    violations: t.Sequence[str]


class StormSoak:
    """One seeded run.

    :param nodes: processes of the program; ``None`` to draw them.
    """

    def __init__(self, folder: pathlib.Path, seed: int, nodes: int | None) -> None:
        self._folder = folder
        self._random = rng = random.Random(f"soak in a storm {seed}")
        drawn = rng.randint(*NODES) if seed % LARGE_EVERY else LARGE_NODES
        self._nodes, self._boxes = nodes or drawn, rng.randint(*BOXES)
        platform = ("--profiles", "drawn", "--reading", "drawn", "--seed", str(seed))
        size = (self._nodes, self._boxes)
        self._cluster = NativeCluster(
            folder, *size, platform, (), spares=self._boxes // 4
        )
        self._observer = SoakObserver(self._cluster)
        self._storm = SoakStorm(seed, self._cluster, self._observer)
        self._clients = [
            SoakClient(seed, number, self._cluster, self._observer)
            for number in range(CLIENTS)
        ]
        # Long-running job -> number of its tasks.
        self._lasting = {
            f"{number:x}".rjust(16, "e"): rng.randint(*LASTING_TASKS)
            for number in range(rng.randint(*LASTING_JOBS))
        }
        self._culprit = "c" * 16 if rng.random() < CULPRIT_PROBABILITY else ""
        self._culprit_state = ""

    def run(self) -> Outcome:
        """Play, let everything recover, and judge.

        :raises RigFault: if the run shows nothing.
        """
        try:
            self._cluster.ready()
            self._observer.start(OBSERVED_NODES)
            self._start_lasting()
            for client in self._clients:
                client.start()
            self._storm.play(self._plan_culprit())
            self._observer.wait_for_decision()
            for client in self._clients:
                client.stop()
            self._watch_lasting()
            self._watch_culprit()
            broken = self._settle()
            self._observer.stop()
            self._cluster.check_rig()
            return self._judge(broken)
        except AssertionError:
            self._cluster.check_rig()
            raise
        finally:
            for client in self._clients:
                client.stop()
            self._observer.stop()
            self._cluster.stop()

    def _start_lasting(self) -> None:
        for job, count in self._lasting.items():
            step = {"count": count, "cpu": 1000, "mem_mb": 100, "long_running": True}
            self._cluster.submit(job, [step], spec=f"{LASTING_MS}:1000:100")
            self._observer.record_event(job, ClientEvent.ACCEPTED)
            self._observer.lasting.add(f"{job}.0.0")
        self._cluster.wait(lambda: not self._missing(), "all long-running tasks run")

    def _missing(self) -> dict[str, int]:
        """Return how many tasks of which long-running job run nowhere."""
        running = {
            task
            for box in self._cluster.all_boxes
            if box not in self._storm.left
            for task, _, how in self._cluster.rows(box)
            if not how
        }
        missing = {
            job: count - sum(job_of(task) == job for task in running)
            for job, count in self._lasting.items()
        }
        return {job: count for job, count in missing.items() if count}

    def _plan_culprit(self) -> t.Iterator[Event]:
        if not self._culprit:
            return
        rng = self._random
        lasting, count = rng.random() < 0.5, rng.randint(1, 2)
        if lasting:
            self._observer.lasting.add(f"{self._culprit}.0.0")
        step = {"count": count, "cpu": 1000, "mem_mb": 100, "long_running": lasting}
        spec = f"{rng.choice(CULPRIT_RUN_TIMES_MS)}:1000:100:crash"
        body = {"spec": spec, "steps": [step]}
        nodes = itertools.cycle(self._cluster.nodes())

        def submit() -> bool:
            address, path = self._cluster.fronts[next(nodes)], f"/jobs/{self._culprit}"
            try:
                accepted = self._cluster.call("POST", address, path, body, read_s=0.5)
            except NativeCluster.LOST:
                return False
            return accepted.status == 200

        yield Event(rng.uniform(*CULPRIT_DELAY_S), submit)

    def _watch_lasting(self) -> None:
        """Wait until all long-running tasks run, or should."""
        until = time.monotonic() + RESTART_S
        while self._missing() and time.monotonic() < until:
            time.sleep(TICK_S)
        self._observer.observed_until = time.monotonic()

    def _watch_culprit(self) -> None:
        """Wait until the job whose tasks crash boxes has ended, or has been tried for
        long while nothing else is disturbed."""
        until = time.monotonic() + CULPRIT_WATCH_S
        while self._culprit and time.monotonic() < until:
            self._culprit_state = self._cluster.state(self._culprit) or ""
            if self._culprit_state in END_STATES:
                return
            time.sleep(TICK_S)

    def _settle(self) -> list[str]:
        """Wait for the end of all jobs, and return which did not end as they should."""
        broken = [
            f"{count} tasks of {job} run nowhere"
            for job, count in self._missing().items()
        ]
        for job in [*self._lasting, *filter(None, [self._culprit])]:
            self._observer.record_event(job, ClientEvent.CANCEL_SENT)
            self._cluster.wait(functools.partial(self._cancel, job), f"{job} cancelled")
            broken += self._end(job, frozenset({"cancelled", "failed"}))
        for client in self._clients:
            for job, may_end in client.accepted:
                broken += self._end(job, may_end)
        return [*broken, *self._refused_that_ran()]

    def _cancel(self, job: str) -> bool:
        front = self._cluster.fronts[self._random.choice(self._cluster.nodes())]
        return self._cluster.call("DELETE", front, f"/jobs/{job}").status in (200, 410)

    def _end(self, job: str, may_end: frozenset[str]) -> t.Iterator[str]:
        """Wait for the end of a job, and yield how it should not have ended."""
        state: str | None = None
        until = time.monotonic() + SETTLE_S
        while state not in END_STATES and time.monotonic() < until:
            state = self._cluster.state(job)
            if state not in END_STATES:
                time.sleep(TICK_S)
        told = END_STATES.get(state or "")
        if told is not None:
            self._observer.record_event(job, told)
        elif state is None:
            self._observer.record_event(job, ClientEvent.UNANSWERED)
        if state not in may_end:
            yield f"{job} is {state} and should be one of {sorted(may_end)}"

    def _refused_that_ran(self) -> t.Iterator[str]:
        refused = {job for client in self._clients for job in client.refused}
        for box in self._cluster.all_boxes:
            for task, run, _ in self._cluster.rows(box):
                if job_of(task) in refused:
                    yield f"{task} run {run} ran, its job was refused"

    def _judge(self, broken: t.Sequence[str]) -> Outcome:
        verdict = self._observer.verdict(self._folder)
        late = [v for v in verdict.violations if v.kind is ViolationKind.LATE_RESTART]
        violations = [v for v in verdict.violations if v not in late]
        found = [f"{v.kind.name} {v.subject}: {v.text}" for v in violations]
        if violations:
            found.append(self._observer.trace(self._folder, violations[0].subject))
        culprits = self._observer.facts().culprits
        crashes = sorted(collections.Counter(crash.task for crash in culprits).values())
        jobs = sum(len(client.accepted) for client in self._clients)
        counts = dict(sorted(self._storm.counts.items()))
        size = (self._nodes, self._boxes, jobs)
        culprit = (self._culprit_state, crashes)
        return Outcome(*size, counts, *culprit, len(late), [*found, *broken])


def play(
    seed: int,
    folder: pathlib.Path | None = None,
    nodes: int | None = None,
    keep: bool = False,
) -> Outcome:
    """Play one seed; its logs and facts are kept if a promise is broken.

    :param folder: for the logs; a temporary one if ``None``.
    :param keep: whether to keep the logs in any case.
    :raises PromiseBroken: naming the seed, the logs and what was broken.
    :raises RigFault: if the run shows nothing; named alike.
    """
    prefix = f"granitetrestle-storm-{seed}-"
    logs = pathlib.Path(tempfile.mkdtemp(prefix=prefix, dir=folder))
    try:
        outcome = StormSoak(logs, seed, nodes).run()
    except RigFault as error:
        raise RigFault(f"seed {seed}, logs in {logs}: {error}") from error
    except AssertionError as error:
        raise PromiseBroken(f"seed {seed}, logs in {logs}: {error}") from error
    if outcome.violations:
        lines = "\n  ".join(outcome.violations)
        raise PromiseBroken(f"seed {seed}, logs in {logs}, {outcome[:-1]}:\n  {lines}")
    if not keep:
        shutil.rmtree(logs)
    return outcome


def main() -> None:
    """Play the seeds from FIRST up to END, each against processes of its own."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("first", type=int)
    parser.add_argument("end", type=int)
    parser.add_argument("--folder", type=pathlib.Path, help="for the logs")
    parser.add_argument("--nodes", type=int, help="drawn if left out")
    parser.add_argument("--keep", action="store_true", help="keep all logs")
    arguments = parser.parse_args()
    how = (arguments.folder, arguments.nodes, arguments.keep)
    failed = 0
    for seed in range(arguments.first, arguments.end):
        began = time.monotonic()
        try:
            said = f"ok {play(seed, *how)}"
        except PromiseBroken as error:
            failed += 1
            said = f"BROKEN {error}"
        except RigFault as error:
            failed += 1
            said = f"FAULT OF THE RIG {error}"
        print(f"seed {seed}: {time.monotonic() - began:.1f} s, {said}", flush=True)
    seeds = arguments.end - arguments.first
    print(f"{seeds - failed} kept, {failed} broken or without a verdict")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
