"""Tasks that wait for a box, in weighted dominant-resource order. Tasks of one
account and one shape wait in one line, so a round looks at shapes and not at
tasks, and a wave of submissions or cancellations costs a constant for each."""

import typing as t

from .capacity import NO_RESOURCES
from .capacity import Vector
from .records import JobSpec

__all__ = ["Shape", "Usage", "WaitingTask", "WaitingTasks"]


class Shape(t.NamedTuple):
    """What makes two tasks interchangeable for placement."""

    need: Vector
    service: bool
    urgent: bool

    @classmethod
    def of(cls, spec: JobSpec) -> "Shape":
        """Return the shape of one task of ``spec``."""
        return cls(Vector.of(spec), spec.kind == "service", spec.urgent)


class WaitingTask(t.NamedTuple):
    """A task that may be started now as attempt ``attempt``."""

    task: str
    attempt: int
    job: str
    account: str
    spec: JobSpec
    checkpoint: str


class Usage(t.NamedTuple):
    """What an account's running tasks take in this shard."""

    total: Vector = NO_RESOURCES
    urgent_cores: float = 0.0

    def with_task(self, spec: JobSpec, sign: int) -> "Usage":
        """Return the usage with one task of ``spec`` more (or less)."""
        urgent = spec.cores if spec.urgent else 0.0
        total = self.total.plus(Vector.of(spec), sign)
        return Usage(total, self.urgent_cores + sign * urgent)


class WaitingTasks:
    """Account -> shape -> tasks in order of arrival."""

    def __init__(self) -> None:
        self._queues: dict[str, dict[Shape, dict[str, WaitingTask]]] = {}
        self._positions: dict[str, tuple[str, Shape]] = {}

    def __len__(self) -> int:
        return len(self._positions)

    def __contains__(self, task: str) -> bool:
        return task in self._positions

    @property
    def accounts(self) -> list[str]:
        """Accounts with a task waiting."""
        return list(self._queues)

    def push(self, task: WaitingTask) -> None:
        """Add a task at the end of its line; again is a no-op."""
        if task.task in self._positions:
            return
        shape = Shape.of(task.spec)
        queues = self._queues.setdefault(task.account, {})
        queues.setdefault(shape, {})[task.task] = task
        self._positions[task.task] = (task.account, shape)

    def discard(self, task: str) -> bool:
        """Take a task out of its line; says whether it stood there."""
        position = self._positions.pop(task, None)
        if position is None:
            return False
        account, shape = position
        queue = self._queues[account][shape]
        del queue[task]
        if not queue:
            del self._queues[account][shape]
        if not self._queues[account]:
            del self._queues[account]
        return True

    def shapes(self, account: str) -> list[Shape]:
        """Return the account's shapes, urgent and services first."""
        queues = self._queues.get(account, {})
        return sorted(queues, key=lambda s: (not s.urgent, not s.service))

    def head(self, account: str, shape: Shape) -> WaitingTask | None:
        """Return the task that has waited longest."""
        queue = self._queues.get(account, {}).get(shape)
        return next(iter(queue.values())) if queue else None

    def find(self, task: str) -> WaitingTask | None:
        """Return a waiting task by name."""
        position = self._positions.get(task)
        return self._queues[position[0]][position[1]][task] if position else None
