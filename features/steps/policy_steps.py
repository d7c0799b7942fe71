"""Steps of the scenarios about best-effort tasks, and about commands to a box."""

import anyio
from behave import given
from behave import then
from behave import when

from granitetrestle.boxes import BoxView
from granitetrestle.boxpoller import BoxPoller
from granitetrestle.commandwindow import CommandWindow
from granitetrestle.decisions import StopTask
from granitetrestle.interfaces import BoxCalls
from granitetrestle.interfaces import BoxEntry
from granitetrestle.interfaces import CommandAccepted
from granitetrestle.interfaces import RunningTask
from granitetrestle.interference import Interference
from granitetrestle.looplag import LoopLag
from granitetrestle.nodemetrics import NodeMetrics
from granitetrestle.overload import box_load
from granitetrestle.overload import tolerable_pace
from granitetrestle.pacing import StepLoads
from granitetrestle.pacing import observe
from granitetrestle.pacing import pace_changes
from granitetrestle.pollbudget import PollBudget
from granitetrestle.scheduler import Scheduler
from granitetrestle.serviceload import StepLoad
from granitetrestle.shardstate import SchedulerParameters
from granitetrestle.workflows import RUNNING
from granitetrestle.workflows import Step
from granitetrestle.workflows import Submission
from granitetrestle.workflows import Workflow
from rights import CONFIRMED_LEASE

# Slowdown of serving tasks by each best-effort image when it uses a whole box.
SENSITIVITIES = {"bad": 5.0, "mild": 0.3}


@given("six serving tasks of one step, three beside an image that slows them down")
def six_tasks(context):
    context.interference = Interference()
    context.classified_at = None
    load = StepLoad()
    for tick in range(60):
        now = tick * 0.5
        true_load = 0.3 + 0.3 * abs((tick % 20) / 10.0 - 1.0)
        for number in range(6):
            best_effort_shares = (
                {"bad": 0.1, "mild": 0.1} if number < 3 else {"mild": 0.1}
            )
            busy = true_load * (
                1.0 + sum(SENSITIVITIES[f] * x for f, x in best_effort_shares.items())
            )
            context.interference.observe(
                "serving", busy, load.predict(now), load.variance, best_effort_shares
            )
            load.observe(
                busy,
                context.interference.slowdown("serving", best_effort_shares),
                context.interference.slowdown_variance("serving", best_effort_shares),
                now,
            )
        highly_sensitive = context.interference.highly_sensitive
        if highly_sensitive("serving", "bad") and not highly_sensitive(
            "serving", "mild"
        ):
            context.classified_at = context.classified_at or now
        if tick > 10:
            assert abs(load.predict(now) - true_load) < 0.08, (
                now,
                load.predict(now),
                true_load,
            )


@then("only the pair with that image is found to be of high sensitivity")
def classified(context):
    assert context.classified_at is not None and context.classified_at <= 2.0, (
        context.classified_at
    )
    for best_effort, sensitivity in SENSITIVITIES.items():
        seen = context.interference.sensitivity("serving", best_effort)
        assert abs(seen - sensitivity) < 1.0, (best_effort, seen)


@then("a successor that restores the stored rows classifies both pairs alike")
def handed_over(context):
    successor = Interference()
    for image, row in context.interference.take_changed_rows(10_000).items():
        successor.restore(image, row)
    assert successor.highly_sensitive("serving", "bad")
    assert not successor.highly_sensitive("serving", "mild")
    assert successor.best_effort_images == set(SENSITIVITIES)
    assert not context.interference.take_changed_rows(10_000), (
        "no pair has changed since"
    )


@given("a box whose serving tasks tolerate little slowdown")
def busy_box(context):
    context.interference = Interference()
    for _ in range(20):
        context.interference.observe("serving", 0.76, 0.5, 0.001, {"strong": 0.1})
        context.interference.observe("serving", 0.51, 0.5, 0.001, {"weak": 0.1})
    steps = (
        Step(count=2, cpu=4000, long_running=True, image="serving", target_ms=100.0),
        Step(count=2, cpu=8000, image="strong", best_effort=True),
        Step(count=2, cpu=4000, image="weak", best_effort=True),
    )
    workflow = Workflow(Submission("1", "q", "pool", "", steps), 0.0)
    entry = BoxEntry(
        "b1", "a", "pool", "h", "r", frozenset(), 32000, 64000, 0, False, None
    )
    context.box = BoxView(entry, 0.0)
    for task in workflow.tasks.values():
        task.state = RUNNING
        context.box.place(task)


