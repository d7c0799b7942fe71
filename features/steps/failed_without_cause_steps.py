"""Steps of the scenarios on jobs that are shown as failed without cause."""

import json

import anyio
from behave import given
from behave import then
from behave import when
from failing_leader_steps import BAD
from failing_leader_steps import OTHERS
from failing_leader_steps import submission
from long_record_steps import Leader
from removed_route_steps import JOB

from granitetrestle.calls import CallFailure
from granitetrestle.calls import Reply
from granitetrestle.events import Proof
from granitetrestle.interfaces import AppendRefused
from granitetrestle.interfaces import EndedRun
from granitetrestle.interfaces import PollResult
from granitetrestle.interfaces import Record
from granitetrestle.interfaces import StoreUnavailable
from granitetrestle.interfaces import Writer
from granitetrestle.jobcalls import SubmitJob
from granitetrestle.platform.store import PlatformStore
from granitetrestle.scheduler import Scheduler
from granitetrestle.workflows import Step
from granitetrestle.workflows import Submission
from granitetrestle_standins.nativestore import StoreModel
from granitetrestle_standins.shardworld import CONFIG
from session_world import LongPollStore
from session_world import SessionWorld

RECORD_OF_TASKS = f"t/{BAD}"
FAILURES = {
    "no byte": CallFailure(Proof(True, "no answer in time"), timed_out=True),
    "a reset connection": CallFailure(Proof(True, "connection lost")),
    "200 and half a body": Reply(200, (), b'{"end":'),
    "409 and no reason": Reply(409, (), b"{}"),
}


class OneAnswer:
    """Answers each call alike."""

    def __init__(self, answer):
        self._answer = answer

    async def call(self, *arguments, **options):
        """See :meth:`Caller.call`."""
        return self._answer


@given("a store that answers appends with {answer}")
def store_answers(context, answer):
    given_answer = FAILURES.get(answer)
    if given_answer is None:
        given_answer = Reply(int(answer), (), json.dumps({"why": "x"}).encode())
    context.store = PlatformStore("127.0.0.1:1", OneAnswer(given_answer))


@then("an append is repeated")
def append_repeated(context):
    outcome = anyio.run(
        context.store.append, "keyed.jobs", [Record("t/x", b"x")], Writer(1, 1), 1.0
    )
    assert isinstance(outcome, StoreUnavailable), outcome


class FaultyStore(LongPollStore):
    """Answers most appends as a store in trouble does, and the others as usual.

    :ivar in_trouble: whether it does; otherwise it answers all as usual.
    """

    def __init__(self, model, fault):
        super().__init__(model)
        self._fault = fault
        self._appends = 0
        self.in_trouble = False

    async def append(self, topic, records, writer, timeout_s):
        """See :meth:`MemoryStore.append`."""
        if not self.in_trouble:
            return await super().append(topic, records, writer, timeout_s)
        self._appends += 1
        fault = await self._fault(self._appends)
        if fault is None or fault.not_applied:
            return fault or await super().append(topic, records, writer, timeout_s)
        await super().append(topic, records, writer, timeout_s)
        return fault


async def away(appends):
    """Be away for three appends of four."""
    return StoreUnavailable("not connected", not_applied=True) if appends % 4 else None


async def losing(appends):
    """Lose each other answer."""
    return StoreUnavailable("no answer in time") if appends % 2 else None


async def slow(appends):
    """Answer so late that appends are repeated beside each other."""
    await anyio.sleep(0.15 if appends % 3 else 0.35)


async def turning_away(appends):
    """Answer with one status and the other by turns."""
    statuses = {0: "429", 1: "507"}
    status = statuses.get(appends % 3)
    return StoreUnavailable(status, not_applied=True) if status else None


FAULTS = {
    "is away again and again": away,
    "loses answers": losing,
    "is slow": slow,
    "turns callers away with 429 and 507": turning_away,
}


@given("leaders with a store that {does}")
def faulty_store(context, does):
    store = FaultyStore(StoreModel(), FAULTS[does])
    context.world = SessionWorld(store, 2, context.folder)


async def submit_jobs(session, jobs):
    """Submit jobs, and wait until all have ended."""
    for job in jobs:
        await session.call(f"r{job}", SubmitJob(submission(job)))
    known = session.scheduler.state.workflows
    while not all(known[job].terminal for job in jobs):
        await anyio.sleep(0.05)
    await session.drain()
    return {job: known[job].state for job in jobs}


