"""Ownership of the shards of a data hall's boxes, and the owners' leases.

The owner of a shard follows from the hall's log stream alone: the lowest claim
that names the current epoch wins. There is no vote, and no service but the
platform's log is involved (see docs/ownership.md for the alternatives). Each
process measures its ownership lease by its own monotonic clock."""

import dataclasses
import math
import typing as t

from .records import Beat
from .records import LogRecord
from .records import Renewed
from .records import ShardClaimed
from .records import ShardReleased

__all__ = ["EarlierOwner", "Member", "Ownership", "OwnershipParameters", "ShardState"]


class OwnershipParameters(t.NamedTuple):
    """Durations in seconds.

    :param term_s: ownership lease; an owner may start work for this long after it
        sent a heartbeat that it has since read back from the log.
    :param clock_margin_s: allowance for clock rate and scheduling pauses.
    :param support_validity_s: how long a member that supports an owner will not
        claim its shard.
    :param owner_silence_timeout_s: silence of an owner after which a member that
        can read the log supports it no longer.
    :param member_timeout_s: silence after which a member is removed.
    """

    term_s: float = 2.5
    clock_margin_s: float = 0.3
    support_validity_s: float = 2.0
    owner_silence_timeout_s: float = 1.4
    member_timeout_s: float = 60.0


class EarlierOwner(t.NamedTuple):
    """An owner that lost its shard without releasing it, and may not know that yet.

    :param superseded_at: wall time (s) of the log at which another process's claim won;
        infinite if it is not known.
    """

    incarnation: str
    superseded_at: float


def _unknown_owners() -> dict[str, EarlierOwner]:
    # No process has an empty name, so none of these is ever seen replaced.
    return {"": EarlierOwner("", math.inf)}


@dataclasses.dataclass(slots=True)
class ShardState:
    """State of a shard, derived from a prefix of the log alone.

    :param earlier_owners: node -> its newest process that lost the shard without
        releasing it. Releases and claims of later owners prove nothing about it.
        Snapshots of older versions lack this, so the default stands for any owners.
    """

    epoch: int = 0
    holder: str = ""
    holder_incarnation: str = ""
    renewal: int = 0
    renewal_number: int = 0
    released: bool = True
    heir: str = ""
    earlier_owners: dict[str, EarlierOwner] = dataclasses.field(
        default_factory=_unknown_owners
    )


@dataclasses.dataclass(slots=True)
class Member:
    """A process of the hall and its newest renewal on the log.

    :param offset: of the record that holds the renewal.
    :param renewed_at: when this process read the renewal (monotonic seconds).
    """

    beat: Beat
    offset: int
    renewed_at: float


