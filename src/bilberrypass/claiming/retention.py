"""The clock by which the claims of one shard expire."""

import time
import typing as t

from bilberrypass import clock


@t.final
class RetentionClock:
    """Seconds during which some entry has owned a shard.

    A claim must outlive a jump of any entry's time of day, or its request could run
    again. This clock is stored with each page and continued by the next owner. It
    stands still between owners, so claims may live longer than asked for, never
    shorter. It begins at the Unix time, by which pages without it expire.
    """

    def __init__(self) -> None:
        self._offset_s = time.time() - clock.now()

    def resume(self, stored_s: float) -> None:
        """Continue from the time that the last owner stored with its page."""
        self._offset_s = stored_s - clock.now()

    def now(self) -> float:
        """Return the seconds on this clock."""
        return clock.now() + self._offset_s
