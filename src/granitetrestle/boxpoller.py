"""Connection from the leader to one incarnation of a box: polls it, which also renews
its leases and acknowledges ends, and sends commands to it."""

import time
import typing as t

import anyio

from . import steadyclock
from .commandwindow import BEST_EFFORT
from .commandwindow import SHORT
from .commandwindow import URGENT
from .commandwindow import CommandWindow
from .decisions import Decision
from .decisions import PaceTask
from .decisions import StartTask
from .decisions import StopTask
from .interfaces import BoxCalls
from .interfaces import BoxNoAnswer
from .interfaces import BoxReplaced
from .interfaces import CommandNotSent
from .interfaces import CommandOutcome
from .interfaces import CommandRejected
from .interfaces import PollResult
from .interfaces import TaskCommand
from .leaderlease import LeaderLease
from .looplag import LoopLag
from .nodemetrics import NodeMetrics
from .pollbudget import PollBudget
from .pollbudget import PollParameters
from .scheduler import Scheduler

__all__ = ["BoxPoller"]

# A poll waits this long for ends to become durable, then goes out without them to renew
# the lease.
ENDS_DURABLE_TIMEOUT_S: t.Final = 0.8
# Delays after consecutive failed polls; the last one repeats.
RETRY_DELAYS_S: t.Final = (0.1, 0.2, 0.4, 0.8)
# Above this lag of its event loop a leader delays its polls, by the excess times the
# factor. The maximum keeps a lease of some seconds from lapsing.
LAG_THRESHOLD_S: t.Final = 0.04
LAG_DELAY_FACTOR: t.Final = 6.0
MAX_LAG_DELAY_S: t.Final = 0.8
# A leader that the store has not confirmed for longer relies on witnesses, which then
# answer sooner than after the usual wait for an end.
UNCONFIRMED_AGE_S: t.Final = 0.6
WITNESS_POLL_WAIT_MS: t.Final = 300
# After this many unanswered attempts, the outcome of a command is unknown.
MAX_COMMAND_ATTEMPTS: t.Final = 3


