"""The scheduler: one thread owns all jobs and hosts while its election holds."""

import collections
import collections.abc as abc
import queue
import threading
import time
import typing as t

import logbook

from bilberrypass import clock
from bilberrypass.observing import decisions
from bilberrypass.scheduling import (
    cleaning,
    durations,
    estimate_publishing,
    evacuations,
    fleet_clock,
    grants,
    hosts,
    intake,
    intake_limit,
    interference,
    job_quarantine,
    jobs,
    keyvalue,
    leader_gauges,
    load,
    loading,
    messages,
    migration,
    orders,
    placing,
    progress_queue,
    queues,
    reconciling,
    responding,
    sending,
    state,
    work_budget,
)

_log = logbook.Logger("scheduler")

TICK_INTERVAL_S: t.Final = 0.1
_EVENT_BATCH_S: t.Final = 0.012  # events within this time share a write
# Two watches of a store that is 60 times slower than usual; a cancelled job may start
# tasks for 3 s.
_MAX_INTAKE_AGE_S: t.Final = 2.7
STORE_CUT_OFF_AFTER_S: t.Final = 2.0  # three renewals of the election lease


class Settings(t.NamedTuple):
    """Lease duration and retention of final jobs, in seconds, and switches."""

    lease_s: float
    status_s: float
    has_reservations: bool = False
    refuses_hopeless: bool = False


Event = abc.Callable[[], None]


