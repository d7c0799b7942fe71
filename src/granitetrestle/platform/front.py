"""Decoding of what clients and operators send: job calls over HTTP, and the
configuration and directives in the store."""

import re
import typing as t

import msgspec

from ..errors import DECODE_ERRORS
from ..errors import InvalidInput
from ..errors import MalformedDirective
from ..fieldtypes import Integer
from ..fieldtypes import Real
from ..interfaces import Config
from ..interfaces import HallDirective
from ..interfaces import Queue
from ..interfaces import Record
from ..jobcalls import CancelJob
from ..jobcalls import Cancelled
from ..jobcalls import CountWaiting
from ..jobcalls import GetState
from ..jobcalls import JobAccepted
from ..jobcalls import JobCall
from ..jobcalls import JobOutcome
from ..jobcalls import JobState
from ..jobcalls import NoSuchJob
from ..jobcalls import SubmitJob
from ..jobcalls import WaitingCount
from ..workflows import MAX_TASKS
from ..workflows import Step
from ..workflows import Submission

__all__ = [
    "Answer",
    "DecodedCall",
    "QueueIndex",
    "UnknownQueue",
    "decode_call",
    "decode_config",
    "decode_directive",
    "encode_outcome",
]

CONFIG_KEY: t.Final = "config"
# Followed by the name of the data hall.
EVACUATE_PREFIX: t.Final = "evacuate/"
JOB_ID: t.Final = re.compile(r"[0-9a-f]{16}")
MAX_SPEC_BYTES: t.Final = 4000
MAX_STEPS: t.Final = 100
# JSON numbers above this lose precision in clients. Integers above 64 bits can't be
# serialized: such a job crashes the leader that accepts it, and then its successor
# when the client submits the job again.
MAX_NUMBER: t.Final = 2**53
OK: t.Final = 200
GONE: t.Final = 410


class Answer(t.NamedTuple):
    """An HTTP answer to a client.

    :param retry_after_s: when the client should retry; 0 sends no such header.
    """

    status: int
    body: bytes = b""
    retry_after_s: int = 0


class UnknownQueue(t.NamedTuple):
    """No queue has this host and path."""


DecodedCall: t.TypeAlias = JobCall | UnknownQueue


class _Advice(msgspec.Struct):
    decide_ms: Real = 0.0
    each_ms: Real = 0.0
    valid_ms: Real = 0.0


class _Route(msgspec.Struct):
    """A queue. A job's latency objective is its critical path times ``extension``, plus
    ``target_latency_ms``."""

    name: str
    host: str
    path_prefix: str
    service: str
    priority: Integer = 1
    max_attempts: Integer = 3
    extension: Real = 1.5
    target_latency_ms: Real = 1000.0
    advice: _Advice | None = None


class _Service(msgspec.Struct):
    name: str
    enforces_capacity: bool = True


class _Limits(msgspec.Struct):
    max_body_bytes: Integer = 262144


class _Config(msgspec.Struct):
    version: Integer
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _HallDirective(msgspec.Struct):
    """Record of an evacuated data hall, which gets no more tasks. Its fields are not
    used yet."""


class _Step(msgspec.Struct):
    """``anti_affinity`` is the maximum of the step's tasks on one box; ``fills`` marks
    best-effort tasks, which take only unused processor time."""

    count: Integer
    cpu: Integer = 0
    mem_mb: Integer = 0
    gpu: Integer = 0
    estimate_ms: Real = 0.0
    depends_on: list[Integer] = []
    checkpointing: bool = False
    gang: bool = False
    rack_local: bool = False
    requirements: str | list[str] = ""
    affinity: str = ""
    anti_affinity: Integer = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: Real = 0.0
    fills: bool = False
    may_miss: Integer = 0


class _Job(msgspec.Struct):
    steps: list[_Step]
    spec: str = ""
    repeat_count: Integer = 0
    start_at_ms: Integer = 0
    interval_ms: Integer = 0


