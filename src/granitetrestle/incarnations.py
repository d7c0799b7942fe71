"""What a life of a box is called. A box that starts again may keep its id, and then it knows
and runs nothing of before: whatever rests on what a box knows, runs or has promised rests
on one life of it, so lives have names of their own, and ids are only for reaching boxes.

A name is equal to another or not. Nothing tells which of two lives came first: the times
in them are of clocks that jump, and of two sources either may be the older one."""

__all__ = ["box_id_of", "is_same_incarnation", "incarnation_name"]

SEPARATOR = "@"


def incarnation_name(box_id: str, started_ms: int | None) -> str:
    """Return the name of a life.

    :param born: when it began, in ms since 1970, as it says itself; ``None`` if boxes of
        this kind don't say, and have a new id for each life.
    """
    if started_ms is None:
        # An id that holds the separator would be read as the name of another's life.
        return f"{box_id}{SEPARATOR}" if SEPARATOR in box_id else box_id
    return f"{box_id}{SEPARATOR}{started_ms}"


def box_id_of(incarnation: str) -> str:
    """Return the id of the box that a life is of."""
    box_id, separator, _ = incarnation.rpartition(SEPARATOR)
    return box_id if separator else incarnation


def is_same_incarnation(incarnation: str, box_id: str, started_ms: int | None) -> bool:
    """Say whether who says of itself that it is ``box_id``, started_ms so, is ``incarnation``.

    A life that is named by its id alone is whoever has that id."""
    return incarnation in (
        incarnation_name(box_id, started_ms),
        incarnation_name(box_id, None),
    )
