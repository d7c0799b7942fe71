"""Decoding of the settings file that the platform provides for each process."""

import json
import pathlib
import typing as t

from ..appendpace import DEFAULT_LINK_BYTES_PER_S
from ..calls import is_address
from ..errors import SettingsError
from ..settings import Address

__all__ = ["BOOT_VARIABLE", "OFF_VARIABLE", "PlatformSettings", "load_boot_file"]

BOOT_VARIABLE: t.Final = "GRANITETRESTLE_BOOT"
# Lists mechanisms to switch off, for measurements.
OFF_VARIABLE: t.Final = "GRANITETRESTLE_SWITCHED_OFF"
# One megabit per second, in bytes per second.
MBPS: t.Final = 125_000.0


class PlatformSettings(t.NamedTuple):
    """Settings of one process. Durations are in seconds.

    :param areas: data hall -> its area.
    :param front: address for clients.
    :param ready: address for the platform's readiness checks.
    :param ports: first and last port for messages between processes.
    :param max_lease_s: longest lease that a box grants.
    :param grace_s: time from SIGTERM to SIGKILL.
    :param job_status_s: how long the state of an ended job can be queried.
    :param advice: address of the service that says what boxes may run a step, if any.
    :param max_files: maximum of open descriptors.
    :param writes_per_s: maximum of appends to the store per second, by all processes.
    :param link_bytes_per_s: bandwidth of the link of its machine.
    """

    node: str
    hall: str
    areas: t.Mapping[str, str]
    ip: str
    front: Address | None
    ready: Address | None
    ports: tuple[int, int]
    store: Address
    writes_per_s: float
    record_bytes: int
    call_bytes: int
    max_lease_s: float
    job_status_s: float
    grace_s: float
    drain_s: float
    config_apply_s: float
    link_bytes_per_s: float
    memory_mb: int
    max_files: int
    cores: float
    advice: Address | None


def load_boot_file(path: str) -> PlatformSettings:
    """Read and decode the settings file; unknown keys are ignored.

    :raises SettingsError: naming each key that is missing or malformed.
    """
    try:
        raw = json.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as error:
        raise SettingsError([f"{path}: {error}"]) from error
    if not isinstance(raw, dict):
        raise SettingsError([f"{path}: not a JSON object"])
    return _Decoder(raw).decode()


class _Decoder:
    """Decodes a settings file; reports all its problems in one error."""

    def __init__(self, raw: dict[str, t.Any]) -> None:
        self._raw = raw
        self._problems: list[str] = []

    def decode(self) -> PlatformSettings:
        """Return the settings.

        :raises SettingsError: naming each key that is missing or malformed.
        """
        ports = self._ports()
        settings = PlatformSettings(
            node=self._text("node_name"),
            hall=self._text("zone"),
            areas=self._texts("zones"),
            ip=self._text("ip"),
            front=self._address("listen.front", optional=True),
            ready=self._address("listen.ready", optional=True),
            ports=ports,
            store=self._address("platform.address") or Address("", 0),
            writes_per_s=self._number("platform.writes_per_s", 800.0),
            record_bytes=int(self._number("platform.record_bytes", 262144)),
            call_bytes=int(self._number("platform.call_bytes", 2097152)),
            max_lease_s=self._number("bounds.hold_max_ms", 10000) / 1000.0,
            job_status_s=self._number("bounds.status_s", 120.0),
            grace_s=self._number("bounds.grace_s", 6.0),
            drain_s=self._number("bounds.drain_ms", 2000) / 1000.0,
            config_apply_s=self._number("bounds.config_apply_ms", 2000) / 1000.0,
            link_bytes_per_s=self._number("limits.link_mbps", 0.0) * MBPS
            or DEFAULT_LINK_BYTES_PER_S,
            memory_mb=int(self._number("limits.memory_mb", 300)),
            max_files=int(self._number("limits.max_fds", 4100)),
            cores=self._number("limits.cpu_share", 1.0)
            * self._number("limits.cores", 1.0),
            advice=self._address("advice", optional=True),
        )
        if self._problems:
            raise SettingsError(self._problems)
        return settings

    def _find(self, key: str) -> t.Any:
        value: t.Any = self._raw
        for part in key.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return value

    def _text(self, key: str) -> str:
        value = self._find(key)
        if isinstance(value, str) and value:
            return value
        self._problems.append(f"{key}: {value!r} is not a non-empty string")
        return ""

    def _texts(self, key: str) -> dict[str, str]:
        value = self._find(key)
        if value is None:
            return {}
        if isinstance(value, dict) and all(
            isinstance(text, str) for text in value.values()
        ):
            return value
        self._problems.append(f"{key}: {value!r} is not a table of strings")
        return {}

    def _number(self, key: str, default: float) -> float:
        value = self._find(key)
        if value is None:
            return default
        number = isinstance(value, int | float) and not isinstance(value, bool)
        if number and value >= 0:
            return float(value)
        self._problems.append(f"{key}: {value!r} is not a number of 0 or more")
        return default

    def _address(self, key: str, optional: bool = False) -> Address | None:
        value = self._find(key)
        if optional and not value:
            return None
        ip, _, port = str(value).rpartition(":")
        if is_address(str(value)):
            return Address(ip, int(port))
        self._problems.append(f"{key}: {value!r} is not IP:PORT")
        return None

    def _ports(self) -> tuple[int, int]:
        value = self._find("internal_ports")
        pair = isinstance(value, list) and len(value) == 2
        if pair and all(isinstance(port, int) for port in value):
            return value[0], value[1]
        self._problems.append(
            f"internal_ports: {value!r} is not a list of a first and a last port"
        )
        return 0, 0
