"""Budget for polls of boxes, by connections and by rate.

A long poll, which waits for the end of a run, holds a connection, and opening one costs
a handshake. Without a budget, with ten boxes for each scheduler process, a leader ran
out of descriptors and ended, and so did each successor.

So polls are long only while connections are free. Beyond that, idle boxes are polled at
a low rate, and busy ones at short intervals. Contact polls (the first one of a box, and
those of boxes that fell silent) share a window that follows how fast they are answered.
"""

import math
import typing as t

from .boxes import BoxView
from .commandwindow import BEST_EFFORT
from .commandwindow import SHORT
from .commandwindow import URGENT
from .commandwindow import CommandWindow

__all__ = ["PollBudget", "PollParameters"]

# Shares of a process's connections: up to the first one, idle boxes get long polls; up
# to the second, busy ones do. The rest is for commands (256 at once), peers (up to
# three descriptors each) and clients.
MAX_IDLE_CONNECTION_SHARE: t.Final = 0.1
MAX_CONNECTION_SHARE: t.Final = 0.4
# Without long polls, the end of a task is seen later by up to this time.
BUSY_POLL_INTERVAL_S: t.Final = 0.8
# Shared by all idle boxes without long polls: a small part of what the smallest process
# can make. The list of boxes in the store shows sooner which of them are gone.
MAX_IDLE_POLLS_PER_S: t.Final = 60.0
MIN_IDLE_POLL_INTERVAL_S: t.Final = 2.0
# Answers within half the timeout of contact polls are no sign of overload, also where a
# process gets its processor in slices of 0.1 s.
MIN_SLOW_CONTACT_S: t.Final = 0.35
MIN_CONTACT_WINDOW_SIZE: t.Final = 16
# Contact polls of witnesses come before all others: once a majority has answered, the
# leases of earlier leaders end at a known time.
WITNESS: t.Final = URGENT - 1


class PollParameters(t.NamedTuple):
    """How a box is polled.

    :param long_poll: whether the answer may wait for the end of a run.
    :param pause_s: pause after the poll; an idle box that gets a task ends it.
    :param idle: whether these parameters hold only while the box runs nothing.
    """

    long_poll: bool
    pause_s: float
    idle: bool


class ContactWindow(CommandWindow):
    """Window for contact polls. A box that is gone holds its turn until the poll times
    out, but costs nothing meanwhile: the window grows while others answer quickly."""

    def __init__(self) -> None:
        super().__init__(
            min_slow_answer_s=MIN_SLOW_CONTACT_S, min_size=MIN_CONTACT_WINDOW_SIZE
        )

    def record_no_answer(self) -> None:
        """See :meth:`.CommandWindow.record_no_answer`."""
        if self._last_answer_slow:
            super().record_no_answer()
        else:
            self._grow(1.0)


class PollBudget:
    """Budget shared by all polls of a leader.

    :param connections: how many this process may have open.
    """

    def __init__(self, connections: int) -> None:
        self._connections = connections
        self._long_polls = 0
        # Idle boxes without long polls; they share the rate of polls.
        self._paused_boxes: set[str] = set()
        self._contact_window: CommandWindow = ContactWindow()

    @property
    def long_polls(self) -> int:
        """How many long polls are under way."""
        return self._long_polls

    @property
    def contact_window(self) -> CommandWindow:
        """Window for contact polls."""
        return self._contact_window

    @staticmethod
    def contact_priority(box: BoxView, witness: bool = False) -> int | None:
        """Return the priority at which a poll of ``box`` waits for a turn in the window
        for contact polls, or ``None`` if it needs no turn.

        :param witness: as in :meth:`parameters`.
        """
        if box.silent_since is not None:
            return BEST_EFFORT
        if box.adopted:
            return None
        if witness:
            return WITNESS
        return URGENT if box.tasks else SHORT

    def parameters(self, box: BoxView, witness: bool = False) -> PollParameters:
        """Return how an adopted box is polled next.

        :param witness: whether it is one of the few witnesses, which are polled as often
            as busy boxes.
        """
        busy = bool(box.tasks) or witness
        share = MAX_CONNECTION_SHARE if busy else MAX_IDLE_CONNECTION_SHARE
        if self._long_polls < share * self._connections:
            self._paused_boxes.discard(box.incarnation)
            return PollParameters(True, 0.0, not busy)
        if busy:
            self._paused_boxes.discard(box.incarnation)
            return PollParameters(False, BUSY_POLL_INTERVAL_S, False)
        self._paused_boxes.add(box.incarnation)
        interval_s = len(self._paused_boxes) / MAX_IDLE_POLLS_PER_S
        return PollParameters(
            False, max(MIN_IDLE_POLL_INTERVAL_S, math.ceil(interval_s)), True
        )

    def remove(self, incarnation: str) -> None:
        """Remove a box that is no longer polled."""
        self._paused_boxes.discard(incarnation)

    def add_long_poll(self) -> None:
        """Count a long poll that starts."""
        self._long_polls += 1

    def remove_long_poll(self) -> None:
        """Count a long poll that was answered or given up."""
        self._long_polls -= 1
