"""Registry of processes, of the leader and of leaders that have failed, kept in the store.
It is read at the start, at a take-over and when a process hears no peer."""

import time
import typing as t

import msgspec

from .calls import is_address
from .errors import DECODE_ERRORS
from .fieldtypes import Epoch
from .fieldtypes import Integer
from .fieldtypes import Real
from .interfaces import Appended
from .interfaces import NewestUnavailable
from .interfaces import Record
from .interfaces import Store
from .interfaces import StoreUnavailable
from .leaderfailures import LeaderFailure
from .newestread import NewestReader

__all__ = ["HeartbeatWatch", "RegistryEntries", "LeaderEntry", "NodeEntry", "Registry"]

NODES_TOPIC: t.Final = "keyed.nodes"
LEADER_KEY: t.Final = "leader"
NODE_KEY: t.Final = "node/"
# Older versions ignore these records.
FAILURE_KEY: t.Final = "failed/"
WRITE_TIMEOUT_S: t.Final = 0.6
READ_TIMEOUT_S: t.Final = 1.0


class NodeEntry(msgspec.Struct, frozen=True, array_like=True):
    """A process: the address where it listens for its peers, its data hall and
    cores."""

    address: str
    hall: str
    cores: Real = 1.0


class LeaderEntry(msgspec.Struct, frozen=True, array_like=True):
    """The leader of an epoch.

    :param beat: heartbeat, which increases while it leads.
    :param incarnation: of its process; empty if an older version wrote the entry.
    :param address: where that process listens for its peers.
    """

    epoch: Epoch = 0
    node: str = ""
    beat: Integer = 0
    incarnation: str = ""
    address: str = ""


class RegistryEntries(t.NamedTuple):
    """The entries that the store shows.

    :param unreadable: keys of entries that can't be read, which are skipped.
    :param failures: failures of leaders that nobody has cleared.
    """

    nodes: dict[str, NodeEntry]
    leader: LeaderEntry
    unreadable: tuple[str, ...] = ()
    failures: tuple[LeaderFailure, ...] = ()


class HeartbeatWatch:
    """Measures for how long the leader's heartbeat in the store has not changed."""

    def __init__(self) -> None:
        self._beat: tuple[int, int] | None = None
        self._since = 0.0

    def age_s(self, known: RegistryEntries) -> float:
        """Return for how many seconds the heartbeat has had the value just read, as far
        as earlier reads show."""
        now = time.monotonic()
        beat = (known.leader.epoch, known.leader.beat)
        if beat != self._beat:
            self._beat, self._since = beat, now
        return now - self._since


_encode = msgspec.msgpack.Encoder().encode
_nodes = msgspec.msgpack.Decoder(NodeEntry)
_leaders = msgspec.msgpack.Decoder(LeaderEntry)
_failures = msgspec.msgpack.Decoder(LeaderFailure)


def _node_entry(value: bytes) -> NodeEntry:
    entry = _nodes.decode(value)
    if not is_address(entry.address):
        raise msgspec.DecodeError(f"no address: {entry.address!r}")
    return entry


class Registry:
    """Reads and writes the registry's entries."""

    def __init__(self, store: Store) -> None:
        self._store = store

    async def read(self) -> RegistryEntries | StoreUnavailable:
        """Return all processes and the newest leader."""
        outcome = await NewestReader(self._store, NODES_TOPIC).read_pages(
            READ_TIMEOUT_S
        )
        if isinstance(outcome, NewestUnavailable):
            return StoreUnavailable(outcome.reason)
        nodes: dict[str, NodeEntry] = {}
        leader = LeaderEntry()
        failures: list[LeaderFailure] = []
        unreadable: list[str] = []
        for key, value in outcome.records:
            try:
                if value and key == LEADER_KEY:
                    leader = _leaders.decode(value)
                elif value and key.startswith(NODE_KEY):
                    nodes[key.removeprefix(NODE_KEY)] = _node_entry(value)
                elif value and key.startswith(FAILURE_KEY):
                    failures.append(_failures.decode(value))
            except DECODE_ERRORS:
                unreadable.append(key)
        return RegistryEntries(nodes, leader, tuple(unreadable), tuple(failures))

    async def register(self, node: str, entry: NodeEntry) -> bool:
        """Write the entry of a process; returns whether the store accepted it."""
        return await self._write(NODE_KEY + node, _encode(entry))

    async def beat(self, entry: LeaderEntry) -> bool:
        """Write a heartbeat of a leader; returns whether the store accepted it."""
        return await self._write(LEADER_KEY, _encode(entry))

    async def record_failure(self, failure: LeaderFailure) -> bool:
        """Write the failure of a leader; returns whether the store accepted it."""
        return await self._write(_failure_key(failure), _encode(failure))

    async def clear_failures(self, failures: t.Iterable[LeaderFailure]) -> bool:
        """Remove failures of leaders; returns whether the store accepted it."""
        cleared = [Record(_failure_key(failure), None) for failure in failures]
        return await self._append(cleared)

    async def _write(self, key: str, value: bytes) -> bool:
        return await self._append([Record(key, value)])

    async def _append(self, records: t.Sequence[Record]) -> bool:
        outcome = await self._store.append(NODES_TOPIC, records, None, WRITE_TIMEOUT_S)
        return isinstance(outcome, Appended)


def _failure_key(failure: LeaderFailure) -> str:
    return f"{FAILURE_KEY}{failure.epoch}"
