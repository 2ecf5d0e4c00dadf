"""Sends interference estimates to agents and stores them for the next leader.

Forecasts for entries take turns with them: a commit has room for one such value.
"""

import collections.abc as abc
import typing as t

from bilberrypass.scheduling import (
    committing,
    hosts,
    interference,
    jobs,
    keyvalue,
    messages,
)

_SEND_INTERVAL_S: t.Final = 1.0
_STORE_INTERVAL_S: t.Final = 4.0


@t.final
class EstimatePublisher:
    """Decides when estimates are sent to agents and written to the store.

    Parameters
    ----------
    estimates : interference.Estimates
        The estimates of the scheduler.
    max_bytes : int
        Limit of a value in the store.
    """

    def __init__(self, estimates: interference.Estimates, max_bytes: int) -> None:
        self._estimates = estimates
        self._max_bytes = max_bytes
        self._stored_at = 0.0
        self.next_forecast: abc.Callable[[], keyvalue.Put | None] = _no_forecast

    def rows_if_due(
        self, host: hosts.Host, now: float
    ) -> tuple[list[messages.InterferenceEstimate], list[messages.MarginCourse]]:
        """Return the estimates and courses for a host's services, none if not due."""
        if now < host.estimates_sent_at + _SEND_INTERVAL_S or host.runner is None:
            return [], []
        host.estimates_sent_at = now
        tasks = list(host.tasks.values())
        services = {task.step.image for task in tasks if task.step.is_service}
        if not services:
            return [], []
        fillers = {task.step.image for task in tasks if task.step.is_filler}
        cores = max(1, host.runner.cpu_milli) / jobs.MILLI_PER_CORE
        rows = self._estimates.rows_of(services, fillers, cores)
        if not fillers:
            return rows, []
        steps = {jobs.step_key(k.key) for k in tasks if k.step.is_service}
        return rows, self._estimates.loads.courses(steps, now)

    def put_if_due(self, now: float) -> keyvalue.Put | None:
        """Return the write of a forecast or of all estimates, or None if not due."""
        forecast = self.next_forecast()
        if forecast is not None:
            return forecast
        if now < self._stored_at + _STORE_INTERVAL_S:
            return None
        self._stored_at = now
        value = self._estimates.encode(self._max_bytes)
        return keyvalue.Put(committing.INTERFERENCE_KEY, value)


def _no_forecast() -> None:
    """Return no write; stands for the forecasts where nothing is refused."""
