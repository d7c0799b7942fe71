"""Names of box incarnations.

A box that restarts may keep its id, but it has lost its tasks and all that it knew. So
whatever depends on what a box runs, knows or has promised refers to one incarnation;
ids only serve to reach boxes.

Names can only be compared for equality. They don't tell which of two incarnations came
first: the times in them are from clocks that jump, and either of two sources may be out
of date."""

__all__ = ["box_id_of", "is_same_incarnation", "incarnation_name"]

SEPARATOR = "@"


def incarnation_name(box_id: str, started_ms: int | None) -> str:
    """Return the name of an incarnation.

    :param started_ms: when it started, in ms since 1970 by its own clock; ``None`` if
        boxes of this kind don't report it and have a new id for each incarnation.
    """
    if started_ms is None:
        # An id that contains the separator would read as an incarnation of another box.
        return f"{box_id}{SEPARATOR}" if SEPARATOR in box_id else box_id
    return f"{box_id}{SEPARATOR}{started_ms}"


def box_id_of(incarnation: str) -> str:
    """Return the id of the box of an incarnation."""
    box_id, separator, _ = incarnation.rpartition(SEPARATOR)
    return box_id if separator else incarnation


def is_same_incarnation(incarnation: str, box_id: str, started_ms: int | None) -> bool:
    """Return whether a box that reports this id and start time is ``incarnation``.

    An incarnation that is named by its id alone matches any box with that id."""
    return incarnation in (
        incarnation_name(box_id, started_ms),
        incarnation_name(box_id, None),
    )
