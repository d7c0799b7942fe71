"""What a leader writes for its successors about jobs at which leaders may fail; see
:mod:`.leaderfailures`."""

import typing as t

import anyio

from .jobrestore import JobsApart
from .leaderfailures import LeaderFailure
from .leaderfailures import describe_failure
from .leaderfailures import format_trace
from .nodelog import NodeLog
from .registry import Registry

__all__ = ["FailedLeaders"]

# How long a leader must have led before it clears the failures of earlier ones.
FAILURES_CLEARED_AFTER_S: t.Final = 30.0
# How long a leader that holds jobs back leads before another one serves one of them.
HELD_BACK_S: t.Final = 3.0
RETRY_INTERVAL_S: t.Final = 1.0


class FailedLeaders:
    """Writes and clears the failures of leaders, for one process."""

    def __init__(self, registry: Registry, log: NodeLog) -> None:
        self._registry = registry
        self._log = log
        self._release_due = False

    @property
    def release_due(self) -> bool:
        """Whether another leader is to serve one of the jobs held back."""
        return self._release_due

    async def record(self, epoch: int, apart: JobsApart, error: Exception) -> None:
        """Write the failure of this process as the leader."""
        failure = describe_failure(epoch, error, apart.held_back)
        self._log.event(
            "leading_failed",
            epoch=failure.epoch,
            jobs=failure.jobs,
            held_back=failure.held_back,
            reason=failure.reason,
            trace=format_trace(error),
        )
        await self._registry.record_failure(failure)

    async def run(
        self,
        epoch: int,
        apart: JobsApart,
        failures: t.Sequence[LeaderFailure],
        serving: anyio.Event,
    ) -> None:
        """Go on from the failures of earlier leaders while this process leads.

        :param apart: the jobs about which it does not decide.
        :param serving: set once it decides.
        """
        await serving.wait()
        if apart.held_back:
            await anyio.sleep(HELD_BACK_S)
            calm = LeaderFailure(epoch, held_back=apart.held_back, calm=True)
            while not await self._registry.record_failure(calm):
                await anyio.sleep(RETRY_INTERVAL_S)
            self._log.event("leading_calm", epoch=epoch, held_back=apart.held_back)
            self._release_due = True
            try:
                await anyio.sleep_forever()
            finally:
                self._release_due = False
        elif failures:
            await anyio.sleep(FAILURES_CLEARED_AFTER_S)
            if await self._registry.clear_failures(failures):
                self._log.event("failures_cleared", failures=len(failures))
