"""Steps of the scenarios on reports between processes."""

import random
import statistics

from behave import given
from behave import then
from behave import when

from report_world import ReportWorld


@given(
    "a deployment of {count:d} processes in {halls:d} data halls, up for {s:g} seconds"
)
def deployment(context, count, halls, s):
    context.world = ReportWorld(count, count, halls)
    context.world.run(s)
    assert not context.world.without_leader(), context.world.without_leader()
    for process in context.world.processes.values():
        process.sent = process.received = 0
    context.take_overs = len(context.world.take_overs)


def rates(context, chosen):
    world = context.world
    counts = [
        (process.sent + process.received) / 10.0
        for process in world.processes.values()
        if chosen(process)
    ]
    return max(counts, default=0.0)


@then(
    "a process that is no relay sends and receives at most {most:g} messages a second"
)
def leaf_rate(context, most):
    context.world.run(10.0)
    rate = rates(context, lambda p: not p.membership.relaying and not p.leading)
    assert rate <= most, rate


@then("a relay at most {most:g}")
def relay_rate(context, most):
    rate = rates(context, lambda p: p.membership.relaying and not p.leading)
    assert rate <= most, rate


@then("the leader at most {most:g}")
def leader_rate(context, most):
    rate = rates(context, lambda p: p.leading)
    assert 0 < rate <= most, rate


@then("1 process has taken over at most {times:d} times")
def max_take_overs(context, times):
    assert len(context.world.take_overs) <= times, context.world.take_overs


@when("the leader is killed")
def leader_killed(context):
    context.killed_at = context.world.now
    context.world.kill([context.world.leader_name])


@then("one process takes over within {seconds:g} seconds")
def takes_over_within(context, seconds):
    context.world.run(seconds)
    assert len(context.world.take_overs) == context.take_overs + 1, (
        context.world.take_overs
    )
    assert context.world.take_overs[-1][0] - context.killed_at <= seconds


@then("all processes know it within {seconds:g} seconds after that")
def known_after(context, seconds):
    world = context.world
    assert world.run_until_leader_known(seconds) <= seconds, world.without_leader()


def relays(world, hall):
    return [
        process.name
        for process in world.processes.values()
        if process.hall == hall and process.membership.relaying
    ]


def other_halls(world):
    halls = {process.hall for process in world.processes.values()}
    return sorted(halls - {world.leader().hall})


@when(
    "two relays of one data hall are killed and one elsewhere stalls for {s:g} seconds"
)
def relays_killed_and_stalled(context, s):
    world = context.world
    one, other = other_halls(world)[:2]
    world.kill(relays(world, one)[:2])
    frozen = world.processes[relays(world, other)[0]]
    frozen.frozen_until = world.now + s
    context.frozen = frozen.name


@then(
    "for {span:g} seconds no process is without a leader for longer than "
    "{most:g} seconds"
)
def max_time_without_leader(context, span, most):
    names = set(context.world.processes) - {context.frozen}
    longest = context.world.longest_without_leader(span, names)
    assert longest <= most, longest


@then("no other process has taken over")
def no_other_take_over(context):
    assert len(context.world.take_overs) == context.take_overs, context.world.take_overs


@when("all relays of a data hall without the leader are killed for good")
def hall_relays_killed(context):
    world = context.world
    world.kill(relays(world, other_halls(world)[0]))
    world.run(1.0)


@then("all processes know the leader within {seconds:g} seconds")
def all_know(context, seconds):
    world = context.world
    assert world.run_until_leader_known(seconds) < seconds, world.without_leader()


@when("a data hall without the leader is cut off for {seconds:g} seconds")
def hall_cut_off(context, seconds):
    world = context.world
    hall = other_halls(world)[0]
    world.cut_off_halls.add(hall)
    names = [n for n, p in world.processes.items() if p.hall != hall]
    context.longest = world.longest_without_leader(seconds, names)
    world.cut_off_halls.clear()


@then(
    "in the other halls no process was without a leader for longer than "
    "{most:g} seconds"
)
def other_halls_know_leader(context, most):
    assert context.longest <= most, context.longest


@then("after the cut all processes know the leader within {seconds:g} seconds")
def known_after_cut(context, seconds):
    world = context.world
    assert world.run_until_leader_known(seconds) < seconds, world.without_leader()


@when("the leader's data hall is cut off for {seconds:g} seconds")
def leader_hall_cut_off(context, seconds):
    world = context.world
    world.cut_off_halls.add(world.leader().hall)
    context.killed_at = world.now
    world.run(seconds)
    world.cut_off_halls.clear()


@then("one process elsewhere has taken over within {seconds:g} seconds")
def taken_over_elsewhere(context, seconds):
    take_overs = context.world.take_overs
    assert len(take_overs) == context.take_overs + 1, take_overs
    assert take_overs[-1][0] - context.killed_at <= seconds, take_overs


@when(
    "all but the leader are killed in turn, each for {down:g} seconds, "
    "one every {gap:g}"
)
def killed_in_turn(context, down, gap):
    world = context.world
    names = [name for name in world.processes if name != world.leader_name]
    for number, name in enumerate(names):
        world.schedule(world.now + number * gap, world.kill, [name], down)


@then(
    "for {span:g} seconds no process up for a second is without a leader for {most:g}"
)
def settled_know_leader(context, span, most):
    world = context.world
    since, end = {}, world.now + span
    while world.now < end:
        world.run(0.05)
        settled = [n for n, p in world.processes.items() if world.now - p.up_at > 1.0]
        without_leader = world.without_leader(settled)
        since = {name: since.get(name, world.now) for name in without_leader}
        assert all(world.now - at <= most for at in since.values()), since


