"""Steps of the scenarios about take-overs, which depend on the reports of processes."""

from behave import given
from behave import then
from behave import when
from msgspec.structs import replace

from granitetrestle.leadership import Leadership
from granitetrestle.leadership import next_epoch
from granitetrestle.messages import NodeStatus


def status(node, epoch, leader, successors=()):
    return NodeStatus(
        node, f"{node}:1", "hall", epoch, leader, True, True, 1.0, tuple(successors)
    )


@given("a process that the store names as the last leader")
def named_by_store(context):
    context.leadership = Leadership("n1", 0.0, 0.5)
    context.leadership.record_leader(7 << 24, "n1", 0.1)


@then("it takes over without waiting for a report of that leader")
def takes_over(context):
    assert context.leadership.leader == ""
    assert context.leadership.is_take_over_due(0.5)
    assert context.leadership.epoch == 7 << 24


@given("two successors of a leader that became silent")
def two_successors(context):
    context.successors = []
    for node, other in (("n2", "n3"), ("n3", "n2")):
        leadership = Leadership(node, 0.0, 0.5)
        leadership.record_report(status("n1", 5, "n1", ("n2", "n3")), 10.0)
        leadership.record_report(status(other, 5, "n1"), 10.6)
        context.successors.append(leadership)


@then(
    "the first is due at once and the second only after the first had time to take over"
)
def first_due(context):
    first, second = context.successors
    assert not first.is_take_over_due(10.5)
    assert first.is_take_over_due(10.85)
    assert not second.is_take_over_due(10.85)
    assert second.is_take_over_due(11.3)


@when("the first of them reports that it is taking over")
def reports_taking_over(context):
    context.second = context.successors[1]
    for tick in range(20):
        context.second.record_report(
            replace(status("n2", 5, ""), taking_over=True), 10.9 + tick * 0.4
        )


@then("the second waits for it, but not indefinitely")
def waits_for_it(context):
    assert not context.second.is_take_over_due(11.6)
    assert not context.second.is_take_over_due(13.0)
    assert context.second.is_take_over_due(15.5)


@when("the first of them gets no more reports")
def loses_all_peers(context):
    assert not context.successors[0].is_isolated(10.9)
    context.now = 13.0


@then("it counts as isolated")
def isolated(context):
    assert context.successors[0].is_isolated(context.now)


@given("a process cut off with a leader that has lost the store")
def cut_off_with_leader(context):
    leadership = context.leadership = Leadership("n3", 0.0, 0.5)
    lost = status("n1", 5, "n1", ("n3",))
    for tick in range(30):
        leadership.record_report(replace(lost, store_ok=False), 10.0 + tick * 0.2)


@when("another process reports a newer leader")
def newer_leader_reported(context):
    context.leadership.record_report(status("n2", 6, "n9"), 15.9)


@then("it does not take over from that one at once")
def no_immediate_take_over(context):
    assert context.leadership.leader == "n9"
    assert not context.leadership.is_take_over_due(16.0)
    assert not context.leadership.is_take_over_due(16.5)


@given("a process with reports of {reporting:d} of {known:d} others, and of no leader")
def some_report(context, reporting, known):
    leadership = context.leadership = Leadership("n0", 0.0, 0.0)
    for number in range(1, known + 1):
        leadership.record_report(status(f"n{number}", 5, "n9"), 10.0)
    leadership.update_majority(10.1)
    for number in range(1, reporting + 1):
        leadership.record_report(status(f"n{number}", 5, "n9"), 11.5)
    assert leadership.is_take_over_due(12.0)


@then("it asks the store whether a leader is active")
def asks_store(context):
    assert context.leadership.lacks_stable_majority(12.0)


@then("it takes over without asking")
def does_not_ask_store(context):
    assert not context.leadership.lacks_stable_majority(12.0)


@when("all others report again, the leader last")
def all_report_again(context):
    for tick in range(6):
        for number in range(1, 9):
            context.leadership.record_report(
                status(f"n{number}", 5, "n9"), 12.5 + tick * 0.3
            )


@then("it still asks the store for a while")
def still_asks_store(context):
    assert context.leadership.lacks_stable_majority(12.5)
    assert context.leadership.lacks_stable_majority(13.9)
    assert not context.leadership.lacks_stable_majority(14.1)


@given("a leader of half a core that gets reports of a ready process of two cores")
def small_leader(context):
    leadership = context.leadership = Leadership("n0", 0.0, 0.0)
    leadership.record_take_over(5, 10.0)
    for tick in range(40):
        leadership.record_report(
            replace(status("n1", 5, "n0"), cores=2.0), 10.0 + tick * 0.4
        )


@then("it hands over once it has led for a while without a change, and not before")
def hands_over(context):
    better = context.leadership.handover_target
    assert better(12.0, 0.5) == ""
    assert better(25.9, 0.5) == "n1"
    assert better(25.9, 1.9) == "", "as large as the other"
    assert better(40.0, 0.5) == "", "the other is silent"


@then("the epochs that two addresses choose differ, and are above the last")
def epochs_differ(context):
    last = next_epoch(0, "10.1.0.1")
    epochs = {next_epoch(last, f"10.{a}.0.{b}") for a in range(4) for b in range(1, 9)}
    assert len(epochs) == 32
    assert min(epochs) > last


@given("a leader whose peers have not reported yet that they are ready")
def peers_not_ready(context):
    context.leadership = Leadership("n0", 0.0, 0.0)
    for node in ("n1", "n2"):
        context.leadership.record_report(
            replace(status(node, 5, "n0"), ready=False), 1.0
        )


@then("it still names one of them as its successor")
def names_successor(context):
    leadership = context.leadership
    assert leadership.rank_successors(1.2) == ()
    assert leadership.unready_successors(1.2)[0] == "n1"
    leadership.record_report(status("n2", 5, "n0"), 1.3)
    assert leadership.rank_successors(1.4) == ("n2",), "the ready one goes first"
    assert leadership.rank_successors(9.0) == (), "no peer reports any more"
    assert leadership.unready_successors(9.0) == (), "no peer reports any more"


@given("a leader that hears from the store that another process has taken over")
def superseded(context):
    leadership = context.leadership = Leadership("n1", 0.0, 0.5)
    leadership.record_take_over(5, 10.0)
    for tick in range(20):
        leadership.record_report(status("n2", 5, "n1"), 16.0 + tick * 0.4)
    context.superseded_at = 24.0
    leadership.record_deposed(context.superseded_at)


@then("it doesn't try to take over within {seconds:g} seconds")
def leaves_alone(context, seconds):
    at = context.superseded_at
    assert not context.leadership.is_take_over_due(at + 0.1)
    assert not context.leadership.is_take_over_due(at + seconds)


@then("it does after {seconds:g} seconds if nobody reports as the leader")
def tries_again(context, seconds):
    assert context.leadership.is_take_over_due(context.superseded_at + seconds)
