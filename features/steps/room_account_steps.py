"""Steps for the account of processor time."""

import contextlib
import io
import json
import random

from behave import given
from behave import then
from behave import when
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st
from msgspec import structs

from granitetrestle.cli import run
from granitetrestle.interfaces import BoxEntry
from granitetrestle.interfaces import CommandAccepted
from granitetrestle.interfaces import PollResult
from granitetrestle.interfaces import RunningTask
from granitetrestle.jobcalls import CancelJob
from granitetrestle.jobcalls import SubmitJob
from granitetrestle.mechanisms import Mechanism
from granitetrestle.roomaccount import RoomAccount
from granitetrestle.roomaccount import RoomUse
from granitetrestle.scheduler import Scheduler
from granitetrestle.startlimits import StartLimits
from granitetrestle.workflows import Step
from granitetrestle.workflows import Submission
from session_world import CONFIG
from session_world import PARAMETERS

FILL = Step(
    count=1, cpu=1800, memory_mb=100, estimate_ms=9000, best_effort=True, image="f"
)
SHORT = Step(count=1, cpu=4000, memory_mb=100, estimate_ms=9000)
SERVING = Step(
    count=1, cpu=8000, memory_mb=100, long_running=True, target_ms=50, image="s"
)


def box_entry(name, cpu=16_000, memory_mb=8000, draining=False):
    return BoxEntry(
        name,
        "10.0.0.1:1",
        "pool",
        "h",
        "",
        frozenset(),
        cpu,
        memory_mb,
        0,
        draining,
        4.0 if draining else None,
    )


class Room:
    """A scheduler whose starts are all accepted, and an account of its boxes."""

    def __init__(self, entries, off=frozenset()):
        self.now = 10.0
        self.jobs = 0
        self.scheduler = Scheduler(PARAMETERS._replace(off=off), self.now)
        self.scheduler.apply_config(CONFIG)
        self.entries = {entry.incarnation: entry for entry in entries}
        self.update_entries()
        for name in self.entries:
            self.poll(name)
        self.account = RoomAccount(self.scheduler.state, self.now - 100.0)

    @property
    def state(self):
        return self.scheduler.state

    def update_entries(self):
        self.scheduler.fleet.update_boxes(self.entries, self.now)

    def poll(self, name, **measured):
        box = self.state.boxes[name]
        rows = tuple(
            RunningTask(task.name, task.run, "", 0, measured.get(task.spec.image, 0.0))
            for task in box.tasks.values()
        )
        poll = PollResult(int(self.now * 1000), rows, ())
        self.scheduler.fleet.handle_poll_outcome(name, self.now, self.now, poll)

    def submit(self, step):
        self.jobs += 1
        job = f"{self.jobs:016x}"
        call = SubmitJob(Submission(job, "q", "pool", "s", (step,)))
        self.scheduler.handle_call(job, call, self.now)
        return job

    def place(self):
        self.now += 0.1
        self.scheduler.evacuation.record_read(self.now)
        for decision in self.scheduler.decide(self.now, int(self.now * 1000)):
            if hasattr(decision, "spec"):
                self.scheduler.handle_start_outcome(
                    decision.incarnation,
                    decision.task,
                    decision.run,
                    CommandAccepted(1),
                    self.now,
                )

    def split(self, limits=None):
        self.account._updated_at = self.now - 100.0
        self.account.update(limits or StartLimits(), self.now)
        return self.account.cores


@given("a box of 16 cores with 4 cores of short work, and a waiting best-effort task")
def box_with_short(context):
    context.room = Room([box_entry("b")])
    context.room.submit(SHORT)
    context.room.place()
    context.room.poll("b", **{"": 4000.0})
    context.limits = None
    context.job = context.room.submit(FILL)


@when("nothing prevents a start")
def nothing(context):
    pass


@when("the task is gone")
def task_gone(context):
    context.room.scheduler.handle_call("c", CancelJob(context.job), context.room.now)


@when("the box has too little memory for it")
def little_memory(context):
    context.room.entries["b"] = box_entry("b", memory_mb=150)
    context.room.update_entries()


