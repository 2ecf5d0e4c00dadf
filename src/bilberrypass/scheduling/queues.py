"""The configuration in force: the queue of each request path, and limits."""

import collections.abc as abc
import threading
import typing as t

import prometheus_client as prometheus

from bilberrypass import clock, errors, supervision
from bilberrypass.observing import decisions
from bilberrypass.scheduling import jobs, keyvalue

_READ_TIMEOUT_S: t.Final = 1.0
# With its margin, a watch without a response is detected within 1.5 s.
_WATCH_TIMEOUT_S: t.Final = 0.7
_READ_INTERVAL_S: t.Final = 1.4  # a watch may miss changes without an error
_RETRY_DELAY_S: t.Final = 0.15

_version_metric = prometheus.Gauge(
    "bilberrypass_config_version", "Version of the configuration in force"
)


class Route(t.NamedTuple):
    """Maps requests to a host name below a path prefix to a queue."""

    host: str
    prefix: str
    queue: jobs.Queue


class Limits(t.NamedTuple):
    """Limits on the size and duration of callers' requests."""

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
    """Return the queue name that is stored with jobs: host name and path prefix."""
    return f"{host}{prefix}"


@t.final
class RouteTable:
    """The routes and queues of one version; the longest matching prefix wins."""

    def __init__(self, config: Config) -> None:
        self.config = config
        self.queues = {queue_name(r.host, r.prefix): r.queue for r in config.routes}
        self._by_host: dict[str, list[Route]] = {}
        for route in sorted(config.routes, key=lambda r: -len(r.prefix)):
            self._by_host.setdefault(route.host.lower(), []).append(route)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route of a request, or None; a port in ``host`` is ignored."""
        name = host.partition(":")[0].lower()
        for route in self._by_host.get(name, ()):
            if path.startswith(route.prefix):
                return route
        return None


Decode = abc.Callable[[bytes], Config]


@t.final
class ConfigWatcher:
    """Keeps the newest configuration from the store; its version only increases.

    Parameters
    ----------
    store : keyvalue.Store
        Store that holds the key.
    key : str
        Key of the configuration.
    decode : callable
        Returns the configuration of a value; raises ``errors.Error`` if malformed.
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
        self._table: RouteTable | None = None
        self._revision = 0
        self._store_state = decisions.Dependency("config.store")
        self._stopping = threading.Event()
        self._thread = supervision.SupervisedThread("config", self._run, self._stopping)

    def start(self) -> None:
        """Start the thread that reads and watches the key."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread after the call to the store in progress."""
        self._stopping.set()

    @property
    def table(self) -> RouteTable | None:
        """The configuration in force, or None before the first successful read."""
        return self._table

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                read_at = clock.now()
                lookup = self._store.get(self._key, read_at + _READ_TIMEOUT_S)
                if lookup.item is not None:
                    self._apply(lookup.item.value, lookup.item.revision)
                self._store_state.worked()
                self._watch(lookup.revision, read_at + _READ_INTERVAL_S)
            except errors.Error as exc:
                self._store_state.failed(exc)
                self._stopping.wait(_RETRY_DELAY_S)

    def _watch(self, revision: int, until: float) -> None:
        """Apply changes until the key has to be read again."""
        while not self._stopping.is_set() and clock.now() < until:
            try:
                batch = self._store.watch(self._key, revision, _WATCH_TIMEOUT_S)
            except keyvalue.HistoryLost:
                self._stopping.wait(_RETRY_DELAY_S)
                return
            revision = max(revision, batch.revision)
            for change in batch.changes:
                if change.key == self._key and change.value is not None:
                    self._apply(change.value, change.revision)

    def _apply(self, value: bytes, revision: int) -> None:
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
        self._table = RouteTable(config)
        _version_metric.set(config.version)
        decisions.record(
            "config.in_force", version=config.version, routes=len(config.routes)
        )
