"""The links of a cluster, for whoever disturbs them: names them, asks for faults, and
tells faults of the proxy itself from what the program did."""

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

# Names of the places that are no process and no box.
CLIENT: t.Final = "client"
STORE: t.Final = "store"
# The proxy answers a command within some ms; started beside many others, later.
ANSWER_TIMEOUT_S: t.Final = 10.0
START_TIMEOUT_S: t.Final = 20.0
CONNECT_RETRY_INTERVAL_S: t.Final = 0.05


class RigFault(RuntimeError):
    """What carries or plays the faults has failed itself: the run shows nothing."""


class Links:
    """Commands to a proxy.

    :param process: the proxy.
    :param control: where it takes commands.
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
        """Return where ``source`` reaches command listens at ``address``."""
        return str(self._send_command("view", source=source, address=address)["view"])

    def set_fault(self, fault: Fault) -> None:
        """Bring a fault about.

        :raises LinkFaultError: naming what is wrong with it, before anything happens.
        :raises RigFault: if the proxy does not do it.
        """
        self._topology.directions(fault)
        self._send_command("set", **fault._asdict())

    def cut(self, source: str, target: str, one_way: bool = False) -> None:
        """Let nothing pass from a place or hall to another one, nor back."""
        self.set_fault(Fault(FaultKind.CUT, source, target, not one_way))

    def cut_hall(self, hall: str, one_way: bool = False) -> None:
        """Let nothing pass between a data hall and everything outside it.

        :param one_way: let only nothing out.
        :raises UnknownHall: naming the hall.
        """
        self._topology.hall(hall)
        self.cut(hall, ALL_OTHERS, one_way)

    def isolate(self, node: str, with_clients: bool = False) -> None:
        """Cut a process off from the store, all boxes and all other processes."""
        for name, place in self._topology.places.items():
            if place.kind is PlaceKind.CLIENT and not with_clients:
                continue
            if self._topology.are_linked(node, name):
                self.cut(node, name)

    def heal(self, source: str | None = None, target: str | None = None) -> None:
        """Let the links between two be good again, or all."""
        if source is None or target is None:
            self._send_command("heal")
            return
        self._topology.directions(Fault(FaultKind.CUT, source, target))
        self._send_command("heal", source=source, target=target)

    def read_metrics(self) -> dict[str, float]:
        """Return the ports, the open connections, and how late the proxy was (s)."""
        return dict(self._send_command("figures"))

    def check(self) -> None:
        """Return if the proxy is at work.

        :raises RigFault: if it has ended.
        """
        code = self._process.poll()
        if code is not None:
            raise RigFault(f"the proxy of the links ended by itself with {code}")

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
            raise RigFault(f"the proxy of the links is gone: {error!r}") from error
        if not line:
            raise RigFault("the proxy of the links has ended")
        answer: dict[str, t.Any] = json.loads(line)
        if "error" in answer:
            raise LinkFaultError(answer["error"])
        return answer


def write_topology(path: pathlib.Path, topology: Topology) -> None:
    """Write all places to the file that the proxy reads."""
    rows = {name: list(place) for name, place in topology.places.items()}
    path.write_text(json.dumps(rows))
