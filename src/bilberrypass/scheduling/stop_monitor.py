"""Log events and a metric of runs that outlast the cancellation of their job."""

import collections.abc as abc
import typing as t

import prometheus_client as prometheus

from bilberrypass import clock
from bilberrypass.observing import decisions
from bilberrypass.scheduling import hosts, messages, state

# An order, up to 0.9 s for the runner to stop the run, and two reports.
_OVERDUE_AFTER_S: t.Final = 2.0
_CHECK_INTERVAL_S: t.Final = 0.5
_LOG_INTERVAL_S: t.Final = 2.0  # for each run
_MAX_LINES_PER_CHECK: t.Final = 10
_STALE_AFTER_S: t.Final = 3.0  # several checks of a scheduler that leads

_overdue_runs = prometheus.Gauge(
    "bilberrypass_runs_stop_overdue",
    "Runs that are active over 2 s after their job was seen as cancelled or failed",
)

State = messages.RunState

HostRun = tuple[str, str, int]


class _ReportedRow(t.NamedTuple):
    """State of a run's row, and when the report with it arrived."""

    state: State
    at: float


@t.final
class StopMonitor:
    """Records the runs of cancelled and failed jobs that are not stopped in time.

    Owned by the scheduler's thread, except for ``count_overdue``.
    """

    def __init__(self) -> None:
        self._stopping_since: dict[str, float] = {}  # by job
        self._rows: dict[HostRun, _ReportedRow] = {}
        self._next_line_at: dict[HostRun, float] = {}
        self._checked_at = 0.0
        self._overdue = 0
        _overdue_runs.set_function(self.count_overdue)

    def count_overdue(self) -> int:
        """Return the number of overdue runs; 0 once the scheduler has stopped."""
        is_stale = clock.now() - self._checked_at > _STALE_AFTER_S
        return 0 if is_stale else self._overdue

    def on_row(self, host: hosts.Host, row: messages.RunRow) -> None:
        """Remember the reported state of a run whose job is to end."""
        key = host.name, row.task, row.run
        self._rows[key] = _ReportedRow(State(row.state), host.reported_at)

    def tick(
        self,
        open_jobs: abc.Iterable[state.JobState],
        fleet: abc.Mapping[str, hosts.Host],
        now: float,
    ) -> None:
        """Count and log overdue runs; ``now`` is on ``clock.now``."""
        if now < self._checked_at + _CHECK_INTERVAL_S:
            return
        self._checked_at = now
        stopping = [job for job in open_jobs if job.cancelled or job.failed]
        self._stopping_since = {
            job.job.id: self._stopping_since.get(job.job.id, now) for job in stopping
        }
        self._rows = {
            key: row
            for key, row in self._rows.items()
            if key[1].partition(".")[0] in self._stopping_since
        }
        overdue = [
            task
            for job in stopping
            if now - self._stopping_since[job.job.id] > _OVERDUE_AFTER_S
            for task in job.occurrences.begun_tasks()
            if task.is_active
        ]
        self._overdue = len(overdue)
        self._next_line_at = {
            key: at for key, at in self._next_line_at.items() if at > now
        }
        lines_left = _MAX_LINES_PER_CHECK
        for task in overdue:
            if lines_left and self._is_line_due(_key(task), now):
                lines_left -= 1
                self._record_overdue(task, fleet[task.host], now)

    def _is_line_due(self, key: HostRun, now: float) -> bool:
        if self._next_line_at.get(key, 0.0) > now:
            return False
        self._next_line_at[key] = now + _LOG_INTERVAL_S
        return True

    def _record_overdue(self, task: state.Task, host: hosts.Host, now: float) -> None:
        sent = host.sent.get((str(task.key), task.run))
        row = self._rows.get(_key(task))
        is_listed = row is not None and row.at == host.reported_at
        decisions.record(
            "run.stop_overdue",
            task=str(task.key),
            run=task.run,
            host=host.name,
            life=task.life,
            host_life=host.life,
            phase=task.phase.name,
            stored=task.is_stored,
            since_s=round(now - self._stopping_since[task.key.job], 2),
            row=row.state.name if row is not None and is_listed else "",
            order_ago_s=None if sent is None else round(now - sent.at, 2),
            agent_restarted=sent is not None and sent.agent != host.agent,
            reported_ago_s=round(now - host.reported_at, 2) if host.agent else None,
            runner_silent_s=round(host.answered_ago_s, 2),
        )


def _key(task: state.Task) -> HostRun:
    return task.host, str(task.key), task.run
