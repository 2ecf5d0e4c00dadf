"""Pace control of fillers that share a host with latency-sensitive tasks."""

import collections.abc as abc
import math
import typing as t

from bilberrypass.scheduling import interference, service_loads

FULL_PACE_PERCENT: t.Final = 100

_CHANGE_INTERVAL_S: t.Final = 0.55  # a latency measurement covers half a second
# Margin (target / latency) below which fillers are slowed; the rest is headroom for a
# rise of the load within the next half second.
_SLOW_BELOW_MARGIN: t.Final = 1.17
_MIN_RAISE_HEADROOM: t.Final = 0.1
_MEASURED_BEFORE_S: t.Final = 0.25  # a figure is the mean over half a second
_LOOK_AHEAD_S: t.Final = 1.0  # to the end of the next half second
_STOP_BELOW_MARGIN: t.Final = 0.5  # margin below which all fillers are stopped
# Time over the target after which all fillers are stopped: two measurements after
# the first cut.
_STOP_AFTER_S: t.Final = 1.5
_CUT_OVERSHOOT: t.Final = 1.2  # cuts are a little larger than the estimate requires
_RAISE_HEADROOM_SHARE: t.Final = 0.8  # part of the headroom that one increase may use
_MIN_CORES: t.Final = 0.001  # of a filler that asks for none
_MAX_PROGRESS: t.Final = 95  # percent
_MIN_RAISE_PERCENT: t.Final = 10  # percentage points
# Of a pair that the scheduler has not told about, on a host of 16 cores.
_PRIOR_LOSS_PER_CORE: t.Final = interference.PRIOR_LOSS / 16


class ServiceLatency(t.NamedTuple):
    """The latest tail latency of a task with a latency target, and its image.

    ``coming_loss`` is the margin that its own load will take before the next change of
    paces shows.
    """

    image: str
    latency_ms: int
    target_ms: int
    coming_loss: float = 0.0

    @property
    def margin(self) -> float:
        """The target divided by the latency: 1 at the target, less above it."""
        return self.target_ms / max(1, self.latency_ms)

    @property
    def headroom(self) -> float:
        """The margin that fillers may still take; negative if they took too much."""
        return self.margin - self.coming_loss - _SLOW_BELOW_MARGIN


class Filler(t.NamedTuple):
    """A filler: its image, pace and progress in percent, and its expected cores.

    ``is_measured`` is whether the latest latencies show its effect.
    """

    key: tuple[str, int]
    image: str
    pace: int
    cores: float
    progress: int = 0
    is_measured: bool = True


class Course(t.NamedTuple):
    """The own margins of a service, expected each half second from ``at`` on."""

    at: float
    margins: tuple[float, ...]

    def coming_loss(self, now: float) -> float:
        """Return how far the margin falls until a change of paces shows, at least 0."""
        first = (now - self.at - _MEASURED_BEFORE_S) / service_loads.FORECAST_STEP_S
        last = first + _LOOK_AHEAD_S / service_loads.FORECAST_STEP_S
        if last > len(self.margins) - 1:
            return 0.0  # too old
        return max(0.0, self._value(first) - self._value(last))

    def _value(self, step: float) -> float:
        number = max(0, int(step))
        begin, end = self.margins[number], self.margins[number + 1 :][:1]
        return begin + (end[0] - begin if end else 0.0) * max(0.0, step - number)


InterferenceEstimates = abc.Mapping[tuple[str, str], float]


@t.final
class Pacer:
    """Slows the fillers that interfere most and restores them as headroom allows.

    Load peaks of services change within seconds, and a service must not stay over
    its latency target for long. Cuts are therefore immediate and as large as the
    estimates require; a service that stays over its target stops all fillers. A new
    filler is slowed at once, before its effect shows, if it is expected to be too much.
    """

    def __init__(self) -> None:
        self._changed_at = 0.0
        self._over_target_since: float | None = None
        self._new: frozenset[tuple[str, int]] = frozenset()

    def choose_paces(
        self,
        services: abc.Sequence[ServiceLatency],
        fillers: abc.Sequence[Filler],
        estimates: InterferenceEstimates,
        now: float,
        cautious: InterferenceEstimates | None = None,
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
        cautious : mapping, optional
            Losses that are rarely exceeded, for fillers that no figure shows yet.
        """
        early = estimates if cautious is None else cautious
        services = [
            s._replace(coming_loss=s.coming_loss + _unmeasured_loss(s, fillers, early))
            for s in services
        ]
        least_margin = min((s.margin for s in services), default=math.inf)
        least_headroom = min((s.headroom for s in services), default=math.inf)
        if least_margin > 1.0:
            self._over_target_since = None
        elif self._over_target_since is None:
            self._over_target_since = now
        new = frozenset(filler.key for filler in fillers if not filler.is_measured)
        is_early = new <= self._new and now - self._changed_at < _CHANGE_INTERVAL_S
        if not fillers or is_early:
            return {}
        self._new = new
        paces = self._next_paces(
            least_margin, least_headroom, services, fillers, estimates, now
        )
        changed = {f.key: paces[f.key] for f in fillers if paces[f.key] != f.pace}
        if changed:
            self._changed_at = now
        return changed

    def _next_paces(
        self,
        least_margin: float,
        least_headroom: float,
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
        if least_headroom < 0.0:
            return _cut_paces(services, fillers, estimates)
        if least_headroom > _MIN_RAISE_HEADROOM:
            return _raise_paces(services, fillers, estimates)
        return {filler.key: filler.pace for filler in fillers}


def _lost_margin(
    estimates: InterferenceEstimates, service: ServiceLatency, filler: Filler
) -> float:
    """Return the margin that a filler takes from a service at full pace."""
    per_core = estimates.get((service.image, filler.image), _PRIOR_LOSS_PER_CORE)
    return per_core * max(_MIN_CORES, filler.cores)


def _unmeasured_loss(
    service: ServiceLatency,
    fillers: abc.Iterable[Filler],
    estimates: InterferenceEstimates,
) -> float:
    """Return the margin that fillers take which the latest latency does not show."""
    return sum(
        _lost_margin(estimates, service, filler) * filler.pace / FULL_PACE_PERCENT
        for filler in fillers
        if not filler.is_measured
    )


def _work_left(filler: Filler) -> float:
    """Return the share of a filler's work that is left."""
    return 1.0 - min(filler.progress, _MAX_PROGRESS) / FULL_PACE_PERCENT


def _cut_paces(
    services: abc.Sequence[ServiceLatency],
    fillers: abc.Sequence[Filler],
    estimates: InterferenceEstimates,
) -> dict[tuple[str, int], int]:
    """Return paces cut per service over the limit.

    The first to be cut is the filler that would take most from the service until its
    end, so that one that is nearly done ends soon.
    """
    paces = {filler.key: filler.pace for filler in fillers}
    for service in services:
        excess = -service.headroom * _CUT_OVERSHOOT
        ranked = sorted(
            fillers, key=lambda f: -_lost_margin(estimates, service, f) * _work_left(f)
        )
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
        losses = (_lost_margin(estimates, s, filler) for s in services)
        return max(losses, default=0.0) * _work_left(filler)

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
