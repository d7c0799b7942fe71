"""Shard time: a clock that goes on from leader to leader.

The steady clocks of two processes have nothing in common, and the wall clocks of machines
may be wrong. What a leader stores as a time by either is worth nothing to a successor, or
may deceive it. Leaders therefore count the time for which the shard has been led, and
write it every second. It never runs ahead of real time: a change of leader leaves
out the time since the last record of it and the time without a leader."""

import typing as t

import msgspec

from .fieldtypes import Integer
from .interfaces import Record

__all__ = [
    "MAX_SHARD_TIME_MS",
    "SHARD_TIME_KEY",
    "UNKNOWN_TIME",
    "ShardTime",
    "decode_shard_time",
]

SHARD_TIME_KEY: t.Final = "c/"
# Upper limit of shard times; their stored form has up to nine bytes.
MAX_SHARD_TIME_MS: t.Final = 2**63 - 1
# Stands for a time that was not recorded, as by an older version.
UNKNOWN_TIME: t.Final = -1

_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(Integer)


class ShardTime:
    """Converts between the steady clock of this process and shard time, which is in
    milliseconds."""

    def __init__(self) -> None:
        # Time by the steady clock at which shard time is zero.
        self._zero = 0.0

    def restore(self, latest_ms: int, now: float) -> None:
        """Go on from ``latest_ms``, the latest shard time that a predecessor recorded."""
        self._zero = now - latest_ms / 1000.0

    def at(self, steady: float) -> int:
        """Return the shard time at a time by the steady clock."""
        return min(MAX_SHARD_TIME_MS, max(0, int((steady - self._zero) * 1000.0)))

    def steady(self, recorded_ms: int, now: float) -> float:
        """Return a recorded time by the steady clock; ``now`` if it is unknown."""
        if recorded_ms == UNKNOWN_TIME:
            return now
        return min(now, self._zero + recorded_ms / 1000.0)

    def record(self, now: float) -> Record:
        """Return the record of the current shard time."""
        return Record(SHARD_TIME_KEY, _encode(self.at(now)))


def decode_shard_time(value: bytes) -> int:
    """Return the shard time that a record holds.

    :raises msgspec.DecodeError: if it is not a time.
    """
    return max(0, _decoder.decode(value))
