"""Pace control of fillers that share a host with latency-sensitive tasks."""

import collections.abc as abc
import math
import typing as t

from bilberrypass.scheduling import interference

FULL_PACE_PERCENT: t.Final = 100

_CHANGE_INTERVAL_S: t.Final = 0.55  # a latency measurement covers half a second
# Margin (target / latency) below which fillers are slowed; the rest is headroom for a
# rise of the load within the next half second.
_SLOW_BELOW_MARGIN: t.Final = 1.22
_RAISE_ABOVE_MARGIN: t.Final = 1.32
_STOP_BELOW_MARGIN: t.Final = 0.5  # margin below which all fillers are stopped
# Time over the target after which all fillers are stopped: two measurements after
# the first cut.
_STOP_AFTER_S: t.Final = 1.5
_CUT_OVERSHOOT: t.Final = 1.2  # cuts are a little larger than the estimate requires
_RAISE_HEADROOM_SHARE: t.Final = 0.7  # part of the headroom that one increase may use
_MIN_RAISE_PERCENT: t.Final = 10  # percentage points
# Of a pair that the scheduler has not told about, on a host of 16 cores.
_PRIOR_LOSS_PER_CORE: t.Final = interference.PRIOR_LOSS / 16


class ServiceLatency(t.NamedTuple):
    """The latest tail latency of a task with a latency target, and its image."""

    image: str
    latency_ms: int
    target_ms: int

    @property
    def margin(self) -> float:
        """The target divided by the latency: 1 at the target, less above it."""
        return self.target_ms / max(1, self.latency_ms)

    @property
    def headroom(self) -> float:
        """The margin that fillers may still take; negative if they took too much."""
        return self.margin - _SLOW_BELOW_MARGIN


class Filler(t.NamedTuple):
    """A filler task: its image, its pace in percent and its expected cores."""

    key: tuple[str, int]
    image: str
    pace: int
    cores: float


InterferenceEstimates = abc.Mapping[tuple[str, str], float]


@t.final
class Pacer:
    """Slows the fillers that interfere most and restores them as headroom allows.

    Load peaks of services change within seconds, and a service must not stay over
    its latency target for long. Cuts are therefore immediate and as large as the
    estimates require; a service that stays over its target stops all fillers.
    """

    def __init__(self) -> None:
        self._changed_at = 0.0
        self._over_target_since: float | None = None

    def choose_paces(
        self,
        services: abc.Sequence[ServiceLatency],
        fillers: abc.Sequence[Filler],
        estimates: InterferenceEstimates,
        now: float,
    ) -> dict[tuple[str, int], int]:
        """Return the paces that change, in percent, by run.

        Parameters
        ----------
        services, fillers : sequence
            Services with a measured latency, and running fillers, of the host.
        estimates : mapping
            Expected loss of a service's margin per filler core, by the images of
            the service and of the filler.
        now : float
            Time on ``clock.now``, in seconds.
        """
        least_margin = min((s.margin for s in services), default=math.inf)
        if least_margin > 1.0:
            self._over_target_since = None
        elif self._over_target_since is None:
            self._over_target_since = now
        if not fillers or now - self._changed_at < _CHANGE_INTERVAL_S:
            return {}
        paces = self._next_paces(least_margin, services, fillers, estimates, now)
        changed = {f.key: paces[f.key] for f in fillers if paces[f.key] != f.pace}
        if changed:
            self._changed_at = now
        return changed

    def _next_paces(
        self,
        least_margin: float,
        services: abc.Sequence[ServiceLatency],
        fillers: abc.Sequence[Filler],
        estimates: InterferenceEstimates,
        now: float,
    ) -> dict[tuple[str, int], int]:
        over_target_s = (
            0.0 if self._over_target_since is None else now - self._over_target_since
        )
        if least_margin <= _STOP_BELOW_MARGIN or over_target_s > _STOP_AFTER_S:
            return {filler.key: 0 for filler in fillers}
        if least_margin < _SLOW_BELOW_MARGIN:
            return _cut_paces(services, fillers, estimates)
        if least_margin > _RAISE_ABOVE_MARGIN:
            return _raise_paces(services, fillers, estimates)
        return {filler.key: filler.pace for filler in fillers}


def _lost_margin(
    estimates: InterferenceEstimates, service: ServiceLatency, filler: Filler
) -> float:
    """Return the margin that a filler takes from a service at full pace."""
    per_core = estimates.get((service.image, filler.image), _PRIOR_LOSS_PER_CORE)
    return per_core * filler.cores


def _cut_paces(
    services: abc.Sequence[ServiceLatency],
    fillers: abc.Sequence[Filler],
    estimates: InterferenceEstimates,
) -> dict[tuple[str, int], int]:
    """Return paces cut per service over the limit, most interfering filler first."""
    paces = {filler.key: filler.pace for filler in fillers}
    for service in services:
        excess = -service.headroom * _CUT_OVERSHOOT
        ranked = sorted(fillers, key=lambda f: -_lost_margin(estimates, service, f))
        for filler in ranked:
            if excess <= 0:
                break
            loss = _lost_margin(estimates, service, filler)
            cut = min(paces[filler.key], math.ceil(FULL_PACE_PERCENT * excess / loss))
            paces[filler.key] -= cut
            excess -= loss * cut / FULL_PACE_PERCENT
    return paces


def _raise_paces(
    services: abc.Sequence[ServiceLatency],
    fillers: abc.Sequence[Filler],
    estimates: InterferenceEstimates,
) -> dict[tuple[str, int], int]:
    """Return raised paces within the headroom, least interfering filler first."""
    paces = {filler.key: filler.pace for filler in fillers}
    headrooms = [service.headroom * _RAISE_HEADROOM_SHARE for service in services]

    def largest_loss(filler: Filler) -> float:
        return max((_lost_margin(estimates, s, filler) for s in services), default=0.0)

    for filler in sorted(fillers, key=largest_loss):
        increase = FULL_PACE_PERCENT - paces[filler.key]
        for service, headroom in zip(services, headrooms, strict=True):
            increase = min(
                increase,
                int(
                    FULL_PACE_PERCENT
                    * headroom
                    / _lost_margin(estimates, service, filler)
                ),
            )
        if increase < min(_MIN_RAISE_PERCENT, FULL_PACE_PERCENT - paces[filler.key]):
            continue
        paces[filler.key] += increase
        headrooms = [
            headroom
            - _lost_margin(estimates, service, filler) * increase / FULL_PACE_PERCENT
            for service, headroom in zip(services, headrooms, strict=True)
        ]
    return paces
