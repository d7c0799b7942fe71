"""At what pace one more task that fills could run on a box without pushing serving
tasks over their target. What does not depend on the task is computed once for each
change of the box, since a decision asks this of every box."""

import typing as t

from .boxes import BoxView
from .interference import MEAN_BUSY
from .interference import SUSPECT
from .interference import Interference
from .workflows import FULL_PACE
from .workflows import Step

__all__ = ["BoxLoad", "bearable_pace", "bearable_stretch", "box_load"]

# Share of busy time to aim at; at 0.83 the tail is at its target. 0.78 to 0.84 were
# tried: docs/MEASUREMENTS.md.
AIM_BUSY: t.Final = 0.8
# A tail over the target stops what may cause it for so long.
BACKLOG_S: t.Final = 0.6
# How much a load may rise while a task runs, and the least that it soon has.
SOON: t.Final = 0.05
SOON_AT_LEAST: t.Final = 0.42
# Share of what serving tasks reserve that they use at the mean, with some slack for
# its swings.
SERVING_LOAD: t.Final = 0.6


class ServingLoad(t.NamedTuple):
    """A serving task.

    :param bearable: by how much its work may be stretched.
    :param stretch: by how much what fills stretches it now.
    """

    image: str
    bearable: float
    stretch: float


class BoxLoad(t.NamedTuple):
    """What a box bears now.

    :param unused: thousandths of a core that one more task may find unused.
    """

    unused: float
    serving: tuple[ServingLoad, ...]


def _fill_shares(box: BoxView) -> dict[str, float]:
    """Return for each image that fills a box the share of processors it takes."""
    shares: dict[str, float] = {}
    for task in box.fillers.values():
        step = task.spec
        share = max(0, task.pace) / FULL_PACE * step.cpu / box.entry.cpu
        shares[step.image] = shares.get(step.image, 0.0) + share
    return shares


def bearable_stretch(box: BoxView, name: str, now: float) -> float:
    """Return by how much the work of a serving task may be stretched now."""
    if now - box.over.get(name, -BACKLOG_S) < BACKLOG_S:
        # A backlog has built up: it drains only when nothing is in its way.
        return 0.0
    return AIM_BUSY / box.at_rest.get(name, MEAN_BUSY) - 1.0


def box_load(box: BoxView, interference: Interference, now: float) -> BoxLoad:
    """Return what a box bears, computed anew after a change of the box."""
    known: tuple[int, BoxLoad] | None = box.load
    if known is not None and known[0] == box.version:
        return known[1]
    load = _compute(box, interference, now)
    box.load = (box.version, load)
    return load


def _compute(box: BoxView, interference: Interference, now: float) -> BoxLoad:
    reserved = sum(task.spec.cpu for task in box.serving.values())
    paced = sum(
        task.spec.cpu * max(0, task.pace) / FULL_PACE for task in box.fillers.values()
    )
    shares = _fill_shares(box)
    serving = []
    for name, task in box.serving.items():
        at_rest = max(box.at_rest.get(name, MEAN_BUSY) + SOON, SOON_AT_LEAST)
        bearable = min(AIM_BUSY / at_rest - 1.0, bearable_stretch(box, name, now))
        image = task.spec.image
        stretch = interference.stretch(image, shares)
        serving.append(ServingLoad(image, bearable, stretch))
    unused = box.cpu_free + reserved * (1.0 - SERVING_LOAD) - paced
    return BoxLoad(unused, tuple(serving))


def bearable_pace(
    step: Step, box: BoxView, load: BoxLoad, interference: Interference
) -> float:
    """Return the share of its speed that ``step`` could run at, with what fills."""
    if box.over_since:
        # Something there does harm, and what it is was not learnt yet.
        return 0.0
    share = step.cpu / box.entry.cpu
    pace = 1.0
    for image, bearable, others in load.serving:
        strength = interference.strength(image, step.image)
        if strength <= SUSPECT:
            continue
        need = share * strength
        if others + need > bearable:
            pace = min(pace, max(0.0, bearable - others) / need)
    return pace
