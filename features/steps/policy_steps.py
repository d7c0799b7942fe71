"""Steps of the scenarios over what fills, and over orders to a box."""

import anyio
from behave import given
from behave import then
from behave import when

from granitetrestle.boxes import BoxView
from granitetrestle.boxlife import BoxKeeper
from granitetrestle.decider import Decider
from granitetrestle.decisions import StopTask
from granitetrestle.interference import Interference
from granitetrestle.interference import StepLoad
from granitetrestle.nodemetrics import NodeMetrics
from granitetrestle.outside import BoxCalls
from granitetrestle.outside import BoxEntry
from granitetrestle.outside import OrderAccepted
from granitetrestle.outside import RunningTask
from granitetrestle.overload import bearable_pace
from granitetrestle.overload import box_load
from granitetrestle.pacing import StepLoads
from granitetrestle.pacing import observe
from granitetrestle.pacing import pace_changes
from granitetrestle.shardstate import DeciderTerms
from granitetrestle.workflows import RUNNING
from granitetrestle.workflows import Step
from granitetrestle.workflows import Submission
from granitetrestle.workflows import Workflow


@given("six serving tasks of one step, three beside an image that disturbs")
def six_tasks(context):
    context.interference = Interference()
    load = StepLoad()
    for tick in range(60):
        now = tick * 0.5
        at_rest = 0.3 + 0.3 * ((tick % 20) / 20.0)
        for number in range(6):
            disturbed = number < 3
            beside = {"bad": 0.1, "mild": 0.1} if disturbed else {"mild": 0.1}
            busy = min(0.97, at_rest * (1.5 if disturbed else 1.0))
            load.saw(f"t{number}", busy, now)
            if tick:
                context.interference.saw("serving", busy, load.at_rest(now), beside)


@then("the disturbing image is found, and the harmless one is not blamed")
def found(context):
    strength = context.interference.strength
    assert strength("serving", "bad") > 3.0, strength("serving", "bad")
    assert strength("serving", "mild") < 1.0, strength("serving", "mild")


@given("a serving task that is over its target beside an image held for harmless")
def over_target(context):
    steps = (
        Step(count=1, cpu=4000, lasting=True, image="serving", target_ms=100.0),
        Step(count=1, cpu=4000, image="filler", fills=True),
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
        context.interference.saw("serving", 0.5, 0.5, {"filler": 0.125})
    context.names = [task.name for task in workflow.tasks.values()]


def look(context, now, figure):
    """Let the decider see the box, and return the paces it then wants."""
    serving, filler = context.names
    context.box.running = {
        serving: RunningTask(serving, 1, "", 0, figure),
        filler: RunningTask(filler, 1, "", 0, 4000.0),
    }
    # The figure of one task alone teaches nothing: there is no sibling.
    observe(context.box, context.loads, context.interference, now)
    changes = pace_changes(context.box, context.interference, now)
    for task, percent in changes:
        task.set_pace(percent, now)
    return [change.percent for change in changes]


@then("what fills is slowed to a stand within 2 seconds, and not before 1.5")
def slowed(context):
    context.loads = StepLoads()
    paces = {tick * 0.5: look(context, 10.0 + tick * 0.5, 400.0) for tick in range(5)}
    assert not any(paces[after] for after in (0.0, 0.5, 1.0, 1.5)), paces
    assert paces[2.0] == [0], paces


@then("it stays so over one figure below the target, and nothing more is sent there")
def stays_slowed(context):
    assert look(context, 12.5, 90.0) == []
    step = Step(count=1, cpu=1000, image="unknown", fills=True)
    load = box_load(context.box, context.interference, 12.5)
    assert bearable_pace(step, context.box, load, context.interference) == 0.0
    # Well below the target, it goes on.
    assert look(context, 13.5, 30.0) != []
    load = box_load(context.box, context.interference, 13.5)
    assert bearable_pace(step, context.box, load, context.interference) > 0.0


class CountingBox(BoxCalls):
    """Notes how many orders are under way at once."""

    def __init__(self):
        self.now, self.most, self.stopped = 0, 0, []

    async def look(self, *arguments):
        raise NotImplementedError

    start = pace = look

    async def stop(self, order, token):
        self.now += 1
        self.most = max(self.most, self.now)
        await anyio.sleep(0.01)
        self.now -= 1
        self.stopped.append(order.task)
        return OrderAccepted(1)


@given("a box that counts the orders it is given at once")
def counting_box(context):
    context.calls = CountingBox()


@when("thirty stops are ordered together")
def thirty_stops(context):
    async def wave():
        decider = Decider(DeciderTerms(), 0.0)
        keeper = BoxKeeper(
            "b1",
            "a",
            1,
            context.calls,
            decider,
            lambda decisions: None,
            lambda: True,
            NodeMetrics(),
        )
        async with anyio.create_task_group() as tasks:
            for number in range(30):
                tasks.start_soon(keeper.carry_out, StopTask("b1", f"1.0.0.{number}", 1))

    anyio.run(wave)


@then("all thirty arrived, and never more than {most:d} at once")
def few_at_once(context, most):
    assert len(set(context.calls.stopped)) == 30
    assert context.calls.most <= most, context.calls.most