@when("it needs a label that the box lacks")
def needs_label(context):
    task_gone(context)
    context.room.submit(structs.replace(FILL, required_labels=("x",)))


@when("the box drains")
def box_drains(context):
    context.room.entries["b"] = box_entry("b", draining=True)
    context.room.update_entries()


@when("no start can be sent to its hall")
def no_start(context):
    context.limits = StartLimits(5, {"p": 0}, lambda hall: "p")


@when("it needs more than is unused")
def needs_more(context):
    task_gone(context)
    context.room.submit(structs.replace(FILL, cpu=14_000))


@then("{short:g} cores count as short and {cores:g} as {use}, of 16")
def counted(context, short, cores, use):
    split = context.room.split(context.limits)
    assert split["room_short"] == short, split
    assert split[f"room_{use}"] == cores, split
    assert abs(sum(split.values()) - 16.0) < 0.2, split


@given("a box of 16 cores whose serving task tolerates no more, and waiting work")
def serving_box(context):
    room = context.room = Room([box_entry("b")], frozenset({Mechanism.HEADROOM}))
    room.submit(SERVING)
    room.place()
    for _ in range(12):
        room.now += 0.5
        room.poll("b", s=48.0)
    box = room.state.boxes["b"]
    box.overloaded_since.clear()
    room.submit(FILL)


@when("their interference was never observed")
def never_observed(context):
    assert not context.room.state.interference.is_observed("s", "f")


@when("their interference was observed")
def was_observed(context):
    interference = context.room.state.interference
    for _ in range(8):
        interference.observe("s", 0.9, 0.5, 0.001, {"f": 0.2})
    context.room.state.boxes["b"].version += 1


@when("the serving task exceeds its target")
def exceeds(context):
    box = context.room.state.boxes["b"]
    (name,) = box.serving
    box.overloaded_since[name] = context.room.now


@then("1.8 cores count as {use}, and the parts add up to 16")
def kept_for_serving(context, use):
    split = context.room.split()
    assert split[f"room_{use}"] == 1.8, split
    assert abs(sum(split.values()) - 16.0) < 0.2, split


@given("a box of 16 cores with a best-effort task of 1.8 cores at 50 percent")
def slowed_task(context):
    room = context.room = Room([box_entry("b")])
    room.submit(FILL)
    room.place()
    (task,) = room.state.boxes["b"].best_effort_tasks.values()
    task.set_pace(50, room.now)
    room.poll("b", f=900.0)


@then("0.9 cores count as best_effort and 0.9 as slowed, of 16")
def slowed_counted(context):
    split = context.room.split()
    assert split["room_best_effort"] == split["room_slowed"] == 0.9, split
    assert abs(sum(split.values()) - 16.0) < 0.2, split


@when("boxes, tasks, paces and measurements are drawn {times:d} times")
def drawn_rooms(context, times):
    context.checked = 0

    @settings(max_examples=times, derandomize=True, database=None, deadline=None)
    @drawn(st.integers(0, 2**32), st.integers(1, 8))
    def adds_up(seed, boxes):
        draw = random.Random(seed)
        entries = [box_entry(f"b{n}", draw.randint(1, 64_000)) for n in range(boxes)]
        room = Room(entries, frozenset({Mechanism.HEADROOM}))
        for _ in range(draw.randint(0, 6)):
            room.submit(draw.choice((FILL, SHORT, SERVING)))
        room.place()
        for box in room.state.boxes.values():
            for task in box.best_effort_tasks.values():
                task.set_pace(draw.randrange(-1, 101), room.now)
            room.now += 0.4
            figures = {"s": draw.uniform(1, 90), "f": draw.uniform(0, 9e4), "": 9e3}
            room.poll(box.incarnation, **figures)
        for _ in range(draw.randint(0, 4)):
            room.submit(FILL)
        whole = sum(box.entry.cpu for box in room.state.boxes.values()) / 1000.0
        room.split()
        parts = sum(sum(split.values()) for split in room.account._now.values())
        assert abs(parts - whole) < 1e-6 * whole, (parts, whole)
        assert all(
            v >= 0 for split in room.account._now.values() for v in split.values()
        )
        context.checked += 1

    adds_up()


