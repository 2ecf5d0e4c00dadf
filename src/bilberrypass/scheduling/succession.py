"""What an entry that may be elected knows of the leases granted before."""

import threading
import typing as t

from bilberrypass import clock
from bilberrypass.observing import decisions
from bilberrypass.scheduling import grants, messages


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
    granted after both that election and its own latest consent.

    Parameters
    ----------
    name : str
        Name of the entry.
    lease_s : float
        Duration of a full lease, in seconds.
    """

    def __init__(self, name: str, lease_s: float) -> None:
        self._name = name
        self._lease_s = lease_s
        self._lock = threading.Lock()
        self._listing: _Listing | None = None
        # An earlier process of this entry may have yielded until now.
        self._yielded_at = clock.now()
        self._own_epoch = 0
        self._own_bound = 0.0
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
            return messages.StandbyRequest(
                self._name, epoch, heard_at, yields, self._is_leaving
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

    def is_informed(self, predecessor: int) -> bool:
        """Return whether the leases of the latest leader, if any, are bounded here."""
        with self._lock:
            found = self._listing
            known = (0, self._own_epoch, found.epoch if found else 0)
            return predecessor in known

    def begin_leading(self, epoch: int, predecessor: int) -> float:
        """Return when all leases granted before an election have ended.

        Parameters
        ----------
        epoch : int
            The epoch for which this entry was elected.
        predecessor : int
            The epoch of the leader before it, 0 if there was none.

        Returns
        -------
        float
            Time on ``clock.now``.
        """
        now = clock.now()
        with self._lock:
            bound = self._bound(predecessor, now)
            self._own_epoch, self._own_bound = epoch, bound
        decisions.record(
            "succession.bound",
            epoch=epoch,
            predecessor=predecessor,
            left_s=round(bound - now, 3),
        )
        return bound

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
        yielded_until = self._yielded_at + grants.elapsed_at_most(grants.YIELD_S)
        return max(found.inherited_until, max(now, yielded_until) + lease_s)
