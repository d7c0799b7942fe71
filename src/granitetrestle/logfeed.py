"""Feeds one stream of the log to the reducer: from the newest snapshot on, then
record by record, and anew from a snapshot when the log has dropped records that
were not read yet."""

import time
import typing as t

import anyio
import structlog

from .errors import LogGapError
from .errors import LogUnavailable
from .events import Event
from .events import LogRead
from .events import SnapshotRead
from .loglink import LogClient
from .loglink import backoff_delays
from .loglink import newest_snapshot
from .reducer import Reducer

__all__ = ["LogFeed", "EventSink"]


class EventSink(t.Protocol):
    """Where events go."""

    def dispatch(self, event: Event) -> None:
        """Apply an event."""

    def handle_log_read(self, event: LogRead) -> None:
        """Apply a read of the log."""


class LogFeed:
    """The reader of one stream.

    :param wait_s: how long a read waits for news, in seconds.
    """

    def __init__(
        self,
        client: LogClient,
        stream: str,
        wait_s: float,
        reducer: Reducer,
        sink: EventSink,
        log: structlog.typing.FilteringBoundLogger,
    ) -> None:
        self._client = client
        self._stream = stream
        self._wait_s = wait_s
        self._reducer = reducer
        self._sink = sink
        self._log = log

    async def run(self) -> None:
        """Read on for ever."""
        delays = backoff_delays()
        await self._restore()
        while True:
            try:
                await self._read_page()
                delays = backoff_delays()
            except LogUnavailable as error:
                self._log.warning("log_unavailable", detail=error.message)
                await anyio.sleep(next(delays))
            except LogGapError as error:
                self._log.error("log_gap", detail=error.message)
                await self._restore()
                await anyio.sleep(next(delays))

    async def _read_page(self) -> None:
        offset = self._reducer.offsets.get(self._stream, 1)
        page = await self._client.read(self._stream, offset, self._wait_s)
        now = time.monotonic()
        self._sink.handle_log_read(
            LogRead(now, self._stream, page.records, page.next_offset, page.tail)
        )

    async def _restore(self) -> None:
        """Take up the newest snapshot, if it is newer than what is known."""
        newest = await self._newest_snapshot()
        if newest is None:
            return
        upto, payload = newest
        self._log.info("snapshot_read", stream=self._stream, upto=upto)
        event = SnapshotRead(time.monotonic(), self._stream, upto, payload)
        self._sink.dispatch(event)

    async def _newest_snapshot(self) -> tuple[int, bytes] | None:
        delays = backoff_delays()
        while True:
            try:
                return await newest_snapshot(self._client, self._stream)
            except LogUnavailable:
                await anyio.sleep(next(delays))
