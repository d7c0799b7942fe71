"""Reservations of room on boxes for tasks that are large.

Room frees in pieces, and smaller tasks take each piece: a task that needs much of a box
would wait for as long as smaller ones do. A step that has waited for long therefore
holds a reservation on one box. Other tasks start there only if the reserved room remains
beside them, or if they end before it is expected (backfilling)."""

import abc
import heapq
import math
import typing as t

from .boxes import BoxView
from .boxindex import Pool
from .decisions import LogEvent
from .shardstate import WaitingStep
from .workflows import Step
from .workflows import Task

__all__ = ["BoxReservations", "NoReservations", "Reservation", "Reservations"]

# A long-running task is promised to run within 6 s; a short job is late after a second
# or two. The rest of that time is for the room to become free.
RESERVATION_DELAY_S: t.Final = 2.0
# A box where the room has not appeared this long after it was expected is given up.
OVERDUE_S: t.Final = 2.0
# At most one box in this many of a pool is reserved.
BOXES_PER_RESERVATION: t.Final = 20
# A choice looks at the tasks of this many boxes, those with the most room that is free
# or held by short tasks, and there is one choice in a pass.
MAX_BOXES_EXAMINED: t.Final = 64
MAX_CHOICES_PER_PASS: t.Final = 1
# An end that was estimated for the past is expected soon.
MIN_TIME_TO_END_S: t.Final = 0.1

StepKey: t.TypeAlias = tuple[str, int, int]


class Reservation(t.NamedTuple):
    """Room on one box that is reserved for the tasks of one step.

    :param expected_at: when the room is expected to be free.
    """

    key: StepKey
    step: Step
    incarnation: str
    made_at: float
    expected_at: float


class Resources(t.NamedTuple):
    """Room on a box.

    :param cpu: thousandths of a core.
    """

    cpu: int
    memory_mb: int
    gpu: int


class Reservations(abc.ABC):
    """Decides where a task may not start for the sake of a larger one that waits."""

    @property
    @abc.abstractmethod
    def boxes(self) -> t.Collection[str]:
        """The incarnations of the reserved boxes."""

    @abc.abstractmethod
    def start_pass(
        self,
        waiting: t.Mapping[StepKey, WaitingStep],
        pools: t.Collection[Pool],
        now: float,
    ) -> None:
        """Start a placement pass: give back what no step waits for any more, and what
        can't be had."""

    @abc.abstractmethod
    def request(
        self, entry: WaitingStep, pool: Pool, boxes: t.Iterable[BoxView], now: float
    ) -> None:
        """Reserve a box for a step that has found none, if it has waited for long and
        no box has room for it.

        :param boxes: those of ``pool`` that may run the step.
        """

    @abc.abstractmethod
    def allows(self, entry: WaitingStep, box: BoxView, now: float) -> bool:
        """Return whether a task of a step may start on a box that has room for it."""

    @abc.abstractmethod
    def record_start(self, entry: WaitingStep, now: float) -> None:
        """Give back the reservation of a step of which a task starts."""

    @abc.abstractmethod
    def take_events(self) -> list[LogEvent]:
        """Return the log lines since the last call."""


class NoReservations(Reservations):
    """Baseline: every box with room may be used."""

    @property
    def boxes(self) -> t.Collection[str]:
        """None."""
        return ()

    def start_pass(
        self,
        waiting: t.Mapping[StepKey, WaitingStep],
        pools: t.Collection[Pool],
        now: float,
    ) -> None:
        """Do nothing."""

    def request(
        self, entry: WaitingStep, pool: Pool, boxes: t.Iterable[BoxView], now: float
    ) -> None:
        """Do nothing."""

    def allows(self, entry: WaitingStep, box: BoxView, now: float) -> bool:
        """Return true."""
        return True

    def record_start(self, entry: WaitingStep, now: float) -> None:
        """Do nothing."""

    def take_events(self) -> list[LogEvent]:
        """Return none."""
        return []


