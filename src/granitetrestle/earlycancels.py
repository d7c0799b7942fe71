"""Cancels of jobs that are not known yet.

A submission may come after its cancel: a machine that stood still, or a link that was
cut, may have held it while the client account left and cancelled elsewhere. The leader
keeps each such cancel for a while, in the store as well, and refuses the submission. To
queries the job stays unknown."""

import typing as t

import msgspec

from .errors import DECODE_ERRORS
from .fieldtypes import Integer
from .interfaces import Record
from .shardtime import ShardTime

__all__ = ["EARLY_CANCEL_KEY", "EarlyCancels"]

# Older versions ignore these records.
EARLY_CANCEL_KEY: t.Final = "x/"
# Far longer than a request may take, as a link may be cut for long.
KEEP_S: t.Final = 60.0
# Limit of the memory that cancels at random can take; the oldest are forgotten.
MAX_KEPT: t.Final = 10_000

_encode = msgspec.msgpack.Encoder().encode
_times_ms = msgspec.msgpack.Decoder(Integer)


class EarlyCancels:
    """The jobs that were cancelled before they came.

    :param time: the shard time, which goes on from leader to leader.
    """

    def __init__(self, time: ShardTime) -> None:
        self._time = time
        # Job -> when it was cancelled; the oldest comes first.
        self._kept: dict[str, float] = {}
        self._unwritten: dict[str, bytes | None] = {}

    def __contains__(self, job: str) -> bool:
        return job in self._kept

    @property
    def waiting(self) -> bool:
        """Whether records must be written."""
        return bool(self._unwritten)

    def add(self, job: str, now: float) -> None:
        """Keep the cancel of a job."""
        self._kept.pop(job, None)
        self._kept[job] = now
        self._unwritten[job] = _encode(self._time.at(now))
        if len(self._kept) > MAX_KEPT:
            self._discard(next(iter(self._kept)))

    def discard_expired(self, now: float) -> None:
        """Discard the cancels that have been kept for long enough."""
        for job, cancelled_at in list(self._kept.items()):
            if now - cancelled_at <= KEEP_S:
                break
            self._discard(job)

    def _discard(self, job: str) -> None:
        del self._kept[job]
        self._unwritten[job] = None

    def pop_records(self) -> list[Record]:
        """Return the records that changed since the last call."""
        records = [
            Record(EARLY_CANCEL_KEY + job, value)
            for job, value in self._unwritten.items()
        ]
        self._unwritten.clear()
        return records

    def restore(self, records: t.Iterable[Record], now: float) -> None:
        """Restore what a predecessor kept, once the shard time is restored."""
        found: dict[str, float] = {}
        for key, value in records:
            if key.startswith(EARLY_CANCEL_KEY) and value is not None:
                try:
                    cancelled_at = self._time.steady(_times_ms.decode(value), now)
                except DECODE_ERRORS:
                    cancelled_at = now
                found[key.removeprefix(EARLY_CANCEL_KEY)] = cancelled_at
        self._kept = dict(sorted(found.items(), key=lambda item: item[1]))