@then("each time the account adds up to the cores of all boxes")
def all_added_up(context):
    assert context.checked >= 100, context.checked


@given("700 boxes of 16 cores, every second one with 4 cores of short work")
def many_boxes(context):
    room = context.room = Room([box_entry(f"b{n}") for n in range(700)])
    for number, box in enumerate(room.state.boxes.values()):
        if number % 2:
            job = room.submit(SHORT)
            (task,) = room.state.workflows[job].tasks.values()
            task.run = 1
            box.place(task)
            task.box = box.incarnation
            room.poll(box.incarnation, **{"": 4000.0})


@then("each of 5 updates attributes 11200 cores, 1400 of them to short work")
def sampled(context):
    context.sizes = []
    next_boxes = context.room.account._next_boxes

    def counted():
        boxes = next_boxes()
        context.sizes.append(len(boxes))
        return boxes

    context.room.account._next_boxes = counted
    for _ in range(5):
        split = context.room.split()
        assert abs(sum(split.values()) - 11_200) < 1, split
        assert split["room_short"] == 1400, split


@then("no update examines more than 300 boxes")
def examined_at_most(context):
    assert context.sizes == [300] * 5, context.sizes


@given("log lines of two leaders with 100 and 50 core-seconds of startable room")
def room_lines(context):
    context.logs = context.folder / "leaders.log"
    lines = []
    for node, startable, serving in (("n1", 100.0, 20.0), ("n2", 50.0, 30.0)):
        uses = {str(use): 0.0 for use in RoomUse}
        uses |= {"startable": startable, "serving": serving}
        line = {"event": "room", "subject": "pool", "node": node, **uses}
        lines.append(json.dumps({**line, "timestamp": "2026-01-01T00:00:00Z"}))
    context.logs.write_text("\n".join(lines) + '\n{"event":"room","node":"n"}\n')


@when("an operator calls explain room")
def explain_room(context):
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        status = run(["explain", "room", f"--logs={context.logs}"])
    assert status == 0, status
    context.output = output.getvalue()


@then("it shows 150 core-seconds of unused startable room, 75 percent of all")
def shows_room(context):
    rows = [line.split() for line in context.output.splitlines()]
    assert ["pool", "unused", "startable", "150", "75"] in rows, context.output


@given("a box whose entry names no processor time, beside one with 16 cores")
def box_without_cpu(context):
    entries = [box_entry("b0", cpu=0), box_entry("b1")]
    context.room = Room(entries, frozenset({Mechanism.HEADROOM}))


@when("a best-effort job and a serving one name no processor time")
def jobs_without_cpu(context):
    room = context.room
    context.jobs = [
        room.submit(structs.replace(SERVING, cpu=0, count=2, per_box=1)),
        room.submit(structs.replace(FILL, cpu=0, count=2, per_box=1)),
    ]
    for _ in range(8):
        room.place()
        for name in room.entries:
            room.poll(name, s=30.0, f=900.0)
    room.submit(structs.replace(FILL, cpu=0, count=8, memory_mb=7900))


@then("both start, and the processor time of both boxes is accounted for")
def both_start(context):
    for job in context.jobs:
        tasks = context.room.state.workflows[job].tasks.values()
        assert any(task.placed for task in tasks), job
    assert abs(sum(context.room.split().values()) - 16.0) < 0.2


@given("the mechanism room_account is switched off")
def account_off(context):
    context.room = Room([box_entry("b")], frozenset({Mechanism.ROOM_ACCOUNT}))


@then("10 seconds of decisions log no room")
def nothing_logged(context):
    assert count_room_lines(context.room) == 0
    assert count_room_lines(Room([box_entry("b")])) >= 1


def count_room_lines(room):
    events = []
    for _ in range(100):
        room.now += 0.1
        events += [getattr(d, "event", "") for d in room.scheduler.decide(room.now, 0)]
    return events.count("room")
