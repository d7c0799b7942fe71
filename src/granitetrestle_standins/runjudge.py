"""Checks a run against the platform's guarantees, from what boxes and clients observed:
a task that has ended as done isn't started again, no task runs twice at a time, epochs
on a box only rise, accepted jobs stay known, there is a leader soon after the last
disturbance, a long-running task runs again soon after its box left and after any other
end, a job is only shown as failed with cause, and a task that crashes boxes is
contained. The checks are deterministic and make no calls, so that a saved run can be
judged again."""

import bisect
import collections
import enum
import math
import typing as t

from granitetrestle_standins.runfacts import DONE
from granitetrestle_standins.runfacts import FAILED
from granitetrestle_standins.runfacts import BoxLoss
from granitetrestle_standins.runfacts import ClientEvent
from granitetrestle_standins.runfacts import Facts
from granitetrestle_standins.runfacts import RunFact
from granitetrestle_standins.runfacts import job_of
from granitetrestle_standins.runfacts import step_of

__all__ = ["Violation", "ViolationKind", "FactsIncomplete", "Verdict", "judge"]

# The platform's specification allows a start for this long after an end was
# acknowledged or a job was shown as completed: the sender may not know of it yet.
MAX_START_AFTER_END_S: t.Final = 1.0
# The program's own target for the next decision after a disturbance.
DECISION_TIMEOUT_S: t.Final = 1.5
# Longest lease of a box in the cluster of real processes.
LEASE_S: t.Final = 4.0
# The program's own limit on the silence of a box, after which it renews no lease.
SILENCE_LIMIT_S: t.Final = 1.2
# What real processes add: the start of one, a poll and a write.
PROCESS_SLACK_S: t.Final = 1.5
# How much longer a leader may wait if its predecessor did not hand over in order or the
# store was not well.
DISORDER_S: t.Final = 8.0
# Accounts are promised that a task crashes no more boxes than this.
MAX_CULPRIT_CRASHES: t.Final = 5


class FactsIncomplete(Exception):
    """Too little was recorded to judge: a fault of the test rig, not of the program."""


class ViolationKind(enum.Enum):
    """The guarantee that was broken."""

    AFTER_NOTED_END = "started after an acknowledged end as done"
    LONG_AFTER_END = (
        "started over a second after an acknowledged end or the job shown as completed"
    )
    OVERLAPPING_RUNS = "two runs of a task at a time"
    LOWER_EPOCH = "a command of a lower epoch was executed after one of a higher epoch"
    UNKNOWN_JOB = "an accepted job was not known later"
    NO_DECISION = "no leader answered soon after the last disturbance"
    LATE_RESTART = "a long-running task ran again too late after its box left"
    NOT_RESTARTED = "a long-running task did not run again after an end"
    FAILED_WITHOUT_CAUSE = "a job was shown as failed without cause"
    NOT_CONTAINED = "a task crashed too many boxes"


class Violation(t.NamedTuple):
    """One broken guarantee.

    :param subject: the task, job or box; empty for the whole run.
    """

    kind: ViolationKind
    subject: str
    at: float
    text: str


class Verdict(t.NamedTuple):
    """The result of judging a run.

    :param unfenced_starts: refused starts that a box without fences would have taken.
        They are no violations, but only the epoch that the box remembered stopped them.
    """

    violations: list[Violation]
    unfenced_starts: int


def judge(facts: Facts) -> Verdict:
    """Judge a run.

    :raises FactsIncomplete: if too little was recorded.
    """
    checks = _Judge(facts)
    violations = [
        *checks.find_starts_after_end(),
        *checks.find_overlaps(),
        *checks.find_lower_epochs(),
        *checks.find_unknown_jobs(),
        *checks.check_decision(),
        *checks.find_late_restarts(),
        *checks.find_missing_restarts(),
        *checks.find_failures_without_cause(),
        *checks.find_uncontained(),
    ]
    unfenced = sum(refused.acceptable for refused in facts.refused)
    return Verdict(sorted(violations, key=lambda violation: violation.at), unfenced)


