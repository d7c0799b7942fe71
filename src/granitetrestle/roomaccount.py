"""Account of processor time: what uses the boxes of each service, and why the rest of
them is unused.

Best-effort tasks run on what serving and short tasks leave unused. Whether more of them
could run, and what prevents it, can't be told from the tasks that run: a box may be
unused since nothing waits, for lack of memory, or to protect a serving task. The
account attributes all processor time of a service to one :class:`RoomUse` each second.
"""

import enum
import typing as t

from .boxes import BoxView
from .decisions import LogEvent
from .overload import box_load
from .overload import tolerable_pace
from .packing import MIN_START_PACE
from .packing import MIN_UNUSED_FACTOR
from .serviceload import MEAN_BUSY_SHARE
from .shardstate import ShardState
from .shardstate import WaitingStep
from .startlimits import StartLimits
from .workflows import FULL_PACE
from .workflows import Step

__all__ = ["RoomAccount", "RoomUse", "UNUSED", "room_totals"]

UPDATE_INTERVAL_S: t.Final = 1.0
# Boxes examined in one update. Of more boxes, each update examines the next ones, and
# its result stands for all, so that the cost does not grow with their number.
MAX_BOXES: t.Final = 300
LOG_INTERVAL_S: t.Final = 5.0
# Each box is examined for this many kinds of waiting steps, those that waited longest.
MAX_KINDS: t.Final = 6
EVENT: t.Final = "room"


class RoomUse(enum.StrEnum):
    """What processor time of a box goes to. The first four are uses, the others say why
    it is unused, the obstacle that is easiest to remove first."""

    SERVING = "serving"
    LONG_RUNNING = "long_running"
    SHORT = "short"
    BEST_EFFORT = "best_effort"
    # Best-effort tasks wait that can start there in the next passes.
    STARTABLE = "startable"
    # Their starts can't be sent there soon.
    COMMANDS = "commands"
    # They would disturb serving tasks too much, by what is assumed of images whose
    # interference has not been observed.
    UNKNOWN = "sensitivity_unknown"
    # They would disturb serving tasks too much.
    TARGET = "target"
    # A serving task there exceeds its target now.
    OVER_TARGET = "over_target"
    # They need more processor time than is unused there.
    CPU = "too_little_cpu"
    MEMORY = "memory"
    # Labels, a limit of tasks in a box, or a GPU.
    NOT_ALLOWED = "not_allowed"
    # Best-effort tasks that run there are slowed for serving tasks.
    SLOWED = "slowed"
    # The box gets no tasks: it is silent, draining, quarantined or evacuated.
    CLOSED = "closed"
    # No best-effort task waits, or those that wait need less than is unused.
    NO_DEMAND = "no_demand"


_OBSTACLES: t.Final = (
    RoomUse.STARTABLE,
    RoomUse.COMMANDS,
    RoomUse.UNKNOWN,
    RoomUse.TARGET,
    RoomUse.OVER_TARGET,
    RoomUse.CPU,
    RoomUse.MEMORY,
    RoomUse.NOT_ALLOWED,
)
UNUSED: t.Final = (*_OBSTACLES, RoomUse.SLOWED, RoomUse.CLOSED, RoomUse.NO_DEMAND)
_Split: t.TypeAlias = dict[RoomUse, float]


class _Demand(t.NamedTuple):
    """The best-effort tasks of a service that wait.

    :param cpu: thousandths of a core that they need.
    :param kinds: one step of each kind, those that waited longest first.
    """

    cpu: int
    kinds: tuple[WaitingStep, ...]


