"""Tasks that wait for a box, in weighted dominant-resource order. Tasks of one
account and one shape wait in one line, so a round looks at shapes and not at
tasks, and a wave of submissions or cancellations costs a constant for each."""

import typing as t

from .capacity import NOTHING
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

    total: Vector = NOTHING
    urgent_cores: float = 0.0

    def changed(self, spec: JobSpec, sign: int) -> "Usage":
        """Return the usage with one task of ``spec`` more (or less)."""
        urgent = spec.cores if spec.urgent else 0.0
        total = self.total.plus(Vector.of(spec), sign)
        return Usage(total, self.urgent_cores + sign * urgent)


class WaitingTasks:
    """Account -> shape -> tasks in order of arrival."""

    def __init__(self) -> None:
        self._lines: dict[str, dict[Shape, dict[str, WaitingTask]]] = {}
        self._where: dict[str, tuple[str, Shape]] = {}

    def __len__(self) -> int:
        return len(self._where)

    def __contains__(self, task: str) -> bool:
        return task in self._where

    @property
    def accounts(self) -> list[str]:
        """Accounts with a task waiting."""
        return list(self._lines)

    def push(self, task: WaitingTask) -> None:
        """Add a task at the end of its line; again is a no-op."""
        if task.task in self._where:
            return
        shape = Shape.of(task.spec)
        lines = self._lines.setdefault(task.account, {})
        lines.setdefault(shape, {})[task.task] = task
        self._where[task.task] = (task.account, shape)

    def discard(self, task: str) -> bool:
        """Take a task out of its line; says whether it stood there."""
        place = self._where.pop(task, None)
        if place is None:
            return False
        account, shape = place
        line = self._lines[account][shape]
        del line[task]
        if not line:
            del self._lines[account][shape]
        if not self._lines[account]:
            del self._lines[account]
        return True

    def shapes(self, account: str) -> list[Shape]:
        """Return the account's shapes, urgent and services first."""
        lines = self._lines.get(account, {})
        return sorted(lines, key=lambda s: (not s.urgent, not s.service))

    def head(self, account: str, shape: Shape) -> WaitingTask | None:
        """Return the task that has waited longest."""
        line = self._lines.get(account, {}).get(shape)
        return next(iter(line.values())) if line else None

    def find(self, task: str) -> WaitingTask | None:
        """Return a waiting task by name."""
        place = self._where.get(task)
        return self._lines[place[0]][place[1]][task] if place else None
