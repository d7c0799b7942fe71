"""Profiles of stand-in boxes, for behaviour that the platform's specification leaves
open: clock, longest lease, duration of stops, and whether a box refuses tasks that do
not fit. The plain profile is the same in every run; others are drawn for each box."""

import enum
import random
import typing as t

__all__ = [
    "MIN_CLOCK_RATE",
    "PLAIN_BOX",
    "BoxProfile",
    "EndsTold",
    "Resources",
    "TaskEnd",
    "TaskSpec",
    "draw_profile",
    "parse_spec",
]

# The specification's limit on how slowly a box's steady clock runs.
MIN_CLOCK_RATE: t.Final = 0.98
# A clock starts at any value up to this, several days.
MAX_CLOCK_ORIGIN_S: t.Final = 500_000.0
# Below the specification's limit on a stop, which the scheduler doesn't know.
MAX_STOP_S: t.Final = 0.9


class EndsTold(enum.Enum):
    """How a box applies the acknowledged number of a poll."""

    # It removes the ends up to that number that it holds.
    THOSE_IT_HAS = "those it has"
    # It also never lists a later end whose number is not above it.
    LATER_ONES_TOO = "later ones too"
    # It ignores a number above that of its newest end.
    ITS_OWN_NUMBERS = "its own numbers"


class Resources(t.NamedTuple):
    """The capacity of a box, or the demand of a task.

    :param cpu: thousandths of a core.
    """

    cpu: int
    mem_mb: int


class TaskEnd(enum.Enum):
    """What happens at the end of the run time of a task."""

    DONE = "done"
    FAILED = "failed"
    # The box crashes; with a run time of 0 before it answers the start.
    CRASH = "crash"


class TaskSpec(t.NamedTuple):
    """The parsed spec of a task for a stand-in box.

    :param run_ms: run time of the task.
    """

    run_ms: int
    resources: Resources
    end: TaskEnd = TaskEnd.DONE


class BoxProfile(t.NamedTuple):
    """The behaviour of a box. Times are in seconds.

    :param hold_max_s: longest lease by its own clock.
    :param clock_rate: seconds on its clock per real second.
    :param clock_origin_s: value of its clock when it starts.
    :param max_stop_s: longest duration of a stop.
    :param resources: capacity that it enforces; ``None`` if it starts every task.
    :param rechecks_long_polls: whether a long poll is checked and renews the lease
        repeatedly while it waits, or only once on arrival.
    :param ends_told: how it applies an acknowledged number.
    """

    hold_max_s: float = 10.0
    clock_rate: float = 1.0
    clock_origin_s: float = 0.0
    max_stop_s: float = 0.0
    resources: Resources | None = None
    rechecks_long_polls: bool = True
    ends_told: EndsTold = EndsTold.THOSE_IT_HAS


PLAIN_BOX: t.Final = BoxProfile()


def draw_profile(
    draw: random.Random, hold_max_s: float, resources: Resources
) -> BoxProfile:
    """Draw a profile within the limits of the specification."""
    # ``ends_told`` has a generator of its own: a seed's other draws stay the same.
    state = draw.getstate()[1]
    ends_draw = random.Random(f"{state[0]} {state[-1]}")
    return BoxProfile(
        hold_max_s=hold_max_s,
        clock_rate=draw.uniform(MIN_CLOCK_RATE, 1.0),
        clock_origin_s=draw.uniform(0.0, MAX_CLOCK_ORIGIN_S),
        max_stop_s=MAX_STOP_S,
        resources=resources,
        rechecks_long_polls=draw.random() < 0.5,
        ends_told=ends_draw.choice(list(EndsTold)),
    )


def parse_spec(text: str) -> TaskSpec:
    """Parse ``MS``, ``MS:CPU:MEM_MB`` or ``MS:CPU:MEM_MB:END``, where the end is that of
    :class:`TaskEnd`; the first form demands no resources."""
    run_ms, *rest = text.split(":")
    if not rest:
        return TaskSpec(int(run_ms), Resources(0, 0))
    cpu, mem_mb, *end = rest
    resources = Resources(int(cpu), int(mem_mb))
    return TaskSpec(int(run_ms), resources, TaskEnd(*end or ["done"]))