class _Judge:
    def __init__(self, facts: Facts) -> None:
        self._facts = facts
        self._by_task: dict[str, list[RunFact]] = collections.defaultdict(list)
        for run in sorted(facts.runs, key=lambda run: run.began):
            self._by_task[run.task].append(run)
        self._lapses: dict[str, list[float]] = collections.defaultdict(list)
        for lapse in sorted(facts.lapses, key=lambda lapse: lapse.at):
            self._lapses[lapse.box].append(lapse.at)
        self._crashes: dict[str, list[float]] = collections.defaultdict(list)
        for crash in sorted(facts.culprits, key=lambda crash: crash.at):
            self._crashes[crash.task].append(crash.at)
        self._completed = self._first_told(ClientEvent.COMPLETED)
        self._failed = self._first_told(ClientEvent.FAILED)
        self._cancelled = self._first_told(ClientEvent.CANCEL_SENT)

    def _first_told(self, told: ClientEvent) -> dict[str, float]:
        times: dict[str, float] = {}
        for fact in sorted(self._facts.clients, key=lambda fact: fact.at):
            if fact.told is told:
                times.setdefault(fact.job, fact.at)
        return times

    def find_starts_after_end(self) -> t.Iterator[Violation]:
        """Find starts of a task after an end of it that counts."""
        exempt = self._facts.lasting | self._facts.speculative
        for task, runs in self._by_task.items():
            if step_of(task) in exempt:
                continue
            ends = [run for run in runs if self._end_counts(run)]
            for run in runs:
                yield from self._after_noted_end(run, ends)
                yield from self._after_known_end(run, ends)

    def _end_counts(self, run: RunFact) -> bool:
        """Return whether a run ended as done and its end was acknowledged before the
        lease expired; after that it is uncertain what the box did."""
        if run.how != DONE or run.ended is None or run.noted is None:
            return False
        lapses = self._lapses[run.box]
        next_lapse = bisect.bisect_left(lapses, run.ended)
        return next_lapse == len(lapses) or lapses[next_lapse] > run.noted

    @staticmethod
    def _after_noted_end(run: RunFact, ends: list[RunFact]) -> t.Iterator[Violation]:
        before = [end for end in ends if end is not run and _end_time(end) <= run.began]
        if before:
            text = f"{_describe(run)} after {_describe(before[0])}"
            yield Violation(ViolationKind.AFTER_NOTED_END, run.task, run.began, text)

    def _after_known_end(
        self, run: RunFact, ends: list[RunFact]
    ) -> t.Iterator[Violation]:
        if run.held_up:
            # The sender had no influence on when the box executed it.
            return
        known = [t.cast(float, end.noted) for end in ends if end is not run]
        shown = self._completed.get(job_of(run.task))
        if shown is not None:
            known.append(shown)
        if known and run.began > min(known) + MAX_START_AFTER_END_S:
            text = f"{_describe(run)}, {run.began - min(known):.3f} s after"
            yield Violation(ViolationKind.LONG_AFTER_END, run.task, run.began, text)

    def find_overlaps(self) -> t.Iterator[Violation]:
        """Find runs of one task that overlap."""
        for task, runs in self._by_task.items():
            if step_of(task) in self._facts.speculative:
                continue
            longest = runs[0]
            for run in runs[1:]:
                if run.began < _end_time(longest):
                    text = f"{_describe(run)} overlaps {_describe(longest)}"
                    yield Violation(
                        ViolationKind.OVERLAPPING_RUNS, task, run.began, text
                    )
                longest = max(longest, run, key=_end_time)

    def find_lower_epochs(self) -> t.Iterator[Violation]:
        """Find commands that a box executed after it had seen a higher epoch."""
        highest: dict[str, int] = {}
        for change in sorted(self._facts.epochs, key=lambda change: change.at):
            before = highest.get(change.box, 0)
            if change.epoch < before:
                text = f"{change.box} executed epoch {change.epoch} after {before}"
                yield Violation(ViolationKind.LOWER_EPOCH, change.box, change.at, text)
            highest[change.box] = max(before, change.epoch)

    def find_unknown_jobs(self) -> t.Iterator[Violation]:
        """Find accepted jobs that the program no longer knows, though it must."""
        accepted: dict[str, float] = {}
        cancelled: set[str] = set()
        for fact in sorted(self._facts.clients, key=lambda fact: fact.at):
            if fact.told is ClientEvent.ACCEPTED:
                accepted.setdefault(fact.job, fact.at)
            elif fact.told is ClientEvent.CANCEL_SENT:
                cancelled.add(fact.job)
            elif fact.told in (ClientEvent.GONE, ClientEvent.UNANSWERED):
                unknown = fact.job in accepted and fact.job not in cancelled
                if unknown and not self._retention_expired(fact.job, fact.at):
                    late_s = fact.at - accepted.pop(fact.job)
                    text = f"{fact.told.value} {late_s:.3f} s after it was accepted"
                    yield Violation(ViolationKind.UNKNOWN_JOB, fact.job, fact.at, text)

    def _retention_expired(self, job: str, at: float) -> bool:
        completed = self._completed.get(job)
        return completed is not None and at > completed + self._facts.keep_s

    def check_decision(self) -> t.Iterator[Violation]:
        """Check that a call was answered soon after the last disturbance.

        :raises FactsIncomplete: if no call was made in that time.
        """
        since = self._facts.last_fault
        if since is None:
            return
        until = since + DECISION_TIMEOUT_S
        probes = [probe for probe in self._facts.probes if since <= probe.sent < until]
        if not probes:
            raise FactsIncomplete(f"no call was made from {since:.3f} to {until:.3f} s")
        answers = [
            probe.answered
            for probe in self._facts.probes
            if probe.sent >= since and probe.answered is not None
        ]
        if not answers or min(answers) > until:
            after = f"{min(answers) - since:.3f} s" if answers else "never"
            text = f"time to the first answer: {after}, limit {DECISION_TIMEOUT_S} s"
            yield Violation(ViolationKind.NO_DECISION, "", until, text)

    def find_late_restarts(self) -> t.Iterator[Violation]:
        """Find long-running tasks that ran again too late after their box left. Without
        a disorder the bound does not depend on how often leaders handed over, and with
        one not on how often they changed."""
        for loss in self._facts.losses:
            due = self._restart_due(loss)
            for task, runs in self._by_task.items():
                there = [run for run in runs if _is_lost_with(run, loss)]
                if not there or step_of(task) not in self._facts.lasting:
                    continue
                later = [run.began for run in runs if run.began > loss.at]
                again = min([*later, self._cancelled.get(job_of(task), math.inf)])
                if again > due:
                    text = (
                        f"{_describe(there[-1])}, which left {loss.at:.3f}: "
                        f"{again - loss.at:.3f} s, limit {due - loss.at:.3f} s"
                    )
                    yield Violation(ViolationKind.LATE_RESTART, task, due, text)

    def find_missing_restarts(self) -> t.Iterator[Violation]:
        """Find long-running tasks that nobody cancelled and of which nothing runs once
        everything has been undisturbed for long. Tasks that crash boxes are exempt, and
        all of a job that is shown as failed with cause."""
        until = self._facts.observed_until
        if until is None:
            return
        for task, runs in self._by_task.items():
            if step_of(task) not in self._facts.lasting or task in self._crashes:
                continue
            last = max(runs, key=_end_time)
            due = self._due_after(_end_time(last), _end_time(last))
            if min(until, self._cancelled.get(job_of(task), math.inf)) <= due:
                continue
            failed_at = self._failed.get(job_of(task))
            if failed_at is None or not self._has_cause(job_of(task), failed_at):
                text = f"{_describe(last)}: nothing until {until:.3f}"
                yield Violation(ViolationKind.NOT_RESTARTED, task, due, text)

    def find_failures_without_cause(self) -> t.Iterator[Violation]:
        """Find jobs that were shown as failed though no task of theirs failed often
        enough or crashed a box."""
        for job, at in self._failed.items():
            if not self._has_cause(job, at):
                ends = collections.Counter(
                    run.how or "running"
                    for run in self._facts.runs
                    if job_of(run.task) == job and run.began <= at
                )
                text = f"shown at {at:.3f}, no task failed {self._facts.max_attempts} "
                text += f"times or crashed a box; runs: {dict(sorted(ends.items()))}"
                yield Violation(ViolationKind.FAILED_WITHOUT_CAUSE, job, at, text)

    def _has_cause(self, job: str, at: float) -> bool:
        """Return whether a job may be shown as failed at a time."""
        crashes = (
            found for task, found in self._crashes.items() if job_of(task) == job
        )
        if any(times[0] <= at for times in crashes):
            return True
        return any(
            sum(run.how == FAILED and _end_time(run) <= at for run in runs)
            >= self._facts.max_attempts
            for task, runs in self._by_task.items()
            if job_of(task) == job
        )

    def find_uncontained(self) -> t.Iterator[Violation]:
        """Find tasks that crashed more boxes than accounts are promised."""
        for task, times in self._crashes.items():
            if len(times) > MAX_CULPRIT_CRASHES:
                text = f"{len(times)} boxes, at most {MAX_CULPRIT_CRASHES} are promised"
                at = times[MAX_CULPRIT_CRASHES]
                yield Violation(ViolationKind.NOT_CONTAINED, task, at, text)

    def _restart_due(self, loss: BoxLoss) -> float:
        return self._due_after(loss.at, loss.unlisted)

    def _due_after(self, ended: float, since: float) -> float:
        """Return until when a task must run again.

        :param ended: when its run ended.
        :param since: a disorder that was over by then makes no difference.
        """
        due = ended + LEASE_S + SILENCE_LIMIT_S + PROCESS_SLACK_S
        disorders = self._facts.disorders
        if not any(d.since <= due and d.until >= since for d in disorders):
            return due
        due += DISORDER_S
        # Without a leader or the store nothing can start.
        return max([due, *(d.until for d in disorders if d.since <= due)])


def _is_lost_with(run: RunFact, loss: BoxLoss) -> bool:
    return run.box == loss.box and run.began <= loss.at <= _end_time(run)


def _end_time(run: RunFact) -> float:
    return float("inf") if run.ended is None else run.ended


def _describe(run: RunFact) -> str:
    end = "still running" if run.ended is None else f"{run.how} {run.ended:.3f}"
    noted = (
        "end unacknowledged" if run.noted is None else f"acknowledged {run.noted:.3f}"
    )
    late = ", executed late" if run.held_up else ""
    return (
        f"[{run.task} run {run.run} on {run.box} ({run.hall}), epoch {run.epoch}, "
        f"command {run.arrived:.3f}{late}, started {run.began:.3f}, {end}, {noted}]"
    )
