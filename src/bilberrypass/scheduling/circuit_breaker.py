"""Circuit breaker for store calls: fails them fast while the store does not respond."""

import collections.abc as abc
import contextlib
import itertools
import threading
import typing as t

import prometheus_client as prometheus

from bilberrypass import clock, errors
from bilberrypass.observing import decisions
from bilberrypass.scheduling import election, keyvalue, retry_advice

# above the 240 ms of a store that is 60 times slower than usual
_SLOW_CALL_THRESHOLD_S: t.Final = 0.35
# A response counts as recent for this time. In an outage that is younger than this, a
# write may therefore still be sent and lose its response.
_RESPONSE_MAX_AGE_S: t.Final = 0.05
_PROBE_TIMEOUT_S: t.Final = 0.4
# One lost answer is no outage.
_PROBES_BEFORE_OUTAGE: t.Final = 2
# In an outage: a store that works again answers a probe of another caller within it.
_PROBE_WAIT_S: t.Final = 0.05
MIN_WRITE_TIME_S: t.Final = 0.05  # for a write and its response; a store takes 4 ms
_FAILED_PROBE_RETRY_INTERVAL_S: t.Final = 0.25

_outages = prometheus.Counter(
    "bilberrypass_store_outages", "Times the store did not respond to an entry's probe"
)
_outage_seconds = prometheus.Histogram(
    "bilberrypass_store_outage_seconds", "Time from the last response to the next one"
)


@t.final
class CircuitBreaker:
    """Fails calls fast while the store accepts calls without responding.

    A write sent during such an outage may take effect later, so its caller would
    get an uncertain result, and only at its deadline. A read has no such effect:
    without a recent response of the store, one read is sent as a probe, and calls
    proceed only if the probe succeeds. Once a probe has failed, one caller at a time
    probes, and the others are refused without waiting for it.

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
        self._refused = 0
        self._is_outage = False
        self._health = retry_advice.StoreHealth()
        self._probe_lock = threading.Lock()
        self._state_lock = threading.Lock()

    @property
    def outage_age_s(self) -> float:
        """How long the store has failed as this process sees it, 0 if it works."""
        return self._health.outage_age_s(clock.now())

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
                self._health.record_failure(clock.now())
            raise
        else:
            self._record_answer()
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
        try:
            wait_s = _PROBES_BEFORE_OUTAGE * _PROBE_TIMEOUT_S
            if self._is_outage:
                self._check_probe_due()
                wait_s = _PROBE_WAIT_S
            if not self._probe_lock.acquire(timeout=min(spare_s, wait_s)):
                raise _store_down("the store did not respond to another caller's probe")
            try:
                self._probe(deadline)
            finally:
                self._probe_lock.release()
        except errors.Error:
            self._refused += 1
            raise

    def _check_probe_due(self) -> None:
        if clock.now() - self._probe_failed_at < _FAILED_PROBE_RETRY_INTERVAL_S:
            raise _store_down("the store did not respond to a recent probe")

    def _probe(self, deadline: float) -> None:
        self._check_probe_due()
        if not self._is_suspect():
            return
        # A write follows; and the refusal must reach an entry that asks for this one.
        deadline -= MIN_WRITE_TIME_S
        tries_left = 1 if self._is_outage else _PROBES_BEFORE_OUTAGE
        while True:
            tries_left -= 1
            until = clock.now() + _PROBE_TIMEOUT_S
            try:
                self._store.get(election.KEY, min(deadline, until))
            except errors.Error as exc:
                if until > deadline and clock.now() >= deadline:
                    # A store that is only slow would not have responded by then.
                    raise _store_down(f"too little time left: {exc}") from exc
                if tries_left and exc.kind is errors.Kind.STORE_UNCERTAIN:
                    continue
                self._record_failed_probe(exc)
                raise _store_down(
                    f"the store did not respond to a probe: {exc}"
                ) from exc
            self._record_answer()
            return

    def _record_failed_probe(self, exc: errors.Error) -> None:
        with self._state_lock:
            self._probe_failed_at = clock.now()
            self._health.record_failure(self._probe_failed_at)
            was_outage, self._is_outage = self._is_outage, True
        if not was_outage:
            _outages.inc()
            decisions.record("store.silent", why=str(exc))

    def _record_answer(self) -> None:
        with self._state_lock:
            now = clock.now()
            was_outage, self._is_outage = self._is_outage, False
            lost_s = self._health.outage_age_s(now)
            refused, self._refused = self._refused, 0
            self._health.record_answer(now)
            self._responded_at = now
        if was_outage:
            _outage_seconds.observe(lost_s)
            decisions.record("store.responds", lost_s=round(lost_s, 3), refused=refused)


def _store_down(why: str) -> errors.Error:
    return errors.Error(
        errors.Kind.STORE_DOWN, f"{why}; retry later", ran=errors.Ran.NO
    )
