"""A box as the platform has one: it runs what it is told under leases, fences orders
by epoch, and keeps each end until it is confirmed. It also notes every start and
end, so that tests can judge what really happened."""

import itertools
import typing as t

from granitetrestle.outside import EndedRun
from granitetrestle.outside import Look
from granitetrestle.outside import OrderAccepted
from granitetrestle.outside import OrderRejected
from granitetrestle.outside import RunningTask

__all__ = ["BoxModel", "BoxRun"]

# Ends that one answer lists.
ENDS_AT_ONCE = 500


class BoxRun:
    """One run of a task on a box. Times in seconds."""

    def __init__(self, task: str, run: int, spec: str, began: float) -> None:
        self.task = task
        self.run = run
        self.spec = spec
        self.began = began
        self.ended: float | None = None
        self.how = ""
        self.pace = 100


class BoxModel:
    """One life of a box.

    :ivar history: every run that ever began here.
    :ivar confirmed: numbers of ends that were confirmed.
    :ivar lapses: when its lease was over.
    """

    def __init__(self, life: str, hold_max_s: float = 10.0) -> None:
        self.life = life
        self.alive = True
        self.running: dict[str, BoxRun] = {}
        self.history: list[BoxRun] = []
        self.confirmed = 0
        self._hold_max_s = hold_max_s
        self._token = 0
        self._lease_ends = 0.0
        self._leased = False
        self._highest: dict[str, int] = {}
        self._ended: list[EndedRun] = []
        self.lapses: list[float] = []
        self._numbers = itertools.count(1)

    def _clock_ms(self, now: float) -> int:
        return int(now * 1000)

    def _fenced(self, token: int) -> bool:
        if token < self._token:
            return True
        self._token = token
        return False

    def _renew(self, lease_ends_ms: int | None, now: float) -> None:
        if lease_ends_ms is not None:
            latest = min(lease_ends_ms / 1000.0, now + self._hold_max_s)
            self._lease_ends = max(self._lease_ends, latest)

    def tick(self, now: float) -> None:
        """End everything once its lease is over."""
        if now <= self._lease_ends:
            self._leased = True
        elif self._leased:
            self._leased = False
            self.lapses.append(now)
            for task in list(self.running):
                self.end(task, "lapsed", now)

    def start(
        self, task: str, run: int, spec: str, lease_ends_ms: int, token: int, now: float
    ) -> OrderAccepted | OrderRejected:
        """Begin a run."""
        clock = self._clock_ms(now)
        if self._fenced(token):
            return OrderRejected("fence", clock)
        self._renew(lease_ends_ms, now)
        current = self.running.get(task)
        if current is not None and current.run == run:
            return OrderAccepted(clock)
        if current is not None or run <= self._highest.get(task, 0):
            return OrderRejected("old", clock)
        if lease_ends_ms <= clock:
            return OrderRejected("late", clock)
        began = BoxRun(task, run, spec, now)
        self.running[task] = began
        self.history.append(began)
        return OrderAccepted(clock)

    def stop(
        self, task: str, run: int, token: int, now: float
    ) -> OrderAccepted | OrderRejected:
        """End a run, or see to it that it never begins."""
        clock = self._clock_ms(now)
        if self._fenced(token):
            return OrderRejected("fence", clock)
        self._highest[task] = max(run, self._highest.get(task, 0))
        current = self.running.get(task)
        if current is not None and current.run <= run:
            self.end(task, "stopped", now)
        return OrderAccepted(clock)

    def pace(
        self, task: str, run: int, percent: int, token: int, now: float
    ) -> OrderAccepted | OrderRejected:
        """Let a run work at a share of its speed."""
        clock = self._clock_ms(now)
        if self._fenced(token):
            return OrderRejected("fence", clock)
        current = self.running.get(task)
        if current is not None and current.run == run:
            current.pace = percent
        return OrderAccepted(clock)

    def look(
        self, known: int, lease_ends_ms: int | None, token: int, now: float
    ) -> Look | OrderRejected:
        """Confirm ends, renew the lease, list what runs and what ended."""
        clock = self._clock_ms(now)
        if self._fenced(token):
            return OrderRejected("fence", clock)
        self.confirmed = max(self.confirmed, known)
        self._ended = [row for row in self._ended if row.number > known]
        self._renew(lease_ends_ms, now)
        running = tuple(
            RunningTask(run.task, run.run, "", 0, 0.0) for run in self.running.values()
        )
        listed = tuple(self._ended[:ENDS_AT_ONCE])
        return Look(clock, running, listed, len(listed) >= ENDS_AT_ONCE)

    def end(self, task: str, how: str, now: float) -> None:
        """Let a run end."""
        run = self.running.pop(task)
        run.ended, run.how = now, how
        self._highest[task] = max(run.run, self._highest.get(task, 0))
        number = next(self._numbers)
        self._ended.append(EndedRun(number, task, run.run, how, ""))

    def crash(self, now: float) -> None:
        """End this life, silently and for good."""
        self.alive = False
        for run in self.running.values():
            run.ended, run.how = now, "crashed"
        self.running.clear()

    def unconfirmed(self) -> t.Sequence[EndedRun]:
        """Return ends that were not confirmed yet."""
        return tuple(self._ended)
