"""Adapter to the platform's append-only log: an HTTP client, and a writer for each
stream that appends many facts at once. If the answer to an append is lost, the writer
first looks for its record id in what is read, and only then repeats the batch."""

import collections
import math
import typing as t

import anyio
import msgspec

from .calls import Caller
from .calls import CallFailure
from .calls import Reply
from .errors import DECODE_ERRORS
from .errors import FrameError
from .errors import LogGapError
from .errors import LogUnavailable
from .events import AppendFacts
from .records import Batch
from .records import Fact
from .records import LogRecord
from .records import SnapshotChunk
from .records import decode_batch
from .records import encode_batch
from .snapshot import SnapshotAssembler
from .snapshot import snapshot_stream

__all__ = ["LogClient", "LogPage", "LogWriter"]

MAX_READ_RECORDS = 500
DEFAULT_READ_WAIT_S = 1.0
READ_TRANSFER_TIMEOUT_S = 2.0
APPEND_TIMEOUT_S = 2.0
BATCH_FACTS_THRESHOLD = 256
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
READ_BACK_TIMEOUT_S = 1.5
MAX_PAGE_BYTES = 64 * 1024 * 1024
STATUS_OK = 200
STATUS_GONE = 410
T = t.TypeVar("T")


class _WireRecord(msgspec.Struct):
    offset: int
    at: float
    data: str


class _WirePage(msgspec.Struct):
    first: int
    next: int
    records: list[_WireRecord] = []


class _WireAppended(msgspec.Struct):
    offset: int


class LogPage(t.NamedTuple):
    """Records of a stream, as one read returned them.

    :param next_offset: offset from which the next read continues.
    :param tail: whether the read reached the stream's end.
    """

    records: tuple[LogRecord, ...]
    next_offset: int
    tail: bool


class LogClient:
    """HTTP client of the platform's log."""

    def __init__(self, address: str, caller: Caller) -> None:
        self._address = address
        self._caller = caller

    async def _call(
        self, method: str, path: str, timeout_s: float, body: bytes = b""
    ) -> Reply:
        reply = await self._caller.call(
            self._address,
            f"/v1/streams/{path}",
            body=body,
            timeout_s=timeout_s,
            method=method,
            limit=MAX_PAGE_BYTES,
            by_progress=True,
        )
        if isinstance(reply, CallFailure):
            raise LogUnavailable(f"the log did not answer: {reply.proof.detail}")
        if reply.status not in (STATUS_OK, STATUS_GONE):
            raise LogUnavailable(f"the log answered {reply.status}")
        return reply

    async def read(
        self, stream: str, offset: int, wait_s: float = DEFAULT_READ_WAIT_S
    ) -> LogPage:
        """Read from ``offset`` on, waiting up to ``wait_s`` seconds for new records.

        :raises LogUnavailable: if there is no valid answer.
        :raises LogGapError: if the log has dropped the record at ``offset``.
        """
        path = (
            f"{stream}/records?from={offset}"
            f"&limit={MAX_READ_RECORDS}&wait_ms={wait_s * 1000:.0f}"
        )
        reply = await self._call("GET", path, wait_s + READ_TRANSFER_TIMEOUT_S)
        page = _decode(reply.body, _WirePage)
        if reply.status == STATUS_GONE:
            raise LogGapError(stream, page.first)
        return _to_log_page(page, offset)

    async def append(self, stream: str, data: bytes) -> int:
        """Append a record; returns its offset.

        :raises LogUnavailable: if there is no valid answer; the record may or may not
            be on the log.
        """
        reply = await self._call("POST", f"{stream}/records", APPEND_TIMEOUT_S, data)
        return _decode(reply.body, _WireAppended).offset


def _decode(body: bytes, body_type: type[T]) -> T:
    try:
        return msgspec.json.decode(body, type=body_type)
    except DECODE_ERRORS as error:
        raise LogUnavailable(f"the log's answer is malformed: {error}") from error


def _to_log_page(page: _WirePage, offset: int) -> LogPage:
    records: list[LogRecord] = []
    next_offset = offset
    for wire in page.records:
        next_offset = wire.offset + 1
        try:
            batch = decode_batch(wire.data)
        except FrameError:
            # Written by another program; all readers skip it, so their states agree.
            continue
        records.append(LogRecord(wire.offset, wire.at, batch))
    return LogPage(tuple(records), next_offset, next_offset >= page.next)


