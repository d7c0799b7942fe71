"""Paces best-effort tasks so that serving tasks keep their target of tail latency.

Each poll updates the interference model, and the best-effort tasks that the serving
ones on their box are sensitive to are slowed down as far as the model requires."""

import math
import typing as t

from .boxes import BoxView
from .interference import Interference
from .overload import pace_within
from .overload import tolerable_slowdown
from .serviceload import StepLoad
from .workflows import FULL_PACE
from .workflows import RUNNING
from .workflows import Task

__all__ = ["PaceChange", "StepLoads", "observe", "pace_changes", "slowed_tasks"]

# Polls closer than this return the same measurements again.
MIN_SAMPLE_INTERVAL_S: t.Final = 0.3
# Shares of the target. Between the two a serving task keeps its state, since
# measurements are imprecise; from the first on it is about to miss its target.
OVER_TARGET_THRESHOLD: t.Final = 0.95
UNDER_TARGET_THRESHOLD: t.Final = 0.75
# Share of the target from which on the tail latency reflects a backlog, not the load.
BACKLOG_THRESHOLD: t.Final = 1.3
# After this time over its target, a task is protected from all best-effort tasks. Its
# client account is promised four seconds, of which a backlog takes one or two to drain.
MAX_OVER_TARGET_S: t.Final = 1.6
# How long a tail latency may stay high after its cause has gone.
BACKLOG_DRAIN_S: t.Final = 1.5
# Time within which measurements follow a change of the best-effort tasks.
MEASUREMENT_LAG_S: t.Final = 0.5
# Share of a box below which processor use can't be told from none.
MIN_MEASURABLE_CPU_SHARE: t.Final = 0.005
# Paces are rounded down to a multiple of the first, and raised by no more than the
# second in one poll.
PACE_STEP_PERCENT: t.Final = 10
MAX_PACE_RAISE_PERCENT: t.Final = 30
# A task that was kept at or below this pace for longer than this is better off on
# another box.
SLOW_PACE_PERCENT: t.Final = 30
MIN_SLOW_BEFORE_MOVE_S: t.Final = 1.2


class StepLoads:
    """The loads of all serving steps of a shard.

    :param trend: whether the slope of a load is tracked too.
    """

    def __init__(self, trend: bool = True) -> None:
        self._trend = trend
        self._loads: dict[tuple[str, int, int], StepLoad] = {}

    def for_task(self, task: Task) -> StepLoad:
        """Return the load of the step that ``task`` belongs to."""
        key = (task.workflow.submission.job, task.occurrence, task.step)
        load = self._loads.get(key)
        if load is None:
            load = self._loads[key] = StepLoad(self._trend)
        return load

    def remove(self, job: str) -> None:
        """Drop the loads of an ended job."""
        for key in [key for key in self._loads if key[0] == job]:
            del self._loads[key]


class PaceChange(t.NamedTuple):
    """The new pace of a task, in percent of its full speed."""

    task: Task
    percent: int


def _running_best_effort(box: BoxView) -> list[Task]:
    return [task for task in box.best_effort_tasks.values() if task.state == RUNNING]


def observe(
    box: BoxView, loads: StepLoads, interference: Interference, now: float
) -> None:
    """Update the interference model and the loads by the newest poll of ``box``."""
    elapsed_s = now - box.observed_at
    if elapsed_s < MIN_SAMPLE_INTERVAL_S:
        return
    box.observed_at = now
    box.version += 1
    _update_best_effort_shares(box, elapsed_s, interference)
    for name, row in box.running.items():
        task = box.serving.get(name)
        if task is not None and row.measurement:
            level = row.measurement / task.spec.target_ms
            _observe_task(box, task, level, loads, interference, now)


def _observe_task(
    box: BoxView,
    task: Task,
    level: float,
    loads: StepLoads,
    interference: Interference,
    now: float,
) -> None:
    image = task.spec.image
    interference.unloaded_tails.observe(image, level)
    busy = interference.unloaded_tails.busy_share(image, level)
    load = box.loads[task.name] = loads.for_task(task)
    # A backlog keeps the tail high long after its cause: learn only from its rise.
    draining = (
        now - box.overloaded_at.get(task.name, -BACKLOG_DRAIN_S) < BACKLOG_DRAIN_S
    )
    if level > OVER_TARGET_THRESHOLD:
        box.overloaded_at[task.name] = now
        box.overloaded_since.setdefault(task.name, now)
    elif level < UNDER_TARGET_THRESHOLD:
        # Measurements are imprecise: one just below the target does not clear it.
        box.overloaded_since.pop(task.name, None)
    if draining and not box.best_effort_grew:
        return
    best_effort_shares = box.best_effort_shares
    interference.observe(
        image, busy, load.predict(now), load.variance, best_effort_shares
    )
    if level < BACKLOG_THRESHOLD:
        slowdown = interference.slowdown(image, best_effort_shares)
        load.observe(
            busy,
            slowdown,
            interference.slowdown_variance(image, best_effort_shares),
            now,
        )


