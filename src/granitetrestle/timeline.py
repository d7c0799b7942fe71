"""Timeline of one job, from the logs of many machines.

It has the lines that carry the job's id and, as context, changes of the leader, of the
store and of the boxes that the job's lines name. Operators use it to investigate
complaints."""

import pathlib
import typing as t

import msgspec

from .errors import InvalidInput
from .errors import NotFound
from .interruptions import interruptions
from .interruptions import seconds_of_day

__all__ = ["TimelineEntry", "read_lines", "timeline"]

# Events that may be the cause of what happened to a job at that time.
CONTEXT_EVENTS: t.Final = frozenset(
    {
        "leader_lost",
        "taking_over",
        "took_over",
        "take_over_failed",
        "stepped_down",
        "handed_over",
        "leader_process_ended",
        "leases_inherited",
        "store_lost",
        "store_back",
        "stood_still",
        "started",
        "stopping",
        "config_in_force",
        "hall_evacuated",
        "hall_restored",
        "starts_held",
        "starts_go_on",
    }
)
BOX_EVENTS: t.Final = frozenset(
    {
        "box_silent",
        "box_answers",
        "box_draining",
        "box_contradicts_itself",
        "box_over",
        "box_put_aside",
        "leases_lapsed",
    }
)
# Events this long before a job's first line may still be its cause.
CONTEXT_BEFORE_S: t.Final = 3.0
# The fields that every line has.
COMMON_FIELDS: t.Final = ("event", "node", "timestamp")


class TimelineEntry(t.NamedTuple):
    """One line of the timeline.

    :param at: timestamp of the line.
    :param about: ``job`` if the line names the job, ``around`` if it is context.
    :param inputs: the other fields of the line.
    """

    at: str
    node: str
    about: t.Literal["job", "around"]
    event: str
    inputs: dict[str, t.Any]


def read_lines(paths: t.Iterable[str]) -> list[dict[str, t.Any]]:
    """Return the JSON lines of log files. Text before the first brace of a line, such
    as the prefix of a log collector, is ignored, and so are lines that are not JSON
    objects with the common fields.

    :raises InvalidInput: if a file can't be read.
    """
    lines: list[dict[str, t.Any]] = []
    for path in paths:
        try:
            text = pathlib.Path(path).read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            raise InvalidInput(f"{path}: {error.strerror}") from error
        for line in text.splitlines():
            start = line.find("{")
            if start < 0:
                continue
            try:
                fields = msgspec.json.decode(line[start:])
            except msgspec.DecodeError:
                continue
            if isinstance(fields, dict) and all(
                isinstance(fields.get(k), str) for k in COMMON_FIELDS
            ):
                lines.append(fields)
    return lines


def timeline(job: str, lines: t.Iterable[t.Mapping[str, t.Any]]) -> list[TimelineEntry]:
    """Return the timeline of ``job``, in the order of the machines' clocks. Lines about
    waits of long-running tasks also tell how long such a task was without a run in all,
    and which processes led meanwhile.

    :raises NotFound: if no line names it.
    """
    ordered = sorted(lines, key=lambda line: str(line["timestamp"]))
    job_lines = [line for line in ordered if _mentions(job, line)]
    if not job_lines:
        raise NotFound(f"no line names {job}", "give the logs of all machines")
    boxes = {
        str(line[key])
        for line in job_lines
        for key in ("box", "from", "to")
        if key in line
    }
    first = seconds_of_day(str(job_lines[0]["timestamp"])) - CONTEXT_BEFORE_S
    last = seconds_of_day(str(job_lines[-1]["timestamp"]))
    waits = interruptions(job, ordered)
    entries = []
    for position, line in enumerate(ordered):
        if _mentions(job, line):
            entry = _entry(line, "job")
            if position in waits:
                entry.inputs.update(waits[position]._asdict())
            entries.append(entry)
        elif first <= seconds_of_day(str(line["timestamp"])) <= last and _is_context(
            line, boxes
        ):
            entries.append(_entry(line, "around"))
    return entries


def _mentions(job: str, line: t.Mapping[str, t.Any]) -> bool:
    values = (line.get(key) for key in ("subject", "path", "task", "last"))
    return any(isinstance(value, str) and job in value for value in values)


def _is_context(line: t.Mapping[str, t.Any], boxes: t.AbstractSet[str]) -> bool:
    event = line["event"]
    return event in CONTEXT_EVENTS or (
        event in BOX_EVENTS and line.get("subject") in boxes
    )


def _entry(
    line: t.Mapping[str, t.Any], about: t.Literal["job", "around"]
) -> TimelineEntry:
    inputs = {key: value for key, value in line.items() if key not in COMMON_FIELDS}
    at, node, event = (str(line[key]) for key in ("timestamp", "node", "event"))
    return TimelineEntry(at, node, about, event, inputs)
