"""Steps for boxes with more ends than fit one answer."""

import collections
import json

import anyio
from behave import then
from behave import when

from granitetrestle.calls import Caller
from granitetrestle.calls import Reply
from granitetrestle.interfaces import BoxNoAnswer
from granitetrestle.platform.boxes import PlatformBoxes
from granitetrestle.workflows import Step


def begin(context, count):
    world = context.world
    context.job = world.submit((Step(count=count, cpu=1, memory_mb=1),))
    world.advance(0.1)
    running = sum(len(box.running) for box in world.boxes.values())
    assert running == count, running


@when(
    "{count:d} tasks start on it, the leader dies, "
    "and another takes over after {seconds:g} seconds"
)
def decider_dies(context, count, seconds):
    begin(context, count)
    world = context.world
    world.kill()
    world.advance(seconds)
    world.take_over()


@when("{count:d} tasks start on it, and it is cut off for {seconds:g} seconds")
def cut_off(context, count, seconds):
    begin(context, count)
    context.world.cut_box(0, seconds)
    context.world.advance(seconds)


@then("each of its tasks started once")
def began_once(context):
    began = collections.Counter(
        run.task for box in context.world.boxes.values() for run in box.history
    )
    again = [task for task, times in began.items() if times > 1]
    assert not again, (len(again), again[:5])


@then("the box is open for work again within {seconds:g} second")
def open_again(context, seconds):
    world = context.world
    world.advance(seconds)
    (box,) = world.leader.scheduler.state.boxes.values()
    assert box.open_for_work(world.now)


class AnsweringBox(Caller):
    """A box that gives each poll the same answer."""

    def __init__(self, answer):
        super().__init__()
        self.answer = json.dumps(answer).encode()

    async def call_party(self, *args, **options):
        return Reply(200, (), self.answer)


@when("a box answers a poll with {count:d} ends")
def answers_with(context, count):
    rows = [[n, f"{'a' * 16}.0.0.{n}", 1, "done", ""] for n in range(1, count + 1)]
    answer = {"clock_ms": 1, "running": [], "finished": rows}
    boxes = PlatformBoxes(AnsweringBox(answer))
    context.poll = anyio.run(boxes.poll, "life", "address", 1, 0, None, 0)
    assert len(context.poll.ended) == count, context.poll


@when("a box answers a poll with a task whose figure is {figure}")
def answers_with_figure(context, figure):
    row = [f"{'a' * 16}.0.0.0", 1, "", 50, json.loads(figure)]
    answer = {"clock_ms": 1, "running": [row], "finished": []}
    boxes = PlatformBoxes(AnsweringBox(answer))
    context.poll = anyio.run(boxes.poll, "life", "address", 1, 0, None, 0)


@then("it counts as no answer, and the reason says that it is malformed")
def malformed_answer(context):
    assert isinstance(context.poll, BoxNoAnswer), context.poll
    assert "malformed" in context.poll.reason, context.poll


@then("no further ends exist")
def no_further(context):
    assert not context.poll.more_ends


@then("further ends may come")
def may_come(context):
    assert context.poll.more_ends
