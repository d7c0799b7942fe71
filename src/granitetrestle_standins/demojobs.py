"""The part of ``make demo`` that runs on the users' platform: the program itself as
separate processes, against the platform in small."""

import json
import pathlib
import subprocess
import sys
import time
import typing as t

from .demosteps import Step
from .demosteps import Summary
from .nativecluster import NativeCluster
from .nativecluster import Steps

__all__ = ["run"]

NODES: t.Final = 3
BOXES: t.Final = 4
LONG_MS: t.Final = "60000"
SHORT: Steps = [
    {"count": 3, "cpu": 1000, "mem_mb": 100},
    {"count": 2, "cpu": 1000, "mem_mb": 100, "depends_on": [0]},
]
WIDE: Steps = [{"count": 12, "cpu": 1000, "mem_mb": 100}]


class Demo(Summary):
    """Runs the steps on a started cluster."""

    def __init__(self, cluster: NativeCluster) -> None:
        super().__init__()
        self._cluster = cluster

    def run(self) -> list[Step]:
        """Run every step in order."""
        self._step(f"start: a platform, {BOXES} boxes, {NODES} nodes", self._start)
        self._step("job: two steps, handed in and completed", self._job)
        self._step("explain: its timeline from all logs", self._explain)
        self._step("cancel: a job of a minute", self._cancel)
        self._step("evacuate a hall: nothing further starts there", self._evacuate)
        self._step("kill the decider: another goes on, and knows", self._take_over)
        self._step("take the hall back", self._restore)
        self._step("status: figures of the decider", self._status)
        return self.steps

    def _start(self) -> str:
        self._cluster.ready()
        return f"{self._cluster.leader()} decides"

    def _job(self) -> str:
        job = "00000000000000d1"
        self._cluster.submit(job, SHORT)
        self._ends(job, "completed")
        runs = [row for row in self._cluster.history() if row[0].startswith(job)]
        return f"{job}: {len(runs)} tasks, each run once"

    def _ends(self, job: str, state: str) -> None:
        self._cluster.wait(lambda: self._cluster.state(job) == state, f"{job} {state}")

    def _explain(self) -> str:
        logs = [str(self._cluster.folder / f"{n}.log") for n in self._cluster.nodes()]
        words = ("explain", "00000000000000d1", f"--logs={','.join(logs)}", "--json")
        command = [sys.executable, "-m", "granitetrestle.cli", *words]
        done = subprocess.run(command, capture_output=True, check=True, timeout=20)
        moments = json.loads(done.stdout)
        return f"{len(moments)} lines, the last: {moments[-1]['event']}"

    def _cancel(self) -> str:
        job = "00000000000000d2"
        self._cluster.submit(job, SHORT, spec=LONG_MS)
        front = self._cluster.fronts["n1"]
        status = self._cluster.call("DELETE", front, f"/jobs/{job}").status
        self._ends(job, "cancelled")
        return f"answered {status}, the job is cancelled"

    def _evacuate(self) -> str:
        self._cluster.order("evacuate/hall-1", "%7B%7D")
        self._in_force(1.0)
        return self._where("00000000000000d3", {"hall-2"})

    def _in_force(self, halls: float) -> None:
        self._cluster.wait(
            lambda: self._cluster.figure("halls_evacuated") == halls, "in force"
        )

    def _where(self, job: str, halls: set[str]) -> str:
        self._cluster.submit(job, WIDE, self._cluster.leader(), spec="300")
        self._ends(job, "completed")
        started = [hall for hall, task in self._cluster.started() if job in task]
        if set(started) != halls:
            raise RuntimeError(f"tasks of {job} ran in {sorted(set(started))}")
        return f"{len(started)} tasks ran in {', '.join(sorted(halls))}"

    def _take_over(self) -> str:
        before = self._cluster.leader()
        self._cluster.kill(before)
        began = time.monotonic()
        self._cluster.wait(lambda: self._cluster.leader() != before, "a successor")
        took_s = time.monotonic() - began
        where = self._where("00000000000000d4", {"hall-2"})
        return f"{self._cluster.leader()} after {took_s:.1f} s; {where}"

    def _restore(self) -> str:
        self._cluster.order("evacuate/hall-1")
        self._in_force(0.0)
        return self._where("00000000000000d5", {"hall-1", "hall-2"})

    def _status(self) -> str:
        names = ("jobs", "boxes", "steps_waiting", "peers_known")
        figures = ((name, self._cluster.figure(name) or 0.0) for name in names)
        return ", ".join(f"{name} {value:g}" for name, value in figures)


def run(folder: pathlib.Path) -> list[Step]:
    """Run all steps.

    :raises RuntimeError: if a step does not come about.
    :raises AssertionError: if it takes too long.
    """
    cluster = NativeCluster(folder, NODES, BOXES)
    try:
        return Demo(cluster).run()
    finally:
        cluster.stop()
