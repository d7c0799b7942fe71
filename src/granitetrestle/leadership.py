"""Leader election for a shard: failure detection and the choice of who takes over.

Safety does not rest on this module: the store and every box fence a leader by its
epoch. The rules here only choose when a process tries to take over, so that one process
does so soon and the others don't interfere with it."""

import collections
import math
import typing as t

from .messages import NodeStatus

__all__ = ["Leadership", "PeerView", "next_epoch"]

# The leader reports every 0.2 s: three missed reports, and slack for a slow box.
LEADER_SILENT_TIMEOUT_S: t.Final = 0.8
# A process that hears no peer for this long may itself be the one that is cut off.
PEER_SILENT_TIMEOUT_S: t.Final = 1.3
# Added to the delay of each further successor, enough for the one before to succeed.
SUCCESSOR_STAGGER_S: t.Final = 0.35
# A process that hears no peer can't count the successors before it, so it draws its
# delay at random up to this.
MAX_ISOLATED_DELAY_S: t.Final = 1.0
# A leader without the store is left this long to notice and step down by itself.
LEADER_STORE_LOST_TIMEOUT_S: t.Final = 0.4
# A process that is taking over is left undisturbed for at least this time, so that it
# can finish on a slow store. Later successors add their own delay times the factor:
# while no process reaches the store, all would otherwise retry continually, and depose
# each other once it is back.
MIN_RIVAL_TIMEOUT_S: t.Final = 4.0
RIVAL_TIMEOUT_FACTOR: t.Final = 4.0
# Shortest time between two attempts of one process. It counts as taking over in
# between, so the timeout of an attempt is longer than the interval.
ATTEMPT_INTERVAL_S: t.Final = 0.7
ATTEMPT_TIMEOUT_S: t.Final = 1.2
# At the first start no successors are named: processes start within 0.3 s of each other
# and each waits 0.5 to 1.5 times this.
FIRST_TAKE_OVER_DELAY_S: t.Final = 0.6
# A process that has not reported for this long no longer counts towards a majority.
PEER_FORGET_TIMEOUT_S: t.Final = 60.0
# A majority must have been heard for this long before the silence of the leader counts:
# after a network cut connections return within a second of each other.
MIN_MAJORITY_DURATION_S: t.Final = 1.5
# A leader hands over to a process with this many times its cores, once it has led for
# the minimum time: each handover costs some tenths of a second to read the state again.
HANDOVER_CORES_FACTOR: t.Final = 1.5
MIN_LEADING_BEFORE_HANDOVER_S: t.Final = 4.0
# A process that is no relay hears too few reports to judge whether there is a leader.
# It leaves the relays this time to take over, and up to as much again at random.
NON_RELAY_DELAY_S: t.Final = 3.0
# Successors named in each report of the leader; several may be lost at once.
MAX_SUCCESSORS: t.Final = 6
# The first ones of these keep a copy of the state; they are in different data halls.
STANDBYS: t.Final = 2
ADDRESS_BITS: t.Final = 24


def next_epoch(previous: int, ip: str) -> int:
    """Return an epoch above ``previous`` that no process at another address chooses.

    :param ip: IPv4 address of this process; its low 24 bits become the low bits of the
        epoch.
    """
    number = 0
    for part in ip.split("."):
        number = (number << 8) | int(part)
    address_bits = number & ((1 << ADDRESS_BITS) - 1)
    return (((previous >> ADDRESS_BITS) + 1) << ADDRESS_BITS) | address_bits


class PeerView:
    """The latest report of another process, and when it arrived."""

    __slots__ = ("heard_at", "status")

    def __init__(self, status: NodeStatus, heard_at: float) -> None:
        self.status = status
        self.heard_at = heard_at


