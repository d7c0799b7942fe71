"""Cluster membership: the known processes, the relays among them, and the targets that
this process reports to.

Each relay reports to all relays. Every other process reports to one relay of its data
hall, which tells it who the leader is. The messages of a process thus grow with the
number of relays, which hardly grows with the deployment. With all-to-all reporting, 97
processes used 0.10 of a core each for it on average, nine tenths of all they used."""

import math
import typing as t
import zlib

from .messages import Member

__all__ = ["Membership"]

# Minimum over all data halls: up to a dozen processes report to each other directly, and
# a majority of the relays is meaningful. Beyond 144 processes the number of relays is
# the square root of the number of processes, where the traffic between relays and the
# reports that each relay forwards cost about the same.
MIN_RELAYS: t.Final = 12
# A data hall stays connected when one of its relays dies.
MIN_RELAYS_PER_HALL: t.Final = 2
# A relay that another relay has not heard for this long is replaced: three missed
# reports.
RELAY_TIMEOUT_S: t.Final = 1.3
# The same for the relay that a non-relay reports to and hears every 0.2 s. It must find
# a new relay before it considers the leader lost, after 0.8 s.
UPSTREAM_TIMEOUT_S: t.Final = 0.5
# After its relay fell silent, a non-relay reports to this many relays for this time:
# others may have died with it.
FALLBACK_DURATION_S: t.Final = 2.0
FALLBACK_UPSTREAMS: t.Final = 3
# Subscribers renew their subscription every second.
SUBSCRIPTION_TIMEOUT_S: t.Final = 2.5
# A process that fell silent is a relay candidate again if others hear it this much later.
SILENT_RETRY_DELAY_S: t.Final = 2.0
# A process that has been silent for this long is expired: it is no relay any more and is
# only probed at an interval. It is remembered beyond a network cut of minutes between
# data halls.
EXPIRY_TIMEOUT_S: t.Final = 30.0
EXPIRED_PROBE_INTERVAL_S: t.Final = 2.0
EXPIRED_RETENTION_S: t.Final = 1800.0