class BoxPoller:
    """Polls one incarnation of a box and sends it commands.

    :param apply: carries out the decisions that follow from an answer.
    :param leader_lease: lease under which this process decides.
    :param window: congestion window shared by all boxes on the same path.
    :param lag: lag of this process's event loop.
    :param budget: limits on polls, shared by all boxes.
    :param hall: data hall of the box.
    """

    def __init__(
        self,
        incarnation: str,
        address: str,
        epoch: int,
        boxes: BoxCalls,
        scheduler: Scheduler,
        apply: t.Callable[[list[Decision]], None],
        leader_lease: LeaderLease,
        metrics: NodeMetrics,
        window: CommandWindow,
        lag: LoopLag,
        budget: PollBudget,
        hall: str = "",
    ) -> None:
        self._hall = hall
        self._budget = budget
        self._window = window
        self._lag = lag
        self._incarnation = incarnation
        self._address = address
        self._epoch = epoch
        self._boxes = boxes
        self._scheduler = scheduler
        self._apply = apply
        self._leader_lease = leader_lease
        self._metrics = metrics
        self._durable = anyio.Event()
        self._task_assigned = anyio.Event()
        self._scope = anyio.CancelScope()

    def stop(self) -> None:
        """Stop polling."""
        self._scope.cancel()

    def mark_ends_durable(self, number: int) -> None:
        """Record that ends up to ``number`` are durable, so the box may drop them."""
        box = self._scheduler.state.boxes.get(self._incarnation)
        if box is not None:
            box.durable_end = max(box.durable_end, number)
            self._durable.set()

    async def run(self) -> None:
        """Poll the box until stopped."""
        with self._scope:
            await self._poll_repeatedly()
        self._budget.remove(self._incarnation)

    async def _poll_repeatedly(self) -> None:
        failures = 0
        while (parameters := await self._poll()) is not None:
            box = self._scheduler.state.boxes.get(self._incarnation)
            if box is None:
                return
            if box.silent_since is not None:
                await anyio.sleep(
                    RETRY_DELAYS_S[min(failures, len(RETRY_DELAYS_S) - 1)]
                )
                failures += 1
                continue
            failures = 0
            if box.applied_end > box.durable_end:
                with anyio.move_on_after(ENDS_DURABLE_TIMEOUT_S):
                    await self._durable.wait()
            self._durable = anyio.Event()
            await self._wait_for_next_poll(parameters)
            await self._delay_when_lagging()

    async def _wait_for_next_poll(self, parameters: PollParameters) -> None:
        """Pause between polls. A box that gets a task is polled again at once, also if
        the task came during the last poll: its lease must not lapse."""
        if not parameters.pause_s:
            return
        box = self._scheduler.state.boxes.get(self._incarnation)
        busy = box is not None and bool(box.tasks)
        if busy and parameters.idle:
            return
        self._task_assigned = anyio.Event()
        with anyio.move_on_after(parameters.pause_s):
            if busy:
                await anyio.sleep(parameters.pause_s)
            else:
                await self._task_assigned.wait()

    async def _delay_when_lagging(self) -> None:
        """Poll less often while this process can't keep up: commands come first, since
        ends that are seen a little later cost less than starts that wait."""
        lag_s = self._lag.lag_s
        if lag_s > LAG_THRESHOLD_S:
            await anyio.sleep(
                min(MAX_LAG_DELAY_S, LAG_DELAY_FACTOR * (lag_s - LAG_THRESHOLD_S))
            )

    async def _poll(self) -> PollParameters | None:
        """Poll once; return the parameters used, or ``None`` if the box is gone."""
        box = self._scheduler.state.boxes.get(self._incarnation)
        if box is None:
            return None
        witness = self._is_witness
        priority = self._budget.contact_priority(box, witness)
        if priority is None:
            parameters = self._budget.parameters(box, witness)
            return parameters if await self._poll_once(parameters.long_poll) else None
        async with self._budget.contact_window.turn(
            priority, self._incarnation
        ) as turn:
            if not await self._poll_once(long_poll=False):
                return None
            box = self._scheduler.state.boxes.get(self._incarnation)
            answered = box is not None and box.silent_since is None
            turn.finish(answered, time.monotonic())
        return PollParameters(False, 0.0, False)

    async def _poll_once(self, long_poll: bool) -> bool:
        sent, sent_at = time.monotonic(), steadyclock.now()
        plan = self._scheduler.fleet.plan_poll(
            self._incarnation, sent, self._leader_lease.renewal_age_s()
        )
        if plan is None:
            return False
        wait_ms = plan.wait_ms if long_poll else 0
        if self._witnesses_needed:
            wait_ms = min(wait_ms, WITNESS_POLL_WAIT_MS)
        if wait_ms:
            self._budget.add_long_poll()
        try:
            outcome = await self._boxes.poll(
                self._incarnation,
                plan.address,
                self._epoch,
                plan.acknowledged_end,
                plan.lease_ends_ms,
                wait_ms,
            )
        finally:
            if wait_ms:
                self._budget.remove_long_poll()
        now = time.monotonic()
        self._metrics.polls += 1
        if isinstance(outcome, PollResult) and outcome.ended:
            self._metrics.count("ends_listed", len(outcome.ended))
        self._apply(
            self._scheduler.fleet.handle_poll_outcome(
                self._incarnation, sent, now, outcome
            )
        )
        if isinstance(outcome, PollResult):
            leases = self._scheduler.fleet.leases
            self._apply(leases.record_accepted(self._incarnation, sent_at, now))
        return True

    @property
    def _is_witness(self) -> bool:
        return self._scheduler.state.witnesses.is_member(self._incarnation)

    @property
    def _witnesses_needed(self) -> bool:
        """Whether leases are renewed on the word of this box and other witnesses."""
        return self._is_witness and self._leader_lease.age_s() > UNCONFIRMED_AGE_S

    async def execute(self, command: StartTask | StopTask | PaceTask) -> None:
        """Send a command and report its outcome to the scheduler."""
        if isinstance(command, StartTask):
            await self._start(command)
        elif isinstance(command, StopTask):
            await self._stop(command)
        else:
            await self._pace(command)

    async def _start(self, command: StartTask) -> None:
        self._task_assigned.set()

        async def send() -> CommandOutcome:
            box = self._scheduler.state.boxes.get(self._incarnation)
            lease_ends_ms = None
            if not self._scheduler.confirm_start(command, time.monotonic()):
                return CommandNotSent("withdrawn")
            if box is not None:
                lease_ends_ms = self._scheduler.fleet.leases.renew(
                    box, time.monotonic(), self._leader_lease.renewal_age_s()
                )
            if lease_ends_ms is None:
                return CommandNotSent("no lease can be given")
            self._metrics.observe("start_right_age", self._leader_lease.age_s())
            return await self._boxes.start(
                self._task_command(command),
                self._epoch,
                command.spec,
                lease_ends_ms,
                command.checkpoint,
                command.ticket,
            )

        began = time.monotonic()
        outcome = await self._send_with_retries(
            send, BEST_EFFORT if command.best_effort else SHORT
        )
        now = time.monotonic()
        self._metrics.observe("order", now - began)
        self._apply(
            self._scheduler.handle_start_outcome(
                self._incarnation, command.task, command.run, outcome, now
            )
        )

    async def _stop(self, command: StopTask) -> None:
        async def send() -> CommandOutcome:
            return await self._boxes.stop(self._task_command(command), self._epoch)

        outcome = await self._send_with_retries(send, URGENT)
        self._apply(
            self._scheduler.handle_stop_outcome(
                self._incarnation, command.task, command.run, outcome, time.monotonic()
            )
        )

    async def _pace(self, command: PaceTask) -> None:
        async def send() -> CommandOutcome:
            return await self._boxes.pace(
                self._task_command(command), self._epoch, command.percent
            )

        if isinstance(await self._send_once(send, URGENT), BoxNoAnswer):
            self._scheduler.mark_pace_unknown(command)

    def _task_command(self, command: StartTask | StopTask | PaceTask) -> TaskCommand:
        return TaskCommand(self._incarnation, self._address, command.task, command.run)

    async def _send_with_retries(
        self, send: t.Callable[[], t.Awaitable[CommandOutcome]], priority: int
    ) -> CommandOutcome:
        unanswered = sent = False
        outcome: CommandOutcome = BoxNoAnswer("not sent")
        for _ in range(MAX_COMMAND_ATTEMPTS):
            outcome = await self._send_once(send, priority)
            if not isinstance(outcome, BoxNoAnswer):
                break
            unanswered = True
            sent = sent or outcome.sent
        if isinstance(outcome, BoxNoAnswer):
            return outcome._replace(sent=sent)
        if isinstance(outcome, BoxReplaced):
            return BoxReplaced(reached=sent)
        return self._after_lost_attempt(outcome) if unanswered else outcome

    async def _send_once(
        self, send: t.Callable[[], t.Awaitable[CommandOutcome]], priority: int
    ) -> CommandOutcome:
        # A stop is final whoever leads, and a pace starts nothing; a start needs proof
        # that this process still leads.
        needs_leader_lease = priority != URGENT
        while True:
            if needs_leader_lease:
                await self._leader_lease.wait_until_valid()
            async with self._window.turn(
                priority, self._incarnation, self._hall
            ) as turn:
                if needs_leader_lease and not self._leader_lease.is_valid():
                    # Frees the turn for others: changes of pace waited behind starts
                    # otherwise.
                    continue
                outcome = await send()
                if not isinstance(outcome, CommandNotSent):
                    turn.finish(not isinstance(outcome, BoxNoAnswer), time.monotonic())
                return outcome

    @staticmethod
    def _after_lost_attempt(outcome: CommandOutcome) -> CommandOutcome:
        """A refusal does not prove that an earlier attempt will not be carried out."""
        if isinstance(outcome, CommandNotSent):
            return BoxNoAnswer(f"{outcome.reason} after an attempt without answer")
        if isinstance(outcome, CommandRejected) and outcome.reason != "fence":
            return BoxNoAnswer(
                f"refused after an attempt without answer: {outcome.reason}"
            )
        return outcome
