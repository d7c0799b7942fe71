"""Storms of a soak of real processes: several series of faults that overlap. Boxes crash
one group after the other and come back, connections to boxes are reset while both ends
live, leaders are killed, the store is away, boxes drain and leave, and boxes carry
commands out late or answer them late."""

import functools
import random
import time
import typing as t

from .boxserver import NOT_LISTED
from .linkfaults import ALL_OTHERS
from .linkfaults import Fault
from .linkfaults import FaultKind
from .links import STORE
from .nativecluster import HALLS
from .nativecluster import NativeCluster
from .soaklinks import LinkFaults
from .soakobserver import SoakObserver
from .soakoperators import Agenda
from .soakoperators import Departure
from .soakoperators import Event
from .soakoperators import SoakOperators

__all__ = ["SoakStorm"]

TICK_S: t.Final = 0.02
# Series begin within this of the start of a storm, so that all of them overlap.
FIRST_EVENT_S: t.Final = (0.5, 6.0)
STORE_AWAY_S: t.Final = (4.5, 5.5)
RESET_S: t.Final = (0.02, 0.3)
CUT_S: t.Final = 1.0
ANSWER_DELAYS_S: t.Final = (0.2, 0.4, 0.8)
ANSWERS_DELAYED_S: t.Final = (1.0, 4.0)
LATE_SHARES: t.Final = (0.05, 0.2)
COMMANDS_LATE_S: t.Final = (2.0, 6.0)
DRAIN_NOTICE_S: t.Final = (1.0, 3.0)
FREEZE_S: t.Final = (0.3, 2.5)
# Of all boxes, this share may leave for good.
LEAVING_SHARE: t.Final = 0.25
MAINTENANCE_PROBABILITY: t.Final = 0.4


class _Series(t.NamedTuple):
    """An action that is repeated.

    :param counts: least and greatest number of repetitions.
    :param interval_s: shortest and longest time between them.
    """

    counts: tuple[int, int]
    interval_s: tuple[float, float]


CRASHES: t.Final = _Series((12, 18), (0.5, 1.6))
RESETS: t.Final = _Series((4, 10), (0.4, 2.0))
LEADER_KILLS: t.Final = _Series((2, 3), (3.0, 9.0))
STORE_OUTAGES: t.Final = _Series((1, 1), (0.0, 0.0))
LATE_ANSWERS: t.Final = _Series((2, 6), (0.5, 3.0))
LATE_COMMANDS: t.Final = _Series((1, 3), (2.0, 6.0))
RESTARTS: t.Final = _Series((2, 4), (1.5, 5.0))
LINK_FAULTS: t.Final = _Series((0, 2), (2.0, 6.0))
# Shares of the boxes that an event of a series affects, at least one box.
CRASHED_SHARES: t.Final = (0.1, 0.25, 0.35, 0.35)
RESET_SHARES: t.Final = (0.0, 0.3, 0.6)
DELAYED_SHARES: t.Final = (0.0, 0.3)
CUT_OFF_PROBABILITY: t.Final = 0.4
# Until a crashed box starts again, and how often it keeps its id.
DOWNTIMES_S: t.Final = (0.3, 1.0)
KEEP_ID_PROBABILITY: t.Final = 0.25


