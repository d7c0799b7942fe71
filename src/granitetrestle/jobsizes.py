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
SAME_FOR_ALL: t.Final = 0.3
BY_WORK: t.Final = 0.7
MOST_VALUE: t.Final = 4.0
# Part of a queue's jobs below the largest tenth and the fifth beneath it: accounts are
# promised that each of these is served at least half as often as the queue as a whole.
BOUNDS: t.Final = (0.7, 0.9)
# A class that was given less than this part of what the others were, for each job that
# came, goes first: the half that is promised. With 0.6, jobs completed in time fell by
# another eighth after an outage, and the largest were served no more often (virtual time).
LEAST_SHARE: t.Final = 0.5
# So many of a queue's newest jobs tell how large they are: twenty of the largest tenth.
JOBS_KEPT: t.Final = 200
# Below this many jobs of a queue its largest tenth says nothing.
JOBS_NEEDED: t.Final = 20
# Jobs that came, and what they were given, are forgotten at this rate. The promise is kept
# over minutes, so that a short burst takes no room from what can still be in time.
FORGET_S: t.Final = 150.0


class SizeClass(t.NamedTuple):
    """Jobs of one queue between two bounds of size.

    :param rank: 0 for the smallest.
    """

    queue: str
    rank: int


class _Queue:
    """Sizes of the newest jobs of a queue, in millionths of a core-second."""

    def __init__(self) -> None:
        self._newest: collections.deque[int] = collections.deque()
        self._sorted: list[int] = []
        self._sum = 0

    def add(self, work: int) -> None:
        self._newest.append(work)
        bisect.insort(self._sorted, work)
        self._sum += work
        if len(self._newest) > JOBS_KEPT:
            oldest = self._newest.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]
            self._sum -= oldest

    def rank(self, work: int) -> int:
        known = len(self._sorted)
        if known < JOBS_NEEDED:
            return 0
        return sum(work > self._sorted[int(known * bound)] for bound in BOUNDS)

    def value(self, work: int) -> float:
        if not self._sum:
            return 1.0
        beside_mean = work * len(self._newest) / self._sum
        return min(MOST_VALUE, SAME_FOR_ALL + BY_WORK * beside_mean)


class JobSizes:
    """Sizes, values and shares, by queue."""

    def __init__(self) -> None:
        self._queues: dict[str, _Queue] = {}
        # Jobs that came, and what part of jobs was given room, both fading.
        self._came: dict[SizeClass, float] = {}
        self._given: dict[SizeClass, float] = {}
        self._faded_at: float | None = None
        self._behind: set[SizeClass] = set()

    def submitted(self, queue: str, work: int) -> None:
        """Take note of a job that came.

        :param work: all of it, as estimated.
        """
        self._queues.setdefault(queue, _Queue()).add(work)
        size = self.class_of(queue, work)
        self._came[size] = self._came.get(size, 0.0) + 1.0

    def class_of(self, queue: str, work: int) -> SizeClass:
        """Return the class of a job of so much work."""
        known = self._queues.get(queue)
        return SizeClass(queue, known.rank(work) if known is not None else 0)

    def value(self, queue: str, work: int) -> float:
        """Return what a job of so much work is worth, 1 being usual for its queue."""
        known = self._queues.get(queue)
        return known.value(work) if known is not None else 1.0

    def started(self, size: SizeClass, part: float) -> None:
        """Count a part of a job's work as given room."""
        self._given[size] = self._given.get(size, 0.0) + part

    def compare(self, now: float) -> None:
        """Work out which classes are behind."""
        passed = 0.0 if self._faded_at is None else now - self._faded_at
        keep = math.exp(-passed / FORGET_S)
        self._faded_at = now
        for counts in (self._came, self._given):
            for size in counts:
                counts[size] *= keep
        came: dict[str, float] = {}
        given: dict[str, float] = {}
        for size, jobs in self._came.items():
            came[size.queue] = came.get(size.queue, 0.0) + jobs
            jobs_given = self._given.get(size, 0.0)
            given[size.queue] = given.get(size.queue, 0.0) + jobs_given
        self._behind = {
            size
            for size, jobs in self._came.items()
            if self._given.get(size, 0.0) * came[size.queue]
            < LEAST_SHARE * given[size.queue] * jobs
        }

    def behind(self, size: SizeClass) -> bool:
        """Say whether a class was given too little beside the others of its queue."""
        return size in self._behind
