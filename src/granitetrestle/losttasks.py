"""Tasks of lost boxes: requeues them, and gives up those that crash boxes."""

import typing as t

from .boxes import BoxView
from .boxlogevents import count_long_running
from .boxlogevents import loss_weighed_event
from .boxlogevents import run_lost_event
from .boxlosses import RESOLUTION_S
from .boxlosses import BoxLoss
from .boxlosses import LossWeight
from .boxlosses import SuspectedLoss
from .crashevidence import CONFIRM_TIMEOUT_S
from .crashevidence import MAX_CONTACT_AGE_S
from .crashevidence import PROOF_DECIBANS
from .crashloops import find_suspects
from .crashloops import is_tried_on
from .crashloops import may_have_crashed
from .crashloops import needs_trial
from .crashloops import ran_under_predecessor
from .crashloops import reduce_suspicion
from .crashloops import suspect_of
from .decisions import Decision
from .decisions import LogEvent
from .failureways import FailureWay
from .progress import Progress
from .shardstate import ShardState
from .workflows import DONE
from .workflows import Task

__all__ = ["LostTasks"]

# Limit of the tasks of which it is remembered what was weighed against them.
MAX_REMEMBERED_TASKS: t.Final = 1_000


class LostTasks:
    """Requeues the tasks of boxes on which nothing runs any more."""

    def __init__(self, state: ShardState, progress: Progress, now: float) -> None:
        self._state = state
        self._progress = progress
        self._losses = state.losses
        self._losses.begin(now)
        # Task -> what this leader has weighed against it, for the line of a verdict.
        self._weighed: dict[str, list[dict[str, t.Any]]] = {}

    def record_silence(self, box: BoxView, now: float) -> None:
        """Record that a box does not answer."""
        if not box.entry.draining:
            self._losses.record(self._loss_of(box, now))

    def record_answer(self, box: BoxView) -> None:
        """Record that a box answers, and take back what its loss was counted for: it was
        only out of reach."""
        for task, decibans in self._losses.take_back(box.incarnation):
            if not task.workflow.terminal:
                task.suspicion = max(0, task.suspicion - 1)
                task.evidence = max(0, task.evidence - max(0, decibans))
                self._state.mark_task_changed(task)

    def requeue(self, box: BoxView, now: float) -> list[Decision]:
        """Requeue the tasks of a lost box. Those that may have crashed it are
        suspected."""
        suspects: list[Task] = []
        if not box.entry.draining and not box.answered_unlisted:
            self._losses.record(self._loss_of(box, now))
            lost_at = _lost_at(box, now)
            suspects = find_suspects(may_have_crashed(box, lost_at), lost_at)
            loss = self._losses.get(box.incarnation) or self._loss_of(box, now)
            self._suspect(suspects, loss)
        effects: list[Decision] = []
        for task in list(box.tasks.values()):
            suspected = task in suspects
            effects.append(run_lost_event(box, task, suspected, now))
            if task.name in box.running:
                reduce_suspicion(task, box.clock_at)
            self._progress.requeue_lost(task, _lost_at(box, now), now)
        return effects

    def requeue_unlisted(
        self, incarnation: str, since_take_over_s: float, now: float
    ) -> list[Decision]:
        """Requeue the tasks of a box that only a predecessor knew, and that has ended."""
        tasks = self._state.inherited.pop(incarnation)
        there = [task for task in tasks if task.placed and task.box == incarnation]
        inputs = {
            "tasks_lost": len(there),
            "long_running": count_long_running(there),
            "since_take_over_s": round(since_take_over_s, 2),
        }
        effects: list[Decision] = [LogEvent("box_never_listed", incarnation, inputs)]
        took_over_at = now - since_take_over_s
        tried = any(needs_trial(suspect_of(task)) for task in there)
        loss = BoxLoss(incarnation, "", self._losses.known_until, took_over_at, tried)
        self._losses.record(loss)
        candidates = [
            task for task in there if not ran_under_predecessor(task, took_over_at)
        ]
        self._suspect(find_suspects(candidates, took_over_at), loss)
        for task in there:
            self._progress.requeue_lost(task, took_over_at, now)
        return effects

    def _suspect(self, suspects: t.Sequence[Task], loss: BoxLoss) -> None:
        """Record that each of some tasks may have caused a loss."""
        for task in suspects:
            suspect = suspect_of(task)
            suspect.suspicion += 1
            self._state.mark_task_changed(suspect)
            others = (suspect_of(other) for other in suspects if other is not task)
            self._losses.suspect(
                SuspectedLoss(
                    suspect,
                    task.run,
                    loss,
                    bool(task.running_since),
                    tuple(others),
                    _window_s(task, loss),
                    suspect.suspicion,
                )
            )

    def weigh_losses(self, now: float) -> list[Decision]:
        """Weigh the losses whose surroundings are known by now, and give up the jobs of
        tasks that are proved to crash boxes."""
        effects: list[Decision] = []
        boxes = len(self._state.boxes) + 1
        counted: list[tuple[SuspectedLoss, LossWeight]] = []
        for suspected in self._losses.pop_due(
            lambda suspected: self._may_go_on(suspected, now), now
        ):
            if suspected.task.workflow.terminal or suspected.task.state == DONE:
                continue
            why = self._why_not_counted(suspected)
            if why:
                inputs = {
                    "run": suspected.run,
                    "box": suspected.loss.incarnation,
                    "why": why,
                }
                effects.append(
                    LogEvent("loss_not_counted", suspected.task.name, inputs)
                )
            else:
                counted.append((suspected, self._losses.weigh(suspected, boxes)))
        # Tasks of one box are weighed by what was known of each other before.
        for suspected, weight in counted:
            effects += self._count(suspected, weight, now)
        self._losses.update(now)
        return effects

    def _may_go_on(self, suspected: SuspectedLoss, now: float) -> bool:
        """Return whether a box may merely be cut off, with all that runs there."""
        box = self._state.boxes.get(suspected.loss.incarnation)
        return (
            box is not None
            and box.silent_since is not None
            and now < suspected.loss.latest + CONFIRM_TIMEOUT_S
        )

    def _why_not_counted(self, suspected: SuspectedLoss) -> str:
        """Return why a loss is no evidence, or an empty string."""
        box = self._state.boxes.get(suspected.loss.incarnation)
        if box is None:
            return ""
        task = suspected.task
        task.suspicion = max(0, task.suspicion - 1)
        self._state.mark_task_changed(task)
        silent = box.silent_since is not None
        return "the box may not have ended" if silent else "the box answers again"

    def _count(
        self, suspected: SuspectedLoss, weight: LossWeight, now: float
    ) -> list[Decision]:
        """Count a loss against a task, and give up its job if that is the proof."""
        task = suspected.task
        task.evidence = max(0, task.evidence + weight.decibans)
        self._losses.record_counted(suspected, weight.decibans)
        self._state.mark_task_changed(task)
        event = loss_weighed_event(suspected, weight)
        weighed = self._weighed.setdefault(task.name, [])
        weighed.append(dict(event.inputs))
        if len(self._weighed) > MAX_REMEMBERED_TASKS:
            del self._weighed[next(iter(self._weighed))]
        effects: list[Decision] = [event]
        if task.evidence >= PROOF_DECIBANS and not task.workflow.terminal:
            inputs = {
                "by": FailureWay.CRASHED_BOXES,
                "task": task.name,
                "suspicion": task.suspicion,
                "box": suspected.loss.incarnation,
                "evidence": task.evidence / 10.0,
                "losses": task.suspicion,
                "weighed": list(weighed),
            }
            effects += self._progress.end(task.workflow, "failed", now, inputs)
        return effects

    def _loss_of(self, box: BoxView, now: float) -> BoxLoss:
        latest = now if box.silent_since is None else box.silent_since
        earliest = box.clock_at or self._losses.known_until
        tried = is_tried_on(box, _lost_at(box, now))
        return BoxLoss(box.incarnation, box.entry.address, earliest, latest, tried)


def _lost_at(box: BoxView, now: float) -> float:
    # Without any answer it may have been lost before this leader first polled it.
    return box.lost_at or box.clock_at or box.silent_since or now


def _window_s(task: Task, loss: BoxLoss) -> float:
    """Return for how long a box could have been lost under a task, as far as is known.
    A start without an answer may have been sent to a box that was lost already."""
    since = task.started_at
    if not task.running_since:
        since = min(since, max(loss.earliest, since - MAX_CONTACT_AGE_S))
    return max(RESOLUTION_S, loss.latest - since)
