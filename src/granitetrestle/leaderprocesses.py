"""Which processes have led, and which of them have ended.

A leader that is gone may just as well be cut off and still renew leases of boxes. Only
when another process answers at its address, it has ended for certain: two processes
can't listen at one address."""

import typing as t

from .messages import Member
from .messages import NodeStatus
from .registry import LeaderEntry

__all__ = ["LeaderProcesses"]

# A successor asks only about the leader before it.
MAX_REMEMBERED_EPOCHS: t.Final = 16


class _Process(t.NamedTuple):
    """A process that has reported as the leader of an epoch."""

    node: str
    incarnation: str
    address: str


class LeaderProcesses:
    """Learns from status reports which leaders' processes have ended.

    :param me: this process.
    :param incarnation: its incarnation.
    """

    def __init__(self, me: Member, incarnation: str) -> None:
        self._me = _Process(me.node, incarnation, me.address)
        self._by_epoch: dict[int, _Process] = {}
        self._ended: set[int] = set()

    @property
    def ended_epochs(self) -> t.Collection[int]:
        """Epochs whose leader's process has ended."""
        return self._ended

    def record_report(self, status: NodeStatus, incarnation: str) -> list[int]:
        """Record a report of another process.

        :param incarnation: the sender's, which differs from that of each process that
            ran under its name before.
        :returns: epochs whose leader's process is now known to have ended.
        """
        sender = _Process(status.node, incarnation, status.address)
        ended = [
            epoch
            for epoch, leader in self._by_epoch.items()
            if epoch not in self._ended and _has_replaced(sender, status, leader, epoch)
        ]
        self._ended.update(ended)
        if status.leader == status.node and status.epoch:
            self._by_epoch.setdefault(status.epoch, sender)
            self._forget_old_epochs()
        return ended

    def record_registry(self, leader: LeaderEntry) -> None:
        """Record the leader that the registry names. A process that has never heard the
        leader itself learns only there which incarnation led."""
        if leader.incarnation:
            process = _Process(leader.node, leader.incarnation, leader.address)
            self._by_epoch.setdefault(leader.epoch, process)
            if _is_later_incarnation(self._me, process):
                self._ended.add(leader.epoch)
            self._forget_old_epochs()

    def _forget_old_epochs(self) -> None:
        for epoch in sorted(self._by_epoch)[:-MAX_REMEMBERED_EPOCHS]:
            del self._by_epoch[epoch]
            self._ended.discard(epoch)


def _has_replaced(
    sender: _Process, status: NodeStatus, leader: _Process, epoch: int
) -> bool:
    """Return whether the sender of a report has started after a leader's process.

    A report of a process that ran before the leader may arrive late. It names an older
    epoch, since that process ended before the leader's began."""
    return _is_later_incarnation(sender, leader) and status.epoch >= epoch


def _is_later_incarnation(process: _Process, leader: _Process) -> bool:
    """Return whether a process that runs after a leader was known has its name and its
    address, but is another one."""
    return (
        process.node == leader.node
        and process.address == leader.address
        and process.incarnation != leader.incarnation
    )
