"""What callers and runners have seen, and the promises that it breaks."""

import threading
import time
import typing as t

from testing.standins import runners

CANCEL_S: t.Final = 4.0  # cancel_ms and stop_timeout_ms of the platform's pages
FINAL: t.Final = frozenset({"completed", "failed", "cancelled"})
HOST_CPU: t.Final = 64_000


class Broken(t.NamedTuple):
    """A broken promise: its rule, the time since the start, and what was seen."""

    rule: str
    at: float
    detail: str


class Job:
    """A submission as its caller knows it."""

    def __init__(self, id: str, body: dict[str, t.Any]) -> None:
        self.id = id
        self.body = body
        self.accepted_at = 0.0
        self.is_refused = False
        self.cancelled_at = 0.0
        self.cancel_sent = False
        self.shown = ""

    @property
    def lasts(self) -> bool:
        """Tell whether its tasks run until it is cancelled."""
        return bool(self.body["steps"][0].get("long_running"))

    def describe(self) -> str:
        """Return what its caller knows, for a finding."""
        tasks = sum(step["count"] for step in self.body["steps"])
        asked = "cancelling" if self.cancel_sent else "kept"
        kind = "lasting" if self.lasts else "batch"
        when = f"accepted {self.accepted_at:.2f}, cancelled {self.cancelled_at:.2f}"
        return f"{kind} of {tasks}, {asked}, {when}, shown {self.shown or 'nothing'}"

    def step(self, task: str) -> dict[str, t.Any]:
        """Return the step of one of its tasks."""
        return self.body["steps"][int(task.split(".")[2])]

    def tasks(self, step: int) -> list[str]:
        """Return the names of a step's tasks."""
        count = self.body["steps"][step]["count"]
        return [f"{self.id}.0.{step}.{index}" for index in range(count)]


class _Task:
    """A task as the runners know it."""

    def __init__(self) -> None:
        self.active: dict[int, str] = {}
        self.started: dict[int, float] = {}
        self.done: dict[int, float] = {}
        self.is_done_noted = False
        self.failures = 0
        self.failures_noted = 0


@t.final
class Book:
    """All that was seen in one seed.

    Parameters
    ----------
    max_attempts : int
        Failed runs after which a task is given up.
    """

    def __init__(self, max_attempts: int) -> None:
        self.jobs: dict[str, Job] = {}
        self.broken: list[Broken] = []
        self.starts = 0
        self.quiet_since: float | None = None
        self._max_attempts = max_attempts
        self._tasks: dict[str, _Task] = {}
        self._cpu: dict[str, int] = {}
        self._began = time.monotonic()
        self._lock = threading.RLock()

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def _break(self, rule: str, detail: str) -> None:
        self.broken.append(Broken(rule, round(self.now(), 2), detail))

    def add(self, job: Job) -> None:
        """Record a submission before it is sent."""
        with self._lock:
            self.jobs[job.id] = job

    # From runners.

    def started(self, host: str, task: str, run: int, spec: str, saved: str) -> None:
        """Check the start of a run."""
        with self._lock:
            self.starts += 1
            what = f"{task} run {run} on {host}"
            job = self.jobs.get(task.split(".")[0])
            if job is None or spec != job.body["specification"]:
                self._break("UNASKED", f"{what}: nobody submitted it so")
                return
            found = self._tasks.setdefault(task, _Task())
            self._check_run(found, job, what)
            self._check_job(job, task, what)
            if saved and not saved.startswith(f"{task}#"):
                self._break("UNASKED", f"{what}: checkpoint {saved}")
            found.active[run] = host
            found.started[run] = self.now()
            self._count(host, job, task, 1)

    def _check_run(self, found: _Task, job: Job, what: str) -> None:
        if found.active:
            self._break("TWICE", f"{what}: also {found.active}")
        if found.is_done_noted and not job.lasts:
            self._break("TWICE", f"{what}: its end as done was noted")
        if found.failures_noted >= self._max_attempts and not job.lasts:
            self._break("BUDGET", f"{what}: {found.failures_noted} failures")

    def _check_job(self, job: Job, task: str, what: str) -> None:
        if job.is_refused:
            self._break("REFUSED", f"{what}: all attempts were rejected")
        if job.shown == "completed":
            self._break("TWICE", f"{what}: shown as completed")
        since = self.quiet_since
        if since is not None and job.cancelled_at:
            bound = max(since, job.cancelled_at) + CANCEL_S
            if self.now() > bound:
                self._break("UNASKED", f"{what}: cancelled at {job.cancelled_at:.2f}")
        for earlier in job.step(task).get("after", ()):
            for other in job.tasks(earlier):
                if not self._tasks.get(other, _Task()).done:
                    self._break("ORDER", f"{what}: {other} is not done")
                    return

    def _count(self, host: str, job: Job, task: str, sign: int) -> None:
        used = self._cpu.get(host, 0) + sign * job.step(task)["cpu"]
        self._cpu[host] = used
        if sign > 0 and used > HOST_CPU:
            self._break("LIMIT", f"{host}: {used} after {task}")

    def ended(self, host: str, task: str, run: int, outcome: str) -> None:
        """Record the end of a run."""
        with self._lock:
            found = self._tasks[task]
            if found.active.pop(run, None) is None:
                return
            self._count(host, self.jobs[task.split(".")[0]], task, -1)
            if outcome == "done":
                found.done[run] = self.now()
            found.failures += outcome == "failed"

    def noted(self, task: str, run: int, outcome: str) -> None:
        """Record that an end was taken note of."""
        with self._lock:
            found = self._tasks[task]
            if outcome == "failed":
                found.failures_noted += 1
            if outcome != "done" or found.is_done_noted:
                return
            found.is_done_noted = True
            lasts = self.jobs[task.split(".")[0]].lasts
            again = [r for r, at in found.started.items() if at > found.done[run]]
            if again and not lasts:
                self._break("TWICE", f"{task}: runs {again} after {run} was done")

    def crashed(self, host: str, runs: t.Iterable[tuple[str, int]]) -> None:
        """Record that a runner went down with all that it ran."""
        with self._lock:
            for task, run in runs:
                self.ended(host, task, run, "lost")

    # From callers.

    def shown(self, job: Job, state: str) -> None:
        """Check a state that a caller was told."""
        with self._lock:
            if job.shown in FINAL and state != job.shown:
                self._break("MIXED", f"{job.id}: {job.shown}, then {state}")
            if state == "completed" and job.shown != state:
                self._check_completed(job)
            if state == "cancelled" and not job.cancel_sent:
                self._break("LOST", f"{job.id}: cancelled by nobody")
            if state == "failed" and job.shown != state:
                self._check_failed(job)
            job.shown = state

    def _names(self, job: Job) -> list[str]:
        return [name for n in range(len(job.body["steps"])) for name in job.tasks(n)]

    def _check_completed(self, job: Job) -> None:
        for name in self._names(job):
            if not self._tasks.get(name, _Task()).done:
                self._break("MIXED", f"{job.id}: completed, but {name} is not done")

    def _check_failed(self, job: Job) -> None:
        most = max(
            (self._tasks.get(name, _Task()).failures for name in self._names(job)),
            default=0,
        )
        if most < self._max_attempts:
            self._break("LOST", f"{job.id}: failed after {most} failures")

    def lasting_cpu(self) -> int:
        """Return what the jobs that last, and are not cancelled, take together."""
        with self._lock:
            steps = [
                job.body["steps"][0]
                for job in self.jobs.values()
                if job.lasts and not job.cancelled_at
            ]
        return sum(step["count"] * step["cpu"] for step in steps)

    def unknown(self, job: Job) -> None:
        """Check an answer that a submission is not known."""
        with self._lock:
            if job.accepted_at and not job.cancel_sent:
                self._break("LOST", f"{job.id}: accepted, then not known")

    def miss(self, rule: str, detail: str) -> None:
        """Record a promise that was found broken at the end."""
        with self._lock:
            self._break(rule, detail)

    def active(self, job: Job) -> int:
        """Return how many runs of a job are at work."""
        with self._lock:
            found = [self._tasks.get(name, _Task()) for name in self._names(job)]
            return sum(len(task.active) for task in found)


