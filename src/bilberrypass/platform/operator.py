"""The operator's configuration, as the platform's store keeps it."""

import typing as t

import msgspec

from bilberrypass import errors
from bilberrypass.scheduling import jobs, queues

CONFIG_KEY: t.Final = "op/config"
_MS: t.Final = 1_000.0


class _Route(msgspec.Struct):
    host: str
    prefix: str
    service: str
    name: str = ""
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_latency_ms: float = 0
    # What the advice service takes; present if starts need its ticket.
    recommendation: dict[str, t.Any] | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    limits: _Limits = msgspec.field(default_factory=_Limits)


def _route(found: _Route) -> queues.Route:
    queue = jobs.Queue(
        name=found.name,
        service=found.service,
        priority=found.priority,
        max_attempts=found.max_attempts,
        stretch=found.stretch,
        latency_objective_s=found.target_latency_ms / _MS,
        needs_advice=found.recommendation is not None,
    )
    return queues.Route(found.host, found.prefix, queue)


def read_config(value: bytes) -> queues.Config:
    """Decode a version of the configuration.

    Raises
    ------
    errors.Error
        INVALID_CONFIG, naming the faulty field.
    """
    try:
        found = msgspec.json.decode(value, type=_Config)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise errors.Error(errors.Kind.INVALID_CONFIG, f"{CONFIG_KEY}: {exc}") from exc
    limits = queues.Limits(
        found.limits.max_header_bytes,
        found.limits.max_body_bytes,
        found.limits.header_timeout_ms / _MS,
        found.limits.idle_timeout_ms / _MS,
    )
    return queues.Config(found.version, tuple(map(_route, found.routes)), limits)
