"""Paths from a leader to the boxes, each with a congestion window of its own.

A path is the own area, or the link to another area. Boxes of different areas are tens
of milliseconds apart: one window for all would take the distance of some for a queue,
and a small link between areas would delay commands that don't use it."""

import time
import typing as t

from .commandwindow import CommandSlots
from .commandwindow import CommandWindow
from .commandwindow import UnlimitedWindow
from .looplag import LoopLag
from .startlimits import StartLimits

__all__ = ["CommandPaths"]


class CommandPaths:
    """The command windows of a leader.

    :param hall: data hall of the leader.
    :param areas: data hall -> its area. Halls that it lacks are in the leader's area.
    :param lag: lag of this process's event loop.
    :param limited: whether commands are limited at all.
    :param clock: monotonic clock, in seconds.
    """

    def __init__(
        self,
        hall: str,
        areas: t.Mapping[str, str],
        lag: LoopLag,
        limited: bool = True,
        clock: t.Callable[[], float] = time.monotonic,
    ) -> None:
        self._clock = clock
        self._areas = areas
        self._own_area = areas.get(hall, "")
        self._lag = lag
        self._limited = limited
        self._slots = CommandSlots()
        self._windows: dict[str, CommandWindow] = {}
        self.window(hall)

    def path_of(self, hall: str) -> str:
        """Return the path to the boxes of a data hall: the name of its area."""
        return self._areas.get(hall, self._own_area)

    def window(self, hall: str) -> CommandWindow:
        """Return the window of the path to a data hall."""
        path = self.path_of(hall)
        window = self._windows.get(path)
        if window is None:
            window = self._windows[path] = self._new_window()
        return window

    def _new_window(self) -> CommandWindow:
        if not self._limited:
            return UnlimitedWindow()
        return CommandWindow(self._clock, self._lag, slots=self._slots)

    @property
    def size(self) -> int:
        """How many commands may be in flight."""
        return sum(window.size for window in self._windows.values())

    @property
    def waiting(self) -> int:
        """How many commands wait for their turn."""
        return sum(window.waiting for window in self._windows.values())

    def start_limits(self) -> StartLimits:
        """Return how many starts can be sent soon."""
        by_path = {
            path: window.remaining_capacity for path, window in self._windows.items()
        }
        return StartLimits(sum(by_path.values()), by_path, self.path_of)

    def release_starts(self, incarnations: t.Collection[str]) -> None:
        """See :meth:`.CommandWindow.release_starts`."""
        for window in self._windows.values():
            window.release_starts(incarnations)

    def load(self) -> dict[str, float]:
        """Return the sizes and queues by area, where there are several."""
        if len(self._windows) == 1:
            return {}
        figures: dict[str, float] = {}
        for path, window in sorted(self._windows.items()):
            figures[f"orders_waiting_to_{path}"] = float(window.waiting)
            figures[f"orders_at_once_to_{path}"] = float(window.size)
        return figures
