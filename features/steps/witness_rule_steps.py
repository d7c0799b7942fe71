"""Steps of the scenarios about what witnesses prove."""

import math

import anyio
from behave import given
from behave import then
from behave import when
from budget_steps import FakeScheduler
from budget_steps import make_poller

from granitetrestle import steadyclock
from granitetrestle.inheritedleases import InheritedLeases
from granitetrestle.interfaces import CommandRejected
from granitetrestle.interfaces import PollResult
from granitetrestle.journal import Journal
from granitetrestle.leaderlease import JournalLeaderLease
from granitetrestle.looplag import LoopLag
from granitetrestle.pollbudget import PollBudget
from granitetrestle.shardstate import SchedulerParameters
from granitetrestle.statedigest import LeaderMark
from granitetrestle.succession import JOBS_TOPIC
from granitetrestle.succession import take_over
from granitetrestle.witnesses import Witnesses
from granitetrestle_standins.nativestore import MemoryStore
from granitetrestle_standins.nativestore import StoreModel

# Durations of deployments.
PARAMETERS = SchedulerParameters(lease_s=6.0, orphan_s=8.0)
TAKEN_OVER_AT = 100.0
FIRST_SENT_AT = 10.0
NUMBERS = {"first": 0, "second": 1, "third": 2}


@given("a panel of {size:d} witnesses")
def panel_of(context, size):
    context.witnesses = Witnesses()
    context.members = [f"b{number}@1" for number in range(size)]
    context.witnesses.confirm(context.witnesses.change(context.members))


@when("{count:d} of them accept polls that were sent 1 s apart")
def accept_polls(context, count):
    for number, member in enumerate(context.members[:count]):
        context.witnesses.record_accepted(member, FIRST_SENT_AT + number)


@then("that proves nothing")
def proves_nothing(context):
    assert context.witnesses.proved_at == -math.inf, context.witnesses.proved_at


@then("that proves that the leader led at the {which} of them")
def proves_time(context, which):
    expected = FIRST_SENT_AT + NUMBERS[which]
    assert context.witnesses.proved_at == expected, context.witnesses.proved_at


@when("it is replaced by 3 other boxes, which alone accept the leader's polls")
def replaced_panel(context):
    others = [f"c{number}@1" for number in range(3)]
    context.change = context.witnesses.change(others)
    for member in others:
        context.witnesses.record_accepted(member, FIRST_SENT_AT)


@then("that proves nothing until the new panel is durable")
def proves_once_durable(context):
    proves_nothing(context)
    context.witnesses.confirm(context.change)
    assert context.witnesses.proved_at == FIRST_SENT_AT


@when("all of them restart under their ids, and accept the leader's polls")
def restarted_members(context):
    for member in context.members:
        context.witnesses.record_ended(member)
        context.witnesses.record_accepted(member.replace("@1", "@2"), FIRST_SENT_AT)


class OneBox:
    """Answers each poll after a while."""

    def __init__(self, seconds, outcome):
        self.seconds = seconds
        self.outcome = outcome

    async def poll(self, *arguments):
        """See :class:`granitetrestle.interfaces.BoxCalls`."""
        await anyio.sleep(self.seconds)
        return self.outcome


class RecordingScheduler(FakeScheduler):
    """Keeps the times of which its box counts as a witness."""

    def __init__(self):
        super().__init__(1)
        self.accepted = []

    def record_accepted(self, incarnation, sent_at, now):
        """See :meth:`granitetrestle.boxleases.BoxLeases.record_accepted`."""
        self.accepted.append(sent_at)
        return []


@given("a box that answers a poll after {seconds:g} s")
def slow_box(context, seconds):
    context.calls = OneBox(seconds, PollResult(1, (), ()))


@given("a box that rejects polls of this leader")
def rejecting_box(context):
    context.calls = OneBox(0.0, CommandRejected("fence", 1))


@when("a leader polls it once")
def polled_once(context):
    async def poll():
        poller = make_poller("b0", context.calls, context.scheduler, PollBudget(1000))
        await poller._poll_once(long_poll=False)

    context.scheduler = RecordingScheduler()
    context.before_s = steadyclock.now()
    anyio.run(poll)
    context.after_s = steadyclock.now()


