"""Metrics over statsd; they cost nothing while they are off."""

import enum
import time
import typing as t

from bilberrypass.version import settings

_MS: t.Final = 1_000.0


class Name(enum.StrEnum):
    """Every metric; ``docs/METRICS.md`` tells what each means."""

    REQUESTS = "requests"
    REQUEST_MS = "request_ms"
    REFUSALS = "refusals"
    IN_PROGRESS = "in_progress"
    REPORTS = "reports"
    REPORT_FAILURES = "report_failures"
    HOSTS = "hosts"
    REVISION = "revision"
    CONFIG_AGE = "config_age_s"
    SHARDS_OWNED = "shards_owned"
    SLOTS = "slots"
    SLOTS_IN_USE = "slots_in_use"
    QUEUED = "queued"
    TASKS = "tasks"
    TASKS_PLACED = "tasks_placed"
    TASKS_STARTED = "tasks_started"
    TASKS_ENDED = "tasks_ended"
    CPU_COMMITTED = "cpu_milli_committed"
    MEMORY_COMMITTED = "memory_bytes_committed"
    STORE_CALLS = "store_calls"
    STORE_ERRORS = "store_errors"
    STORE_MS = "store_ms"


class _Client(t.Protocol):
    """What is used of ``statsd.StatsClient``."""

    def incr(self, stat: str, count: int) -> None:
        """Add to a counter."""

    def gauge(self, stat: str, value: float) -> None:
        """Set a gauge."""

    def timing(self, stat: str, delta: float) -> None:
        """Record a duration in milliseconds."""


_client: _Client | None = None


def install(cfg: settings.Metrics, role: str, id: str) -> None:
    """Send metrics if the settings name a statsd server.

    Parameters
    ----------
    cfg : settings.Metrics
        Checked settings.
    role, id : str
        Stand after the prefix in each metric's name.
    """
    global _client
    if "statsd" not in cfg:
        return
    import statsd

    host, port = settings.split_address(cfg["statsd"])
    prefix = f"{cfg['prefix']}.{role}.{id.replace('.', '_')}"
    _client = statsd.StatsClient(host, port, prefix, ipv6=":" in host)


def is_on() -> bool:
    """Tell whether metrics are sent."""
    return _client is not None


def count(name: Name, part: str = "", number: int = 1) -> None:
    """Add to a counter, or to one part of it."""
    if _client is not None:
        _client.incr(f"{name}.{part}" if part else name, number)


def gauge(name: Name, value: float) -> None:
    """Set a gauge."""
    if _client is not None:
        _client.gauge(name, value)


def timing(name: Name, began: float, part: str = "") -> None:
    """Record the time since a monotonic moment."""
    if _client is not None:
        elapsed_ms = (time.monotonic() - began) * _MS
        _client.timing(f"{name}.{part}" if part else name, elapsed_ms)
