"""The mechanisms of the scheduling policy that can be switched off one by one, so that
the benefit of each can be measured on the code that ships."""

import enum

from .errors import UnknownMechanism

__all__ = ["Mechanism", "parse_switched_off"]


class Mechanism(enum.StrEnum):
    """A mechanism of the policy. Each comment says what it does, and after "Off:" what
    happens without it."""

    # Boxes are reserved for short tasks. Off: long-running tasks may take all room.
    HEADROOM = "headroom"
    # Serving and best-effort tasks are kept apart. Off: the first box with room.
    PACKING = "packing"
    # Serving tasks of one image share boxes. Off: each task goes to the fullest box.
    GROUPING = "grouping"
    # Only changed boxes are examined, once for a step. Off: all boxes for each task.
    INDEX = "index"
    # Commands are queued while answers take long. Off: all are sent at once.
    COMMAND_WINDOW = "order_window"
    # Tasks that disturb serving tasks are slowed. Off: every task runs at full pace.
    PACING = "pacing"
    # Slowed tasks are moved to better boxes. Off: they stay.
    MOVES = "moves"
    # Sensitivities of pairs of images are learnt. Off: every pair counts as unknown.
    LEARNT_SENSITIVITIES = "learnt_strengths"
    # Unloaded tail latencies are learnt by image. Off: the prior stands for all images.
    LEARNT_UNLOADED_TAILS = "learnt_tails"
    # Loads of serving tasks are estimated with their trend. Off: by level alone.
    LOAD_TREND = "load_trend"
    # Boxes where runs keep failing are quarantined. Off: they stay in use.
    QUARANTINE = "put_aside"
    # Smaller best-effort jobs go first, late ones last. Off: first come, first served.
    URGENCY = "urgency"
    # Best-effort jobs go by value for the work left. Off: the least work left first.
    VALUE = "value"
    # The largest best-effort jobs get their share of starts. Off: they wait.
    SIZE_SHARES = "size_shares"
    # Work that is too late to be of use goes after late work. Off: both count alike.
    TOO_LATE_LAST = "too_late_last"
    # Processor time is attributed to its uses. Off: it is not.
    ROOM_ACCOUNT = "room_account"
    # Refused clients retry at steady intervals. Off: intervals grow with the outage.
    STEADY_RETRIES = "steady_returns"


def parse_switched_off(text: str) -> frozenset[Mechanism]:
    """Return the mechanisms named in ``text``, separated by ``+``, commas or blanks.

    :raises UnknownMechanism: naming the unknown words and the known ones.
    """
    words = text.replace("+", " ").replace(",", " ").split()
    known = {mechanism.value: mechanism for mechanism in Mechanism}
    unknown = [word for word in words if word not in known]
    if unknown:
        raise UnknownMechanism(unknown, sorted(known))
    return frozenset(known[word] for word in words)
