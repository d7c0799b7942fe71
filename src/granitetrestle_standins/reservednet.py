"""Addresses that one run has for itself, so that several runs beside each other start.
A port that is looked for, freed and only then used can be taken meanwhile by another run;
here a block of addresses of the loopback is reserved first, and ports in it are fixed."""

import contextlib
import itertools
import os
import socket
import typing as t

__all__ = ["NoNetFree", "ReservedNet"]

# Third byte of the addresses.
NETS: t.Final = 250
# Hosts of a block that stand for processes; those above are the run's own.
HOSTS: t.Final = 240
LOCK_HOST: t.Final = 254
PLATFORM_HOST: t.Final = 253
LINKS_HOST: t.Final = 252
FIRST_SECOND_BYTE: t.Final = 20
# Below the ports that the kernel gives to connections, from 32768 on.
LOCK_PORT: t.Final = 20000
FIRST_PORT: t.Final = 20001
# Where each process of the program shows its figures, whatever else it is told.
METRICS_PORT: t.Final = 9464

_tries = itertools.count(os.getpid())


class NoNetFree(OSError):
    """All blocks of addresses are in use."""


class ReservedNet:
    """A block of addresses; kept until :meth:`close`, or until this process ends."""

    def __init__(self) -> None:
        for _ in range(NETS):
            self._net = 1 + next(_tries) % NETS
            lock = _bound(self._ip(LOCK_HOST), LOCK_PORT)
            if lock is None:
                continue
            if self._unused():
                self._lock = lock
                return
            lock.close()
        raise NoNetFree("no block of addresses is free")

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
        block, host = divmod(number - 1, HOSTS)
        return f"127.{FIRST_SECOND_BYTE + block}.{self._net}.{1 + host}"

    def close(self) -> None:
        """Give the block back."""
        self._lock.close()

    def _ip(self, host: int) -> str:
        return f"127.{FIRST_SECOND_BYTE}.{self._net}.{host}"

    def _unused(self) -> bool:
        """Say whether a run that reserves nothing, or one that was killed and left
        processes behind, is here."""
        asked = ((self.host(1), METRICS_PORT), (self.host(1), FIRST_PORT))
        for address in (*asked, (self.platform, FIRST_PORT), (self.links, FIRST_PORT)):
            probe = _bound(*address, reuse=True)
            if probe is None:
                return False
            probe.close()
        return True


def _bound(ip: str, port: int, reuse: bool = False) -> socket.socket | None:
    """Return a socket that is bound, or ``None`` if another one is.

    :param reuse: whether connections that were closed lately don't matter.
    """
    bound = socket.socket()
    if reuse:
        bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    with contextlib.suppress(OSError):
        bound.bind((ip, port))
        return bound
    bound.close()
    return None
