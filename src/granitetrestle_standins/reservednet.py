"""Addresses that one run has for itself, so that several runs beside each other start.
A port that is looked for, freed and only then used can be taken meanwhile by another run;
here a block of addresses of the loopback is reserved first, and ports in it are fixed."""

import contextlib
import itertools
import os
import socket
import typing as t

__all__ = ["NoAddressBlockFree", "ReservedNet"]

# Third byte of the addresses.
ADDRESS_BLOCKS: t.Final = 250
# Hosts of a block that stand for processes; those above are the run's own.
MAX_HOSTS: t.Final = 240
LOCK_HOST: t.Final = 254
PLATFORM_HOST: t.Final = 253
LINKS_HOST: t.Final = 252
FIRST_SECOND_BYTE: t.Final = 20
# Below the ports that the kernel gives to connections, from 32768 on.
LOCK_PORT: t.Final = 20000
FIRST_PORT: t.Final = 20001
# Where each process of the program shows its figures, whatever else it is told.
METRICS_PORT: t.Final = 9464

_attempts = itertools.count(os.getpid())


class NoAddressBlockFree(OSError):
    """All blocks of addresses are in use."""


class ReservedNet:
    """A block of addresses; kept until :meth:`close`, or until this process ends."""

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
        raise NoAddressBlockFree("no block of addresses is free")

    @property
    def platform(self) -> str:
        """IP of the store and the boxes."""
        return self._ip(PLATFORM_HOST)

    @property
    def links(self) -> str:
        """IP of the proxy for links."""
        return self._ip(LINKS_HOST)

    def host(self, number: int) -> str:
        """Return the IP of a process, numbered from 1."""
        offset, host = divmod(number - 1, MAX_HOSTS)
        return f"127.{FIRST_SECOND_BYTE + offset}.{self._block}.{1 + host}"

    def close(self) -> None:
        """Give the block back."""
        self._lock.close()

    def _ip(self, host: int) -> str:
        return f"127.{FIRST_SECOND_BYTE}.{self._block}.{host}"

    def _unused(self) -> bool:
        """Say whether a run that reserves nothing, or one that was killed and left
        processes behind, is here."""
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
    """Return a socket that is bound, or ``None`` if another one is.

    :param reuse: whether connections that were closed lately don't matter.
    """
    sock = socket.socket()
    if reuse:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    with contextlib.suppress(OSError):
        sock.bind((ip, port))
        return sock
    sock.close()
    return None
