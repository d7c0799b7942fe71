"""Registration of a process in the store, and what it learns there of the others."""

import time
import typing as t

import anyio

from .interfaces import StoreUnavailable
from .leadership import Leadership
from .membership import Membership
from .messages import Member
from .nodelog import NodeLog
from .registry import HeartbeatWatch
from .registry import NodeEntry
from .registry import Registry
from .registry import RegistryEntries

__all__ = ["Registration"]

RETRY_INTERVAL_S: t.Final = 0.2
# Rereads find processes that registered during the first read or since the others left.
REREAD_INTERVAL_S: t.Final = 2.0


class Registration:
    """Registers one process, and applies the registry's entries.

    :param me: this process.
    """

    def __init__(
        self,
        registry: Registry,
        me: Member,
        membership: Membership,
        leadership: Leadership,
        heartbeat_watch: HeartbeatWatch,
        log: NodeLog,
    ) -> None:
        self._registry = registry
        self._me = me
        self._membership = membership
        self._leadership = leadership
        self._heartbeat_watch = heartbeat_watch
        self._log = log
        self._done = False
        # Keys of unreadable entries, as of the last read: each is logged once.
        self._unreadable: frozenset[str] = frozenset()

    @property
    def done(self) -> bool:
        """Whether this process is registered."""
        return self._done

    async def run(self) -> None:
        """Read the other processes from the store and register this one; then read them
        once more, and repeatedly while no other process reports."""
        entry = NodeEntry(self._me.address, self._me.hall, self._me.cores)
        while not self._done:
            self._done = await self._register(entry)
            if not self._done:
                await anyio.sleep(RETRY_INTERVAL_S)
        self._log.event("registered", peers=len(self._membership) - 1)
        await self._reread()

    async def _register(self, entry: NodeEntry) -> bool:
        known = await self._registry.read()
        if isinstance(known, StoreUnavailable):
            return False
        self.apply(known)
        self._heartbeat_watch.age_s(known)
        node = self._me.node
        return known.nodes.get(node) == entry or await self._registry.register(
            node, entry
        )

    async def _reread(self) -> None:
        first = True
        while True:
            await anyio.sleep(REREAD_INTERVAL_S)
            if not first and not self._leadership.is_isolated(time.monotonic()):
                continue
            known = await self._registry.read()
            if not isinstance(known, StoreUnavailable):
                first = False
                self._apply_members(known)

    def apply(self, known: RegistryEntries) -> None:
        """Apply all entries."""
        self._apply_members(known)
        if known.leader.epoch:
            now = time.monotonic()
            self._leadership.record_leader(known.leader.epoch, known.leader.node, now)

    def _apply_members(self, known: RegistryEntries) -> None:
        for key in known.unreadable:
            if key not in self._unreadable:
                self._log.event("entry_unreadable", key=key)
        self._unreadable = frozenset(known.unreadable)
        for node, other in known.nodes.items():
            member = Member(node, other.address, other.hall, other.cores)
            self._membership.add_registered(member)
