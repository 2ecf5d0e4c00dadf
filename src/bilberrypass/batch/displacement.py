"""Which batch tasks make room on a host for urgent work."""

import time
import typing as t

from bilberrypass import resources
from bilberrypass.batch import records
from bilberrypass.version import page, work

_LEAST_RUN_S: t.Final = 2.0


def find_movable(jobs: records.Jobs, found: list[work.TaskId]) -> list[work.TaskId]:
    """Return the batch tasks that have run long enough to be moved."""
    now = time.time()
    victims = []
    for task in found:
        job = jobs[task.team, task.job]
        record = job.tasks[task.index]
        has_run = now > record.changed_at + _LEAST_RUN_S
        if record.state == page.RUNNING and not job.urgent and has_run:
            victims.append(task)
    return victims


def choose(
    jobs: records.Jobs,
    demand: resources.Demand,
    free: resources.Demand,
    victims: list[work.TaskId],
) -> list[work.TaskId]:
    """Return the fewest tasks that make room, the latest started first, or none."""

    def order(task: work.TaskId) -> tuple[int, float]:
        job = jobs[task.team, task.job]
        return -job.demand.cpu_milli, -job.tasks[task.index].changed_at

    chosen: list[work.TaskId] = []
    for task in sorted(victims, key=order):
        if demand.fits(free):
            break
        free = free.plus(jobs[task.team, task.job].demand)
        chosen.append(task)
    return chosen if demand.fits(free) else []
