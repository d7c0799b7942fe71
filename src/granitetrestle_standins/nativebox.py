"""A box as the platform has one: it runs what it is told under leases, fences orders
by epoch, and keeps each end until it is confirmed. It also notes every start and
end, and what it was told when, so that tests can judge what really happened."""

import itertools
import math
import random
import typing as t

from granitetrestle.interfaces import CommandAccepted
from granitetrestle.interfaces import CommandRejected
from granitetrestle.interfaces import EndedRun
from granitetrestle.interfaces import PollResult
from granitetrestle.interfaces import RunningTask
from granitetrestle_standins.boxprofiles import PLAIN_BOX
from granitetrestle_standins.boxprofiles import BoxProfile
from granitetrestle_standins.boxprofiles import EndsTold
from granitetrestle_standins.boxprofiles import parse_spec
from granitetrestle_standins.runfacts import BoxFacts
from granitetrestle_standins.runfacts import EpochChange
from granitetrestle_standins.runfacts import Lapse
from granitetrestle_standins.runfacts import RefusedStart
from granitetrestle_standins.runfacts import RunFact

__all__ = ["BoxModel", "BoxRun"]

# The page's bound; the lowest numbers come first.
MAX_LISTED_ENDS: t.Final = 500


class BoxRun:
    """One run of a task on a box. Times in seconds.

    :param epoch: of the order to start it.
    :param arrived: when that order came.
    :param held_up: whether it was carried out late, unanswered.
    :ivar stop_ends: when a stop that was ordered ends it.
    :ivar noted: when its end was first confirmed.
    """

    def __init__(
        self,
        task: str,
        run: int,
        spec: str,
        began: float,
        epoch: int = 0,
        arrived: float | None = None,
        held_up: bool = False,
    ) -> None:
        self.task = task
        self.run = run
        self.spec = spec
        self.began = began
        self.epoch = epoch
        self.arrived = began if arrived is None else arrived
        self.held_up = held_up
        self.stop_ends: float | None = None
        self.ended: float | None = None
        self.noted: float | None = None
        self.how = ""
        self.pace = 100


