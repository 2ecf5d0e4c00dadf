"""The owner of one shard: its job page, the placement of its tasks, their leases."""

import time
import typing as t

import logbook
import msgspec

from bilberrypass import errors, resources
from bilberrypass.connection import channels, messages, worker
from bilberrypass.process import directory, fleet, grouped, jobevents, placement
from bilberrypass.version import page

_log = logbook.Logger("owner")

_CALL_S: t.Final = 2.0
_RESEND_S: t.Final = 1.0
_MAX_DRIFT: t.Final = 0.01

JobKey = tuple[str, str]
Jobs = dict[JobKey, page.JobRecord]


@t.final
class Shard(grouped.Grouped[Jobs]):
    """One shard, while this entry owns it.

    Parameters
    ----------
    number : int
        The shard.
    names : directory.Directory
        The shared keys, and the entry's lease.
    hosts : fleet.Fleet
        The hosts known by reports.
    policy : placement.Policy
        Chooses hosts.
    lease_s : float
        Life of a task's lease without renewal, in seconds.
    prefix : str
        First part of each key.
    """

    def __init__(
        self,
        number: int,
        names: directory.Directory,
        hosts: fleet.Fleet,
        policy: placement.Policy,
        lease_s: float,
        prefix: str,
    ) -> None:
        super().__init__(names, "jobs", number, prefix)
        self._hosts = hosts
        self._policy = policy
        self._lease_s = lease_s
        self._epoch = 0
        self._answered_at: dict[str, float] = {}
        self._sent_at: dict[worker.TaskId, float] = {}
        self._starts: dict[str, list[worker.Spec]] = {}

    def empty(self) -> Jobs:
        """Return no jobs."""
        return {}

    def copy(self, state: Jobs) -> Jobs:
        """Return the same jobs in another dict; the records never change."""
        return dict(state)

    def encode(self, state: Jobs, write: str) -> bytes:
        """Write the jobs as a page."""
        found = list(state.values())
        return page.encode(page.Page(self.number, self.ownership.epoch, write, found))

    def decode(self, value: bytes) -> Jobs:
        """Read the jobs from a page."""
        return {(job.team, job.id): job for job in page.decode(value).jobs}

    def step(self, state: Jobs) -> None:
        """Take back what has lapsed and place what can be placed."""
        if self._epoch != self.ownership.epoch:
            self._epoch = self.ownership.epoch
            self._answered_at = {}
        self._reclaim(state)
        self._starts = self._place(state)

    def written(self) -> None:
        """Start what the store says is placed."""
        for host, specs in self._starts.items():
            jobevents.placed(host, specs)
        for host, specs in self._unconfirmed(self._starts).items():
            self._start_on(host, specs)

    # Placement.

    def _reclaim(self, jobs: Jobs) -> None:
        """Take back tasks whose leases have lapsed for certain."""
        now = time.monotonic()
        for key, job in jobs.items():
            for index, record in enumerate(job.tasks):
                if record.state in page.ON_HOST and now > self._lapse(record.host):
                    detail = f"{record.host} was silent until the lease lapsed"
                    task = job.spec(index).task
                    _replace(jobs, task, page.WAITING, detail)
                    job = jobs[key]
                    _log.info("owner: {} taken back: {}", task, detail)

    def _lapse(self, host: str) -> float:
        """Return when the leases on a host have lapsed, by any clock (monotonic)."""
        granted_at = self._answered_at.get(host, self.ownership.owned_at)
        return granted_at + self._lease_s * (1 + _MAX_DRIFT)

    def _unconfirmed(
        self, starts: dict[str, list[worker.Spec]]
    ) -> dict[str, list[worker.Spec]]:
        """Add earlier starts of which no report has told yet."""
        now = time.monotonic()
        fresh = {spec.task for specs in starts.values() for spec in specs}
        for job in self.state.values():
            for index, record in enumerate(job.tasks):
                spec = job.spec(index)
                if record.state != page.PLACED or spec.task in fresh:
                    continue
                if now > self._sent_at.get(spec.task, 0.0) + _RESEND_S:
                    starts.setdefault(record.host, []).append(spec)
        return starts

    def _place(self, jobs: Jobs) -> dict[str, list[worker.Spec]]:
        starts: dict[str, list[worker.Spec]] = {}
        waiting = [
            (key, index)
            for key, job in jobs.items()
            for index, record in enumerate(job.tasks)
            if record.state == page.WAITING
        ]
        if not waiting:
            return starts
        rooms = {room.host: room for room in self._rooms(jobs)}
        waiting.sort(key=lambda w: (not jobs[w[0]].urgent, jobs[w[0]].submitted_at))
        for key, index in waiting:
            job = jobs[key]
            room = self._policy.choose(job.demand, list(rooms.values()))
            if room is None:
                continue
            rooms[room.host] = room._replace(free=room.free.minus(job.demand))
            record = job.tasks[index]
            placed = record._replace(
                state=page.PLACED, host=room.host, attempt=record.attempt + 1
            )
            jobs[key] = job.with_task(index, placed)
            starts.setdefault(room.host, []).append(jobs[key].spec(index))
        return starts

    def _rooms(self, jobs: Jobs) -> list[placement.Room]:
        rooms = []
        for host in self._hosts.live():
            report = host.report
            reported = {state.task for state in report.tasks}
            unseen = [
                job.demand
                for job in jobs.values()
                for index, record in enumerate(job.tasks)
                if record.host == report.host
                and record.state in page.ON_HOST
                and job.spec(index).task not in reported
            ]
            free = report.capacity.minus(report.committed)
            free = free.minus(resources.total(unseen))
            rooms.append(
                placement.Room(
                    report.host,
                    report.failure_domain,
                    report.rack,
                    report.capacity,
                    free,
                )
            )
        return rooms

    def _start_on(self, name: str, specs: list[worker.Spec]) -> None:
        host = self._hosts.get(name)
        if host is None:
            return
        req = messages.Start(
            entry=self._names.me.id,
            shard=self.number,
            epoch=self.ownership.epoch,
            incarnation=host.report.incarnation,
            sequence=host.report.sequence,
            lease_s=self._lease_s,
            specs=specs,
        )
        deadline = time.monotonic() + _CALL_S
        self._answered_at[name] = deadline
        self._sent_at.update((spec.task, time.monotonic()) for spec in specs)
        try:
            outcomes = host.peer.call(channels.START, req, deadline).outcomes
        except errors.Refused as exc:
            outcomes = [
                messages.StartOutcome(s.task, exc.kind, exc.detail) for s in specs
            ]
        except errors.Error as exc:
            _log.warning("owner: starts on {} uncertain: {}", name, exc.detail)
            return
        for outcome in outcomes:
            if outcome.kind:
                self._note_refused(outcome)

    def _note_refused(self, outcome: messages.StartOutcome) -> None:
        error = errors.ANSWERS.get(errors.Kind(outcome.kind))
        if error is None or error.ran is not errors.Ran.NO:
            return

        def put_back(jobs: Jobs) -> None:
            _replace(jobs, outcome.task, page.WAITING, outcome.detail)

        self.submit(put_back)

    # What hosts report.

    def hear(
        self, report: messages.Report
    ) -> tuple[messages.Grant | None, list[worker.TaskId], list[worker.TaskId]]:
        """Compare a host's tasks with the records.

        Returns
        -------
        tuple
            The renewal of the tasks' leases, the ends that are recorded, and the
            tasks that must not run there.
        """
        if not self.is_owned:
            return None, [], []
        recorded, stop = [], []
        for state in report.tasks:
            record = self._record(state.task)
            is_current = (
                record is not None
                and record.attempt == state.task.attempt
                and record.host == report.host
                and record.state in page.ON_HOST
            )
            is_live = state.state in ("running", "checkpointed")
            if is_current:
                self._note_state(state, record.state)
                if record.state == page.STOPPING and is_live:
                    stop.append(state.task)
            elif is_live:
                stop.append(state.task)
            else:
                recorded.append(state.task)
        self._answered_at[report.host] = time.monotonic()
        grant = messages.Grant(self.number, self.ownership.epoch, self._lease_s)
        return grant, recorded, stop

    def _record(self, task: worker.TaskId) -> page.TaskRecord | None:
        job = self.state.get((task.team, task.job))
        if job is None or task.index >= len(job.tasks):
            return None
        return job.tasks[task.index]

    def _note_state(self, state: messages.TaskState, known: str) -> None:
        new = {
            "running": page.RUNNING,
            "checkpointed": page.RUNNING,
            "finished": page.FINISHED,
        }.get(state.state, page.FAILED)
        if new == known:
            return

        def note(jobs: Jobs) -> None:
            _end(jobs, state, new)

        self.submit(note)

    # Calls on jobs.

    def call(self, req: messages.JobCall, deadline: float) -> messages.JobAnswer:
        """Answer a call on a job of this shard."""
        if not self.is_owned:
            raise errors.Refused(
                errors.Kind.STALE,
                f"shard {self.number} is owned elsewhere; ask again",
                retry_after_s=1.0,
            )
        if req.verb == "put":
            return self._put(req, deadline)
        if req.verb == "cancel":
            return self._cancel(req, deadline)
        if req.verb == "list":
            found = [
                page.describe(job)
                for job in self.state.values()
                if not req.team or job.team == req.team
            ]
            return messages.JobAnswer(msgspec.json.encode(found))
        return messages.JobAnswer(msgspec.json.encode(page.describe(self._find(req))))

    def _find(self, req: messages.JobCall) -> page.JobRecord:
        for (team, id), job in self.state.items():
            if id == req.job and req.team in ("", team):
                return job
        raise errors.Refused(
            errors.Kind.NOT_FOUND, f"there is no job {req.job}; submit it first"
        )

    def _put(self, req: messages.JobCall, deadline: float) -> messages.JobAnswer:
        job = page.parse_job(req.job, req.body, time.time(), req.traceparent)

        def put(jobs: Jobs) -> tuple[page.JobRecord, bool]:
            known = jobs.get((job.team, job.id))
            if known is None:
                jobs[job.team, job.id] = job
                return job, True
            if known.digest != job.digest:
                raise errors.Refused(
                    errors.Kind.KEY_REUSED,
                    f"job {job.id} exists with another body; choose another id",
                )
            return known, False

        result, created = self.change(put, deadline)
        return messages.JobAnswer(msgspec.json.encode(page.describe(result)), created)

    def _cancel(self, req: messages.JobCall, deadline: float) -> messages.JobAnswer:
        key = self._find(req)

        def cancel(jobs: Jobs) -> page.JobRecord:
            job = jobs[key.team, key.id]
            for index, record in enumerate(job.tasks):
                if record.state == page.WAITING:
                    state = page.CANCELLED
                elif record.state in page.ON_HOST:
                    state = page.STOPPING
                else:
                    continue
                job = job.with_task(index, record._replace(state=state))
            jobs[key.team, key.id] = job
            return job

        result = self.change(cancel, deadline)
        self._stop_tasks(result)
        return messages.JobAnswer(msgspec.json.encode(page.describe(result)))

    def _stop_tasks(self, job: page.JobRecord) -> None:
        for index, record in enumerate(job.tasks):
            host = self._hosts.get(record.host)
            if record.state != page.STOPPING or host is None:
                continue
            req = messages.Stop([job.spec(index).task])
            try:
                stopped = host.peer.call(channels.STOP, req, time.monotonic() + _CALL_S)
            except errors.Error as exc:
                _log.warning("owner: stop on {} uncertain: {}", record.host, exc.detail)
                continue
            for state in stopped.ends:
                self._note_state(state, record.state)


