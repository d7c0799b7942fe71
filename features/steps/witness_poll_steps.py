"""Steps of the scenarios about polls of witnesses, and about what a leader shows of them."""

import time
import unittest.mock

import anyio
import msgspec
from behave import given
from behave import then
from behave import when
from budget_steps import Boxes
from budget_steps import FakeScheduler
from budget_steps import entry
from budget_steps import make_poller

from granitetrestle import steadyclock
from granitetrestle.boxes import BoxView
from granitetrestle.decisions import StartTask
from granitetrestle.interfaces import Appended
from granitetrestle.interfaces import BoxNoAnswer
from granitetrestle.interfaces import BoxReplaced
from granitetrestle.interfaces import CommandRejected
from granitetrestle.interfaces import StoreUnavailable
from granitetrestle.journal import Journal
from granitetrestle.nodelog import NodeLog
from granitetrestle.nodemetrics import NodeMetrics
from granitetrestle.pollbudget import PollBudget
from granitetrestle.session import Session
from granitetrestle.succession import take_over
from rights import FixedLeaderLease
from session_world import PARAMETERS

# How far the clock that goes on in a suspension is ahead of the other one.
SUSPENDED_S = 1000.0
OUTCOMES = {
    "gives no answer": BoxNoAnswer("no answer in time", timed_out=True),
    "rejects the epoch": CommandRejected("fence"),
    "is unwell": CommandRejected("unhealthy"),
    "is another incarnation": BoxReplaced(),
}


class RecordingScheduler(FakeScheduler):
    """Records the evidence of witnesses."""

    def __init__(self, count, witnesses=()):
        super().__init__(count)
        self.evidence = []
        self.witnesses.restore(msgspec.msgpack.encode((1, witnesses)))
        for box in self.boxes.values():
            box.adopted = True

    def record_accepted(self, incarnation, sent_at, now):
        """See :meth:`.BoxLeases.record_accepted`."""
        self.evidence.append((incarnation, sent_at))
        return []


class FixedOutcome:
    """A box with the same outcome of each poll."""

    def __init__(self, outcome):
        self._outcome = outcome

    async def poll(self, *arguments):
        """See :class:`.BoxCalls`."""
        return self._outcome


@given("a poller of a witness whose answers take {seconds:g} s")
def slow_witness(context, seconds):
    context.calls, context.scheduler = Boxes(seconds), RecordingScheduler(1, ["b0"])


@given("a poller of a witness that {answers}")
def witness_answering(context, answers):
    context.calls = FixedOutcome(OUTCOMES[answers])
    context.scheduler = RecordingScheduler(1, ["b0"])


def poll_once(context, incarnation="b0"):
    poller = make_poller(incarnation, context.calls, context.scheduler, PollBudget(0))
    poller._leader_lease = FixedLeaderLease(getattr(context, "age", 0.0))
    return poller._poll_once(long_poll=hasattr(context, "age"))


@when("a poll is answered")
def poll_answered(context):
    context.began = time.monotonic()
    with unittest.mock.patch.object(
        steadyclock, "now", lambda: time.monotonic() + SUSPENDED_S
    ):
        anyio.run(poll_once, context)


@then(
    "the evidence is from when the poll was sent, by the clock that goes on in a suspension"
)
def evidence_from_sending(context):
    ((incarnation, sent_at),) = context.scheduler.evidence
    assert incarnation == "b0"
    assert 0.0 <= sent_at - SUSPENDED_S - context.began < 0.35, sent_at - context.began


@then("there is no evidence")
def no_evidence(context):
    assert not context.scheduler.evidence, context.scheduler.evidence


@given("a leader that the store confirmed {age:g} s ago")
def confirmed_ago(context, age):
    context.age = age


@when("{box} is polled")
def box_polled(context, box):
    incarnation = "b0" if box == "a witness" else "b1"
    context.calls, context.scheduler = Boxes(0.0), RecordingScheduler(2, ["b0"])

    async def script():
        with anyio.move_on_after(0.1):
            await poll_once(context, incarnation)

    anyio.run(script)