class Runner(runners.Runner):
    """One life of a runner that tells the book all that it sees.

    Parameters
    ----------
    book : Book
        Told of starts, ends and notes.
    host : str
        The runner's host.
    **options
        Of the stand-in.
    """

    def __init__(self, book: Book, host: str, **options: t.Any) -> None:
        super().__init__(room=1_000, **options)
        self._book = book
        self._host = host
        self._void: set[int] = set()

    def _start(self, run: t.Any, lease_end_ms: int, epoch: int) -> str:
        key = (run.task, run.run)
        is_new = key not in self.running
        reason = super()._start(run, lease_end_ms, epoch)
        if is_new and key in self.running:
            self._book.started(self._host, *key, run.spec, run.checkpoint)
        return reason

    def _end(self, key: tuple[str, int], outcome: str) -> None:
        self.running[key] = f"{key[0]}#{key[1]}"
        super()._end(key, outcome)
        self._book.ended(self._host, *key, outcome)

    def poll(
        self,
        acknowledged_end: int,
        lease_end_ms: int | None,
        epoch: int,
        wait_s: float,
    ) -> t.Any:
        """Return a snapshot, and record in the book which ends were noted."""
        with self._lock:
            if not self.is_silent and epoch >= self.epoch:
                for end in self.ended:
                    if end.number <= acknowledged_end and end.number not in self._void:
                        self._book.noted(end.task, end.run, end.outcome)
                self.ended = [
                    end for end in self.ended if end.number > acknowledged_end
                ]
        return super().poll(acknowledged_end, lease_end_ms, epoch, wait_s)

    def turn(self) -> None:
        """Let the time that has passed take effect.

        An end that outlives its lease without a note counts as lost (RULES.md,
        TWICE): the scheduler cannot tell it from a run that lapsed.
        """
        with self._lock:
            self._turn()
            if self.clock_ms > self.lease_end_ms:
                self._void.update(end.number for end in self.ended)

    def crash(self) -> None:
        """Go down with all that runs."""
        with self._lock:
            self.is_silent = True
            self._late.clear()
            self._book.crashed(self._host, list(self.running))
            self.running.clear()
