"""Jobs that a real placer starts on fake hosts, in simulated time."""

import collections
import typing as t

from bilberrypass import clock
from bilberrypass.scheduling import (
    hosts,
    jobs,
    messages,
    queues,
    scheduler,
    sending,
    state,
)
from testing.standins import keyvalues

STEP_S = 0.1
QUEUE = jobs.Queue("q", "p", priority=0, stretch=2.0, latency_objective_s=1.0)
_TABLE = queues.RouteTable(
    queues.Config(1, (queues.Route("h", "/q/", QUEUE),), queues.Limits())
)


class _NoSender(sending.OrderSender):
    def send(self, *args: t.Any) -> None:
        pass

    def stop(self) -> None:
        pass


class Stream:
    """Hosts of 16 cores, and jobs whose tasks take their true durations.

    ``starts`` maps each job to the hosts and times of its tasks' starts in their order,
    ``ends`` to the time of its end; times are seconds since the beginning.
    """

    has_reservations = True

    def __init__(self, count, has_reservations=None, cpu=16_000):
        self.starts = collections.defaultdict(list)
        self.ends: dict[str, float] = {}
        self.durations_s: dict[str, float] = {}
        self.began_at = self.now = clock.now()
        self.hosts = {f"h{n}": _make_host(f"h{n}", cpu) for n in range(count)}
        if has_reservations is not None:
            self.has_reservations = has_reservations
        self.jobs: dict[str, state.JobState] = {}
        self._started_s: dict[tuple[str, int], float] = {}
        self.elect()

    @property
    def elapsed_s(self):
        return self.now - self.began_at

    @property
    def reservations(self):
        """The reservations that the placer holds, by host."""
        return self.scheduler._placer._reservations.held

    def elect(self):
        """Let a new scheduler take over what runs and waits."""
        self.scheduler = scheduler.Scheduler(
            keyvalues.Store(),
            1,
            scheduler.Settings(5.0, 120.0, self.has_reservations),
            lambda: _TABLE,
            clock.now,
            lambda why: None,
            lambda on_failed: _NoSender(),
        )
        self.scheduler.is_loaded = True
        self.scheduler._placer._reports_due_at = 0.0
        self.scheduler.hosts = self.hosts
        for host in self.hosts.values():
            for task in host.tasks.values():
                task.started_at = 0.0  # no leader stores it
        for job in self.jobs.values():
            self.scheduler.durations.mean_work.add(job.job)
            if job.job.id not in self.ends:
                self.scheduler.jobs[job.job.id] = job
                self.scheduler.open_jobs[job.job.id] = job

    def submit(self, id, *steps, duration_s):
        """Submit a job; each of its tasks takes ``duration_s``."""
        job = state.JobState(jobs.Job(id, "h/q/", "", steps, 0.0), self.now)
        self.jobs[id] = self.scheduler.jobs[id] = job
        self.scheduler.open_jobs[id] = job
        self.scheduler.durations.mean_work.add(job.job)
        self.durations_s[id] = duration_s
        return job

    def cancel(self, id):
        self.scheduler.open_jobs.pop(id).cancelled = True

    def lose(self, name):
        """Let a host vanish with its runs, whose tasks wait again."""
        host = self.hosts.pop(name)
        for task in list(host.tasks.values()):
            host.remove(task)
            task.phase = state.Phase.WAITING

    def step(self):
        """End what is due, report progress, and place what waits."""
        self.now += STEP_S
        for host in self.hosts.values():
            host.reported_at = self.now
            for task in list(host.tasks.values()):
                self._run(host, task)
        self.scheduler._set_intake_read(self.now)
        self.scheduler._placer._place_waiting(self.now)
        self.scheduler._progress._dirty.clear()
        for host in self.hosts.values():
            for key, task in host.tasks.items():
                if key not in self._started_s:
                    self._started_s[key] = self.elapsed_s
                    self.starts[task.key.job].append((host.name, self.elapsed_s))

    def _run(self, host, task):
        task.is_stored, task.phase = True, state.Phase.RUNNING
        if task.step.is_service:
            return
        job = task.key.job
        took_s = self.elapsed_s - self._started_s[str(task.key), task.run]
        done = took_s / self.durations_s[job] + 1e-6
        task.progress.observe(min(99, int(done * 100)), 100, self.now)
        if done >= 1.0:
            host.remove(task)
            task.job.finish_task(task)
            if not task.job.occurrences.has_open_tasks:
                self.ends[job] = self.elapsed_s
                self.scheduler.open_jobs.pop(job)

    def run_until(self, condition, limit_s=120.0):
        """Step until a condition holds."""
        while not condition():
            assert self.elapsed_s < limit_s, "not reached in time"
            self.step()


def _make_host(name, cpu):
    host = hosts.Host(name, 0.0)
    host.runner = messages.RunnerInfo(name, 1, "p", cpu, 64_000, 0, ("a", "r1"))
    return host
