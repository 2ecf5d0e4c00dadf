"""Reconciliation of the agents' reports with the state of the scheduler."""

import typing as t

import prometheus_client as prometheus

from bilberrypass import clock
from bilberrypass.observing import decisions
from bilberrypass.scheduling import (
    attempt_limits,
    crash_counting,
    durations,
    host_figures,
    hosts,
    messages,
    orders,
    state,
    stop_monitor,
)

if t.TYPE_CHECKING:
    from bilberrypass.scheduling import scheduler

_LEASE_EXPIRY_MARGIN_S: t.Final = 0.2
_LOST_TASK_RETRY_DELAY_S: t.Final = 0.25
_STUCK_ENDS_LOG_INTERVAL_S: t.Final = 2.0

_ends = prometheus.Counter("bilberrypass_runs_ended", "Runs that ended", ["how"])
_unwanted_runs = prometheus.Counter(
    "bilberrypass_runs_unwanted", "Stops of runs that the scheduler does not track"
)

State = messages.RunState
Verb = messages.Verb

_FINAL_STATES: t.Final = (State.ENDED, State.REJECTED, State.GONE)


@t.final
class Reconciler:
    """Updates a scheduler's hosts and tasks from the reports of agents.

    Parameters
    ----------
    owner : scheduler.Scheduler
        Holds the jobs and hosts, stores changes and sends orders.
    """

    def __init__(self, owner: "scheduler.Scheduler") -> None:
        self._scheduler = owner
        self._stop_monitor = stop_monitor.StopMonitor()
        self._crash_counter = crash_counting.CrashCounter(owner)

    def restore_runs(self, job: state.JobState) -> None:
        """Add the runs that an earlier scheduler ordered for a job to their hosts."""
        for task in job.occurrences.begun_tasks():
            if task.is_active:
                self._get_host(task.host).add(task)

    def _get_host(self, name: str) -> hosts.Host:
        host = self._scheduler.hosts.get(name)
        if host is None:
            host = hosts.Host(name, self._scheduler.unheard_leases_end)
            self._scheduler.hosts[name] = host
        return host

    def handle_report(self, report: messages.Report, at: float, lease_s: float) -> bool:
        """Process the report of an agent; return False if it does not count.

        Parameters
        ----------
        report : messages.Report
            Ignored unless it is newer than the host's previous one, see
            ``Host.accept_report``.
        at : float
            When the report arrived, on ``clock.now``.
        lease_s : float
            Duration of the lease granted in response.
        """
        host = self._get_host(report.host)
        earlier_agent = host.agent
        if not host.accept_report(report, at):
            return False
        if report.agent != earlier_agent:
            decisions.record(
                "host.agent", host=report.host, agent=report.agent, zone=report.zone
            )
        host.address, host.zone = report.address, report.zone
        host.is_leaving = report.is_leaving
        host.reported_at = at
        held_s = max(lease_s, report.leased_s)
        if not host.is_grant_known:
            host.granted_until, host.is_grant_known = at + held_s, True
        elif held_s:
            host.granted_until = max(host.granted_until, at + held_s)
        host.answered_ago_s = report.answered_ago_s
        if report.runner is None:
            host.runner = None
        else:
            self._update_runner(host, report.runner)
            for job in self._crash_counter.count(host, report):
                self.stop_job(job)
            self._update_runs(host, report)
        return True

    def _update_runner(self, host: hosts.Host, info: messages.RunnerInfo) -> None:
        if host.runner is None or host.runner.is_draining != info.is_draining:
            decisions.record("host.runner", host=host.name, **info._asdict())
        if info.is_draining and not (host.runner and host.runner.is_draining):
            host.draining_until = host.reported_at + info.time_left_s
        host.runner = info
        if info.life == host.life:
            return
        earlier_life = host.life
        lost = host.begin_life(info)
        decisions.record(
            "host.new_life",
            host=host.name,
            life=info.life,
            earlier_life=earlier_life,
            lost=len(lost),
        )
        for task in lost:
            self._requeue(host, task, "the runner started anew")

    def _update_runs(self, host: hosts.Host, report: messages.Report) -> None:
        rows = {(row.task, row.run): row for row in report.runs}
        final = {key for key, row in rows.items() if row.state in _FINAL_STATES}
        # A run that is listed again after it counted as final is to be stopped.
        for key in host.settled.keys() - final:
            del host.settled[key]
        for key, row in rows.items():
            if row.end and host.settled.get(key) != row.end:
                host.record_unstored_end(row.end)
        host.has_untracked_runs = False
        for key, row in rows.items():
            task = host.tasks.get(key)
            if host.settled.get(key) == row.end or (
                key in host.pending and key in final
            ):
                continue
            if task is None:
                self._handle_unknown_run(host, key, row)
            else:
                self._update_run(host, task, row)
        host.speed.retain({f"{row.task}/{row.run}" for row in report.runs})
        host_figures.update_estimates(host, self._scheduler.estimates)
        for key, task in list(host.tasks.items()):
            if key not in rows:
                self._handle_missing_run(host, task)
        host.starts.update(host.reported_at)

    def _handle_unknown_run(
        self, host: hosts.Host, key: hosts.RowKey, row: messages.RunRow
    ) -> None:
        """Stop a run that the scheduler no longer tracks, or settle it if final."""
        if row.state in _FINAL_STATES:
            task = self._scheduler.find_open_task(row.task)
            if (
                row.state == State.ENDED
                and task is not None
                and task.is_end_expected(host.name, host.life, row.run)
            ):
                self._handle_end(host, task, row)
            else:
                host.settle(key, row.end)
            return
        job = row.task.partition(".")[0]
        if self._scheduler.has_unseen_runs(job):
            return
        host.has_untracked_runs = True
        if row.state != State.STOPPING:
            _unwanted_runs.inc()
            decisions.record(
                "run.unwanted",
                task=row.task,
                run=row.run,
                host=host.name,
                life=host.life,
                state=State(row.state).name,
                job_status=self._scheduler.status(job),
            )
            self._scheduler.queue_order(
                host, messages.Order(Verb.STOP, row.task, row.run, host.life)
            )

    def _update_run(
        self, host: hosts.Host, task: state.Task, row: messages.RunRow
    ) -> None:
        if task.job.cancelled or task.job.failed:
            self._stop_monitor.on_row(host, row)
        if row.checkpoint:
            task.job.keep_checkpoint(task, row.checkpoint)
        task.figure, task.pace = row.figure, row.pace
        if row.state == State.RUNNING:
            self._update_progress(host, task, row)
            host.starts.record_begun((row.task, row.run))
            if task.phase is state.Phase.ORDERED:
                task.phase = state.Phase.RUNNING
            if not task.job.has_begun:
                task.job.has_begun = True
                self._scheduler.write_progress(task.job)
            self._crash_counter.clear_outlived(task, host.answered_at)
        if row.state in (State.STARTING, State.RUNNING):
            self._resend_lost_order(host, task)
        elif row.state == State.ENDED:
            self._handle_end(host, task, row)
        elif row.state in (State.REJECTED, State.GONE):
            self._requeue(host, task, row.outcome, row)

    def _update_progress(
        self, host: hosts.Host, task: state.Task, row: messages.RunRow
    ) -> None:
        task.progress.observe(row.progress, row.pace, host.reported_at)
        if not (task.step.is_service or task.step.is_filler):
            host.speed.observe(
                f"{row.task}/{row.run}",
                row.progress,
                task.step.estimate_s,
                host.reported_at,
            )

    def _resend_lost_order(self, host: hosts.Host, task: state.Task) -> None:
        """Resend the STOP or DESCRIBE of a run if its agent may lack it."""
        key = str(task.key), task.run
        sent = host.sent.get(key)
        if task.phase is state.Phase.STOPPING:
            if host.is_order_lost(key, host.reported_at):
                self._resend(host, task, Verb.STOP)
        elif sent is None or sent.agent != host.agent:
            self._resend(host, task, Verb.DESCRIBE)

    def _handle_missing_run(self, host: hosts.Host, task: state.Task) -> None:
        """Resend the order of a run that is missing from the report.

        An agent that started after the order was sent may not know the run, while
        the runner may still execute the order.
        """
        key = str(task.key), task.run
        if not task.is_stored or not host.is_order_lost(key, host.reported_at):
            return
        is_wanted = task.phase is not state.Phase.STOPPING and not task.job.cancelled
        if is_wanted and self._scheduler.is_behind(host.reported_at):
            return
        self._resend(host, task, Verb.START if is_wanted else Verb.STOP)

    def _resend(self, host: hosts.Host, task: state.Task, verb: Verb) -> None:
        decisions.record(
            "run.resent", task=str(task.key), run=task.run, host=host.name, verb=verb
        )
        self._scheduler.queue_order(
            host, orders.make_order(task, verb)._replace(is_repeated=True)
        )

    def _handle_end(
        self, host: hosts.Host, task: state.Task, row: messages.RunRow
    ) -> None:
        """Process the end of a run; it is noted at the host once it is stored."""
        job = task.job
        task.may_have_ended, job.has_begun = False, True
        _ends.labels(row.outcome).inc()
        host.starts.record_begun((row.task, row.run))
        host.remove(task)
        if task.is_finished_by(row.outcome):
            host.record_success()
            job.finish_task(task)
            took_s = durations.took_s(task, host.reported_at)
            self._scheduler.durations.observe_end(task, took_s)
        else:
            task.phase = state.Phase.WAITING
            task.not_before = 0.0
            if row.outcome == "failed":
                self._record_failure(host, task)
        decisions.record(
            "run.ended",
            task=row.task,
            run=row.run,
            host=host.name,
            how=row.outcome,
            took_s=task.took_s(host.reported_at),
            failures=task.failures,
        )
        self._settle_once_stored(host, job, row)

    def _settle_once_stored(
        self, host: hosts.Host, job: state.JobState, row: messages.RunRow
    ) -> None:
        """Let the agent discard a final row once the job's progress is stored."""
        key, life = (row.task, row.run), host.life
        host.pending.add(key)

        def settle() -> None:
            if host.life == life:
                host.settle(key, row.end)

        self._scheduler.write_progress(job, settle)

    def _record_failure(self, host: hosts.Host, task: state.Task) -> None:
        job = task.job
        task.failures += 1
        job.most_failures = max(job.most_failures, task.failures)
        task.avoided_host = host.name
        host.record_failure(clock.now())
        queue = self._scheduler.queue_of(job)
        if queue is not None and not (job.cancelled or job.failed):
            attempt_limits.fail_if_spent(self._scheduler, job, queue)

    def fail_job(self, job: state.JobState, why: str, **fields: t.Any) -> None:
        """Fail a job, unless it was cancelled, and stop its runs."""
        job.failed = job.failed or not job.cancelled
        decisions.record("job.failing", job=job.job.id, why=why, **fields)
        self.stop_job(job)

    def _requeue(
        self,
        host: hosts.Host,
        task: state.Task,
        why: str,
        row: messages.RunRow | None = None,
    ) -> None:
        """Requeue a task whose run certainly is not on the host any more."""
        host.remove(task)
        task.phase = state.Phase.WAITING
        failing = self._crash_counter.count_lost(host, task)
        if failing is not None:
            self.stop_job(failing)
        task.may_have_ended = row is not None and row.outcome != "lapsed"
        task.not_before = clock.now() + _LOST_TASK_RETRY_DELAY_S
        decisions.record(
            "run.lost",
            task=str(task.key),
            run=task.run,
            host=host.name,
            why=why,
            life=task.life,
            host_life=host.life,
        )
        if row is None:
            self._scheduler.write_progress(task.job)
        else:
            self._settle_once_stored(host, task.job, row)

    def stop_job(self, job: state.JobState) -> None:
        """Stop all runs of a job that was cancelled or has failed."""
        for task in job.occurrences.begun_tasks():
            if task.phase not in (state.Phase.ORDERED, state.Phase.RUNNING):
                continue
            host = self._scheduler.hosts[task.host]
            task.phase = state.Phase.STOPPING
            if task.is_stored:
                self._scheduler.queue_order(host, orders.make_order(task, Verb.STOP))
        self._scheduler.write_progress(job)

    def on_orders_failed(self, name: str, failed: list[messages.Order]) -> None:
        """Mark orders as undelivered, to resend them after the host's next report."""
        host = self._scheduler.hosts.get(name)
        for item in failed if host is not None else ():
            host.sent.pop((item.task, item.run), None)

    def tick(self, now: float) -> None:
        """Requeue the tasks of hosts whose lease has expired, and log unstored ends."""
        self._stop_monitor.tick(
            self._scheduler.open_jobs.values(), self._scheduler.hosts, now
        )
        for host in self._scheduler.hosts.values():
            stuck = host.stuck_ends(now)
            if stuck and now > host.stuck_ends_logged_at + _STUCK_ENDS_LOG_INTERVAL_S:
                host.stuck_ends_logged_at = now
                decisions.record(
                    "host.ends_stuck", host=host.name, ends=stuck[:10], noted=host.noted
                )
            leased_until = host.leased_until(self._scheduler.earlier_leases_end)
            if host.tasks and now > leased_until + _LEASE_EXPIRY_MARGIN_S:
                decisions.record(
                    "host.lapsed",
                    host=host.name,
                    runs=len(host.tasks),
                    silent_s=round(now - host.reported_at, 2),
                )
                for task in list(host.tasks.values()):
                    self._requeue(host, task, "the lease lapsed")
