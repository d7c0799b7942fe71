"""Steps for more best-effort work than there is room for."""

import heapq
import math
import random

from behave import given
from behave import then

from granitetrestle.decisions import AcknowledgeEnds
from granitetrestle.decisions import StartTask
from granitetrestle.interfaces import BoxEntry
from granitetrestle.interfaces import CommandAccepted
from granitetrestle.interfaces import Config
from granitetrestle.interfaces import EndedRun
from granitetrestle.interfaces import PollResult
from granitetrestle.interfaces import Queue
from granitetrestle.interfaces import RunningTask
from granitetrestle.jobcalls import SubmitJob
from granitetrestle.mechanisms import Mechanism
from granitetrestle.scheduler import Scheduler
from granitetrestle.shardstate import SchedulerParameters
from granitetrestle.shardstate import WaitingStep
from granitetrestle.waitingorder import ByUrgency
from granitetrestle.workflows import Step
from granitetrestle.workflows import Submission
from granitetrestle.workflows import Workflow

TICK_S = 0.1
BOX_CPU, TASK_CPU = 8000, 2000
SLOWDOWN, TARGET_S = 2.0, 1.0
MEDIAN_TASK_S = 2.2
USEFUL_FACTOR = 3.0
LOAD_DURATION_S, DRAIN_DURATION_S = 45.0, 15.0
BURSTS = ((5.0, 11.0), (17.0, 23.0))
BASE_LOAD = 0.95


class BurstSimulation:
    """A scheduler among boxes that carry out commands at once, under a random load."""

    def __init__(self, boxes, load, off):
        self.now = 100.0
        parameters = SchedulerParameters(keep_s=600.0, off=frozenset(off))
        self.scheduler = Scheduler(parameters, self.now)
        queue = Queue("q", "h", "/q/", "pool", 0, 3, SLOWDOWN, TARGET_S * 1000.0)
        self.scheduler.apply_config(Config(1, (queue,), {}, 1000))
        incarnations = [f"b{number:02}" for number in range(boxes)]
        self.running = {incarnation: {} for incarnation in incarnations}
        self.ended = {incarnation: [] for incarnation in incarnations}
        self.counts = dict.fromkeys(incarnations, 0)
        self.ends = []
        self.durations_s = {}
        self.submitted = {}
        entries = {
            incarnation: BoxEntry(
                *(incarnation, incarnation, "pool", "h", "r", frozenset()),
                *(BOX_CPU, 10**6, 0, False, None),
            )
            for incarnation in incarnations
        }
        self.scheduler.fleet.update_boxes(entries, self.now)
        self.run(random.Random(1), boxes * BOX_CPU / TASK_CPU, load)

    def run(self, rng, room, load):
        backlog = 0.0
        for tick in range(round(LOAD_DURATION_S / TICK_S)):
            at = tick * TICK_S
            burst = any(begins < at < ends for begins, ends in BURSTS)
            backlog += room * (load if burst else BASE_LOAD) * TICK_S
            while backlog > 0:
                backlog -= self.submit(rng)
            self.tick()
        for _ in range(round(DRAIN_DURATION_S / TICK_S)):
            self.tick()

    def submit(self, rng):
        """Submit a random job and return its work in task-seconds."""
        tasks = max(1, min(200, int(rng.lognormvariate(2.2, 0.8))))
        duration_s = MEDIAN_TASK_S * rng.lognormvariate(0.0, 0.5)
        estimate_ms = int(1000 * duration_s * math.exp(rng.gauss(0.0, 0.6)))
        job = f"{len(self.submitted):016x}"
        first = Step(
            tasks, TASK_CPU, 10, estimate_ms=estimate_ms, image="f", best_effort=True
        )
        second = Step(
            *(tasks, TASK_CPU, 10),
            estimate_ms=estimate_ms,
            depends_on=(0,),
            image="f",
            best_effort=True,
        )
        self.durations_s[job] = duration_s
        self.submitted[job] = (self.now, 2 * tasks * duration_s)
        submission = Submission(job, "q", "pool", "s", (first, second))
        self.apply(self.scheduler.handle_call(job, SubmitJob(submission), self.now))
        return self.submitted[job][1]

    def tick(self):
        self.now += TICK_S
        while self.ends and self.ends[0][0] <= self.now:
            _, incarnation, task, run = heapq.heappop(self.ends)
            del self.running[incarnation][task]
            self.counts[incarnation] += 1
            self.ended[incarnation].append(
                EndedRun(self.counts[incarnation], task, run, "done", "")
            )
        for incarnation, running in self.running.items():
            rows = tuple(
                RunningTask(task, run, "", 50, float(TASK_CPU))
                for task, run in running.items()
            )
            poll = PollResult(
                int(self.now * 1000), rows, tuple(self.ended[incarnation])
            )
            self.scheduler.fleet.plan_poll(incarnation, self.now, 0.0)
            self.apply(
                self.scheduler.fleet.handle_poll_outcome(
                    incarnation, self.now, self.now, poll
                )
            )
        self.apply(self.scheduler.decide(self.now, 0))

    def apply(self, decisions):
        for decision in decisions:
            if isinstance(decision, StartTask):
                self.start(decision)
            elif isinstance(decision, AcknowledgeEnds):
                self.ended[decision.incarnation].clear()

    def start(self, decision):
        self.running[decision.incarnation][decision.task] = decision.run
        ends = self.now + self.durations_s[decision.task.split(".")[0]]
        heapq.heappush(
            self.ends, (ends, decision.incarnation, decision.task, decision.run)
        )
        self.apply(
            self.scheduler.handle_start_outcome(
                decision.incarnation,
                decision.task,
                decision.run,
                CommandAccepted(1),
                self.now,
            )
        )

    def served(self, first, last):
        """Return which share of the jobs between two quantiles of size was of use."""
        ranked = sorted(self.submitted, key=lambda job: self.submitted[job][1])
        jobs = ranked[int(len(ranked) * first) : int(len(ranked) * last)]
        return sum(map(self.of_use, jobs)) / len(jobs)

    def of_use(self, job):
        workflow = self.scheduler.state.workflows[job]
        objective = SLOWDOWN * 2 * self.durations_s[job] + TARGET_S
        took = workflow.ended_at - self.submitted[job][0]
        return workflow.state == "completed" and took <= USEFUL_FACTOR * objective


