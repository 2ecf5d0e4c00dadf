"""Estimates how much fillers of one image slow down services of another.

The margin of a service is its latency target divided by its latency. A latency goes
with 1 / (1 - utilisation), so the margin falls linearly with the service's own load
and with the share of the host's cores that fillers use.
"""

import collections.abc as abc
import itertools
import math
import typing as t

import msgspec
import prometheus_client as prometheus

from bilberrypass import decoding
from bilberrypass.observing import decisions
from bilberrypass.scheduling import keyvalue, messages, service_loads

# Without observations, a filler on a sixteenth of a host takes a third of the target
# as margin.
PRIOR_LOSS: t.Final = 5.0
_PRIOR_SD: t.Final = 5.0
_PAIR_SD_SHARE: t.Final = 0.7  # of a pair whose images are known from others
_MARGIN_NOISE_SD: t.Final = 0.25
_DRIFT_SD: t.Final = 0.15  # images change their behaviour within seconds
_SATURATED_MARGIN: t.Final = 0.35  # below it the latency hardly shows the utilisation
_MIN_LOSS: t.Final = 0.2
_MAX_LOSS: t.Final = 40.0
_CAUTION: t.Final = 0.5  # in standard deviations
_START_CAUTION: t.Final = 1.0  # until a figure shows the effect of a new filler
_MIN_SHARE: t.Final = 0.005  # of the host's cores
_KNOWN_VARIANCE_SHARE: t.Final = 0.5  # of the prior's, at most, for a known pair
_PRIOR_WEIGHT: t.Final = 1.0  # in pairs
_RELATE_INTERVAL: t.Final = 40  # observations
_MAX_ROW_BYTES: t.Final = 32  # of a stored estimate without the names

Pair = tuple[str, str]

_unreadable_records = prometheus.Counter(
    "bilberrypass_interference_unreadable",
    "Stored interference estimates that could not be read",
)


class Estimate(t.NamedTuple):
    """Loss of a service's margin if fillers used all cores of its host."""

    mean: float
    variance: float


