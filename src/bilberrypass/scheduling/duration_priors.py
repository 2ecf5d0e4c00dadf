"""How long tasks of a queue take, by the estimates that their submitters gave."""

import math
import statistics
import typing as t

_PRIOR_STEPS: t.Final = 6.0  # weight of trust in the estimates, in steps
_PRIOR_VARIANCE: t.Final = 0.25  # of logarithms, between steps: wrong by half
_PRIOR_LONGEST: t.Final = 0.0  # the longest of a step's tasks to their median
_MEMORY_STEPS: t.Final = 200.0  # older steps fade


class Prior(t.NamedTuple):
    """What is expected of a task before any task of its step has run.

    ``log_s`` is the expected logarithm of its seconds, ``variance`` that of its error.
    """

    log_s: float
    variance: float


@t.final
class DurationPrior:
    """The usual duration of a queue's tasks for each estimate.

    A regression of the logarithm of the true duration on that of the estimate: rough
    estimates err upwards where they are long, and downwards where they are short, and
    those of a queue may all err the same way. Until steps have ended, the estimates
    are taken as they are. Handles loads of many jobs, whose order by estimates alone
    would be far from that by their work. Older steps fade, so memory is constant.
    """

    __slots__ = ("_error", "_longest", "_steps", "_sxx", "_sxy", "_x", "_y")

    def __init__(self) -> None:
        self._steps = 0.0
        self._x = self._y = 0.0
        self._sxx = self._sxy = self._error = 0.0
        self._longest = 0.0

    def observe(self, estimate_s: float, log_ends: list[float]) -> None:
        """Count a step that is done, by the logarithms of its tasks' seconds."""
        if not estimate_s or not log_ends:
            return
        x, y = math.log(estimate_s), statistics.median(log_ends)
        if self._steps:
            expected = self.expect(estimate_s).log_s
            self._error += (y - expected) ** 2
        else:
            self._error += (y - x) ** 2
        keep = 1.0 - 1.0 / _MEMORY_STEPS
        old = self._steps * keep
        self._steps = old + 1.0
        before_x, before_y = x - self._x, y - self._y
        self._x += before_x / self._steps
        self._y += before_y / self._steps
        self._sxx = self._sxx * keep + before_x * (x - self._x)
        self._sxy = self._sxy * keep + before_x * (y - self._y)
        self._error *= keep
        self._longest = self._longest * keep + max(log_ends) - y

    def expect(self, estimate_s: float) -> Prior:
        """Return what is expected of a task with an estimate above 0."""
        x = math.log(estimate_s)
        weight = _PRIOR_STEPS * _PRIOR_VARIANCE
        slope = min(1.0, max(0.0, (self._sxy + weight) / (self._sxx + weight)))
        steps = self._steps + _PRIOR_STEPS
        shift = (self._y - self._x) * self._steps / steps
        center = self._x if self._steps else x
        error = (self._error + _PRIOR_STEPS * _PRIOR_VARIANCE) / steps
        return Prior(center + shift + slope * (x - center), error)

    @property
    def ratio(self) -> float:
        """The usual ratio of true durations to their estimates."""
        return math.exp(
            (self._y - self._x) * self._steps / (self._steps + _PRIOR_STEPS)
        )

    @property
    def longest_ratio(self) -> float:
        """The usual ratio of a step's longest task to the median of its tasks."""
        total = self._longest + _PRIOR_STEPS * _PRIOR_LONGEST
        return math.exp(total / (self._steps + _PRIOR_STEPS))
