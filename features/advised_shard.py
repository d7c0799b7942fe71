"""A scheduler, boxes and a model of the advice service in virtual time."""

import dataclasses

from granitetrestle.decisions import AskAdvice
from granitetrestle.decisions import LogEvent
from granitetrestle.decisions import StartTask
from granitetrestle.decisions import StopTask
from granitetrestle.interfaces import BoxEntry
from granitetrestle.interfaces import CommandAccepted
from granitetrestle.interfaces import CommandRejected
from granitetrestle.interfaces import Config
from granitetrestle.interfaces import EndedRun
from granitetrestle.interfaces import PollResult
from granitetrestle.interfaces import Queue
from granitetrestle.interfaces import RunningTask
from granitetrestle.jobcalls import CancelJob
from granitetrestle.jobcalls import GetState
from granitetrestle.jobcalls import SubmitJob
from granitetrestle.scheduler import Scheduler
from granitetrestle.shardstate import SchedulerParameters
from granitetrestle.workflows import Step
from granitetrestle.workflows import Submission
from granitetrestle_standins.adviceservice import AdviceServiceModel

TICK_S = 0.02
POLL_TICKS = 5


@dataclasses.dataclass
class Run:
    """A run of a task on a box."""

    number: int
    ends_at: float


class AdvisedShard:
    """Jobs of queues with advice, one scheduler after the other.

    :param boxes: how many there are, of ``cpu`` thousandths of a core each.
    :param allows: whether a box may run a step; all may by default.
    """

    def __init__(
        self,
        boxes=24,
        cpu=8000,
        decide_s=0.1,
        each_s=0.02,
        valid_s=5.0,
        allows=None,
        queues=("q",),
    ):
        self.now = 10.0
        self.service = AdviceServiceModel(
            decide_s, each_s, valid_s, allows or (lambda step, box: True)
        )
        self.queues = tuple(
            Queue(
                name,
                "h",
                f"/{name}/",
                "pool",
                0,
                3,
                1.5,
                1000.0,
                True,
                valid_s * 1000.0,
                decide_s * 1000.0,
                each_s * 1000.0,
            )
            for name in queues
        )
        self.entries = {
            f"{number:04}": BoxEntry(
                f"{number:04}",
                f"10.0.0.{number}:1",
                "pool",
                "h",
                f"r{number % 4}",
                frozenset(),
                cpu,
                10**6,
                0,
                False,
                None,
                box_id=f"{number:04}",
            )
            for number in range(boxes)
        }
        self.runs = {incarnation: {} for incarnation in self.entries}
        self.ends = {incarnation: [] for incarnation in self.entries}
        self.counts = dict.fromkeys(self.entries, 0)
        self.work_s = 0.6
        # Job -> when it was submitted, and when it was completed.
        self.submitted, self.completed, self.started = {}, {}, {}
        self.cancelled = set()
        self.rejected = 0
        # The questions in the order in which they were asked.
        self.asked = []
        self.stores = []
        self._ticks = 0
        self._leaders = 0
        self.take_over()

    def take_over(self):
        """Let another process lead; it restores what was written."""
        if self._leaders:
            self.stores += self.scheduler.take_writes()
            self.service.disconnect(self.caller)
        self._leaders += 1
        self.caller = f"n{self._leaders}"
        scheduler = self.scheduler = Scheduler(SchedulerParameters(), self.now)
        newest = {record.key: record for record in self.stores}
        kept = [record for record in newest.values() if record.value is not None]
        scheduler.restore(kept, self.now)
        scheduler.apply_config(Config(1, self.queues, {"pool": True}, 262144))
        scheduler.evacuation.replace_directives([], (), self.now)
        scheduler.evacuation.record_read(self.now)
        scheduler.fleet.update_boxes(self.entries, self.now)
        for incarnation in self.entries:
            self._poll(incarnation)

    def submit(self, count=4, queue="q", cpu=1000, **changes):
        """Submit a job of one step; returns its id."""
        job = f"{len(self.submitted):016x}"
        step = Step(count, cpu, 100, estimate_ms=int(self.work_s * 1000), **changes)
        submission = Submission(job, queue, "pool", "s", (step,))
        self.submitted[job] = self.now
        self.carry_out(self.scheduler.handle_call("r", SubmitJob(submission), self.now))
        return job

    def cancel(self, job):
        """Cancel a job."""
        self.cancelled.add(job)
        self.carry_out(self.scheduler.handle_call("r", CancelJob(job), self.now))

    def carry_out(self, decisions):
        """Carry out decisions at once."""
        for decision in decisions:
            if isinstance(decision, AskAdvice):
                self._ask(decision)
            elif isinstance(decision, StartTask):
                self._start(decision)
            elif isinstance(decision, StopTask):
                self._end(decision.incarnation, decision.task, "stopped")
                self.scheduler.handle_stop_outcome(
                    decision.incarnation,
                    decision.task,
                    decision.run,
                    CommandAccepted(int(self.now * 1000)),
                    self.now,
                )
            elif isinstance(decision, LogEvent) and decision.event == "job_completed":
                self.completed[decision.subject] = self.now

    def _ask(self, asked):
        assert asked.job not in self.completed | dict.fromkeys(self.cancelled), asked
        assert 0 < len(asked.incarnations) <= 100, asked
        self.asked.append(asked)
        for outcome in self.service.call(asked, self.caller, self.now):
            self._answered(outcome)

    def _answered(self, outcome):
        self.carry_out(self.scheduler.apply_advice(*outcome, self.now))

    def _start(self, start):
        job = start.task.partition(".")[0]
        outcome = CommandAccepted(int(self.now * 1000))
        if self.service.accepts(start.ticket, start.task, start.incarnation, self.now):
            self.started.setdefault(job, self.now)
            run = Run(start.run, self.now + self.work_s)
            self.runs[start.incarnation][start.task] = run
        else:
            self.rejected += 1
            outcome = CommandRejected("ticket")
        self.carry_out(
            self.scheduler.handle_start_outcome(
                start.incarnation, start.task, start.run, outcome, self.now
            )
        )

    def _end(self, incarnation, task, how):
        run = self.runs[incarnation].pop(task, None)
        if run is not None:
            self.counts[incarnation] += 1
            end = EndedRun(self.counts[incarnation], task, run.number, how, "")
            self.ends[incarnation].append(end)

    def _poll(self, incarnation):
        for task, run in list(self.runs[incarnation].items()):
            if self.now >= run.ends_at:
                self._end(incarnation, task, "done")
        rows = tuple(
            RunningTask(task, run.number, "", 50, 0.0)
            for task, run in self.runs[incarnation].items()
        )
        poll = PollResult(int(self.now * 1000), rows, tuple(self.ends[incarnation]))
        self.ends[incarnation].clear()
        self.scheduler.fleet.plan_poll(incarnation, self.now, 0.0)
        self.carry_out(
            self.scheduler.fleet.handle_poll_outcome(
                incarnation, self.now, self.now, poll
            )
        )

    def advance(self, seconds):
        """Let time pass."""
        end = self.now + seconds
        while self.now < end:
            self.now += TICK_S
            self._ticks += 1
            self.scheduler.evacuation.record_read(self.now)
            for outcome in self.service.advance(self.now):
                self._answered(outcome)
            if self._ticks % POLL_TICKS == 0:
                for incarnation in self.entries:
                    self._poll(incarnation)
            self.carry_out(self.scheduler.decide(self.now, int(self.now * 1000)))
            self.stores += self.scheduler.take_writes()

    def state(self, job):
        """Return the state of a job as a client sees it."""
        (decision,) = self.scheduler.handle_call("g", GetState(job), self.now)
        return decision.outcome.state

    def unfinished(self):
        """Return the jobs that are neither cancelled nor completed."""
        return sorted(self.submitted.keys() - self.completed.keys() - self.cancelled)
