"""An agent: takes its runner's reports, and reports to the scheduler."""

import abc
import threading
import time
import typing as t

import prometheus_client as prometheus

from bilberrypass import clock, errors
from bilberrypass.connection import channels
from bilberrypass.hosting import runner, session
from bilberrypass.observing import decisions
from bilberrypass.scheduling import messages

_REPORT_INTERVAL_S: t.Final = 0.5
_GATHER_S: t.Final = 0.015  # ends that come together share a report
_CALL_S: t.Final = 1.0
_FIND_INTERVAL_S: t.Final = 0.4
_RPC_THREADS: t.Final = 6
_SILENT_S: t.Final = 2.5  # longer than the wait for an end and its margin

_reports = prometheus.Counter(
    "bilberrypass_reports", "Reports to the scheduler", ["outcome"]
)


class Leadership(abc.ABC):
    """Finds the scheduler."""

    @abc.abstractmethod
    def find(self) -> tuple[str, int] | None:
        """Return its address and epoch, or None; raises ``errors.Error``."""


class Connector(abc.ABC):
    """Makes clients of runners."""

    @abc.abstractmethod
    def connect(self, id: str, address: str) -> runner.Runner:
        """Return a client of the runner with an id at an address."""


class Identity(t.NamedTuple):
    """What the scheduler is told of this agent."""

    name: str
    zone: str
    peer_address: str


@t.final
class Agent:
    """One agent process.

    Parameters
    ----------
    identity : Identity
        Names it.
    leadership : Leadership
        Finds the scheduler.
    connector : Connector
        Reaches the runner.
    lease_s : float
        The longest lease that a scheduler grants.
    """

    def __init__(
        self,
        identity: Identity,
        leadership: Leadership,
        connector: Connector,
        lease_s: float,
    ) -> None:
        self._identity = identity
        self._leadership = leadership
        self._connector = connector
        self._started_at = clock.now()
        self._lease_s = lease_s
        self._agent = time.time_ns() // 1_000
        self._sequence = 0
        self._lock = threading.Lock()
        self._session: session.Session | None = None
        self._beat = -1
        self._epoch = 0
        self._scheduler = ""
        self._peer: channels.Peer | None = None
        self._is_search_wanted = True
        self._is_leaving = False
        self._searched = decisions.Dependency("leader.search")
        self._told = decisions.Dependency("scheduler")
        self._changed = threading.Event()
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="report", daemon=True)
        self._server = channels.Server(
            identity.peer_address,
            {messages.ORDERS: self._serve_orders},
            threads=_RPC_THREADS,
        )

    def start(self) -> None:
        """Begin to report."""
        self._server.start()
        self._thread.start()

    def stop(self) -> None:
        """Tell the scheduler once more, and end; the runner keeps what runs."""
        self._is_leaving = True
        self._stopping.set()
        self._changed.set()
        self._thread.join(_CALL_S)
        if self._peer is not None:
            self._report(self._peer)
        self._server.stop(0)

    def hear(self, info: messages.RunnerInfo, address: str, sequence: int) -> None:
        """Take a report of the runner beside this agent."""
        with self._lock:
            known = self._session
            if known is None or self._is_new_life(known, info):
                self._begin(info, address)
                self._beat = sequence
                return
            if info.life != known.info.life or sequence <= self._beat:
                return
            self._beat = sequence
            has_changed = known.info.is_draining != info.is_draining
            known.info = info
        if has_changed:
            decisions.record("runner.state", runner=info.id, draining=info.is_draining)
            self._changed.set()

    def _is_new_life(self, known: session.Session, info: messages.RunnerInfo) -> bool:
        """Tell a new life from a late report of an old one.

        Lives are told by the time of day, which may be set back meanwhile; then the
        known life has fallen silent.
        """
        if info.life > known.info.life:
            return True
        return info.life < known.info.life and known.answered_ago_s > _SILENT_S

    def forget(self, id: str) -> None:
        """Take the runner's word that it ends."""
        with self._lock:
            found = self._session
            if found is None or found.info.id != id:
                return
            # Its rows still tell the scheduler that everything there is gone.
            found.info = found.info._replace(is_draining=True)
        decisions.record("runner.left", runner=id)
        found.end("left")
        self._changed.set()

    def _begin(self, info: messages.RunnerInfo, address: str) -> None:
        decisions.record("runner.new_life", address=address, **info._asdict())
        if self._session is not None:
            self._session.end("the runner started anew")
        self._session = session.Session(
            info,
            self._connector.connect(info.id, address),
            self._changed,
            self._started_at + self._lease_s,
        )
        self._session.start()
        self._changed.set()

    def _serve_orders(self, req: messages.Orders) -> messages.Obeyed:
        if req.epoch < self._epoch:
            return messages.Obeyed(False, self._epoch)
        self._follow(req.address, req.epoch)
        found = self._session
        if found is None:
            return messages.Obeyed(False, self._epoch)
        found.obey(req.epoch, req.orders)
        return messages.Obeyed(True, self._epoch)

    def _follow(self, address: str, epoch: int) -> None:
        with self._lock:
            if epoch < self._epoch or address == self._scheduler:
                self._epoch = max(self._epoch, epoch)
                return
            self._epoch, self._scheduler = epoch, address
            old, self._peer = self._peer, channels.Peer(address)
        decisions.record("scheduler.found", address=address, epoch=epoch)
        if old is not None:
            old.close()

    def _run(self) -> None:
        searched_at = 0.0
        while not self._stopping.is_set():
            self._changed.clear()
            is_due = clock.now() - searched_at > _FIND_INTERVAL_S
            if is_due and (self._peer is None or self._is_search_wanted):
                searched_at = clock.now()
                self._find()
            is_told = self._peer is not None and self._report(self._peer)
            if is_told:
                self._changed.wait(_REPORT_INTERVAL_S)
                time.sleep(_GATHER_S)
            else:
                self._stopping.wait(_FIND_INTERVAL_S / 2)

    def _find(self) -> None:
        try:
            found = self._leadership.find()
        except errors.Error as exc:
            self._searched.failed(exc)
            return
        self._searched.worked()
        if found is not None:
            self._follow(*found)

    def _leased_until(self) -> float:
        """Return until when this agent or an earlier one may have leased."""
        found = self._session
        earlier = self._started_at + self._lease_s
        return max(earlier, found.leased_until if found else 0.0)

    def _report(self, peer: channels.Peer) -> bool:
        """Report once; tell whether the scheduler took it."""
        found = self._session
        self._sequence += 1
        sent_at = clock.now()
        report = messages.Report(
            self._identity.name,
            self._identity.peer_address,
            self._identity.zone,
            self._agent,
            self._sequence,
            self._epoch,
            found.info if found else None,
            round(found.answered_ago_s, 3) if found else 0.0,
            max(0.0, self._leased_until() - sent_at),
            found.table.rows() if found else [],
            self._is_leaving,
        )
        self._is_search_wanted = True
        try:
            told = peer.call(messages.REPORT, report, time.monotonic() + _CALL_S)
        except errors.Error as exc:
            _reports.labels(exc.kind).inc()
            self._told.failed(exc)
            return False
        if not told.is_leader or told.epoch < self._epoch:
            _reports.labels("not_leader").inc()
            self._told.failed(f"{peer.address} does not lead")
            return False
        self._told.worked()
        _reports.labels("told").inc()
        self._epoch = told.epoch
        self._is_search_wanted = told.is_cut_off
        if found is not None and found is self._session:
            found.grant(told.epoch, sent_at + told.lease_s)
            found.learn(told.pressing)
            found.note(told.noted, [tuple(key) for key in told.settled])
        return True
