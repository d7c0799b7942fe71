"""How a process becomes the decider: it raises the epoch at the store and reads what its
predecessor wrote, until the reading is proved to be the whole of it. A successor that took
any reading for whole started again what its predecessor had done: up to 192 tasks in 30 s
of work that was shown as completed, where the store showed records 3 s late."""

import typing as t

import anyio

from .feeds import NEWEST_TIMEOUT_S
from .nodelog import NodeLog
from .outside import Fenced
from .outside import Newest
from .outside import NumberTaken
from .outside import Store
from .outside import StoreUnavailable
from .outside import Writer
from .statemark import Taken
from .statemark import what_is_wrong

__all__ = ["JOBS_TOPIC", "read_state", "take_over"]

JOBS_TOPIC: t.Final = "keyed.jobs"
TAKE_OVER_TIMEOUT_S: t.Final = 1.0
# A reading that is not whole is read again after this, so many times. A store that was
# slow for seconds has then caught up; one that stays behind is not decided upon.
READ_AGAIN_S: t.Final = 0.1
READ_TRIES: t.Final = 40
# Records that are missing in so many readings are lost, or an older version of this
# program wrote last, without marks: waiting longer would leave nobody deciding.
MISSING_TRIES: t.Final = 10


async def take_over(
    store: Store, epoch: int, by: str
) -> Taken | Fenced | NumberTaken | StoreUnavailable:
    """Raise the epoch at the store.

    :param by: the life of this process.
    :returns: ``Taken`` if this process decides now; ``NumberTaken`` if an earlier life
        of it has decided in this epoch.
    """
    records = (Taken.record(epoch, by),)
    writer = Writer(epoch, 1)
    outcome = await store.append(JOBS_TOPIC, records, writer, TAKE_OVER_TIMEOUT_S)
    if isinstance(outcome, Fenced | NumberTaken | StoreUnavailable):
        return outcome
    return Taken(epoch, by, outcome.end)


async def read_state(
    store: Store, taken: Taken, log: NodeLog
) -> Newest | NumberTaken | StoreUnavailable:
    """Read what a predecessor left; no other can write meanwhile.

    :returns: ``NumberTaken`` if an earlier life of this process has decided in this
        epoch: what is written next would be answered as repeats of what that one wrote.
    """
    why = ""
    for number in range(READ_TRIES):
        read = await store.newest(JOBS_TOPIC, NEWEST_TIMEOUT_S, taken.end)
        if isinstance(read, StoreUnavailable):
            why = read.reason
        else:
            wrong = what_is_wrong(read, taken)
            if wrong is None:
                return read
            why = wrong.reason
            log.event("reading_not_whole", epoch=taken.epoch, why=why, end=read.end)
            if wrong.used:
                return NumberTaken(0)
            if wrong.ours and number >= MISSING_TRIES:
                return read
        await anyio.sleep(READ_AGAIN_S)
    return StoreUnavailable(why)
