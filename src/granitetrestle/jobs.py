"""Jobs and the attempts of their tasks, as recorded on the data hall's stream. The
state is a pure function of a prefix of the stream, so that snapshots can hold it and
all processes of the data hall agree on which attempt is current."""

import dataclasses
import re
import typing as t

from .errors import InvalidInput
from .records import AttemptEnded
from .records import Ending
from .records import JobCancelled
from .records import JobSpec
from .records import JobSubmitted

__all__ = ["Job", "Jobs", "Task", "check_spec", "task_id"]

MAX_TASKS = 1000
MAX_TASK_FAILURES = 5
MAX_ENDED_JOBS = 1000
SERVICE_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
RETRIED_ENDINGS: t.Final = frozenset({"evicted", "lost", "failed"})


@dataclasses.dataclass(slots=True)
class Task:
    """One task of a job.

    :param attempt: number of the current attempt, from 1.
    :param opened: offset of the fact that made this attempt current.
    :param checkpoint: the last checkpoint that an attempt reported.
    :param last_ending: ending of the last attempt that ended.
    """

    task: str
    attempt: int
    opened: int
    checkpoint: str = ""
    ended: bool = False
    last_ending: str = ""
    failures: int = 0
    evictions: int = 0


@dataclasses.dataclass(slots=True)
class Job:
    """A submitted job and its tasks.

    :param offset: offset of its submission.
    """

    job: str
    account: str
    spec: JobSpec
    shard: int
    offset: int
    request: str
    cancelled: bool = False
    tasks: dict[str, Task] = dataclasses.field(default_factory=dict)

    @property
    def ended(self) -> bool:
        """Whether no task will run again."""
        return all(task.ended for task in self.tasks.values())

    @property
    def state(self) -> str:
        """``open``, ``cancelling``, ``cancelled``, ``finished`` or ``failed``."""
        if not self.ended:
            return "cancelling" if self.cancelled else "open"
        if self.cancelled:
            return "cancelled"
        endings = {task.last_ending for task in self.tasks.values()}
        return "finished" if endings == {"finished"} else "failed"


def task_id(job: str, index: int) -> str:
    """Return the name of task ``index`` of ``job``."""
    return f"{job}/{index}"


def check_spec(spec: JobSpec) -> None:
    """Validate a job specification before it is appended to the log.

    :raises InvalidInput: for the first value that is not allowed.
    """
    if spec.kind == "service" and not SERVICE_PATTERN.fullmatch(spec.service):
        raise InvalidInput(
            f"service {spec.service!r} must be a name of a-z, 0-9 and -, "
            "with up to 63 characters"
        )
    if spec.kind == "batch" and spec.service:
        raise InvalidInput(f"a batch job must have no service, not {spec.service!r}")
    if not 1 <= spec.tasks <= MAX_TASKS:
        raise InvalidInput(f"tasks must be from 1 to {MAX_TASKS}, not {spec.tasks}")
    for name, value, maximum in (
        ("cores", spec.cores, 1024.0),
        ("memory_gb", spec.memory_gb, 65536.0),
        ("run_s", spec.run_s, 1e7),
        ("accelerators", float(spec.accelerators), 64.0),
    ):
        if not 0 <= value <= maximum:
            raise InvalidInput(f"{name} must be from 0 to {maximum:g}, not {value}")
    if spec.cores <= 0 or spec.memory_gb <= 0:
        raise InvalidInput("cores and memory_gb must be greater than 0")


class Jobs:
    """The open jobs of a data hall, and the ``MAX_ENDED_JOBS`` that ended last."""

    def __init__(self) -> None:
        self._jobs: dict[str, Job] = {}
        self._open_by_shard: dict[int, dict[str, Job]] = {}
        self._ended_order: dict[str, None] = {}

    @property
    def jobs(self) -> t.Mapping[str, Job]:
        """Job id -> job."""
        return self._jobs

    def open_jobs(self, shard: int) -> t.Mapping[str, Job]:
        """Return the jobs of ``shard`` with a task that has not ended."""
        return self._open_by_shard.get(shard, {})

    def find_task(self, task: str) -> tuple[Job, Task] | None:
        """Return the task with this name and its job, if known."""
        job = self._jobs.get(task.rpartition("/")[0])
        found = job.tasks.get(task) if job is not None else None
        return (job, found) if job is not None and found is not None else None

    def apply_submitted(self, offset: int, fact: JobSubmitted) -> Job | None:
        """Apply a submission; returns the job, or ``None`` if it exists already."""
        if fact.job in self._jobs:
            return None
        job = Job(fact.job, fact.account, fact.spec, fact.shard, offset, fact.request)
        for index in range(fact.spec.tasks):
            name = task_id(fact.job, index)
            job.tasks[name] = Task(name, attempt=1, opened=offset)
        self._jobs[fact.job] = job
        self._open_by_shard.setdefault(fact.shard, {})[fact.job] = job
        return job

    def apply_cancelled(self, fact: JobCancelled) -> Job | None:
        """Apply a cancellation; returns the job if it was still open."""
        job = self._jobs.get(fact.job)
        if job is None or job.ended or job.cancelled:
            return None
        job.cancelled = True
        return job

    def apply_ended(self, offset: int, fact: AttemptEnded, epoch: int) -> Task | None:
        """Apply the end of an attempt.

        :param epoch: the epoch of the fact's shard at this point of the log.
        :returns: the task, or ``None`` if the fact is ignored as outdated.
        """
        found = self.find_task(fact.task)
        if found is None:
            return None
        job, task = found
        stale = fact.epoch != epoch or fact.shard != job.shard
        if stale or task.ended or fact.attempt != task.attempt:
            return None
        self._end_attempt(offset, job, task, fact)
        if job.ended:
            self._close_job(job)
        return task

    def _end_attempt(
        self, offset: int, job: Job, task: Task, fact: AttemptEnded
    ) -> None:
        task.last_ending = fact.ending
        task.checkpoint = fact.checkpoint or task.checkpoint
        task.failures += fact.ending == "failed"
        task.evictions += fact.ending == "evicted"
        if self._may_retry(job, task, fact.ending):
            task.attempt += 1
            task.opened = offset
            return
        task.ended = True

    @staticmethod
    def _may_retry(job: Job, task: Task, ending: Ending) -> bool:
        if job.cancelled or ending not in RETRIED_ENDINGS:
            return False
        return task.failures < MAX_TASK_FAILURES

    def _close_job(self, job: Job) -> None:
        self._open_by_shard.get(job.shard, {}).pop(job.job, None)
        self._ended_order[job.job] = None
        while len(self._ended_order) > MAX_ENDED_JOBS:
            oldest = next(iter(self._ended_order))
            del self._ended_order[oldest]
            del self._jobs[oldest]

    def snapshot(self) -> list[Job]:
        """Return the jobs for :meth:`restore`: first those that have ended, in the order
        of their ends, then the open ones."""
        ended = [self._jobs[name] for name in self._ended_order]
        return ended + [job for job in self._jobs.values() if not job.ended]

    def restore(self, jobs: t.Iterable[Job]) -> None:
        """Replace the state by the jobs of a snapshot."""
        self.__init__()  # type: ignore[misc]
        for job in jobs:
            self._jobs[job.job] = job
            if job.ended:
                self._ended_order[job.job] = None
            else:
                self._open_by_shard.setdefault(job.shard, {})[job.job] = job