@then("pairs of low sensitivity run at full pace, one of high at what is left")
def low_sensitivity_first(context):
    changes = pace_changes(context.box, context.interference, 10.0)
    paces = {change.task.spec.image: [] for change in changes}
    for change in changes:
        paces[change.task.spec.image].append(change.percent)
    assert set(paces) == {"strong"}, paces
    assert sorted(paces["strong"])[0] == 0 < sorted(paces["strong"])[1], paces


@then("no further one of high sensitivity may run there: the slowed ones count")
def counts_waiting(context):
    for task, percent in pace_changes(context.box, context.interference, 10.0):
        task.set_pace(percent, 10.0)
    step = Step(count=1, cpu=8000, image="strong", best_effort=True)
    load = box_load(context.box, context.interference, 10.5)
    assert tolerable_pace(step, context.box, load, context.interference) == 0.0
    low_step = Step(count=1, cpu=1000, image="weak", best_effort=True)
    assert tolerable_pace(low_step, context.box, load, context.interference) == 1.0


@given("a serving task over its target beside an image estimated as harmless")
def over_target(context):
    steps = (
        Step(count=1, cpu=4000, long_running=True, image="serving", target_ms=100.0),
        Step(count=1, cpu=4000, image="filler", best_effort=True),
    )
    workflow = Workflow(Submission("1", "q", "pool", "", steps), 0.0)
    entry = BoxEntry(
        "b1", "a", "pool", "h", "r", frozenset(), 32000, 64000, 0, False, None
    )
    box = context.box = BoxView(entry, 0.0)
    for task in workflow.tasks.values():
        task.state = RUNNING
        box.place(task)
    context.interference = Interference()
    for _ in range(200):
        context.interference.observe("serving", 0.5, 0.5, 0.001, {"filler": 0.125})
    context.names = [task.name for task in workflow.tasks.values()]


def poll(context, now, figure):
    """Apply a poll of the box, and return the new paces."""
    serving, best_effort = context.names
    context.box.running = {
        serving: RunningTask(serving, 1, "", 0, figure),
        best_effort: RunningTask(best_effort, 1, "", 0, 4000.0),
    }
    # One task alone does not change the classification: its step has no other task
    # to compare with.
    observe(context.box, context.loads, context.interference, now)
    changes = pace_changes(context.box, context.interference, now)
    for task, percent in changes:
        task.set_pace(percent, now)
    return [change.percent for change in changes]


@then("best-effort tasks are paused within 2 seconds, and not before 1.5")
def paused(context):
    context.loads = StepLoads()
    paces = {tick * 0.5: poll(context, 10.0 + tick * 0.5, 400.0) for tick in range(5)}
    assert not any(paces[after] for after in (0.0, 0.5, 1.0, 1.5)), paces
    assert paces[2.0] == [0], paces


@then("one measurement below the target changes nothing, and none may run there")
def stays_paused(context):
    assert poll(context, 12.5, 90.0) == []
    step = Step(count=1, cpu=1000, image="unknown", best_effort=True)
    load = box_load(context.box, context.interference, 12.5)
    assert tolerable_pace(step, context.box, load, context.interference) == 0.0
    # Well below the target, the best-effort task is resumed.
    assert poll(context, 13.5, 30.0) != []
    load = box_load(context.box, context.interference, 13.5)
    assert tolerable_pace(step, context.box, load, context.interference) > 0.0


class ConcurrencyCountingBox(BoxCalls):
    """Records the maximum number of concurrent commands."""

    def __init__(self):
        self.in_flight, self.max_in_flight, self.stopped = 0, 0, []

    async def poll(self, *arguments):
        raise NotImplementedError

    start = pace = poll

    async def stop(self, order, token):
        self.in_flight += 1
        self.max_in_flight = max(self.max_in_flight, self.in_flight)
        await anyio.sleep(0.01)
        self.in_flight -= 1
        self.stopped.append(order.task)
        return CommandAccepted(1)


@given("a box that counts the commands it gets at once")
def counting_box(context):
    context.calls = ConcurrencyCountingBox()


@when("thirty stop commands are sent together")
def thirty_stops(context):
    async def stop_together():
        scheduler = Scheduler(SchedulerParameters(), 0.0)
        poller = BoxPoller(
            "b1",
            "a",
            1,
            context.calls,
            scheduler,
            lambda decisions: None,
            CONFIRMED_LEASE,
            NodeMetrics(),
            CommandWindow(),
            LoopLag(),
            PollBudget(3900),
        )
        async with anyio.create_task_group() as tasks:
            for number in range(30):
                tasks.start_soon(poller.execute, StopTask("b1", f"1.0.0.{number}", 1))

    anyio.run(stop_together)


@then("all thirty arrive, and never more than {most:d} at once")
def few_at_once(context, most):
    assert len(set(context.calls.stopped)) == 30
    assert context.calls.max_in_flight <= most, context.calls.max_in_flight
