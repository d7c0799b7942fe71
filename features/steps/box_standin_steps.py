"""Steps for the behaviour of the stand-in box."""

import asyncio
import json
import random
import time

from behave import given
from behave import then
from behave import when

from granitetrestle.interfaces import CommandAccepted
from granitetrestle.interfaces import CommandRejected
from granitetrestle_standins import boxserver
from granitetrestle_standins.boxprofiles import PLAIN_BOX
from granitetrestle_standins.boxprofiles import BoxProfile
from granitetrestle_standins.boxprofiles import EndsTold
from granitetrestle_standins.boxprofiles import Resources
from granitetrestle_standins.boxserver import BoxServer
from granitetrestle_standins.nativebox import BoxModel

PROFILE = BoxProfile(
    hold_max_s=4.0,
    clock_rate=0.98,
    clock_origin_s=5000.0,
    max_stop_s=0.9,
    resources=Resources(8000, 8000),
    rechecks_long_polls=False,
)
SPEC = "60000:1000:100"
SMALL_SPEC = "60000:10:10"
OVERSIZED_SPEC = "60000:9000:100"
TASK = "t.0.0.0"
EPOCH = 7


def new_box(started_s=100.0):
    return BoxModel("b", profile=PROFILE, draw=random.Random(1), started_s=started_s)


def until_ms(box, now, seconds):
    """Return when a lease ends that starts at ``now``, in ms of the box's clock.

    :param seconds: duration of the lease.
    """
    return box.list_runs(now).clock_ms + int(seconds * 1000)


@given("box b after {count:d} runs that ended")
def after_runs(context, count):
    context.box = box = new_box()
    for number in range(count):
        task = f"t.0.0.{number}"
        until = until_ms(box, 101.0, 4.0)
        assert isinstance(
            box.start(task, 1, SPEC, until, EPOCH, 101.0), CommandAccepted
        )
        box.end(task, "done", 101.0)


@then("a poll lists the ends {first:d} to {last:d}")
def poll_lists(context, first, last, acknowledged=0):
    poll = context.box.poll(acknowledged, None, EPOCH, 101.0)
    assert [row.number for row in poll.ended] == list(range(first, last + 1))


@then("a poll that acknowledges {acknowledged:d} lists the ends {first:d} to {last:d}")
def acknowledging_poll_lists(context, acknowledged, first, last):
    poll_lists(context, first, last, acknowledged)


@given(
    "box b that runs task {task} run {run:d} since {at:g} with a lease of {lease:g} s"
)
def runs_task(context, task, run, at, lease):
    context.box = box = new_box(at)
    outcome = box.start(task, run, SPEC, until_ms(box, at, lease), EPOCH, at)
    assert isinstance(outcome, CommandAccepted), outcome


@when("at {at:g} a start that is {reason} comes with a lease of {lease:g} s")
def start_comes(context, at, reason, lease):
    box = context.box
    until = until_ms(box, at, -0.001 if reason == "late" else lease)
    task, run = (TASK, 1) if reason == "old" else ("t.0.0.1", 1)
    spec = OVERSIZED_SPEC if reason == "room" else SPEC
    epoch = EPOCH - 1 if reason == "fence" else EPOCH
    context.outcome = box.start(task, run, spec, until, epoch, at)


@then('it is rejected as "{reason}"')
def refused_as(context, reason):
    assert isinstance(context.outcome, CommandRejected)
    assert context.outcome.reason == reason, context.outcome


@then("{task} runs at {at:g}")
def runs_at(context, task, at):
    context.box.tick(at)
    assert task in context.box.running


@then("{task} has ended at {at:g}")
def ended_at(context, task, at):
    context.box.tick(at)
    assert task not in context.box.running


@then('{task} has ended at {at:g}, as "{how}"')
def ended_as(context, task, at, how):
    ended_at(context, task, at)
    assert context.box.history[-1].how == how


@when("at {at:g} a poll renews the lease for {lease:g} s")
def poll_renews(context, at, lease):
    box = context.box
    box.poll(0, until_ms(box, at, lease), EPOCH, at)


