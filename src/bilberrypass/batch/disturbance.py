"""The move of batch tasks away from services that they disturb."""

import threading
import time
import typing as t

import logbook

from bilberrypass.batch import interference, placing, records
from bilberrypass.connection import messages
from bilberrypass.execution import throttle
from bilberrypass.version import configuration, page, work

_log = logbook.Logger("disturbance")

_MOVE_AFTER_S: t.Final = 30.0
_LEAST_RUN_S: t.Final = 30.0


@t.final
class Mover:
    """Moves the most disturbing task of a host where throttling did not help.

    One for all shards of an entry: at most one move for each host and interval.

    Parameters
    ----------
    tools : placing.Tools
        The budget of evictions and the record of reasons.
    model : interference.Model
        Tells which task disturbs most.
    """

    def __init__(self, tools: placing.Tools, model: interference.Model) -> None:
        self._tools = tools
        self._model = model
        self._lock = threading.Lock()
        self._high_since: dict[str, float] = {}
        self._services: dict[str, list[str]] = {}

    def hear(self, report: messages.Report) -> None:
        """Note whether services are disturbed on a host."""
        with self._lock:
            if throttle.worst(report.usage) <= throttle.HIGH:
                self._high_since.pop(report.host, None)
                return
            assert report.usage is not None
            self._services[report.host] = [name for name, _ in report.usage.slowdown]
            self._high_since.setdefault(report.host, time.monotonic())

    def move(
        self, jobs: records.Jobs, on_host: t.Mapping[str, list[work.TaskId]]
    ) -> None:
        """Evict a task of each host that has been disturbed for long."""
        limit = time.monotonic() - _MOVE_AFTER_S
        for host, since in list(self._high_since.items()):
            if since > limit or not self._is_allowed(host):
                continue
            task = self._most_disturbing(jobs, host, on_host.get(host, []))
            if task is not None and self._tools.budget.spend(1):
                self._move_one(jobs, host, task)

    def _is_allowed(self, host: str) -> bool:
        subject = configuration.Subject(host=host)
        return self._tools.values(subject).throttle_on_disturbance

    def _most_disturbing(
        self, jobs: records.Jobs, host: str, found: list[work.TaskId]
    ) -> work.TaskId | None:
        services = self._services[host]
        effects = {}
        for task in found:
            job = jobs[task.team, task.job]
            record = job.tasks[task.index]
            has_run = time.time() > record.changed_at + _LEAST_RUN_S
            if record.state != page.RUNNING or job.urgent or not has_run:
                continue
            effect = sum(self._model.predict(s, job.task_class) for s in services)
            effects[task] = effect * job.demand.cpu_milli
        return max(effects, key=effects.__getitem__) if effects else None

    def _move_one(self, jobs: records.Jobs, host: str, task: work.TaskId) -> None:
        with self._lock:
            self._high_since[host] = time.monotonic()
        detail = f"moved from {host}: it disturbed the services there most"
        if records.evict(jobs, task, detail):
            subject = f"job {task.team}/{task.job}"
            self._tools.decisions.note(subject, f"task {task.index} {detail}")
            _log.info("disturbance: {} {}", task, detail)
