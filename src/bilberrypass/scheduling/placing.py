"""Starts waiting tasks in rank order; each start is stored before it is ordered."""

import typing as t

import prometheus_client as prometheus

from bilberrypass import clock, crash_limits
from bilberrypass.observing import decisions
from bilberrypass.scheduling import (
    forecast_publishing,
    hosts,
    jobs,
    messages,
    ordering,
    placement,
    queue_forecast,
    reconciling,
    state,
)

if t.TYPE_CHECKING:
    from bilberrypass.scheduling import scheduler

_FIRST_REPORTS_WAIT_S: t.Final = 0.5  # agents start within a few tenths of a second
_CROWDED_CPU_SHARE: t.Final = 0.6  # RULES.md: a job may wait while half is in use
_ROUND_SPACING: t.Final = 4.0  # at most a quarter of the time goes into rounds
_MAX_ROUND_INTERVAL_S: t.Final = 0.2
_STARVED_AFTER_S: t.Final = 1.5  # RULES.md: half the time that a job may be idle

_started_runs = prometheus.Counter("bilberrypass_runs_started", "Runs ordered")
_wait_seconds = prometheus.Histogram(
    "bilberrypass_first_start_seconds", "Time from acceptance to a job's first start"
)


@t.final
class Placer:
    """Starts the waiting tasks of a scheduler.

    Parameters
    ----------
    owner : scheduler.Scheduler
        Owns jobs and hosts, and writes changed progress.
    """

    def __init__(self, owner: "scheduler.Scheduler") -> None:
        self._scheduler = owner
        self._reports_due_at: float | None = None
        self._next_round_at = 0.0
        self._forecasts = forecast_publishing.ForecastPublisher(owner.epoch)
        if owner.cfg.refuses_hopeless:
            owner.publisher.next_forecast = self._forecasts.put_if_due

    def place(self, now: float) -> None:
        """Start as many waiting tasks as fit, in rank order.

        Rounds are spaced by their duration, so that reports and writes are processed
        in between, on a fleet on which a round takes long.
        """
        if now < self._next_round_at:
            return
        self._place_waiting(now)
        took_s = clock.now() - now
        self._next_round_at = now + min(_MAX_ROUND_INTERVAL_S, _ROUND_SPACING * took_s)

    def _place_waiting(self, now: float) -> None:
        usable = self._scheduler.usable_hosts(now)
        if not usable or not self._has_waited_for_reports(now):
            return
        if self._scheduler.is_behind(now):
            return
        unix_now = self._scheduler.fleet_clock.unix_time(now)
        full = _FullDemands()
        ranked = self._ranked_jobs(usable, now, unix_now)
        for job, queue in ranked:
            try:
                self._place_job(job, queue, usable, full, now, unix_now)
            except Exception as exc:
                self._scheduler.quarantine.add(job.job.id, "placement", exc)
        if self._scheduler.cfg.refuses_hopeless and self._forecasts.is_due(now):
            self._forecast(ranked, usable, full, now, unix_now)

    def _forecast(
        self,
        ranked: list[tuple[state.JobState, jobs.Queue]],
        usable: list[hosts.Host],
        full: "_FullDemands",
        now: float,
        unix_now: float,
    ) -> None:
        """Renew the forecasts for entries from a round that has ended."""
        room, mean_work = ordering.measure_room(usable), self._scheduler.mean_work
        found = forecast_publishing.Round(
            ranked,
            full.pools(),
            _measure_rooms(usable),
            lambda job, queue, at: ordering.rank(
                job, queue, at, unix_now + at - now, mean_work.of(job.job.queue), room
            ),
            self._scheduler.jobs.get,
        )
        try:
            self._forecasts.observe(found, now)
        except Exception as exc:
            # Placement goes on; the last record lapses, and every job is accepted.
            decisions.record("forecast.failed", why=repr(exc))

    def _has_waited_for_reports(self, now: float) -> bool:
        """Return whether the hosts have had time to report to a new scheduler.

        After the restart of a whole region all runs are lost and all tasks wait, and
        the host whose agent reports first would otherwise get all of them.
        """
        if self._reports_due_at is None:
            self._reports_due_at = now + _FIRST_REPORTS_WAIT_S
        if now < self._reports_due_at and self._scheduler.has_unreported_hosts():
            return False
        self._reports_due_at = 0.0
        return True

    def _ranked_jobs(
        self, usable: list[hosts.Host], now: float, unix_now: float
    ) -> list[tuple[state.JobState, jobs.Queue]]:
        """Return the open jobs with their queues, by rank."""
        room = ordering.measure_room(usable)
        quarantine = self._scheduler.quarantine
        found: list[tuple[ordering.Rank, state.JobState, jobs.Queue]] = []
        for id, job in self._scheduler.open_jobs.items():
            queue = self._scheduler.queue_of(job)
            if queue is None or job.cancelled or job.failed or id in quarantine:
                continue
            mean_work = self._scheduler.mean_work.of(job.job.queue)
            try:
                rank = ordering.rank(job, queue, now, unix_now, mean_work, room)
            except Exception as exc:
                quarantine.add(id, "rank", exc)
            else:
                found.append((rank, job, queue))
        found.sort(key=lambda item: item[0])
        return [(job, queue) for _, job, queue in found]

    def _place_job(
        self,
        job: state.JobState,
        queue: jobs.Queue,
        usable: list[hosts.Host],
        full: "_FullDemands",
        now: float,
        unix_now: float,
    ) -> None:
        started: list[state.Task] = []
        unplaced: list[state.Task] = []
        for tasks in job.eligible_steps(unix_now):
            due = [
                task
                for task in tasks
                if task.phase is state.Phase.WAITING and now >= task.not_before
            ]
            waiting = [task for task in due if not task.crashes]
            if waiting:
                placed = self._place_step(waiting, queue.service, usable, full, now)
                started += waiting[:placed]
                unplaced += waiting[placed : placed + 1]
            for task in due:
                if task.crashes:
                    is_placed = self._place_suspect(task, queue, usable, now)
                    (started if is_placed else unplaced).append(task)
        if started or not unplaced:
            job.idle_since = 0.0
        elif self._is_starved(job, now) and not _is_crowded(usable, queue.service):
            started += self._start_starved(unplaced[0], queue, usable, now)
        if started:
            if job.status is state.Status.QUEUED:
                _wait_seconds.observe(now - job.accepted_at)
            runs = [(task, task.run) for task in started]
            self._scheduler.write_progress(job, lambda: self._order_stored(runs))
            decisions.record(
                "job.placed",
                job=job.job.id,
                tasks={
                    f"{k.occurrence}.{k.step}.{k.index}": task.host
                    for task in started
                    if (k := task.key)
                },
                full_steps=len(unplaced),
            )

    def _place_step(
        self,
        waiting: list[state.Task],
        service: str,
        usable: list[hosts.Host],
        full: "_FullDemands",
        now: float,
    ) -> int:
        """Start the first tasks of a step that fit; return their number."""
        step = waiting[0].step
        if full.covers(step, service):
            return 0
        chooser = placement.StepPlacement(
            step,
            hosts.step_key(waiting[0].key),
            service,
            usable,
            self._scheduler.estimates,
            now,
        )
        for count, task in enumerate(waiting):
            host = chooser.choose(task)
            if host is None:
                full.add(step, service)
                return count
            self._start_run(task, host, now)
        return len(waiting)

    def _place_suspect(
        self,
        task: state.Task,
        queue: jobs.Queue,
        usable: list[hosts.Host],
        now: float,
    ) -> bool:
        """Start a task that may crash its runner, apart from others; return success."""
        isolation = crash_limits.choose_isolation(task.crashes)
        if isolation is crash_limits.Isolation.ALONE:
            reserved = sum(host.is_reserved(now) for host in usable)
            if reserved >= crash_limits.max_reserved_hosts(len(usable)):
                return False
        host = placement.choose_host(
            task, queue.service, usable, self._scheduler.estimates, now
        )
        if host is None:
            return False
        self._start_run(task, host, now)
        return True

    def _is_starved(self, job: state.JobState, now: float) -> bool:
        """Return whether a job that no host accepts has been idle for too long."""
        if job.has_runs:
            job.idle_since = 0.0
            return False
        job.idle_since = job.idle_since or now
        return now - job.idle_since >= _STARVED_AFTER_S

    def _start_starved(
        self,
        task: state.Task,
        queue: jobs.Queue,
        usable: list[hosts.Host],
        now: float,
    ) -> list[state.Task]:
        """Start one task where it slows services least, if any host can hold it.

        Without this, fillers starve beside services near their latency target while
        most of the hosts' cores are free. Each job makes some progress, whatever
        jobs arrive after it. If few cores are free, they are left to jobs that can
        still meet their objective.
        """
        host = placement.choose_host(
            task, queue.service, usable, self._scheduler.estimates, now, is_starved=True
        )
        if host is None:
            return []
        decisions.record("job.starved", job=task.key.job, host=host.name)
        self._start_run(task, host, now)
        task.job.idle_since = 0.0
        return [task]

    def _start_run(self, task: state.Task, host: hosts.Host, now: float) -> None:
        """Assign a task to a host as a new run, which is ordered once it is stored."""
        task.run += 1
        task.host, task.life = host.name, host.life
        task.phase = state.Phase.ORDERED
        task.is_stored = task.may_have_ended = False
        task.started_at = now
        task.pace, task.figure = 100, 0
        task.progress.reset()
        task.running_since = 0.0
        host.record_start(task, now)
        _started_runs.inc()

    def _order_stored(self, runs: list[tuple[state.Task, int]]) -> None:
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
            if host.is_overcommitted and not is_stopping:
                self._withdraw_start(host, task)
                continue
            verb = messages.Verb.STOP if is_stopping else messages.Verb.START
            self._scheduler.queue_order(host, reconciling.make_order(task, verb))

    def _withdraw_start(self, host: hosts.Host, task: state.Task) -> None:
        """Requeue a task whose start was not sent before its host's capacity shrank."""
        host.remove(task)
        task.phase = state.Phase.WAITING
        decisions.record(
            "start.withdrawn",
            task=str(task.key),
            run=task.run,
            host=host.name,
            why="the capacity shrank",
        )
        self._scheduler.write_progress(task.job)


