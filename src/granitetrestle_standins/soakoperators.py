"""What operators and the machines' owner do to real processes and boxes of a soak:
processes end, are killed or frozen, and start again; boxes drain, leave for good and
join; the store fails."""

import bisect
import enum
import json
import signal
import time
import typing as t

from .nativecluster import NativeCluster
from .runfacts import BoxLoss
from .soakobserver import SoakObserver

__all__ = ["Agenda", "Departure", "Event", "SoakOperators"]

OK: t.Final = 200
# After which something that could not be done is tried again.
RETRY_INTERVAL_S: t.Final = 0.3


class Departure(enum.Enum):
    """How a box leaves."""

    DRAINED = "draining"
    UNLISTED = "unlisted"
    GONE = "gone"
    DARK = "dark"


class Event(t.NamedTuple):
    """Something that is due.

    :param at: in seconds from the start of its agenda.
    :param act: returns whether it could be done; otherwise it is tried again.
    """

    at: float
    act: t.Callable[[], bool]


def _due(event: Event) -> float:
    return event.at


class Agenda:
    """Events in order of time; the clock starts with the agenda."""

    def __init__(self, events: t.Iterable[Event]) -> None:
        self._events = sorted(events, key=_due)
        self._began = time.monotonic()

    @property
    def left(self) -> bool:
        """Whether anything has yet to be done."""
        return bool(self._events)

    def act(self) -> None:
        """Do the next thing if it is due."""
        if self._events and time.monotonic() - self._began >= self._events[0].at:
            event = self._events.pop(0)
            if not event.act():
                later = event._replace(at=event.at + RETRY_INTERVAL_S)
                bisect.insort(self._events, later, key=_due)


class SoakOperators:
    """Acts on a cluster and records what happened. Each action returns whether it could
    be done.

    :ivar counts: how often what happened.
    :ivar left: boxes that left for good.
    :ivar last_loss: when the last box left, in seconds on the monotonic clock.
    """

    def __init__(self, cluster: NativeCluster, observer: SoakObserver) -> None:
        self._cluster = cluster
        self._observer = observer
        self._joined = 0
        # Nodes that were told to end.
        self._ending: set[str] = set()
        self._thaw_at: dict[str, float] = {}
        self._frozen_at: dict[str, float] = {}
        self.counts: dict[str, int] = {}
        self.left: set[int] = set()
        self.last_loss = 0.0

    @property
    def busy(self) -> bool:
        """Whether a process has yet to start again or to resume."""
        return bool(self._ending or self._thaw_at)

    def count(self, what: str) -> None:
        """Count something that happened."""
        self.counts[what] = self.counts.get(what, 0) + 1

    def enter(self, box: int, state: str) -> bool:
        """Change the list entry of a box."""
        return self._cluster.box(box, f"/test/entry?state={state}").status == OK

    def leave(self, box: int, how: str, unlisted_s: float, kind: Departure) -> bool:
        """Let a box leave for good.

        :param how: see :class:`.BoxServer`.
        :param unlisted_s: for how long it has served without an entry.
        """
        answer = json.loads(self._cluster.box(box, f"/test/leave?how={how}").content)
        at = answer["at"]
        loss = BoxLoss(answer["incarnation"], at, at - unlisted_s)
        self._observer.losses.append(loss)
        self.left.add(box)
        self.last_loss = max(self.last_loss, at)
        self.count(f"{kind.value} boxes")
        return True

    def join(self) -> bool:
        """List a spare box, if any is left."""
        if self._joined < self._cluster.spares:
            self.enter(self._cluster.boxes + self._joined, "ready")
            self._joined += 1
            self.count("boxes joined")
        return True

    def disturb(self, name: str, leads: bool, how: str, freeze_s: float) -> bool:
        """End, kill or freeze a process.

        :param leads: whether to take the leader if it is ready, instead of ``name``.
        :param how: ``end``, ``kill`` or ``freeze``.
        """
        now = time.monotonic()
        up = [node for node in self._cluster.nodes() if self._is_ready(node)]
        if len(up) < 2:
            # Without a process that can take over there is no hand-over.
            return False
        leader = self._cluster.leader()
        if leads and leader in up:
            name = leader
        if name not in up:
            name = up[0]
        if how == "freeze":
            self._cluster.kill(name, signal.SIGSTOP)
            self._frozen_at[name], self._thaw_at[name] = now, now + freeze_s
        else:
            number = signal.SIGTERM if how == "end" else signal.SIGKILL
            self._ending.add(name)
            self._cluster.kill(name, number)
            if how == "kill":
                self._observer.record_disorder(now, now)
        self.count(f"{how} the leader" if name == leader else f"{how} another")
        return True

    def revive(self) -> None:
        """Restart the processes that have ended, and resume frozen ones when due."""
        now = time.monotonic()
        for name in list(self._ending):
            if self._cluster.processes[name].poll() is not None:
                self._cluster.restart(name)
                self._ending.remove(name)
                self._observer.record_disturbance()
        for name, at in list(self._thaw_at.items()):
            if now >= at:
                self._cluster.kill(name, signal.SIGCONT)
                del self._thaw_at[name]
                self._observer.record_disorder(self._frozen_at.pop(name), now)

    def fail_store(self, how: str, seconds: float) -> bool:
        """Let the store fail for some seconds."""
        now = time.monotonic()
        self._cluster.store(f"/test/store?how={how}&s={seconds}")
        self._observer.record_disorder(now, now + seconds)
        self.count(f"store {how}")
        return True

    def _is_ready(self, name: str) -> bool:
        if name in self._ending or name in self._thaw_at:
            return False
        address = self._cluster.readies[name]
        try:
            return self._cluster.call("GET", address, "/api/readyz").status == OK
        except NativeCluster.LOST:
            return False
