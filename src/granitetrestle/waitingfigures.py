"""Figures of what waits in a shard, for its leader's metrics and log."""

from .longrunningwaits import WaitCause
from .scheduler import Scheduler
from .waitingorder import count_waiting_tasks

__all__ = ["waiting_figures"]


def waiting_figures(scheduler: Scheduler, now: float) -> dict[str, float]:
    """Return the numbers of waiting tasks by kind, lateness and cause, and how many
    boxes are kept from them."""
    state = scheduler.state
    waiting = count_waiting_tasks(state.waiting.values(), now)
    causes = scheduler.long_running_waits.causes
    reserved = scheduler.dispatcher.kept_room.reservations.boxes
    return {
        **{f"tasks_waiting_{kind}": float(n) for kind, n in waiting.items()},
        **{f"tasks_waiting_long_{c}": float(causes.get(c, 0)) for c in WaitCause},
        "boxes_reserved": float(len(reserved)),
        "halls_evacuated": float(len(state.evacuated_halls)),
    }
