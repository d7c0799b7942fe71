"""Losses of boxes as evidence: when a box was lost, and which task may have caused it; see
:mod:`.crashevidence`."""

import typing as t

from .workflows import Task

__all__ = ["RESOLUTION_S", "SETTLE_S", "BoxLoss", "LossWeight", "SuspectedLoss"]

# Losses are not told apart by less than this.
RESOLUTION_S: t.Final = 0.05
# How long after a loss it is weighed: boxes that are lost at the same moment are noticed
# up to a long poll and its timeout apart.
SETTLE_S: t.Final = 2.0


class BoxLoss(t.NamedTuple):
    """The loss of a box. Times are in seconds on the steady clock.

    :param address: where later incarnations of the box answer too; empty if not known.
    :param earliest: when the box answered last; ``-inf`` if this leader has not heard it.
    :param latest: when it was first known not to answer.
    :param tried: whether a suspect was tried there, so that its loss says nothing about
        the surroundings.
    """

    incarnation: str
    address: str
    earliest: float
    latest: float
    tried: bool = False

    def overlaps(self, other: "BoxLoss") -> bool:
        """Return whether both boxes may have been lost at the same moment."""
        return (
            self.earliest - RESOLUTION_S <= other.latest
            and other.earliest - RESOLUTION_S <= self.latest
        )

    def is_at(self, other: "BoxLoss") -> bool:
        """Return whether both boxes were at the same address."""
        return bool(self.address) and self.address == other.address


class SuspectedLoss(t.NamedTuple):
    """A loss of a box that a task may have caused, which is not weighed yet.

    :param run: number of the run that was lost with the box.
    :param answered: whether the start of the run was answered.
    :param companions: the other tasks that may have caused it.
    :param window_s: for how long the box could have been lost under the task.
    :param number: how many boxes were lost under the task, with this one.
    """

    task: Task
    run: int
    loss: BoxLoss
    answered: bool
    companions: tuple[Task, ...]
    window_s: float
    number: int

    @property
    def key(self) -> tuple[int, str]:
        """The run and the box, of which a loss under a task counts once."""
        return (self.run, self.loss.incarnation)

    @property
    def weigh_at(self) -> float:
        """Time from which the losses around it are known."""
        return self.loss.latest + SETTLE_S


class LossWeight(t.NamedTuple):
    """The weight of a loss as evidence.

    :param others_lost: boxes that may have been lost at the same moment.
    :param recent: losses of other boxes, in :data:`MEMORY_S`.
    :param boxes: number of boxes.
    """

    decibans: int
    others_lost: int
    recent: int
    boxes: int
