"""Startup configuration of a process of the older path (:class:`Reducer`)."""

import typing as t

from .lending import LendingParameters
from .ownership import OwnershipParameters
from .placementparameters import PlacementParameters
from .requests import RequestParameters

__all__ = ["Setup", "hall_stream"]


def hall_stream(hall: str) -> str:
    """Return the name of a hall's stream on the platform's log."""
    return f"hall-{hall}"


class Setup(t.NamedTuple):
    """Startup configuration of a process.

    :param incarnation: differs each time a process starts.
    :param halls: hall -> nodes, this process included.
    :param snapshot_records: number of records of a stream between two snapshots.
    :param snapshot_s: maximum time between two snapshots, in seconds.
    """

    node: str
    incarnation: str
    hall: str
    halls: t.Mapping[str, tuple[str, ...]]
    shards: int = 1
    ownership: OwnershipParameters = OwnershipParameters()
    placement: PlacementParameters = PlacementParameters()
    lending: LendingParameters = LendingParameters()
    requests: RequestParameters = RequestParameters()
    snapshot_records: int = 2000
    snapshot_s: float = 600.0
