"""Steps for data halls that operators evacuate and restore."""

from behave import given
from behave import then
from behave import when
from msgspec.structs import replace

from granitetrestle.decisions import AskAdvice
from granitetrestle.decisions import LogEvent
from granitetrestle.decisions import StopTask
from granitetrestle.errors import MalformedDirective
from granitetrestle.interfaces import Advice
from granitetrestle.interfaces import BoxEntry
from granitetrestle.interfaces import BoxNoAnswer
from granitetrestle.interfaces import CommandAccepted
from granitetrestle.interfaces import Config
from granitetrestle.interfaces import HallDirective
from granitetrestle.interfaces import PollResult
from granitetrestle.interfaces import Queue
from granitetrestle.interfaces import Record
from granitetrestle.jobcalls import SubmitJob
from granitetrestle.platform.front import decode_directive
from granitetrestle.scheduler import Scheduler
from granitetrestle.shardstate import SchedulerParameters
from granitetrestle.workflows import Step
from granitetrestle.workflows import Submission
from granitetrestle_standins.shardworld import ShardWorld

SMALL = Step(count=6, cpu=500, memory_mb=10)
QUEUE = Queue("q", "host", "/q/", "pool", 0, 3, 1.5, 1000.0)
CONFIG = Config(1, (QUEUE,), {"pool": True}, 262144)


def hall_of_runs(context, job):
    """Return the halls where tasks of a job started, by the history of the boxes."""
    world = context.world
    return {
        context.hall_of[box.incarnation]
        for box in world.boxes.values()
        for run in box.history
        if run.task.startswith(job)
    }


def record_halls(context):
    halls = {
        incarnation: entry.hall for incarnation, entry in context.world.entries.items()
    }
    context.hall_of = {**getattr(context, "hall_of", {}), **halls}


def run_new_job(context):
    record_halls(context)
    job = context.world.submit((SMALL,))
    context.world.advance(0.3)
    return hall_of_runs(context, job)


@given("a shard of {halls:d} halls with {boxes:d} boxes each")
def shard_of_halls(context, halls, boxes):
    names = [f"h{number}" for number in range(1, halls + 1)]
    context.world = ShardWorld(7, halls * boxes, names)
    context.world.advance(0.5)
    record_halls(context)


@given("long tasks run in both halls")
def long_tasks(context):
    context.long = context.world.submit(
        (Step(count=4, cpu=1500, memory_mb=10, long_running=True),)
    )
    context.world.advance(0.3)
    assert hall_of_runs(context, context.long) == {"h1", "h2"}


@when("hall {hall} is evacuated")
def evacuate(context, hall):
    context.world.evacuate(hall)
    context.world.advance(0.05)


@when("hall {hall} is restored")
def restore_hall(context, hall):
    context.world.restore(hall)
    context.world.advance(0.05)


@then("tasks of new jobs start in {hall} alone")
def start_alone(context, hall):
    assert run_new_job(context) == {hall}


@then("tasks of new jobs start in both halls")
def start_both(context):
    halls = set()
    for _ in range(4):
        halls |= run_new_job(context)
    assert halls == {"h1", "h2"}, halls


@then("the long tasks in h1 still run")
def still_run(context):
    world = context.world
    running = [
        run.task
        for box in world.boxes.values()
        if context.hall_of[box.incarnation] == "h1"
        for run in box.running.values()
        if run.task.startswith(context.long)
    ]
    assert running
    context.failing = running[0]


@when("a task in h1 fails and must run again")
def fail_one(context):
    world = context.world
    box = next(b for b in world.boxes.values() if context.failing in b.running)
    box.end(context.failing, "failed", world.now)
    # At first the only free room is reserved for short tasks.
    world.advance(3.0)


@then("it runs again in h2")
def runs_elsewhere(context):
    world = context.world
    where = {
        context.hall_of[box.incarnation]
        for box in world.boxes.values()
        if context.failing in box.running
    }
    assert where == {"h2"}, where


