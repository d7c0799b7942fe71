"""Steps of the scenarios over tasks that crash the boxes that start them."""

from behave import then
from behave import when

from granitetrestle.workflows import Step


def notes(context, event):
    return [
        note
        for process in context.world.processes
        for note in process.notes
        if note.event == event
    ]


@when(
    "a long job runs, a task that crashes its box starts beside it, and the crash is "
    "noticed"
)
def crash_beside_long_job(context):
    world = context.world
    lasting = Step(count=3, cpu=500, memory_mb=10, lasting=True, per_box=1)
    context.long = world.submit((lasting,))
    world.advance(6.0)
    context.bad = world.submit((Step(count=1, cpu=500, memory_mb=10),))
    world.crashing.add(f"{context.bad}.0.0.0")
    world.advance(1.5)


@then("a line for each run on that box tells its run, its state and its age")
def run_lost_lines(context):
    lines, box = notes(context, "run_lost"), notes(context, "box_over")[0]
    lost = {
        line.subject: line.inputs for line in lines if line.inputs["box"] == box.subject
    }
    assert len(lost) == box.inputs["tasks_lost"] == 2, lines
    bad = lost.pop(f"{context.bad}.0.0.0")
    (other,) = lost.values()
    assert bad["run"] == 1 and bad["state"] == "running", bad
    assert bad["seen_s"] < 0.2 and bad["silent_after_s"] < 1.1, bad
    assert other["seen_s"] > 2.5, other