def _update_best_effort_shares(
    box: BoxView, elapsed_s: float, interference: Interference
) -> None:
    """Smooth the processor share of each best-effort image by the time constant with
    which the measurements of serving tasks follow it."""
    measured: dict[str, float] = {}
    for name, row in box.running.items():
        task = box.best_effort_tasks.get(name)
        if task is not None:
            image = task.spec.image
            interference.add_best_effort_image(image)
            share = box.cpu_share(row.measurement)
            measured[image] = measured.get(image, 0.0) + share
    previous = sum(box.best_effort_shares.values())
    decay = math.exp(-elapsed_s / MEASUREMENT_LAG_S)
    for image in {*measured, *box.best_effort_shares}:
        share = box.best_effort_shares.get(image, 0.0) * decay
        share += measured.get(image, 0.0) * (1.0 - decay)
        box.best_effort_shares[image] = share
    box.best_effort_shares = {
        image: share
        for image, share in box.best_effort_shares.items()
        if share > MIN_MEASURABLE_CPU_SHARE
    }
    box.best_effort_grew = sum(box.best_effort_shares.values()) >= previous


def pace_changes(
    box: BoxView, interference: Interference, now: float
) -> list[PaceChange]:
    """Return the best-effort tasks whose pace is to change."""
    tasks = _running_best_effort(box)
    if not tasks:
        return []
    if any(now - since > MAX_OVER_TARGET_S for since in box.overloaded_since.values()):
        # Whatever the model says, something here interferes: stop all of them for now.
        return [PaceChange(task, 0) for task in tasks if task.pace != 0]
    remaining = _tolerable_slowdowns(box, interference, now)
    costs = {task.name: _slowdown_costs(task, box, interference) for task in tasks}
    changes = []

    def priority(task: Task) -> tuple[bool, bool, int, str]:
        highly_sensitive = any(
            cost.highly_sensitive for cost in costs[task.name].values()
        )
        return (
            highly_sensitive,
            _is_late(task, now),
            task.workflow.remaining_work,
            task.name,
        )

    for task in sorted(tasks, key=priority):
        pace = _next_pace(task.pace, _allocate_pace(costs[task.name], remaining))
        if pace != task.pace:
            changes.append(PaceChange(task, pace))
    return changes


def _tolerable_slowdowns(
    box: BoxView, interference: Interference, now: float
) -> dict[str, float]:
    """Return the tolerable slowdown of each serving image: best-effort tasks slow all
    tasks of an image alike, so the task that tolerates least decides."""
    remaining: dict[str, float] = {}
    for task in box.serving.values():
        tolerable = tolerable_slowdown(box, task, interference, now)
        image = task.spec.image
        remaining[image] = min(remaining.get(image, tolerable), tolerable)
    return remaining


def _is_late(task: Task, now: float) -> bool:
    return task.workflow.due_at < now


class SlowdownCost(t.NamedTuple):
    """How much of the tolerable slowdown of a serving image a best-effort task uses up.

    :param slowdown: slowdown of the serving tasks when it runs at full pace.
    :param highly_sensitive: whether the pair is of high sensitivity, so that the pace
        is limited for its sake.
    """

    slowdown: float
    highly_sensitive: bool


def _slowdown_costs(
    task: Task, box: BoxView, interference: Interference
) -> dict[str, SlowdownCost]:
    share = box.cpu_share(task.spec.cpu)
    best_effort = task.spec.image
    costs = {}
    for image in {serving.spec.image for serving in box.serving.values()}:
        slowdown = share * interference.sensitivity(image, best_effort)
        costs[image] = SlowdownCost(
            slowdown, interference.highly_sensitive(image, best_effort)
        )
    return costs


def _allocate_pace(
    costs: t.Mapping[str, SlowdownCost], remaining: dict[str, float]
) -> float:
    """Return the pace that remains for a task, and subtract its costs.

    Tasks that interfere least come first and run at full pace, instead of all being
    slow. Pairs of low sensitivity are never slowed: together they cause a slowdown of
    no more than a sixth.

    :param remaining: tolerable slowdown left, by serving image; updated.
    """
    pace = 1.0
    for name, cost in costs.items():
        if cost.highly_sensitive:
            pace = min(pace, pace_within(remaining[name], cost.slowdown))
    for name, cost in costs.items():
        remaining[name] -= pace * cost.slowdown
    return pace


def slowed_tasks(boxes: t.Iterable[BoxView], now: float) -> list[Task]:
    """Return the tasks that are kept slow and, having checkpoints, lose nothing by a
    move."""
    return [
        task
        for box in boxes
        for task in _running_best_effort(box)
        if task.spec.checkpointing
        and 0 <= task.pace <= SLOW_PACE_PERCENT
        and now - task.slow_since > MIN_SLOW_BEFORE_MOVE_S
        and now - task.started_at > MIN_SLOW_BEFORE_MOVE_S
    ]


def _next_pace(pace: int, allowed: float) -> int:
    wanted = int(allowed * FULL_PACE / PACE_STEP_PERCENT) * PACE_STEP_PERCENT
    if wanted <= pace:
        return wanted
    return min(wanted, max(pace, 0) + MAX_PACE_RAISE_PERCENT)
