"""Placement policies: the box for a task, and the tasks to evict for it. The rules
that keep promises are in :mod:`granitetrestle.placement`; a policy only chooses among
permitted boxes, so that policies can be exchanged and compared by measurement."""

import abc
import typing as t

from .capacity import BoxState
from .capacity import CapacityIndex
from .capacity import Vector
from .records import JobSpec

__all__ = ["FirstFit", "Policy", "RackSpread", "BoxChoice"]

MAX_CANDIDATES = 12  # boxes that a placement compares
MIN_EVICTION_CANDIDATES = 16


class BoxChoice(t.NamedTuple):
    """A chosen box, the tasks to evict from it first, and the reason."""

    box: str
    victims: tuple[str, ...]
    reason: str


class Policy(abc.ABC):
    """Chooses boxes for tasks, and tasks to evict."""

    @abc.abstractmethod
    def choose(
        self, spec: JobSpec, job: str, index: CapacityIndex, now: float
    ) -> BoxChoice | None:
        """Return a box with enough free resources, or ``None`` if there is none."""

    def choose_evictions(
        self,
        spec: JobSpec,
        index: CapacityIndex,
        now: float,
        cost: t.Callable[[str], float],
    ) -> BoxChoice | None:
        """Return the box on which eviction of batch tasks costs least, or ``None``.

        Compares the first ``MIN_EVICTION_CANDIDATES`` boxes with tasks. If none of
        them will do, the first further box that does is chosen.

        :param cost: account -> cost of evicting one of its tasks.
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
    """Baseline: the first box with enough free resources."""

    def choose(
        self, spec: JobSpec, job: str, index: CapacityIndex, now: float
    ) -> BoxChoice | None:
        """Return a box with the fewest free cores that suffice."""
        found = index.candidates(Vector.of(spec), now, 1, spread=False)
        return BoxChoice(found[0].info.box, (), "first fit") if found else None


class RackSpread(Policy):
    """Spreads services over racks and emptier boxes; packs batch next to batch."""

    def choose(
        self, spec: JobSpec, job: str, index: CapacityIndex, now: float
    ) -> BoxChoice | None:
        """Return the box for one task.

        A batch task goes where the fewest services run, a replica of a service to
        the rack with the fewest of its job, then to the least batch work.
        """
        service = spec.kind == "service"
        found = index.candidates(Vector.of(spec), now, MAX_CANDIDATES, spread=service)
        if not found:
            return None
        if not service:
            box = min(found, key=lambda b: (_service_count(b), b.free.cores))
            return BoxChoice(
                box.info.box, (), f"{_service_count(box)} services on the box"
            )
        racks = index.tasks_per_rack(job)
        box = min(found, key=lambda b: (racks.get(b.info.rack, 0), _batch_cores(b)))
        return BoxChoice(box.info.box, (), f"rack {box.info.rack} has fewest replicas")


def _service_count(box: BoxState) -> int:
    return sum(a.spec.kind == "service" for a in box.tasks.values())


def _batch_cores(box: BoxState) -> float:
    return sum(a.spec.cores for a in box.tasks.values() if a.spec.kind == "batch")
