"""Estimates how much fillers of one image slow down services of another."""

import collections.abc as abc
import math
import typing as t

import msgspec

from bilberrypass.observing import decisions
from bilberrypass.scheduling import messages

# Without observations, a filler of 7 cores is expected to add a seventh to the latency.
PRIOR_PER_CORE: t.Final = 0.02
_PRIOR_SD_PER_CORE: t.Final = 0.03
# A service's own load changes the logarithm of its latency this much in half a second.
_LOG_NOISE_SD: t.Final = 0.15
_DRIFT_SD_PER_SAMPLE: t.Final = 0.002  # images change their behaviour slowly
_MIN_PER_CORE: t.Final = 0.005
_MAX_PER_CORE: t.Final = 0.4
_MIN_GAP_S: t.Final = 0.45  # a figure of the runner covers half a second
_MAX_GAP_S: t.Final = 1.6
_TREND_SMOOTHING_S: t.Final = 1.5  # smooths the noise of single figures
_MAX_TREND_RISE: t.Final = 0.7  # logarithm of the latency: about twice the latency

Pair = tuple[str, str]


class Estimate(t.NamedTuple):
    """Rise of the logarithm of a latency per core of a filler."""

    mean: float
    variance: float


@t.final
class Estimates:
    """Estimates interference from latency changes when fillers on the host change.

    Needed for bursts of batch work beside services: only measurements show which
    pairs of images may share a host, and only a few pairs interfere.
    A Kalman filter with a diagonal covariance and one state per pair.
    """

    def __init__(self) -> None:
        self._pairs: dict[Pair, Estimate] = {}

    def per_core(self, service: str, filler: str) -> float:
        """Return the expected rise of the log latency per core, always above zero."""
        found = self._pairs.get((service, filler))
        return (
            PRIOR_PER_CORE
            if found is None
            else min(_MAX_PER_CORE, max(_MIN_PER_CORE, found.mean))
        )

    def observe(
        self, service: str, before_ms: float, after_ms: float, cores: dict[str, float]
    ) -> None:
        """Update the estimates from a change of a latency and changes of the fillers.

        Parameters
        ----------
        service : str
            Image of the service.
        before_ms, after_ms : float
            Its tail latency in two samples about half a second apart.
        cores : dict of str to float
            Change of the cores in use by fillers, by image.
        """
        changed = {image: x for image, x in cores.items() if abs(x) > 0.2}
        if not changed or before_ms <= 0 or after_ms <= 0:
            return
        prior = Estimate(PRIOR_PER_CORE, _PRIOR_SD_PER_CORE**2)
        estimates = {f: self._pairs.get((service, f), prior) for f in changed}
        expected = sum(estimates[f].mean * x for f, x in changed.items())
        error = math.log(after_ms / before_ms) - expected
        total_variance = _LOG_NOISE_SD**2 + sum(
            estimates[f].variance * x * x for f, x in changed.items()
        )
        for filler, x in changed.items():
            mean, variance = estimates[filler]
            gain = variance * x / total_variance
            self._pairs[service, filler] = Estimate(
                mean + gain * error,
                variance * (1.0 - gain * x) + _DRIFT_SD_PER_SAMPLE**2,
            )

    def rows_of_services(
        self, services: abc.Set[str]
    ) -> list[messages.InterferenceEstimate]:
        """Return the estimates for the given images of services."""
        return [
            messages.InterferenceEstimate(
                service, filler, round(self.per_core(service, filler), 4)
            )
            for service, filler in self._pairs
            if service in services
        ]

    def encode(self) -> bytes:
        """Return all estimates in their stored form."""
        return msgspec.msgpack.encode(
            [_StoredEstimate(*pair, *found) for pair, found in self._pairs.items()]
        )

    def restore(self, value: bytes) -> None:
        """Replace the estimates by those that an earlier scheduler stored.

        If they cannot be read, the current ones stay.
        """
        try:
            rows = msgspec.msgpack.decode(value, type=list[_StoredEstimate])
        except msgspec.MsgspecError as exc:
            decisions.record("interference.unreadable", why=str(exc))
            return
        self._pairs = {
            (row.service, row.filler): Estimate(row.mean, row.variance) for row in rows
        }


class _StoredEstimate(t.NamedTuple):
    """The stored form of one estimate."""

    service: str
    filler: str
    mean: float
    variance: float


class Sample(t.NamedTuple):
    """Measurements of a host; ``at`` is on ``clock.now``.

    ``services`` maps a task to its image and its latency in milliseconds. ``cores``
    maps an image of fillers to the total cores that they used.
    """

    at: float
    services: dict[str, tuple[str, float]]
    cores: dict[str, float]


class Trend:
    """How fast a service's own load changes its latency, without effects of fillers.

    ``slope`` is the smoothed change of the latency's logarithm per second.
    """

    __slots__ = ("observed_at", "own_log_latency", "slope")

    def __init__(self) -> None:
        self.observed_at = 0.0
        self.own_log_latency = 0.0
        self.slope = 0.0

    def observe(self, at: float, latency_ms: float, rise: float) -> None:
        """Update from a latency and the part of its logarithm that fillers cause."""
        own = math.log(latency_ms) - rise
        gap_s = at - self.observed_at
        if gap_s > _MAX_GAP_S:
            self.slope = 0.0
        elif gap_s < _MIN_GAP_S:
            return
        else:
            share = min(1.0, gap_s / _TREND_SMOOTHING_S)
            self.slope += share * ((own - self.own_log_latency) / gap_s - self.slope)
        self.observed_at, self.own_log_latency = at, own

    def expected_rise(self, horizon_s: float) -> float:
        """Return the expected rise of the log latency within a time; never negative."""
        return min(_MAX_TREND_RISE, max(0.0, self.slope * horizon_s))


def update_from_samples(
    estimates: Estimates, before: Sample | None, after: Sample
) -> Sample:
    """Update from two samples of a host; return the one to compare the next with."""
    if before is None or after.at - before.at > _MAX_GAP_S:
        return after
    if after.at - before.at < _MIN_GAP_S:
        return before
    images = before.cores.keys() | after.cores.keys()
    cores = {i: after.cores.get(i, 0.0) - before.cores.get(i, 0.0) for i in images}
    for task, (image, latency_ms) in after.services.items():
        if task in before.services:
            estimates.observe(image, before.services[task][1], latency_ms, cores)
    return after
