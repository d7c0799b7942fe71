"""Seeded storms over a shard: boxes are lost together, again and again, while leaders
change and the store is away, with and without tasks that crash boxes themselves."""

import heapq
import itertools
import random

from granitetrestle.workflows import Step
from granitetrestle_standins.boxcrashes import BoxCrashes
from granitetrestle_standins.boxcrashes import CrashBehavior
from granitetrestle_standins.shardprocess import TICK_INTERVAL_S
from granitetrestle_standins.shardworld import ShardWorld
from storm_judge import StormJudge

BOXES = (3, 4, 5, 6, 6, 8, 8, 12, 12, 16, 24)
# Jobs submitted per second and box.
RATES = (0.02, 0.1, 0.1, 0.3)
MAX_RATE = 3.0
QUIET_BEFORE_S = (2.0, 5.0, 8.0)
STORMS_S = (5.0, 10.0, 20.0, 40.0)
CALM_AFTER_S = 20.0
WHOLE_RUN_SHARE = 0.2
# A task runs for a time that follows from its index; that of index 2 is the longest.
LONGEST_INDEX = 2
# Events of a storm, and how likely one has them.
KINDS = {
    **dict.fromkeys(("waves",), 0.7),
    **dict.fromkeys(("single losses", "leaders"), 0.5),
    **dict.fromkeys(("store", "lost answers", "resets", "removals", "cuts"), 0.35),
    "failed runs": 0.15,
}
SMALL_STEPS = (
    (Step(count=1, cpu=500, memory_mb=10),),
    (Step(count=3, cpu=500, memory_mb=10),),
    (Step(count=4, cpu=1000, memory_mb=10),),
)
LINKED_STEPS = (
    (
        Step(count=2, cpu=500, memory_mb=10),
        Step(count=3, cpu=1000, memory_mb=10, depends_on=(0,)),
    ),
    (
        Step(count=1, cpu=500, memory_mb=10),
        Step(count=2, cpu=500, memory_mb=10, depends_on=(0,)),
        Step(count=3, cpu=500, memory_mb=10, depends_on=(0, 1)),
    ),
)
LOADS = (SMALL_STEPS, LINKED_STEPS, SMALL_STEPS + LINKED_STEPS)
CULPRIT_KINDS = ("start", "unanswered", "later", "half", "long-running", "pair")


class StormCrashes(BoxCrashes):
    """Crashes of which the judge counts those that a task causes itself; a task may be
    started again after others."""

    def exceeds_start_limit(self, task):
        return False


class StormWorld(ShardWorld):
    """A shard that keeps every scheduler process, with what it logged."""

    def __init__(self, *args, **options):
        self.ever_led = []
        super().__init__(*args, **options)
        self.box_crashes = StormCrashes()

    def _create_process(self, epoch):
        process = super()._create_process(epoch)
        self.ever_led.append(process)
        return process


