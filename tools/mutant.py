"""A mechanism that is taken out of the product, to see its proof fail."""

import typing as t

__all__ = ["Mutant"]


class Mutant(t.NamedTuple):
    """A mechanism to take out, and the scenarios that must notice.

    :param changes: file, text there, text instead; several where one layer
        stands behind another.
    """

    what: str
    changes: tuple[tuple[str, str, str], ...]
    feature: str