@t.final
class Estimates:
    """Estimates interference from the margins of services with and without fillers.

    Needed for bursts of batch work beside services: only measurements show which
    pairs of images may share a host. A Kalman filter with a diagonal covariance and
    one state per pair; a new pair starts from what is known of its two images.

    ``loads`` holds the own loads of the services.
    """

    def __init__(self) -> None:
        self.loads = service_loads.Loads()
        self._pairs: dict[Pair, Estimate] = {}
        self._service_levels: dict[str, float] = {}
        self._filler_levels: dict[str, float] = {}
        self._observations = 0

    def loss(self, service: str, filler: str) -> float:
        """Return the expected loss of margin at a full host, always above zero."""
        found = self._pairs.get((service, filler))
        mean = self._prior(service, filler).mean if found is None else found.mean
        return min(_MAX_LOSS, max(_MIN_LOSS, mean))

    def cautious_loss(
        self, service: str, filler: str, caution: float = _CAUTION
    ) -> float:
        """Return a loss of margin so many standard deviations above the mean."""
        mean, variance = self._pairs.get((service, filler)) or self._prior(
            service, filler
        )
        return min(_MAX_LOSS, max(_MIN_LOSS, mean) + caution * math.sqrt(variance))

    def observe(
        self,
        service: str,
        lost_margin: float,
        shares: dict[str, float],
        own_sd: float = 0.0,
    ) -> None:
        """Update the estimates from a margin that fillers have taken from a service.

        Parameters
        ----------
        service : str
            Image of the service.
        lost_margin : float
            Its margin without fillers, less its margin.
        shares : dict of str to float
            Share of the host's cores that fillers used, 0 to 1, by image.
        own_sd : float
            Standard deviation of the margin without fillers.
        """
        used = {image: x for image, x in shares.items() if x > _MIN_SHARE}
        if not used:
            return
        found = {
            f: self._pairs.get((service, f)) or self._prior(service, f) for f in used
        }
        total_variance = (
            _MARGIN_NOISE_SD**2
            + own_sd**2
            + sum(found[f].variance * x * x for f, x in used.items())
        )
        error = lost_margin - sum(found[f].mean * x for f, x in used.items())
        for filler, x in used.items():
            mean, variance = found[filler]
            gain = variance * x / total_variance
            self._pairs.pop((service, filler), None)  # the newest are at the end
            self._pairs[service, filler] = Estimate(
                min(_MAX_LOSS, max(0.0, mean + gain * error)),
                variance * (1.0 - gain * x) + _DRIFT_SD**2,
            )
        while len(self._pairs) > messages.MAX_INTERFERENCE_PAIRS:
            del self._pairs[next(iter(self._pairs))]
        self._observations += 1
        if self._observations % _RELATE_INTERVAL == 0:
            self._update_levels()

    def observe_margin(
        self,
        service: str,
        own_margin: float,
        margin: float,
        shares: dict[str, float],
        own_sd: float = 0.0,
    ) -> None:
        """Update the estimates from a margin, with and without the fillers' effect."""
        lost = own_margin - margin
        if margin < _SATURATED_MARGIN:
            lost = max(lost, self.lost_margin(service, shares))  # only a lower bound
        self.observe(service, lost, shares, own_sd)

    def lost_margin(self, service: str, shares: dict[str, float]) -> float:
        """Return the margin that fillers are expected to take from a service."""
        return sum(self.loss(service, f) * x for f, x in shares.items())

    def _prior(self, service: str, filler: str) -> Estimate:
        """Return the estimate of a pair that was not observed."""
        service_level = self._service_levels.get(service)
        filler_level = self._filler_levels.get(filler)
        level = (service_level or 0.0) + (filler_level or 0.0)
        mean = min(_MAX_LOSS, PRIOR_LOSS * math.exp(level))
        if service_level is None and filler_level is None:
            return Estimate(mean, _PRIOR_SD**2)
        return Estimate(mean, max(1.0, _PAIR_SD_SHARE * mean) ** 2)

    def _update_levels(self) -> None:
        """Update how far images of services and of fillers differ from the prior."""
        known = {
            pair: math.log(max(_MIN_LOSS, found.mean) / PRIOR_LOSS)
            for pair, found in self._pairs.items()
            if found.variance < _KNOWN_VARIANCE_SHARE * _PRIOR_SD**2
        }
        services = _mean_levels(known, {}, 0)
        self._filler_levels = _mean_levels(known, services, 1)
        self._service_levels = _mean_levels(known, self._filler_levels, 0)

    def rows_of(
        self, services: abc.Set[str], fillers: abc.Set[str], host_cores: float
    ) -> list[messages.InterferenceEstimate]:
        """Return the loss of margin per core of a host, by images.

        Has rows for the given services with the given fillers and with all others that
        were observed beside them.
        """
        pairs = [pair for pair in list(self._pairs) if pair[0] in services]
        pairs += [
            pair
            for pair in itertools.product(services, fillers)
            if pair not in self._pairs
        ]
        return [
            messages.InterferenceEstimate(
                *pair,
                round(self.loss(*pair) / host_cores, 4),
                round(self.cautious_loss(*pair, _START_CAUTION) / host_cores, 4),
            )
            for pair in pairs
        ]

    def encode(self, max_bytes: int = keyvalue.DEFAULT_MAX_VALUE_BYTES) -> bytes:
        """Return the newest estimates, as many as fit, in their stored form."""
        rows, left = [], max_bytes - _MAX_ROW_BYTES
        for pair, found in reversed(self._pairs.items()):
            left -= _MAX_ROW_BYTES + sum(len(image.encode()) for image in pair)
            if left < 0:
                break
            rows.append(_StoredEstimate(*pair, *found))
        rows.reverse()
        return msgspec.msgpack.encode(_StoredEstimates(margin_losses=rows))

    def restore(self, value: bytes) -> None:
        """Replace the estimates by those that an earlier scheduler stored.

        If they cannot be read, the current ones stay.
        """
        try:
            found = decoding.decode_msgpack(value, _decoder)
            for row in found["margin_losses"]:
                if not (0 <= row.mean <= _MAX_LOSS and 0 <= row.variance < math.inf):
                    raise decoding.UnreadableError(f"impossible figures: {row[2:]}")
        except decoding.UnreadableError as exc:
            _unreadable_records.inc()
            decisions.record("interference.unreadable", why=str(exc))
            return
        self._pairs = {
            (row.service, row.filler): Estimate(row.mean, row.variance)
            for row in found["margin_losses"]
        }
        self._update_levels()


class _StoredEstimate(t.NamedTuple):
    """The stored form of one estimate."""

    service: str
    filler: str
    mean: float
    variance: float


class _StoredEstimates(t.TypedDict):
    """The stored form of all estimates; the name of the field tells their unit."""

    margin_losses: list[_StoredEstimate]


_decoder = msgspec.msgpack.Decoder(_StoredEstimates)


def _mean_levels(
    known: dict[Pair, float], others: dict[str, float], which: int
) -> dict[str, float]:
    """Return by image the mean level that the other image of its pairs leaves."""
    found: dict[str, list[float]] = {}
    for pair, level in known.items():
        rest = level - others.get(pair[1 - which], 0.0)
        found.setdefault(pair[which], []).append(rest)
    return {
        image: sum(levels) / (len(levels) + _PRIOR_WEIGHT)
        for image, levels in found.items()
    }
