"""Steps for a scheduler with model boxes and a model store, in virtual time."""

from behave import given
from behave import then
from behave import when
from msgspec.structs import replace

from granitetrestle.decisions import AskAdvice
from granitetrestle.decisions import ConfirmPanel
from granitetrestle.decisions import LogEvent
from granitetrestle.decisions import StartTask
from granitetrestle.interfaces import Advice
from granitetrestle.interfaces import PollResult
from granitetrestle.jobcalls import SubmitJob
from granitetrestle.packing import Packer
from granitetrestle.packing import Ranking
from granitetrestle.scheduler import Scheduler
from granitetrestle.workflows import Step
from granitetrestle.workflows import Submission
from granitetrestle_standins.shardworld import CONFIG
from granitetrestle_standins.shardworld import ShardWorld
from lasting_task import lasting_task
from native_machines import run_shard_machine

ONE = (Step(count=2, cpu=1000, memory_mb=100),)


def runs(context):
    return [
        (run.task, run.run, run.how)
        for box in context.world.boxes.values()
        for run in box.history
    ]


def state(context, job):
    return context.world.leader.scheduler.state.workflows[job].state


@then(
    "{count:d} random runs of a shard keep one place and one success for each task, "
    "the order of steps, the attempts and every job"
)
def random_runs(context, count):
    run_shard_machine(examples=count, steps=40)


@given("a shard of {boxes:d} boxes among models")
def shard(context, boxes):
    context.world = ShardWorld(7, boxes)
    context.world.advance(0.5)


@when(
    "the store is unavailable, a job is submitted, and its box is cut off until its "
    "lease has expired"
)
def store_and_box_away(context):
    world = context.world
    world.store_down = True
    context.job = world.submit(ONE)
    world.advance(0.1)
    tasks = world.leader.scheduler.state.workflows[context.job].tasks.values()
    for incarnation in {task.box for task in tasks}:
        world.cut_until[incarnation] = world.now + 5.0
    world.advance(4.9)


@when(
    "the store is unavailable, a job is submitted and cancelled, and the store is back"
)
def cancelled_while_away(context):
    world = context.world
    world.store_down = True
    context.job = world.submit(ONE)
    world.advance(0.3)
    world.cancel(context.job)
    world.advance(0.3)
    world.store_down = False
    world.advance(1.0)


@then("no task of the job ever ran")
def nothing_ran(context):
    assert not runs(context), runs(context)
    assert state(context, context.job) == "cancelled"


@when("the box is back, and then the store")
def store_and_box_back(context):
    context.world.cut_until.clear()
    context.world.advance(0.3)
    context.world.store_down = False
    context.world.advance(2.0)


@then("no task ever ran on two boxes, and the job completes")
def never_two(context):
    # The world itself raises when a task runs on two boxes.
    context.world.settle(10.0)
    assert state(context, context.job) == "completed"


@when("a job runs and a successor takes over at once")
def run_and_take_over(context):
    context.job = context.world.submit(ONE)
    context.world.advance(0.2)
    assert len(runs(context)) == 2, runs(context)
    context.world.take_over()
    context.world.advance(2.0)


@then("each task ran once, and the job completes")
def ran_once(context):
    assert [how for _, _, how in runs(context)] == ["done", "done"], runs(context)
    assert state(context, context.job) == "completed"


@when("the leader is suspended, a successor starts a job, and the old leader resumes")
def suspend_leader(context):
    world = context.world
    old = world.leader
    world.submit(ONE)
    old.frozen = True
    world.take_over()
    context.job = world.submit(ONE)
    world.advance(0.2)
    old.frozen = False
    world.advance(2.0)
    context.old = old


@then("the old leader has stepped down, and each task ran once")
def stepped_down(context):
    assert context.old.stopped
    mine = [how for task, _, how in runs(context) if task.startswith(context.job)]
    assert mine == ["done", "done"], runs(context)


@when("a job is submitted and all its runs fail")
def all_fail(context):
    context.world.task_failure_share = 1.1
    context.job = context.world.submit((Step(count=1, cpu=100, memory_mb=10),))
    context.world.advance(8.0)


@then("its task ran 3 times and the job has failed")
def failed(context):
    assert [how for _, _, how in runs(context)] == ["failed"] * 3, runs(context)
    assert state(context, context.job) == "failed"


@when("a job is cancelled while its box is cut off for a second")
def cancel_cut(context):
    world = context.world
    context.job = world.submit((Step(count=1, cpu=100, memory_mb=10),))
    world.advance(0.15)
    assert len(runs(context)) == 1, runs(context)
    world.cut_box(0, 1.0)
    world.cancel(context.job)


