"""How long a leader may grant leases, so that its successor knows when they end."""

import collections.abc as abc
import threading
import typing as t

from bilberrypass import clock
from bilberrypass.scheduling import messages

# Without the store, no lease lasts longer than this after the store's last response.
STORE_CONTACT_TIMEOUT_S: t.Final = 12.0
# A leader asks its standbys to yield after the store has missed two renewals.
CONTACT_OVERDUE_S: t.Final = 1.0
# How long a standby's consent holds: two of its requests, with a check of the store.
YIELD_S: t.Final = 2.0
# How long a leader asks for the consent of a standby that it no longer hears.
LISTED_S: t.Final = 20.0
_MIN_CLOCK_RATE: t.Final = 0.975  # of any process, against the time of the store
_MARGIN_S: t.Final = 0.1


def elapsed_at_most(duration_s: float) -> float:
    """Return the longest time in which another process's clock counts a duration."""
    return duration_s / _MIN_CLOCK_RATE + _MARGIN_S


def elapsed_at_least(duration_s: float) -> float:
    """Return the shortest time in which another process's clock counts a duration."""
    return duration_s * _MIN_CLOCK_RATE - _MARGIN_S


def unknown_grants_end(elected_at: float) -> float:
    """Return when leases of earlier leaders have ended of which nothing is known.

    Each of them had its last response of the store before the next one was elected.
    """
    return elected_at + elapsed_at_most(STORE_CONTACT_TIMEOUT_S)


class _Standby(t.NamedTuple):
    """Until when a standby is listed and has yielded, and when it was last answered."""

    listed_until: float
    yielded_until: float
    answered_at: float


@t.final
class Grants:
    """The leases that one leader may grant.

    A lease ends no later than a full one that was granted at the store's last response:
    no successor was elected before that. Only while each standby says that it has lost
    the store too, and so cannot take over, leases last longer.

    Parameters
    ----------
    epoch : int
        Revision of the election key.
    lease_s : float
        Duration of a full lease, in seconds.
    last_contact_at : callable
        Returns the send time of the last lease grant or renewal, on ``clock.now``.
    names : collection of str, optional
        Entries whose consent is needed from the election on, as the stored roster
        says; each counts as listed at first.
    own : str, optional
        The entry of this leader, which needs no consent of its own.
    """

    def __init__(
        self,
        epoch: int,
        lease_s: float,
        last_contact_at: abc.Callable[[], float],
        names: abc.Collection[str] = (),
        own: str = "",
    ) -> None:
        self._epoch = epoch
        self._lease_s = lease_s
        self._last_contact_at = last_contact_at
        self._own = own
        self._required = frozenset(names) - {own}
        until = clock.now() + LISTED_S
        self._standbys = {name: _Standby(until, 0.0, 0.0) for name in self._required}
        self._lock = threading.Lock()

    def lease_s(self, now: float) -> float:
        """Return the duration of a lease granted at a time on ``clock.now``."""
        is_extended = self._can_extend(now)
        allowed_s = STORE_CONTACT_TIMEOUT_S if is_extended else self._lease_s
        left_s = self._last_contact_at() + allowed_s - now
        return max(0.0, min(self._lease_s, left_s))

    def _can_extend(self, now: float) -> bool:
        """Return whether no standby can have been elected by now."""
        with self._lock:
            asked = set(self._required)
            asked.update(n for n, s in self._standbys.items() if now <= s.listed_until)
            return all(
                name in self._standbys and now <= self._standbys[name].yielded_until
                for name in asked
            )

    def listed(self, now: float) -> set[str]:
        """Return the names of the standbys that were heard of lately."""
        with self._lock:
            return {n for n, s in self._standbys.items() if now <= s.listed_until}

    def require(self, names: abc.Collection[str]) -> None:
        """Extend leases only with the consent of these entries, listed or not."""
        with self._lock:
            self._required = frozenset(names) - {self._own}

    def respond(
        self, req: messages.StandbyRequest, unknown_grants_end: float
    ) -> messages.StandbyResponse:
        """List a standby, and take its consent if it yields.

        Its consent counts from the response that the request answers, so that a late
        request extends nothing. A departure counts if it answers the latest response:
        that of an earlier process of the entry may be late.
        """
        now = clock.now()
        with self._lock:
            known = self._standbys.get(req.name, _Standby(0.0, 0.0, 0.0))
            until = known.yielded_until
            if req.yields and req.epoch == self._epoch and req.heard_at:
                until = max(until, req.heard_at + YIELD_S)
            listed = {n: s for n, s in self._standbys.items() if now <= s.listed_until}
            if not req.is_leaving:
                listed[req.name] = _Standby(now + LISTED_S, until, now)
            elif req.heard_at >= known.answered_at:
                listed.pop(req.name, None)
            self._standbys = listed
        return messages.StandbyResponse(
            self._epoch,
            now,
            now - self._last_contact_at() > CONTACT_OVERDUE_S,
            max(0.0, unknown_grants_end - now),
        )
