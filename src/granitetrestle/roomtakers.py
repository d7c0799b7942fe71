"""Records which tasks take the room that long-running tasks wait for.

A step that has waited for long may have had room at the start of a placement pass, and
none once the pass comes to it. Afterwards nothing shows what was placed there, so it is
counted while it happens, for the steps of the last report on long waits."""

import collections
import typing as t

from .boxes import BoxView
from .boxindex import EligibleBoxes
from .boxindex import Pool
from .boxsearch import is_eligible
from .decisions import LogEvent
from .headroom import Headroom
from .shardstate import ShardState
from .shardstate import WaitingStep
from .waitingorder import kind_of_work
from .waitingorder import lateness_name
from .workflows import Task

__all__ = ["RoomTakers"]

# What makes a task start: the order of the pass, or that its step was tried ahead of
# others, as its task is due or the step has waited for long.
StartRule: t.TypeAlias = t.Literal["order", "head_start", "due"]


class _Start(t.NamedTuple):
    task: Task
    rule: StartRule


class _Watch:
    """What was placed where one step had room, since the last report.

    :ivar eligible: the boxes with room for its tasks.
    :ivar roomy: incarnation -> those boxes, as of the start of the pass.
    :ivar taken: kind of work -> number of boxes that it has filled.
    :ivar reserved: how many of them were reserved for short tasks.
    :ivar latest: the start that filled a box last.
    """

    def __init__(self, entry: WaitingStep, pool: Pool) -> None:
        task = next(iter(entry.tasks.values()))
        self.entry = entry

        def fits(box: BoxView) -> bool:
            return is_eligible(entry.spec, task, box)

        self.eligible = EligibleBoxes(pool, fits)
        self.roomy: dict[str, BoxView] = {}
        self.taken: collections.Counter[str] = collections.Counter()
        self.reserved = 0
        self.latest: _Start | None = None


class RoomTakers:
    """Counts, for a few waiting steps, the starts that fill boxes where they had room."""

    def __init__(self, state: ShardState, headroom: Headroom) -> None:
        self._state = state
        self._headroom = headroom
        self._watches: list[_Watch] = []
        # Incarnation of a box -> its latest start in the current pass.
        self._starts: dict[str, _Start] = {}

    def watch(self, entries: t.Iterable[WaitingStep]) -> None:
        """Count for these steps only from now on."""
        state = self._state
        self._watches = [
            _Watch(entry, state.index.pool(state.service_of(entry.workflow)))
            for entry in entries
            if entry.tasks
        ]

    def start_pass(self) -> None:
        """Prepare for a placement pass."""
        self._starts.clear()
        for watch in self._watches:
            boxes = watch.eligible.refresh()
            watch.roomy = {box.incarnation: box for box in boxes}

    def record_start(self, task: Task, box: BoxView, rule: StartRule) -> None:
        """Record a task that was assigned to a box."""
        if self._watches:
            self._starts[box.incarnation] = _Start(task, rule)

    def end_pass(self) -> None:
        """Count the boxes that the pass has filled."""
        for watch in self._watches:
            tasks = watch.entry.tasks
            if not tasks or not self._starts:
                continue
            task = next(iter(tasks.values()))
            for incarnation, start in self._starts.items():
                box = watch.roomy.get(incarnation)
                if box is None or is_eligible(watch.entry.spec, task, box):
                    continue
                if start.task.workflow is not watch.entry.workflow:
                    watch.taken[kind_of_work(start.task.spec)] += 1
                    watch.reserved += self._headroom.is_reserved(box)
                    watch.latest = start

    def report(self, now: float) -> t.Iterator[LogEvent]:
        """Report what has taken room since the last call to :meth:`watch`."""
        for watch in self._watches:
            if watch.latest is None or not watch.entry.tasks:
                continue
            task, rule = watch.latest
            inputs = {
                "taken": dict(watch.taken),
                "kept": watch.reserved,
                "lateness": lateness_name(watch.entry, now),
                "latest": {
                    "task": task.name,
                    "run": task.run,
                    "box": task.box,
                    "cpu": task.spec.cpu,
                    "kind": kind_of_work(task.spec),
                    "rule": rule,
                    "waited_s": round(task.times.last_wait_s, 2),
                },
            }
            name = watch.entry.name
            yield LogEvent("lasting_room_taken", name, inputs)
