"""Seeded series of changes of leader, in order and not, beside boxes that are lost for
good or cut off for a while."""

import math
import random

from granitetrestle.workflows import Step
from granitetrestle_standins.shardprocess import TICK_INTERVAL_S
from granitetrestle_standins.shardworld import ShardWorld
from lease_judge import LeaseJudge

KINDS = (
    *("hand over", "hand over", "hand over", "kill", "freeze"),
    *("store", "island", "return", "unwritten", "boxes"),
)
GAPS_S = (0.0, 0.3, 1.0, 1.0, 2.0, 4.0, 10.0)
# Between the end of a leader and the take-over of its successor.
PAUSES_S = (0.0, 0.05, 0.5, 1.0, 2.5)
# The same where the leader reaches boxes that its successor does not reach: the sooner,
# the longer leases run there after the take-over.
ISLAND_PAUSES_S = (0.0, 0.05, 0.3, 1.0)
CUTS_S = (0.5, 2.0, 4.0, 8.0)
# Boxes that are never lost and that every leader reaches have room for all long-running
# tasks, and for the others beside them, even while the scheduler keeps one box empty.
SPARE_BOXES = 3
LONG_RUNNING = Step(count=2, cpu=900, memory_mb=10, long_running=True)
SHORT = Step(count=2, cpu=200, memory_mb=10)


class WorldWithoutWitnesses(ShardWorld):
    """A shard whose leaders follow no panel of witnesses, like those of shards with fewer
    than three boxes, and of older versions."""

    def _create_process(self, epoch):
        process = super()._create_process(epoch)
        process.scheduler.fleet.leases.update_panel = lambda now: []
        return process


