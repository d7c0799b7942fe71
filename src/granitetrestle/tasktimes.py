"""Time that a task spent in each phase since its step became ready."""

import typing as t

__all__ = ["PHASES", "TaskTimes"]

Phase: t.TypeAlias = t.Literal["room", "order", "run", "slowed", "stop", "failed"]

# Waiting for a box; start command sent, but not known to run; running at full pace;
# running at a lower pace; being stopped; spent in runs that failed.
PHASES: t.Final[tuple[Phase, ...]] = (
    "room",
    "order",
    "run",
    "slowed",
    "stop",
    "failed",
)


class TaskTimes:
    """Seconds that one task spent in each phase since its step became ready.

    :ivar last_wait_s: how long its last wait for a box took.
    """

    __slots__ = ("_current_run", "_phase", "_since", "_spent", "last_wait_s")

    def __init__(self) -> None:
        self._phase: Phase | None = None
        self._since = 0.0
        self.last_wait_s = 0.0
        self._spent: dict[Phase, float] = {}
        # Time of the current run, moved to ``failed`` if it fails.
        self._current_run: dict[Phase, float] = {}

    @property
    def spent(self) -> t.Mapping[Phase, float]:
        """Phase -> seconds, without the phases that never occurred."""
        return self._spent

    @property
    def waits_since(self) -> float | None:
        """Since when the task waits for a box, or ``None`` if it does not."""
        return self._since if self._phase == "room" else None

    def enter(self, phase: Phase | None, now: float) -> None:
        """Start a phase; ``None`` once the task is done."""
        if self._phase is not None:
            elapsed_s = now - self._since
            self._spent[self._phase] = self._spent.get(self._phase, 0.0) + elapsed_s
            if self._phase in ("run", "slowed"):
                self._current_run[self._phase] = (
                    self._current_run.get(self._phase, 0.0) + elapsed_s
                )
        if self._phase == "room":
            self.last_wait_s = now - self._since
        if phase == "order":
            self._current_run.clear()
        self._phase, self._since = phase, now

    def mark_failed(self, now: float) -> None:
        """Move the time of the current run to the phase ``failed``."""
        self.enter(self._phase, now)
        for phase, seconds in self._current_run.items():
            self._spent[phase] -= seconds
            self._spent["failed"] = self._spent.get("failed", 0.0) + seconds
        self._current_run.clear()
