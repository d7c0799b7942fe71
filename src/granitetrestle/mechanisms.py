"""The parts of the policy that can be switched off from outside, one by one, so that
what each is worth can be measured on the code that ships."""

import enum

from .errors import UnknownMechanism

__all__ = ["Mechanism", "parse_switched_off"]


class Mechanism(enum.StrEnum):
    """A part of the policy; what is done without it stands behind the dash."""

    # Boxes are kept free for short work - lasting work may take all room.
    HEADROOM = "headroom"
    # Serving tasks and what fills are kept apart - the first box with room.
    PACKING = "packing"
    # Serving tasks of one image share boxes - each goes to the fullest box.
    GROUPING = "grouping"
    # Boxes are looked at when they changed, once for a step - all of them for each task.
    INDEX = "index"
    # Orders wait their turn where answers take long - all are sent at once.
    COMMAND_WINDOW = "order_window"
    # What disturbs serving tasks is slowed - everything runs at full pace.
    PACING = "pacing"
    # Slowed tasks are moved to better boxes - they stay.
    MOVES = "moves"
    # Strengths of pairs of images are learnt - every pair is taken as unknown.
    LEARNT_SENSITIVITIES = "learnt_strengths"
    # Idle tails are learnt by image - all are taken for the prior.
    LEARNT_UNLOADED_TAILS = "learnt_tails"
    # Loads of serving tasks are followed with their trend - by level alone.
    LOAD_TREND = "load_trend"
    # Boxes that fail what they start are put aside - they stay in use.
    QUARANTINE = "put_aside"
    # The smaller jobs that fill go first, late ones last - first come, first served.
    URGENCY = "urgency"
    # Jobs that fill go by their value for the work that is left - the least left first.
    VALUE = "value"
    # The largest jobs that fill are not left behind the others - they wait.
    SIZE_SHARES = "size_shares"
    # What is too late to be of use waits behind what is late - they count alike.
    TOO_LATE_LAST = "too_late_last"
    # Refused clients come back at steady intervals - the longer the store is away the later.
    STEADY_RETRIES = "steady_returns"


def parse_switched_off(text: str) -> frozenset[Mechanism]:
    """Return the mechanisms named in ``text``, which ``+``, commas or blanks part.

    :raises UnknownMechanism: naming each unknown word, and the known ones.
    """
    words = text.replace("+", " ").replace(",", " ").split()
    known = {mechanism.value: mechanism for mechanism in Mechanism}
    unknown = [word for word in words if word not in known]
    if unknown:
        raise UnknownMechanism(unknown, sorted(known))
    return frozenset(known[word] for word in words)
