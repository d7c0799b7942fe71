"""Status reports between processes: their content, receivers and schedule.

This module does no input or output: :mod:`.node` sends the reports, and tests carry them
through a model of the network."""

import typing as t

from .leadership import Leadership
from .membership import Membership
from .messages import Member
from .messages import NodeStatus

__all__ = ["OwnState", "Report", "Reports"]

# The interval of the leader determines how soon its silence is detected.
LEADER_REPORT_INTERVAL_S: t.Final = 0.2
RELAY_REPORT_INTERVAL_S: t.Final = 0.4
# A process that is no relay only has to renew its subscription.
SUBSCRIBE_INTERVAL_S: t.Final = 1.0
# The relays change as processes join and leave. Without regular requests, a process that
# learned of the relays only from one that has left has none to report to.
ROSTER_REQUEST_INTERVAL_S: t.Final = 5.0
# A relay passes leader reports on no more often than this, unless the leader is new, and
# only if they are this much fresher: the same report arrives by several paths.
MIN_RELAY_INTERVAL_S: t.Final = 0.1
MIN_FRESHNESS_GAIN_S: t.Final = 0.15
# Half of the tick at which due reports are checked, so that none waits a further tick.
INTERVAL_TOLERANCE_S: t.Final = 0.05


class OwnState(t.NamedTuple):
    """The state of a process that goes into its own reports.

    :param leading: whether it is the leader and can answer requests.
    :param store_ok: whether the store answered its last calls, or none was made.
    :param ready: whether it may take over.
    :param taking_over: whether it is claiming an epoch or not serving in it yet.
    """

    leading: bool
    store_ok: bool
    ready: bool
    taking_over: bool


class Report(t.NamedTuple):
    """A status and the names of its receivers."""

    to: tuple[str, ...]
    status: NodeStatus


class Reports:
    """Produces the status reports of one process and records those it receives.

    :param me: this process.
    :param now: seconds on the steady clock, as in all calls.
    :param jitter: 0 to 1, different in each process.
    """

    def __init__(self, me: Member, now: float, jitter: float) -> None:
        self.membership = Membership(me)
        self.leadership = Leadership(me.node, now, jitter, me.hall)
        self._me = me
        self._reported_at = -1e9
        self._relayed_at = -1e9
        self._relayed_leader_heard_at = -1e9
        self._asked_members_at = -1e9
        # Processes to which the connection was not open yet.
        self._unsent: set[str] = set()
        # The leader and its address as peers last reported them.
        self._reported_address = ("", "")
        self._targets: tuple[str, ...] = ()

    @property
    def leader_address(self) -> str:
        """IP:PORT at which peers reach the leader; empty if not known."""
        leader = self.leadership.leader
        member = self.membership.find(leader)
        if member is not None:
            return member.address
        return self._reported_address[1] if self._reported_address[0] == leader else ""

    def record_report(
        self, status: NodeStatus, own: OwnState, now: float
    ) -> list[Report]:
        """Record a report of another process; return the reports to send at once."""
        self.membership.record_report(status.member, now)
        for member in status.members:
            self.membership.record_indirect_report(member, now)
        before = self.leadership.newest_leader_report
        self.leadership.record_report(status, now)
        if status.leader == self.leadership.leader and status.leader_address:
            self._reported_address = (status.leader, status.leader_address)
            self.membership.confirm_leader(status.leader)
        reports = []
        new = status.subscribes and self.membership.add_subscriber(status.node, now)
        if new or status.asks_members:
            answer = self._status(own, now, members=status.asks_members)
            reports.append(Report((status.node,), answer))
        epoch, heard_at = self.leadership.newest_leader_report
        if epoch > before[0]:
            self._relayed_at = -1e9
        if (
            epoch > before[0]
            or heard_at - self._relayed_leader_heard_at > MIN_FRESHNESS_GAIN_S
        ):
            reports += self._relay_report(own, now)
        return reports

    def _relay_report(self, own: OwnState, now: float) -> list[Report]:
        """Return a report to the subscribers on the leader's newest report, unless the
        last one was too recent."""
        if now - self._relayed_at < MIN_RELAY_INTERVAL_S:
            return []
        to = tuple(self.membership.subscribers(now))
        if not to:
            return []
        self._relayed_at = now
        self._relayed_leader_heard_at = self.leadership.newest_leader_report[1]
        return [Report(to, self._status(own, now))]

    def due(self, own: OwnState, now: float) -> list[Report]:
        """Return the reports that are due; to be called several times a second."""
        self.membership.update(own.leading, self.leadership.leader, now)
        relaying = self.membership.relaying
        self.leadership.set_relays(
            self.membership.relays, relaying, self.membership.cut_off
        )
        self.leadership.update_majority(now)
        reports = self._retry_unsent(own, now)
        expired = self.membership.expired_to_probe(now)
        if expired and relaying:
            reports.append(Report(expired, self._status(own, now, True, True)))
        interval_s = SUBSCRIBE_INTERVAL_S
        if own.leading or self.leadership.leader == self._me.node:
            # One that takes over is silent for the others after the same time.
            interval_s = LEADER_REPORT_INTERVAL_S
        elif relaying:
            interval_s = RELAY_REPORT_INTERVAL_S
        new = self.membership.targets != self._targets
        if new or now - self._reported_at >= interval_s - INTERVAL_TOLERANCE_S:
            reports += self.to_all(own, now)
        if now - self._relayed_at >= RELAY_REPORT_INTERVAL_S - INTERVAL_TOLERANCE_S:
            # Without this, subscribers would take the relay for dead when the leader is.
            reports += self._relay_report(own, now)
        return reports

    def to_all(self, own: OwnState, now: float) -> list[Report]:
        """Return reports to all targets, and to the subscribers if this process leads."""
        self._targets = self.membership.targets
        self._reported_at = now
        ask = now - self._asked_members_at > ROSTER_REQUEST_INTERVAL_S
        if ask:
            self._asked_members_at = now
        status = self._status(own, now, subscribes=True, asks_members=ask)
        reports = [Report(self._targets, status)]
        return reports + self._relay_report(own, now) if own.leading else reports

    def record_unsent(self, node: str) -> None:
        """Record that the connection to ``node`` was not open yet. The next call of
        :meth:`due` returns a report to it."""
        self._unsent.add(node)

    def _retry_unsent(self, own: OwnState, now: float) -> list[Report]:
        unsent_nodes, self._unsent = self._unsent, set()
        reports = []
        for is_target in (True, False):
            to = tuple(
                node for node in unsent_nodes if (node in self._targets) == is_target
            )
            if to:
                status = self._status(
                    own, now, subscribes=is_target, asks_members=is_target
                )
                reports.append(Report(to, status))
        return reports

    def _status(
        self,
        own: OwnState,
        now: float,
        subscribes: bool = False,
        asks_members: bool = False,
        members: bool = False,
    ) -> NodeStatus:
        leadership = self.leadership
        age_s = leadership.leader_report_age_s(now)
        return NodeStatus(
            node=self._me.node,
            address=self._me.address,
            hall=self._me.hall,
            epoch=leadership.epoch,
            leader=leadership.leader,
            store_ok=own.store_ok,
            ready=own.ready,
            cores=self._me.cores,
            successors=leadership.rank_successors(now) if own.leading else (),
            taking_over=own.taking_over or leadership.has_pending_attempt(now),
            leader_age_ms=None if age_s is None else int(age_s * 1000),
            leader_address=self.leader_address,
            subscribes=subscribes,
            asks_members=asks_members,
            members=self.membership.roster() if members else (),
            leader_taking_over=leadership.leader_taking_over,
        )
