"""Steps for the evidence that a task crashes boxes."""

import math

from behave import given
from behave import then
from behave import when
from crash_steps import box_of
from crash_steps import notes

from granitetrestle.crashevidence import BoxLoss
from granitetrestle.crashevidence import LossHistory
from granitetrestle.crashevidence import SuspectedLoss
from granitetrestle.crashloops import reduce_suspicion
from granitetrestle.jobrecords import DEFAULT_MAX_RECORD_BYTES
from granitetrestle.shardtime import ShardTime
from granitetrestle.workflows import Step
from granitetrestle.workflows import Submission
from granitetrestle.workflows import Workflow
from granitetrestle_standins.shardprocess import TICK_INTERVAL_S

BOXES = 12
LONG_RUNNING = Step(count=1, cpu=500, memory_mb=10, long_running=True)


def new_task(job="a" * 16, evidence=0, losses=0):
    workflow = Workflow(Submission(job, "q", "pool", "s", (LONG_RUNNING,)), 0.0)
    (task,) = workflow.tasks.values()
    task.run, task.evidence, task.suspicion = 1, evidence, losses
    return task


def suspected_loss(
    task,
    after_s=0.1,
    number=2,
    answered=True,
    companions=(),
    at=100.0,
    incarnation="lost",
    address="there",
):
    loss = BoxLoss(incarnation, address, at - after_s, at)
    task.suspicion = max(task.suspicion, number)
    return SuspectedLoss(task, 1, loss, answered, companions, after_s, number)


def lose(history, at, address="", tried=False):
    loss = BoxLoss(f"at-{at}-{address}", address, at - 0.1, at, tried)
    history.record(loss)


def new_history():
    history = LossHistory(ShardTime())
    history.begin(0.0)
    return history


def weigh(history, suspected):
    history.suspect(suspected)
    return history.weigh(suspected, BOXES).decibans


@given("12 boxes that have been observed for 15 seconds")
def observed_boxes(context):
    context.history, context.other_history = new_history(), new_history()
    context.task = new_task()
    context.alone = weigh(new_history(), suspected_loss(new_task()))


@when("a box is lost 0.1 seconds after a start, as number 1 and as number 2")
def first_and_second(context):
    context.weights = [
        weigh(history, suspected_loss(context.task, number=number))
        for number, history in enumerate((context.history, context.other_history), 1)
    ]


@then(
    "the first of these weighs {decibans:d} decibans, and the second at least {least:d}"
)
def first_weighs_nothing(context, decibans, least):
    first, second = context.weights
    assert first == decibans and second >= least, context.weights


@when("a box is lost 0.1 seconds after a start, alone and with {others:d} others")
def lost_together(context, others):
    for number in range(others):
        lose(context.other_history, 100.0 - 0.02 * number)
    loss = suspected_loss(context.task)
    context.weights = [
        weigh(context.history, loss),
        weigh(context.other_history, loss),
    ]


@then(
    "the first of these weighs at least {least:d} decibans, and the second at most "
    "{most:d}"
)
def second_weighs_little(context, least, most):
    first, second = context.weights
    assert first >= least and second <= most, context.weights


@when(
    "{others:d} boxes are lost together {before_s:g} seconds before a box is lost 0.1 "
    "seconds after a start"
)
def lost_long_before(context, others, before_s):
    for number in range(others):
        lose(context.history, 100.0 - before_s - 0.02 * number)
    context.history.update(100.0)
    context.weight = weigh(context.history, suspected_loss(context.task))


@when(
    "{lost:d} boxes are lost in 15 seconds on which suspects were tried",
)
def lost_under_suspects(context, lost):
    for number in range(lost):
        lose(context.history, 99.5 - number * 14.0 / lost, tried=True)
    context.weight = weigh(context.history, suspected_loss(context.task))


@then("a loss weighs as much as without these")
@then("this weighs as much as with no other loss")
def weighs_as_much(context):
    assert context.weight == context.alone, (context.weight, context.alone)


