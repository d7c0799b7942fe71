"""Steps for large tasks that wait for room among smaller ones."""

import heapq
import random

from behave import given
from behave import then
from behave import when

from granitetrestle.boxes import BoxView
from granitetrestle.boxindex import BoxIndex
from granitetrestle.decisions import AcknowledgeEnds
from granitetrestle.decisions import LogEvent
from granitetrestle.decisions import StartTask
from granitetrestle.interfaces import BoxEntry
from granitetrestle.interfaces import CommandAccepted
from granitetrestle.interfaces import EndedRun
from granitetrestle.interfaces import PollResult
from granitetrestle.interfaces import RunningTask
from granitetrestle.jobcalls import SubmitJob
from granitetrestle.mechanisms import Mechanism
from granitetrestle.reservations import BoxReservations
from granitetrestle.scheduler import Scheduler
from granitetrestle.shardstate import WaitingStep
from granitetrestle.workflows import Step
from granitetrestle.workflows import Submission
from granitetrestle.workflows import Workflow
from session_world import CONFIG
from session_world import PARAMETERS

BOXES, BOX_CPU, HELD_CPU, SHORT_CPU = 20, 32_000, 12_000, 4000
LARGE_CPU = 20_000
SHORT_S = (0.5, 1.5)
WAITING_SHORT = 60
TICK_S = 0.1


def box_entry(name, draining=False):
    return BoxEntry(
        *(name, "10.0.0.1:1", "pool", "h", "", frozenset(), BOX_CPU, 100_000, 0),
        *(draining, 4.0 if draining else None),
    )


def step(cpu, seconds=0.0, **fields):
    fields.setdefault("memory_mb", 100)
    fields.setdefault("long_running", not seconds)
    return Step(count=1, cpu=cpu, estimate_ms=int(seconds * 1000), **fields)


class CrowdedShard:
    """A scheduler among boxes that carry out commands at once; short tasks wait always,
    each box holds one long-running task."""

    def __init__(self, off=frozenset(), kept=False):
        self.now = 10.0
        self.random = random.Random(1)
        self.jobs = 0
        self.started = {}
        self.events = []
        self.ends = []
        self.running = {f"b{n:02}": {} for n in range(BOXES)}
        self.ended = {name: [] for name in self.running}
        self.numbers = dict.fromkeys(self.running, 0)
        self.parameters = PARAMETERS._replace(
            off=frozenset(off) | (frozenset() if kept else {Mechanism.HEADROOM})
        )
        self.lead()
        for _ in self.running:
            self.submit(step(HELD_CPU))
        self.tick()

    def lead(self, records=()):
        self.scheduler = Scheduler(self.parameters, self.now)
        self.scheduler.restore(records, self.now)
        self.scheduler.apply_config(CONFIG)
        entries = {name: box_entry(name) for name in self.running}
        self.scheduler.fleet.update_boxes(entries, self.now)
        for name in entries:
            self.poll(name)

    def submit(self, task):
        self.jobs += 1
        job = f"{self.jobs:016x}"
        submission = Submission(job, "q", "pool", "s", (task,))
        self.apply(self.scheduler.handle_call(job, SubmitJob(submission), self.now))
        return job

    def poll(self, name):
        rows = tuple(
            RunningTask(task, run, "", 0, 0.0)
            for task, run in self.running[name].items()
        )
        poll = PollResult(int(self.now * 1000), rows, tuple(self.ended[name]))
        fleet = self.scheduler.fleet
        self.apply(fleet.handle_poll_outcome(name, self.now, self.now, poll))

    def apply(self, decisions):
        for decision in decisions:
            if isinstance(decision, LogEvent):
                self.events.append(decision)
            elif isinstance(decision, AcknowledgeEnds):
                box = self.scheduler.state.boxes[decision.incarnation]
                box.durable_end = decision.number
                self.ended[decision.incarnation].clear()
            elif isinstance(decision, StartTask):
                self.start(decision)

    def start(self, command):
        self.started.setdefault(command.task.split(".")[0], self.now)
        self.running[command.incarnation][command.task] = command.run
        task = self.scheduler.state.find_task(command.task)
        if not task.spec.long_running:
            ends_at = self.now + task.spec.estimate_ms / 1000.0
            end = (ends_at, command.incarnation, command.task, command.run)
            heapq.heappush(self.ends, end)
        accepted = CommandAccepted(int(self.now * 1000))
        self.apply(
            self.scheduler.handle_start_outcome(
                command.incarnation, command.task, command.run, accepted, self.now
            )
        )

    def tick(self):
        self.now += TICK_S
        self.scheduler.evacuation.record_read(self.now)
        while self.ends and self.ends[0][0] <= self.now:
            _, name, task, run = heapq.heappop(self.ends)
            del self.running[name][task]
            self.numbers[name] += 1
            self.ended[name].append(EndedRun(self.numbers[name], task, run, "done", ""))
        for name in self.running:
            self.poll(name)
        self.apply(self.scheduler.decide(self.now, int(self.now * 1000)))

    def crowd(self, seconds):
        until = self.now + seconds
        while self.now < until:
            waiting = sum(
                len(entry.tasks)
                for entry in self.scheduler.state.waiting.values()
                if not entry.spec.long_running
            )
            for _ in range(WAITING_SHORT - waiting):
                self.submit(step(SHORT_CPU, self.random.uniform(*SHORT_S)))
            self.tick()

    @property
    def cpu_used(self):
        boxes = self.scheduler.state.boxes.values()
        return sum(box.cpu_used for box in boxes)


