"""The reducer of one shard: which job is taken, where each task runs, what is
stopped. It reads no clock, draws no random numbers and does no I/O; what happens
comes in as calls with the time, decisions go out as data. Its parts share one
:class:`~.shardstate.ShardState`."""

import typing as t

from .decisions import AnswerCall
from .decisions import AskAdvice
from .decisions import Decision
from .decisions import LogEvent
from .decisions import PaceTask
from .decisions import StartTask
from .decisions import StepDown
from .dispatch import UNLIMITED_STARTS
from .dispatch import Dispatcher
from .evacuation import Evacuation
from .fleet import Fleet
from .interfaces import Advice
from .interfaces import AdviceUnavailable
from .interfaces import BoxNoAnswer
from .interfaces import BoxReplaced
from .interfaces import CommandAccepted
from .interfaces import CommandNotSent
from .interfaces import CommandOutcome
from .interfaces import CommandRejected
from .interfaces import Config
from .interfaces import Record
from .jobcalls import CancelJob
from .jobcalls import Cancelled
from .jobcalls import CountWaiting
from .jobcalls import GetState
from .jobcalls import JobAccepted
from .jobcalls import JobCall
from .jobcalls import JobOutcome
from .jobcalls import JobState
from .jobcalls import NoSuchJob
from .jobcalls import SubmitJob
from .jobcalls import WaitingCount
from .longrunningwaits import LongRunningWaits
from .packing import Packer
from .progress import Progress
from .shardstate import SchedulerParameters
from .shardstate import ShardState
from .slices import SlicedWork
from .slices import run_to_completion
from .workflows import RUNNING
from .workflows import STARTING
from .workflows import STOPPING
from .workflows import Task
from .workflows import Workflow

__all__ = ["Scheduler"]

# After a box refuses for lack of room, or says that it is unwell, it gets nothing
# new for so long: one look's time, by which its own account is known.
REJECTION_PAUSE_S: t.Final = 0.5
UNHEALTHY_PAUSE_S: t.Final = 1.5
# Pace of a task whose last order of pace was not answered: any other differs from it.
UNKNOWN_PACE_PERCENT: t.Final = -1
# How often ended jobs are looked through for those nobody may ask about any more.
RETENTION_SWEEP_INTERVAL_S: t.Final = 2.0
# What was learnt of images is written this often; a successor loses no more than that.
INTERFERENCE_WRITE_INTERVAL_S: t.Final = 3.0


