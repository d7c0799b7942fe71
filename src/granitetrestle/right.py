"""The right of a decider to act, as it is when something leaves its process: an order may
wait, or its process stand still, between the decision and the moment it is sent."""

import abc

__all__ = ["Right"]


class Right(abc.ABC):
    """How sure a process is that its epoch is the newest."""

    @abc.abstractmethod
    def age_s(self) -> float:
        """Return how long ago that was confirmed, in seconds on a clock that goes on while
        the machine is suspended: when an append that succeeded was sent."""

    @abc.abstractmethod
    def may_renew(self) -> bool:
        """Say whether leases of what runs may still be renewed."""

    @abc.abstractmethod
    async def confirmed(self) -> None:
        """Return once a start may leave: at once if the right is fresh, else when it has
        been confirmed anew. Does not return if another process decides."""