@then("the box counts as a witness of the time before that poll")
def witness_of_sending(context):
    (accepted_at,) = context.scheduler.accepted
    answered_at = context.before_s + context.calls.seconds
    assert context.before_s <= accepted_at < answered_at < context.after_s


@then("the box counts as no witness")
def no_witness(context):
    assert not context.scheduler.accepted, context.scheduler.accepted


class SlowStore(MemoryStore):
    """Applies an append at once, and answers after a while."""

    def __init__(self, seconds):
        super().__init__(StoreModel())
        self.seconds = seconds

    async def append(self, *arguments):
        """See :meth:`.MemoryStore.append`."""
        outcome = await super().append(*arguments)
        await anyio.sleep(self.seconds)
        return outcome


@given("a store that answers an append after {seconds:g} s")
def slow_store(context, seconds):
    context.store = SlowStore(seconds)


@when("a process claims an epoch there")
def claims_epoch(context):
    context.claim = anyio.run(take_over, context.store, 1, "incarnation")


@then(
    "it counts as confirmed when the claim was sent, and grants no lease before its first "
    "append"
)
def confirmed_by_claim(context):
    async def ages_s():
        journal = Journal(
            context.store,
            JOBS_TOPIC,
            1,
            list,
            lambda held: None,
            steadyclock.now,
            lambda reason, seconds: None,
            end=context.claim.end,
            claimed_at=context.claim.sent_at,
        )
        lease = JournalLeaderLease(journal, 8.0, LoopLag(steadyclock.now), panel)
        return lease.age_s(), lease.renewal_age_s()

    panel = Witnesses()
    panel.confirm(panel.change(["b1", "b2", "b3"]))
    age_s, renewal_age_s = anyio.run(ages_s)
    assert age_s >= context.store.seconds and renewal_age_s == math.inf


@given(
    "a successor whose predecessor followed panel {panel:d}, while the store holds panel "
    "{stored:d}"
)
def successor_of(context, panel, stored):
    context.stored_panel = stored
    inherit(context, panel, bool(panel), PARAMETERS.lease_s, 0.0)


def inherit(context, panel, covers, lease_s, earlier_s):
    """Let a successor take over from a leader whose mark says so; a lease of a leader
    before may run on box b0."""
    parameters = PARAMETERS._replace(max_lease_s=lease_s)
    context.inherited = InheritedLeases(parameters, TAKEN_OVER_AT)
    bound_s = parameters._replace(lease_s=lease_s).lease_bound_s
    inherited = {"b0": earlier_s} if earlier_s else {}
    mark = LeaderMark(4, 9, False, earlier_s, bound_s, inherited, panel, covers)
    context.inherited.record_predecessor(mark)


@given(
    "a successor whose predecessor followed panel {panel:d}, which {covers} leases of up "
    "to {lease_s:g} s of leaders before it, for {earlier_s:g} s more"
)
def successor_of_several(context, panel, covers, lease_s, earlier_s):
    context.stored_panel = 2
    inherit(context, panel, covers == "covers", lease_s, earlier_s)


@when("all of these have ended")
def leases_ended(context):
    context.now = context.inherited.latest_end + 0.01


@then("its own mark says that panel {panel:d} {covers} earlier leases")
def own_mark(context, panel, covers):
    now = getattr(context, "now", TAKEN_OVER_AT)
    assert context.inherited.is_covered(panel, now) == (covers == "covers")


@when("a majority of the store's panel has answered the successor")
def majority_answered(context):
    context.inherited.record_witnesses(context.stored_panel, TAKEN_OVER_AT)


@then("the successor waits for {what}")
def waits_for(context, what):
    wait_s = {
        "one lease": PARAMETERS.lease_bound_s,
        "a longer lease": PARAMETERS._replace(lease_s=10.0).lease_bound_s,
        "8 s and a lease": PARAMETERS.orphan_s + PARAMETERS.lease_bound_s,
        "12 s": 12.0,
    }[what]
    actual_s = context.inherited.end("b0") - TAKEN_OVER_AT
    assert abs(actual_s - wait_s) < 0.01, actual_s
