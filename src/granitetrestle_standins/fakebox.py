"""A box in virtual time: obeys commands, drops what has no lease, serves
requests, and asserts on every step what must hold at a box whatever happens:
never more than it has, never a task twice, never an attempt started again."""

import collections
import dataclasses
import typing as t

from granitetrestle.errors import InvariantViolated
from granitetrestle.events import BoxInfo
from granitetrestle.events import BoxReport
from granitetrestle.events import Command
from granitetrestle.events import CommandResult
from granitetrestle.events import TaskReport
from granitetrestle.records import JobSpec

__all__ = ["FakeBox", "Ledger"]


@dataclasses.dataclass(slots=True)
class Ledger:
    """What all boxes together did; asserts across boxes.

    :param running: task -> box on which it runs now.
    :param starts: (task, attempt) -> box that started it.
    :param checkpoints: (task, attempt) -> what the attempt left when evicted.
    :param acknowledged: tasks whose finish the owner has put on the log.
    :param resumed: (task, attempt) -> checkpoint it was started with.
    """

    running: dict[str, str] = dataclasses.field(default_factory=dict)
    starts: dict[tuple[str, int], str] = dataclasses.field(default_factory=dict)
    checkpoints: dict[tuple[str, int], str] = dataclasses.field(default_factory=dict)
    resumed: dict[tuple[str, int], str] = dataclasses.field(default_factory=dict)
    acknowledged: set[str] = dataclasses.field(default_factory=set)
    finished: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    executed: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    def started(self, box: str, command: Command) -> None:
        """Note a start.

        :raises InvariantViolated: promise 2 or 3 is broken.
        """
        name = (command.task, command.attempt)
        if command.task in self.running:
            other = self.running[command.task]
            raise InvariantViolated(f"{name} starts on {box}, runs on {other}")
        if name in self.starts:
            raise InvariantViolated(f"{name} starts twice: {self.starts[name]}, {box}")
        if command.task in self.acknowledged:
            raise InvariantViolated(f"{name} starts again after it finished")
        before = self.checkpoints.get((command.task, command.attempt - 1))
        if before is not None and command.checkpoint != before:
            raise InvariantViolated(f"{name} resumes from {command.checkpoint!r}")
        self.running[command.task] = box
        self.starts[name] = box
        self.resumed[name] = command.checkpoint


@dataclasses.dataclass(slots=True)
class _Running:
    command: Command
    spec: JobSpec
    expires: float
    state: str
    done_s: float
    since: float
    checkpoint: str = ""
    requests: int = 0
    live: int = 0
    epoch: int = 0

    def is_done(self, now: float) -> bool:
        return self.done_s + now - self.since >= self.spec.run_s


class FakeBox:
    """One box.

    :param skew: how far its wall clock is off, in seconds.
    """

    def __init__(self, info: BoxInfo, ledger: Ledger, skew: float) -> None:
        self.info = info
        self.skew = skew
        self.down = False
        self.broken = False
        self._ledger = ledger
        self._tasks: dict[tuple[str, int], _Running] = {}

    @property
    def running(self) -> list[_Running]:
        """Tasks that run now."""
        return [task for task in self._tasks.values() if task.state == "running"]

    def advance(self, now: float) -> None:
        """Drop lapsed tasks and finish batch work that is done."""
        wall = now + self.skew
        for task in self.running:
            if wall >= task.expires:
                self._end(task, "lapsed")
            elif task.spec.kind == "batch" and task.is_done(now):
                self._end(task, "finished")
                self._ledger.finished[task.command.task] += 1

    def _end(self, task: _Running, state: str) -> None:
        task.state = state
        del self._ledger.running[task.command.task]

    def fail(self) -> None:
        """Lose everything, as a box does that loses power."""
        for task in self.running:
            self._end(task, "lapsed")
        for name in self._tasks:
            # What went down with its box may be started again as it was.
            del self._ledger.starts[name]
        self._tasks.clear()
        self.down = True

    def exchange(
        self, commands: t.Sequence[Command], now: float
    ) -> tuple[tuple[CommandResult, ...], BoxReport]:
        """Obey commands in order, then report."""
        self.advance(now)
        results = tuple(
            CommandResult(c.task, c.attempt, c.op, self._obey(c, now)) for c in commands
        )
        tasks = tuple(
            TaskReport(
                task.command.task,
                task.command.attempt,
                task.epoch,
                task.state,
                task.checkpoint,
            )
            for task in self._tasks.values()
        )
        return results, BoxReport(tasks)

    def _obey(self, command: Command, now: float) -> str:
        task = self._tasks.get((command.task, command.attempt))
        if command.op == "start":
            return self._start(command, task, now)
        if task is None:
            return "unknown"
        if command.op == "renew":
            task.expires = max(task.expires, command.expires)
        elif command.op == "forget" and task.state != "running":
            del self._tasks[(command.task, command.attempt)]
            later = (command.task, command.attempt + 1)
            if task.state == "finished" and later not in self._ledger.starts:
                self._ledger.acknowledged.add(command.task)
        elif command.op == "stop" and task.state == "running":
            self._end(task, "stopped")
        elif command.op == "checkpoint" and task.state == "running":
            task.checkpoint = f"{task.done_s + now - task.since:.3f}"
            self._ledger.checkpoints[(command.task, command.attempt)] = task.checkpoint
            self._end(task, "evicted")
        return ""

    def _start(self, command: Command, known: _Running | None, now: float) -> str:
        wall = now + self.skew
        if wall > command.not_after or wall >= command.expires:
            return "too late"
        if known is not None:
            return "known"
        assert command.spec is not None
        self._ledger.started(self.info.box, command)
        done_s = float(command.checkpoint or 0.0)
        task = _Running(command, command.spec, command.expires, "running", done_s, now)
        task.epoch = command.epoch
        self._tasks[(command.task, command.attempt)] = task
        self._check_room()
        if self.broken:
            self._end(task, "failed")
        return ""

    def _check_room(self) -> None:
        cores = sum(task.spec.cores for task in self.running)
        memory = sum(task.spec.memory_gb for task in self.running)
        if cores > self.info.cores + 1e-6 or memory > self.info.memory_gb + 1e-6:
            raise InvariantViolated(f"{self.info.box} runs {cores} cores (promise 1)")

    def begin_request(self, endpoint: str, name: str, given_up: bool) -> bool:
        """Begin a request; ``False`` is a refusal before the work began.

        :param given_up: its sender closed the connection before it arrived.
        """
        task = self._find_endpoint(endpoint)
        if task is None:
            return False
        if not given_up and task.live >= self.info.slots:
            raise InvariantViolated(f"{endpoint} is lent twice over (promise 1)")
        if task.requests >= self.info.slots:
            # Work that was given up on may still hold a slot; only the endpoint
            # can know, and refuses.
            return False
        task.requests += 1
        task.live += not given_up
        self._ledger.executed[name] += 1
        return True

    def give_up_request(self, endpoint: str) -> None:
        """Note that a request's sender no longer counts its slot as taken."""
        task = self._find_endpoint(endpoint)
        if task is not None:
            task.live -= 1

    def end_request(self, endpoint: str) -> None:
        """Free the slot of a request."""
        task = self._find_endpoint(endpoint)
        if task is not None:
            task.requests -= 1

    def _find_endpoint(self, endpoint: str) -> _Running | None:
        name, _, attempt = endpoint.partition("#")
        task = self._tasks.get((name, int(attempt)))
        return task if task is not None and task.state == "running" else None
