"""Sends interference estimates to agents and stores them for the next leader."""

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
    """

    def __init__(self, estimates: interference.Estimates) -> None:
        self._estimates = estimates
        self._stored_at = 0.0

    def rows_if_due(
        self, host: hosts.Host, now: float
    ) -> list[messages.InterferenceEstimate]:
        """Return the estimates for a host's services, or no rows if not due."""
        if now < host.estimates_sent_at + _SEND_INTERVAL_S:
            return []
        host.estimates_sent_at = now
        tasks = list(host.tasks.values())
        services = {task.step.image for task in tasks if task.step.is_service}
        fillers = {task.step.image for task in tasks if task.step.is_filler}
        if host.runner is None or not services:
            return []
        cores = host.runner.cpu_milli / jobs.MILLI_PER_CORE
        return self._estimates.rows_of(services, fillers, cores)

    def put_if_due(self, now: float) -> keyvalue.Put | None:
        """Return the write of all estimates for the next leader, or None if not due."""
        if now < self._stored_at + _STORE_INTERVAL_S:
            return None
        self._stored_at = now
        return keyvalue.Put(committing.INTERFERENCE_KEY, self._estimates.encode())
