"""Steps for calls to the advice service."""

import json
import random
import time

from behave import given
from behave import then
from behave import when
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st

from advised_shard import AdvisedShard
from granitetrestle_standins.nativecluster import NativeCluster

TICK_S = 0.1


@given("a queue with advice on {boxes:d} boxes, of which a call may name all")
def equal_boxes(context, boxes):
    context.shard = AdvisedShard(boxes)


@given("a queue with advice on {boxes:d} boxes, which take one task each")
def narrow_boxes(context, boxes):
    context.shard = AdvisedShard(boxes, cpu=1000)


@given("a queue with advice on {boxes:d} boxes, of which each third may run a step")
def third_allowed(context, boxes):
    allowed = {f"{number:04}" for number in range(0, boxes, 3)}
    context.shard = AdvisedShard(
        boxes, cpu=1000, allows=lambda step, box: box in allowed
    )


@given("two queues with advice on {boxes:d} boxes")
def two_queues(context, boxes):
    context.shard = AdvisedShard(boxes, queues=("first", "second"))


@given("a queue with advice on {boxes:d} boxes, of which {full:d} are full")
def mostly_full(context, boxes, full):
    shard = context.shard = AdvisedShard(boxes)
    context.full = sorted(shard.entries)[:full]
    shard.entries.update(
        {name: shard.entries[name]._replace(cpu=100) for name in context.full}
    )
    shard.scheduler.fleet.update_boxes(shard.entries, shard.now)


@given("the service takes {times:d} times as long as it states")
def slow_service(context, times):
    context.shard.service.slowness = times


@given("the service is silent")
def silent_service(context):
    context.shard.service.silent = True


@given("an earlier process of the same machine has left as many calls as may wait")
def line_full(context):
    shard = context.shard
    shard.submit()
    shard.advance(0.1)
    (asked, *_) = shard.asked
    shard.service.fill_line(asked, shard.caller, shard.now)


@given("the tickets of the first answer are not accepted")
def tickets_not_accepted(context):
    service = context.shard.service
    accepts = service.accepts

    def accepts_later(ticket, task, incarnation, now):
        first = set(list(service.tickets)[:4])
        return ticket not in first and accepts(ticket, task, incarnation, now)

    service.accepts = accepts_later


@when(
    "{rate:d} job a second comes for {seconds:d} seconds, and {times:g} times as many "
    "from second {start:d} to {end:d}"
)
def burst(context, rate, seconds, times, start, end):
    shard, due = context.shard, 0.0
    began = shard.now
    while shard.now - began < seconds:
        at = shard.now - began
        if at >= due:
            shard.submit()
            due += 1.0 / (rate * (times if start <= at < end else 1.0))
        shard.advance(TICK_S)
    shard.advance(14.0)


@when("{count:d} jobs come at once, and {seconds:d} seconds pass")
def at_once(context, count, seconds):
    for _ in range(count):
        context.shard.submit()
    context.shard.advance(seconds)


@when("the service works again, and {seconds:d} seconds pass")
def service_returns(context, seconds):
    context.shard.service.silent = False
    context.shard.advance(seconds)


@when("the shard goes on for {seconds:d} seconds")
def time_passes(context, seconds):
    context.shard.advance(seconds)


@when(
    "{count:d} jobs come at once, all but the last are cancelled, and {seconds:d} "
    "seconds pass"
)
def cancelled(context, count, seconds):
    shard = context.shard
    jobs = [shard.submit() for _ in range(count)]
    shard.advance(0.1)
    for job in jobs[:-1]:
        shard.cancel(job)
    shard.advance(seconds)
    context.last = jobs[-1]


@when("a gang of {count:d} tasks comes, and {seconds:d} seconds pass")
def gang_comes(context, count, seconds):
    context.shard.submit(count, gang=True)
    context.shard.advance(seconds)


@when(
    "{rate:d} jobs of the first come a second without end, and one of the second after "
    "{seconds:d} seconds"
)
def lasting_flood(context, rate, seconds):
    shard, began = context.shard, context.shard.now
    context.late = None
    while shard.now - began < 4 * seconds:
        shard.submit(queue="first")
        if context.late is None and shard.now - began >= seconds:
            context.late = shard.submit(queue="second")
        shard.advance(1.0 / rate)


@when("a job of {count:d} tasks comes, and {seconds:d} seconds pass")
def wide_job(context, count, seconds):
    context.shard.submit(count)
    context.shard.advance(seconds)


@when("{count:d} jobs of the first come at once, and then one of the second")
def flood(context, count):
    shard = context.shard
    for _ in range(count):
        shard.submit(queue="first")
    shard.advance(1.0)
    context.late = shard.submit(queue="second")
    shard.advance(10.0)


@when(
    "a job waits whose objective is far, and urgent ones come without end for "
    "{seconds:d} seconds"
)
def urgent_ones(context, seconds):
    shard = context.shard
    shard.work_s = 60.0
    context.late = shard.submit()
    shard.work_s = 0.2
    for _ in range(int(seconds / TICK_S)):
        shard.submit(1)
        shard.advance(TICK_S)


@when(
    "{count:d} jobs come at once, and the leader changes {times:d} times in 6 seconds"
)
def leaders_change(context, count, times):
    shard = context.shard
    for _ in range(count):
        shard.submit()
    for _ in range(times):
        shard.advance(2.0)
        shard.take_over()