@then("the box may wait for {wait:d} ms")
def may_wait(context, wait):
    assert context.calls.waits == [wait], context.calls.waits


@when("{count:d} long polls are under way")
def polls_under_way(context, count):
    while context.budget.long_polls < count:
        context.budget.add_long_poll()


def idle_box():
    box = BoxView(entry("b0"), 0.0)
    box.adopted = True
    return box


@then("an idle box is polled at intervals, and an idle witness by long polls")
def idle_kinds(context):
    assert not context.budget.parameters(idle_box()).long_poll
    parameters = context.budget.parameters(idle_box(), witness=True)
    assert parameters.long_poll and not parameters.pause_s, parameters


@then("an idle witness is polled each {seconds:g} s, as a busy box is")
def idle_witness(context, seconds):
    parameters = context.budget.parameters(idle_box(), witness=True)
    busy = idle_box()
    busy.tasks["t"] = None
    assert parameters == context.budget.parameters(busy), parameters
    assert parameters.pause_s == seconds, parameters


@given(
    "{boxes:d} boxes, the last {count:d} of them witnesses, and a leader that needs "
    "{ms:d} ms for each call"
)
def last_are_witnesses(context, boxes, count, ms):
    context.last = [f"b{number}" for number in range(boxes - count, boxes)]
    context.scheduler = RecordingScheduler(boxes, context.last)
    for box in context.scheduler.boxes.values():
        box.adopted = False
        # Boxes with tasks come next.
        box.tasks["t"] = None
    context.calls = Boxes(ms / 1000.0)


@then("each witness was among the first {first:d} boxes polled")
def witnesses_first(context, first):
    polled = [incarnation for incarnation, _ in context.calls.polled]
    positions = [polled.index(incarnation) for incarnation in context.last]
    assert max(positions) < first, positions


@when("a process claims an epoch, and stands still for {seconds:g} s before it leads")
def stand_still_after_claim(context, seconds):
    world = context.world

    async def script():
        claim = await take_over(world.store, 1, "incarnation-1")
        time.sleep(seconds)
        log = NodeLog(descriptor=world._log_file.fileno(), node="n1")
        context.session = Session(world._sources, claim, PARAMETERS, log, NodeMetrics())

    anyio.run(script)


@then("its first proof is at least {age:g} s old")
def first_proof(context, age):
    session = context.session
    assert session._leader_lease.age_s() >= age, session._leader_lease.age_s()


@when("a process has led for {seconds:g} s")
def has_led(context, seconds):
    async def script():
        async with context.world.session(1) as session:
            await anyio.sleep(seconds)
            context.load = session.load(time.monotonic())
            # What was durable has been released.
            assert not session.scheduler.state.witnesses.changing

    anyio.run(script)
    context.chosen = context.world.lines("witnesses_chosen")


@then(
    "its load names a panel of {members:d} witnesses, and a proof that is at most {age:g} s "
    "old"
)
def load_names(context, members, age):
    load = context.load
    assert load["witnesses"] == members and load["witness_panel"] >= 1, load
    assert 0.0 <= load["witnesses_age_s"] <= age, load
    assert context.chosen[-1]["members"] == members, context.chosen
    assert context.chosen[-1]["version"] == load["witness_panel"], context.chosen


@when("a process has led for {led:g} s, and the store is away for {away:g} s from then")
def store_away_amid_polls(context, led, away):
    world = context.world
    context.polls = polls = []
    poll = world.boxes.poll

    async def recorded(incarnation, address, token, known, lease_ends_ms, wait_ms):
        polls.append((incarnation, time.monotonic(), lease_ends_ms, wait_ms))
        return await poll(incarnation, address, token, known, lease_ends_ms, wait_ms)

    async def refused(topic, records, writer, timeout_s):
        await anyio.sleep(0.01)
        return StoreUnavailable("503", not_applied=True)

    async def script():
        async with world.session(1) as session:
            world.boxes.poll = recorded
            await anyio.sleep(led)
            world.store.append = refused
            await anyio.sleep(away)
            context.confirmed_at = session._journal.status.confirmed_at
            context.panel = session.scheduler.state.witnesses.panel.members

    anyio.run(script)


