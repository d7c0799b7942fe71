"""Structured log of a process: JSON lines on standard output, one per event.

Each kind of event has a rate limit. If the reader does not keep up, lines are dropped
rather than the process blocked."""

import contextlib
import os
import time
import typing as t

import msgspec
import structlog

__all__ = ["NodeLog"]

# Token bucket for each kind of event. Lines beyond it are counted, and the count is
# written with the next line of that kind.
MAX_BURST_LINES: t.Final = 60
MAX_LINES_PER_S: t.Final = 15.0


class _TokenBucket:
    """A token bucket that limits the rate of lines; a token is a line."""

    __slots__ = ("dropped", "refilled_at", "tokens")

    def __init__(self, now: float) -> None:
        self.tokens = float(MAX_BURST_LINES)
        self.refilled_at = now
        self.dropped = 0

    def take(self, now: float) -> bool:
        """Take a token; return whether there was one."""
        self.tokens = min(
            float(MAX_BURST_LINES),
            self.tokens + (now - self.refilled_at) * MAX_LINES_PER_S,
        )
        self.refilled_at = now
        if self.tokens < 1.0:
            self.dropped += 1
            return False
        self.tokens -= 1.0
        return True


class _NonBlockingWriter:
    """Writes lines whole to a descriptor without blocking, or drops them."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._unwritten = b""
        self.dropped = 0
        # A descriptor that can't be set to non-blocking, such as a plain file, does not
        # block.
        with contextlib.suppress(OSError):
            os.set_blocking(descriptor, False)

    def write(self, line: bytes) -> None:
        """Write ``line``, or drop it if the rest of an earlier line is still unwritten."""
        if self._unwritten:
            self._unwritten = self._try_write(self._unwritten)
        if self._unwritten:
            self.dropped += 1
            return
        self._unwritten = self._try_write(line)

    def _try_write(self, data: bytes) -> bytes:
        try:
            return data[os.write(self._descriptor, data) :]
        except BlockingIOError:
            return data
        except OSError:
            # The reader has gone, so there is nowhere left to log this.
            self.dropped += 1
            return b""


class NodeLog:
    """The log of one process.

    :param descriptor: file descriptor to write to.
    :param count: called with the kind of each event, including dropped ones.
    :param bound: fields of every line.
    """

    def __init__(
        self,
        descriptor: int = 1,
        count: t.Callable[[str], None] | None = None,
        **bound: t.Any,
    ) -> None:
        self._count = count
        self._writer = _NonBlockingWriter(descriptor)
        self._buckets: dict[str, _TokenBucket] = {}
        processors: list[t.Any] = [
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(serializer=_serialize),
        ]
        self._logger = structlog.wrap_logger(
            _LineLogger(self._writer),
            processors=processors,
            wrapper_class=structlog.BoundLogger,
        ).bind(**bound)

    @property
    def dropped(self) -> int:
        """Number of lines dropped because the reader did not keep up."""
        return self._writer.dropped

    def event(self, event: str, /, **fields: t.Any) -> None:
        """Write a line, unless its kind of event exceeds the rate limit."""
        if self._count is not None:
            self._count(event)
        now = time.monotonic()
        bucket = self._buckets.get(event)
        if bucket is None:
            bucket = self._buckets[event] = _TokenBucket(now)
        if not bucket.take(now):
            return
        if bucket.dropped:
            fields["lines_dropped"] = bucket.dropped
            bucket.dropped = 0
        self._logger.info(event, **fields)


class _LineLogger:
    """The logger that structlog wraps: a method that writes a rendered line."""

    def __init__(self, writer: _NonBlockingWriter) -> None:
        self._writer = writer

    def info(self, line: str) -> None:
        """Write a rendered line."""
        self._writer.write(line.encode() + b"\n")


def _serialize(fields: t.Any, **_: t.Any) -> str:
    return msgspec.json.encode(fields, enc_hook=str).decode()
