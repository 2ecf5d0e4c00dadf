"""Metrics over statsd; nothing is loaded or sent while they are disabled."""

import enum
import time
import typing as t

from bilberrypass.version import settings

_MS_PER_S: t.Final = 1_000.0


class Name(enum.StrEnum):
    """Every metric; ``docs/METRICS.md`` explains each."""

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
    """The methods of ``statsd.StatsClient`` that this module calls."""

    def incr(self, stat: str, count: int) -> None:
        """Add a count to a counter."""

    def gauge(self, stat: str, value: float) -> None:
        """Set a gauge to a value."""

    def timing(self, stat: str, delta: float) -> None:
        """Record a duration in milliseconds."""


_client: _Client | None = None


def install(cfg: settings.Metrics, role: str, id: str) -> None:
    """Send metrics if the settings name a statsd server.

    Parameters
    ----------
    cfg : settings.Metrics
        Validated settings.
    role, id : str
        Follow the prefix in each metric's name; dots in ``id`` become underscores.
    """
    global _client
    if "statsd" not in cfg:
        return
    import statsd

    host, port = settings.split_address(cfg["statsd"])
    prefix = f"{cfg['prefix']}.{role}.{id.replace('.', '_')}"
    _client = statsd.StatsClient(host, port, prefix, ipv6=":" in host)


def is_on() -> bool:
    """Return whether metrics are sent, i.e. the settings name a statsd server."""
    return _client is not None


def count(name: Name, suffix: str = "", number: int = 1) -> None:
    """Add a number to a counter, or to the one named by a suffix of its name."""
    if _client is not None:
        _client.incr(f"{name}.{suffix}" if suffix else name, number)


def gauge(name: Name, value: float) -> None:
    """Set a gauge to a value, if metrics are sent."""
    if _client is not None:
        _client.gauge(name, value)


def timing(name: Name, began: float, suffix: str = "") -> None:
    """Record the milliseconds elapsed since ``began`` (monotonic seconds)."""
    if _client is not None:
        elapsed_ms = (time.monotonic() - began) * _MS_PER_S
        _client.timing(f"{name}.{suffix}" if suffix else name, elapsed_ms)