@when("{count:d} jobs are submitted, and completed by two leaders")
def submit_under_faults(context, count):
    jobs = OTHERS[:count]
    half = count // 2
    store = context.world.store
    context.states = {}

    async def run():
        with anyio.fail_after(25.0):
            for epoch, some in enumerate((jobs[:half], jobs[half:]), 1):
                store.in_trouble = False
                async with context.world.session(epoch) as session:
                    store.in_trouble = True
                    context.states |= await submit_jobs(session, some)

    anyio.run(run)


@then("no record is left out, and none of the jobs is known as failed")
def none_failed(context):
    assert not context.world.lines("record_refused")
    assert set(context.states.values()) == {"completed"}, context.states


class RefusingAtFirstStore(LongPollStore):
    """Refuses appends with records of the tasks of the bad job, some times.

    :param times: how many appends of nothing else it refuses.
    """

    def __init__(self, model, times):
        super().__init__(model)
        self._times = times

    async def append(self, topic, records, writer, timeout_s):
        """See :meth:`MemoryStore.append`."""
        named = [record for record in records if record.key.startswith(RECORD_OF_TASKS)]
        if named and self._times > 0:
            # The digest of the state is a record of each append.
            self._times -= len(records) == 2
            return AppendRefused("400")
        return await super().append(topic, records, writer, timeout_s)


@given("a leader, and a store that refuses records of the tasks of one job {count}")
def refuses_at_first(context, count):
    store = RefusingAtFirstStore(StoreModel(), {"once": 1, "twice": 2}[count])
    context.world = SessionWorld(store, 2, context.folder)


@then("all of them are completed, and no record is left out")
def all_kept(context):
    assert not context.world.lines("record_refused")
    assert set(context.states.values()) == {"completed"}, context.states


@given("a long-running job of a route with {most:d} attempts")
def long_running(context, most):
    leader = context.leader = Leader(2)
    queue = CONFIG.queues[0]._replace(max_attempts=most)
    config = CONFIG._replace(version=CONFIG.version + 1, queues=(queue,))
    leader.scheduler.apply_config(config)
    step = Step(count=1, cpu=100, long_running=True)
    call = SubmitJob(Submission(JOB, queue.name, queue.service, "s", (step,)))
    leader.scheduler.handle_call("r", call, leader.now)


def run_until_placed(leader):
    """Decide until the job's task runs; returns the task."""
    (task,) = leader.scheduler.state.workflows[JOB].tasks.values()
    for _ in range(100):
        leader.decide()
        if task.placed:
            leader.poll(task.box, "")
            return task
    raise AssertionError(f"{task.name} was not started again")


def list_end(leader, incarnation, row):
    """Let a box list the end of a run."""
    leader.now += 0.1
    leader.runs[incarnation].pop(row.task, None)
    leader.scheduler.fleet.handle_poll_outcome(
        incarnation, leader.now, leader.now, PollResult(1000, (), (row,))
    )


@when("its run ends as {first}, {second}, {third} and {fourth}, and is started again")
def ends_as(context, first, second, third, fourth):
    leader = context.leader
    for number, how in enumerate((first, second, third, fourth), 1):
        task = run_until_placed(leader)
        list_end(leader, task.box, EndedRun(number, task.name, task.run, how, ""))
        state = leader.scheduler.state.workflows[JOB].state
        assert state != "failed", f"{state} after {how}"
    run_until_placed(leader)


def take_over(leader):
    """Let another leader go on, with the same configuration."""
    config = leader.scheduler.state.config
    leader.topic.write(leader.scheduler.take_writes())
    leader.scheduler = Scheduler(leader.world.parameters, leader.now)
    leader.scheduler.restore(leader.topic.records(), leader.now)
    leader.scheduler.apply_config(config)
    leader.scheduler.evacuation.replace_directives([], (), leader.now)
    leader.list_boxes(leader.world.entries)


@when("its run fails, and four leaders see that end, two of them twice")
def seen_again(context):
    leader = context.leader
    task = run_until_placed(leader)
    incarnation, run = task.box, task.run
    for number in range(4):
        if number:
            take_over(leader)
        for _ in range(1 + number % 2):
            # A box numbers its ends itself, and lists them until they are acknowledged.
            row = EndedRun(1, task.name, run, "failed", "")
            list_end(leader, incarnation, row)
        run_until_placed(leader)


@then("its task has failed {times}, and the job is not known as failed")
def task_failed(context, times):
    workflow = context.leader.scheduler.state.workflows[JOB]
    (task,) = workflow.tasks.values()
    expected = {"once": 1, "0 times": 0}[times]
    assert task.failures == expected, task.failed_runs
    assert workflow.state != "failed", workflow.state
