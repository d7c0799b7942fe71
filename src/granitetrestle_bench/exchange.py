"""Prints the processor time (us) of an exchange with a real box process that
runs a number of tasks: ``python -m granitetrestle_bench.exchange 18``."""

import socket
import subprocess
import sys
import time

import anyio

from granitetrestle import events as ev
from granitetrestle.boxlink import BoxLink
from granitetrestle.calls import Caller
from granitetrestle.records import JobSpec

__all__ = ["main"]

ROUNDS = 300


def _free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


async def _measure(port: int, tasks: int) -> float:
    caller = Caller()
    link = BoxLink("127.0.0.1:9", caller)
    expires = time.time() + 300.0
    spec = JobSpec("batch", 0.1, 0.1, run_s=600.0)
    starts = tuple(
        ev.Command("start", f"zurich.{i:012x}/0", 1, 1, expires, expires, spec)
        for i in range(tasks)
    )
    renewals = tuple(c._replace(op="renew", spec=None) for c in starts)
    while True:
        answer = await link.exchange(ev.CommandBox("b", f"127.0.0.1:{port}", starts))
        if isinstance(answer, ev.BoxAnswered):
            break
        await anyio.sleep(0.1)
    assert len(answer.report.tasks) == tasks
    order = ev.CommandBox("b", f"127.0.0.1:{port}", renewals)
    started = time.process_time()
    for _ in range(ROUNDS):
        await link.exchange(order)
    return (time.process_time() - started) / ROUNDS * 1e6


def main() -> None:
    """Start a box, measure, end it."""
    port = _free_port()
    command = [sys.executable, "-m", "granitetrestle_standins.worker"]
    command += [f"--port={port}", f"--endpoint_port={_free_port()}"]
    box = subprocess.Popen(command, stdout=subprocess.DEVNULL)
    try:
        print(anyio.run(_measure, port, int(sys.argv[1])))
    finally:
        box.kill()
        box.wait()


if __name__ == "__main__":
    main()
