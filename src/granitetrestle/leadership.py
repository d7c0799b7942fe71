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
SILENT_S: t.Final = 0.8
# A process that no peer reaches may itself be the one that is cut off.
PEER_FRESH_S: t.Final = 1.3
# Each next successor waits so much longer, enough for the one before to succeed.
STAGGER_S: t.Final = 0.35
# A process that hears nobody can't tell how many wait as it does.
ISOLATED_S: t.Final = 1.0
# A decider that the store refuses is given this long to find out for itself.
STORE_LOST_S: t.Final = 0.4
# A process that is taking over is left this long, so that one on a slow store ends. Those
# after the next leave it so many times their patience longer: where nobody reaches the
# store, all would try again and again, and depose each other once it is back.
MOST_LEFT_S: t.Final = 4.0
LEFT_LONGER: t.Final = 4.0
# Pause between two tries of one process; it counts as trying through the pause.
RETRY_S: t.Final = 0.7
TRIES_S: t.Final = 1.2
# At the first start nobody knows a successor: processes start within 0.3 s of each
# other, and what they wait differs.
FIRST_WAIT_S: t.Final = 0.6
# A process not heard for so long is no longer counted among those there are.
FORGET_S: t.Final = 60.0
# How long most must have been heard before their silence on a decider is believed;
# connections come back within a second of each other after a cut.
MAJORITY_SETTLED_S: t.Final = 1.5
# A decider hands over to a box larger by this factor, once it has decided so long;
# reading all anew costs some tenths of a second.
MUCH_LARGER: t.Final = 1.5
SETTLED_S: t.Final = 4.0
# A process that is no relay hears too little to judge who decides: it leaves the relays
# this long, and up to as much again by chance.
NOT_RELAY_S: t.Final = 3.0
# Successors that are named in each report; a few may be gone at once.
NAMED_SUCCESSORS: t.Final = 6
ADDRESS_BITS: t.Final = 24


