"""Who decides for a shard. Safety does not rest on this: a decider is fenced by its
epoch at the store and at every box. What is chosen here is only when it is worth
taking over, so that one process does so soon and the others stay still."""

import collections
import math
import typing as t

from .messages import NodeStatus

__all__ = ["Leadership", "PeerView", "next_epoch"]

# The decider reports every 0.2 s; three reports missed, and some slack for a slow
# box, make it silent.
LEADER_SILENT_TIMEOUT_S: t.Final = 0.8
# A process that no peer reaches may itself be the one that is cut off.
PEER_SILENT_TIMEOUT_S: t.Final = 1.3
# Each next successor waits so much longer, enough for the one before to succeed.
SUCCESSOR_STAGGER_S: t.Final = 0.35
# A process that hears nobody can't tell how many wait as it does.
MAX_ISOLATED_DELAY_S: t.Final = 1.0
# A decider that the store refuses is given this long to find out for itself.
LEADER_STORE_LOST_TIMEOUT_S: t.Final = 0.4
# A process that is taking over is left this long, so that one on a slow store ends. Those
# after the next leave it so many times their patience longer: where nobody reaches the
# store, all would try again and again, and depose each other once it is back.
MIN_RIVAL_TIMEOUT_S: t.Final = 4.0
RIVAL_TIMEOUT_FACTOR: t.Final = 4.0
# Pause between two tries of one process; it counts as trying through the pause.
ATTEMPT_INTERVAL_S: t.Final = 0.7
ATTEMPT_TIMEOUT_S: t.Final = 1.2
# At the first start nobody knows a successor: processes start within 0.3 s of each
# other, and what they wait differs.
FIRST_TAKE_OVER_DELAY_S: t.Final = 0.6
# A process not heard for so long is no longer counted among those there are.
PEER_FORGET_TIMEOUT_S: t.Final = 60.0
# How long most must have been heard before their silence on a decider is believed;
# connections come back within a second of each other after a cut.
MIN_MAJORITY_DURATION_S: t.Final = 1.5
# A decider hands over to a box larger by this factor, once it has decided so long;
# reading all anew costs some tenths of a second.
HANDOVER_CORES_FACTOR: t.Final = 1.5
MIN_LEADING_BEFORE_HANDOVER_S: t.Final = 4.0
# A process that is no relay hears too little to judge who decides: it leaves the relays
# this long, and up to as much again by chance.
NON_RELAY_DELAY_S: t.Final = 3.0
# Successors that are named in each report; a few may be gone at once.
MAX_SUCCESSORS: t.Final = 6
ADDRESS_BITS: t.Final = 24


def next_epoch(previous: int, ip: str) -> int:
    """Return an epoch above ``previous`` that no other address would choose."""
    number = 0
    for part in ip.split("."):
        number = (number << 8) | int(part)
    address_bits = number & ((1 << ADDRESS_BITS) - 1)
    return (((previous >> ADDRESS_BITS) + 1) << ADDRESS_BITS) | address_bits


class PeerView:
    """What was last heard of another process."""

    __slots__ = ("heard_at", "status")

    def __init__(self, status: NodeStatus, heard_at: float) -> None:
        self.status = status
        self.heard_at = heard_at


