"""The owner of one shard: its job pages, the placement of its tasks, their leases."""

import concurrent.futures as futures
import time
import typing as t

import logbook

from bilberrypass.batch import (
    disturbance,
    jobcalls,
    outbox,
    placing,
    records,
    sightings,
)
from bilberrypass.connection import messages
from bilberrypass.execution import jobevents, tasks
from bilberrypass.membership import directory, fleet, grouped
from bilberrypass.version import page, work

_log = logbook.Logger("owner")

_LONGEST_PLACED_S: t.Final = 10.0
_TIDY_INTERVAL_S: t.Final = 5.0
_STOPS: t.Final = frozenset({page.STOPPING, page.EVICTING})


class Heard(t.NamedTuple):
    """A shard's part of the answer to a report; see ``messages.Reported``."""

    grant: messages.Grant | None = None
    recorded: list[work.TaskId] = []
    stop: list[work.TaskId] = []
    evict: list[work.TaskId] = []


@t.final
class Shard(grouped.Grouped[records.Jobs]):
    """One shard, while this entry owns it.

    Parameters
    ----------
    number : int
        The shard.
    names : directory.Directory
        The shared keys, and the entry's lease.
    hosts : fleet.Fleet
        The hosts known by reports.
    tools : placing.Tools
        Shared with the other shards of the entry.
    lease_s : float
        Life of a task's lease without renewal, in seconds.
    prefix : str
        First part of each key.
    pool : futures.Executor, optional
        Runs the calls to hosts.
    mover : disturbance.Mover, optional
        Moves tasks that disturb services.
    """

    def __init__(
        self,
        number: int,
        names: directory.Directory,
        hosts: fleet.Fleet,
        tools: placing.Tools,
        lease_s: float,
        prefix: str,
        pool: futures.Executor | None = None,
        mover: disturbance.Mover | None = None,
    ) -> None:
        super().__init__(names, "jobs", number, prefix)
        self._lease_s = lease_s
        self._seen = sightings.Sightings(lease_s)
        self._outbox = outbox.Outbox(hosts, self._seen, self, pool)
        self._placing = placing.Placing(hosts, tools)
        self._mover = mover
        self.page_bytes = 0
        self._tidied_at = 0.0
        self._tools = tools
        self._hosts = hosts
        self._calls = jobcalls.Calls(self, self._placing, tools.decisions)
        self._on_host: dict[str, list[work.TaskId]] = {}
        self._placed: dict[str, list[work.Spec]] = {}

    def empty(self) -> records.Jobs:
        """Return no jobs."""
        return {}

    def copy(self, state: records.Jobs) -> records.Jobs:
        """Return the same jobs in another dict; the records never change."""
        return dict(state)

    def encode(self, state: records.Jobs, write: str) -> bytes:
        """Write the jobs as a page."""
        found = list(state.values())
        made = page.Page(self.number, self.ownership.epoch, write, found)
        value = page.encode(made)
        self.page_bytes = len(value)
        return value

    def decode(self, value: bytes) -> records.Jobs:
        """Read the jobs from a page."""
        return {(job.team, job.id): job for job in page.decode(value).jobs}

    def step(self, state: records.Jobs) -> None:
        """Take back what has lapsed and place what can be placed."""
        self._take_back_lapsed(state)
        self._drop_outlived(state)
        if self._mover is not None:
            self._mover.move(state, records.on_host(state))
        self._placed = self._placing.place(state)

    def written(self) -> None:
        """Send what the store says is to be started or stopped."""
        self._on_host = records.on_host(self.state)
        kept = [task for found in self._on_host.values() for task in found]
        self._seen.keep(kept)
        self._outbox.keep(kept)
        for host, specs in self._placed.items():
            jobevents.placed(host, specs)
            self._outbox.expect([spec.task for spec in specs])
        self._placed = {}
        for host, found in self._on_host.items():
            self._send(host, found)

    def stop(self) -> None:
        """Stop after the write in progress."""
        super().stop()
        self._outbox.close()

    def _take_back_lapsed(self, jobs: records.Jobs) -> None:
        """Take back tasks whose leases have lapsed for certain."""
        now = time.monotonic()
        for host, found in records.on_host(jobs).items():
            if now <= self._seen.lapse(host, self.ownership.owned_at):
                continue
            detail = f"{host} was silent until the lease lapsed"
            for task in found:
                records.take_back(jobs, task, detail)
                _log.info("owner: {} taken back: {}", task, detail)

    def _drop_outlived(self, jobs: records.Jobs) -> None:
        now = time.time()
        if now < self._tidied_at + _TIDY_INTERVAL_S:
            return
        self._tidied_at = now
        for job in page.outlived(jobs.values(), now):
            del jobs[job.team, job.id]
        for key, job in jobs.items():
            if job.payload and job.state in page.ENDED:
                jobs[key] = job._replace(payload="")

    def _send(self, host: str, found: list[work.TaskId]) -> None:
        starts: list[work.Spec] = []
        stops: dict[str, list[work.TaskId]] = {state: [] for state in _STOPS}
        for task in found:
            job = self.state[task.team, task.job]
            record = job.tasks[task.index]
            if record.state in _STOPS:
                stops[record.state].append(task)
            elif record.state == page.PLACED and not self._seen.is_confirmed(task):
                starts.append(job.spec(task.index))
                self._recall_overdue(task, record)
        if stops[page.STOPPING]:
            self._outbox.stop(host, stops[page.STOPPING], checkpoint=False)
        if stops[page.EVICTING]:
            self._outbox.stop(host, stops[page.EVICTING], checkpoint=True)
        if starts:
            sender = outbox.Sender(
                self._names.me.id, self.number, self.ownership.epoch, self._lease_s
            )
            self._outbox.start(sender, host, starts)

    def _recall_overdue(self, task: work.TaskId, record: page.TaskRecord) -> None:
        """Give up a host that reports but does not answer a start."""
        if time.time() > record.changed_at + _LONGEST_PLACED_S:
            detail = f"{record.host} did not answer the start"
            self.submit(lambda jobs: records.recall(jobs, task, detail))

    def started(self, task: work.TaskId) -> None:
        """Note that a task runs."""
        self._seen.confirm(task)

    def refused(self, task: work.TaskId, detail: str, is_certain: bool) -> None:
        """Note that a start was refused."""
        _log.info("owner: start of {} refused: {}", task, detail)
        change = records.take_back if is_certain else records.recall
        self.submit(lambda jobs: change(jobs, task, detail))

    def ended(self, state: messages.TaskState) -> None:
        """Note the end of a stopped task."""
        self.submit(lambda jobs: self._note(jobs, state))

    def _note(self, jobs: records.Jobs, state: messages.TaskState) -> None:
        """Take in what a host reports of a task, once."""
        record = records.find(jobs, state.task)
        if record is None or records.is_noted(record, state):
            return
        records.note(jobs, state)
        if state.state == "finished":
            self._tools.quarantine.finished(record.host)
        elif state.state == "failed" and record.state in page.ON_HOST:
            job = (state.task.team, state.task.job)
            self._tools.quarantine.failed(record.host, job)

    def hear(self, report: messages.Report) -> Heard:
        """Compare a host's tasks of this shard with the records."""
        if not self.is_owned:
            return Heard()
        grant = messages.Grant(self.number, self.ownership.epoch, self._lease_s)
        heard = Heard(grant, [], [], [])
        for state in report.tasks:
            self._hear_task(report.host, state, heard)
        self._hear_missing(report, heard)
        self._seen.answered(report.host, time.monotonic())
        return heard

    def _hear_task(self, host: str, state: messages.TaskState, heard: Heard) -> None:
        record = records.find(self.state, state.task)
        if record is not None and not records.is_noted(record, state):
            self.submit(lambda jobs: self._note(jobs, state))
        is_live = state.state in tasks.LIVE
        if is_live and not _belongs(record, host):
            heard.evict.append(state.task)
        if not is_live and (record is None or records.is_noted(record, state)):
            heard.recorded.append(state.task)

    def _hear_missing(self, report: messages.Report, heard: Heard) -> None:
        expected = []
        listed = {s.task: s.state in tasks.LIVE for s in report.tasks}
        for task in self._on_host.get(report.host, []):
            record = records.find(self.state, task)
            if record is None:
                continue
            if record.state in _STOPS and listed.get(task, True):
                wanted = heard.stop if record.state == page.STOPPING else heard.evict
                wanted.append(task)
            if record.state == page.RUNNING or self._seen.is_confirmed(task):
                expected.append(task)
        for task in self._seen.hear(report, expected):
            self._lose(report.host, task)

    def _lose(self, host: str, task: work.TaskId) -> None:
        detail = f"{host} no longer runs it"
        _log.info("owner: {} taken back: {}", task, detail)
        self.submit(lambda jobs: records.take_back(jobs, task, detail))

    def call(self, req: messages.JobCall, deadline: float) -> messages.JobAnswer:
        """Answer a call on a job of this shard."""
        return self._calls.answer(req, deadline)


def _belongs(record: page.TaskRecord | None, host: str) -> bool:
    return record is not None and record.host == host and record.state in page.ON_HOST
