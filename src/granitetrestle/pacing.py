"""Keeps the tail latency of serving tasks below their target: learns from each look
which images disturb them, and slows those down by as much as the model asks."""

import math
import typing as t

from .boxes import BoxView
from .interference import Interference
from .overload import bearable_stretch
from .serviceload import StepLoad
from .workflows import FULL_PACE
from .workflows import RUNNING
from .workflows import Task

__all__ = ["PaceChange", "StepLoads", "observe", "pace_changes", "slowed_tasks"]

# Looks closer than this show the same figures again.
LEAST_APART_S: t.Final = 0.3
# From this share of the target on, a serving task is about to miss it.
OVER: t.Final = 0.95
OVER_NO_MORE: t.Final = 0.75
# From here on a tail tells of a backlog, not of the load.
BACKLOG: t.Final = 1.3
# Over the target for so long, a task is protected from all that fills. The promise to
# its account is four seconds, of which a backlog takes one or two to drain.
OVER_TOO_LONG_S: t.Final = 1.6
# How long a tail may stay long after its cause has gone.
DRAIN_S: t.Final = 1.5
# Figures follow a change of what fills within about this time.
FIGURE_LAG_S: t.Final = 0.5
# Less than this of a box can't be told from nothing.
LEAST_SHARE: t.Final = 0.005
# Paces are rounded to this, and raised by no more than that in one look.
PACE_STEP: t.Final = 10
RAISE_BY: t.Final = 30
# A task that is kept this slow for so long is better off elsewhere.
SLOWED: t.Final = 30
MOVE_AFTER_S: t.Final = 1.2


class StepLoads:
    """The loads of all serving steps of a shard.

    :param trend: whether a load is followed with its trend.
    """

    def __init__(self, trend: bool = True) -> None:
        self._trend = trend
        self._loads: dict[tuple[str, int, int], StepLoad] = {}

    def of(self, task: Task) -> StepLoad:
        """Return the load of the step that ``task`` belongs to."""
        key = (task.workflow.submission.job, task.occurrence, task.step)
        load = self._loads.get(key)
        if load is None:
            load = self._loads[key] = StepLoad(self._trend)
        return load

    def forget(self, job: str) -> None:
        """Drop the loads of an ended job."""
        for key in [key for key in self._loads if key[0] == job]:
            del self._loads[key]


class PaceChange(t.NamedTuple):
    """The pace that a task is to have, in percent."""

    task: Task
    percent: int


def _fillers(box: BoxView) -> list[Task]:
    return [task for task in box.fillers.values() if task.state == RUNNING]


def observe(
    box: BoxView, loads: StepLoads, interference: Interference, now: float
) -> None:
    """Take up the figures of the newest look, and learn from them."""
    seen_s = now - box.observed_at
    if seen_s < LEAST_APART_S:
        return
    box.observed_at = now
    box.version += 1
    _remember_fill(box, seen_s, interference)
    for name, row in box.running.items():
        task = box.serving.get(name)
        if task is not None and row.figure:
            level = row.figure / task.spec.target_ms
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
    interference.unloaded_tails.saw(image, level)
    busy = interference.unloaded_tails.busy_share(image, level)
    load = box.loads[task.name] = loads.of(task)
    # A backlog shows in the tail long after its cause: learn from its rise alone.
    draining = now - box.over.get(task.name, -DRAIN_S) < DRAIN_S
    if level > OVER:
        box.over[task.name] = now
        box.over_since.setdefault(task.name, now)
    elif level < OVER_NO_MORE:
        # Figures are rough: one that dips below the target does not end the matter.
        box.over_since.pop(task.name, None)
    if draining and not box.fill_grew:
        return
    beside = box.fill_seen
    interference.saw(image, busy, load.at(now), load.variance, beside)
    if level < BACKLOG:
        stretch = interference.stretch(image, beside)
        load.saw(busy, stretch, interference.doubt(image, beside), now)


