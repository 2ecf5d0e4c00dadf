"""Counts the crashes of runners under tasks, and gives up tasks that cause them."""

import typing as t

import prometheus_client as prometheus

from bilberrypass import crash_limits
from bilberrypass.observing import decisions
from bilberrypass.scheduling import hosts, messages, state

if t.TYPE_CHECKING:
    from bilberrypass.scheduling import scheduler

_crashed_runs = prometheus.Counter(
    "bilberrypass_runs_crashed", "Runs that count as a possible cause of a crash"
)


@t.final
class CrashCounter:
    """Counts crashes against the tasks that may have caused them.

    Evidence may come late, repeatedly and out of order, since agents repeat their
    crashes to each scheduler; each run counts once.

    Parameters
    ----------
    owner : scheduler.Scheduler
        Holds the jobs, and stores their progress.
    """

    def __init__(self, owner: "scheduler.Scheduler") -> None:
        self._scheduler = owner

    def count(self, host: hosts.Host, report: messages.Report) -> list[state.JobState]:
        """Count the crashes of a host's earlier lives; return the jobs to fail.

        A crash that a replaced agent reported counts when the next life is reported.
        """
        crashes = {crash.life: crash for crash in report.crashes}
        if host.crash is not None:
            crashes.setdefault(host.crash.life, host.crash)
        if all(crash.life != host.life for crash in report.crashes):
            crashes.pop(host.life, None)  # it has answered since
        host.crash = crashes.pop(host.life, None)
        counted = (
            self._count_run(host, crash, run)
            for crash in crashes.values()
            for run in crash.runs
        )
        return [job for job in counted if job is not None]

    def count_lost(self, host: hosts.Host, task: state.Task) -> state.JobState | None:
        """Count a crash whose runner has not come back before its runs were given up.

        Returns the job if that is to fail.
        """
        if host.crash is None or host.crash.life != task.life:
            return None
        key = str(task.key), task.run
        for run in host.crash.runs:
            if (run.task, run.run) == key:
                return self._count_run(host, host.crash, run)
        return None

    def _count_run(
        self,
        host: hosts.Host,
        runner_crash: messages.RunnerCrash,
        lost: messages.StartedRun,
    ) -> state.JobState | None:
        """Count a crash against one run; return its job if that is to fail."""
        task = self._scheduler.find_open_task(lost.task)
        crash = crash_limits.Crash(lost.run, lost.min_age_s, lost.age_s)
        if task is None or not task.add_crash(crash):
            return None
        _crashed_runs.inc()
        decisions.record(
            "run.crashed",
            task=lost.task,
            run=lost.run,
            host=host.name,
            life=runner_crash.life,
            min_age_s=round(lost.min_age_s, 3),
            age_s=round(lost.age_s, 3),
            crashes=len(task.crashes),
        )
        self._scheduler.write_progress(task.job)
        if not crash_limits.is_given_up(task.crashes):
            return None
        if _may_be_innocent(task, runner_crash, lost):
            return None
        if task.job.cancelled or task.job.failed:
            return None
        task.job.failed = True
        decisions.record(
            "job.failing",
            job=task.job.job.id,
            task=lost.task,
            host=host.name,
            why=f"{len(task.crashes)} runners crashed under a task",
        )
        return task.job

    def clear_outlived(self, task: state.Task, now: float) -> None:
        """Forget the crashes of a task whose newest run has outlived them.

        ``now`` is when its runner last answered, on ``clock.now``.
        """
        if task.clear_outlived_crashes(now):
            decisions.record("run.cleared", task=str(task.key), run=task.run)
            self._scheduler.write_progress(task.job)


def _may_be_innocent(
    task: state.Task, runner_crash: messages.RunnerCrash, lost: messages.StartedRun
) -> bool:
    """Return whether a lasting task crashed with others of the line that it waited in.

    Its next run is alone, however long it waits.
    """
    others_s = [run.age_s for run in runner_crash.runs if run is not lost]
    return (
        task.step.is_service
        and len(task.crashes) <= crash_limits.MAX_CRASHES
        and crash_limits.is_shared(lost.age_s, others_s)
    )
