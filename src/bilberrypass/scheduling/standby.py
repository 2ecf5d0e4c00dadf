"""An entry that does not lead: it stays known to the leader that it may succeed."""

import collections.abc as abc
import threading
import time
import typing as t

from bilberrypass import clock, errors, supervision
from bilberrypass.connection import channels
from bilberrypass.observing import decisions
from bilberrypass.scheduling import (
    election,
    grants,
    keyvalue,
    messages,
    roster,
    succession,
)

if t.TYPE_CHECKING:
    from bilberrypass.scheduling import scheduler

_REQUEST_INTERVAL_S: t.Final = 0.5
_REQUEST_TIMEOUT_S: t.Final = 0.4
_STORE_CHECK_TIMEOUT_S: t.Final = 0.4


class _Notice(t.NamedTuple):
    """A notice to an earlier leader, which is sent until a time on ``clock.now``."""

    address: str
    notice: messages.LeaderNotice
    until: float


@t.final
class Standby:
    """Keeps an entry listed with the leader, and introduces it once it is elected.

    Parameters
    ----------
    name, address : str
        Name of the entry, and the address at which its peers reach it.
    lease_s : float
        Duration of a full lease, in seconds.
    elections : election.Election
        Tells the leader that the entry follows.
    store : keyvalue.Store
        Read while the leader lacks it.
    current : callable
        Returns the scheduler of this entry, None while it does not lead.
    started_at : float, optional
        When this process started, on ``clock.now``; now without it.
    """

    def __init__(
        self,
        name: str,
        address: str,
        lease_s: float,
        elections: election.Election,
        store: keyvalue.Store,
        current: "abc.Callable[[], scheduler.Scheduler | None]",
        started_at: float | None = None,
    ) -> None:
        self.succession = succession.Succession(elections.identity, lease_s, started_at)
        self._lease_s = lease_s
        self._name = name
        self._address = address
        self._election = elections
        self._store = store
        self._current = current
        self._leader: election.Leader | None = None
        self._peer: channels.Peer | None = None
        self._leader_lacks_store = False
        self._request_lock = threading.Lock()
        self._keeper: roster.Keeper | None = None
        self._notice: _Notice | None = None
        self._calls = decisions.Dependency("standby")
        self._stopping = threading.Event()
        self._thread = supervision.SupervisedThread(
            "standby", self._run, self._stopping
        )

    def start(self) -> None:
        """Start the thread that sends the requests."""
        self._thread.start()

    def stop(self) -> None:
        """Tell the leader that this entry leaves, and end the thread."""
        self.succession.leave()
        self._stopping.set()
        leader = self._followed_leader()
        if leader is not None:
            # The first one counts for nothing if the response before it was lost.
            for _ in range(2):
                self._send_request(leader)

    def begin_leading(self, epoch: int) -> tuple[float, grants.Grants]:
        """Introduce this entry to the leader that it followed.

        The store may turn that one away, which then goes on as in an outage.

        Returns
        -------
        tuple of float and grants.Grants
            When all leases granted before have ended, on ``clock.now``, and what the
            leader of this epoch may grant.
        """
        if self._leader is not None:
            notice = messages.LeaderNotice(self._name, self._address, epoch)
            until = clock.now() + grants.STORE_CONTACT_TIMEOUT_S
            self._notice = _Notice(self._leader.address, notice, until)
        inherited, own = self._election.inherited, self._election.identity
        elected_with = roster.inherit(inherited, own)
        self._keeper = roster.Keeper(
            self._store, election.KEY, election.ROSTER_KEY, epoch, own, elected_with
        )
        granting = grants.Grants(
            epoch,
            self._lease_s,
            lambda: self._election.last_contact_in(epoch),
            elected_with.names,
            own,
        )
        leases_end = self.succession.begin_leading(
            epoch, self._election.predecessor, inherited
        )
        return leases_end, granting

    # Called on the threads that serve peers.

    def serve_request(self, req: messages.StandbyRequest) -> messages.StandbyResponse:
        """List another entry as a standby of this one, if it leads."""
        current = self._current()
        if current is None:
            return messages.StandbyResponse(0)
        current.earlier_leases_end = min(
            current.earlier_leases_end, self.succession.record_start(req)
        )
        response = current.grants.respond(req, current.unknown_leases_end)
        if req.is_leaving:
            self._keep_roster(current)
        return response

    def serve_notice(
        self, notice: messages.LeaderNotice
    ) -> messages.LeaderNoticeResponse:
        """Follow a later leader."""
        leader = election.Leader(*notice)
        return messages.LeaderNoticeResponse(self._election.on_leader_notice(leader))

    # Called on the thread of this class.

    def _run(self) -> None:
        while not self._stopping.wait(_REQUEST_INTERVAL_S):
            leader = self._followed_leader()
            current, pending = self._current(), self._notice
            if leader is not None:
                self._send_request(leader)
            elif current is not None:
                self._keep_roster(current)
                if pending is not None:
                    self._send_notice(pending)

    def _keep_roster(self, current: "scheduler.Scheduler") -> None:
        keeper = self._keeper
        if keeper is not None and keeper.epoch == current.epoch:
            have_ended = clock.now() > current.earlier_leases_end
            keeper.update(current.grants, have_ended)

    def _followed_leader(self) -> election.Leader | None:
        """Return the leader if it is another entry."""
        leader = self._election.leader
        is_other = leader is not None and leader.address != self._address
        return leader if is_other and self._current() is None else None

    def _peer_at(self, address: str) -> channels.Peer:
        if self._peer is None or self._peer.address != address:
            if self._peer is not None:
                self._peer.close()
            self._peer = channels.Peer(address)
        return self._peer

    def _send_request(self, leader: election.Leader) -> None:
        """Send the next request; one at a time, as each quotes the response before."""
        with self._request_lock:
            if leader != self._leader:
                self._leader, self._leader_lacks_store = leader, False
            has_lost_store = self._leader_lacks_store and not self._has_store()
            req = self.succession.make_request(leader.epoch, has_lost_store)
            sent_at = clock.now()
            try:
                response = self._peer_at(leader.address).call(
                    messages.STANDBY, req, time.monotonic() + _REQUEST_TIMEOUT_S
                )
            except errors.Error as exc:
                self._calls.failed(exc)
                return
            if response.epoch == leader.epoch:
                self._calls.worked()
                self._leader_lacks_store = response.lacks_store
                self.succession.record_response(sent_at, response)

    def _has_store(self) -> bool:
        try:
            self._store.get(election.KEY, clock.now() + _STORE_CHECK_TIMEOUT_S)
        except errors.Error:
            return False
        return True

    def _send_notice(self, pending: _Notice) -> None:
        try:
            response = self._peer_at(pending.address).call(
                messages.LEADER, pending.notice, time.monotonic() + _REQUEST_TIMEOUT_S
            )
        except errors.Error:
            is_known = False
        else:
            is_known = response.epoch >= pending.notice.epoch
        is_over = is_known or clock.now() > pending.until
        if is_over and self._notice is pending:
            self._notice = None