class RandomStorm:
    """One seed: quiet, a storm, and calm, or a storm that lasts until the end.

    :ivar judge: a :class:`.storm_judge.StormJudge`.
    :ivar kinds: the events that the storm has.
    """

    def __init__(self, seed):
        self._draw = draw = random.Random(f"storm {seed}")
        boxes = draw.choice(BOXES)
        keep_ids = draw.random() < 0.5
        self.world = StormWorld(seed, boxes, ("h1", "h2"), keep_ids=keep_ids)
        self.judge = StormJudge(self.world, self.world.ever_led)
        self._boxes = boxes
        self._began = self.world.now
        self._due = []
        self._order = itertools.count()
        self._rate = min(MAX_RATE, boxes * draw.choice(RATES))
        self._load = draw.choice(LOADS)
        self.kinds = {kind for kind, share in KINDS.items() if draw.random() < share}
        self.kinds = self.kinds or {"waves"}
        self._whole_run = draw.random() < WHOLE_RUN_SHARE
        self._storm_begins = draw.choice(QUIET_BEFORE_S)
        self._storm_ends = self._storm_begins + draw.choice(STORMS_S)
        self._ends = self._storm_ends + (0.0 if self._whole_run else CALM_AFTER_S)
        self._draw_work()
        if seed % 2:
            self._draw_culprits()
        self._draw_storm()

    def run(self):
        """Run the seed, and then time until all jobs have ended.

        :raises PromiseBroken: if a promise of the world does not hold.
        """
        self._advance_to(self._ends)
        self._end_faults()
        self.judge.check()

    def settle(self):
        """Let all jobs end.

        :raises PromiseBroken: if a promise of the world does not hold.
        """
        self.world.settle(300.0)

    def culprits(self):
        """Return what became of each task that crashes boxes."""
        ended_at = self.world.now if self._whole_run else self._storm_ends + self._began
        return self.judge.culprits(min(ended_at, self.world.now))

    # The timeline. Times are in seconds since the run began.

    @property
    def _now(self):
        return self.world.now - self._began

    def _at(self, at, action, *args):
        heapq.heappush(self._due, (at, next(self._order), action, args))

    def _after(self, seconds, action, *args):
        self._at(self._now + seconds, action, *args)

    def _advance_to(self, end):
        world, judge = self.world, self.judge
        while self._now < end:
            while self._due and self._due[0][0] <= self._now:
                _, _, action, args = heapq.heappop(self._due)
                action(*args)
            if self._is_disturbed():
                judge.disturbed_at = world.now
            world.advance(TICK_INTERVAL_S)
            judge.check()
            if round(self._now / TICK_INTERVAL_S) % 4 == 0:
                judge.measure_waits()

    def _is_disturbed(self):
        world = self.world
        return (
            world.store_down
            or world.leader.stopped
            or world.leader.frozen
            or bool(world.delayed_share or world.lost_answer_share)
            or any(until > world.now for until in world.cut_until.values())
            or any(until > world.now for until in world.reset_until.values())
        )

    def _disturbed(self):
        self.judge.disturbed_at = self.world.now

    # Work.

    def _draw_work(self):
        draw = self._draw
        for _ in range(draw.randint(0, 4)):
            step = Step(
                count=draw.randint(2, 6), cpu=500, memory_mb=10, long_running=True
            )
            self._at(draw.uniform(0.3, 2.0), self.world.submit, (step,))
        at = 0.3
        while at < self._ends - 3.0:
            self._at(at, self.world.submit, draw.choice(self._load))
            at += draw.expovariate(self._rate)

    def _draw_culprits(self):
        draw = self._draw
        for _ in range(draw.randint(1, 4)):
            moments = (
                draw.uniform(0.5, self._storm_begins),
                draw.uniform(self._storm_begins, self._storm_ends),
                draw.uniform(
                    self._storm_ends, max(self._storm_ends, self._ends - 10.0)
                ),
            )
            at = draw.choice(moments[:2] if self._whole_run else moments)
            self._at(at, self._submit_culprit, draw.choice(CULPRIT_KINDS))

    def _submit_culprit(self, kind):
        draw, crashes = self._draw, self.world.box_crashes
        delay_s = draw.choice((0.04, draw.uniform(0.3, 2.0)))
        behavior = {
            "unanswered": CrashBehavior(before_answer=True),
            "later": CrashBehavior(draw.uniform(0.3, 2.0)),
            "half": CrashBehavior(share=0.5),
            "long-running": CrashBehavior(delay_s),
        }.get(kind, CrashBehavior())
        step = Step(
            count=draw.randint(LONGEST_INDEX + 1, 4),
            cpu=500,
            memory_mb=10,
            long_running=kind == "long-running",
        )
        job = self.world.submit((step,))
        for index in (LONGEST_INDEX, 0) if kind == "pair" else (LONGEST_INDEX,):
            task = f"{job}.0.0.{index}"
            crashes.crashing.add(task)
            crashes.behaviors[task] = behavior
            self.judge.add_culprit(task, kind)

    # The storm.

    def _draw_storm(self):
        draw, begins = self._draw, self._storm_begins
        self._wave_share = draw.uniform(0.1, 0.5)
        self._wave_gap_s = draw.uniform(1.5, 5.0)
        self._away_share = draw.choice((0.0, 0.0, 0.2, 0.5))
        self._cut_share = draw.choice((0.2, 0.5)) if "cuts" in self.kinds else 0.0
        self._loss_gap_s = draw.uniform(0.5, 5.0)
        self._leader_gap_s = draw.uniform(2.0, 10.0)
        if "waves" in self.kinds or "cuts" in self.kinds:
            self._at(begins, self._wave)
        if "single losses" in self.kinds:
            self._at(begins, self._single_loss)
        if "leaders" in self.kinds:
            self._at(begins + draw.uniform(0.0, 5.0), self._change_leader)
        if "store" in self.kinds:
            for _ in range(draw.randint(1, 2)):
                at = draw.uniform(begins, self._storm_ends)
                self._at(at, self._set_store, True)
                self._at(at + draw.uniform(2.0, 6.0), self._set_store, False)
        if "lost answers" in self.kinds:
            shares = draw.choice((0.0, 0.05, 0.2)), draw.choice((0.05, 0.2))
            self._at(begins, self._set_shares, *shares)
            self._at(self._storm_ends, self._set_shares, 0.0, 0.0)
        if "failed runs" in self.kinds:
            self._at(0.0, setattr, self.world, "task_failure_share", 0.1)
        if "resets" in self.kinds:
            self._at(begins, self._reset)
        if "removals" in self.kinds:
            self._at(begins, self._remove)

    def _again(self, mean_s, action):
        """Repeat an action after about this time, while the storm lasts."""
        at = self._now + mean_s * self._draw.uniform(0.7, 1.3)
        if at < self._storm_ends:
            self._at(at, action)

    def _alive(self):
        world = self.world
        return [name for name in sorted(world.entries) if world.boxes[name].alive]

    def _wave(self):
        draw, alive = self._draw, self._alive()
        count = min(len(alive), max(1, round(self._wave_share * len(alive))))
        away = draw.random() < self._away_share
        for incarnation in draw.sample(alive, count):
            if draw.random() < self._cut_share:
                self._cut(incarnation)
            else:
                self._after(
                    draw.choice((0.0, 0.0, 0.1)), self._crash, incarnation, away
                )
        self._again(self._wave_gap_s, self._wave)

    def _cut(self, incarnation):
        """Cut a box off; it may crash before it answers again."""
        seconds = self._draw.choice((0.5, 1.0, 2.0, 4.0, 8.0))
        self.world.cut_until[incarnation] = self.world.now + seconds
        if self._draw.random() < 0.5:
            self._after(
                self._draw.uniform(0.0, seconds), self._crash, incarnation, False
            )

    def _crash(self, incarnation, away):
        """Crash a box, which comes back after a second or is replaced some time later."""
        world = self.world
        if not world.boxes[incarnation].alive:
            return
        self._disturbed()
        if away:
            world.end_box(incarnation)
            self._after(self._draw.uniform(0.5, 4.0), self._unlist, incarnation)
            self._after(self._draw.uniform(4.0, 12.0), world.add_box)
        else:
            world.box_crashes.crash_and_restart(world.boxes[incarnation], world.now)

    def _unlist(self, incarnation):
        self.world.entries.pop(incarnation, None)

    def _single_loss(self):
        if alive := self._alive():
            self._crash(self._draw.choice(alive), self._draw.random() < 0.2)
        self._again(self._loss_gap_s, self._single_loss)

    def _remove(self):
        """Take a box away, whose entry goes first; another one comes for it."""
        if alive := self._alive():
            incarnation = self._draw.choice(alive)
            self._disturbed()
            self._unlist(incarnation)
            self._after(self._draw.uniform(0.1, 2.0), self._end, incarnation)
            self._after(self._draw.uniform(2.0, 6.0), self.world.add_box)
        self._again(4.0, self._remove)

    def _end(self, incarnation):
        if self.world.boxes[incarnation].alive:
            self._disturbed()
            self.world.end_box(incarnation)

    def _reset(self):
        alive = self._alive()
        count = self._draw.randint(0, len(alive))
        until = self.world.now + TICK_INTERVAL_S
        for incarnation in self._draw.sample(alive, count):
            self.world.reset_until[incarnation] = until
        self._again(1.0, self._reset)

    def _change_leader(self):
        """Kill, replace, freeze or suspend the leader."""
        world, draw = self.world, self._draw
        leader = world.leader
        kind = draw.choice(("kill", "kill", "depose", "freeze", "suspend", "hand over"))
        if not leader.stopped and not leader.frozen:
            if kind == "kill":
                world.kill()
            elif kind == "freeze":
                leader.frozen = True
            elif kind == "suspend":
                leader.suspend()
            elif kind == "hand over" and not world.store_down:
                leader.resign()
            self._disturbed()
            if kind in ("freeze", "suspend"):
                self._after(draw.uniform(0.5, 6.0), leader.resume)
            pause_s = draw.choice((0.0, 0.3, 1.0, 2.5))
            # A suspended leader may go on before another takes over.
            if kind != "suspend" or draw.random() < 0.7:
                self._after(pause_s, self._take_over, leader)
        self._again(self._leader_gap_s, self._change_leader)

    def _take_over(self, former):
        world = self.world
        world.take_over()
        self._disturbed()
        if world.leader is former:
            self._after(0.3, self._take_over, former)

    def _set_store(self, down):
        self.world.store_down = down
        self._disturbed()

    def _set_shares(self, delayed, lost):
        self.world.delayed_share = delayed
        self.world.lost_answer_share = lost

    def _end_faults(self):
        """Let a leader go on that reaches the store, so that it knows what was shown, and
        replace the boxes that stay away."""
        world = self.world
        world.store_down = False
        if world.leader.stopped or world.leader.frozen:
            world.take_over()
        for _ in range(self._boxes - len(self._alive())):
            world.add_box()
        world.advance(TICK_INTERVAL_S)
