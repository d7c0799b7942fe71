"""Facts as they stand on the platform's log. Only facts on the log outlive a
process, so every type here is a contract with all later versions: fields are
added with defaults and never change their meaning. Facts are ``msgspec``
structs, since a tagged union is what the codec needs to tell them apart."""

import typing as t

import msgspec

from .errors import FrameError

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

# Writers of a stream that are remembered, to recognise batches that stand twice.
MAX_WRITERS: t.Final = 512

CellValue: t.TypeAlias = float | str
Ending: t.TypeAlias = t.Literal["finished", "failed", "evicted", "lost", "cancelled"]
JobKind: t.TypeAlias = t.Literal["batch", "service"]


class JobSpec(msgspec.Struct, frozen=True, omit_defaults=True):
    """What an account asks to be run.

    :param kind: ``batch`` finishes by itself; ``service`` runs until cancelled.
    :param cores: processors of one task.
    :param memory_gb: memory of one task, in GB.
    :param accelerators: whole accelerators of one task.
    :param tasks: how many tasks the job has (replicas of a service).
    :param run_s: declared run time in seconds; a prior only, for batch.
    :param urgent: ahead of the account's other work, and may evict batch.
    :param service: name that callers use, for services.
    """

    kind: JobKind
    cores: float
    memory_gb: float
    accelerators: int = 0
    tasks: int = 1
    run_s: float = 0.0
    urgent: bool = False
    service: str = ""


class JobSubmitted(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """A job exists, and ``shard`` of the stream's hall is to run it."""

    request: str
    job: str
    account: str
    spec: JobSpec
    shard: int


class JobCancelled(msgspec.Struct, frozen=True, tag=True):
    """The job is to stop; what has ended stays ended."""

    request: str
    job: str


class AttemptEnded(msgspec.Struct, frozen=True, tag=True, omit_defaults=True):
    """Attempt ``attempt`` of a task has provably stopped.

    Counts only if ``epoch`` is the shard's epoch at this point of the log.
    """

    task: str
    attempt: int
    shard: int
    epoch: int
    ending: Ending
    checkpoint: str = ""


class ShardClaimed(msgspec.Struct, frozen=True, tag=True):
    """A process asks to own a shard.

    Wins if ``previous_epoch`` is still the epoch and the holder has not renewed
    after offset ``seen_renewal``; the record's offset is then the new epoch.
    """

    shard: int
    previous_epoch: int
    seen_renewal: int
    node: str
    incarnation: str


class ShardReleased(msgspec.Struct, frozen=True, tag=True):
    """The owner has stopped deciding for the shard and names who may follow."""

    shard: int
    epoch: int
    heir: str = ""


class Beat(msgspec.Struct, frozen=True, array_like=True):
    """One process's sign of life, numbered by itself.

    :param config_offset: offset up to which its table is in force.
    """

    node: str
    incarnation: str
    number: int
    config_offset: int
    stopping: bool = False


class Renewed(msgspec.Struct, frozen=True, tag=True):
    """Signs of life of several processes, gathered into one append."""

    beats: tuple[Beat, ...]


class CellEdit(msgspec.Struct, frozen=True):
    """One cell's new value and the version that the operator saw (0: none)."""

    account: str
    column: str
    value: CellValue
    seen_version: int


class TableEdited(msgspec.Struct, frozen=True, tag=True):
    """A change of the table, taken whole or not at all."""

    request: str
    edits: tuple[CellEdit, ...]


class BoxDrained(msgspec.Struct, frozen=True, tag=True):
    """An operator wants a box emptied, or gives it back."""

    request: str
    box: str
    drained: bool


class HallEvacuated(msgspec.Struct, frozen=True, tag=True):
    """An operator wants nothing further to start in the stream's data hall, or gives it
    back; what runs there goes on."""

    request: str
    evacuated: bool


class SnapshotChunk(msgspec.Struct, frozen=True, tag=True):
    """Part ``index`` of ``count`` of the state after the record at ``upto``."""

    upto: int
    index: int
    count: int
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

    ``(writer, seq)`` is the record id: a batch that stands twice counts once.
    """

    writer: str
    seq: int
    facts: tuple[Fact, ...]


class LogRecord(t.NamedTuple):
    """A batch with the offset and wall time (seconds) the log gave it."""

    offset: int
    at: float
    batch: Batch


def record_batch(writers: dict[str, int], batch: Batch) -> bool:
    """Say whether a batch is seen for the first time, and note that it was.

    :param writers: the last sequence number of each writer, the newest writer last.
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
    """Return the bytes of ``batch`` as they go onto the log."""
    return _encoder.encode(batch)


def decode_batch(data: bytes | str) -> Batch:
    """Return the batch in ``data``.

    :raises FrameError: if ``data`` is not a batch.
    """
    try:
        return _decoder.decode(data)
    except msgspec.DecodeError as error:
        raise FrameError(f"not a batch: {error}") from error
