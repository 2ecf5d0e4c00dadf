"""How fast fillers may work beside tasks that have a latency target."""

import collections.abc as abc
import typing as t

FULL: t.Final = 100

_ACT_INTERVAL_S: t.Final = 0.55  # a figure covers half a second
_SLOW_AT: t.Final = 0.95  # of the target
_FREE_AT: t.Final = 0.75
_STOP_AT: t.Final = 2.0
_STOP_AFTER_S: t.Final = 1.5
_CUT: t.Final = 0.5
_RISE: t.Final = 20  # percent points


class Served(t.NamedTuple):
    """A task with a latency target, and its tail latency of late."""

    latency_ms: int
    target_ms: int


class Pacer:
    """Slows fillers at once and lets them recover step by step.

    Answers load peaks of services beside fillers, which change within seconds: a
    service over its target for long is harm, so fillers lose speed by halves and
    regain it by steps.
    """

    def __init__(self) -> None:
        self.level = FULL
        self._acted_at = 0.0
        self._over_since: float | None = None

    def decide(self, served: abc.Iterable[Served], now: float) -> int:
        """Return the speed for all fillers of the host, in percent.

        Parameters
        ----------
        served : iterable of Served
            The host's services.
        now : float
            On ``clock.now``.
        """
        worst = max((s.latency_ms / s.target_ms for s in served), default=0.0)
        if worst < 1.0:
            self._over_since = None
        elif self._over_since is None:
            self._over_since = now
        if now - self._acted_at < _ACT_INTERVAL_S:
            return self.level
        level = self._next(worst, now)
        if level != self.level:
            self.level, self._acted_at = level, now
        return self.level

    def _next(self, worst: float, now: float) -> int:
        is_long = (
            self._over_since is not None and now - self._over_since > _STOP_AFTER_S
        )
        if worst >= _STOP_AT or is_long:
            return 0
        if worst >= _SLOW_AT:
            return int(self.level * _CUT)
        if worst < _FREE_AT:
            return min(FULL, self.level + _RISE)
        return self.level
