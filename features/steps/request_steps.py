"""Steps that send requests to reducers on a simulated network, in virtual time."""

import collections

from behave import given
from behave import then
from behave import when

from granitetrestle.outcomes import Answered
from granitetrestle.outcomes import NotRun
from granitetrestle.outcomes import Unknown
from granitetrestle.records import JobSpec
from granitetrestle_standins.fakes import Faults


def _call_all_processes(context, count):
    for number in range(count):
        for node in sorted(context.world.nodes):
            if context.world.nodes[node].alive:
                context.world.request(node, "acc", "unlock", repeatable=number % 2 == 0)
        context.chaos.advance(0.01)


@when("callers keep every process busy while each freezes in turn")
def busy_and_frozen(context):
    for name in sorted(context.world.nodes):
        _call_all_processes(context, 30)
        context.world.nodes[name].frozen_until = context.world.now + 12.0
        for _ in range(11):
            _call_all_processes(context, 10)
            context.chaos.advance(0.9)
        # A burst that is in flight when the frozen process wakes.
        context.chaos.advance(
            context.world.nodes[name].frozen_until - context.world.now
        )
        for _ in range(12):
            for node in sorted(context.world.nodes):
                context.world.request(node, "acc", "unlock")
        context.chaos.advance(3.0)


@then("no endpoint served more requests at a time than it has slots")
def no_slot_exceeded(context):
    # FakeBox.begin_request raises on the first violation. The count shows that
    # enough requests were served for one to occur.
    assert len(context.world.served) > 500, len(context.world.served)


@when("the network loses, doubles and delays a third of what it carries")
def bad_network(context):
    context.world.faults = Faults(lost=0.3, doubled=0.3, late=0.3)


@when("a snapshot of the configuration was written")
def snapshot_written(context):
    for node in context.world.nodes.values():
        if node.setup.hall == "basel":
            node.reducer.write_snapshots_now()
    context.chaos.advance(1.0)


@when("{count:d} callers call the service at each process of {hall}")
def callers_call(context, count, hall):
    context.called = []
    for _ in range(count):
        for name, node in sorted(context.world.nodes.items()):
            if node.setup.hall == hall and node.alive:
                context.called.append(
                    context.world.request(name, "acc", "unlock", repeatable=True)
                )
        context.chaos.advance(0.02)


@then("every caller has one final outcome")
def one_outcome(context):
    context.chaos.advance(6.0)
    outcomes = dict(context.chaos.outcomes())
    missing = [q for q in context.called if q not in outcomes]
    assert not missing, missing
    context.outcome_counts = collections.Counter(
        type(outcomes[q]).__name__ for q in context.called
    )


@then("no request that is answered as not run has run, and some are answered so")
def not_run_is_true(context):
    context.chaos.check_not_run()
    assert context.outcome_counts["NotRun"], (
        context.outcome_counts,
        [dict(context.chaos.outcomes())[q] for q in context.called][:4],
    )


@when("the network loses half of all messages")
def half_lost(context):
    context.world.faults = Faults(lost=0.5)


@when("the serving boxes lose all their tasks")
def serving_boxes_fail(context):
    endpoints = [e for _, e, _ in context.world.served]
    assert endpoints
    for box in context.world.boxes.values():
        if box.info.hall == "zurich":
            box.fail()
            box.down = False


@when('the same key "{key}" is used at every process of every hall')
def same_key_everywhere(context, key):
    context.called = []
    for name in sorted(context.world.nodes):
        node = context.world.nodes[name]
        if node.alive:
            context.called.append(
                context.world.request(
                    name, "acc", "unlock", key=key, issued_at=node.wall - 0.01
                )
            )
        context.chaos.advance(0.005)
    context.chaos.advance(3.0)


@then('the work of "{key}" ran exactly once')
def ran_once(context, key):
    assert context.world.ledger.executed[key] == 1, context.world.ledger.executed[key]


@then('the work of "{key}" ran at most once')
def ran_at_most_once(context, key):
    assert context.world.ledger.executed[key] <= 1, context.world.ledger.executed[key]


@then("one caller is answered, and all others end as unknown or not run")
def exactly_one_answered(context):
    outcomes = dict(context.chaos.outcomes())
    kinds = collections.Counter(type(outcomes[q]).__name__ for q in context.called)
    assert kinds["Answered"] == 1, kinds
    assert kinds["Answered"] + kinds["Unknown"] + kinds["NotRun"] == len(
        context.called
    ), kinds


