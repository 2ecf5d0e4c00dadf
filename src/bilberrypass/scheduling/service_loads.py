"""Forecasts the load that the tasks of a service share, without effects of fillers."""

import collections
import collections.abc as abc
import math
import typing as t

from bilberrypass.scheduling import jobs, messages

FORECAST_STEP_S: t.Final = 0.5
FORECAST_STEPS: t.Final = 8  # four seconds, longer than most fillers run
_HISTORY_STEPS: t.Final = 64
_FIGURES_WITHIN_S: t.Final = 0.7  # each host reports twice a second
_MAX_FIGURES: t.Final = 64  # of steps with many tasks, the newest
_FIGURE_SD: t.Final = 0.2
_EFFECT_SD_SHARE: t.Final = 0.5  # of the effect of fillers
_QUANTILE: t.Final = 0.6  # fillers of which no figure tells lower the others
_MIN_BEST: t.Final = 3  # figures
_BEST_SHARE: t.Final = 4  # a quarter of the figures
_SLOPE_STEPS: t.Final = 3
_REFIT_S: t.Final = 2.0
_SEARCH_S: t.Final = 4.0  # tries all periods
_MIN_VARIANCE: t.Final = 0.04  # a load that swings less is as good as constant
_MIN_FIT_STEPS: t.Final = 16
_MIN_PERIOD_S: t.Final = 6.0
_MAX_PERIOD_S: t.Final = 40.0
_PERIOD_FACTOR: t.Final = 1.05
_MIN_PERIODS_SEEN: t.Final = 0.9
_MIN_EXPLAINED: t.Final = 0.7  # share of the variance that a period must explain
_RESIDUAL_DECAY_S: t.Final = 1.0
_COURSE_VALID_S: t.Final = 0.6
_FORGET_AFTER_S: t.Final = 20.0
_SINGULAR: t.Final = 1e-6


class Level(t.NamedTuple):
    """A measured margin at a time, and the weight (inverse variance) of it."""

    at: float
    margin: float
    weight: float


class _Wave(t.NamedTuple):
    """A margin that swings around a mean: its parts and its angular frequency."""

    mean: float
    cosine: float
    sine: float
    frequency: float

    def value(self, at: float) -> float:
        angle = self.frequency * at
        return self.mean + self.cosine * math.cos(angle) + self.sine * math.sin(angle)


