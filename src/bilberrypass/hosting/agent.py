"""The agent: receives the reports of its runner and reports to the scheduler."""

import abc
import threading
import time
import typing as t

import prometheus_client as prometheus

from bilberrypass import clock, errors, supervision
from bilberrypass.connection import channels
from bilberrypass.hosting import (
    crash_monitor,
    report_filter,
    report_size,
    run_events,
    runner,
    session,
)
from bilberrypass.observing import decisions
from bilberrypass.scheduling import messages

_REPORT_INTERVAL_S: t.Final = 0.5
_REPORT_BATCH_DELAY_S: t.Final = 0.015  # runs that end together share one report
_REPORT_TIMEOUT_S: t.Final = 1.0
_LEADER_LOOKUP_INTERVAL_S: t.Final = 0.4
_RPC_THREADS: t.Final = 6
_MAX_REPORTED_CRASHES: t.Final = 4  # a scheduler may be away for several of them

_reports = prometheus.Counter(
    "bilberrypass_reports", "Reports to the scheduler", ["outcome"]
)


class LeaderLocator(abc.ABC):
    """Looks up the address of the current scheduler."""

    @abc.abstractmethod
    def find(self) -> tuple[str, int] | None:
        """Return the scheduler's address and epoch, or None if no host leads.

        Raises
        ------
        errors.Error
            The lookup failed.
        """


class Connector(abc.ABC):
    """Creates clients of runners."""

    @abc.abstractmethod
    def connect(self, id: str, life: int, address: str) -> runner.Runner:
        """Return a client of one life of the runner with this id and address."""


class Identity(t.NamedTuple):
    """The name, zone and peer address that an agent reports to the scheduler."""

    name: str
    zone: str
    peer_address: str


