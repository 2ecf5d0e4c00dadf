"""The throttle of a host's batch tasks where they disturb services."""

import time
import typing as t

import logbook

from bilberrypass.connection import worker

_log = logbook.Logger("throttle")

HIGH: t.Final = 1.5
_LOW: t.Final = 1.2
_SHARES: t.Final = (1.0, 0.5, 0.25)
_CALM_S: t.Final = 20.0


def worst(usage: worker.Usage | None) -> float:
    """Return the largest latency inflation of a service, 1.0 if none is known."""
    if usage is None:
        return 1.0
    return max((inflation for _, inflation in usage.slowdown), default=1.0)


@t.final
class Throttle:
    """Chooses the share of their processors that a host's batch tasks may use.

    Each step is judged by measurements that began after it, since usage comes
    late. Hysteresis: one step down above the high mark, one step up only after
    a calm time below the low mark.
    """

    def __init__(self) -> None:
        self._step = 0
        self._changed_at = 0.0
        self._low_since: float | None = None

    @property
    def share(self) -> float:
        """The present share, 0 to 1."""
        return _SHARES[self._step]

    def hear(self, usage: worker.Usage) -> float:
        """Take in a measurement and return the share that follows."""
        now = time.monotonic()
        inflation = worst(usage)
        if now - usage.begin_ago_s < self._changed_at:
            return self.share
        if inflation >= _LOW:
            self._low_since = None
        elif self._low_since is None:
            self._low_since = now
        is_calm = self._low_since is not None and now > self._low_since + _CALM_S
        if inflation > HIGH and self._step + 1 < len(_SHARES):
            self._change(self._step + 1, now)
        elif is_calm and self._step:
            self._change(self._step - 1, now)
        return self.share

    def _change(self, step: int, now: float) -> None:
        self._step = step
        self._changed_at = now
        self._low_since = None
        _log.info("throttle: batch tasks get {} of their processors", self.share)
