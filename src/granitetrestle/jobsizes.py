"""Statistics of job sizes by queue: the value of a job relative to others of its queue,
and whether large jobs get their share of the room.

They serve to order best-effort jobs while more of them are submitted than there is room
for, which may last tens of seconds. In order of arrival all of them are late; if the
job with the least work left always goes first, the largest jobs never start."""

import bisect
import collections
import math
import typing as t

__all__ = ["JobSizes", "SizeClass"]

# Value of a job to its account, by the rules under which accounts are served: a fixed
# part, and a part in proportion to its work over the mean of its queue's jobs, with a
# maximum for the sum.
FIXED_VALUE: t.Final = 0.3
VALUE_PER_MEAN_WORK: t.Final = 0.7
MAX_VALUE: t.Final = 4.0
# The upper two size classes are the largest tenth of a queue's jobs and the fifth below
# it: accounts are promised that each of these is served at least half as often as the
# queue as a whole.
SIZE_CLASS_QUANTILES: t.Final = (0.7, 0.9)
# A size class goes first if the share of its submitted jobs that was started is less
# than this ratio of the queue's share: the half that is promised. With 0.6, an eighth
# fewer jobs were completed in time after an outage (in virtual time), and the largest
# were served no more often.
MIN_SERVICE_RATIO: t.Final = 0.5
# Sizes are taken from this many of a queue's newest jobs: twenty of the largest tenth.
MAX_SAMPLE_JOBS: t.Final = 200
# With fewer jobs the largest tenth of a queue is not significant.
MIN_SAMPLE_JOBS: t.Final = 20
# Time constant of the exponential decay of submitted and started work. The promise is
# kept over minutes, so that a short burst takes no room from work that can still be in
# time.
DECAY_TIME_S: t.Final = 150.0


class SizeClass(t.NamedTuple):
    """Jobs of one queue between two quantiles of size.

    :param rank: 0 for the smallest jobs.
    """

    queue: str
    rank: int


class _QueueSizes:
    """Sizes of the newest jobs of a queue, in millionths of a core-second."""

    def __init__(self) -> None:
        self._newest: collections.deque[int] = collections.deque()
        self._sorted: list[int] = []
        self._sum = 0

    def add(self, work: int) -> None:
        self._newest.append(work)
        bisect.insort(self._sorted, work)
        self._sum += work
        if len(self._newest) > MAX_SAMPLE_JOBS:
            oldest = self._newest.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]
            self._sum -= oldest

    def rank(self, work: int) -> int:
        known = len(self._sorted)
        if known < MIN_SAMPLE_JOBS:
            return 0
        return sum(
            work > self._sorted[int(known * quantile)]
            for quantile in SIZE_CLASS_QUANTILES
        )

    def value(self, work: int) -> float:
        if not self._sum:
            return 1.0
        relative_work = work * len(self._newest) / self._sum
        return min(MAX_VALUE, FIXED_VALUE + VALUE_PER_MEAN_WORK * relative_work)


class JobSizes:
    """Sizes of jobs, their values, and the shares that size classes get, by queue."""

    def __init__(self) -> None:
        self._queues: dict[str, _QueueSizes] = {}
        # Submitted jobs, and the started part of their work in jobs, both decaying.
        self._submitted: dict[SizeClass, float] = {}
        self._served: dict[SizeClass, float] = {}
        self._decayed_at: float | None = None
        self._underserved: set[SizeClass] = set()

    def record_submission(self, queue: str, work: int) -> None:
        """Record a job that was submitted.

        :param work: its whole work as estimated, in millionths of a core-second.
        """
        self._queues.setdefault(queue, _QueueSizes()).add(work)
        size = self.size_class(queue, work)
        self._submitted[size] = self._submitted.get(size, 0.0) + 1.0

    def size_class(self, queue: str, work: int) -> SizeClass:
        """Return the size class of a job with this work."""
        known = self._queues.get(queue)
        return SizeClass(queue, known.rank(work) if known is not None else 0)

    def value(self, queue: str, work: int) -> float:
        """Return the value of a job with this work; a job of its queue's mean has 1."""
        known = self._queues.get(queue)
        return known.value(work) if known is not None else 1.0

    def record_start(self, size: SizeClass, share: float) -> None:
        """Count a share of a job's work as started."""
        self._served[size] = self._served.get(size, 0.0) + share

    def update_shares(self, now: float) -> None:
        """Decay the counts and determine which size classes are underserved."""
        elapsed_s = 0.0 if self._decayed_at is None else now - self._decayed_at
        decay = math.exp(-elapsed_s / DECAY_TIME_S)
        self._decayed_at = now
        for counts in (self._submitted, self._served):
            for size in counts:
                counts[size] *= decay
        submitted_by_queue: dict[str, float] = {}
        served_by_queue: dict[str, float] = {}
        for size, jobs in self._submitted.items():
            submitted_by_queue[size.queue] = (
                submitted_by_queue.get(size.queue, 0.0) + jobs
            )
            served = self._served.get(size, 0.0)
            served_by_queue[size.queue] = served_by_queue.get(size.queue, 0.0) + served
        self._underserved = {
            size
            for size, jobs in self._submitted.items()
            if self._served.get(size, 0.0) * submitted_by_queue[size.queue]
            < MIN_SERVICE_RATIO * served_by_queue[size.queue] * jobs
        }

    def is_underserved(self, size: SizeClass) -> bool:
        """Return whether a size class gets too little compared with its whole queue."""
        return size in self._underserved