_configs = msgspec.json.Decoder(_Config)
_jobs = msgspec.json.Decoder(_Job)
_hall_directives = msgspec.json.Decoder(_HallDirective)


def decode_directive(record: Record) -> Config | HallDirective | None:
    """Return the configuration or directive in an operators' record.

    :returns: ``None`` if the record is neither.
    :raises MalformedDirective: if it can't be decoded.
    """
    key, value = record
    if key == CONFIG_KEY:
        try:
            return decode_config(value or b"")
        except DECODE_ERRORS as error:
            raise MalformedDirective(key, str(error), is_config=True) from error
    if not key.startswith(EVACUATE_PREFIX):
        return None
    hall = key.removeprefix(EVACUATE_PREFIX)
    if not hall:
        raise MalformedDirective(key, "names no data hall")
    if value is None:
        return HallDirective(hall, False)
    try:
        _hall_directives.decode(value)
    except DECODE_ERRORS as error:
        raise MalformedDirective(key, str(error), hall) from error
    return HallDirective(hall, True)


def decode_config(data: bytes) -> Config:
    """Return the configuration in ``data``.

    :raises msgspec.DecodeError: if it is malformed.
    """
    raw = _configs.decode(data)
    queues = tuple(map(_queue, raw.routes))
    enforces_capacity = {
        service.name: service.enforces_capacity for service in raw.services
    }
    return Config(raw.version, queues, enforces_capacity, raw.limits.max_body_bytes)


def _queue(route: _Route) -> Queue:
    return Queue(
        name=route.name,
        host=route.host.lower(),
        prefix=route.path_prefix,
        service=route.service,
        priority=route.priority,
        max_attempts=route.max_attempts,
        objective_factor=route.extension,
        target_ms=route.target_latency_ms,
        advised=route.advice is not None,
        advice_valid_ms=route.advice.valid_ms if route.advice else 0.0,
        advice_decide_ms=route.advice.decide_ms if route.advice else 0.0,
        advice_each_ms=route.advice.each_ms if route.advice else 0.0,
    )


