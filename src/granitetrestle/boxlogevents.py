"""Log events about polls of boxes and lost runs."""

import typing as t

from .boxes import BoxView
from .boxlosses import LossWeight
from .boxlosses import SuspectedLoss
from .decisions import LogEvent
from .interfaces import PollResult
from .workflows import RUNNING
from .workflows import STATE_NAMES
from .workflows import Task

__all__ = [
    "contradiction_events",
    "count_long_running",
    "loss_weighed_event",
    "run_lost_event",
    "silence_inputs",
    "task_counts",
]


def count_long_running(tasks: t.Iterable[Task]) -> int:
    """Return how many of ``tasks`` run until their job is cancelled."""
    return sum(task.spec.long_running for task in tasks)


def task_counts(tasks: t.Collection[Task]) -> dict[str, int]:
    """Return the log inputs that count the tasks on a box: all, the long-running ones,
    and those of them that were not running yet or not any more."""
    long_running = [task for task in tasks if task.spec.long_running]
    return {
        "tasks": len(tasks),
        "long_running": len(long_running),
        "not_running": sum(task.state != RUNNING for task in long_running),
    }


def silence_inputs(box: BoxView, now: float) -> dict[str, t.Any]:
    """Return the log inputs about a box that does not answer: for how long, when its
    last lease ends, and whether it is listed, draining and adopted."""
    silent_s = None if box.silent_since is None else round(now - box.silent_since, 2)
    return {
        "silent_s": silent_s,
        "lease_left_s": round(box.lease_ends - now, 2),
        "listed": box.listed,
        "draining": box.entry.draining,
        "adopted": box.adopted,
    }


def contradiction_events(box: BoxView, poll: PollResult) -> list[LogEvent]:
    """Report what an incarnation of a box must not do: its clock goes back, or it lists an
    end that was acknowledged. The first is reported each time, the second once."""
    relisted_ends = sum(row.number <= box.acknowledged_end for row in poll.ended)
    first = relisted_ends and not box.relisted_ends
    box.relisted_ends += relisted_ends
    if poll.clock_ms >= box.clock_ms and not first:
        return []
    inputs = {
        "clock_ms": poll.clock_ms,
        "clock_before_ms": box.clock_ms,
        "ends": relisted_ends,
        "told_known": box.acknowledged_end,
    }
    return [LogEvent("box_contradicts_itself", box.incarnation, inputs)]


def run_lost_event(box: BoxView, task: Task, suspected: bool, now: float) -> LogEvent:
    """Return the event for a run that was lost with its box. Its times are from the start
    of the run to the last answer of the box (``seen_s``), and to when the box became
    silent (``silent_after_s``)."""
    silent_at = now if box.silent_since is None else box.silent_since
    inputs = {
        "run": task.run,
        "box": box.incarnation,
        "answered": bool(task.running_since),
        "suspected": suspected,
        "suspicion": task.suspicion,
        "state": STATE_NAMES[task.state],
        "seen_s": round(max(0.0, box.clock_at - task.started_at), 3),
        "silent_after_s": round(max(0.0, silent_at - task.started_at), 3),
    }
    return LogEvent("run_lost", task.name, inputs)


def loss_weighed_event(suspected: SuspectedLoss, weight: LossWeight) -> LogEvent:
    """Return the event for the loss of a box that counts against a task. Its weight and the evidence so far are decimal logarithms."""
    inputs = {
        "run": suspected.run,
        "box": suspected.loss.incarnation,
        "answered": suspected.answered,
        "window_s": round(suspected.window_s, 3),
        "others_lost": weight.others_lost,
        "recent": weight.recent,
        "boxes": weight.boxes,
        "alone": not suspected.companions,
        "weight": weight.decibans / 10.0,
        "evidence": suspected.task.evidence / 10.0,
    }
    return LogEvent("loss_weighed", suspected.task.name, inputs)