def next_epoch(previous: int, ip: str) -> int:
    """Return an epoch above ``previous`` that no other address would choose."""
    number = 0
    for part in ip.split("."):
        number = (number << 8) | int(part)
    low = number & ((1 << ADDRESS_BITS) - 1)
    return (((previous >> ADDRESS_BITS) + 1) << ADDRESS_BITS) | low


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
        self._known: set[str] = set()
        # The relays, if not all processes are; whether this process is one of them.
        self._group: frozenset[str] | None = None
        self._relaying = True
        self._cut_off = False
        self._epoch = 0
        self._leader = ""
        self._leader_heard = now
        self._leader_store_lost: float | None = None
        self._leading_since = now
        self._successors: tuple[str, ...] = ()
        self._tried_at = -1e9
        self._trying = False
        self._asked = False
        self._majority_at: float | None = None
        # Whether the newest epoch known was that of an earlier life of this process.
        self._led_before = False
        # The epoch that this life of the process has raised.
        self._took = 0

    @property
    def epoch(self) -> int:
        """The newest epoch known."""
        return self._epoch

    @property
    def leader(self) -> str:
        """Who decides in it; empty if not known."""
        return self._leader

    @property
    def newest_sign(self) -> tuple[int, float]:
        """The newest epoch, and when its decider spoke last, as far as is known."""
        return (self._epoch, self._leader_heard)

    @property
    def peers(self) -> t.Mapping[str, PeerView]:
        """Other processes heard of."""
        return self._peers

    def know(self, node: str) -> None:
        """Learn of a process that was never heard."""
        if node != self._node:
            self._known.add(node)

    def follow_relays(
        self, relays: frozenset[str], relaying: bool, cut_off: bool = False
    ) -> None:
        """Learn who the relays are, this process left out: they decide among each other
        who takes over, and a majority is one of them.

        :param relaying: whether this process is one.
        :param cut_off: whether no relay of another data hall answers: whatever majority
            is heard then, the decider may be at work elsewhere.
        """
        self._cut_off = cut_off
        if relays is self._group and relaying == self._relaying:
            return
        self._group = relays
        self._known |= relays
        self._relaying = relaying
        if not relaying:
            self._leader_store_lost = None

    def _counts(self, node: str) -> bool:
        return self._group is None or node in self._group

    def leader_age_s(self, now: float) -> float | None:
        """Return how long ago the decider spoke, or ``None`` if none is known."""
        if not self._leader:
            return None
        return 0.0 if self._leader == self._node else now - self._leader_heard

    def heard_s_ago(self, now: float) -> float:
        """Return how long ago the decider spoke; infinite if none is known."""
        age_s = self.leader_age_s(now)
        return math.inf if age_s is None else age_s

    def took_over(self, epoch: int, now: float) -> None:
        """This process decides in an epoch, which it has raised itself."""
        self._took = epoch
        self._begins(epoch, self._node, now)

    def leads(self, epoch: int, node: str, now: float) -> None:
        """Learn from others, or from the store, who decides in an epoch. If that is this
        process, it was an earlier life of it, and nobody does now."""
        if epoch < self._epoch or (epoch == self._epoch and self._leader):
            return
        if node != self._node:
            self._begins(epoch, node, now)
        elif epoch != self._took:
            # A process that believed others that it decides would wait for itself, and its
            # reports would keep their belief: nobody would decide any more.
            if epoch > self._epoch:
                self._begins(epoch, "", now)
            self._leader_heard = now - SILENT_S
            self._led_before = True

    def _begins(self, epoch: int, node: str, now: float) -> None:
        if epoch > self._epoch:
            # Whoever asked this process to go on has been followed by another.
            self._asked = False
        self._epoch = epoch
        self._leading_since = now
        self._leader = node
        self._leader_heard = now
        self._leader_store_lost = None
        self._led_before = False
        self._trying = False

    def deposed(self) -> None:
        """This process decides no more; who does is not known yet."""
        if self._leader == self._node:
            self._leader = ""

    def heard(self, status: NodeStatus, now: float) -> None:
        """Take up a report."""
        self._known.add(status.node)
        self._peers[status.node] = PeerView(status, now)
        if status.leader == status.node:
            self.leads(status.epoch, status.node, now)
            if status.node == self._leader and status.epoch == self._epoch:
                self._follow(status, now)
        elif status.epoch > self._epoch:
            self.leads(status.epoch, status.leader, now)
        elif (status.epoch, status.leader) == (self._epoch, self._leader):
            self._hearsay(status.leader_age_ms, now)

    def _hearsay(self, age_ms: int | None, now: float) -> None:
        """Learn from another when the decider spoke; untold, it may be long ago. Relays
        hear the decider themselves: among them hearsay goes in circles, and each way takes
        time that its age does not count. A decider that stood still was replaced after
        2.2 s instead of 0.8."""
        if age_ms is not None and not self._relaying:
            self._leader_heard = max(self._leader_heard, now - age_ms / 1000.0)

    def _follow(self, status: NodeStatus, now: float) -> None:
        self._leader_heard = now
        self._successors = status.successors
        if status.store_ok:
            self._leader_store_lost = None
        elif self._leader_store_lost is None:
            self._leader_store_lost = now

    def resigned(self, epoch: int) -> None:
        """The decider of ``epoch`` asks this process to go on."""
        if epoch >= self._epoch:
            self._asked = True
            self._leader = ""

    def leader_silent(self, now: float) -> bool:
        """Say whether nobody is heard to decide."""
        return not self._leader or now - self._leader_heard > SILENT_S

    def isolated(self, now: float) -> bool:
        """Say whether others are known and none of them is heard."""
        return bool(self._known) and not self._live(now)

    def outnumbered(self, now: float) -> bool:
        """Say whether fewer than half of the processes are heard, this one included,
        or were until a moment ago: then a link is or was cut, more likely than that
        the decider died, and it may be the last one to be heard again."""
        if self._asked or self._led_before or not self._epoch:
            # Asked by the decider itself, or it was an earlier life of this process,
            # or nobody has ever decided.
            return False
        if not self._relaying:
            return True
        return now - self._majority_since(now) < MAJORITY_SETTLED_S

    def follow_majority(self, now: float) -> None:
        """Take note of whether most are heard; to be called several times a second."""
        self._majority_since(now)

    def _majority_since(self, now: float) -> float:
        """Return since when at least half of the processes have been heard."""
        lately = {
            name
            for name, peer in self._peers.items()
            if self._counts(name) and now - peer.heard_at < FORGET_S
        }
        unheard = {
            name
            for name in self._known
            if self._counts(name) and name not in self._peers
        }
        heard = sum(map(self._counts, self._live(now))) + 1
        if self._cut_off or self.isolated(now) or 2 * heard < len(lately | unheard) + 1:
            self._majority_at = None
            return now
        if self._majority_at is None:
            self._majority_at = now
        return self._majority_at

    def better_decider(self, now: float, cores: float) -> str:
        """Return a process on a much larger box than this decider's, or nothing.

        :param cores: processor share of this process's box.
        """
        if now - self._leading_since < SETTLED_S:
            return ""
        ranked = self.ranked(now)
        if not ranked:
            return ""
        best = self._peers[ranked[0]].status
        return best.node if best.cores > MUCH_LARGER * cores else ""

    def _live(self, now: float) -> list[str]:
        return [
            name
            for name, peer in self._peers.items()
            if now - peer.heard_at < PEER_FRESH_S
        ]

    def take_over_due(self, now: float) -> bool:
        """Say whether this process should try to take over now."""
        if self._leader == self._node or now - self._tried_at < RETRY_S:
            return False
        if self._asked:
            return True
        since = self._lost_since(now)
        patience = self._patience(now)
        if since is None or now < since + patience:
            return False
        left_s = MOST_LEFT_S + LEFT_LONGER * max(0.0, patience - STAGGER_S)
        return now > since + left_s or not self._another_tries(now)

    def _another_tries(self, now: float) -> bool:
        """Say whether another process is heard to be taking over: two that try at once
        depose each other, and where the store is slow, again and again."""
        return any(self._peers[name].status.taking_over for name in self._live(now))

    def _lost_since(self, now: float) -> float | None:
        """Return when the decider was lost, or ``None`` while there is one."""
        if not self._epoch and not self._leader:
            return self._started + FIRST_WAIT_S * (0.5 + self._jitter)
        if self.leader_silent(now):
            return self._leader_heard + SILENT_S
        if self._leader_store_lost is not None and self._relaying:
            return self._leader_store_lost + STORE_LOST_S
        return None

    def why(self, now: float) -> dict[str, t.Any]:
        """Return what a try to take over rests on, for the log."""
        lost = self._leader_store_lost
        return {
            "leader": self._leader,
            "epoch": self._epoch,
            "leader_heard_s_ago": round(now - self._leader_heard, 2),
            "leader_without_store_s": None if lost is None else round(now - lost, 2),
            "live_peers": len(self._live(now)),
        }

    def stagger(self, now: float) -> float:
        """Return how long this process leaves to those that are before it where no
        decider named successors, as after all were killed: without this all would
        take over at once, and depose each other."""
        live = self._live(now)
        if not live:
            return ISOLATED_S * self._jitter
        before = [name for name in live if self._counts(name) and name < self._node]
        return STAGGER_S * len(before)

    def _patience(self, now: float) -> float:
        if self._led_before:
            return 0.0
        if not self._relaying and self._node not in self._successors:
            return NOT_RELAY_S * (1.0 + self._jitter)
        if not self._successors:
            return self.stagger(now)
        if self._node in self._successors:
            return STAGGER_S * self._successors.index(self._node)
        return STAGGER_S * (len(self._successors) + self._jitter)

    def tried(self, now: float) -> None:
        """Note a try to take over, so that the next one waits."""
        self._tried_at = now
        self._trying = True
        self._asked = False

    def trying(self, now: float) -> bool:
        """Say whether this process has tried of late, nobody decides anew since then,
        and it will try again."""
        return self._trying and now - self._tried_at < TRIES_S

    def ranked(self, now: float) -> tuple[str, ...]:
        """Return who should take over from this process, best first."""
        able = [
            self._peers[name].status
            for name in self._live(now)
            if self._peers[name].status.ready
        ]
        able.sort(key=lambda status: (-status.cores, status.node))
        # A data hall may be cut off with all its processes: the next is in another one,
        # so that a cut costs one wait and not two.
        turns: collections.Counter[str] = collections.Counter({self._hall: 1})
        order: list[tuple[float, int, str]] = []
        for status in able:
            order.append((-status.cores, turns[status.hall], status.node))
            turns[status.hall] += 1
        return tuple(node for _, _, node in sorted(order)[:NAMED_SUCCESSORS])

    def heir(self, now: float) -> str:
        """Return who is asked to go on when this process stops, or nothing. One that
        has not said yet that it is ready, or was never heard, is better than nobody:
        without an heir requests wait 0.8 s longer, and are then refused."""
        ranked = self.ranked(now)
        unheard = self._known.difference(self._peers)
        able = ranked or tuple(sorted(self._live(now))) or tuple(sorted(unheard))
        return able[0] if able else ""
