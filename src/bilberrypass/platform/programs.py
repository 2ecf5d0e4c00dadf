"""The programs of the platform, entry and agent, assembled from the product."""

import abc
import signal
import threading
import time
import typing as t

import prometheus_client as prometheus

from bilberrypass import clock, errors
from bilberrypass.connection import serving
from bilberrypass.hosting import agent, runner
from bilberrypass.observing import decisions
from bilberrypass.platform import front, operator, runner_reports, settings, store
from bilberrypass.platform import runner as runner_client
from bilberrypass.scheduling import election, entry, evacuations, queues, scheduler

_CALLER_THREADS: t.Final = 24
_RUNNER_REPORT_THREADS: t.Final = 3
_MAX_BODY_BYTES: t.Final = 4 << 20
# The load balancer removes an entry after two failed probes, one per second.
_BALANCER_REMOVAL_S: t.Final = 2.6
_MAX_LEASE_SHARE: t.Final = 0.9  # share of the longest lease that a runner accepts
# Longer than the restart of an agent, and short enough that a long-running task is
# restarted within the 6 s that RULES.md allows (LOST).
_MAX_LEASE_S: t.Final = 5.0
# The scheduler used up to 0.37 cores with 54 hosts (docs/CAPACITY.md).
_MIN_STRONG_CORES: t.Final = 0.4
_MIN_STRONG_LINK_MBPS: t.Final = 50.0
_CANDIDACY_DELAY_S: t.Final = 0.5  # time for several elections among strong hosts
_LEADER_LOOKUP_TIMEOUT_S: t.Final = 1.0
_METRICS_PORT: t.Final = 9464  # the port in deploy/system.toml
_LOG_FLUSH_TIMEOUT_S: t.Final = 0.3


class Program(abc.ABC):
    """A process on one machine in one role."""

    @abc.abstractmethod
    def start(self) -> None:
        """Start serving in the background."""

    @abc.abstractmethod
    def stop(self) -> None:
        """Stop accepting work, finish the work in progress, then end."""


def lease_s(node: settings.Node) -> float:
    """Return the lease duration in seconds, counted from the agent's report."""
    return min(_MAX_LEASE_S, node.max_lease_s * _MAX_LEASE_SHARE)


def candidacy_delay_s(node: settings.Node) -> float:
    """Return the seconds for which a weak host leaves a free key to others, else 0."""
    is_weak = node.cores < _MIN_STRONG_CORES or node.link_mbps < _MIN_STRONG_LINK_MBPS
    return _CANDIDACY_DELAY_S if is_weak else 0.0


def _make_evacuations(
    node: settings.Node, kv_store: store.Store
) -> evacuations.Evacuations:
    if not node.has_evacuations:
        return evacuations.NoEvacuations()
    return evacuations.StoredEvacuations(kv_store, operator.EVACUATION_PREFIX)


@t.final
class Entry(Program):
    """Serves the callers' interface, and runs the scheduler while elected."""

    def __init__(self, node: settings.Node) -> None:
        kv_store = store.Store(node.store_address, node.max_value_bytes)
        config = queues.ConfigWatcher(
            kv_store, operator.CONFIG_KEY, operator.read_config
        )
        cfg = scheduler.Settings(
            lease_s(node), node.status_s, node.has_reservations, node.refuses_hopeless
        )
        self._entry = entry.Entry(
            node.name,
            node.peer_address,
            kv_store,
            config,
            cfg,
            candidacy_delay_s(node),
            lambda: _make_evacuations(node, kv_store),
            clock.STARTED_AT,
        )
        self._front = front.CallerApplication(self._entry)
        self._listener = serving.Listener(
            node.caller_address, self._front, _CALLER_THREADS, _MAX_BODY_BYTES
        )
        self._readiness = serving.Listener(
            node.readiness_address, self._answer_probe, 1, _MAX_BODY_BYTES
        )

    def _answer_probe(self, environ: dict[str, t.Any], start: t.Any) -> list[bytes]:
        is_ready = self._entry.table is not None and not self._front.is_leaving
        status = "200 OK" if is_ready else "503 Not Ready"
        start(status, [("Content-Length", "0")])
        return [b""]

    def start(self) -> None:
        """Start serving in the background."""
        self._entry.start()
        self._listener.start()
        self._readiness.start()

    def stop(self) -> None:
        """Fail the readiness probe until the load balancer reacts, then stop."""
        self._front.is_leaving = True
        removed_at = clock.now() + _BALANCER_REMOVAL_S
        self._entry.release_leadership()
        time.sleep(max(0.0, removed_at - clock.now()))
        self._listener.stop()
        self._entry.stop()


@t.final
class _StoreLeaderLocator(agent.LeaderLocator):
    def __init__(self, kv_store: store.Store) -> None:
        self._store = kv_store

    def find(self) -> tuple[str, int] | None:
        lookup = self._store.get(election.KEY, clock.now() + _LEADER_LOOKUP_TIMEOUT_S)
        leader = election.decode_leader(lookup.item)
        return None if leader is None else (leader.address, leader.epoch)


@t.final
class _RunnerConnector(agent.Connector):
    def connect(self, id: str, life: int, address: str) -> runner.Runner:
        return runner_client.Runner(id, life, address)


@t.final
class Agent(Program):
    """Runs the agent next to a runner."""

    def __init__(self, node: settings.Node) -> None:
        identity = agent.Identity(node.name, node.zone, node.peer_address)
        locator = _StoreLeaderLocator(store.Store(node.store_address))
        self._agent = agent.Agent(identity, locator, _RunnerConnector(), lease_s(node))
        self._listener = serving.Listener(
            node.runner_reports_address,
            runner_reports.RunnerReportApplication(self._agent),
            _RUNNER_REPORT_THREADS,
            _MAX_BODY_BYTES,
        )

    def start(self) -> None:
        """Start serving in the background."""
        self._agent.start()
        self._listener.start()

    def stop(self) -> None:
        """Stop the agent; the runs on the runner continue."""
        self._agent.stop()


_PROGRAMS: t.Final[dict[str, type[Program]]] = {"entry": Entry, "agent": Agent}


def _serve_metrics(node: settings.Node) -> None:
    prometheus.start_http_server(_METRICS_PORT, node.ip)


def run(role: str) -> int:
    """Run a role until SIGTERM or SIGINT; SIGHUP reads the settings again.

    Returns
    -------
    int
        The exit code: 0, or 2 if the settings are invalid.
    """
    signals = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}
    signal.pthread_sigmask(signal.SIG_BLOCK, signals)
    try:
        node = settings.read()
    except errors.Error as exc:
        decisions.install("unknown", role)
        decisions.record("process.refused", why=str(exc))
        decisions.flush(_LOG_FLUSH_TIMEOUT_S)
        return 2
    decisions.install(node.name, role)
    program = _PROGRAMS[role](node)
    program.start()
    _serve_metrics(node)
    decisions.record(
        "process.started", zone=node.zone, threads=threading.active_count()
    )
    while signal.sigwait(signals) == signal.SIGHUP:
        _reload(node)
    decisions.record("process.stopping")
    program.stop()
    decisions.record("process.stopped")
    decisions.flush(_LOG_FLUSH_TIMEOUT_S)
    return 0


def _reload(node: settings.Node) -> None:
    """Log what a new settings file changes; new addresses require a restart."""
    try:
        found = settings.read()
    except errors.Error as exc:
        decisions.record("settings.refused", why=str(exc))
        return
    changed = [
        name
        for name, old, new in zip(node._fields, node, found, strict=True)
        if old != new
    ]
    decisions.record("settings.read", changed=changed)
