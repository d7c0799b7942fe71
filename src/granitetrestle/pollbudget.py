"""How many looks at boxes a decider can afford. A look that waits for an end holds a
connection, and beginning one costs a handshake: with ten boxes for each process of its
own, a decider ran out of descriptors and ended, and so did each of its successors.

So looks wait only while there are connections for that. Beyond it a box that runs nothing
is looked at now and then, and one that works is asked again and again instead. First looks
and those at boxes that fell silent wait for each other, as many at once as are answered."""

import math
import typing as t

from .boxes import BoxView
from .commandwindow import BEST_EFFORT
from .commandwindow import SHORT
from .commandwindow import URGENT
from .commandwindow import CommandWindow

__all__ = ["PollBudget", "PollParameters"]

# Parts of a process's connections that looks may hold while they wait: at boxes that run
# nothing, and in all. The rest is for orders (256 at once), peers, which take up to three
# descriptors each, and clients.
MAX_IDLE_CONNECTION_SHARE: t.Final = 0.1
MAX_CONNECTION_SHARE: t.Final = 0.4
# Without a look that waits, the end of a task is seen this much later at most.
BUSY_POLL_INTERVAL_S: t.Final = 0.8
# Looks a second at boxes that run nothing, all together: a small part of what the smallest
# process can make. The store's list says sooner which of them are gone.
MAX_IDLE_POLLS_PER_S: t.Final = 60.0
MIN_IDLE_POLL_INTERVAL_S: t.Final = 2.0


# Answers within half of the time after which first looks are given up show no overload,
# also where a process gets its processor in steps of a tenth of a second.
MIN_SLOW_CONTACT_S: t.Final = 0.35
MIN_CONTACT_WINDOW_SIZE: t.Final = 16


class PollParameters(t.NamedTuple):
    """How a look is made.

    :param waits: whether its answer may wait for an end.
    :param pause_s: how long afterwards nothing is asked, unless the box gets work.
    :param idle: whether this rests on the box running nothing.
    """

    long_poll: bool
    pause_s: float
    idle: bool


class ContactWindow(CommandWindow):
    """Looks that begin. A box that is gone holds its turn until it is given up, but costs
    nothing meanwhile: as long as the others answer quickly, more may begin beside it."""

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
    """Shared by all looks of a decider.

    :param connections: how many this process may have open.
    """

    def __init__(self, connections: int) -> None:
        self._connections = connections
        self._long_polls = 0
        # Boxes whose looks don't wait; they share the rate of looks.
        self._paused_boxes: set[str] = set()
        self._contact_window: CommandWindow = ContactWindow()

    @property
    def long_polls(self) -> int:
        """Looks under way whose answer may wait."""
        return self._long_polls

    @property
    def contact_window(self) -> CommandWindow:
        """Lets first looks, and those at silent boxes, begin."""
        return self._contact_window

    @staticmethod
    def contact_priority(box: BoxView) -> int | None:
        """Return the class in which a look at ``box`` has to wait for its turn to begin,
        or ``None`` if it needs no turn."""
        if box.silent_since is not None:
            return BEST_EFFORT
        if box.adopted:
            return None
        return URGENT if box.tasks else SHORT

    def parameters(self, box: BoxView) -> PollParameters:
        """Return how the next look at an adopted box is made."""
        share = MAX_CONNECTION_SHARE if box.tasks else MAX_IDLE_CONNECTION_SHARE
        if self._long_polls < share * self._connections:
            self._paused_boxes.discard(box.incarnation)
            return PollParameters(True, 0.0, not box.tasks)
        if box.tasks:
            self._paused_boxes.discard(box.incarnation)
            return PollParameters(False, BUSY_POLL_INTERVAL_S, False)
        self._paused_boxes.add(box.incarnation)
        interval_s = len(self._paused_boxes) / MAX_IDLE_POLLS_PER_S
        return PollParameters(
            False, max(MIN_IDLE_POLL_INTERVAL_S, math.ceil(interval_s)), True
        )

    def remove(self, incarnation: str) -> None:
        """A box is not looked at any more."""
        self._paused_boxes.discard(incarnation)

    def add_long_poll(self) -> None:
        """Count a look whose answer may wait."""
        self._long_polls += 1

    def remove_long_poll(self) -> None:
        """Count it as answered, or given up."""
        self._long_polls -= 1