@then("each job has started within {seconds:g} seconds")
def all_started(context, seconds):
    shard = context.shard
    waited = {
        job: shard.started.get(job, shard.now) - at
        for job, at in shard.submitted.items()
    }
    late = {job: s for job, s in waited.items() if s > seconds}
    assert not late, (len(late), max(late.values()), shard.service.__dict__)


@then("no call was given up or refused")
def none_wasted(context):
    service = context.shard.service
    assert (service.wasted, service.refused) == (0, 0), service.__dict__


@then("at most {count:d} calls were given up, and none refused")
def few_wasted(context, count):
    service = context.shard.service
    assert service.wasted <= count and not service.refused, service.__dict__


@then("at most {count:d} calls were refused")
def few_refused(context, count):
    assert context.shard.service.refused <= count, context.shard.service.__dict__


@then("each job is completed")
def all_completed(context):
    assert not context.shard.unfinished(), context.shard.unfinished()


@then("the last job is completed, and at most {count:d} of the others was asked about")
def others_not_asked(context, count):
    shard = context.shard
    assert shard.state(context.last) == "completed"
    others = {asked.job for asked in shard.asked} - {context.last}
    assert len(others) <= count, others


@then("the job of the second has started within {seconds:g} seconds")
@then("the job has started within {seconds:g} seconds")
def late_started(context, seconds):
    shard = context.shard
    started = shard.started.get(context.late, shard.now)
    assert started - shard.submitted[context.late] <= seconds, started


@then("only boxes with room were asked about")
def with_room(context):
    for asked in context.shard.asked:
        assert not set(asked.incarnations) & set(context.full), asked


@then("at most {count:d} starts were rejected")
def few_rejected(context, count):
    assert context.shard.rejected <= count, context.shard.rejected


@then(
    "in {count:d} random shards with advice one call is open at a time, and all jobs end"
)
def random_shards(context, count):
    @settings(max_examples=count, deadline=None, derandomize=True, database=None)
    @drawn(st.integers(0, 2**32))
    def play(seed):
        draw = random.Random(seed)
        rejected = {f"{n:04}" for n in range(24) if n < 4 or draw.random() < 0.3}
        rejected -= {f"{n:04}" for n in range(4, 8)}
        shard = AdvisedShard(
            decide_s=draw.choice((0.02, 0.1, 0.3)),
            each_s=draw.choice((0.001, 0.02)),
            valid_s=draw.choice((1.0, 5.0)),
            allows=lambda step, box: (box in rejected) == (step[15] in "02468ace"),
            queues=("first", "second"),
        )
        service = shard.service
        for _ in range(40):
            if draw.random() < 0.3:
                gang = draw.random() < 0.1
                job = shard.submit(
                    # There are at least four boxes for a gang with one member on each.
                    draw.choice((1, 1, 4, 4 if gang else 9)),
                    draw.choice(("first", "second")),
                    gang=gang,
                    per_box=draw.choice((0, 0, 1)),
                )
                if draw.random() < 0.1:
                    shard.cancel(job)
            if draw.random() < 0.03:
                shard.take_over()
            if draw.random() < 0.1:
                service.silent = not service.silent
            if draw.random() < 0.1:
                service.slowness = draw.choice((1.0, 1.0, 4.0))
            shard.advance(draw.choice((0.1, 0.5)))
        service.silent, service.slowness = False, 1.0
        shard.advance(60.0)
        assert service.most_open == 1, (seed, service.__dict__)
        assert not shard.unfinished(), (seed, shard.unfinished(), service.__dict__)

    play()


@given(
    "{nodes:d} nodes on the platform with {boxes:d} boxes, and advice that takes "
    "{decide:d} and {each:d} ms a box"
)
def advised_cluster(context, nodes, boxes, decide, each):
    platform = ("--advice", f"{decide},{each},5000")
    context.cluster = NativeCluster(context.folder, nodes, boxes, platform)
    context.cluster.ready()


def submit_all(context, count):
    step = [{"count": 2, "cpu": 200, "mem_mb": 10}]
    context.jobs = [f"{number + 1:016x}" for number in range(count)]
    for job in context.jobs:
        context.cluster.submit(job, step)


@when(
    "{count:d} jobs are submitted at once, and the leader is killed after "
    "{seconds:d} seconds"
)
def burst_and_kill(context, count, seconds):
    submit_all(context, count)
    time.sleep(seconds)
    context.cluster.kill(context.cluster.leader())


@when(
    "{count:d} jobs are submitted while the service is silent for {seconds:d} seconds "
    "and then {times:d} times as slow"
)
def silent_and_slow(context, count, seconds, times):
    context.cluster.store(f"/test/advice?silent={seconds}&times={times}")
    submit_all(context, count)


@then("every job completes, and no machine had two calls for advice open")
def all_complete(context):
    complete(context, 1)


@then("every job completes, and no machine had more than three calls for advice open")
def all_complete_later(context):
    complete(context, 3)


def complete(context, most_open):
    cluster = context.cluster
    for job in context.jobs:
        cluster.wait(lambda j=job: cluster.state(j) == "completed", job)
    counts = json.loads(cluster.store("/test/advice").content)
    assert counts["most_open"] <= most_open and not counts["refused"], counts
    assert not cluster.failed_nodes(), cluster.failed_nodes()
