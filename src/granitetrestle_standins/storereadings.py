"""Interpretations of the store's specification, where it allows more than one. The
program must keep its guarantees under each of them, so test runs draw one; which one
the users' store follows is not known."""

import enum
import random
import typing as t

__all__ = [
    "EmptyAppend",
    "ChangesOnPage",
    "PLAIN",
    "READINGS",
    "StoreReading",
    "Unanswered",
    "draw_reading",
]

# Minimum and maximum delay until an append without an answer takes effect; the
# specification says "seconds".
UNANSWERED_APPEND_DELAYS_S: t.Final = (1.0, 6.0)
# Records on a page of the newest records; the specification allows at most 500.
PAGE_SIZES: t.Final = (2, 50, 500)


class EmptyAppend(enum.Enum):
    """Effect of an append without records on its writer's sequence numbers."""

    TAKES_NO_NUMBER = "takes no number"
    # Its answer is stored, and a later append with that number is a duplicate.
    TAKES_NUMBER = "takes its number"


class ChangesOnPage(enum.Enum):
    """Which changes since the first page a later page of newest records shows."""

    NEW = "each change"
    OLD_OR_NEW = "some changes"


class Unanswered(enum.Enum):
    """When an append whose answer is lost takes effect."""

    AT_ONCE = "at once"
    # Only if its condition still holds then.
    LATER = "seconds later"


class StoreReading(t.NamedTuple):
    """One interpretation of the store's specification.

    :param page_size: number of records on a page of the newest records.
    """

    name: str
    empty: EmptyAppend
    pages: ChangesOnPage
    unanswered: Unanswered
    page_size: int


# The interpretation that the program was written for; small pages test paging best.
PLAIN: t.Final = StoreReading(
    "plain", EmptyAppend.TAKES_NO_NUMBER, ChangesOnPage.NEW, Unanswered.AT_ONCE, 2
)
READINGS: t.Final[t.Mapping[str, StoreReading]] = {
    reading.name: reading
    for reading in (
        PLAIN,
        PLAIN._replace(name="numbered", empty=EmptyAppend.TAKES_NUMBER),
        PLAIN._replace(name="mixed-pages", pages=ChangesOnPage.OLD_OR_NEW),
        PLAIN._replace(name="late", unanswered=Unanswered.LATER),
        StoreReading(
            "other",
            EmptyAppend.TAKES_NUMBER,
            ChangesOnPage.OLD_OR_NEW,
            Unanswered.LATER,
            50,
        ),
    )
}


def draw_reading(rng: random.Random) -> StoreReading:
    """Return an interpretation with random parts, named after them."""
    empty = rng.choice(tuple(EmptyAppend))
    pages = rng.choice(tuple(ChangesOnPage))
    unanswered = rng.choice(tuple(Unanswered))
    size = rng.choice(PAGE_SIZES)
    name = f"{empty.value}, {pages.value}, {unanswered.value}, {size} on a page"
    return StoreReading(name, empty, pages, unanswered, size)
