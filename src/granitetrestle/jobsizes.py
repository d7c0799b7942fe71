"""What is known of how large the jobs of each queue are: what a job is worth beside
others of its queue, and whether the largest get their share of the room.

The load it answers: for tens of seconds more work that fills comes than there is room
for. In order of arrival all of it is late; if the job with least left always goes first,
the largest never start."""

import bisect
import collections
import math
import typing as t

__all__ = ["JobSizes", "SizeClass"]

# What an account gets of a job: a part that is the same for each, the rest in proportion
# to its work over the mean of its queue's jobs, with a bound. By the rules that accounts
# are served under.
FIXED_VALUE: t.Final = 0.3
VALUE_PER_MEAN_WORK: t.Final = 0.7
MAX_VALUE: t.Final = 4.0
# Part of a queue's jobs below the largest tenth and the fifth beneath it: accounts are
# promised that each of these is served at least half as often as the queue as a whole.
SIZE_CLASS_QUANTILES: t.Final = (0.7, 0.9)
# A class that was given less than this part of what the others were, for each job that
# came, goes first: the half that is promised. With 0.6, jobs completed in time fell by
# another eighth after an outage, and the largest were served no more often (virtual time).
MIN_SERVICE_RATIO: t.Final = 0.5
# So many of a queue's newest jobs tell how large they are: twenty of the largest tenth.
MAX_SAMPLE_JOBS: t.Final = 200
# Below this many jobs of a queue its largest tenth says nothing.
MIN_SAMPLE_JOBS: t.Final = 20
# Jobs that came, and what they were given, are forgotten at this rate. The promise is kept
# over minutes, so that a short burst takes no room from what can still be in time.
DECAY_TIME_S: t.Final = 150.0


class SizeClass(t.NamedTuple):
    """Jobs of one queue between two bounds of size.

    :param rank: 0 for the smallest.
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
    """Sizes, values and shares, by queue."""

    def __init__(self) -> None:
        self._queues: dict[str, _QueueSizes] = {}
        # Jobs that came, and what part of jobs was given room, both fading.
        self._submitted: dict[SizeClass, float] = {}
        self._served: dict[SizeClass, float] = {}
        self._decayed_at: float | None = None
        self._underserved: set[SizeClass] = set()

    def record_submission(self, queue: str, work: int) -> None:
        """Take note of a job that came.

        :param work: all of it, as estimated.
        """
        self._queues.setdefault(queue, _QueueSizes()).add(work)
        size = self.size_class(queue, work)
        self._submitted[size] = self._submitted.get(size, 0.0) + 1.0

    def size_class(self, queue: str, work: int) -> SizeClass:
        """Return the class of a job of so much work."""
        known = self._queues.get(queue)
        return SizeClass(queue, known.rank(work) if known is not None else 0)

    def value(self, queue: str, work: int) -> float:
        """Return what a job of so much work is worth, 1 being usual for its queue."""
        known = self._queues.get(queue)
        return known.value(work) if known is not None else 1.0

    def record_start(self, size: SizeClass, share: float) -> None:
        """Count a part of a job's work as given room."""
        self._served[size] = self._served.get(size, 0.0) + share

    def update_shares(self, now: float) -> None:
        """Work out which classes are behind."""
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
        """Say whether a class was given too little beside the others of its queue."""
        return size in self._underserved
