"""Makes changes in the store on this entry's own path, or through another entry.

Answers an outage of the store, for all entries or for this one's host alone: a change
whose outcome is unknown is made again, on both paths in turn, until an answer settles
it or the caller's deadline comes.
"""

import collections.abc as abc
import time
import typing as t

import prometheus_client as prometheus

from bilberrypass import clock, errors
from bilberrypass.observing import decisions
from bilberrypass.scheduling import circuit_breaker

# of the time left to a caller; the rest is for a call of a peer, usually the leader
_LOCAL_ATTEMPT_SHARE: t.Final = 0.45
_PEER_FIRST_PERIOD_S: t.Final = 2.0  # after a failed change
_PEER_TIMEOUT_S: t.Final = 1.0
_MIN_SETTLING_S: t.Final = 0.9  # for a probe and a write of a slow store
_SETTLING_INTERVAL_S: t.Final = 0.1
_LOGGED_FAILURES: t.Final = 2

_settled = prometheus.Counter(
    "bilberrypass_changes_settled",
    "Changes with an attempt of unknown outcome, by how they ended",
    ["outcome"],
)

T = t.TypeVar("T")
Attempt = abc.Callable[[float], T]


@t.final
class ChangePaths:
    """The two paths to the store, and which one to use first.

    Parameters
    ----------
    now, sleep : callable
        The clock of the deadlines, and how to wait on it.
    """

    def __init__(
        self,
        now: abc.Callable[[], float] = clock.now,
        sleep: abc.Callable[[float], None] = time.sleep,
    ) -> None:
        self._now = now
        self._sleep = sleep
        self._peer_first_until = 0.0

    def change(
        self, locally: Attempt[T], remotely: Attempt[T], deadline: float, helper: str
    ) -> T:
        """Make an idempotent change; a repetition of it changes nothing.

        Parameters
        ----------
        locally, remotely : callable
            Makes the change on this entry's path, or through the peer, until a time.
        deadline : float
            The caller's deadline.
        helper : str
            The peer's address, for the log.

        Raises
        ------
        errors.Error
            The failure of an attempt whose effect is unknown, at the deadline.
            STORE_DOWN if no attempt had an effect, once both paths have failed.
        """
        is_peer_next = self._now() < self._peer_first_until
        failures: list[errors.Error] = []
        unknown: errors.Error | None = None
        while True:
            until = self._attempt_deadline(deadline, is_peer_next, bool(failures))
            try:
                value = remotely(until) if is_peer_next else locally(until)
            except errors.Error as exc:
                failures.append(exc)
            else:
                if unknown is not None:
                    _settled.labels("stored").inc()
                return value
            self._peer_first_until = (
                0.0 if is_peer_next else self._now() + _PEER_FIRST_PERIOD_S
            )
            if len(failures) <= _LOGGED_FAILURES:
                decisions.record("change.failed", helper=helper, why=str(failures[-1]))
            if not _has_no_effect(failures[-1]):
                unknown = failures[-1]
            if len(failures) % 2 == 0:
                if unknown is None:
                    break
                left_s = deadline - self._now()
                self._sleep(max(0.0, min(_SETTLING_INTERVAL_S, left_s)))
            if deadline - self._now() < circuit_breaker.MIN_WRITE_TIME_S:
                break
            is_peer_next = not is_peer_next
        if unknown is not None:
            _settled.labels("unknown").inc()
            raise unknown
        raise errors.Error(
            errors.Kind.STORE_DOWN,
            "; ".join(failure.detail for failure in failures),
            ran=errors.Ran.NO,
        )

    def _attempt_deadline(
        self, deadline: float, is_peer: bool, is_repeated: bool
    ) -> float:
        now = self._now()
        if is_peer:
            return min(deadline, now + _PEER_TIMEOUT_S)
        share_s = (deadline - now) * _LOCAL_ATTEMPT_SHARE
        if is_repeated:
            share_s = max(share_s, _MIN_SETTLING_S)
        return min(deadline, now + share_s)


def _has_no_effect(exc: errors.Error) -> bool:
    """Return whether a failed change certainly had no effect."""
    if exc.kind is errors.Kind.STORE_UNCERTAIN:
        return False
    return exc.kind is errors.Kind.STORE_DOWN or exc.ran is errors.Ran.NO