class Ownership:
    """The hall's shards and members, and this process's own ownership leases.

    :param node: this process's name.
    :param incarnation: differs each time a process starts.
    :param shards: how many shards the hall has.
    :param nodes: every process that the settings name for this hall; no other
        process can claim a shard.
    """

    def __init__(
        self,
        node: str,
        incarnation: str,
        shards: int,
        nodes: t.Collection[str],
        parameters: OwnershipParameters,
    ) -> None:
        self._node = node
        self._incarnation = incarnation
        self._parameters = parameters
        self._shards = {number: ShardState() for number in range(shards)}
        self._members: dict[str, Member] = {}
        self._heartbeats_sent_at: dict[int, float] = {}
        self._log_lease_starts_at = -1e18
        self._tail_read_at = -1e18
        self._tail_reads_since = 1e18
        self._acquisitions: dict[int, tuple[float, float]] = {}
        self._nodes = frozenset(nodes)
        self._support_granted_at: dict[int, float] = {}
        self._support: dict[int, dict[str, float]] = {}

    @property
    def shards(self) -> t.Mapping[int, ShardState]:
        """Shard number -> state derived from the log."""
        return self._shards

    @property
    def nodes(self) -> frozenset[str]:
        """Every process that the settings name for this hall."""
        return self._nodes

    @property
    def members(self) -> t.Mapping[str, Member]:
        """Node -> member with its newest renewal."""
        return self._members

    def record_heartbeat_sent(self, number: int, now: float) -> None:
        """Record when a heartbeat was sent, since the lease counts from then."""
        self._heartbeats_sent_at[number] = now
        for old in [n for n in self._heartbeats_sent_at if n < number - 64]:
            del self._heartbeats_sent_at[old]

    def record_tail_read(self, now: float) -> None:
        """Record a successful read up to the stream's end.

        Silence counts only while reads succeed: otherwise an outage of the
        platform would look like the failure of every owner.
        """
        if now - self._tail_read_at > self._parameters.term_s / 2:
            self._tail_reads_since = now
        self._tail_read_at = now

    def apply_renewed(self, offset: int, fact: Renewed, now: float) -> None:
        """Apply a record of renewals."""
        for beat in fact.beats:
            self._renew_shards(offset, beat)
            self._observe_member(offset, beat, now)

    def _renew_shards(self, offset: int, beat: Beat) -> None:
        # Uses the log alone: each process removes members by its own clock, while
        # every process must accept or reject the same claims.
        for shard in self._shards.values():
            held = shard.holder_incarnation == beat.incarnation
            if held and beat.number > shard.renewal_number:
                shard.renewal = offset
                shard.renewal_number = beat.number

    def _observe_member(self, offset: int, beat: Beat, now: float) -> None:
        known = self._members.get(beat.node)
        same_incarnation = (
            known is not None and known.beat.incarnation == beat.incarnation
        )
        if known is not None and same_incarnation and known.beat.number >= beat.number:
            return
        self._members[beat.node] = Member(beat, offset, now)
        if (
            beat.incarnation == self._incarnation
            and beat.number in self._heartbeats_sent_at
        ):
            self._log_lease_starts_at = max(
                self._log_lease_starts_at, self._heartbeats_sent_at[beat.number]
            )

    def apply_claim(self, record: LogRecord, fact: ShardClaimed, now: float) -> bool:
        """Apply a claim.

        :param record: the record that holds it.
        :returns: whether the claim won, which sets the epoch to the record's offset.
        """
        shard = self._shards.get(fact.shard)
        if shard is None or fact.previous_epoch != shard.epoch:
            return False
        if not shard.released and shard.renewal > fact.seen_renewal:
            return False
        self._support.pop(fact.shard, None)
        if fact.incarnation == self._incarnation:
            self._acquisitions[fact.shard] = (
                now,
                self._predecessor_quiesced_at(shard, now),
            )
        self._shards[fact.shard] = ShardState(
            epoch=record.offset,
            holder=fact.node,
            holder_incarnation=fact.incarnation,
            renewal=record.offset,
            released=False,
            earlier_owners=_earlier_owners(shard, fact.node, record.at),
        )
        return True

    def _predecessor_quiesced_at(self, previous: ShardState, now: float) -> float:
        """Return the time after which the previous owner starts no more work."""
        if previous.epoch == 0 or previous.released:
            return now
        member = self._members.get(previous.holder)
        if member is None or member.beat.incarnation != previous.holder_incarnation:
            return now + self._parameters.term_s + self._parameters.clock_margin_s
        return max(
            now,
            member.renewed_at
            + self._parameters.term_s
            + self._parameters.clock_margin_s,
        )

    def apply_released(self, offset: int, fact: ShardReleased) -> bool:
        """Apply a release.

        :returns: whether it named the current epoch and took effect.
        """
        shard = self._shards.get(fact.shard)
        if shard is None or fact.epoch != shard.epoch:
            return False
        shard.released = True
        shard.heir = fact.heir
        shard.renewal = offset
        return True

    def owned(self) -> list[int]:
        """Return the shards that this process owns."""
        return [
            number
            for number, shard in self._shards.items()
            if shard.holder_incarnation == self._incarnation and not shard.released
        ]

    def log_lease_ends_at(self) -> float:
        """Return when the lease from log renewals ends (monotonic seconds)."""
        return self._log_lease_starts_at + self._parameters.term_s

    def may_start(self, shard: int, now: float) -> bool:
        """Return whether this process may start new work in ``shard`` now."""
        return now < self.lease_ends_at(shard, now)

    def lease_ends_at(self, shard: int, now: float) -> float:
        """Return until when this process may start new work in ``shard``.

        That is the later of two ends: that of the lease from log renewals, and
        that of the support of all other processes of the hall, which have
        promised not to claim. Support keeps an owner working when the log is
        unreachable. In monotonic seconds.
        """
        state = self._shards[shard]
        acquisition = self._acquisitions.get(shard)
        if state.holder_incarnation != self._incarnation or state.released:
            return -1e18
        if acquisition is None or now < acquisition[1]:
            return -1e18
        return max(self.log_lease_ends_at(), self._support_ends(shard))

    def _support_ends(self, shard: int) -> float:
        support = self._support.get(shard, {})
        others = self._nodes - {self._node}
        if not others <= support.keys():
            return -1e18
        since = min((support[node] for node in others), default=-1e18)
        return (
            since
            + self._parameters.support_validity_s
            - self._parameters.clock_margin_s
        )

    def record_support(self, shard: int, node: str, since: float) -> None:
        """Record a member's promise not to claim, made no earlier than ``since``."""
        known = self._support.setdefault(shard, {})
        known[node] = max(since, known.get(node, -1e18))

    def log_is_stale(self, now: float) -> bool:
        """Return whether the last read of the log's tail is too long ago."""
        return now - self._tail_read_at > self._parameters.owner_silence_timeout_s

    def grant_support(self, shard: int, now: float) -> bool:
        """Promise not to claim ``shard`` for a while, unless its owner is silent.

        A member that reads the log and finds no recent renewal of the owner
        stops supporting it. A member that can't read the log could not claim
        anyway, so it always supports the owner.

        :returns: whether support was granted.
        """
        state = self._shards[shard]
        member = self._members.get(state.holder)
        renewed_recently = member is not None and (
            member.beat.incarnation == state.holder_incarnation
            and now - member.renewed_at < self._parameters.owner_silence_timeout_s
        )
        if not self.log_is_stale(now) and not renewed_recently:
            return False
        self._support_granted_at[shard] = now
        return True

    def predecessor_quiesced_at(self, shard: int) -> float:
        """Return the time after which the previous owner sends no more starts."""
        return self._acquisitions.get(shard, (0.0, 0.0))[1]

    def superseded_at(self, shard: int) -> float:
        """Return when the last earlier owner lost ``shard`` that may not know it yet.

        Owners that have released it are left out, as are those whose process has
        provably been replaced: the platform never runs two processes under one node's
        name. In wall time (s) of the log; minus infinity if no owner is left.
        """
        return max(
            (
                owner.superseded_at
                for node, owner in self._shards[shard].earlier_owners.items()
                if not self._was_replaced(node, owner.incarnation)
            ),
            default=-math.inf,
        )

    def _was_replaced(self, node: str, incarnation: str) -> bool:
        member = self._members.get(node)
        return member is not None and member.beat.incarnation != incarnation

    def live_members(self, now: float) -> list[str]:
        """Return the members that renewed within a lease and its margin, sorted.

        For choosing among members only: processes may disagree on it.
        """
        limit = self._parameters.term_s + self._parameters.clock_margin_s
        return sorted(
            name
            for name, member in self._members.items()
            if now - member.renewed_at < limit and not member.beat.stopping
        )

    def aggregator(self, now: float) -> str:
        """Return the member that appends the hall's heartbeats to the log."""
        live = self.live_members(now)
        return live[0] if live else self._node

    def claims_due(self, now: float) -> list[ShardClaimed]:
        """Return the claims that this process should append now."""
        return [
            ShardClaimed(
                shard=number,
                previous_epoch=shard.epoch,
                seen_renewal=shard.renewal,
                node=self._node,
                incarnation=self._incarnation,
            )
            for number, shard in self._shards.items()
            if self._is_claimable(number, now)
            and self._preferred_claimant(number, now) == self._node
        ]

    def _is_claimable(self, number: int, now: float) -> bool:
        shard = self._shards[number]
        if shard.released:
            return True
        if (
            now
            < self._support_granted_at.get(number, -1e18)
            + self._parameters.support_validity_s
        ):
            return False
        limit = self._parameters.term_s + self._parameters.clock_margin_s
        if now - self._tail_read_at > limit or now - self._tail_reads_since < limit:
            return False
        member = self._members.get(shard.holder)
        if member is None or member.beat.incarnation != shard.holder_incarnation:
            return True
        return now - member.renewed_at >= limit

    def _preferred_claimant(self, number: int, now: float) -> str:
        """Return the live member that should claim a shard.

        The successor that a release names comes first. Otherwise shards are
        spread over the members that own the fewest, ties by name.
        """
        shard = self._shards[number]
        live = self.live_members(now)
        if shard.heir in live:
            return shard.heir
        if not live:
            return ""
        counts = dict.fromkeys(live, 0)
        for other in self._shards.values():
            if other.holder in counts and not other.released:
                counts[other.holder] += 1
        order = sorted(live, key=lambda name: (counts[name], name))
        claimable = [n for n in self._shards if self._is_claimable(n, now)]
        return order[claimable.index(number) % len(order)]

    def remove_silent_members(self, now: float) -> None:
        """Remove members without a renewal for ``member_timeout_s``."""
        for name, member in list(self._members.items()):
            if now - member.renewed_at > self._parameters.member_timeout_s:
                del self._members[name]

    def restore(self, shards: t.Mapping[int, ShardState]) -> None:
        """Restore shards from a snapshot; members are learned from new renewals."""
        self._members.clear()
        self._acquisitions.clear()
        self._support.clear()
        self._tail_read_at = -1e18
        for number in self._shards:
            self._shards[number] = shards.get(number, ShardState())


def _earlier_owners(
    previous: ShardState, claimant: str, at: float
) -> dict[str, EarlierOwner]:
    """Return the owners before a claim that may still renew leases.

    The claimant's node is left out: the process that claims has read of the end of its
    own epochs, and replaces any other of that name.

    :param previous: state of the shard before the claim.
    :param at: wall time (s) that the log assigned to the claim.
    """
    if not previous.epoch:
        return {}
    owners = {
        node: owner._replace(superseded_at=min(owner.superseded_at, at))
        for node, owner in previous.earlier_owners.items()
        if node != claimant
    }
    if not previous.released:
        owners[previous.holder] = EarlierOwner(previous.holder_incarnation, at)
    return owners