@given("short tasks that want more room than there is")
def crowded(context):
    context.shard = CrowdedShard()
    context.shard.crowd(3.0)
    context.used_before = context.shard.cpu_used


@given("short tasks that want more room than there is, without reservations")
def crowded_without(context):
    context.shard = CrowdedShard({Mechanism.RESERVATIONS})
    context.shard.crowd(3.0)


@when("a long-running task of 20 cores is submitted")
def submit_large(context):
    context.asked = context.shard.now
    context.large = [context.shard.submit(step(LARGE_CPU))]


@when("{count:d} long-running tasks of 20 cores are submitted")
def submit_several(context, count):
    context.asked = context.shard.now
    context.large = [context.shard.submit(step(LARGE_CPU)) for _ in range(count)]


@when("a short task of 20 cores is submitted, and then one like it every half second")
def submit_large_short(context):
    shard = context.shard
    context.asked = shard.now
    context.large = [shard.submit(step(LARGE_CPU, 2.0))]
    while shard.now - context.asked < 6.0 and context.large[0] not in shard.started:
        shard.crowd(0.5)
        shard.submit(step(LARGE_CPU, 0.2))


@when(
    "a long-running task of 20 cores is submitted, and all boxes are kept for short ones"
)
def submit_kept(context):
    shard = context.shard = CrowdedShard(kept=True)

    class AllKept(type(shard.scheduler.dispatcher.kept_room.headroom)):
        def _reserve(self, service, boxes, waiting_cpu, elapsed_s):
            self._reserved |= {box.incarnation for box in boxes}

    shard.scheduler.dispatcher._headroom = AllKept()
    shard.crowd(3.0)
    submit_large(context)


@then("it starts within {seconds:g} seconds")
@then("it starts within {seconds:g} seconds under the successor")
@then("all of them start within {seconds:g} seconds")
def starts_within(context, seconds):
    context.most_reserved = 0
    shard = context.shard
    while not all(job in shard.started for job in context.large):
        shard.crowd(TICK_S)
        context.most_reserved = max(
            context.most_reserved,
            len(shard.scheduler.dispatcher.kept_room.reservations.boxes),
        )
        assert shard.now - context.asked <= seconds, shard.now - context.asked


@then("it does not start within {seconds:g} seconds")
def does_not_start(context, seconds):
    context.shard.crowd(seconds)
    assert context.large[0] not in context.shard.started


@then("the other boxes are as busy as before")
def others_busy(context):
    context.shard.crowd(1.0)
    lost = context.used_before - context.shard.cpu_used
    assert lost <= SHORT_CPU * 5, (context.used_before, context.shard.cpu_used)


@then("never is more than {most:d} box reserved")
def reserved_at_most(context, most):
    assert context.most_reserved == most, context.most_reserved


@when(
    "a long-running task of 20 cores has waited for {seconds:g} seconds as its leader "
    "is killed"
)
def leader_killed(context, seconds):
    shard = context.shard
    submit_large(context)
    records = {}
    since = shard.now
    while shard.now - since < seconds:
        shard.crowd(TICK_S)
        records |= {record.key: record for record in shard.scheduler.take_writes()}
    assert context.large[0] not in shard.started
    kept = [record for record in records.values() if record.value is not None]
    shard.lead(kept)
    context.asked = shard.now


@then(
    "the log tells that a box was reserved for it, since when it waited, and that it "
    "started"
)
def logged(context):
    starts_within(context, 5.0)
    events = [e for e in context.shard.events if context.large[0] in e.subject]
    names = [event.event for event in events]
    assert names == ["job_taken", "room_reserved", "reservation_over"], names
    assert events[1].inputs["waited_s"] >= 2.0, events[1]
    assert events[2].inputs["reason"] == "a task of the step started", events[2]


