"""Evidence that a task crashes boxes.

A box that crashes reports nothing, and boxes are lost for other causes as well. So the
loss of a box under a task proves nothing by itself: it is weighed against the losses of
other boxes around that time. The weight of a loss is the negative logarithm of the
probability that something else explains it, in decibans (tenths of a decimal one): a box that is lost by chance in the time
after the start in which this one was lost, or another task that had just started there.
The weights of independent losses add up. A task crashes boxes for certain once their sum
reaches :data:`PROOF_DECIBANS`, which takes two or three losses where no other box is
lost, and many where boxes are lost in waves."""

import collections
import itertools
import math
import typing as t

from .boxlosses import SETTLE_S
from .boxlosses import BoxLoss
from .boxlosses import LossWeight
from .boxlosses import SuspectedLoss
from .interfaces import Record
from .lossprobabilities import boxes_exposed
from .lossprobabilities import probability_after
from .lossprobabilities import probability_of_crashing
from .lossprobabilities import weight_of
from .lossrecords import LOSSES_KEY
from .lossrecords import HistoryRow
from .lossrecords import LossRow
from .lossrecords import SuspectedRow
from .lossrecords import decode_history
from .lossrecords import history_record
from .shardtime import UNKNOWN_TIME
from .shardtime import ShardTime
from .workflows import Task

__all__ = [
    "MEMORY_S",
    "PROOF_DECIBANS",
    "LossHistory",
]

# Sum of the weights that proves that a task crashes boxes.
PROOF_DECIBANS: t.Final = 45
# With this much evidence against a task, the losses under it say nothing about how often
# boxes are lost by chance.
EXPLAINED_DECIBANS: t.Final = 30
# What is left out of each weight: losses that have nothing to do with a task add up as
# well, by this much on average.
CHANCE_DECIBANS: t.Final = 5
# Losses of this long before one tell how often boxes are lost by chance.
MEMORY_S: t.Final = 15.0
# Box-seconds without a loss that are assumed before any are observed.
PRIOR_BOX_S: t.Final = 60.0
# For how long a box is usually lost under a task that crashes it by its start.
USUAL_WINDOW_S: t.Final = 0.15
# A leader had heard of a box this long before it started a task there, at most.
MAX_CONTACT_AGE_S: t.Final = 1.5
# A start without an answer may not have arrived at all. That it happened once more
# explains the less, the more boxes were lost under the task.
MAX_UNANSWERED_DECIBANS: t.Final = 10
MAX_UNANSWERED_DECIBANS_PER_LOSS: t.Final = 5
# While a box is listed and silent it may go on, and its loss does not count. After this
# time the loss is dropped.
CONFIRM_TIMEOUT_S: t.Final = 15.0
# A loss that is weighed that late is compared with those of MEMORY_S before it.
KEEP_S: t.Final = MEMORY_S + SETTLE_S + CONFIRM_TIMEOUT_S
# How often the losses are written, and at most while boxes are lost. What was written
# before twice the former says nothing about the present: a leader of an older version
# may have led since.
WRITE_INTERVAL_S: t.Final = 5.0
MIN_WRITE_INTERVAL_S: t.Final = 0.5
# Limit of the losses that are written, and compared with each other; the newest are.
MAX_WRITTEN: t.Final = 40
MAX_WRITTEN_SUSPECTS: t.Final = 16
# Limit of the boxes of which it is remembered what their losses were counted for.
MAX_COUNTED: t.Final = 1_000


class _Noted(t.NamedTuple):
    """A loss and the tasks that may have caused it."""

    loss: BoxLoss
    suspects: tuple[Task, ...] = ()

    @property
    def unexplained(self) -> bool:
        """Whether it tells how often boxes are lost by chance: no suspect was tried
        there, and none of the tasks most likely caused it."""
        return not self.loss.tried and not any(
            task.evidence >= EXPLAINED_DECIBANS for task in self.suspects
        )


class _Around(t.NamedTuple):
    """The losses around one.

    :param together: those that may have happened at the same moment.
    :param here: number of those at the same address.
    """

    recent: set[BoxLoss]
    together: set[BoxLoss]
    here: int


