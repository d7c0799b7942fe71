"""``granitetrestle explain``: why a job waited or was failed, which jobs were failed and
why, how all jobs spent their time, and what the boxes' processor time went to."""

import collections
import typing as t

import msgspec
from absl import flags

from .client import Client
from .errors import InvalidInput
from .errors import NotFound
from .failureways import FAILURE_EVENTS
from .jobfailures import JobFailure
from .jobfailures import job_failures
from .jobtimes import queue_times
from .roomaccount import UNUSED
from .roomaccount import RoomUse
from .roomaccount import room_totals
from .tasktimes import PHASES
from .timeline import read_lines
from .timeline import timeline

__all__ = ["Result", "Rows", "explain", "explain_flags"]

# Given in place of a job: all jobs that ended in the logs, those of them that were
# failed, and processor time.
ALL_JOBS: t.Final = "all"
FAILED_JOBS: t.Final = "failed"
ROOM: t.Final = "room"
Rows: t.TypeAlias = list[list[t.Any]]


class Result(t.NamedTuple):
    """Output of a command: the answer, its table, and lines of text below that."""

    answer: t.Any
    header: list[str]
    rows: Rows
    text: tuple[str, ...] = ()


def explain_flags(values: flags.FlagValues) -> None:
    """Define the flags of the command."""
    flags.DEFINE_list(
        "logs", [], "log files of all boxes, to explain from", flag_values=values
    )


def explain(client: Client, args: list[str], options: t.Any) -> Result:
    """Explain what the argument names, from logs if they are given."""
    if args[0] in (ALL_JOBS, FAILED_JOBS, ROOM) and not options.logs:
        raise InvalidInput(
            f"explain {args[0]} needs the log files of all boxes (--logs)"
        )
    if args[0] == ALL_JOBS:
        return _summarize_jobs(options.logs)
    if args[0] == FAILED_JOBS:
        return _list_failed(options.logs)
    if args[0] == ROOM:
        return _summarize_room(options.logs)
    if options.logs:
        return _explain_from_logs(args[0], options.logs)
    answer = client.call("GET", f"/v1/jobs/{args[0]}/explain")
    return Result(answer, ["TASK", "WHY"], [[k, v] for k, v in answer.items()])


def _summarize_jobs(paths: list[str]) -> Result:
    queues = queue_times(read_lines(paths))
    if not queues:
        raise NotFound("no job ended in these logs", "give the logs of all boxes")
    rows = [
        [q.queue, q.jobs, q.failed, q.late, q.took_s, *q.phases.values()]
        for q in queues
    ]
    header = ["QUEUE", "JOBS", "FAILED", "LATE", "TOOK S"]
    header += [f"{phase.upper()} S" for phase in PHASES]
    return Result([q._asdict() for q in queues], header, rows)


def _list_failed(paths: list[str]) -> Result:
    lines = read_lines(paths)
    if not lines:
        raise NotFound("no lines in these logs", "give the logs of all boxes")
    failures = job_failures(lines)
    rows: Rows = [
        [f.job, f.way, f.task, f.failed_runs, f.summary, f.at, f.node, f.epoch]
        for f in failures
    ]
    header = ["JOB", "WAY", "TASK", "FAILED RUNS", "EVIDENCE", "AT", "NODE", "EPOCH"]
    text = _list_remarks(failures)
    by_way = collections.Counter(failure.way for failure in failures)
    text += [f"{way}: {number}" for way, number in sorted(by_way.items())]
    without = sum(not failure.failed_runs for failure in failures)
    text.append(f"jobs failed: {len(failures)}, without failed runs: {without}")
    text += [
        f"{line['node']} left out {line['lines_dropped']} lines {line['event']} over "
        "its rate limit: jobs may be missing here"
        for line in lines
        if line["event"] in FAILURE_EVENTS and "lines_dropped" in line
    ]
    answer = [failure.as_answer() for failure in failures]
    return Result(answer, header, rows, tuple(text))


def _list_remarks(failures: list[JobFailure]) -> list[str]:
    """Return each remark once, with the first job that it is about."""
    jobs: dict[str, list[str]] = {}
    for failure in failures:
        for remark in failure.remarks:
            jobs.setdefault(remark, []).append(failure.job)
    return [
        f"{first}{f' and {len(more)} more' if more else ''}: {remark}"
        for remark, (first, *more) in jobs.items()
    ]


def _summarize_room(paths: list[str]) -> Result:
    totals = room_totals(read_lines(paths))
    if not totals:
        raise NotFound(
            "no leader logged it in these logs", "give the logs of all boxes"
        )
    rows: Rows = []
    for service, uses in sorted(totals.items()):
        whole = sum(uses.values()) or 1.0
        for use in RoomUse:
            kind = "unused" if use in UNUSED else "used"
            share = round(100.0 * uses[use] / whole, 1)
            rows.append([service, kind, str(use), uses[use], share])
    header = ["SERVICE", "KIND", "USE", "CORE SECONDS", "PERCENT"]
    return Result(totals, header, rows)


def _explain_from_logs(job: str, paths: list[str]) -> Result:
    lines = read_lines(paths)
    timeline_entries = timeline(job, lines)
    rows = [
        [m.at, m.node, m.about, m.event, msgspec.json.encode(m.inputs).decode()]
        for m in timeline_entries
    ]
    text: tuple[str, ...] = ()
    for failure in job_failures(lines):
        if failure.job == job:
            text = _explain_failure(failure)
            for entry in timeline_entries:
                if (entry.event, entry.at) == (failure.event, failure.at):
                    entry.inputs["failure"] = failure.as_answer()
    answer = [timeline_entry._asdict() for timeline_entry in timeline_entries]
    header = ["AT", "NODE", "ABOUT", "EVENT", "INPUTS"]
    return Result(answer, header, rows, text)


def _explain_failure(failure: JobFailure) -> tuple[str, ...]:
    """Return why a job was failed, and each piece of evidence, as lines of text."""
    led = _leader(failure.node, failure.epoch)
    text = [
        f"failed at {failure.at} by {led}",
        f"way: {failure.way or '?'}",
        f"why: {failure.why}",
        "evidence:" if failure.evidence else "evidence: none in these logs",
    ]
    text += [
        f"  {piece.at}  {_leader(piece.node, piece.epoch)}  {piece.text}"
        for piece in failure.evidence
    ]
    return (*text, *(f"but: {remark}" for remark in failure.remarks))


def _leader(node: str, epoch: int | None) -> str:
    return node if epoch is None else f"{node} (epoch {epoch})"
