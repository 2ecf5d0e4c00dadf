"""The state machine of task records; all changes of records are made here."""

import time
import typing as t

from bilberrypass import crash_limits, errors
from bilberrypass.connection import messages
from bilberrypass.execution import states, task_events
from bilberrypass.version import page, work

JobKey = tuple[str, str]
Jobs = dict[JobKey, page.JobRecord]

_FINISHED: t.Final = "finished"
_FAILED: t.Final = "failed"
_STOPPED: t.Final = "stopped"


def find(jobs: Jobs, task: work.TaskId) -> page.TaskRecord | None:
    """Return the record of a task at this attempt, or None."""
    job = jobs.get((task.team, task.job))
    if job is None or task.index >= len(job.tasks):
        return None
    record = job.tasks[task.index]
    return record if record.attempt == task.attempt else None


def _set(jobs: Jobs, task: work.TaskId, record: page.TaskRecord) -> None:
    key = (task.team, task.job)
    if record.state in page.ENDED:
        task_events.record_end(jobs[key], task, record.state)
    jobs[key] = jobs[key].with_task(task.index, record._replace(changed_at=time.time()))


def put(jobs: Jobs, job: page.JobRecord) -> tuple[page.JobRecord, bool]:
    """Add a job, and return its record and whether it is new.

    Raises
    ------
    errors.Refused
        KEY_REUSED if another job has the id.
    """
    existing = jobs.get((job.team, job.id))
    if existing is None:
        jobs[job.team, job.id] = job
        return job, True
    if existing.digest != job.digest:
        raise errors.Refused(
            errors.Kind.KEY_REUSED,
            f"job {job.id} exists with a different body; choose another id",
        )
    return existing, False


def place(jobs: Jobs, key: JobKey, index: int, host: str) -> work.Spec:
    """Assign a waiting task to a host as a new attempt, and return its spec."""
    task = jobs[key].task_id(index)
    record = jobs[key].tasks[index]
    _set(
        jobs,
        task,
        record._replace(state=page.PLACED, host=host, attempt=record.attempt + 1),
    )
    return jobs[key].spec(index)


def requeue(jobs: Jobs, task: work.TaskId, detail: str) -> bool:
    """Requeue a task that certainly does not run, or cancel it if it was stopping.

    Return whether the record changed.
    """
    record = find(jobs, task)
    if record is None or record.state not in page.ON_HOST:
        return False
    is_cancelled = record.state == page.STOPPING
    state = page.CANCELLED if is_cancelled else page.WAITING
    _set(jobs, task, record._replace(state=state, host="", detail=detail))
    return True


def evict(jobs: Jobs, task: work.TaskId, detail: str) -> bool:
    """Begin to evict a running task; return whether the record changed."""
    record = find(jobs, task)
    if record is None or record.state != page.RUNNING:
        return False
    evictions = record.evictions + 1
    new = record._replace(state=page.EVICTING, evictions=evictions, detail=detail)
    _set(jobs, task, new)
    return True


def revoke_placement(jobs: Jobs, task: work.TaskId, detail: str) -> bool:
    """Begin to stop a placed task that may be running; return whether it changed.

    The task waits again only when its host has confirmed that it does not run.
    """
    record = find(jobs, task)
    if record is None or record.state != page.PLACED:
        return False
    _set(jobs, task, record._replace(state=page.EVICTING, detail=detail))
    return True


def cancel(jobs: Jobs, key: JobKey) -> page.JobRecord:
    """Cancel the tasks of a job that have not ended, and return the job.

    Tasks on a host are stopped first.

    Raises
    ------
    errors.Refused
        NOT_FOUND if the job was removed.
    """
    if key not in jobs:
        raise errors.Refused(
            errors.Kind.NOT_FOUND, f"job {key[1]} ended long ago and was removed"
        )
    for index, record in enumerate(jobs[key].tasks):
        if record.state == page.WAITING:
            state = page.CANCELLED
        elif record.state in page.ON_HOST:
            state = page.STOPPING
        else:
            continue
        _set(jobs, jobs[key].task_id(index), record._replace(state=state))
    return jobs[key]


