"""Pace at which a best-effort task can run while serving tasks keep their target.

The part that does not depend on the task is cached until the box changes, since each
decision needs it of every box."""

import typing as t

from .boxes import BoxView
from .interference import Interference
from .serviceload import MEAN_BUSY_SHARE
from .workflows import Step
from .workflows import Task

__all__ = [
    "BoxLoad",
    "box_load",
    "pace_within",
    "tolerable_pace",
    "tolerable_slowdown",
]

# Maximum share of time that a serving task may be busy; lower for an image whose tail
# latency is at its target before.
BUSY_SHARE_LIMIT: t.Final = 0.8
# How long a tail latency over the target leaves no tolerable slowdown.
BACKLOG_HOLD_S: t.Final = 0.6
# Rise of a load expected while a task runs, and the minimum load expected.
EXPECTED_LOAD_RISE: t.Final = 0.0
MIN_EXPECTED_LOAD: t.Final = 0.42
# Box loads are recomputed after this time, since loads swing.
MAX_BOX_LOAD_AGE_S: t.Final = 0.25


class ServingLoad(t.NamedTuple):
    """The serving tasks of one image on a box.

    :param spare: slowdown that the busiest of them tolerates on top of the present one.
    """

    image: str
    spare: float


class BoxLoad(t.NamedTuple):
    """What a box can take in addition now.

    :param unused: thousandths of a core that one more task may find unused.
    :param compatible_share: share of the best-effort images to which no serving image
        of the box is highly sensitive.
    """

    unused: float
    serving: tuple[ServingLoad, ...]
    compatible_share: float


def _best_effort_shares(box: BoxView) -> dict[str, float]:
    """Return the share of the box's processors that each best-effort image would use at
    full pace, since a task that is kept slow uses up what becomes free."""
    shares: dict[str, float] = {}
    for task in box.best_effort_tasks.values():
        step = task.spec
        shares[step.image] = shares.get(step.image, 0.0) + box.cpu_share(step.cpu)
    return shares


def _expected_load(box: BoxView, name: str, now: float) -> float:
    load = box.loads.get(name)
    return MEAN_BUSY_SHARE if load is None else load.predict_peak(now)


def tolerable_slowdown(
    box: BoxView, task: Task, interference: Interference, now: float
) -> float:
    """Return the slowdown at which a serving task still keeps its target now."""
    name = task.name
    if now - box.overloaded_at.get(name, -BACKLOG_HOLD_S) < BACKLOG_HOLD_S:
        # A backlog has built up, and drains only without any slowdown.
        return 0.0
    return _busy_share_limit(task, interference) / _expected_load(box, name, now) - 1.0


def _busy_share_limit(task: Task, interference: Interference) -> float:
    return min(
        BUSY_SHARE_LIMIT, 1.0 - interference.unloaded_tails.tail_share(task.spec.image)
    )


def box_load(box: BoxView, interference: Interference, now: float) -> BoxLoad:
    """Return the load of a box; cached until the box changes."""
    cached: tuple[int, float, BoxLoad] | None = box.load
    if (
        cached is not None
        and cached[0] == box.version
        and now - cached[1] < MAX_BOX_LOAD_AGE_S
    ):
        return cached[2]
    load = _compute_box_load(box, interference, now)
    box.load = (box.version, now, load)
    return load


def _compute_box_load(box: BoxView, interference: Interference, now: float) -> BoxLoad:
    shares = _best_effort_shares(box)
    idle_cpu = 0.0
    spares: dict[str, float] = {}
    for name, task in box.serving.items():
        load = _expected_load(box, name, now)
        idle_cpu += task.spec.cpu * (1.0 - load)
        expected_load = max(load + EXPECTED_LOAD_RISE, MIN_EXPECTED_LOAD)
        tolerable = min(
            _busy_share_limit(task, interference) / expected_load - 1.0,
            tolerable_slowdown(box, task, interference, now),
        )
        image = task.spec.image
        spares[image] = min(spares.get(image, tolerable), tolerable)
    serving = tuple(
        ServingLoad(image, tolerable - interference.slowdown(image, shares))
        for image, tolerable in spares.items()
    )
    compatible_share = interference.compatible_share(spares)
    return BoxLoad(
        box.cpu_free + idle_cpu - box.best_effort_cpu, serving, compatible_share
    )


def pace_within(tolerable: float, slowdown: float) -> float:
    """Return the share of its full speed at which a task that causes ``slowdown`` at
    full speed causes no more than ``tolerable``. Nothing is gained by slowing one that
    causes none, as one without processor time of its own."""
    tolerable = max(0.0, tolerable)
    return 1.0 if slowdown <= tolerable else tolerable / slowdown


def tolerable_pace(
    step: Step, box: BoxView, load: BoxLoad, interference: Interference
) -> float:
    """Return the share of its full speed at which a best-effort task of ``step`` could
    run beside those on the box."""
    if box.overloaded_since:
        # Something on the box interferes, and the model does not show yet which image.
        return 0.0
    share = box.cpu_share(step.cpu)
    pace = 1.0
    for image, spare in load.serving:
        if interference.highly_sensitive(image, step.image):
            slowdown = share * interference.sensitivity(image, step.image)
            pace = min(pace, pace_within(spare, slowdown))
    return pace
