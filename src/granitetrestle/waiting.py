"""Tasks that wait for a box, with a queue for each pair of account and shape. A
placement round thus checks shapes instead of single tasks, and each submission or
cancellation takes constant time, also in a burst."""

import typing as t

from .capacity import NO_RESOURCES
from .capacity import Vector
from .records import JobSpec

__all__ = ["Shape", "Usage", "WaitingTask", "WaitingTasks"]


class Shape(t.NamedTuple):
    """Properties that placement depends on; tasks that share them are equivalent."""

    need: Vector
    service: bool
    urgent: bool

    @classmethod
    def of(cls, spec: JobSpec) -> "Shape":
        """Return the shape of one task of ``spec``."""
        return cls(Vector.of(spec), spec.kind == "service", spec.urgent)


class WaitingTask(t.NamedTuple):
    """A task that waits to be started as attempt ``attempt``."""

    task: str
    attempt: int
    job: str
    account: str
    spec: JobSpec
    checkpoint: str


class Usage(t.NamedTuple):
    """Resources that the assigned tasks of an account use in this shard."""

    total: Vector = NO_RESOURCES
    urgent_cores: float = 0.0

    def with_task(self, spec: JobSpec, sign: int) -> "Usage":
        """Return the usage with a task of ``spec`` added, or removed if ``sign`` is -1."""
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
        """Accounts with waiting tasks."""
        return list(self._queues)

    def push(self, task: WaitingTask) -> None:
        """Append a task to its queue; no effect if it waits already."""
        if task.task in self._positions:
            return
        shape = Shape.of(task.spec)
        queues = self._queues.setdefault(task.account, {})
        queues.setdefault(shape, {})[task.task] = task
        self._positions[task.task] = (task.account, shape)

    def discard(self, task: str) -> bool:
        """Remove a task from its queue; returns whether it was waiting."""
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
        """Return the shapes of an account: urgent ones first, then services."""
        queues = self._queues.get(account, {})
        return sorted(queues, key=lambda s: (not s.urgent, not s.service))

    def head(self, account: str, shape: Shape) -> WaitingTask | None:
        """Return the first task of a queue."""
        queue = self._queues.get(account, {}).get(shape)
        return next(iter(queue.values())) if queue else None

    def find(self, task: str) -> WaitingTask | None:
        """Return a waiting task by name, or ``None``."""
        position = self._positions.get(task)
        return self._queues[position[0]][position[1]][task] if position else None
