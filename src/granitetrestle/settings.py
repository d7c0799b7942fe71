"""Settings of the daemon: flags, each of which can also be set by an environment
variable. All are checked before anything starts. Every problem is reported at once,
and the process exits with code 78, used for nothing else."""

import ipaddress
import os
import re
import typing as t

from absl import flags

from .errors import SettingsError

__all__ = ["Address", "PeerAddress", "Settings", "load_settings"]

ENV_PREFIX = "GRANITETRESTLE_"
NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,30}")
SHA256_PATTERN = re.compile(r"[0-9a-f]{64}")
MIN_TOKEN_LENGTH = 16
LOG_LEVELS = ("debug", "info", "warning", "error")


class Address(t.NamedTuple):
    """An IP address and a port."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


class PeerAddress(t.NamedTuple):
    """A process of the system and the addresses on which it listens."""

    node: str
    hall: str
    zmq: Address
    http: Address


class Settings(t.NamedTuple):
    """Validated settings of one daemon. Durations are in seconds."""

    node: str
    hall: str
    http: Address
    zmq: Address
    platform: Address
    peers: tuple[PeerAddress, ...]
    shards: int
    peer_token: str
    operator_token_sha256: str
    statsd: Address | None
    trace_file: str
    trace_ratio: float
    log_level: str
    lease_s: float
    exchange_s: float
    term_s: float
    stop_grace_s: float


def _define_flags(values: flags.FlagValues) -> None:
    text = [
        ("node", "", "name of this process, unique in the system"),
        ("hall", "", "data hall of this process"),
        ("http_address", "", "IP:PORT for callers, operators and peers"),
        ("zmq_address", "", "IP:PORT for messages between processes"),
        ("platform_address", "", "IP:PORT of the platform's service"),
        ("peers", "", "all processes: NODE@HALL=ZMQ_IP:PORT|HTTP_IP:PORT,..."),
        ("peer_token", "", "secret shared by the processes of the system"),
        ("operator_token_sha256", "", "SHA-256 of the operators' token, hex"),
        ("statsd_address", "", "IP:PORT of statsd; empty: no metrics"),
        ("trace_file", "", "file for trace spans as JSON lines; empty: stderr"),
        ("log_level", "info", "debug, info, warning or error"),
    ]
    for name, default, meaning in text:
        flags.DEFINE_string(name, default, meaning, flag_values=values)
    flags.DEFINE_integer("shards", 1, "shards of each hall", flag_values=values)
    numbers = [
        ("trace_ratio", 0.01, "share of requests traced, 0 to 1"),
        ("lease_s", 10.0, "how long a box runs a task whose lease is not renewed"),
        ("exchange_s", 1.0, "time between exchanges with an idle box"),
        ("term_s", 2.5, "how long an owner may act after a renewal on the log"),
        ("stop_grace_s", 15.0, "maximum duration of a planned stop"),
    ]
    for name, number, meaning in numbers:
        flags.DEFINE_float(name, number, meaning, flag_values=values)


def load_settings(argv: t.Sequence[str], env: t.Mapping[str, str]) -> Settings:
    """Read and check the settings.

    :param argv: program name and flags; flags take precedence over the environment.
    :param env: the environment; ``GRANITETRESTLE_<FLAG>`` sets a flag.
    :raises SettingsError: with every problem found.
    """
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    _define_flags(values)
    from_env = [
        f"--{name}={env[ENV_PREFIX + name.upper()]}"
        for name in sorted(values)
        if ENV_PREFIX + name.upper() in env
    ]
    try:
        rest = values([argv[0], *from_env, *argv[1:]])
    except flags.Error as error:
        raise SettingsError([str(error)]) from error
    problems = [f"unexpected argument {word!r}" for word in rest[1:]]
    return _check(values, problems)


def _check(values: flags.FlagValues, problems: list[str]) -> Settings:
    get = values.flag_values_dict().get
    for name in ("node", "hall"):
        if not NAME_PATTERN.fullmatch(str(get(name))):
            problems.append(
                f"--{name}: {get(name)!r} is not 1 to 31 of a-z, 0-9 and - (not first)"
            )
    addresses = {
        name: _address(name, str(get(name)), problems)
        for name in ("http_address", "zmq_address", "platform_address")
    }
    statsd_text = str(get("statsd_address"))
    statsd = _address("statsd_address", statsd_text, problems) if statsd_text else None
    peers = _peers(str(get("peers")), problems)
    _check_self(str(get("node")), str(get("hall")), peers, problems)
    _check_numbers(values, problems)
    _check_secrets(values, problems)
    if problems:
        raise SettingsError(problems)
    return Settings(
        node=values.node,
        hall=values.hall,
        http=addresses["http_address"],
        zmq=addresses["zmq_address"],
        platform=addresses["platform_address"],
        peers=peers,
        shards=values.shards,
        peer_token=values.peer_token,
        operator_token_sha256=values.operator_token_sha256,
        statsd=statsd,
        trace_file=values.trace_file,
        trace_ratio=values.trace_ratio,
        log_level=values.log_level,
        lease_s=values.lease_s,
        exchange_s=values.exchange_s,
        term_s=values.term_s,
        stop_grace_s=values.stop_grace_s,
    )


def _address(name: str, text: str, problems: list[str]) -> Address:
    ip, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(ip)
        number = int(port)
    except ValueError:
        problems.append(f"--{name}: {text!r} is not IP:PORT (no host names)")
        return Address("", 0)
    if not 0 < number < 65536:
        problems.append(f"--{name}: port {number} is not in 1..65535")
    return Address(ip, number)


def _peers(text: str, problems: list[str]) -> tuple[PeerAddress, ...]:
    peers: list[PeerAddress] = []
    for entry in filter(None, text.split(",")):
        head, _, tail = entry.partition("=")
        node, _, hall = head.partition("@")
        zmq, _, http = tail.partition("|")
        if not NAME_PATTERN.fullmatch(node) or not NAME_PATTERN.fullmatch(hall):
            problems.append(
                f"--peers: {entry!r} is not NODE@HALL=ZMQ_IP:PORT|HTTP_IP:PORT"
            )
            continue
        peers.append(
            PeerAddress(
                node,
                hall,
                _address("peers", zmq, problems),
                _address("peers", http, problems),
            )
        )
    if len({peer.node for peer in peers}) != len(peers):
        problems.append("--peers: a node is listed twice")
    return tuple(peers)


def _check_self(
    node: str, hall: str, peers: tuple[PeerAddress, ...], problems: list[str]
) -> None:
    if not any(peer.node == node and peer.hall == hall for peer in peers):
        problems.append(f"--peers: does not list node {node!r} in hall {hall!r}")


def _check_numbers(values: flags.FlagValues, problems: list[str]) -> None:
    for name, low, high in (
        ("shards", 1, 64),
        ("trace_ratio", 0.0, 1.0),
        ("lease_s", 3.0, 300.0),
        ("exchange_s", 0.1, 60.0),
        ("term_s", 1.0, 60.0),
        ("stop_grace_s", 1.0, 600.0),
    ):
        if not low <= float(getattr(values, name)) <= high:
            problems.append(
                f"--{name}: {getattr(values, name)} is not in {low}..{high}"
            )
    if values.lease_s < 3 * values.exchange_s:
        problems.append("--lease_s: must be at least 3 times --exchange_s")


def _check_secrets(values: flags.FlagValues, problems: list[str]) -> None:
    if len(values.peer_token) < MIN_TOKEN_LENGTH:
        problems.append(f"--peer_token: needs at least {MIN_TOKEN_LENGTH} characters")
    if not SHA256_PATTERN.fullmatch(values.operator_token_sha256):
        problems.append("--operator_token_sha256: needs 64 hex digits")
    if values.log_level not in LOG_LEVELS:
        problems.append(f"--log_level: must be one of {', '.join(LOG_LEVELS)}")


def usage() -> str:
    """Return the help text of the daemon."""
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    _define_flags(values)
    values.mark_as_parsed()
    note = f"Each flag can be set as {ENV_PREFIX}<FLAG> in the environment."
    return f"granitetrestled: daemon of an entry process.\n{values.get_help()}\n{note}"


def load_from_process(argv: t.Sequence[str]) -> Settings:
    """Read the settings of this process; see :func:`load_settings`."""
    return load_settings(argv, os.environ)