class RandomSeries:
    """One seed: a series of changes of leader, and then time until all jobs have ended.

    In one of four seeds the store is also unavailable at times, calls are delayed and
    lost, and polls take long; there only the promises of the world are judged.

    :param witnesses: whether leaders follow a panel of witnesses.
    """

    def __init__(self, seed, witnesses=True):
        self._draw = draw = random.Random(f"series {seed}")
        boxes = draw.randint(2, 6)
        self._rough = draw.random() < 0.25
        world = ShardWorld if witnesses else WorldWithoutWitnesses
        self.world = world(
            seed,
            boxes,
            ("h1", "h2"),
            keep_ids=draw.random() < 0.5,
            slow_clocks=draw.random() < 0.5,
        )
        self._poll_wait_s = draw.choice((0.0, 0.5, 1.0))
        self._spares = set()
        self._unlist_at = {}
        # Epochs of former leaders whose processes have ended.
        self._ended_epochs = []
        self._predecessor = None
        # Boxes that only former leaders reach.
        self._island = set()
        self.judge = LeaseJudge(self.world)
        # In a series of one kind nothing else prolongs or shortens a wait.
        self._kinds = KINDS if draw.random() < 0.6 else (draw.choice(KINDS),)

    def run(self):
        """Run the seed.

        :raises PromiseBroken: if a promise does not hold.
        """
        world, draw = self.world, self._draw
        self._advance(0.3)
        for _ in range(draw.randint(1, 3)):
            world.submit((LONG_RUNNING,))
        self._advance(draw.choice((1.0, 2.0, 4.0)))
        # Added only now, they hold none of these tasks yet.
        self._spares.update(world.add_box() for _ in range(SPARE_BOXES))
        self._advance(0.5)
        for _ in range(draw.randint(1, 6)):
            self._disturb()
            self._change_leader(draw.choice(self._kinds))
            gap = draw.choice(GAPS_S)
            self._advance(gap / 2)
            self._disturb()
            self._advance(gap / 2)
        # All leases end that a former leader may have granted.
        self._advance(world.parameters.orphan_s + world.parameters.lease_bound_s + 1.0)
        self._end_disturbances()
        while self.judge.pending and not self._rough:
            self._advance(TICK_INTERVAL_S)
        world.settle(300.0)

    def _advance(self, seconds):
        for _ in range(round(seconds / TICK_INTERVAL_S)):
            self.world.advance(TICK_INTERVAL_S)
            due = [name for name, at in self._unlist_at.items() if at <= self.world.now]
            for incarnation in due:
                del self._unlist_at[incarnation]
                self.world.entries.pop(incarnation, None)
            if self._rough:
                self._delay_polls()
            else:
                self.judge.check()

    def _delay_polls(self):
        """Let the next poll of each box that was just polled wait for longer."""
        for process in self.world.processes:
            for incarnation, at in process.polled_at.items():
                if at == process.now:
                    process.polled_at[incarnation] += self._poll_wait_s

    def _disturb(self):
        """Draw what happens beside a change of leader."""
        draw, world = self._draw, self.world
        if draw.random() < 0.5:
            self._lose_box()
        if draw.random() < 0.2:
            cuttable = self._vulnerable()
            if cuttable:
                incarnation = draw.choice(cuttable)
                world.cut_until[incarnation] = world.now + draw.choice(CUTS_S)
        if draw.random() < 0.2:
            world.submit((SHORT,))
        if draw.random() < 0.1:
            self._restore_former_leaders()
        if draw.random() < 0.5:
            self._report_ended_process()
        if draw.random() < 0.1:
            world.add_box()
        if self._rough:
            world.store_down = draw.random() < 0.2
            world.delayed_share = draw.choice((0.0, 0.1, 0.25))
            world.delayed_poll_share = draw.choice((0.0, 0.1, 0.25))
            world.lost_answer_share = draw.choice((0.0, 0.1, 0.25))

    def _end_disturbances(self):
        world = self.world
        world.store_down = False
        world.delayed_share = world.delayed_poll_share = world.lost_answer_share = 0.0
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

    def _lose_box(self):
        """Lose a box for good; it stays listed, or is not listed any more some time."""
        draw, world = self._draw, self.world
        vulnerable = self._vulnerable()
        if not vulnerable:
            return
        busy = [name for name in vulnerable if world.boxes[name].running]
        incarnation = draw.choice(busy or vulnerable)
        tasks = [
            task
            for task in world.boxes[incarnation].running
            if world.is_long_running(task)
        ]
        kind = draw.choice(("cut", "mute", "refusing", "crash"))
        if kind == "cut":
            world.cut_until[incarnation] = math.inf
        elif kind == "mute":
            world.mute.add(incarnation)
        elif kind == "refusing":
            world.refusing.add(incarnation)
        else:
            world.end_box(incarnation)
        if draw.random() < 0.5:
            self._unlist_at[incarnation] = world.now + draw.choice((0.0, 0.5, 2.0, 6.0))
        self.judge.box_lost(incarnation, tasks, kind in ("refusing", "crash"))

    def _restore_former_leaders(self):
        """Thaw former leaders, and reconnect them; all boxes are reached again."""
        for process in self.world.processes:
            process.resume()
        self._island.clear()
        self.world.reconnect_all()

    def _report_ended_process(self):
        """Tell the leader of a former leader whose process has ended."""
        leader = self.world.leader
        if not self._ended_epochs or leader.stopped or leader.frozen:
            return
        epoch = self._draw.choice(self._ended_epochs[-3:])
        leader.predecessor_ended(epoch)
        # One that never wrote has left no mark of its own.
        if epoch == self._predecessor.epoch and self._predecessor.sequence > 1:
            self.judge.predecessor_ended()
        # The leader writes what it knows now.
        self._advance(TICK_INTERVAL_S)

    def _take_over(self, orderly):
        before = self.world.leader
        ended = before.stopped and not self.world.store_down
        self.world.take_over()
        if self.world.leader is not before:
            self._predecessor = before
            if ended:
                self._ended_epochs.append(before.epoch)
            self.world.leader.cut_from |= self._island
            self.judge.leader_changed(orderly)

    def _change_leader(self, kind):
        """Replace the leader.

        ``store``: it goes on for a while without the store. ``island``: it does so and
        reaches some boxes that its successors don't reach, and no others. ``return``:
        these were cut off before, and answer again just then. ``unwritten``: it hands
        over to one that does so before it has written anything. ``boxes``: it does not
        reach some boxes.
        """
        draw, world = self._draw, self.world
        leader = world.leader
        pause = draw.choice(PAUSES_S)
        if kind in ("island", "return", "unwritten"):
            pause = draw.choice(ISLAND_PAUSES_S)
        if kind == "hand over":
            self._hand_over()
            return
        if kind == "kill":
            world.kill()
            self.judge.leader_gone()
        elif kind == "freeze":
            leader.frozen = True
            self.judge.leader_gone()
        elif kind == "store":
            leader.without_store = True
            self.judge.leader_gone()
        elif kind == "unwritten":
            self._hand_over()
            self._isolate(world.leader, returning=False)
        elif kind in ("island", "return"):
            self._isolate(leader, returning=kind == "return")
        else:
            self._cut_from_boxes(leader)
            if draw.random() < 0.5:
                self._advance(pause)
                self._hand_over()
                return
        self._advance(pause)
        if draw.random() < 0.3:
            self._lose_box()
        self._take_over(orderly=False)

    def _hand_over(self):
        """Let the leader resign; it may go on for a while, and reach other boxes than
        its successor."""
        leader = self.world.leader
        # A store that is away can't be told of a resignation.
        orderly = not (self.world.store_down or leader.without_store)
        leader.resign()
        if orderly and self._draw.random() < 0.3:
            leader.stopped = False
            self._cut_off(leader, self._others())
        self._take_over(orderly)

    def _others(self):
        """Draw some of the boxes that not every leader has to reach."""
        boxes = self.world.boxes
        others = sorted(
            incarnation
            for incarnation in self.world.entries.keys() - self._spares
            if boxes[incarnation].alive
        )
        return set(self._draw.sample(others, self._draw.randint(0, len(others))))

    def _isolate(self, leader, returning):
        world, others = self.world, self._others()
        if returning:
            cut_s = self._draw.choice((0.5, 1.5, 2.0, 3.0))
            # Calls to a box that refuses them provably do not leave; the judge relies
            # on that for as long as the box is lost.
            for incarnation in others - world.refusing:
                until = world.cut_until.get(incarnation, 0.0)
                world.cut_until[incarnation] = max(until, world.now + cut_s)
            self._advance(cut_s - 2 * TICK_INTERVAL_S)
        self.judge.leader_gone()
        self._cut_off(leader, others)

    def _cut_off(self, leader, others):
        """Cut a leader from the store and all but some boxes, which no other reaches."""
        self._island |= others
        leader.without_store = True
        leader.cut_from.clear()
        leader.cut_from |= self.world.entries.keys() - self._island

    def _cut_from_boxes(self, leader):
        leader.cut_from |= self._others()
