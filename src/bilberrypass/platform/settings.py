"""Reading and validation of the platform's settings file."""

import os
import pathlib
import typing as t

import msgspec
import yaml

from bilberrypass import errors
from bilberrypass.scheduling import keyvalue

SETTINGS_PATH_VARIABLE: t.Final = "BILBERRYPASS_CONFIG"
_MS: t.Final = 1_000.0


class Node(t.NamedTuple):
    """The settings of one process: its identity, addresses, limits and timeouts."""

    name: str
    zone: str
    ip: str
    caller_address: str
    readiness_address: str
    runner_reports_address: str
    peer_address: str
    store_address: str
    max_value_bytes: int
    memory_mb: int
    cores: float
    link_mbps: float
    max_lease_s: float
    stop_timeout_s: float
    grace_s: float
    status_s: float
    has_evacuations: bool
    has_reservations: bool
    refuses_hopeless: bool


class _Listen(msgspec.Struct):
    front: str = ""
    ready: str = ""
    control: str = ""


class _Bounds(msgspec.Struct):
    hold_max_ms: float = 6_000
    stop_timeout_ms: float = 900
    grace_s: float = 6
    status_s: float = 120
    # Set where operators evacuate zones.
    evacuation_ms: float | None = None


class _Platform(msgspec.Struct):
    address: str
    value_bytes: int = keyvalue.DEFAULT_MAX_VALUE_BYTES


class _Limits(msgspec.Struct):
    memory_mb: float = 300
    # The share of each core that is available to this machine.
    cpu_share: float = 1.0
    cores: float = 1.0
    link_mbps: float = 1_000.0


class _Scheduling(msgspec.Struct):
    reservations: bool = False
    # Whether jobs are refused that can no longer be served in time.
    refuse_hopeless_jobs: bool = False


class _File(msgspec.Struct):
    node_name: str
    zone: str
    ip_address: str
    internal_port_range: list[int]
    platform: _Platform
    listen_addresses: _Listen = msgspec.field(default_factory=_Listen)
    bounds: _Bounds = msgspec.field(default_factory=_Bounds)
    limits: _Limits = msgspec.field(default_factory=_Limits)
    scheduling: _Scheduling = msgspec.field(default_factory=_Scheduling)


def read(path: pathlib.Path | None = None) -> Node:
    """Read and validate the settings file.

    Raises
    ------
    errors.Error
        INVALID_SETTINGS, naming the file and the faulty key.
    """
    path = path or pathlib.Path(os.environ.get(SETTINGS_PATH_VARIABLE, ""))
    try:
        value = yaml.load(path.read_bytes(), Loader=_yaml_loader())
        decoded = msgspec.convert(value, _File, strict=False)
    except (OSError, yaml.YAMLError, msgspec.ValidationError) as exc:
        raise errors.Error(
            errors.Kind.INVALID_SETTINGS,
            f"{path}: {exc}; ask the platform's operators to correct the file",
        ) from exc
    return _convert(decoded)


def _yaml_loader() -> t.Any:
    return getattr(yaml, "CSafeLoader", yaml.SafeLoader)


def _convert(decoded: _File) -> Node:
    first_port = decoded.internal_port_range[0]
    return Node(
        name=decoded.node_name,
        zone=decoded.zone,
        ip=decoded.ip_address,
        caller_address=decoded.listen_addresses.front,
        readiness_address=decoded.listen_addresses.ready,
        runner_reports_address=decoded.listen_addresses.control,
        peer_address=f"{decoded.ip_address}:{first_port}",
        store_address=decoded.platform.address,
        max_value_bytes=decoded.platform.value_bytes,
        memory_mb=int(decoded.limits.memory_mb),
        cores=decoded.limits.cpu_share * decoded.limits.cores,
        link_mbps=decoded.limits.link_mbps,
        max_lease_s=decoded.bounds.hold_max_ms / _MS,
        stop_timeout_s=decoded.bounds.stop_timeout_ms / _MS,
        grace_s=decoded.bounds.grace_s,
        status_s=decoded.bounds.status_s,
        has_evacuations=decoded.bounds.evacuation_ms is not None,
        has_reservations=decoded.scheduling.reservations,
        refuses_hopeless=decoded.scheduling.refuse_hopeless_jobs,
    )