@then("nothing of it runs two seconds later, and it is cancelled")
def nothing_runs(context):
    context.world.advance(2.0)
    assert not any(box.running for box in context.world.boxes.values())
    assert state(context, context.job) == "cancelled"


@when("a job of a queue under advice is submitted, and the advisor names one box")
def submit_under_advice(context):
    world = context.world
    scheduler = context.scheduler = Scheduler(world.parameters, 0.0)
    queue = CONFIG.queues[0]._replace(advised=True)
    scheduler.apply_config(CONFIG._replace(queues=(queue,)))
    scheduler.fleet.update_boxes(world.entries, 0.0)
    for incarnation in world.entries:
        scheduler.fleet.handle_poll_outcome(
            incarnation, 0.0, 0.1, PollResult(100, (), ())
        )
    scheduler.handle_call("r", SubmitJob(Submission("1", "q", "pool", "", ONE)), 0.2)
    # The first decisions also choose witnesses among the boxes.
    decisions = scheduler.decide(0.3, 0)
    (asked,) = (asked for asked in decisions if isinstance(asked, AskAdvice))
    others = [decision for decision in decisions if decision is not asked]
    assert [type(other) for other in others] == [LogEvent, ConfirmPanel], others
    assert len(asked.incarnations) == 3, asked
    assert scheduler.decide(0.4, 0) == []
    context.incarnation = asked.incarnations[1]
    scheduler.apply_advice(
        asked, Advice({context.incarnation: "good-ticket"}, 3.0), 0.5
    )
    context.effects = scheduler.decide(0.6, 0)


@then("both of its tasks are started there, each with the ticket")
def with_ticket(context):
    starts = context.effects
    assert len(starts) == 2 and all(isinstance(s, StartTask) for s in starts), starts
    assert {(s.incarnation, s.ticket) for s in starts} == {
        (context.incarnation, "good-ticket")
    }


@when("a gang of five is submitted for which there is no room, and then a box is added")
def gang_waits(context):
    world = context.world
    context.job = world.submit((Step(count=5, cpu=1000, memory_mb=10, gang=True),))
    world.advance(1.0)
    assert runs(context) == [], runs(context)
    world.add_box()
    world.advance(0.4)


@then("all five started together, with one run number")
def gang_started(context):
    began = runs(context)
    assert len(began) == 5 and {run for _, run, _ in began} == {1}, began


@when("a task ends while the store is unavailable, and then the leader is killed")
def end_unwritten(context):
    world = context.world
    context.job = world.submit((Step(count=1, cpu=100, memory_mb=10),))
    world.advance(0.2)
    world.store_down = True
    world.advance(1.5)
    world.kill()
    world.store_down = False
    world.take_over()
    world.advance(2.0)


@then("its successor learns of the end from the box, and the task ran once")
def end_learnt(context):
    assert [how for _, _, how in runs(context)] == ["done"], runs(context)
    assert state(context, context.job) == "completed"


@when("the start of a task gets no answer and is carried out seconds later")
def start_late(context):
    world = context.world
    world.delayed_share = 1.0
    context.job = world.submit((Step(count=3, cpu=100, memory_mb=10),))
    # The first box by name is chosen and then cut off. If the start were given up, the
    # task would be started on the other box.
    world.cut_until["b1"] = world.now + 0.5
    world.advance(0.05)
    world.delayed_share = 0.0
    tasks = world.leader.scheduler.state.workflows[context.job].tasks.values()
    assert {task.box for task in tasks} <= {"b1", ""}
    world.advance(12.0)


@when("a long task runs and its box is cut off for two seconds, within its lease")
def cut_within_lease(context):
    world = context.world
    # The third task of a step is the one that runs for five seconds.
    context.job = world.submit((Step(count=3, cpu=100, memory_mb=10),))
    world.advance(2.5)
    tasks = world.leader.scheduler.state.workflows[context.job].tasks.values()
    for incarnation in {task.box for task in tasks if task.box}:
        world.cut_until[incarnation] = world.now + 2.0
    world.advance(4.0)


@then("the long task ran once")
def long_once(context):
    long_runs = [how for task, _, how in runs(context) if task.endswith(".2")]
    assert long_runs == ["done"], runs(context)


@when(
    "a run fails, its end is written, and the leader is killed before acknowledging it"
)
def failed_unconfirmed(context):
    world = context.world
    world.task_failure_share = 1.1
    context.job = world.submit((Step(count=1, cpu=100, memory_mb=10),))
    context.task = f"{context.job}.0.0.0"
    for _ in range(40):
        world.advance(0.05)
        if world.leader.scheduler.state.find_task(context.task).failures:
            break
    # One more step writes the end; the poll that would acknowledge it comes after that.
    world.advance(0.05)
    (box,) = world.boxes.values()
    assert [row.how for row in box.unacknowledged()] == ["failed"], box.unacknowledged()
    world.task_failure_share = 0.0
    world.kill()
    world.take_over()
    world.advance(0.3)


