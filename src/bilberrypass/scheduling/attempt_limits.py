"""Jobs that fail because a task has no attempt left."""

import typing as t

from bilberrypass.scheduling import jobs, state

if t.TYPE_CHECKING:
    from bilberrypass.scheduling import scheduler


def fail_if_spent(
    owner: "scheduler.Scheduler", job: state.JobState, queue: jobs.Queue
) -> bool:
    """Fail a job with a waiting task that has no attempt left; return whether it has.

    Handles a last attempt that failed while the queue was not configured, and a
    configuration that allows fewer attempts than before.
    """
    if job.most_failures < queue.max_attempts:
        return False
    for task in job.occurrences.begun_tasks():
        if (
            task.is_waiting
            and not task.step.is_service
            and task.failures >= queue.max_attempts
        ):
            why = f"{task.failures} runs of a task failed"
            owner.fail_job(job, why, task=str(task.key), host=task.host)
            return True
    return False