@when("jobs wait while the leader is killed and replaced")
def leader_replaced(context):
    world = context.world
    world.kill()
    world.take_over()


@when("it is restored while the leader reads nothing and the history is dropped")
def history_dropped(context):
    world = context.world
    world.leader.without_directives = True
    world.restore("h1")
    world.store.drop_history("keyed.halls")
    world.advance(0.2)
    world.leader.without_directives = False
    world.advance(0.1)


@when("a box appears in h1")
def box_appears(context):
    context.world.add_box("h1")
    context.world.advance(0.3)
    record_halls(context)


@when("the leader reads no directives for {seconds:f} seconds")
@when("the leader reads no directives for {seconds:f} seconds more")
def read_no_directives(context, seconds):
    world = context.world
    world.leader.without_directives = True
    # The step that follows takes a part of the time.
    world.advance(max(0.05, seconds - 1.3))


@then("tasks of new jobs start nowhere, and the log says why")
def start_nowhere(context):
    world = context.world
    world.advance(1.3)
    scheduler = world.leader.scheduler
    held = scheduler.evacuation.report_held_starts
    assert not scheduler.evacuation.up_to_date(world.now)
    context.waiting = world.submit((SMALL,))
    world.advance(0.3)
    record_halls(context)
    assert hall_of_runs(context, context.waiting) == set()
    # It was reported once, when it began.
    assert held(world.now) == []
    assert "starts_held" in {log_event.event for log_event in world.leader.log_events}


@when("the leader reads directives again")
def read_directives_again(context):
    context.world.leader.without_directives = False
    context.world.advance(0.3)


@then("the waiting tasks start")
def waiting_tasks_start(context):
    assert hall_of_runs(context, context.waiting)
    assert "starts_go_on" in {
        log_event.event for log_event in context.world.leader.log_events
    }


@when("a gang is placed in both halls and h1 is evacuated before its starts are sent")
def gang_withdrawn(context):
    world = context.world
    world.store_down = True
    gang = Step(count=6, cpu=1300, memory_mb=10, gang=True)
    context.gang = world.submit((gang,))
    world.advance(0.1)
    tasks = world.leader.scheduler.state.workflows[context.gang].tasks.values()
    halls = {context.hall_of[task.box] for task in tasks}
    assert halls == {"h1", "h2"}, halls
    world.store_down = False
    world.evacuate("h1")
    world.advance(4.0)


@then("all its members run in h2, under one run number")
def gang_elsewhere(context):
    world = context.world
    assert hall_of_runs(context, context.gang) <= {"h2"}
    last = {
        run.run
        for box in world.boxes.values()
        for run in box.history
        if run.task.startswith(context.gang) and run.how in ("", "done", None)
    }
    assert len(last) == 1, last
    ran = [
        run.task
        for box in world.boxes.values()
        for run in box.history
        if run.task.startswith(context.gang) and run.run in last
    ]
    assert len(ran) == 6, ran


@when("advice names only a box of h1, and h1 is evacuated")
def advice_named(context):
    world = context.world
    scheduler = world.leader.scheduler
    advised = QUEUE._replace(advised=True, advice_valid_ms=60_000.0)
    scheduler.apply_config(Config(2, (advised,), {"pool": True}, 262144))
    incarnation = next(
        incarnation for incarnation, hall in context.hall_of.items() if hall == "h1"
    )
    submission = Submission("00ad", "q", "pool", "spec", (SMALL,))
    scheduler.handle_call("r", SubmitJob(submission), world.now)
    asked = scheduler.decide(world.now, 0)
    assert [d for d in asked if isinstance(d, AskAdvice)], asked
    advice = Advice({incarnation: "ticket"}, 60.0)
    question = next(d for d in asked if isinstance(d, AskAdvice))
    scheduler.apply_advice(question, advice, world.now)
    scheduler.evacuation.apply_directives([HallDirective("h1", True)], world.now)
    context.asked = scheduler.decide(world.now + 2.0, 0)


