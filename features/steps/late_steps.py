"""Steps for refused clients and for late best-effort jobs."""

import heapq
import itertools
import random

from behave import given
from behave import then
from behave import when

from granitetrestle.decisions import AcknowledgeEnds
from granitetrestle.decisions import StartTask
from granitetrestle.decisions import StopTask
from granitetrestle.interfaces import BoxEntry
from granitetrestle.interfaces import CommandAccepted
from granitetrestle.interfaces import Config
from granitetrestle.interfaces import EndedRun
from granitetrestle.interfaces import PollResult
from granitetrestle.interfaces import Queue
from granitetrestle.interfaces import RunningTask
from granitetrestle.jobcalls import SubmitJob
from granitetrestle.mechanisms import Mechanism
from granitetrestle.retryafter import FollowingOutage
from granitetrestle.retryafter import SteadyRetries
from granitetrestle.scheduler import Scheduler
from granitetrestle.shardstate import SchedulerParameters
from granitetrestle.startlimits import UNLIMITED_STARTS
from granitetrestle.startlimits import StartLimits
from granitetrestle.waitingorder import count_waiting_tasks
from granitetrestle.workflows import Step
from granitetrestle.workflows import Submission

CLIENT_COUNT, MAX_ATTEMPTS, ROUND_TRIP_S = 4000, 5, 0.02


def simulate_outage(policy, outage_s):
    """Return the percentage of the clients that are accepted, and their mean wait."""
    waits = []
    for number in range(CLIENT_COUNT):
        arrived_at = at = outage_s * number / CLIENT_COUNT
        for _ in range(MAX_ATTEMPTS):
            if at >= outage_s:
                waits.append(at - arrived_at)
                break
            at += policy.after_s(at) + ROUND_TRIP_S
    return 100.0 * len(waits) / CLIENT_COUNT, sum(waits) / len(waits)


@given("clients that arrive during an outage of {seconds:g} seconds")
def outage(context, seconds):
    context.outage = seconds


@when("each is told when to retry, as shipped and with steady_returns switched off")
def retry_both_ways(context):
    context.shipped = simulate_outage(SteadyRetries(), context.outage)
    context.baseline = simulate_outage(FollowingOutage(), context.outage)


@then("as shipped at least {share:g} in 100 are accepted, and no fewer")
def accepted(context, share):
    assert context.shipped[0] >= share, context.shipped
    assert context.shipped[0] >= context.baseline[0], (
        context.shipped,
        context.baseline,
    )


@then(
    "they have waited at most {wait:g} seconds at the mean, and no longer than the "
    "others"
)
def waited(context, wait):
    assert context.shipped[1] <= wait, context.shipped
    assert context.shipped[1] <= context.baseline[1], (
        context.shipped,
        context.baseline,
    )


class SimulatedShard:
    """A scheduler among boxes that carry out commands at once; each has room for a few
    best-effort tasks."""

    CPU, TASK_CPU, TASK_S = 8000, 2000, 1.0

    def __init__(self, boxes, *off):
        self.now = 100.0
        parameters = SchedulerParameters(keep_s=600.0, off=frozenset(off))
        self.scheduler = Scheduler(parameters, self.now)
        queue = Queue("q", "h", "/q/", "pool", 0, 3, 2.0, 1000.0)
        self.scheduler.apply_config(Config(1, (queue,), {}, 1000))
        incarnations = [f"b{number:02}" for number in range(boxes)]
        entries = {
            incarnation: BoxEntry(
                incarnation,
                incarnation,
                "pool",
                "h",
                "r",
                frozenset(),
                self.CPU,
                10**6,
                0,
                False,
                None,
            )
            for incarnation in incarnations
        }
        self.running = {incarnation: {} for incarnation in incarnations}
        self.ended = {incarnation: [] for incarnation in incarnations}
        self.counts = dict.fromkeys(incarnations, 0)
        self.ends = []
        self.jobs = {}
        self.max_starts = UNLIMITED_STARTS
        self.scheduler.fleet.update_boxes(entries, self.now)
        for incarnation in incarnations:
            self.poll(incarnation)

    def submit(self, tasks):
        job = f"{len(self.jobs):016x}"
        step = Step(
            tasks,
            self.TASK_CPU,
            10,
            estimate_ms=int(self.TASK_S * 1000),
            image="f",
            best_effort=True,
        )
        call = SubmitJob(Submission(job, "q", "pool", "s", (step,)))
        self.apply(self.scheduler.handle_call(job, call, self.now))
        self.jobs[job] = self.now

    def apply(self, decisions):
        for decision in decisions:
            if isinstance(decision, StartTask):
                self.running[decision.incarnation][decision.task] = decision.run
                end = (
                    self.now + self.TASK_S,
                    decision.incarnation,
                    decision.task,
                    decision.run,
                )
                heapq.heappush(self.ends, end)
                self.apply(
                    self.scheduler.handle_start_outcome(
                        decision.incarnation,
                        decision.task,
                        decision.run,
                        CommandAccepted(1),
                        self.now,
                    )
                )
            elif isinstance(decision, StopTask):
                raise AssertionError(decision)
            elif isinstance(decision, AcknowledgeEnds):
                self.ended[decision.incarnation].clear()

    def poll(self, incarnation):
        rows = tuple(
            RunningTask(task, run, "", 50, float(self.TASK_CPU))
            for task, run in self.running[incarnation].items()
        )
        poll = PollResult(int(self.now * 1000), rows, tuple(self.ended[incarnation]))
        self.scheduler.fleet.plan_poll(incarnation, self.now, 0.0)
        self.apply(
            self.scheduler.fleet.handle_poll_outcome(
                incarnation, self.now, self.now, poll
            )
        )

    def tick(self, decide=True):
        self.now += 0.1
        while self.ends and self.ends[0][0] <= self.now:
            _, incarnation, task, run = heapq.heappop(self.ends)
            del self.running[incarnation][task]
            self.counts[incarnation] += 1
            self.ended[incarnation].append(
                EndedRun(self.counts[incarnation], task, run, "done", "")
            )
        for incarnation in self.running:
            self.poll(incarnation)
        if decide:
            self.apply(self.scheduler.decide(self.now, 0, StartLimits(self.max_starts)))

    def in_time(self, times=1.0):
        """Return how many jobs were completed within ``times`` their objective."""
        workflows = [self.scheduler.state.workflows[job] for job in self.jobs]
        objective = 2.0 * self.TASK_S + 1.0
        return sum(
            workflow.state == "completed"
            and workflow.ended_at - self.jobs[workflow.submission.job]
            <= times * objective
            for workflow in workflows
        )


