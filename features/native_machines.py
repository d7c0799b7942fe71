"""Hypothesis state machine over the real scheduler among model boxes (shardworld)."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import rule
from hypothesis.stateful import run_state_machine_as_test

from granitetrestle.workflows import Step
from granitetrestle_standins.shardworld import HALLS_TOPIC
from granitetrestle_standins.shardworld import ShardWorld
from machines import CHOICE
from machines import PROFILE

PAUSE = st.sampled_from([0.05, 0.1, 0.5, 1.0, 3.0])
SHARE = st.sampled_from([0.0, 0.1, 0.5])
STEPS = st.sampled_from(
    [
        (Step(count=1, cpu=1000, memory_mb=100),),
        (Step(count=4, cpu=1000, memory_mb=100),),
        (Step(count=2, cpu=500, memory_mb=100, long_running=True),),
        (
            Step(count=2, cpu=1000, memory_mb=100),
            Step(count=3, cpu=2000, memory_mb=100, depends_on=(0,)),
        ),
        (
            Step(count=1, cpu=500, memory_mb=100),
            Step(count=1, cpu=500, memory_mb=100, depends_on=(0,)),
            Step(count=2, cpu=500, memory_mb=100, depends_on=(0, 1)),
        ),
    ]
)


class ShardMachine(RuleBasedStateMachine):
    """Work and faults in any order."""

    @initialize(seed=st.integers(0, 10**6), boxes=st.integers(1, 5))
    def begin(self, seed, boxes):
        self.world = ShardWorld(seed, boxes, ("h1", "h2"), keep_ids=bool(seed % 2))
        self.jobs = []
        self.world.advance(0.3)

    @rule(steps=STEPS)
    def submit(self, steps):
        self.jobs.append(self.world.submit(steps))

    @rule(choice=CHOICE)
    def cancel(self, choice):
        if self.jobs:
            self.world.cancel(self.jobs[choice % len(self.jobs)])

    @rule(pause=PAUSE)
    def wait(self, pause):
        self.world.advance(pause)

    @rule(pause=PAUSE)
    def kill_and_replace(self, pause):
        self.world.kill()
        self.world.advance(pause)
        self.world.take_over()

    @rule()
    def depose(self):
        self.world.take_over()

    @rule()
    def freeze_and_replace(self):
        self.world.leader.frozen = True
        self.world.take_over()

    @rule()
    def thaw(self):
        for process in self.world.processes:
            process.frozen = False

    @rule(choice=CHOICE)
    def crash_box(self, choice):
        self.world.crash_box(choice)

    @rule(steps=STEPS, choice=CHOICE, unanswered=st.booleans())
    def submit_crashing(self, steps, choice, unanswered):
        """Submit a job with a task that crashes each box that starts it."""
        job = self.world.submit(steps)
        self.jobs.append(job)
        step = choice % len(steps)
        index = choice % steps[step].count
        self.world.box_crashes.crashing.add(f"{job}.0.{step}.{index}")
        self.world.box_crashes.crash_before_answer = unanswered

    @rule(choice=CHOICE, seconds=st.sampled_from([0.5, 2.0, 4.0, 8.0]))
    def cut_box(self, choice, seconds):
        self.world.cut_box(choice, seconds)

    @rule(late=SHARE, lost=SHARE, fail=SHARE)
    def disturb(self, late, lost, fail):
        self.world.delayed_share = late / 2
        self.world.lost_answer_share = lost / 2
        self.world.task_failure_share = fail / 2

    @rule(hall=st.sampled_from(["h1", "h2"]), evacuated=st.booleans())
    def set_hall_directive(self, hall, evacuated):
        if evacuated:
            self.world.evacuate(hall)
        else:
            self.world.restore(hall)

    @rule()
    def forget_directives(self):
        self.world.store.drop_history(HALLS_TOPIC)

    @rule(down=st.booleans())
    def store(self, down):
        self.world.store_down = down

    def teardown(self):
        if hasattr(self, "world"):
            self.world.settle(300.0)


def run_shard_machine(examples=40, steps=40):
    run_state_machine_as_test(
        ShardMachine,
        settings=settings(PROFILE, max_examples=examples, stateful_step_count=steps),
    )