@when('the key "{key}" is used again with its original time of issue')
def retry_key(context, key):
    event = next(e for e in context.world.arrivals.values() if e.key == key)
    name = next(n for n, x in sorted(context.world.nodes.items()) if x.alive)
    context.retried_request = context.world.request(
        name, "acc", "unlock", key=key, issued_at=event.issued_at
    )
    context.chaos.advance(3.0)


@then("the outcome is unknown, at once")
def unknown_at_once(context):
    outcome = dict(context.chaos.outcomes())[context.retried_request]
    assert isinstance(outcome, Unknown), outcome


@given("every hall but {hall} is cut off from it")
def hall_cut(context, hall):
    inside = {n for n, x in context.world.nodes.items() if x.setup.hall == hall}
    for name, node in context.world.nodes.items():
        others = set(context.world.nodes) - inside if name in inside else inside
        node.cut_from |= others
    context.chaos.advance(12.0)


@then("each key that a cut-off hall decides is refused as not run, at once")
def refused_at_once(context):
    started = context.world.now
    names = []
    for number in range(12):
        node = context.world.nodes["zurich-1"]
        key = f"key-cut-{number}"
        names.append(
            context.world.request(
                "zurich-1", "acc", "unlock", key=key, issued_at=node.wall - 0.01
            )
        )
    context.chaos.advance(0.2)
    outcomes = dict(context.chaos.outcomes())
    kinds = [outcomes[q] for q in names]
    assert context.world.now - started < 0.3
    assert any(isinstance(o, NotRun) for o in kinds), kinds
    assert any(isinstance(o, Answered) for o in kinds), kinds


@when("a box with a replica is drained")
def box_drained(context):
    running = context.world.ledger.running
    context.drained = next(
        b for t, b in running.items() if t.startswith(context.service)
    )
    box = context.world.boxes[context.drained]
    box.info = box.info._replace(leaving=True)
    context.drained_at = context.world.now


@when("callers keep calling for {seconds:d} seconds")
def callers_go_on(context, seconds):
    for _ in range(seconds * 4):
        _call_all_processes(context, 2)
        context.chaos.advance(0.21)


@then("the box gets no new work from {seconds:g} seconds after it is listed as leaving")
def no_new_work(context, seconds):
    limit = context.drained_at + seconds
    late = [s for s in context.world.served if s[2] == context.drained and s[0] > limit]
    assert not late, (context.drained_at, late[:3])
    served_elsewhere = [s for s in context.world.served if s[0] > limit]
    assert served_elsewhere, "nothing was served elsewhere either"


@then("the replica runs elsewhere")
def replica_elsewhere(context):
    running = context.world.ledger.running
    boxes = [b for t, b in running.items() if t.startswith(context.service)]
    assert len(boxes) == 2 and context.drained not in boxes, boxes


@given("a service of {tasks:d} replicas is running in zurich only")
def service_in_zurich(context, tasks):
    spec = JobSpec("service", 1.0, 1.0, tasks=tasks, service="unlock")
    alive = sorted(n for n, x in context.world.nodes.items() if x.alive)
    context.service = context.chaos.submit(alive.index("zurich-1"), spec, "acc")
    context.chaos.advance(8.0)


@when('the owner is frozen and the key "{key}" is used before and after')
def frozen_owner_key(context, key):
    holder = context.world.nodes["zurich-1"].reducer.ownership.shards[0].holder
    frozen = context.world.nodes[holder]
    others = [n for n in sorted(context.world.nodes) if n != holder]
    wall = context.world.nodes[others[0]].wall
    frozen.frozen_until = context.world.now + 12.0
    context.world.request(others[0], "acc", "unlock", key=key, issued_at=wall + 0.2)
    for _ in range(60):
        context.chaos.advance(0.25)
        context.world.request(others[1], "acc", "unlock", key=key, issued_at=wall + 0.2)
    context.chaos.advance(5.0)


@when("every connection breaks just after an endpoint begins the work")
def broken(context):
    context.world.faults = Faults(broken=1.0)


@then("no request that is answered as not run has run, and some are unknown")
def some_outcomes_unknown(context):
    context.chaos.check_not_run()
    assert context.outcome_counts["Unknown"], context.outcome_counts


@when('the key "{key}" is used with a clock {ahead:d} seconds ahead')
def key_from_fast_clock(context, key, ahead):
    node = context.world.nodes["zurich-1"]
    context.world.request(
        "zurich-1", "acc", "unlock", key=key, issued_at=node.wall + ahead
    )
    context.chaos.advance(3.0)
