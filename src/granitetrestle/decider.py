"""The reducer of one shard: which job is taken, where each task runs, what is
stopped. It reads no clock, draws no random numbers and does no I/O; what happens
comes in as calls with the time, decisions go out as data. Its parts share one
:class:`~.shardstate.ShardState`."""

import typing as t

from .boxes import BoxView
from .decisions import AnswerCall
from .decisions import AskAdvice
from .decisions import Decision
from .decisions import Noted
from .decisions import PaceTask
from .decisions import StartTask
from .decisions import StepDown
from .fleet import Fleet
from .headroom import Headroom
from .headroom import KeptBoxes
from .headroom import NoHeadroom
from .jobcalls import CancelJob
from .jobcalls import Cancelled
from .jobcalls import CountWaiting
from .jobcalls import GetState
from .jobcalls import JobAccepted
from .jobcalls import JobCall
from .jobcalls import JobOutcome
from .jobcalls import JobStateIs
from .jobcalls import NoSuchJob
from .jobcalls import SubmitJob
from .jobcalls import WaitingCount
from .mechanisms import Mechanism
from .outside import Advice
from .outside import AdviceUnavailable
from .outside import BoxReplaced
from .outside import Config
from .outside import OrderAccepted
from .outside import OrderOutcome
from .outside import OrderRejected
from .outside import Record
from .pacing import slowed_tasks
from .packing import FirstBox
from .packing import KeepApart
from .packing import Packer
from .packing import better_box
from .packing import least_filled
from .progress import Progress
from .shardstate import DeciderTerms
from .shardstate import ShardState
from .shardstate import WaitingStep
from .workflows import FULL_PACE
from .workflows import PENDING
from .workflows import STARTING
from .workflows import STOPPING
from .workflows import Step
from .workflows import Task

__all__ = ["Decider"]

# After a box refuses for lack of room, or says that it is unwell, it gets nothing
# new for so long: one look's time, by which its own account is known.
PAUSE_AFTER_REFUSAL_S: t.Final = 0.5
PAUSE_UNHEALTHY_S: t.Final = 1.5
# Pace of a task whose last order of pace was not answered: any other differs from it.
PACE_UNKNOWN: t.Final = -1
# How often ended jobs are looked through for those nobody may ask about any more.
ENDED_SWEEP_S: t.Final = 2.0
# Asking takes a time for each box named, and calls wait for each other: the roomiest
# boxes are named, and a step without an answer waits this long to ask again.
ADVICE_BOXES: t.Final = 24
ADVICE_AGAIN_S: t.Final = 1.5
# Share of an advice's validity in which starts are made; the rest is for their way.
ADVICE_USED: t.Final = 0.8
# Figures that decide where what fills may go come twice a second from each box.
FILL_EVERY_S: t.Final = 0.08
# A job that fills is never left with nothing running for longer than this: its account
# is promised that work goes on while there is room, and it may use quiet seconds.
STARVED_S: t.Final = 1.5
# What was learnt of images is written this often; a successor loses no more than that.
LEARNT_EVERY_S: t.Final = 3.0
# One task at a time is moved, so that the next choice sees where it went.
MOVE_EVERY_S: t.Final = 0.05


