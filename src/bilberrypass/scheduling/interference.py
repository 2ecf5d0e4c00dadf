"""How much the fillers of one image slow down the services of another."""

import collections.abc as abc
import math
import typing as t

import msgspec

from bilberrypass.scheduling import messages

# Before anything is known: a filler of 7 cores adds a seventh to the latency.
PRIOR_PER_CORE: t.Final = 0.02
_PRIOR_SD: t.Final = 0.03
_NOISE_SD: t.Final = 0.15  # a service's own load moves its latency in half a second
_DRIFT_SD: t.Final = 0.002  # a sample; images change their ways slowly
_MIN: t.Final = 0.005
_MAX: t.Final = 0.4
_MIN_GAP_S: t.Final = 0.45  # the runner's figures cover half a second
_MAX_GAP_S: t.Final = 1.6
_TREND_S: t.Final = 1.5  # smooths the noise of single figures
_MAX_AHEAD: t.Final = 0.7  # twice the latency

Pair = tuple[str, str]


class Estimate(t.NamedTuple):
    """Rise of the logarithm of a latency for each core of a filler."""

    mean: float
    variance: float


@t.final
class Estimates:
    """Learns from how latencies change when the fillers beside them change.

    Answers batch bursts over services: which pairs of images may share a host is
    visible in measurements alone, and only a few of them disturb each other.
    A Kalman filter with a diagonal covariance, one state for each pair.
    """

    def __init__(self) -> None:
        self._pairs: dict[Pair, Estimate] = {}

    def per_core(self, service: str, filler: str) -> float:
        """Return the expected rise for each core, never zero."""
        found = self._pairs.get((service, filler))
        return PRIOR_PER_CORE if found is None else min(_MAX, max(_MIN, found.mean))

    def observe(
        self, service: str, before_ms: float, after_ms: float, cores: dict[str, float]
    ) -> None:
        """Take in a change of a latency beside changes of the fillers.

        Parameters
        ----------
        service : str
            Image of the service.
        before_ms, after_ms : float
            Its tail latency in two samples about half a second apart.
        cores : dict of str to float
            Change of the processors in use by fillers, by image.
        """
        changed = {image: x for image, x in cores.items() if abs(x) > 0.2}
        if not changed or before_ms <= 0 or after_ms <= 0:
            return
        prior = Estimate(PRIOR_PER_CORE, _PRIOR_SD**2)
        known = {f: self._pairs.get((service, f), prior) for f in changed}
        expected = sum(known[f].mean * x for f, x in changed.items())
        error = math.log(after_ms / before_ms) - expected
        spread = _NOISE_SD**2 + sum(
            known[f].variance * x * x for f, x in changed.items()
        )
        for filler, x in changed.items():
            mean, variance = known[filler]
            gain = variance * x / spread
            self._pairs[service, filler] = Estimate(
                mean + gain * error, variance * (1.0 - gain * x) + _DRIFT_SD**2
            )

    def rows(self, services: abc.Set[str]) -> list[messages.PressRow]:
        """Return what is known of some services."""
        return [
            messages.PressRow(service, filler, round(self.per_core(service, filler), 4))
            for service, filler in self._pairs
            if service in services
        ]

    def encode(self) -> bytes:
        """Return all estimates as the store keeps them."""
        return msgspec.msgpack.encode(
            [_Stored(*pair, *found) for pair, found in self._pairs.items()]
        )

    def restore(self, value: bytes) -> None:
        """Take up what an earlier scheduler has learnt."""
        rows = msgspec.msgpack.decode(value, type=list[_Stored])
        self._pairs = {
            (row.service, row.filler): Estimate(row.mean, row.variance) for row in rows
        }


class _Stored(t.NamedTuple):
    """One estimate in the store."""

    service: str
    filler: str
    mean: float
    variance: float


class Sample(t.NamedTuple):
    """What was measured on a host at a time on ``clock.now``.

    ``services`` maps a task to its image and latency in milliseconds, ``cores``
    an image of fillers to the processors that they used together.
    """

    at: float
    services: dict[str, tuple[str, float]]
    cores: dict[str, float]


class Trend:
    """How fast a service's own load moves its latency, without the fillers' part.

    ``slope`` is the smoothed change of the latency's logarithm a second.
    """

    __slots__ = ("at", "own", "slope")

    def __init__(self) -> None:
        self.at = 0.0
        self.own = 0.0
        self.slope = 0.0

    def observe(self, at: float, latency_ms: float, rise: float) -> None:
        """Take in a latency, and the part of its logarithm that fillers cause."""
        own = math.log(latency_ms) - rise
        gap_s = at - self.at
        if gap_s > _MAX_GAP_S:
            self.slope = 0.0
        elif gap_s < _MIN_GAP_S:
            return
        else:
            share = min(1.0, gap_s / _TREND_S)
            self.slope += share * ((own - self.own) / gap_s - self.slope)
        self.at, self.own = at, own

    def ahead(self, horizon_s: float) -> float:
        """Return the expected rise within a time; a fall is not counted on."""
        return min(_MAX_AHEAD, max(0.0, self.slope * horizon_s))


def learn(estimates: Estimates, before: Sample | None, after: Sample) -> Sample:
    """Compare two samples of a host; return the one to compare the next with."""
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
