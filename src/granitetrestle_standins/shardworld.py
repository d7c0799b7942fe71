"""The real decider among model boxes and a store, in virtual time. Deciders are
killed, frozen and replaced; orders and answers are lost or come late; boxes crash, are
cut off and come back. After each step it is checked what really ran."""

import collections
import random
import typing as t

from granitetrestle.decisions import AnswerCall
from granitetrestle.decisions import StartTask
from granitetrestle.decisions import StopTask
from granitetrestle.interfaces import BoxEntry
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
from granitetrestle.workflows import DONE
from granitetrestle.workflows import Step
from granitetrestle.workflows import Submission
from granitetrestle_standins.boxcrashes import BoxCrashes
from granitetrestle_standins.modellives import ModelLives
from granitetrestle_standins.nativebox import BoxModel
from granitetrestle_standins.nativebox import BoxRun
from granitetrestle_standins.nativestore import StoreModel
from granitetrestle_standins.shardprocess import HALLS
from granitetrestle_standins.shardprocess import STEP_S
from granitetrestle_standins.shardprocess import DeciderProcess
from granitetrestle_standins.shardprocess import Order
from granitetrestle_standins.storereadings import PLAIN
from granitetrestle_standins.storereadings import StoreReading

__all__ = ["HALLS", "PromiseBroken", "ShardWorld"]

# How long after an order was given, with the store up, a decider may still start tasks.
IN_FORCE_S = 0.1
# How long tasks run, by their index; the longest outlasts a lease.
TASK_S = (0.6, 0.3, 5.0)
MAX_ATTEMPTS = 3
# How long after a box's room shrank a start may still count on the room before: orders
# are under way, and the list of boxes is read a few times a second.
ROOM_SEEN_S = 0.2
QUEUE = Queue("q", "host", "/q/", "pool", 0, MAX_ATTEMPTS, 1.5, 1000.0)
CONFIG = Config(1, (QUEUE,), {"pool": True}, 262144)


class PromiseBroken(AssertionError):
    """What ran is not what may run."""


class _Late(t.NamedTuple):
    """An order that will be carried out later, unasked and unanswered."""

    at: float
    token: int
    lease_ends_ms: int
    order: Order


