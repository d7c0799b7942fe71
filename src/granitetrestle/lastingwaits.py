"""Says why lasting tasks wait for a box. Accounts are promised that such a task runs
again within six seconds while there is room for it; one that does not has waited for one
of many causes, which can't be told apart afterwards, so that each is named while it
holds."""

import collections
import enum
import typing as t

from .boxes import BoxView
from .boxsearch import suits
from .decisions import Noted
from .headroom import Headroom
from .shardstate import ShardState
from .shardstate import WaitingStep

__all__ = ["LastingWaits", "WaitCause"]

# Waits that are shorter are usual: a look, a write and an order take up to one second.
TOLD_AFTER_S: t.Final = 3.0
# How often waits are told, and how many at a time, the longest first.
TELL_EVERY_S: t.Final = 2.0
TOLD_AT_MOST: t.Final = 6
# A step that no pass has looked at for so long is not reached by them.
UNREACHED_S: t.Final = 0.5


class WaitCause(enum.StrEnum):
    """What a lasting task waits for."""

    # Its box is silent, or not listed any more, and may run it until its lease is over.
    LEASE = "lease"
    # Operators' orders are not known of late, or no pass comes so far in the order.
    UNREACHED = "unreached"
    # No box of its service is open for work.
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
    PUT_ASIDE = "put_aside"
    EVACUATED = "evacuated"
    # Boxes with room are kept for short work.
    KEPT = "kept"
    # A box may take it: it starts with the next pass.
    NONE = "none"


