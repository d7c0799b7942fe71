"""Timeline of one task, for tracing a violation: what its boxes did, what clients sent
and received about its job, and what the program's own logs say, in order of time."""

import datetime
import pathlib
import typing as t

import msgspec

from granitetrestle.errors import NotFound
from granitetrestle.timeline import read_lines
from granitetrestle.timeline import timeline
from granitetrestle_standins.runfacts import Facts
from granitetrestle_standins.runfacts import RunFact
from granitetrestle_standins.runfacts import job_of
from granitetrestle_standins.runjudge import Violation

__all__ = ["Entry", "merged_timeline", "task_entries"]

# Boxes are polled all the time; expired leases and changes of epoch further than this
# from the task's first and last entry don't concern it.
CONTEXT_S: t.Final = 3.0


class Entry(t.NamedTuple):
    """One line of a timeline; ``at`` in seconds on the platform's clock."""

    at: float
    who: str
    text: str


def task_entries(
    facts: Facts, subject: str, violations: t.Sequence[Violation] = ()
) -> list[Entry]:
    """Return what boxes and clients observed of a task, of all tasks of a job, or of all
    tasks that ran on a box.

    :param subject: the task, job or incarnation of a box.
    :param violations: found ones; those of the subject are added to the timeline.
    """
    job = job_of(subject)
    runs = [
        run
        for run in facts.runs
        if _belongs_to(run.task, subject) or run.box == subject
    ]
    entries = [entry for run in runs for entry in _run_entries(run)]
    boxes = {run.box for run in runs}
    for refused in facts.refused:
        if _belongs_to(refused.task, subject) or refused.box == subject:
            boxes.add(refused.box)
            unfenced_result = "accepted" if refused.acceptable else "refused too"
            text = (
                f"{refused.task} run {refused.run} of epoch {refused.epoch} refused, "
                f"highest seen: {refused.highest}; without fences: {unfenced_result}"
            )
            entries.append(Entry(refused.at, refused.box, text))
    for crash in facts.culprits:
        if _belongs_to(crash.task, subject) or crash.box == subject:
            entries.append(Entry(crash.at, crash.box, f"{crash.task} crashed it"))
    for fact in facts.clients:
        if fact.job == job:
            entries.append(Entry(fact.at, "client", f"{job} {fact.told.value}"))
    for violation in violations:
        if violation.subject and _belongs_to(violation.subject, subject):
            text = f"VIOLATION {violation.kind.value}: {violation.text}"
            entries.append(Entry(violation.at, "judge", text))
    entries += _box_context(facts, boxes, entries)
    return sorted(entries, key=lambda entry: entry.at)


def _belongs_to(task: str, subject: str) -> bool:
    return task == subject or task.startswith(f"{subject}.")


def _run_entries(run: RunFact) -> t.Iterator[Entry]:
    name = f"{run.task} run {run.run}"
    how = ", executed late" if run.held_up else ""
    yield Entry(run.arrived, run.box, f"{name}: command of epoch {run.epoch}{how}")
    yield Entry(run.began, run.box, f"{name} started")
    if run.ended is not None:
        yield Entry(run.ended, run.box, f"{name} ended, {run.how}")
    if run.noted is not None:
        yield Entry(run.noted, run.box, f"{name}: end acknowledged")


def _box_context(
    facts: Facts, boxes: t.Collection[str], entries: t.Sequence[Entry]
) -> t.Iterator[Entry]:
    """Yield expired leases and changes of epoch on the boxes, close to the entries."""
    if not entries:
        return
    first = min(entry.at for entry in entries) - CONTEXT_S
    last = max(entry.at for entry in entries) + CONTEXT_S
    for lapse in facts.lapses:
        if lapse.box in boxes and first <= lapse.at <= last:
            yield Entry(lapse.at, lapse.box, "lease expired")
    for change in facts.epochs:
        if change.box in boxes and first <= change.at <= last:
            text = f"executes commands of epoch {change.epoch}"
            yield Entry(change.at, change.box, text)


def merged_timeline(
    facts: Facts,
    subject: str,
    violations: t.Sequence[Violation],
    logs: t.Iterable[pathlib.Path],
    clock_offset_s: float,
) -> list[str]:
    """Return one line for each fact about a task and each log line about its job.

    :param clock_offset_s: added to the platform's clock to get the time of day.
    """
    lines = [
        (_time_of_day(entry.at + clock_offset_s), entry.who, entry.text)
        for entry in task_entries(facts, subject, violations)
    ]
    try:
        logged_entries = timeline(job_of(subject), read_lines(str(log) for log in logs))
    except NotFound:
        logged_entries = []
    for logged in logged_entries:
        text = f"{logged.event} {msgspec.json.encode(logged.inputs).decode()}"
        lines.append((logged.at, logged.node, text))
    lines.sort(key=lambda line: line[0])
    return [f"{at}  {who:12}  {text}" for at, who, text in lines]


def _time_of_day(seconds: float) -> str:
    at = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return at.strftime("%Y-%m-%dT%H:%M:%S.%fZ")
