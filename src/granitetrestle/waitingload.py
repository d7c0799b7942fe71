"""Figures of what waits at a leader, for its log and its metrics."""

from .longrunningwaits import WaitCause
from .scheduler import Scheduler
from .waitingorder import count_waiting_tasks

__all__ = ["waiting_load"]


def waiting_load(scheduler: Scheduler, now: float) -> dict[str, float]:
    """Return how many tasks wait, by kind and by cause, and what holds work back.

    :param now: seconds on the steady clock.
    """
    state = scheduler.state
    waiting = count_waiting_tasks(state.waiting.values(), now)
    causes = scheduler.long_running_waits.causes
    return {
        **{f"tasks_waiting_{kind}": float(n) for kind, n in waiting.items()},
        **{
            f"tasks_waiting_long_{cause}": float(causes.get(cause, 0))
            for cause in WaitCause
        },
        **scheduler.dispatcher.advice.load(),
        "halls_evacuated": float(len(state.evacuated_halls)),
        "checkpoints_too_long": float(state.checkpoints_too_long),
    }
