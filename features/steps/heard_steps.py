"""Steps of the scenario on how long ago a node heard the leader."""

import signal
import time

from behave import then
from behave import when

METRIC = "decider_heard_s_ago"


@when("the leader stalls for {seconds:g} seconds and resumes")
def leader_stalls(context, seconds):
    cluster = context.cluster
    leader = cluster.leader()
    (other,) = set(cluster.nodes()) - {leader}
    cluster.kill(leader, signal.SIGSTOP)
    context.longest_silence_s, until = 0.0, time.monotonic() + seconds
    while time.monotonic() < until:
        context.longest_silence_s = max(
            context.longest_silence_s, cluster.figure(METRIC, other)
        )
        time.sleep(0.05)
    cluster.kill(leader, signal.SIGCONT)


@then(
    "it was heard over {seconds:g} seconds ago meanwhile, and each node hears a leader "
    "again"
)
def heard_again(context, seconds):
    cluster = context.cluster
    assert context.longest_silence_s > seconds, context.longest_silence_s
    for node in cluster.nodes():
        cluster.wait(lambda n=node: cluster.figure(METRIC, n) <= seconds, node)