@when("at {ended:g} it ends as done, and at {noted:g} its end is acknowledged")
def ends_and_acknowledged(context, ended, noted):
    box = context.box
    box.tick(ended)
    box.end(TASK, "done", ended)
    assert box.end_counts(box.history[-1])
    box.tick(noted)
    (row,) = box.list_runs(noted).ended
    box.poll(row.number, None, EPOCH, noted)


@then("its end counts")
def end_counts(context):
    (run,) = context.box.history
    assert run.noted is not None and context.box.end_counts(run), run


@then("its end doesn't count")
def end_does_not_count(context):
    (run,) = context.box.history
    assert run.noted is not None and not context.box.end_counts(run), run


@given("box b that has just started at {at:g}")
def just_born(context, at):
    context.box = new_box(at)


@then("its clock shows {first:d} ms at {at:g} and {second:d} ms at {later:g}")
def clock_shows(context, first, at, second, later):
    assert context.box.list_runs(at).clock_ms == first
    assert context.box.list_runs(later).clock_ms == second


@when("at {at:g} that run is stopped")
def run_stopped(context, at):
    context.at = at
    assert isinstance(context.box.stop(TASK, 2, EPOCH, at), CommandAccepted)


@then('it is still running right after, and has ended as "{how}" within {longest:g} s')
def still_running(context, how, longest):
    poll = context.box.poll(0, None, EPOCH, context.at)
    assert [row.task for row in poll.running] == [TASK]
    assert not poll.ended
    # A task that is being stopped still takes room: seven more of its size fit, not
    # eight.
    assert rejection_reason(context.box, "1:7500:100", context.at) == "room"
    poll = context.box.poll(0, None, EPOCH, context.at + longest)
    assert not poll.running
    assert [row.how for row in poll.ended] == [how]
    assert rejection_reason(context.box, "1:7500:100", context.at + longest) is None


def rejection_reason(box, spec, now):
    """Return why a start is rejected, or ``None`` if it is accepted."""
    until = until_ms(box, now, 4.0)
    outcome = box.start("t.0.0.9", 1, spec, until, EPOCH, now)
    return outcome.reason if isinstance(outcome, CommandRejected) else None


@then("no run up to {run:d} of {task} is accepted any more")
def none_accepted(context, run, task):
    box, now = context.box, context.at + 1.0
    for number in range(1, run + 2):
        until = until_ms(box, now, 4.0)
        outcome = box.start(task, number, SMALL_SPEC, until, EPOCH, now)
        assert isinstance(outcome, CommandAccepted) == (number > run), outcome


class ServedBox:
    """A box server that is called in this process, without HTTP connections."""

    def __init__(self, profile=PLAIN_BOX):
        self.replaced = []
        self.server = BoxServer(
            "b",
            "h",
            profile,
            random.Random(3),
            lambda box, before: self.replaced.append((before, box.box_id)),
        )

    async def call(self, path, **body):
        """Return the status and the body of an answer, or ``None`` if there is none."""
        content = json.dumps({"fencing_token": EPOCH, **body}).encode()
        reply = await self.server.answer(path, "b", content)
        return reply and (reply.status, json.loads(reply.body))

    async def start(self, epoch=EPOCH):
        until = int((time.monotonic() + 5.0) * 1000)
        command = {"task": TASK, "run": 1, "spec": SPEC, "until_ms": until}
        return await self.call("/api/run-start", **command, fencing_token=epoch)

    def runs(self):
        facts = json.loads(self.server.hook("/test/facts", {}).body)
        return [run for incarnation in facts for run in incarnation["runs"]]

    def play(self, script):
        """Run a script concurrently with the box's loop."""

        async def both():
            loop = asyncio.create_task(self.server.run())
            try:
                await script()
            finally:
                loop.cancel()

        asyncio.run(both())


@given("a served box that checks the epoch of long polls {when}")
def served(context, when):
    again = when == "throughout"
    context.served = ServedBox(PLAIN_BOX._replace(rechecks_long_polls=again))


@when("a newer epoch polls while a long poll of an older one waits")
def newer_epoch_polls(context):
    served = context.served

    async def script():
        older = asyncio.create_task(served.call("/api/hold", wait_ms=300))
        await asyncio.sleep(0.1)
        await served.call("/api/hold", fencing_token=EPOCH + 1)
        context.older = await older

    served.play(script)


@then("the older one is answered with {status:d}")
def older_answered(context, status):
    assert context.older[0] == status, context.older


