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
    "Room",
    "TaskSpec",
    "drawn_profile",
    "parse_spec",
]

# The page's bound on how slow a box's steady clock runs.
SLOWEST_CLOCK: t.Final = 0.98
# Clocks begin anywhere; the longest is some days, in seconds.
LATEST_ORIGIN_S: t.Final = 500_000.0
# Under the page's bound for a stop, which the program is not told; in seconds.
LONGEST_STOP_S: t.Final = 0.9


class EndsTold(enum.Enum):
    """What a box makes of the number up to which it is told that ends are known."""

    # It forgets the ends it has up to it.
    THOSE_IT_HAS = "those it has"
    # It also never lists one that comes later and is numbered so.
    LATER_ONES_TOO = "later ones too"
    # A number above its own newest means nothing.
    ITS_OWN_NUMBERS = "its own numbers"


class Room(t.NamedTuple):
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
    room: Room


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
    longest_stop_s: float = 0.0
    room: Room | None = None
    looks_again: bool = True
    ends_told: EndsTold = EndsTold.THOSE_IT_HAS


PLAIN_BOX: t.Final = BoxProfile()


def drawn_profile(draw: random.Random, hold_max_s: float, room: Room) -> BoxProfile:
    """Return a profile within what the page allows."""
    # What was drawn before a box could start again under its id stays the same.
    state = draw.getstate()[1]
    more = random.Random(f"{state[0]} {state[-1]}")
    return BoxProfile(
        hold_max_s=hold_max_s,
        clock_rate=draw.uniform(SLOWEST_CLOCK, 1.0),
        clock_origin_s=draw.uniform(0.0, LATEST_ORIGIN_S),
        longest_stop_s=LONGEST_STOP_S,
        room=room,
        looks_again=draw.random() < 0.5,
        ends_told=more.choice(list(EndsTold)),
    )


def parse_spec(text: str) -> TaskSpec:
    """Read ``MS`` or ``MS:CPU:MEM_MB``; without room a task takes none."""
    run_ms, *room = (int(part) for part in text.split(":"))
    return TaskSpec(run_ms, Room(*room) if room else Room(0, 0))
