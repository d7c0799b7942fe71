"""Creates the incarnations of model boxes: the id and the address of each."""

import random
import typing as t

from granitetrestle.incarnations import incarnation_name
from granitetrestle.interfaces import BoxEntry

__all__ = ["IncarnationFactory"]

# Probability that a box restarts under the same id, and then at another address.
KEEP_ID_PROBABILITY: t.Final = 0.6
MOVE_PROBABILITY: t.Final = 0.2


class IncarnationFactory:
    """Creates the list entries of incarnations.

    :param keep_ids: whether a restarted box may keep its id. Otherwise each incarnation
        has a new id, and its name holds no start time.
    :ivar count: number of incarnations created.
    """

    def __init__(self, seed: int, keep_ids: bool) -> None:
        self._keep_ids = keep_ids
        # A generator of its own: the simulation's draws don't depend on ``keep_ids``.
        self._draw = random.Random(f"lives {seed}")
        self.count = 0

    def create(self, hall: str) -> BoxEntry:
        """Return the entry of the first incarnation of a new box."""
        self.count += 1
        box_id = f"b{self.count}"
        return BoxEntry(
            self._name(box_id),
            f"a{self.count}",
            "pool",
            hall,
            "r",
            frozenset(),
            4000,
            8000,
            0,
            False,
            None,
            box_id=box_id,
        )

    def restart(self, previous: BoxEntry) -> BoxEntry:
        """Return the entry of the incarnation that follows ``previous``."""
        self.count += 1
        box_id, address = f"b{self.count}", previous.address
        if self._keep_ids and self._draw.random() < KEEP_ID_PROBABILITY:
            box_id = previous.box_id
            if self._draw.random() < MOVE_PROBABILITY:
                address = f"a{self.count}"
        incarnation = self._name(box_id)
        return previous._replace(
            incarnation=incarnation, box_id=box_id, address=address
        )

    def _name(self, box_id: str) -> str:
        return incarnation_name(box_id, self.count if self._keep_ids else None)
