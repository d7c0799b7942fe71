"""Crash loops: finds the tasks that crash the boxes that start them.

A box that crashes reports no ends of runs, so the cause has to be inferred from the
tasks that were on it, most of which did not cause the crash. A run that was observed
running for a while is cleared. Of the others, tasks that had just started are
suspected, and those under which boxes were lost before. A suspect is retried on a box
that takes no other task at that moment, and once no other boxes are being lost, so that
another crash shows whether it is the cause. What a loss proves is weighed in
:mod:`.crashevidence`."""

import collections
import math
import typing as t

from .boxes import BoxView
from .crashevidence import MEMORY_S
from .crashevidence import PROOF_DECIBANS
from .crashevidence import LossHistory
from .workflows import Task

__all__ = [
    "SuspectPlacement",
    "find_suspects",
    "has_just_started",
    "is_tried_on",
    "is_to_be_recorded",
    "may_have_crashed",
    "needs_trial",
    "ran_under_predecessor",
    "reduce_suspicion",
    "suspect_of",
]

# A run that was observed running for this long did not crash its box by its start.
MIN_PROVEN_RUNTIME_S: t.Final = 2.0
# A suspect that has run for this long has been observed running for that long as well.
SETTLED_RUNTIME_S: t.Final = 2.5
# A run that a predecessor started this long before. A start without an answer is tried
# three times and then stopped, which takes less.
MIN_INHERITED_RUNTIME_S: t.Final = 5.0
# A start that crashes a box does so within 0.1 s; the rest is for the delivery of the
# command and the detection of the lost connection, on a slow link and a busy leader.
JUST_STARTED_MAX_AGE_S: t.Final = 0.5
# A task that has run for this long is no longer suspected: one that runs for weeks
# loses boxes now and then.
CLEARED_RUNTIME_S: t.Final = 60.0
# What counts against the evidence when a run outlasts its start: a task may crash its
# box in only some of its starts.
OUTLASTED_DECIBANS: t.Final = 10
# A task under which this many boxes were lost, or against which there is this much
# evidence, is tried where no other task has just started, so that a crash by another
# task is not held against it.
TRIAL_MIN_LOSSES: t.Final = 2
TRIAL_MIN_DECIBANS: t.Final = 8
# How long it waits at most until there is such a box; longer if it is a likely culprit.
MAX_ISOLATION_WAIT_S: t.Final = 2.0
MAX_LIKELY_ISOLATION_WAIT_S: t.Final = 6.0
# Trials are made one after the other, this far apart, so that tasks that crash boxes do
# not hide each other; in a large pool several at a time.
TRIAL_INTERVAL_S: t.Final = 0.2
# Accounts are promised that a task crashes no more boxes than this. While boxes are lost
# for other causes, such a task waits until so few are that a crash would be worth enough
# to be proved within the rest of them.
MAX_CRASHED_BOXES: t.Final = 5
# A task with at most so many losses, and less evidence against it than a likely culprit,
# does not wait any more once no other box was lost for this long, which is what callers
# wait for a start while all is well. Others wait until no loss is remembered.
HOPEFUL_LOSSES: t.Final = 3
LIKELY_DECIBANS: t.Final = 20
CALM_S: t.Final = 3.0
# None waits for longer, as boxes may be lost without end. The time doubles with each
# further loss, up to the factor.
MAX_CALM_WAIT_S: t.Final = 20.0
MAX_BACKOFF: t.Final = 8
# What a crash may be worth less than expected, as when another box is lost with it.
MARGIN_DECIBANS: t.Final = 5
# Maximum share of a pool's open boxes that take only a suspect at a time: other tasks
# have just lost a box as well, and wait for room.
MAX_ISOLATED_BOXES_SHARE: t.Final = 0.125


def _start_time(task: Task) -> float:
    return task.running_since or task.started_at


def _is_proven(box: BoxView, task: Task) -> bool:
    """Return whether a run was observed running for long before its box was lost."""
    began = task.running_since
    return bool(began) and box.clock_at - began >= MIN_PROVEN_RUNTIME_S