@given("a served box that answers no call for a moment")
def answers_none(context):
    context.served = ServedBox()
    context.served.server.hook("/test/late", {"share": "1", "s": "0.2"})


@when("a start comes in that moment")
def start_in_moment(context):
    served, usual = context.served, boxserver.COMMAND_DELAY_S

    async def script():
        context.answer = await served.start()
        await asyncio.sleep(0.25)
        context.newer = await served.call("/api/hold")
        await asyncio.sleep(0.3)

    boxserver.COMMAND_DELAY_S = (0.4, 0.4)
    try:
        served.play(script)
    finally:
        boxserver.COMMAND_DELAY_S = usual


@then("it gets no answer, and is carried out later, marked as delayed")
def carried_out_later(context):
    assert context.answer is None
    assert context.newer[1]["running"] == []
    (run,) = context.served.runs()
    box, hall, task, number, epoch, arrived, held_up, began, *_ = run
    assert box.startswith("b@"), box
    assert (hall, task, number, epoch) == ("h", TASK, 1, EPOCH)
    assert held_up
    assert 0.3 < began - arrived < 0.6


@given("a served box that runs a task")
def served_runs(context):
    context.served = ServedBox()


@when("it crashes for a moment")
def crashes(context):
    served = context.served

    async def script():
        await served.start()
        served.server.hook("/test/crash", {"s": "0.2"})
        context.down = await served.call("/api/hold")
        await asyncio.sleep(0.3)
        context.other = await served.call("/api/hold")
        reply = await served.server.answer("/api/hold", "b-1", b"{}")
        context.lists = json.loads(reply.body)

    served.play(script)


@then("calls get no answer, then another incarnation answers 421 and lists nothing")
def next_incarnation_answers(context):
    assert context.down is None
    assert context.other[0] == 421
    assert context.lists["running"] == context.lists["finished"] == []
    assert context.served.replaced == [("b", "b-1")]


@when("it crashes for a moment, and restarts under its id")
def crashes_and_keeps(context):
    served = context.served

    async def script():
        await served.start()
        context.first = (await served.call("/api/hold"))[1]
        served.server.hook("/test/crash", {"s": "0.05", "keep": "1", "list": "0.1"})
        await asyncio.sleep(0.1)
        context.again = await served.call("/api/hold", last_seen=9, fencing_token=1)
        context.listed_early = list(served.replaced)
        await asyncio.sleep(0.1)

    served.play(script)


@then(
    "calls under that id reach the new incarnation, which has no state of the earlier "
    "one"
)
def restarted_box_answers(context):
    status, lists = context.again
    assert status == 200, context.again
    assert lists["running"] == lists["finished"] == [], lists
    # It accepts an epoch below the one that the earlier incarnation had seen.
    assert lists["born"] > context.first["born"], (lists, context.first)


@then("it is listed only after a while, under its id")
def listed_later(context):
    assert context.listed_early == [], context.listed_early
    assert context.served.replaced == [("", "b")], context.served.replaced


@given('box b that applies an acknowledged number to "{what}"')
def box_with_ends_rule(context, what):
    profile = PROFILE._replace(ends_told=EndsTold(what))
    context.box = BoxModel("b", profile=profile, draw=random.Random(1), started_s=100.0)


@when(
    "it has ended {count:d} runs, is polled with {acknowledged:d} acknowledged, and "
    "ends 1 more"
)
def acknowledged_beyond(context, count, acknowledged):
    for number in range(count + 1):
        if number == count:
            context.box.poll(acknowledged, None, EPOCH, 101.0)
        until = until_ms(context.box, 101.0, 4.0)
        context.box.start(f"t.0.0.{number}", 1, SPEC, until, EPOCH, 101.0)
        context.box.end(f"t.0.0.{number}", "done", 101.0)


@then("its next poll lists the ends {listed}")
def next_poll_lists(context, listed):
    poll = context.box.poll(0, None, EPOCH, 101.0)
    numbers = [str(row.number) for row in poll.ended]
    assert ", ".join(numbers) == listed.replace("none", ""), numbers


@then("the facts contain the run that crashed")
def facts_list_crashed_run(context):
    ((*_, ended, how, noted),) = context.served.runs()
    assert how == "crashed"
    assert ended is not None
    assert noted is None
