"""Access of tests to the tasks of a job, which has objects only for begun ones."""

import math

from bilberrypass.scheduling import jobs, state, waiting_tasks


def begin_all(job):
    """Let all tasks of a job begin, without a run, and return them."""
    for occurrence in range(job.occurrences.total):
        for number, step in enumerate(job.job.steps):
            for index in range(step.count):
                key = jobs.TaskKey(job.job.id, occurrence, number, index)
                job.begin_task(state.Task(job, key, step))
    return list(job.occurrences.begun_tasks())


def waiting(job, now):
    """Yield the tasks that may start at a Unix time; the caller lets them begin."""
    for step in job.eligible_steps(now):
        yield from waiting_tasks.find(step, job.room_for_tasks(step), math.inf)