class Decider:
    """State of one shard and its step functions."""

    def __init__(
        self, terms: DeciderTerms, now: float, packer: Packer | None = None
    ) -> None:
        self._state = ShardState(terms)
        self._progress = Progress(self._state)
        self._fleet = Fleet(self._state, self._progress, now)
        self._packer = packer or self._default_packer()
        on = self._state.on(Mechanism.HEADROOM)
        self._headroom: Headroom = KeptBoxes() if on else NoHeadroom()
        self._swept_at = now
        self._moved_at = now
        self._learnt_at = now
        self._filled_at = 0.0
        # Kinds of task that found no box in the pass under way.
        self._no_box: set[tuple[t.Any, ...]] = set()

    def _default_packer(self) -> Packer:
        if not self._state.on(Mechanism.PACKING):
            return FirstBox()
        return KeepApart(grouping=self._state.on(Mechanism.GROUPING))

    @property
    def state(self) -> ShardState:
        """Jobs, boxes and configuration."""
        return self._state

    @property
    def fleet(self) -> Fleet:
        """Boxes and their leases."""
        return self._fleet

    @property
    def has_writes(self) -> bool:
        """Whether decisions wait to be written."""
        return self._state.has_writes

    def take_writes(self) -> list[Record]:
        """Return the records to write for what was decided since the last call."""
        return self._state.take_writes()

    def restore(self, records: t.Iterable[Record], now: float) -> int:
        """Go on from what a predecessor wrote; returns the number of jobs."""
        count = self._state.restore(records, now)
        for workflow in self._state.workflows.values():
            if not workflow.terminal:
                self._state.enter_steps(workflow, now)
        return count

    def configured(self, config: Config) -> list[Decision]:
        """Put a configuration in force, unless a newer one is."""
        current = self._state.config
        if current is not None and config.version <= current.version:
            return []
        self._state.config = config
        self._state.queues = {queue.name: queue for queue in config.queues}
        inputs = {"version": config.version, "queues": len(config.queues)}
        return [Noted("config_in_force", "config", inputs)]

    def called(self, request: str, call: JobCall, now: float) -> list[Decision]:
        """Apply what a client account asks."""
        if isinstance(call, SubmitJob):
            return self._submit(request, call, now)
        if isinstance(call, CancelJob):
            return self._cancel(request, call, now)
        return [AnswerCall(request, self._asked(call))]

    def _asked(self, call: GetState | CountWaiting) -> JobOutcome:
        if isinstance(call, CountWaiting):
            return WaitingCount(self._waiting_jobs(call.queue))
        workflow = self._state.workflows.get(call.job)
        return NoSuchJob() if workflow is None else JobStateIs(workflow.state)

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
        self._state.enter_steps(workflow, now)
        tasks = sum(step.count for step in submission.steps)
        inputs = {"queue": submission.queue, "tasks": tasks}
        return [Noted("job_taken", submission.job, inputs), answer]

    def _cancel(self, request: str, call: CancelJob, now: float) -> list[Decision]:
        workflow = self._state.workflows.get(call.job)
        if workflow is None:
            return [AnswerCall(request, NoSuchJob())]
        effects: list[Decision] = []
        if not workflow.terminal:
            effects = self._progress.end(workflow, "cancelled", now, {"by": request})
        return [*effects, AnswerCall(request, Cancelled())]

    def decide(self, now: float, wall_ms: int) -> list[Decision]:
        """Place what waits, and take back what must have ended.

        :param wall_ms: time of day in ms since 1970, for timed jobs.
        """
        effects = self._fleet.expired(now)
        self._fleet.orphaned_tasks(now)
        if now - self._swept_at > ENDED_SWEEP_S:
            self._swept_at = now
            self._sweep(now)
        if now - self._learnt_at > LEARNT_EVERY_S:
            self._learnt_at = now
            self._state.note_interference()
        return effects + self._move_slowed(now) + self._place(now, wall_ms)

    def _sweep(self, now: float) -> None:
        keep = self._state.terms.keep_s
        for job, workflow in list(self._state.workflows.items()):
            if not workflow.terminal or now - workflow.ended_at < keep:
                continue
            if not any(task.placed for task in workflow.tasks.values()):
                self._state.drop(job)

    def _place(self, now: float, wall_ms: int) -> list[Decision]:
        waiting = self._state.waiting
        if not waiting:
            return []
        open_boxes: dict[str, list[BoxView]] = {}
        for box in self._state.boxes.values():
            if box.open_for_work(now):
                open_boxes.setdefault(box.entry.service, []).append(box)
        if self._headroom.due(now):
            self._headroom.update(open_boxes, self._short_waiting(), now)
        fill = now - self._filled_at >= FILL_EVERY_S
        if fill:
            self._filled_at = now
        self._no_box.clear()
        urgency = _urgency if self._state.on(Mechanism.URGENCY) else _arrival
        order = sorted(waiting.items(), key=lambda item: urgency(item[1], now))
        effects: list[Decision] = []
        for key, entry in order:
            if not fill and entry.workflow.submission.steps[entry.step].fills:
                continue
            service = self._state.service_of(entry.workflow)
            boxes = open_boxes.get(service, [])
            if boxes and entry.workflow.due_at_ms(entry.occurrence) <= wall_ms:
                effects += self._place_step(entry, boxes, now)
            if not entry.tasks:
                del waiting[key]
        return effects

    def _short_waiting(self) -> dict[str, int]:
        """Return service -> thousandths of a core that waiting short work reserves."""
        short: dict[str, int] = {}
        for entry in self._state.waiting.values():
            step = entry.workflow.submission.steps[entry.step]
            if not step.lasting and not step.fills:
                service = self._state.service_of(entry.workflow)
                need = len(entry.tasks) * step.cpu
                short[service] = short.get(service, 0) + need
        return short

    def _move_slowed(self, now: float) -> list[Decision]:
        """Move tasks that are kept slow to where they disturb nobody."""
        if now - self._moved_at < MOVE_EVERY_S or not self._state.on(Mechanism.MOVES):
            return []
        self._moved_at = now
        boxes = [b for b in self._state.boxes.values() if b.open_for_work(now)]
        for task in slowed_tasks(boxes, now):
            service = self._state.service_of(task.workflow)
            able = [
                box
                for box in boxes
                if box.entry.service == service
                and box.fits(task.spec)
                and _allowed(task, task.spec, box)
            ]
            box = better_box(task, able, self._state.interference, now)
            if box is not None:
                inputs = {"from": task.box, "to": box.life, "pace": task.pace}
                return [
                    Noted("moved_for_targets", task.name, inputs),
                    *self._progress.stop(task, now),
                ]
        return []

    def _place_step(
        self, entry: WaitingStep, boxes: list[BoxView], now: float
    ) -> list[Decision]:
        step = entry.workflow.submission.steps[entry.step]
        queue = self._state.queues.get(entry.workflow.submission.queue)
        if queue is not None and queue.advised:
            if now > entry.advice_until:
                return self._ask_advice(entry, boxes, now)
            boxes = [box for box in boxes if box.life in entry.tickets]
        if step.gang:
            return self._place_gang(entry, step, boxes, now)
        effects: list[Decision] = []
        kind = (step.image, step.cpu, step.memory_mb, step.required_labels, step.fills)
        entry.since = now if entry.since is None else entry.since
        for task in list(entry.tasks.values()):
            box = None
            if kind not in self._no_box:
                box = self._box_for(entry, task, step, boxes, now)
            if box is None and self._starved(entry, step, now):
                box = least_filled(_able(task, step, boxes))
            if box is None:
                # What lasts must be looked at each time: how long there has been room
                # for it counts.
                if not step.per_box and not step.lasting:
                    self._no_box.add(kind)
                break
            del entry.tasks[task.name]
            entry.since = now
            task.ticket = entry.tickets.get(box.life, "")
            effects.append(self._start(task, box, now))
        return effects

    def _starved(self, entry: WaitingStep, step: Step, now: float) -> bool:
        """Say whether a job that fills has had nothing running for too long."""
        if not step.fills or entry.since is None or now - entry.since < STARVED_S:
            return False
        return not any(task.placed for task in entry.workflow.tasks.values())

    def _ask_advice(
        self, entry: WaitingStep, boxes: list[BoxView], now: float
    ) -> list[Decision]:
        if now - entry.asked_at < ADVICE_AGAIN_S:
            return []
        entry.asked_at = now
        roomy = sorted(boxes, key=lambda box: (-box.cpu_free, box.life))
        lives = tuple(box.life for box in roomy[:ADVICE_BOXES])
        job = entry.workflow.submission.job
        return [AskAdvice(job, entry.occurrence, entry.step, lives)]

    def advised(
        self, asked: AskAdvice, advice: Advice | AdviceUnavailable, now: float
    ) -> list[Decision]:
        """Apply what came of asking which boxes may run a step."""
        name = f"{asked.job}.{asked.occurrence}.{asked.step}"
        if isinstance(advice, AdviceUnavailable):
            return [Noted("advice_failed", name, {"reason": advice.reason})]
        entry = self._state.waiting.get((asked.job, asked.occurrence, asked.step))
        if entry is not None:
            entry.tickets = advice.tickets
            # A start takes a while to arrive.
            entry.advice_until = now + advice.valid_s * ADVICE_USED
        inputs = {"asked": len(asked.lives), "good": len(advice.tickets)}
        return [Noted("advised", name, inputs)]

    def _place_gang(
        self, entry: WaitingStep, step: Step, boxes: list[BoxView], now: float
    ) -> list[Decision]:
        """Place all members or none; they share one run number."""
        members = entry.workflow.step_tasks(entry.occurrence, entry.step)
        if any(task.state != PENDING for task in members):
            return []
        chosen: list[tuple[Task, BoxView]] = []
        for task in members:
            box = self._box_for(entry, task, step, boxes, now)
            if box is None:
                break
            box.place(task)
            chosen.append((task, box))
        for task, box in chosen:
            box.free(task)
        if len(chosen) < len(members):
            return []
        run = max(task.run for task in members)
        checkpoint = max(task.checkpoint for task in members)
        entry.tasks.clear()
        for task, _ in chosen:
            task.run, task.checkpoint = run, checkpoint
        for task, box in chosen:
            task.ticket = entry.tickets.get(box.life, "")
        return [self._start(task, box, now) for task, box in chosen]

    def _box_for(
        self,
        entry: WaitingStep,
        task: Task,
        step: Step,
        boxes: list[BoxView],
        now: float,
    ) -> BoxView | None:
        able = _able(task, step, boxes)
        if step.lasting:
            able = self._headroom.open_to(entry, able, now)
        if step.affinity:
            near = [box for box in able if box.entry.rack == step.affinity]
            able = near or able
        return self._packer.choose(task, able, self._state.interference, now)

    def _start(self, task: Task, box: BoxView, now: float) -> StartTask:
        task.run += 1
        task.state = STARTING
        task.times.enter("order", now)
        task.box = box.life
        task.started_at = now
        task.confirmed_at = 0.0
        task.stop_sent_at = 0.0
        task.set_pace(FULL_PACE, now)
        box.place(task)
        task.workflow.begun = True
        self._state.changed(task.workflow)
        spec = task.workflow.submission.spec
        return StartTask(
            box.life, task.name, task.run, spec, task.checkpoint, task.ticket
        )

    def start_wanted(self, order: StartTask) -> bool:
        """Say whether a start that was held back should still be sent: meanwhile the
        task may have been stopped, or have gone to another box."""
        task = self._state.find_task(order.task)
        if task is None or task.run != order.run or task.box != order.life:
            return False
        return task.state == STARTING

    def start_answered(
        self, life: str, name: str, run: int, outcome: OrderOutcome, now: float
    ) -> list[Decision]:
        """Apply what came of a start; ``BoxNoAnswer`` leaves it in doubt."""
        if isinstance(outcome, BoxReplaced):
            return self._fleet.box_over(life, "another life answered", now)
        task = self._state.find_task(name)
        if task is None or task.run != run or task.box != life:
            return []
        if isinstance(outcome, OrderAccepted):
            if task.state == STARTING:
                task.runs(now)
                box = self._state.boxes.get(life)
                if box is not None and task.spec.fills and box.serving:
                    # What it disturbs should not wait for the next look.
                    return self._fleet.repace(box, now)
            return []
        if isinstance(outcome, OrderRejected):
            return self._start_rejected(life, task, outcome, now)
        if task.state != STARTING:
            return []
        inputs = {"run": run, "box": life, "reason": outcome.reason}
        noted = Noted("start_in_doubt", name, inputs)
        return [noted, *self._progress.stop(task, now)]

    def _start_rejected(
        self, life: str, task: Task, outcome: OrderRejected, now: float
    ) -> list[Decision]:
        if outcome.reason == "fence":
            return [StepDown(life)]
        if task.state not in (STARTING, STOPPING):
            return []
        inputs = {"run": task.run, "box": life, "reason": outcome.reason}
        self._progress.requeue(task, now)
        box = self._state.boxes.get(life)
        if box is not None:
            unwell = outcome.reason == "unhealthy"
            pause = PAUSE_UNHEALTHY_S if unwell else PAUSE_AFTER_REFUSAL_S
            box.closed_until = max(box.closed_until, now + pause)
        return [Noted("start_rejected", task.name, inputs)]

    def stop_answered(
        self, life: str, name: str, run: int, outcome: OrderOutcome, now: float
    ) -> list[Decision]:
        """Apply what came of a stop."""
        if isinstance(outcome, BoxReplaced):
            return self._fleet.box_over(life, "another life answered", now)
        if isinstance(outcome, OrderRejected) and outcome.reason == "fence":
            return [StepDown(life)]
        task = self._state.find_task(name)
        current = task is not None and task.run == run and task.box == life
        answered = isinstance(outcome, OrderAccepted | OrderRejected)
        if task is not None and current and answered and task.state == STOPPING:
            task.confirmed_at = now
        return []

    def pace_unanswered(self, order: PaceTask) -> None:
        """Let the next look order a pace again that may not have arrived."""
        task = self._state.find_task(order.task)
        if task is not None and task.run == order.run:
            task.pace = PACE_UNKNOWN


def _urgency(entry: WaitingStep, now: float) -> tuple[int, bool, float]:
    # What is late already earns little: it gives way within its class.
    late = entry.latest_start < now
    if entry.workflow.submission.steps[entry.step].fills:
        # What fills is short of room for long: the smaller jobs go first, of which
        # more are completed in time.
        return (entry.priority, late, float(entry.workflow.work_left))
    return (entry.priority, late, entry.latest_start)


def _arrival(entry: WaitingStep, now: float) -> tuple[int, bool, float]:
    return (entry.priority, False, entry.workflow.accepted_at)


def _able(task: Task, step: Step, boxes: t.Iterable[BoxView]) -> list[BoxView]:
    return [box for box in boxes if box.fits(step) and _allowed(task, step, box)]


def _allowed(task: Task, step: Step, box: BoxView) -> bool:
    if not box.entry.labels.issuperset(step.required_labels):
        return False
    if not step.per_box:
        return True
    job = task.workflow.submission.job
    return box.step_tasks(job, task.occurrence, task.step) < step.per_box