@when(
    "a box is lost 0.1 seconds after a start, alone and as one of {lost:d} in 15 seconds"
)
def lost_all_the_time(context, lost):
    for number in range(1, lost):
        lose(context.other_history, 100.0 - number * 14.0 / lost)
    loss = suspected_loss(context.task)
    context.weights = [
        weigh(context.history, loss),
        weigh(context.other_history, loss),
    ]


@when("a box is lost {sooner_s:g} and {later_s:g} seconds after a start")
def lost_later(context, sooner_s, later_s):
    sooner = suspected_loss(context.task, sooner_s)
    later = suspected_loss(context.task, later_s)
    context.weights = [
        weigh(context.history, sooner),
        weigh(context.other_history, later),
    ]


@then("the second of these weighs at least {less:d} decibans less")
def second_weighs_less(context, less):
    first, second = context.weights
    assert second <= first - less, context.weights


@when(
    "a box is lost 0.05 seconds after a start without an answer, as number {number:d}"
)
def lost_without_answer(context, number):
    context.weights = [
        weigh(history, suspected_loss(context.task, 0.05, number, answered))
        for answered, history in (
            (False, context.history),
            (True, context.other_history),
        )
    ]


@then("this weighs {decibans:d} decibans, and less than with an answer")
def capped(context, decibans):
    unanswered, answered = context.weights
    assert unanswered == decibans < answered, context.weights


@when(
    "{lost:d} boxes are lost before, at the address of the task's box and elsewhere",
)
def lost_at_address(context, lost):
    for number in range(lost):
        lose(context.history, 90.0 + number, "there")
        lose(context.other_history, 90.0 + number, f"elsewhere-{number}")
    loss = suspected_loss(context.task)
    context.weights = [
        weigh(context.history, loss),
        weigh(context.other_history, loss),
    ]


@then("the first of these weighs at least {less:d} decibans less")
def first_weighs_less(context, less):
    first, second = context.weights
    assert 0 < first <= second - less, context.weights


@when(
    "a box is lost under a task and one with evidence of {little:d} and of {much:d} "
    "decibans"
)
def lost_with_companions(context, little, much):
    context.weights = [
        weigh(history, suspected_loss(context.task, companions=(companion,)))
        for history, companion in (
            (context.history, new_task("b" * 16, little)),
            (context.other_history, new_task("c" * 16, much)),
        )
    ]


@then(
    "the first weighs at least {less:d} decibans less than alone, and the second nothing"
)
def companions_weigh(context, less):
    first, second = context.weights
    assert 0 < first <= context.alone - less, (context.weights, context.alone)
    assert second <= 0, context.weights


def run_suspected(context):
    """Run a long-running task under which a box was lost before."""
    world = context.world
    world.advance(0.5)
    context.job = world.submit((LONG_RUNNING,))
    (context.task,) = world.leader.scheduler.state.workflows[context.job].tasks.values()
    context.task.suspicion = 1
    while (incarnation := box_of(world, context.task.name)) is None:
        world.advance(TICK_INTERVAL_S)
    return incarnation


@when("the box of a suspected task is cut off for {seconds:g} seconds")
def cut_off(context, seconds):
    incarnation = run_suspected(context)
    context.world.cut_until[incarnation] = context.world.now + seconds
    context.world.advance(seconds - TICK_INTERVAL_S)
    context.weighed = notes(context, "loss_weighed")
    context.lost = notes(context, "run_lost")
    context.losses_then = context.task.suspicion
    context.world.advance(4.0)


@then("its loss is not counted, and the task is suspected as before")
def not_counted(context):
    assert context.lost and context.losses_then == 2, context.lost
    (event,) = notes(context, "loss_not_counted")
    assert event.inputs["why"] == "the box answers again", event
    assert not notes(context, "loss_weighed")
    assert (context.task.suspicion, context.task.evidence) == (1, 0)


