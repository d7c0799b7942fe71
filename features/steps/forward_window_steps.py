"""Steps of the scenarios on requests that are forwarded to a leader over its link."""

import time

import anyio
import msgspec
from behave import given
from behave import then
from behave import when
from leadership_steps import status
from msgspec.structs import replace

from granitetrestle.forwarding import ClientCall
from granitetrestle.forwarding import Forwarding
from granitetrestle.forwarding import Target
from granitetrestle.forwardwindow import ForwardWindow
from granitetrestle.leadership import Leadership
from granitetrestle.messages import CallAnswered
from granitetrestle.messages import Envelope
from granitetrestle.messages import decode_envelope
from granitetrestle.messages import encode_envelope

ACCEPTED, REFUSED = 200, 503
MBPS = 125_000.0


class ForwardingProcess:
    """A process that forwards requests to a leader that the test simulates.

    :ivar sent: the leaders that requests were sent to.
    :ivar outcomes: duration and answer of each request.
    """

    def __init__(self, target, link_bytes_per_s=1e9, processes=1):
        self.target = target
        self.answers_after_s = None
        self.sent = []
        self.under_way = self.most_under_way = 0
        self.outcomes = []
        self.tasks = None
        window = ForwardWindow(link_bytes_per_s, lambda: processes)
        self.forwarding = Forwarding(
            "me", "127.0.0.1:1", self.send, self.answer_locally, window
        )

    def send(self, node, message):
        self.sent.append(node)
        self.under_way += 1
        self.most_under_way = max(self.most_under_way, self.under_way)
        if self.answers_after_s is not None:
            self.tasks.start_soon(self.answer, message.number)
        return True

    async def answer(self, number):
        await anyio.sleep(self.answers_after_s)
        self.under_way -= 1
        self.forwarding.record_answer(CallAnswered(number, ACCEPTED, b"", 0))

    async def answer_locally(self, call):
        raise AssertionError("another process is the leader")

    async def client(self, left_s, size=0):
        began = time.monotonic()
        call = ClientCall("POST", "h", "/q/1", bytes(size))
        answer = await self.forwarding.serve(call, left_s, lambda: self.target)
        self.outcomes.append((time.monotonic() - began, answer))

    def set_target(self, target):
        self.target = target
        self.forwarding.leader_changed()

    def run(self, script):
        async def main():
            async with anyio.create_task_group() as tasks:
                self.tasks = tasks
                await script(tasks)

        anyio.run(main)


@given("a process that forwards to a leader that takes over")
def forwards_to_one_taking_over(context):
    context.process = ForwardingProcess(Target("leader", 2, taking_over=True))


@given("a process that forwards to a leader that answers nothing")
def forwards_to_silent(context):
    context.process = ForwardingProcess(Target("first", 1))


@when("a client sends a request with {left:g} seconds left")
def client_sends(context, left):
    context.left_s = left
    if not context.process.target.taking_over:
        # The next step runs it.
        return

    async def script(tasks):
        tasks.start_soon(context.process.client, left)

    context.process.run(script)


@when(
    "a client sends a request with {left:g} seconds left, and the leader serves after "
    "{seconds:g} seconds"
)
def client_sends_then_serves(context, left, seconds):
    process = context.process
    process.answers_after_s = 0.01

    async def script(tasks):
        tasks.start_soon(process.client, left)
        await anyio.sleep(seconds)
        process.set_target(Target("leader", 2))

    process.run(script)


@when(
    "after {first:g} seconds another process takes over, which serves after {second:g} "
    "seconds"
)
def another_takes_over(context, first, second):
    process = context.process

    async def script(tasks):
        tasks.start_soon(process.client, context.left_s)
        await anyio.sleep(first)
        process.set_target(Target("second", 2, taking_over=True))
        await anyio.sleep(second - first)
        process.answers_after_s = 0.01
        process.set_target(Target("second", 2))

    process.run(script)


@then(
    "it is refused with a time to retry within {seconds:g} seconds, and was never sent"
)
def refused_unsent(context, seconds):
    ((took_s, answer),) = context.process.outcomes
    assert answer.status == REFUSED and answer.retry_after_s > 0, answer
    assert took_s <= seconds, took_s
    assert not context.process.sent


@then("it is answered within {seconds:g} seconds, and was sent once")
def answered_once(context, seconds):
    ((took_s, answer),) = context.process.outcomes
    assert answer.status == ACCEPTED and took_s <= seconds, (answer, took_s)
    assert context.process.sent == ["leader"], context.process.sent


