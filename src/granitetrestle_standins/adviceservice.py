"""A model of the platform's advice service in virtual time, after the platform's
specification: for each calling machine it handles one call at a time, in turn, also one
that its caller has given up, and it refuses calls while too many wait."""

import collections
import dataclasses
import typing as t

from granitetrestle.decisions import AskAdvice
from granitetrestle.interfaces import Advice
from granitetrestle.interfaces import AdviceUnavailable

__all__ = ["MAX_WAITING", "AdviceServiceModel", "Outcome"]

MAX_WAITING: t.Final = 32


class Outcome(t.NamedTuple):
    """What a caller gets for a call."""

    asked: AskAdvice
    advice: Advice | AdviceUnavailable


@dataclasses.dataclass(slots=True)
class _Call:
    asked: AskAdvice
    caller: str
    sent_at: float
    given_up: bool = False


class AdviceServiceModel:
    """Answers questions of several callers.

    :param decide_s: duration of a call, beside the time for each box.
    :param allows: returns whether a box may run a step.
    :ivar slowness: how many times longer than stated calls take.
    :ivar silent: whether calls arrive, and nothing is handled.
    :ivar answered: calls whose answer their caller received.
    :ivar wasted: calls that were handled after their caller had given them up.
    :ivar refused: calls that found too many others waiting.
    :ivar most_open: most calls that one caller had open at once.
    """

    def __init__(
        self,
        decide_s: float,
        each_s: float,
        valid_s: float,
        allows: t.Callable[[str, str], bool],
    ) -> None:
        self.decide_s, self.each_s, self.valid_s = decide_s, each_s, valid_s
        self._allows = allows
        self._lines: dict[str, collections.deque[_Call]] = {}
        # Caller -> when the first call of its line is done.
        self._done_at: dict[str, float] = {}
        self.tickets: dict[str, tuple[str, str, float]] = {}
        self.slowness = 1.0
        self.silent = False
        self.answered = self.wasted = self.refused = self.most_open = 0

    def call(self, asked: AskAdvice, caller: str, now: float) -> list[Outcome]:
        """Receive a call; returns its outcome if it is refused."""
        line = self._lines.setdefault(caller, collections.deque())
        if len(line) > MAX_WAITING:
            self.refused += 1
            return [Outcome(asked, AdviceUnavailable("429"))]
        line.append(_Call(asked, caller, now))
        open_calls = sum(not call.given_up for call in line)
        self.most_open = max(self.most_open, open_calls)
        return []

    def fill_line(self, asked: AskAdvice, caller: str, now: float) -> None:
        """Leave the calls of an earlier process of the caller's machine in line."""
        line = self._lines.setdefault(caller, collections.deque())
        while len(line) <= MAX_WAITING:
            line.append(_Call(asked, caller, now, given_up=True))

    def disconnect(self, caller: str) -> None:
        """Give up all calls of a caller, which has ended."""
        for call in self._lines.get(caller, ()):
            call.given_up = True

    def advance(self, now: float) -> list[Outcome]:
        """Handle calls until ``now``; returns the outcomes that callers see."""
        outcomes: list[Outcome] = []
        for caller, line in self._lines.items():
            for call in line:
                if not call.given_up and now - call.sent_at > call.asked.timeout_s:
                    call.given_up = True
                    failure = AdviceUnavailable("no answer in time", timed_out=True)
                    outcomes.append(Outcome(call.asked, failure))
            if line and not self.silent:
                outcomes += self._handle(caller, line, now)
        return outcomes

    def _handle(
        self, caller: str, line: "collections.deque[_Call]", now: float
    ) -> list[Outcome]:
        call = line[0]
        if caller not in self._done_at:
            stated_s = self.decide_s + self.each_s * len(call.asked.incarnations)
            self._done_at[caller] = now + stated_s * self.slowness
        if now < self._done_at[caller]:
            return []
        del self._done_at[caller]
        line.popleft()
        if call.given_up:
            self.wasted += 1
            return []
        self.answered += 1
        return [Outcome(call.asked, self._answer(call.asked, now))]

    def _answer(self, asked: AskAdvice, now: float) -> Advice:
        step = f"{asked.job}.{asked.occurrence}.{asked.step}"
        tickets: dict[str, str] = {}
        for incarnation in asked.incarnations:
            if self._allows(step, incarnation):
                ticket = f"t{len(self.tickets)}"
                self.tickets[ticket] = (step, incarnation, now + self.valid_s)
                tickets[incarnation] = ticket
        return Advice(tickets, self.valid_s)

    def accepts(self, ticket: str, task: str, incarnation: str, now: float) -> bool:
        """Return whether a start with this ticket is taken."""
        step, box, until = self.tickets.get(ticket, ("", "", 0.0))
        return task.startswith(f"{step}.") and box == incarnation and now < until
