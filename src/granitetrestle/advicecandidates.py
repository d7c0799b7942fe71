"""The boxes that the advisor may be asked about for a step."""

import typing as t

from .boxes import BoxView
from .boxindex import Pool
from .boxsearch import is_eligible
from .headroom import Headroom
from .packing import Ranking
from .workflows import Task

__all__ = ["Candidates", "advice_candidates"]


class Candidates(t.NamedTuple):
    """Boxes that a question may name, the best first.

    :param roomy: boxes with room for one of the step's tasks.
    :param others: all boxes of the pool.
    """

    roomy: t.Sequence[BoxView]
    others: t.Sequence[BoxView]


def advice_candidates(
    task: Task,
    eligible: t.Sequence[BoxView],
    pool: Pool,
    ranking: Ranking,
    headroom: Headroom,
    now: float,
) -> Candidates:
    """Return the boxes for a step, ordered as its tasks would be placed.

    :param task: one of its tasks.
    :param eligible: the open boxes that have room for it.
    :param pool: the boxes of its service.
    """
    step = task.spec
    quarantined: list[BoxView] = []
    if step.long_running:
        quarantined = [
            box for box in pool.quarantined.values() if box.accepts_trial(now)
        ]
        if not eligible:
            eligible = [box for box in quarantined if is_eligible(step, task, box)]
    if step.long_running:
        unreserved = [box for box in eligible if not headroom.is_reserved(box)]
        eligible = unreserved or eligible
    ranked: list[tuple[bool, t.Any, BoxView]] = []
    for box in eligible:
        rank = ranking.rank(box)
        if rank is not None:
            off_rack = bool(step.affinity) and box.entry.rack != step.affinity
            ranked.append((off_rack, rank, box))
    ranked.sort(key=lambda row: row[:2])
    others = sorted(
        [*pool.boxes.values(), *quarantined],
        key=lambda box: (-box.cpu_free, box.incarnation),
    )
    return Candidates([row[2] for row in ranked], others)
