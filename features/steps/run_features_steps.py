"""Steps of the scenarios about runs of several feature files."""

import json
import pathlib
import subprocess
import sys

from behave import given
from behave import then
from behave import when

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
TOOL = ROOT / "tools" / "run_features.py"
GOOD = """Feature: {name}
  Scenario: one
    Given nothing
  Scenario: two
    Given nothing
"""
STEPS = """import os
from behave import given

@given("nothing")
def nothing(context):
    pass

@given("a failure")
def failure(context):
    raise AssertionError

@given("an end")
def end(context):
    os._exit(3)
"""


@given("feature files of which {what}")
def feature_files(context, what):
    root = context.root = context.folder / "project"
    (root / "features" / "steps").mkdir(parents=True)
    (root / "features" / "steps" / "steps.py").write_text(STEPS)
    (root / "tools").mkdir()
    (root / "tools" / "run_features.py").write_bytes(TOOL.read_bytes())
    texts = {
        "all pass": GOOD,
        "one has a scenario that fails": GOOD.replace("nothing", "a failure", 1),
        "one can't be read": "Nothing: of this is a feature\n",
        "one ends the process": GOOD.replace("nothing", "an end", 1),
    }
    (root / "features" / "first.feature").write_text(GOOD.format(name="first"))
    text = texts[what].format(name="second")
    (root / "features" / "second.feature").write_text(text)


@when("they are run two at a time")
def run_two(context):
    context.report = context.folder / "report.json"
    command = [sys.executable, str(context.root / "tools" / "run_features.py")]
    command += ["--lanes", "2", "--report", str(context.report)]
    context.run = subprocess.run(command, capture_output=True, text=True, check=False)


@then(
    "the exit code is {code:d}, and the report has {passed:d} passed and {failed:d} "
    "failed scenarios"
)
def report_has(context, code, passed, failed):
    assert context.run.returncode == code, context.run.stdout
    statuses = [
        element["status"]
        for feature in json.loads(context.report.read_text())
        for element in feature.get("elements", ())
    ]
    assert (statuses.count("passed"), statuses.count("failed")) == (passed, failed)


@then("CI {verdict} that run")
def ci_judges(context, verdict):
    nothing_known = context.folder / "known.txt"
    nothing_known.write_text("")
    judge = ROOT / "tools" / "known_red.py"
    command = [sys.executable, str(judge), str(context.report), str(nothing_known)]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    assert done.returncode == (0 if verdict == "passes" else 1), done.stdout
