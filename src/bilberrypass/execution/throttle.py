"""Throttling of the batch tasks of a host while they slow its services down."""

import time
import typing as t

import logbook

from bilberrypass import errors
from bilberrypass.connection import worker
from bilberrypass.execution import states

_log = logbook.Logger("throttle")

HIGH_INFLATION: t.Final = 1.5
_LOW_INFLATION: t.Final = 1.2
_CPU_SHARES: t.Final = (1.0, 0.5, 0.25)
_RECOVERY_S: t.Final = 20.0
_CALL_TIMEOUT_S: t.Final = 2.0


def worst_inflation(usage: worker.Usage | None) -> float:
    """Return the highest latency inflation of any service, 1.0 if none is known."""
    if usage is None:
        return 1.0
    return max((inflation for _, inflation in usage.slowdown), default=1.0)


def set_cpu_share(
    driver: worker.Worker, runs: t.Iterable[worker.Run], share: float
) -> None:
    """Set the CPU share, 0 to 1, of the live runs that have a different one."""
    for run in runs:
        if not states.is_live(run) or run.throttle == share:
            continue
        task = run.spec.task
        try:
            driver.throttle(task, share, time.monotonic() + _CALL_TIMEOUT_S)
        except errors.Error as exc:
            _log.warning("throttle: could not throttle {}: {}", task, exc.detail)


@t.final
class Throttle:
    """Chooses the CPU share of a host's batch tasks, with hysteresis.

    The share is lowered one step while the latency inflation is above the high
    mark, and raised one step only after it has stayed below the low mark for the
    recovery time. Usage is reported with a delay, so only measurements that began
    after the latest change are considered.
    """

    def __init__(self) -> None:
        self._step = 0
        self._changed_at = 0.0
        self._low_since: float | None = None

    @property
    def share(self) -> float:
        """The current CPU share, 0 to 1."""
        return _CPU_SHARES[self._step]

    def update(self, usage: worker.Usage) -> float:
        """Process a measurement and return the resulting CPU share, 0 to 1."""
        now = time.monotonic()
        inflation = worst_inflation(usage)
        if now - usage.begin_ago_s < self._changed_at:
            return self.share
        if inflation >= _LOW_INFLATION:
            self._low_since = None
        elif self._low_since is None:
            self._low_since = now
        has_recovered = (
            self._low_since is not None and now > self._low_since + _RECOVERY_S
        )
        if inflation > HIGH_INFLATION and self._step + 1 < len(_CPU_SHARES):
            self._set_step(self._step + 1, now)
        elif has_recovered and self._step:
            self._set_step(self._step - 1, now)
        return self.share

    def _set_step(self, step: int, now: float) -> None:
        self._step = step
        self._changed_at = now
        self._low_since = None
        _log.info("throttle: CPU share of batch tasks set to {}", self.share)
