"""Steps of the promises' scenarios over reducers among fakes, in virtual time."""

from behave import given
from behave import then
from behave import when

from granitetrestle import events as ev
from granitetrestle.outcomes import Accepted
from granitetrestle.outcomes import Reason
from granitetrestle.outcomes import Rejected
from granitetrestle.records import AttemptEnded
from granitetrestle.records import Batch
from granitetrestle.records import BoxDrained
from granitetrestle.records import CellEdit
from granitetrestle.records import JobSpec
from granitetrestle_standins.chaos import Chaos
from granitetrestle_standins.fakes import World
from machines import run_machine


@given("a hall of {nodes:d} processes and {boxes:d} boxes among fakes")
def fake_hall(context, nodes, boxes):
    context.world = World(7, {"zurich": nodes}, boxes)
    context.chaos = Chaos(context.world)
    context.chaos.advance(3.0)


@given("halls of {nodes:d} processes and {boxes:d} boxes among fakes")
def fake_halls(context, nodes, boxes):
    halls = {"zurich": nodes, "bern": nodes, "basel": nodes}
    context.world = World(7, halls, boxes)
    context.chaos = Chaos(context.world)
    context.chaos.advance(6.0)


def owner(context, hall="zurich"):
    nodes = [n for n in context.world.nodes.values() if n.alive]
    nodes = [n for n in nodes if n.setup.hall == hall]
    newest = max(nodes, key=lambda n: n.reducer.ownership.shards[0].epoch)
    return context.world.nodes[newest.reducer.ownership.shards[0].holder]


def choice_of(context, name):
    alive = sorted(n for n, x in context.world.nodes.items() if x.alive)
    return alive.index(name)


@given("a service of {tasks:d} replicas is running")
def service_runs(context, tasks):
    spec = JobSpec("service", 1.0, 1.0, tasks=tasks, service="unlock")
    context.service = context.chaos.submit(0, spec, "acc")
    context.chaos.advance(4.0)
    running = context.world.ledger.running
    assert sum(task.startswith(context.service) for task in running) == tasks


@given("batch work of {tasks:d} tasks of {cores:d} cores fills the boxes")
def batch_fills(context, tasks, cores):
    spec = JobSpec("batch", float(cores), 1.0, tasks=tasks, run_s=30.0)
    context.job = context.chaos.submit(0, spec, "acc")
    context.chaos.advance(1.0)
    assert len(context.world.ledger.running) == tasks


@when("a job of {tasks:d} tasks of {cores:d} cores is submitted")
def job_submitted(context, tasks, cores):
    spec = JobSpec("batch", float(cores), 1.0, tasks=tasks, run_s=3.0)
    context.job = context.chaos.submit(1, spec, "acc")


@when("urgent work of {cores:d} cores is submitted")
def urgent_submitted(context, cores):
    spec = JobSpec("batch", float(cores), 1.0, run_s=2.0, urgent=True)
    context.urgent = context.chaos.submit(1, spec, "urgent")


@when("{seconds:g} seconds pass")
def seconds_pass(context, seconds):
    context.chaos.advance(seconds)


@when("the owner is killed for {seconds:g} seconds")
def owner_killed(context, seconds):
    context.old_owner = owner(context)
    context.chaos.kill_for(choice_of(context, context.old_owner.name), seconds)


@when("the owner freezes for {seconds:g} seconds as a start is about to leave")
def owner_freezes(context, seconds):
    node = owner(context)
    context.old_owner = node
    starts = context.world.ledger.starts
    before = len(starts)

    for _ in range(10000):
        if node.notes["placed"]:
            break
        context.world.advance(0.0003)
    assert node.notes["placed"]
    assert len(starts) == before, "the start had left already"
    node.frozen_until = context.world.now + seconds


@when("the owner is cut from the log and from its peers")
def owner_cut(context):
    context.old_owner = owner(context)
    context.old_owner.cut_from_log = True
    context.old_owner.cut_from |= set(context.world.nodes)


@when("box {number:d} can't be reached by the successor")
def box_unreachable(context, number):
    for node in context.world.nodes.values():
        if node is not context.old_owner:
            node.cut_from.add(f"zurich-w{number}")


@when("the platform is down for {seconds:g} seconds")
def platform_down(context, seconds):
    context.world.faults.log_down = True
    context.chaos.advance(seconds)
    context.world.faults.log_down = False


@when("all faults end and everything settles")
def settles(context):
    context.chaos.settle()


@then("the job finished, each task in one place at a time")
def job_finished(context):
    job = context.world.nodes["zurich-1"].reducer.jobs.jobs[context.job]
    assert job.state == "finished", job
    for task in job.tasks:
        assert context.world.ledger.finished[task] == 1, task


@then("another process owns the shard within {seconds:g} seconds")
def other_owner(context, seconds):
    old = context.old_owner.setup.incarnation

    def followed():
        nodes = [n for n in context.world.nodes.values() if n.alive]
        return any(
            n.reducer.ownership.shards[0].holder_incarnation
            == n.setup.incarnation
            != old
            and n.reducer.ownership.may_start(0, n.mono)
            for n in nodes
        )

    context.took = context.world.advance_until(followed, seconds)


@then("each evicted task resumed once, from its checkpoint")
def resumed_once(context):
    ledger = context.world.ledger
    assert ledger.checkpoints, "nothing was evicted"
    for (task, attempt), checkpoint in ledger.checkpoints.items():
        assert ledger.resumed.get((task, attempt + 1)) == checkpoint, task


