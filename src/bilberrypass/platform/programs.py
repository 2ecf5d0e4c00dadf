"""The two programs of the platform, put together from the product's parts."""

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
from bilberrypass.platform import beats, front, operator, settings, store
from bilberrypass.platform import runner as runner_client
from bilberrypass.scheduling import election, entry, queues, scheduler

_FRONT_THREADS: t.Final = 24
_SIDE_THREADS: t.Final = 3
_MAX_BODY_BYTES: t.Final = 4 << 20
# The balancer drops an entry after two missed probes, one a second.
_LEAVE_S: t.Final = 2.6
_LEASE_SHARE: t.Final = 0.9  # of the longest lease that a runner keeps
# Outlasts the restart of an agent, and lets a task that lasts run again within the
# 6 s that RULES.md gives (LOST).
_LEASE_S: t.Final = 5.0
# The scheduler of 54 hosts took 0.37 cores at its peak (docs/CAPACITY.md).
_STRONG_CORES: t.Final = 0.4
_STRONG_LINK_MBPS: t.Final = 50.0
_PATIENCE_S: t.Final = 0.5  # several elections of strong hosts
_FIND_S: t.Final = 1.0
_METRICS_PORT: t.Final = 9464  # as deploy/system.toml says
_FLUSH_S: t.Final = 0.3


class Program(abc.ABC):
    """A role on one machine."""

    @abc.abstractmethod
    def start(self) -> None:
        """Begin to serve."""

    @abc.abstractmethod
    def stop(self) -> None:
        """Leave, cutting nothing in progress."""


def lease_s(node: settings.Node) -> float:
    """Return how long a lease lasts from the agent's report on."""
    return min(_LEASE_S, node.max_lease_s * _LEASE_SHARE)


def patience_s(node: settings.Node) -> float:
    """Return how long a host leaves the scheduling to stronger ones."""
    is_weak = node.cores < _STRONG_CORES or node.link_mbps < _STRONG_LINK_MBPS
    return _PATIENCE_S if is_weak else 0.0


@t.final
class Entry(Program):
    """Callers' interface, and the scheduler while elected."""

    def __init__(self, node: settings.Node) -> None:
        kept = store.Store(node.store_address)
        config = queues.Follower(kept, operator.CONFIG_KEY, operator.read_config)
        cfg = scheduler.Settings(lease_s(node), node.status_s)
        self._entry = entry.Entry(
            node.name, node.peer_address, kept, config, cfg, patience_s(node)
        )
        self._front = front.Front(self._entry)
        self._listener = serving.Listener(
            node.caller_address, self._front, _FRONT_THREADS, _MAX_BODY_BYTES
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
        """Begin to serve."""
        self._entry.start()
        self._listener.start()
        self._readiness.start()

    def stop(self) -> None:
        """Leave the balancer first, then end."""
        self._front.is_leaving = True
        leave_at = clock.now() + _LEAVE_S
        self._entry.hand_over()
        time.sleep(max(0.0, leave_at - clock.now()))
        self._listener.stop()
        self._entry.stop()


@t.final
class _StoreLeadership(agent.Leadership):
    def __init__(self, kept: store.Store) -> None:
        self._store = kept

    def find(self) -> tuple[str, int] | None:
        found = self._store.get(election.KEY, clock.now() + _FIND_S)
        leader = election.read(found.item)
        return None if leader is None else (leader.address, leader.epoch)


@t.final
class _RunnerConnector(agent.Connector):
    def connect(self, id: str, address: str) -> runner.Runner:
        return runner_client.Runner(id, address)


@t.final
class Agent(Program):
    """Beside a runner."""

    def __init__(self, node: settings.Node) -> None:
        identity = agent.Identity(node.name, node.zone, node.peer_address)
        leadership = _StoreLeadership(store.Store(node.store_address))
        self._agent = agent.Agent(
            identity, leadership, _RunnerConnector(), lease_s(node)
        )
        self._listener = serving.Listener(
            node.runner_reports_address,
            beats.Beats(self._agent),
            _SIDE_THREADS,
            _MAX_BODY_BYTES,
        )

    def start(self) -> None:
        """Begin to serve."""
        self._agent.start()
        self._listener.start()

    def stop(self) -> None:
        """End; the runner keeps what runs."""
        self._agent.stop()


_PROGRAMS: t.Final[dict[str, type[Program]]] = {"entry": Entry, "agent": Agent}


def _serve_metrics(node: settings.Node) -> None:
    prometheus.start_http_server(_METRICS_PORT, node.ip)


def run(role: str) -> int:
    """Run a role until SIGTERM; SIGHUP reads the settings again.

    Returns
    -------
    int
        The exit code.
    """
    signals = {signal.SIGTERM, signal.SIGINT, signal.SIGHUP}
    signal.pthread_sigmask(signal.SIG_BLOCK, signals)
    try:
        node = settings.read()
    except errors.Error as exc:
        decisions.install("unknown", role)
        decisions.record("process.refused", why=str(exc))
        decisions.flush(_FLUSH_S)
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
    decisions.flush(_FLUSH_S)
    return 0


def _reload(node: settings.Node) -> None:
    """Say what a new settings file would change; addresses need a restart."""
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