class QueueIndex:
    """Finds the queue of a request by host and path, without a scan of all queues."""

    def __init__(self, config: Config) -> None:
        self._by_host: dict[str, list[Queue]] = {}
        self._by_name = {queue.name: queue for queue in config.queues}
        for queue in config.queues:
            self._by_host.setdefault(queue.host, []).append(queue)
        for queues in self._by_host.values():
            queues.sort(key=lambda queue: len(queue.prefix), reverse=True)
        self.max_body_bytes = config.max_body_bytes

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest prefix of ``path`` at ``host``."""
        for queue in self._by_host.get(_host_name(host), ()):
            if path.startswith(queue.prefix):
                return queue
        return None

    def may_name(self, queue: str, host: str, path: str) -> bool:
        """Return whether a request for ``path`` at ``host`` may be about a job of a
        queue. One with a longer prefix may have been added since the job was accepted,
        and of a queue that is not configured any more nothing is known."""
        known = self._by_name.get(queue)
        if known is None:
            return True
        return known.host == _host_name(host) and path.startswith(known.prefix)


def _host_name(host: str) -> str:
    return host.split(":", 1)[0].lower()


def decode_call(
    index: QueueIndex, method: str, host: str, path: str, body: bytes
) -> DecodedCall:
    """Return the call that a client's request makes.

    :raises InvalidInput: if the request is malformed; nothing has been done yet.
    """
    path = path.split("?", 1)[0]
    queue = index.find(host, path)
    if queue is None:
        return UnknownQueue()
    job = path[len(queue.prefix) :].strip("/")
    if not job:
        if method != "GET":
            raise InvalidInput(f"{method} needs a job id after the queue's prefix")
        return CountWaiting(queue.name)
    if not JOB_ID.fullmatch(job):
        raise InvalidInput("a job id must be 16 lowercase hex digits")
    if method == "GET":
        return GetState(job)
    if method == "DELETE":
        return CancelJob(job)
    if method != "POST":
        raise InvalidInput(f"method {method} is not allowed: use GET, POST or DELETE")
    if len(body) > index.max_body_bytes:
        raise InvalidInput(f"the body has more than {index.max_body_bytes} bytes")
    return SubmitJob(_submission(job, queue, body))


def _submission(job: str, queue: Queue, body: bytes) -> Submission:
    try:
        raw = _jobs.decode(body)
    except DECODE_ERRORS as error:
        raise InvalidInput(f"not a job: {error}") from error
    if len(raw.spec.encode()) > MAX_SPEC_BYTES:
        raise InvalidInput(f"spec has more than {MAX_SPEC_BYTES} bytes")
    if not 0 < len(raw.steps) <= MAX_STEPS:
        raise InvalidInput(
            f"a job must have 1 to {MAX_STEPS} steps, not {len(raw.steps)}"
        )
    times = (raw.repeat_count, raw.start_at_ms, raw.interval_ms)
    if not _in_range(times):
        raise InvalidInput(
            f"repeat_count, start_at_ms and interval_ms must be 0 to {MAX_NUMBER}"
        )
    steps = tuple(_step(number, step) for number, step in enumerate(raw.steps))
    tasks = sum(step.count for step in steps) * max(1, raw.repeat_count)
    if tasks > MAX_TASKS:
        raise InvalidInput(f"a job must have no more than {MAX_TASKS} tasks")
    return Submission(
        job=job,
        queue=queue.name,
        service=queue.service,
        spec=raw.spec,
        steps=steps,
        repeat_count=raw.repeat_count,
        start_at_ms=raw.start_at_ms,
        interval_ms=raw.interval_ms,
        max_attempts=queue.max_attempts,
    )


def _step(number: int, raw: _Step) -> Step:
    amounts = (raw.cpu, raw.mem_mb, raw.gpu, raw.anti_affinity, raw.may_miss)
    durations = (raw.estimate_ms, raw.target_ms)
    if raw.count < 1 or not _in_range(amounts) or not _in_range(durations):
        raise InvalidInput(
            f"step {number}: count must be 1 or more, numbers 0 to {MAX_NUMBER}"
        )
    if any(not 0 <= earlier < number for earlier in raw.depends_on):
        raise InvalidInput(f"step {number}: depends_on must name earlier steps")
    return Step(
        count=raw.count,
        cpu=raw.cpu,
        memory_mb=raw.mem_mb,
        gpu=raw.gpu,
        estimate_ms=int(raw.estimate_ms),
        depends_on=tuple(raw.depends_on),
        checkpointing=raw.checkpointing,
        gang=raw.gang,
        rack_local=raw.rack_local,
        required_labels=_labels(raw.requirements),
        affinity=raw.affinity,
        per_box=raw.anti_affinity,
        speculative=raw.speculative,
        long_running=raw.long_running,
        image=raw.image,
        target_ms=raw.target_ms,
        best_effort=raw.fills,
        max_unavailable=raw.may_miss,
    )


def _in_range(numbers: t.Iterable[float]) -> bool:
    return all(0 <= number <= MAX_NUMBER for number in numbers)


def _labels(raw: str | list[str]) -> tuple[str, ...]:
    labels = [raw] if isinstance(raw, str) else raw
    return tuple(label for label in labels if label)


def encode_outcome(outcome: JobOutcome) -> Answer:
    """Return the HTTP answer for ``outcome``."""
    if isinstance(outcome, NoSuchJob):
        return Answer(GONE)
    if isinstance(outcome, JobState):
        return Answer(OK, msgspec.json.encode({"state": outcome.state}))
    if isinstance(outcome, WaitingCount):
        return Answer(OK, msgspec.json.encode({"pending": outcome.jobs}))
    assert isinstance(outcome, JobAccepted | Cancelled)
    return Answer(OK, b"{}")
