"""Snapshots of a stream's state, from which a process can start after the log has
dropped old records. A snapshot is a pure function of the records up to an offset. It
is split into chunks, which are appended to a separate stream."""

import typing as t
import zlib

import msgspec

from .errors import FrameError
from .jobs import Job
from .ownership import ShardState
from .records import LogRecord
from .records import SnapshotChunk
from .table import Cell

__all__ = [
    "ConfigState",
    "HallState",
    "SnapshotAssembler",
    "split_snapshot",
    "decode_config",
    "decode_hall",
    "encode_state",
    "snapshot_stream",
]

MAX_CHUNK_BYTES = 48 * 1024


class ConfigState(msgspec.Struct):
    """State of the configuration stream.

    :param rows: account -> column -> cell.
    :param writers: the last sequence number of each writer.
    """

    rows: dict[str, dict[str, Cell]]
    writers: dict[str, int]


class HallState(msgspec.Struct):
    """State of a data hall's stream.

    :param drained: boxes that operators drain.
    :param writers: the last sequence number of each writer.
    """

    jobs: list[Job]
    shards: dict[int, ShardState]
    drained: list[str]
    writers: dict[str, int]
    evacuated: bool = False


def snapshot_stream(stream: str) -> str:
    """Return the name of the stream that holds a stream's snapshots."""
    return f"{stream}.snapshots"


def encode_state(state: ConfigState | HallState) -> bytes:
    """Return ``state`` as compressed MessagePack."""
    return zlib.compress(msgspec.msgpack.encode(state), 1)


def _decode(payload: bytes, state_type: type[t.Any]) -> t.Any:
    try:
        return msgspec.msgpack.decode(zlib.decompress(payload), type=state_type)
    except (zlib.error, msgspec.DecodeError) as error:
        raise FrameError(f"not a snapshot: {error}") from error


def decode_config(payload: bytes) -> ConfigState:
    """Return the state in ``payload``.

    :raises FrameError: if it is not such a snapshot.
    """
    state: ConfigState = _decode(payload, ConfigState)
    return state


def decode_hall(payload: bytes) -> HallState:
    """Return the state in ``payload``.

    :raises FrameError: if it is not such a snapshot.
    """
    state: HallState = _decode(payload, HallState)
    return state


def split_snapshot(upto: int, payload: bytes) -> tuple[SnapshotChunk, ...]:
    """Split a snapshot into chunks of up to ``MAX_CHUNK_BYTES``.

    :param upto: offset of the last record that the snapshot covers.
    """
    parts = [
        payload[start : start + MAX_CHUNK_BYTES]
        for start in range(0, len(payload), MAX_CHUNK_BYTES)
    ]
    return tuple(
        SnapshotChunk(upto, index, len(parts), part) for index, part in enumerate(parts)
    )


class SnapshotAssembler:
    """Assembles the newest complete snapshot from the records of its stream."""

    def __init__(self) -> None:
        self._parts: dict[tuple[str, int, int], dict[int, bytes]] = {}
        self._newest: tuple[int, bytes] | None = None

    @property
    def newest(self) -> tuple[int, bytes] | None:
        """Offset up to which the newest complete snapshot covers the stream, and its
        bytes."""
        return self._newest

    def add(self, records: t.Iterable[LogRecord]) -> None:
        """Add records, in the order of the log."""
        for record in records:
            for fact in record.batch.facts:
                if isinstance(fact, SnapshotChunk):
                    self._add_chunk(record.batch.writer, fact)

    def _add_chunk(self, writer: str, chunk: SnapshotChunk) -> None:
        if self._newest is not None and chunk.upto <= self._newest[0]:
            return
        key = (writer, chunk.upto, chunk.count)
        parts = self._parts.setdefault(key, {})
        parts[chunk.index] = chunk.payload
        if len(parts) == chunk.count:
            payload = b"".join(parts[index] for index in range(chunk.count))
            self._newest = (chunk.upto, payload)
            self._parts = {k: v for k, v in self._parts.items() if k[1] > chunk.upto}
