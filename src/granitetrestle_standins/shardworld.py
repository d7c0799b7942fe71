"""A simulation in virtual time of the real scheduler, a model store and model boxes.
Leaders are killed, frozen and replaced; commands and answers are lost or delayed; boxes
crash, are cut off and restart. The runs on all boxes are checked after each tick."""

import typing as t

from granitetrestle.decisions import AnswerCall
from granitetrestle.decisions import StartTask
from granitetrestle.decisions import StopTask
from granitetrestle.interfaces import BoxNoAnswer
from granitetrestle.interfaces import BoxReplaced
from granitetrestle.interfaces import CommandNotSent
from granitetrestle.interfaces import CommandOutcome
from granitetrestle.interfaces import Config
from granitetrestle.interfaces import EndedRun
from granitetrestle.interfaces import PollOutcome
from granitetrestle.interfaces import Queue
from granitetrestle.interfaces import Record
from granitetrestle.jobcalls import CancelJob
from granitetrestle.jobcalls import JobAccepted
from granitetrestle.jobcalls import JobCall
from granitetrestle.jobcalls import SubmitJob
from granitetrestle.shardstate import SchedulerParameters
from granitetrestle.workflows import Step
from granitetrestle.workflows import Submission
from granitetrestle_standins.modelboxes import SHORT_DURATIONS
from granitetrestle_standins.modelboxes import ModelBoxes
from granitetrestle_standins.nativebox import BoxModel
from granitetrestle_standins.nativebox import BoxRun
from granitetrestle_standins.nativestore import StoreModel
from granitetrestle_standins.promises import PromiseBroken
from granitetrestle_standins.shardchecks import MAX_ATTEMPTS
from granitetrestle_standins.shardchecks import check_all_stopped
from granitetrestle_standins.shardchecks import check_dependencies
from granitetrestle_standins.shardchecks import check_ended
from granitetrestle_standins.shardchecks import check_one_place
from granitetrestle_standins.shardchecks import may_fail
from granitetrestle_standins.shardprocess import HALLS_TOPIC
from granitetrestle_standins.shardprocess import TICK_INTERVAL_S
from granitetrestle_standins.shardprocess import Command
from granitetrestle_standins.shardprocess import DelayedCommand
from granitetrestle_standins.shardprocess import SchedulerProcess
from granitetrestle_standins.storereadings import PLAIN
from granitetrestle_standins.storereadings import StoreReading

__all__ = ["HALLS_TOPIC", "PromiseBroken", "ShardWorld"]

# A leader may start tasks in an evacuated hall for this long while the store is up.
EVACUATION_GRACE_S = 0.1
# Run times of tasks, chosen by task index; the longest exceeds a lease.
TASK_S = (0.6, 0.3, 5.0)
QUEUE = Queue("q", "host", "/q/", "pool", 0, MAX_ATTEMPTS, 1.5, 1000.0)
CONFIG = Config(1, (QUEUE,), {"pool": True}, 262144)


class SentStart(t.NamedTuple):
    """A start command that a scheduler process sent."""

    at: float
    incarnation: str
    epoch: int


class _DelayedPoll(t.NamedTuple):
    """A poll that a box receives later; the sender gets no answer."""

    at: float
    incarnation: str
    token: int
    acknowledged_end: int
    lease_ends_ms: int | None