@t.final
class Load:
    """The own margin of a service's step: target / latency, as if without fillers.

    Handles services whose load swings within seconds. The tasks of a step share their
    load, so those with few fillers beside them show the own margin of all.
    """

    __slots__ = ("_figures", "_fit_due_at", "_forecast", "_history", "_wave", "seen_at")

    def __init__(self) -> None:
        self._figures: collections.deque[Level] = collections.deque(maxlen=_MAX_FIGURES)
        self._history: collections.deque[Level] = collections.deque(
            maxlen=_HISTORY_STEPS
        )
        self._fit_due_at = 0.0
        self._wave: _Wave | None = None
        self._forecast: tuple[float, tuple[float, ...]] = (0.0, ())
        self.seen_at = 0.0

    def observe(self, at: float, margin: float, lost: float, doubt: float) -> None:
        """Add a margin that was measured.

        Parameters
        ----------
        at : float
            Time on ``clock.now``.
        margin : float
            Target / latency of a task.
        lost : float
            Margin that fillers beside it are expected to take.
        doubt : float
            The largest margin that fillers may take or have taken of late.
        """
        sd = _FIGURE_SD + _EFFECT_SD_SHARE * doubt
        self._figures.append(Level(at, margin + lost, 1.0 / sd**2))
        self.seen_at = max(self.seen_at, at)
        if not self._history or at - self._history[-1].at >= FORECAST_STEP_S:
            self._history.append(self.measure(at))

    def measure(self, now: float) -> Level:
        """Return the own margin, with weight 0 if it is not known."""
        figures = self._figures
        while figures and now - figures[0].at > _FIGURES_WITHIN_S:
            figures.popleft()
        if not figures:
            return Level(now, 0.0, 0.0)
        # The doubt is about the same effect on all, so that it does not average out.
        ranked = sorted(figures, key=lambda figure: -figure.weight)
        best = ranked[: max(_MIN_BEST, len(ranked) // _BEST_SHARE)]
        margins = sorted(figure.margin for figure in best)
        margin = margins[int(_QUANTILE * len(margins))]
        return Level(now, margin, sum(figure.weight for figure in best) / len(best))

    def forecast(self, now: float) -> tuple[float, ...]:
        """Return the own margin now and at each ``FORECAST_STEP_S`` from now on.

        Empty if the own margin is not known.
        """
        at, found = self._forecast
        if not found or not 0.0 <= now - at <= FORECAST_STEP_S / 2:
            found = self._compute_forecast(now)
            self._forecast = now, found
        return found

    def course(self, now: float) -> tuple[float, ...]:
        """Return the newest forecast; empty if it is no longer valid. Thread-safe."""
        at, found = self._forecast
        return found if now - at <= _COURSE_VALID_S else ()

    def _compute_forecast(self, now: float) -> tuple[float, ...]:
        margin, weight = self.measure(now)[1:]
        if not weight:
            return ()
        history = list(self._history)
        if now >= self._fit_due_at:
            self._wave = _fit_wave(history, self._wave)
            is_found = self._wave is not None
            self._fit_due_at = now + (_REFIT_S if is_found else _SEARCH_S)
        times = [step * FORECAST_STEP_S for step in range(FORECAST_STEPS)]
        if self._wave is not None:
            wave = self._wave
            residual = margin - wave.value(now)
            return tuple(
                wave.value(now + ahead)
                + residual * math.exp(-ahead / _RESIDUAL_DECAY_S)
                for ahead in times
            )
        slope = 0.0
        if len(history) > _SLOPE_STEPS:
            first, last = history[-1 - _SLOPE_STEPS], history[-1]
            slope = min(0.0, (last.margin - first.margin) / (last.at - first.at))
        lowest = min(margin, *(level.margin for level in history))
        return tuple(max(lowest, margin + slope * ahead) for ahead in times)


@t.final
class Loads:
    """The loads of all steps of services, by step."""

    def __init__(self) -> None:
        self._loads: dict[jobs.StepKey, Load] = {}
        self._cleaned_at = 0.0

    def of(self, step: jobs.StepKey) -> Load:
        """Return the load of a step, a new one if the step was not seen before."""
        found = self._loads.get(step)
        if found is None:
            found = self._loads[step] = Load()
        return found

    def courses(
        self, steps: abc.Iterable[jobs.StepKey], now: float
    ) -> list[messages.MarginCourse]:
        """Return the newest forecasts of some steps. Thread-safe."""
        found = []
        for step in steps:
            load = self._loads.get(step)
            margins = load.course(now) if load is not None else ()
            if margins:
                name = ".".join(map(str, step))
                rounded = [round(margin, 2) for margin in margins]
                found.append(messages.MarginCourse(name, rounded))
        return found

    def forget_idle(self, now: float) -> None:
        """Drop the loads of steps without figures."""
        if now - self._cleaned_at < _FORGET_AFTER_S:
            return
        self._cleaned_at = now
        for step, load in list(self._loads.items()):
            if now - load.seen_at > _FORGET_AFTER_S:
                del self._loads[step]


def _fit_wave(history: list[Level], before: _Wave | None) -> _Wave | None:
    """Return the wave that explains a history best, None if none explains enough.

    Near a wave that was found before, only similar periods are tried.
    """
    if len(history) < _MIN_FIT_STEPS:
        return None
    weight = sum(level.weight for level in history)
    mean = sum(level.margin * level.weight for level in history) / weight
    variance = sum(level.weight * (level.margin - mean) ** 2 for level in history)
    if variance < _MIN_VARIANCE * weight:
        return None
    limit = variance * (1.0 - _MIN_EXPLAINED)
    if before is not None:
        period_s = math.tau / before.frequency
        similar = [period_s * factor for factor in (0.975, 1.0, 1.025)]
        best, error = _best_wave(history, similar)
        if error < limit:
            return best
    span_s = history[-1].at - history[0].at
    periods, period_s = [], _MIN_PERIOD_S
    while period_s <= min(_MAX_PERIOD_S, span_s / _MIN_PERIODS_SEEN):
        periods.append(period_s)
        period_s *= _PERIOD_FACTOR
    best, error = _best_wave(history, periods)
    return best if error < limit else None


def _best_wave(
    history: list[Level], periods: abc.Iterable[float]
) -> tuple[_Wave | None, float]:
    """Return the wave that explains a history best, and its weighted error."""
    best, least = None, math.inf
    for period_s in periods:
        wave = _fit_period(history, math.tau / period_s)
        if wave is not None:
            error = sum(
                level.weight * (level.margin - wave.value(level.at)) ** 2
                for level in history
            )
            if error < least:
                best, least = wave, error
    return best, least


def _fit_period(history: list[Level], frequency: float) -> _Wave | None:
    """Return the weighted least-squares fit of a wave of one frequency."""
    sums = [[0.0] * 4 for _ in range(3)]
    for at, margin, weight in history:
        angle = frequency * at
        row = (1.0, math.cos(angle), math.sin(angle), margin)
        for i in range(3):
            factor = weight * row[i]
            for j in range(i, 4):
                sums[i][j] += factor * row[j]
    for i in range(3):
        for j in range(i):
            sums[i][j] = sums[j][i]
    for i in range(3):
        if abs(sums[i][i]) < _SINGULAR:
            return None
        for k in range(i + 1, 3):
            factor = sums[k][i] / sums[i][i]
            sums[k] = [x - factor * y for x, y in zip(sums[k], sums[i], strict=True)]
    found = [0.0, 0.0, 0.0]
    for i in (2, 1, 0):
        known = sum(sums[i][j] * found[j] for j in range(i + 1, 3))
        found[i] = (sums[i][3] - known) / sums[i][i]
    return _Wave(*found, frequency)
