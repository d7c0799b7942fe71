"""Client of the link proxy: injects faults into the links of a cluster and heals them.
A failure of the proxy raises :class:`RigFault`, so that it isn't taken for a fault of
the program under test."""

import json
import pathlib
import socket
import subprocess
import time
import typing as t

from .linkfaults import ALL_OTHERS
from .linkfaults import Fault
from .linkfaults import FaultKind
from .linkfaults import LinkFaultError
from .linkfaults import PlaceKind
from .linkfaults import Topology

__all__ = ["CLIENT", "STORE", "Links", "RigFault"]

# Names of the places that are neither a process nor a box.
CLIENT: t.Final = "client"
STORE: t.Final = "store"
# The proxy answers within milliseconds, but later when many processes start at once.
ANSWER_TIMEOUT_S: t.Final = 10.0
START_TIMEOUT_S: t.Final = 20.0
CONNECT_RETRY_INTERVAL_S: t.Final = 0.05


class RigFault(RuntimeError):
    """The test rig itself, such as the proxy, has failed: the run proves nothing."""


class Links:
    """Sends commands to a proxy.

    :param topology: the places and links that faults are checked against.
    :param process: the proxy's process.
    :param control: host and port of the proxy's control server.
    :raises RigFault: if the proxy doesn't start.
    """

    def __init__(
        self,
        topology: Topology,
        process: subprocess.Popen[bytes],
        control: tuple[str, int],
    ) -> None:
        self._topology = topology
        self._process = process
        self._socket = self._connect(control)
        self._lines = self._socket.makefile("rb")

    def _connect(self, control: tuple[str, int]) -> socket.socket:
        end = time.monotonic() + START_TIMEOUT_S
        while True:
            self.check()
            try:
                return socket.create_connection(control, ANSWER_TIMEOUT_S)
            except OSError as error:
                if time.monotonic() > end:
                    raise RigFault(f"the proxy did not start: {error!r}") from error
            time.sleep(CONNECT_RETRY_INTERVAL_S)

    def view(self, source: str, address: str) -> str:
        """Return the address through which ``source`` reaches ``address``."""
        return str(self._send_command("view", source=source, address=address)["view"])

    def set_fault(self, fault: Fault) -> None:
        """Inject a fault.

        :raises LinkFaultError: if the fault is invalid; nothing was changed.
        :raises RigFault: if the proxy can't be reached.
        """
        self._topology.directions(fault)
        self._send_command("set", **fault._asdict())

    def cut(self, source: str, target: str, one_way: bool = False) -> None:
        """Cut the links from a place or hall to another, by default both directions."""
        self.set_fault(Fault(FaultKind.CUT, source, target, not one_way))

    def cut_hall(self, hall: str, one_way: bool = False) -> None:
        """Cut the links between a data hall and everything outside it.

        :param one_way: cut only the direction out of the hall.
        :raises UnknownHall: if there is no such hall.
        """
        self._topology.hall(hall)
        self.cut(hall, ALL_OTHERS, one_way)

    def isolate(self, node: str, with_clients: bool = False) -> None:
        """Cut a process off from the store, all boxes and all other processes.

        :param with_clients: cut it off from the clients too.
        """
        for name, place in self._topology.places.items():
            if place.kind is PlaceKind.CLIENT and not with_clients:
                continue
            if self._topology.are_linked(node, name):
                self.cut(node, name)

    def heal(self, source: str | None = None, target: str | None = None) -> None:
        """Remove all faults between two places or halls, or from all links."""
        if source is None or target is None:
            self._send_command("heal")
            return
        self._topology.directions(Fault(FaultKind.CUT, source, target))
        self._send_command("heal", source=source, target=target)

    def read_metrics(self) -> dict[str, float]:
        """Return the numbers of ports and connections, and the proxy's lag (s)."""
        return dict(self._send_command("figures"))

    def check(self) -> None:
        """Check that the proxy runs.

        :raises RigFault: if it has ended.
        """
        code = self._process.poll()
        if code is not None:
            raise RigFault(f"the link proxy ended unexpectedly with exit code {code}")

    def close(self) -> None:
        """Close the connection to the proxy."""
        self._lines.close()
        self._socket.close()

    def _send_command(self, command: str, **arguments: t.Any) -> t.Mapping[str, t.Any]:
        self.check()
        try:
            self._socket.sendall(
                json.dumps({"do": command, **arguments}).encode() + b"\n"
            )
            line = self._lines.readline()
        except OSError as error:
            raise RigFault(
                f"lost the connection to the link proxy: {error!r}"
            ) from error
        if not line:
            raise RigFault("the link proxy closed its control connection")
        answer: dict[str, t.Any] = json.loads(line)
        if "error" in answer:
            raise LinkFaultError(answer["error"])
        return answer


def write_topology(path: pathlib.Path, topology: Topology) -> None:
    """Write a topology to the file that the proxy reads."""
    rows = {name: list(place) for name, place in topology.places.items()}
    path.write_text(json.dumps(rows))
