"""Clients of a soak of real processes. Each keeps its connection to one process open and
uses it until that process is gone, and then goes on with another process."""

import random
import threading
import typing as t

import httpcore

from .nativecluster import NativeCluster
from .runfacts import ClientEvent
from .soakobserver import SoakObserver

__all__ = ["ClientJob", "SoakClient"]

TIMEOUT_S: t.Final = 2.5
INTERVAL_S: t.Final = (0.1, 0.5)
RUN_TIMES_MS: t.Final = (50, 200, 600, 1500)
# Shares of the jobs of which every run fails, and that their client cancels.
FAILING_SHARE: t.Final = 0.04
CANCELLED_SHARE: t.Final = 0.03
# An attempt without a clear answer is repeated.
MAX_ATTEMPTS: t.Final = 100
RETRY_INTERVAL_S: t.Final = 0.1
OK: t.Final = 200
REFUSED: t.Final = (429, 503)


class ClientJob(t.NamedTuple):
    """A job that was accepted.

    :param may_end: the states in which it may end.
    """

    name: str
    may_end: frozenset[str]


class SoakClient(threading.Thread):
    """Submits short jobs until it is stopped.

    :ivar accepted: the jobs that were accepted.
    :ivar refused: the jobs that were refused, and not submitted again.
    """

    def __init__(
        self, seed: int, number: int, cluster: NativeCluster, observer: SoakObserver
    ) -> None:
        super().__init__(daemon=True)
        self._random = random.Random(f"client {seed} {number}")
        self._number = number
        self._cluster = cluster
        self._observer = observer
        self._node = self._random.choice(cluster.nodes())
        self._stopped = threading.Event()
        self.accepted: list[ClientJob] = []
        self.refused: set[str] = set()

    def run(self) -> None:
        """Submit one job after the other."""
        with httpcore.ConnectionPool(max_connections=1) as pool:
            submitted = 0
            while not self._stopped.wait(self._random.uniform(*INTERVAL_S)):
                submitted += 1
                self._submit(pool, f"{self._number:04x}{submitted:012x}")

    def stop(self) -> None:
        """Stop, and wait until the last job is accepted or refused."""
        self._stopped.set()
        if self.is_alive():
            self.join()

    def _submit(self, pool: httpcore.ConnectionPool, job: str) -> None:
        rng = self._random
        step = {"count": rng.randint(1, 5), "cpu": 1000, "mem_mb": 100}
        steps = [step, {**step, "depends_on": [0]}][: rng.randint(1, 2)]
        kind = rng.random()
        fails, cancels = kind < FAILING_SHARE, kind > 1.0 - CANCELLED_SHARE
        end = "failed" if fails else "done"
        spec = f"{rng.choice(RUN_TIMES_MS)}:{step['cpu']}:{step['mem_mb']}:{end}"
        for attempt in range(MAX_ATTEMPTS):
            status = self._call(pool, "POST", job, {"spec": spec, "steps": steps})
            if status == OK:
                break
            if status in REFUSED and not attempt:
                self._observer.record_event(job, ClientEvent.REFUSED)
                self.refused.add(job)
                return
            if self._stopped.wait(RETRY_INTERVAL_S):
                return
        else:
            return
        may_end = {"failed" if fails else "completed"}
        self._observer.record_event(job, ClientEvent.ACCEPTED)
        if cancels:
            may_end.add("cancelled")
            self._observer.record_event(job, ClientEvent.CANCEL_SENT)
            self._call(pool, "DELETE", job)
        self.accepted.append(ClientJob(job, frozenset(may_end)))

    def _call(
        self,
        pool: httpcore.ConnectionPool,
        method: str,
        job: str,
        body: t.Any = None,
    ) -> int:
        """Return a status, or 0 without an answer; the next call goes elsewhere then."""
        try:
            return self._cluster.call(
                method,
                self._cluster.fronts[self._node],
                f"/jobs/{job}",
                body,
                left_ms=int(TIMEOUT_S * 1000),
                read_s=TIMEOUT_S,
                pool=pool,
            ).status
        except NativeCluster.LOST:
            self._node = self._random.choice(self._cluster.nodes())
            return 0
