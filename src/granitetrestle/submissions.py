"""Submitted changes whose caller or operator waits for the outcome.

A change is acknowledged only once its record was read back from the log, refused as not
run only if the record provably never left, and reported as unknown otherwise.
"""

import typing as t

from .events import AppendFacts
from .events import Conclude
from .events import Effect
from .events import FactsWithdrawn
from .events import Withdraw
from .outcomes import NotRun
from .outcomes import Outcome
from .outcomes import Reason
from .outcomes import Unknown
from .records import Fact

__all__ = ["Submissions"]

SUBMISSION_TIMEOUT_S = 5.0
RETRY_AFTER_S = 2.0
MAX_PENDING_SUBMISSIONS = 5000


class _Pending(t.NamedTuple):
    stream: str
    times_out_at: float


class Submissions:
    """Changes whose record has not been read back yet."""

    def __init__(self) -> None:
        self._pending: dict[str, _Pending] = {}
        self._withdrawing: set[str] = set()

    def __len__(self) -> int:
        return len(self._pending) + len(self._withdrawing)

    def submit(self, request: str, stream: str, fact: Fact, now: float) -> list[Effect]:
        """Append a change to the log, or refuse it if too many wait."""
        if len(self) >= MAX_PENDING_SUBMISSIONS:
            busy = NotRun(Reason.OVERLOADED, RETRY_AFTER_S)
            return [Conclude(request, busy)]
        self._pending[request] = _Pending(stream, now + SUBMISSION_TIMEOUT_S)
        return [AppendFacts(stream, (fact,), request)]

    def read_back(self, request: str, outcome: Outcome) -> list[Effect]:
        """Conclude a change whose record was read back from the log."""
        if not self._remove(request):
            return []
        return [Conclude(request, outcome)]

    def _remove(self, request: str) -> bool:
        if request in self._withdrawing:
            self._withdrawing.discard(request)
            return True
        return self._pending.pop(request, None) is not None

    def tick(self, now: float) -> list[Effect]:
        """Withdraw changes that have waited too long."""
        effects: list[Effect] = []
        for request, pending in list(self._pending.items()):
            if now < pending.times_out_at:
                # In order of arrival: the later ones have not timed out either.
                break
            del self._pending[request]
            self._withdrawing.add(request)
            effects.append(Withdraw(pending.stream, request))
        return effects

    def withdrawn(self, event: FactsWithdrawn) -> list[Effect]:
        """Conclude a change that was withdrawn, or that could not be."""
        if not self._remove(event.request):
            return []
        if event.unsent:
            refused = NotRun(Reason.LOG_UNAVAILABLE, RETRY_AFTER_S)
            return [Conclude(event.request, refused)]
        detail = "its record may still reach the log"
        return [
            Conclude(event.request, Unknown(Reason.LOG_UNAVAILABLE, detail)),
        ]
