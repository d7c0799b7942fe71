"""The right of a decider to act, as it is when something leaves its process: an order may
wait, or its process stand still, between the decision and the moment it is sent."""

import abc
import math
import typing as t

from .journal import Journal
from .looplag import LoopLag

__all__ = ["JournalLeaderLease", "LeaderLease"]

# A right is fresh for so long; nobody takes over sooner after a decider's last sign of
# life. After a longer stand-still all starts in hand left at once, up to three times the
# order window's size, while another decided.
MAX_ANSWER_AGE_S: t.Final = 0.8


class LeaderLease(abc.ABC):
    """How sure a process is that its epoch is the newest."""

    @abc.abstractmethod
    def age_s(self) -> float:
        """Return how long ago that was confirmed, in seconds on a clock that goes on while
        the machine is suspended: when an append that succeeded was sent."""

    @abc.abstractmethod
    def may_renew(self) -> bool:
        """Say whether leases of what runs may still be renewed."""

    @abc.abstractmethod
    def is_valid(self) -> bool:
        """Say whether a start may leave now."""

    @abc.abstractmethod
    async def wait_until_valid(self) -> None:
        """Return once a start may leave: at once, or when the right has been confirmed
        anew. Does not return if another process decides."""


class JournalLeaderLease(LeaderLease):
    """What the journal's appends prove.

    :param orphan_s: how long leases are renewed without a new proof.
    :param lag: tells whether this process has stood still since.
    """

    def __init__(self, journal: Journal, orphan_s: float, lag: LoopLag) -> None:
        self._journal = journal
        self._orphan_s = orphan_s
        self._lag = lag
        self._invalidated_at = -math.inf

    def invalidate(self) -> None:
        """Take nothing for confirmed until it is anew: others follow a newer epoch."""
        self._invalidated_at = self._journal.now()
        self._journal.request_append()

    def is_confirmed_within(self, within_s: float) -> bool:
        """Say whether the right was confirmed within so many seconds."""
        confirmed_at = self._journal.status.confirmed_at
        return confirmed_at >= self._invalidated_at and self.age_s() < within_s

    def age_s(self) -> float:
        """See :meth:`LeaderLease.age_s`."""
        return self._journal.confirmed_age_s

    def may_renew(self) -> bool:
        """See :meth:`LeaderLease.may_renew`."""
        return self.age_s() < self._orphan_s

    def is_valid(self) -> bool:
        """See :meth:`LeaderLease.is_valid`. Proved by an append that was sent after this
        process last stood still, and answered a moment ago: a store that takes longer
        for an append than a right is fresh would hold back every start."""
        status = self._journal.status
        proof_required_since = max(self._invalidated_at, self._lag.stood_still_until)
        answered_s_ago = self._journal.now() - status.answered_at
        return (
            status.confirmed_at >= proof_required_since
            and answered_s_ago < MAX_ANSWER_AGE_S
        )

    async def wait_until_valid(self) -> None:
        """See :meth:`LeaderLease.wait_until_valid`."""
        while not self.is_valid():
            await self._journal.confirm()
