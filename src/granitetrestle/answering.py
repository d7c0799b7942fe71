"""Circuit breaker for requests that are forwarded to the leader.

A leader may still report itself while it is too busy, or stalled for too long, to answer
requests. Each request sent to it then waits until its deadline and ends with an unknown
outcome. Once enough requests have gone unanswered, further ones are refused before they
are sent. Such a refusal is certain, and it tells the client when to retry."""

import itertools
import time
import typing as t

__all__ = ["AnswerWatch"]

# A leader on a slow store answers or refuses within some 0.5 s. A request to one that has
# failed is sent to its successor within about a second.
ANSWER_TIMEOUT_S: t.Final = 1.2
# A single request without an answer may be a lost message.
MIN_OVERDUE_REQUESTS: t.Final = 3
# One request per interval is still sent, to detect that the leader answers again.
PROBE_INTERVAL_S: t.Final = 0.5
# Used in turn, so that refused clients do not all retry at once. HTTP's Retry-After
# carries whole seconds.
RETRY_AFTER_CHOICES_S: t.Final = (1, 2, 3)


class AnswerWatch:
    """Tracks the requests of one process that wait for an answer of one leader.

    :param clock: seconds on a steady clock.
    """

    def __init__(self, clock: t.Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._target: object = None
        # Request -> when it was first sent to the current leader.
        self._sent_at: dict[int, float] = {}
        self._answered_at = -1e9
        self._probed_at = -1e9
        self._retry_after_choices = itertools.cycle(RETRY_AFTER_CHOICES_S)

    def record_sent(self, number: int, target: object) -> None:
        """Record that a request was sent; a new target discards earlier records.

        :param target: the leader and its epoch.
        """
        if target != self._target:
            self._target = target
            self._sent_at.clear()
        self._sent_at.setdefault(number, self._clock())

    def record_answer(self, number: int) -> None:
        """Record an answer of the leader. Requests that are overdue now no longer count
        against it."""
        if self._sent_at.pop(number, None) is not None:
            now = self._answered_at = self._clock()
            self._sent_at = {
                n: at for n, at in self._sent_at.items() if not _is_overdue(at, now)
            }

    def remove(self, number: int) -> None:
        """Remove a request that has ended, unless it is overdue: it still counts then."""
        sent = self._sent_at.get(number)
        if sent is not None and not _is_overdue(sent, self._clock()):
            del self._sent_at[number]

    def should_refuse(self, target: object) -> bool:
        """Return whether to refuse a request, since it would not be answered; ``False``
        for one request per probe interval."""
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
        """Return the delay in seconds after which the next refused client should
        retry."""
        return next(self._retry_after_choices)


def _is_overdue(sent: float, now: float) -> bool:
    return now - sent > ANSWER_TIMEOUT_S
