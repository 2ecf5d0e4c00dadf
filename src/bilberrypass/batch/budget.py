"""The budget of evictions."""

import collections
import threading
import time
import typing as t

_WINDOW_S: t.Final = 3_600.0


@t.final
class Budget:
    """Counts the evictions of the last hour against a limit.

    Parameters
    ----------
    limit : callable
        Returns how many an hour may have now, or None for any number.
    """

    def __init__(self, limit: t.Callable[[], int | None]) -> None:
        self._limit = limit
        self._lock = threading.Lock()
        self._spent_at: collections.deque[float] = collections.deque()

    def spend(self, count: int) -> bool:
        """Take so many evictions out of the budget, or none; tell which."""
        now = time.monotonic()
        limit = self._limit()
        with self._lock:
            while self._spent_at and self._spent_at[0] < now - _WINDOW_S:
                self._spent_at.popleft()
            if limit is not None and len(self._spent_at) + count > limit:
                return False
            self._spent_at.extend([now] * count)
        return True
