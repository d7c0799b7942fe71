"""Recorder of what clients and boxes observe during a soak of real processes, for
judging the run afterwards. It also requests the states of accepted jobs from every
process all the time, to record when a job was first shown as completed and when a
leader answers."""

import json
import pathlib
import threading
import time
import typing as t

import httpcore

from granitetrestle_standins.nativecluster import HOST
from granitetrestle_standins.nativecluster import NativeCluster
from granitetrestle_standins.runfacts import BoxFacts
from granitetrestle_standins.runfacts import BoxLoss
from granitetrestle_standins.runfacts import ClientEvent
from granitetrestle_standins.runfacts import ClientFact
from granitetrestle_standins.runfacts import CulpritCrash
from granitetrestle_standins.runfacts import Disorder
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

# Short against the limit for the next decision, DECISION_TIMEOUT_S.
REQUEST_INTERVAL_S: t.Final = 0.1
# A process that is frozen or cut off doesn't answer; the short timeout lets the next
# request go out soon.
REQUEST_TIMEOUT_S: t.Final = 0.6
GONE: t.Final = 410
OK: t.Final = 200
# Requested until a job is accepted: the answer that it is unknown also shows a leader.
UNKNOWN_JOB_ID: t.Final = "0" * 16
EVENT_BY_STATE: t.Final = {
    "completed": ClientEvent.COMPLETED,
    "failed": ClientEvent.FAILED,
    "cancelled": ClientEvent.CANCELLED,
}


class SoakObserver:
    """Records events of clients, its own requests included; one thread per process
    that is observed.

    :ivar last_fault: when the last disturbance that can keep the program from deciding
        ends, in seconds on the monotonic clock.
    :ivar lasting: long-running steps.
    :ivar losses: boxes that left for good.
    :ivar observed_until: until when everything was observed without disturbances.
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
        self.lasting: set[str] = set()
        self.losses: list[BoxLoss] = []
        self.observed_until: float | None = None
        self._disorders: list[Disorder] = []

    def start(self, most: int | None = None) -> None:
        """Start to send requests to each process, or to so many of them."""
        for name in self._cluster.nodes()[:most]:
            address = self._cluster.fronts[name]
            thread = threading.Thread(
                target=self._send_requests, args=(address,), daemon=True
            )
            thread.start()
            self._threads.append(thread)

    def stop(self) -> None:
        """Stop the requests and wait for their threads."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def record_disturbance(self, until: float = 0.0) -> None:
        """Record a disturbance that ends at ``until``, or now if that is later."""
        self.last_fault = max(self.last_fault, until, time.monotonic())

    def record_disorder(self, since: float, until: float) -> None:
        """Record a disturbance after which a leader may not have handed over in order.

        :param until: when it ended; a leader decides soon afterwards.
        """
        self.record_disturbance(until)
        self._disorders.append(Disorder(since, until + DECISION_TIMEOUT_S))

    def wait_for_decision(self) -> None:
        """Wait until a leader must have decided after the last disturbance."""
        time.sleep(max(0.0, self.last_fault + DECISION_TIMEOUT_S - time.monotonic()))

    def record_event(self, job: str, told: ClientEvent) -> None:
        """Record what a client received or sent, each event once per job."""
        with self._lock:
            if any(fact.job == job and fact.told is told for fact in self._clients):
                return
            self._clients.append(ClientFact(job, time.monotonic(), told))
            if told is ClientEvent.ACCEPTED:
                self._accepted.append(job)
            elif told in EVENT_BY_STATE.values():
                self._ended.add(job)

    def _next_job(self) -> str:
        """Return the job to request, unfinished ones more often than ended ones."""
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
        """Return everything that was recorded so far."""
        runs: list[RunFact] = []
        lapses: list[Lapse] = []
        refused: list[RefusedStart] = []
        epochs: list[EpochChange] = []
        culprits: list[CulpritCrash] = []
        for box in self._cluster.all_boxes:
            for incarnation in self._box_facts(box):
                runs += incarnation.runs
                lapses += incarnation.lapses
                refused += incarnation.refused
                epochs += incarnation.epochs
                culprits += incarnation.culprits
        with self._lock:
            return Facts(
                runs=runs,
                lapses=lapses,
                refused=refused,
                epochs=epochs,
                clients=list(self._clients),
                probes=list(self._probes),
                last_fault=self.last_fault,
                lasting=frozenset(self.lasting),
                losses=list(self.losses),
                disorders=list(self._disorders),
                culprits=culprits,
                observed_until=self.observed_until,
            )

    def _box_facts(self, box: int) -> t.Iterator[BoxFacts]:
        for incarnation in json.loads(self._cluster.box(box, "/test/facts").content):
            yield BoxFacts(
                [RunFact(*row) for row in incarnation["runs"]],
                [Lapse(*row) for row in incarnation["lapses"]],
                [RefusedStart(*row) for row in incarnation["refused"]],
                [EpochChange(*row) for row in incarnation["epochs"]],
                [CulpritCrash(*row) for row in incarnation["culprits"]],
            )

    def verdict(self, folder: pathlib.Path) -> Verdict:
        """Judge the run, and save the facts that it was judged by in ``folder``.

        :raises FactsIncomplete: if too little was recorded.
        """
        facts = self.facts()
        save_facts(facts, folder / "facts.json")
        return judge(facts)

    def trace(self, folder: pathlib.Path, subject: str) -> str:
        """Return the merged timeline of a task, job or box, and save it in ``folder``.

        :param subject: empty for the whole run, whose timeline is only saved.
        """
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
