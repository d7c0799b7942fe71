"""Chooses about which waiting step the advice service is asked next, and which boxes the
call names.

The service may answer fewer questions than steps wait. Every second question goes to the
step that is placed first, so that the most urgent work starts; the others go from queue to
queue, and in each to the step that has waited longest, so that none waits without end.
The choice is made when the service is free: a step that was cancelled or placed meanwhile
is not asked about, and only boxes that have room now are named."""

import math
import typing as t

from .advicecandidates import Candidates
from .advicepace import AdvicePace
from .boxes import BoxView
from .decisions import AskAdvice
from .decisions import Decision
from .decisions import LogEvent
from .interfaces import Advice
from .interfaces import AdviceUnavailable
from .interfaces import Queue
from .shardstate import WaitingStep

__all__ = ["AdviceRequests"]

# A call names no more boxes: it takes time for each.
MAX_BOXES: t.Final = 24
# What the service accepts in one call. A gang starts on all of its boxes together.
MAX_GANG_BOXES: t.Final = 100
# The service names this share of the boxes that are asked about, until it is learnt.
INITIAL_ALLOWED_SHARE: t.Final = 0.5
MIN_ALLOWED_SHARE: t.Final = 0.05
LEARNING_RATE: t.Final = 0.2
# More boxes than tasks are named: boxes fill up until the answer comes, and the share is
# an average.
SPARE_FACTOR: t.Final = 1.5
SPARE_BOXES: t.Final = 0.5
# A call takes no more than this share of the time for which its tickets are valid.
MAX_VALIDITY_SHARE: t.Final = 0.5
# Starts are made in this share of an advice's validity; the rest is for their delivery.
VALIDITY_FACTOR: t.Final = 0.8
# While no box has room, up to this many steps hold tickets for boxes that become free.
MAX_STEPS_IN_ADVANCE: t.Final = 8

# Reasons to ask about a step, the strongest first: there is room for it; there will be; all
# boxes with room were rejected before.
ROOM: t.Final = 0
IN_ADVANCE: t.Final = 1
RECHECK: t.Final = 2


class _Question(t.NamedTuple):
    reason: int
    entry: WaitingStep
    boxes: t.Sequence[BoxView]


