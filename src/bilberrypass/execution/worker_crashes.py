"""The runs that a worker has lost, and those whose loss a crash explains."""

import collections.abc as abc
import time
import typing as t

from bilberrypass import crash_limits, resources
from bilberrypass.connection import worker
from bilberrypass.execution import states
from bilberrypass.version import work


class KnownTasks(t.NamedTuple):
    """The tasks known before the worker's inventory was requested."""

    runs: frozenset[work.TaskId]
    uncertain: frozenset[work.TaskId]


@t.final
class CrashRecord:
    """Tells which runs may have crashed the worker; not thread-safe."""

    def __init__(self) -> None:
        self._begun_at: dict[work.TaskId, float] = {}  # monotonic
        self._crashes: dict[work.TaskId, crash_limits.Crash] = {}

    def on_start(self, task: work.TaskId) -> None:
        """Record that the start of a task is about to be sent."""
        self._begun_at.setdefault(task, time.monotonic())

    def add_lost(
        self,
        lost: abc.Iterable[work.TaskId],
        runs: abc.Mapping[work.TaskId, worker.Run],
        up_at: float,
    ) -> dict[work.TaskId, worker.Run]:
        """Return the ended runs of those tasks that may have crashed the worker.

        Parameters
        ----------
        lost : iterable of work.TaskId
            Tasks that a restarted worker does not list.
        runs : mapping of work.TaskId to worker.Run
            The latest known runs; a task whose start had no answer has none.
        up_at : float
            When the worker last listed its runs, in monotonic seconds.
        """
        now = time.monotonic()
        ended = {}
        for task in lost:
            run, begun = runs.get(task), self._begun_at.get(task)
            if begun is None or (run is not None and not states.is_live(run)):
                continue
            # A run without an answer to its start may have begun just before the crash.
            min_age_s = 0.0 if run is None else max(0.0, up_at - begun)
            crash = crash_limits.Crash(task.attempt, min_age_s, now - begun)
            if crash_limits.is_blamed(crash):
                self._crashes[task] = crash
                ended[task] = _make_run(task, run)
        return ended

    def find(self, task: work.TaskId) -> crash_limits.Crash | None:
        """Return the crash under a task, or None."""
        return self._crashes.get(task)

    def drop(self, task: work.TaskId) -> None:
        """Forget a task."""
        self._begun_at.pop(task, None)
        self._crashes.pop(task, None)


def _make_run(task: work.TaskId, run: worker.Run | None) -> worker.Run:
    if run is None:
        run = worker.Run(work.Spec(task, resources.Demand(), ""), "")
    return run._replace(state=states.CRASHED, detail="its worker crashed")