@then("no loss counts, and the task is suspected as before")
def no_loss_counts(context):
    assert context.lost, "no run was lost"
    assert not notes(context, "loss_weighed")
    assert (context.task.suspicion, context.task.evidence) == (1, 0)


@when(
    "a box of a task is cut off for {seconds:g} seconds, and the next one is lost "
    "{after_s:g} seconds after the start"
)
def cut_off_then_lost(context, seconds, after_s):
    world = context.world
    incarnation = run_suspected(context)
    task = context.task
    task.suspicion = 0
    world.cut_until[incarnation] = ends = world.now + seconds
    while task.box in ("", incarnation) or not task.running_since:
        assert world.now < ends, "it does not run elsewhere"
        world.advance(TICK_INTERVAL_S)
    world.advance(after_s)
    world.crash_box(sorted(world.entries).index(task.box))
    world.advance(ends + 4.0 - world.now)


@then("the task is suspected of one loss, without evidence")
def one_loss(context):
    (event,) = notes(context, "loss_not_counted")
    assert event.inputs["why"] == "the box answers again", event
    assert (context.task.suspicion, context.task.evidence) == (1, 0)


@then("no loss is weighed in that time")
def not_weighed(context):
    assert context.lost and not context.weighed, context.weighed


@when(
    "a run of a task with {losses:d} losses and evidence of {decibans:d} decibans has "
    "lasted for {seconds:g} seconds"
)
def run_lasted(context, losses, decibans, seconds):
    context.task = new_task(evidence=decibans, losses=losses)
    context.task.running_since = 10.0
    reduce_suspicion(context.task, 10.0 + seconds)


@then("{losses:d} losses and evidence of {decibans:d} decibans remain")
def evidence_remains(context, losses, decibans):
    assert (context.task.suspicion, context.task.evidence) == (losses, decibans)


def find_again(context):
    workflow = context.world.leader.scheduler.state.workflows[context.job]
    (task,) = workflow.tasks.values()
    return task


@when("the box of a suspected task is lost, and its leader before it is weighed")
def lost_with_leader(context):
    world = context.world
    incarnation = run_suspected(context)
    world.advance(0.05)
    world.crash_box(sorted(world.entries).index(incarnation))
    while context.task.placed:
        world.advance(TICK_INTERVAL_S)
    world.advance(2 * TICK_INTERVAL_S)
    assert not notes(context, "loss_weighed")
    world.kill()
    world.take_over()


@then("one successor weighs it, and evidence and losses stay as leaders change again")
def weighed_once(context):
    world = context.world
    world.advance(5.0)
    (event,) = notes(context, "loss_weighed")
    evidence = find_again(context).evidence
    assert evidence == round(10.0 * event.inputs["weight"]) >= 10, event
    for _ in range(2):
        world.kill()
        world.take_over()
        world.advance(4.0)
        assert not [e for e in world.leader.log_events if e.event.startswith("loss_")]
        task = find_again(context)
        assert (task.suspicion, task.evidence) == (2, evidence)


def written(history, now):
    history.update(now)
    return history.pop_records()


def succeed(records, tasks, shard_s, now=7.0):
    """Return the history of a successor that takes over at a shard time."""
    time = ShardTime()
    time.restore(round(shard_s * 1000.0), now)
    successor = LossHistory(time)
    successor.restore(records, {task.name: task for task in tasks}.get, now)
    return successor


@when("a box is lost under two tasks while others are, and a successor restores that")
def history_handed_over(context):
    companion = new_task("b" * 16, 5)
    for at in (90.0, 95.0, 99.95):
        lose(context.history, at, "there")
    loss = suspected_loss(context.task, companions=(companion,))
    context.weight = weigh(context.history, loss)
    records = written(context.history, 100.5)
    context.successor = succeed(records, (context.task, companion), 100.5)


