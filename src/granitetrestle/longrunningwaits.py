"""Reports why long-running tasks wait for a box.

Accounts are promised that such a task runs again within six seconds while there is room
for it. A task that waits longer does so for one of many causes, which can't be
distinguished afterwards, so that each cause is logged while it applies."""

import collections
import enum
import math
import typing as t

from .boxes import BoxView
from .boxsearch import is_eligible
from .decisions import LogEvent
from .headroom import Headroom
from .roomtakers import RoomTakers
from .shardstate import ShardState
from .shardstate import WaitingStep
from .workflows import Task

__all__ = ["LongRunningWaits", "WaitCause", "wait_over_events"]

# Shorter waits are normal: a poll, a write and a command take up to one second.
REPORT_THRESHOLD_S: t.Final = 3.0
REPORT_INTERVAL_S: t.Final = 2.0
# Maximum number of waits in a report, the longest first.
MAX_REPORTS: t.Final = 6
# Finding the cause for a step examines all boxes, which takes 3 to 6 us each. A report
# examines up to this many for all steps together, but explains one step in any case; a
# shard with more boxes reports less often.
MAX_BOXES_EXAMINED: t.Final = 6000
REPORT_INTERVAL_PER_BOX_S: t.Final = 0.001
# A step that no pass has visited for this long is not reached by the passes.
UNREACHED_THRESHOLD_S: t.Final = 0.5


class WaitCause(enum.StrEnum):
    """Why a long-running task waits."""

    # Its box is silent or no longer listed, and may run the task until its lease ends.
    LEASE = "lease"
    # Operators' directives may be out of date, or no pass gets this far in the order.
    UNREACHED = "unreached"
    # No box of its service answers, is listed and is not leaving.
    NO_BOX = "no_box"
    # The advice service has named none of the open boxes, or has not answered yet.
    ADVICE = "advice"
    # No box has the labels that the task requires.
    LABELS = "labels"
    # No box has enough unreserved processor time.
    CPU = "cpu"
    # No box has enough unreserved memory.
    MEMORY = "memory"
    # Boxes with room run the maximum number of tasks of its step already.
    PER_BOX = "per_box"
    # The only boxes with room are quarantined, as runs there keep failing.
    QUARANTINE = "put_aside"
    # The only boxes with room are in evacuated data halls.
    EVACUATED = "evacuated"
    # The only boxes with room are reserved for short tasks.
    RESERVED = "kept"
    # A box can take the task: it starts in the next pass.
    NONE = "none"


# Causes that exclude boxes, in the order of the checks. The last one that excludes a
# box is what a task waits for.
EXCLUSION_CAUSES: t.Final = (
    WaitCause.NO_BOX,
    WaitCause.ADVICE,
    WaitCause.LABELS,
    WaitCause.CPU,
    WaitCause.MEMORY,
    WaitCause.PER_BOX,
    WaitCause.EVACUATED,
    WaitCause.QUARANTINE,
    WaitCause.RESERVED,
    WaitCause.NONE,
)


