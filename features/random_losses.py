"""Seeded losses of leaders together with boxes, also while the store is away."""

import math
import random

from granitetrestle.shardstate import SchedulerParameters
from granitetrestle.workflows import Step
from granitetrestle_standins.modelboxes import SHORT_DURATIONS
from granitetrestle_standins.shardprocess import TICK_INTERVAL_S
from granitetrestle_standins.slowprocess import MAX_ANSWER_S
from granitetrestle_standins.slowprocess import MAX_ARRIVAL_S
from granitetrestle_standins.slowprocess import SlowWorld
from loss_judge import LossJudge

# Durations of deployments.
LONG_DURATIONS = SchedulerParameters(lease_s=6.0, orphan_s=8.0, keep_s=600.0)
# The first hall is never lost with a leader.
HALLS = ("h1", "h2", "h3")
LEADER_LOSSES = (
    *("kill", "kill", "freeze", "suspend", "store", "hall", "island", "majority"),
    *("majority", "hand over"),
)
PAUSES_S = (0.05, 0.5, 0.9, 0.9, 2.5)
GAPS_S = (0.0, 0.3, 0.5, 1.0, 2.0, 4.0, 10.0, 10.0)
OUTAGES_S = (3.0, 8.0, 8.0, 13.0, 14.0, 30.0, 60.0)
# Boxes are lost this long before or after their leader.
OFFSETS_S = (-0.1, 0.0, 0.1)
# Boxes that are never lost, and that every leader reaches unless it is cut off.
SPARE_BOXES = 6
LONG_RUNNING = Step(count=2, cpu=900, memory_mb=10, long_running=True)
# On as many boxes; fewer than the spare ones, since the scheduler keeps one box empty and
# closes others for a while.
SPREAD = Step(count=3, cpu=500, memory_mb=10, long_running=True, per_box=1)
SHORT = Step(count=2, cpu=200, memory_mb=10)
SHARES = (0.0, 0.1, 0.25)


