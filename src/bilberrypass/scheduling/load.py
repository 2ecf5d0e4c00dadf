"""Logs a scheduler's load, and the ends of its jobs."""

import collections.abc as abc
import typing as t

import prometheus_client as prometheus

from bilberrypass.observing import decisions
from bilberrypass.scheduling import (
    hosts,
    jobs,
    leader_gauges,
    room_plan,
    state,
    wait_figures,
    work_budget,
)

_LOG_INTERVAL_S: t.Final = 2.0  # 30 lines a minute
_FULL_PACE_PERCENT: t.Final = 100

_open_jobs = leader_gauges.create("bilberrypass_jobs_open", "Jobs that are not final")
_ended_jobs = prometheus.Counter("bilberrypass_jobs_ended", "Jobs ended", ["status"])
_largest_cores = leader_gauges.create(
    "bilberrypass_largest_task_cores",
    "Cores of the largest task that fits on a host, by kind of host",
    ["kind"],
)
_job_seconds = prometheus.Histogram(
    "bilberrypass_job_seconds",
    "Time from acceptance to the end of a job",
    buckets=(0.5, 1, 2, 4, 8, 16, 32, 64, 128),
)


def record_job_end(job: state.JobState) -> None:
    """Record the final status of a job, and the time that it took."""
    took_s = job.final_since - job.accepted_at
    _ended_jobs.labels(job.status).inc()
    _job_seconds.observe(took_s)
    decisions.record(
        "job.ended", job=job.job.id, status=job.status, took_s=round(took_s, 3)
    )


@t.final
class LoadLogger:
    """Logs the load periodically, so that waiting times can be explained later.

    Parameters
    ----------
    waits : wait_figures.FirstStartWaits
        The waits of the jobs that have started.
    budget : work_budget.WorkBudget
        What all jobs hold.
    """

    def __init__(
        self, waits: wait_figures.FirstStartWaits, budget: work_budget.WorkBudget
    ) -> None:
        self._waits = waits
        self._budget = budget
        self._next_at = 0.0

    def tick(
        self,
        jobs: abc.Collection[state.JobState],
        fleet: abc.Collection[hosts.Host],
        now: float,
        unix_now: float,
    ) -> None:
        """Log one line if the interval has passed; ``now`` is on ``clock.now``."""
        _open_jobs.set(len(jobs))
        if now < self._next_at or not jobs:
            return
        self._next_at = now + _LOG_INTERVAL_S
        decisions.record(
            "scheduler.load",
            **_job_figures(jobs, unix_now),
            **_host_figures(fleet, now),
            **self._budget.figures(),
            largest_gaps=_observe_gaps(fleet, now),
            waits={
                queue: [round(mean_s, 2) for mean_s in waits]
                for queue, waits in self._waits.by_queue().items()
            },
        )


def _observe_gaps(
    fleet: abc.Collection[hosts.Host], now: float
) -> dict[str, tuple[float, int]]:
    """Return the cores and the memory of the largest task that fits, by kind."""
    usable = [host for host in fleet if host.is_usable(now)]
    gaps = room_plan.largest_gaps(usable)
    _largest_cores.clear()
    for kind, free in gaps.items():
        _largest_cores.labels(kind).set(free.cpu_milli / jobs.MILLI_PER_CORE)
    return {
        kind: (free.cpu_milli / jobs.MILLI_PER_CORE, free.memory_mb)
        for kind, free in gaps.items()
    }


def _job_figures(
    jobs: abc.Collection[state.JobState], unix_now: float
) -> dict[str, t.Any]:
    idle_jobs = fillers = others = 0
    for job in jobs:
        for step, waiting in job.occurrences.waiting_counts(unix_now):
            fillers += waiting * step.is_filler
            others += waiting * (not step.is_filler)
        idle_jobs += not job.has_runs
    return {
        "jobs": len(jobs),
        "jobs_idle": idle_jobs,
        "fillers_waiting": fillers,
        "others_waiting": others,
    }


def _host_figures(fleet: abc.Collection[hosts.Host], now: float) -> dict[str, t.Any]:
    fillers = [
        task for host in fleet for task in host.tasks.values() if task.step.is_filler
    ]
    runners = [host.runner for host in fleet if host.runner is not None]
    paced_milli = sum(task.pace * task.step.cpu_milli for task in fillers)
    return {
        "hosts": len(fleet),
        "hosts_usable": sum(host.is_usable(now) for host in fleet),
        "hosts_start_limited": sum(host.starts.is_full for host in fleet),
        "starts_pending": sum(len(host.starts) for host in fleet),
        "hosts_avoided": sum(now < host.avoid_until for host in fleet),
        "cores": sum(runner.cpu_milli for runner in runners) // jobs.MILLI_PER_CORE,
        "cores_services": sum(host.service_cpu for host in fleet)
        // jobs.MILLI_PER_CORE,
        "cores_others": sum(h.used_cpu - h.service_cpu for h in fleet)
        // jobs.MILLI_PER_CORE,
        "fillers": len(fillers),
        "cores_fillers": sum(host.filler_cpu for host in fleet) // jobs.MILLI_PER_CORE,
        "cores_fillers_paced": paced_milli
        // (_FULL_PACE_PERCENT * jobs.MILLI_PER_CORE),
        "cores_fillers_used": sum(task.figure for task in fillers)
        // jobs.MILLI_PER_CORE,
    }