class ShardWorld:
    """Boxes, store and deciders; faults are calls on it.

    :param keep_ids: whether boxes that crash may start again under the id that they had.
        Without it a seed plays as it did before they could.
    """

    def __init__(
        self,
        seed: int,
        boxes: int,
        halls: t.Sequence[str] = ("h",),
        reading: StoreReading = PLAIN,
        keep_ids: bool = False,
    ) -> None:
        self.random = random.Random(seed)
        self._incarnations = ModelLives(seed, keep_ids)
        self.now = 100.0
        self.parameters = SchedulerParameters(lease_s=3.0, orphan_s=2.0, keep_s=600.0)
        self.store = StoreModel(reading)
        self.config = CONFIG
        self._store_down = False
        self._store_up_at = self.now
        self.halls = halls
        # Hall -> since when it is evacuated.
        self.evacuated: dict[str, float] = {}
        self.boxes: dict[str, BoxModel] = {}
        self.entries: dict[str, BoxEntry] = {}
        self.cut: dict[str, float] = {}
        self.late_share = 0.0
        self.lost_share = 0.0
        self.fail_share = 0.0
        self.box_crashes = BoxCrashes()
        # Box -> its room before, in thousandths of a core, and until when that may count.
        self._room_before: dict[str, tuple[int, float]] = {}
        self.accepted: dict[str, Submission] = {}
        self.cancelled: dict[str, float] = {}
        self._asked: dict[str, JobCall] = {}
        self._late: list[_Late] = []
        self._done: dict[str, float] = {}
        self._failed: dict[str, int] = {}
        self._judged: set[int] = set()
        for _ in range(boxes):
            self.add_box()
        self.processes: list[DeciderProcess] = []
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
        """Let an operator evacuate a hall."""
        self.store.append(HALLS, [Record(hall, b"{}")], None)
        self.evacuated.setdefault(hall, self.now)

    def restore(self, hall: str) -> None:
        """Let an operator take a hall back."""
        self.store.append(HALLS, [Record(hall, None)], None)
        self.evacuated.pop(hall, None)

    def add_box(self, hall: str = "") -> str:
        """Add an empty box; without a hall, the halls take turns."""
        hall = hall or self.halls[(self._incarnations.count + 1) % len(self.halls)]
        return self._enter(self._incarnations.first(hall))

    def _enter(self, entry: BoxEntry) -> str:
        """Let a life begin that is listed."""
        self.boxes[entry.incarnation] = BoxModel(
            entry.incarnation, self.parameters.lease_s
        )
        self.entries[entry.incarnation] = entry
        return entry.incarnation

    @property
    def leader(self) -> DeciderProcess:
        """The decider of the newest epoch."""
        return self.processes[-1]

    def take_over(self) -> None:
        """Let a new decider take over; the old one may not know."""
        epoch = self.processes[-1].epoch + 1 if self.processes else 1
        if not self.store_down:
            self.processes.append(DeciderProcess(self, epoch))

    def join(self) -> None:
        """Let every decider reach the store and all boxes."""
        for process in self.processes:
            process.without_store = False
            process.cut_from.clear()

    def kill(self) -> None:
        """Kill the decider, whatever it holds back."""
        self.leader.over = True

    def crash_box(self, choice: int) -> None:
        """End a box's life; another one begins at its address a little later."""
        incarnation = self._pick(choice)
        if incarnation is not None:
            self.box_crashes.crash(self.boxes[incarnation], self.now)
            self._begin_again(self.entries.pop(incarnation))

    def _begin_again(self, before: BoxEntry) -> None:
        """Let another life begin where one has ended."""
        entry = self._incarnations.again(before)
        if entry.box_id == before.box_id:
            # The list has one entry for an id.
            self.entries.pop(before.incarnation, None)
        self._enter(entry)

    def _crash_boxes(self) -> None:
        """Crash the boxes whose tasks do that, and let others answer in their place."""
        crashes = self.box_crashes
        for box in list(self.boxes.values()):
            if crashes.due(box, self.now):
                crashes.crash_for_now(box, self.now)
        for incarnation in crashes.take_back(self.now):
            self._begin_again(self.entries[incarnation])
        for incarnation in crashes.take_unlisted(self.now):
            self.entries.pop(incarnation, None)

    def resize_box(self, choice: int, cpu: int) -> None:
        """Let the room of a box shrink or grow, as it says of itself; it refuses nothing
        that does not fit."""
        incarnation = self._pick(choice)
        if incarnation is not None:
            entry = self.entries[incarnation]
            before = max(entry.cpu, self._still_counts(incarnation))
            self._room_before[incarnation] = before, self.now + ROOM_SEEN_S
            self.entries[incarnation] = entry._replace(cpu=cpu)

    def cut_box(self, choice: int, seconds: float) -> None:
        """Cut a box off from every decider; it runs on."""
        incarnation = self._pick(choice)
        if incarnation is not None:
            self.cut[incarnation] = self.now + seconds

    def _pick(self, choice: int) -> str | None:
        alive = [
            incarnation
            for incarnation in sorted(self.entries)
            if self.boxes[incarnation].alive
        ]
        return alive[choice % len(alive)] if alive else None

    def submit(self, steps: tuple[Step, ...]) -> str:
        """Hand in a job."""
        job = f"{len(self._asked):016x}"
        submission = Submission(job, "q", "pool", f"spec-{job}", steps)
        self.ask(SubmitJob(submission), job)
        return job

    def cancel(self, job: str) -> None:
        """Cancel a job."""
        self.ask(CancelJob(job), f"cancel-{job}")

    def ask(self, call: JobCall, request: str) -> None:
        """Hand a call to the decider; its answer may never come."""
        self._asked[request] = call
        if not self.leader.over and not self.leader.frozen:
            leader = self.leader
            leader.apply(leader.scheduler.handle_call(request, call, leader.now))

    def answered(self, decision: AnswerCall) -> None:
        """Note what a caller was told."""
        call = self._asked[decision.request]
        if isinstance(call, SubmitJob) and isinstance(decision.outcome, JobAccepted):
            self.accepted[call.submission.job] = call.submission
        elif isinstance(call, CancelJob):
            self.cancelled.setdefault(call.job, self.now)

    def send(self, sender: DeciderProcess, order: Order) -> None:
        """Carry an order to its box, or lose it, or let it come late."""
        draw = self.random.random()
        box = sender.scheduler.state.boxes.get(order.incarnation)
        until = 0
        if isinstance(order, StartTask) and box is not None:
            if not sender.scheduler.confirm_start(order, sender.now):
                self._not_sent(sender, order)
                return
            self._judge_hall(order)
            until = sender.scheduler.fleet.renewed_lease_end_ms(box, sender.now) or 0
        if draw < self.late_share:
            at = self.now + self.random.uniform(0.2, 6.0)
            self._late.append(_Late(at, sender.epoch, until, order))
            outcome: CommandOutcome = BoxNoAnswer("late")
        elif self._unreachable(sender, order.incarnation):
            outcome = BoxNoAnswer("cut")
        else:
            outcome = self._carry_out(order, until, sender.epoch)
            if draw > 1.0 - self.lost_share:
                outcome = BoxNoAnswer("answer lost")
        scheduler = sender.scheduler
        if isinstance(order, StartTask):
            sender.apply(
                scheduler.handle_start_outcome(
                    order.incarnation, order.task, order.run, outcome, sender.now
                )
            )
        elif isinstance(order, StopTask):
            sender.apply(
                scheduler.handle_stop_outcome(
                    order.incarnation, order.task, order.run, outcome, sender.now
                )
            )

    def _not_sent(self, sender: DeciderProcess, order: StartTask) -> None:
        outcome = CommandNotSent("withdrawn")
        sender.apply(
            sender.scheduler.handle_start_outcome(
                order.incarnation, order.task, order.run, outcome, sender.now
            )
        )

    def _judge_hall(self, order: StartTask) -> None:
        entry = self.entries.get(order.incarnation)
        since = self.evacuated.get(entry.hall) if entry is not None else None
        if since is None:
            return
        if self.now - max(since, self._store_up_at) > IN_FORCE_S:
            raise PromiseBroken(f"{order.task} was sent to an evacuated hall")

    def _carry_out(self, order: Order, until: int, token: int) -> CommandOutcome:
        box = self.boxes[order.incarnation]
        if not box.alive:
            return self._dead(order.incarnation)
        if isinstance(order, StartTask):
            outcome = box.start(
                order.task, order.run, order.spec, until, token, self.now
            )
        elif isinstance(order, StopTask):
            outcome = box.stop(order.task, order.run, token, self.now)
        else:
            outcome = box.pace(order.task, order.run, order.percent, token, self.now)
        self.check()
        if self.box_crashes.crashes_at_once(box):
            self.box_crashes.crash_for_now(box, self.now)
            return BoxNoAnswer("connection lost")
        return outcome

    def poll(
        self,
        sender: DeciderProcess,
        incarnation: str,
        known: int,
        lease_ends_ms: int | None,
    ) -> PollOutcome:
        """Look at a box."""
        if self._unreachable(sender, incarnation):
            return BoxNoAnswer("cut")
        box = self.boxes[incarnation]
        if not box.alive:
            return self._dead(incarnation)
        for row in box.unconfirmed():
            if row.number <= known:
                self._confirmed(box, row)
        return box.poll(known, lease_ends_ms, sender.epoch, self.now)

    def _confirmed(self, box: BoxModel, row: EndedRun) -> None:
        if row.how == "failed":
            self._failed[row.task] = self._failed.get(row.task, 0) + 1
        if row.how != "done":
            return
        self._done.setdefault(row.task, self.now)
        ended = next(r.ended for r in box.history if (r.task, r.run) == row[1:3])
        assert ended is not None
        for other in self.boxes.values():
            for run in other.history:
                lapsed = any(ended < at <= run.began for at in box.lapses)
                if run.task == row.task and run.began > ended and not lapsed:
                    raise PromiseBroken(f"{run.task} began after an end that counts")

    def _dead(self, incarnation: str) -> BoxReplaced | BoxNoAnswer:
        """Return what a call gets at the address of a life that has ended."""
        if self.box_crashes.is_down(incarnation, self.now):
            return BoxNoAnswer("connection refused", sent=False)
        return BoxReplaced()

    def _unreachable(self, sender: DeciderProcess, incarnation: str) -> bool:
        return incarnation in sender.cut_from or self.now < self.cut.get(
            incarnation, 0.0
        )

    def advance(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(max(1, round(seconds / STEP_S))):
            self.now += STEP_S
            self._run_boxes()
            for process in self.processes:
                process.tick()
                process.list_boxes()
            self.processes = [
                p for p in self.processes if not p.over or p is self.processes[-1]
            ]
            self.check()

    def _run_boxes(self) -> None:
        due = [late for late in self._late if late.at <= self.now]
        self._late = [late for late in self._late if late.at > self.now]
        for late in due:
            if self.boxes[late.order.incarnation].alive:
                self._carry_out(late.order, late.lease_ends_ms, late.token)
        self._crash_boxes()
        for box in self.boxes.values():
            box.tick(self.now)
            for run in list(box.running.values()):
                if self._lasts(run.task):
                    continue
                if self.now - run.began > TASK_S[int(run.task[-1]) % len(TASK_S)]:
                    failed = self.random.random() < self.fail_share
                    box.end(run.task, "failed" if failed else "done", self.now)

    def _lasts(self, task: str) -> bool:
        """Say whether a task runs until its job is cancelled."""
        return self._step(task).long_running

    def check(self) -> None:
        """Judge what runs now and what began since the last look.

        :raises PromiseBroken: naming the task.
        """
        where: dict[str, str] = {}
        for box in self.boxes.values():
            for run in box.running.values():
                if run.task in where:
                    raise PromiseBroken(f"{run.task} runs on two boxes")
                where[run.task] = box.incarnation
            for run in box.history:
                if id(run) not in self._judged:
                    self._judged.add(id(run))
                    self._judge(run)
                    self._judge_room(box)

    def _still_counts(self, incarnation: str) -> int:
        """Return the room that a box had until a moment ago, if it shrank."""
        before, until = self._room_before.get(incarnation, (0, 0.0))
        return before if self.now <= until else 0

    def _judge_room(self, box: BoxModel) -> None:
        """Judge that a start left a box within its room; what is being stopped counts."""
        entry = self.entries.get(box.incarnation)
        if entry is None:
            return
        room = max(entry.cpu, self._still_counts(box.incarnation))
        used = sum(self._step(run.task).cpu for run in box.running.values())
        if used > room:
            raise PromiseBroken(
                f"{box.incarnation} has room for {room}, and runs {used}"
            )

    def _step(self, task: str) -> Step:
        job, _, step, _ = task.split(".")
        call = self._asked[job]
        assert isinstance(call, SubmitJob)
        return call.submission.steps[int(step)]

    def _judge(self, run: BoxRun) -> None:
        job = run.task.split(".")[0]
        if run.task in self._done:
            raise PromiseBroken(f"{run.task} began again after it was done")
        if self._failed.get(run.task, 0) >= MAX_ATTEMPTS:
            raise PromiseBroken(f"{run.task} began after its last attempt failed")
        if self.box_crashes.started_too_often(run.task):
            raise PromiseBroken(f"{run.task} crashes its boxes and is started again")
        if run.spec != f"spec-{job}" or job not in self._asked:
            raise PromiseBroken(f"{run.task} was not asked for")
        self._judge_order(run, job)

    def _judge_order(self, run: BoxRun, job: str) -> None:
        call = self._asked[job]
        assert isinstance(call, SubmitJob)
        step = int(run.task.split(".")[2])
        ended_done = {
            other.task
            for box in self.boxes.values()
            for other in box.history
            if other.how == "done"
        }
        for earlier in call.submission.steps[step].depends_on:
            for index in range(call.submission.steps[earlier].count):
                if f"{job}.0.{earlier}.{index}" not in ended_done:
                    raise PromiseBroken(f"{run.task} began before step {earlier}")

    def _cancel_lasting(self) -> None:
        for job, workflow in list(self.leader.scheduler.state.workflows.items()):
            lasts = any(step.long_running for step in workflow.submission.steps)
            if lasts and not workflow.terminal:
                self.cancel(job)

    def _may_have_failed(self, job: str) -> bool:
        """Say whether a task of a job failed often enough, or lost enough boxes."""
        failed: collections.Counter[str] = collections.Counter(
            run.task
            for box in self.boxes.values()
            for run in box.history
            if run.how == "failed"
        )
        often = any(
            task.startswith(f"{job}.") and count >= MAX_ATTEMPTS
            for task, count in failed.items()
        )
        return often or self.box_crashes.may_be_given_up(job)

    def settle(self, seconds: float) -> None:
        """Mend everything, cancel what lasts, and check that every accepted job comes to
        its end.

        :raises PromiseBroken: if one was lost or stands still.
        """
        self.late_share = self.lost_share = self.fail_share = 0.0
        self.cut.clear()
        self.join()
        for hall in list(self.evacuated):
            self.restore(hall)
        self.store_down = False
        if self.leader.over or self.leader.frozen:
            self.take_over()
        state = self.leader.scheduler.state
        while seconds > 0 and not all(w.terminal for w in state.workflows.values()):
            self._cancel_lasting()
            self.advance(1.0)
            seconds -= 1.0
        # What is left of ended jobs stops within a look or two.
        self.advance(1.0)
        for job in self.accepted:
            workflow = state.workflows.get(job)
            if workflow is None:
                raise PromiseBroken(f"{job} was accepted and is not known")
            if not workflow.terminal:
                left = [t.name for t in workflow.tasks.values() if t.state != DONE]
                raise PromiseBroken(f"{job} did not end: {left}")
            if workflow.ended == "cancelled" and job not in self.cancelled:
                raise PromiseBroken(f"{job} counts as cancelled")
            if workflow.ended == "failed" and not self._may_have_failed(job):
                raise PromiseBroken(f"{job} counts as failed")
        running = [run for box in self.boxes.values() for run in box.running]
        if running:
            raise PromiseBroken(f"{running[0]} still runs at the end")