@then("advice is asked for the boxes of h2")
def asked_again(context):
    questions = [d for d in context.asked if isinstance(d, AskAdvice)]
    halls = {
        context.hall_of[incarnation]
        for q in questions
        for incarnation in q.incarnations
    }
    assert halls == {"h2"}, context.asked


class TwoHalls:
    """A scheduler with idle boxes in two halls."""

    def __init__(self):
        self.now = 10.0
        self.scheduler = Scheduler(SchedulerParameters(), self.now)
        self.scheduler.apply_config(CONFIG)
        self.entries = {
            incarnation: BoxEntry(
                incarnation,
                incarnation,
                "pool",
                hall,
                "r",
                frozenset(),
                8000,
                8000,
                0,
                False,
                None,
            )
            for incarnation, hall in (("b0", "h2"), ("b1", "h1"), ("b2", "h2"))
        }
        self.listed()

    def listed(self):
        self.scheduler.fleet.update_boxes(self.entries, self.now)
        for incarnation in self.entries:
            self.scheduler.fleet.handle_poll_outcome(
                incarnation, self.now, self.now, PollResult(1, (), ())
            )

    def submit(self, job, step):
        call = SubmitJob(Submission(job, "q", "pool", "", (step,)))
        self.scheduler.handle_call("r", call, self.now)
        self.now += 0.1
        self.scheduler.decide(self.now, 0)
        tasks = self.scheduler.state.workflows[job].tasks.values()
        return [task.box for task in tasks]


@given("a slowed task in h2 and idle boxes in h1 and h2")
def slowed(context):
    context.halls = TwoHalls()
    state = context.halls.scheduler.state
    step = Step(count=1, cpu=1000, memory_mb=10, best_effort=True, image="f")
    box = context.halls.submit("00aa", step)[0]
    context.task = next(iter(state.workflows["00aa"].tasks.values()))
    state.boxes[box].evacuated = False
    context.at = box


def move_target(context):
    halls = context.halls
    halls.scheduler.state.index.refresh(halls.now)
    return halls.scheduler._slow_moves._better_box(context.task, halls.now)


@then("it would move to a box")
def would_move(context):
    assert move_target(context) is not None


@when("h1 is evacuated there")
def evacuated_there(context):
    directives = [HallDirective("h1", True)]
    context.halls.scheduler.evacuation.apply_directives(directives, context.halls.now)


@then("it would move to the box in h2")
def would_move_in_hall(context):
    box = move_target(context)
    # Without the evacuation the idle box of h1 ranks as well as that of h2.
    assert box is not None and box.entry.hall == "h2" and box.incarnation != context.at


@when("the box in h1 reports that it is cold")
def cold(context):
    world = context.world
    incarnation = next(
        incarnation for incarnation, hall in context.hall_of.items() if hall == "h1"
    )
    world.entries[incarnation] = world.entries[incarnation]._replace(cold=True)
    world.advance(0.1)


@then("a small task starts in h2, and one that has no room there in h1")
def warm_first(context):
    world = context.world
    one = replace(SMALL, count=1, cpu=3000)
    first, second = world.submit((one,)), None
    world.advance(0.2)
    second = world.submit((one,))
    world.advance(0.2)
    assert hall_of_runs(context, first) == {"h2"}
    assert hall_of_runs(context, second) == {"h1"}


@then("the operator's record {key} with {value} is refused, naming its key")
def refused(context, key, value):
    try:
        decode_directive(Record(key, value.encode()))
    except MalformedDirective as error:
        assert error.key == key
        return
    raise AssertionError("was accepted")


JOBS = iter(f"{number:016x}" for number in range(1, 1000))


def halls_of_new_job(context, seconds):
    """Submit a job, and return the halls where its tasks started."""
    cluster = context.cluster
    job = next(JOBS)
    steps = [{"count": 12, "cpu": 1000, "mem_mb": 100}]
    cluster.submit(job, steps, cluster.leader(), spec="300")

    def started():
        rows = cluster.started()
        tasks = {task for _, task in rows if task.startswith(job)}
        return len(tasks) == 12 and rows

    rows = cluster.wait(started, "all tasks started", seconds)
    return {hall for hall, task in rows if task.startswith(job)}


