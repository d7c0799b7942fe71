"""Why jobs were shown as failed, from the logs of many machines.

A job may be failed on what several leaders have counted one after the other, each of
which logged a part of it. Their lines together tell the way in which it was failed, and
all the evidence."""

import collections
import typing as t

from .failureevidence import EVIDENCE_EVENTS
from .failureevidence import Line
from .failureevidence import describe_evidence
from .failureevidence import describe_way
from .failureevidence import summarize_way
from .failureevidence import way_of
from .failureways import FAILURE_EVENTS
from .failureways import FailureWay
from .jobrecords import job_of_key

__all__ = ["Evidence", "JobFailure", "job_failures"]

# Lines say how much a piece of evidence weighs to a tenth, or to a hundredth.
WEIGHT_RESOLUTION: t.Final = 0.05
# Events with which a leader ends a job otherwise.
OTHER_END_EVENTS: t.Final = frozenset({"job_completed", "job_cancelled"})
# Events after which the epoch that a process leads in, if any, is not known.
LEADERSHIP_END_EVENTS: t.Final = frozenset(
    {"taking_over", "stepped_down", "handed_over", "leading_failed", "started"}
)


class Evidence(t.NamedTuple):
    """A piece of evidence on which a job was failed.

    :param at: timestamp of the line about it.
    :param node: the leader that counted it.
    :param epoch: of that leader; ``None`` if no line tells it.
    :param text: what it is, in plain words.
    """

    at: str
    node: str
    epoch: int | None
    event: str
    text: str
    inputs: dict[str, t.Any]


class JobFailure(t.NamedTuple):
    """The last decision that failed a job.

    :param at: timestamp of the line about it.
    :param node: the leader that decided it.
    :param epoch: of that leader; ``None`` if no line tells it.
    :param way: a :class:`.FailureWay`, or what the line of another version says.
    :param task: the task for which it was failed; empty if for none.
    :param failed_runs: how many runs that ended ``failed`` it rests on.
    :param summary: on what it was failed, in a few words.
    :param why: the same in a sentence.
    :param evidence: in the order of the machines' clocks.
    :param remarks: what restricts all this, as lines that are missing.
    """

    job: str
    queue: str
    at: str
    node: str
    epoch: int | None
    event: str
    way: str
    task: str
    failed_runs: int
    summary: str
    why: str
    evidence: list[Evidence]
    remarks: list[str]

    def as_answer(self) -> dict[str, t.Any]:
        """Return the fields by their names, for JSON."""
        evidence = [piece._asdict() for piece in self.evidence]
        return {**self._asdict(), "evidence": evidence}


def job_failures(lines: t.Iterable[Line]) -> list[JobFailure]:
    """Return the failures of all jobs, one for each job, in the order of their times.

    :param lines: of all machines.
    """
    reader = _Reader()
    for line in sorted(lines, key=lambda line: str(line["timestamp"])):
        reader.read(line)
    return reader.failures()