@then(
    "the last lease that it grants ends {least:g} to {most:g} s after the store was last "
    "there"
)
def last_lease(context, least, most):
    model = next(iter(context.world.boxes.models.values()))
    ahead_s = model._clock(0.0)
    ends = [ends_ms / 1000.0 - ahead_s for _, _, ends_ms, _ in context.polls if ends_ms]
    last_s = max(ends) - context.confirmed_at
    assert least <= last_s <= most, last_s


@then("polls of witnesses waited for {wait:g} s at most from {after:g} s after that on")
def short_waits(context, wait, after):
    waits = [
        wait_ms
        for incarnation, at, _, wait_ms in context.polls
        if incarnation in context.panel and at > context.confirmed_at + after
    ]
    assert bool(waits) == bool(context.panel)
    assert all(wait_ms <= wait * 1000.0 for wait_ms in waits), waits


class ManualStore:
    """Answers an append late, or only its second attempt; time is set by hand."""

    def __init__(self, attempts):
        self._attempts = attempts
        self.now = 100.0
        self.sent = []

    async def append(self, topic, records, writer, timeout_s):
        """See :class:`.Store`."""
        self.sent.append(self.now)
        if len(self.sent) < self._attempts:
            self.now += 0.5
            await anyio.sleep_forever()
        self.now += 2.0
        return Appended(len(records))


@given("a store that answers the {which} attempt of an append 2 s after it was sent")
def manual_store(context, which):
    context.store = ManualStore({"first": 1, "second": 2}[which])


@when("a leader appends")
def leader_appends(context):
    store = context.store

    async def script():
        context.journal = journal = Journal(
            store, "t", 1, list, lambda held: None, lambda: store.now, lambda *_: None
        )
        store.now += 1.0
        async with anyio.create_task_group() as tasks:
            journal.request_append()
            tasks.start_soon(journal.run)
            with anyio.fail_after(5.0):
                await journal.confirm()
            tasks.cancel_scope.cancel()

    anyio.run(script)


@then("its proof is from when that attempt was sent")
def proof_from_attempt(context):
    status, store = context.journal.status, context.store
    assert status.confirmed_at == store.sent[-1], (status, store.sent)
    assert status.answered_at >= store.sent[-1] + 2.0, status


@given("a leader whose proof is {age:g} s old")
def leader_of_proof(context, age):
    context.scheduler = RecordingScheduler(1, ["b0"])
    context.scheduler.ages = []
    context.calls, context.proof_age_s = Boxes(0.0), age


@when("it polls a box, and starts a task there")
def polls_and_starts(context):
    scheduler, ages = context.scheduler, context.scheduler.ages
    plan_poll, renew = scheduler.plan_poll, scheduler.renew
    scheduler.plan_poll = lambda *given: (ages.append(given[-1]), plan_poll(*given))[1]
    scheduler.renew = lambda *given: (ages.append(given[-1]), renew(*given))[1]
    lease = FixedLeaderLease()
    lease.renewal_age_s = lambda: context.proof_age_s

    async def script():
        poller = make_poller("b0", context.calls, scheduler, PollBudget(0))
        poller._leader_lease = lease
        await poller._poll_once(long_poll=False)
        await poller.execute(StartTask("b0", "1.0.0.0", 1, "s", "", ""))

    anyio.run(script)


@then("both leases are anchored at that proof")
def both_anchored(context):
    assert context.scheduler.ages == [context.proof_age_s] * 2, context.scheduler.ages
