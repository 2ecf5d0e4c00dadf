"""Stops requests that break off one endpoint after another, by their keys."""

import collections
import threading
import time
import typing as t

import logbook

from bilberrypass import errors
from bilberrypass.connection import messages

_log = logbook.Logger("request_breaker")

_MAX_BREAKS: t.Final = 3
_INITIAL_PAUSE_S: t.Final = 10.0
_MAX_PAUSE_S: t.Final = 600.0
_MAX_DOUBLINGS: t.Final = 6  # reach the maximum
_MAX_RECORDS: t.Final = 10_000
_KEY_HEADER: t.Final = "idempotency-key"

RequestId = tuple[str, str]


class _Record(t.NamedTuple):
    """How often endpoints broke off, and until when the request is not offered.

    ``blocked_until`` is a monotonic time.
    """

    breaks: int = 0
    blocked_until: float = 0.0


@t.final
class RequestBreaker:
    """Circuit breaker for keyed requests, which callers send again; thread-safe.

    Handles a request that takes down each endpoint that runs it: every retry of its
    caller would take down some more. Requests without a key are not told apart, since
    different callers send equal ones.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._records: collections.OrderedDict[RequestId, _Record] = (
            collections.OrderedDict()
        )

    def check(self, id: RequestId | None) -> None:
        """Raise if a request is not to be offered to an endpoint now.

        Raises
        ------
        errors.Error
            TOO_MANY_ATTEMPTS, with the time after which one more attempt is made.
        """
        with self._lock:
            record = self._records.get(id, _Record()) if id else _Record()
        left_s = record.blocked_until - time.monotonic()
        if left_s > 0:
            raise errors.Error(
                errors.Kind.TOO_MANY_ATTEMPTS,
                f"{record.breaks} endpoints broke off while they ran the request with "
                "this key; check the request before it is sent again",
                ran=errors.Ran.UNKNOWN,
                retry_after_s=left_s,
            )

    def record_break(self, id: RequestId | None) -> None:
        """Record that an endpoint broke off; pause the request after several."""
        if id is None:
            return
        with self._lock:
            known = self._records.pop(id, _Record())
            record = known._replace(breaks=known.breaks + 1)
            if record.breaks >= _MAX_BREAKS:
                pause_s = _pause_s(record.breaks)
                record = record._replace(blocked_until=time.monotonic() + pause_s)
                _log.warning(
                    "request_breaker: one of {} is paused for {} s: {} endpoints broke "
                    "off under it",
                    id[0],
                    pause_s,
                    record.breaks,
                )
            self._records[id] = record
            if len(self._records) > _MAX_RECORDS:
                self._records.popitem(last=False)

    def record_answer(self, id: RequestId | None) -> None:
        """Forget the breaks of a request that was answered."""
        if id is not None:
            with self._lock:
                self._records.pop(id, None)


def _pause_s(breaks: int) -> float:
    """Return the length of the pause after so many breaks; it doubles with each."""
    doublings = min(breaks - _MAX_BREAKS, _MAX_DOUBLINGS)
    return min(_INITIAL_PAUSE_S * 2**doublings, _MAX_PAUSE_S)


def identify(req: messages.ForwardRequest) -> RequestId | None:
    """Return what a request shares with its retries, or None if it has no key."""
    key = dict(req.headers).get(_KEY_HEADER)
    return (req.service, key) if key else None
