"""An entry's limits: fair shares between services, and the retry budget."""

import collections
import collections.abc as abc
import contextlib
import threading
import typing as t

from bilberrypass import errors

_OPEN_SHARE: t.Final = 0.75
_LARGEST_BUDGET: t.Final = 10.0


@t.final
class Shares:
    """Requests in progress, shared fairly between services.

    Up to three quarters of the limit are there for whoever comes first. Of the
    rest a service takes only what leaves an equal part to one service more, so
    that a storm on one leaves room for the others.

    Parameters
    ----------
    limit : int
        Requests in progress at once.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._lock = threading.Lock()
        self._counts: collections.Counter[str] = collections.Counter()

    @contextlib.contextmanager
    def hold(self, service: str) -> abc.Iterator[None]:
        """Hold a place for one request.

        Raises
        ------
        errors.Refused
            OVERLOADED if the service has its share.
        """
        self._take(service)
        try:
            yield
        finally:
            self._give_back(service)

    def _take(self, service: str) -> None:
        with self._lock:
            total = self._counts.total()
            active = len(self._counts.keys() | {service})
            fair = self._limit / (active + 1)
            is_open = total < _OPEN_SHARE * self._limit
            is_fair = total < self._limit and self._counts[service] < fair
            if is_open or is_fair:
                self._counts[service] += 1
                return
            self._drop_if_none(service)
        raise errors.Refused(
            errors.Kind.OVERLOADED,
            f"{total} requests are in progress here and {service} has its share; "
            "come back later",
        )

    def _give_back(self, service: str) -> None:
        with self._lock:
            self._counts[service] -= 1
            self._drop_if_none(service)

    def _drop_if_none(self, service: str) -> None:
        if not self._counts[service]:
            del self._counts[service]


@t.final
class RetryBudget:
    """Retries, as a share of first attempts.

    Parameters
    ----------
    share : callable
        Returns how many retries each first attempt earns.
    """

    def __init__(self, share: abc.Callable[[], float]) -> None:
        self._share = share
        self._lock = threading.Lock()
        self._left = _LARGEST_BUDGET

    def earn(self) -> None:
        """Note a first attempt."""
        with self._lock:
            self._left = min(_LARGEST_BUDGET, self._left + self._share())

    def spend(self) -> bool:
        """Take one retry; False if none is left."""
        with self._lock:
            if self._left < 1.0:
                return False
            self._left -= 1.0
            return True
