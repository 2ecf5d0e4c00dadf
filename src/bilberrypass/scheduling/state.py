"""The progress of a job, in the scheduler's memory and in the store."""

import collections.abc as abc
import enum
import time
import typing as t

from bilberrypass import crash_limits
from bilberrypass.scheduling import (
    jobs,
    keyvalue,
    occurrences,
    open_work,
    step_progress,
    stored_progress,
    stragglers,
    work_budget,
)


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

# More than the runs that a task can have had, whose number is not known.
_REOPENED_RUN: t.Final = 1 << 31


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
        self.run, self.host, self.life = 0, "", 0
        self.may_have_ended = False
        self.failures = 0
        self.crashes: list[crash_limits.Crash] = []
        self.cleared_run = 0
        self.running_since = 0.0
        self.checkpoint = self.ticket = self.avoided_host = ""
        self.not_before = self.started_at = self.slow_since = 0.0
        self.figure, self.pace = 0, 100
        self.progress = stragglers.Progress()
        self.is_stored = True

    @property
    def is_active(self) -> bool:
        """Return whether a run may exist on a host."""
        return self.phase in ACTIVE

    @property
    def is_waiting(self) -> bool:
        """Return whether the task waits for a run."""
        return self.phase is Phase.WAITING

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

    def isolation(self, now: float) -> crash_limits.Isolation:
        """Return how far a run that starts now is kept apart from others.

        ``now`` is on ``clock.now``.
        """
        waited_s = now - self.not_before
        is_urgent = self.step.is_service and waited_s > crash_limits.MAX_LINE_S
        return crash_limits.choose_isolation(self.crashes, is_urgent)

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

    def is_finished_by(self, outcome: str) -> bool:
        """Return whether an end of the newest run finishes the task.

        A task of a service lasts until its job is cancelled, however its runs end.
        """
        return outcome == "done" and not self.step.is_service

    def is_end_expected(self, host: str, life: int, run: int) -> bool:
        """Return whether the end of a run counts that counted as gone before."""
        newest = (self.host, self.life, self.run)
        return self.may_have_ended and newest == (host, life, run)


