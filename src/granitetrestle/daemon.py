"""``granitetrestled``: daemon of an entry process. The same program runs on every
entry box. Its name, hall and addresses come from its settings, and it keeps no state
beyond that in the platform's log."""

import os
import sys
import time
import uuid

import anyio
import uvicorn

from .access import Access
from .api import make_app
from .embedded import EmbeddedServer
from .engine import Engine
from .errors import SettingsError
from .ownership import OwnershipParameters
from .placementparameters import PlacementParameters
from .reducer import Reducer
from .reducer import Setup
from .settings import Settings
from .settings import load_from_process
from .settings import usage
from .stopsignals import StopSignals
from .stopsignals import ignore_hangup
from .telemetry import start_telemetry

__all__ = ["main"]

KEEP_ALIVE_TIMEOUT_S = 5
MAX_CONCURRENCY = 8192
# Longer than the interval at which EmbeddedServer checks for a stop.
SERVER_STOP_WAIT_S = 0.6


def _setup(settings: Settings) -> Setup:
    halls: dict[str, tuple[str, ...]] = {}
    for peer in settings.peers:
        halls[peer.hall] = (*halls.get(peer.hall, ()), peer.node)
    return Setup(
        node=settings.node,
        incarnation=f"{settings.node}-{uuid.uuid4().hex[:8]}",
        hall=settings.hall,
        halls=halls,
        shards=settings.shards,
        ownership=OwnershipParameters(term_s=settings.term_s),
        placement=PlacementParameters(
            lease_s=settings.lease_s, exchange_s=settings.exchange_s
        ),
    )


async def _run(settings: Settings) -> None:
    with StopSignals() as signals:
        await _run_engine(settings, signals)


async def _run_engine(settings: Settings, signals: StopSignals) -> None:
    telemetry = start_telemetry(settings)
    setup = _setup(settings)
    reducer = Reducer(setup)
    engine = Engine(settings, setup.incarnation, reducer, telemetry)
    access = Access(settings, reducer.table)
    config = uvicorn.Config(
        make_app(engine, access),
        host=settings.http.ip,
        port=settings.http.port,
        loop="asyncio",
        http="h11",
        lifespan="off",
        log_config=None,
        access_log=False,
        timeout_keep_alive=KEEP_ALIVE_TIMEOUT_S,
        limit_concurrency=MAX_CONCURRENCY,
        server_header=False,
    )
    server = EmbeddedServer(config)
    telemetry.log.info("started", incarnation=setup.incarnation, pid=os.getpid())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(signals.run)
        await engine.run(tasks)
        tasks.start_soon(_serve, server, tasks)
        await signals.wait()
        await engine.stop()
        server.should_exit = True
        await anyio.sleep(SERVER_STOP_WAIT_S)
        tasks.cancel_scope.cancel()
    engine.close()
    telemetry.provider.shutdown()


async def _serve(server: EmbeddedServer, tasks: anyio.abc.TaskGroup) -> None:
    try:
        await server.serve()
    except SystemExit as stop:
        # uvicorn raises SystemExit if it can't bind the address; that ends this process.
        raise RuntimeError("can't bind the HTTP address") from stop


def main() -> None:
    """Run the daemon until a signal asks it to stop."""
    if {"--help", "-h"} & set(sys.argv[1:]):
        print(usage())
        return
    try:
        settings = load_from_process(sys.argv)
    except SettingsError as error:
        for problem in error.problems:
            print(f"granitetrestled: {problem}", file=sys.stderr)
        sys.exit(error.exit_code)
    ignore_hangup()
    started = time.monotonic()
    anyio.run(_run, settings, backend="asyncio")
    elapsed = time.monotonic() - started
    print(f'{{"event": "exited", "uptime_s": {elapsed:.1f}}}', file=sys.stderr)


if __name__ == "__main__":
    main()
