"""Starts what waits: the order of the queue and the write-ahead of each start."""

import time
import typing as t

import prometheus_client as prometheus

from bilberrypass.hosting import messages
from bilberrypass.observing import decisions
from bilberrypass.scheduling import (
    hosts,
    jobs,
    ordering,
    placement,
    reconciling,
    state,
)

if t.TYPE_CHECKING:
    from bilberrypass.scheduling import scheduler

_starts = prometheus.Counter("bilberrypass_runs_started", "Runs ordered")
_wait_seconds = prometheus.Histogram(
    "bilberrypass_first_start_seconds", "Time from acceptance to a job's first start"
)


@t.final
class Placer:
    """The part of a scheduler that starts tasks.

    Parameters
    ----------
    owner : scheduler.Scheduler
        Holds jobs and hosts, and writes what changes.
    """

    def __init__(self, owner: "scheduler.Scheduler") -> None:
        self._owner = owner

    def place(self, now: float) -> None:
        """Start as many waiting tasks as fit, the most urgent first."""
        usable = [host for host in self._owner.hosts.values() if host.is_usable(now)]
        if not usable:
            return
        unix_now = time.time()
        for job, queue in self._ordered(unix_now):
            self._place_job(job, queue, usable, now, unix_now)

    def _ordered(self, now: float) -> list[tuple[state.JobState, jobs.Queue]]:
        """Return the open jobs by rank, at a Unix time."""
        found = []
        for job in self._owner.open_jobs.values():
            queue = self._owner.queue_of(job)
            if queue is not None and not (job.cancelled or job.failed):
                found.append((job, queue))
        found.sort(key=lambda pair: ordering.rank(*pair, now))
        return found

    def _place_job(
        self,
        job: state.JobState,
        queue: jobs.Queue,
        usable: list[hosts.Host],
        now: float,
        unix_now: float,
    ) -> None:
        full: set[int] = set()
        began: list[state.Task] = []
        for task in job.tasks.values():
            if task.phase is not state.Phase.WAITING or task.key.step in full:
                continue
            if now < task.not_before or not job.is_eligible(task, unix_now):
                continue
            host = placement.choose(
                task, queue.service, usable, self._owner.estimates, now
            )
            if host is None:
                full.add(task.key.step)
                continue
            self._begin(task, host, now)
            began.append(task)
        if began:
            if job.status is state.Status.QUEUED:
                _wait_seconds.observe(max(0.0, unix_now - job.job.accepted_at))
            runs = [(task, task.run) for task in began]
            self._owner.changed(job, lambda: self._release(runs))
            decisions.record(
                "job.placed",
                job=job.job.id,
                tasks={
                    f"{k.occurrence}.{k.step}.{k.index}": task.host
                    for task in began
                    if (k := task.key)
                },
                full_steps=len(full),
            )

    def _begin(self, task: state.Task, host: hosts.Host, now: float) -> None:
        """Give a task to a host as a new run, to be ordered once it is stored."""
        task.run += 1
        task.host, task.life = host.name, host.life
        task.phase = state.Phase.ORDERED
        task.is_stored = False
        task.started_at = now
        task.pace, task.figure = 100, 0
        task.progress.begin()
        host.add(task)
        _starts.inc()

    def _release(self, runs: list[tuple[state.Task, int]]) -> None:
        """Order runs whose start is stored, unless they were given up meanwhile."""
        for task, run in runs:
            host = self._owner.hosts[task.host]
            if host.tasks.get((str(task.key), run)) is not task:
                continue
            task.is_stored = True
            is_stopped = task.phase is state.Phase.STOPPING
            verb = messages.Verb.STOP if is_stopped else messages.Verb.START
            self._owner.order(host, reconciling.order(task, verb))
