"""Process of the platform: settings, listening sockets, signals, graceful shutdown."""

import socket
import time
import typing as t
import uuid

import anyio
import anyio.abc
import uvicorn

from ..boxleases import granted_lease_s
from ..calls import Caller
from ..embedded import EmbeddedServer
from ..mechanisms import Mechanism
from ..node import Node
from ..node import NodeParameters
from ..nodelog import NodeLog
from ..nodemetrics import NodeMetrics
from ..peerlink import PeerLink
from ..session import Sources
from ..settings import Address
from ..shardstate import SchedulerParameters
from ..stopsignals import StopSignals
from . import front
from .advice import PlatformAdvisor
from .boxes import PlatformBoxes
from .boxes import decode_entry
from .server import FrontResponder
from .server import Ports
from .server import make_app
from .settings import PlatformSettings
from .settings import load_boot_file
from .store import BOX_TOPIC
from .store import CONFIG_TOPIC
from .store import PlatformStore

__all__ = ["METRICS_PORT", "run"]

# deploy/system.toml names this port as well.
METRICS_PORT: t.Final = 9464
# Of the connections, for calls to boxes and the store. The rest are for clients and for
# peers, whose sockets take up to three descriptors each.
CALL_CONNECTIONS_SHARE: t.Final = 0.7
# No secret is needed: only processes of one deployment reach its network.
PEER_TOKEN: t.Final = "granitetrestle"
KEEP_ALIVE_TIMEOUT_S: t.Final = 20
# Descriptors of the process that the platform reserves for files.
RESERVED_FILES: t.Final = 200
PRUNE_INTERVAL_S: t.Final = 1.0
# The platform checks readiness every second, and after two failures it sends no new
# connections.
UNREADY_NOTICE_S: t.Final = 2.2
# Time to send the answers of requests that are abandoned when the grace period ends.
LAST_ANSWERS_WAIT_S: t.Final = 0.1
# Part of the grace period that is kept for closing, after all waits.
CLOSING_RESERVE_S: t.Final = 0.8


def _sources(settings: PlatformSettings, caller: Caller) -> Sources:
    advisor = None
    if settings.advice is not None:
        advisor = PlatformAdvisor(str(settings.advice), caller)
    return Sources(
        store=PlatformStore(str(settings.store), caller),
        boxes=PlatformBoxes(caller, settings.link_bytes_per_s),
        config_topic=CONFIG_TOPIC,
        box_topic=BOX_TOPIC,
        decode_operator=front.decode_directive,
        decode_box=decode_entry,
        advisor=advisor,
    )


def _node(
    settings: PlatformSettings,
    off: frozenset[Mechanism],
    caller: Caller,
    log: NodeLog,
    metrics: NodeMetrics,
) -> Node:
    address = f"{settings.ip}:{settings.ports[0]}"
    incarnation = f"{settings.node}-{uuid.uuid4().hex[:8]}"
    parameters = NodeParameters(
        node=settings.node,
        incarnation=incarnation,
        hall=settings.hall,
        ip=settings.ip,
        address=address,
        cores=settings.cores,
        scheduler=SchedulerParameters(
            lease_s=granted_lease_s(settings.max_lease_s),
            max_lease_s=settings.max_lease_s,
            keep_s=settings.job_status_s * 1.25,
            connections=settings.max_files - RESERVED_FILES,
            call_bytes=settings.call_bytes,
            record_bytes=settings.record_bytes,
            link_bytes_per_s=settings.link_bytes_per_s,
            off=off,
            hall=settings.hall,
            areas=settings.areas,
        ),
    )
    peers = PeerLink(settings.node, incarnation, PEER_TOKEN, address)
    sources = _sources(settings, caller)
    responder = FrontResponder(settings.record_bytes)
    return Node(parameters, sources, responder, peers, log, metrics)


def _listen(address: Address) -> socket.socket:
    # asyncio sets TCP_NODELAY only on sockets created with an explicit protocol.
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((address.ip, address.port))
    listener.listen(512)
    return listener


async def _main(
    settings: PlatformSettings,
    off: frozenset[Mechanism],
    log: NodeLog,
    metrics: NodeMetrics,
) -> None:
    # Nothing to reload: the settings are fixed for an incarnation.
    with StopSignals(lambda: log.event("reload", changed=False)) as signals:
        await _serve(settings, off, log, metrics, signals)


async def _serve(
    settings: PlatformSettings,
    off: frozenset[Mechanism],
    log: NodeLog,
    metrics: NodeMetrics,
    signals: StopSignals,
) -> None:
    caller = Caller(
        int((settings.max_files - RESERVED_FILES) * CALL_CONNECTIONS_SHARE),
        settings.link_bytes_per_s,
    )
    node = _node(settings, off, caller, log, metrics)
    stopping = False
    ready = settings.ready.port if settings.ready is not None else 0
    ports = Ports(ready=ready, metrics=METRICS_PORT)
    config = uvicorn.Config(
        make_app(node, ports, lambda: stopping),
        loop="asyncio",
        http="httptools",
        lifespan="off",
        log_config=None,
        access_log=False,
        timeout_keep_alive=KEEP_ALIVE_TIMEOUT_S,
        server_header=False,
        date_header=False,
    )
    server = EmbeddedServer(config)
    addresses = [settings.front, settings.ready]
    addresses.append(Address(settings.ip, METRICS_PORT))
    listeners = [_listen(address) for address in addresses if address is not None]
    log.event(
        "started",
        hall=settings.hall,
        store=str(settings.store),
        switched_off=sorted(off),
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(signals.run)
        tasks.start_soon(node.run)
        tasks.start_soon(server.serve, listeners)
        tasks.start_soon(_prune, caller)
        await signals.wait()
        stopping_since = time.monotonic()
        stopping = True
        log.event("stopping", grace_s=settings.grace_s)
        max_wait_s = settings.grace_s - CLOSING_RESERVE_S
        await node.stop(max_wait_s)
        # Requests still arrive over open connections until the platform's readiness
        # checks have failed.
        while (
            time.monotonic() - stopping_since < min(UNREADY_NOTICE_S, max_wait_s)
            or not node.idle
        ):
            if time.monotonic() - stopping_since > max_wait_s:
                break
            await anyio.sleep(0.05)
        idle = node.idle
        node.give_up()
        await anyio.sleep(LAST_ANSWERS_WAIT_S)
        server.should_exit = True
        log.event(
            "stopped", idle=idle, took_s=round(time.monotonic() - stopping_since, 2)
        )
        tasks.cancel_scope.cancel()


async def _prune(caller: Caller) -> None:
    while True:
        await anyio.sleep(PRUNE_INTERVAL_S)
        await caller.prune()


def run(boot_file: str, off: frozenset[Mechanism] = frozenset()) -> None:
    """Run until the process receives SIGTERM or SIGINT.

    :param off: mechanisms that are switched off.
    :raises SettingsError: if the settings file is malformed.
    """
    settings = load_boot_file(boot_file)
    metrics = NodeMetrics()
    log = NodeLog(count=metrics.count, node=settings.node)
    anyio.run(_main, settings, off, log, metrics, backend="asyncio")
