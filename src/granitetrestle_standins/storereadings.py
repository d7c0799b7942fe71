"""The ways in which the page on the store can be read where it leaves more than one. A
program has to keep its promises under each of them, so runs draw one; which of them the
users' store has is not known."""

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

# A call without an answer is done so much later, in seconds; the page says "seconds".
UNANSWERED_APPEND_DELAYS_S: t.Final = (1.0, 6.0)
# Records on a page of the newest ones; the page allows 500 at most.
PAGE_SIZES: t.Final = (2, 50, 500)


class EmptyAppend(enum.Enum):
    """What an append without records does to the numbers of its writer."""

    TAKES_NO_NUMBER = "takes no number"
    # Its answer is remembered, and a later append under that number is a repeat.
    TAKES_NUMBER = "takes its number"


class ChangesOnPage(enum.Enum):
    """What a page of the newest records shows of a change since the first page."""

    NEW = "each change"
    OLD_OR_NEW = "some changes"


class Unanswered(enum.Enum):
    """When an append whose answer is lost is done."""

    AT_ONCE = "at once"
    # If its condition still holds then.
    LATER = "seconds later"


class StoreReading(t.NamedTuple):
    """One way to read the page.

    :param page_size: records on a page of the newest ones.
    """

    name: str
    empty: EmptyAppend
    pages: ChangesOnPage
    unanswered: Unanswered
    page_size: int


# The way in which the program was written; small pages show most about paging.
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
    """Return a reading of which each part is drawn; its name tells the parts."""
    empty = rng.choice(tuple(EmptyAppend))
    pages = rng.choice(tuple(ChangesOnPage))
    unanswered = rng.choice(tuple(Unanswered))
    size = rng.choice(PAGE_SIZES)
    name = f"{empty.value}, {pages.value}, {unanswered.value}, {size} on a page"
    return StoreReading(name, empty, pages, unanswered, size)
