"""The progress of a job, in the scheduler's memory and in the store."""

import enum
import time
import typing as t

import msgspec

from bilberrypass import crash_limits
from bilberrypass.scheduling import jobs, stragglers


class Phase(enum.IntEnum):
    """The last known phase of a task's newest run."""

    WAITING = 0
    ORDERED = 1
    RUNNING = 2
    STOPPING = 3
    DONE = 4


ACTIVE: t.Final = (Phase.ORDERED, Phase.RUNNING, Phase.STOPPING)


class Status(enum.StrEnum):
    """The state of a job as callers see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL: t.Final = (Status.COMPLETED, Status.FAILED, Status.CANCELLED)


class StoredTask(t.NamedTuple):
    """The stored record of a task with at least one run; other tasks have none."""

    occurrence: int
    step: int
    index: int
    phase: int
    run: int
    host: str
    life: int
    failures: int
    checkpoint: str
    crashes: list[crash_limits.Crash] = []  # noqa: RUF012
    cleared_run: int = 0


class StoredJob(t.NamedTuple):
    """The stored progress of a job; ``finished_at`` is Unix time, 0 before the end."""

    status: str
    tasks: list[StoredTask]
    finished_at: float = 0.0


class Task:
    """One task and its newest run.

    ``life`` is the start time, in Unix milliseconds, of the runner that the run was
    sent to. ``failures`` counts runs that ended as failed. ``is_stored`` is False from
    the choice of a host until the run is stored and may be ordered. ``may_have_ended``
    is set while the newest run counts as gone, other than by the end of its lease.
    ``crashes`` holds the crashes of runners under its runs that count, those after
    ``cleared_run``. ``running_since`` is when the newest run was first reported as
    running, 0 before.
    """

    __slots__ = (
        "avoided_host",
        "checkpoint",
        "cleared_run",
        "crashes",
        "failures",
        "figure",
        "host",
        "is_stored",
        "job",
        "key",
        "life",
        "may_have_ended",
        "not_before",
        "pace",
        "phase",
        "progress",
        "run",
        "running_since",
        "slow_since",
        "started_at",
        "step",
        "ticket",
    )

    def __init__(self, job: "JobState", key: jobs.TaskKey, step: jobs.Step) -> None:
        self.job = job
        self.key = key
        self.step = step
        self.phase = Phase.WAITING
        self.run = 0
        self.host = ""
        self.life = 0
        self.may_have_ended = False
        self.failures = 0
        self.crashes: list[crash_limits.Crash] = []
        self.cleared_run = 0
        self.running_since = 0.0
        self.checkpoint = ""
        self.ticket = ""
        self.not_before = 0.0
        self.started_at = 0.0
        self.figure = 0
        self.pace = 100
        self.progress = stragglers.Progress()
        self.avoided_host = ""
        self.slow_since = 0.0
        self.is_stored = True

    @property
    def is_active(self) -> bool:
        """Return whether a run may exist on a host."""
        return self.phase in ACTIVE

    def add_crash(self, crash: crash_limits.Crash) -> bool:
        """Count a crash of a runner under a run; return False if it does not count."""
        if self.phase is Phase.DONE or not self.cleared_run < crash.run <= self.run:
            return False
        if any(known.run == crash.run for known in self.crashes):
            return False
        if not crash_limits.is_blamed(crash):
            return False
        self.crashes.append(crash)
        return True

    def clear_outlived_crashes(self, now: float) -> bool:
        """Forget the crashes once the newest run has outlived them; return if it has.

        ``now`` is on ``clock.now``; the run was reported as running at that time.
        """
        self.running_since = self.running_since or now
        if not self.crashes:
            return False
        if now - self.running_since <= crash_limits.probation_s(self.crashes):
            return False
        self.crashes, self.cleared_run = [], self.run - 1
        return True

    def took_s(self, now: float) -> float | None:
        """Return the seconds since the start; None if an earlier scheduler ordered."""
        return round(now - self.started_at, 2) if self.started_at else None

    def is_end_expected(self, host: str, life: int, run: int) -> bool:
        """Return whether the end of a run counts that counted as gone before."""
        newest = (self.host, self.life, self.run)
        return self.may_have_ended and newest == (host, life, run)


class JobState:
    """A job with its tasks; owned by the scheduler's thread.

    The times are on ``clock.now``: ``accepted_at``, ``final_since`` (0 before the final
    status) and ``idle_since``, since when no task runs and no host accepts one (0 if
    it does). ``finished_at`` is Unix time, for the stored record only.
    """

    __slots__ = (
        "__weakref__",
        "accepted_at",
        "cancelled",
        "failed",
        "final_since",
        "finished_at",
        "idle_since",
        "job",
        "open_steps",
        "revision",
        "stored_status",
        "status",
        "step_tasks",
        "tasks",
    )

    def __init__(self, job: jobs.Job, accepted_at: float) -> None:
        self.job = job
        self.accepted_at = accepted_at
        self.tasks: dict[jobs.TaskKey, Task] = {}
        self.status = Status.QUEUED
        self.stored_status = Status.QUEUED
        self.cancelled = False
        self.failed = False
        self.finished_at = 0.0
        self.final_since = 0.0
        self.idle_since = 0.0
        self.revision = 0
        self.open_steps: dict[tuple[int, int], int] = {}
        self.step_tasks: dict[tuple[int, int], list[Task]] = {}
        for occurrence in range(max(1, job.repetitions)):
            for number, step in enumerate(job.steps):
                self.open_steps[occurrence, number] = step.count
                found = self.step_tasks[occurrence, number] = []
                for index in range(step.count):
                    key = jobs.TaskKey(job.id, occurrence, number, index)
                    self.tasks[key] = Task(self, key, step)
                    found.append(self.tasks[key])

    @property
    def is_final(self) -> bool:
        """Return whether the status is final."""
        return self.status in FINAL

    @property
    def has_runs(self) -> bool:
        """Return whether a run of any task may exist on a host."""
        return any(task.is_active for task in self.tasks.values())

    def count_runs(self) -> int:
        """Return the number of tasks of which a run may exist on a host."""
        return sum(task.is_active for task in self.tasks.values())

    def eligible_steps(self, now: float) -> list[list[Task]]:
        """Return the tasks of each step that may run at the Unix time ``now``."""
        if self.cancelled or self.failed:
            return []
        return [
            self.step_tasks[occurrence, number]
            for (occurrence, number), count in self.open_steps.items()
            if count and self._is_step_due(occurrence, self.job.steps[number], now)
        ]

    def _is_step_due(self, occurrence: int, step: jobs.Step, now: float) -> bool:
        if self.job.repetitions and now < self.due_at(occurrence):
            return False
        return not any(self.open_steps[occurrence, n] for n in step.after)

    def due_at(self, occurrence: int) -> float:
        """Return the Unix time before which an occurrence of the job may not start."""
        return self.job.first_run_at + occurrence * self.job.interval_s

    def first_open_occurrence(self) -> int:
        """Return the first occurrence with a task that is not done, 0 without any."""
        found = (occurrence for (occurrence, _), n in self.open_steps.items() if n)
        return next(found, 0)

    def finish_task(self, task: Task) -> None:
        """Mark a task as done and count it off its step."""
        if task.phase is not Phase.DONE:
            task.phase = Phase.DONE
            self.open_steps[task.key.occurrence, task.key.step] -= 1

    def update_status(self, now: float) -> None:
        """Update the status from the tasks; ``now`` is on ``clock.now``."""
        if self.is_final:
            return
        if self.cancelled or self.failed:
            if not self.has_runs:
                self.status = Status.CANCELLED if self.cancelled else Status.FAILED
        elif not any(self.open_steps.values()):
            self.status = Status.COMPLETED
        elif self.status is Status.QUEUED and any(
            task.phase is not Phase.WAITING for task in self.tasks.values()
        ):
            self.status = Status.RUNNING
        if self.is_final:
            self.final_since = now
            self.finished_at = time.time()

    def drop_tasks_if_final(self) -> None:
        """Drop the tasks to save memory once the final status is stored."""
        if self.is_final and self.stored_status in FINAL:
            self.tasks = {}
            self.step_tasks = {}
            self.open_steps = {}

    def encode(self) -> bytes:
        """Return the progress in its stored form."""
        tasks = []
        if not self.is_final:
            tasks = [
                _make_stored_task(task) for task in self.tasks.values() if task.run
            ]
        status = Status.FAILED if self.failed else self.status
        return _encode(StoredJob(status.value, tasks, self.finished_at))

    def restore(self, value: bytes, revision: int, now: float) -> None:
        """Restore the progress from its stored value and revision.

        The retention period of a final job begins anew at ``now``, on ``clock.now``:
        its end was stored with another process's time of day.
        """
        stored = decode_progress(value)
        self.revision = revision
        self.status = self.stored_status = Status(stored.status)
        self.finished_at = stored.finished_at
        self.failed = self.status is Status.FAILED
        if self.failed and not stored.finished_at:
            self.status = Status.RUNNING
        if self.is_final:
            self.final_since = now
        for row in stored.tasks:
            key = jobs.TaskKey(self.job.id, row.occurrence, row.step, row.index)
            task = self.tasks.get(key)
            if task is None:
                continue
            task.run, task.host, task.life = row.run, row.host, row.life
            task.failures, task.checkpoint = row.failures, row.checkpoint
            task.crashes, task.cleared_run = list(row.crashes), row.cleared_run
            if row.phase == Phase.DONE:
                self.finish_task(task)
            else:
                task.phase = Phase(row.phase)


def _make_stored_task(task: Task) -> StoredTask:
    phase = Phase.ORDERED if task.phase is Phase.RUNNING else task.phase
    return StoredTask(
        task.key.occurrence,
        task.key.step,
        task.key.index,
        int(phase),
        task.run,
        task.host,
        task.life,
        task.failures,
        task.checkpoint,
        task.crashes,
        task.cleared_run,
    )


_encode = msgspec.msgpack.Encoder().encode
_job_decoder = msgspec.msgpack.Decoder(jobs.Job)
_progress_decoder = msgspec.msgpack.Decoder(StoredJob)


def encode_job(job: jobs.Job) -> bytes:
    """Return a job in its stored form."""
    return _encode(job)


def decode_job(value: bytes) -> jobs.Job:
    """Decode a job from its stored form."""
    return _job_decoder.decode(value)


def decode_progress(value: bytes) -> StoredJob:
    """Decode the progress of a job from its stored form."""
    return _progress_decoder.decode(value)