@then("the successor counts one failure, and the job completes")
def counted_once(context):
    world = context.world
    assert world.leader.scheduler.state.find_task(context.task).failures == 1
    world.settle(10.0)
    assert state(context, context.job) == "completed"


@when("a job runs on both and the entry of one is removed, though it keeps answering")
def entry_removed(context):
    world = context.world
    context.job = world.submit((Step(count=8, cpu=1000, memory_mb=100),))
    world.advance(0.2)
    context.entry = world.entries.pop("b1")


@then("the job completes, and later jobs run on the other box")
def others_only(context):
    world = context.world
    began_before = len(world.boxes["b1"].history)
    later = [world.submit(ONE) for _ in range(3)]
    world.advance(12.0)
    states = [state(context, job) for job in (context.job, *later)]
    assert states == ["completed"] * 4, states
    began_after = len(world.boxes["b1"].history)
    assert began_before == began_after > 0, (began_before, began_after)
    assert all(how == "done" for _, _, how in runs(context)), runs(context)


@then("once its entry is back, it gets tasks again")
def entry_restored(context):
    world = context.world
    began_before = len(world.boxes["b1"].history)
    world.entries["b1"] = context.entry
    for _ in range(4):
        world.submit(ONE)
    world.advance(4.0)
    assert len(world.boxes["b1"].history) > began_before


@when("a best-effort job is half done and a shorter one waits for the same room")
def submit_beside_half_done(context):
    first = Step(count=1, cpu=1000, memory_mb=8000, estimate_ms=1000, best_effort=True)
    second = replace(first, depends_on=(0,))
    context.half = context.world.submit((first, second))
    context.world.advance(0.2)
    context.short = context.world.submit((replace(first, estimate_ms=1500),))


@then("the first job is completed before the other starts")
def least_left_first(context):
    context.world.advance(40.0)
    began = {run.task: run.began for run in context.world.boxes["b1"].history}
    assert began[f"{context.half}.0.1.0"] < began[f"{context.short}.0.0.0"], began


class RejectingPacker(Packer, Ranking):
    """A packer for which no box tolerates a best-effort task."""

    def ranking(self, task, interference, now):
        return self

    def rank(self, box):
        return None


@when("a best-effort job is submitted and no box tolerates it")
def no_box_tolerates(context):
    scheduler = context.world.leader.scheduler
    scheduler.dispatcher.packer = RejectingPacker()
    step = Step(count=5, cpu=1000, memory_mb=100, estimate_ms=5000, best_effort=True)
    context.job = context.world.submit((step,))


@then("one of its tasks runs within 2 seconds, and only one")
def one_runs(context):
    world = context.world
    world.advance(1.0)
    assert not runs(context)
    world.advance(1.0)
    assert len(runs(context)) == 1, runs(context)


@when("a long job runs, its box starts to drain and a successor takes over")
def leaving_at_take_over(context):
    world = context.world
    step = Step(
        count=1, cpu=1000, memory_mb=100, estimate_ms=60_000, checkpointing=True
    )
    context.job = world.submit((step,))
    world.advance(0.1)
    tasks = world.leader.scheduler.state.workflows[context.job].tasks.values()
    context.left = next(iter(tasks)).box
    entry = world.entries[context.left]
    world.entries[context.left] = entry._replace(draining=True, leaving_in_s=0.5)
    world.take_over()


@then("its run there is stopped, and another starts on the other box")
def runs_elsewhere(context):
    context.world.advance(1.5)
    hows = {
        incarnation: [run.how for run in box.history]
        for incarnation, box in context.world.boxes.items()
    }
    assert hows.pop(context.left) == ["stopped"], hows
    assert [len(runs) for runs in hows.values()] == [1], hows


def lose_box(context, task):
    world = context.world
    world.cut_until[task.box] = world.now + 1000.0
    context.silent_box, context.since = task.box, world.now
    world.advance(0.5)
    del world.entries[task.box]


@when(
    "a long-running task runs, a successor takes over, and the box is cut off for good"
)
def box_lost_after_take_over(context):
    task = lasting_task(context)
    context.world.take_over()
    context.world.advance(0.2)
    lose_box(context, task)


@then("it runs on another box within {seconds:g} seconds, as without a take-over")
def runs_elsewhere(context, seconds):
    world = context.world
    others = [world.boxes[incarnation] for incarnation in world.entries]
    while not any(box.running for box in others) and world.now - context.since < 10.0:
        world.advance(0.05)
    took = world.now - context.since
    assert took <= seconds, took
