"""Whether the store answers this process at the moment."""

import collections.abc as abc
import contextlib
import itertools
import threading
import typing as t

from bilberrypass import clock, errors
from bilberrypass.observing import decisions
from bilberrypass.scheduling import election, keyvalue

# Beyond the 240 ms that a store takes which is 60 times slower than usual.
_SUSPECT_AFTER_S: t.Final = 0.35
_FRESH_S: t.Final = 0.25  # an outage that is younger may still cost a lost answer
_ASK_S: t.Final = 0.5
LEAST_S: t.Final = 0.05  # for a write and its answer; a store takes 4 ms
_ASK_INTERVAL_S: t.Final = 0.25


@t.final
class Reach:
    """Refuses writes at once while the store is silent.

    Answers outages in which the store takes calls and never answers. A write that
    is sent then may take effect later, so its caller can only be told that nothing
    is known, after all of its time. A read is harmless: without a fresh answer of
    the store, one read is sent ahead, and writes follow only if it is answered.

    Parameters
    ----------
    store : keyvalue.Store
        Asked with reads.
    """

    def __init__(self, store: keyvalue.Store) -> None:
        self._store = store
        self._numbers = itertools.count()
        self._pending: dict[int, float] = {}
        self._answered_at = 0.0
        self._unanswered_at = 0.0
        self._lock = threading.Lock()

    @contextlib.contextmanager
    def call(self) -> abc.Iterator[None]:
        """Follow one call to the store.

        Raises
        ------
        errors.Error
            What the call raises.
        """
        number = next(self._numbers)
        self._pending[number] = clock.now()
        try:
            yield
        except errors.Error as exc:
            if exc.kind is errors.Kind.STORE_UNCERTAIN:
                self._answered_at = 0.0  # whatever came before it is not fresh
            raise
        else:
            self._answered_at = clock.now()
        finally:
            del self._pending[number]

    def _is_suspect(self) -> bool:
        if clock.now() - self._answered_at > _FRESH_S:
            return True
        sent_at = min(list(self._pending.values()), default=clock.now())
        return clock.now() - sent_at > _SUSPECT_AFTER_S

    def require(self, deadline: float) -> None:
        """Make sure that a write can be answered by a deadline.

        Raises
        ------
        errors.Error
            STORE_DOWN; nothing was written.
        """
        spare_s = deadline - LEAST_S - clock.now()
        if spare_s < 0:
            raise _refusal("too little time is left to store anything")
        if not self._is_suspect():
            return
        if not self._lock.acquire(timeout=spare_s):
            raise _refusal("the store is silent so far")
        try:
            self._ask(deadline)
        finally:
            self._lock.release()

    def _ask(self, deadline: float) -> None:
        if clock.now() - self._unanswered_at < _ASK_INTERVAL_S:
            raise _refusal("the store did not answer a moment ago")
        if not self._is_suspect():
            return
        try:
            self._store.get(election.KEY, min(deadline, clock.now() + _ASK_S))
        except errors.Error as exc:
            self._unanswered_at = clock.now()
            decisions.record("store.silent", why=str(exc))
            raise _refusal(f"the store is silent: {exc}") from exc
        self._answered_at = clock.now()


def _refusal(why: str) -> errors.Error:
    return errors.Error(errors.Kind.STORE_DOWN, f"{why}; come back", ran=errors.Ran.NO)