class RandomLosses:
    """One seed: leaders that are lost with boxes, and then time until all jobs have
    ended.

    In three of ten seeds calls are also delayed and lost, appends have no answer for a
    while, answers are late, and boxes are cut off for a while or restart; there only the
    promises of the world are judged.
    """

    def __init__(self, seed):
        self._draw = draw = random.Random(f"losses {seed}")
        self._rough = draw.random() < 0.3
        parameters = draw.choice((SHORT_DURATIONS, LONG_DURATIONS))
        self.world = SlowWorld(
            seed,
            draw.choice((draw.randint(1, 5), draw.randint(1, 24))),
            HALLS,
            keep_ids=draw.random() < 0.5,
            slow_clocks=draw.random() < 0.5,
            parameters=parameters,
        )
        self._spares = set()
        # Boxes that only former leaders reach, and these leaders.
        self._island = set()
        self._isolated = []
        self.judge = LossJudge(self.world)

    def run(self):
        """Run the seed.

        :raises PromiseBroken: if a promise does not hold.
        """
        world, draw = self.world, self._draw
        self._advance(0.3)
        for _ in range(draw.randint(1, 4)):
            world.submit((draw.choice((LONG_RUNNING, SPREAD)),))
        self._advance(draw.choice((1.0, 2.0, 4.0)))
        if not self._rough or draw.random() < 0.5:
            # Added only now, they hold none of these tasks yet.
            self._spares.update(world.add_box(HALLS[0]) for _ in range(SPARE_BOXES))
        self._advance(draw.choice((0.5, 2.0, 16.0)))
        for _ in range(draw.randint(1, 4)):
            self._disturb()
            if draw.random() < 0.3:
                self._lose_during_outage()
            else:
                self._lose_leader()
            self._advance(draw.choice(GAPS_S))
        # All leases end that a former leader may have granted.
        parameters = world.parameters
        self._advance(parameters.orphan_s + parameters.lease_bound_s + 1.0)
        self._end_disturbances()
        while self.judge.pending and not self._rough:
            self._advance(TICK_INTERVAL_S)
        for process in world.processes:
            process.resume()
        # All appends have been answered.
        self._advance(MAX_ARRIVAL_S + MAX_ANSWER_S)
        world.settle(300.0)

    def _advance(self, seconds):
        for _ in range(round(seconds / TICK_INTERVAL_S)):
            self.world.advance(TICK_INTERVAL_S)
            if not self._rough:
                self.judge.check()

    def _disturb(self):
        """Draw what happens before a leader is lost."""
        draw, world = self._draw, self.world
        if draw.random() < 0.3:
            for _ in range(draw.randint(1, 4)):
                self._keep_apart(world.add_box())
        if draw.random() < 0.3:
            world.submit((SHORT,))
        if draw.random() < 0.3:
            self._restart_box()
        if draw.random() < 0.3:
            self._lose_box()
        if draw.random() < 0.2:
            self._restart_on_island()
        if draw.random() < 0.2:
            self._restore_former_leaders()
        if self._rough:
            self._disturb_calls()
        if draw.random() < 0.3:
            self._advance(draw.choice((0.1, 0.5, 1.3, 3.0)))

    def _disturb_calls(self):
        draw, world = self._draw, self.world
        world.delayed_share = draw.choice(SHARES)
        world.delayed_poll_share = draw.choice(SHARES)
        world.lost_answer_share = draw.choice(SHARES)
        world.unanswered_share = draw.choice(SHARES)
        world.late_answer_share = draw.choice(SHARES)
        vulnerable = self._vulnerable()
        if vulnerable and draw.random() < 0.3:
            until = world.now + draw.choice((0.5, 2.0, 4.0, 8.0))
            world.cut_until[draw.choice(vulnerable)] = until

    def _restore_former_leaders(self):
        """Thaw former leaders; some reach the store again, but no other boxes."""
        for process in self.world.processes[:-1]:
            process.resume()
            if self._draw.random() < 0.3:
                process.without_store = False

    def _end_disturbances(self):
        world = self.world
        self._bring_store_back()
        world.delayed_share = world.delayed_poll_share = world.lost_answer_share = 0.0
        world.unanswered_share = world.late_answer_share = 0.0
        if not self._spares:
            # All others may be lost.
            self._keep_apart(world.add_box())
        if world.leader.stopped or world.leader.frozen:
            self._take_over(orderly=False)

    def _vulnerable(self):
        """Return the boxes that may be lost: those that the last leader reaches."""
        world = self.world
        boxes = world.leader.scheduler.state.boxes
        return [
            incarnation
            for incarnation in sorted(world.entries)
            if incarnation not in self._spares
            and world.boxes[incarnation].alive
            and incarnation not in world.mute
            and incarnation not in world.refusing
            and world.cut_until.get(incarnation, 0.0) <= world.now
            and incarnation not in world.leader.cut_from
            and incarnation in boxes
            and boxes[incarnation].adopted
            and boxes[incarnation].silent_since is None
        ]

    def _long_running_on(self, incarnation):
        running = self.world.boxes[incarnation].running
        return [task for task in running if self.world.is_long_running(task)]

    def _restart_box(self):
        """Let another incarnation follow one; it knows no epoch."""
        vulnerable = self._vulnerable()
        if vulnerable:
            incarnation = self._draw.choice(vulnerable)
            self.judge.box_lost(incarnation, self._long_running_on(incarnation))
            self._keep_apart(self._replace(incarnation))

    def _restart_on_island(self):
        """Let another incarnation follow one that only former leaders reach. It accepts
        their polls, as it knows no epoch."""
        world = self.world
        island = [
            name
            for name in sorted(self._island & world.entries.keys())
            if world.boxes[name].alive
        ]
        if island:
            incarnation = self._replace(self._draw.choice(island))
            self._island.add(incarnation)
            world.leader.cut_from.add(incarnation)

    def _replace(self, incarnation):
        """Let an incarnation end; returns the one that follows it."""
        world = self.world
        alive = [name for name in sorted(world.entries) if world.boxes[name].alive]
        before = set(world.entries)
        world.crash_box(alive.index(incarnation))
        (after,) = world.entries.keys() - before
        return after

    def _keep_apart(self, incarnation):
        """Cut former leaders off from a box that is new."""
        for process in self._isolated:
            process.cut_from.add(incarnation)

    def _lose_box(self):
        """Lose a box for good; it stays listed, or not."""
        draw, world = self._draw, self.world
        vulnerable = self._vulnerable()
        if not vulnerable:
            return
        busy = [name for name in vulnerable if world.boxes[name].running]
        incarnation = draw.choice(busy or vulnerable)
        self.judge.box_lost(incarnation, self._long_running_on(incarnation))
        kind = draw.choice(("cut", "cut", "mute", "refusing", "crash"))
        if kind == "cut":
            world.cut_until[incarnation] = math.inf
        elif kind == "mute":
            world.mute.add(incarnation)
        elif kind == "refusing":
            world.refusing.add(incarnation)
        else:
            world.end_box(incarnation)
        if draw.random() < 0.3:
            world.entries.pop(incarnation)

    def _lose_leader(self):
        """Lose the leader, with some boxes at nearly the same time."""
        draw, world = self._draw, self.world
        most = max(1, len(world.entries) // 4)
        offsets = [draw.choice(OFFSETS_S) for _ in range(draw.randint(0, most))]
        before = world.leader
        for offset in OFFSETS_S:
            if offset == 0.0:
                orderly = self._end_leader(draw.choice(LEADER_LOSSES))
            for _ in range(offsets.count(offset)):
                self._lose_box()
            self._advance(OFFSETS_S[-1])
        if not orderly:
            self._advance(draw.choice(PAUSES_S))
        if draw.random() < 0.1:
            # It wakes just as its successor takes over.
            before.resume()
        if world.leader is before:
            self._take_over(orderly)

    def _end_leader(self, kind):
        """Lose the leader; returns whether it has resigned.

        ``store``: it goes on without the store. ``hall``: it does so and reaches the
        boxes of one data hall, which its successors don't reach. ``island``: the same
        with any of the boxes that may be lost, ``majority`` with a majority of the
        witnesses, if so many may be.
        """
        world = self.world
        leader = world.leader
        if kind == "hand over" and not (world.store_down or leader.without_store):
            leader.resign()
            return True
        if kind in ("hall", "island", "majority"):
            leader.without_store = True
            others = self._choose_island(kind)
            for incarnation in others:
                self.judge.box_lost(incarnation, self._long_running_on(incarnation))
            self._island.update(others)
            leader.cut_from |= world.entries.keys() - self._island
            self._isolated.append(leader)
        elif kind == "store":
            leader.without_store = True
        elif kind == "freeze":
            leader.frozen = True
        elif kind == "suspend":
            leader.suspend()
        else:
            world.kill()
        return False

    def _choose_island(self, kind):
        draw, world = self._draw, self.world
        others = self._vulnerable()
        if kind == "hall":
            hall = draw.choice(HALLS[1:])
            return [name for name in others if world.entries[name].hall == hall]
        busy = [name for name in others if world.boxes[name].running]
        chosen = draw.sample(busy, min(len(busy), 1))
        if kind == "majority":
            panel = self.judge.read_panel()
            wanted = panel.majority - len(set(chosen) & set(panel.members))
            members = [n for n in panel.members if n in others and n not in chosen]
            chosen += draw.sample(members, min(wanted, len(members)))
        else:
            chosen += draw.sample(others, draw.randint(0, len(others)))
        return sorted(set(chosen))

    def _take_over(self, orderly):
        before = self.world.leader
        self.world.take_over()
        if self.world.leader is not before:
            self.world.leader.cut_from |= self._island
            self.judge.leader_changed(before, orderly)

    def _lose_during_outage(self):
        """Let the store be away, and perhaps lose boxes, or the leader, meanwhile."""
        draw, world = self._draw, self.world
        outage_s = draw.choice(OUTAGES_S)
        world.store_down = True
        self.judge.store_away()
        lost = False
        lost_at = draw.uniform(0.0, outage_s)
        self._advance(lost_at)
        for _ in range(draw.choice((0, 0, 1, 2))):
            self._lose_box()
        if draw.random() < 0.3:
            self._keep_apart(world.add_box())
        if draw.random() < 0.5:
            lost = True
            self._end_leader(
                draw.choice(("kill", "freeze", "suspend", "hall", "island"))
            )
        self._advance(outage_s - lost_at)
        self._bring_store_back()
        if lost:
            self._advance(draw.choice(PAUSES_S))
            self._take_over(orderly=False)

    def _bring_store_back(self):
        if self.world.store_down:
            self.world.store_down = False
            self.judge.store_back()
