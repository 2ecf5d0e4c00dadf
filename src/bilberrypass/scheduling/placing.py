"""Starts waiting tasks in rank order; each start is stored before it is ordered."""

import collections.abc as abc
import typing as t

import prometheus_client as prometheus

from bilberrypass import clock
from bilberrypass.observing import decisions
from bilberrypass.scheduling import (
    attempt_limits,
    backfilling,
    forecast_publishing,
    full_demands,
    hosts,
    isolating,
    jobs,
    ordering,
    passing_over,
    placement,
    reservations,
    room_plan,
    start_orders,
    state,
    wait_figures,
    waiting_tasks,
)

if t.TYPE_CHECKING:
    from bilberrypass.scheduling import scheduler

_FIRST_REPORTS_WAIT_S: t.Final = 0.5  # agents start within a few tenths of a second
_ROUND_SPACING: t.Final = 4.0  # at most a quarter of the time goes into rounds
_MAX_ROUND_INTERVAL_S: t.Final = 0.2
_STARVED_AFTER_S: t.Final = 1.5  # half the time for which a job may be idle

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
        self.waits = wait_figures.FirstStartWaits()
        self._crowded: dict[str, bool] = {}  # by service, until the next start
        share = reservations.MAX_HOST_SHARE if owner.cfg.has_reservations else 0.0
        self._reservations = reservations.Reservations(
            room_plan.corrected_end(owner.durations), share
        )
        self._rescuer = passing_over.Rescuer()
        self._orders = start_orders.StartOrders(owner)
        # Demands refused in this round: for the starts of hosts, and for their room.
        self._paced = full_demands.FullDemands()
        self._refused_first = full_demands.FullDemands()
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
        full = full_demands.FullDemands()
        self._paced = full_demands.FullDemands()
        self._refused_first = full_demands.FullDemands()
        self._crowded.clear()
        self._reservations.begin_round(usable, now)
        ranked = self._ranked_jobs(usable, now, unix_now)
        for job, queue in ranked:
            try:
                self._place_job(job, queue, usable, full, now, unix_now)
            except Exception as exc:
                self._scheduler.quarantine.add(job.job.id, "placement", exc)
        self._reservations.end_round()
        if self._scheduler.cfg.refuses_hopeless and self._forecasts.is_due(now):
            self._forecast(ranked, usable, full, now, unix_now)

    def _forecast(
        self,
        ranked: list[tuple[state.JobState, jobs.Queue]],
        usable: list[hosts.Host],
        full: full_demands.FullDemands,
        now: float,
        unix_now: float,
    ) -> None:
        """Renew the forecasts for entries from a round that has ended."""
        room = ordering.measure_room(usable)
        known = self._scheduler.durations.known_at(now)
        found = forecast_publishing.Round(
            ranked,
            full.pools(),
            forecast_publishing.measure_rooms(usable),
            lambda job, queue, at: ordering.rank(
                job, queue, at, unix_now + at - now, room, known
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
        learned = self._scheduler.durations
        quarantine = self._scheduler.quarantine
        found: list[tuple[ordering.Rank, state.JobState, jobs.Queue]] = []
        for id, job in list(self._scheduler.open_jobs.items()):
            queue = self._scheduler.queue_of(job)
            if queue is None or job.cancelled or job.failed or id in quarantine:
                continue
            if attempt_limits.fail_if_spent(self._scheduler, job, queue):
                continue
            try:
                rank = ordering.rank(job, queue, now, unix_now, room, learned)
            except Exception as exc:
                quarantine.add(id, "rank", exc)
            else:
                found.append((rank, job, queue))
        ordered = self._rescuer.sort(found, room, now)
        return [(job, queue) for _, job, queue in ordered]

    def _place_job(
        self,
        job: state.JobState,
        queue: jobs.Queue,
        usable: list[hosts.Host],
        full: full_demands.FullDemands,
        now: float,
        unix_now: float,
    ) -> None:
        started: list[state.Task] = []
        unplaced: list[state.Task] = []
        is_first = not job.occurrences.next
        passed: set[int] = set()  # steps of which no host can hold a fresh task
        for step in job.eligible_steps(unix_now, passed):
            suspects = [
                task
                for task in step.tasks.values()
                if task.is_waiting and now >= task.not_before and task.crashes
            ]
            waiting = waiting_tasks.find(step, job.room_for_tasks(step), now)
            if waiting:
                started += self._place_step(waiting, queue, usable, full, now)
                if waiting:
                    unplaced.append(waiting[0])
                    if not step.step.max_per_host:
                        passed.add(step.key[2])
            for task in suspects:
                is_placed = self._place_suspect(task, queue, usable, now)
                (started if is_placed else unplaced).append(task)
        is_paced = not self._paced.is_empty
        if is_paced and unplaced and not started and not job.has_runs:
            started += self._start_first(unplaced[0], queue, usable, now)
        if started or not unplaced:
            job.idle_since = 0.0
        elif job.is_idle_for(_STARVED_AFTER_S, now) and not self._is_crowded(
            usable, queue
        ):
            started += self._start_starved(unplaced[0], queue, usable, now)
        if started:
            if is_first:
                _wait_seconds.observe(now - job.accepted_at)
                self.waits.observe(job, now)
            runs = [(task, task.run) for task in started]
            self._scheduler.write_progress(job, lambda: self._orders.order_stored(runs))
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
        waiting: waiting_tasks.WaitingTasks,
        queue: jobs.Queue,
        usable: list[hosts.Host],
        full: full_demands.FullDemands,
        now: float,
    ) -> list[state.Task]:
        """Start the first tasks of a step that fit; return and remove them."""
        step, service = waiting[0].step, queue.service
        owner = backfilling.precedence(waiting[0].job, queue)
        if full.covers(step, service):
            self._reserve(waiting, queue, owner, now)
            return []
        if self._paced.covers(step, service):
            return []
        guard = self._reservations.guard(waiting[0], owner)
        if guard is not None and full.covers_held(step, service, guard):
            self._reserve(waiting, queue, owner, now, was_held_back=True)
            return []
        chooser = self._make_chooser(waiting[0], service, usable, now, guard)
        for count, task in enumerate(waiting):
            host = chooser.choose(task)
            if host is None and chooser.was_paced:
                self._paced.add(step, service)
                started = waiting.pop_first(count)
                self._reservations.on_placed(started)
                return started
            if host is None:
                was_held_back = guard is not None and guard.has_refused
                if guard is not None and was_held_back:
                    full.add_held(step, service, guard)
                else:
                    full.add(step, service)
                started = waiting.pop_first(count)
                self._reservations.on_placed(started)
                self._reserve(waiting, queue, owner, now, was_held_back)
                return started
            self._start_run(task, host, now)
        started = waiting.pop_first(len(waiting))
        self._reservations.on_placed(started)
        return started

    def _reserve(
        self,
        waiting: waiting_tasks.WaitingTasks,
        queue: jobs.Queue,
        owner: backfilling.Precedence,
        now: float,
        was_held_back: bool = False,
    ) -> None:
        """Reserve room for tasks that found none, if they are among the first."""
        if self._reservations.can_reserve(waiting[0], owner, was_held_back):
            chooser = self._make_chooser(waiting[0], queue.service, (), now)
            self._reservations.reserve(waiting, owner, chooser, was_held_back)

    def _make_chooser(
        self,
        task: state.Task,
        service: str,
        candidates: abc.Iterable[hosts.Host],
        now: float,
        guard: backfilling.Guard | None = None,
    ) -> placement.StepPlacement:
        return placement.StepPlacement(
            task.step,
            jobs.step_key(task.key),
            service,
            candidates,
            self._scheduler.estimates,
            now,
            guard=guard,
            is_paced=True,
        )

    def _place_suspect(
        self,
        task: state.Task,
        queue: jobs.Queue,
        usable: list[hosts.Host],
        now: float,
    ) -> bool:
        """Start a task that may crash its runner, apart from others; return success."""

        def choose(needs_quiet: bool) -> hosts.Host | None:
            return self._choose_host(task, queue, usable, now, needs_quiet=needs_quiet)

        host = isolating.choose_host(task, usable, choose, now)
        if host is None:
            return False
        self._start_run(task, host, now)
        return True

    def _is_crowded(self, usable: list[hosts.Host], queue: jobs.Queue) -> bool:
        found = self._crowded.get(queue.service)
        if found is None:
            found = self._crowded[queue.service] = ordering.is_crowded(
                usable, queue.service
            )
        return found

    def _start_first(
        self,
        task: state.Task,
        queue: jobs.Queue,
        usable: list[hosts.Host],
        now: float,
    ) -> list[state.Task]:
        """Start a task of a job without runs, though its host has enough starts.

        It begins behind those that were sent before, not behind all that wait. If few
        cores are free, the order of the jobs decides.
        """
        step, service = task.step, queue.service
        is_paced = self._paced.covers(step, service)
        if not is_paced or self._refused_first.covers(step, service):
            return []
        if self._is_crowded(usable, queue):
            return []
        host = self._choose_host(task, queue, usable, now)
        if host is None:
            self._refused_first.add(step, service)
            return []
        self._start_run(task, host, now)
        return [task]

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
        host = self._choose_host(task, queue, usable, now, is_starved=True)
        if host is None:
            return []
        decisions.record("job.starved", job=task.key.job, host=host.name)
        self._start_run(task, host, now)
        task.job.idle_since = 0.0
        return [task]

    def _choose_host(
        self,
        task: state.Task,
        queue: jobs.Queue,
        usable: list[hosts.Host],
        now: float,
        is_starved: bool = False,
        needs_quiet: bool = True,
    ) -> hosts.Host | None:
        owner = backfilling.precedence(task.job, queue)
        guard = self._reservations.guard(task, owner)
        estimates = self._scheduler.estimates
        return placement.choose_host(
            task, queue.service, usable, estimates, now, is_starved, guard, needs_quiet
        )

    def _start_run(self, task: state.Task, host: hosts.Host, now: float) -> None:
        """Assign a task to a host as a new run, which is ordered once it is stored."""
        self._crowded.clear()
        task.job.begin_task(task)
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
