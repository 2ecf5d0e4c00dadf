"""The operator's configuration, as stored in the platform's store."""

import typing as t

import msgspec

from bilberrypass import decoding, errors
from bilberrypass.scheduling import jobs, queues

CONFIG_KEY: t.Final = "op/config"
EVACUATION_PREFIX: t.Final = "op/evacuate/"
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
    # Parameters for the advice service; present if a start requires its ticket.
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


def _convert_route(decoded: _Route) -> queues.Route:
    queue = jobs.Queue(
        name=decoded.name,
        service=decoded.service,
        priority=decoded.priority,
        max_attempts=decoded.max_attempts,
        stretch=decoded.stretch,
        latency_objective_s=decoded.target_latency_ms / _MS,
        needs_advice=decoded.recommendation is not None,
    )
    return queues.Route(decoded.host, decoded.prefix, queue)


def read_config(value: bytes) -> queues.Config:
    """Decode one version of the configuration.

    Raises
    ------
    errors.Error
        INVALID_CONFIG, naming the faulty field.
    """
    try:
        decoded = decoding.decode_json(value, _Config)
    except decoding.UnreadableError as exc:
        raise errors.Error(errors.Kind.INVALID_CONFIG, f"{CONFIG_KEY}: {exc}") from exc
    limits = queues.Limits(
        decoded.limits.max_header_bytes,
        decoded.limits.max_body_bytes,
        decoded.limits.header_timeout_ms / _MS,
        decoded.limits.idle_timeout_ms / _MS,
    )
    return queues.Config(
        decoded.version, tuple(map(_convert_route, decoded.routes)), limits
    )
