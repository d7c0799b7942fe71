"""Claim of an epoch by a process that is due to take over: what the store knows of the
leader before it, and of the leaders that have failed."""

import time
import typing as t

from .interfaces import Store
from .interfaces import StoreUnavailable
from .leaderfailures import LeaderFailure
from .leaderprocesses import LeaderProcesses
from .leadership import Leadership
from .leadership import next_epoch
from .nodelog import NodeLog
from .registration import Registration
from .registry import HeartbeatWatch
from .registry import Registry
from .statedigest import EpochClaim
from .succession import take_over

__all__ = ["Claimed", "EpochClaimer"]

# The leader writes a heartbeat to the store. Once it has been unchanged for the timeout,
# a process that lacks a stable majority may take over too.
HEARTBEAT_TIMEOUT_S: t.Final = 1.4
MAX_CLAIM_ATTEMPTS: t.Final = 5
# Minimum; a process without a majority checks when the last heartbeat read times out.
LEADER_CHECK_INTERVAL_S: t.Final = 0.2


class Claimed(t.NamedTuple):
    """An epoch that this process leads in.

    :param failures: the failures of earlier leaders.
    """

    claim: EpochClaim
    failures: tuple[LeaderFailure, ...]


class EpochClaimer:
    """Claims epochs for one process.

    :param ip: IPv4 address of this process.
    """

    def __init__(
        self,
        ip: str,
        incarnation: str,
        store: Store,
        registry: Registry,
        registration: Registration,
        leadership: Leadership,
        heartbeat_watch: HeartbeatWatch,
        leader_processes: LeaderProcesses,
        log: NodeLog,
    ) -> None:
        self._ip = ip
        self._incarnation = incarnation
        self._store = store
        self._registry = registry
        self._registration = registration
        self._leadership = leadership
        self._heartbeat_watch = heartbeat_watch
        self._leader_processes = leader_processes
        self._log = log
        # When the store is next asked whether the leader is alive.
        self._check_at = 0.0
        # Newest epoch the store refused; without it, attempts would start below it again.
        self._refused_epoch = 0

    async def is_leader_lost(self, now: float) -> bool:
        """Return whether the store shows that the leader's heartbeat has stopped. The
        store is not asked again before that can be so."""
        if now < self._check_at:
            return False
        known = await self._registry.read()
        if isinstance(known, StoreUnavailable):
            self._check_at = now + LEADER_CHECK_INTERVAL_S
            return False
        left_s = (
            HEARTBEAT_TIMEOUT_S
            + self._leadership.stagger_s(now)
            - self._heartbeat_watch.age_s(known)
        )
        self._check_at = time.monotonic() + max(LEADER_CHECK_INTERVAL_S, left_s)
        return left_s <= 0.0

    async def claim(self, is_stopping: t.Callable[[], bool]) -> Claimed | None:
        """Claim an epoch; returns ``None`` if that failed (logged), or if another process
        has taken over.

        :param is_stopping: returns whether this process must not lead any more.
        """
        known = await self._registry.read()
        if isinstance(known, StoreUnavailable):
            self._log.event("take_over_failed", reason=known.reason)
            return None
        epoch_before = self._leadership.epoch
        self._registration.apply(known)
        self._leader_processes.record_registry(known.leader)
        if self._leadership.epoch > epoch_before:
            # Another process has taken over first and will report, now that it is known.
            return None
        newest_known = max(known.leader.epoch, self._leadership.epoch)
        previous = max(newest_known, self._refused_epoch)
        for _ in range(MAX_CLAIM_ATTEMPTS):
            if is_stopping():
                return None
            epoch = next_epoch(previous, self._ip)
            outcome = await take_over(self._store, epoch, self._incarnation)
            if isinstance(outcome, StoreUnavailable):
                self._log.event("take_over_failed", reason=outcome.reason)
                return None
            if isinstance(outcome, EpochClaim):
                claim = outcome._replace(newest_known=newest_known)
                return Claimed(claim, known.failures)
            previous = self._refused_epoch = epoch
        self._log.event("take_over_failed", reason="fenced", epoch=previous)
        return None
