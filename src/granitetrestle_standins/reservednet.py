"""Block of loopback addresses reserved for one test run, so that several runs can start
at the same time. A free port that is found, closed and bound again later can be taken
by another run in between; here a block is locked first and its ports are fixed."""

import contextlib
import itertools
import os
import socket
import typing as t

__all__ = ["NoAddressBlockFree", "ReservedNet"]

# Number of blocks; the third byte of an address is that of its block, from 1.
ADDRESS_BLOCKS: t.Final = 250
# Last bytes of addresses for processes; higher ones serve the run itself.
MAX_HOSTS: t.Final = 240
LOCK_HOST: t.Final = 254
PLATFORM_HOST: t.Final = 253
LINKS_HOST: t.Final = 252
FIRST_SECOND_BYTE: t.Final = 20
# Below the ephemeral ports of the kernel, which start at 32768.
LOCK_PORT: t.Final = 20000
FIRST_PORT: t.Final = 20001
# Each process of the program serves its metrics here, whatever its settings.
METRICS_PORT: t.Final = 9464

_attempts = itertools.count(os.getpid())


class NoAddressBlockFree(OSError):
    """All address blocks are in use."""


class ReservedNet:
    """A block of addresses, reserved until :meth:`close` or the end of this process."""

    def __init__(self) -> None:
        for _ in range(ADDRESS_BLOCKS):
            self._block = 1 + next(_attempts) % ADDRESS_BLOCKS
            lock = _bind(self._ip(LOCK_HOST), LOCK_PORT)
            if lock is None:
                continue
            if self._unused():
                self._lock = lock
                return
            lock.close()
        raise NoAddressBlockFree("no address block is free")

    @property
    def platform(self) -> str:
        """IP address of the store and the boxes."""
        return self._ip(PLATFORM_HOST)

    @property
    def links(self) -> str:
        """IP address of the proxy for links."""
        return self._ip(LINKS_HOST)

    def host(self, number: int) -> str:
        """Return the IP address of a process, numbered from 1."""
        offset, host = divmod(number - 1, MAX_HOSTS)
        return f"127.{FIRST_SECOND_BYTE + offset}.{self._block}.{1 + host}"

    def close(self) -> None:
        """Release the block."""
        self._lock.close()

    def _ip(self, host: int) -> str:
        return f"127.{FIRST_SECOND_BYTE}.{self._block}.{host}"

    def _unused(self) -> bool:
        """Return whether no other process uses the block: a run that reserves nothing,
        or one that was killed and left processes behind, may still do."""
        program_addresses = ((self.host(1), METRICS_PORT), (self.host(1), FIRST_PORT))
        for address in (
            *program_addresses,
            (self.platform, FIRST_PORT),
            (self.links, FIRST_PORT),
        ):
            probe = _bind(*address, reuse=True)
            if probe is None:
                return False
            probe.close()
        return True


def _bind(ip: str, port: int, reuse: bool = False) -> socket.socket | None:
    """Return a socket bound to an address, or ``None`` if that is impossible.

    :param reuse: whether to ignore recently closed connections (``SO_REUSEADDR``).
    """
    sock = socket.socket()
    if reuse:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    with contextlib.suppress(OSError):
        sock.bind((ip, port))
        return sock
    sock.close()
    return None
