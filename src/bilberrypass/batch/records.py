"""The changes that the records of tasks go through; the only ones there are."""

import time
import typing as t

from bilberrypass import errors
from bilberrypass.connection import messages
from bilberrypass.execution import jobevents
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
        jobevents.ended(jobs[key], task, record.state)
    jobs[key] = jobs[key].with_task(task.index, record._replace(changed_at=time.time()))


def put(jobs: Jobs, job: page.JobRecord) -> tuple[page.JobRecord, bool]:
    """Add a job, and tell whether it is new.

    Raises
    ------
    errors.Refused
        KEY_REUSED if another job has the id.
    """
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


def place(jobs: Jobs, key: JobKey, index: int, host: str) -> work.Spec:
    """Give a waiting task to a host, as a new attempt."""
    task = jobs[key].task_id(index)
    record = jobs[key].tasks[index]
    _set(
        jobs,
        task,
        record._replace(state=page.PLACED, host=host, attempt=record.attempt + 1),
    )
    return jobs[key].spec(index)


def take_back(jobs: Jobs, task: work.TaskId, detail: str) -> bool:
    """Let a task wait again that certainly does not run; tell whether it did change."""
    record = find(jobs, task)
    if record is None or record.state not in page.ON_HOST:
        return False
    is_cancelled = record.state == page.STOPPING
    state = page.CANCELLED if is_cancelled else page.WAITING
    _set(jobs, task, record._replace(state=state, host="", detail=detail))
    return True


def evict(jobs: Jobs, task: work.TaskId, detail: str) -> bool:
    """Begin to move a running task away from its host; tell whether it did change."""
    record = find(jobs, task)
    if record is None or record.state != page.RUNNING:
        return False
    evictions = record.evictions + 1
    new = record._replace(state=page.EVICTING, evictions=evictions, detail=detail)
    _set(jobs, task, new)
    return True


def recall(jobs: Jobs, task: work.TaskId, detail: str) -> bool:
    """Begin to make sure that a placed task does not run; tell of a change."""
    record = find(jobs, task)
    if record is None or record.state != page.PLACED:
        return False
    _set(jobs, task, record._replace(state=page.EVICTING, detail=detail))
    return True


def cancel(jobs: Jobs, key: JobKey) -> page.JobRecord:
    """Cancel what has not ended; what is on a host is stopped first."""
    for index, record in enumerate(jobs[key].tasks):
        if record.state == page.WAITING:
            state = page.CANCELLED
        elif record.state in page.ON_HOST:
            state = page.STOPPING
        else:
            continue
        _set(jobs, jobs[key].task_id(index), record._replace(state=state))
    return jobs[key]


def is_noted(record: page.TaskRecord, state: messages.TaskState) -> bool:
    """Tell whether the record holds already what a host reports."""
    if state.state in (_FINISHED, _FAILED, _STOPPED):
        return record.state not in page.ON_HOST and not _is_late_news(record, state)
    is_same = state.checkpoint in ("", record.checkpoint)
    return record.state != page.PLACED and is_same


def _is_late_news(record: page.TaskRecord, state: messages.TaskState) -> bool:
    """Tell whether a task that waits again had come further than was known."""
    if record.state != page.WAITING or record.attempt == 0:
        return False
    is_further = state.checkpoint not in ("", record.checkpoint)
    return state.state == _FINISHED or is_further


def note(jobs: Jobs, state: messages.TaskState) -> None:
    """Take in what a host reports of a task."""
    record = find(jobs, state.task)
    if record is None or is_noted(record, state):
        return
    kept = record._replace(checkpoint=state.checkpoint or record.checkpoint)
    if state.state == _FINISHED:
        _set(jobs, state.task, kept._replace(state=page.FINISHED, detail=state.detail))
    elif record.state not in page.ON_HOST:
        _set(jobs, state.task, kept)
    elif state.state == _FAILED:
        _note_failed(jobs, state, kept)
    elif state.state == _STOPPED:
        _note_stopped(jobs, state, kept)
    elif record.state == page.PLACED:
        _set(jobs, state.task, kept._replace(state=page.RUNNING))
    else:
        _set(jobs, state.task, kept)


def _note_failed(
    jobs: Jobs, state: messages.TaskState, record: page.TaskRecord
) -> None:
    job = jobs[state.task.team, state.task.job]
    failures = record.failures + 1
    counted = record._replace(
        failures=failures, failed_on=record.host, detail=state.detail
    )
    if record.state == page.STOPPING:
        new = counted._replace(state=page.CANCELLED)
    elif failures >= job.max_attempts:
        new = counted._replace(state=page.FAILED)
    else:
        new = counted._replace(state=page.WAITING, host="")
    _set(jobs, state.task, new)


def _note_stopped(
    jobs: Jobs, state: messages.TaskState, record: page.TaskRecord
) -> None:
    if record.state == page.STOPPING:
        new = record._replace(state=page.CANCELLED, detail=state.detail)
    else:
        detail = record.detail if record.state == page.EVICTING else state.detail
        new = record._replace(state=page.WAITING, host="", detail=detail)
    _set(jobs, state.task, new)


def on_host(jobs: Jobs) -> dict[str, list[work.TaskId]]:
    """Return the tasks on each host."""
    found: dict[str, list[work.TaskId]] = {}
    for job in jobs.values():
        for index, record in enumerate(job.tasks):
            if record.state in page.ON_HOST:
                found.setdefault(record.host, []).append(job.task_id(index))
    return found
