"""Which processes there are, which of them relay reports, and whom this process
reports to. Each relay reports to all relays; every other process reports to one relay
of its data hall, which tells it who decides. What a process sends and receives so
grows with the relays, of which there are as many in a large deployment as in a small
one: with everybody reporting to everybody, 97 processes spent 0.10 of a core each on
it at the mean, nine tenths of all they spent (one day's processor time)."""

import math
import typing as t
import zlib

from .messages import Member

__all__ = ["Membership"]

# So many relays there are at least, over all halls: deployments of up to a dozen
# processes report to each other directly, and a majority of relays means something.
# Beyond 144 processes there are as many as the root of their number, where what relays
# say to each other and what each passes on cost about the same.
MIN_RELAYS: t.Final = 12
# A hall goes on when a relay of it dies.
MIN_RELAYS_PER_HALL: t.Final = 2
# A relay that has not answered another for so long is replaced: three reports missed.
RELAY_TIMEOUT_S: t.Final = 1.3
# The same for the relay of another process, which hears from it every 0.2 s: it must
# find a new one before it would take the decider for lost, after 0.8 s.
UPSTREAM_TIMEOUT_S: t.Final = 0.5
# After a relay fell silent, three are reported to for so long: others may have died
# with it.
FALLBACK_DURATION_S: t.Final = 2.0
FALLBACK_UPSTREAMS: t.Final = 3
# A process is reported to for so long after it asked for that; it asks every second.
SUBSCRIPTION_TIMEOUT_S: t.Final = 2.5
# One that fell silent is tried again if others hear it so long after.
SILENT_RETRY_DELAY_S: t.Final = 2.0
# One that was silent for so long counts as gone: it is no relay any more, and is only tried
# now and then. It is remembered for longer than a cut of minutes between halls.
EXPIRY_TIMEOUT_S: t.Final = 30.0
EXPIRED_PROBE_INTERVAL_S: t.Final = 2.0
EXPIRED_RETENTION_S: t.Final = 1800.0


class Membership:
    """The processes of a deployment as one of them sees them. Times are in seconds on
    the steady clock.

    :param me: this process.
    """

    def __init__(self, me: Member) -> None:
        self._me = me
        self._members: dict[str, Member] = {me.node: me}
        # Since when each target has been silent, or a target at all.
        self._last_report_at: dict[str, float] = {}
        self._silent_since: dict[str, float] = {}
        self._expired: dict[str, tuple[Member, float]] = {}
        self._expired_probed_at = 0.0
        self._cut_off = False
        self._subscribed_at: dict[str, float] = {}
        self._relays: frozenset[str] = frozenset()
        self._live_relays: tuple[str, ...] = ()
        self._targets: tuple[str, ...] = ()
        self._relaying = True
        self._leading = False
        self._leader = ""
        self._silence_detected_at = -1e9
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
        """All relays but this process, also those that are silent."""
        return self._relays

    @property
    def targets(self) -> tuple[str, ...]:
        """Whom this process reports to of its own accord."""
        return self._targets

    @property
    def cut_off(self) -> bool:
        """Whether other data halls are known and no relay there answers."""
        return self._cut_off

    def roster(self) -> tuple[Member, ...]:
        """Return the relays that are not silent, and this process."""
        named = {*self._live_relays, self._me.node}
        return tuple(self._members[node] for node in sorted(named))

    def find(self, node: str) -> Member | None:
        """Return a process by its name."""
        if node in self._expired:
            return self._expired[node][0]
        return self._members.get(node)

    def __len__(self) -> int:
        return len(self._members)

    def add_registered(self, member: Member) -> None:
        """Take up what the store tells of a process, perhaps one that is long gone."""
        if member.node not in self._expired:
            self._add(member)

    def record_indirect_report(self, member: Member, now: float) -> None:
        """Take up hearsay of a relay that is heard elsewhere."""
        self._expired.pop(member.node, None)
        self._add(member)
        silent_since = self._silent_since.get(member.node)
        if silent_since is not None and now - silent_since > SILENT_RETRY_DELAY_S:
            del self._silent_since[member.node]
            self._stale = True

    def confirm_leader(self, node: str) -> None:
        """Take up from another that ``node`` decides: it is not gone."""
        if node in self._expired:
            self._add(self._expired.pop(node)[0])

    def record_report(self, member: Member, now: float) -> None:
        """Note that a process reported itself."""
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
        """Report to ``node`` for a while; says whether that is new."""
        new = now - self._subscribed_at.get(node, -1e9) > SUBSCRIPTION_TIMEOUT_S
        self._subscribed_at[node] = now
        return new

    def subscribers(self, now: float) -> list[str]:
        """Return those who asked for reports and are no target."""
        for node, since in list(self._subscribed_at.items()):
            if now - since > SUBSCRIPTION_TIMEOUT_S:
                del self._subscribed_at[node]
        return [node for node in self._subscribed_at if node not in self._targets]

    def update(self, leading: bool, leader: str, now: float) -> None:
        """Take note of who has fallen silent; to be called several times a second.

        :param leading: whether this process decides; it is a relay then.
        :param leader: who decides, as far as is known; relays hear it themselves.
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
        uses_fallbacks = len(self._targets) > 1 and not self._relaying
        if self._stale or (
            uses_fallbacks and now - self._silence_detected_at > FALLBACK_DURATION_S
        ):
            self._select_targets(now)

    def _expire(self, node: str, now: float) -> None:
        del self._silent_since[node]
        member = self._members.pop(node, None)
        if member is not None:
            self._expired[node] = (member, now)
        self._stale = True

    def expired_to_probe(self, now: float) -> tuple[str, ...]:
        """Return who counts as gone and should be reported to all the same, now and
        then: after a long cut somebody must begin."""
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
        """Return the relays if none were silent, and those that are not. The first are
        reported to all the same: after a cut somebody must begin."""
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
        """Return the relay to report to, or some more after one fell silent."""
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
        uses_fallbacks = now - self._silence_detected_at <= FALLBACK_DURATION_S
        return tuple(ordered[: FALLBACK_UPSTREAMS if uses_fallbacks else 1])

    def _relay_hash(self, relay: str) -> int:
        """Return a rank of a relay that differs by process, so that each has its share."""
        return zlib.crc32(f"{self._me.node} {relay}".encode())