@then("it is answered within {seconds:g} seconds, by the second leader")
def answered_by_second(context, seconds):
    ((took_s, answer),) = context.process.outcomes
    assert answer.status == ACCEPTED and took_s <= seconds, (answer, took_s)
    assert context.process.sent == ["first", "second"], context.process.sent


@given("{count:d} processes that forward to a leader, over links of {mbps:d} Mbit/s")
def forwarding_processes(context, count, mbps):
    context.process = ForwardingProcess(Target("leader", 1), mbps * MBPS, count)


@when(
    "each sends {count:d} requests of {size:d} bytes, which are answered after "
    "{seconds:g} seconds"
)
def sends_many(context, count, size, seconds):
    process = context.process
    process.answers_after_s = seconds

    async def script(tasks):
        for _ in range(count):
            tasks.start_soon(process.client, 3.0, size)

    process.run(script)


@then(
    "at most {most:d} requests of a process were under way at a time, and all are answered"
)
def under_way_at_most(context, most):
    assert context.process.most_under_way == most, context.process.most_under_way
    statuses = [answer.status for _, answer in context.process.outcomes]
    assert statuses == [ACCEPTED] * 20, statuses
    assert len(context.process.sent) == 20, len(context.process.sent)


@then(
    "those that were not sent are refused with a time to retry within {seconds:g} seconds"
)
def unsent_refused(context, seconds):
    refused = [row for row in context.process.outcomes if row[1].status == REFUSED]
    assert len(refused) == 20 - len(context.process.sent) > 0, context.process.outcomes
    assert all(answer.retry_after_s > 0 for _, answer in refused)
    assert all(took_s <= seconds for took_s, _ in refused), refused


@then("those that were sent are answered")
def sent_answered(context):
    statuses = [answer.status for _, answer in context.process.outcomes]
    assert statuses.count(ACCEPTED) == len(context.process.sent) > 0, statuses


@given("a relay and another process that know a leader")
def relay_and_other(context):
    context.relay, context.other = Leadership("r", 0.0, 0.5), Leadership("o", 0.0, 0.5)
    context.relay.set_relays(frozenset({"n1", "n2"}), True)
    context.other.set_relays(frozenset({"r"}), False)
    context.now = 10.0
    hear(context, status("n1", 5, "n1"))


def hear(context, report):
    """Let the relay hear the leader, and the other process the relay."""
    context.relay.record_report(report, context.now)
    relayed = replace(
        status("r", context.relay.epoch, context.relay.leader),
        leader_age_ms=0,
        leader_taking_over=context.relay.leader_taking_over,
    )
    context.other.record_report(relayed, context.now)
    context.now += 0.2


@when("the leader of a newer epoch reports that it takes over")
def reports_take_over(context):
    hear(context, replace(status("n2", 6, "n2"), taking_over=True))


@when("it reports that it leads")
def reports_leading(context):
    hear(context, status("n2", 6, "n2"))


@then("both know that it serves nobody yet")
def serves_nobody(context):
    for process in (context.relay, context.other):
        assert (process.leader, process.leader_taking_over) == ("n2", True)


@then("both know that it serves")
def both_know(context):
    for process in (context.relay, context.other):
        assert (process.leader, process.leader_taking_over) == ("n2", False)


@given("a report in the form of an older build, and one of this build")
def older_report(context):
    report = replace(status("n1", 5, "n1"), leader_taking_over=True)
    context.report = encode_envelope(Envelope("n1", "n1-1", report))
    sender, incarnation, (tag, *fields), trace = msgspec.msgpack.decode(context.report)
    # The new field is the last one.
    older = [sender, incarnation, [tag, *fields[:-1]], trace]
    context.older = msgspec.msgpack.encode(older)


@then("the first is read, and its leader counts as one that serves")
def older_is_read(context):
    message = decode_envelope(context.older).message
    assert (message.node, message.leader_taking_over) == ("n1", False), message


class _OlderStatus(msgspec.Struct, frozen=True, tag="NodeStatus", array_like=True):
    """The fields that older builds know."""

    node: str
    address: str
    hall: str
    epoch: int
    leader: str


class _OlderEnvelope(msgspec.Struct, frozen=True, array_like=True):
    sender: str
    incarnation: str
    message: _OlderStatus


@then("an older build reads the second without the new field")
def read_by_older(context):
    older = msgspec.msgpack.decode(context.report, type=_OlderEnvelope)
    assert older.message.leader == "n1", older