class RoomAccount:
    """Attributes the processor time of a shard's boxes."""

    def __init__(self, state: ShardState, now: float) -> None:
        self._state = state
        self._updated_at = now
        self._logged_at = now
        # Service -> core-seconds since the last log line.
        self._sums: dict[str, _Split] = {}
        # Number of boxes examined so far, where there are more than fit in one update.
        self._examined = 0
        # Service -> cores now.
        self._now: dict[str, _Split] = {}
        self._tasks_over_target: dict[str, int] = {}

    @property
    def cores(self) -> dict[str, float]:
        """Cores of all services by use, for metrics."""
        return {
            f"room_{use}": round(
                sum(split.get(use, 0.0) for split in self._now.values()), 1
            )
            for use in RoomUse
        }

    def update(self, limits: StartLimits, now: float) -> list[LogEvent]:
        """Bring the account up to date; returns its log lines when they are due.

        :param limits: limits of starts in the present pass.
        """
        elapsed_s = now - self._updated_at
        if elapsed_s < UPDATE_INTERVAL_S:
            return []
        self._updated_at = now
        self._now = self._split_services(limits, now)
        for service, split in self._now.items():
            sums = self._sums.setdefault(service, {})
            for use, cores in split.items():
                sums[use] = sums.get(use, 0.0) + cores * elapsed_s
        if now - self._logged_at < LOG_INTERVAL_S:
            return []
        span_s, self._logged_at = now - self._logged_at, now
        sums_by_service, self._sums = self._sums, {}
        return [
            LogEvent(
                EVENT,
                service,
                {
                    "span_s": round(span_s, 2),
                    "tasks_over_target": self._tasks_over_target.get(service, 0),
                    **{str(use): round(sums.get(use, 0.0), 1) for use in RoomUse},
                },
            )
            for service, sums in sorted(sums_by_service.items())
        ]

    def _split_services(self, limits: StartLimits, now: float) -> dict[str, _Split]:
        demands = self._demands()
        splits: dict[str, _Split] = {}
        examined_cpu: dict[str, int] = {}
        self._tasks_over_target = {}
        for box in self._next_boxes():
            service = box.entry.service
            split = splits.setdefault(service, {})
            examined_cpu[service] = examined_cpu.get(service, 0) + box.entry.cpu
            kinds = demands[service].kinds if service in demands else ()
            for use, cpu in self._split_box(box, kinds, limits, now).items():
                split[use] = split.get(use, 0.0) + cpu / 1000.0
            over = self._tasks_over_target.get(service, 0)
            self._tasks_over_target[service] = over + len(box.overloaded_since)
        whole_cpu = dict.fromkeys(splits, 0)
        for box in self._state.boxes.values():
            if box.entry.service in whole_cpu:
                whole_cpu[box.entry.service] += box.entry.cpu
        for service, split in splits.items():
            scale = whole_cpu[service] / max(1, examined_cpu[service])
            for use in split:
                split[use] *= scale
            wanted = demands[service].cpu / 1000.0 if service in demands else 0.0
            _limit_to_demand(split, wanted)
        return splits

    def _next_boxes(self) -> list[BoxView]:
        boxes = list(self._state.boxes.values())
        if len(boxes) <= MAX_BOXES:
            return boxes
        first = self._examined % len(boxes)
        self._examined = first + MAX_BOXES
        return [*boxes, *boxes][first : first + MAX_BOXES]

    def _demands(self) -> dict[str, _Demand]:
        cpu: dict[str, int] = {}
        kinds: dict[str, dict[tuple[t.Any, ...], WaitingStep]] = {}
        entries = self._state.waiting.values()
        for entry in sorted(entries, key=lambda entry: entry.waits_since):
            step = entry.spec
            if step.best_effort and entry.tasks:
                service = self._state.service_of(entry.workflow)
                cpu[service] = cpu.get(service, 0) + step.cpu * len(entry.tasks)
                of_service = kinds.setdefault(service, {})
                if len(of_service) < MAX_KINDS:
                    of_service.setdefault((step.image, step.cpu, step.memory_mb), entry)
        return {
            service: _Demand(cpu[service], tuple(of_service.values()))
            for service, of_service in kinds.items()
        }

    def _split_box(
        self,
        box: BoxView,
        kinds: t.Collection[WaitingStep],
        limits: StartLimits,
        now: float,
    ) -> _Split:
        """Return thousandths of a core by use; they add up to those of the box."""
        split = _uses(box, now)
        used = sum(split.values())
        if used > box.entry.cpu:
            # Measurements are rough, and capacity may have shrunk.
            split = {use: cpu * box.entry.cpu / used for use, cpu in split.items()}
            return split
        unused = box.entry.cpu - used
        if not box.open_for_work(now):
            split[RoomUse.CLOSED] = unused
            return split
        slowed = min(unused, _slowed_cpu(box))
        split[RoomUse.SLOWED] = slowed
        split[self._obstacle(box, kinds, limits, now)] = unused - slowed
        return split

    def _obstacle(
        self,
        box: BoxView,
        kinds: t.Collection[WaitingStep],
        limits: StartLimits,
        now: float,
    ) -> RoomUse:
        """Return the obstacle for that kind which comes closest to a start."""
        found = []
        for kind in kinds:
            found.append(self._obstacle_for(box, kind.spec, limits, now))
            if found[-1] == RoomUse.STARTABLE:
                break
        return min(found, key=_OBSTACLES.index, default=RoomUse.NO_DEMAND)

    def _obstacle_for(
        self, box: BoxView, step: Step, limits: StartLimits, now: float
    ) -> RoomUse:
        interference = self._state.interference
        if not box.entry.labels.issuperset(step.required_labels):
            return RoomUse.NOT_ALLOWED
        if step.memory_mb > box.entry.memory_mb - box.memory_used:
            return RoomUse.MEMORY
        if not box.fits(step):
            return RoomUse.NOT_ALLOWED
        load = box_load(box, interference, now)
        if load.unused < step.cpu * MIN_UNUSED_FACTOR:
            return RoomUse.CPU
        if box.overloaded_since:
            return RoomUse.OVER_TARGET
        if tolerable_pace(step, box, load, interference) < MIN_START_PACE:
            observed = all(
                interference.is_observed(serving.image, step.image)
                for serving in load.serving
            )
            return RoomUse.TARGET if observed else RoomUse.UNKNOWN
        if limits.is_exhausted(box.entry.hall):
            return RoomUse.COMMANDS
        return RoomUse.STARTABLE


