"""When a caller that was refused in an outage of the store should return.

Answers the load of an outage of some seconds: each caller has few retries, and all
that were refused come back to a store that has just recovered. The waits grow with the
outage, so that a few retries outlast it, and callers return in the order in which they
came, a bounded number in each second.
"""

import collections
import math
import threading
import typing as t

# The wait grows with the root of the age: callers that were refused return the later
# after an outage the longer it was, by a falling share of it.
_ROOT_SHARE: t.Final = 0.85
# An entry whose last answer is older cannot tell a new outage from an older one.
_UNSEEN_OUTAGE_S: t.Final = 2.0
_MIN_S: t.Final = 1
_MAX_S: t.Final = 5
_RETURNS_PER_S: t.Final = 20


@t.final
class StoreHealth:
    """When the store last responded to this entry, and since when it fails."""

    def __init__(self) -> None:
        self._answered_at = -math.inf
        self._failing_since: float | None = None

    def record_answer(self, now: float) -> None:
        """Record a response of the store; it ends an outage."""
        self._answered_at = now
        self._failing_since = None

    def record_failure(self, now: float) -> None:
        """Record a call without a response; the first one begins an outage."""
        if self._failing_since is None:
            self._failing_since = now

    def outage_age_s(self, now: float) -> float:
        """Return how long the store has failed, 0 if it works.

        An outage began after the last response and before the first failure. The
        earlier of the two counts, by up to ``_UNSEEN_OUTAGE_S``.
        """
        since = self._failing_since
        if since is None:
            return 0.0
        return now - max(min(self._answered_at, since), since - _UNSEEN_OUTAGE_S)


@t.final
class ReturnSchedule:
    """Assigns each refused caller the whole seconds after which to return."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._returns: collections.deque[float] = collections.deque()

    def assign(self, now: float, outage_age_s: float, patience_s: float) -> int:
        """Return the seconds after which a caller should return.

        Parameters
        ----------
        now : float
            Current time in seconds.
        outage_age_s : float
            How long the store has failed; 0 if the refusal had another cause.
        patience_s : float
            How long the caller would have waited for the answer. It is not sent away
            for longer.

        Returns
        -------
        int
            At least 1. Callers return in the order of the calls, unless the patience
            of one forbids it.
        """
        longest_s = max(_MIN_S, min(_MAX_S, round(patience_s)))
        shortest_s = min(
            longest_s, max(_MIN_S, math.ceil(_ROOT_SHARE * math.sqrt(outage_age_s)))
        )
        with self._lock:
            while self._returns and self._returns[0] <= now:
                self._returns.popleft()
            wait_s = next(
                (
                    wait_s
                    for wait_s in range(shortest_s, longest_s + 1)
                    if self._has_room(now + wait_s)
                ),
                longest_s,
            )
            # Kept in order, also after a caller of less patience.
            last = self._returns[-1] if self._returns else now
            self._returns.append(max(last, now + wait_s))
        return wait_s

    def _has_room(self, at: float) -> bool:
        """Return whether one more caller may return at a time, after all others."""
        if self._returns and at < self._returns[-1]:
            return False
        if len(self._returns) < _RETURNS_PER_S:
            return True
        return self._returns[-_RETURNS_PER_S] <= at - 1.0