@then("work that ran goes on running through it")
def goes_on(context):
    running = context.world.ledger.running
    assert any(task.startswith(context.job) for task in running), running
    attempts = {attempt for _, attempt in context.world.ledger.starts}
    assert attempts == {1}, attempts


@then("the machine of {name} finds no broken promise")
def machine_finds_nothing(context, name):
    run_machine(name)


@when("two operators change the same cell at the same moment")
def race(context):
    context.racers = []
    for node, value in (("zurich-1", 5.0), ("bern-1", 7.0)):
        fake = context.world.nodes[node]
        request = f"race-{node}"
        edit = CellEdit("acc", "weight", value, 0)
        fake.step(ev.TableEditRequested(fake.mono, request, (edit,)))
        context.racers.append((fake, request))
    context.chaos.advance(1.0)


@then("one wins, and the other gets a typed conflict that shows the winner")
def one_wins(context):
    outcomes = [fake.outcomes[request] for fake, request in context.racers]
    won = [o for o in outcomes if isinstance(o, Accepted)]
    lost = [o for o in outcomes if isinstance(o, Rejected)]
    assert len(won) == len(lost) == 1, outcomes
    context.edit_offset = won[0].offset
    assert lost[0].reason is Reason.CONFLICT
    assert f"version {won[0].offset}" in lost[0].detail, lost[0].detail


@when("a cell is set at zurich while bern is cut off")
def set_while_cut(context):
    for node in context.world.nodes.values():
        if node.setup.hall == "bern":
            node.cut_from_log = True
    fake = context.world.nodes["zurich-1"]
    edit = CellEdit("acc", "weight", 9.0, 0)
    fake.step(ev.TableEditRequested(fake.mono, "cut-edit", (edit,)))
    context.chaos.advance(2.0)
    assert isinstance(fake.outcomes["cut-edit"], Accepted)


@then("bern lacks the cell, and has it {seconds:g} seconds after it heals")
def bern_catches_up(context, seconds):
    bern = [n for n in context.world.nodes.values() if n.setup.hall == "bern"]
    assert all(n.reducer.table.cell("acc", "weight").version == 0 for n in bern)
    context.chaos.heal()
    context.chaos.advance(seconds)
    assert all(n.reducer.table.number("acc", "weight") == 9.0 for n in bern)


@when("every process is replaced after the log dropped old records")
def all_replaced(context):
    context.chaos.advance(5.0)
    for node in context.world.nodes.values():
        stream = "config"
        state = node.reducer.state_of(stream)
        assert state.rows
    context.world.log.expire_all(3)
    assert context.world.log.first("config") > context.edit_offset
    for name in sorted(context.world.nodes):
        context.chaos.kill(choice_of(context, name))
    context.chaos.advance(8.0)


@then("the cell is in force at every process")
def cell_everywhere(context):
    for node in context.world.nodes.values():
        assert node.reducer.table.number("acc", "weight") > 1.0, node.name


@when("{count:d} other cells are set")
def other_cells(context, count):
    context.edit_offset = 1
    fake = context.world.nodes["zurich-2"]
    for number in range(count):
        edit = CellEdit(f"other-{number}", "weight", 2.0, 0)
        fake.step(ev.TableEditRequested(fake.mono, f"other-{number}", (edit,)))
        context.chaos.advance(0.2)


@then("the shard kept its owner and epoch")
def kept_epoch(context):
    before = dict(context.world.nodes["zurich-1"].reducer.ownership.shards)
    context.chaos.advance(8.0)
    after = dict(context.world.nodes["zurich-1"].reducer.ownership.shards)
    assert before[0].epoch == after[0].epoch, (before, after)


@when("ends of its epoch, and of older attempts, reach the log late")
def late_ends(context):
    old = context.old_owner.reducer.ownership.shards[0].epoch
    new = owner(context).reducer.ownership.shards[0].epoch
    assert new > old
    task = f"{context.job}/0"
    facts = (
        AttemptEnded(task, 1, 0, old, "finished"),
        AttemptEnded(task, 0, 0, new, "finished"),
        AttemptEnded(task, 2, 0, new, "finished"),
    )
    context.world.append("hall-zurich", Batch("late", 1, facts))
    context.chaos.advance(2.0)
    assert not owner(context).reducer.jobs.jobs[context.job].tasks[task].ended


@when("box {number:d} is drained and given back")
def drained_and_back(context, number):
    context.box = f"zurich-w{number}"
    fake = context.world.nodes["zurich-1"]
    for name, drained in (("drain", True), ("undrain", False)):
        fake.step(ev.BoxDrainRequested(fake.mono, name, context.box, drained))
        context.chaos.advance(0.5)
        assert isinstance(fake.outcomes[name], Accepted)


@when("the append of the drain takes effect once more")
def drain_again(context):
    records = context.world.log.read("hall-zurich", 1)
    batch = next(
        r.batch
        for r in records
        if any(isinstance(f, BoxDrained) and f.drained for f in r.batch.facts)
    )
    context.world.append("hall-zurich", batch)
    context.chaos.advance(1.0)


@then("box {number:d} takes work")
def takes_work(context, number):
    owned = owner(context).reducer.owner.placement.owned_shards[0]
    box = owned.index.boxes[f"zurich-w{number}"]
    assert box.open_for_work(owner(context).mono), box
