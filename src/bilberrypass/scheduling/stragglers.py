"""Which runs stand still or crawl, so that a start elsewhere ends sooner."""

import typing as t

_STALL_S: t.Final = 1.6  # three reports without progress
_MIN_ELAPSED_S: t.Final = 1.2  # before a rate is worth anything
_SLOW_RATE: t.Final = 0.35  # of the estimate's; estimates are off by half
_GAIN: t.Final = 1.5  # a start elsewhere must end so much sooner
_RESTART_S: t.Final = 0.8  # a stop, a write and a start
_FULL: t.Final = 100


class Progress:
    """Follows one run's progress.

    Answers hosts that hang or turn slow while their reports are good: what shows
    it is the work alone.
    """

    __slots__ = ("moved_at", "percent", "started_at")

    def __init__(self) -> None:
        self.started_at = 0.0
        self.moved_at = 0.0
        self.percent = 0

    def begin(self) -> None:
        """Forget an earlier run."""
        self.started_at = self.moved_at = 0.0
        self.percent = 0

    def see(self, percent: int, speed: int, now: float) -> None:
        """Take in a run's progress and its allowed speed, both in percent."""
        if not self.started_at:
            self.started_at = self.moved_at = now
        if percent != self.percent or speed < _FULL:
            self.percent, self.moved_at = percent, now

    def is_stalled(self, now: float) -> bool:
        """Tell whether a run at full speed stands still."""
        return bool(self.moved_at) and now - self.moved_at > _STALL_S

    def is_crawling(self, estimate_s: float, now: float) -> bool:
        """Tell whether a start elsewhere would end sooner, by the estimate."""
        elapsed_s = now - self.started_at
        if not self.started_at or elapsed_s < _MIN_ELAPSED_S or not estimate_s:
            return False
        expected = _FULL * elapsed_s / estimate_s
        if self.percent >= _SLOW_RATE * expected:
            return False
        left_s = elapsed_s * (_FULL - self.percent) / max(1, self.percent)
        return left_s > _GAIN * (estimate_s + _RESTART_S)
