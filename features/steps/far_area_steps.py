"""Steps for commands to boxes of several areas."""

import anyio
from behave import given
from behave import then
from behave import when

from granitetrestle.commandpaths import CommandPaths
from granitetrestle.commandwindow import SHORT
from granitetrestle.commandwindow import URGENT
from granitetrestle.commandwindow import CommandSlots
from granitetrestle.commandwindow import CommandWindow
from granitetrestle.decisions import StartTask
from granitetrestle.interfaces import BoxEntry
from granitetrestle.interfaces import PollResult
from granitetrestle.jobcalls import SubmitJob
from granitetrestle.looplag import LoopLag
from granitetrestle.mechanisms import Mechanism
from granitetrestle.scheduler import Scheduler
from granitetrestle.startlimits import StartLimits
from granitetrestle.workflows import Step
from granitetrestle.workflows import Submission
from session_world import CONFIG
from session_world import PARAMETERS
from virtual_time import run_in_virtual_time

AREAS = {"near": "east", "far": "west"}
ROUND_TRIP_S = {"near": 0.0003, "far": 0.04}
ROUND_TRIPS_TO_CONNECT = 2
PASS_S = 0.05
STOP_BYTES = 300


class SharedLink:
    """The link between two areas, which carries one command after the other."""

    def __init__(self, mbit_per_s):
        self.bytes_per_s = mbit_per_s * 125_000
        self.free_at = 0.0
        self.waits = []
        self.idle_connections = {}

    async def carry(self, hall, box, size):
        """Carry a command to a box and its answer back."""
        trips = 1
        if self.idle_connections.get(box, 0):
            self.idle_connections[box] -= 1
        else:
            trips += ROUND_TRIPS_TO_CONNECT
        wait = 0.0
        if hall == "far":
            now = anyio.current_time()
            self.waits.append(max(0.0, self.free_at - now))
            self.free_at = max(now, self.free_at) + size / self.bytes_per_s
            wait = self.free_at - now
        await anyio.sleep(wait + trips * ROUND_TRIP_S[hall])
        self.idle_connections[box] = self.idle_connections.get(box, 0) + 1


@given(
    "{near:d} boxes in the leader's area and {far:d} in another, "
    "with {mbit:d} Mbit/s between"
)
def two_areas(context, near, far, mbit):
    assert near == far
    context.boxes = []
    for number in range(near):
        context.boxes += [("far", f"f{number}"), ("near", f"n{number}")]
    context.link = SharedLink(mbit)
    context.stops, context.stop_after = 0, 0.0


@when("{count:d} starts of {size:d} bytes are placed as fast as they can be sent")
def place_burst(context, count, size):
    context.count, context.size = count, size
    context.play = lambda: run_in_virtual_time(lambda: play(context))
    context.play()


@when("{count:d} tasks are stopped far away {seconds:g} seconds later")
def stop_far_away(context, count, seconds):
    context.stops, context.stop_after = count, seconds
    context.link = SharedLink(context.link.bytes_per_s / 125_000)
    context.play()


