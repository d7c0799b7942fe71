"""Steps of the scenarios over the judge of runs: small records, written by hand."""

from behave import given
from behave import then

from granitetrestle_standins.runfacts import BoxLoss
from granitetrestle_standins.runfacts import ClientEvent
from granitetrestle_standins.runfacts import ClientFact
from granitetrestle_standins.runfacts import CulpritCrash
from granitetrestle_standins.runfacts import Disorder
from granitetrestle_standins.runfacts import EpochChange
from granitetrestle_standins.runfacts import Facts
from granitetrestle_standins.runfacts import Lapse
from granitetrestle_standins.runfacts import Probe
from granitetrestle_standins.runfacts import RefusedStart
from granitetrestle_standins.runfacts import RunFact
from granitetrestle_standins.runfacts import load_facts
from granitetrestle_standins.runfacts import save_facts
from granitetrestle_standins.runjudge import FactsIncomplete
from granitetrestle_standins.runjudge import judge
from granitetrestle_standins.runtimeline import task_entries

JOB = "00000000000000a1"
OTHER_JOB = "00000000000000a2"
STEP = f"{JOB}.0.0"
TASK = f"{STEP}.0"
EPOCH = 7


def split(text):
    return [part.strip() for part in text.split(";") if part.strip()]


def read_run(text, number):
    """Read "b2: done 2-3 @4": box, how the run ended, its times, when the end was acknowledged."""
    box, _, rest = text.rpartition(":")
    how, times, *noted = rest.split()
    began, _, ended = times.partition("-")
    return RunFact(
        box=box or "b1",
        hall="hall-1",
        task=TASK,
        run=number,
        epoch=EPOCH,
        arrived=float(began),
        held_up=how == "late",
        began=float(began),
        ended=float(ended) if ended else None,
        how={"late": "done", "runs": ""}.get(how, how),
        noted=float(noted[0].lstrip("@")) if noted else None,
    )


def refused_start(box, otherwise, at):
    return RefusedStart(box, float(at), TASK, 1, 5, EPOCH, otherwise == "taken")


def add_fact(facts, text):
    """Add a fact other than a run, such as "lapse b1 8", "client accepted 1", or "lost b1
    8 5", a box that was not listed from 5 and left at 8; a "culprit" is the task, a
    "stranger" that of another job, and both crash a box."""
    what, *words = text.split()
    if what in ("lasting", "speculative"):
        return facts._replace(**{what: frozenset({STEP})})
    if what == "fault":
        return facts._replace(last_fault=float(words[1]))
    if what == "observed":
        return facts._replace(observed_until=float(words[0]))
    if what == "attempts":
        return facts._replace(max_attempts=int(words[0]))
    name, fact = {
        "lapse": lambda box, at: ("lapses", Lapse(box, float(at))),
        "epoch": lambda box, epoch, at: (
            "epochs",
            EpochChange(box, float(at), int(epoch)),
        ),
        "refused": lambda *row: ("refused", refused_start(*row)),
        "client": lambda *row: (
            "clients",
            ClientFact(JOB, float(row[-1]), ClientEvent(" ".join(row[:-1]))),
        ),
        "lost": lambda box, at, unlisted=None: (
            "losses",
            BoxLoss(box, float(at), float(unlisted or at)),
        ),
        "culprit": lambda box, at: ("culprits", CulpritCrash(box, float(at), TASK)),
        "stranger": lambda box, at: (
            "culprits",
            CulpritCrash(box, float(at), f"{OTHER_JOB}.0.0.0"),
        ),
        "disorder": lambda since, until: (
            "disorders",
            Disorder(float(since), float(until)),
        ),
        "call": lambda sent, answered: (
            "probes",
            Probe(float(sent), None if answered == "none" else float(answered)),
        ),
    }[what](*words)
    return facts._replace(**{name: [*getattr(facts, name), fact]})


@given('a task that ran "{runs}"')
def task_ran(context, runs):
    rows = [read_run(text, 1 + at) for at, text in enumerate(split(runs))]
    context.facts = Facts(runs=rows)


@given('the further facts "{further}"')
def further_facts(context, further):
    for text in split(further):
        context.facts = add_fact(context.facts, text)


@given('the further facts ""')
def no_further_facts(context):
    pass


@then('the judge finds "{found}"')
def judge_finds(context, found):
    try:
        verdict = judge(context.facts)
    except FactsIncomplete:
        assert found == "incomplete"
        return
    kinds = sorted(violation.kind.name for violation in verdict.violations)
    kinds += ["unfenced"] * verdict.unfenced_starts
    assert kinds == sorted(found.split()), (kinds, verdict)


@then('the judge finds ""')
def judge_finds_nothing(context):
    judge_finds(context, "")


@then("the timeline of the task reads")
def timeline_reads(context):
    violations = judge(context.facts).violations
    lines = []
    for entry in task_entries(context.facts, TASK, violations):
        text = entry.text.replace(f"{TASK} ", "").replace(f"{JOB} ", "")
        text = text.partition(": [")[0]
        lines.append(f"{entry.at} {entry.who}: {text}")
    assert lines == context.text.splitlines(), "\n".join(lines)


@then("the facts are the same after they were saved and loaded")
def same_after_reading(context):
    path = context.folder / "facts.json"
    save_facts(context.facts, path)
    read = load_facts(path)
    assert judge(read) == judge(context.facts)
    assert task_entries(read, TASK) == task_entries(context.facts, TASK)
