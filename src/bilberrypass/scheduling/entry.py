"""An entry: serves callers, and schedules while it is elected."""

import collections.abc as abc
import threading
import time
import typing as t

import prometheus_client as prometheus

from bilberrypass import clock, errors
from bilberrypass.connection import channels
from bilberrypass.observing import decisions
from bilberrypass.scheduling import (
    election,
    intake,
    jobs,
    keyvalue,
    messages,
    queues,
    reach,
    scheduler,
    sending,
)

_PEER_CALL_S: t.Final = 0.4  # a few round trips; the store answers in its place
_RPC_THREADS: t.Final = 48
_CALL_S: t.Final = 1.0
_HELPER_CALL_S: t.Final = 1.2  # a call of the helper's own, and back
_HEARD_S: t.Final = 60.0
_OWN_SHARE: t.Final = 0.45  # of a caller's time, before the leader is asked instead
_DETOUR_S: t.Final = 2.0  # how long the leader is asked first after a failure
_DETOUR_CALL_S: t.Final = 1.0
_STOP_S: t.Final = 1.0

T = t.TypeVar("T")

_submissions = prometheus.Counter(
    "bilberrypass_submissions", "Submissions by outcome", ["outcome"]
)


@t.final
class Entry(election.Candidate):
    """One entry process.

    Parameters
    ----------
    name : str
        Names this process in logs and in the election.
    peer_address : str
        Where agents and other entries reach it.
    store : keyvalue.Store
        Keeps jobs, their progress and the election.
    config : queues.Follower
        Follows the configuration.
    cfg : scheduler.Settings
        Used while it schedules.
    patience_s : float
        See ``election.Election``.
    """

    def __init__(
        self,
        name: str,
        peer_address: str,
        store: keyvalue.Store,
        config: queues.Follower,
        cfg: scheduler.Settings,
        patience_s: float = 0.0,
    ) -> None:
        self.name = name
        self._address = peer_address
        self._store = store
        self._config = config
        self._cfg = cfg
        self._submissions = intake.Submissions(store)
        self._scheduler: scheduler.Scheduler | None = None
        self._lock = threading.Lock()
        self._peer: channels.Peer | None = None
        self._detour_until = 0.0
        self._askers: dict[str, float] = {}
        self._election = election.Election(store, name, peer_address, self, patience_s)
        self._server = channels.Server(
            peer_address,
            {
                messages.REPORT: self._serve_report,
                messages.STATE: self._serve_state,
                messages.WAITING: self._serve_waiting,
                messages.STATUS: self._serve_status,
                messages.SUBMIT: self._serve_submit,
                messages.CANCEL: self._serve_cancel,
            },
            threads=_RPC_THREADS,
        )

    def start(self) -> None:
        """Begin to follow the configuration and the election."""
        self._server.start()
        self._config.start()
        self._election.start()

    def hand_over(self) -> None:
        """Give the lead up."""
        self._election.hand_over()

    def stop(self) -> None:
        """End."""
        self._config.stop()
        self._server.stop(_STOP_S)

    @property
    def table(self) -> queues.Table | None:
        """The configuration in force."""
        return self._config.table

    def lead(self, epoch: int) -> None:
        """Begin to schedule."""
        with self._lock:
            self._scheduler = scheduler.Scheduler(
                self._store,
                epoch,
                self._cfg,
                lambda: self._config.table,
                lambda: self._election.contact_at,
                self._election.depose,
                lambda on_failed: sending.Sender(epoch, self._address, on_failed),
            )
            self._scheduler.start()

    def resign(self, epoch: int) -> None:
        """Schedule no longer."""
        with self._lock:
            found, self._scheduler = self._scheduler, None
        if found is not None:
            found.stop()

    # Called by callers' threads.

    def submit(self, job: jobs.Job, deadline: float) -> None:
        """Store a job; see ``intake.Submissions.submit``."""
        try:
            is_new = self._through_store(
                lambda until: self._submissions.submit(job, until),
                lambda peer, left_s: (
                    _ask(peer, messages.SUBMIT, messages.SubmitAsk(job, left_s)).is_new
                ),
                deadline,
            )
        except errors.Error as exc:
            _submissions.labels(exc.kind).inc()
            decisions.record("job.refused", job=job.id, why=str(exc))
            raise
        _submissions.labels("new" if is_new else "known").inc()
        decisions.record(
            "job.accepted",
            job=job.id,
            queue=job.queue,
            new=is_new,
            version=self._version,
        )

    def _through_store(
        self,
        here: abc.Callable[[float], T],
        there: abc.Callable[[channels.Peer, float], T],
        deadline: float,
    ) -> T:
        """Make an idempotent change here, or by the leader if the store fails us.

        The store may serve the leader and refuse this host.
        """
        address = self._find_helper()
        if not address:
            return here(deadline)
        peer = self._peer_at(address)
        own_deadline = clock.now() + (deadline - clock.now()) * _OWN_SHARE
        tries: list[abc.Callable[[], T]] = [
            lambda: here(own_deadline),
            lambda: there(peer, deadline - clock.now()),
        ]
        if clock.now() < self._detour_until:
            first = min(deadline, clock.now() + _DETOUR_CALL_S)
            tries = [
                lambda: there(peer, first - clock.now()),
                lambda: here(deadline),
            ]
        lost: errors.Error | None = None
        for attempt in tries:
            if lost is not None and deadline - clock.now() < reach.LEAST_S:
                break
            try:
                return attempt()
            except errors.Error as exc:
                self._detour_until = clock.now() + _DETOUR_S
                decisions.record("change.failed", helper=address, why=str(exc))
                if lost is None or not _is_certain(exc):
                    lost = exc
        assert lost is not None
        raise lost

    @property
    def _version(self) -> int:
        table = self._config.table
        return table.config.version if table else 0

    def cancel(self, id: str, deadline: float) -> bool:
        """Store a cancellation; False if there is no such job."""
        is_known = self._through_store(
            lambda until: self._submissions.cancel(id, until),
            lambda peer, left_s: (
                _ask(peer, messages.CANCEL, messages.CancelAsk(id, left_s)).is_known
            ),
            deadline,
        )
        decisions.record("job.cancel", job=id, known=is_known)
        return is_known

    def status(self, id: str, deadline: float) -> str:
        """Return a job's stored status; empty if the store has no such job."""
        ask = messages.StateAsk(id, self._address)
        if self._is_cut_off:
            told = self._ask_helper(ask, deadline)
        else:
            told = self._ask_leader(messages.STATE, ask, self._serve_state)
        if told is not None and told.status:
            return told.status
        status = self._submissions.read_status(id, deadline)
        decisions.record("job.status_read", job=id, status=status, leader=bool(told))
        return status

    @property
    def _is_cut_off(self) -> bool:
        """Tell whether this entry leads, and another may by now."""
        found = self._scheduler
        return found is not None and found.is_cut_off

    def _ask_helper(
        self, ask: messages.StateAsk, deadline: float
    ) -> messages.StateTold | None:
        """Return what another entry finds out, or None."""
        address = self._find_helper()
        if not address:
            return None
        until = time.monotonic() + min(_HELPER_CALL_S, deadline - clock.now())
        try:
            return self._peer_at(address).call(messages.STATUS, ask, until)
        except errors.Error as exc:
            decisions.record("helper.unanswered", helper=address, why=str(exc))
            return None

    def waiting(self, queue: str) -> int:
        """Return how many jobs of a queue have not begun.

        Raises
        ------
        errors.Error
            PEER_UNREACHABLE if the scheduler does not answer.
        """
        ask = messages.WaitingAsk(queue)
        told = self._ask_leader(messages.WAITING, ask, self._serve_waiting)
        if told is None:
            raise errors.Refused(
                errors.Kind.PEER_UNREACHABLE,
                f"no scheduler counts the jobs of {queue} now; ask again",
                retry_after_s=1.0,
            )
        return told.waiting

    def _ask_leader(
        self, method: channels.Method, ask: t.Any, serve: abc.Callable[[t.Any], t.Any]
    ) -> t.Any:
        """Return the leader's answer, or None if there is none at once."""
        if self._scheduler is not None:
            return serve(ask)
        leader = self._election.leader
        if leader is None or leader.address == self._address:
            return None
        try:
            deadline = time.monotonic() + _PEER_CALL_S
            told = self._peer_at(leader.address).call(method, ask, deadline)
        except errors.Error as exc:
            decisions.record("leader.unanswered", leader=leader.name, why=str(exc))
            return None
        return told if told.is_leader else None

    def _find_helper(self) -> str:
        """Return another entry's address: the leader's, or of one heard of late."""
        leader = self._election.leader
        if leader is not None and leader.address != self._address:
            return leader.address
        heard_at, address = max(
            ((at, address) for address, at in list(self._askers.items())),
            default=(0.0, ""),
        )
        return address if clock.now() - heard_at < _HEARD_S else ""

    def _peer_at(self, address: str) -> channels.Peer:
        with self._lock:
            peer = self._peer
            if peer is None or peer.address != address:
                if peer is not None:
                    peer.close()
                peer = self._peer = channels.Peer(address)
            return peer

    # Called by peers' threads.

    def _serve_report(self, report: messages.Report) -> messages.Reported:
        found = self._scheduler
        if found is None:
            leader = self._election.leader
            return messages.Reported(False, leader.epoch if leader else 0)
        return found.report(report)

    def _serve_submit(self, ask: messages.SubmitAsk) -> messages.SubmitTold:
        is_new = self._submissions.submit(ask.job, clock.now() + ask.time_left_s)
        return messages.SubmitTold(is_new)

    def _serve_cancel(self, ask: messages.CancelAsk) -> messages.CancelTold:
        is_known = self._submissions.cancel(ask.job, clock.now() + ask.time_left_s)
        return messages.CancelTold(is_known)

    def _serve_state(self, ask: messages.StateAsk) -> messages.StateTold:
        self._askers[ask.asker] = clock.now()
        found = self._scheduler
        if found is None or not found.is_loaded:
            return messages.StateTold(False)
        return messages.StateTold(True, found.status(ask.job))

    def _serve_status(self, ask: messages.StateAsk) -> messages.StateTold:
        if self._is_cut_off:
            return messages.StateTold(False)
        return messages.StateTold(True, self.status(ask.job, clock.now() + _CALL_S))

    def _serve_waiting(self, ask: messages.WaitingAsk) -> messages.WaitingTold:
        found = self._scheduler
        if found is None or not found.is_loaded:
            return messages.WaitingTold(False)
        return messages.WaitingTold(True, found.waiting(ask.queue))


def _ask(
    peer: channels.Peer,
    method: channels.Method,
    ask: messages.SubmitAsk | messages.CancelAsk,
) -> t.Any:
    """Have another entry make a change within the time that it is told."""
    return peer.call(method, ask, time.monotonic() + ask.time_left_s)


def _is_certain(exc: errors.Error) -> bool:
    """Tell whether a change that failed certainly had no effect."""
    if exc.kind is errors.Kind.STORE_UNCERTAIN:
        return False
    return exc.kind is errors.Kind.STORE_DOWN or exc.ran is errors.Ran.NO