@when("all are killed and restart, {former}, with a store that answers in {ms:d} ms")
def all_killed(context, former, ms):
    world = context.world
    world.store_s = ms / 1000.0
    leader_name = world.leader_name
    world.kill([leader_name], 0.5 if former == "the leader too" else None)
    world.kill([name for name in world.processes if name != leader_name], 0.5)


@then("one process has taken over after {seconds:g} seconds, and all processes know it")
def one_took_over(context, seconds):
    world = context.world
    world.run(seconds)
    assert len(world.take_overs) == context.take_overs + 1, world.take_overs
    assert not world.without_leader(), world.without_leader()


@when("the store answers no process for {seconds:g} seconds")
def store_stops_answering(context, seconds):
    world = context.world
    world.attempted.clear()
    world.refused_by_store = set(world.processes)
    world.run(seconds)
    world.refused_by_store = set()


@then("at most {most:d} processes have attempted to take over meanwhile")
def attempted(context, most):
    assert 0 < len(context.world.attempted) <= most, context.world.attempted


@then("at most 1 has taken over {seconds:g} seconds later, and all know the leader")
def taken_over_once(context, seconds):
    world = context.world
    world.run(seconds)
    assert len(world.take_overs) <= context.take_overs + 1, world.take_overs
    assert not world.without_leader(), world.without_leader()


@when(
    "the store answers all but the leader and its first successor "
    "for {seconds:g} seconds"
)
def refuses_two(context, seconds):
    world = context.world
    first = world.leader().leadership.rank_successors(world.now)[0]
    context.killed_at = world.now
    world.refused_by_store = {world.leader_name, first}
    world.run(seconds)


@then(
    "one process has taken over within {seconds:g} seconds, and all know it at the end"
)
def one_within(context, seconds):
    world = context.world
    assert len(world.take_overs) == context.take_overs + 1, world.take_overs
    assert world.take_overs[-1][0] - context.killed_at <= seconds, world.take_overs
    assert not world.without_leader(), world.without_leader()


@then(
    "the first {count:d} successors are in {count2:d} other data halls than the leader"
)
def in_other_halls(context, count, count2):
    world = context.world
    leader = world.leader()
    named = leader.leadership.rank_successors(world.now)[:count]
    halls = {world.processes[name].hall for name in named}
    assert len(halls) == count2 and leader.hall not in halls, halls


@when("reports take {least:d} to {most:d} ms, and the leader stalls for {s:g} seconds")
def slow_reports(context, least, most, s):
    world = context.world
    assert most == 2 * least
    world.delay = least / 1000.0
    world.run(2.0)
    context.killed_at = world.now
    world.leader().frozen_until = world.now + s


@then(
    "after {count:d} random minutes of {processes:d} processes in {halls:d} data halls "
    "all know it within {most:g} seconds"
)
def random_minutes(context, count, processes, halls, most):
    for seed in range(count):
        world = ReportWorld(seed, processes, halls)
        world.run(8.0)
        draw = random.Random(seed)
        for _ in range(12):
            names = sorted(world.processes)
            kind = draw.choice(("cut", "heal", "kill", "freeze", "refuse", "many"))
            if kind == "cut":
                world.cut_off_halls.add(f"h{draw.randrange(halls)}")
            elif kind == "heal":
                world.cut_off_halls.clear()
            elif kind == "kill":
                world.kill(draw.sample(names, 3), draw.choice((0.5, 3.0)))
            elif kind == "many":
                world.kill(draw.sample(names, processes * 2 // 3), 0.8)
            elif kind == "freeze":
                frozen = world.processes[draw.choice(names)]
                frozen.frozen_until = world.now + draw.choice((1.0, 4.0))
            else:
                world.refused_by_store = set(draw.sample(names, processes // 3))
            world.run(draw.choice((0.5, 2.0, 8.0)))
        world.cut_off_halls.clear()
        world.refused_by_store = set()
        world.run(4.0)
        took = world.run_until_leader_known(most)
        assert took < most, (seed, world.without_leader())
        settled = len(world.take_overs)
        world.run(10.0)
        assert len(world.take_overs) == settled, (seed, world.take_overs[-3:])
        assert not world.without_leader(), (seed, world.without_leader())


@when("{count:d} times a process takes over, and is killed and restarted {when}")
def killed_and_restarted(context, count, when):
    world = context.world
    context.durations = []
    for turn in range(count):
        world.heartbeats_lost = when != "once the store shows it"
        world.kill([world.leader_name], restart_after_s=8.0)
        assert world.run_until_leader(6.0, other_than=world.leader_name) < 6.0
        world.run(world.random.choice((0.1, 0.25, 0.6)))
        if when == "as another process wakes up":
            others = sorted(set(world.processes) - {world.leader_name})
            sleeper = world.processes[world.random.choice(others)]
            sleeper.frozen_until = world.now + 1.0
            world.run(0.95)
        world.kill([world.leader_name], restart_after_s=world.random.uniform(0.02, 0.3))
        context.durations.append(world.run_until_leader(15.0))
        world.heartbeats_lost = False
        world.run(9.0)


@then(
    "each time a process leads again within {most:g} seconds, {median:g} at the median"
)
def leads_again(context, most, median):
    took = sorted(context.durations)
    assert took[-1] <= most, took
    assert statistics.median(took) <= median, took
