"""Which forwarded requests began at an agent, and which never will."""

import enum
import threading
import time
import typing as t

from bilberrypass import errors

_OLDEST_CLOCK_S: t.Final = 10.0
_KEPT_S: t.Final = 30.0
_MAX_REVOKED: t.Final = 20_000


class _State(enum.Enum):
    """Where an open request stands."""

    WAITING = enum.auto()
    BEGUN = enum.auto()
    REVOKED = enum.auto()


@t.final
class Attempts:
    """The forwarded requests of an agent, by id.

    A request begins when its first byte may reach the endpoint. One that has not
    begun can be revoked, and then never begins. Both sides quote the agent's
    clock as of the report that led to the request: what is quoted later than the
    records reach back is refused, so that the records can be bounded.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._open: dict[str, _State] = {}
        self._ended: dict[str, float] = {}
        self._revoked: dict[str, float] = {}

    def enter(self, request: str, clock: float) -> None:
        """Take a request in, which waits until it begins.

        Raises
        ------
        errors.Refused
            STALE if it was revoked, or was so long on the way that it may have been.
        """
        with self._lock:
            if time.monotonic() > clock + _OLDEST_CLOCK_S:
                raise errors.Refused(
                    errors.Kind.STALE, "the request was too long on the way; send anew"
                )
            if request in self._revoked:
                raise _given_up()
            self._open[request] = _State.WAITING

    def begin(self, request: str) -> None:
        """Note that a request reaches the endpoint from now on.

        Raises
        ------
        errors.Refused
            STALE if it was revoked while it waited.
        """
        with self._lock:
            if self._open[request] is _State.REVOKED:
                raise _given_up()
            self._open[request] = _State.BEGUN

    def end(self, request: str) -> None:
        """Note that a request, begun or not, has ended here."""
        now = time.monotonic()
        with self._lock:
            if self._open.pop(request) is _State.BEGUN:
                self._ended[request] = now + _KEPT_S
            _drop_old(self._ended, now)

    def revoke(self, request: str, clock: float) -> bool:
        """Keep a request from ever beginning.

        Returns
        -------
        bool
            True if it never began, and now never will.
        """
        with self._lock:
            now = time.monotonic()
            state = self._open.get(request)
            if now > clock + _KEPT_S or request in self._ended:
                return False
            if state is _State.BEGUN:
                return False
            if state is not None:
                self._open[request] = _State.REVOKED
                return True
            _drop_old(self._revoked, now)
            if len(self._revoked) >= _MAX_REVOKED:
                return False
            self._revoked[request] = now + _KEPT_S
            return True


def _given_up() -> errors.Refused:
    return errors.Refused(
        errors.Kind.STALE, "the entry gave the request up before it began"
    )


def _drop_old(deadlines: dict[str, float], now: float) -> None:
    """Drop the entries past their deadlines; the oldest were put in first."""
    while deadlines:
        oldest = next(iter(deadlines))
        if deadlines[oldest] > now:
            return
        del deadlines[oldest]
