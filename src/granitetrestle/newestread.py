"""Reads the newest record of each key of a topic, page by page.

The size of a read has no limit but the store's own: a topic that outgrew a limit could
never be read again, and nobody could take over. A page that fails is requested again,
and the pages before it are kept."""

import typing as t

import anyio

from .interfaces import NewestPage
from .interfaces import NewestRecords
from .interfaces import NewestUnavailable
from .interfaces import Record
from .interfaces import Store
from .interfaces import StoreUnavailable

__all__ = ["NewestReader", "read_newest"]

# A page that makes no progress for this long has failed.
PAGE_TIMEOUT_S: t.Final = 5.0
PAGE_RETRY_INTERVAL_S: t.Final = 0.1
# Failed attempts in a row at one page, after which this process gives up: another one
# may have a better connection to the store.
MAX_PAGE_ATTEMPTS: t.Final = 20
NO_PROGRESS: t.Final = (
    "no progress: the page is empty or ends with the last key of an earlier one"
)


class NewestReader:
    """One read of a topic, which can resume at the page that failed.

    :param min_end: smallest acceptable end offset; a page that shows the topic as it
        was before is refused.
    """

    def __init__(self, store: Store, topic: str, min_end: int = 0) -> None:
        self._store = store
        self._topic = topic
        self._min_end = min_end
        self._records: list[Record] = []
        self._end: int | None = None
        # Last keys of the pages so far. The store chooses the order of keys, so a lower
        # key proves nothing; a key that ended an earlier page proves a loop.
        self._last_keys: set[str] = set()
        self._after: str | None = None
        self._pages = 0

    async def read_pages(self, timeout_s: float) -> NewestRecords | NewestUnavailable:
        """Read up to the last page, or to one that fails.

        :param timeout_s: seconds without progress after which a page has failed.
        """
        while True:
            page = await self._store.newest_page(self._topic, self._after, timeout_s)
            if isinstance(page, StoreUnavailable):
                return self._failed(page.reason)
            if page.end < self._min_end:
                return self._failed(f"page of end {page.end}, below {self._min_end}")
            if page.more and self._repeats_a_key(page):
                return self._failed(NO_PROGRESS)
            end = self._add_page(page)
            if not page.more:
                return NewestRecords(tuple(self._records), end)

    def _repeats_a_key(self, page: NewestPage) -> bool:
        return not page.records or _last_key(page) in self._last_keys

    def _add_page(self, page: NewestPage) -> int:
        """Add a page; returns the offset from which changes must be read."""
        if self._end is None:
            # The pages are no snapshot: changes after the first page are read again.
            self._end = page.end
        self._records += page.records
        self._pages += 1
        if page.records:
            self._after = _last_key(page)
            self._last_keys.add(self._after)
        return self._end

    def _failed(self, reason: str) -> NewestUnavailable:
        return NewestUnavailable(reason, self._pages, len(self._records))


def _last_key(page: NewestPage) -> str:
    return page.records[-1].key if page.last_key is None else page.last_key


async def read_newest(
    store: Store, topic: str, min_end: int = 0
) -> NewestRecords | NewestUnavailable:
    """Return the newest record of each key, unless one page fails repeatedly.

    :param min_end: end offset of an earlier read; older pages are refused.
    """
    reader = NewestReader(store, topic, min_end)
    attempts = pages = 0
    while True:
        outcome = await reader.read_pages(PAGE_TIMEOUT_S)
        if isinstance(outcome, NewestRecords):
            return outcome
        attempts = attempts + 1 if outcome.pages == pages else 1
        pages = outcome.pages
        if attempts >= MAX_PAGE_ATTEMPTS:
            return outcome
        await anyio.sleep(PAGE_RETRY_INTERVAL_S)
