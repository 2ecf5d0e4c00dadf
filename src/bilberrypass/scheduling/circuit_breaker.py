"""Circuit breaker for store calls: fails them fast while the store is silent."""

import collections.abc as abc
import contextlib
import itertools
import threading
import typing as t

from bilberrypass import clock, errors
from bilberrypass.observing import decisions
from bilberrypass.scheduling import election, keyvalue

# above the 240 ms of a store that is 60 times slower than usual
_SLOW_CALL_THRESHOLD_S: t.Final = 0.35
# A response counts as recent for this time. In an outage that is younger than this, a
# write may therefore still be sent and lose its response.
_RESPONSE_MAX_AGE_S: t.Final = 0.25
_PROBE_TIMEOUT_S: t.Final = 0.5
MIN_WRITE_TIME_S: t.Final = 0.05  # for a write and its response; a store takes 4 ms
_FAILED_PROBE_RETRY_INTERVAL_S: t.Final = 0.25


@t.final
class CircuitBreaker:
    """Fails calls fast while the store accepts calls without responding.

    A write sent during such an outage may take effect later, so its caller would
    get an uncertain result, and only at its deadline. A read has no such effect:
    without a recent response of the store, one read is sent as a probe, and calls
    proceed only if the probe succeeds.

    Parameters
    ----------
    store : keyvalue.Store
        Probed with reads.
    """

    def __init__(self, store: keyvalue.Store) -> None:
        self._store = store
        self._call_ids = itertools.count()
        self._pending_calls: dict[int, float] = {}
        self._responded_at = 0.0
        self._probe_failed_at = 0.0
        self._probe_lock = threading.Lock()

    @contextlib.contextmanager
    def track_call(self) -> abc.Iterator[None]:
        """Record the duration and outcome of one store call, made in this context.

        Raises
        ------
        errors.Error
            The error of the call, unchanged.
        """
        id = next(self._call_ids)
        self._pending_calls[id] = clock.now()
        try:
            yield
        except errors.Error as exc:
            if exc.kind is errors.Kind.STORE_UNCERTAIN:
                self._responded_at = 0.0  # earlier responses no longer count as recent
            raise
        else:
            self._responded_at = clock.now()
        finally:
            del self._pending_calls[id]

    def _is_suspect(self) -> bool:
        if clock.now() - self._responded_at > _RESPONSE_MAX_AGE_S:
            return True
        sent_at = min(list(self._pending_calls.values()), default=clock.now())
        return clock.now() - sent_at > _SLOW_CALL_THRESHOLD_S

    def check_available(self, deadline: float) -> None:
        """Check that the store can be expected to respond before a deadline.

        Raises
        ------
        errors.Error
            STORE_DOWN if it cannot; nothing was written.
        """
        spare_s = deadline - MIN_WRITE_TIME_S - clock.now()
        if spare_s < 0:
            raise _store_down("too little time left for a store call")
        if not self._is_suspect():
            return
        if not self._probe_lock.acquire(timeout=spare_s):
            raise _store_down("the store did not respond to another caller's probe")
        try:
            self._probe(deadline)
        finally:
            self._probe_lock.release()

    def _probe(self, deadline: float) -> None:
        if clock.now() - self._probe_failed_at < _FAILED_PROBE_RETRY_INTERVAL_S:
            raise _store_down("the store did not respond to a recent probe")
        if not self._is_suspect():
            return
        try:
            self._store.get(election.KEY, min(deadline, clock.now() + _PROBE_TIMEOUT_S))
        except errors.Error as exc:
            self._probe_failed_at = clock.now()
            decisions.record("store.silent", why=str(exc))
            raise _store_down(f"the store did not respond to a probe: {exc}") from exc
        self._responded_at = clock.now()


def _store_down(why: str) -> errors.Error:
    return errors.Error(
        errors.Kind.STORE_DOWN, f"{why}; retry later", ran=errors.Ran.NO
    )
