"""The agent: the authority on its own host."""

import functools
import math
import threading
import time
import typing as t

import logbook

from bilberrypass import errors, resources
from bilberrypass.configuration import configuring
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
_ATTACH_RETRY_S: t.Final = 0.5
_IN_PROGRESS_POLL_S: t.Final = 0.02
_LONGEST_LEAVE_S: t.Final = 60.0


@t.final
class Agent:
    """One host's agent.

    Parameters
    ----------
    cfg : settings.Agent
        Checked settings.
    driver : worker.Worker, optional
        The worker, where it is in the same process; otherwise as the settings say.
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
        self._shards = 1
        self.in_force = configuring.InForce()
        self.subject = configuration.Subject(
            cfg["id"], cfg["rack"], cfg["failure_domain"], cfg["region"]
        )
        self.tasks = self._make_tasks(driver)
        self._server = self._listen_peers()
        self._listener = serving.Listener(
            cfg["announcements"],
            announcements.AnnouncementApplication(self.hear_endpoint),
            _ANNOUNCEMENT_THREADS,
            cfg["max_body_bytes"],
        )

    def _listen_peers(self) -> channels.Server:
        handlers = {
            channels.FORWARD: self._forward,
            channels.REVOKE: self._revoke,
            channels.START: self._start_tasks,
            channels.STOP: self._stop_tasks,
            channels.CONFIG: self._tell_config,
            channels.INTRODUCE: self._hear_introduction,
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
            lambda: self.values.throttle_on_disturbance,
        )

    @property
    def addresses(self) -> dict[str, str]:
        """The addresses that the agent listens on."""
        return {
            "peers": self._server.address,
            "announcements": self._listener.address,
        }

    def start(self) -> None:
        """Take over the worker's tasks, then serve and report."""
        if self.tasks is not None:
            self._attach(self.tasks)
        self._server.start()
        self._listener.start()
        self._reporters.start()
        _log.info("agent: {} serves at {}", self.host, self._server.address)

    def _attach(self, own: tasks.Tasks) -> None:
        while not self._leaving.is_set():
            try:
                own.attach()
                break
            except errors.Error as exc:
                _log.warning("agent: worker not reached yet: {}", exc.detail)
                self._leaving.wait(_ATTACH_RETRY_S)
        threading.Thread(
            target=own.run, args=(self._leaving, self._report_ends), daemon=True
        ).start()

    def _report_ends(self) -> None:
        """Report ended tasks to the owners of their shards now."""
        states = self.tasks.states() if self.tasks else []
        shards = {
            work.shard_of(state.task.team, self._shards)
            for state in states
            if state.state not in ("running", "checkpointed")
        }
        self._reporters.report_now_to_owners(shards)

    def report(self, sequence: int) -> messages.Report:
        """Describe the host as it is now."""
        own = self.tasks
        if own is not None and own.is_fenced:
            raise errors.Refused(
                errors.Kind.STALE, f"a newer agent has the worker of {self.host}"
            )
        silence_s = self._cfg["silence_s"]
        made = messages.Report(
            host=self.host,
            incarnation=self._incarnation,
            sequence=sequence,
            address=self._cfg.get("advertised", self._server.address),
            region=self._cfg["region"],
            failure_domain=self._cfg["failure_domain"],
            rack=self._cfg["rack"],
            leaving=self.is_leaving,
            revision=self.in_force.revision,
            revision_since=self.in_force.since,
            capacity=own.ledger.capacity if own else resources.Demand(),
            committed=own.ledger.committed if own else resources.Demand(),
            endpoints=[e.describe(silence_s) for e in list(self._endpoints.values())],
            tasks=own.states() if own else [],
            usage=own.usage if own else None,
            interval_s=self._reporters.interval_s,
            clock=time.monotonic(),
            is_current=own is None or own.is_current,
        )
        if metrics.is_on():
            _measure(made)
        return made

    def handle_response(self, answer: messages.ReportResponse, sent_at: float) -> None:
        """Take in an entry's answer to a report sent at a time."""
        self._reporters.update_entries(answer.entries)
        if answer.slice and answer.revision > self.in_force.revision:
            self._adopt(answer.slice)
        if self.tasks is None:
            return
        self._shards = answer.shards
        self.tasks.renew(answer.shards, answer.grants, sent_at)
        self.tasks.forget(answer.recorded)
        self.tasks.stop(answer.stop, checkpoint=False)
        self.tasks.stop(answer.evict, checkpoint=True)
        if answer.stop or answer.evict:
            self._reporters.report_now()

    def _hear_introduction(self, said: messages.IntroduceRequest) -> messages.Empty:
        self._reporters.update_entries(said.entries)
        return messages.Empty()

    def _adopt(self, slice: bytes) -> None:
        was_leaving = self.is_leaving
        self.in_force.adopt(configuration.decode(slice))
        if self.is_leaving != was_leaving:
            _log.info("agent: drain of {}: {}", self.host, self.values.drain or "over")
        self._reporters.report_now()

    def _tell_config(self, ask: messages.ConfigRequest) -> messages.ConfigResponse:
        document = self.in_force.document
        asks_more = ask.revision < document.revision or not ask.is_whole
        return messages.ConfigResponse(
            revision=document.revision,
            since=self.in_force.since,
            age_s=math.inf,
            is_informed=document.revision > 0,
            why_not_ready="",
            document=configuration.encode(document) if asks_more else b"",
            entries=self._reporters.addresses,
        )

    @property
    def values(self) -> configuration.Values:
        """What the configuration says for this host."""
        return self.in_force.values(self.subject)

    @property
    def is_leaving(self) -> bool:
        """Tell whether the host takes no new work: it stops, or it is drained."""
        return self._leaving.is_set() or bool(self.values.drain)

    def hear_endpoint(self, id: str, said: endpoint.Announcement) -> None:
        """Take in an endpoint's announcement."""
        known = self._endpoints.get(id)
        if known is None or known.announcement["address"] != said["address"]:
            self._endpoints[id] = endpoint.Endpoint(
                id,
                said,
                self._cfg["max_queued"],
                self._cfg["max_body_bytes"],
                lambda: self.values.admission_limit,
            )
            _log.info("agent: endpoint {} of {} announced", id, said["service"])
            self._reporters.report_now()
            return
        changed = known.announcement["leaving"] != said["leaving"]
        known.handle_announcement(said)
        if changed:
            self._reporters.report_now()

    def _forward(self, req: messages.ForwardRequest) -> messages.ForwardResponse:
        began = time.monotonic()
        deadline = began + req.time_left_s
        self._check_incarnation(req.incarnation)
        with self._lock:
            self._in_progress += 1
        try:
            with traces.span("agent", req.traceparent, host=self.host) as traceparent:
                return self._attempt(req._replace(traceparent=traceparent), deadline)
        finally:
            with self._lock:
                self._in_progress -= 1
            metrics.count(metrics.Name.REQUESTS)
            metrics.timing(metrics.Name.REQUEST_MS, began)

    def _attempt(
        self, req: messages.ForwardRequest, deadline: float
    ) -> messages.ForwardResponse:
        self._attempts.register(req.request, req.clock)
        try:
            begin = functools.partial(self._attempts.mark_begun, req.request)
            return self._choose(req.service).serve(req, deadline, begin)
        finally:
            self._attempts.mark_ended(req.request)

    def _check_incarnation(self, quoted: int) -> None:
        if quoted != self._incarnation:
            raise errors.Refused(
                errors.Kind.STALE, f"the agent of {self.host} was replaced; ask again"
            )

    def _revoke(self, req: messages.RevokeRequest) -> messages.RevokeResponse:
        is_same = req.incarnation == self._incarnation
        never_runs = is_same and self._attempts.revoke(req.request, req.clock)
        return messages.RevokeResponse(never_runs)

    def _choose(self, service: str) -> endpoint.Endpoint:
        if self.is_leaving:
            raise errors.Refused(
                errors.Kind.LEAVING, f"the agent of {self.host} leaves; try another"
            )
        silence_s = self._cfg["silence_s"]
        able = [
            e
            for e in list(self._endpoints.values())
            if e.announcement["service"] == service
            and not e.describe(silence_s).leaving
        ]
        if not able:
            raise errors.Refused(
                errors.Kind.NO_ENDPOINT,
                f"{self.host} has no endpoint of {service}; try another host",
            )
        return min(
            able, key=lambda e: (e.slots.in_use + e.slots.queued) / e.slots.count
        )

    def _start_tasks(self, req: messages.StartRequest) -> messages.StartResponse:
        if self.tasks is None or self.is_leaving:
            raise errors.Refused(
                errors.Kind.LEAVING, f"{self.host} takes no tasks; place them elsewhere"
            )
        started = self.tasks.start(req, self._quoted_report(req))
        self._reporters.report_now_to_entry(req.entry)
        return started

    def _quoted_report(self, req: messages.StartRequest) -> float:
        if req.incarnation == self._incarnation:
            sent_at = self._reporters.find_sent_at(req.entry, req.sequence)
            if sent_at is not None:
                return sent_at
        raise errors.Refused(
            errors.Kind.STALE,
            f"report {req.sequence} is none of the newest of {self.host}; "
            "quote a newer one",
        )

    def _stop_tasks(self, req: messages.StopRequest) -> messages.StopResponse:
        if self.tasks is None:
            raise errors.Refused(errors.Kind.NOT_FOUND, f"{self.host} runs no tasks")
        stopped = self.tasks.stop(req.tasks, req.checkpoint)
        self._reporters.report_now()
        return stopped

    def stop(self) -> None:
        """Leave: refuse new work, finish what is in progress, then stop listening."""
        self._leaving.set()
        self._reporters.report_now()
        deadline = time.monotonic() + _LONGEST_LEAVE_S
        time.sleep(self._cfg["leave_wait_s"])
        while self._in_progress and time.monotonic() < deadline:
            time.sleep(_IN_PROGRESS_POLL_S)
        self._reporters.stop()
        self._server.stop(_CONTROL_THREADS)
        self._listener.stop()


def _measure(report: messages.Report) -> None:
    metrics.gauge(metrics.Name.REVISION, report.revision)
    metrics.gauge(metrics.Name.SLOTS, sum(e.slots for e in report.endpoints))
    metrics.gauge(metrics.Name.SLOTS_IN_USE, sum(e.in_use for e in report.endpoints))
    metrics.gauge(metrics.Name.QUEUED, sum(e.queued for e in report.endpoints))
    metrics.gauge(metrics.Name.TASKS, len(report.tasks))
    metrics.gauge(metrics.Name.CPU_COMMITTED, report.committed.cpu_milli)
    metrics.gauge(metrics.Name.MEMORY_COMMITTED, report.committed.memory_bytes)
