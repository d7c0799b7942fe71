"""Says why lasting tasks wait for a box. Accounts are promised that such a task runs
again within six seconds while there is room for it; one that does not has waited for one
of many causes, which can't be told apart afterwards, so that each is named while it
holds."""

import collections
import enum
import typing as t

from .boxes import BoxView
from .boxsearch import suits
from .decisions import LogEvent
from .headroom import Headroom
from .shardstate import ShardState
from .shardstate import WaitingStep

__all__ = ["LongRunningWaits", "WaitCause"]

# Waits that are shorter are usual: a look, a write and an order take up to one second.
REPORT_THRESHOLD_S: t.Final = 3.0
# How often waits are told, and how many at a time, the longest first.
REPORT_INTERVAL_S: t.Final = 2.0
MAX_REPORTS: t.Final = 6
# To tell why a step waits looks at all boxes, 3 to 6 us each. So many are looked at for
# all steps together, but for one step in any case; and where there are more, more seldom.
MAX_BOXES_EXAMINED: t.Final = 6000
REPORT_INTERVAL_PER_BOX_S: t.Final = 0.001
# A step that no pass has looked at for so long is not reached by them.
UNREACHED_THRESHOLD_S: t.Final = 0.5


class WaitCause(enum.StrEnum):
    """What a lasting task waits for."""

    # Its box is silent, or not listed any more, and may run it until its lease is over.
    LEASE = "lease"
    # Operators' orders are not known of late, or no pass comes so far in the order.
    UNREACHED = "unreached"
    # No box of its service answers, is listed and stays.
    NO_BOX = "no_box"
    # The advice service has named none of the open boxes, or not answered yet.
    ADVICE = "advice"
    # No box may run it by its labels.
    LABELS = "labels"
    # No box has unreserved processor time, or memory, enough.
    CPU = "cpu"
    MEMORY = "memory"
    # Boxes with room have as many tasks of its step as they may.
    PER_BOX = "per_box"
    # The only boxes with room fail what they start, or are in evacuated data halls.
    QUARANTINE = "put_aside"
    EVACUATED = "evacuated"
    # Boxes with room are kept for short work.
    RESERVED = "kept"
    # A box may take it: it starts with the next pass.
    NONE = "none"


# What rules boxes out, from what is seen first; the last of them that rules one out is
# what a task waits for.
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
    """Tells of lasting work that waits for long.

    :ivar causes: cause -> how many tasks have waited for long, as last told.
    """

    def __init__(self, state: ShardState) -> None:
        self._state = state
        self._reported_at = -1e9
        self.causes: dict[WaitCause, int] = {}

    def report(
        self,
        headroom: Headroom,
        max_starts: int,
        inherited_ends: t.Callable[[str], float],
        now: float,
    ) -> t.Iterator[LogEvent]:
        """Note why lasting work has waited for long, every few seconds.

        :param most_starts: how many orders the pass may give.
        :param inherited_ends: when no lease that a predecessor gave a box can run any
            more, by its life.
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
            if entry.spec.long_running and now - entry.waits_since > REPORT_THRESHOLD_S
        ]
        waits.sort(key=lambda entry: entry.waits_since)
        for entry in waits[: max(1, min(MAX_REPORTS, MAX_BOXES_EXAMINED // boxes))]:
            cause, inputs = self._explain(entry, headroom, now)
            causes[cause] += len(entry.tasks)
            inputs["most_starts"] = max_starts
            yield LogEvent("lasting_waits", _step_name(entry), inputs)
        lease_waits = [
            *self._silent_boxes(now),
            *self._unlisted_boxes(inherited_ends, now),
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
        """Return how many boxes each cause rules out, after those before it."""
        counts = dict.fromkeys(EXCLUSION_CAUSES, 0)
        service = self._state.service_of(entry.workflow)
        tickets = entry.tickets if self._needs_advice(entry) else None
        for box in self._state.boxes.values():
            if box.entry.service == service:
                counts[_exclusion_cause(entry, box, tickets, headroom, now)] += 1
        return counts

    def _explain(
        self, entry: WaitingStep, headroom: Headroom, now: float
    ) -> tuple[WaitCause, dict[str, t.Any]]:
        step = entry.spec
        counts = self._count_exclusions(entry, headroom, now)
        last = (cause for cause in reversed(EXCLUSION_CAUSES) if counts[cause])
        cause = next(last, WaitCause.NO_BOX)
        if cause is WaitCause.NONE and now - entry.reached_at > UNREACHED_THRESHOLD_S:
            cause = WaitCause.UNREACHED
        inputs = {
            "cause": cause.value,
            "waited_s": round(now - entry.waits_since, 2),
            "tasks": len(entry.tasks),
            "cpu": step.cpu,
            "memory_mb": step.memory_mb,
            "per_box": step.per_box,
            "reached_s_ago": _seconds_since(entry.reached_at, now),
            "suspects": entry.suspects,
            "boxes": {cause.value: count for cause, count in counts.items() if count},
            "roomy_since_s_ago": _seconds_since(entry.roomy_since, now),
            "roomy_s_ago": _seconds_since(entry.roomy_at, now),
        }
        if self._needs_advice(entry):
            inputs["asked_s_ago"] = _seconds_since(entry.asked_at, now)
            inputs["advice_left_s"] = round(entry.advice_until - now, 2)
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
        self, inherited_ends: t.Callable[[str], float], now: float
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
                "lease_left_s": round(inherited_ends(incarnation) - now, 2),
                "listed": False,
            }
            yield LogEvent("lasting_waits", incarnation, inputs)


def _exclusion_cause(
    entry: WaitingStep,
    box: BoxView,
    tickets: t.Collection[str] | None,
    headroom: Headroom,
    now: float,
) -> WaitCause:
    """Return the first cause for which a box does not take a task of a step.

    :param tickets: the boxes that advice names, if the step needs it.
    """
    step = entry.spec
    if not box.reachable:
        return WaitCause.NO_BOX
    if tickets is not None and box.incarnation not in tickets:
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
    """Return the first cause for which a box that has room does not take a task."""
    task = next(iter(entry.tasks.values()), None)
    if task is not None and not suits(entry.spec, task, box):
        return WaitCause.PER_BOX
    if box.evacuated:
        return WaitCause.EVACUATED
    if now < box.closed_until:
        return WaitCause.QUARANTINE
    return WaitCause.RESERVED if headroom.is_reserved(box) else WaitCause.NONE


def _seconds_since(at: float, now: float) -> float | None:
    """Return how long ago something was, or ``None`` if it never was."""
    return round(now - at, 2) if at > 0.0 else None


def _step_name(entry: WaitingStep) -> str:
    return f"{entry.workflow.submission.job}.{entry.occurrence}.{entry.step}"
