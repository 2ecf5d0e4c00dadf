"""The states of runs as reported to the owners of their tasks."""

from bilberrypass import resources
from bilberrypass.connection import messages, worker
from bilberrypass.version import work


def never_ran(task: work.TaskId) -> worker.Run:
    """Return the run of a task that was stopped before it started."""
    return worker.Run(
        work.Spec(task, resources.Demand(), ""), "stopped", "", "never ran"
    )


def task_state(run: worker.Run) -> messages.TaskState:
    """Return the state of a run for a report."""
    return messages.TaskState(
        run.spec.task,
        run.state,
        run.spec.demand,
        run.checkpoint,
        run.detail,
        task_class=run.spec.task_class,
    )
