"""Steps of the scenarios about storms in which boxes are lost again and again."""

from behave import then
from behave import when

from storm_judge import MAX_CALM_S
from storm_judge import MAX_CRASHES
from storm_results import run_storm


@when("storms break out from seeds {seeds}")
def storms(context, seeds):
    context.results = [run_storm(int(seed)) for seed in seeds.split(", ")]


@then("no job that did nothing wrong is shown as failed")
def none_given_up(context):
    innocent = {
        f"seed {result.seed}, {job}": [str(line) for line in lines]
        for result in context.results
        for job, lines in result.innocent.items()
    }
    assert not innocent, innocent


@then("no other promise is broken")
def no_other_promise_broken(context):
    broken = {result.seed: result.broken for result in context.results if result.broken}
    assert not broken, broken


@then("no task has crashed more boxes than are promised")
def contained(context):
    culprits = [culprit for result in context.results for culprit in result.culprits]
    assert any(culprit.crashes > 1 for culprit in culprits), culprits
    above = [culprit for culprit in culprits if culprit.crashes > MAX_CRASHES]
    assert not above, above


@then("each of these tasks has ended, once it is calm for long")
def ended(context):
    culprits = [culprit for result in context.results for culprit in result.culprits]
    endless = [c for c in culprits if not c.ended and c.calm_s >= MAX_CALM_S]
    assert not endless, endless
