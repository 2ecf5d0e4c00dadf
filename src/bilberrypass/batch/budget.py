"""The limit on evictions per hour."""

import collections
import threading
import time
import typing as t

_WINDOW_S: t.Final = 3_600.0


@t.final
class EvictionBudget:
    """Limits the number of evictions in any period of one hour.

    Parameters
    ----------
    limit : callable
        Returns the number of evictions allowed per hour, or None for no limit.
        Called on each request, so that configuration changes apply at once.
    """

    def __init__(self, limit: t.Callable[[], int | None]) -> None:
        self._limit = limit
        self._lock = threading.Lock()
        self._evicted_at: collections.deque[float] = collections.deque()

    def try_spend(self, count: int) -> bool:
        """Spend ``count`` evictions or none; return whether the limit allowed them."""
        now = time.monotonic()
        limit = self._limit()
        with self._lock:
            while self._evicted_at and self._evicted_at[0] < now - _WINDOW_S:
                self._evicted_at.popleft()
            if limit is not None and len(self._evicted_at) + count > limit:
                return False
            self._evicted_at.extend([now] * count)
        return True