class ShardWorld(ModelBoxes):
    """Model boxes, a model store and scheduler processes; its methods inject faults.

    :param keep_ids: whether crashed boxes may restart under the same id.
    :param slow_clocks: whether clocks of boxes may run as slowly as is allowed.
    :param parameters: of all leaders; boxes grant leases of the same length.
    :ivar sent_starts: task -> the newest start command that a leader sent for it.
    """

    def __init__(
        self,
        seed: int,
        boxes: int,
        halls: t.Sequence[str] = ("h",),
        reading: StoreReading = PLAIN,
        keep_ids: bool = False,
        slow_clocks: bool = False,
        parameters: SchedulerParameters = SHORT_DURATIONS,
    ) -> None:
        super().__init__(seed, halls, keep_ids, slow_clocks, parameters)
        self.store = StoreModel(reading)
        self.config = CONFIG
        self._store_down = False
        self._store_up_at = self.now
        self.evacuated: dict[str, float] = {}  # Hall -> start of its evacuation.
        self.sent_starts: dict[str, SentStart] = {}
        self.delayed_poll_share = 0.0
        self.delayed_share = 0.0
        self.lost_answer_share = 0.0
        self.task_failure_share = 0.0
        self.accepted: dict[str, Submission] = {}
        self.cancelled: dict[str, float] = {}
        self._calls: dict[str, JobCall] = {}
        self._delayed: list[DelayedCommand] = []
        self._delayed_polls: list[_DelayedPoll] = []
        self._done: dict[str, float] = {}
        self._failed: dict[str, int] = {}
        self._checked: set[int] = set()
        for _ in range(boxes):
            self.add_box()
        self.processes: list[SchedulerProcess] = []
        self.take_over()

    @property
    def store_down(self) -> bool:
        """Whether every call to the store is refused."""
        return self._store_down

    @store_down.setter
    def store_down(self, down: bool) -> None:
        self._store_down = down
        self._store_up_at = self.now

    def evacuate(self, hall: str) -> None:
        """Write an operator's directive to evacuate a hall."""
        self.store.append(HALLS_TOPIC, [Record(hall, b"{}")], None)
        self.evacuated.setdefault(hall, self.now)

    def restore(self, hall: str) -> None:
        """Write an operator's directive to restore a hall."""
        self.store.append(HALLS_TOPIC, [Record(hall, None)], None)
        self.evacuated.pop(hall, None)

    @property
    def leader(self) -> SchedulerProcess:
        """The scheduler process of the newest epoch."""
        return self.processes[-1]

    def take_over(self) -> None:
        """Start a new leader; the former one may not notice."""
        epoch = self.processes[-1].epoch + 1 if self.processes else 1
        if not self.store_down:
            self.processes.append(self._create_process(epoch))

    def _create_process(self, epoch: int) -> SchedulerProcess:
        """Create a leader, which claims its epoch."""
        return SchedulerProcess(self, epoch)

    def reconnect_all(self) -> None:
        """Reconnect every scheduler process to the store and all boxes."""
        for process in self.processes:
            process.without_store = False
            process.cut_from.clear()

    def hand_over(self) -> None:
        """Let the leader resign, and a new one take over at once."""
        self.leader.resign()
        self.take_over()

    def kill(self) -> None:
        """Kill the leader; decisions that wait for their write are lost."""
        self.leader.stopped = True

    def submit(self, steps: tuple[Step, ...]) -> str:
        """Submit a job and return its id."""
        job = f"{len(self._calls):016x}"
        submission = Submission(job, "q", "pool", f"spec-{job}", steps)
        self.send_call(SubmitJob(submission), job)
        return job

    def cancel(self, job: str) -> None:
        """Cancel a job."""
        self.send_call(CancelJob(job), f"cancel-{job}")

    def send_call(self, call: JobCall, request: str) -> None:
        """Send a call to the leader; it may never be answered."""
        self._calls[request] = call
        if not self.leader.stopped and not self.leader.frozen:
            leader = self.leader
            leader.apply(leader.scheduler.handle_call(request, call, leader.now))

    def record_answer(self, decision: AnswerCall) -> None:
        """Record the answer to a call."""
        call = self._calls[decision.request]
        if isinstance(call, SubmitJob) and isinstance(decision.outcome, JobAccepted):
            self.accepted[call.submission.job] = call.submission
        elif isinstance(call, CancelJob):
            self.cancelled.setdefault(call.job, self.now)

    def send(self, sender: SchedulerProcess, command: Command) -> None:
        """Deliver a command, delay it, or lose it or its answer."""
        draw = self.random.random()
        box = sender.scheduler.state.boxes.get(command.incarnation)
        until = 0
        if isinstance(command, StartTask) and box is not None:
            if not sender.scheduler.confirm_start(command, sender.now):
                self._report_not_sent(sender, command)
                return
            self._check_hall(command)
            if sender is self.leader:
                self.sent_starts[command.task] = SentStart(
                    self.now, command.incarnation, sender.epoch
                )
            until = (
                sender.scheduler.fleet.leases.renew(
                    box, sender.now, sender.renewal_age_s
                )
                or 0
            )
        if draw < self.delayed_share:
            at = self.now + self.random.uniform(0.2, 6.0)
            self._delayed.append(DelayedCommand(at, sender.epoch, until, command))
            outcome: CommandOutcome = BoxNoAnswer("delayed")
        elif (
            failure := self._connection_failure(sender, command.incarnation)
        ) is not None:
            outcome = failure
        elif command.incarnation in self.mute:
            self._execute(command, until, sender.epoch)
            outcome = BoxNoAnswer("answer lost", timed_out=True)
        elif self.now <= self.reset_until.get(command.incarnation, 0.0):
            self._execute(command, until, sender.epoch)
            outcome = BoxNoAnswer("connection reset")
        else:
            outcome = self._execute(command, until, sender.epoch)
            if draw > 1.0 - self.lost_answer_share:
                outcome = BoxNoAnswer("answer lost")
        scheduler = sender.scheduler
        if isinstance(command, StartTask):
            sender.apply(
                scheduler.handle_start_outcome(
                    command.incarnation, command.task, command.run, outcome, sender.now
                )
            )
        elif isinstance(command, StopTask):
            sender.apply(
                scheduler.handle_stop_outcome(
                    command.incarnation, command.task, command.run, outcome, sender.now
                )
            )

    def _report_not_sent(self, sender: SchedulerProcess, command: StartTask) -> None:
        outcome = CommandNotSent("withdrawn")
        sender.apply(
            sender.scheduler.handle_start_outcome(
                command.incarnation, command.task, command.run, outcome, sender.now
            )
        )

    def _check_hall(self, command: StartTask) -> None:
        entry = self.entries.get(command.incarnation)
        since = self.evacuated.get(entry.hall) if entry is not None else None
        if since is None:
            return
        if self.now - max(since, self._store_up_at) > EVACUATION_GRACE_S:
            raise PromiseBroken(f"{command.task} was sent to an evacuated hall")

    def _execute(self, command: Command, until: int, token: int) -> CommandOutcome:
        box = self.boxes[command.incarnation]
        if not box.alive:
            return self._answer_of_ended(command.incarnation)
        if isinstance(command, StartTask):
            outcome = box.start(
                command.task, command.run, command.spec, until, token, self.now
            )
        elif isinstance(command, StopTask):
            outcome = box.stop(command.task, command.run, token, self.now)
        else:
            outcome = box.pace(
                command.task, command.run, command.percent, token, self.now
            )
        self.check()
        if causes := self.box_crashes.causes_before_answer(box):
            self.box_crashes.crash_and_restart(box, self.now, causes)
            return BoxNoAnswer("connection lost")
        return outcome

    def poll(
        self,
        sender: SchedulerProcess,
        incarnation: str,
        acknowledged_end: int,
        lease_ends_ms: int | None,
    ) -> PollOutcome:
        """Poll a box."""
        failure = self._connection_failure(sender, incarnation)
        if failure is not None:
            return failure
        box = self.boxes[incarnation]
        if not box.alive:
            return self._answer_of_ended(incarnation)
        if self.delayed_poll_share and self.random.random() < self.delayed_poll_share:
            at = self.now + self.random.uniform(0.1, 2.0)
            self._delayed_polls.append(
                _DelayedPoll(
                    at, incarnation, sender.epoch, acknowledged_end, lease_ends_ms
                )
            )
            return BoxNoAnswer("delayed", timed_out=True)
        outcome = self._poll_box(box, acknowledged_end, lease_ends_ms, sender.epoch)
        if incarnation in self.mute:
            return BoxNoAnswer("answer lost", timed_out=True)
        if self.now <= self.reset_until.get(incarnation, 0.0):
            return BoxNoAnswer("connection reset")
        return outcome

    def _poll_box(
        self,
        box: BoxModel,
        acknowledged_end: int,
        lease_ends_ms: int | None,
        token: int,
    ) -> PollOutcome:
        for row in box.unacknowledged():
            if row.number <= acknowledged_end:
                self._record_acknowledged(box, row)
        return box.poll(acknowledged_end, lease_ends_ms, token, self.now)

    def _record_acknowledged(self, box: BoxModel, row: EndedRun) -> None:
        if row.how == "failed":
            self._failed[row.task] = self._failed.get(row.task, 0) + 1
        if row.how != "done":
            return
        self._done.setdefault(row.task, self.now)
        ended = next(r.ended for r in box.history if (r.task, r.run) == row[1:3])
        assert ended is not None
        for other in self.boxes.values():
            for run in other.history:
                expired = any(ended < at <= run.began for at in box.lapses)
                if run.task == row.task and run.began > ended and not expired:
                    raise PromiseBroken(f"{run.task} began after an acknowledged end")

    def _answer_of_ended(self, incarnation: str) -> BoxReplaced | BoxNoAnswer:
        """Return the answer to a call that addresses an ended incarnation."""
        if self.box_crashes.is_down(incarnation, self.now):
            return BoxNoAnswer("connection refused", sent=False)
        return BoxReplaced()

    def _connection_failure(
        self, sender: SchedulerProcess, incarnation: str
    ) -> BoxNoAnswer | None:
        """Return the outcome of a call that does not reach a box, or ``None``."""
        cut_until = self.cut_until.get(incarnation, 0.0)
        if incarnation in sender.cut_from or self.now < cut_until:
            return BoxNoAnswer("box unreachable")
        if incarnation in self.refusing:
            return BoxNoAnswer("connection refused", sent=False)
        return None

    def advance(self, seconds: float) -> None:
        """Advance virtual time by ``seconds``, tick by tick."""
        for _ in range(max(1, round(seconds / TICK_INTERVAL_S))):
            self.now += TICK_INTERVAL_S
            self._run_boxes()
            for process in self.processes:
                process.tick()
                process.list_boxes()
            self.processes = [
                p for p in self.processes if not p.stopped or p is self.processes[-1]
            ]
            self.check()

    def _run_boxes(self) -> None:
        due = [delayed for delayed in self._delayed if delayed.at <= self.now]
        self._delayed = [delayed for delayed in self._delayed if delayed.at > self.now]
        for delayed in due:
            if self.boxes[delayed.command.incarnation].alive:
                self._execute(delayed.command, delayed.lease_ends_ms, delayed.token)
        due_polls = [poll for poll in self._delayed_polls if poll.at <= self.now]
        self._delayed_polls = [p for p in self._delayed_polls if p.at > self.now]
        for poll in due_polls:
            box = self.boxes[poll.incarnation]
            if box.alive:
                ends = poll.acknowledged_end, poll.lease_ends_ms
                self._poll_box(box, *ends, poll.token)
        self._crash_boxes()
        for box in self.boxes.values():
            box.tick(self.now)
            for run in list(box.running.values()):
                if self.is_long_running(run.task):
                    continue
                if self.now - run.began > TASK_S[int(run.task[-1]) % len(TASK_S)]:
                    failed = self.random.random() < self.task_failure_share
                    box.end(run.task, "failed" if failed else "done", self.now)

    def cpu(self, task: str) -> int:
        """Return how many thousandths of a core a task uses."""
        return self._step(task).cpu

    def is_long_running(self, task: str) -> bool:
        """Return whether a task runs until it is stopped."""
        return self._step(task).long_running

    def check(self) -> None:
        """Check the running tasks, and the runs that began since the last check.

        :raises PromiseBroken: naming the task.
        """
        check_one_place(self.boxes.values())
        for box in self.boxes.values():
            for run in box.history:
                if id(run) not in self._checked:
                    self._checked.add(id(run))
                    self._check_start(run)
                    self._check_capacity(box)

    def _check_capacity(self, box: BoxModel) -> None:
        """Check that a box is within its capacity; tasks that are stopping count."""
        entry = self.entries.get(box.incarnation)
        if entry is None:
            return
        capacity = max(entry.cpu, self._recent_capacity(box.incarnation))
        used = sum(self._step(run.task).cpu for run in box.running.values())
        if used > capacity:
            raise PromiseBroken(
                f"{box.incarnation} has a capacity of {capacity}, but {used} is in use"
            )

    def _step(self, task: str) -> Step:
        job, _, step, _ = task.split(".")
        call = self._calls[job]
        assert isinstance(call, SubmitJob)
        return call.submission.steps[int(step)]

    def _check_start(self, run: BoxRun) -> None:
        job = run.task.split(".")[0]
        if run.task in self._done:
            raise PromiseBroken(f"{run.task} began again after it was done")
        if self._failed.get(run.task, 0) >= MAX_ATTEMPTS:
            raise PromiseBroken(f"{run.task} began after its last attempt failed")
        if self.box_crashes.exceeds_start_limit(run.task):
            raise PromiseBroken(f"{run.task} crashes its boxes and is started again")
        if run.spec != f"spec-{job}" or job not in self._calls:
            raise PromiseBroken(f"{run.task} was not submitted")
        call = self._calls[job]
        assert isinstance(call, SubmitJob)
        check_dependencies(run, call.submission, self.boxes.values())

    def _cancel_long_running(self) -> None:
        for job, workflow in list(self.leader.scheduler.state.workflows.items()):
            long_running = any(step.long_running for step in workflow.submission.steps)
            if long_running and not workflow.terminal:
                self.cancel(job)

    def settle(self, seconds: float) -> None:
        """Clear all faults, cancel long-running jobs, and check that each job ends.

        :raises PromiseBroken: if an accepted job is lost or stalled.
        """
        self.delayed_share = self.lost_answer_share = self.task_failure_share = 0.0
        self.delayed_poll_share = 0.0
        self.cut_until.clear()
        self.mute.clear()
        self.refusing.clear()
        self.reset_until.clear()
        self.reconnect_all()
        for hall in list(self.evacuated):
            self.restore(hall)
        self.store_down = False
        if self.leader.stopped or self.leader.frozen:
            self.take_over()
        state = self.leader.scheduler.state
        while seconds > 0 and not all(w.terminal for w in state.workflows.values()):
            self._cancel_long_running()
            self.advance(1.0)
            seconds -= 1.0
        # Leftover tasks of ended jobs stop within one or two polls.
        self.advance(1.0)
        boxes = self.boxes.values()
        for job in self.accepted:
            job_may_fail = may_fail(job, boxes, self.box_crashes)
            was_cancelled = job in self.cancelled
            check_ended(job, state.workflows.get(job), was_cancelled, job_may_fail)
        check_all_stopped(boxes)