@given("a shard of {boxes:d} boxes and two bursts of {load:d} times its room")
def two_bursts(context, boxes, load):
    context.shipped = BurstSimulation(boxes, load, ())
    off = (Mechanism.VALUE, Mechanism.SIZE_SHARES)
    context.baseline = BurstSimulation(boxes, load, off)


@then(
    "the largest tenth, and the fifth below it, are served at least {share:g} times as "
    "often as all"
)
def largest_served(context, share):
    simulation = context.shipped
    whole = simulation.served(0.0, 1.0)
    assert simulation.served(0.9, 1.0) >= share * whole, simulation.served(0.9, 1.0)
    assert simulation.served(0.7, 0.9) >= share * whole, simulation.served(0.7, 0.9)


@then(
    "of the largest tenth at least {factor:g} times as many as with value and "
    "size_shares switched off"
)
def more_of_largest(context, factor):
    shipped, baseline = (
        simulation.served(0.9, 1.0)
        for simulation in (context.shipped, context.baseline)
    )
    assert shipped >= factor * baseline, (shipped, baseline)


def waiting(order, job, tasks, done=0, latest=200.0):
    """Return a waiting step of a job."""
    step = Step(tasks, 1000, 10, estimate_ms=1000, image="f", best_effort=True)
    workflow = Workflow(Submission(job, "q", "pool", "s", (step,)), 100.0)
    order.record_submission(workflow)
    for task in workflow.step_tasks(0, 0)[:done]:
        workflow.mark_done(task, 101.0)
    entry = WaitingStep(workflow, 0, 0, 0, latest)
    entry.latest_useful_start = latest + 10.0
    return entry


def order_of(sizes):
    """Return an order after jobs of these sizes, of which the largest did not start."""
    order = ByUrgency(too_late_last=True, by_value=True, size_shares=True)
    for number, tasks in enumerate(sizes):
        entry = waiting(order, f"{number:016x}", tasks)
        if tasks < max(sizes):
            for task in entry.workflow.tasks.values():
                order.record_start(task)
    order.start_pass(110.0)
    return order


@given("a waiting job that is half done and one of the same size that has not started")
def half_done(context):
    context.order = order_of([])
    context.first = waiting(context.order, "a" * 16, 20, done=10)
    context.second = waiting(context.order, "b" * 16, 20)


@then("the first goes before the second")
def first_goes(context):
    key = context.order.sort_key
    assert key(context.first, 110.0) < key(context.second, 110.0)


@given("{count:d} jobs of which the largest were not started")
def largest_nothing(context, count):
    context.order = order_of([4] * (count - count // 8) + [100] * (count // 8))
    context.large = waiting(context.order, "a" * 16, 100)
    context.small = waiting(context.order, "b" * 16, 4)
    context.order.start_pass(110.0)


@then(
    "a large job goes before a small one that is equally late, and not before one in "
    "time"
)
def large_goes(context):
    key = context.order.sort_key
    assert key(context.large, 110.0) < key(context.small, 110.0)
    assert key(context.large, 205.0) < key(context.small, 205.0)
    assert key(context.large, 205.0) > key(context.small, 110.0)


@then("a small job goes before a large one")
def small_goes(context):
    key = context.order.sort_key
    assert key(context.small, 110.0) < key(context.large, 110.0)