@when("the operator evacuates hall-1")
def operator_evacuates(context):
    context.cluster.store("/test/order?key=evacuate/hall-1&value=%7B%7D")


@when("the operator restores hall-1")
def operator_restores(context):
    context.cluster.store("/test/order?key=evacuate/hall-1")


@when("the operator writes a malformed directive")
def operator_writes_malformed(context):
    context.cluster.store("/test/order?key=evacuate/hall-2&value=%5B1")


@then("a job's tasks start in hall-2 alone within a second")
def native_alone(context):
    cluster = context.cluster
    # It must apply within a second, whichever node gets the directive or the job.
    context.cluster.wait(lambda: cluster.figure("halls_evacuated") == 1.0, "in force")
    assert halls_of_new_job(context, 10.0) == {"hall-2"}


@then("every log line of the evacuation names the hall and its number of boxes")
def native_logged(context):
    cluster = context.cluster
    lines = [
        line
        for name in cluster.nodes()
        for line in cluster.log(name)
        if line["event"] == "hall_evacuated"
    ]
    assert lines
    assert all(line["subject"] == "hall-1" and line["boxes"] == 2 for line in lines)


@when("the leading process is killed")
def native_killed(context):
    cluster = context.cluster
    before = cluster.leader()
    cluster.kill(before)
    cluster.wait(lambda: cluster.leader() != before, "a successor")
    cluster.wait(lambda: cluster.state("0" * 16) == "gone", "it serves")


@then("the leader's log names its key, its metrics count one hall and one directive")
def native_named(context):
    cluster = context.cluster

    def named():
        lines = cluster.log(cluster.leader())
        return [line for line in lines if line["event"] == "order_malformed"]

    lines = cluster.wait(named, "a line")
    assert lines[0]["key"] == "evacuate/hall-2", lines
    assert cluster.figure("halls_evacuated") == 1.0
    assert cluster.figure("orders_unreadable") == 1.0


@then("a job's tasks start in both halls")
def native_both(context):
    cluster = context.cluster
    cluster.wait(lambda: cluster.figure("halls_evacuated") == 0.0, "in force")
    assert halls_of_new_job(context, 10.0) == {"hall-1", "hall-2"}


@given("a task whose start got no answer, alone on its box")
def start_unanswered(context):
    context.halls = TwoHalls()
    step = Step(count=1, cpu=1000, memory_mb=10)
    context.at = context.halls.submit("00bb", step)[0]
    scheduler, now = context.halls.scheduler, context.halls.now
    outcome = BoxNoAnswer("no answer in time")
    context.given = scheduler.handle_start_outcome(
        context.at, "00bb.0.0.0", 1, outcome, now
    )
    assert [type(decision) for decision in context.given] == [LogEvent, StopTask]


@when("each poll waits {wait:g} seconds for an end, and each stop is answered at once")
def polls_wait(context, wait):
    halls, scheduler = context.halls, context.halls.scheduler
    task = scheduler.state.workflows["00bb"].tasks[(0, 0, 0)]
    context.started_at, context.restarted_at = halls.now, None
    for _ in range(10):
        sent = halls.now
        for decision in context.given:
            if isinstance(decision, StopTask):
                answered = CommandAccepted(1)
                scheduler.handle_stop_outcome(
                    context.at, task.name, decision.run, answered, sent + 0.02
                )
        halls.now = sent + wait
        poll = PollResult(1, (), ())
        context.given = scheduler.fleet.handle_poll_outcome(
            context.at, sent, halls.now, poll
        )
        scheduler.decide(halls.now, 0)
        if task.run > 1 and context.restarted_at is None:
            context.restarted_at = halls.now


@then("the task starts again within {seconds:g} seconds")
def starts_again(context, seconds):
    assert context.restarted_at is not None
    assert context.restarted_at - context.started_at <= seconds, context.restarted_at
