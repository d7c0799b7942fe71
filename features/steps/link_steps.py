"""Steps for a leader behind a small link."""

import time

import anyio
from behave import given
from behave import then
from behave import when

from granitetrestle.boxpoller import BoxPoller
from granitetrestle.commandwindow import CommandWindow
from granitetrestle.commandwindow import UnlimitedWindow
from granitetrestle.decisions import StartTask
from granitetrestle.fleet import PollPlan
from granitetrestle.interfaces import BoxNoAnswer
from granitetrestle.interfaces import CommandAccepted
from granitetrestle.interfaces import CommandNotSent
from granitetrestle.jobcalls import CancelJob
from granitetrestle.jobcalls import SubmitJob
from granitetrestle.looplag import LoopLag
from granitetrestle.nodemetrics import NodeMetrics
from granitetrestle.pollbudget import PollBudget
from granitetrestle.startlimits import StartLimits
from granitetrestle.witnesses import Witnesses
from granitetrestle.workflows import Step
from granitetrestle.workflows import Submission
from granitetrestle_bench.deciding import Load
from rights import CONFIRMED_LEASE

CALL_TIMEOUT_S = 0.4


class Link:
    """A link that carries one call after the other."""

    def __init__(self, calls_per_s):
        self.call_s = 1.0 / calls_per_s
        self.free_at = 0.0
        self.calls = self.timed_out = 0
        self.started = {}

    async def start(self, command, token, spec, lease_ends_ms, checkpoint, ticket):
        self.calls += 1
        now = time.monotonic()
        self.free_at = max(now, self.free_at) + self.call_s
        wait = self.free_at - now
        if wait > CALL_TIMEOUT_S:
            await anyio.sleep(CALL_TIMEOUT_S)
            self.timed_out += 1
            return BoxNoAnswer("no answer in time")
        await anyio.sleep(wait)
        self.started.setdefault(command.task, time.monotonic())
        return CommandAccepted(1)


class Scheduler:
    """The part of a scheduler that a poller uses."""

    class fleet:
        class leases:
            @staticmethod
            def renew(box, now, proof_age_s):
                return 1

    class state:
        boxes = {}

    def __init__(self, boxes):
        self.state.boxes = {f"b{number}": object() for number in range(boxes)}

    def confirm_start(self, command, now):
        return True

    def handle_start_outcome(self, incarnation, task, run, outcome, now):
        return []


@given("{boxes:d} boxes behind a link that carries {rate:g} commands a second")
def behind_link(context, boxes, rate):
    context.boxes, context.link = boxes, Link(rate)


def burst(context, window, count, after, urgent):
    link = context.link
    scheduler = Scheduler(context.boxes)

    async def script():
        pollers = [
            BoxPoller(
                f"b{number}",
                "a",
                1,
                link,
                scheduler,
                lambda decisions: None,
                CONFIRMED_LEASE,
                NodeMetrics(),
                window,
                LoopLag(),
                PollBudget(3900),
            )
            for number in range(context.boxes)
        ]
        async with anyio.create_task_group() as tasks:

            def start_task(number, best_effort):
                poller = pollers[number % len(pollers)]
                incarnation = f"b{number % len(pollers)}"
                start = StartTask(incarnation, f"{number}", 1, "s", "", "", best_effort)
                tasks.start_soon(poller.execute, start)

            for number in range(count):
                start_task(number, True)
            await anyio.sleep(after)
            context.asked = time.monotonic()
            for number in range(urgent):
                start_task(1000 + number * 7, False)

    anyio.run(script)


@when(
    "{count:d} best-effort starts are sent at once, "
    "and {after:g} seconds later {urgent:d} short ones"
)
def burst_through_window(context, count, after, urgent):
    context.urgent = urgent
    context.count = count
    burst(context, CommandWindow(), count, after, urgent)


@when("the same is sent with the command window switched off")
def burst_without_window(context):
    burst(context, UnlimitedWindow(), 240, 0.3, 6)


@then("at most {most:g} in 100 calls timed out, and each start was carried out")
def few_timed_out(context, most):
    link = context.link
    assert link.timed_out <= most / 100 * link.calls, (link.timed_out, link.calls)
    assert len(link.started) == context.count + context.urgent


@then("at least {least:g} in 100 calls timed out")
def many_timed_out(context, least):
    link = context.link
    assert link.timed_out >= least / 100 * link.calls, (link.timed_out, link.calls)


@then("the short ones were answered within {seconds:g} seconds")
def urgent_answered(context, seconds):
    times = [at for task, at in context.link.started.items() if int(task) >= 1000]
    took = max(times) - context.asked
    assert took <= seconds, took


@given("a command window that sent {count:d} commands, answered in {ms:g} ms each")
def warm_window(context, count, ms):
    context.now = 10.0
    context.window = CommandWindow(lambda: context.now)
    for _ in range(count):
        context.now += ms / 1000.0
        context.window.record_answer(ms / 1000.0)


