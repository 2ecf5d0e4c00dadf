"""The entry: between callers and agents."""

import threading
import time
import typing as t

import cherrypy
import logbook

from bilberrypass import errors
from bilberrypass.connection import channels, etcd, messages, serving, store, worker
from bilberrypass.process import directory, fleet, jobs, operators, owner, placement
from bilberrypass.request import callers, routing
from bilberrypass.version import settings

_log = logbook.Logger("entry")

_SPARE_THREADS: t.Final = 16
_OPERATOR_THREADS: t.Final = 4
_PEER_THREADS: t.Final = 16
_DEFAULT_PREFIX: t.Final = "/bilberrypass/"
_IN_PROGRESS_POLL_S: t.Final = 0.02
_LONGEST_LEAVE_S: t.Final = 60.0
_PEER_GRACE_S: t.Final = 5.0


@t.final
class Entry:
    """One entry process.

    Parameters
    ----------
    cfg : settings.Entry
        Checked settings.
    kv : store.Store, optional
        The store, where it is in the same process; otherwise as the settings say.
    """

    def __init__(self, cfg: settings.Entry, kv: store.Store | None = None) -> None:
        serving.quiet_cherrypy()
        self._cfg = cfg
        self._leaving = threading.Event()
        self._kv = kv or etcd.EtcdStore(cfg["store"]["addresses"])
        self.fleet = fleet.Fleet(cfg["silence_s"])
        self._server = channels.Server(
            cfg["peers"],
            {channels.REPORT: self._hear_report, channels.JOB: self._serve_job},
            _PEER_THREADS,
        )
        self.names = directory.Directory(
            self._kv,
            cfg["store"].get("prefix", _DEFAULT_PREFIX),
            directory.Member(cfg["id"], self._server.address),
            cfg["member_ttl_s"],
        )
        self.shards = [self._make_shard(number) for number in range(cfg["shards"])]
        self._router = jobs.Router(self.names, self.shards)
        self._callers = callers.Callers(cfg, self.fleet, routing.LeastOutstanding())
        self._listeners = [self._listen_callers(), self._listen_operators()]

    def _make_shard(self, number: int) -> owner.Shard:
        return owner.Shard(
            number,
            self.names,
            self.fleet,
            placement.FirstFit(),
            self._cfg["task_lease_s"],
            self._cfg["store"].get("prefix", _DEFAULT_PREFIX),
        )

    def _listen_callers(self) -> serving.Listener:
        tree = cherrypy._cptree.Tree()
        tree.graft(self._callers, "")
        operators.mount(tree, "/jobs", jobs.Jobs(self._cfg, self._router))
        return serving.Listener(
            self._cfg["callers"],
            tree,
            self._cfg["max_requests"] + _SPARE_THREADS,
            self._cfg["max_body_bytes"],
        )

    def _listen_operators(self) -> serving.Listener:
        tree = cherrypy._cptree.Tree()
        operators.mount(tree, "/healthz", operators.Health(lambda: ""))
        operators.mount(tree, "/readyz", operators.Health(self.why_not_ready))
        operators.mount(tree, "/hosts", operators.Hosts(self.fleet))
        operators.mount(tree, "/status", operators.Status(self.names, self.shards))
        return serving.Listener(
            self._cfg["operators"],
            tree,
            _OPERATOR_THREADS,
            self._cfg["max_body_bytes"],
        )

    @property
    def addresses(self) -> dict[str, str]:
        """The addresses that the entry listens on."""
        return {
            "callers": self._listeners[0].address,
            "operators": self._listeners[1].address,
            "peers": self._server.address,
        }

    def why_not_ready(self) -> str:
        """Tell why the entry takes no new work; empty if it does."""
        return "the entry leaves; use another" if self._leaving.is_set() else ""

    def start(self) -> None:
        """Serve agents, share the store, then serve callers."""
        self._server.start()
        self.names.start()
        for shard in self.shards:
            shard.start()
        for listener in self._listeners:
            listener.start()
        _log.info("entry: {} serves at {}", self._cfg["id"], self.addresses["callers"])

    def _hear_report(self, report: messages.Report) -> messages.Reported:
        self.fleet.hear(report)
        by_shard: dict[int, list[messages.TaskState]] = {}
        for state in report.tasks:
            number = worker.shard_of(state.task.team, len(self.shards))
            by_shard.setdefault(number, []).append(state)
        grants, recorded, stop = [], [], []
        for shard in self.shards:
            if not shard.is_owned:
                continue
            own = by_shard.get(shard.number, [])
            grant, ends, unwanted = shard.hear(report._replace(tasks=own))
            grants += [grant] if grant else []
            recorded += ends
            stop += unwanted
        config = self.names.config()
        return messages.Reported(
            entry=self._cfg["id"],
            revision=config.revision if config else 0,
            entries=[member.peers for member in self.names.members()],
            shards=len(self.shards),
            grants=grants,
            recorded=recorded,
            stop=stop,
            slice=config.value if config and config.revision > report.revision else b"",
        )

    def _serve_job(self, req: messages.JobCall) -> messages.JobAnswer:
        if self._leaving.is_set():
            raise errors.Refused(
                errors.Kind.LEAVING, "this entry leaves; ask again", retry_after_s=1.0
            )
        return self._router.serve(req)

    def stop(self) -> None:
        """Leave: readiness first, then new connections, then what is in progress."""
        self._leaving.set()
        self._callers.leaving = True
        time.sleep(self._cfg["leave_wait_s"])
        deadline = time.monotonic() + _LONGEST_LEAVE_S
        while self._callers.in_progress and time.monotonic() < deadline:
            time.sleep(_IN_PROGRESS_POLL_S)
        for shard in self.shards:
            shard.stop()
        for listener in self._listeners:
            listener.stop()
        self.names.stop()
        self._server.stop(_PEER_GRACE_S)
        self._kv.close()