class BoxModel:
    """One life of a box.

    :param hold_max_s: longest lease; ``None`` for the profile's.
    :param draw: decides how long stops last.
    :param born: when this life began, in seconds.
    :param born_ms: the same as it tells it, by the time of day.
    :ivar history: every run that ever began here.
    :ivar confirmed: numbers of ends that were confirmed.
    :ivar lapses: when its lease was over.
    """

    def __init__(
        self,
        incarnation: str,
        hold_max_s: float | None = None,
        profile: BoxProfile = PLAIN_BOX,
        draw: random.Random | None = None,
        started_s: float = 0.0,
        started_ms: int | None = None,
    ) -> None:
        self.incarnation = incarnation
        self.started_ms = started_ms
        self.alive = True
        self.running: dict[str, BoxRun] = {}
        self.history: list[BoxRun] = []
        self.acknowledged_end = 0
        self.profile = profile
        self._hold_max_s = profile.hold_max_s if hold_max_s is None else hold_max_s
        self._draw = draw or random.Random(0)
        self._started_s = started_s
        self._highest_token = 0
        # By its own clock.
        self._lease_end_s = 0.0
        self._leased = False
        self._highest_runs: dict[str, int] = {}
        self._ended: list[EndedRun] = []
        self._runs_by_end: dict[int, BoxRun] = {}
        self.lapses: list[float] = []
        self._refused: list[RefusedStart] = []
        self._epochs: list[EpochChange] = []
        self._end_numbers = itertools.count(1)
        self._newest_end = 0

    def _clock(self, now: float) -> float:
        passed = now - self._started_s
        return self.profile.clock_origin_s + self.profile.clock_rate * passed

    def _clock_ms(self, now: float) -> int:
        return int(self._clock(now) * 1000)

    def _fenced(self, token: int, now: float) -> bool:
        if token < self._highest_token:
            return True
        self._highest_token = token
        if not self._epochs or self._epochs[-1].epoch != token:
            self._epochs.append(EpochChange(self.incarnation, now, token))
        return False

    def _renew(self, lease_ends_ms: int | None, now: float) -> None:
        if lease_ends_ms is not None:
            latest = min(lease_ends_ms / 1000.0, self._clock(now) + self._hold_max_s)
            self._lease_end_s = max(self._lease_end_s, latest)

    def tick(self, now: float) -> None:
        """End what was stopped, and everything once its lease is over."""
        for run in list(self.running.values()):
            if run.stop_ends is not None and now >= run.stop_ends:
                self.end(run.task, "stopped", now)
        if self._clock(now) <= self._lease_end_s:
            self._leased = True
        elif self._leased:
            self._leased = False
            self.lapses.append(now)
            for task in list(self.running):
                self.end(task, "lapsed", now)

    def start(
        self,
        task: str,
        run: int,
        spec: str,
        lease_ends_ms: int,
        token: int,
        now: float,
        arrived: float | None = None,
        held_up: bool = False,
    ) -> CommandAccepted | CommandRejected:
        """Begin a run.

        :param arrived: when the order came, if that was before.
        :param held_up: whether it is carried out late, unanswered.
        """
        self.tick(now)
        clock = self._clock_ms(now)
        if self._fenced(token, now):
            refused = self._refusal_reason(task, run, spec, lease_ends_ms, now)
            self._refused.append(
                RefusedStart(
                    self.incarnation,
                    now,
                    task,
                    run,
                    token,
                    self._highest_token,
                    refused is None,
                )
            )
            return CommandRejected("fence", clock)
        self._renew(lease_ends_ms, now)
        current = self.running.get(task)
        if current is not None and current.run == run:
            return CommandAccepted(clock)
        reason = self._refusal_reason(task, run, spec, lease_ends_ms, now)
        if reason is not None:
            return CommandRejected(reason, clock)
        began = BoxRun(task, run, spec, now, token, arrived, held_up)
        self.running[task] = began
        self.history.append(began)
        return CommandAccepted(clock)

    def _refusal_reason(
        self, task: str, run: int, spec: str, lease_ends_ms: int, now: float
    ) -> str | None:
        """Return why a start is refused, epochs apart; ``None`` if it is taken."""
        if task in self.running or run <= self._highest_runs.get(task, 0):
            return "old"
        if lease_ends_ms <= self._clock_ms(now):
            return "late"
        return None if self._fits(spec) else "room"

    def _fits(self, spec: str) -> bool:
        """Say whether there is room; what is being stopped still takes its own."""
        resources = self.profile.resources
        if resources is None:
            return True
        needs = [parse_spec(run.spec).resources for run in self.running.values()]
        needs.append(parse_spec(spec).resources)
        cpu = sum(need.cpu for need in needs)
        return (
            cpu <= resources.cpu
            and sum(need.mem_mb for need in needs) <= resources.mem_mb
        )

    def stop(
        self, task: str, run: int, token: int, now: float
    ) -> CommandAccepted | CommandRejected:
        """End a run, or see to it that it never begins."""
        self.tick(now)
        clock = self._clock_ms(now)
        if self._fenced(token, now):
            return CommandRejected("fence", clock)
        self._highest_runs[task] = max(run, self._highest_runs.get(task, 0))
        current = self.running.get(task)
        if current is not None and current.run <= run and current.stop_ends is None:
            current.stop_ends = now + self._draw.uniform(0.0, self.profile.max_stop_s)
            self.tick(now)
        return CommandAccepted(clock)

    def pace(
        self, task: str, run: int, percent: int, token: int, now: float
    ) -> CommandAccepted | CommandRejected:
        """Let a run work at a share of its speed."""
        clock = self._clock_ms(now)
        if self._fenced(token, now):
            return CommandRejected("fence", clock)
        current = self.running.get(task)
        if current is not None and current.run == run:
            current.pace = percent
        return CommandAccepted(clock)

    def poll(
        self, acknowledged_end: int, lease_ends_ms: int | None, token: int, now: float
    ) -> PollResult | CommandRejected:
        """Confirm ends, renew the lease, list what runs and what ended."""
        self.tick(now)
        if self._fenced(token, now):
            return CommandRejected("fence", self._clock_ms(now))
        self._acknowledge(acknowledged_end, now)
        self._renew(lease_ends_ms, now)
        return self.list_runs(now)

    def _acknowledge(self, acknowledged_end: int, now: float) -> None:
        """Take up to which number ends are known. They count as noted, whether or not it
        lists them further."""
        self.acknowledged_end = max(self.acknowledged_end, acknowledged_end)
        for number, run in self._runs_by_end.items():
            if number <= acknowledged_end and run.noted is None:
                run.noted = now
        ends_told = self.profile.ends_told
        if (
            ends_told is EndsTold.ITS_OWN_NUMBERS
            and acknowledged_end > self._newest_end
        ):
            return
        if ends_told is EndsTold.LATER_ONES_TOO:
            acknowledged_end = self.acknowledged_end
        self._ended = [row for row in self._ended if row.number > acknowledged_end]

    def list_runs(self, now: float) -> PollResult:
        """Return what runs and what ended, as an answer to a look that waited has it."""
        running = tuple(
            RunningTask(run.task, run.run, "", 0, 0.0) for run in self.running.values()
        )
        listed = tuple(self._ended[:MAX_LISTED_ENDS])
        more = len(listed) >= MAX_LISTED_ENDS
        return PollResult(self._clock_ms(now), running, listed, more)

    def end(self, task: str, how: str, now: float) -> None:
        """Let a run end."""
        run = self.running.pop(task)
        run.ended, run.how = now, how
        self._highest_runs[task] = max(run.run, self._highest_runs.get(task, 0))
        number = self._newest_end = next(self._end_numbers)
        self._runs_by_end[number] = run
        later_too = self.profile.ends_told is EndsTold.LATER_ONES_TOO
        if not (later_too and number <= self.acknowledged_end):
            self._ended.append(EndedRun(number, task, run.run, how, ""))

    def crash(self, now: float) -> None:
        """End this life, silently and for good."""
        self.alive = False
        for run in self.running.values():
            run.ended, run.how = now, "crashed"
        self.running.clear()

    def unacknowledged(self) -> t.Sequence[EndedRun]:
        """Return ends that were not confirmed yet."""
        return tuple(self._ended)

    def end_counts(self, run: BoxRun) -> bool:
        """Say whether nothing may run after a run that ended as done: its end was noted,
        or may still be. After a lapse of the lease nobody can be sure of what the box
        did, and an end that is noted only then doesn't count."""
        if run.ended is None or (run.noted is None and not self.alive):
            return False
        until = math.inf if run.noted is None else run.noted
        return not any(run.ended <= at <= until for at in self.lapses)

    def facts(self, hall: str) -> BoxFacts:
        """Return all that this life saw."""
        runs = [
            RunFact(
                box=self.incarnation,
                hall=hall,
                task=run.task,
                run=run.run,
                epoch=run.epoch,
                arrived=run.arrived,
                held_up=run.held_up,
                began=run.began,
                ended=run.ended,
                how=run.how,
                noted=run.noted,
            )
            for run in self.history
        ]
        lapses = [Lapse(self.incarnation, at) for at in self.lapses]
        return BoxFacts(runs, lapses, list(self._refused), list(self._epochs))