def _replace(jobs: Jobs, task: worker.TaskId, state: str, detail: str) -> None:
    job = jobs.get((task.team, task.job))
    if job is None or job.tasks[task.index].attempt != task.attempt:
        return
    record = job.tasks[task.index]
    if record.state not in page.ON_HOST:
        return
    if record.state == page.STOPPING and state == page.WAITING:
        state = page.CANCELLED
    new = record._replace(state=state, host="", detail=detail)
    jobs[task.team, task.job] = job.with_task(task.index, new)


def _end(jobs: Jobs, state: messages.TaskState, new: str) -> None:
    task = state.task
    job = jobs.get((task.team, task.job))
    if job is None or job.tasks[task.index].attempt != task.attempt:
        return
    record = job.tasks[task.index]
    if record.state not in page.ON_HOST:
        return
    if record.state == page.STOPPING and new != page.FINISHED:
        if new == page.RUNNING:
            return
        new = page.CANCELLED
    if new in page.ENDED:
        jobevents.ended(job, task, new)
    retried = new == page.FAILED and task.attempt < job.max_attempts
    if retried:
        new = page.WAITING
    changed = record._replace(
        state=new,
        checkpoint=state.checkpoint or record.checkpoint,
        detail=state.detail,
        host="" if retried else record.host,
    )
    jobs[task.team, task.job] = job.with_task(task.index, changed)
