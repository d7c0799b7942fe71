"""Probabilities of what may explain the loss of a box under a task; see
:mod:`.crashevidence`."""

import math
import typing as t

from .boxlosses import RESOLUTION_S
from .workflows import Task

__all__ = [
    "boxes_exposed",
    "probability_after",
    "probability_of_crashing",
    "weight_of",
]

# After so many losses under a task, its boxes are as likely to be faulty as not.
LOSSES_OF_FAULTY_BOXES: t.Final = 9
# Probability that a task of which nothing is known crashes boxes.
PRIOR_CRASHING: t.Final = 0.003


def boxes_exposed(task: Task, boxes: int) -> int:
    """Return on how many boxes a task can be lost at most: the loss of any box of a gang
    ends all of it."""
    return min(boxes, task.spec.count) if task.spec.gang else 1


def probability_after(losses: t.Sequence[float], window_s: float, now: float) -> float:
    """Return the probability that a faulty box is lost within a window after a start: it
    is as likely to be lost at any time since the last loss.

    :param losses: when boxes were lost that may be faulty.
    """
    if not losses:
        return 0.0
    faulty = len(losses) / (len(losses) + LOSSES_OF_FAULTY_BOXES)
    return faulty * min(1.0, window_s / max(RESOLUTION_S, now - max(losses)))


def weight_of(probability: float) -> int:
    """Return the weight of a loss that has some other cause with a probability, in
    decibans."""
    return max(0, int(-10.0 * math.log10(min(1.0, probability))))


def probability_of_crashing(task: Task) -> float:
    """Return the probability that a task crashes boxes, by what is known of it."""
    odds: float = PRIOR_CRASHING * 10.0 ** (task.evidence / 10.0)
    return min(1.0, odds)