class LongRunningWaits:
    """Logs and counts long-running tasks that have waited for long.

    :ivar causes: cause -> number of such tasks, as of the last report.
    """

    def __init__(self, state: ShardState) -> None:
        self._state = state
        self._reported_at = -1e9
        self.causes: dict[WaitCause, int] = {}

    def report(
        self,
        headroom: Headroom,
        room_takers: RoomTakers,
        max_starts: int,
        inherited_leases_end: t.Callable[[str], float],
        now: float,
    ) -> t.Iterator[LogEvent]:
        """Report every few seconds why long-running tasks have waited for long, and which
        tasks took room from them since the last report.

        :param room_takers: records which tasks take room.
        :param max_starts: limit of starts in the pass.
        :param inherited_leases_end: maps the incarnation of a box to the time when the
            last lease that a predecessor may have given it ends.
        """
        boxes = max(1, len(self._state.boxes))
        if now - self._reported_at < max(
            REPORT_INTERVAL_S, boxes * REPORT_INTERVAL_PER_BOX_S
        ):
            return
        self._reported_at = now
        causes: collections.Counter[WaitCause] = collections.Counter()
        waits = [
            entry
            for entry in self._state.waiting.values()
            if entry.spec.long_running
            and now - _waits_since(entry) > REPORT_THRESHOLD_S
        ]
        waits.sort(key=_waits_since)
        yield from room_takers.report(now)
        del waits[max(1, min(MAX_REPORTS, MAX_BOXES_EXAMINED // boxes)) :]
        room_takers.watch(waits)
        for entry in waits:
            cause, inputs = self._explain(entry, headroom, now)
            causes[cause] += len(entry.tasks)
            inputs["most_starts"] = max_starts
            yield LogEvent("lasting_waits", entry.name, inputs)
        lease_waits = [
            *self._silent_boxes(now),
            *self._unlisted_boxes(inherited_leases_end, now),
        ]
        causes[WaitCause.LEASE] += sum(note.inputs["tasks"] for note in lease_waits)
        yield from lease_waits[:MAX_REPORTS]
        self.causes = causes

    def _needs_advice(self, entry: WaitingStep) -> bool:
        queue = self._state.queues.get(entry.workflow.submission.queue)
        return queue is not None and queue.advised

    def _count_exclusions(
        self, entry: WaitingStep, headroom: Headroom, now: float
    ) -> dict[WaitCause, int]:
        """Return how many boxes each cause excludes that no earlier cause excluded."""
        counts = dict.fromkeys(EXCLUSION_CAUSES, 0)
        service = self._state.service_of(entry.workflow)
        advised = self._needs_advice(entry)
        for box in self._state.boxes.values():
            if box.entry.service == service:
                counts[_exclusion_cause(entry, box, advised, headroom, now)] += 1
        return counts

    def _explain(
        self, entry: WaitingStep, headroom: Headroom, now: float
    ) -> tuple[WaitCause, dict[str, t.Any]]:
        step = entry.spec
        counts = self._count_exclusions(entry, headroom, now)
        last = (cause for cause in reversed(EXCLUSION_CAUSES) if counts[cause])
        cause = next(last, WaitCause.NO_BOX)
        if (
            cause is WaitCause.NONE
            and now - entry.last_visited_at > UNREACHED_THRESHOLD_S
        ):
            cause = WaitCause.UNREACHED
        inputs = {
            "cause": cause.value,
            "waited_s": round(now - _waits_since(entry), 2),
            "tasks": len(entry.tasks),
            "cpu": step.cpu,
            "memory_mb": step.memory_mb,
            "per_box": step.per_box,
            "reached_s_ago": _seconds_since(entry.last_visited_at, now),
            "suspects": entry.suspects,
            "boxes": {cause.value: count for cause, count in counts.items() if count},
            "roomy_since_s_ago": _seconds_since(entry.room_since, now),
            "roomy_s_ago": _seconds_since(entry.room_seen_at, now),
        }
        if self._needs_advice(entry):
            inputs["asked_s_ago"] = _seconds_since(entry.advice.asked_at, now)
            inputs["advice_left_s"] = round(entry.advice.left_s(now), 2)
        return cause, inputs

    def _silent_boxes(self, now: float) -> t.Iterator[LogEvent]:
        for box in self._state.boxes.values():
            since = box.silent_since
            if since is None or now - since <= REPORT_THRESHOLD_S:
                continue
            long_running_tasks = sum(
                task.spec.long_running for task in box.tasks.values()
            )
            if not long_running_tasks:
                continue
            inputs = {
                "cause": WaitCause.LEASE.value,
                "silent_s": round(now - since, 2),
                "tasks": long_running_tasks,
                "lease_left_s": round(box.lease_ends - now, 2),
                "listed": box.listed,
                "adopted": box.adopted,
            }
            yield LogEvent("lasting_waits", box.incarnation, inputs)

    def _unlisted_boxes(
        self, inherited_leases_end: t.Callable[[str], float], now: float
    ) -> t.Iterator[LogEvent]:
        for incarnation, tasks in self._state.inherited.items():
            long_running_tasks = sum(
                task.spec.long_running for task in tasks if task.box == incarnation
            )
            if not long_running_tasks:
                continue
            inputs = {
                "cause": WaitCause.LEASE.value,
                "tasks": long_running_tasks,
                "lease_left_s": round(inherited_leases_end(incarnation) - now, 2),
                "listed": False,
            }
            yield LogEvent("lasting_waits", incarnation, inputs)


def _waits_since(entry: WaitingStep) -> float:
    """Return since when the task waits that has waited longest; others of its step may
    have started meanwhile."""
    waits = (task.times.waits_since for task in entry.tasks.values())
    return min((since for since in waits if since is not None), default=math.inf)


def wait_over_events(task: Task) -> list[LogEvent]:
    """Return the event that ends the reports about a long-running task's wait, which may
    have begun under earlier leaders, now that its start was accepted."""
    waited_s = task.times.last_wait_s
    if not task.spec.long_running or waited_s <= REPORT_THRESHOLD_S:
        return []
    inputs = {"run": task.run, "box": task.box, "waited_s": round(waited_s, 2)}
    return [LogEvent("lasting_wait_over", task.name, inputs)]


def _exclusion_cause(
    entry: WaitingStep,
    box: BoxView,
    advised: bool,
    headroom: Headroom,
    now: float,
) -> WaitCause:
    """Return the first cause that excludes a box for a step.

    :param advised: whether advice names the boxes that may run the step.
    """
    step = entry.spec
    if not box.reachable:
        return WaitCause.NO_BOX
    if advised and not entry.advice.has_ticket(box.incarnation):
        return WaitCause.ADVICE
    if not box.entry.labels.issuperset(step.required_labels):
        return WaitCause.LABELS
    if step.cpu > box.cpu_free:
        return WaitCause.CPU
    if not box.fits(step):
        return WaitCause.MEMORY
    return _closing_cause(entry, box, headroom, now)


def _closing_cause(
    entry: WaitingStep, box: BoxView, headroom: Headroom, now: float
) -> WaitCause:
    """Return the first cause that excludes a box that has room."""
    task = next(iter(entry.tasks.values()), None)
    if task is not None and not is_eligible(entry.spec, task, box):
        return WaitCause.PER_BOX
    if box.evacuated:
        return WaitCause.EVACUATED
    if now < box.closed_until:
        return WaitCause.QUARANTINE
    return WaitCause.RESERVED if headroom.is_reserved(box) else WaitCause.NONE


def _seconds_since(at: float, now: float) -> float | None:
    """Return the seconds since a time, or ``None`` if ``at`` is not set."""
    return round(now - at, 2) if at > 0.0 else None
