"""Feeds one stream of the log to the reducer: first the newest snapshot, then the
records after it. If the log has dropped records that were not read yet, it starts again
from the newest snapshot."""

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
    """Receiver of events."""

    def dispatch(self, event: Event) -> None:
        """Apply an event."""

    def handle_log_read(self, event: LogRead) -> None:
        """Apply a read of the log."""


class LogFeed:
    """The reader of one stream.

    :param wait_s: time that a read waits for new records, in seconds.
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
        """Read the stream until cancelled."""
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
        """Dispatch the newest snapshot, if there is one; the reducer ignores one that is
        older than its state."""
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
