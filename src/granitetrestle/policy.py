"""Which box a task goes to and which work yields. The rules that keep promises
stand in :mod:`granitetrestle.placement`; a policy only chooses among boxes that
are allowed, so that policies can be swapped and measured side by side."""

import abc
import typing as t

from .capacity import BoxState
from .capacity import CapacityIndex
from .capacity import Vector
from .records import JobSpec

__all__ = ["FirstFit", "Policy", "RackSpread", "BoxChoice"]

MAX_CANDIDATES = 12
MIN_EVICTION_CANDIDATES = 16


class BoxChoice(t.NamedTuple):
    """A chosen box, the tasks that must yield first, and why."""

    box: str
    victims: tuple[str, ...]
    reason: str


class Policy(abc.ABC):
    """Chooses boxes for tasks."""

    @abc.abstractmethod
    def choose(
        self, spec: JobSpec, job: str, index: CapacityIndex, now: float
    ) -> BoxChoice | None:
        """Return a box with room, or ``None`` if there is none."""

    def choose_evictions(
        self,
        spec: JobSpec,
        index: CapacityIndex,
        now: float,
        cost: t.Callable[[str], float],
    ) -> BoxChoice | None:
        """Return the box where the cheapest batch tasks can yield.

        :param cost: account -> harm of evicting one of its tasks.
        """
        best: tuple[float, BoxChoice] | None = None
        checked = 0
        for box in index.boxes.values():
            if not box.open_for_work(now) or not box.tasks:
                continue
            checked += 1
            found = _cheapest_evictions(spec, box, cost)
            if found is not None and (best is None or found[0] < best[0]):
                best = found
            if checked >= MIN_EVICTION_CANDIDATES and best is not None:
                break
        return best[1] if best else None


def _cheapest_evictions(
    spec: JobSpec, box: BoxState, cost: t.Callable[[str], float]
) -> tuple[float, BoxChoice] | None:
    available = box.free
    need = Vector.of(spec)
    if not need.fits(box.total):
        return None
    evictable = [
        a
        for a in box.tasks.values()
        if a.spec.kind == "batch" and not a.spec.urgent and a.state == "running"
    ]
    evictable.sort(key=lambda a: (cost(a.account), -a.spec.cores, a.task))
    total_cost = 0.0
    victims: list[str] = []
    for assignment in evictable:
        if need.fits(available):
            break
        available = available.plus(Vector.of(assignment.spec))
        total_cost += cost(assignment.account)
        victims.append(assignment.task)
    if not need.fits(available) or not victims:
        return None
    return total_cost, BoxChoice(
        box.info.box, tuple(victims), f"evicting costs {total_cost:g}"
    )


class FirstFit(Policy):
    """Baseline: the first box with room."""

    def choose(
        self, spec: JobSpec, job: str, index: CapacityIndex, now: float
    ) -> BoxChoice | None:
        """Return the fullest box with room."""
        found = index.candidates(Vector.of(spec), now, 1, spread=False)
        return BoxChoice(found[0].info.box, (), "first fit") if found else None


class RackSpread(Policy):
    """Services to emptier boxes and over racks; batch packed beside batch."""

    def choose(
        self, spec: JobSpec, job: str, index: CapacityIndex, now: float
    ) -> BoxChoice | None:
        """Return the box with the fewest neighbours that matter to the task."""
        service = spec.kind == "service"
        found = index.candidates(Vector.of(spec), now, MAX_CANDIDATES, spread=service)
        if not found:
            return None
        if not service:
            box = min(found, key=lambda b: (_service_count(b), b.free.cores))
            return BoxChoice(
                box.info.box, (), f"{_service_count(box)} services beside it"
            )
        racks = index.tasks_per_rack(job)
        box = min(found, key=lambda b: (racks.get(b.info.rack, 0), _batch_cores(b)))
        return BoxChoice(box.info.box, (), f"rack {box.info.rack} has fewest replicas")


def _service_count(box: BoxState) -> int:
    return sum(a.spec.kind == "service" for a in box.tasks.values())


def _batch_cores(box: BoxState) -> float:
    return sum(a.spec.cores for a in box.tasks.values() if a.spec.kind == "batch")
