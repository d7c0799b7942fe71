"""Hypothesis state machines over several reducers, a fake log and fake boxes.
Hypothesis draws the order of work and faults; the fakes assert the promises on
every step, and the end of each run lets everything settle and checks again."""

import hypothesis.strategies as st
from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import rule
from hypothesis.stateful import run_state_machine_as_test

from granitetrestle.records import JobSpec
from granitetrestle_standins.chaos import Chaos
from granitetrestle_standins.fakes import Faults
from granitetrestle_standins.fakes import World

CHOICE = st.integers(0, 99)
PAUSE = st.sampled_from([0.0, 0.1, 0.5, 2.0, 5.0])
FREEZE = st.sampled_from([0.5, 3.0, 6.0, 15.0])

PROFILE = settings(
    max_examples=12,
    stateful_step_count=25,
    deadline=None,
    derandomize=True,
    database=None,
    # Shrinking takes minutes; the fixed draws replay a failure as it is.
    phases=(Phase.generate,),
    suppress_health_check=list(HealthCheck),
)


class FaultMachine(RuleBasedStateMachine):
    """Faults that every machine may draw."""

    halls = {"zurich": 3}
    shards = 2

    @initialize(seed=st.integers(0, 10**6), boxes=st.integers(1, 4))
    def start(self, seed, boxes):
        self.world = World(
            seed, self.halls, boxes, shards=self.shards, snapshot_records=60
        )
        self.chaos = Chaos(self.world)
        self.chaos.advance(3.0)

    @rule(pause=PAUSE)
    def wait(self, pause):
        self.chaos.advance(pause)

    @rule(choice=CHOICE)
    def kill(self, choice):
        self.chaos.kill(choice)
        self.chaos.advance(0.3)

    @rule(choice=CHOICE, seconds=FREEZE)
    def freeze(self, choice, seconds):
        self.chaos.freeze(choice, seconds)
        self.chaos.advance(seconds / 2)

    @rule(choice=CHOICE, what=st.integers(0, 5), pause=PAUSE)
    def cut(self, choice, what, pause):
        self.chaos.cut(choice, what)
        self.chaos.advance(pause)

    @rule(
        lost=st.sampled_from([0.0, 0.1, 0.3]),
        doubled=st.sampled_from([0.0, 0.2]),
        late=st.sampled_from([0.0, 0.2]),
        down=st.booleans(),
        lost_answers=st.sampled_from([0.0, 0.7]),
        pause=PAUSE,
    )
    def bad_network(self, lost, doubled, late, down, lost_answers, pause):
        self.world.faults = Faults(
            lost=lost,
            doubled=doubled,
            late=late,
            log_down=down,
            lost_answers=lost_answers,
        )
        self.chaos.advance(pause)

    @rule()
    def heal(self):
        self.chaos.heal()
        self.chaos.advance(1.0)

    @rule(keep=st.sampled_from([70, 200]))
    def expire(self, keep):
        self.world.log.expire_all(keep)

    @rule(choice=CHOICE)
    def box_leaves(self, choice):
        self.chaos.box_leaves(choice)

    @rule()
    def box_returns(self):
        self.chaos.box_returns()

    def teardown(self):
        if hasattr(self, "chaos"):
            self.chaos.settle()


class WorkMachine(FaultMachine):
    """Jobs, services, evictions and boxes that fail."""

    @rule(
        choice=CHOICE,
        cores=st.sampled_from([1.0, 3.0, 8.0]),
        tasks=st.integers(1, 4),
        run_s=st.sampled_from([0.5, 4.0]),
        urgent=st.booleans(),
    )
    def submit(self, choice, cores, tasks, run_s, urgent):
        spec = JobSpec("batch", cores, 2.0, tasks=tasks, run_s=run_s, urgent=urgent)
        self.chaos.submit(choice, spec, "acc")
        self.chaos.advance(0.4)

    @rule(choice=CHOICE, tasks=st.integers(1, 2))
    def submit_service(self, choice, tasks):
        spec = JobSpec("service", 2.0, 2.0, tasks=tasks, service="unlock")
        self.chaos.submit(choice, spec, "acc")
        self.chaos.advance(0.4)

    @rule(choice=CHOICE)
    def cancel(self, choice):
        self.chaos.cancel(choice)

    @rule(choice=CHOICE, seconds=FREEZE)
    def box_fails(self, choice, seconds):
        self.chaos.box_fails(choice, seconds)


class TableMachine(FaultMachine):
    """Editors who race each other at several processes of two halls."""

    halls = {"zurich": 2, "bern": 2}
    shards = 1

    @rule(choice=CHOICE, cells=st.integers(0, 2))
    def edit(self, choice, cells):
        self.chaos.edit(choice, cells)

    @rule(first=CHOICE, second=CHOICE, cells=st.integers(0, 2))
    def race(self, first, second, cells):
        self.chaos.edit(first, cells)
        self.chaos.edit(second, cells)
        self.chaos.advance(0.1)


class RequestMachine(FaultMachine):
    """Callers of a service, with and without keys, in two halls."""

    halls = {"zurich": 2, "bern": 2}
    shards = 1

    @initialize(seed=st.integers(0, 10**6), boxes=st.integers(1, 3))
    def start(self, seed, boxes):
        super().start(seed, boxes)
        spec = JobSpec("service", 1.0, 1.0, tasks=2, service="unlock")
        self.chaos.submit(0, spec, "acc")
        self.chaos.advance(4.0)

    @rule(choice=CHOICE, count=st.integers(1, 12))
    def call(self, choice, count):
        for _ in range(count):
            self.chaos.call(choice, "unlock")
        self.chaos.advance(0.05)

    @rule(first=CHOICE, second=CHOICE, key=st.integers(0, 10**6), pause=PAUSE)
    def call_twice_with_a_key(self, first, second, key, pause):
        self.chaos.call(first, "unlock", f"key{key}")
        self.chaos.advance(min(pause, 0.5))
        self.chaos.call(second, "unlock", f"key{key}")
        self.chaos.advance(0.05)


MACHINES = {"work": WorkMachine, "table": TableMachine, "request": RequestMachine}


def run_machine(name):
    """Run a machine with fixed draws; raises what it finds."""
    run_state_machine_as_test(MACHINES[name], settings=PROFILE)
