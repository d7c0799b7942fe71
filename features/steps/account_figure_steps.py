"""Steps for jobs with figures that few client accounts send."""

import random

import anyio
import msgspec
from behave import given
from behave import then
from behave import when
from long_record_steps import Leader

from granitetrestle.calls import Reply
from granitetrestle.decisions import PaceTask
from granitetrestle.decisions import StartTask
from granitetrestle.errors import GranitetrestleError
from granitetrestle.errors import InvalidInput
from granitetrestle.errors import MalformedDirective
from granitetrestle.errors import MalformedEntry
from granitetrestle.interfaces import BoxNoAnswer
from granitetrestle.interfaces import PollResult
from granitetrestle.interfaces import Record
from granitetrestle.interfaces import RunningTask
from granitetrestle.interfaces import StoreUnavailable
from granitetrestle.jobcalls import SubmitJob
from granitetrestle.platform import front
from granitetrestle.platform.boxes import PlatformBoxes
from granitetrestle.platform.boxes import decode_entry
from granitetrestle.platform.front import MAX_NUMBER
from granitetrestle.platform.store import PlatformStore
from granitetrestle.scheduler import Scheduler
from granitetrestle.workflows import Step
from granitetrestle.workflows import Submission
from granitetrestle_standins.shardworld import CONFIG

SERVING = Step(
    count=1,
    cpu=2000,
    memory_mb=10,
    long_running=True,
    image="serves",
    target_ms=100.0,
    per_box=1,
)
TICK_S = 0.4


class MeasuringLeader(Leader):
    """A leader whose boxes tell tails, and the processor time in use."""

    def __init__(self, boxes):
        super().__init__(boxes)
        for incarnation, entry in self.world.entries.items():
            self.world.entries[incarnation] = entry._replace(cpu=8000)
        self.list_boxes(self.world.entries)
        self.paces = {}
        self.tail_ms = 20.0
        self.accepted = 0

    def submit(self, *steps):
        """Submit a job."""
        self.accepted += 1
        submission = Submission(f"{self.accepted:016x}", "q", "pool", "", steps)
        self.scheduler.handle_call("r", SubmitJob(submission), self.now)

    def _rows(self, incarnation):
        for name, run in self.runs[incarnation].items():
            task = self.scheduler.state.find_task(name)
            if task is None or not task.placed or task.box != incarnation:
                continue
            step = task.spec
            used = self.tail_ms if step.target_ms else min(step.cpu, 4000.0)
            yield RunningTask(name, run, "", 10, used)

    def advance(self, ticks):
        """Decide and poll."""
        for _ in range(ticks):
            self.now += TICK_S
            self.scheduler.evacuation.record_read(self.now)
            decisions = self.scheduler.decide(self.now, int(self.now * 1000))
            for incarnation in self.world.entries:
                poll = PollResult(
                    int(self.now * 1000), tuple(self._rows(incarnation)), ()
                )
                decisions += self.scheduler.fleet.handle_poll_outcome(
                    incarnation, self.now, self.now + 0.01, poll
                )
            for decision in decisions:
                if isinstance(decision, StartTask):
                    self.runs[decision.incarnation][decision.task] = decision.run
                elif isinstance(decision, PaceTask):
                    self.paces[decision.task] = decision.percent
            self.topic.write(self.scheduler.take_writes())


def filling(cpu, image):
    return Step(count=1, cpu=cpu, memory_mb=1, image=image, best_effort=True)


@given("a box with a serving task, and a filling task without cpu")
def serving_and_filling(context):
    leader = context.leader = MeasuringLeader(1)
    leader.submit(SERVING)
    leader.advance(5)
    leader.submit(filling(0, "without"))
    leader.advance(3)
    assert sum(map(len, leader.runs.values())) == 2, leader.runs


@when(
    "a filling task that uses half of the box joins them, and the serving task slows down"
)
def presses(context):
    leader = context.leader
    leader.submit(filling(4000, "presses"))
    leader.advance(2)
    assert sum(map(len, leader.runs.values())) == 3, leader.runs
    # Up to nearly as long as it may be: the load then leaves no room for any slowdown.
    for leader.tail_ms in (30.0, 40.0, 50.0, 60.0, 70.0, 80.0, 90.0, 94.0, 94.0):
        leader.advance(2)
    leader.submit(filling(0, "without"))
    leader.advance(2)


@then(
    "the filling task that uses the box is slowed down, and those without cpu are not"
)
def one_slowed(context):
    paces = context.leader.paces
    assert paces.get(f"{3:016x}.0.0.0", 100) < 100, paces
    for job in (2, 4):
        assert paces.get(f"{job:016x}.0.0.0", 100) == 100, paces
        assert any(f"{job:016x}.0.0.0" in runs for runs in context.leader.runs.values())


