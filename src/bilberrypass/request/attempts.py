"""Tracking of the requests forwarded to an agent, which can be revoked."""

import enum
import threading
import time
import typing as t

from bilberrypass import errors

_MAX_CLOCK_AGE_S: t.Final = 10.0
_RETENTION_S: t.Final = 30.0
_MAX_REVOKED: t.Final = 20_000


class _State(enum.Enum):
    """State of a request that has not ended."""

    WAITING = enum.auto()
    BEGUN = enum.auto()
    REVOKED = enum.auto()


@t.final
class AttemptTracker:
    """The requests forwarded to an agent, by id.

    A request begins when its first byte may reach the endpoint. A request that has
    not begun can be revoked, and then never begins. Requests and revocations quote
    the agent's clock as of the report that led to the request. One whose quoted
    clock is older than the records is refused, so that the records stay bounded.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._open: dict[str, _State] = {}
        self._ended: dict[str, float] = {}
        self._revoked: dict[str, float] = {}

    def register(self, request: str, clock: float) -> None:
        """Register a request, which waits until it begins.

        Raises
        ------
        errors.Refused
            STALE if the request was revoked, or was in transit for so long that it
            may have been.
        """
        with self._lock:
            if time.monotonic() > clock + _MAX_CLOCK_AGE_S:
                raise errors.Refused(
                    errors.Kind.STALE,
                    "the request was in transit for too long; send it again",
                )
            if request in self._revoked:
                raise _revoked_error()
            self._open[request] = _State.WAITING

    def mark_begun(self, request: str) -> None:
        """Record that a request may reach the endpoint from now on.

        Raises
        ------
        errors.Refused
            STALE if the request was revoked while it waited.
        """
        with self._lock:
            if self._open[request] is _State.REVOKED:
                raise _revoked_error()
            self._open[request] = _State.BEGUN

    def mark_ended(self, request: str) -> None:
        """Record that a request has ended at this agent, whether it began or not."""
        now = time.monotonic()
        with self._lock:
            if self._open.pop(request) is _State.BEGUN:
                self._ended[request] = now + _RETENTION_S
            _drop_expired(self._ended, now)

    def revoke(self, request: str, clock: float) -> bool:
        """Revoke a request unless it has begun.

        Returns
        -------
        bool
            True if the request never began, and now never will.
        """
        with self._lock:
            now = time.monotonic()
            state = self._open.get(request)
            if now > clock + _RETENTION_S or request in self._ended:
                return False
            if state is _State.BEGUN:
                return False
            if state is not None:
                self._open[request] = _State.REVOKED
                return True
            _drop_expired(self._revoked, now)
            if len(self._revoked) >= _MAX_REVOKED:
                return False
            self._revoked[request] = now + _RETENTION_S
            return True


def _revoked_error() -> errors.Refused:
    return errors.Refused(
        errors.Kind.STALE, "the entry revoked the request before it began"
    )


def _drop_expired(deadlines: dict[str, float], now: float) -> None:
    """Drop the entries past their deadlines; they are in order of deadline."""
    while deadlines:
        oldest = next(iter(deadlines))
        if deadlines[oldest] > now:
            return
        del deadlines[oldest]