def is_to_be_recorded(task: Task, now: float) -> bool:
    """Return whether the store should say now that the run of a task was observed
    running for long. Otherwise a successor suspects it as its box is lost soon. Runs
    of other than long-running tasks are too short and too many to be written again."""
    if task.proven or not task.spec.long_running or not task.running_since:
        return False
    return now - task.running_since >= MIN_PROVEN_RUNTIME_S


def ran_under_predecessor(task: Task, lost_at: float) -> bool:
    """Return whether a run that this leader has not observed began long before its box
    was lost: a predecessor has observed it, or had stopped it by then, had its start
    been in doubt."""
    if task.running_since or not task.inherited:
        return False
    if task.proven:
        return True
    return lost_at - task.started_at >= MIN_INHERITED_RUNTIME_S


def may_have_crashed(box: BoxView, lost_at: float) -> list[Task]:
    """Return the tasks on a lost box that may have crashed it."""
    return [
        task
        for task in box.tasks.values()
        if task.sent
        and not _is_proven(box, task)
        and not ran_under_predecessor(task, lost_at)
    ]


def has_just_started(task: Task, lost_at: float) -> bool:
    """Return whether a run had just started when its box was lost."""
    return lost_at - _start_time(task) <= JUST_STARTED_MAX_AGE_S


def suspect_of(task: Task) -> Task:
    """Return the task that the losses under a task count against: for a member of a
    gang the first of its step, since they start and end together."""
    if not task.spec.gang:
        return task
    return task.workflow.step_tasks(task.occurrence, task.step)[0]


def find_suspects(candidates: t.Sequence[Task], lost_at: float) -> list[Task]:
    """Return which tasks to suspect of having crashed a lost box, of those that may
    have: those that had just started and those that have been suspected before, or all
    if none of them has been; of a gang one member.

    :param lost_at: when it was lost, or last answered before.
    """
    known = any(suspect_of(task).suspicion for task in candidates)
    suspects: dict[str, Task] = {}
    for task in candidates:
        suspect = suspect_of(task)
        if not known or suspect.suspicion or has_just_started(task, lost_at):
            suspects.setdefault(suspect.name, task)
    return list(suspects.values())


def reduce_suspicion(task: Task, until: float) -> None:
    """Reduce the suspicion of a task by the end of a run that lasted.

    :param until: until when it is known to have run.
    """
    if not task.running_since or not task.suspicion:
        return
    runtime_s = until - task.running_since
    if runtime_s >= CLEARED_RUNTIME_S:
        task.suspicion = task.evidence = 0
    elif runtime_s >= MIN_PROVEN_RUNTIME_S:
        task.suspicion -= 1
        left = max(0, task.evidence - OUTLASTED_DECIBANS)
        task.evidence = left if task.suspicion else 0


def needs_trial(task: Task) -> bool:
    """Return whether a task is suspected so much that it is tried by itself."""
    return task.suspicion >= TRIAL_MIN_LOSSES or task.evidence >= TRIAL_MIN_DECIBANS


def is_tried_on(box: BoxView, lost_at: float) -> bool:
    """Return whether a suspect was being tried on a box when it was lost."""
    return any(
        needs_trial(suspect_of(task)) and has_just_started(task, lost_at)
        for task in box.tasks.values()
    )


