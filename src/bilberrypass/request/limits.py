"""Limits of an entry: fair shares of requests per service, and the retry budget."""

import collections
import collections.abc as abc
import contextlib
import threading
import typing as t

from bilberrypass import errors

_UNRESERVED_SHARE: t.Final = 0.75
_MAX_RETRY_TOKENS: t.Final = 10.0


@t.final
class FairShareLimiter:
    """Limiter of concurrent requests that is fair between services.

    Three quarters of the limit are granted in order of arrival. The rest goes only
    to services below their fair share, which is the limit divided by the number of
    active services plus one, so that a burst of requests to one service leaves room
    for the others.

    Parameters
    ----------
    limit : int
        Maximum number of requests in progress.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._lock = threading.Lock()
        self._counts: collections.Counter[str] = collections.Counter()

    @contextlib.contextmanager
    def admit(self, service: str) -> abc.Iterator[None]:
        """Hold one request slot of a service while the context is active.

        Raises
        ------
        errors.Refused
            OVERLOADED if the service has reached its fair share.
        """
        self._acquire(service)
        try:
            yield
        finally:
            self._release(service)

    def _acquire(self, service: str) -> None:
        with self._lock:
            total = self._counts.total()
            active = len(self._counts.keys() | {service})
            fair_share = self._limit / (active + 1)
            is_unreserved = total < _UNRESERVED_SHARE * self._limit
            is_below_share = total < self._limit and self._counts[service] < fair_share
            if is_unreserved or is_below_share:
                self._counts[service] += 1
                return
            self._drop_if_idle(service)
        raise errors.Refused(
            errors.Kind.OVERLOADED,
            f"{total} requests are in progress at this entry and {service} has its "
            "share; retry later",
        )

    def _release(self, service: str) -> None:
        with self._lock:
            self._counts[service] -= 1
            self._drop_if_idle(service)

    def _drop_if_idle(self, service: str) -> None:
        if not self._counts[service]:
            del self._counts[service]


@t.final
class RetryBudget:
    """Limiter of retries to a fraction of the first attempts.

    Parameters
    ----------
    share : callable
        Returns the number of retries that each first attempt adds.
    """

    def __init__(self, share: abc.Callable[[], float]) -> None:
        self._share = share
        self._lock = threading.Lock()
        self._tokens = _MAX_RETRY_TOKENS

    def record_first_attempt(self) -> None:
        """Add the share of one first attempt to the budget."""
        with self._lock:
            self._tokens = min(_MAX_RETRY_TOKENS, self._tokens + self._share())

    def try_acquire(self) -> bool:
        """Return whether a retry may be sent, and charge it to the budget."""
        with self._lock:
            if self._tokens < 1.0:
                return False
            self._tokens -= 1.0
            return True
