"""The configuration in force: which queue a caller means, and what it allows."""

import collections.abc as abc
import threading
import typing as t

import prometheus_client as prometheus

from bilberrypass import clock, errors
from bilberrypass.observing import decisions
from bilberrypass.scheduling import jobs, keyvalue

_CALL_S: t.Final = 1.0
_WATCH_S: t.Final = 0.7  # with its margin, a silent watch is noticed within 1.5 s
_READ_INTERVAL_S: t.Final = 1.4  # a watch may stay silent while changes are made
_RETRY_S: t.Final = 0.15

_version_metric = prometheus.Gauge(
    "bilberrypass_config_version", "Version of the configuration in force"
)


class Route(t.NamedTuple):
    """Callers' requests of a host name below a path prefix."""

    host: str
    prefix: str
    queue: jobs.Queue


class Limits(t.NamedTuple):
    """Bounds on callers' requests, in bytes and seconds."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Config(t.NamedTuple):
    """One version of the configuration."""

    version: int
    routes: tuple[Route, ...]
    limits: Limits


def queue_name(host: str, prefix: str) -> str:
    """Return the name under which jobs remember their queue."""
    return f"{host}{prefix}"


@t.final
class Table:
    """One version, indexed; the longest prefix of a path wins."""

    def __init__(self, config: Config) -> None:
        self.config = config
        self.queues = {queue_name(r.host, r.prefix): r.queue for r in config.routes}
        self._by_host: dict[str, list[Route]] = {}
        for route in sorted(config.routes, key=lambda r: -len(r.prefix)):
            self._by_host.setdefault(route.host.lower(), []).append(route)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of a request."""
        name = host.partition(":")[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None


Decode = abc.Callable[[bytes], Config]


@t.final
class Follower:
    """Keeps the newest configuration; its version only rises.

    Parameters
    ----------
    store : keyvalue.Store
        Holds the key.
    key : str
        The configuration's key.
    decode : callable
        Reads its value; raises ``errors.Error`` if that cannot be read.
    """

    def __init__(
        self,
        store: keyvalue.Store,
        key: str,
        decode: Decode,
    ) -> None:
        self._store = store
        self._key = key
        self._decode = decode
        self._table: Table | None = None
        self._revision = 0
        self._confirmed = decisions.Dependency("config.store")
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="config", daemon=True)

    def start(self) -> None:
        """Begin to follow."""
        self._thread.start()

    def stop(self) -> None:
        """Follow no longer."""
        self._stopping.set()

    @property
    def table(self) -> Table | None:
        """The configuration in force; None before the first was read."""
        return self._table

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                asked_at = clock.now()
                found = self._store.get(self._key, asked_at + _CALL_S)
                if found.item is not None:
                    self._take(found.item.value, found.item.revision)
                self._confirmed.worked()
                self._watch(found.revision, asked_at + _READ_INTERVAL_S)
            except errors.Error as exc:
                self._confirmed.failed(exc)
                self._stopping.wait(_RETRY_S)

    def _watch(self, revision: int, until: float) -> None:
        """Take each change, until it is time to read the key again."""
        while not self._stopping.is_set() and clock.now() < until:
            try:
                watched = self._store.watch(self._key, revision, _WATCH_S)
            except keyvalue.HistoryLost:
                self._stopping.wait(_RETRY_S)
                return
            revision = max(revision, watched.revision)
            for change in watched.changes:
                if change.key == self._key and change.value is not None:
                    self._take(change.value, change.revision)

    def _take(self, value: bytes, revision: int) -> None:
        if revision <= self._revision:
            return
        self._revision = revision
        try:
            config = self._decode(value)
        except errors.Error as exc:
            decisions.record("config.refused", revision=revision, why=str(exc))
            return
        if self._table is not None and config.version <= self._table.config.version:
            return
        self._table = Table(config)
        _version_metric.set(config.version)
        decisions.record(
            "config.in_force", version=config.version, routes=len(config.routes)
        )
