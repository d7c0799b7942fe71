"""Resources of boxes, the assignments that occupy them, and an index that finds a
box with enough free resources without scanning all of them. Everything that may still
occupy a box counts as assigned: an unanswered start as much as a running task."""

import dataclasses
import math
import typing as t

from .errors import InvariantViolated
from .events import BoxInfo
from .events import Command
from .records import JobSpec

__all__ = ["Assignment", "BoxState", "CapacityIndex", "Vector"]

ROUNDING_TOLERANCE: t.Final = 1e-9


class Vector(t.NamedTuple):
    """Resource vector: cores, GB of memory, accelerators."""

    cores: float
    memory_gb: float
    accelerators: int

    def fits(self, available: "Vector") -> bool:
        """Return whether ``available`` covers this vector."""
        return (
            self.cores <= available.cores + ROUNDING_TOLERANCE
            and self.memory_gb <= available.memory_gb + ROUNDING_TOLERANCE
            and self.accelerators <= available.accelerators
        )

    def plus(self, other: "Vector", sign: int = 1) -> "Vector":
        """Return the sum, or the difference if ``sign`` is -1."""
        return Vector(
            self.cores + sign * other.cores,
            self.memory_gb + sign * other.memory_gb,
            self.accelerators + sign * other.accelerators,
        )

    def dominant_share(self, total: "Vector") -> float:
        """Return the largest share of ``total`` over all resources, 0 to 1."""
        return max(
            self.cores / total.cores if total.cores else 0.0,
            self.memory_gb / total.memory_gb if total.memory_gb else 0.0,
            self.accelerators / total.accelerators if total.accelerators else 0.0,
        )

    @classmethod
    def of(cls, spec: JobSpec) -> "Vector":
        """Return the demand of one task of ``spec``."""
        return cls(spec.cores, spec.memory_gb, spec.accelerators)


NO_RESOURCES: t.Final = Vector(0.0, 0.0, 0)

AssignmentState: t.TypeAlias = t.Literal[
    "starting", "running", "draining", "stopping", "evicting", "ending"
]


@dataclasses.dataclass(slots=True)
class Assignment:
    """An attempt of a task that occupies a box or may occupy it.

    :param not_after: wall time (s) after which a box rejects the start.
    :param expires: wall time (s) at which the newest granted lease expires.
    :param stop_reason: ending to record once the box has confirmed the stop.
    """

    task: str
    attempt: int
    epoch: int
    account: str
    job: str
    spec: JobSpec
    box: str
    state: AssignmentState
    not_after: float
    expires: float
    stop_reason: t.Literal["evicted", "cancelled"] = "cancelled"
    reason: str = ""


@dataclasses.dataclass(slots=True)
class BoxState:
    """A box of an owned shard, with all assignments that may occupy it.

    :param last_report_wall: when the last answered exchange was sent (wall s).
    :param last_failure_wall: when the last failed exchange was sent (wall s).
    :param reconciled: has reported since the time after which no start of an older
        epoch can arrive.
    """

    info: BoxInfo
    shard: int
    free: Vector
    tasks: dict[str, Assignment] = dataclasses.field(default_factory=dict)
    starts: dict[str, Assignment] = dataclasses.field(default_factory=dict)
    cleanup: dict[tuple[str, int], Command] = dataclasses.field(default_factory=dict)
    exchange_in_flight: bool = False
    next_exchange_at: float = 0.0
    last_report_wall: float = 0.0
    last_failure_wall: float = 0.0
    drained: bool = False
    evacuated: bool = False
    reconciled: bool = False
    quarantined_until: float = 0.0
    failures_in_row: int = 0
    failed_accounts: set[str] = dataclasses.field(default_factory=set)

    @property
    def silent(self) -> bool:
        """Whether the newest completed exchange failed."""
        return self.last_failure_wall > self.last_report_wall

    def open_for_work(self, now: float) -> bool:
        """Return whether new tasks may be placed here."""
        closed = self.drained or self.evacuated or self.info.leaving
        unknown = not self.reconciled or self.silent
        return not closed and not unknown and now >= self.quarantined_until

    @property
    def total(self) -> Vector:
        """Total resources of the box."""
        return self.total_of(self.info)

    @staticmethod
    def total_of(info: BoxInfo) -> Vector:
        """Return the total resources of a listed box."""
        return Vector(info.cores, info.memory_gb, info.accelerators)


