"""Which runs stand still or crawl, so that a start elsewhere ends sooner."""

import collections.abc as abc
import math
import typing as t

_STALL_S: t.Final = 1.6  # three reports without progress
_STALL_SHARE: t.Final = 0.1  # of the estimate; progress comes in whole percents
_SAMPLE_S: t.Final = 0.4
_MIN_SAMPLES: t.Final = 16  # several tasks, each twice a second
_SMOOTHING: t.Final = 0.05  # some 20 samples, of six tasks or so
_MIN_RATE: t.Final = 0.05
_SLOW_BY: t.Final = 1.1  # three times slower
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

    def is_stalled(self, estimate_s: float, now: float) -> bool:
        """Tell whether a run at full speed stands still."""
        allowed_s = max(_STALL_S, _STALL_SHARE * estimate_s)
        return bool(self.moved_at) and now - self.moved_at > allowed_s

    def left_s(self, now: float) -> float:
        """Return the time to the end at the speed so far."""
        elapsed_s = now - self.started_at
        return elapsed_s * (_FULL - self.percent) / max(1, self.percent)


class Speed:
    """How fast a host works, by what its tasks do against their estimates.

    Estimates are off by half and more, so no task alone shows a slow host; the
    tasks of one host together do, against those of the others. ``level`` is the
    smoothed logarithm of progress against the estimates.
    """

    __slots__ = ("_seen", "level", "samples")

    def __init__(self) -> None:
        self.level = 0.0
        self.samples = 0
        self._seen: dict[str, tuple[float, int]] = {}

    def observe(self, run: str, percent: int, estimate_s: float, now: float) -> None:
        """Take in the progress of a run at full speed."""
        at, before = self._seen.get(run, (0.0, 0))
        if not at or percent < before:
            self._seen[run] = now, percent
            return
        gap_s = now - at
        if gap_s < _SAMPLE_S or not estimate_s:
            return
        self._seen[run] = now, percent
        rate = max(_MIN_RATE, (percent - before) / _FULL * estimate_s / gap_s)
        self.samples += 1
        share = max(_SMOOTHING, 1.0 / self.samples)
        self.level += share * (math.log(rate) - self.level)

    def keep(self, runs: abc.Container[str]) -> None:
        """Forget runs that are gone."""
        for run in [run for run in self._seen if run not in runs]:
            del self._seen[run]

    def is_slow(self, usual: float) -> bool:
        """Tell whether the host is far slower than is usual among all hosts."""
        return self.samples >= _MIN_SAMPLES and self.level < usual - _SLOW_BY


def usual_level(speeds: abc.Iterable[Speed]) -> float:
    """Return the median level of the hosts that have samples."""
    levels = sorted(s.level for s in speeds if s.samples >= _MIN_SAMPLES)
    return levels[len(levels) // 2] if levels else 0.0