class OneReservation:
    """Two boxes, of which one is reserved for a step that needs 16 cores there."""

    def __init__(self, free):
        self.now = 10.0
        self.index = BoxIndex()
        self.boxes = [
            BoxView(box_entry(name), 0.0, self.index.mark_changed)
            for name in ("b1", "b2")
        ]
        for box in self.boxes:
            box.adopted = True
        self.reservations = BoxReservations()
        self.busy = []
        for box, seconds in zip(self.boxes, (3.0, 5.0), strict=True):
            if free < 16:
                self.occupy(box, 16_000 - free * 1000, 0.0)
                self.occupy(box, 16_000, seconds)
            else:
                self.occupy(box, 32_000 - free * 1000, 0.0)
                self.occupy(box, free * 1000, seconds)
        self.index.refresh(self.now)
        self.owner = waiting_step("a", step(16_000, memory_mb=60_000))
        self.owner.waits_since = self.now - 3.0
        self.waiting = {("a" * 16, 0, 0): self.owner}
        self.request()
        if free >= 16:
            # The short task ended early.
            box = self.boxes[0]
            box.free(box.tasks[f"{box.incarnation}.1"])

    @property
    def pool(self):
        return self.index.pool("pool")

    @property
    def reserved(self):
        return set(self.reservations.boxes)

    def occupy(self, box, cpu, seconds):
        if cpu:
            task = next(iter(waiting_step("f", step(cpu, seconds)).tasks.values()))
            task.started_at = self.now
            task.name = f"{box.incarnation}.{len(box.tasks)}"
            box.place(task)

    def request(self):
        self.index.refresh(self.now)
        self.reservations.start_pass(self.waiting, [self.pool], self.now)
        boxes = self.pool.boxes.values()
        self.reservations.request(self.owner, self.pool, boxes, self.now)

    def allows(self, task):
        entry = waiting_step("c", task)
        return self.reservations.allows(entry, self.boxes[0], self.now)


def waiting_step(letter, task):
    submission = Submission(letter * 16, "q", "pool", "s", (task,))
    entry = WaitingStep(Workflow(submission, 0.0), 0, 0, 1, 0.0)
    entry.tasks = {t.name: t for t in entry.workflow.tasks.values()}
    return entry


@given("a box with a reservation for 16 cores in 3 seconds, and {free:d} cores free")
def one_reservation(context, free):
    context.one = OneReservation(free)
    assert context.one.reserved == {"b1"}, context.one.reserved
    (made,) = context.one.reservations._by_key.values()
    assert 2.0 <= made.expected_at - context.one.now <= 3.0, made


@then(
    "a short task of 4 cores may start there if it takes 2 seconds, not if it takes 4"
)
def backfills(context):
    assert context.one.allows(step(4000, 2.0))
    assert not context.one.allows(step(4000, 4.0))


@then(
    "a short task of 4 cores may start there if it takes 2 seconds, and if it takes 4"
)
def both_fit(context):
    assert context.one.allows(step(4000, 2.0))
    assert context.one.allows(step(4000, 4.0))


@then("a long-running task of 4 cores may not start there")
def long_running_excluded(context):
    assert not context.one.allows(step(4000))


@then("a long-running task of 4 cores may start there")
def long_running_allowed(context):
    assert context.one.allows(step(4000))


@then("a best-effort task that takes 4 seconds may start there, but for lack of memory")
def best_effort_memory(context):
    assert context.one.allows(step(4000, 4.0, best_effort=True))
    wide = step(4000, 4.0, best_effort=True, memory_mb=50_000)
    assert not context.one.allows(wide)


@when("another step that waits has room on a box, but may not use it")
def not_large(context):
    one = context.one
    entry = waiting_step("e", step(4000))
    entry.waits_since = one.now - 9.0
    one.reservations.start_pass(one.waiting, [one.pool], one.now)
    one.reservations._drop(one.reservations._by_key["a" * 16, 0, 0], "test", one.now)
    one.reservations.request(entry, one.pool, one.pool.boxes.values(), one.now)


@when("the job that waits for it is cancelled")
def owner_cancelled(context):
    context.one.waiting.clear()
    one = context.one
    one.reservations.start_pass(one.waiting, [one.pool], one.now)


@then("no box is reserved")
def none_reserved(context):
    assert context.one.reserved == set()


@when("that box falls silent")
def box_silent(context):
    context.one.boxes[0].silent_since = context.one.now
    context.one.request()


@when("6 seconds pass, and the tasks there go on")
def room_missing(context):
    context.one.now += 6.0
    context.one.request()


@then("another box is reserved")
def other_reserved(context):
    assert context.one.reserved == {"b2"}, context.one.reserved