class _Reader:
    """Follows leaders, evidence and the ends of jobs through the lines."""

    def __init__(self) -> None:
        # Process -> the epoch in which it leads, as far as is known.
        self._epochs: dict[str, int] = {}
        # Event, and the job or task that it is about -> the evidence so far.
        self._evidence: dict[tuple[str, str], list[Evidence]] = collections.defaultdict(
            list
        )
        # Event and process -> lines that its rate limit left out.
        self._dropped: collections.Counter[tuple[str, str]] = collections.Counter()
        self._failures: dict[str, JobFailure] = {}

    def failures(self) -> list[JobFailure]:
        """Return the failure of each job."""
        failures = sorted(self._failures.values(), key=lambda failure: failure.at)
        for failure in failures:
            failure.remarks.extend(self._dropped_remarks(failure.way))
        return failures

    def read(self, line: Line) -> None:
        """Apply a line."""
        event, node, subject = (str(line.get(k)) for k in ("event", "node", "subject"))
        dropped = line.get("lines_dropped")
        if isinstance(dropped, int):
            self._dropped[event, node] += dropped
        if event in FAILURE_EVENTS:
            self._failures[subject] = self._failure(subject, line)
        elif event in OTHER_END_EVENTS and subject in self._failures:
            self._failures[subject].remarks.append(
                f"{event} by {node} at {line['timestamp']}: that leader does not know of "
                "the failure, which may never have been shown"
            )
        else:
            self._read_evidence(event, subject, line)
        if event == "took_over" and isinstance(line.get("epoch"), int):
            self._epochs[node] = line["epoch"]
        elif event in LEADERSHIP_END_EVENTS:
            self._epochs.pop(node, None)

    def _read_evidence(self, event: str, subject: str, line: Line) -> None:
        about: list[str] = []
        if event == "leading_failed":
            jobs = line.get("jobs")
            about = [str(job) for job in jobs] if isinstance(jobs, list) else []
        elif event == "record_refused":
            about = [job_of_key(str(line.get("key", "")))]
        elif event == "run_lost":
            about = [subject] if line.get("suspected") else []
        elif any(event in events for events in EVIDENCE_EVENTS.values()):
            about = [subject]
        for name in about:
            self._evidence[event, name].append(self._piece(event, line))

    def _epoch(self, line: Line) -> int | None:
        epoch = line.get("epoch")
        return epoch if isinstance(epoch, int) else self._epochs.get(str(line["node"]))

    def _piece(self, event: str, line: Line) -> Evidence:
        left_out = ("event", "node", "timestamp", "epoch")
        inputs = {key: value for key, value in line.items() if key not in left_out}
        at, node = str(line["timestamp"]), str(line["node"])
        text = describe_evidence(line)
        return Evidence(at, node, self._epoch(line), event, text, inputs)

    def _failure(self, job: str, line: Line) -> JobFailure:
        way = way_of(line)
        task = str(line.get("task", ""))
        evidence = self._evidence_of(way, task or job)
        failures = line.get("failures")
        failed_runs = failures if isinstance(failures, int) else 0
        remarks = _missing_remarks(way, line, evidence)
        earlier = self._failures.get(job)
        if earlier is not None:
            remarks.append(
                f"{earlier.node} had failed it as well, at {earlier.at}: "
                f"{earlier.summary}; its successor did not know of that"
            )
        return JobFailure(
            job=job,
            queue=str(line.get("queue", "")),
            at=str(line["timestamp"]),
            node=str(line["node"]),
            epoch=self._epoch(line),
            event=str(line["event"]),
            way=str(way),
            task=task,
            failed_runs=failed_runs if way == FailureWay.ATTEMPTS else 0,
            summary=summarize_way(line),
            why=describe_way(line),
            evidence=evidence,
            remarks=remarks,
        )

    def _evidence_of(self, way: str, name: str) -> list[Evidence]:
        """Return the evidence about a job or a task that leads to a way."""
        events = set(EVIDENCE_EVENTS.get(way, ()))
        if ("loss_weighed", name) in self._evidence:
            # The lost runs that it weighs are not evidence by themselves.
            events.discard("run_lost")
        pieces = [
            piece
            for event in sorted(events)
            for piece in self._evidence.get((event, name), ())
        ]
        return sorted(pieces, key=lambda piece: piece.at)

    def _dropped_remarks(self, way: str) -> list[str]:
        events = EVIDENCE_EVENTS.get(way, frozenset())
        return [
            f"{node} left out {count} lines {event}, of any job, over its rate limit"
            for (event, node), count in sorted(self._dropped.items())
            if event in events
        ]


def _missing_remarks(way: str, line: Line, evidence: list[Evidence]) -> list[str]:
    """Return a remark if evidence on which a job was failed has no line."""
    if way == FailureWay.ATTEMPTS:
        counted = len({piece.inputs.get("run") for piece in evidence})
        whole = counted >= _number(line, "failures")
    elif way == FailureWay.CRASHED_BOXES and "evidence" in line:
        weights = [_number(p.inputs, "weight") for p in evidence]
        short_by = _number(line, "evidence") - sum(weights)
        whole = short_by <= WEIGHT_RESOLUTION * (len(weights) + 1)
    elif way == FailureWay.CRASHED_BOXES:
        points = [_number(piece.inputs, "suspicion") for piece in evidence]
        whole = max(points, default=0.0) >= _number(line, "suspicion")
    else:
        whole = bool(evidence)
    if whole:
        return []
    reason = "" if "by" in line else ", or an older version wrote none"
    return [
        "not all of the evidence has a line in these logs: those of some machines are "
        f"missing{reason}"
    ]


def _number(fields: Line, key: str) -> float:
    value = fields.get(key)
    return float(value) if isinstance(value, int | float) else 0.0
