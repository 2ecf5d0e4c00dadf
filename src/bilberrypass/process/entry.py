"""The entry: accepts requests, jobs and reports, and sends work to agents."""

import pathlib
import threading
import time
import typing as t

import cherrypy
import logbook

from bilberrypass import errors
from bilberrypass.batch import disturbance, interference, owner, placement, placer
from bilberrypass.claiming import claims, router
from bilberrypass.configuration import revisions, synchronizer, tokens
from bilberrypass.connection import channels, etcd, messages, serving, store
from bilberrypass.interface import jobs, operators, web
from bilberrypass.membership import directory, entry_advertiser, fleet, metered
from bilberrypass.observing import metrics
from bilberrypass.request import callers, dispatch, routing
from bilberrypass.version import configuration, settings, work

_log = logbook.Logger("entry")

_CALLER_SPARE_THREADS: t.Final = 16
_OPERATOR_THREADS: t.Final = 16
_PEER_THREADS: t.Final = 32
# One in four of the admitted requests may wait for the store of claims at once.
_CLAIM_WAIT_DIVISOR: t.Final = 4
_IN_PROGRESS_POLL_INTERVAL_S: t.Final = 0.02
_IN_PROGRESS_TIMEOUT_S: t.Final = 60.0
_PEER_STOP_GRACE_S: t.Final = 5.0


