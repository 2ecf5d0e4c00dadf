"""Preemption: the choice of batch tasks to evict for urgent tasks."""

import time
import typing as t

from bilberrypass import resources
from bilberrypass.batch import records
from bilberrypass.version import page, work

_MIN_RUN_TIME_S: t.Final = 2.0


def find_preemptible(
    jobs: records.Jobs, candidates: list[work.TaskId]
) -> list[work.TaskId]:
    """Return the running, non-urgent tasks that have run long enough to be evicted."""
    now = time.time()
    preemptible = []
    for task in candidates:
        job = jobs[task.team, task.job]
        record = job.tasks[task.index]
        has_run = now > record.changed_at + _MIN_RUN_TIME_S
        if record.state == page.RUNNING and not job.urgent and has_run:
            preemptible.append(task)
    return preemptible


def choose_victims(
    jobs: records.Jobs,
    demand: resources.Demand,
    free: resources.Demand,
    preemptible: list[work.TaskId],
) -> list[work.TaskId]:
    """Return the tasks to evict so that a demand fits on a host.

    Tasks with the largest CPU demand come first, to evict few, and among equals
    those started last.

    Parameters
    ----------
    jobs : records.Jobs
        The jobs of the tasks.
    demand : resources.Demand
        The resources needed.
    free : resources.Demand
        The resources free on the host.
    preemptible : list of work.TaskId
        Tasks that may be evicted.

    Returns
    -------
    list of work.TaskId
        Empty if the demand would not fit even if all of them were evicted.
    """

    def sort_key(task: work.TaskId) -> tuple[int, float]:
        job = jobs[task.team, task.job]
        return -job.demand.cpu_milli, -job.tasks[task.index].changed_at

    chosen: list[work.TaskId] = []
    for task in sorted(preemptible, key=sort_key):
        if demand.fits_in(free):
            break
        free = free.plus(jobs[task.team, task.job].demand)
        chosen.append(task)
    return chosen if demand.fits_in(free) else []
