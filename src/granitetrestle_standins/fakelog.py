"""The fake log of the fakes, and how the network and the log misbehave."""

import collections
import dataclasses

from granitetrestle.records import Batch
from granitetrestle.records import Fact
from granitetrestle.records import LogRecord

__all__ = ["FakeLog", "Faults", "Writer"]


@dataclasses.dataclass(slots=True)
class Faults:
    """How the network and the log misbehave; shares are 0 to 1.

    :param broken: connections that break just after an endpoint began.
    """

    lost: float = 0.0
    doubled: float = 0.0
    late: float = 0.0
    late_s: float = 3.0
    log_down: bool = False
    log_slow_s: float = 0.0
    lost_answers: float = 0.0
    broken: float = 0.0


class FakeLog:
    """Streams with offsets and retention."""

    def __init__(self) -> None:
        self._streams: dict[str, list[LogRecord]] = collections.defaultdict(list)
        self._dropped: collections.Counter[str] = collections.Counter()

    def append(self, stream: str, batch: Batch, now: float) -> int:
        """Append a record; returns its offset."""
        offset = self.next(stream)
        self._streams[stream].append(LogRecord(offset, now, batch))
        return offset

    def next(self, stream: str) -> int:
        """Return the offset that the next record will get."""
        return 1 + self._dropped[stream] + len(self._streams[stream])

    def first(self, stream: str) -> int:
        """Return the oldest offset still kept."""
        return 1 + self._dropped[stream]

    def expire_all(self, keep: int) -> None:
        """Drop all but the newest ``keep`` records of every stream."""
        for stream in list(self._streams):
            self.expire(stream, keep)

    def expire(self, stream: str, keep: int) -> None:
        """Drop all but the newest ``keep`` records of a stream."""
        excess = len(self._streams[stream]) - keep
        if excess > 0:
            del self._streams[stream][:excess]
            self._dropped[stream] += excess

    def read(self, stream: str, offset: int) -> tuple[LogRecord, ...]:
        """Return the records from ``offset`` on."""
        index = offset - self.first(stream)
        return tuple(self._streams[stream][index : index + 500])


class Writer:
    """A writer as :class:`granitetrestle.loglink.LogWriter` behaves."""

    def __init__(self) -> None:
        self.waiting: collections.OrderedDict[str, tuple[Fact, ...]] = (
            collections.OrderedDict()
        )
        self.sending: Batch | None = None
        self.seq = 0
        self.unnamed = 0