class JobState:
    """A job with its open tasks; owned by the scheduler's thread.

    The times are on ``clock.now``: ``accepted_at``, ``final_since`` (0 before the final
    status) and ``idle_since``, since when no task runs and no host accepts one (0 if
    it does). ``finished_at`` is Unix time, for the stored record only.
    ``has_begun`` is set once a runner has begun a task, which an order does not show.
    ``most_failures`` is the most that a task had, also one that is done by now.
    ``is_unstorable`` is set once the progress was refused for good: only the status is
    stored from then on.

    Parameters
    ----------
    job : jobs.Job
        The submission.
    accepted_at : float
        When it was accepted, on ``clock.now``.
    max_bytes : int, optional
        Limit of the stored progress; as many tasks may be open as fit.
    budget : work_budget.WorkBudget, optional
        What all jobs of the scheduler hold; without one, the job is the only one.
    """

    __slots__ = (
        "__weakref__",
        "_max_bytes",
        "accepted_at",
        "cancelled",
        "failed",
        "final_since",
        "finished_at",
        "has_begun",
        "idle_since",
        "is_unstorable",
        "job",
        "most_failures",
        "occurrences",
        "open_work",
        "revision",
        "status",
        "stored_status",
    )

    def __init__(
        self,
        job: jobs.Job,
        accepted_at: float,
        max_bytes: int = keyvalue.DEFAULT_MAX_VALUE_BYTES,
        budget: work_budget.WorkBudget | None = None,
    ) -> None:
        self.job = job
        self.accepted_at = accepted_at
        self.status = Status.QUEUED
        self.stored_status = Status.QUEUED
        self.cancelled = self.failed = False
        self.has_begun = self.is_unstorable = False
        self.finished_at = 0.0
        self.final_since = 0.0
        self.idle_since = 0.0
        self.most_failures = 0
        self.revision = 0
        self.occurrences = occurrences.Occurrences(job, self._make_task)
        self._max_bytes = max_bytes
        self.open_work = open_work.OpenWork(
            job, max_bytes, budget or work_budget.WorkBudget()
        )

    def _make_task(self, key: jobs.TaskKey, step: jobs.Step) -> Task:
        return Task(self, key, step)

    @property
    def is_final(self) -> bool:
        """Return whether the status is final."""
        return self.status in FINAL

    @property
    def has_runs(self) -> bool:
        """Return whether a run of any task may exist on a host."""
        return any(task.is_active for task in self.occurrences.begun_tasks())

    def count_runs(self) -> int:
        """Return the number of tasks of which a run may exist on a host."""
        return sum(task.is_active for task in self.occurrences.begun_tasks())

    def is_idle_for(self, duration_s: float, now: float) -> bool:
        """Return whether a job that no host accepts has had no run for so long."""
        if self.has_runs:
            self.idle_since = 0.0
            return False
        self.idle_since = self.idle_since or now
        return now - self.idle_since >= duration_s

    def eligible_steps(
        self, now: float, passed: abc.Container[int] = ()
    ) -> abc.Iterator[step_progress.StepProgress]:
        """Yield the steps whose tasks may run at the Unix time ``now``.

        See ``Occurrences.eligible_steps``.
        """
        if self.cancelled or self.failed:
            return iter(())
        return self.occurrences.eligible_steps(now, passed)

    def room_for_tasks(self, step: step_progress.StepProgress) -> int:
        """Return how many more tasks of a step may begin.

        Their progress has to fit into its stored value, and the tasks into memory
        beside those of other jobs.
        """
        if step.key[1] < self.occurrences.next:
            return self.open_work.room_to_go_on()
        return self.open_work.room_to_open()

    def begin_task(self, task: Task) -> None:
        """Keep a task from its first run on, until it is done."""
        opened = int(task.key.occurrence >= self.occurrences.next)
        self.open_work.add(opened, self.occurrences.begin_task(task))

    def finish_task(self, task: Task) -> None:
        """Mark a task as done and drop it."""
        if task.phase is not Phase.DONE:
            task.phase = Phase.DONE
            is_last = self.occurrences.finish_task(task)
            self.open_work.add(-int(is_last), -1, -len(task.checkpoint))

    def keep_checkpoint(self, task: Task, checkpoint: str) -> None:
        """Keep the newest checkpoint of a task that has begun and is not done."""
        self.open_work.add(0, 0, len(checkpoint) - len(task.checkpoint))
        task.checkpoint = checkpoint

    def update_status(self, now: float) -> None:
        """Update the status from the tasks; ``now`` is on ``clock.now``."""
        if self.is_final:
            return
        if self.cancelled or self.failed:
            if not self.has_runs:
                self.status = Status.CANCELLED if self.cancelled else Status.FAILED
        elif not self.occurrences.has_open_tasks:
            self.status = Status.COMPLETED
        elif self.status is Status.QUEUED and self.has_begun:
            self.status = Status.RUNNING
        if self.is_final:
            self.final_since = now
            self.finished_at = time.time()

    def drop_tasks_if_final(self) -> None:
        """Drop the tasks to save memory once the final status is stored."""
        if self.is_final and self.stored_status in FINAL:
            self.occurrences.clear()
            self.open_work.drop()

    def release(self) -> None:
        """Return what the job holds of the budget, once the scheduler drops it."""
        self.open_work.release()

    @property
    def status_to_store(self) -> Status:
        """The status that callers are told once it is stored."""
        return Status.FAILED if self.failed else self.status

    def encode(self) -> bytes:
        """Return the progress in its stored form."""
        status = self.status_to_store.value
        if self.is_final or self.is_unstorable:
            return stored_progress.encode_ended(status, self.finished_at)
        hosts: stored_progress.Hosts = {}
        rows = [_make_row(task, hosts) for task in self.occurrences.begun_tasks()]
        value, bare_bytes = stored_progress.encode_open(
            status, self.occurrences.to_stored(), hosts, rows, self._max_bytes
        )
        self.open_work.record_encoded(bare_bytes)
        return value

    def restore(self, value: bytes, revision: int, now: float) -> None:
        """Restore the progress from its stored value and revision.

        The retention period of a final job begins anew at ``now``, on ``clock.now``:
        its end was stored with another process's time of day.
        """
        stored = stored_progress.decode(value)
        self.revision = revision
        self.status = self.stored_status = Status(stored.status)
        self.finished_at = stored.finished_at
        self.failed = self.status is Status.FAILED
        if self.failed and not stored.finished_at:
            self.status = Status.RUNNING
        self.has_begun = self.status is not Status.QUEUED
        if self.is_final:
            self.final_since = now
            return
        done = []
        if stored.occurrences is None:
            restored = self.occurrences.restore_earlier_form(stored.tasks)
        else:
            restored = self.occurrences.restore(stored.occurrences, stored.tasks)
        for task, row in restored:
            _restore_task(task, row)
            self.most_failures = max(self.most_failures, task.failures)
            if task.phase is Phase.DONE and task.step.is_service:
                task.phase = Phase.WAITING
            elif task.phase is Phase.DONE:
                done.append(task)
        for task in done:
            self.occurrences.finish_task(task)
        begun = list(self.occurrences.begun_tasks())
        checkpoints = sum(len(task.checkpoint) for task in begun)
        opened = self.occurrences.open_occurrences
        self.open_work.add(opened, len(begun), checkpoints)
        for task in self.occurrences.reopen_services(self.open_work.room_to_go_on()):
            task.run = _REOPENED_RUN
            self.open_work.add(self.occurrences.open_occurrences - opened, 1)
            opened = self.occurrences.open_occurrences


def _restore_task(task: Task, row: stored_progress.StoredTask) -> None:
    task.run, task.host, task.life = row.run, row.host, row.life
    task.failures, task.checkpoint = row.failures, row.checkpoint
    task.crashes, task.cleared_run = list(row.crashes), row.cleared_run
    task.phase = Phase(row.phase)


def _make_row(task: Task, hosts: stored_progress.Hosts) -> stored_progress.RowFields:
    """Return the stored form of a task, and number its host among ``hosts``."""
    key = task.key
    phase = Phase.ORDERED if task.phase is Phase.RUNNING else task.phase
    return (
        key.occurrence,
        key.step,
        key.index,
        phase.value,
        task.run,
        hosts.setdefault((task.host, task.life), len(hosts)),
        task.failures,
        task.checkpoint,
        task.crashes,
        task.cleared_run,
    )