class SoakStorm:
    """One seeded storm.

    :ivar counts: how often what happened.
    """

    def __init__(
        self, seed: int, cluster: NativeCluster, observer: SoakObserver
    ) -> None:
        self._random = rng = random.Random(f"storm {seed}")
        self._cluster = cluster
        self._observer = observer
        self._operators = SoakOperators(cluster, observer)
        boxes = [f"b{box}" for box in range(cluster.boxes)]
        places = (cluster.links, cluster.nodes(), boxes, HALLS)
        self._links = LinkFaults(rng, *places)
        leaving = rng.randint(0, int(cluster.boxes * LEAVING_SHARE))
        self._leaving = rng.sample(range(cluster.boxes), leaving)
        self.counts = self._operators.counts

    @property
    def left(self) -> t.Collection[int]:
        """The boxes that left for good."""
        return self._operators.left

    def play(self, further: t.Iterable[Event] = ()) -> None:
        """Play the storm, and return once nothing is disturbed any more.

        :param further: events that come beside it.
        """
        began = time.monotonic()
        agenda = Agenda([*self._plan(), *further])
        while agenda.left or self._operators.busy:
            agenda.act()
            self._operators.revive()
            self._links.end_expired()
            time.sleep(TICK_S)
        self._links.end_expired(everything=True)
        for box in self._cluster.all_boxes:
            self._cluster.box(box, "/test/late?share=0&s=0")
        self._observer.record_disorder(began, time.monotonic())

    def _plan(self) -> t.Iterator[Event]:
        rng = self._random
        yield from self._repeat(CRASHES, self._crash_boxes)
        yield from self._repeat(RESETS, self._reset_connections)
        yield from self._repeat(LEADER_KILLS, self._disturb_leader, "kill")
        yield from self._repeat(STORE_OUTAGES, self._take_store_away)
        yield from self._repeat(LATE_ANSWERS, self._delay_answers)
        yield from self._repeat(LATE_COMMANDS, self._delay_commands)
        yield from self._repeat(LINK_FAULTS, self._disturb_links)
        if rng.random() < MAINTENANCE_PROBABILITY:
            for how in ("end", "freeze"):
                yield from self._repeat(RESTARTS, self._disturb_any, how)
        for box in self._leaving:
            at = rng.uniform(*FIRST_EVENT_S) + rng.uniform(*DRAIN_NOTICE_S)
            yield from self._plan_departure(box, at)
            yield Event(at, self._operators.join)

    def _repeat(
        self, series: _Series, act: t.Callable[..., bool], *arguments: t.Any
    ) -> t.Iterator[Event]:
        rng = self._random
        at = rng.uniform(*FIRST_EVENT_S)
        for _ in range(rng.randint(*series.counts)):
            # What an event draws must not depend on when it happens.
            draw = random.Random(rng.random())
            yield Event(at, functools.partial(act, draw, *arguments))
            at += rng.uniform(*series.interval_s)

    def _plan_departure(self, box: int, at: float) -> t.Iterator[Event]:
        rng = self._random
        enter, leave = self._operators.enter, self._operators.leave
        notice_s = rng.uniform(*DRAIN_NOTICE_S)
        kind = rng.choice(list(Departure))
        if kind is Departure.DRAINED:
            yield Event(at - notice_s, functools.partial(enter, box, "draining"))
        elif kind is Departure.UNLISTED:
            yield Event(at - notice_s, functools.partial(enter, box, NOT_LISTED))
        how = "dark" if kind is Departure.DARK else "gone"
        unlisted_s = notice_s if kind is Departure.UNLISTED else 0.0
        yield Event(at, functools.partial(leave, box, how, unlisted_s, kind))
        yield Event(at, functools.partial(enter, box, NOT_LISTED))

    def _some_boxes(self, draw: random.Random, share: float) -> list[int]:
        count = max(1, round(share * self._cluster.boxes))
        boxes = draw.sample(range(self._cluster.boxes), count)
        return [box for box in boxes if box not in self.left]

    def _crash_boxes(self, draw: random.Random) -> bool:
        cut_off = draw.random() < CUT_OFF_PROBABILITY
        for box in self._some_boxes(draw, draw.choice(CRASHED_SHARES)):
            if cut_off:
                fault = Fault(FaultKind.CUT, ALL_OTHERS, f"b{box}")
                self._links.add(fault, time.monotonic() + CUT_S)
            down_s = draw.uniform(*DOWNTIMES_S)
            keep = int(draw.random() < KEEP_ID_PROBABILITY)
            self._cluster.box(box, f"/test/crash?s={down_s}&keep={keep}")
            self._operators.count("boxes crashed")
        return True

    def _reset_connections(self, draw: random.Random) -> bool:
        leader = self._cluster.leader() or draw.choice(self._cluster.nodes())
        until = time.monotonic() + draw.uniform(*RESET_S)
        for box in self._some_boxes(draw, draw.choice(RESET_SHARES)):
            self._links.add(Fault(FaultKind.RESET, leader, f"b{box}"), until)
        self._operators.count("resets")
        return True

    def _delay_answers(self, draw: random.Random) -> bool:
        leader = self._cluster.leader() or draw.choice(self._cluster.nodes())
        until = time.monotonic() + draw.uniform(*ANSWERS_DELAYED_S)
        amount_s = draw.choice(ANSWER_DELAYS_S)
        for box in self._some_boxes(draw, draw.choice(DELAYED_SHARES)):
            fault = Fault(FaultKind.DELAY, f"b{box}", leader, False, amount_s)
            self._links.add(fault, until)
        self._operators.count("answers delayed")
        return True

    def _delay_commands(self, draw: random.Random) -> bool:
        share, seconds = draw.choice(LATE_SHARES), draw.uniform(*COMMANDS_LATE_S)
        for box in self._some_boxes(draw, draw.choice(DELAYED_SHARES)):
            self._cluster.box(box, f"/test/late?share={share}&s={seconds}")
        self._operators.count("commands delayed")
        return True

    def _take_store_away(self, draw: random.Random) -> bool:
        seconds = draw.uniform(*STORE_AWAY_S)
        how = draw.choice(("busy", "silent", "reset"))
        if how != "reset":
            return self._operators.fail_store(how, seconds)
        until = time.monotonic() + seconds
        self._links.add(Fault(FaultKind.RESET, ALL_OTHERS, STORE), until)
        self._operators.count("store reset")
        return True

    def _disturb_links(self, _: random.Random) -> bool:
        self._links.inject(self._cluster.leader())
        self._operators.count("links disturbed")
        return True

    def _disturb_leader(self, draw: random.Random, how: str) -> bool:
        node = draw.choice(self._cluster.nodes())
        return self._operators.disturb(node, True, how, draw.uniform(*FREEZE_S))

    def _disturb_any(self, draw: random.Random, how: str) -> bool:
        node, leads = draw.choice(self._cluster.nodes()), draw.random() < 0.3
        return self._operators.disturb(node, leads, how, draw.uniform(*FREEZE_S))
