"""What an entry that may be elected knows of the leases granted before."""

import threading
import typing as t

from bilberrypass import clock
from bilberrypass.observing import decisions
from bilberrypass.scheduling import grants, messages, roster


class _Listing(t.NamedTuple):
    """A leader's latest response to this standby.

    ``sent_at`` is when the request was sent and ``inherited_until`` when the leases of
    that leader's predecessors have ended, on ``clock.now``; ``heard_at`` is the
    leader's time.
    """

    epoch: int
    sent_at: float
    heard_at: float
    inherited_until: float


@t.final
class Succession:
    """Bounds the leases that earlier leaders granted, for one entry; thread-safe.

    A leader that has lost the store extends its leases only while each of its standbys
    yields. So a standby that it lists knows, if it is elected, that no lease was
    granted after both that election and its own latest consent. So does an entry that
    the stored roster names, whatever it has heard itself. A leader whose entry has
    started anew has granted nothing since that start.

    Parameters
    ----------
    name : str
        Identity of the entry, see ``roster.identity``.
    lease_s : float
        Duration of a full lease, in seconds.
    started_at : float, optional
        When this process started, on ``clock.now``; now without it.
    """

    def __init__(
        self, name: str, lease_s: float, started_at: float | None = None
    ) -> None:
        self._name = name
        self._lease_s = lease_s
        self._lock = threading.Lock()
        self._listing: _Listing | None = None
        self._started_at = clock.now() if started_at is None else started_at
        # An earlier process of this entry may have yielded until then.
        self._yielded_at = self._started_at
        self._own_epoch = 0
        self._own_bound = 0.0
        self._bounds: dict[str, float] = {}  # of the leases of leaders, by their entry
        self._is_leaving = False

    def leave(self) -> None:
        """Mark this entry as one that is not elected any more."""
        with self._lock:
            self._is_leaving = True

    def make_request(self, epoch: int, has_lost_store: bool) -> messages.StandbyRequest:
        """Return the next request to a leader, and remember if it yields."""
        with self._lock:
            if self._listing is not None and self._listing.epoch != epoch:
                self._listing = None  # an entry of an earlier release may list none
            heard_at = self._listing.heard_at if self._listing else 0.0
            # The bound of an election that was won already counts no later consent.
            yields = has_lost_store and epoch > self._own_epoch
            if yields:
                self._yielded_at = clock.now()
            age_s = 0.0 if self._own_epoch else clock.now() - self._started_at
            return messages.StandbyRequest(
                self._name, epoch, heard_at, yields, self._is_leaving, age_s
            )

    def record_response(
        self, sent_at: float, response: messages.StandbyResponse
    ) -> None:
        """Record the response to a request that was sent at a time on ``clock.now``."""
        left_s = grants.elapsed_at_most(response.unknown_left_s)
        inherited_until = clock.now() + left_s
        with self._lock:
            self._listing = _Listing(
                response.epoch, sent_at, response.heard_at, inherited_until
            )

    def is_informed(
        self, predecessor: int, inherited: roster.Roster | None = None
    ) -> bool:
        """Return whether the leases of the latest leader, if any, are bounded here.

        The roster bounds them for an entry whose own latest consent has ended.
        """
        with self._lock:
            found = self._listing
            known = (0, self._own_epoch, found.epoch if found else 0)
            return predecessor in known or (
                inherited is not None
                and self._name in inherited.names
                and clock.now() >= self._consent_end()
            )

    def _consent_end(self) -> float:
        return self._yielded_at + grants.elapsed_at_most(grants.YIELD_S)

    def begin_leading(
        self,
        epoch: int,
        predecessor: int,
        inherited: roster.Roster | None = None,
    ) -> float:
        """Return when all leases granted before an election have ended.

        Parameters
        ----------
        epoch : int
            The epoch for which this entry was elected.
        predecessor : int
            The epoch of the leader before it, 0 if there was none.
        inherited : roster.Roster, optional
            The roster that this leader has left; None if it left none.

        Returns
        -------
        float
            Time on ``clock.now``.
        """
        now = clock.now()
        with self._lock:
            bound = self._bound(predecessor, now)
            if inherited is not None and self._name in inherited.names:
                bound = min(bound, self._bound_by_consent(now))
            self._bounds = dict.fromkeys(inherited.leaders if inherited else (), bound)
            if self._name in self._bounds and not self._own_epoch:
                self._bounds[self._name] = self._bound_by_start(self._started_at)
            bound = min(bound, max(self._bounds.values(), default=bound))
            self._own_epoch, self._own_bound = epoch, bound
        decisions.record(
            "succession.bound",
            epoch=epoch,
            predecessor=predecessor,
            left_s=round(bound - now, 3),
        )
        return bound

    def record_start(self, req: messages.StandbyRequest) -> float:
        """Record the age of an entry's process that never led.

        Only of one that knows of this election: a request of a process before the
        leader's may be late.

        Returns
        -------
        float
            When all leases granted before this process was elected have ended, on
            ``clock.now``; earlier than before if the entry is that of a leader.
        """
        with self._lock:
            bound = self._bounds.get(req.name)
            if bound is not None and req.age_s > 0 and req.epoch == self._own_epoch:
                started_by = clock.now() - grants.elapsed_at_least(req.age_s)
                bound = min(bound, self._bound_by_start(started_by))
                self._bounds[req.name] = bound
                lowered = min(self._own_bound, max(self._bounds.values()))
                if lowered < self._own_bound:
                    self._own_bound = lowered
                    self._log_lowered(req.name)
            return self._own_bound

    def _log_lowered(self, name: str) -> None:
        decisions.record(
            "succession.lowered",
            epoch=self._own_epoch,
            entry=name,
            left_s=round(self._own_bound - clock.now(), 3),
        )

    def _bound_by_start(self, started_by: float) -> float:
        """Return when leases have ended of processes that were gone by a time."""
        return started_by + grants.elapsed_at_most(self._lease_s)

    def _bound_by_consent(self, now: float) -> float:
        """Return when leases have ended that no leader extended without this entry."""
        if self._is_leaving:
            return grants.unknown_grants_end(now)
        lease_s = grants.elapsed_at_most(self._lease_s)
        return max(now, self._consent_end()) + lease_s

    def _bound(self, predecessor: int, now: float) -> float:
        lease_s = grants.elapsed_at_most(self._lease_s)
        if predecessor and predecessor == self._own_epoch:
            return max(self._own_bound, now + lease_s)
        found = self._listing
        # The leader has to ask for consent as long as it may extend its leases.
        last_grant_at = now + grants.elapsed_at_most(grants.STORE_CONTACT_TIMEOUT_S)
        if (
            self._is_leaving
            or found is None
            or found.epoch != predecessor
            or found.sent_at + grants.elapsed_at_least(grants.LISTED_S) < last_grant_at
        ):
            return grants.unknown_grants_end(now)
        return max(found.inherited_until, self._bound_by_consent(now))