@when("{count:d} commands go alternately to a box that answers and to one that is gone")
def answers_and_no_answers(context, count):
    for number in range(count):
        context.now += 0.02
        if number % 2:
            context.window.record_no_answer()
        else:
            context.window.record_answer(0.006)


@then("it still allows at least {least:d} commands in flight")
def window_is_at_least(context, least):
    assert context.window.size >= least, context.window.size


@given("a leader with {boxes:d} free boxes that may send {most:d} commands soon")
def free_boxes_and_capacity(context, boxes, most):
    context.load = Load(boxes, 3)
    context.most = most
    scheduler = context.load.scheduler
    for workflow in list(scheduler.state.workflows.values()):
        scheduler.handle_call("c", CancelJob(workflow.submission.job), context.load.now)


def place_starts(context):
    load = context.load
    load.now += 0.1
    decisions = load.scheduler.decide(load.now, 0, StartLimits(context.most))
    return [d for d in decisions if isinstance(d, StartTask)]


def submit_job(context, job, queue, **step):
    submission = Submission(job, queue, "pool", "s", (Step(**step),))
    call = SubmitJob(submission)
    context.load.scheduler.handle_call(job, call, context.load.now)


@when("a job of {count:d} best-effort tasks waits, and then one of {few:d} short tasks")
def best_effort_then_urgent(context, count, few):
    submit_job(
        context, "a" * 16, "fill", count=count, cpu=1000, best_effort=True, image="f"
    )
    context.first = place_starts(context)
    submit_job(context, "b" * 16, "short", count=few, cpu=1000)
    context.then = place_starts(context)


@then("10 of the first are started, and the short ones before any more of them")
def urgent_before(context):
    assert [command.task[0] for command in context.first] == ["a"] * 10, context.first
    tasks = [command.task[0] for command in context.then]
    assert tasks[:4] == ["b"] * 4 and len(tasks) == 10, tasks


@when("a job's start waits for its turn while its box starts to drain")
def box_leaves(context):
    submit_job(context, "a" * 16, "short", count=1, cpu=1000)
    load = context.load
    (context.command,) = place_starts(context)
    assert load.scheduler.confirm_start(context.command, load.now)
    entries = {
        incarnation: box.entry
        for incarnation, box in load.scheduler.state.boxes.items()
    }
    leaving = entries[context.command.incarnation]._replace(
        draining=True, leaving_in_s=4.0
    )
    entries[context.command.incarnation] = leaving
    load.scheduler.fleet.update_boxes(entries, load.now)


@then("it is withdrawn, and its task starts elsewhere at once")
def withdrawn_and_restarted(context):
    scheduler, command, now = context.load.scheduler, context.command, context.load.now
    assert not scheduler.confirm_start(command, context.load.now)
    withdrawn = CommandNotSent("withdrawn")
    scheduler.handle_start_outcome(
        command.incarnation, command.task, command.run, withdrawn, now
    )
    (again,) = place_starts(context)
    assert again.task == command.task and again.incarnation != command.incarnation


@when(
    "its own event loop lags by {lag:g} seconds, "
    "and {count:d} answers take {s:g} seconds"
)
def lag_event_loop(context, lag, count, s):
    for _ in range(count):
        context.now += 0.02
        context.window._lag.record_sleep(lag + 0.05)
        context.window.record_answer(s)


class PolledBox:
    """A box that is polled."""

    entry = None
    adopted = True
    silent_since = None
    tasks = ()
    incarnation = "b"
    applied_end = durable_end = 0


class PollingScheduler:
    """The part of a scheduler that polling uses."""

    class fleet:
        @staticmethod
        def plan_poll(incarnation, now, proof_age_s):
            return PollPlan("a", 0, None, 0)

        @staticmethod
        def handle_poll_outcome(incarnation, sent, now, outcome):
            return []

    class state:
        boxes = {"b": PolledBox()}
        witnesses = Witnesses()


class QuickBox:
    def __init__(self):
        self.polls = 0

    async def poll(self, *arguments):
        self.polls += 1
        await anyio.sleep(0.01)
        return BoxNoAnswer("nothing new")


@given("a poller of a box that answers each poll at once")
def quick_box(context):
    context.quick = QuickBox()


@when("it polls for {span:g} seconds, and then its event loop lags by {lag:g} seconds")
def poll_then_lag(context, span, lag):
    async def script():
        measured = LoopLag()
        poller = BoxPoller(
            "b",
            "a",
            1,
            context.quick,
            PollingScheduler(),
            lambda decisions: None,
            CONFIRMED_LEASE,
            NodeMetrics(),
            CommandWindow(),
            measured,
            PollBudget(3900),
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(poller.run)
            await anyio.sleep(span)
            context.before = context.quick.polls
            measured.lag_s = lag
            await anyio.sleep(span)
            tasks.cancel_scope.cancel()

    anyio.run(script)


@then("it polls at most a third as often")
def polls_less_often(context):
    after = context.quick.polls - context.before
    assert 0 < after <= context.before / 3, (context.before, after)
