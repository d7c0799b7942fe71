"""What a soak of real processes is asked to play on, and what it comes to."""

import typing as t

__all__ = ["DRAWN", "PLAIN", "Played", "PromiseBroken", "Run", "Surroundings"]

PLAIN: t.Final = "plain"
DRAWN: t.Final = "drawn"


class PromiseBroken(AssertionError):
    """What clients were told, or what boxes ran, is not what was promised.

    :param subject: the task, job or box that shows it; empty for the whole run.
    """

    def __init__(self, text: str, subject: str = "") -> None:
        super().__init__(text)
        self.subject = subject


class Surroundings(t.NamedTuple):
    """What the processes run on.

    :param boxes: ``plain``, or ``drawn`` within what the platform's page allows.
    :param reading: of the page on the store, by name, or ``drawn``.
    """

    boxes: str = PLAIN
    reading: str = PLAIN


class Played(t.NamedTuple):
    """What a run that kept its promises came to.

    :param counts: how often what happened.
    :param unfenced_starts: starts that only a box's memory of epochs turned away.
    :param crashed: how many boxes crashed and started again, by under which id.
    :param maintained: how often what happened in maintenance phases.
    """

    counts: dict[str, int]
    unfenced_starts: int
    crashed: dict[str, int]
    maintained: dict[str, int]


class Run(t.NamedTuple):
    """One run of a task on a box; times in seconds on the platform's clock.

    :param held_up: whether the box carried its start out late; no bound in time holds
        for such a start.
    :param end_counts: whether nothing may run after it if it was done: its end was noted,
        or may still be, and its box's lease did not lapse before.
    """

    hall: str
    task: str
    run: int
    how: str
    began: float
    ended: float | None
    held_up: bool
    end_counts: bool