@t.final
class Agent:
    """The agent process of one host.

    Parameters
    ----------
    identity : Identity
        Name, zone and peer address of the host.
    locator : LeaderLocator
        Looks up the scheduler.
    connector : Connector
        Creates the client of the runner.
    lease_s : float
        The longest lease that a scheduler grants, in seconds.
    """

    def __init__(
        self,
        identity: Identity,
        locator: LeaderLocator,
        connector: Connector,
        lease_s: float,
    ) -> None:
        self._identity = identity
        self._locator = locator
        self._connector = connector
        self._started_at = clock.now()
        self._lease_s = lease_s
        self._incarnation = time.time_ns() // 1_000
        self._sequence = 0
        # A scheduler gives no run up before this time, even if no response arrives.
        self._granted_until = self._started_at + lease_s
        self._resumed_sequence = 0
        self._challenge = ""
        self._lock = threading.Lock()
        self._session: session.RunnerSession | None = None
        self._sender: tuple[str, int, str] | None = None  # id, life and address
        self._filter: report_filter.ReportFilter | None = None
        self._crashes: list[messages.RunnerCrash] = []  # of earlier lives
        self._epoch = 0
        self._scheduler_address = ""
        self._peer: channels.Peer | None = None
        self._is_lookup_due = True
        self._is_leaving = False
        self._lookup = decisions.Dependency("leader.search")
        self._scheduler_calls = decisions.Dependency("scheduler")
        self._report_due = threading.Event()
        self._stopping = threading.Event()
        self._thread = supervision.SupervisedThread(
            "report", self._report_repeatedly, self._stopping
        )
        self._server = channels.Server(
            identity.peer_address,
            {messages.ORDERS: self._serve_orders},
            threads=_RPC_THREADS,
        )

    def start(self) -> None:
        """Start to serve orders and to report to the scheduler."""
        self._server.start()
        self._thread.start()

    def stop(self) -> None:
        """Send a last report and stop; the runs on the runner continue."""
        self._is_leaving = True
        self._stopping.set()
        self._report_due.set()
        self._thread.join(_REPORT_TIMEOUT_S)
        if self._peer is not None:
            self._send_report(self._peer)
        self._server.stop(0)

    def handle_runner_report(
        self, info: messages.RunnerInfo, address: str, sequence: int
    ) -> None:
        """Process a report of the runner; ignore one that is late or not the runner's.

        A report of another runner or life counts once the runner at its address states
        that life, and the first one is not passed on before.
        """
        with self._lock:
            current = self._session
            sender = info.id, info.life, address
            if current is not None and sender == self._sender:
                assert self._filter is not None
                if self._filter.accepts(info, sequence, clock.now()):
                    self._update_info(current, info)
                elif self._filter.contradicts(info):
                    _record_ignored(info, "it contradicts the reports before it")
                return
        client = self._connector.connect(info.id, info.life, address)
        if current is not None and not self._is_present(info, client):
            return
        with self._lock:
            if self._session is current:
                self._start_session(info, address, client)
                self._sender = sender
                self._filter = report_filter.ReportFilter(info, sequence)

    def _update_info(
        self, current: session.RunnerSession, info: messages.RunnerInfo
    ) -> None:
        earlier, current.info = current.info, info
        current.described_at = clock.now()
        if earlier.is_draining != info.is_draining:
            decisions.record("runner.state", runner=info.id, draining=info.is_draining)
            self._report_due.set()
        if earlier.capacity != info.capacity:
            decisions.record(
                "runner.capacity",
                runner=info.id,
                capacity=info.capacity,
                earlier=earlier.capacity,
            )
            self._report_due.set()

    def _is_present(self, info: messages.RunnerInfo, client: runner.Runner) -> bool:
        """Return whether the runner itself states the life of a report.

        The report may be a late one of an earlier life. The times of their starts do
        not tell which life is the later one: the clock may have been set back.
        """
        try:
            life = client.poll(0, None, self._epoch, 0.0).life
        except errors.Error as exc:
            why = str(exc)
        else:
            why = "" if life == info.life else f"the runner states life {life}"
        if why:
            _record_ignored(info, why)
        return not why

    def handle_runner_exit(self, id: str) -> None:
        """Mark all runs as gone once the runner has exited as it announced.

        An exit names no life, and a runner reports that it is draining before it
        exits: the exit of a runner that does not drain is of an earlier life.
        """
        with self._lock:
            current = self._session
            if current is None or current.info.id != id:
                return
            is_draining = current.info.is_draining
        if is_draining:
            # The session is kept, so that the next reports to the scheduler list all
            # of its runs as gone.
            current.await_exit()
        event = "runner.exit" if is_draining else "runner.exit_ignored"
        decisions.record(event, runner=id, life=current.info.life)

    def _start_session(
        self, info: messages.RunnerInfo, address: str, client: runner.Runner
    ) -> None:
        decisions.record("runner.new_life", address=address, **info._asdict())
        if self._session is not None:
            earlier = self._session
            crash = earlier.describe_crash() if earlier.is_confirmed else None
            if crash is not None:
                crash_monitor.record_crash(crash)
                self._crashes = [*self._crashes, crash][-_MAX_REPORTED_CRASHES:]
            self._session.end("the runner started anew")
        self._session = session.RunnerSession(
            info, client, self._report_due, self._started_at + self._lease_s
        )
        self._session.learn_epoch(self._epoch)
        self._session.start()
        self._report_due.set()

    def _serve_orders(self, req: messages.Orders) -> messages.OrdersResponse:
        if req.epoch < self._epoch:
            return self._refuse(req, "a scheduler with a higher epoch is known")
        self._set_scheduler(req.address, req.epoch)
        with self._lock:
            current = self._session
            if current is None:
                return self._refuse(req, "no runner has reported")
            if self._is_outdated(req):
                if req.agent != self._incarnation:
                    return self._refuse(req, "issued to another start of the agent")
                return self._refuse(req, "issued before the end of a grant gap")
            current.execute_orders(req.epoch, req.orders)
        return messages.OrdersResponse(True, self._epoch)

    def _refuse(self, req: messages.Orders, why: str) -> messages.OrdersResponse:
        run_events.record_refused_orders(req, self._epoch, why)
        return messages.OrdersResponse(False, self._epoch)

    def _is_outdated(self, req: messages.Orders) -> bool:
        """Return whether orders were issued before this agent's grant had a gap.

        The scheduler gives runs up only while no report of the host arrives, hence
        before the report whose response ended the gap.
        """
        if not req.agent:
            return False
        return req.agent != self._incarnation or req.sequence < self._resumed_sequence

    def _set_scheduler(self, address: str, epoch: int) -> None:
        with self._lock:
            if epoch < self._epoch or address == self._scheduler_address:
                self._epoch = max(self._epoch, epoch)
                return
            self._epoch, self._scheduler_address = epoch, address
            old, self._peer = self._peer, channels.Peer(address)
        decisions.record("scheduler.found", address=address, epoch=epoch)
        if old is not None:
            old.close()

    def _report_repeatedly(self) -> None:
        looked_up_at = 0.0
        while not self._stopping.is_set():
            self._report_due.clear()
            is_lookup_allowed = clock.now() - looked_up_at > _LEADER_LOOKUP_INTERVAL_S
            if is_lookup_allowed and (self._peer is None or self._is_lookup_due):
                looked_up_at = clock.now()
                self._find_scheduler()
            is_accepted = self._peer is not None and self._send_report(self._peer)
            if is_accepted:
                self._report_due.wait(_REPORT_INTERVAL_S)
                time.sleep(_REPORT_BATCH_DELAY_S)
            else:
                self._stopping.wait(_LEADER_LOOKUP_INTERVAL_S / 2)

    def _find_scheduler(self) -> None:
        try:
            leader = self._locator.find()
        except errors.Error as exc:
            self._lookup.failed(exc)
            return
        self._lookup.worked()
        if leader is not None:
            self._set_scheduler(*leader)

    def _latest_lease_end(self) -> float:
        """Return the latest possible end of a lease set by this or an earlier agent."""
        current = self._session
        earlier = self._started_at + self._lease_s
        return max(earlier, current.leased_until if current else 0.0)

    def _list_crashes(
        self, current: session.RunnerSession | None
    ) -> list[messages.RunnerCrash]:
        """Return the crashes of earlier lives, and of the current one if it is down."""
        crash = current.describe_crash() if current and current.is_down else None
        return [*self._crashes, crash] if crash is not None else self._crashes

    def _send_report(self, peer: channels.Peer) -> bool:
        """Send one report and return whether the scheduler accepted it."""
        known = current = self._session
        if current is not None and not current.is_confirmed:
            current = None
        self._sequence += 1
        sent_at = clock.now()
        report = messages.Report(
            self._identity.name,
            self._identity.peer_address,
            self._identity.zone,
            self._incarnation,
            self._sequence,
            self._epoch,
            current.info if current else None,
            round(current.answered_ago_s, 3) if current else 0.0,
            max(0.0, self._latest_lease_end() - sent_at),
            report_size.limit_checkpoints(current.table.rows()) if current else [],
            self._is_leaving,
            self._challenge,
            time.time(),
            self._list_crashes(current),
        )
        self._is_lookup_due = True
        try:
            response = peer.call(
                messages.REPORT, report, time.monotonic() + _REPORT_TIMEOUT_S
            )
        except errors.Error as exc:
            _reports.labels(exc.kind).inc()
            self._scheduler_calls.failed(exc)
            return False
        if not response.is_leader or response.epoch < self._epoch:
            _reports.labels("not_leader").inc()
            self._scheduler_calls.failed(f"{peer.address} is not the leader")
            if response.leader and not response.is_leader:
                self._set_scheduler(response.leader, response.epoch)
            return False
        self._scheduler_calls.worked()
        self._is_lookup_due = response.is_cut_off
        self._challenge = response.challenge
        if not response.is_counted:
            _reports.labels("not_counted").inc()
            if response.challenge:
                self._report_due.set()
            return True
        _reports.labels("told").inc()
        granted_until = sent_at + response.lease_s
        with self._lock:
            self._epoch = max(self._epoch, response.epoch)
            has_lapsed = clock.now() > self._granted_until
            if has_lapsed:
                self._resumed_sequence = report.sequence
            self._granted_until = max(self._granted_until, granted_until)
            if known is not None:
                known.learn_epoch(response.epoch)
            if current is not None and current is self._session:
                current.grant_lease(response.epoch, granted_until, has_lapsed)
        if current is not None and current is self._session:
            current.fillers.update_interference(response.pressing)
            current.fillers.update_courses(response.courses, clock.now())
            current.acknowledge_ends(
                response.noted, [tuple(key) for key in response.settled]
            )
        return True


def _record_ignored(info: messages.RunnerInfo, why: str) -> None:
    decisions.record("runner.report_ignored", runner=info.id, life=info.life, why=why)