def _uses(box: BoxView, now: float) -> _Split:
    """Return thousandths of a core in use, as measured by the last poll; for serving
    tasks, of which tail latencies are measured, by the load that these show."""
    split: _Split = {}
    for name, task in box.tasks.items():
        if task.spec.target_ms:
            load = box.loads.get(name)
            busy = MEAN_BUSY_SHARE if load is None else load.predict(now)
            use, cpu = RoomUse.SERVING, busy * task.spec.cpu
        else:
            row = box.running.get(name)
            cpu = 0.0 if row is None or row.run != task.run else row.measurement
            if task.spec.best_effort:
                use = RoomUse.BEST_EFFORT
            elif task.spec.long_running:
                use = RoomUse.LONG_RUNNING
            else:
                use = RoomUse.SHORT
        split[use] = split.get(use, 0.0) + cpu
    return split


def _slowed_cpu(box: BoxView) -> float:
    """Return the processor time that best-effort tasks would use at full pace beyond
    what they use."""
    return sum(
        task.spec.cpu * (FULL_PACE - max(0, task.pace)) / FULL_PACE
        for task in box.best_effort_tasks.values()
    )


def _limit_to_demand(split: _Split, wanted: float) -> None:
    """Attribute to obstacles no more than the tasks that wait could use."""
    obstructed = sum(split.get(use, 0.0) for use in _OBSTACLES)
    if obstructed <= wanted:
        return
    for use in _OBSTACLES:
        if use in split:
            split[use] *= wanted / obstructed
    split[RoomUse.NO_DEMAND] = split.get(RoomUse.NO_DEMAND, 0.0) + obstructed - wanted


def room_totals(
    lines: t.Iterable[t.Mapping[str, t.Any]],
) -> dict[str, dict[str, float]]:
    """Return service -> use -> core-seconds, summed up over log lines of all leaders."""
    totals: dict[str, dict[str, float]] = {}
    for line in lines:
        if line.get("event") != EVENT or not isinstance(line.get("subject"), str):
            continue
        of_service = totals.setdefault(line["subject"], {})
        for use in RoomUse:
            value = line.get(use, 0.0)
            if isinstance(value, int | float):
                of_service[use] = round(of_service.get(use, 0.0) + value, 1)
    return totals