def _remember_fill(box: BoxView, seen_s: float, interference: Interference) -> None:
    """Follow what each image takes, as slowly as the figures do."""
    newest: dict[str, float] = {}
    for name, row in box.running.items():
        task = box.fillers.get(name)
        if task is not None:
            image = task.spec.image
            interference.add_filler(image)
            newest[image] = newest.get(image, 0.0) + row.figure / box.entry.cpu
    before = sum(box.fill_seen.values())
    keep = math.exp(-seen_s / FIGURE_LAG_S)
    for image in {*newest, *box.fill_seen}:
        share = box.fill_seen.get(image, 0.0) * keep
        share += newest.get(image, 0.0) * (1.0 - keep)
        box.fill_seen[image] = share
    box.fill_seen = {
        image: share for image, share in box.fill_seen.items() if share > LEAST_SHARE
    }
    box.fill_grew = sum(box.fill_seen.values()) >= before


def pace_changes(
    box: BoxView, interference: Interference, now: float
) -> list[PaceChange]:
    """Return the tasks whose pace is to change."""
    fillers = _fillers(box)
    if not fillers:
        return []
    if any(now - since > OVER_TOO_LONG_S for since in box.over_since.values()):
        # Whatever was learnt, something here does harm: nothing fills for now.
        return [PaceChange(task, 0) for task in fillers if task.pace != 0]
    left = _bearable(box, interference, now)
    needs = {task.name: _needs(task, box, interference) for task in fillers}
    changes = []

    def order(task: Task) -> tuple[bool, bool, int, str]:
        strong = any(need.strong for need in needs[task.name].values())
        return (strong, _late(task, now), task.workflow.work_left, task.name)

    for task in sorted(fillers, key=order):
        pace = _next_pace(task.pace, _take(needs[task.name], left))
        if pace != task.pace:
            changes.append(PaceChange(task, pace))
    return changes


def _bearable(box: BoxView, interference: Interference, now: float) -> dict[str, float]:
    """Return by how much the work of each serving image may be stretched: what fills
    stretches all tasks of an image alike, so the one that bears least counts."""
    left: dict[str, float] = {}
    for task in box.serving.values():
        bears = bearable_stretch(box, task, interference, now)
        image = task.spec.image
        left[image] = min(left.get(image, bears), bears)
    return left


def _late(task: Task, now: float) -> bool:
    return task.workflow.due_at < now


class Need(t.NamedTuple):
    """What a task that fills takes of what the tasks of a serving image bear.

    :param stretch: by how much it stretches their work at full pace.
    :param strong: whether that matters.
    """

    stretch: float
    strong: bool


def _needs(task: Task, box: BoxView, interference: Interference) -> dict[str, Need]:
    share = task.spec.cpu / box.entry.cpu
    filler = task.spec.image
    needs = {}
    for image in {serving.spec.image for serving in box.serving.values()}:
        stretch = share * interference.sensitivity(image, filler)
        needs[image] = Need(stretch, interference.strong(image, filler))
    return needs


def _take(needs: t.Mapping[str, Need], left: dict[str, float]) -> float:
    """Return the share of its speed that is left for a task, and take it. What
    disturbs least comes first, at full pace, rather than all slowly; weak pairs are
    never slowed: all of them together stretch work by a sixth at most."""
    pace = 1.0
    for name, need in needs.items():
        if need.strong and left[name] < need.stretch:
            pace = min(pace, max(0.0, left[name]) / need.stretch)
    for name, need in needs.items():
        left[name] -= pace * need.stretch
    return pace


def slowed_tasks(boxes: t.Iterable[BoxView], now: float) -> list[Task]:
    """Return the tasks that are kept slow and lose nothing by a move."""
    return [
        task
        for box in boxes
        for task in _fillers(box)
        if task.spec.checkpointing
        and 0 <= task.pace <= SLOWED
        and now - task.slow_since > MOVE_AFTER_S
        and now - task.started_at > MOVE_AFTER_S
    ]


def _next_pace(pace: int, allowed: float) -> int:
    wanted = int(allowed * FULL_PACE / PACE_STEP) * PACE_STEP
    if wanted <= pace:
        return wanted
    return min(wanted, max(pace, 0) + RAISE_BY)
