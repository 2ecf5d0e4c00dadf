"""The entry process: serves callers, and runs the scheduler while elected."""

import collections.abc as abc
import threading
import time
import typing as t

import prometheus_client as prometheus

from bilberrypass import clock, errors
from bilberrypass.connection import channels
from bilberrypass.observing import decisions
from bilberrypass.scheduling import (
    changing,
    election,
    evacuations,
    intake,
    jobs,
    keyvalue,
    messages,
    peers,
    queries,
    queues,
    refusing,
    roster,
    scheduler,
    sending,
    standby,
)

_RPC_THREADS: t.Final = 48
_STOP_GRACE_S: t.Final = 1.0

T = t.TypeVar("T")

_submissions = prometheus.Counter(
    "bilberrypass_submissions", "Submissions by outcome", ["outcome"]
)


@t.final
class Entry(election.Candidate):
    """An entry process.

    Parameters
    ----------
    name : str
        Name of this process in logs and in the election.
    peer_address : str
        Address at which agents and other entries reach this process.
    store : keyvalue.Store
        Holds the jobs, their progress and the election.
    config : queues.ConfigWatcher
        Watches the configuration.
    cfg : scheduler.Settings
        Settings of the scheduler while this process is elected.
    candidacy_delay_s : float
        How long a free election key is left to others; see ``election.Election``.
    evacuated : callable
        Returns what follows the evacuations of failure domains, for one scheduler.
    started_at : float, optional
        When this process started, on ``clock.now``; now without it.
    """

    def __init__(
        self,
        name: str,
        peer_address: str,
        store: keyvalue.Store,
        config: queues.ConfigWatcher,
        cfg: scheduler.Settings,
        candidacy_delay_s: float = 0.0,
        evacuated: abc.Callable[
            [], evacuations.Evacuations
        ] = evacuations.NoEvacuations,
        started_at: float | None = None,
    ) -> None:
        self.name = name
        self._address = peer_address
        self._store = store
        self._config = config
        self._cfg = cfg
        self._make_evacuations = evacuated
        self._submissions = intake.Submissions(store)
        self._scheduler: scheduler.Scheduler | None = None
        self._lock = threading.Lock()
        self._paths = changing.ChangePaths()
        self._gate = refusing.Gate(
            self._submissions.refuse,
            lambda name: self.table.queues.get(name) if self.table else None,
            lambda: leader.epoch if (leader := self._election.leader) else 0,
            cfg.refuses_hopeless,
        )
        self._election = election.Election(
            store, name, peer_address, self, candidacy_delay_s, self._gate.on_change
        )
        self._peers = peers.Peers(peer_address, self._election)
        self._queries = queries.Queries(
            peer_address, self._submissions, self._peers, lambda: self._scheduler
        )
        self._standby = standby.Standby(
            name,
            peer_address,
            cfg.lease_s,
            self._election,
            store,
            lambda: self._scheduler,
            started_at,
        )
        self._server = channels.Server(
            peer_address,
            {
                messages.STANDBY: self._standby.serve_request,
                messages.LEADER: self._standby.serve_notice,
                messages.REPORT: self._serve_report,
                messages.STATE: self._queries.serve_state,
                messages.WAITING: self._queries.serve_waiting,
                messages.STATUS: self._queries.serve_status,
                messages.SUBMIT: self._serve_submit,
                messages.CANCEL: self._serve_cancel,
            },
            threads=_RPC_THREADS,
        )

    def start(self) -> None:
        """Start to serve peers, and to watch the configuration and the election."""
        self._server.start()
        self._config.start()
        self._election.start()
        self._standby.start()

    def release_leadership(self) -> None:
        """Release the leadership, so that another entry can be elected at once."""
        self._election.release_leadership()
        self._standby.stop()

    def stop(self) -> None:
        """Stop serving peers, after a grace period for calls in progress."""
        self._config.stop()
        self._server.stop(_STOP_GRACE_S)

    @property
    def table(self) -> queues.RouteTable | None:
        """The configuration in force; None until one has been read."""
        return self._config.table

    @property
    def store_outage_age_s(self) -> float:
        """How long the store has failed as this entry sees it, 0 if it works."""
        return self._submissions.outage_age_s

    def on_elected(self, epoch: int) -> None:
        """Start a scheduler, after this process was elected with an epoch."""
        earlier_leases_end, granting = self._standby.begin_leading(epoch)
        with self._lock:
            self._scheduler = scheduler.Scheduler(
                self._store,
                epoch,
                self._cfg,
                lambda: self._config.table,
                lambda: self._election.last_contact_at,
                self._election.step_down,
                lambda on_failed: sending.PeerOrderSender(
                    epoch, self._address, on_failed
                ),
                self._make_evacuations(),
                earlier_leases_end,
                granting,
            )
            self._scheduler.start()

    def is_informed(
        self, predecessor: int, inherited: roster.Roster | None = None
    ) -> bool:
        """Return whether this process knows how long an earlier leader granted."""
        return self._standby.succession.is_informed(predecessor, inherited)

    def on_leadership_lost(self, epoch: int) -> None:
        """Stop the scheduler, after the leadership of an epoch was lost."""
        with self._lock:
            stopped, self._scheduler = self._scheduler, None
        if stopped is not None:
            stopped.stop()

    # Called on the threads that serve callers.

    def submit(self, job: jobs.Job, deadline: float) -> None:
        """Store a job, through another entry if this one cannot reach the store.

        Raises
        ------
        errors.Error
            STORE_DOWN or ``ran`` NO if the job certainly is not stored; else it may be.
            BODY_TOO_LARGE if the store cannot hold it.
        """
        self._submissions.check_size(job)
        self._gate.check(job, deadline)
        try:
            is_new = self._change_with_fallback(
                lambda until: self._submissions.submit(job, until),
                lambda peer, left_s: (
                    _call_peer(
                        peer, messages.SUBMIT, messages.SubmitRequest(job, left_s)
                    ).is_new
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
            version=self._config_version,
        )

    def _change_with_fallback(
        self,
        change_locally: abc.Callable[[float], T],
        change_remotely: abc.Callable[[channels.Peer, float], T],
        deadline: float,
    ) -> T:
        """Make an idempotent change in the store, or through a peer if that fails.

        The store may serve the leader's host while it refuses this one.
        """
        address = self._peers.find()
        if not address:
            return change_locally(deadline)
        peer = self._peers.at(address)
        return self._paths.change(
            change_locally,
            lambda until: change_remotely(peer, until - clock.now()),
            deadline,
            address,
        )

    @property
    def _config_version(self) -> int:
        table = self._config.table
        return table.config.version if table else 0

    def cancel(self, id: str, deadline: float) -> bool:
        """Store the cancellation of a job; return False if the job is unknown."""
        is_known = self._change_with_fallback(
            lambda until: self._submissions.cancel(id, until),
            lambda peer, left_s: (
                _call_peer(
                    peer, messages.CANCEL, messages.CancelRequest(id, left_s)
                ).is_known
            ),
            deadline,
        )
        decisions.record("job.cancel", job=id, known=is_known)
        return is_known

    def status(self, id: str, deadline: float) -> str:
        """Return the stored status of a job; empty if the store has no such job."""
        return self._queries.status(id, deadline)

    def count_waiting(self, queue: str) -> int:
        """Return how many jobs of a queue have not started.

        Raises
        ------
        errors.Error
            PEER_UNREACHABLE if no scheduler that knows responds.
        """
        return self._queries.count_waiting(queue)

    # Called on the threads that serve peers.

    def _serve_report(self, report: messages.Report) -> messages.ReportResponse:
        current = self._scheduler
        if current is None:
            leader = self._peers.leader()
            if leader is None:
                return messages.ReportResponse(False, 0)
            return messages.ReportResponse(False, leader.epoch, leader=leader.address)
        return current.report(report)

    def _serve_submit(self, req: messages.SubmitRequest) -> messages.SubmitResponse:
        is_new = self._submissions.submit(req.job, clock.now() + req.time_left_s)
        return messages.SubmitResponse(is_new)

    def _serve_cancel(self, req: messages.CancelRequest) -> messages.CancelResponse:
        is_known = self._submissions.cancel(req.job, clock.now() + req.time_left_s)
        return messages.CancelResponse(is_known)


def _call_peer(
    peer: channels.Peer,
    method: channels.Method,
    req: messages.SubmitRequest | messages.CancelRequest,
) -> t.Any:
    """Call another entry to make a change within the request's ``time_left_s``."""
    return peer.call(method, req, time.monotonic() + req.time_left_s)