@t.final
class Entry:
    """One entry process, with its listeners, shards and claims.

    Parameters
    ----------
    cfg : settings.Entry
        Validated settings.
    kv : store.Store, optional
        Store in the same process; by default a client of the settings' etcd addresses.
    path : pathlib.Path, optional
        Settings file; the operators' tokens are reloaded when it changes.
    """

    def __init__(
        self,
        cfg: settings.Entry,
        kv: store.Store | None = None,
        path: pathlib.Path | None = None,
    ) -> None:
        web.configure_cherrypy()
        self._cfg = cfg
        self._leaving = threading.Event()
        self._kv = metered.with_metrics(kv or etcd.EtcdStore(cfg["store"]["addresses"]))
        self.fleet = fleet.Fleet(cfg["silence_s"])
        self._server = self._make_peer_server()
        self.entry_directory = directory.Directory(
            self._kv,
            cfg["store"]["prefix"],
            directory.Member(cfg["id"], self._server.address),
            cfg["member_ttl_s"],
        )
        self.config = synchronizer.ConfigSynchronizer(self.entry_directory)
        prefix = cfg["store"]["prefix"]
        self._entry_advertiser = entry_advertiser.EntryAdvertiser(
            self.entry_directory, self.fleet, prefix
        )
        self.token_verifier = tokens.TokenVerifier(cfg["operator_tokens"])
        self._token_reloader = (
            tokens.TokenReloader(path, self.token_verifier) if path else None
        )
        model = interference.Model()
        self._interference_observer = interference.Observer(model)
        self._placement_context = placer.make_context(
            placement.Weighted(model, self._tail_latency_weight),
            self.config.active_config.values,
        )
        self._evictor = disturbance.Evictor(self._placement_context, model)
        self.shards = [self._make_shard(number) for number in range(cfg["shards"])]
        self._router = jobs.Router(self.entry_directory, self.shards)
        self._claims = self._make_claims()
        self._caller_app = callers.CallerApplication(
            cfg, self._make_dispatcher(), self._claims
        )
        self._listeners = [self._make_caller_listener(), self._make_operator_listener()]

    def _make_peer_server(self) -> channels.Server:
        handlers = {
            channels.REPORT: self._handle_report,
            channels.JOB: self._handle_job,
            channels.CLAIM: self._handle_claim,
            channels.CONFIG: self._handle_config_request,
        }
        return channels.Server(self._cfg["peers"], handlers, _PEER_THREADS)

    def _make_dispatcher(self) -> dispatch.Dispatcher:
        return dispatch.Dispatcher(
            self.fleet,
            routing.POLICIES[self._cfg["routing"]](),
            self._cfg["failure_domain"],
            self._retry_budget_share,
        )

    def _tail_latency_weight(self) -> float:
        return self.config.active_config.values().tail_latency

    def _retry_budget_share(self) -> float:
        return self.config.active_config.values().retry_budget_share

    def _claim_retention_s(self) -> float:
        return self.config.active_config.values().claim_retention_s

    def _make_claims(self) -> router.Router:
        prefix = self._cfg["store"]["prefix"]
        shards = [
            claims.Shard(number, self.entry_directory, prefix, self._claim_retention_s)
            for number in range(claims.SHARDS)
        ]
        return router.Router(
            self.entry_directory,
            shards,
            max(1, self._cfg["max_requests"] // _CLAIM_WAIT_DIVISOR),
        )

    def _make_shard(self, number: int) -> owner.Shard:
        return owner.Shard(
            number,
            self.entry_directory,
            self.fleet,
            self._placement_context,
            self._cfg["task_lease_s"],
            self._cfg["store"]["prefix"],
        )

    def _make_caller_listener(self) -> serving.Listener:
        tree = cherrypy._cptree.Tree()
        tree.graft(self._caller_app, "")
        operators.mount(tree, "/jobs", jobs.Jobs(self._cfg, self._router))
        return serving.Listener(
            self._cfg["callers"],
            tree,
            self._cfg["max_requests"] + _CALLER_SPARE_THREADS,
            self._cfg["max_body_bytes"],
        )

    def _make_operator_listener(self) -> serving.Listener:
        tree = cherrypy._cptree.Tree()
        tree.graft(web.not_found_application, "")
        operators.mount(tree, "/healthz", operators.Health(lambda: ""))
        ready = operators.Health(self.why_not_ready, self.config.why_not_current)
        operators.mount(tree, "/readyz", ready)
        for path, app in self._operator_apps().items():
            operators.mount(tree, path, app, self.token_verifier)
        return serving.Listener(
            self._cfg["operators"],
            tree,
            _OPERATOR_THREADS,
            operators.MAX_BODY_BYTES,
        )

    def _operator_apps(self) -> dict[str, object]:
        """Return the applications that require an operator token, by path."""
        active_config = self.config.active_config
        prefix = self._cfg["store"]["prefix"]
        changes = revisions.RevisionStore(self.entry_directory, active_config, prefix)
        return {
            "/config": operators.Config(active_config, changes),
            "/hosts": operators.Hosts(
                self.fleet, active_config, changes, self._placement_context.decisions
            ),
            "/status": operators.Status(
                self.entry_directory,
                self.config,
                self.fleet,
                self.shards,
                self.why_not_ready,
            ),
        }

    @property
    def addresses(self) -> dict[str, str]:
        """The addresses that the entry listens on, by interface."""
        return {
            "callers": self._listeners[0].address,
            "operators": self._listeners[1].address,
            "peers": self._server.address,
        }

    def why_not_ready(self) -> str:
        """Return why the entry accepts no new work; empty if it does."""
        if self._leaving.is_set():
            return "the entry leaves and accepts no new work; use another entry"
        return self.config.why_not_ready()

    def start(self) -> None:
        """Serve agents, compete for shards, then serve callers and operators."""
        self._server.start()
        self.entry_directory.start()
        self.config.start()
        self._entry_advertiser.start()
        if self._token_reloader:
            self._token_reloader.start()
        for shard in self.shards:
            shard.start()
        self._claims.start()
        for listener in self._listeners:
            listener.start()
        _log.info("entry: {} serves at {}", self._cfg["id"], self.addresses["callers"])

    def _handle_config_request(
        self, req: messages.ConfigRequest
    ) -> messages.ConfigResponse:
        response = self.config.handle_config_request(req)
        return response._replace(why_not_ready=self.why_not_ready())

    def _apply_drain(self, report: messages.Report) -> messages.Report:
        """Mark a drained host as leaving, as its agent may not know of the drain."""
        drain = self.config.active_config.values(_make_subject(report)).drain
        return report._replace(leaving=True) if drain else report

    def _handle_report(self, report: messages.Report) -> messages.ReportResponse:
        self.config.record_agent_revision(report.revision, report.address)
        report = self._apply_drain(report)
        self.fleet.handle_report(report)
        self._interference_observer.handle_report(report)
        self._evictor.handle_report(report)
        by_shard: dict[int, list[messages.TaskState]] = {}
        for state in report.tasks:
            number = work.shard_of(state.task.team, len(self.shards))
            by_shard.setdefault(number, []).append(state)
        replies = [
            shard.handle_report(report._replace(tasks=by_shard.get(shard.number, [])))
            for shard in self.shards
            if shard.is_owned
        ]
        self._record_metrics()
        return messages.ReportResponse(
            entry=self._cfg["id"],
            revision=self.config.active_config.revision,
            entries=[member.peers for member in self.entry_directory.members()],
            shards=len(self.shards),
            grants=[reply.grant for reply in replies if reply.grant],
            recorded=[task for reply in replies for task in reply.recorded],
            stop=[task for reply in replies for task in reply.stop],
            evict=[task for reply in replies for task in reply.evict],
            slice=self.config.active_config.encode_slice(
                _make_subject(report), report.revision
            ),
        )

    def _record_metrics(self) -> None:
        metrics.count(metrics.Name.REPORTS)
        metrics.gauge(metrics.Name.HOSTS, len(self.fleet.all()))
        metrics.gauge(metrics.Name.REVISION, self.config.active_config.revision)
        metrics.gauge(metrics.Name.CONFIG_AGE, self.config.age_s())
        owned = sum(shard.is_owned for shard in self.shards)
        metrics.gauge(metrics.Name.SHARDS_OWNED, owned)

    def _handle_job(self, req: messages.JobRequest) -> messages.JobResponse:
        if self._leaving.is_set():
            raise errors.Refused(
                errors.Kind.LEAVING,
                "this entry is leaving; try again",
                retry_after_s=1.0,
            )
        return self._router.handle_peer_call(req)

    def _handle_claim(self, req: messages.ClaimRequest) -> messages.ClaimResponse:
        return self._claims.handle_peer_call(req)

    def stop(self) -> None:
        """Withdraw readiness, wait for requests in progress, then stop everything."""
        self._leaving.set()
        self._caller_app.leaving = True
        self.entry_directory.withdraw()
        time.sleep(self._cfg["leave_wait_s"])
        deadline = time.monotonic() + _IN_PROGRESS_TIMEOUT_S
        while self._caller_app.in_progress and time.monotonic() < deadline:
            time.sleep(_IN_PROGRESS_POLL_INTERVAL_S)
        for shard in self.shards:
            shard.stop()
        self._claims.stop()
        for listener in self._listeners:
            listener.stop()
        if self._token_reloader:
            self._token_reloader.stop()
        self._entry_advertiser.stop()
        self.config.stop()
        self.entry_directory.stop()
        self._server.stop(_PEER_STOP_GRACE_S)
        self._kv.close()


def _make_subject(report: messages.Report) -> configuration.Subject:
    return configuration.Subject(
        report.host, report.rack, report.failure_domain, report.region
    )
