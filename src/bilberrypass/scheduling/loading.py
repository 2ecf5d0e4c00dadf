"""Restores the jobs of a new scheduler from the stored state."""

import time
import typing as t

from bilberrypass.observing import decisions
from bilberrypass.scheduling import (
    committing,
    intake,
    job_quarantine,
    jobs,
    state,
    work_budget,
)

if t.TYPE_CHECKING:
    from bilberrypass.scheduling import scheduler


def accepted_at(job: jobs.Job, now: float, not_before: float) -> float:
    """Return when a job was accepted, or first refused, on this process's clock.

    Another process stored the time of day, so what the intake shows limits it: the job
    was not there when the intake was last read, at ``not_before``. Before the first
    read a jump of either clock shows in the result, which only affects the order of
    jobs.
    """
    age_s = max(0.0, time.time() - job.accepted_at)
    return max(now - age_s, not_before) - job.waited_s


def restore_jobs(
    initial: intake.InitialState,
    quarantine: job_quarantine.JobQuarantine,
    now: float,
    max_bytes: int,
    budget: work_budget.WorkBudget,
) -> dict[str, state.JobState]:
    """Return the states of all jobs that can be restored; set the others aside.

    Parameters
    ----------
    initial : intake.InitialState
        What the store holds.
    quarantine : job_quarantine.JobQuarantine
        Receives the jobs that cannot be restored. Their runs go on unseen, so they must
        not be started again.
    now : float
        Time on ``clock.now``.
    max_bytes : int
        Limit of a value in the store.
    budget : work_budget.WorkBudget
        Counts what the jobs hold.
    """
    progress = {
        item.key.removeprefix(committing.PROGRESS_PREFIX): item
        for item in initial.progress
    }
    restored = {}
    for job in initial.jobs:
        job_state = None
        try:
            at = accepted_at(job, now, 0.0)
            job_state = state.JobState(job, at, max_bytes, budget)
            item = progress.pop(job.id, None)
            if item is not None:
                job_state.restore(item.value, item.revision, now)
                job_state.drop_tasks_if_final()
        except Exception as exc:
            if job_state is not None:
                job_state.release()
            quarantine.add(job.id, "stored progress", exc)
        else:
            restored[job.id] = job_state
    return restored


def record_loaded(owner: "scheduler.Scheduler", took_s: float) -> None:
    """Log what a scheduler has loaded, and the memory that it counts for that."""
    decisions.record(
        "scheduler.loaded",
        epoch=owner.epoch,
        jobs=len(owner.jobs),
        open=len(owner.open_jobs),
        took_s=round(took_s, 3),
        **owner.budget.figures(),
    )
