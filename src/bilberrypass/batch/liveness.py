"""Liveness of tasks and their leases, derived from host reports."""

import threading
import time
import typing as t

from bilberrypass.connection import messages
from bilberrypass.execution import states
from bilberrypass.version import work

_MAX_CLOCK_DRIFT: t.Final = 0.01
_MISSES_UNTIL_LOST: t.Final = 2


class _Miss(t.NamedTuple):
    """Consecutive reports of one agent that lack a task confirmed before."""

    incarnation: int
    sequence: int
    count: int


class Position(t.NamedTuple):
    """A position in the sequence of an agent's reports."""

    incarnation: int
    sequence: int


class _Agent(t.NamedTuple):
    """The newest agent of a host, and when the leases that it renewed have expired."""

    incarnation: int
    lease_expiry: float


@t.final
class LivenessTracker:
    """Finds tasks that certainly no longer run.

    All tasks on a host are lost when its lease has expired, with a margin for clock
    drift. A single task that was confirmed on a host is lost when two consecutive
    reports lack it; one is not enough, since it may have been created before the task
    was confirmed. Reports that were certainly created before do not count, nor do
    those of a replaced agent until the leases of the newer one have expired.

    Parameters
    ----------
    lease_s : float
        Time until the lease of a task expires without renewal, in seconds.
    """

    def __init__(self, lease_s: float) -> None:
        self._lease_s = lease_s
        self._lock = threading.Lock()
        self._renewed_at: dict[str, float] = {}
        self._confirmed: dict[work.TaskId, Position] = {}
        self._misses: dict[work.TaskId, _Miss] = {}
        self._agents: dict[str, _Agent] = {}

    def record_lease_renewal(self, host: str, at: float) -> None:
        """Record that the leases on a host were renewed.

        ``at`` is the monotonic time by which the renewing report had arrived.
        """
        with self._lock:
            self._renewed_at[host] = max(at, self._renewed_at.get(host, 0.0))

    def lease_expiry(self, host: str, owned_at: float) -> float:
        """Return the monotonic time when all leases on a host have expired.

        Includes a margin for clock drift. ``owned_at`` is the monotonic time when
        this owner acquired the shard; its predecessor may have renewed until then.
        """
        return self._expiry(max(self._renewed_at.get(host, 0.0), owned_at))

    def _expiry(self, renewed_at: float) -> float:
        return renewed_at + self._lease_s * (1 + _MAX_CLOCK_DRIFT)

    def confirm(self, task: work.TaskId, position: Position) -> None:
        """Record that a task is on its host.

        Reports of the same agent up to ``position`` may have been created before.
        """
        with self._lock:
            self._set_confirmed(task, position)
            self._misses.pop(task, None)

    def _set_confirmed(self, task: work.TaskId, position: Position) -> None:
        self._confirmed[task] = max(position, self._confirmed.get(task, position))

    def is_confirmed(self, task: work.TaskId) -> bool:
        """Return whether a task was confirmed on its host."""
        return task in self._confirmed

    def retain(self, on_host: t.Collection[work.TaskId]) -> None:
        """Drop all tasks but these."""
        with self._lock:
            kept = set(on_host)
            self._confirmed = {k: v for k, v in self._confirmed.items() if k in kept}
            self._misses = {k: v for k, v in self._misses.items() if k in kept}

    def find_lost(
        self, report: messages.Report, expected: t.Iterable[work.TaskId]
    ) -> list[work.TaskId]:
        """Evaluate a report and return the expected tasks that the host has lost.

        Parameters
        ----------
        report : messages.Report
            The host's latest report.
        expected : iterable of work.TaskId
            Tasks confirmed there by this owner or its predecessor.

        Returns
        -------
        list of work.TaskId
            Tasks that certainly no longer run there.
        """
        listed = {state.task for state in report.tasks}
        lost = []
        position = Position(report.incarnation, report.sequence)
        with self._lock:
            is_newest = self._update_agent(report)
            for state in report.tasks:
                if state.state in states.LIVE_STATES:
                    self._set_confirmed(state.task, position)
            for task in expected:
                if task in listed:
                    self._misses.pop(task, None)
                elif (
                    is_newest
                    and report.is_current
                    and self._count_miss(report, task) >= _MISSES_UNTIL_LOST
                ):
                    lost.append(task)
        return lost

    def _update_agent(self, report: messages.Report) -> bool:
        """Return whether a report is from the newest agent of its host."""
        now = time.monotonic()
        known = self._agents.get(report.host)
        if known is not None and report.incarnation < known.incarnation:
            if now <= known.lease_expiry:
                return False
        self._agents[report.host] = _Agent(report.incarnation, self._expiry(now))
        return True

    def _count_miss(self, report: messages.Report, task: work.TaskId) -> int:
        confirmed = self._confirmed.get(task)
        if (
            confirmed is not None
            and report.incarnation == confirmed.incarnation
            and report.sequence <= confirmed.sequence
        ):
            return 0
        miss = self._misses.get(task)
        if miss is None or miss.incarnation != report.incarnation:
            miss = _Miss(report.incarnation, report.sequence, 1)
        elif report.sequence > miss.sequence:
            miss = miss._replace(sequence=report.sequence, count=miss.count + 1)
        self._misses[task] = miss
        return miss.count