class Leadership:
    """Tracks the leader of a shard from the reports of its processes, and says when
    this process should take over. Times are in seconds on the monotonic clock.

    :param node: name of this process.
    :param jitter: random share from 0 to 1, drawn once for this process.
    :param hall: data hall of this process.
    """

    def __init__(self, node: str, now: float, jitter: float, hall: str = "") -> None:
        self._node = node
        self._hall = hall
        self._started = now
        self._jitter = jitter
        self._peers: dict[str, PeerView] = {}
        self._known_nodes: set[str] = set()
        # The other relays, or `None` if all processes are; whether this process is one.
        self._relays: frozenset[str] | None = None
        self._relaying = True
        self._cut_off = False
        self._epoch = 0
        self._leader = ""
        self._leader_taking_over = False
        self._leader_reported_at = now
        self._leader_store_lost_at: float | None = None
        self._leading_since = now
        self._successors: tuple[str, ...] = ()
        self._attempted_at = -1e9
        self._attempt_pending = False
        self._handover_requested = False
        self._majority_reached_at: float | None = None
        # Whether an earlier incarnation of this process led in the newest known epoch.
        self._led_in_earlier_incarnation = False
        # The epoch that this incarnation has claimed.
        self._claimed_epoch = 0

    @property
    def epoch(self) -> int:
        """The newest epoch known."""
        return self._epoch

    @property
    def leader(self) -> str:
        """The leader in that epoch; empty if not known."""
        return self._leader

    @property
    def leader_taking_over(self) -> bool:
        """Whether the leader has reported that it answers no requests yet."""
        return self._leader_taking_over

    @property
    def newest_leader_report(self) -> tuple[int, float]:
        """The newest known epoch, and when its leader is last known to have
        reported."""
        return (self._epoch, self._leader_reported_at)

    @property
    def peers(self) -> t.Mapping[str, PeerView]:
        """The other processes that have reported, by name."""
        return self._peers

    @property
    def is_likely_successor(self) -> bool:
        """Whether this process is one of the first that take over from the leader."""
        return self._node in self._successors[:STANDBYS]

    def add_known_node(self, node: str) -> None:
        """Add a process that need not have reported yet."""
        if node != self._node:
            self._known_nodes.add(node)

    def set_relays(
        self, relays: frozenset[str], relaying: bool, cut_off: bool = False
    ) -> None:
        """Set the processes that elect the leader; a majority is a majority of them.

        :param relays: the relays without this process.
        :param relaying: whether this process is a relay.
        :param cut_off: whether no relay of another data hall answers. The leader may
            then be alive in another hall, even if a majority is heard in this one.
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
        """Return how long ago the leader reported, or ``None`` if none is known."""
        if not self._leader:
            return None
        return 0.0 if self._leader == self._node else now - self._leader_reported_at

    def leader_silence_s(self, now: float) -> float:
        """Return how long ago the leader reported; infinite if none is known."""
        age_s = self.leader_report_age_s(now)
        return math.inf if age_s is None else age_s

    def record_take_over(self, epoch: int, now: float) -> None:
        """Record that this process leads in an epoch that it has claimed."""
        self._claimed_epoch = epoch
        self._start_epoch(epoch, self._node, now)

    def record_leader(self, epoch: int, node: str, now: float) -> None:
        """Record the leader of an epoch, as reported by a peer or read from the store.
        If it is this process, an earlier incarnation of it led, and there is no leader
        now."""
        if epoch < self._epoch or (epoch == self._epoch and self._leader):
            return
        if node != self._node:
            self._start_epoch(epoch, node, now)
        elif epoch != self._claimed_epoch:
            # A process that took itself for the leader on the word of others would wait
            # for itself, and its reports would confirm them: nobody would ever take
            # over.
            if epoch > self._epoch:
                self._start_epoch(epoch, "", now)
            self._leader_reported_at = now - LEADER_SILENT_TIMEOUT_S
            self._led_in_earlier_incarnation = True

    def _start_epoch(self, epoch: int, node: str, now: float) -> None:
        if epoch > self._epoch:
            # The leader that asked this process to take over has a newer successor.
            self._handover_requested = False
        self._epoch = epoch
        self._leading_since = now
        self._leader = node
        self._leader_taking_over = False
        self._leader_reported_at = now
        self._leader_store_lost_at = None
        self._led_in_earlier_incarnation = False
        self._attempt_pending = False

    def record_deposed(self, superseded_at: float | None = None) -> None:
        """Record that this process no longer leads; the new leader is not known yet.

        :param superseded_at: when it learned that another process has taken over, if so.
            That one is left undisturbed as if it had reported then.
        """
        if self._leader == self._node:
            self._leader = ""
            if superseded_at is not None:
                self._leader_reported_at = superseded_at

    def record_report(self, status: NodeStatus, now: float) -> None:
        """Record a report of another process."""
        self._known_nodes.add(status.node)
        self._peers[status.node] = PeerView(status, now)
        if status.leader == status.node:
            self.record_leader(status.epoch, status.node, now)
            if status.node == self._leader and status.epoch == self._epoch:
                self._record_leader_report(status, now)
        else:
            if status.epoch > self._epoch:
                self.record_leader(status.epoch, status.leader, now)
            elif (status.epoch, status.leader) == (self._epoch, self._leader):
                self._record_reported_age(status.leader_age_ms, now)
            if (status.epoch, status.leader) == (self._epoch, self._leader):
                self._record_relayed_state(status)

    def _record_relayed_state(self, status: NodeStatus) -> None:
        """Record what a relay says of the leader; relays hear it themselves."""
        if not self._relaying:
            self._leader_taking_over = status.leader_taking_over

    def _record_reported_age(self, age_ms: int | None, now: float) -> None:
        """Record how long ago a peer had heard the leader; ``None`` may mean long ago.

        Relays hear the leader themselves and ignore this. Among relays such ages would
        be passed on in circles, and the time that each hop takes is not counted: a
        leader that stood still was replaced after 2.2 s instead of 0.8 s."""
        if age_ms is not None and not self._relaying:
            self._leader_reported_at = max(
                self._leader_reported_at, now - age_ms / 1000.0
            )

    def _record_leader_report(self, status: NodeStatus, now: float) -> None:
        self._leader_reported_at = now
        self._leader_taking_over = status.taking_over
        self._successors = status.successors
        if status.store_ok:
            self._leader_store_lost_at = None
        elif self._leader_store_lost_at is None:
            self._leader_store_lost_at = now

    def record_handover_request(self, epoch: int) -> None:
        """Record that the leader of ``epoch`` asks this process to take over."""
        if epoch >= self._epoch:
            self._handover_requested = True
            self._leader = ""

    def is_leader_silent(self, now: float) -> bool:
        """Return whether no leader is known or its reports have stopped."""
        return (
            not self._leader or now - self._leader_reported_at > LEADER_SILENT_TIMEOUT_S
        )

    def is_isolated(self, now: float) -> bool:
        """Return whether other processes are known and none of them is heard."""
        return bool(self._known_nodes) and not self._live_peers(now)

    def lacks_stable_majority(self, now: float) -> bool:
        """Return whether fewer than half of the processes, this one included, are
        heard, or were until a moment ago. A network cut is then likelier than the death
        of the leader, and the leader may be the last one to be heard again."""
        if (
            self._handover_requested
            or self._led_in_earlier_incarnation
            or not self._epoch
        ):
            # The leader itself asked for the take-over, or it was an earlier
            # incarnation of this process, or there has never been a leader.
            return False
        if not self._relaying:
            return True
        return now - self._majority_since(now) < MIN_MAJORITY_DURATION_S

    def update_majority(self, now: float) -> None:
        """Track since when a majority is heard; to be called several times a second."""
        self._majority_since(now)

    def _majority_since(self, now: float) -> float:
        """Return since when at least half of the processes have been heard; ``now`` if
        fewer are."""
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
        reporting = sum(map(self._is_voter, self._live_peers(now))) + 1
        if (
            self._cut_off
            or self.is_isolated(now)
            or 2 * reporting < len(recent | unreported) + 1
        ):
            self._majority_reached_at = None
            return now
        if self._majority_reached_at is None:
            self._majority_reached_at = now
        return self._majority_reached_at

    def handover_target(self, now: float, cores: float) -> str:
        """Return a process with many more cores than this leader, or an empty string.

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
        """Return whether this process should try to take over now."""
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
        """Return whether another process reports that it is taking over. Two that try
        at once depose each other, repeatedly if the store is slow."""
        return any(
            self._peers[name].status.taking_over for name in self._live_peers(now)
        )

    def _leader_lost_since(self, now: float) -> float | None:
        """Return when the leader was lost, or ``None`` while there is one."""
        if not self._epoch and not self._leader:
            return self._started + FIRST_TAKE_OVER_DELAY_S * (0.5 + self._jitter)
        if self.is_leader_silent(now):
            return self._leader_reported_at + LEADER_SILENT_TIMEOUT_S
        if self._leader_store_lost_at is not None and self._relaying:
            return self._leader_store_lost_at + LEADER_STORE_LOST_TIMEOUT_S
        return None

    def take_over_inputs(self, now: float) -> dict[str, t.Any]:
        """Return the inputs of the decision to take over, for the log."""
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

    def stagger_s(self, now: float) -> float:
        """Return how long this process waits for the ones before it when no leader has
        named successors, as after all processes were killed. Without this wait all
        would take over at once, and depose each other."""
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
            return self.stagger_s(now)
        if self._node in self._successors:
            return SUCCESSOR_STAGGER_S * self._successors.index(self._node)
        return SUCCESSOR_STAGGER_S * (len(self._successors) + self._jitter)

    def record_attempt(self, now: float) -> None:
        """Record an attempt to take over, which delays the next one."""
        self._attempted_at = now
        self._attempt_pending = True
        self._handover_requested = False

    def has_pending_attempt(self, now: float) -> bool:
        """Return whether this process has recently tried to take over, no epoch has
        started since, and it will try again."""
        return self._attempt_pending and now - self._attempted_at < ATTEMPT_TIMEOUT_S

    def rank_successors(self, now: float) -> tuple[str, ...]:
        """Return the processes that should take over from this one, best first."""
        candidates = [
            self._peers[name].status
            for name in self._live_peers(now)
            if self._peers[name].status.ready
        ]
        candidates.sort(key=lambda status: (-status.cores, status.node))
        # Equally large processes alternate between data halls: a hall may be cut off
        # with all its processes, and the cut then costs one stagger and not two.
        rank_in_hall: collections.Counter[str] = collections.Counter({self._hall: 1})
        interleaved: list[tuple[float, int, str]] = []
        for status in candidates:
            interleaved.append((-status.cores, rank_in_hall[status.hall], status.node))
            rank_in_hall[status.hall] += 1
        return tuple(node for _, _, node in sorted(interleaved)[:MAX_SUCCESSORS])

    def unready_successors(self, now: float) -> tuple[str, ...]:
        """Return the processes that may become ready to take over, best first: those
        that report, and if there are none those that were never heard."""
        unreported = self._known_nodes.difference(self._peers)
        return tuple(sorted(self._live_peers(now))) or tuple(sorted(unreported))
