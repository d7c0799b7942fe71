"""The scheduler of one shard: accepts jobs, places tasks on boxes and stops them.

It is deterministic: it reads no clock, draws no random numbers and does no I/O. Events
are passed in as calls with the time, and decisions are returned as data. Its parts share
one :class:`~.shardstate.ShardState`."""

import typing as t

from .decisions import AnswerCall
from .decisions import AskAdvice
from .decisions import Decision
from .decisions import LogEvent
from .decisions import PaceTask
from .decisions import StartTask
from .decisions import StepDown
from .dispatch import Dispatcher
from .evacuation import Evacuation
from .failureways import FailureWay
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
from .jobcalls import JobRefused
from .jobcalls import JobState
from .jobcalls import NoSuchJob
from .jobcalls import SubmitJob
from .jobcalls import WaitingCount
from .longrunningwaits import LongRunningWaits
from .longrunningwaits import wait_over_events
from .mechanisms import Mechanism
from .packing import Packer
from .progress import Progress
from .roomaccount import RoomAccount
from .shardstate import SchedulerParameters
from .shardstate import ShardState
from .slices import SlicedWork
from .slices import run_to_completion
from .slowmoves import SlowTaskMoves
from .startlimits import StartLimits
from .statedigest import LeaderMark
from .workflows import RUNNING
from .workflows import STARTING
from .workflows import STOPPING
from .workflows import Task
from .workflows import Workflow

__all__ = ["Scheduler"]

# How long a box gets no new tasks after it rejected one for lack of room, or as
# unhealthy. The next poll, which shows the state of the box, fits in.
REJECTION_PAUSE_S: t.Final = 0.5
UNHEALTHY_PAUSE_S: t.Final = 1.5
# Pace of a task whose last pace command got no answer. It differs from every real pace,
# so the next poll sends a command again.
UNKNOWN_PACE_PERCENT: t.Final = -1
# How often ended jobs are checked for those that are past their retention time, and the
# shard time is written. A change of leader leaves no more than this out of shard time.
RETENTION_SWEEP_INTERVAL_S: t.Final = 1.0
# How often learned interference is written. A successor loses no more than this.
INTERFERENCE_WRITE_INTERVAL_S: t.Final = 3.0


