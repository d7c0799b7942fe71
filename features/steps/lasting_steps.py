"""Steps of the scenarios over lasting work that waits for long."""

import msgspec
from behave import given
from behave import then
from behave import when
from room_steps import CONFIG
from room_steps import SERVING
from room_steps import Desk

from granitetrestle.decider import Decider
from granitetrestle.mechanisms import Mechanism
from granitetrestle.outside import BoxNoAnswer
from granitetrestle.outside import HallOrder
from granitetrestle.shardstate import DeciderTerms
from granitetrestle.workflows import Step

LARGE = Step(count=30, cpu=1000, memory_mb=100_000, lasting=True)
OFF = frozenset({Mechanism.HEADROOM})


def wait_for_processors(desk):
    desk.submit("job", SERVING)


def wait_for_memory(desk):
    desk.submit("job", LARGE)


def wait_for_put_aside(desk):
    for box in desk.decider.state.boxes.values():
        box.closed_until = desk.now + 60.0
    desk.submit("job", SERVING)


def wait_for_hall(desk):
    desk.take(desk.decider.evacuation.ordered([HallOrder("h", True)], desk.now))
    desk.submit("job", SERVING)


def wait_for_lease(desk):
    desk.submit("job", msgspec.structs.replace(SERVING, count=1))
    (task,) = desk.decider.state.workflows["job"].tasks.values()
    lost = BoxNoAnswer("no answer")
    desk.take(desk.decider.fleet.looked(task.box, desk.now, desk.now, lost))


def wait_for_predecessor(desk):
    desk.submit("job", msgspec.structs.replace(SERVING, count=1))
    records = desk.decider.take_writes()
    desk.decider = Decider(DeciderTerms(), desk.now)
    desk.decider.configured(CONFIG)
    desk.take(desk.decider.restore(records, desk.now))


def wait_for_operators(desk):
    desk.decider.evacuation.heard(desk.now)
    desk.now += 3.0
    desk.submit("job", SERVING)


REASONS = {
    "processor time": wait_for_processors,
    "memory": wait_for_memory,
    "boxes that fail what they start": wait_for_put_aside,
    "evacuated data halls": wait_for_hall,
    "the lease of a silent box": wait_for_lease,
    "a box that a predecessor used": wait_for_predecessor,
    "operators' orders not known": wait_for_operators,
}


@given("four boxes of 64 cores, where lasting work waits for {reason}")
def lasting_work_waits(context, reason):
    context.desk = Desk(4, OFF)
    REASONS[reason](context.desk)


@when("{seconds:g} seconds pass in which nothing frees room")
def nothing_frees_room(context, seconds):
    context.desk.notes.clear()
    context.desk.wait(seconds)


@then("every 2 seconds from 3 on it is told that it waits for {cause}")
def cause_told(context, cause):
    notes = [note for note in context.desk.notes if note.event == "lasting_waits"]
    causes = [note.inputs["cause"] for note in notes]
    assert 1 <= len(causes) <= 3 and set(causes) == {cause}, notes
    (counted,) = context.desk.decider.lasting_waits.causes.items()
    assert counted[0].value == cause and counted[1] >= 1, counted