class SuspectPlacement:
    """Chooses when and on which boxes suspects are retried.

    :param losses: the boxes that were lost recently.
    """

    def __init__(self, losses: LossHistory) -> None:
        self._losses = losses
        self._now = 0.0
        self._boxes = 0
        # Incarnation of a box that takes no task beside a suspect -> until when.
        self._isolated: dict[str, float] = {}
        # Incarnation of a box on which a suspect is being tried -> until when.
        self._trials: dict[str, float] = {}
        self._max_isolated = 0
        # Task that waits for a box without others that have just started -> since when.
        self._due_since: dict[str, float] = {}
        # Incarnation of a box -> tasks there that would be suspected with another one.
        self._unsettled: collections.Counter[str] = collections.Counter()

    def start_pass(
        self, boxes: t.Collection[BoxView], all_boxes: int, now: float
    ) -> None:
        """Prepare for the suspects of a step.

        :param boxes: all boxes that are open for work.
        :param all_boxes: number of boxes, open or not.
        """
        self._now = now
        self._boxes = all_boxes
        self._isolated = {
            incarnation: until
            for incarnation, until in self._isolated.items()
            if until > now
        }
        self._trials = {
            incarnation: until
            for incarnation, until in self._trials.items()
            if until > now
        }
        self._max_isolated = math.ceil(MAX_ISOLATED_BOXES_SHARE * len(boxes))
        self._unsettled.clear()
        for box in boxes:
            for task in box.tasks.values():
                runtime_s = now - _start_time(task)
                if runtime_s <= JUST_STARTED_MAX_AGE_S or (
                    suspect_of(task).suspicion and runtime_s < SETTLED_RUNTIME_S
                ):
                    self._unsettled[box.incarnation] += 1

    def is_due(self, task: Task) -> bool:
        """Return whether a suspect is tried now, or waits until the losses under it are
        weighed and few other boxes are being lost."""
        waits_since = task.times.waits_since
        if waits_since is None:
            return True
        backoff = min(MAX_BACKOFF, 2 ** max(0, task.suspicion - HOPEFUL_LOSSES))
        if self._now - waits_since >= MAX_CALM_WAIT_S * backoff:
            return True
        if task.suspicion > 1 and self._now < self._losses.weighed_at(task):
            return False
        if not needs_trial(task):
            return True
        if len(self._trials) >= self._max_isolated:
            return False
        calm_s = self._now - self._losses.last_unexplained(task, self._boxes)
        few_losses = task.suspicion <= HOPEFUL_LOSSES or task.spec.long_running
        hopeful = task.evidence < LIKELY_DECIBANS and few_losses
        if calm_s >= (CALM_S if hopeful else MEMORY_S):
            return True
        starts_left = max(1, MAX_CRASHED_BOXES - task.suspicion)
        wanted = (PROOF_DECIBANS - task.evidence) / starts_left
        expected = self._losses.expected_weight(task, self._boxes, self._now)
        return expected >= wanted + MARGIN_DECIBANS

    def rank(self, box: BoxView) -> tuple[int, int, int, str]:
        """Return the rank of a box for a suspect, the lowest being best: where a crash
        is the strongest evidence, and affects the fewest other tasks. A box that crashes
        for a cause of its own has few tasks, so that suspects would meet there."""
        return (
            self._unsettled[box.incarnation],
            self._losses.lost_at(box.entry.address),
            len(box.tasks),
            box.incarnation,
        )

    def choose(self, task: Task, boxes: t.Iterable[BoxView]) -> BoxView | None:
        """Return the best of ``boxes`` for a suspect, or ``None`` if it waits until one
        is free of tasks that have just started."""
        box = min(boxes, key=self.rank)
        if self._unsettled[box.incarnation] and needs_trial(task):
            due_since = self._due_since.setdefault(task.name, self._now)
            likely = task.evidence >= LIKELY_DECIBANS
            max_wait_s = MAX_LIKELY_ISOLATION_WAIT_S if likely else MAX_ISOLATION_WAIT_S
            if self._now - due_since < max_wait_s:
                return None
        return box

    def record_start(self, task: Task, box: BoxView) -> None:
        """Close a box to other tasks than the suspect that starts there until a crash
        by its start would have shown, unless too many boxes are isolated for tasks that
        are suspected of less."""
        self._due_since.pop(task.name, None)
        self._unsettled[box.incarnation] += 1
        if needs_trial(task) or len(self._isolated) < self._max_isolated:
            self._isolated[box.incarnation] = self._now + JUST_STARTED_MAX_AGE_S
            box.closed_until = max(box.closed_until, self._isolated[box.incarnation])
        if needs_trial(task):
            self._trials[box.incarnation] = self._now + TRIAL_INTERVAL_S