class AdviceRequests:
    """The steps that wait for advice.

    :param queues: the queues by name, as they change.
    :param candidates: returns the boxes that a step may be asked about.
    """

    def __init__(
        self,
        queues: t.Callable[[], t.Mapping[str, Queue]],
        candidates: t.Callable[[WaitingStep, float], Candidates],
    ) -> None:
        self._queues = queues
        self._candidates = candidates
        self._pace = AdvicePace()
        # In the order of the pass.
        self._waiting: dict[str, WaitingStep] = {}
        self._steps_in_advance = 0
        self._calls = 0
        # Queue -> number of the call that last was about one of its steps.
        self._turns: dict[str, int] = {}
        self._allowed_share = INITIAL_ALLOWED_SHARE

    def load(self) -> dict[str, float]:
        """Return how many steps wait for advice, and how the service answers."""
        return {
            "advice_waiting": float(len(self._waiting)),
            "advice_open": float(self._pace.is_open),
            "advice_answered": float(self._pace.answered),
            "advice_failed": float(self._pace.failed),
            "advice_slowness": round(self._pace.slowness, 2),
        }

    def start_pass(self) -> None:
        """Begin a pass over the waiting steps."""
        self._waiting.clear()
        self._steps_in_advance = 0

    def add(self, entry: WaitingStep) -> None:
        """Record that a pass has left tasks of a step waiting."""
        if entry.name not in self._waiting:
            self._waiting[entry.name] = entry
            self._steps_in_advance += entry.advice.has_tickets

    def ask(self, now: float) -> list[Decision]:
        """Return the next question, if the service is free and one is of use."""
        if not self._waiting or not self._pace.may_call(now):
            return []
        best: _Question | None = None
        for entry in self._in_turn():
            question = self._question(entry, now)
            if question is None:
                continue
            if best is None or question.reason < best.reason:
                best = question
            if best.reason == ROOM:
                break
        if best is None:
            return []
        entry = best.entry
        if best.reason == RECHECK:
            entry.advice.start_recheck()
        entry.advice.asked_at = now
        self._calls += 1
        submission = entry.workflow.submission
        self._turns[submission.queue] = self._calls
        queue = self._queues().get(submission.queue)
        timeout_s = self._pace.begin(_expected_s(queue, len(best.boxes)), now)
        incarnations = tuple(box.incarnation for box in best.boxes)
        return [
            AskAdvice(
                submission.job, entry.occurrence, entry.step, incarnations, timeout_s
            )
        ]

    def _in_turn(self) -> t.Iterable[WaitingStep]:
        if self._calls % 2 == 0:
            return self._waiting.values()
        waiting = {entry.workflow.submission.queue for entry in self._waiting.values()}
        self._turns = {
            queue: turn for queue, turn in self._turns.items() if queue in waiting
        }
        return sorted(self._waiting.values(), key=self._turn_key)

    def _turn_key(self, entry: WaitingStep) -> tuple[int, float]:
        turn = self._turns.get(entry.workflow.submission.queue, 0)
        return (turn, max(entry.advice.asked_at, entry.waits_since))

    def _question(self, entry: WaitingStep, now: float) -> _Question | None:
        """Return what to ask about a step, or ``None`` if no answer would help it."""
        advice, step = entry.advice, entry.spec
        if not entry.tasks:
            return None
        roomy, others = self._candidates(entry, now)
        missing = len(entry.tasks)
        held = [box for box in roomy if advice.has_ticket(box.incarnation)]
        unanswered = [box for box in roomy if advice.is_unanswered(box.incarnation)]
        if step.gang:
            missing -= sum(box.count_room(step) for box in held)
            if missing <= 0:
                return None
            # Unless all members have room, none starts.
            if sum(box.count_room(step) for box in unanswered) < missing:
                unanswered = []
        elif held:
            # Other limits than advice keep the tasks waiting.
            return None
        if unanswered:
            return _Question(ROOM, entry, self._choose(entry, unanswered, missing))
        if roomy and not step.gang:
            if advice.is_recheck_due(now):
                return _Question(RECHECK, entry, self._choose(entry, roomy, missing))
            return None
        return self._question_in_advance(entry, others, missing, now)

    def _question_in_advance(
        self,
        entry: WaitingStep,
        others: t.Sequence[BoxView],
        missing: int,
        now: float,
    ) -> _Question | None:
        advice = entry.advice
        if advice.has_tickets or self._steps_in_advance >= MAX_STEPS_IN_ADVANCE:
            return None
        boxes = [box for box in others if advice.is_unanswered(box.incarnation)]
        if boxes:
            return _Question(IN_ADVANCE, entry, self._choose(entry, boxes, missing))
        if others and advice.is_recheck_due(now):
            return _Question(RECHECK, entry, self._choose(entry, others, missing))
        return None

    def _choose(
        self, entry: WaitingStep, boxes: t.Sequence[BoxView], missing: int
    ) -> t.Sequence[BoxView]:
        """Return as many of the boxes as the tasks need, counting on rejections."""
        step = entry.spec
        limit = MAX_GANG_BOXES if step.gang else MAX_BOXES
        queue = self._queues().get(entry.workflow.submission.queue)
        limit = min(limit, _most_boxes(queue))
        wanted = SPARE_FACTOR * missing + SPARE_BOXES
        chosen: list[BoxView] = []
        allowed_first = sorted(
            boxes, key=lambda box: not entry.advice.is_allowed(box.incarnation)
        )
        for box in allowed_first:
            if wanted <= 0.0 or len(chosen) >= limit:
                break
            allowed = entry.advice.is_allowed(box.incarnation)
            wanted -= 1.0 if allowed else self._allowed_share
            chosen.append(box)
        return chosen

    def apply(
        self,
        entry: WaitingStep | None,
        asked: AskAdvice,
        advice: Advice | AdviceUnavailable,
        now: float,
    ) -> list[Decision]:
        """Apply the answer to a question, or its failure.

        :param entry: the step, if it still waits.
        """
        took_s = round(self._pace.end(advice, now), 3)
        name = f"{asked.job}.{asked.occurrence}.{asked.step}"
        if isinstance(advice, AdviceUnavailable):
            failure = {
                "reason": advice.reason,
                "took_s": took_s,
                "timeout_s": round(asked.timeout_s, 2),
                "waiting": len(self._waiting),
            }
            return [LogEvent("advice_failed", name, failure)]
        self._learn_share(entry, asked, advice)
        if entry is not None:
            # A start must reach its box while the advice is valid.
            until = now + advice.valid_s * VALIDITY_FACTOR
            entry.advice.record(asked.incarnations, advice, until)
        inputs = {
            "asked": len(asked.incarnations),
            "good": len(advice.tickets),
            "took_s": took_s,
            "waiting": len(self._waiting),
            "used": entry is not None,
        }
        return [LogEvent("advised", name, inputs)]

    def _learn_share(
        self, entry: WaitingStep | None, asked: AskAdvice, advice: Advice
    ) -> None:
        """Learn from the boxes about which nothing was known."""
        new = [
            incarnation
            for incarnation in asked.incarnations
            if entry is None or not entry.advice.is_allowed(incarnation)
        ]
        if new:
            allowed = sum(incarnation in advice.tickets for incarnation in new)
            share = self._allowed_share
            share += LEARNING_RATE * (allowed / len(new) - share)
            self._allowed_share = max(MIN_ALLOWED_SHARE, share)


def _expected_s(queue: Queue | None, boxes: int) -> float:
    """Return how long the service says that a call takes."""
    if queue is None:
        return 0.0
    return (queue.advice_decide_ms + queue.advice_each_ms * boxes) / 1000.0


def _most_boxes(queue: Queue | None) -> int:
    """Return how many boxes a call may name so that its tickets are still of use."""
    if queue is None or not queue.advice_each_ms or not queue.advice_valid_ms:
        return MAX_GANG_BOXES
    left_ms = MAX_VALIDITY_SHARE * queue.advice_valid_ms - queue.advice_decide_ms
    return max(1, math.floor(left_ms / queue.advice_each_ms))
