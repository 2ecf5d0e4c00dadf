"""Eviction of batch tasks that slow down services on the same host."""

import threading
import time
import typing as t

import logbook

from bilberrypass.batch import interference, placer, records
from bilberrypass.connection import messages
from bilberrypass.execution import throttle
from bilberrypass.version import configuration, page, work

_log = logbook.Logger("disturbance")

_EVICT_AFTER_S: t.Final = 30.0
_MIN_RUN_TIME_S: t.Final = 30.0


@t.final
class Evictor:
    """Evicts the most interfering task of a host where throttling did not help.

    All shards of an entry share one instance, so that each host loses at most one
    task per interval.

    Parameters
    ----------
    context : placer.PlacementContext
        Has the eviction budget, the configuration and the decision history.
    model : interference.Model
        Predicts how much each task slows down the services.
    """

    def __init__(
        self, context: placer.PlacementContext, model: interference.Model
    ) -> None:
        self._context = context
        self._model = model
        self._lock = threading.Lock()
        self._slowed_since: dict[str, float] = {}
        self._services: dict[str, list[str]] = {}

    def handle_report(self, report: messages.Report) -> None:
        """Update whether services on the reporting host are slowed down."""
        with self._lock:
            if throttle.worst_inflation(report.usage) <= throttle.HIGH_INFLATION:
                self._slowed_since.pop(report.host, None)
                return
            assert report.usage is not None
            self._services[report.host] = [name for name, _ in report.usage.slowdown]
            self._slowed_since.setdefault(report.host, time.monotonic())

    def evict_overdue(
        self, jobs: records.Jobs, on_host: t.Mapping[str, list[work.TaskId]]
    ) -> None:
        """Evict one task from each host whose services have been slowed down for long.

        Parameters
        ----------
        jobs : records.Jobs
            The jobs of one shard; changed in place.
        on_host : mapping of str to list of work.TaskId
            The shard's tasks on each host.
        """
        limit = time.monotonic() - _EVICT_AFTER_S
        for host, since in list(self._slowed_since.items()):
            if since > limit or not self._is_enabled(host):
                continue
            task = self._find_worst_task(jobs, host, on_host.get(host, []))
            if task is not None and self._context.budget.try_spend(1):
                self._evict(jobs, host, task)

    def _is_enabled(self, host: str) -> bool:
        subject = configuration.Subject(host=host)
        return self._context.values(subject).throttle_on_disturbance

    def _find_worst_task(
        self, jobs: records.Jobs, host: str, candidates: list[work.TaskId]
    ) -> work.TaskId | None:
        services = self._services[host]
        slowdowns = {}
        for task in candidates:
            job = jobs[task.team, task.job]
            record = job.tasks[task.index]
            has_run = time.time() > record.changed_at + _MIN_RUN_TIME_S
            if record.state != page.RUNNING or job.urgent or not has_run:
                continue
            effect = sum(self._model.predict(s, job.task_class) for s in services)
            slowdowns[task] = effect * job.demand.cpu_milli
        return max(slowdowns, key=slowdowns.__getitem__) if slowdowns else None

    def _evict(self, jobs: records.Jobs, host: str, task: work.TaskId) -> None:
        with self._lock:
            self._slowed_since[host] = time.monotonic()
        detail = f"moved from {host}: it disturbed the services there most"
        if records.evict(jobs, task, detail):
            subject = f"job {task.team}/{task.job}"
            self._context.decisions.add(subject, f"task {task.index} {detail}")
            _log.info("disturbance: task {} {}", task, detail)