@then("the successor weighs it as its predecessor does, and once")
def weighed_alike(context):
    successor = context.successor
    assert not successor.pop_due(lambda suspected: False, 7.0)
    assert not successor.pop_due(lambda suspected: True, 9.0)
    assert successor.weighed_at(context.task) > 8.0
    (loss,) = successor.pop_due(lambda suspected: False, 9.0)
    assert (loss.task, loss.run, loss.number) == (context.task, 1, 2), loss
    weight = successor.weigh(loss, BOXES).decibans
    assert weight == context.weight > 0, (weight, context.weight)
    assert not successor.pop_due(lambda suspected: False, 9.0)


@when("a box is lost under {count:d} tasks, and a successor restores that")
def many_tasks_handed_over(context, count):
    tasks = [new_task(f"{number:016x}") for number in range(count)]
    losses = [
        suspected_loss(task, companions=tuple(x for x in tasks if x is not task))
        for task in tasks
    ]
    for loss in losses:
        context.history.suspect(loss)
    context.weights = [context.history.weigh(x, BOXES).decibans for x in losses]
    context.successor = succeed(written(context.history, 100.5), tasks, 100.5)


@then("it weighs the loss for each of them as its predecessor does")
def many_weighed_alike(context):
    due = context.successor.pop_due(lambda suspected: False, 9.0)
    weights = [context.successor.weigh(loss, BOXES).decibans for loss in due]
    assert weights == context.weights, (weights, context.weights)


@when(
    "a box is lost that last answered {before_s:g} seconds before, and two successors "
    "restore that"
)
def handed_over_twice(context, before_s):
    context.history.record(BoxLoss("lost", "", 100.0 - before_s, 100.0))
    first = succeed(written(context.history, 100.5), (), 100.5, 1.0)
    context.successor = succeed(written(first, 1.2), (), 100.7, 50.0)


@then("it may have been lost at any moment of the {before_s:g} seconds")
def lost_at_any_moment(context, before_s):
    loss = context.successor.get("lost")
    assert math.isclose(loss.latest - loss.earliest, before_s, abs_tol=0.01), loss


@when("a loss is weighed, and a successor restores what was written after that")
def counted_before(context):
    weigh(context.history, suspected_loss(context.task))
    written(context.history, 100.5)
    assert context.history.pop_due(lambda suspected: False, 102.5)
    records = written(context.history, 102.5)
    context.successor = succeed(records, (context.task,), 102.5)


@then("nothing is left for the successor to weigh")
def nothing_left(context):
    assert not context.successor.pop_due(lambda suspected: False, 60.0)
    assert context.successor.get("lost") is not None


@when(
    "{lost:d} boxes are lost, and a successor restores that {later_s:g} seconds later"
)
def written_long_ago(context, lost, later_s):
    for number in range(lost):
        lose(context.history, 100.0 - number)
    records = written(context.history, 100.0)
    sooner = succeed(records, (), 105.0)
    assert sooner.last_unexplained(context.task, BOXES) > -math.inf
    context.successor = succeed(records, (), 100.0 + later_s)


@then("the successor knows of no loss")
def no_loss_known(context):
    assert context.successor.last_unexplained(context.task, BOXES) == -math.inf
    assert context.successor.known_until == -math.inf


@when(
    "{lost:d} boxes with names of {length:d} characters are lost under {count:d} tasks "
    "each"
)
def many_lost(context, lost, length, count):
    for number in range(lost):
        tasks = [new_task(f"{number}-{n}".zfill(length)) for n in range(count)]
        for task in tasks:
            companions = tuple(other for other in tasks if other is not task)
            incarnation = f"{number}".zfill(length)
            address = f"a{number}".zfill(length)
            context.history.suspect(
                suspected_loss(
                    task,
                    companions=companions,
                    incarnation=incarnation,
                    address=address,
                )
            )


@then("the record of the losses is within the limit of the store")
def record_fits(context):
    (record,) = written(context.history, 100.5)
    assert record.size <= DEFAULT_MAX_RECORD_BYTES // 2, record.size