def is_recorded(record: page.TaskRecord, state: messages.TaskState) -> bool:
    """Return whether a record already includes a reported state."""
    if state.state in (_FINISHED, _FAILED, _STOPPED, states.CRASHED):
        return record.state not in page.ON_HOST and not _is_late_progress(record, state)
    is_same = state.checkpoint in ("", record.checkpoint)
    return record.state != page.PLACED and is_same


def _is_late_progress(record: page.TaskRecord, state: messages.TaskState) -> bool:
    """Return whether a requeued task had finished or has a newer checkpoint."""
    if record.state != page.WAITING or record.attempt == 0:
        return False
    is_newer = state.checkpoint not in ("", record.checkpoint)
    return state.state == _FINISHED or is_newer


def apply_report(jobs: Jobs, state: messages.TaskState) -> None:
    """Apply a reported task state; no effect if outdated or already recorded."""
    record = find(jobs, state.task)
    if record is None or is_recorded(record, state):
        return
    updated = record._replace(checkpoint=state.checkpoint or record.checkpoint)
    if updated.checkpoint != record.checkpoint:
        updated = updated._replace(crashes=[])
    if state.state == _FINISHED:
        _set(
            jobs, state.task, updated._replace(state=page.FINISHED, detail=state.detail)
        )
    elif record.state not in page.ON_HOST:
        _set(jobs, state.task, updated)
    elif state.state == _FAILED:
        _apply_failed(jobs, state, updated)
    elif state.state == states.CRASHED:
        _apply_crashed(jobs, state, updated)
    elif state.state == _STOPPED:
        _apply_stopped(jobs, state, updated)
    elif record.state == page.PLACED:
        _set(jobs, state.task, updated._replace(state=page.RUNNING))
    else:
        _set(jobs, state.task, updated)


def _apply_failed(
    jobs: Jobs, state: messages.TaskState, record: page.TaskRecord
) -> None:
    job = jobs[state.task.team, state.task.job]
    failures = record.failures + 1
    updated = record._replace(
        failures=failures, failed_on=record.host, detail=state.detail
    )
    if record.state == page.STOPPING:
        new = updated._replace(state=page.CANCELLED)
    elif failures >= job.max_attempts:
        new = updated._replace(state=page.FAILED)
    else:
        new = updated._replace(state=page.WAITING, host="")
    _set(jobs, state.task, new)


def _apply_crashed(
    jobs: Jobs, state: messages.TaskState, record: page.TaskRecord
) -> None:
    """Requeue a task that was lost in a crash; give it up if it caused several."""
    crashes = [*record.crashes, *([state.crash] if state.crash else [])]
    updated = record._replace(
        crashes=crashes, failed_on=record.host, detail=state.detail
    )
    if record.state == page.STOPPING:
        new = updated._replace(state=page.CANCELLED)
    elif crash_limits.is_given_up(crashes):
        detail = f"{len(crashes)} workers crashed under it"
        new = updated._replace(state=page.FAILED, detail=detail)
    else:
        new = updated._replace(state=page.WAITING, host="")
    _set(jobs, state.task, new)


def _apply_stopped(
    jobs: Jobs, state: messages.TaskState, record: page.TaskRecord
) -> None:
    if record.state == page.STOPPING:
        new = record._replace(state=page.CANCELLED, detail=state.detail)
    else:
        detail = record.detail if record.state == page.EVICTING else state.detail
        new = record._replace(state=page.WAITING, host="", detail=detail)
    _set(jobs, state.task, new)


def tasks_by_host(jobs: Jobs) -> dict[str, list[work.TaskId]]:
    """Return the tasks that are placed, running or being stopped, by host."""
    found: dict[str, list[work.TaskId]] = {}
    for job in jobs.values():
        for index, record in enumerate(job.tasks):
            if record.state in page.ON_HOST:
                found.setdefault(record.host, []).append(job.task_id(index))
    return found