class LastingWaits:
    """Tells of lasting work that waits for long.

    :ivar causes: cause -> how many tasks have waited for long, as last told.
    """

    def __init__(self, state: ShardState) -> None:
        self._state = state
        self._told_at = -1e9
        self.causes: dict[WaitCause, int] = {}

    def tell(
        self,
        headroom: Headroom,
        most_starts: int,
        inherited_ends: t.Callable[[str], float],
        now: float,
    ) -> t.Iterator[Noted]:
        """Note why lasting work has waited for long, every few seconds.

        :param most_starts: how many orders the pass may give.
        :param inherited_ends: when no lease that a predecessor gave a box can run any
            more, by its life.
        """
        if now - self._told_at < TELL_EVERY_S:
            return
        self._told_at = now
        self._state.index.refresh(now)
        causes: collections.Counter[WaitCause] = collections.Counter()
        waits = [
            entry
            for entry in self._state.waiting.values()
            if entry.spec.lasting and now - entry.waits_since > TOLD_AFTER_S
        ]
        waits.sort(key=lambda entry: entry.waits_since)
        for entry in waits[:TOLD_AT_MOST]:
            cause, inputs = self._why(entry, headroom, now)
            causes[cause] += len(entry.tasks)
            inputs["most_starts"] = most_starts
            yield Noted("lasting_waits", _name(entry), inputs)
        yield from self._silent(causes, now)
        yield from self._unlisted(causes, inherited_ends, now)
        self.causes = causes

    def _why(
        self, entry: WaitingStep, headroom: Headroom, now: float
    ) -> tuple[WaitCause, dict[str, t.Any]]:
        pool = self._state.index.pool(self._state.service_of(entry.workflow))
        queue = self._state.queues.get(entry.workflow.submission.queue)
        advised = queue is not None and queue.advised
        step = entry.spec
        task = next(iter(entry.tasks.values()), None)
        opened = list(pool.boxes.values())
        named = [box for box in opened if not advised or box.life in entry.tickets]
        labelled = [
            box for box in named if box.entry.labels.issuperset(step.required_labels)
        ]
        with_cpu = [box for box in labelled if step.cpu <= box.cpu_free]
        roomy = [box for box in with_cpu if box.fits(step)]
        able = [box for box in roomy if task is not None and suits(step, task, box)]
        free = [box for box in able if not headroom.keeps(box)]
        stages: tuple[tuple[WaitCause, list[BoxView]], ...] = (
            (WaitCause.NO_BOX, opened),
            (WaitCause.ADVICE, named),
            (WaitCause.LABELS, labelled),
            (WaitCause.CPU, with_cpu),
            (WaitCause.MEMORY, roomy),
            (WaitCause.PER_BOX, able),
            (WaitCause.KEPT, free),
        )
        cause = next((cause for cause, boxes in stages if not boxes), WaitCause.NONE)
        if cause is WaitCause.NONE and now - entry.reached_at > UNREACHED_S:
            cause = WaitCause.UNREACHED
        closed, evacuated = self._shut(entry, now)
        if not able and (closed or evacuated):
            cause = WaitCause.PUT_ASIDE if closed else WaitCause.EVACUATED
        inputs = {
            "cause": cause.value,
            "waited_s": round(now - entry.waits_since, 2),
            "tasks": len(entry.tasks),
            "cpu": step.cpu,
            "memory_mb": step.memory_mb,
            "per_box": step.per_box,
            "reached_s_ago": _ago(entry.reached_at, now),
            "suspects": entry.suspects,
            **{f"boxes_{cause.value}": len(boxes) for cause, boxes in stages},
            "boxes_put_aside": closed,
            "boxes_evacuated": evacuated,
            "boxes": len(self._state.boxes),
            "roomy_since_s_ago": _ago(entry.roomy_since, now),
            "roomy_s_ago": _ago(entry.roomy_at, now),
        }
        if advised:
            inputs["asked_s_ago"] = _ago(entry.asked_at, now)
            inputs["advice_left_s"] = round(entry.advice_until - now, 2)
        return cause, inputs

    def _shut(self, entry: WaitingStep, now: float) -> tuple[int, int]:
        """Return how many boxes with room are put aside, and how many evacuated."""
        task = next(iter(entry.tasks.values()), None)
        service = self._state.service_of(entry.workflow)
        closed = evacuated = 0
        for box in self._state.boxes.values():
            there = box.entry.service == service and box.silent_since is None
            if task is None or not there or not suits(entry.spec, task, box):
                continue
            evacuated += box.evacuated
            closed += not box.evacuated and box.closed_until > now
        return closed, evacuated

    def _silent(
        self, causes: "collections.Counter[WaitCause]", now: float
    ) -> t.Iterator[Noted]:
        for box in self._state.boxes.values():
            since = box.silent_since
            if since is None or now - since <= TOLD_AFTER_S:
                continue
            lasting = sum(task.spec.lasting for task in box.tasks.values())
            if not lasting:
                continue
            causes[WaitCause.LEASE] += lasting
            inputs = {
                "cause": WaitCause.LEASE.value,
                "silent_s": round(now - since, 2),
                "tasks": lasting,
                "lease_left_s": round(box.lease_ends - now, 2),
                "listed": box.listed,
                "adopted": box.adopted,
            }
            yield Noted("lasting_waits", box.life, inputs)

    def _unlisted(
        self,
        causes: "collections.Counter[WaitCause]",
        inherited_ends: t.Callable[[str], float],
        now: float,
    ) -> t.Iterator[Noted]:
        for life, tasks in self._state.inherited.items():
            lasting = sum(task.spec.lasting for task in tasks if task.box == life)
            if not lasting:
                continue
            causes[WaitCause.LEASE] += lasting
            inputs = {
                "cause": WaitCause.LEASE.value,
                "tasks": lasting,
                "lease_left_s": round(inherited_ends(life) - now, 2),
                "listed": False,
            }
            yield Noted("lasting_waits", life, inputs)


def _ago(at: float, now: float) -> float | None:
    """Return how long ago something was, or ``None`` if it never was."""
    return round(now - at, 2) if at > 0.0 else None


def _name(entry: WaitingStep) -> str:
    return f"{entry.workflow.submission.job}.{entry.occurrence}.{entry.step}"
