"""Starts what waits: the order of the queue and the write-ahead of each start."""

import time
import typing as t

import prometheus_client as prometheus

from bilberrypass.observing import decisions
from bilberrypass.scheduling import (
    hosts,
    jobs,
    messages,
    ordering,
    placement,
    reconciling,
    state,
)

if t.TYPE_CHECKING:
    from bilberrypass.scheduling import scheduler

_GATHER_HOSTS_S: t.Final = 0.5  # agents start within some tenths of a second
_CROWDED: t.Final = 0.6  # RULES.md: a job may wait while half is in use
_STARVED_AFTER_S: t.Final = 1.5  # RULES.md: half of what a job may stand still

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
        self._gather_until: float | None = None

    def place(self, now: float) -> None:
        """Start as many waiting tasks as fit, the most urgent first."""
        usable = self._owner.usable_hosts(now)
        if not usable or not self._has_gathered(now):
            return
        unix_now = time.time()
        for job, queue in self._ordered(unix_now):
            self._place_job(job, queue, usable, now, unix_now)

    def _has_gathered(self, now: float) -> bool:
        """Tell whether the hosts had time to report to a new scheduler.

        Answers the restart of a whole region: everything is lost and waits, and the
        host whose agent is the first to report would get all of it.
        """
        if self._gather_until is None:
            self._gather_until = now + _GATHER_HOSTS_S
        if now < self._gather_until and self._owner.has_silent_hosts():
            return False
        self._gather_until = 0.0
        return True

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
        refused: state.Task | None = None
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
                refused = refused or task
                continue
            self._begin(task, host, now)
            began.append(task)
        if refused is None or began:
            job.idle_since = 0.0
        elif self._is_starved(job, now) and not _is_crowded(usable, queue.service):
            began += self._force(refused, queue, usable, now)
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

    def _is_starved(self, job: state.JobState, now: float) -> bool:
        """Tell whether a job without room has had nothing at work for too long."""
        if job.has_runs:
            job.idle_since = 0.0
            return False
        job.idle_since = job.idle_since or now
        return now - job.idle_since >= _STARVED_AFTER_S

    def _force(
        self,
        task: state.Task,
        queue: jobs.Queue,
        usable: list[hosts.Host],
        now: float,
    ) -> list[state.Task]:
        """Start one task where it presses services least, if it is held at all.

        Answers fillers that wait behind pressed services while most of the hosts'
        room is free: each job gets on, if slowly, whatever came after it. Without
        room, those that can still be in time had better have all of it.
        """
        host = placement.choose(
            task, queue.service, usable, self._owner.estimates, now, is_starved=True
        )
        if host is None:
            return []
        decisions.record("job.starved", job=task.key.job, host=host.name)
        self._begin(task, host, now)
        task.job.idle_since = 0.0
        return [task]

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


def _is_crowded(usable: list[hosts.Host], service: str) -> bool:
    """Tell whether much of the room of a service's hosts is reserved."""
    used = total = 0
    for host in usable:
        if host.runner is not None and host.runner.service == service:
            used += host.used_cpu
            total += host.runner.cpu_milli
    return used > _CROWDED * total
