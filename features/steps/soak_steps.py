"""Steps of the long randomised run."""

from behave import then
from behave import when

from granitetrestle_standins.soak import soak


@when("random work and faults run from seed {seed:d} over the reducers")
def run_soak(context, seed):
    context.counts = soak(seed)


@then("no invariant was violated and work was done")
def work_was_done(context):
    assert context.counts["starts"] > 0, context.counts
    assert context.counts["finished"] > 0, context.counts
    assert context.counts["requests"] > 0, context.counts
