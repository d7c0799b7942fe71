"""Facts: the records that processes append to the platform's log, and their encoding.
Only facts on the log outlive a process, so every later version must read them: fields
are added with defaults and never change their meaning. Facts are tagged ``msgspec``
structs, so that the decoder can tell the types of the union apart."""

import typing as t

import msgspec

from .errors import DECODE_ERRORS
from .errors import FrameError
from .fieldtypes import Integer
from .fieldtypes import Real

__all__ = [
    "AttemptEnded",
    "Batch",
    "Beat",
    "BoxDrained",
    "CellEdit",
    "CellValue",
    "Ending",
    "Fact",
    "HallEvacuated",
    "JobCancelled",
    "JobSpec",
    "JobSubmitted",
    "LogRecord",
    "Renewed",
    "ShardClaimed",
    "ShardReleased",
    "SnapshotChunk",
    "TableEdited",
    "decode_batch",
    "encode_batch",
    "record_batch",
]

# Writers of a stream that are remembered, to recognise repeated batches.
MAX_WRITERS: t.Final = 512

CellValue: t.TypeAlias = float | str
Ending: t.TypeAlias = t.Literal["finished", "failed", "evicted", "lost", "cancelled"]
JobKind: t.TypeAlias = t.Literal["batch", "service"]


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """Specification of a job, as a client account submits it.

    :param kind: ``batch`` finishes by itself; ``service`` runs until cancelled.
    :param cores: processor cores of one task.
    :param memory_gb: memory of one task, in GB.
    :param accelerators: whole accelerators of one task.
    :param tasks: number of tasks (replicas of a service).
    :param run_s: declared run time in seconds of a batch task; an estimate only.
    :param urgent: whether it starts before the account's other work and may evict
        batch tasks.
    :param service: name that callers use; empty for batch jobs.
    """

    kind: JobKind
    cores: Real
    memory_gb: Real
    accelerators: Integer = 0
    tasks: Integer = 1
    run_s: Real = 0.0
    urgent: bool = False
    service: str = ""


class JobSubmitted(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """A job was submitted; ``shard`` of the stream's data hall runs it."""

    request: str
    job: str
    account: str
    spec: JobSpec
    shard: Integer


class JobCancelled(msgspec.Struct, frozen=True, tag=True):
    """The job was cancelled; tasks that have ended keep their ending."""

    request: str
    job: str


class AttemptEnded(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """Attempt ``attempt`` of a task has provably stopped.

    Applied only if ``epoch`` is the shard's epoch at this point of the log.
    """

    task: str
    attempt: Integer
    shard: Integer
    epoch: Integer
    ending: Ending
    checkpoint: str = ""


class ShardClaimed(msgspec.Struct, frozen=True, tag=True):
    """A process claims the ownership of a shard.

    The claim succeeds if ``previous_epoch`` is still the epoch and the owner has not
    renewed its lease after offset ``seen_renewal``; the record's offset is then the
    new epoch.
    """

    shard: Integer
    previous_epoch: Integer
    seen_renewal: Integer
    node: str
    incarnation: str


class ShardReleased(msgspec.Struct, frozen=True, tag=True):
    """The owner has stopped deciding for the shard.

    :param heir: node that takes over; empty if the owner names none.
    """

    shard: Integer
    epoch: Integer
    heir: str = ""


class Beat(msgspec.Struct, frozen=True, array_like=True):
    """Heartbeat of one process.

    :param number: grows with each heartbeat of the incarnation.
    :param config_offset: offset up to which it has applied the configuration stream.
    """

    node: str
    incarnation: str
    number: Integer
    config_offset: Integer
    stopping: bool = False


class Renewed(msgspec.Struct, frozen=True, tag=True):
    """Heartbeats of several processes, collected into one append."""

    beats: tuple[Beat, ...]


class CellEdit(msgspec.Struct, frozen=True):
    """New value of a table cell.

    :param seen_version: version of the cell that the operator saw; 0 if it had none.
    """

    account: str
    column: str
    value: CellValue
    seen_version: Integer


class TableEdited(msgspec.Struct, frozen=True, tag=True):
    """Edits of the table, applied all together or not at all."""

    request: str
    edits: tuple[CellEdit, ...]


class BoxDrained(msgspec.Struct, frozen=True, tag=True):
    """An operator drains a box, or restores it to use."""

    request: str
    box: str
    drained: bool


class HallEvacuated(msgspec.Struct, frozen=True, tag=True):
    """An operator evacuates the stream's data hall, or restores it to use. While it is
    evacuated no further task starts there; tasks that run go on."""

    request: str
    evacuated: bool


class SnapshotChunk(msgspec.Struct, frozen=True, tag=True):
    """Chunk ``index`` of ``count`` of the snapshot after the record at ``upto``."""

    upto: Integer
    index: Integer
    count: Integer
    payload: bytes


Fact: t.TypeAlias = (
    JobSubmitted
    | JobCancelled
    | AttemptEnded
    | ShardClaimed
    | ShardReleased
    | Renewed
    | TableEdited
    | BoxDrained
    | HallEvacuated
    | SnapshotChunk
)


class Batch(msgspec.Struct, frozen=True):
    """The facts of one append.

    ``(writer, seq)`` is the record id: a batch that is on the log twice, as a writer
    repeats appends whose answer was lost, is applied once.
    """

    writer: str
    seq: Integer
    facts: tuple[Fact, ...]


class LogRecord(t.NamedTuple):
    """A batch with the offset and wall time (seconds) that the log assigned to it."""

    offset: Integer
    at: Real
    batch: Batch


def record_batch(writers: dict[str, int], batch: Batch) -> bool:
    """Record that a batch was read; return whether it was read for the first time.

    :param writers: the last sequence number of each writer, the writer of the newest
        batch last.
    """
    if batch.seq <= writers.get(batch.writer, 0):
        return False
    writers.pop(batch.writer, None)
    writers[batch.writer] = batch.seq
    while len(writers) > MAX_WRITERS:
        del writers[next(iter(writers))]
    return True


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Batch)


def encode_batch(batch: Batch) -> bytes:
    """Return ``batch`` as JSON, the encoding on the log."""
    return _encoder.encode(batch)


def decode_batch(data: bytes | str) -> Batch:
    """Return the batch in ``data``.

    :raises FrameError: if ``data`` is not a batch.
    """
    try:
        return _decoder.decode(data)
    except DECODE_ERRORS as error:
        raise FrameError(f"not a batch: {error}") from error
