"""Passes on what was learnt of images: to agents, and to a successor."""

import typing as t

from bilberrypass.scheduling import committing, hosts, interference, keyvalue, messages

_TEACH_INTERVAL_S: t.Final = 1.0
_STORE_INTERVAL_S: t.Final = 4.0


@t.final
class Teacher:
    """Decides when estimates are passed on.

    Parameters
    ----------
    estimates : interference.Estimates
        What the scheduler learns.
    """

    def __init__(self, estimates: interference.Estimates) -> None:
        self._estimates = estimates
        self._stored_at = 0.0

    def rows(self, host: hosts.Host, now: float) -> list[messages.PressRow]:
        """Return what an agent ought to know of its services, now and then."""
        if now < host.taught_at + _TEACH_INTERVAL_S:
            return []
        host.taught_at = now
        tasks = list(host.tasks.values())
        images = {task.step.image for task in tasks if task.step.is_service}
        return self._estimates.rows(images)

    def put(self, now: float) -> keyvalue.Put | None:
        """Return what goes into the store for a successor, now and then."""
        if now < self._stored_at + _STORE_INTERVAL_S:
            return None
        self._stored_at = now
        return keyvalue.Put(committing.INTERFERENCE_KEY, self._estimates.encode())