class CapacityIndex:
    """Boxes by whole free cores, to find a fitting box in nearly constant time."""

    def __init__(self) -> None:
        self._boxes: dict[str, BoxState] = {}
        self._levels: dict[int, dict[str, BoxState]] = {}
        self._max_level = 0
        self._total = NO_RESOURCES
        self._racks: dict[str, dict[str, int]] = {}

    @property
    def boxes(self) -> t.Mapping[str, BoxState]:
        """Box name -> state."""
        return self._boxes

    @property
    def total(self) -> Vector:
        """Total resources of all indexed boxes."""
        return self._total

    def tasks_per_rack(self, job: str) -> t.Mapping[str, int]:
        """Return rack -> number of tasks of ``job`` on it."""
        return self._racks.get(job, {})

    def add(self, box: BoxState) -> None:
        """Index a box that is not indexed yet."""
        self._boxes[box.info.box] = box
        self._total = self._total.plus(box.total)
        self._add_to_level(box)

    def remove(self, name: str) -> None:
        """Remove a box and release all its assignments."""
        box = self._boxes[name]
        for task in list(box.tasks):
            self.release(box, task)
        del self._boxes[name]
        self._total = self._total.plus(box.total, -1)
        self._remove_from_level(box)

    def reserve(self, box: BoxState, assignment: Assignment) -> None:
        """Assign resources to an attempt that this process decided to start.

        :raises InvariantViolated: if the box has too little free (promise 1).
        """
        if not Vector.of(assignment.spec).fits(box.free):
            raise InvariantViolated(f"{assignment.task} does not fit on {box.info.box}")
        self.adopt(box, assignment)

    def adopt(self, box: BoxState, assignment: Assignment) -> None:
        """Count an attempt that already runs, even beyond the capacity of the box.

        :raises InvariantViolated: if the task is assigned to the box already.
        """
        if assignment.task in box.tasks:
            raise InvariantViolated(
                f"{assignment.task} is assigned twice to {box.info.box}"
            )
        self._remove_from_level(box)
        box.tasks[assignment.task] = assignment
        box.free = box.free.plus(Vector.of(assignment.spec), -1)
        self._add_to_level(box)
        self._count_rack(box, assignment.job, 1)

    def release(self, box: BoxState, task: str) -> Assignment:
        """Release the resources of a task that is proven to have stopped."""
        self._remove_from_level(box)
        assignment = box.tasks.pop(task)
        box.free = box.free.plus(Vector.of(assignment.spec))
        self._add_to_level(box)
        self._count_rack(box, assignment.job, -1)
        return assignment

    def _count_rack(self, box: BoxState, job: str, change: int) -> None:
        racks = self._racks.setdefault(job, {})
        count = racks.get(box.info.rack, 0) + change
        if count:
            racks[box.info.rack] = count
            return
        racks.pop(box.info.rack, None)
        if not racks:
            del self._racks[job]

    def candidates(
        self, need: Vector, now: float, limit: int, spread: bool
    ) -> list[BoxState]:
        """Return up to ``limit`` boxes that accept tasks and have ``need`` free.

        :param spread: most free cores first, instead of fewest first.
        """
        found: list[BoxState] = []
        lowest = math.floor(need.cores + ROUNDING_TOLERANCE)
        levels: t.Iterable[int] = range(lowest, self._max_level + 1)
        for level in reversed(range(lowest, self._max_level + 1)) if spread else levels:
            for box in self._levels.get(level, {}).values():
                if need.fits(box.free) and box.open_for_work(now):
                    found.append(box)
                    if len(found) >= limit:
                        return found
        return found

    def _level_of(self, box: BoxState) -> int:
        return max(-1, math.floor(box.free.cores + ROUNDING_TOLERANCE))

    def _add_to_level(self, box: BoxState) -> None:
        level = self._level_of(box)
        self._max_level = max(self._max_level, level)
        self._levels.setdefault(level, {})[box.info.box] = box

    def _remove_from_level(self, box: BoxState) -> None:
        self._levels[self._level_of(box)].pop(box.info.box, None)
