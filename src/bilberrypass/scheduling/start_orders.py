"""Orders of runs whose start is stored."""

import collections.abc as abc
import typing as t

from bilberrypass import clock
from bilberrypass.observing import decisions
from bilberrypass.scheduling import hosts, messages, orders, state

if t.TYPE_CHECKING:
    from bilberrypass.scheduling import scheduler


@t.final
class StartOrders:
    """Sends the starts of a scheduler, or takes them back.

    Parameters
    ----------
    owner : scheduler.Scheduler
        Owns jobs and hosts.
    """

    def __init__(self, owner: "scheduler.Scheduler") -> None:
        self._scheduler = owner

    def order_stored(self, runs: abc.Iterable[tuple[state.Task, int]]) -> None:
        """Order runs whose start is stored, unless they were abandoned meanwhile.

        A start that is held back is resent after a report of its host that lacks it.
        """
        is_behind = self._scheduler.is_behind(clock.now())
        for task, run in runs:
            host = self._scheduler.hosts[task.host]
            if host.tasks.get((str(task.key), run)) is not task:
                continue
            task.is_stored = True
            is_stopping = task.phase is state.Phase.STOPPING
            if is_behind and not is_stopping:
                continue
            why = self._why_withdrawn(host)
            if why and not is_stopping:
                self._withdraw_start(host, task, why)
                continue
            verb = messages.Verb.STOP if is_stopping else messages.Verb.START
            self._scheduler.queue_order(host, orders.make_order(task, verb))

    def _why_withdrawn(self, host: hosts.Host) -> str:
        """Return why a host may no longer start what was placed there, or ""."""
        if host.is_overcommitted:
            return "the capacity shrank"
        is_evacuated = self._scheduler.is_evacuated(host)
        return "the failure domain is evacuated" if is_evacuated else ""

    def _withdraw_start(self, host: hosts.Host, task: state.Task, why: str) -> None:
        """Requeue a task whose start was not sent before its host refuses it."""
        host.remove(task)
        task.phase = state.Phase.WAITING
        decisions.record(
            "start.withdrawn",
            task=str(task.key),
            run=task.run,
            host=host.name,
            why=why,
        )
        self._scheduler.write_progress(task.job)
