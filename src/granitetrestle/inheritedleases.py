"""How long the leases may run that earlier leaders granted.

A task on a box that does not answer this leader may run until the last lease of that box
has ended. Every bound here rests on something that this leader can prove, and none of
them begins anew with a take-over: otherwise a task of a lost box would wait for as long
as leaders follow each other."""

import math
import typing as t

from .shardstate import SchedulerParameters
from .statedigest import LeaderMark

__all__ = ["ROUNDING_S", "InheritedLeases"]

# Sums of times differ by less than this; records are rounded up to it.
ROUNDING_S: t.Final = 0.001


class InheritedLeases:
    """Bounds on the ends of the leases that earlier leaders granted to boxes that this
    one has not reached. Times are in seconds on the process's steady clock.

    :param now: a time after the claim of this leader's epoch, from which on no earlier
        leader is confirmed any more.
    """

    def __init__(self, parameters: SchedulerParameters, now: float) -> None:
        self._parameters = parameters
        self._took_over_at = now
        self._predecessor: LeaderMark | None = None
        # The predecessor may be alive, without the store, and renew leases.
        self._end = now + parameters.orphan_s + parameters.max_lease_bound_s
        self._proof = "none"
        # By when the predecessor's own leases have ended, if it named the boxes where
        # those of earlier leaders may run longer.
        self._own_end = math.inf
        # Incarnation of a box -> bound by a record about it.
        self._recorded_ends: dict[str, float] = {}

    @property
    def took_over_at(self) -> float:
        """When this leader took over."""
        return self._took_over_at

    @property
    def latest_end(self) -> float:
        """When the last of these leases has ended on any box without a record."""
        return self._end

    @property
    def latest_recorded_end(self) -> float:
        """When the last lease has ended on the boxes with a record of their own."""
        return max(self._recorded_ends.values(), default=self._took_over_at)

    @property
    def proof(self) -> str:
        """What the bound rests on, for the log: ``resigned``, ``process ended``,
        ``witnesses`` or ``none``."""
        return self._proof

    def end(self, incarnation: str) -> float:
        """Return when the last of these leases has ended on a box."""
        if incarnation in self._recorded_ends:
            return self._recorded_ends[incarnation]
        mark = self._predecessor
        if mark is None or mark.inherited_s_of is None:
            return self._end
        inherited_s = mark.inherited_s_of.get(incarnation, 0.0)
        return min(self._end, max(self._own_end, self._took_over_at + inherited_s))

    def end_at_adoption(self, now: float) -> float:
        """Return when the last of these leases has ended on a box that has answered by
        ``now``, and rejects earlier leaders from then on."""
        longest_end = now + self._parameters.max_lease_bound_s
        mark = self._predecessor
        if mark is None:
            return longest_end
        inherited_end = min(self._end, self._took_over_at + mark.inherited_s)
        return min(longest_end, max(now + mark.lease_bound_s, inherited_end))

    def record_box(self, incarnation: str, left_s: float | None) -> None:
        """Apply a predecessor's record that it renews the leases of a box no more.

        :param left_s: how long the last one may have run from when the record was
            written; ``None`` in a record of an older version.
        """
        if left_s is None:
            left_s = self._parameters.max_lease_bound_s
        self._recorded_ends[incarnation] = self._took_over_at + left_s

    def record_predecessor(self, mark: LeaderMark | None) -> None:
        """Apply the mark of the leader before this one, if that is proved."""
        if mark is not None and mark.passed_over:
            # Nothing is known of the processes that led since, but that they granted
            # leases no longer than this one does, as far as the panel let them.
            lease_bound_s = max(mark.lease_bound_s, self._parameters.lease_bound_s)
            mark = mark._replace(epoch=0, resigned=False, lease_bound_s=lease_bound_s)
        self._predecessor = mark
        if mark is None:
            return
        if mark.resigned:
            self._shorten(mark, self._took_over_at, "resigned")
        else:
            # It may be alive, but its leases are known to be as short as it says.
            renews_until = self._took_over_at + self._parameters.orphan_s
            self._shorten(mark, renews_until, self._proof)

    def record_process_end(self, epoch: int, now: float) -> bool:
        """Apply the proof that the process which led in ``epoch`` has ended by ``now``.

        :returns: whether that shortens the bound.
        """
        mark = self._predecessor
        if mark is None or mark.epoch != epoch:
            return False
        return self._shorten(mark, now, "process ended")

    def record_witnesses(self, panel: int, now: float) -> bool:
        """Apply that from ``now`` on no earlier leader reaches a majority of the
        witnesses: each lease ends a fixed time after its leader last reached one, or
        was confirmed by the store.

        :param panel: version of the panel of these witnesses.
        :returns: whether that shortens the bound.
        """
        mark = self._predecessor
        if mark is None or not panel or mark.panel != panel:
            return False
        shortened = self._shorten(mark, now, "witnesses")
        end = now + mark.lease_bound_s
        longest_end = max(self._end, self.latest_recorded_end)
        if mark.panel_covers_earlier and longest_end > end:
            self._end = min(self._end, end)
            for incarnation, recorded_end in self._recorded_ends.items():
                self._recorded_ends[incarnation] = min(recorded_end, end)
            self._proof = "witnesses"
            shortened = True
        return shortened

    def is_covered(self, panel: int, now: float) -> bool:
        """Return whether a panel of witnesses limits all these leases that may still
        run, as it limits this leader's.

        :param panel: version of the panel that this leader follows.
        """
        if now > max(self._end, self.latest_recorded_end):
            return True
        mark = self._predecessor
        return (
            mark is not None
            and mark.panel == panel
            and mark.panel_covers_earlier
            and mark.lease_bound_s <= self._parameters.lease_bound_s + ROUNDING_S
        )

    def _shorten(self, mark: LeaderMark, ended_at: float, proof: str) -> bool:
        """Apply that the predecessor grants and renews no lease from ``ended_at`` on;
        leases of leaders before it may run for as long as it says."""
        own_end = ended_at + mark.lease_bound_s
        end = max(own_end, self._took_over_at + mark.inherited_s)
        of_boxes = mark.inherited_s_of is not None and own_end < self._own_end
        if end >= self._end and not of_boxes:
            return False
        self._own_end = min(self._own_end, own_end)
        self._end = min(self._end, end)
        self._proof = proof
        return True