class Leadership:
    """Follows the reports of all processes of a shard. Times are in seconds on the
    steady clock.

    :param hall: data hall of this process.
    """

    def __init__(self, node: str, now: float, jitter: float, hall: str = "") -> None:
        self._node = node
        self._hall = hall
        self._started = now
        self._jitter = jitter
        self._peers: dict[str, PeerView] = {}
        self._known_nodes: set[str] = set()
        # The relays, if not all processes are; whether this process is one of them.
        self._relays: frozenset[str] | None = None
        self._relaying = True
        self._cut_off = False
        self._epoch = 0
        self._leader = ""
        self._leader_reported_at = now
        self._leader_store_lost_at: float | None = None
        self._leading_since = now
        self._successors: tuple[str, ...] = ()
        self._attempted_at = -1e9
        self._attempt_pending = False
        self._handover_requested = False
        self._majority_reached_at: float | None = None
        # Whether the newest epoch known was that of an earlier life of this process.
        self._led_in_earlier_incarnation = False
        # The epoch that this life of the process has raised.
        self._claimed_epoch = 0

    @property
    def epoch(self) -> int:
        """The newest epoch known."""
        return self._epoch

    @property
    def leader(self) -> str:
        """Who decides in it; empty if not known."""
        return self._leader

    @property
    def newest_leader_report(self) -> tuple[int, float]:
        """The newest epoch, and when its decider spoke last, as far as is known."""
        return (self._epoch, self._leader_reported_at)

    @property
    def peers(self) -> t.Mapping[str, PeerView]:
        """Other processes heard of."""
        return self._peers

    def add_known_node(self, node: str) -> None:
        """Learn of a process that was never heard."""
        if node != self._node:
            self._known_nodes.add(node)

    def set_relays(
        self, relays: frozenset[str], relaying: bool, cut_off: bool = False
    ) -> None:
        """Learn who the relays are, this process left out: they decide among each other
        who takes over, and a majority is one of them.

        :param relaying: whether this process is one.
        :param cut_off: whether no relay of another data hall answers: whatever majority
            is heard then, the decider may be at work elsewhere.
        """
        self._cut_off = cut_off
        if relays is self._relays and relaying == self._relaying:
            return
        self._relays = relays
        self._known_nodes |= relays
        self._relaying = relaying
        if not relaying:
            self._leader_store_lost_at = None

    def _is_voter(self, node: str) -> bool:
        return self._relays is None or node in self._relays

    def leader_report_age_s(self, now: float) -> float | None:
        """Return how long ago the decider spoke, or ``None`` if none is known."""
        if not self._leader:
            return None
        return 0.0 if self._leader == self._node else now - self._leader_reported_at

    def leader_report_age_or_inf_s(self, now: float) -> float:
        """Return how long ago the decider spoke; infinite if none is known."""
        age_s = self.leader_report_age_s(now)
        return math.inf if age_s is None else age_s

    def record_take_over(self, epoch: int, now: float) -> None:
        """This process decides in an epoch, which it has raised itself."""
        self._claimed_epoch = epoch
        self._start_epoch(epoch, self._node, now)

    def record_leader(self, epoch: int, node: str, now: float) -> None:
        """Learn from others, or from the store, who decides in an epoch. If that is this
        process, it was an earlier life of it, and nobody does now."""
        if epoch < self._epoch or (epoch == self._epoch and self._leader):
            return
        if node != self._node:
            self._start_epoch(epoch, node, now)
        elif epoch != self._claimed_epoch:
            # A process that believed others that it decides would wait for itself, and its
            # reports would keep their belief: nobody would decide any more.
            if epoch > self._epoch:
                self._start_epoch(epoch, "", now)
            self._leader_reported_at = now - LEADER_SILENT_TIMEOUT_S
            self._led_in_earlier_incarnation = True

    def _start_epoch(self, epoch: int, node: str, now: float) -> None:
        if epoch > self._epoch:
            # Whoever asked this process to go on has been followed by another.
            self._handover_requested = False
        self._epoch = epoch
        self._leading_since = now
        self._leader = node
        self._leader_reported_at = now
        self._leader_store_lost_at = None
        self._led_in_earlier_incarnation = False
        self._attempt_pending = False

    def record_deposed(self) -> None:
        """This process decides no more; who does is not known yet."""
        if self._leader == self._node:
            self._leader = ""

    def record_report(self, status: NodeStatus, now: float) -> None:
        """Take up a report."""
        self._known_nodes.add(status.node)
        self._peers[status.node] = PeerView(status, now)
        if status.leader == status.node:
            self.record_leader(status.epoch, status.node, now)
            if status.node == self._leader and status.epoch == self._epoch:
                self._record_leader_report(status, now)
        elif status.epoch > self._epoch:
            self.record_leader(status.epoch, status.leader, now)
        elif (status.epoch, status.leader) == (self._epoch, self._leader):
            self._record_reported_age(status.leader_age_ms, now)

    def _record_reported_age(self, age_ms: int | None, now: float) -> None:
        """Learn from another when the decider spoke; untold, it may be long ago. Relays
        hear the decider themselves: among them hearsay goes in circles, and each way takes
        time that its age does not count. A decider that stood still was replaced after
        2.2 s instead of 0.8."""
        if age_ms is not None and not self._relaying:
            self._leader_reported_at = max(
                self._leader_reported_at, now - age_ms / 1000.0
            )

    def _record_leader_report(self, status: NodeStatus, now: float) -> None:
        self._leader_reported_at = now
        self._successors = status.successors
        if status.store_ok:
            self._leader_store_lost_at = None
        elif self._leader_store_lost_at is None:
            self._leader_store_lost_at = now

    def record_handover_request(self, epoch: int) -> None:
        """The decider of ``epoch`` asks this process to go on."""
        if epoch >= self._epoch:
            self._handover_requested = True
            self._leader = ""

    def is_leader_silent(self, now: float) -> bool:
        """Say whether nobody is heard to decide."""
        return (
            not self._leader or now - self._leader_reported_at > LEADER_SILENT_TIMEOUT_S
        )

    def is_isolated(self, now: float) -> bool:
        """Say whether others are known and none of them is heard."""
        return bool(self._known_nodes) and not self._live_peers(now)

    def lacks_stable_majority(self, now: float) -> bool:
        """Say whether fewer than half of the processes are heard, this one included,
        or were until a moment ago: then a link is or was cut, more likely than that
        the decider died, and it may be the last one to be heard again."""
        if (
            self._handover_requested
            or self._led_in_earlier_incarnation
            or not self._epoch
        ):
            # Asked by the decider itself, or it was an earlier life of this process,
            # or nobody has ever decided.
            return False
        if not self._relaying:
            return True
        return now - self._majority_since(now) < MIN_MAJORITY_DURATION_S

    def update_majority(self, now: float) -> None:
        """Take note of whether most are heard; to be called several times a second."""
        self._majority_since(now)

    def _majority_since(self, now: float) -> float:
        """Return since when at least half of the processes have been heard."""
        recent = {
            name
            for name, peer in self._peers.items()
            if self._is_voter(name) and now - peer.heard_at < PEER_FORGET_TIMEOUT_S
        }
        unreported = {
            name
            for name in self._known_nodes
            if self._is_voter(name) and name not in self._peers
        }
        heard = sum(map(self._is_voter, self._live_peers(now))) + 1
        if (
            self._cut_off
            or self.is_isolated(now)
            or 2 * heard < len(recent | unreported) + 1
        ):
            self._majority_reached_at = None
            return now
        if self._majority_reached_at is None:
            self._majority_reached_at = now
        return self._majority_reached_at

    def handover_target(self, now: float, cores: float) -> str:
        """Return a process on a much larger box than this decider's, or nothing.

        :param cores: processor share of this process's box.
        """
        if now - self._leading_since < MIN_LEADING_BEFORE_HANDOVER_S:
            return ""
        ranked = self.rank_successors(now)
        if not ranked:
            return ""
        best = self._peers[ranked[0]].status
        return best.node if best.cores > HANDOVER_CORES_FACTOR * cores else ""

    def _live_peers(self, now: float) -> list[str]:
        return [
            name
            for name, peer in self._peers.items()
            if now - peer.heard_at < PEER_SILENT_TIMEOUT_S
        ]

    def is_take_over_due(self, now: float) -> bool:
        """Say whether this process should try to take over now."""
        if self._leader == self._node or now - self._attempted_at < ATTEMPT_INTERVAL_S:
            return False
        if self._handover_requested:
            return True
        lost_since = self._leader_lost_since(now)
        delay_s = self._take_over_delay_s(now)
        if lost_since is None or now < lost_since + delay_s:
            return False
        rival_timeout_s = MIN_RIVAL_TIMEOUT_S + RIVAL_TIMEOUT_FACTOR * max(
            0.0, delay_s - SUCCESSOR_STAGGER_S
        )
        return now > lost_since + rival_timeout_s or not self._is_rival_taking_over(now)

    def _is_rival_taking_over(self, now: float) -> bool:
        """Say whether another process is heard to be taking over: two that try at once
        depose each other, and where the store is slow, again and again."""
        return any(
            self._peers[name].status.taking_over for name in self._live_peers(now)
        )

    def _leader_lost_since(self, now: float) -> float | None:
        """Return when the decider was lost, or ``None`` while there is one."""
        if not self._epoch and not self._leader:
            return self._started + FIRST_TAKE_OVER_DELAY_S * (0.5 + self._jitter)
        if self.is_leader_silent(now):
            return self._leader_reported_at + LEADER_SILENT_TIMEOUT_S
        if self._leader_store_lost_at is not None and self._relaying:
            return self._leader_store_lost_at + LEADER_STORE_LOST_TIMEOUT_S
        return None

    def take_over_inputs(self, now: float) -> dict[str, t.Any]:
        """Return what a try to take over rests on, for the log."""
        store_lost_at = self._leader_store_lost_at
        return {
            "leader": self._leader,
            "epoch": self._epoch,
            "leader_heard_s_ago": round(now - self._leader_reported_at, 2),
            "leader_without_store_s": None
            if store_lost_at is None
            else round(now - store_lost_at, 2),
            "live_peers": len(self._live_peers(now)),
        }

    def take_over_stagger_s(self, now: float) -> float:
        """Return how long this process leaves to those that are before it where no
        decider named successors, as after all were killed: without this all would
        take over at once, and depose each other."""
        live = self._live_peers(now)
        if not live:
            return MAX_ISOLATED_DELAY_S * self._jitter
        before = [name for name in live if self._is_voter(name) and name < self._node]
        return SUCCESSOR_STAGGER_S * len(before)

    def _take_over_delay_s(self, now: float) -> float:
        if self._led_in_earlier_incarnation:
            return 0.0
        if not self._relaying and self._node not in self._successors:
            return NON_RELAY_DELAY_S * (1.0 + self._jitter)
        if not self._successors:
            return self.take_over_stagger_s(now)
        if self._node in self._successors:
            return SUCCESSOR_STAGGER_S * self._successors.index(self._node)
        return SUCCESSOR_STAGGER_S * (len(self._successors) + self._jitter)

    def record_attempt(self, now: float) -> None:
        """Note a try to take over, so that the next one waits."""
        self._attempted_at = now
        self._attempt_pending = True
        self._handover_requested = False

    def has_pending_attempt(self, now: float) -> bool:
        """Say whether this process has tried of late, nobody decides anew since then,
        and it will try again."""
        return self._attempt_pending and now - self._attempted_at < ATTEMPT_TIMEOUT_S

    def rank_successors(self, now: float) -> tuple[str, ...]:
        """Return who should take over from this process, best first."""
        candidates = [
            self._peers[name].status
            for name in self._live_peers(now)
            if self._peers[name].status.ready
        ]
        candidates.sort(key=lambda status: (-status.cores, status.node))
        # A data hall may be cut off with all its processes: the next is in another one,
        # so that a cut costs one wait and not two.
        rank_in_hall: collections.Counter[str] = collections.Counter({self._hall: 1})
        interleaved: list[tuple[float, int, str]] = []
        for status in candidates:
            interleaved.append((-status.cores, rank_in_hall[status.hall], status.node))
            rank_in_hall[status.hall] += 1
        return tuple(node for _, _, node in sorted(interleaved)[:MAX_SUCCESSORS])

    def choose_successor(self, now: float) -> str:
        """Return who is asked to go on when this process stops, or nothing. One that
        has not said yet that it is ready, or was never heard, is better than nobody:
        without an heir requests wait 0.8 s longer, and are then refused."""
        ranked = self.rank_successors(now)
        unreported = self._known_nodes.difference(self._peers)
        candidates = (
            ranked or tuple(sorted(self._live_peers(now))) or tuple(sorted(unreported))
        )
        return candidates[0] if candidates else ""