class LossHistory:
    """The boxes that were lost recently.

    :param time: the shard time, by which a successor goes on.
    """

    def __init__(self, time: ShardTime) -> None:
        self._time = time
        self._since: float | None = None
        # When a predecessor last wrote its losses.
        self._known_until = -math.inf
        # Incarnation -> its loss, in the order in which they were noticed.
        self._noted: dict[str, _Noted] = {}
        # Task -> losses under it that are not weighed yet.
        self._suspected: dict[str, list[SuspectedLoss]] = {}
        # Incarnation -> what its loss was counted for, should it answer after all.
        self._counted: dict[str, list[tuple[Task, int]]] = {}
        self._written_at = -math.inf
        # Pairs of recent losses that overlap, counted twice, and the number of losses.
        self._overlaps: tuple[int, int] | None = None
        self._by_address: collections.Counter[str] | None = None
        self._unexplained: list[BoxLoss] | None = None
        self._own: dict[str, list[BoxLoss]] | None = None
        self._under: dict[str, list[BoxLoss]] | None = None
        self._arounds: dict[tuple[str, float], _Around] = {}
        self._changed = False
        # What is to be weighed, or no more, must be known to a successor at once.
        self._urgent = False
        self._record: Record | None = None

    @property
    def known_until(self) -> float:
        """Time until which predecessors have recorded the boxes that were lost."""
        return self._known_until

    def begin(self, now: float) -> None:
        """Record that losses are observed from now on."""
        self._since = now

    def record(self, loss: BoxLoss) -> None:
        """Record that a box was lost, or does not answer, unless that is known."""
        if loss.incarnation not in self._noted:
            self._note(_Noted(loss))

    def get(self, incarnation: str) -> BoxLoss | None:
        """Return the loss of a box, if it is known."""
        noted = self._noted.get(incarnation)
        return None if noted is None else noted.loss

    def record_counted(self, suspected: SuspectedLoss, decibans: int) -> None:
        """Record that a loss was counted against a task."""
        counted = self._counted.setdefault(suspected.loss.incarnation, [])
        counted.append((suspected.task, decibans))
        if len(self._counted) > MAX_COUNTED:
            del self._counted[next(iter(self._counted))]

    def take_back(self, incarnation: str) -> list[tuple[Task, int]]:
        """Forget the loss of a box that answers. Return the tasks that it was counted
        against, and the weight."""
        self.discard(incarnation)
        return self._counted.pop(incarnation, [])

    def discard(self, incarnation: str) -> None:
        """Forget the loss of a box."""
        if self._noted.pop(incarnation, None) is not None:
            self._changed = True
        self._overlaps = self._by_address = None
        self.refresh()

    def _note(self, noted: _Noted) -> None:
        self._noted[noted.loss.incarnation] = noted
        self._overlaps = self._by_address = None
        self.refresh()
        self._changed = True

    def suspect(self, suspected: SuspectedLoss) -> None:
        """Record that a task may have caused a loss."""
        awaited = self._suspected.setdefault(suspected.task.name, [])
        if any(x.key == suspected.key for x in awaited):
            # A predecessor had found it, and the task is still placed there.
            return
        awaited.append(suspected)
        self._urgent = True
        loss = suspected.loss
        suspects = (suspected.task, *suspected.companions)
        self._note(_Noted(loss, suspects))

    def weighed_at(self, task: Task) -> float:
        """Return when the losses under a task are weighed, ``-inf`` if they are."""
        awaited = self._suspected.get(task.name, ())
        return max((loss.weigh_at for loss in awaited), default=-math.inf)

    def pop_due(
        self, may_go_on: t.Callable[[SuspectedLoss], bool], now: float
    ) -> list[SuspectedLoss]:
        """Remove and return the losses that can be weighed now.

        :param may_go_on: whether a box may still run what it ran.
        """
        due: list[SuspectedLoss] = []
        for name, awaited in list(self._suspected.items()):
            # In their order, since the first loss under a task weighs nothing.
            ready = list(
                itertools.takewhile(
                    lambda x: x.weigh_at <= now and not may_go_on(x), awaited
                )
            )
            if ready:
                self._urgent = True
                due += ready
                self._suspected[name] = awaited[len(ready) :]
                if not self._suspected[name]:
                    del self._suspected[name]
        return due

    def last_unexplained(self, task: Task, boxes: int) -> float:
        """Return when a box was last lost that neither ``task`` nor another suspect is
        known to have crashed, or that may be faulty itself, ``-inf`` if none was lately.

        :param boxes: number of boxes.
        """
        latest = -math.inf
        for noted in reversed(self._noted.values()):
            if task not in noted.suspects and noted.unexplained:
                latest = noted.loss.latest
                break
        under = self._losses_under(task)
        if under and self._related_losses(task, under[-1], boxes):
            return max(latest, under[-1].latest)
        return latest

    def lost_at(self, address: str) -> int:
        """Return how many boxes were lost lately at an address."""
        if self._by_address is None:
            noted = self._noted.values()
            self._by_address = collections.Counter(x.loss.address for x in noted)
        return self._by_address[address]

    def weigh(self, suspected: SuspectedLoss, boxes: int) -> LossWeight:
        """Return the weight of a loss as evidence against a task.

        :param boxes: number of boxes, with those that were lost.
        """
        loss = suspected.loss
        around = self._around(loss, suspected.window_s)
        own = self._own_losses(suspected.task, loss)
        recent = len(around.recent) - sum(x in around.recent for x in own)
        here = around.here - sum(x in around.recent for x in own if loss.is_at(x))
        together = len(around.together) - sum(x in around.together for x in own)
        exposed = boxes_exposed(suspected.task, boxes)
        rate = max(
            exposed * self._rate(recent, boxes, loss.latest),
            # A single box may be lost again and again for a cause of its own.
            (here - 1) / MEMORY_S,
        )
        probability = (
            rate * suspected.window_s
            + self._probability_of_faulty_boxes(suspected, boxes)
            + min(together, self._mean_together(together)) / max(1, boxes - 1)
            + sum(probability_of_crashing(task) for task in suspected.companions)
        )
        decibans = weight_of(probability)
        # The boxes of earlier losses may have answered since.
        number = min(suspected.number, suspected.task.suspicion)
        if not suspected.answered:
            per_loss = MAX_UNANSWERED_DECIBANS_PER_LOSS * number
            decibans = min(decibans, MAX_UNANSWERED_DECIBANS + per_loss)
        # The first loss only makes the task a suspect: each box that is lost by chance is
        # lost under some tasks.
        weight = decibans - CHANCE_DECIBANS if number > 1 else 0
        return LossWeight(weight, together, recent, boxes)

    def _probability_of_faulty_boxes(
        self, suspected: SuspectedLoss, boxes: int
    ) -> float:
        loss = suspected.loss
        related = self._related_losses(suspected.task, loss, boxes)
        return probability_after(related, suspected.window_s, loss.latest)

    def _related_losses(self, task: Task, loss: BoxLoss, boxes: int) -> list[float]:
        """Return when boxes were lost under a task shortly before a loss that are the only
        ones to tell how often that box is lost by chance: those at its address, or all if
        the task runs on most boxes, as a gang may."""
        on_most = 2 * boxes_exposed(task, boxes) >= boxes
        return [
            other.latest
            for other in self._losses_under(task)
            if loss.latest - MEMORY_S <= other.latest < loss.latest
            and (on_most or loss.is_at(other))
        ]

    def _losses_under(self, task: Task) -> list[BoxLoss]:
        """Return the losses under a task, explained or not, in their order."""
        if self._under is None:
            self._under = collections.defaultdict(list)
            for noted in self._noted.values():
                for suspect in noted.suspects:
                    self._under[suspect.name].append(noted.loss)
        return self._under.get(task.name, [])

    def _mean_together(self, together: int) -> float:
        """Return with how many others a box is lost, on average of the recent losses and
        one that was lost together with some."""
        if self._overlaps is None:
            noted = list(self._noted.values())[-MAX_WRITTEN:]
            losses = [x.loss for x in noted if x.unexplained]
            pairs = sum(a.overlaps(b) for a, b in itertools.combinations(losses, 2))
            self._overlaps = (2 * pairs, len(losses))
        overlaps, number = self._overlaps
        return (together + overlaps) / (1 + number)

    def expected_weight(self, task: Task, boxes: int, now: float) -> int:
        """Return what the loss of a box just after a start of a task would weigh now,
        in decibans."""
        recent = sum(now - x.latest <= MEMORY_S for x in self._unexplained_losses())
        own = sum(now - x.latest <= MEMORY_S for x in self._own_losses(task))
        rate = self._rate(recent - own, boxes, now) * boxes_exposed(task, boxes)
        probability = rate * USUAL_WINDOW_S
        if under := self._losses_under(task):
            related = self._related_losses(task, under[-1]._replace(latest=now), boxes)
            probability += probability_after(related, USUAL_WINDOW_S, now)
        return weight_of(probability) - CHANCE_DECIBANS

    def _unexplained_losses(self) -> list[BoxLoss]:
        """Return the losses that no suspect is known to have caused."""
        if self._unexplained is None:
            noted = self._noted.values()
            self._unexplained = [x.loss for x in noted if x.unexplained]
        return self._unexplained

    def _own_losses(self, task: Task, other: BoxLoss | None = None) -> list[BoxLoss]:
        """Return the unexplained losses under a task, but for one."""
        if self._own is None:
            self._own = collections.defaultdict(list)
            for noted in self._noted.values():
                if noted.unexplained:
                    for suspect in noted.suspects:
                        self._own[suspect.name].append(noted.loss)
        return [loss for loss in self._own.get(task.name, ()) if loss != other]

    def _around(self, loss: BoxLoss, window_s: float) -> "_Around":
        """Return the unexplained losses around one; the same for all tasks there that
        had started at about the same time."""
        key = (loss.incarnation, round(window_s, 2))
        around = self._arounds.get(key)
        if around is None:
            earliest = max(loss.earliest, loss.latest - window_s)
            moment = loss._replace(earliest=earliest)
            recent = {
                other
                for other in self._unexplained_losses()
                if other.incarnation != loss.incarnation
                and abs(other.latest - loss.latest) <= MEMORY_S
            }
            around = self._arounds[key] = _Around(
                recent,
                {other for other in recent if moment.overlaps(other)},
                sum(loss.is_at(other) for other in recent),
            )
        return around

    def refresh(self) -> None:
        """Look again at which losses are explained, as evidence has changed."""
        self._unexplained = self._own = self._under = None
        self._arounds.clear()

    def _rate(self, losses: int, boxes: int, now: float) -> float:
        """Return how often a box is lost by chance, per second."""
        since = now if self._since is None else self._since
        observed_s = min(MEMORY_S, max(0.0, now - since))
        return (1 + losses) / (PRIOR_BOX_S + boxes * observed_s)

    def update(self, now: float) -> None:
        """Forget what is long past, and mark the rest to be written from time to time."""
        for incarnation, noted in list(self._noted.items()):
            if now - noted.loss.latest > KEEP_S:
                self.discard(incarnation)
        interval_s = MIN_WRITE_INTERVAL_S if self._changed else WRITE_INTERVAL_S
        if self._urgent or now - self._written_at >= interval_s:
            self._written_at = now
            self._changed = self._urgent = False
            self._record = history_record(self._row(now))

    def _row(self, now: float) -> HistoryRow:
        noted = list(self._noted.values())[-MAX_WRITTEN:]
        suspected = [s for awaited in self._suspected.values() for s in awaited]
        return HistoryRow(
            self._time.at(now),
            self._time.at(now if self._since is None else self._since),
            tuple(
                LossRow(
                    loss.incarnation,
                    loss.address,
                    self._stored(loss.earliest),
                    self._time.at(loss.latest),
                    tuple(task.name for task in suspects[:MAX_WRITTEN_SUSPECTS]),
                    loss.tried,
                )
                for loss, suspects in noted
            ),
            tuple(
                SuspectedRow(
                    x.task.name,
                    x.run,
                    x.loss.incarnation,
                    x.answered,
                    round(x.window_s * 1000.0),
                    x.number,
                )
                for x in suspected[-MAX_WRITTEN:]
            ),
        )

    def _stored(self, at: float) -> int:
        return UNKNOWN_TIME if math.isinf(at) else self._time.at(at)

    @property
    def waiting(self) -> bool:
        """Whether a record must be written."""
        return self._record is not None

    def pop_records(self) -> list[Record]:
        """Return what changed since the last call."""
        record, self._record = self._record, None
        return [] if record is None else [record]

    def restore(
        self,
        records: t.Iterable[Record],
        find_task: t.Callable[[str], Task | None],
        now: float,
    ) -> None:
        """Restore what a predecessor wrote, once jobs and the shard time are restored.

        :raises msgspec.DecodeError: if the record can't be read.
        """
        for key, value in records:
            if key != LOSSES_KEY or value is None:
                continue
            row = decode_history(value)
            written_at = self._time.steady(row.at_ms, now)
            if now - written_at > 2 * WRITE_INTERVAL_S:
                return
            self._known_until = written_at
            self._since = self._time.steady(row.since_ms, now)
            for lost in row.losses:
                loss = BoxLoss(
                    lost.incarnation,
                    lost.address,
                    -math.inf
                    if lost.heard_ms == UNKNOWN_TIME
                    else self._time.steady(lost.heard_ms, now),
                    self._time.steady(lost.lost_ms, now),
                    lost.tried,
                )
                self._note(_Noted(loss, _find_all(find_task, lost.suspects)))
            for suspected in row.suspected:
                self._restore_suspected(suspected, find_task)

    def _restore_suspected(
        self, row: SuspectedRow, find_task: t.Callable[[str], Task | None]
    ) -> None:
        task, noted = find_task(row.task), self._noted.get(row.incarnation)
        if task is None or noted is None:
            return
        if task.placed and (task.run, task.box) == (row.run, row.incarnation):
            # The record of the task was not kept: its loss is found once more.
            return
        companions = tuple(other for other in noted.suspects if other is not task)
        suspected = SuspectedLoss(
            task,
            row.run,
            noted.loss,
            row.answered,
            companions,
            row.window_ms / 1000.0,
            row.number,
        )
        self._suspected.setdefault(task.name, []).append(suspected)


def _find_all(
    find_task: t.Callable[[str], Task | None], names: t.Iterable[str]
) -> tuple[Task, ...]:
    found = (find_task(name) for name in names)
    return tuple(task for task in found if task is not None)
