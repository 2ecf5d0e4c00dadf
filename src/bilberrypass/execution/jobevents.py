"""What metrics and traces tell of tasks."""

from bilberrypass.observing import metrics, traces
from bilberrypass.version import page, work


def placed(host: str, specs: list[work.Spec]) -> None:
    """Tell that the store holds the placement of tasks on a host."""
    metrics.count(metrics.Name.TASKS_PLACED, number=len(specs))
    for spec in specs:
        task = spec.task
        traces.event(
            "job placed", spec.traceparent, job=task.job, task=task.index, host=host
        )


def started(host: str, spec: work.Spec) -> None:
    """Tell that a host's worker took a task."""
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


def ended(job: page.JobRecord, task: work.TaskId, state: str) -> None:
    """Tell that a task is recorded as ended."""
    metrics.count(metrics.Name.TASKS_ENDED, state)
    traces.event(f"job {state}", job.traceparent, job=job.id, task=task.index)
