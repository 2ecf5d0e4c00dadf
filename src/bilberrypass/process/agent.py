"""The agent: runs on each host and decides what that host accepts."""

import functools
import math
import threading
import time
import typing as t

import logbook

from bilberrypass import errors, resources
from bilberrypass.configuration import synchronizer
from bilberrypass.connection import (
    channels,
    endpoint,
    http_worker,
    messages,
    serving,
    worker,
)
from bilberrypass.execution import reporters, tasks
from bilberrypass.interface import announcements
from bilberrypass.observing import metrics, traces
from bilberrypass.request import attempts
from bilberrypass.version import configuration, settings, work

_log = logbook.Logger("agent")

_ANNOUNCEMENT_THREADS: t.Final = 2
_CONTROL_THREADS: t.Final = 8
_FORWARD_THREADS: t.Final = 96
_ATTACH_RETRY_INTERVAL_S: t.Final = 0.5
_IN_PROGRESS_POLL_INTERVAL_S: t.Final = 0.02
_SHUTDOWN_TIMEOUT_S: t.Final = 60.0


@t.final
class Agent:
    """The agent of one host.

    Parameters
    ----------
    cfg : settings.Agent
        Validated settings.
    driver : worker.Worker, optional
        Worker in the same process; by default the one that the settings name, if any.
    """

    def __init__(
        self, cfg: settings.Agent, driver: worker.Worker | None = None
    ) -> None:
        self._cfg = cfg
        self.host = cfg["id"]
        self._incarnation = time.time_ns()
        self._leaving = threading.Event()
        self._lock = threading.Lock()
        self._in_progress = 0
        self._attempts = attempts.AttemptTracker()
        self._endpoints: dict[str, endpoint.Endpoint] = {}
        self._reporters = reporters.Reporters(
            self, cfg["entries"], cfg["report_interval_s"]
        )
        self._shard_count = 1
        self.active_config = synchronizer.ActiveConfig()
        self.subject = configuration.Subject(
            cfg["id"], cfg["rack"], cfg["failure_domain"], cfg["region"]
        )
        self.tasks = self._make_tasks(driver)
        self._server = self._make_peer_server()
        self._listener = serving.Listener(
            cfg["announcements"],
            announcements.AnnouncementApplication(self.handle_announcement),
            _ANNOUNCEMENT_THREADS,
            cfg["max_body_bytes"],
        )

    def _make_peer_server(self) -> channels.Server:
        handlers = {
            channels.FORWARD: self._handle_forward,
            channels.REVOKE: self._handle_revoke,
            channels.START: self._handle_start,
            channels.STOP: self._handle_stop,
            channels.CONFIG: self._handle_config_request,
            channels.INTRODUCE: self._handle_introduction,
        }
        threads = _FORWARD_THREADS + _CONTROL_THREADS
        return channels.Server(self._cfg["peers"], handlers, threads)

    def _make_tasks(self, driver: worker.Worker | None) -> tasks.Tasks | None:
        if driver is None:
            if "worker" not in self._cfg:
                return None
            driver = http_worker.HttpWorker(
                *settings.split_address(self._cfg["worker"]["address"])
            )
        return tasks.Tasks(
            self.host,
            driver,
            self._incarnation,
            lambda: self.config_values.throttle_on_disturbance,
        )

    @property
    def addresses(self) -> dict[str, str]:
        """The addresses that the agent listens on, by interface."""
        return {
            "peers": self._server.address,
            "announcements": self._listener.address,
        }

    def start(self) -> None:
        """Attach to the worker and adopt its tasks, then serve and send reports."""
        if self.tasks is not None:
            self._attach(self.tasks)
        self._server.start()
        self._listener.start()
        self._reporters.start()
        _log.info("agent: {} serves at {}", self.host, self._server.address)

    def _attach(self, own_tasks: tasks.Tasks) -> None:
        while not self._leaving.is_set():
            try:
                own_tasks.attach()
                break
            except errors.Error as exc:
                _log.warning(
                    "agent: worker not reached, will be retried: {}", exc.detail
                )
                self._leaving.wait(_ATTACH_RETRY_INTERVAL_S)
        threading.Thread(
            target=own_tasks.run,
            args=(self._leaving, self._report_ended_now),
            daemon=True,
        ).start()

    def _report_ended_now(self) -> None:
        """Report now to the owners of the shards of ended tasks."""
        states = self.tasks.states() if self.tasks else []
        shards = {
            work.shard_of(state.task.team, self._shard_count)
            for state in states
            if state.state not in ("running", "checkpointed")
        }
        self._reporters.report_now_to_owners(shards)

    def report(self, sequence: int) -> messages.Report:
        """Return the host's current state; raise STALE if a newer agent replaced it."""
        own_tasks = self.tasks
        if own_tasks is not None and own_tasks.is_fenced:
            raise errors.Refused(
                errors.Kind.STALE,
                f"a newer agent is attached to the worker of {self.host}",
            )
        silence_s = self._cfg["silence_s"]
        result = messages.Report(
            host=self.host,
            incarnation=self._incarnation,
            sequence=sequence,
            address=self._cfg.get("advertised", self._server.address),
            region=self._cfg["region"],
            failure_domain=self._cfg["failure_domain"],
            rack=self._cfg["rack"],
            leaving=self.is_leaving,
            revision=self.active_config.revision,
            revision_since=self.active_config.since,
            capacity=own_tasks.ledger.capacity if own_tasks else resources.Demand(),
            committed=own_tasks.ledger.committed if own_tasks else resources.Demand(),
            endpoints=[e.describe(silence_s) for e in list(self._endpoints.values())],
            tasks=own_tasks.states() if own_tasks else [],
            usage=own_tasks.usage if own_tasks else None,
            interval_s=self._reporters.interval_s,
            clock=time.monotonic(),
            is_current=own_tasks is None or own_tasks.is_current,
        )
        if metrics.is_on():
            _record_gauges(result)
        return result

    def handle_response(
        self, response: messages.ReportResponse, sent_at: float
    ) -> None:
        """Apply an entry's response to a report sent at a time in monotonic seconds."""
        self._reporters.update_entries(response.entries)
        if response.slice and response.revision > self.active_config.revision:
            self._adopt(response.slice)
        if self.tasks is None:
            return
        self._shard_count = response.shards
        self.tasks.renew(response.shards, response.grants, sent_at)
        self.tasks.forget(response.recorded)
        self.tasks.stop(response.stop, checkpoint=False)
        self.tasks.stop(response.evict, checkpoint=True)
        if response.stop or response.evict:
            self._reporters.report_now()

    def _handle_introduction(self, req: messages.IntroduceRequest) -> messages.Empty:
        self._reporters.update_entries(req.entries)
        return messages.Empty()

    def _adopt(self, encoded_slice: bytes) -> None:
        was_leaving = self.is_leaving
        self.active_config.adopt(configuration.decode(encoded_slice))
        if self.is_leaving != was_leaving:
            _log.info(
                "agent: drain of {}: {}", self.host, self.config_values.drain or "over"
            )
        self._reporters.report_now()

    def _handle_config_request(
        self, req: messages.ConfigRequest
    ) -> messages.ConfigResponse:
        document = self.active_config.document
        needs_document = req.revision < document.revision or not req.is_whole
        return messages.ConfigResponse(
            revision=document.revision,
            since=self.active_config.since,
            age_s=math.inf,
            is_informed=document.revision > 0,
            why_not_ready="",
            document=configuration.encode(document) if needs_document else b"",
            entries=self._reporters.addresses,
        )

    @property
    def config_values(self) -> configuration.Values:
        """The configuration values in force for this host."""
        return self.active_config.values(self.subject)

    @property
    def is_leaving(self) -> bool:
        """Return whether the host refuses new work because it stops or is drained."""
        return self._leaving.is_set() or bool(self.config_values.drain)

    def handle_announcement(self, id: str, announcement: endpoint.Announcement) -> None:
        """Add an endpoint, or update it, from its announcement."""
        known = self._endpoints.get(id)
        if known is None or known.announcement["address"] != announcement["address"]:
            self._endpoints[id] = endpoint.Endpoint(
                id,
                announcement,
                self._cfg["max_queued"],
                self._cfg["max_body_bytes"],
                lambda: self.config_values.admission_limit,
            )
            _log.info(
                "agent: endpoint {} of service {} announced",
                id,
                announcement["service"],
            )
            self._reporters.report_now()
            return
        changed = known.announcement["leaving"] != announcement["leaving"]
        known.handle_announcement(announcement)
        if changed:
            self._reporters.report_now()

    def _handle_forward(self, req: messages.ForwardRequest) -> messages.ForwardResponse:
        began = time.monotonic()
        deadline = began + req.time_left_s
        self._check_incarnation(req.incarnation)
        with self._lock:
            self._in_progress += 1
        try:
            with traces.span("agent", req.traceparent, host=self.host) as traceparent:
                return self._serve_attempt(
                    req._replace(traceparent=traceparent), deadline
                )
        finally:
            with self._lock:
                self._in_progress -= 1
            metrics.count(metrics.Name.REQUESTS)
            metrics.timing(metrics.Name.REQUEST_MS, began)

    def _serve_attempt(
        self, req: messages.ForwardRequest, deadline: float
    ) -> messages.ForwardResponse:
        self._attempts.register(req.request, req.clock)
        try:
            begin = functools.partial(self._attempts.mark_begun, req.request)
            return self._choose_endpoint(req.service).serve(req, deadline, begin)
        finally:
            self._attempts.mark_ended(req.request)

    def _check_incarnation(self, incarnation: int) -> None:
        if incarnation != self._incarnation:
            raise errors.Refused(
                errors.Kind.STALE, f"the agent of {self.host} was replaced; try again"
            )

    def _handle_revoke(self, req: messages.RevokeRequest) -> messages.RevokeResponse:
        is_same = req.incarnation == self._incarnation
        never_runs = is_same and self._attempts.revoke(req.request, req.clock)
        return messages.RevokeResponse(never_runs)

    def _choose_endpoint(self, service: str) -> endpoint.Endpoint:
        if self.is_leaving:
            raise errors.Refused(
                errors.Kind.LEAVING,
                f"the agent of {self.host} is leaving; try another host",
            )
        silence_s = self._cfg["silence_s"]
        available = [
            e
            for e in list(self._endpoints.values())
            if e.announcement["service"] == service
            and not e.describe(silence_s).leaving
        ]
        if not available:
            raise errors.Refused(
                errors.Kind.NO_ENDPOINT,
                f"{self.host} has no available endpoint of {service}; try another host",
            )
        return min(
            available,
            key=lambda e: (e.slots.in_use + e.slots.queued) / e.slots.count,
        )

    def _handle_start(self, req: messages.StartRequest) -> messages.StartResponse:
        if self.tasks is None or self.is_leaving:
            raise errors.Refused(
                errors.Kind.LEAVING,
                f"{self.host} accepts no tasks; place them on another host",
            )
        started = self.tasks.start(req, self._get_report_sent_at(req))
        started = started._replace(sequence=self._reporters.draw_sequence())
        self._reporters.report_now_to_entry(req.entry)
        return started

    def _get_report_sent_at(self, req: messages.StartRequest) -> float:
        if req.incarnation == self._incarnation:
            sent_at = self._reporters.find_sent_at(req.entry, req.sequence)
            if sent_at is not None:
                return sent_at
        raise errors.Refused(
            errors.Kind.STALE,
            f"report {req.sequence} is not among the newest reports of {self.host}; "
            "refer to a newer one",
        )

    def _handle_stop(self, req: messages.StopRequest) -> messages.StopResponse:
        if self.tasks is None:
            raise errors.Refused(errors.Kind.NOT_FOUND, f"{self.host} runs no tasks")
        stopped = self.tasks.stop(req.tasks, req.checkpoint)
        self._reporters.report_now()
        return stopped

    def stop(self) -> None:
        """Refuse new work, finish the requests in progress, then stop listening."""
        self._leaving.set()
        self._reporters.report_now()
        deadline = time.monotonic() + _SHUTDOWN_TIMEOUT_S
        time.sleep(self._cfg["leave_wait_s"])
        while self._in_progress and time.monotonic() < deadline:
            time.sleep(_IN_PROGRESS_POLL_INTERVAL_S)
        self._reporters.stop()
        self._server.stop(_CONTROL_THREADS)
        self._listener.stop()


def _record_gauges(report: messages.Report) -> None:
    metrics.gauge(metrics.Name.REVISION, report.revision)
    metrics.gauge(metrics.Name.SLOTS, sum(e.slots for e in report.endpoints))
    metrics.gauge(metrics.Name.SLOTS_IN_USE, sum(e.in_use for e in report.endpoints))
    metrics.gauge(metrics.Name.QUEUED, sum(e.queued for e in report.endpoints))
    metrics.gauge(metrics.Name.TASKS, len(report.tasks))
    metrics.gauge(metrics.Name.CPU_COMMITTED, report.committed.cpu_milli)
    metrics.gauge(metrics.Name.MEMORY_COMMITTED, report.committed.memory_bytes)
