"""Steps of the scenarios over what CI passes over."""

import json
import pathlib
import subprocess
import sys

from behave import given
from behave import then
from behave import when

TOOL = pathlib.Path(__file__).resolve().parents[2] / "tools/known_red.py"
LINE = "features/a.feature: two | a cause | make test, seed 7 | it stood still | 5"
LISTS = {
    "nothing": "# none\n\n",
    "the failing one": f"{LINE}\n",
    "a scenario gone": LINE.replace(": two", ": four"),
    "four of them": "\n".join([LINE] * 4),
    "a line cut short": "features/a.feature: two | a cause",
}
RUNS = {
    "all scenarios pass": ("passed", "passed"),
    "one scenario fails": ("failed", "passed"),
    "one scenario ends in an error": ("error", "passed"),
    "two scenarios fail": ("failed", "failed"),
    "the listed scenario is left out": ("skipped", "passed"),
}


def report(two, three, outline=False):
    statuses = {"one": "passed", "two": two, "three": three}
    elements = [
        {"type": "scenario", "name": name, "status": status}
        for name, status in statuses.items()
    ]
    if outline:
        elements[1:2] = [
            {"type": "scenario", "name": "two -- @1.1 ", "status": "passed"},
            {"type": "scenario", "name": "two -- @1.2 ", "status": "failed"},
        ]
    feature = {"location": "features/a.feature:1", "elements": elements}
    return json.dumps([{**feature, "status": "passed"}])


@given("a list of known faults with {listed}")
def known_faults(context, listed):
    context.listed = context.folder / "KNOWN-RED.txt"
    context.listed.write_text(LISTS[listed])


@when("CI judges a run in which {what}")
def judge_run(context, what):
    if what == "a row of an outline fails":
        text = report("", "passed", outline=True)
    elif what == "the report breaks off":
        text = report("passed", "passed")[:-20]
    elif what == "one scenario fails and says why":
        (feature,) = json.loads(report("failed", "passed"))
        result = {"status": "failed", "error_message": ["ASSERT FAILED:", " 0.5"]}
        feature["elements"][1]["steps"] = [{"result": result}]
        text = json.dumps([feature])
    else:
        text = report(*RUNS[what])
    written = context.folder / "report.json"
    written.write_text(text)
    context.done = subprocess.run(
        [sys.executable, str(TOOL), str(written), str(context.listed)],
        capture_output=True,
        text=True,
        check=False,
    )


@then('it {verdict}, saying "{said}"')
def verdict_is(context, verdict, said):
    done = context.done
    assert done.returncode == (0 if verdict == "passes" else 1), done.stdout
    assert said in done.stdout, done.stdout + done.stderr