class Membership:
    """Tracks the processes of a deployment as one of them knows them. Times are in
    seconds on the steady clock.

    :param me: this process.
    """

    def __init__(self, me: Member) -> None:
        self._me = me
        self._members: dict[str, Member] = {me.node: me}
        # Target -> when it last reported or became a target.
        self._last_report_at: dict[str, float] = {}
        # Target -> when its silence was detected.
        self._silent_since: dict[str, float] = {}
        # Process -> its entry and when it expired.
        self._expired: dict[str, tuple[Member, float]] = {}
        self._expired_probed_at = 0.0
        self._cut_off = False
        # Subscriber -> when it last subscribed.
        self._subscribed_at: dict[str, float] = {}
        self._relays: frozenset[str] = frozenset()
        self._live_relays: tuple[str, ...] = ()
        self._targets: tuple[str, ...] = ()
        self._relaying = True
        self._leading = False
        self._leader = ""
        # When a target last fell silent.
        self._silence_detected_at = -1e9
        # Whether relays and targets must be selected again.
        self._stale = True

    @property
    def me(self) -> Member:
        """This process."""
        return self._me

    @property
    def relaying(self) -> bool:
        """Whether this process is a relay."""
        return self._relaying

    @property
    def relays(self) -> frozenset[str]:
        """All relays except this process, including silent ones."""
        return self._relays

    @property
    def targets(self) -> tuple[str, ...]:
        """The processes that this process reports to without their subscription."""
        return self._targets

    @property
    def cut_off(self) -> bool:
        """Whether other data halls are known and all relays there are silent."""
        return self._cut_off

    def roster(self) -> tuple[Member, ...]:
        """Return the relays that are not silent, and this process, sorted by name."""
        nodes = {*self._live_relays, self._me.node}
        return tuple(self._members[node] for node in sorted(nodes))

    def find(self, node: str) -> Member | None:
        """Return a process by its name, even if expired; ``None`` if unknown."""
        if node in self._expired:
            return self._expired[node][0]
        return self._members.get(node)

    def __len__(self) -> int:
        return len(self._members)

    def add_registered(self, member: Member) -> None:
        """Add a process that is registered in the store, unless it has expired."""
        if member.node not in self._expired:
            self._add(member)

    def record_indirect_report(self, member: Member, now: float) -> None:
        """Record that another process lists ``member`` as a relay that it hears."""
        self._expired.pop(member.node, None)
        self._add(member)
        silent_since = self._silent_since.get(member.node)
        if silent_since is not None and now - silent_since > SILENT_RETRY_DELAY_S:
            del self._silent_since[member.node]
            self._stale = True

    def confirm_leader(self, node: str) -> None:
        """Record that another process reports ``node`` as the leader, so that it has
        not expired."""
        if node in self._expired:
            self._add(self._expired.pop(node)[0])

    def record_report(self, member: Member, now: float) -> None:
        """Record a report that ``member`` sent itself."""
        self._expired.pop(member.node, None)
        self._add(member)
        if member.node in self._last_report_at:
            self._last_report_at[member.node] = now
        if self._silent_since.pop(member.node, None) is not None:
            self._stale = True

    def _add(self, member: Member) -> None:
        if member.node != self._me.node and self._members.get(member.node) != member:
            self._members[member.node] = member
            self._stale = True

    def add_subscriber(self, node: str, now: float) -> bool:
        """Start or renew the subscription of ``node`` to reports; return whether it had
        none."""
        new = now - self._subscribed_at.get(node, -1e9) > SUBSCRIPTION_TIMEOUT_S
        self._subscribed_at[node] = now
        return new

    def subscribers(self, now: float) -> list[str]:
        """Return the subscribers that are no targets, and drop lapsed subscriptions."""
        for node, since in list(self._subscribed_at.items()):
            if now - since > SUBSCRIPTION_TIMEOUT_S:
                del self._subscribed_at[node]
        return [node for node in self._subscribed_at if node not in self._targets]

    def update(self, leading: bool, leader: str, now: float) -> None:
        """Detect silent targets and choose relays and targets again if needed; to be
        called several times a second.

        :param leading: whether this process is the leader, which is always a relay.
        :param leader: the known leader or an empty string; relays report to it directly.
        """
        if (leading, leader) != (self._leading, self._leader):
            self._leading, self._leader = leading, leader
            self._stale = True
        timeout_s = RELAY_TIMEOUT_S if self._relaying else UPSTREAM_TIMEOUT_S
        for node, since in self._last_report_at.items():
            if now - since > timeout_s and node not in self._silent_since:
                self._silent_since[node] = self._silence_detected_at = now
                self._stale = True
        for node, since in list(self._silent_since.items()):
            if now - since > EXPIRY_TIMEOUT_S:
                self._expire(node, now)
        uses_fallback = len(self._targets) > 1 and not self._relaying
        if self._stale or (
            uses_fallback and now - self._silence_detected_at > FALLBACK_DURATION_S
        ):
            self._select_targets(now)

    def _expire(self, node: str, now: float) -> None:
        del self._silent_since[node]
        member = self._members.pop(node, None)
        if member is not None:
            self._expired[node] = (member, now)
        self._stale = True

    def expired_to_probe(self, now: float) -> tuple[str, ...]:
        """Return the expired processes to report to now, or none between two probes.
        Without probes, the two sides of a long network cut never find each other
        again."""
        if (
            not self._expired
            or now - self._expired_probed_at < EXPIRED_PROBE_INTERVAL_S
        ):
            return ()
        self._expired_probed_at = now
        for node, (_, since) in list(self._expired.items()):
            if now - since > EXPIRED_RETENTION_S:
                del self._expired[node]
        return tuple(self._expired)

    def _select_targets(self, now: float) -> None:
        self._stale = False
        nominal, live = self._ranked_relays()
        relays = {*nominal, *live}
        self._relaying = self._leading or self._me.node in relays
        relays.discard(self._me.node)
        self._relays = frozenset(relays)
        others = [
            *self._members.values(),
            *(member for member, _ in self._expired.values()),
        ]
        knows_other_halls = any(member.hall != self._me.hall for member in others)
        hears_other_halls = any(
            self._members[node].hall != self._me.hall for node in live
        )
        self._cut_off = knows_other_halls and not hears_other_halls
        self._live_relays = tuple(node for node in live if node != self._me.node)
        if self._relaying:
            leader = {self._leader} & self._members.keys() - {self._me.node}
            self._targets = tuple(sorted(relays | leader))
        else:
            self._targets = self._select_upstreams(now)
        self._last_report_at = {
            node: self._last_report_at.get(node, now) for node in self._targets
        }

    def _ranked_relays(self) -> tuple[list[str], list[str]]:
        """Return the relays as if no process were silent, and the relays among those that
        are not. Relays report to the former too: without this, both sides of a network
        cut would wait for the other to report first."""
        halls: dict[str, list[Member]] = {}
        for member in self._members.values():
            halls.setdefault(member.hall, []).append(member)
        min_relays = max(MIN_RELAYS, math.isqrt(len(self._members)))
        relays_per_hall = max(MIN_RELAYS_PER_HALL, math.ceil(min_relays / len(halls)))
        nominal: list[str] = []
        live: list[str] = []
        for members in halls.values():
            members.sort(key=lambda member: (-member.cores, member.node))
            names = [member.node for member in members]
            nominal += names[:relays_per_hall]
            live += [node for node in names if node not in self._silent_since][
                :relays_per_hall
            ]
        return nominal, live

    def _select_upstreams(self, now: float) -> tuple[str, ...]:
        """Return the relay to report to, or several after one fell silent."""
        local_relays: list[str] = []
        remote_relays: list[str] = []
        for node in self._live_relays:
            same_hall = self._members[node].hall == self._me.hall
            (local_relays if same_hall else remote_relays).append(node)
        ordered = sorted(local_relays, key=self._relay_hash) + sorted(
            remote_relays, key=self._relay_hash
        )
        if not ordered:
            return tuple(sorted(self._relays))
        uses_fallback = now - self._silence_detected_at <= FALLBACK_DURATION_S
        return tuple(ordered[: FALLBACK_UPSTREAMS if uses_fallback else 1])

    def _relay_hash(self, relay: str) -> int:
        """Return a sort key of a relay that differs between processes, so that the load
        spreads over the relays."""
        return zlib.crc32(f"{self._me.node} {relay}".encode())
