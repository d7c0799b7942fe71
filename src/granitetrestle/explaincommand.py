"""``granitetrestle explain``: why a job waited, how all jobs spent their time, and what
the boxes' processor time went to."""

import typing as t

import msgspec
from absl import flags

from .client import Client
from .errors import InvalidInput
from .errors import NotFound
from .jobtimes import queue_times
from .roomaccount import UNUSED
from .roomaccount import RoomUse
from .roomaccount import room_totals
from .tasktimes import PHASES
from .timeline import read_lines
from .timeline import timeline

__all__ = ["Result", "Rows", "explain", "explain_flags"]

# Given in place of a job: all jobs that ended in the logs, and processor time.
ALL_JOBS: t.Final = "all"
ROOM: t.Final = "room"
Rows: t.TypeAlias = list[list[t.Any]]


class Result(t.NamedTuple):
    """Output of a command: the answer, and its table."""

    answer: t.Any
    header: list[str]
    rows: Rows


def explain_flags(values: flags.FlagValues) -> None:
    """Define the flags of the command."""
    flags.DEFINE_list(
        "logs", [], "log files of all boxes, to explain from", flag_values=values
    )


def explain(client: Client, args: list[str], options: t.Any) -> Result:
    """Explain what the argument names, from logs if they are given."""
    if args[0] in (ALL_JOBS, ROOM) and not options.logs:
        raise InvalidInput(
            f"explain {args[0]} needs the log files of all boxes (--logs)"
        )
    if args[0] == ALL_JOBS:
        return _summarize_jobs(options.logs)
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
    timeline_entries = timeline(job, read_lines(paths))
    rows = [
        [m.at, m.node, m.about, m.event, msgspec.json.encode(m.inputs).decode()]
        for m in timeline_entries
    ]
    answer = [timeline_entry._asdict() for timeline_entry in timeline_entries]
    return Result(answer, ["AT", "NODE", "ABOUT", "EVENT", "INPUTS"], rows)
