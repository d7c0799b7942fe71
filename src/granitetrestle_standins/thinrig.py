"""A store behind a link of limited bandwidth, and a journal that writes through it, in one
process and in real time."""

import asyncio
import random
import time
import typing as t

import anyio

from granitetrestle.calls import Caller
from granitetrestle.interfaces import Record
from granitetrestle.interfaces import Writer
from granitetrestle.jobrecords import JobRecords
from granitetrestle.journal import Journal
from granitetrestle.platform.store import PlatformStore
from granitetrestle.shardtime import ShardTime
from granitetrestle.statedigest import DIGEST_KEY
from granitetrestle.statedigest import DigestTracker
from granitetrestle.succession import JOBS_TOPIC
from granitetrestle.workflows import Step
from granitetrestle.workflows import Submission
from granitetrestle.workflows import Workflow
from granitetrestle_standins.nativecluster import free_port
from granitetrestle_standins.nativeplatform import PlatformApp
from granitetrestle_standins.serving import serve
from granitetrestle_standins.storereadings import PLAIN
from granitetrestle_standins.thinlink import ThinLink

__all__ = ["MBPS", "ThinRig", "Writing"]

IP: t.Final = "127.0.0.1"
# One megabit per second, in bytes per second.
MBPS: t.Final = 125_000.0
PAGE_RECORDS: t.Final = 500
SPEC_CHARACTERS: t.Final = 4000
LIMIT_S: t.Final = 60.0
POLL_INTERVAL_S: t.Final = 0.01

Script: t.TypeAlias = t.Callable[[str, ThinLink], t.Awaitable[None]]


class ThinRig:
    """A store, and a link in front of it.

    :param mbps: bandwidth of the link in each direction, in Mbit/s.
    :param known_mbps: what the process takes it for; the same if left out.
    :ivar model: what the store holds.
    """

    def __init__(self, mbps: float, known_mbps: float | None = None) -> None:
        self.known_bytes_per_s = (known_mbps or mbps) * MBPS
        self._bytes_per_s = mbps * MBPS
        self._port, self._link_port = free_port(), free_port()
        self._app = PlatformApp(
            IP,
            self._port,
            PLAIN._replace(page_size=PAGE_RECORDS),
            [],
            random.Random(1),
        )
        self.model = self._app.store.model

    def store(self, address: str) -> PlatformStore:
        """Return a client of the store at an address."""
        return PlatformStore(address, Caller(link_bytes_per_s=self.known_bytes_per_s))

    def run(self, script: Script) -> None:
        """Run an async function with the store's address behind the link, and the
        link."""

        async def main() -> None:
            link = ThinLink(self._bytes_per_s)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(serve, self._app, IP, self._port)
                tasks.start_soon(link.forward, (IP, self._link_port), (IP, self._port))
                for port in (self._port, self._link_port):
                    await _wait_open(port)
                with anyio.fail_after(LIMIT_S):
                    await script(f"{IP}:{self._link_port}", link)
                tasks.cancel_scope.cancel()
            await _cancel_others()

        anyio.run(main)

    def fill(self, megabytes: float) -> int:
        """Write submissions as a predecessor would have; returns their number."""
        records = JobRecords(ShardTime())
        count = round(megabytes * 1e6 / SPEC_CHARACTERS)
        for number in range(count):
            spec = "x" * SPEC_CHARACTERS
            submission = Submission(
                f"{number:016x}", "q", "pool", spec, (Step(1, 100),)
            )
            records.add_job(Workflow(submission, 0.0))
        written = DigestTracker().with_digest(records.pop_records())
        self.model.append(JOBS_TOPIC, written, None)
        return count


async def _cancel_others() -> None:
    """Cancel the requests that the store still serves."""
    others = asyncio.all_tasks() - {asyncio.current_task()}
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)


async def _wait_open(port: int) -> None:
    while True:
        try:
            _, writer = await asyncio.open_connection(IP, port)
        except OSError:
            await anyio.sleep(POLL_INTERVAL_S)
        else:
            writer.close()
            return


class Writing:
    """A leader's journal that writes records through the link.

    :ivar longest_pause_s: longest time without a new confirmation.
    :ivar overdue_s: longest time that an append counted as waiting for the store.
    """

    def __init__(self, rig: ThinRig, address: str) -> None:
        self.pending: list[Record] = []
        self.overdue_s = 0.0
        self.longest_pause_s = 0.0
        self._rig = rig
        rig.model.append(JOBS_TOPIC, (), Writer(1, 1))
        self.journal = Journal(
            rig.store(address),
            JOBS_TOPIC,
            1,
            self._take,
            lambda held: None,
            time.monotonic,
            lambda reason, waiting_s: None,
            link_bytes_per_s=rig.known_bytes_per_s,
        )

    def _take(self) -> list[Record]:
        records, self.pending = self.pending, []
        return records

    async def watch(self) -> None:
        """Watch the progress of the journal until cancelled."""
        confirmed_at, at = self.journal.status.confirmed_at, time.monotonic()
        while True:
            await anyio.sleep(POLL_INTERVAL_S)
            status, now = self.journal.status, time.monotonic()
            if status.waiting_since is not None:
                self.overdue_s = max(self.overdue_s, now - status.waiting_since)
            self.longest_pause_s = max(self.longest_pause_s, now - at)
            if status.confirmed_at != confirmed_at:
                confirmed_at, at = status.confirmed_at, now

    async def write(self, records: t.Sequence[Record]) -> float:
        """Write records; returns how long it took until they were in the store."""
        began = time.monotonic()
        self.pending = list(records)
        self.journal.request_batch()
        while not self._has(records):
            await anyio.sleep(POLL_INTERVAL_S)
        return time.monotonic() - began

    def _has(self, records: t.Sequence[Record]) -> bool:
        topic = self._rig.model.topics.get(JOBS_TOPIC, [])
        stored = {record.key for record in topic if record.key != DIGEST_KEY}
        return stored >= {record.key for record in records}
