"""Reads the newest record of each key, page by page. What must be read has no bound but
the store's own: with one, a topic that outgrew it could never be read again, and nobody
could take over. A page that fails is asked for again, and those before it are kept."""

import typing as t

import anyio

from .interfaces import NewestPage
from .interfaces import NewestRecords
from .interfaces import NewestUnavailable
from .interfaces import Record
from .interfaces import Store
from .interfaces import StoreUnavailable

__all__ = ["NewestReader", "read_newest"]

# A page has up to a megabyte, which the smallest links (10 Mbit/s) carry in a second.
PAGE_TIMEOUT_S: t.Final = 5.0
PAGE_RETRY_INTERVAL_S: t.Final = 0.1
# Tries in a row of one page, after which another process may fare better.
MAX_PAGE_ATTEMPTS: t.Final = 20
NO_PROGRESS: t.Final = "no progress: a page ends with a key that was there before"


class NewestReader:
    """One read of a topic; goes on from the page that failed.

    :param from_end: a page of the topic as it was before it ended there is refused.
    """

    def __init__(self, store: Store, topic: str, min_end: int = 0) -> None:
        self._store = store
        self._topic = topic
        self._min_end = min_end
        self._records: list[Record] = []
        self._end: int | None = None
        # Last keys of the pages so far. The order of keys is the store's own: a lower
        # key proves nothing, one that was there before proves a loop.
        self._last_keys: set[str] = set()
        self._after: str | None = None
        self._pages = 0

    async def resume(self, timeout_s: float) -> NewestRecords | NewestUnavailable:
        """Read until the last page, or one that fails.

        :param timeout_s: for each page.
        """
        while True:
            page = await self._store.newest_page(self._topic, self._after, timeout_s)
            if isinstance(page, StoreUnavailable):
                return self._failed(page.reason)
            if page.end < self._min_end:
                return self._failed(f"a page of {page.end}, not of {self._min_end}")
            if page.more and self._repeats_a_key(page):
                return self._failed(NO_PROGRESS)
            end = self._add_page(page)
            if not page.more:
                return NewestRecords(tuple(self._records), end)

    def _repeats_a_key(self, page: NewestPage) -> bool:
        return not page.records or page.records[-1].key in self._last_keys

    def _add_page(self, page: NewestPage) -> int:
        """Keep a page; returns the offset from which to read on."""
        if self._end is None:
            # Pages are no snapshot: what comes after the first is read again.
            self._end = page.end
        self._records += page.records
        self._pages += 1
        if page.records:
            self._after = page.records[-1].key
            self._last_keys.add(self._after)
        return self._end

    def _failed(self, reason: str) -> NewestUnavailable:
        return NewestUnavailable(reason, self._pages, len(self._records))


async def read_newest(
    store: Store, topic: str, min_end: int = 0
) -> NewestRecords | NewestUnavailable:
    """Return the newest record of each key, unless one page fails again and again.

    :param from_end: how far the topic was read before; nothing older is taken.
    """
    reader = NewestReader(store, topic, min_end)
    attempts = pages = 0
    while True:
        outcome = await reader.resume(PAGE_TIMEOUT_S)
        if isinstance(outcome, NewestRecords):
            return outcome
        attempts = attempts + 1 if outcome.pages == pages else 1
        pages = outcome.pages
        if attempts >= MAX_PAGE_ATTEMPTS:
            return outcome
        await anyio.sleep(PAGE_RETRY_INTERVAL_S)
