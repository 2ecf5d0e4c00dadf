"""Records where faults are active, for rules that hold only without a fault nearby."""

import math
import threading
import time
import typing as t

CORE: t.Final = "core"  # the platform's store
ALL_HOSTS: t.Final = "all hosts"


@t.final
class Disturbances:
    """The faults of a seed, by the place that each of them disturbs.

    Graceful exits and evacuations of runners, changes of the configuration and
    cancellations are no disturbances.
    """

    def __init__(self) -> None:
        self._active: set[tuple[str, str]] = set()
        self._ended_at: dict[str, float] = {}
        self._lock = threading.Lock()

    def begin(self, place: str, fault: str) -> None:
        """Record the start of a fault at a place."""
        with self._lock:
            self._active.add((place, fault))

    def end(self, place: str, fault: str) -> None:
        """Record the end of a fault at a place."""
        with self._lock:
            self._active.discard((place, fault))
            self._ended_at[place] = time.monotonic()

    def end_all(self) -> None:
        """Record that all active faults have ended."""
        with self._lock:
            for place, _ in self._active:
                self._ended_at[place] = time.monotonic()
            self._active.clear()

    def calm_since(self, *places: str) -> float:
        """Return since when none of the places has been disturbed.

        Without places, all count. The result is in seconds of ``time.monotonic``, 0.0
        if there was no disturbance, and infinite during one.
        """
        counted = {*places, ALL_HOSTS} if places else None
        with self._lock:
            if any(counted is None or place in counted for place, _ in self._active):
                return math.inf
            ended = [
                at
                for place, at in self._ended_at.items()
                if counted is None or place in counted
            ]
        return max(ended, default=0.0)