async def play(context):
    """Place the starts in passes, on boxes in turn, within the limits of each pass."""
    lag = LoopLag(anyio.current_time)
    paths = CommandPaths("near", AREAS, lag, clock=anyio.current_time)
    context.answered = {"near": [], "far": []}
    context.stopped = []
    left = {"near": context.count // 2, "far": context.count - context.count // 2}

    async def send(hall, box, priority, size, answered):
        async with paths.window(hall).turn(priority, box, hall) as turn:
            await context.link.carry(hall, box, size)
            turn.finish(True, anyio.current_time())
            answered.append(anyio.current_time())

    async def stop():
        await anyio.sleep(context.stop_after)
        async with anyio.create_task_group() as stopping:
            for number in range(context.stops):
                stopping.start_soon(
                    send, "far", f"f{number}", URGENT, STOP_BYTES, context.stopped
                )

    for hall, box in context.boxes:
        paths.window(hall)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(stop)
        while any(left.values()):
            limits = paths.start_limits()
            for hall, box in context.boxes * 10:
                if left[hall] and limits.allows(hall):
                    left[hall] -= 1
                    limits.record_start(hall)
                    answered = context.answered[hall]
                    tasks.start_soon(send, hall, box, SHORT, context.size, answered)
            await anyio.sleep(PASS_S)


@then("all starts were answered within {seconds:g} seconds")
def all_answered(context, seconds):
    answered = [at for times in context.answered.values() for at in times]
    assert len(answered) == context.count
    assert max(answered) <= seconds, max(answered)


@then("all starts in the own area were answered within {seconds:g} second")
def own_area_answered(context, seconds):
    assert max(context.answered["near"]) <= seconds, max(context.answered["near"])


@then("no start waited over {seconds:g} seconds for the link")
def short_queue(context, seconds):
    assert max(context.link.waits) <= seconds, max(context.link.waits)


@then("the stops were answered within {seconds:g} seconds")
def stops_answered(context, seconds):
    assert len(context.stopped) == context.stops
    took = max(context.stopped) - context.stop_after
    assert took <= seconds, took


@when("{count:d} commands to another data hall are answered in {ms:g} ms each")
def answers_of_other_hall(context, count, ms):
    for _ in range(count):
        context.now += ms / 1000.0
        context.window.record_answer(ms / 1000.0, "other")


@given("paths to the data halls a1, a2 and a3 of one area")
def one_area(context):
    context.paths = CommandPaths("a1", dict.fromkeys(("a1", "a2"), "east"), LoopLag())


@then("they share a window, and the load of paths names none")
def shared_window(context):
    windows = {id(context.paths.window(hall)) for hall in ("a1", "a2", "a3")}
    assert len(windows) == 1
    assert context.paths.load() == {}


@given(
    "{queued:d} queued starts to each of two areas, with {most:d} commands in flight "
    "in all"
)
def two_queues(context, queued, most):
    async def script():
        slots = CommandSlots(most)
        windows = [CommandWindow(slots=slots) for _ in range(2)]
        for window in windows:
            window._size = 100.0
        ended, granted = anyio.Event(), []

        async def hold(window, priority, box):
            async with window.turn(priority, box):
                granted.append(priority)
                await ended.wait()

        async with anyio.create_task_group() as tasks:
            for number in range(queued):
                for window in windows:
                    tasks.start_soon(hold, window, SHORT, f"b{number}")
            await anyio.wait_all_tasks_blocked()
            context.in_flight = [window.in_flight for window in windows]
            tasks.start_soon(hold, windows[1], URGENT, "b0")
            await anyio.wait_all_tasks_blocked()
            before = len(granted)
            async with anyio.create_task_group() as one:
                # A command that ends on the first path frees a slot.
                windows[0]._in_flight -= 1
                slots.grant_turns()
                await anyio.wait_all_tasks_blocked()
                one.cancel_scope.cancel()
            context.next = granted[before:]
            windows[0]._in_flight += 1
            tasks.cancel_scope.cancel()

    anyio.run(script)


@then("{each:d} commands to each of them are in flight")
def equal_shares(context, each):
    assert context.in_flight == [each, each], context.in_flight


@then("a stop goes next, whichever path it is for")
def stop_next(context):
    assert context.next == [URGENT], context.next


@given(
    "a scheduler with {boxes:d} boxes in each of two areas, and {tasks:d} waiting tasks"
)
def boxes_in_two_areas(context, boxes, tasks):
    context.schedulers = []
    for off in (frozenset(), frozenset({Mechanism.INDEX})):
        scheduler = Scheduler(PARAMETERS._replace(off=off), 0.0)
        scheduler.apply_config(CONFIG)
        scheduler.evacuation.record_read(0.0)
        entries = {
            f"{hall}{number}": BoxEntry(
                f"{hall}{number}",
                "10.0.0.1:1",
                "pool",
                hall,
                "",
                frozenset(),
                4000,
                4000,
                0,
                False,
                None,
            )
            for hall in AREAS
            for number in range(boxes)
        }
        scheduler.fleet.update_boxes(entries, 0.0)
        for incarnation in entries:
            scheduler.fleet.handle_poll_outcome(
                incarnation, 0.0, 0.0, PollResult(100, (), ())
            )
        step = Step(count=tasks, cpu=1000, memory_mb=1, estimate_ms=1000)
        job = Submission("a" * 16, "q", "pool", "s", (step,))
        scheduler.handle_call("r", SubmitJob(job), 0.0)
        context.schedulers.append(scheduler)


@when("a pass may start {near:d} tasks in the own area and {far:d} in the other")
def limited_pass(context, near, far):
    context.starts = []
    for scheduler in context.schedulers:
        limits = StartLimits(near + far, {"east": near, "west": far}, AREAS.__getitem__)
        decisions = scheduler.decide(0.1, 100, limits)
        context.starts.append(
            [d.incarnation for d in decisions if isinstance(d, StartTask)]
        )


@then("it starts {near:d} tasks in the own area and {far:d} in the other")
def starts_by_area(context, near, far):
    halls = [incarnation.rstrip("0123456789") for incarnation in context.starts[0]]
    assert (halls.count("near"), halls.count("far")) == (near, far), halls


@then("the plain search makes the same starts")
def same_starts(context):
    assert context.starts[0] == context.starts[1]


@then("the next pass counts as cut short")
def cut_short(context):
    assert context.schedulers[0].dispatcher._cut_short
