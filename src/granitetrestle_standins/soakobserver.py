"""What clients and boxes see while a soak of real processes goes on, for judging it
afterwards. Clients of its own ask every process about accepted jobs all the while, so
that it is known when a job was first shown as completed and whether somebody decides."""

import json
import pathlib
import threading
import time
import typing as t

import httpcore

from granitetrestle_standins.nativecluster import HOST
from granitetrestle_standins.nativecluster import NativeCluster
from granitetrestle_standins.runfacts import BoxFacts
from granitetrestle_standins.runfacts import ClientEvent
from granitetrestle_standins.runfacts import ClientFact
from granitetrestle_standins.runfacts import EpochChange
from granitetrestle_standins.runfacts import Facts
from granitetrestle_standins.runfacts import Lapse
from granitetrestle_standins.runfacts import Probe
from granitetrestle_standins.runfacts import RefusedStart
from granitetrestle_standins.runfacts import RunFact
from granitetrestle_standins.runfacts import save_facts
from granitetrestle_standins.runjudge import DECISION_TIMEOUT_S
from granitetrestle_standins.runjudge import Verdict
from granitetrestle_standins.runjudge import judge
from granitetrestle_standins.runtimeline import merged_timeline

__all__ = ["SoakObserver"]

# Fine enough to tell the bound for the next decision by.
REQUEST_INTERVAL_S: t.Final = 0.1
# A process that is frozen or cut off answers nothing; the next call goes out soon.
REQUEST_TIMEOUT_S: t.Final = 0.6
GONE: t.Final = 410
OK: t.Final = 200
# Asked for while no job was accepted yet; that nobody knows it is an answer as well.
UNKNOWN_JOB_ID: t.Final = "0" * 16
EVENT_BY_STATE: t.Final = {
    "completed": ClientEvent.COMPLETED,
    "failed": ClientEvent.FAILED,
    "cancelled": ClientEvent.CANCELLED,
}


class SoakObserver:
    """Notes what is seen, from threads of its own as well.

    :ivar last_fault: when the last disturbance is over that can keep the program from
        deciding, in seconds.
    """

    def __init__(self, cluster: NativeCluster) -> None:
        self._cluster = cluster
        self._lock = threading.Lock()
        self._clients: list[ClientFact] = []
        self._probes: list[Probe] = []
        self._accepted: list[str] = []
        self._ended: set[str] = set()
        self._request_count = 0
        self._stopped = threading.Event()
        self._threads: list[threading.Thread] = []
        self.last_fault = time.monotonic()

    def start(self) -> None:
        """Begin to ask each process."""
        for name in self._cluster.nodes():
            address = self._cluster.fronts[name]
            thread = threading.Thread(
                target=self._send_requests, args=(address,), daemon=True
            )
            thread.start()
            self._threads.append(thread)

    def stop(self) -> None:
        """Ask no more."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def record_disturbance(self, until: float = 0.0) -> None:
        """Note a disturbance that is over at ``until``, or now."""
        self.last_fault = max(self.last_fault, until, time.monotonic())

    def wait_for_decision(self) -> None:
        """Return once somebody has to have decided after the last disturbance."""
        time.sleep(max(0.0, self.last_fault + DECISION_TIMEOUT_S - time.monotonic()))

    def record_event(self, job: str, told: ClientEvent) -> None:
        """Note what a client was told, or sent; the same thing once for each job."""
        with self._lock:
            if any(fact.job == job and fact.told is told for fact in self._clients):
                return
            self._clients.append(ClientFact(job, time.monotonic(), told))
            if told is ClientEvent.ACCEPTED:
                self._accepted.append(job)
            elif told in EVENT_BY_STATE.values():
                self._ended.add(job)

    def _next_job(self) -> str:
        """Return the job to ask for: those under way more often than those ended."""
        with self._lock:
            self._request_count += 1
            jobs = self._accepted
            if self._request_count % 2:
                unfinished = [job for job in jobs if job not in self._ended]
                jobs = unfinished or jobs
            return (
                jobs[self._request_count // 2 % len(jobs)] if jobs else UNKNOWN_JOB_ID
            )

    def _send_requests(self, address: str) -> None:
        with httpcore.ConnectionPool(max_connections=1) as pool:
            while not self._stopped.is_set():
                self._request_job(pool, address, self._next_job())
                self._stopped.wait(REQUEST_INTERVAL_S)

    def _request_job(
        self, pool: httpcore.ConnectionPool, address: str, job: str
    ) -> None:
        sent = time.monotonic()
        answered: float | None = None
        try:
            response = pool.request(
                "GET",
                f"http://{address}/jobs/{job}",
                headers={
                    "Host": HOST,
                    "Deadline-Ms": str(int(REQUEST_TIMEOUT_S * 1000)),
                },
                extensions={
                    "timeout": dict.fromkeys(
                        ("connect", "read", "write", "pool"), REQUEST_TIMEOUT_S
                    )
                },
            )
        except NativeCluster.LOST:
            pass
        else:
            if response.status in (OK, GONE):
                answered = time.monotonic()
                self._record_answer(job, response)
        with self._lock:
            self._probes.append(Probe(sent, answered))

    def _record_answer(self, job: str, response: httpcore.Response) -> None:
        if response.status == GONE:
            if job != UNKNOWN_JOB_ID:
                self.record_event(job, ClientEvent.GONE)
            return
        event = EVENT_BY_STATE.get(json.loads(response.content)["state"])
        if event is not None:
            self.record_event(job, event)

    def facts(self) -> Facts:
        """Return all that was seen so far."""
        runs: list[RunFact] = []
        lapses: list[Lapse] = []
        refused: list[RefusedStart] = []
        epochs: list[EpochChange] = []
        for box in range(self._cluster.boxes):
            for incarnation in self._box_facts(box):
                runs += incarnation.runs
                lapses += incarnation.lapses
                refused += incarnation.refused
                epochs += incarnation.epochs
        with self._lock:
            return Facts(
                runs=runs,
                lapses=lapses,
                refused=refused,
                epochs=epochs,
                clients=list(self._clients),
                probes=list(self._probes),
                last_fault=self.last_fault,
            )

    def _box_facts(self, box: int) -> t.Iterator[BoxFacts]:
        for incarnation in json.loads(self._cluster.box(box, "/test/facts").content):
            yield BoxFacts(
                [RunFact(*row) for row in incarnation["runs"]],
                [Lapse(*row) for row in incarnation["lapses"]],
                [RefusedStart(*row) for row in incarnation["refused"]],
                [EpochChange(*row) for row in incarnation["epochs"]],
            )

    def verdict(self, folder: pathlib.Path) -> Verdict:
        """Judge the run, and write down in ``folder`` what it was judged by.

        :raises FactsIncomplete: if too little was seen.
        """
        facts = self.facts()
        save_facts(facts, folder / "facts.json")
        return judge(facts)

    def trace(self, folder: pathlib.Path, subject: str) -> str:
        """Return the merged timeline of a task, job or box, and keep it in ``folder``;
        that of the whole run is only kept."""
        facts = self.facts()._replace(last_fault=None)
        save_facts(facts, folder / "facts.json")
        violations = judge(facts).violations
        logs = sorted(folder.glob("n*.log"))
        offset_s = time.time() - time.monotonic()
        lines = merged_timeline(facts, subject, violations, logs, offset_s)
        text = "\n".join(lines)
        path = folder / "timeline.txt"
        path.write_text(text + "\n")
        return text if subject else f"{len(lines)} lines in {path}"
