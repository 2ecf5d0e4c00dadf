"""The owner of one shard: its job page, the placement of its tasks, their leases."""

import concurrent.futures as futures
import time
import typing as t

import logbook

from bilberrypass.batch import (
    disturbance,
    jobcalls,
    liveness,
    outbox,
    placer,
    records,
)
from bilberrypass.connection import messages
from bilberrypass.execution import states, task_events
from bilberrypass.membership import directory, fleet, owned_shard
from bilberrypass.version import page, work

_log = logbook.Logger("owner")

_START_TIMEOUT_S: t.Final = 10.0
_CLEANUP_INTERVAL_S: t.Final = 5.0
_STOP_STATES: t.Final = frozenset({page.STOPPING, page.EVICTING})


class ShardReply(t.NamedTuple):
    """A shard's part of the response to a report; see ``messages.ReportResponse``."""

    grant: messages.LeaseGrant | None = None
    recorded: list[work.TaskId] = []
    stop: list[work.TaskId] = []
    evict: list[work.TaskId] = []


@t.final
class Shard(owned_shard.OwnedShard[records.Jobs]):
    """One shard of the jobs, while this entry owns it.

    Parameters
    ----------
    number : int
        The number of the shard.
    entry_directory : directory.Directory
        The shared store keys and the entry's lease.
    hosts : fleet.Fleet
        The hosts known from their reports.
    context : placer.PlacementContext
        Shared with the other shards of the entry.
    lease_s : float
        Time until the lease of a task expires without renewal, in seconds.
    prefix : str
        Prefix of all store keys.
    pool : futures.Executor, optional
        Runs the calls to hosts.
    evictor : disturbance.Evictor, optional
        Evicts tasks that slow down services.
    """

    def __init__(
        self,
        number: int,
        entry_directory: directory.Directory,
        hosts: fleet.Fleet,
        context: placer.PlacementContext,
        lease_s: float,
        prefix: str,
        pool: futures.Executor | None = None,
        evictor: disturbance.Evictor | None = None,
    ) -> None:
        super().__init__(entry_directory, "jobs", number, prefix)
        self._lease_s = lease_s
        self._liveness = liveness.LivenessTracker(lease_s)
        self._outbox = outbox.Outbox(hosts, self._liveness, self, pool)
        self._placer = placer.Placer(hosts, context)
        self._evictor = evictor
        self.page_bytes = 0
        self._cleaned_at = 0.0
        self._context = context
        self._hosts = hosts
        self._call_handler = jobcalls.JobCallHandler(
            self, self._placer, context.decisions
        )
        self._on_host: dict[str, list[work.TaskId]] = {}
        self._placed: dict[str, list[work.Spec]] = {}
        self._unconfirmed_since: dict[work.TaskId, float] = {}  # monotonic

    def initial_state(self) -> records.Jobs:
        """Return the state of a shard without jobs."""
        return {}

    def copy(self, state: records.Jobs) -> records.Jobs:
        """Return a shallow copy; the job records are immutable."""
        return dict(state)

    def encode(self, state: records.Jobs, write: str) -> bytes:
        """Encode the jobs as a page; ``write`` is the unique id of the write."""
        found = list(state.values())
        encoded = page.Page(self.number, self.ownership.epoch, write, found)
        value = page.encode(encoded)
        self.page_bytes = len(value)
        return value

    def decode(self, value: bytes) -> records.Jobs:
        """Decode the jobs from a page, by team and id."""
        return {(job.team, job.id): job for job in page.decode(value).jobs}

    def update_before_write(self, state: records.Jobs) -> None:
        """Requeue tasks with expired leases, remove old jobs, place waiting tasks."""
        self._requeue_expired(state)
        self._remove_expired_jobs(state)
        if self._evictor is not None:
            self._evictor.evict_overdue(state, records.tasks_by_host(state))
        self._placed = self._placer.place(state)

    def on_written(self) -> None:
        """Send the starts and stops that the written state calls for."""
        self._on_host = records.tasks_by_host(self.state)
        kept = [task for found in self._on_host.values() for task in found]
        self._liveness.retain(kept)
        self._outbox.retain(kept)
        for task in self._unconfirmed_since.keys() - set(kept):
            del self._unconfirmed_since[task]
        for host, specs in self._placed.items():
            task_events.record_placement(host, specs)
            placed = [spec.task for spec in specs]
            self._outbox.mark_first_send(placed, self.ownership.epoch)
        self._placed = {}
        for host, found in self._on_host.items():
            self._send(host, found)

    def stop(self) -> None:
        """Stop after the write in progress; queued calls to hosts are cancelled."""
        super().stop()
        self._outbox.close()

    def _requeue_expired(self, jobs: records.Jobs) -> None:
        """Requeue tasks whose leases have certainly expired."""
        now = time.monotonic()
        for host, found in records.tasks_by_host(jobs).items():
            if now <= self._liveness.lease_expiry(host, self.ownership.owned_at):
                continue
            detail = f"{host} was silent until the lease lapsed"
            for task in found:
                records.requeue(jobs, task, detail)
                _log.info("owner: task {} requeued: {}", task, detail)

    def _remove_expired_jobs(self, jobs: records.Jobs) -> None:
        now = time.time()
        if now < self._cleaned_at + _CLEANUP_INTERVAL_S:
            return
        self._cleaned_at = now
        for job in page.find_expired_jobs(jobs.values(), now):
            del jobs[job.team, job.id]
        for key, job in jobs.items():
            if job.payload and job.state in page.ENDED:
                jobs[key] = job._replace(payload="")

    def _send(self, host: str, found: list[work.TaskId]) -> None:
        starts: list[work.Spec] = []
        stops: dict[str, list[work.TaskId]] = {state: [] for state in _STOP_STATES}
        for task in found:
            job = self.state[task.team, task.job]
            record = job.tasks[task.index]
            if record.state in _STOP_STATES:
                stops[record.state].append(task)
            elif record.state == page.PLACED and not self._liveness.is_confirmed(task):
                starts.append(job.spec(task.index))
                self._revoke_if_overdue(task, record.host)
        if stops[page.STOPPING]:
            self._outbox.stop(host, stops[page.STOPPING], checkpoint=False)
        if stops[page.EVICTING]:
            self._outbox.stop(host, stops[page.EVICTING], checkpoint=True)
        if starts:
            sender = outbox.SenderIdentity(
                self._directory.own_member.id,
                self.number,
                self.ownership.epoch,
                self._lease_s,
            )
            self._outbox.start(sender, host, starts)

    def _revoke_if_overdue(self, task: work.TaskId, host: str) -> None:
        """Revoke a placement on a host that reports but does not answer the start."""
        now = time.monotonic()
        if now > self._unconfirmed_since.setdefault(task, now) + _START_TIMEOUT_S:
            detail = f"{host} did not answer the start"
            self.submit(lambda jobs: records.revoke_placement(jobs, task, detail))

    def is_owner(self, epoch: int) -> bool:
        """Return whether this entry certainly still owns the shard in this epoch."""
        return self.ownership.is_held and self.ownership.epoch == epoch

    def on_started(self, task: work.TaskId, position: liveness.Position) -> None:
        """Record that a host has confirmed the start of a task."""
        self._liveness.confirm(task, position)

    def on_refused(
        self, task: work.TaskId, detail: str, is_certain: bool, epoch: int
    ) -> None:
        """Requeue a task whose start, sent in an epoch, was refused.

        Unless the refusal is certain, its host must first confirm the stop.
        """
        _log.info("owner: start of task {} refused: {}", task, detail)
        change = records.requeue if is_certain else records.revoke_placement
        self._submit_in_epoch(epoch, lambda jobs: change(jobs, task, detail))

    def _submit_in_epoch(
        self, epoch: int, change: t.Callable[[records.Jobs], t.Any]
    ) -> None:
        """Submit a change that has no effect if it is applied in another epoch.

        An owner in between may have started the task that it is about.
        """
        self.submit(
            lambda jobs: change(jobs) if epoch == self.ownership.epoch else None
        )

    def on_ended(self, state: messages.TaskState) -> None:
        """Record the final state of a stopped task."""
        self.submit(lambda jobs: self._apply_report(jobs, state))

    def _apply_report(self, jobs: records.Jobs, state: messages.TaskState) -> None:
        """Apply a reported task state, unless the record already has it."""
        record = records.find(jobs, state.task)
        if record is None or records.is_recorded(record, state):
            return
        records.apply_report(jobs, state)
        if state.state == "finished":
            self._context.quarantine.record_success(record.host)
        elif state.state == "failed" and record.state in page.ON_HOST:
            job = (state.task.team, state.task.job)
            self._context.quarantine.record_failure(record.host, job)

    def handle_report(self, report: messages.Report) -> ShardReply:
        """Compare the tasks in a host's report with the records of this shard.

        ``report.tasks`` holds only tasks of this shard. The reply is empty if this
        entry does not own the shard.
        """
        epoch = self.ownership.epoch
        if not self.is_owned:
            return ShardReply()
        grant = messages.LeaseGrant(self.number, epoch, self._lease_s)
        reply = ShardReply(grant, [], [], [])
        for state in report.tasks:
            self._check_reported(report.host, state, reply, epoch)
        self._check_expected(report, reply, epoch)
        self._liveness.record_lease_renewal(report.host, time.monotonic())
        return reply

    def _check_reported(
        self, host: str, state: messages.TaskState, reply: ShardReply, epoch: int
    ) -> None:
        record = records.find(self.state, state.task)
        if record is not None and not records.is_recorded(record, state):
            self._submit_in_epoch(epoch, lambda jobs: self._apply_report(jobs, state))
        is_live = state.state in states.LIVE_STATES
        if is_live and not _is_on_host(record, host):
            reply.evict.append(state.task)
        if not is_live and (record is None or records.is_recorded(record, state)):
            reply.recorded.append(state.task)

    def _check_expected(
        self, report: messages.Report, reply: ShardReply, epoch: int
    ) -> None:
        expected = []
        listed = {s.task: s.state in states.LIVE_STATES for s in report.tasks}
        for task in self._on_host.get(report.host, []):
            record = records.find(self.state, task)
            if record is None:
                continue
            if record.state in _STOP_STATES and listed.get(task, True):
                wanted = reply.stop if record.state == page.STOPPING else reply.evict
                wanted.append(task)
            if record.state == page.RUNNING or self._liveness.is_confirmed(task):
                expected.append(task)
        for task in self._liveness.find_lost(report, expected):
            self._requeue_lost(report.host, task, epoch)

    def _requeue_lost(self, host: str, task: work.TaskId, epoch: int) -> None:
        detail = f"{host} no longer runs it"
        _log.info("owner: task {} requeued: {}", task, detail)
        self._submit_in_epoch(epoch, lambda jobs: records.requeue(jobs, task, detail))

    def call(self, req: messages.JobRequest, deadline: float) -> messages.JobResponse:
        """Handle a call on the jobs of this shard; see ``jobcalls.JobCallHandler``."""
        return self._call_handler.handle(req, deadline)


def _is_on_host(record: page.TaskRecord | None, host: str) -> bool:
    return record is not None and record.host == host and record.state in page.ON_HOST
