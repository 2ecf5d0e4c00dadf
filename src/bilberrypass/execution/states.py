"""The states of runs as reported to the owners of their tasks."""

import typing as t

from bilberrypass import crash_limits, resources
from bilberrypass.connection import messages, worker
from bilberrypass.version import work

LIVE_STATES: t.Final = frozenset({"running", "checkpointed"})
CRASHED: t.Final = "crashed"  # with the worker; only agents set it


def is_live(run: worker.Run | None) -> bool:
    """Return whether a run is known and has not ended."""
    return run is not None and run.state in LIVE_STATES


def never_ran(task: work.TaskId) -> worker.Run:
    """Return the run of a task that was stopped before it started."""
    return worker.Run(
        work.Spec(task, resources.Demand(), ""), "stopped", "", "never ran"
    )


def task_state(
    run: worker.Run, crash: crash_limits.Crash | None = None
) -> messages.TaskState:
    """Return the state of a run, and the crash under it if any, for a report."""
    return messages.TaskState(
        run.spec.task,
        run.state,
        run.spec.demand,
        run.checkpoint,
        run.detail,
        task_class=run.spec.task_class,
        crash=crash,
    )
