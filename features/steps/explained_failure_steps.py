"""Steps of the scenarios on why jobs were failed, as operators are told."""

import contextlib
import io
import json
import pathlib

from behave import given
from behave import then
from behave import when
from failing_leader_steps import BAD
from failure_way_steps import leaders_fail
from failure_way_steps import runs_fail
from failure_way_steps import store_refuses
from failure_way_steps import task_crashes

from granitetrestle.cli import run
from granitetrestle.failureways import FailureWay

WAYS = {
    FailureWay.ATTEMPTS: runs_fail,
    FailureWay.CRASHED_BOXES: task_crashes,
    FailureWay.LEADER_FAILURES: leaders_fail,
    FailureWay.REFUSED_RECORD: store_refuses,
}


def call(paths, *arguments):
    """Call the command line; return its exit code and what it prints."""
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        logs = [f"--logs={','.join(map(str, paths))}"] if paths else []
        code = run(["explain", *arguments, *logs])
    return code, output.getvalue()


@given("the log of {node}:")
def log_of(context, node):
    lines = []
    for text in context.text.splitlines():
        line = text
        if text.startswith("{"):
            line = json.dumps({"node": node, **json.loads(text)})
        lines.append(line)
    path = context.folder / f"{node}.log"
    path.write_text("\n".join(lines))
    # The newest first, so that the order of the files tells nothing.
    context.logs = [path, *getattr(context, "logs", ())]


@when("an operator calls explain {what}")
def explain(context, what):
    code, context.output = call(context.logs, what)
    assert code == 0, code
    code, answer = call(context.logs, what, "--json")
    assert code == 0, code
    context.answer = json.loads(answer)


@then("it ends with:")
def ends_with(context):
    table, _, text = context.output.partition("\n\n")
    assert table.startswith("AT "), table
    assert text.rstrip("\n") == context.text.rstrip(), text


@then("it says:")
def says(context):
    text = context.output.partition("\n\n")[2]
    assert context.text.rstrip() in text, text


@then("it is a timeline alone")
def timeline_alone(context):
    assert "\n\n" not in context.output, context.output
    assert not [entry for entry in context.answer if "failure" in entry["inputs"]]


@then("the table is:")
def table_is(context):
    """Compare the cells, which two blanks separate; an empty one is part of them."""
    table = context.output.partition("\n\n")[0]
    expected = [line.split() for line in context.text.splitlines()]
    assert [line.split() for line in table.splitlines()] == expected, table


@then("the answer in JSON has the same in the entry of the line that failed the job")
def same_in_json(context):
    (entry,) = [entry for entry in context.answer if entry["event"] == "job_failed"]
    failure = entry["inputs"]["failure"]
    text = context.output.partition("\n\n")[2]
    assert f"why: {failure['why']}\n" in text, failure
    evidence = [
        f"  {p['at']}  {p['node']} (epoch {p['epoch']})  {p['text']}"
        for p in failure["evidence"]
    ]
    assert [line for line in text.splitlines() if line.startswith("  ")] == evidence


@then("explain failed names the way {way}, with {failed:d} failed runs")
def way_follows(context, way, failed):
    code, answer = call(context.logs, "failed", "--json")
    (failure,) = json.loads(answer)
    assert (code, failure["way"], failure["failed_runs"]) == (0, way, failed), failure
    assert call(context.logs, "failed")[0] == 0


@then("explain failed ends with code {code:d}, and without logs with code {without:d}")
def ends_with_codes(context, code, without):
    assert call(context.logs, "failed")[0] == code
    assert call((), "failed")[0] == without


@given("the logs of leaders that failed a job in each way")
def each_way(context):
    folder, context.failures = context.folder, {}
    for way, given_way in WAYS.items():
        context.folder = folder / way
        context.folder.mkdir()
        given_way(context)
        context.run(context)
        context.failures[way] = context.folder / "sessions.log"
    context.folder = folder
    context.logs = list(context.failures.values())[-1:]


@then("each of these jobs has its way, and all its evidence")
def way_and_evidence(context):
    for way, log in context.failures.items():
        assert pathlib.Path(log).stat().st_size
        code, answer = call([log], "failed", "--json")
        (failure,) = json.loads(answer)
        assert (code, failure["job"], failure["way"]) == (0, BAD, way), failure
        assert failure["epoch"] and not failure["remarks"], failure
        assert all(piece["epoch"] for piece in failure["evidence"]), failure
        least = 3 if way == FailureWay.ATTEMPTS else 2
        least = 1 if way == FailureWay.REFUSED_RECORD else least
        assert len(failure["evidence"]) >= least, failure
