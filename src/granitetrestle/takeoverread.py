"""What a successor reads before it leads: the newest records of each topic."""

import anyio

from .feeds import Sources
from .interfaces import NewestRecords
from .interfaces import NewestUnavailable
from .newestread import read_newest
from .nodelog import NodeLog
from .succession import JOBS_TOPIC
from .succession import StateReader
from .succession import StateUnavailable

__all__ = ["read_topics"]


async def read_topics(
    sources: Sources, state_reader: StateReader, log: NodeLog, epoch: int
) -> dict[str, NewestRecords] | None:
    """Return the newest records of each topic, or ``None`` if one is unreadable.

    :param epoch: the epoch of this process, for the log.
    """
    read: dict[str, NewestRecords] = {}

    async def fetch(topic: str) -> None:
        outcome: NewestRecords | NewestUnavailable | StateUnavailable
        if topic == JOBS_TOPIC:
            outcome = await state_reader.run()
        else:
            outcome = await read_newest(sources.store, topic)
        if not isinstance(outcome, NewestRecords):
            log.event("take_over_failed", epoch=epoch, topic=topic, **outcome._asdict())
            tasks.cancel_scope.cancel()
        else:
            read[topic] = outcome

    async with anyio.create_task_group() as tasks:
        for topic in (JOBS_TOPIC, sources.config_topic, sources.box_topic):
            tasks.start_soon(fetch, topic)
    return None if tasks.cancel_scope.cancel_called else read
