"""Metrics and trace events of the placement, start and end of tasks."""

from bilberrypass.observing import metrics, traces
from bilberrypass.version import page, work


def record_placement(host: str, specs: list[work.Spec]) -> None:
    """Record that the placement of tasks on a host is stored."""
    metrics.count(metrics.Name.TASKS_PLACED, number=len(specs))
    for spec in specs:
        task = spec.task
        traces.event(
            "job placed", spec.traceparent, job=task.job, task=task.index, host=host
        )


def record_start(host: str, spec: work.Spec) -> None:
    """Record that the worker of a host accepted a task."""
    task = spec.task
    metrics.count(metrics.Name.TASKS_STARTED)
    traces.event(
        "job started",
        spec.traceparent,
        job=task.job,
        task=task.index,
        attempt=task.attempt,
        host=host,
    )


def record_end(job: page.JobRecord, task: work.TaskId, state: str) -> None:
    """Record that the end of a task, with its final state, is stored."""
    metrics.count(metrics.Name.TASKS_ENDED, state)
    traces.event(f"job {state}", job.traceparent, job=job.id, task=task.index)
