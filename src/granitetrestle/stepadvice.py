"""What the advisor has said about the boxes of one step.

Which boxes may run a step does not change, but a ticket for a box expires. So answers are
added up: a gang may need more boxes than one call names, and a step whose tickets have
expired asks first about the boxes that were allowed before."""

import typing as t

from .interfaces import Advice

__all__ = ["StepAdvice", "Ticket"]

# A step all of whose boxes were rejected asks again after this time, then after delays
# that double: an answer may have been wrong, but a repeat is rarely of use.
FIRST_RECHECK_S: t.Final = 1.5
MAX_RECHECK_S: t.Final = 30.0


class Ticket(t.NamedTuple):
    """What a start on a box must carry.

    :param until: when it expires, in seconds on the steady clock.
    """

    text: str
    until: float


class StepAdvice:
    """The answers about one step.

    :ivar asked_at: when the advisor was last asked.
    """

    __slots__ = ("_allowed", "_recheck_s", "_rejected", "_tickets", "asked_at")

    def __init__(self) -> None:
        # By incarnation.
        self._tickets: dict[str, Ticket] = {}
        self._allowed: set[str] = set()
        self._rejected: set[str] = set()
        self._recheck_s = FIRST_RECHECK_S
        self.asked_at = -1e9

    @property
    def has_tickets(self) -> bool:
        """Whether there are tickets; :meth:`expire` drops those that are not valid."""
        return bool(self._tickets)

    def left_s(self, now: float) -> float:
        """Return for how many seconds the last ticket is valid."""
        return (
            max((ticket.until for ticket in self._tickets.values()), default=now) - now
        )

    def expire(self, now: float) -> None:
        """Drop the tickets that have expired."""
        expired = [name for name, ticket in self._tickets.items() if ticket.until < now]
        for name in expired:
            del self._tickets[name]

    def has_ticket(self, incarnation: str) -> bool:
        """Return whether there is a ticket for a box."""
        return incarnation in self._tickets

    def ticket(self, incarnation: str) -> str:
        """Return the ticket for a box, or an empty string."""
        ticket = self._tickets.get(incarnation)
        return "" if ticket is None else ticket.text

    def discard_ticket(self, incarnation: str) -> None:
        """Drop the ticket for a box, which has refused it."""
        self._tickets.pop(incarnation, None)

    def is_allowed(self, incarnation: str) -> bool:
        """Return whether a box may run the step, with or without a valid ticket."""
        return incarnation in self._allowed

    def is_unanswered(self, incarnation: str) -> bool:
        """Return whether it is of use to ask about a box."""
        return incarnation not in self._tickets and incarnation not in self._rejected

    def is_recheck_due(self, now: float) -> bool:
        """Return whether boxes that were rejected may be asked about again."""
        return bool(self._rejected) and now - self.asked_at >= self._recheck_s

    def start_recheck(self) -> None:
        """Forget which boxes were rejected, to ask about them again."""
        self._rejected.clear()
        self._recheck_s = min(MAX_RECHECK_S, 2.0 * self._recheck_s)

    def record(self, asked: t.Iterable[str], advice: Advice, until: float) -> None:
        """Record an answer.

        :param asked: the boxes that the question named.
        :param until: when its tickets expire.
        """
        for incarnation in asked:
            self._tickets.pop(incarnation, None)
            if incarnation not in advice.tickets:
                self._allowed.discard(incarnation)
                self._rejected.add(incarnation)
        for incarnation, text in advice.tickets.items():
            self._rejected.discard(incarnation)
            self._allowed.add(incarnation)
            self._tickets[incarnation] = Ticket(text, until)