@given(
    "a full shard of {boxes:d} boxes where best-effort jobs were held up for {s:g} "
    "seconds"
)
def held_up(context, boxes, s):
    context.shards = []
    for off in ((), (Mechanism.TOO_LATE_LAST,)):
        shard = SimulatedShard(boxes, *off)
        rng = random.Random(5)
        for _ in range(round(s * 10)):
            if rng.random() < 0.3:
                shard.submit(rng.choice((8, 12, 20)))
            shard.tick(decide=False)
        context.shards.append(shard)
    context.held_up = list(context.shards[0].jobs)


@when("new jobs that need {share:g} of the room are submitted for {s:g} seconds")
def submit_new_jobs(context, share, s):
    for shard in context.shards:
        rng = random.Random(6)
        room = share * len(shard.running) * shard.CPU / shard.TASK_CPU / shard.TASK_S
        for _ in range(round(s * 10)):
            left = room / 10.0
            while left > 0 and rng.random() < 0.9:
                tasks = rng.choice((8, 12, 20, 30))
                shard.submit(tasks)
                left -= tasks
            shard.tick()


@given(
    "a shard of {boxes:d} boxes and a burst of {count:d} best-effort jobs, "
    "of {tasks} tasks each"
)
def burst_of_jobs(context, boxes, count, tasks):
    context.shards = []
    for off in ((), (Mechanism.URGENCY,)):
        shard = SimulatedShard(boxes, *off)
        rng = random.Random(7)
        for _ in range(count):
            shard.submit(rng.choice((4, 8, 20, 60, 120)))
        for _ in range(80):
            shard.tick()
        context.shards.append(shard)


@then(
    "at least {factor:g} times as many jobs are completed in time as with {off} "
    "switched off"
)
def more_in_time(context, factor, off):
    shipped, baseline = (shard.in_time() for shard in context.shards)
    assert baseline > 0 and shipped >= factor * baseline, (shipped, baseline)


@then("at least {factor:g} times as many jobs are of use as with {off} switched off")
def more_within_three_objectives(context, factor, off):
    shipped, baseline = (shard.in_time(3.0) for shard in context.shards)
    assert baseline > 0 and shipped >= factor * baseline, (shipped, baseline)


@then("no fewer jobs are completed in time")
def no_fewer(context):
    shipped, baseline = (shard.in_time() for shard in context.shards)
    assert shipped >= baseline, (shipped, baseline)


@then("every job that was held up is completed in the end")
def all_completed(context):
    shard = context.shards[0]
    for _ in range(1200):
        shard.tick()
    states = {shard.scheduler.state.workflows[job].state for job in context.held_up}
    assert states == {"completed"}, states


@then("the counts show waiting best-effort tasks, late ones and more that are too late")
def counts_show(context):
    shard = context.shards[0]
    waiting = count_waiting_tasks(shard.scheduler.state.waiting.values(), shard.now)
    assert waiting["short"] == waiting["lasting"] == 0, waiting
    assert 0 < waiting["late"] < waiting["too_late"], waiting
    assert waiting["late"] + waiting["too_late"] < waiting["fills"], waiting


@given(
    "a shard of {boxes:d} boxes with a limit of {most:d} starts in a pass, "
    "and an old job of 20 tasks"
)
def limited_starts(context, boxes, most):
    shard = SimulatedShard(boxes)
    shard.max_starts = most
    shard.submit(20)
    for _ in range(120):
        shard.tick(decide=False)
    context.shards = [shard]


@when("jobs in time are submitted for {s:g} seconds, more than can be started")
def submit_jobs_in_time(context, s):
    (shard,) = context.shards
    old = shard.scheduler.state.workflows[next(iter(shard.jobs))]
    context.started = [shard.now]
    for _ in range(round(s * 10)):
        before = sum(task.run for task in old.tasks.values())
        shard.submit(10)
        shard.tick()
        if sum(task.run for task in old.tasks.values()) > before:
            context.started.append(shard.now)
    context.started.append(shard.now)


@then("the old job starts a task at least every {most:g} seconds")
def never_starved(context, most):
    gaps = [b - a for a, b in itertools.pairwise(context.started)]
    assert max(gaps) <= most, gaps
