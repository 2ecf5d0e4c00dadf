"""How fast fillers may work beside tasks that have a latency target."""

import collections.abc as abc
import math
import typing as t

from bilberrypass.scheduling import interference

FULL: t.Final = 100

_ACT_INTERVAL_S: t.Final = 0.55  # a figure covers half a second
_LIMIT: t.Final = 0.85  # of the target: what the next half second may add
_FREE: t.Final = 0.78
_STOP_AT: t.Final = 2.0
_STOP_AFTER_S: t.Final = 1.5  # two measurements after the first cut
_OVERSHOOT: t.Final = 1.2  # cuts go a little further than the estimate asks
_RISE_SHARE: t.Final = 0.6  # of the headroom that one step may use
_MIN_RISE: t.Final = 10  # percent points


class Served(t.NamedTuple):
    """A task with a latency target, its image and its tail latency of late."""

    image: str
    latency_ms: int
    target_ms: int

    @property
    def room(self) -> float:
        """The logarithm of how far the latency may rise."""
        return math.log(_LIMIT * self.target_ms / max(1, self.latency_ms))


class Filler(t.NamedTuple):
    """A task that fills, its image, speed in percent and expected cores."""

    key: tuple[str, int]
    image: str
    pace: int
    cores: float


Pressing = abc.Mapping[tuple[str, str], float]


@t.final
class Pacer:
    """Slows the fillers that press most, and lets them recover as there is room.

    Answers load peaks of services beside fillers, which change within seconds: a
    service over its target for long is harm, so cuts come at once and go as far as
    the estimates ask; a service that stays over its target stops all fillers.
    """

    def __init__(self) -> None:
        self._acted_at = 0.0
        self._over_since: float | None = None

    def decide(
        self,
        served: abc.Sequence[Served],
        fillers: abc.Sequence[Filler],
        pressing: Pressing,
        now: float,
    ) -> dict[tuple[str, int], int]:
        """Return the speeds to set, in percent, by run.

        Parameters
        ----------
        served, fillers : sequence
            What is on the host.
        pressing : mapping
            Rise of a latency's logarithm for each core, by the images of the
            service and of the filler.
        now : float
            On ``clock.now``.
        """
        worst = max((s.latency_ms / s.target_ms for s in served), default=0.0)
        if worst < 1.0:
            self._over_since = None
        elif self._over_since is None:
            self._over_since = now
        if not fillers or now - self._acted_at < _ACT_INTERVAL_S:
            return {}
        paces = self._next(worst, served, fillers, pressing, now)
        changed = {f.key: paces[f.key] for f in fillers if paces[f.key] != f.pace}
        if changed:
            self._acted_at = now
        return changed

    def _next(
        self,
        worst: float,
        served: abc.Sequence[Served],
        fillers: abc.Sequence[Filler],
        pressing: Pressing,
        now: float,
    ) -> dict[tuple[str, int], int]:
        over_s = 0.0 if self._over_since is None else now - self._over_since
        if worst >= _STOP_AT or over_s > _STOP_AFTER_S:
            return {filler.key: 0 for filler in fillers}
        if worst > _LIMIT:
            return _cut(served, fillers, pressing)
        if worst < _FREE:
            return _raise(served, fillers, pressing)
        return {filler.key: filler.pace for filler in fillers}


def _press(pressing: Pressing, service: Served, filler: Filler) -> float:
    """Return the rise that a filler causes at full speed."""
    per_core = pressing.get((service.image, filler.image), interference.PRIOR_PER_CORE)
    return per_core * filler.cores


def _cut(
    served: abc.Sequence[Served], fillers: abc.Sequence[Filler], pressing: Pressing
) -> dict[tuple[str, int], int]:
    """Slow the fillers that press most on each service without room."""
    paces = {filler.key: filler.pace for filler in fillers}
    for service in served:
        excess = -service.room * _OVERSHOOT
        ranked = sorted(fillers, key=lambda f: -_press(pressing, service, f))
        for filler in ranked:
            if excess <= 0:
                break
            press = _press(pressing, service, filler)
            cut = min(paces[filler.key], math.ceil(FULL * excess / press))
            paces[filler.key] -= cut
            excess -= press * cut / FULL
    return paces


def _raise(
    served: abc.Sequence[Served], fillers: abc.Sequence[Filler], pressing: Pressing
) -> dict[tuple[str, int], int]:
    """Speed fillers up within a part of each service's room, the mildest first."""
    paces = {filler.key: filler.pace for filler in fillers}
    rooms = [service.room * _RISE_SHARE for service in served]

    def heaviest(filler: Filler) -> float:
        return max((_press(pressing, s, filler) for s in served), default=0.0)

    for filler in sorted(fillers, key=heaviest):
        wanted = FULL - paces[filler.key]
        for service, room in zip(served, rooms, strict=True):
            wanted = min(wanted, int(FULL * room / _press(pressing, service, filler)))
        if wanted < min(_MIN_RISE, FULL - paces[filler.key]):
            continue
        paces[filler.key] += wanted
        rooms = [
            room - _press(pressing, service, filler) * wanted / FULL
            for service, room in zip(served, rooms, strict=True)
        ]
    return paces
