"""A model of the platform's box: it runs tasks under leases, fences commands by epoch,
and keeps each end until it is acknowledged. It also records every start, end, refused
start and change of epoch, so that tests can check what really ran."""

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
from granitetrestle_standins.runfacts import CulpritCrash
from granitetrestle_standins.runfacts import EpochChange
from granitetrestle_standins.runfacts import Lapse
from granitetrestle_standins.runfacts import RefusedStart
from granitetrestle_standins.runfacts import RunFact

__all__ = ["BoxModel", "BoxRun"]

# Limit of the specification for one answer; the lowest numbers come first.
MAX_LISTED_ENDS: t.Final = 500


class BoxRun:
    """One run of a task on a box. Times are in seconds.

    :param epoch: epoch of its start command.
    :param arrived: arrival time of that command.
    :param held_up: whether that command was delayed and not answered.
    :ivar stop_ends: when a stop that is in progress ends it.
    :ivar noted: when its end was first acknowledged.
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
    """One incarnation of a box.

    :param hold_max_s: longest lease; ``None`` for the profile's.
    :param draw: chooses the duration of stops.
    :param started_s: start time of this incarnation, in seconds.
    :param started_ms: start time that it reports, in ms since 1970.
    :ivar history: every run that began here.
    :ivar acknowledged_end: highest number up to which ends were acknowledged.
    :ivar lapses: times at which its lease expired.
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
        # On the clock of the box.
        self._lease_end_s = 0.0
        self._leased = False
        self._highest_runs: dict[str, int] = {}
        self._ended: list[EndedRun] = []
        self._runs_by_end: dict[int, BoxRun] = {}
        self.lapses: list[float] = []
        self._refused: list[RefusedStart] = []
        self._epochs: list[EpochChange] = []
        self._culprits: list[CulpritCrash] = []
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
        """End the runs whose stop is due, and all runs once the lease has expired."""
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
        """Start a run.

        :param arrived: arrival time of the command; ``None`` if it arrives now.
        :param held_up: whether the command was delayed and is not answered.
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
        """Return why a start is refused, epochs apart; ``None`` if it is accepted."""
        if task in self.running or run <= self._highest_runs.get(task, 0):
            return "old"
        if lease_ends_ms <= self._clock_ms(now):
            return "late"
        return None if self._fits(spec) else "room"

    def _fits(self, spec: str) -> bool:
        """Return whether a task fits; tasks that are stopping still use resources."""
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
        """Stop a run, or prevent its later start."""
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
        """Set the pace of a run, as a percentage of its full speed."""
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
        """Acknowledge ends, renew the lease, and list running and ended runs."""
        self.tick(now)
        if self._fenced(token, now):
            return CommandRejected("fence", self._clock_ms(now))
        self._acknowledge(acknowledged_end, now)
        self._renew(lease_ends_ms, now)
        return self.list_runs(now)

    def _acknowledge(self, acknowledged_end: int, now: float) -> None:
        """Apply the acknowledged number. Ends up to it count as noted, even if the
        profile keeps listing them."""
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
        """List running and ended runs, and leave ends and lease unchanged."""
        running = tuple(
            RunningTask(run.task, run.run, "", 0, 0.0) for run in self.running.values()
        )
        listed = tuple(self._ended[:MAX_LISTED_ENDS])
        more = len(listed) >= MAX_LISTED_ENDS
        return PollResult(self._clock_ms(now), running, listed, more)

    def end(self, task: str, how: str, now: float) -> None:
        """End a run and number its end."""
        run = self.running.pop(task)
        run.ended, run.how = now, how
        self._highest_runs[task] = max(run.run, self._highest_runs.get(task, 0))
        number = self._newest_end = next(self._end_numbers)
        self._runs_by_end[number] = run
        later_too = self.profile.ends_told is EndsTold.LATER_ONES_TOO
        if not (later_too and number <= self.acknowledged_end):
            self._ended.append(EndedRun(number, task, run.run, how, ""))

    def crash(self, now: float, culprit: str = "") -> None:
        """End this incarnation for good; no ends are reported.

        :param culprit: the task that crashed it, if one did.
        """
        self.alive = False
        if culprit:
            self._culprits.append(CulpritCrash(self.incarnation, now, culprit))
        for run in self.running.values():
            run.ended, run.how = now, "crashed"
        self.running.clear()

    def unacknowledged(self) -> t.Sequence[EndedRun]:
        """Return the ends that are not acknowledged yet."""
        return tuple(self._ended)

    def end_counts(self, run: BoxRun) -> bool:
        """Return whether a run's end as done forbids further runs of its task: its end
        was noted, or may still be. After the lease has expired the scheduler can't be
        sure what the box did, so an end that is noted only then doesn't count."""
        if run.ended is None or (run.noted is None and not self.alive):
            return False
        until = math.inf if run.noted is None else run.noted
        return not any(run.ended <= at <= until for at in self.lapses)

    def facts(self, hall: str) -> BoxFacts:
        """Return everything that this incarnation recorded."""
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
        epochs, culprits = list(self._epochs), list(self._culprits)
        return BoxFacts(runs, lapses, list(self._refused), epochs, culprits)