@t.final
class Scheduler:
    """Owner of all jobs and hosts for as long as one election holds.

    Parameters
    ----------
    store : keyvalue.Store
        Store of jobs and their progress.
    epoch : int
        Revision of the election key.
    cfg : Settings
        Validated settings.
    table : callable
        Returns the configuration in force, or None.
    last_contact_at : callable
        Returns the send time of the last lease grant or renewal, on ``clock.now``.
    on_leadership_lost : callable
        Called with the reason when this scheduler no longer leads.
    make_sender : callable
        Returns the sender of orders, given the callback for orders that failed.
    evacuated : evacuations.Evacuations
        The failure domains in which no run may start.
    earlier_leases_end : float, optional
        When the leases of earlier schedulers have ended, on ``clock.now``; without it,
        nothing is known of them.
    granting : grants.Grants, optional
        The leases that it may grant.
    """

    def __init__(
        self,
        store: keyvalue.Store,
        epoch: int,
        cfg: Settings,
        table: abc.Callable[[], queues.RouteTable | None],
        last_contact_at: abc.Callable[[], float],
        on_leadership_lost: abc.Callable[[str], None],
        make_sender: abc.Callable[[sending.OnSendFailed], sending.OrderSender],
        evacuated: evacuations.Evacuations = evacuations.NONE,
        earlier_leases_end: float = 0.0,
        granting: grants.Grants | None = None,
    ) -> None:
        self.epoch = epoch
        self.cfg = cfg
        self.jobs: dict[str, state.JobState] = {}
        self.hosts: dict[str, hosts.Host] = {}
        self.open_jobs: dict[str, state.JobState] = {}
        self.quarantine = job_quarantine.JobQuarantine()
        self.budget = work_budget.WorkBudget()
        self.estimates = interference.Estimates()
        self._max_bytes = store.max_value_bytes
        self.publisher = estimate_publishing.EstimatePublisher(
            self.estimates, self._max_bytes
        )
        self.fleet_clock = fleet_clock.FleetClock()
        self.durations = durations.Durations(self.hosts)
        self.early_cancellations: dict[str, float] = {}  # times on clock.now
        self.is_loaded = False
        self._intake_read_until = 0.0
        self._elected_at = clock.now()
        # Lowered once it shows that an earlier leader was gone by then.
        self.earlier_leases_end = earlier_leases_end or grants.unknown_grants_end(
            self._elected_at
        )
        self.unheard_leases_end = 0.0  # granted by this one until it has loaded
        self.grants = granting or grants.Grants(epoch, cfg.lease_s, last_contact_at)
        self._table = table
        self._on_leadership_lost = on_leadership_lost
        self._last_contact_at = last_contact_at
        self._evacuations = evacuated
        self._events: queue.SimpleQueue[Event | None] = queue.SimpleQueue()
        self._orders: dict[str, list[messages.Order]] = collections.defaultdict(list)
        self._progress = progress_queue.ProgressQueue(
            self, store, self._events.put, on_leadership_lost
        )
        self._intake_watcher = intake.IntakeWatcher(
            store, self._on_loaded, self._on_job, self._on_cancel, self._on_intake_read
        )
        self._cleaner = cleaning.Cleaner(
            store, epoch, lambda: cleaning.find_expired(self), self._on_removed
        )
        self._intake_limit = intake_limit.Publisher(store, epoch, self.budget)
        self._sender = make_sender(self._on_orders_failed)
        self._reconciler = reconciling.Reconciler(self)
        self.responder = responding.Responder(self, self._events.put)
        self._placer = placing.Placer(self)
        self._migrator = migration.Migrator(self)
        self._load_log = load.LoadLogger(self._placer.waits, self.budget)
        self._thread = threading.Thread(target=self._run, name="scheduler", daemon=True)

    def start(self) -> None:
        """Start the threads that load, schedule, write and clean up jobs."""
        self._progress.start()
        self._intake_watcher.start()
        self._cleaner.start()
        self._intake_limit.start()
        self._evacuations.start()
        self._thread.start()

    def stop(self) -> None:
        """Stop the threads; runs on hosts continue."""
        self._events.put(None)
        self._progress.stop()
        self._intake_watcher.stop()
        self._cleaner.stop()
        self._intake_limit.stop()
        self._evacuations.stop()
        self._sender.stop()
        self.quarantine.stop()

    # Called from other threads.

    def report(self, report: messages.Report) -> messages.ReportResponse:
        """Apply a report; the response grants a lease if the agent knows its runner."""
        return self.responder.respond(report)

    @property
    def unknown_leases_end(self) -> float:
        """When leases of hosts have ended that do not report, on ``clock.now``."""
        return max(self.earlier_leases_end, self.unheard_leases_end)

    @property
    def is_cut_off(self) -> bool:
        """Return whether the store has not responded recently, so another may lead."""
        return clock.now() - self._last_contact_at() > STORE_CUT_OFF_AFTER_S

    def status(self, id: str) -> str:
        """Return a job's stored status, or an empty string if the job is unknown."""
        job = self.jobs.get(id)
        return "" if job is None else job.stored_status

    def count_waiting(self, name: str) -> int:
        """Return the number of a queue's jobs that have not started."""
        return sum(
            job.job.queue == name and job.status is state.Status.QUEUED
            for job in list(self.open_jobs.values())
        )

    def _on_loaded(self, initial: intake.InitialState) -> None:
        self._events.put(lambda: self._load(initial))

    def _on_job(self, job: jobs.Job) -> None:
        self._events.put(lambda: self._add(job))

    def _on_cancel(self, id: str) -> None:
        self._events.put(lambda: self._cancel(id))

    def _on_intake_read(self, until: float) -> None:
        self._events.put(lambda: self._set_intake_read(until))

    def _on_orders_failed(self, host: str, orders: list[messages.Order]) -> None:
        self._events.put(lambda: self._reconciler.on_orders_failed(host, orders))

    def _on_removed(self, ids: list[str]) -> None:
        self._events.put(lambda: self._remove_jobs(ids))

    # Called on the scheduler's thread.

    def _remove_jobs(self, ids: list[str]) -> None:
        for id in ids:
            if id not in self._progress and (job := self.jobs.pop(id, None)):
                job.release()
            self.early_cancellations.pop(id, None)

    def _run(self) -> None:
        try:
            self._run_event_loop()
        except Exception:
            _log.exception("scheduler: failed; the next leader reloads from the store")
            self._on_leadership_lost("the scheduler failed")
        leader_gauges.reset()

    def _run_event_loop(self) -> None:
        next_tick = 0.0
        while True:
            try:
                event = self._events.get(timeout=TICK_INTERVAL_S)
            except queue.Empty:
                pass
            else:
                if event is None:
                    return
                event()
            time.sleep(_EVENT_BATCH_S)
            while not self._events.empty():
                event = self._events.get()
                if event is None:
                    return
                event()
            if not self.is_loaded:
                continue
            now = clock.now()
            if now >= next_tick:
                next_tick = now + TICK_INTERVAL_S
                self._reconciler.tick(now)
                self._migrator.tick(now)
                evacuations.stop_late_starts(
                    self._evacuations, self.hosts.values(), self._stop_run
                )
                self._load_log.tick(
                    self.open_jobs.values(),
                    self.hosts.values(),
                    now,
                    self.fleet_clock.unix_time(now),
                )
            self._placer.place(now)
            self._progress.write()
            self._flush_orders()

    def _load(self, initial: intake.InitialState) -> None:
        self.jobs = loading.restore_jobs(
            initial, self.quarantine, clock.now(), self._max_bytes, self.budget
        )
        if initial.interference:
            self.estimates.restore(initial.interference)
        for job_state in self.jobs.values():
            self.durations.mean_work.add(job_state.job)
            if not job_state.is_final:
                self.open_jobs[job_state.job.id] = job_state
                self._reconciler.restore_runs(job_state)
            if job_state.failed and not job_state.is_final:
                self._reconciler.stop_job(job_state)
        for id in initial.cancelled:
            self._cancel(id)
        self.is_loaded = True  # before, other threads would see a part
        loading.record_loaded(self, clock.now() - self._elected_at)

    def _add(self, job: jobs.Job) -> None:
        if job.id in self.jobs or job.id in self.quarantine:
            return
        try:
            at = loading.accepted_at(job, clock.now(), self._intake_read_until)
            self.durations.mean_work.add(job)
            added = state.JobState(job, at, self._max_bytes, self.budget)
        except Exception as exc:
            self.quarantine.add(job.id, "intake", exc)
            return
        self.jobs[job.id] = self.open_jobs[job.id] = added
        decisions.record("job.seen", job=job.id, queue=job.queue, steps=len(job.steps))
        if self.early_cancellations.pop(job.id, None):
            self._cancel(job.id)

    def _cancel(self, id: str) -> None:
        job = self.jobs.get(id)
        if job is None:
            # The store lists cancellations before the jobs that they belong to.
            self.early_cancellations.setdefault(id, clock.now())
            decisions.record("job.cancel_early", job=id)
            return
        if job.cancelled or job.is_final:
            return
        job.cancelled = True
        decisions.record("job.cancelling", job=id, runs=job.count_runs())
        self._reconciler.stop_job(job)

    def apply_report(self, report: messages.Report, at: float, lease_s: float) -> bool:
        """Process a report; return False if it does not count, or if that fails."""
        self.fleet_clock.observe(report.host, report.unix_time, at)
        if not self.is_loaded:
            return True
        try:
            return self._reconciler.handle_report(report, at, lease_s)
        except Exception as exc:
            _log.exception("scheduler: a report of host {} failed", report.host)
            decisions.record("host.report_failed", host=report.host, why=repr(exc))
            return False

    def _set_intake_read(self, until: float) -> None:
        self._intake_read_until = until

    def is_behind(self, now: float) -> bool:
        """Return whether a cancellation or an evacuation may be unseen for too long."""
        is_intake_old = now - self._intake_read_until > _MAX_INTAKE_AGE_S
        return is_intake_old or self._evacuations.is_behind(now)

    def usable_hosts(self, now: float) -> list[hosts.Host]:
        """Return the hosts to which new runs may be sent."""
        fleet = self.hosts.values()
        return [h for h in fleet if h.is_usable(now) and not self.is_evacuated(h)]

    def is_evacuated(self, host: hosts.Host) -> bool:
        """Return whether operators want nothing to start on a host for now."""
        return self._evacuations.is_evacuated(host.zone)

    def has_unreported_hosts(self) -> bool:
        """Return whether a host of an earlier scheduler has not reported so far."""
        return any(not host.reported_at for host in self.hosts.values())

    def has_unseen_runs(self, id: str) -> bool:
        """Return whether runs of a job may go on that the scheduler does not track."""
        is_cancelled = id in self.early_cancellations
        return id in self.quarantine and id not in self.jobs and not is_cancelled

    def queue_of(self, job: state.JobState) -> jobs.Queue | None:
        """Return a job's queue, or None if the configuration in force lacks it."""
        table = self._table()
        return None if table is None else table.queues.get(job.job.queue)

    def find_open_task(self, name: str) -> state.Task | None:
        """Return a task of a job that is not final, or None."""
        key = jobs.TaskKey.parse(name)
        job = self.open_jobs.get(key.job) if key is not None else None
        if job is None or key is None:
            return None
        return job.occurrences.find_task(key)

    def write_progress(self, job: state.JobState, effect: Event | None = None) -> None:
        """Mark a job's progress for writing; ``effect`` is called once it is stored."""
        was_final = job.is_final
        job.update_status(clock.now())
        self._progress.add(job.job.id, effect)
        if job.is_final and not was_final:
            self.open_jobs.pop(job.job.id, None)
            load.record_job_end(job)

    def queue_order(self, host: hosts.Host, order: messages.Order) -> None:
        """Queue an order; it is sent with the others at the end of this round."""
        host.sent[order.task, order.run] = hosts.SentOrder(host.agent, clock.now())
        self._orders[host.name].append(order)

    def fail_job(self, job: state.JobState, why: str, **fields: t.Any) -> None:
        """Fail a job, unless it was cancelled, and stop its runs."""
        self._reconciler.fail_job(job, why, **fields)

    def _stop_run(self, host: hosts.Host, task: state.Task) -> None:
        task.phase = state.Phase.STOPPING
        self.queue_order(host, orders.make_order(task, messages.Verb.STOP))

    def _flush_orders(self) -> None:
        for name, sent in self._orders.items():
            host = self.hosts[name]
            if host.address:
                self._sender.send(name, host.address, sent, host.agent, host.sequence)
        self._orders.clear()