class _FullDemands:
    """The demands for which no host has room left in this round.

    Keeps rounds short while many jobs wait: hosts only get fuller within a round.
    """

    def __init__(self) -> None:
        self._demands: dict[tuple[str, str, str], list[tuple[int, int, int]]] = {}

    def add(self, step: jobs.Step, service: str) -> None:
        """Record that no host can hold a task of a step."""
        if not step.max_per_host:
            self._demands.setdefault(_kind(step, service), []).append(_demand(step))

    def covers(self, step: jobs.Step, service: str) -> bool:
        """Return whether a task that needs no more than this one was refused."""
        demand = _demand(step)
        return any(
            all(a <= b for a, b in zip(refused, demand, strict=True))
            for refused in self._demands.get(_kind(step, service), ())
        )

    def pools(self) -> set[queue_forecast.Pool]:
        """Return the pools with a refused task that any host could take."""
        return {
            queue_forecast.Pool(service, bool(filler))
            for service, label, filler in self._demands
            if not label
        }


def _kind(step: jobs.Step, service: str) -> tuple[str, str, str]:
    """Return what steps share if room for one is room for the other."""
    return service, step.required_label, f"filler {step.image}" * step.is_filler


def _measure_rooms(usable: list[hosts.Host]) -> dict[queue_forecast.Pool, float]:
    """Return the cores of the hosts of each service, for batch tasks and fillers."""
    by_service: dict[str, list[hosts.Host]] = {}
    for host in usable:
        if host.runner is not None:
            by_service.setdefault(host.runner.service, []).append(host)
    rooms = {}
    for service, found in by_service.items():
        room = ordering.measure_room(found)
        rooms[queue_forecast.Pool(service, False)] = room.batch
        rooms[queue_forecast.Pool(service, True)] = room.fillers
    return rooms


def _demand(step: jobs.Step) -> tuple[int, int, int]:
    return step.cpu_milli, step.memory_mb, step.gpus


def _is_crowded(usable: list[hosts.Host], service: str) -> bool:
    """Return whether most cores of the hosts of a service are reserved."""
    used = total = 0
    for host in usable:
        if host.runner is not None and host.runner.service == service:
            used += host.used_cpu
            total += host.runner.cpu_milli
    return used > _CROWDED_CPU_SHARE * total