class BoxReservations(Reservations):
    """Reserves the box that is expected to have the room first."""

    def __init__(self) -> None:
        self._by_key: dict[StepKey, Reservation] = {}
        self._by_box: dict[str, Reservation] = {}
        # Step -> box that was given up since the room did not appear there.
        self._given_up: dict[StepKey, str] = {}
        self._choices = 0
        # Identity of a pool -> the most room on one of its boxes, in this pass.
        self._most_room: dict[int, Resources] = {}
        self._events: list[LogEvent] = []

    @property
    def boxes(self) -> t.Collection[str]:
        """See :attr:`Reservations.boxes`."""
        return self._by_box.keys()

    def start_pass(
        self,
        waiting: t.Mapping[StepKey, WaitingStep],
        pools: t.Collection[Pool],
        now: float,
    ) -> None:
        """See :meth:`Reservations.start_pass`."""
        self._choices = 0
        self._most_room.clear()
        for reservation in list(self._by_key.values()):
            entry = waiting.get(reservation.key)
            if entry is None or not entry.tasks:
                self._drop(reservation, "the step waits no more", now)
            elif not any(reservation.incarnation in pool.boxes for pool in pools):
                self._drop(reservation, "the box is closed", now)
            elif now > reservation.expected_at + OVERDUE_S:
                self._given_up[reservation.key] = reservation.incarnation
                self._drop(reservation, "the room did not appear", now)
        for key in [key for key in self._given_up if key not in waiting]:
            del self._given_up[key]

    def request(
        self, entry: WaitingStep, pool: Pool, boxes: t.Iterable[BoxView], now: float
    ) -> None:
        """See :meth:`Reservations.request`."""
        key = _key(entry)
        if (
            key in self._by_key
            or entry.spec.best_effort
            or now - entry.waits_since < RESERVATION_DELAY_S
            or self._choices >= MAX_CHOICES_PER_PASS
            or not self._is_large(entry.spec, pool)
        ):
            return
        reserved = sum(incarnation in pool.boxes for incarnation in self._by_box)
        if reserved >= max(1, len(pool.boxes) // BOXES_PER_RESERVATION):
            return
        self._choices += 1
        best: tuple[bool, float, float, str] | None = None
        free = (box for box in boxes if box.incarnation not in self._by_box)
        for box in heapq.nlargest(MAX_BOXES_EXAMINED, free, key=_passing_cpu):
            if not _can_ever_fit(entry, box):
                continue
            expected_at, lacking = _expected_room(entry.spec, box, now)
            given_up = self._given_up.get(key) == box.incarnation
            rank = (given_up, expected_at, lacking, box.incarnation)
            if best is None or rank < best:
                best = rank
        if best is not None:
            _, expected_at, lacking, incarnation = best
            self._reserve(entry, incarnation, min(expected_at, now + OVERDUE_S), now)

    def _is_large(self, step: Step, pool: Pool) -> bool:
        """Return whether no box has room for a task of ``step``; otherwise the step
        waits for another reason."""
        most = self._most_room.get(id(pool))
        if most is None:
            boxes = [
                box
                for incarnation, box in pool.boxes.items()
                if incarnation not in self._by_box
            ]
            most = self._most_room[id(pool)] = Resources(
                max((box.cpu_free for box in boxes), default=0),
                max((_memory_free(box) for box in boxes), default=0),
                max((box.entry.gpu - box.gpu_used for box in boxes), default=0),
            )
        return (
            step.cpu > most.cpu
            or step.memory_mb > most.memory_mb
            or step.gpu > most.gpu
        )

    def _reserve(
        self, entry: WaitingStep, incarnation: str, expected_at: float, now: float
    ) -> None:
        key = _key(entry)
        reservation = Reservation(key, entry.spec, incarnation, now, expected_at)
        self._by_key[key] = self._by_box[incarnation] = reservation
        inputs = {
            "box": incarnation,
            "waited_s": round(now - entry.waits_since, 2),
            "expected_s": round(expected_at - now, 2),
            "cpu": entry.spec.cpu,
            "reserved": len(self._by_box),
        }
        self._events.append(LogEvent("room_reserved", _name(key), inputs))

    def _drop(self, reservation: Reservation, reason: str, now: float) -> None:
        del self._by_key[reservation.key]
        del self._by_box[reservation.incarnation]
        inputs = {
            "box": reservation.incarnation,
            "reason": reason,
            "held_s": round(now - reservation.made_at, 2),
        }
        self._events.append(
            LogEvent("reservation_over", _name(reservation.key), inputs)
        )

    def allows(self, entry: WaitingStep, box: BoxView, now: float) -> bool:
        """See :meth:`Reservations.allows`."""
        reservation = self._by_box.get(box.incarnation)
        if reservation is None or reservation.key == _key(entry):
            return True
        step = entry.spec
        if _fits_beside(step, reservation.step, box):
            return True
        if step.long_running:
            return False
        return now + step.estimate_ms / 1000.0 <= reservation.expected_at

    def record_start(self, entry: WaitingStep, now: float) -> None:
        """See :meth:`Reservations.record_start`."""
        reservation = self._by_key.get(_key(entry))
        if reservation is not None:
            self._drop(reservation, "a task of the step started", now)

    def take_events(self) -> list[LogEvent]:
        """See :meth:`Reservations.take_events`."""
        events, self._events = self._events, []
        return events


def _key(entry: WaitingStep) -> StepKey:
    return (entry.workflow.submission.job, entry.occurrence, entry.step)


def _name(key: StepKey) -> str:
    return ".".join(map(str, key))


def _memory_free(box: BoxView) -> int:
    return box.entry.memory_mb - box.memory_used


def _passing_cpu(box: BoxView) -> int:
    return box.cpu_free + box.short_cpu


def _can_ever_fit(entry: WaitingStep, box: BoxView) -> bool:
    step = entry.spec
    if step.per_box:
        job = entry.workflow.submission.job
        if box.count_step_tasks(job, entry.occurrence, entry.step) >= step.per_box:
            return False
    return (
        box.entry.labels.issuperset(step.required_labels)
        and step.cpu <= box.entry.cpu
        and step.memory_mb <= box.entry.memory_mb
        and step.gpu <= box.entry.gpu
    )


def _fits_beside(step: Step, reserved: Step, box: BoxView) -> bool:
    """Return whether the reserved room remains if a task of ``step`` starts."""
    cpu = 0 if step.best_effort else step.cpu
    return (
        # A best-effort task takes no room of processors, whatever is free.
        (not cpu or cpu + reserved.cpu <= box.cpu_free)
        and step.memory_mb + reserved.memory_mb <= _memory_free(box)
        and (not step.gpu or step.gpu + reserved.gpu <= box.entry.gpu - box.gpu_used)
    )


def _expected_room(step: Step, box: BoxView, now: float) -> tuple[float, float]:
    """Return when a box is expected to have room for a task of ``step`` (infinite if
    that can't be told), and how much processor time it lacks by the ends that can be
    expected, in thousandths of a core."""
    cpu = step.cpu - box.cpu_free
    memory = step.memory_mb - _memory_free(box)
    gpu = step.gpu - (box.entry.gpu - box.gpu_used)
    at = now
    ends = sorted(
        ((_expected_end(task, now), task) for task in box.tasks.values()),
        key=lambda end: end[0],
    )
    for end, task in ends:
        if cpu <= 0 and memory <= 0 and gpu <= 0:
            break
        if task.spec.long_running:
            continue
        at = end
        cpu -= 0 if task.spec.best_effort else task.spec.cpu
        memory -= task.spec.memory_mb
        gpu -= task.spec.gpu
    if cpu <= 0 and memory <= 0 and gpu <= 0:
        return at, 0.0
    return math.inf, float(max(0, cpu))


def _expected_end(task: Task, now: float) -> float:
    end = task.started_at + task.spec.estimate_ms / 1000.0
    return max(now + MIN_TIME_TO_END_S, end)
