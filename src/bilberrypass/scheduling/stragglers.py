"""Detects stalled runs and slow hosts, where a restart elsewhere ends sooner."""

import collections.abc as abc
import math
import typing as t

_MIN_STALL_S: t.Final = 1.6  # three reports without progress
# Share of the estimate; progress is reported in whole percents.
_MIN_STALL_SHARE: t.Final = 0.1
_MIN_SAMPLE_GAP_S: t.Final = 0.4
_MIN_SAMPLES: t.Final = 16  # of several tasks, each sampled twice a second
_MIN_SAMPLE_WEIGHT: t.Final = 0.05  # averages about 20 samples, of about six tasks
_MIN_RATE: t.Final = 0.05  # progress relative to the estimate
_SLOW_BY_LOG: t.Final = 1.1  # logarithm of the rate: three times slower
_FULL_PERCENT: t.Final = 100
_MIN_TELLING_PERCENT: t.Final = 8


class Progress:
    """The progress of one run.

    Detects hosts that hang or become slow while their reports look healthy: only the
    progress of the work shows it. ``worked_s`` is the time since the first report, in
    seconds at full pace, and ``first_percent`` the progress that it showed: a run that
    resumes from a checkpoint does not begin at 0.
    """

    __slots__ = (
        "_observed_at",
        "_pace",
        "advanced_at",
        "first_percent",
        "percent",
        "started_at",
        "worked_s",
    )

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Reset the record of an earlier run."""
        self.started_at = self.advanced_at = self._observed_at = 0.0
        self.percent = self.first_percent = 0
        self.worked_s = 0.0
        self._pace = _FULL_PERCENT

    def observe(self, percent: int, pace: int, now: float) -> None:
        """Update with a run's progress and its pace, both in percent."""
        if self.started_at:
            self.worked_s = self.worked_until(now)
        else:
            self.first_percent = percent
        self._observed_at, self._pace = now, pace
        if not self.started_at:
            self.started_at = self.advanced_at = now
        if percent != self.percent or pace < _FULL_PERCENT:
            self.percent, self.advanced_at = percent, now

    def worked_until(self, now: float) -> float:
        """Return the seconds at full pace from the first report to ``now``."""
        if not self.started_at:
            return 0.0
        since_s = max(0.0, now - self._observed_at)
        return self.worked_s + since_s * self._pace / _FULL_PERCENT

    def full_s(self) -> float | None:
        """Return the seconds that the whole task takes at full pace.

        None until the run has done enough to tell: progress is in whole percents.
        """
        done = self.percent - self.first_percent
        if done < _MIN_TELLING_PERCENT or not self.worked_s:
            return None
        return self.worked_s * _FULL_PERCENT / done

    def is_stalled(self, estimate_s: float, now: float) -> bool:
        """Return whether a run at full pace has made no progress for too long."""
        allowed_s = max(_MIN_STALL_S, _MIN_STALL_SHARE * estimate_s)
        return bool(self.advanced_at) and now - self.advanced_at > allowed_s

    def remaining_s(self, now: float) -> float:
        """Return the time to the end in seconds, at the average speed so far."""
        elapsed_s = now - self.started_at
        return elapsed_s * (_FULL_PERCENT - self.percent) / max(1, self.percent)


class SpeedEstimate:
    """The speed of a host, from the progress of its tasks relative to their estimates.

    Estimates are wrong by half and more, so a single task does not show a slow host;
    all tasks of a host together do, compared with those of other hosts. ``level`` is
    the smoothed logarithm of the progress relative to the estimates.
    """

    __slots__ = ("_last_samples", "level", "samples")

    def __init__(self) -> None:
        self.level = 0.0
        self.samples = 0
        self._last_samples: dict[str, tuple[float, int]] = {}

    def observe(self, run: str, percent: int, estimate_s: float, now: float) -> None:
        """Update with the progress of a run at full pace, in percent."""
        at, before = self._last_samples.get(run, (0.0, 0))
        if not at or percent < before:
            self._last_samples[run] = now, percent
            return
        gap_s = now - at
        if gap_s < _MIN_SAMPLE_GAP_S or not estimate_s:
            return
        self._last_samples[run] = now, percent
        rate = max(_MIN_RATE, (percent - before) / _FULL_PERCENT * estimate_s / gap_s)
        self.samples += 1
        weight = max(_MIN_SAMPLE_WEIGHT, 1.0 / self.samples)
        self.level += weight * (math.log(rate) - self.level)

    def retain(self, runs: abc.Container[str]) -> None:
        """Drop the records of runs that are not in ``runs``."""
        for run in [run for run in self._last_samples if run not in runs]:
            del self._last_samples[run]

    def is_slow(self, usual: float) -> bool:
        """Return whether the host is far below the usual level of all hosts."""
        return self.samples >= _MIN_SAMPLES and self.level < usual - _SLOW_BY_LOG


def median_level(speeds: abc.Iterable[SpeedEstimate]) -> float:
    """Return the median level of hosts with enough samples, 0 if there are none."""
    levels = sorted(s.level for s in speeds if s.samples >= _MIN_SAMPLES)
    return levels[len(levels) // 2] if levels else 0.0
