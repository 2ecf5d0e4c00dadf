"""Brings what agents report together with what the scheduler believes."""

import typing as t

import prometheus_client as prometheus

from bilberrypass import clock
from bilberrypass.observing import decisions
from bilberrypass.scheduling import hosts, interference, messages, state

if t.TYPE_CHECKING:
    from bilberrypass.scheduling import scheduler

_LEASE_MARGIN_S: t.Final = 0.2
_RETRY_S: t.Final = 0.25
_MILLI: t.Final = 1_000
_COMPLAIN_INTERVAL_S: t.Final = 2.0

_ends = prometheus.Counter("bilberrypass_runs_ended", "Runs that ended", ["how"])

State = messages.RunState
Verb = messages.Verb


@t.final
class Reconciler:
    """The part of a scheduler that follows the hosts.

    Parameters
    ----------
    owner : scheduler.Scheduler
        Holds jobs and hosts, and writes what changes.
    """

    def __init__(self, owner: "scheduler.Scheduler") -> None:
        self._owner = owner

    def adopt(self, job: state.JobState) -> None:
        """Count the runs of a job that an earlier scheduler ordered."""
        for task in job.tasks.values():
            if task.is_active:
                self._host(task.host).add(task)

    def _host(self, name: str) -> hosts.Host:
        host = self._owner.hosts.get(name)
        if host is None:
            host = hosts.Host(name, self._owner.unheard_until())
            self._owner.hosts[name] = host
        return host

    def report(self, report: messages.Report, at: float, lease_s: float) -> None:
        """Take an agent's report in."""
        host = self._host(report.host)
        if not _is_newer(report, host, at):
            return
        if report.agent != host.agent:
            decisions.record(
                "host.agent", host=report.host, agent=report.agent, zone=report.zone
            )
        host.agent, host.sequence = report.agent, report.sequence
        host.address, host.zone = report.address, report.zone
        host.is_leaving = report.is_leaving
        host.heard_at = at
        bound = at + max(lease_s, report.leased_s)
        if host.is_bound_known:
            bound = max(bound, host.granted_until)
        host.granted_until, host.is_bound_known = bound, True
        host.answered_ago_s = report.answered_ago_s
        if report.runner is not None:
            self._see_runner(host, report.runner)
            self._see_runs(host, report)

    def _see_runner(self, host: hosts.Host, info: messages.RunnerInfo) -> None:
        if host.runner is None or host.runner.is_draining != info.is_draining:
            decisions.record("host.runner", host=host.name, **info._asdict())
        if info.is_draining and not (host.runner and host.runner.is_draining):
            host.draining_until = host.heard_at + info.time_left_s
        host.runner = info
        if info.life == host.life:
            return
        lost = host.begin_life(info)
        decisions.record(
            "host.new_life", host=host.name, life=info.life, lost=len(lost)
        )
        for task in lost:
            self._lose(host, task, "the runner started anew")

    def _see_runs(self, host: hosts.Host, report: messages.Report) -> None:
        rows = {(row.task, row.run): row for row in report.runs}
        for key in host.settled.keys() - rows.keys():
            del host.settled[key]
        for key, row in rows.items():
            if row.end and host.settled.get(key) != row.end:
                host.see_end(row.end)
        for key, row in rows.items():
            task = host.tasks.get(key)
            if key in host.pending or host.settled.get(key) == row.end:
                continue
            if task is None:
                self._see_stray(host, key, row)
            else:
                self._see_run(host, task, row)
        host.speed.keep({f"{row.task}/{row.run}" for row in report.runs})
        self._learn(host)
        for key, task in list(host.tasks.items()):
            if key not in rows:
                self._see_missing(host, task)

    def _learn(self, host: hosts.Host) -> None:
        """Learn from the host's newest figures which images disturb each other."""
        services: dict[str, tuple[str, float]] = {}
        cores: dict[str, float] = {}
        trends: list[state.Task] = []
        for task in host.tasks.values():
            step = task.step
            if step.latency_target_ms and task.figure:
                services[str(task.key)] = step.image, float(task.figure)
                trends.append(task)
            elif step.is_filler:
                cores[step.image] = cores.get(step.image, 0.0) + task.figure / _MILLI
        per_core = self._owner.estimates.per_core
        for task in trends:
            rise = sum(per_core(task.step.image, f) * x for f, x in cores.items())
            task.trend.observe(host.heard_at, task.figure, rise)
        if services:
            sample = interference.Sample(host.heard_at, services, cores)
            host.sample = interference.learn(self._owner.estimates, host.sample, sample)

    def _see_stray(
        self, host: hosts.Host, key: hosts.RowKey, row: messages.RunRow
    ) -> None:
        """Stop a run that the scheduler has given up, or let its end be forgotten."""
        if row.state in (State.ENDED, State.REJECTED, State.GONE):
            host.settle(key, row.end)
            return
        if row.state != State.STOPPING:
            decisions.record("run.unwanted", task=row.task, run=row.run, host=host.name)
            self._owner.order(
                host, messages.Order(Verb.STOP, row.task, row.run, host.life)
            )

    def _see_run(
        self, host: hosts.Host, task: state.Task, row: messages.RunRow
    ) -> None:
        if row.checkpoint:
            task.checkpoint = row.checkpoint
        task.figure, task.pace = row.figure, row.pace
        if row.state == State.RUNNING:
            self._see_progress(host, task, row)
        if row.state == State.RUNNING:
            if task.phase is state.Phase.ORDERED:
                task.phase = state.Phase.RUNNING
            self._see_running(host, task)
        elif row.state == State.ENDED:
            self._end(host, task, row)
        elif row.state in (State.REJECTED, State.GONE):
            self._lose(host, task, row.outcome, row)

    def _see_progress(
        self, host: hosts.Host, task: state.Task, row: messages.RunRow
    ) -> None:
        task.progress.see(row.progress, row.pace, host.heard_at)
        if not (task.step.is_service or task.step.is_filler):
            host.speed.observe(
                f"{row.task}/{row.run}",
                row.progress,
                task.step.estimate_s,
                host.heard_at,
            )

    def _see_running(self, host: hosts.Host, task: state.Task) -> None:
        """Repeat what the agent of a running task ought to know and does not."""
        key = str(task.key), task.run
        sent = host.sent.get(key)
        if task.phase is state.Phase.STOPPING:
            if host.is_order_lost(key, host.heard_at):
                self._resend(host, task, Verb.STOP)
        elif sent is None or sent.agent != host.agent:
            self._resend(host, task, Verb.DESCRIBE)

    def _see_missing(self, host: hosts.Host, task: state.Task) -> None:
        """Settle a run that the agent does not know.

        An agent that began after the order was sent may not know it, and the
        runner may still carry the order out.
        """
        key = str(task.key), task.run
        if not task.is_stored or not host.is_order_lost(key, host.heard_at):
            return
        is_wanted = task.phase is state.Phase.ORDERED and not task.job.cancelled
        self._resend(host, task, Verb.START if is_wanted else Verb.STOP)

    def _resend(self, host: hosts.Host, task: state.Task, verb: Verb) -> None:
        decisions.record(
            "run.resent", task=str(task.key), run=task.run, host=host.name, verb=verb
        )
        self._owner.order(host, order(task, verb)._replace(is_repeated=True))

    def _end(self, host: hosts.Host, task: state.Task, row: messages.RunRow) -> None:
        """Take in an end; it is noted at the host once it is stored."""
        job = task.job
        _ends.labels(row.outcome).inc()
        host.remove(task)
        if row.outcome == "done":
            host.praise()
            job.finish_task(task)
        else:
            task.phase = state.Phase.WAITING
            task.not_before = 0.0
            if row.outcome == "failed":
                self._fail(host, task)
        decisions.record(
            "run.ended",
            task=row.task,
            run=row.run,
            host=host.name,
            how=row.outcome,
            took_s=_took_s(task, host.heard_at),
            failures=task.failures,
        )
        self._settle_later(host, job, row)

    def _settle_later(
        self, host: hosts.Host, job: state.JobState, row: messages.RunRow
    ) -> None:
        """Let a final row be forgotten once the job's progress is stored."""
        key, life = (row.task, row.run), host.life
        host.pending.add(key)

        def settle() -> None:
            if host.life == life:
                host.settle(key, row.end)

        self._owner.changed(job, settle)

    def _fail(self, host: hosts.Host, task: state.Task) -> None:
        task.failures += 1
        task.avoided_host = host.name
        host.blame(clock.now())
        queue = self._owner.queue_of(task.job)
        if task.step.is_service or queue is None:
            return
        if task.failures >= queue.max_attempts and not task.job.failed:
            task.job.failed = True
            decisions.record(
                "job.failing", job=task.job.job.id, task=str(task.key), host=host.name
            )
            self.abandon(task.job)

    def _lose(
        self,
        host: hosts.Host,
        task: state.Task,
        why: str,
        row: messages.RunRow | None = None,
    ) -> None:
        """Let a task wait again whose run certainly is not on the host."""
        host.remove(task)
        task.phase = state.Phase.WAITING
        task.not_before = clock.now() + _RETRY_S
        decisions.record(
            "run.lost", task=str(task.key), run=task.run, host=host.name, why=why
        )
        if row is None:
            self._owner.changed(task.job)
        else:
            self._settle_later(host, task.job, row)

    def abandon(self, job: state.JobState) -> None:
        """Stop everything of a job that is cancelled or has failed."""
        for task in job.tasks.values():
            if task.phase not in (state.Phase.ORDERED, state.Phase.RUNNING):
                continue
            host = self._owner.hosts[task.host]
            task.phase = state.Phase.STOPPING
            if task.is_stored:
                self._owner.order(host, order(task, Verb.STOP))
        self._owner.changed(job)

    def unsent(self, name: str, orders: list[messages.Order]) -> None:
        """Have orders sent again with the host's next report."""
        host = self._owner.hosts.get(name)
        for item in orders if host is not None else ():
            host.sent.pop((item.task, item.run), None)

    def tick(self, now: float) -> None:
        """Give up what runs on hosts whose lease has certainly ended."""
        for host in self._owner.hosts.values():
            stuck = host.stuck_ends(now)
            if stuck and now > host.complained_at + _COMPLAIN_INTERVAL_S:
                host.complained_at = now
                decisions.record(
                    "host.ends_stuck", host=host.name, ends=stuck[:10], noted=host.noted
                )
            if host.tasks and now > host.granted_until + _LEASE_MARGIN_S:
                decisions.record(
                    "host.lapsed",
                    host=host.name,
                    runs=len(host.tasks),
                    silent_s=round(now - host.heard_at, 2),
                )
                for task in list(host.tasks.values()):
                    self._lose(host, task, "the lease lapsed")


def _took_s(task: state.Task, now: float) -> float | None:
    """Return how long a run took; unknown if an earlier scheduler ordered it."""
    return round(now - task.started_at, 2) if task.started_at else None


def _is_newer(report: messages.Report, host: hosts.Host, at: float) -> bool:
    """Tell whether a report is newer than the last one of its host.

    Starts of agents are told by the time of day, which may be set back meanwhile;
    then the agent before has fallen silent.
    """
    if report.agent == host.agent:
        return report.sequence > host.sequence
    is_silent = at - host.heard_at > hosts.SILENT_AFTER_S
    return report.agent > host.agent or is_silent


def order(task: state.Task, verb: Verb) -> messages.Order:
    """Return the order for a task's newest run."""
    key = task.key
    if verb is Verb.STOP:
        return messages.Order(verb, str(key), task.run, task.life)
    step = task.step
    return messages.Order(
        verb,
        str(key),
        task.run,
        task.life,
        task.job.job.spec if verb is Verb.START else "",
        task.checkpoint if verb is Verb.START else "",
        task.ticket,
        step.is_filler,
        step.latency_target_ms,
        step.image,
        step.cpu_milli,
    )
