"""What reports have told of the tasks on each host."""

import threading
import typing as t

from bilberrypass.connection import messages
from bilberrypass.execution import tasks
from bilberrypass.version import work

_MAX_DRIFT: t.Final = 0.01
_MISSES: t.Final = 2


class _Miss(t.NamedTuple):
    """Reports of one agent in a row that lack a task which it had."""

    incarnation: int
    sequence: int
    count: int


@t.final
class Sightings:
    """Tells which tasks are lost for certain.

    A task that was seen on a host is lost with its host when the lease has
    lapsed by any clock, and alone when two reports in a row lack it: the first
    may have been on its way when the task was seen.

    Parameters
    ----------
    lease_s : float
        Life of a task's lease without renewal, in seconds.
    """

    def __init__(self, lease_s: float) -> None:
        self._lease_s = lease_s
        self._lock = threading.Lock()
        self._answered_at: dict[str, float] = {}
        self._seen: set[work.TaskId] = set()
        self._misses: dict[work.TaskId, _Miss] = {}

    def answered(self, host: str, at: float) -> None:
        """Note that leases count from a report that was heard by this time."""
        with self._lock:
            self._answered_at[host] = max(at, self._answered_at.get(host, 0.0))

    def lapse(self, host: str, owned_at: float) -> float:
        """Return when the leases on a host have lapsed, by any clock (monotonic)."""
        granted_at = max(self._answered_at.get(host, 0.0), owned_at)
        return granted_at + self._lease_s * (1 + _MAX_DRIFT)

    def confirm(self, task: work.TaskId) -> None:
        """Note that a task is on its host."""
        with self._lock:
            self._seen.add(task)
            self._misses.pop(task, None)

    def is_confirmed(self, task: work.TaskId) -> bool:
        """Tell whether a task was seen on its host."""
        return task in self._seen

    def keep(self, on_host: t.Collection[work.TaskId]) -> None:
        """Forget all other tasks."""
        with self._lock:
            self._seen.intersection_update(on_host)
            kept = set(on_host)
            self._misses = {k: v for k, v in self._misses.items() if k in kept}

    def hear(
        self, report: messages.Report, expected: t.Iterable[work.TaskId]
    ) -> list[work.TaskId]:
        """Return those expected tasks that the host has lost.

        Parameters
        ----------
        report : messages.Report
            The host's report.
        expected : iterable of work.TaskId
            Tasks that were seen there, by this owner or by its predecessor.

        Returns
        -------
        list of work.TaskId
            Tasks that certainly do not run there any more.
        """
        listed = {state.task for state in report.tasks}
        lost = []
        with self._lock:
            for state in report.tasks:
                if state.state in tasks.LIVE:
                    self._seen.add(state.task)
            for task in expected:
                if task in listed:
                    self._misses.pop(task, None)
                elif report.is_current and self._miss(report, task) >= _MISSES:
                    lost.append(task)
        return lost

    def _miss(self, report: messages.Report, task: work.TaskId) -> int:
        known = self._misses.get(task)
        if known is None or known.incarnation != report.incarnation:
            known = _Miss(report.incarnation, report.sequence, 1)
        elif report.sequence > known.sequence:
            known = known._replace(sequence=report.sequence, count=known.count + 1)
        self._misses[task] = known
        return known.count
