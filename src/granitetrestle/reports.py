"""What a process tells the others about itself, whom, and when. Pure: :mod:`.node`
sends what comes out, a test carries it through a model of the network."""

import typing as t

from .leadership import Leadership
from .membership import Membership
from .messages import Member
from .messages import NodeStatus

__all__ = ["OwnState", "Report", "Reports"]

# The decider's rhythm decides how soon its silence is noticed.
LEADER_REPORT_INTERVAL_S: t.Final = 0.2
RELAY_REPORT_INTERVAL_S: t.Final = 0.4
# A process that is no relay only has to stay subscribed.
SUBSCRIBE_INTERVAL_S: t.Final = 1.0
# The relays change when processes come and go; who knows them only from one that is
# gone has nobody to turn to.
ROSTER_REQUEST_INTERVAL_S: t.Final = 5.0
# What a relay passes on at most so often, unless somebody new decides; and by how much
# fresher its news of the decider must be: the same report comes from several sides.
MIN_RELAY_INTERVAL_S: t.Final = 0.1
MIN_FRESHNESS_GAIN_S: t.Final = 0.15
# Half of the rhythm at which reports are considered, so that none waits a turn longer.
INTERVAL_TOLERANCE_S: t.Final = 0.05


class OwnState(t.NamedTuple):
    """What a process knows of itself.

    :param leading: whether it decides, and can answer.
    :param store_ok: whether the store answered it of late, or was not asked.
    :param ready: whether it may take over.
    :param taking_over: whether it is about to decide.
    """

    leading: bool
    store_ok: bool
    ready: bool
    taking_over: bool


class Report(t.NamedTuple):
    """A status, and the names of those that it goes to."""

    to: tuple[str, ...]
    status: NodeStatus


class Reports:
    """Keeps the processes of a deployment informed of each other.

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
        self._unsent: set[str] = set()
        self._reported_address = ("", "")
        self._targets: tuple[str, ...] = ()

    @property
    def leader_address(self) -> str:
        """Where the decider's peers reach it; empty if that is not known."""
        leader = self.leadership.leader
        member = self.membership.find(leader)
        if member is not None:
            return member.address
        return self._reported_address[1] if self._reported_address[0] == leader else ""

    def record_report(
        self, status: NodeStatus, own: OwnState, now: float
    ) -> list[Report]:
        """Take up a report; returns what must be said at once."""
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
        """Tell those who follow this process that the decider was heard."""
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
        gone = self.membership.expired_to_probe(now)
        if gone and relaying:
            reports.append(Report(gone, self._status(own, now, True, True)))
        interval_s = SUBSCRIBE_INTERVAL_S
        if own.leading:
            interval_s = LEADER_REPORT_INTERVAL_S
        elif relaying:
            interval_s = RELAY_REPORT_INTERVAL_S
        new = self.membership.targets != self._targets
        if new or now - self._reported_at >= interval_s - INTERVAL_TOLERANCE_S:
            reports += self.to_all(own, now)
        if now - self._relayed_at >= RELAY_REPORT_INTERVAL_S - INTERVAL_TOLERANCE_S:
            # A relay that says nothing would be taken for dead when the decider is.
            reports += self._relay_report(own, now)
        return reports

    def to_all(self, own: OwnState, now: float) -> list[Report]:
        """Report to everybody whom this process reports to, now."""
        self._targets = self.membership.targets
        self._reported_at = now
        ask = now - self._asked_members_at > ROSTER_REQUEST_INTERVAL_S
        if ask:
            self._asked_members_at = now
        status = self._status(own, now, subscribes=True, asks_members=ask)
        reports = [Report(self._targets, status)]
        return reports + self._relay_report(own, now) if own.leading else reports

    def record_unsent(self, node: str) -> None:
        """Note that the connection to ``node`` was not open yet: a report goes there as
        soon as :meth:`due` is called again."""
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
        )
