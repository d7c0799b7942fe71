"""How a stand-in box differs from another where the page leaves a range: its clock, its
longest lease, how long a stop lasts, and whether it refuses what it has no room for. The
plain one is the same in every run; others are drawn, one for each box."""

import enum
import random
import typing as t

__all__ = [
    "PLAIN_BOX",
    "BoxProfile",
    "EndsTold",
    "Resources",
    "TaskSpec",
    "draw_profile",
    "parse_spec",
]

# The page's bound on how slow a box's steady clock runs.
MIN_CLOCK_RATE: t.Final = 0.98
# Clocks begin anywhere; the longest is some days, in seconds.
MAX_CLOCK_ORIGIN_S: t.Final = 500_000.0
# Under the page's bound for a stop, which the program is not told; in seconds.
MAX_STOP_S: t.Final = 0.9


class EndsTold(enum.Enum):
    """What a box makes of the number up to which it is told that ends are known."""

    # It forgets the ends it has up to it.
    THOSE_IT_HAS = "those it has"
    # It also never lists one that comes later and is numbered so.
    LATER_ONES_TOO = "later ones too"
    # A number above its own newest means nothing.
    ITS_OWN_NUMBERS = "its own numbers"


class Resources(t.NamedTuple):
    """What there is of a box, or what a task takes.

    :param cpu: thousandths of a core.
    """

    cpu: int
    mem_mb: int


class TaskSpec(t.NamedTuple):
    """What a task's text says to a stand-in box.

    :param run_ms: how long it runs.
    """

    run_ms: int
    resources: Resources


class BoxProfile(t.NamedTuple):
    """How a box behaves. Times in seconds.

    :param hold_max_s: longest lease by its own clock.
    :param clock_rate: seconds on its clock for each one that passes.
    :param clock_origin_s: what its clock shows as it begins.
    :param longest_stop_s: stops last up to this.
    :param room: what it guards; ``None`` if it starts whatever it is told.
    :param looks_again: whether a look that waits is checked and renews anew all the
        while, or once as it arrives.
    :param ends_told: what a number of known ends means.
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
    """Return a profile within what the page allows."""
    # What was drawn before a box could start again under its id stays the same.
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
    """Read ``MS`` or ``MS:CPU:MEM_MB``; without room a task takes none."""
    run_ms, *resources = (int(part) for part in text.split(":"))
    return TaskSpec(run_ms, Resources(*resources) if resources else Resources(0, 0))
