"""The lives of the model world's boxes: which id and which address each has."""

import random
import typing as t

from granitetrestle.incarnations import incarnation_name
from granitetrestle.interfaces import BoxEntry

__all__ = ["IncarnationFactory"]

# Shares of the boxes that start again under the id they had, and of these at another
# address.
KEEP_ID_PROBABILITY: t.Final = 0.6
MOVE_PROBABILITY: t.Final = 0.2


class IncarnationFactory:
    """Makes entries of lives.

    :param keep_ids: whether a box that starts again may keep its id. Without it each life
        has a new one, and no birth.
    :ivar count: how many lives there were.
    """

    def __init__(self, seed: int, keep_ids: bool) -> None:
        self._keep_ids = keep_ids
        # Apart from the world's own: what a seed drew before boxes kept ids stays the same.
        self._draw = random.Random(f"lives {seed}")
        self.count = 0

    def create(self, hall: str) -> BoxEntry:
        """Return the first life of a new box."""
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
        """Return the life that begins where another has ended."""
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