class Scheduler:
    """Applies events to the state of one shard and returns decisions."""

    def __init__(
        self, parameters: SchedulerParameters, now: float, packer: Packer | None = None
    ) -> None:
        self._state = ShardState(parameters)
        self._progress = Progress(self._state)
        self._fleet = Fleet(self._state, self._progress, now)
        self._dispatcher = Dispatcher(self._state, packer)
        self._slow_moves = SlowTaskMoves(self._state, self._progress, now)
        self._evacuation = Evacuation(self._state)
        self._long_running_waits = LongRunningWaits(self._state)
        self._room = RoomAccount(self._state, now)
        self._swept_at = now
        self._interference_written_at = now
        # Jobs whose progress could not be read at the take-over.
        self._doubtful: list[Workflow] = []
        self._stopped_starting = False

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
        """Operators' directives about data halls."""
        return self._evacuation

    @property
    def long_running_waits(self) -> LongRunningWaits:
        """Reports why long-running tasks wait."""
        return self._long_running_waits

    @property
    def room(self) -> RoomAccount:
        """Account of the boxes' processor time."""
        return self._room

    @property
    def dispatcher(self) -> Dispatcher:
        """Places tasks on boxes."""
        return self._dispatcher

    @property
    def has_writes(self) -> bool:
        """Whether records of decisions have to be written."""
        return self._state.has_writes

    def take_writes(self) -> list[Record]:
        """Return the records of what was decided since the last call."""
        return self._state.take_writes()

    def restore(
        self, records: t.Iterable[Record], now: float, mark: LeaderMark | None = None
    ) -> list[Decision]:
        """Restore the state from a predecessor's records."""
        return run_to_completion(self.restore_in_slices(records, now, mark))

    def restore_in_slices(
        self,
        records: t.Iterable[Record],
        now: float,
        mark: LeaderMark | None = None,
        records_lost: bool = False,
    ) -> SlicedWork[list[Decision]]:
        """Restore the state from a predecessor's records, a part at each step.

        :param mark: the predecessor's last statement about leases, if it is proved.
        :param records_lost: whether some records are missing.
        """
        restored = yield from self._state.restore(records, now)
        if not records_lost:
            # Otherwise the records that are missing may be of later renewals.
            self._fleet.leases.restore(mark, restored.leases_left)
        self._doubtful = restored.with_unreadable_progress
        for workflow in self._state.workflows.values():
            self._dispatcher.record_submission(workflow)
            if not workflow.terminal and workflow not in self._doubtful:
                self._state.enqueue_ready_steps(workflow, now)
            yield
        events: list[Decision] = [
            LogEvent("record_unreadable", error.key, {"error": error.message})
            for error in restored.unreadable
        ]
        for workflow in restored.set_aside:
            submission = workflow.submission
            inputs = {
                "by": FailureWay.LEADER_FAILURES,
                "queue": submission.queue,
                "state": workflow.state,
                "failed_epochs": self._state.jobs_apart.failed_epochs.get(
                    submission.job, ()
                ),
            }
            events.append(LogEvent("job_set_aside", submission.job, inputs))
        for workflow in self._state.workflows.values():
            if workflow.held_back:
                submission = workflow.submission
                inputs = {"queue": submission.queue, "state": workflow.state}
                events.append(LogEvent("job_held_back", submission.job, inputs))
        return events

    def stop_starting(self) -> None:
        """Start and move no more tasks, since this leader is about to resign."""
        self._stopped_starting = True

    def resign(self, now: float) -> None:
        """Grant and renew no lease any more; a successor may start what waits."""
        self.stop_starting()
        self._fleet.leases.resign(now)
        # Ages go on from here; otherwise each hand-over would take up to a second off.
        self._state.record_time(now)

    def leader_mark(self, epoch: int, end: int, now: float) -> LeaderMark:
        """Return what this leader states about leases with an append; see
        :meth:`.BoxLeases.mark`."""
        anywhere = bool(self._doubtful or self._state.jobs_apart.held_back)
        return self._fleet.leases.mark(epoch, end, now, anywhere=anywhere)

    def _enqueue_doubtful(self, now: float) -> None:
        """Enqueue jobs whose progress could not be read, once every lease of a
        predecessor has expired: an earlier start might be a second run of a task."""
        inherited = self._fleet.leases.inherited
        latest_end = max(inherited.latest_end, inherited.latest_recorded_end)
        if self._doubtful and now > latest_end:
            for workflow in self._doubtful:
                if not workflow.terminal:
                    self._state.enqueue_ready_steps(workflow, now)
            self._doubtful = []

    def apply_config(self, config: Config) -> list[Decision]:
        """Apply a configuration unless one of the same or a newer version is in force."""
        current = self._state.config
        if current is not None and config.version <= current.version:
            return []
        self._state.config = config
        self._state.apply_queues(config.queues)
        inputs = {"version": config.version, "queues": len(config.queues)}
        return [LogEvent("config_in_force", "config", inputs)]

    def handle_call(self, request: str, call: JobCall, now: float) -> list[Decision]:
        """Apply a call of a client account."""
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
        if submission.job in self._state.early_cancels:
            return [AnswerCall(request, JobRefused("cancelled before it came"))]
        if any(submission.job in jobs for jobs in self._state.jobs_apart):
            return [AnswerCall(request, JobRefused("leaders have failed at it"))]
        workflow = self._state.add(submission, now)
        self._dispatcher.record_submission(workflow)
        self._state.enqueue_ready_steps(workflow, now)
        tasks = sum(step.count for step in submission.steps)
        inputs = {"queue": submission.queue, "tasks": tasks}
        return [LogEvent("job_taken", submission.job, inputs), answer]

    def _cancel(self, request: str, call: CancelJob, now: float) -> list[Decision]:
        workflow = self._state.workflows.get(call.job)
        if workflow is None:
            self._state.early_cancels.add(call.job, now)
            return [AnswerCall(request, NoSuchJob())]
        effects: list[Decision] = []
        if not workflow.terminal:
            effects = self._progress.end(workflow, "cancelled", now, {"by": request})
        return [*effects, AnswerCall(request, Cancelled())]

    def fail_unrecorded(self, job: str, now: float) -> list[Decision]:
        """End a job of which the store refuses a record."""
        workflow = self._state.workflows.get(job)
        if workflow is None or workflow.terminal:
            return []
        inputs = {
            "by": FailureWay.REFUSED_RECORD,
            "why": "the store refuses its records",
        }
        return self._progress.end(workflow, "failed", now, inputs)

    def decide(
        self, now: float, wall_ms: int, limits: StartLimits | None = None
    ) -> list[Decision]:
        """Place waiting tasks, and requeue tasks whose leases have expired.

        :param wall_ms: Unix time in ms, for timed jobs.
        :param limits: how many commands can be sent soon. Any further task stays in
            the queue, ordered by urgency, rather than wait to be sent.
        """
        limits = limits or StartLimits()
        effects = self._fleet.expire_leases(now)
        effects += self._fleet.reclaim_orphaned_tasks(now)
        # Before tasks are placed: what is proved now is not started once more.
        effects += self._fleet.weigh_losses(now)
        effects += self._fleet.leases.update_panel(now)
        self._enqueue_doubtful(now)
        if now - self._swept_at > RETENTION_SWEEP_INTERVAL_S:
            self._swept_at = now
            self._sweep(now)
            effects += self._fleet.leases.discard_records()
        if now - self._interference_written_at > INTERFERENCE_WRITE_INTERVAL_S:
            self._interference_written_at = now
            self._state.record_interference()
        effects += self._long_running_waits.report(
            self._dispatcher.headroom,
            self._dispatcher.room_takers,
            limits.total,
            self._fleet.leases.inherited.end,
            now,
        )
        effects += self._evacuation.report_held_starts(now)
        if self._state.is_enabled(Mechanism.ROOM_ACCOUNT):
            effects += self._room.update(limits, now)
        if self._stopped_starting or not self._evacuation.up_to_date(now):
            return effects
        effects += self._slow_moves.move(now)
        return effects + self._dispatcher.place(now, wall_ms, limits)

    def _sweep(self, now: float) -> None:
        keep = self._state.parameters.keep_s
        self._state.early_cancels.discard_expired(now)
        if self._state.workflows:
            self._state.record_time(now)
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
        """Apply the advisor's answer, or its failure, to a request for advice."""
        return self._dispatcher.apply_advice(asked, advice, now)

    def confirm_start(self, command: StartTask, now: float) -> bool:
        """Return whether a delayed start should still be sent, and if so mark it as
        sent. In the meantime the task may have been stopped or placed on another box, the
        box may be draining or its capacity may have shrunk, or its data hall may have
        been evacuated, or the directives about it may be out of date."""
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
        """Apply the outcome of a start; after ``BoxNoAnswer`` it is in doubt."""
        task = self._state.find_task(name)
        current = task is not None and task.run == run and task.box == incarnation
        if isinstance(outcome, BoxReplaced):
            if task is not None and current:
                task.sent = outcome.reached
            return self._fleet.mark_ended(
                incarnation, "another incarnation answered", now
            )
        if task is None or not current:
            return []
        if isinstance(outcome, CommandAccepted):
            if task.state != STARTING:
                return []
            task.mark_running(now)
            box = self._state.boxes.get(incarnation)
            if box is not None and task.spec.best_effort and box.serving:
                # Serving tasks that it slows should not wait for the next poll.
                return self._fleet.repace(box, now)
            return list(wait_over_events(task))
        if isinstance(outcome, CommandRejected):
            return self._start_rejected(incarnation, task, outcome, now)
        if task.state != STARTING:
            return []
        inputs = {"run": run, "box": incarnation, "reason": outcome.reason}
        unsent = isinstance(outcome, BoxNoAnswer) and not outcome.sent
        if unsent or isinstance(outcome, CommandNotSent):
            # If the task stayed on the box, a successor could not tell this start from
            # one that crashed the box.
            self._progress.requeue(task, now)
            box = self._state.boxes.get(incarnation)
            if unsent and box is not None:
                box.pause(REJECTION_PAUSE_S, now)
            event = LogEvent("start_withdrawn", name, inputs)
            return [event, *self._stop_gang(task, now)]
        event = LogEvent("start_in_doubt", name, inputs)
        return [event, *self._progress.stop(task, now)]

    def _stop_gang(self, task: Task, now: float) -> list[Decision]:
        """Stop the other members of a gang when one of them will not start: they would
        wait for it without end."""
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
        if outcome.reason == "ticket":
            waiting = self._state.find_waiting(task)
            if waiting is not None:
                waiting.advice.discard_ticket(incarnation)
        box = self._state.boxes.get(incarnation)
        if box is not None:
            unwell = outcome.reason == "unhealthy"
            pause = UNHEALTHY_PAUSE_S if unwell else REJECTION_PAUSE_S
            box.pause(pause, now)
        return [LogEvent("start_rejected", task.name, inputs)]

    def handle_stop_outcome(
        self, incarnation: str, name: str, run: int, outcome: CommandOutcome, now: float
    ) -> list[Decision]:
        """Apply the outcome of a stop."""
        if isinstance(outcome, BoxReplaced):
            return self._fleet.mark_ended(
                incarnation, "another incarnation answered", now
            )
        if isinstance(outcome, CommandRejected) and outcome.reason == "fence":
            return [StepDown(incarnation)]
        task = self._state.find_task(name)
        current = task is not None and task.run == run and task.box == incarnation
        # An unhealthy box has not carried out the stop. A start in doubt could still be
        # carried out there after another run of the task is done.
        refused = isinstance(outcome, CommandRejected) and outcome.reason != "unhealthy"
        answered = isinstance(outcome, CommandAccepted) or refused
        if task is not None and current and answered and task.state == STOPPING:
            task.confirmed_at = now
        return []

    def mark_pace_unknown(self, command: PaceTask) -> None:
        """Let the next poll repeat a pace command that may not have arrived."""
        task = self._state.find_task(command.task)
        if task is not None and task.run == command.run:
            task.pace = UNKNOWN_PACE_PERCENT
