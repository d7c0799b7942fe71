"""Steps of the scenarios on a leader that answers no requests."""

import collections
import time

import anyio
from behave import given
from behave import then
from behave import when

from granitetrestle.forwarding import ClientCall
from granitetrestle.forwarding import Forwarding
from granitetrestle.forwarding import Target
from granitetrestle.forwardwindow import ForwardWindow
from granitetrestle.messages import CallAnswered

REFUSED, OUTCOME_UNKNOWN = 503, 504


class ForwardingProcess:
    """A process that forwards requests to a leader, which receives them."""

    def __init__(self):
        self.forwarding = Forwarding(
            "me", "127.0.0.1:1", self.send, self.answer_locally, ForwardWindow(1e9)
        )
        self.target = Target("leader", 1)
        self.answers = False
        self.forwarded = []
        self.outcomes = []

    def send(self, node, message):
        self.forwarded.append((time.monotonic(), message.number))
        if self.answers:
            answered = CallAnswered(message.number, 200, b"", 0, "")
            self.forwarding.record_answer(answered)
        return True

    async def answer_locally(self, call):
        raise AssertionError("another process is the leader")

    async def client(self, left_s):
        started = time.monotonic()
        call = ClientCall("POST", "h", "/q/1", b"")
        answer = await self.forwarding.serve(call, left_s, lambda: self.target)
        now = time.monotonic()
        self.outcomes.append((started - self.started, now - started, answer))

    def send_requests(self, count, every_s, left_s):
        self.outcomes, self.forwarded, self.started = [], [], time.monotonic()

        async def script():
            async with anyio.create_task_group() as tasks:
                for _ in range(count):
                    tasks.start_soon(self.client, left_s)
                    await anyio.sleep(every_s)

        anyio.run(script)


@given("a process whose leader receives requests and answers none")
def process(context):
    context.process = ForwardingProcess()


@when(
    "{count:d} clients arrive, one each {every:g} seconds, with {left:g} seconds each"
)
def clients_come(context, count, every, left):
    context.process.send_requests(count, every, left)


@then(
    "only those of the first {span:g} seconds get an unknown outcome, the others are "
    "refused at once"
)
def refused_at_once(context, span):
    later = [row for row in context.process.outcomes if row[0] > span]
    refused = [row for row in later if row[2].status == REFUSED]
    assert len(refused) >= 0.7 * len(later), (len(refused), len(later))
    assert all(duration_s < 0.1 for _, duration_s, _ in refused)
    early = [row for row in context.process.outcomes if row[0] < 1.2]
    assert {answer.status for _, _, answer in early} == {OUTCOME_UNKNOWN}


@then(
    "they are told to retry after 1, 2 or 3 seconds, and {rate:d} a second are still "
    "forwarded"
)
def retry_delays_and_rate(context, rate):
    outcomes = context.process.outcomes
    retry_delays = collections.Counter(
        answer.retry_after_s for _, _, answer in outcomes if answer.status == REFUSED
    )
    assert set(retry_delays) == {1, 2, 3}, retry_delays
    late = {
        n for at, n in context.process.forwarded if at - context.process.started > 1.4
    }
    early = {
        n for at, n in context.process.forwarded if at - context.process.started <= 1.4
    }
    seconds = 40 * 0.1 - 1.4
    assert 1 <= len(late - early) <= rate * seconds + 2, len(late - early)


@then("nobody was refused")
def nobody_refused(context):
    statuses = {answer.status for _, _, answer in context.process.outcomes}
    assert statuses == {OUTCOME_UNKNOWN}, statuses


@when("the leader answers again")
def answers_again(context):
    context.process.answers = True
    # The first probe request that is answered lifts the refusal.
    context.process.send_requests(8, 0.1, 3.0)


@when("another leader is known that answers")
def another_leader(context):
    context.process.target = Target("another", 2)
    context.process.answers = True


@then("every client that arrives is answered within 1 second")
def all_answered_soon(context):
    context.process.send_requests(10, 0.05, 3.0)
    for _, duration_s, answer in context.process.outcomes:
        assert answer.status == 200 and duration_s < 1.0, (answer, duration_s)