@given("{boxes:d} boxes, and a serving task on all but one")
def serving_boxes(context, boxes):
    leader = context.leader = MeasuringLeader(boxes)
    leader.submit(msgspec.structs.replace(SERVING, count=boxes - 1))
    leader.advance(5)
    assert sum(map(len, leader.runs.values())) == boxes - 1, leader.runs


def drawn_step(draw, figures, number):
    figure = draw.choice(figures)
    return Step(
        count=draw.choice((1, 3)),
        cpu=draw.choice(figures),
        memory_mb=draw.choice((0, 1)) if figure < 1e6 else draw.choice(figures),
        gpu=draw.choice((0, 0, 1)),
        estimate_ms=draw.choice(figures),
        checkpointing=draw.random() < 0.5,
        gang=draw.random() < 0.2,
        rack_local=draw.random() < 0.2,
        per_box=draw.choice((0, 1, figure)),
        speculative=draw.random() < 0.2,
        long_running=draw.random() < 0.3,
        image=f"image-{number % 7}",
        target_ms=draw.choice((0.0, 5e-324, 1e-3, float(figure))),
        best_effort=draw.random() < 0.6,
        max_unavailable=draw.choice((0, figure)),
    )


FIGURES = {
    "no cpu at all": (0,),
    "the smallest figures": (0, 1),
    "the largest figures": (MAX_NUMBER,),
    "figures drawn at random": (0, 1, 10, 500, 4000, 10**6, MAX_NUMBER),
}


@when("40 jobs of {figures} come one after the other, and tails rise and fall")
def drawn_jobs(context, figures):
    leader = context.leader
    draw = random.Random(7)
    for number in range(40):
        leader.submit(drawn_step(draw, FIGURES[figures], number))
        for _ in range(3):
            leader.tail_ms = min(94.0, leader.tail_ms * draw.choice((0.7, 1.2, 1.4)))
            leader.advance(1)
        if draw.random() < 0.1:
            leader.tail_ms = draw.choice((0.0, 130.0, 1e9))
            leader.advance(4)
            leader.tail_ms = 20.0


@then("each was accepted, and a successor restores all of them")
def all_restored(context):
    leader = context.leader
    scheduler = Scheduler(leader.world.parameters, 0.0)
    assert not scheduler.restore(leader.topic.records(), 0.0)
    assert len(scheduler.state.workflows) == leader.accepted


NESTED = b'{"unknown":' + b"[" * 20_000 + b"]" * 20_000 + b"}"


class NestedAnswers:
    """Answers each call with nested data."""

    async def call(self, *args, **kwargs):
        """See :meth:`.Caller.call`."""
        return Reply(200, (), NESTED)

    async def call_party(self, *args, **kwargs):
        """See :meth:`.Caller.call_party`."""
        return Reply(200, (), NESTED)


def send_job():
    index = front.QueueIndex(CONFIG)
    queue = CONFIG.queues[0]
    path = f"{queue.prefix}{'a' * 16}"
    return front.decode_call(index, "POST", queue.host, path, NESTED)


DECODERS = {
    "a client's job": send_job,
    "the operator's configuration": lambda: front.decode_directive(
        Record("config", NESTED)
    ),
    "the operator's directive": lambda: front.decode_directive(
        Record("evacuate/hall", NESTED)
    ),
    "a box's entry": lambda: decode_entry(Record("id", NESTED)),
    "a box's answer to a poll": lambda: anyio.run(
        PlatformBoxes(NestedAnswers()).poll, "id", "127.0.0.1:1", 1, 0, None, 0
    ),
    "the store's answer to an append": lambda: anyio.run(
        PlatformStore("127.0.0.1:1", NestedAnswers()).append, "t", [], None, 1.0
    ),
    "the store's page": lambda: anyio.run(
        PlatformStore("127.0.0.1:1", NestedAnswers()).newest_page, "t", None, 1.0
    ),
}


@when("{what} has an unknown field that is nested 20000 deep")
def nested(context, what):
    try:
        context.verdict = DECODERS[what]()
    except GranitetrestleError as error:
        context.verdict = error


@then("it is refused as malformed")
def refused_as_malformed(context):
    refusals = (
        InvalidInput,
        MalformedDirective,
        MalformedEntry,
        BoxNoAnswer,
        StoreUnavailable,
    )
    assert isinstance(context.verdict, refusals), context.verdict