async def newest_snapshot(client: LogClient, stream: str) -> tuple[int, bytes] | None:
    """Return the newest complete snapshot of a stream, if there is one.

    :returns: the offset up to which it covers the stream, and its bytes.
    :raises LogUnavailable: if the log can't be read.
    """
    assembly = SnapshotAssembler()
    snapshots = snapshot_stream(stream)
    offset = 1
    while True:
        try:
            page = await client.read(snapshots, offset, wait_s=0.0)
        except LogGapError as error:
            offset = error.first
            continue
        assembly.add(page.records)
        offset = page.next_offset
        if page.tail:
            return assembly.newest


class LogWriter:
    """Writes one stream, one append at a time.

    :param writer: this process's incarnation, the first part of a record id.
    :param appended: called with the requests of a batch and the wall time (ns) at
        which it was first sent, once the batch is known to be on the log.
    :param clock_ns: returns the wall time in ns.
    """

    def __init__(
        self,
        client: LogClient,
        stream: str,
        writer: str,
        appended: t.Callable[[t.Sequence[str], int], None],
        clock_ns: t.Callable[[], int],
    ) -> None:
        self._client = client
        self._stream = stream
        self._writer = writer
        self._appended = appended
        self._clock_ns = clock_ns
        self._queue: collections.OrderedDict[str, tuple[Fact, ...]] = (
            collections.OrderedDict()
        )
        self._generated_names = 0
        self._seq = 0
        self._last_seen_seq = 0
        self._tail_reads = 0
        self._facts_queued = anyio.Event()
        self._read_seen = anyio.Event()

    @property
    def queue_length(self) -> int:
        """Number of entries that wait to be appended."""
        return len(self._queue)

    def put(self, effect: AppendFacts) -> None:
        """Queue facts for the next append; with ``latest_only`` they replace queued
        facts of the same request."""
        name = effect.request
        if not name:
            self._generated_names += 1
            name = f"#{self._generated_names}"
        if name in self._queue and not effect.latest_only:
            self._generated_names += 1
            name = f"{name}#{self._generated_names}"
        self._queue[name] = effect.facts
        self._facts_queued.set()

    def withdraw(self, request: str) -> bool:
        """Remove a request's facts from the queue; ``True`` proves that they were not
        sent."""
        return self._queue.pop(request, None) is not None

    def observe(self, records: t.Sequence[LogRecord], tail: bool) -> None:
        """Record which of this writer's batches are on the log.

        :param tail: whether the read reached the stream's end.
        """
        for record in records:
            if record.batch.writer == self._writer:
                self._last_seen_seq = max(self._last_seen_seq, record.batch.seq)
        if records or tail:
            self._tail_reads += tail
            self._read_seen.set()
            self._read_seen = anyio.Event()

    async def run(self) -> t.NoReturn:
        """Append queued facts until cancelled."""
        while True:
            await self._facts_queued.wait()
            self._facts_queued = anyio.Event()
            while self._queue:
                names, facts = self._next_batch()
                self._seq += 1
                batch = Batch(self._writer, self._seq, tuple(facts))
                started = self._clock_ns()
                await self._send(batch)
                self._appended(names, started)

    def _next_batch(self) -> tuple[list[str], list[Fact]]:
        names: list[str] = []
        facts: list[Fact] = []
        while self._queue and len(facts) < BATCH_FACTS_THRESHOLD:
            name, queued_facts = self._queue.popitem(last=False)
            names.append(name)
            facts += queued_facts
            if any(isinstance(fact, SnapshotChunk) for fact in queued_facts):
                # A chunk is large enough to fill an append by itself.
                break
        return names, facts

    async def _send(self, batch: Batch) -> None:
        data = encode_batch(batch)
        backoff = INITIAL_BACKOFF_S
        while self._last_seen_seq < batch.seq:
            try:
                await self._client.append(self._stream, data)
                return
            except LogUnavailable:
                await self._wait_for_read_back(batch.seq)
            await anyio.sleep(backoff)
            backoff = min(MAX_BACKOFF_S, backoff * 2)

    async def _wait_for_read_back(self, seq: int) -> None:
        """Wait until the batch was read back, or two reads reached the stream's end
        without it; the first of them may have been under way before the append."""
        earlier_reads = self._tail_reads
        with anyio.move_on_after(READ_BACK_TIMEOUT_S):
            while self._last_seen_seq < seq and self._tail_reads < earlier_reads + 2:
                await self._read_seen.wait()


def backoff_delays() -> t.Iterator[float]:
    """Yield the delays (s) after successive failed reads."""
    for power in range(1000):
        yield min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * math.pow(2.0, min(power, 10)))
