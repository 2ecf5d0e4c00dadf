"""The lease of a runner, as far as one session with it may renew it."""

import threading
import typing as t

from bilberrypass import clock

# The runner's clock may run slow by 2%; half a percent is added as a
# safety margin.
_MIN_CLOCK_RATE: t.Final = 0.975
_MS: t.Final = 1_000


@t.final
class RunnerLease:
    """A scheduler's grant, the runner's clock and the latest lease set from them.

    The methods are thread-safe: a reading of the runner's clock that is paired with
    the time of another one would let the lease outlast the grant.

    Parameters
    ----------
    end : float
        Latest end of a lease set by an earlier agent, on ``clock.now``.
    """

    def __init__(self, end: float) -> None:
        self._lock = threading.Lock()
        self._granted_until = 0.0
        self._resumed_at = 0.0
        self._end = end
        self._clock_ms = 0
        self._clock_at = 0.0
        self._is_unresponsive = False

    def grant(self, until: float, has_lapsed: bool = False) -> None:
        """Allow renewals up to this time on ``clock.now``.

        ``has_lapsed`` says that the agent's grant had expired before. The first grant
        of a session may also end such a gap, if the session began in it.
        """
        with self._lock:
            now = clock.now()
            if has_lapsed or 0.0 < self._granted_until < now:
                self._resumed_at = now
            self._granted_until = max(self._granted_until, until)

    def record_answer(self, clock_ms: int, at: float) -> None:
        """Record an answer of the runner and, unless it is 0, its clock in ms."""
        with self._lock:
            self._is_unresponsive = False
            if clock_ms:
                self._clock_ms, self._clock_at = clock_ms, at

    def record_failure(self) -> None:
        """Record that the runner has not answered; its lease is not extended then."""
        with self._lock:
            self._is_unresponsive = True

    def renew(self) -> int | None:
        """Return the end of the next lease in ms on the runner's clock.

        Returns None if the runner's clock is unknown or the grant has expired.
        The runner read its clock no later than its answer arrived, and the time
        left is reduced for a slow clock, so the lease never outlasts the grant.
        The lease of a runner that does not answer is not extended: an unanswered
        call may still renew it, and its runs would never be declared lost.
        """
        with self._lock:
            until = self._granted_until
            if self._is_unresponsive:
                until = min(until, self._end)
            if not self._clock_at or until <= clock.now():
                return None
            self._end = max(self._end, until)
            left_s = until - self._clock_at
            return self._clock_ms + int(left_s * _MIN_CLOCK_RATE * _MS)

    def lapse(self) -> bool:
        """Return whether the lease is over; if so, it takes a new grant to renew it.

        Another thread may have an answer of the runner before its runs are given up.
        """
        with self._lock:
            if clock.now() <= self._end:
                return False
            if self._clock_at:
                self._granted_until = min(self._granted_until, self._end)
            return True

    @property
    def resumed_at(self) -> float:
        """When the latest grant arrived that found the earlier one expired, or 0."""
        with self._lock:
            return self._resumed_at

    @property
    def end(self) -> float:
        """The latest end of a lease that was set so far, on ``clock.now``."""
        with self._lock:
            return self._end

    @property
    def latest_end(self) -> float:
        """The latest end of a lease that was set or may still be set."""
        with self._lock:
            return max(self._end, self._granted_until)
