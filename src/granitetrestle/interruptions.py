"""How long long-running tasks were without a run, from the logs of many machines.

A task that loses its box waits for the box's lease first and then for another box, under
one leader or several, each of which knows a part of that. Their lines together tell the
whole, by the wall clocks of their machines."""

import re
import typing as t

__all__ = ["Interruption", "interruptions", "seconds_of_day"]

# Events after which a run that was started, by its number, does not run.
NOT_RUNNING_EVENTS: t.Final = frozenset(
    {
        "run_lost",
        "run_not_there",
        "start_in_doubt",
        "start_rejected",
        "start_withdrawn",
    }
)
TIMESTAMP_PATTERN: t.Final = re.compile(r"T(\d\d):(\d\d):(\d\d(?:\.\d+)?)Z$")

Line: t.TypeAlias = t.Mapping[str, t.Any]


class Interruption(t.NamedTuple):
    """A time without a run, as of one line about it.

    :param without_run_s: seconds up to that line.
    :param leaders: the processes that led meanwhile, in order.
    """

    without_run_s: float
    leaders: list[str]


def interruptions(job: str, lines: t.Iterable[Line]) -> dict[int, Interruption]:
    """Return position of a line -> the interruption that it is about, for the lines about
    waits of long-running tasks of ``job``.

    :param lines: of all machines, in the order of their timestamps.
    """
    reader = _Reader(job)
    found = {}
    for position, line in enumerate(lines):
        interruption = reader.read(line)
        if interruption is not None:
            found[position] = interruption
    return found


class _Reader:
    """Follows boxes, leaders and the tasks of one job through the lines."""

    def __init__(self, job: str) -> None:
        self._prefix = f"{job}."
        # Box -> when it was first reported silent since it last answered.
        self._silent: dict[str, float] = {}
        # Task -> since when it has not run, and its last run that does not run.
        self._stopped: dict[str, tuple[float, int]] = {}
        # When each leader took over.
        self._leaders: list[tuple[float, str]] = []

    def read(self, line: Line) -> Interruption | None:
        """Apply a line; return the interruption if it is about one."""
        event, subject = line["event"], str(line.get("subject", ""))
        at = seconds_of_day(str(line["timestamp"]))
        if event == "took_over":
            self._leaders.append((at, str(line["node"])))
        elif event == "box_silent":
            self._silent.setdefault(subject, at)
        elif event in ("box_answers", "box_adopted"):
            self._silent.pop(subject, None)
        if not subject.startswith(self._prefix):
            return None
        run = line.get("run")
        if event in NOT_RUNNING_EVENTS and isinstance(run, int):
            self._record_stop(subject, run, at, str(line.get("box", "")))
        elif event in ("lasting_waits", "lasting_wait_over"):
            return self._interruption(subject, line, at)
        return None

    def _record_stop(self, task: str, run: int, at: float, box: str) -> None:
        since, last_run = self._stopped.get(task, (at, run))
        if run > last_run + 1:
            # There was a run in between of which no line tells that it failed to start.
            since = at
        silent_since = self._silent.get(box, at)
        self._stopped[task] = min(since, silent_since), max(run, last_run)

    def _interruption(self, subject: str, line: Line, at: float) -> Interruption:
        began = at - float(line.get("waited_s", 0.0))
        if line["event"] == "lasting_wait_over":
            since, last_run = self._stopped.pop(subject, (began, -1))
            if line.get("run") == last_run + 1:
                began = min(began, since)
        else:
            # It names a step, of which some tasks may run.
            since = min(
                (
                    since
                    for task, (since, _) in self._stopped.items()
                    if task.startswith(f"{subject}.")
                ),
                default=began,
            )
            began = min(began, since)
        return Interruption(round(at - began, 2), self._leaders_between(began, at))

    def _leaders_between(self, began: float, ended: float) -> list[str]:
        before = [node for at, node in self._leaders if at <= began]
        return before[-1:] + [node for at, node in self._leaders if began < at <= ended]


def seconds_of_day(timestamp: str) -> float:
    """Return the seconds since midnight, or 0 for an unknown format; the logs of one
    complaint are of one day."""
    match = TIMESTAMP_PATTERN.search(timestamp)
    if match is None:
        return 0.0
    hours, minutes, seconds = match.groups()
    return int(hours) * 3600 + int(minutes) * 60 + float(seconds)