class Scheduler:
    """State of one shard and its step functions."""

    def __init__(
        self, parameters: SchedulerParameters, now: float, packer: Packer | None = None
    ) -> None:
        self._state = ShardState(parameters)
        self._progress = Progress(self._state)
        self._fleet = Fleet(self._state, self._progress, now)
        self._dispatcher = Dispatcher(self._state, self._progress, packer, now)
        self._evacuation = Evacuation(self._state)
        self._long_running_waits = LongRunningWaits(self._state)
        self._swept_at = now
        self._interference_written_at = now
        self._doubtful: list[Workflow] = []

    @property
    def state(self) -> ShardState:
        """Jobs, boxes and configuration."""
        return self._state

    @property
    def fleet(self) -> Fleet:
        """Boxes and their leases."""
        return self._fleet

    @property
    def evacuation(self) -> Evacuation:
        """Operators' orders about data halls."""
        return self._evacuation

    @property
    def long_running_waits(self) -> LongRunningWaits:
        """Why lasting work waits."""
        return self._long_running_waits

    @property
    def dispatcher(self) -> Dispatcher:
        """What places tasks."""
        return self._dispatcher

    @property
    def has_writes(self) -> bool:
        """Whether decisions wait to be written."""
        return self._state.has_writes

    def take_writes(self) -> list[Record]:
        """Return the records to write for what was decided since the last call."""
        return self._state.take_writes()

    def restore(self, records: t.Iterable[Record], now: float) -> list[Decision]:
        """Go on from what a predecessor wrote."""
        return run_to_completion(self.restore_in_slices(records, now))

    def restore_in_slices(
        self, records: t.Iterable[Record], now: float
    ) -> SlicedWork[list[Decision]]:
        """Go on from what a predecessor wrote, a little at a step."""
        restored = yield from self._state.restore(records, now)
        self._doubtful = restored.with_unreadable_progress
        for workflow in self._state.workflows.values():
            self._dispatcher.record_submission(workflow)
            if not workflow.terminal and workflow not in self._doubtful:
                self._state.enqueue_ready_steps(workflow, now)
            yield
        return [
            LogEvent("record_unreadable", error.key, {"error": error.message})
            for error in restored.unreadable
        ]

    def _enqueue_doubtful(self, now: float) -> None:
        """Let jobs go on whose progress could not be read, once nothing that their
        tasks ran on can hold a lease any more: a start before might be a second run."""
        if self._doubtful and now > self._fleet.inherited_leases_end:
            for workflow in self._doubtful:
                if not workflow.terminal:
                    self._state.enqueue_ready_steps(workflow, now)
            self._doubtful = []

    def apply_config(self, config: Config) -> list[Decision]:
        """Put a configuration in force, unless a newer one is."""
        current = self._state.config
        if current is not None and config.version <= current.version:
            return []
        self._state.config = config
        self._state.queues = {queue.name: queue for queue in config.queues}
        inputs = {"version": config.version, "queues": len(config.queues)}
        return [LogEvent("config_in_force", "config", inputs)]

    def handle_call(self, request: str, call: JobCall, now: float) -> list[Decision]:
        """Apply what a client account asks."""
        if isinstance(call, SubmitJob):
            return self._submit(request, call, now)
        if isinstance(call, CancelJob):
            return self._cancel(request, call, now)
        return [AnswerCall(request, self._query(call))]

    def _query(self, call: GetState | CountWaiting) -> JobOutcome:
        if isinstance(call, CountWaiting):
            return WaitingCount(self._waiting_jobs(call.queue))
        workflow = self._state.workflows.get(call.job)
        return NoSuchJob() if workflow is None else JobState(workflow.state)

    def _waiting_jobs(self, queue: str) -> int:
        return sum(
            workflow.state == "queued" and workflow.submission.queue == queue
            for workflow in self._state.workflows.values()
        )

    def _submit(self, request: str, call: SubmitJob, now: float) -> list[Decision]:
        submission = call.submission
        answer = AnswerCall(request, JobAccepted())
        if submission.job in self._state.workflows:
            return [answer]
        workflow = self._state.add(submission, now)
        self._dispatcher.record_submission(workflow)
        self._state.enqueue_ready_steps(workflow, now)
        tasks = sum(step.count for step in submission.steps)
        inputs = {"queue": submission.queue, "tasks": tasks}
        return [LogEvent("job_taken", submission.job, inputs), answer]

    def _cancel(self, request: str, call: CancelJob, now: float) -> list[Decision]:
        workflow = self._state.workflows.get(call.job)
        if workflow is None:
            return [AnswerCall(request, NoSuchJob())]
        effects: list[Decision] = []
        if not workflow.terminal:
            effects = self._progress.end(workflow, "cancelled", now, {"by": request})
        return [*effects, AnswerCall(request, Cancelled())]

    def decide(
        self, now: float, wall_ms: int, max_starts: int = UNLIMITED_STARTS
    ) -> list[Decision]:
        """Place what waits, and take back what must have ended.

        :param wall_ms: time of day in ms since 1970, for timed jobs.
        :param most_starts: orders that can be sent soon; a task that would wait for its
            turn to be sent keeps its place in the order of urgency instead.
        """
        effects = self._fleet.expire_leases(now)
        effects += self._fleet.reclaim_orphaned_tasks(now)
        self._enqueue_doubtful(now)
        if now - self._swept_at > RETENTION_SWEEP_INTERVAL_S:
            self._swept_at = now
            self._sweep(now)
            effects += self._fleet.discard_lease_records()
        if now - self._interference_written_at > INTERFERENCE_WRITE_INTERVAL_S:
            self._interference_written_at = now
            self._state.record_interference()
        effects += self._long_running_waits.report(
            self._dispatcher.headroom,
            max_starts,
            self._fleet.inherited_lease_end,
            now,
        )
        effects += self._evacuation.report_held_starts(now)
        if not self._evacuation.up_to_date(now):
            return effects
        effects += self._dispatcher.move_slowed(now)
        return effects + self._dispatcher.place(now, wall_ms, max_starts)

    def _sweep(self, now: float) -> None:
        keep = self._state.parameters.keep_s
        for job, workflow in list(self._state.workflows.items()):
            if not workflow.terminal:
                continue
            if not workflow.retired:
                if not any(task.placed for task in workflow.tasks.values()):
                    self._state.retire(workflow)
            elif now - workflow.ended_at >= keep:
                self._state.drop(job)

    def apply_advice(
        self, asked: AskAdvice, advice: Advice | AdviceUnavailable, now: float
    ) -> list[Decision]:
        """Apply what came of asking which boxes may run a step."""
        return self._dispatcher.apply_advice(asked, advice, now)

    def confirm_start(self, command: StartTask, now: float) -> bool:
        """Say whether a start that was held back should still be sent, which it then is:
        meanwhile the task may have been stopped, or have gone to another box, or the box
        leaves or its room shrank, or its data hall was evacuated, or nobody knows whether
        it was."""
        task = self._state.find_task(command.task)
        if task is None or task.run != command.run or task.box != command.incarnation:
            return False
        box = self._state.boxes.get(command.incarnation)
        if box is not None and (box.entry.draining or box.evacuated or box.over_room):
            return False
        wanted = task.state == STARTING and self._evacuation.up_to_date(now)
        task.sent = task.sent or wanted
        return wanted

    def handle_start_outcome(
        self, incarnation: str, name: str, run: int, outcome: CommandOutcome, now: float
    ) -> list[Decision]:
        """Apply what came of a start; ``BoxNoAnswer`` leaves it in doubt."""
        task = self._state.find_task(name)
        current = task is not None and task.run == run and task.box == incarnation
        if isinstance(outcome, BoxReplaced):
            if task is not None and current:
                task.sent = outcome.reached
            return self._fleet.mark_ended(incarnation, "another life answered", now)
        if task is None or not current:
            return []
        if isinstance(outcome, CommandAccepted):
            if task.state == STARTING:
                task.mark_running(now)
                box = self._state.boxes.get(incarnation)
                if box is not None and task.spec.best_effort and box.serving:
                    # What it disturbs should not wait for the next look.
                    return self._fleet.repace(box, now)
            return []
        if isinstance(outcome, CommandRejected):
            return self._start_rejected(incarnation, task, outcome, now)
        if task.state != STARTING:
            return []
        inputs = {"run": run, "box": incarnation, "reason": outcome.reason}
        if isinstance(outcome, CommandNotSent):
            self._progress.requeue(task, now)
            event = LogEvent("start_withdrawn", name, inputs)
            return [event, *self._stop_gang(task, now)]
        if isinstance(outcome, BoxNoAnswer) and not outcome.sent:
            task.sent = False
        event = LogEvent("start_in_doubt", name, inputs)
        return [event, *self._progress.stop(task, now)]

    def _stop_gang(self, task: Task, now: float) -> list[Decision]:
        """Stop what else of a gang was placed with a member that never starts: it would
        wait for it in vain."""
        if not task.spec.gang:
            return []
        effects: list[Decision] = []
        for member in task.workflow.step_tasks(task.occurrence, task.step):
            if member.state in (STARTING, RUNNING) and member.run == task.run:
                effects += self._progress.stop(member, now)
        return effects

    def _start_rejected(
        self, incarnation: str, task: Task, outcome: CommandRejected, now: float
    ) -> list[Decision]:
        if outcome.reason == "fence":
            return [StepDown(incarnation)]
        if task.state not in (STARTING, STOPPING):
            return []
        inputs = {"run": task.run, "box": incarnation, "reason": outcome.reason}
        self._progress.requeue(task, now)
        box = self._state.boxes.get(incarnation)
        if box is not None:
            unwell = outcome.reason == "unhealthy"
            pause = UNHEALTHY_PAUSE_S if unwell else REJECTION_PAUSE_S
            box.pause(pause, now)
        return [LogEvent("start_rejected", task.name, inputs)]

    def handle_stop_outcome(
        self, incarnation: str, name: str, run: int, outcome: CommandOutcome, now: float
    ) -> list[Decision]:
        """Apply what came of a stop."""
        if isinstance(outcome, BoxReplaced):
            return self._fleet.mark_ended(incarnation, "another life answered", now)
        if isinstance(outcome, CommandRejected) and outcome.reason == "fence":
            return [StepDown(incarnation)]
        task = self._state.find_task(name)
        current = task is not None and task.run == run and task.box == incarnation
        # A box that says it is unwell has done nothing: an order to start that got no answer
        # may be carried out still, after another run is done.
        refused = isinstance(outcome, CommandRejected) and outcome.reason != "unhealthy"
        answered = isinstance(outcome, CommandAccepted) or refused
        if task is not None and current and answered and task.state == STOPPING:
            task.confirmed_at = now
        return []

    def mark_pace_unknown(self, command: PaceTask) -> None:
        """Let the next look order a pace again that may not have arrived."""
        task = self._state.find_task(command.task)
        if task is not None and task.run == command.run:
            task.pace = UNKNOWN_PACE_PERCENT
