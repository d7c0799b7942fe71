"""Leader lease: whether this process may still act as leader at the moment it sends.

A command may wait, or the process may stand still, between the decision and the moment
the command is sent. So the lease is checked when a command is sent, not when it is
decided."""

import abc
import math
import typing as t

from .journal import Journal
from .looplag import LoopLag
from .witnesses import Witnesses

__all__ = ["JournalLeaderLease", "LeaderLease", "renewal_age_s"]

# Nobody takes over sooner than this after a leader's last report. Without the limit all
# pending starts leave at once after a longer stand-still, up to three times the size of
# the command window, while another process leads.
MAX_ANSWER_AGE_S: t.Final = 0.8


class LeaderLease(abc.ABC):
    """Tells how recently it was confirmed that this process's epoch is the newest."""

    @abc.abstractmethod
    def age_s(self) -> float:
        """Return how long ago the newest append that succeeded was sent, in seconds on
        a clock that goes on while the machine is suspended."""

    @abc.abstractmethod
    def renewal_age_s(self) -> float | None:
        """Return how old the newest proof is that no successor led, in seconds, or
        ``None`` if the leases of running tasks may not be renewed. Leases end a fixed
        time after that proof."""

    @abc.abstractmethod
    def is_valid(self) -> bool:
        """Return whether the start of a task may be sent now."""

    @abc.abstractmethod
    async def wait_until_valid(self) -> None:
        """Return once a start may be sent: at once, or when the lease has been
        confirmed again. Does not return if another process leads."""


class JournalLeaderLease(LeaderLease):
    """Leader lease that is confirmed by successful appends of the journal, and for the
    renewal of leases also by witnesses.

    :param orphan_s: how long leases of tasks are renewed without a new confirmation.
    :param witnesses: boxes that accept polls of this leader.
    :param lag: tells until when this process last stood still.
    """

    def __init__(
        self, journal: Journal, orphan_s: float, lag: LoopLag, witnesses: Witnesses
    ) -> None:
        self._journal = journal
        self._orphan_s = orphan_s
        self._lag = lag
        self._witnesses = witnesses
        self._invalidated_at = -math.inf

    def invalidate(self) -> None:
        """Require a new confirmation, since other processes follow a newer epoch."""
        self._invalidated_at = self._journal.now()
        self._journal.request_append()

    def is_confirmed_within(self, within_s: float) -> bool:
        """Return whether the lease was confirmed within the last ``within_s``
        seconds."""
        confirmed_at = self._journal.status.confirmed_at
        return confirmed_at >= self._invalidated_at and self.age_s() < within_s

    def age_s(self) -> float:
        """See :meth:`LeaderLease.age_s`."""
        return self._journal.confirmed_age_s

    def renewal_age_s(self) -> float | None:
        """See :meth:`LeaderLease.renewal_age_s`.

        Before the first append only witnesses count: a successor passes over a claim that
        no append follows, and knows nothing of its process but that they limit it.

        Successors that reach no majority of the witnesses, and older versions, rely on
        the limit of the time without the store."""
        age_s = self.age_s()
        proved_at = self._witnesses.proved_at
        if not self._journal.has_appended:
            if proved_at is None:
                return None
            return max(self._journal.now() - proved_at, age_s - self._orphan_s)
        return renewal_age_s(age_s, self._orphan_s, proved_at, self._journal.now())

    def is_valid(self) -> bool:
        """See :meth:`LeaderLease.is_valid`.

        The proof is an append that was sent after this process last stood still and was
        answered a moment ago. The age counts from the answer: otherwise a store that
        takes longer for an append than the maximum age would hold back every start."""
        status = self._journal.status
        proof_required_since = max(self._invalidated_at, self._lag.stalled_until)
        answered_s_ago = self._journal.now() - status.answered_at
        return (
            status.confirmed_at >= proof_required_since
            and answered_s_ago < MAX_ANSWER_AGE_S
        )

    async def wait_until_valid(self) -> None:
        """See :meth:`LeaderLease.wait_until_valid`."""
        while not self.is_valid():
            await self._journal.confirm()


def renewal_age_s(
    store_age_s: float, orphan_s: float, proved_at: float | None, now: float
) -> float | None:
    """Return the age of the proof on which leases may be renewed, in seconds, or
    ``None`` if they may not.

    :param store_age_s: how long ago the store last confirmed the leader.
    :param orphan_s: how long leases are renewed without a new confirmation.
    :param proved_at: as :attr:`.Witnesses.proved_at`.
    :param now: the time by the same clock.
    """
    if proved_at is None:
        return 0.0 if store_age_s < orphan_s else None
    return min(store_age_s, max(now - proved_at, store_age_s - orphan_s))
