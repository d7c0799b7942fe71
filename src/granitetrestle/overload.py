"""How far one more task that fills would overload the serving tasks of a box. What
does not depend on the task is computed once for each change of the box, since a
decision asks this of every box."""

import typing as t

from .boxes import BoxView
from .interference import MEAN_BUSY
from .interference import STRETCH
from .interference import Interference
from .workflows import FULL_PACE
from .workflows import Step

__all__ = ["BoxLoad", "box_load", "fill_shares", "overload"]

# Share of busy time that a serving task bears; its target is at 0.83.
BEARABLE_BUSY: t.Final = 0.75
# How much a load may rise while a task runs.
SOON: t.Final = 0.1
# Share of what serving tasks reserve that they use at the mean, with some slack for
# its swings.
SERVING_LOAD: t.Final = 0.6


class ServingLoad(t.NamedTuple):
    """A serving task.

    :param at_rest: how busy it would be soon with nothing beside.
    :param stretched: by how much what fills already stretches its work.
    """

    image: str
    at_rest: float
    stretched: float


class BoxLoad(t.NamedTuple):
    """What a box bears now.

    :param unused: thousandths of a core that one more task may find unused.
    """

    unused: float
    serving: tuple[ServingLoad, ...]


def fill_shares(box: BoxView, paced: bool = True) -> dict[str, float]:
    """Return for each image that fills a box the share of processors it takes.

    :param paced: count slowed tasks for what they take now.
    """
    shares: dict[str, float] = {}
    for task in box.fillers.values():
        step = task.spec
        pace = max(0, task.pace) / FULL_PACE if paced else 1.0
        share = pace * step.cpu / box.entry.cpu
        shares[step.image] = shares.get(step.image, 0.0) + share
    return shares


def box_load(box: BoxView, interference: Interference) -> BoxLoad:
    """Return what a box bears, computed anew after a change of the box."""
    known: tuple[int, BoxLoad] | None = box.load
    if known is not None and known[0] == box.version:
        return known[1]
    load = _compute(box, interference)
    box.load = (box.version, load)
    return load


def _compute(box: BoxView, interference: Interference) -> BoxLoad:
    reserved = sum(task.spec.cpu for task in box.serving.values())
    paced = sum(
        task.spec.cpu * max(0, task.pace) / FULL_PACE for task in box.fillers.values()
    )
    shares = fill_shares(box, paced=False)
    serving = []
    for name, task in box.serving.items():
        rest = box.at_rest.get(name)
        at_rest = MEAN_BUSY if rest is None else max(rest.busy + SOON, MEAN_BUSY)
        image = task.spec.image
        stretched = 1.0 + interference.stretch(image, shares)
        serving.append(ServingLoad(image, at_rest, stretched))
    unused = box.cpu_free + reserved * (1.0 - SERVING_LOAD) - paced
    return BoxLoad(unused, tuple(serving))


def overload(
    step: Step, box: BoxView, load: BoxLoad, interference: Interference
) -> float:
    """Return how far ``step`` would push serving tasks beyond what they bear."""
    stretch = STRETCH * step.cpu / box.entry.cpu
    total = 0.0
    for image, at_rest, stretched in load.serving:
        likely = interference.probability(image, step.image)
        busy = at_rest * (stretched + stretch * likely)
        if busy > BEARABLE_BUSY:
            total += busy - BEARABLE_BUSY
    return total
