"""Whether a decider answers what is forwarded to it.

The load it answers: a decider that reports that it decides, and is too busy, or stands too
still, to answer anything. Each request that is sent to it waits until its time is over and
ends in doubt. Who has waited in vain knows that the next would too: that one is refused
before it is sent, which is true, and its client is told when to come back."""

import itertools
import time
import typing as t

__all__ = ["AnswerWatch"]

# A decider on a slow store answers within some 0.5 s, or refuses by itself; a request to
# one that is gone is sent to the next within about a second.
ANSWER_TIMEOUT_S: t.Final = 1.2
# So many requests must be without an answer: one alone may have been lost on its way.
MIN_OVERDUE_REQUESTS: t.Final = 3
# One request in this time is sent all the same, to learn when answers come again.
PROBE_INTERVAL_S: t.Final = 0.5
# Clients come back spread over some seconds, not all together (seconds; HTTP carries whole
# ones).
RETRY_AFTER_CHOICES_S: t.Final = (1, 2, 3)


class AnswerWatch:
    """Follows the requests of one process that wait for one decider.

    :param clock: seconds on a steady clock.
    """

    def __init__(self, clock: t.Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._target: object = None
        # Request -> when it was first sent to the decider that is known now.
        self._sent_at: dict[int, float] = {}
        self._answered_at = -1e9
        self._probed_at = -1e9
        self._retry_after_choices = itertools.cycle(RETRY_AFTER_CHOICES_S)

    def record_sent(self, number: int, target: object) -> None:
        """Note that a request was sent; a new decider starts with a clean record."""
        if target != self._target:
            self._target = target
            self._sent_at.clear()
        self._sent_at.setdefault(number, self._clock())

    def record_answer(self, number: int) -> None:
        """Note an answer of the decider: those that waited in vain before tell nothing
        any more."""
        if self._sent_at.pop(number, None) is not None:
            now = self._answered_at = self._clock()
            self._sent_at = {
                n: at for n, at in self._sent_at.items() if not _is_overdue(at, now)
            }

    def remove(self, number: int) -> None:
        """Forget a request: its client was answered, or has left."""
        sent = self._sent_at.get(number)
        if sent is not None and not _is_overdue(sent, self._clock()):
            del self._sent_at[number]

    def should_refuse(self, target: object) -> bool:
        """Say whether a request need not be sent, since it would not be answered."""
        now = self._clock()
        if target != self._target or now - self._answered_at < ANSWER_TIMEOUT_S:
            return False
        if (
            sum(_is_overdue(sent, now) for sent in self._sent_at.values())
            < MIN_OVERDUE_REQUESTS
        ):
            return False
        if now - self._probed_at >= PROBE_INTERVAL_S:
            self._probed_at = now
            return False
        return True

    def next_retry_after_s(self) -> int:
        """Return when the next client that is refused should come back."""
        return next(self._retry_after_choices)


def _is_overdue(sent: float, now: float) -> bool:
    return now - sent > ANSWER_TIMEOUT_S
