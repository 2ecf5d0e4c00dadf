"""When the leases of the tasks on a host expire."""

import collections.abc as abc
import time
import typing as t

from bilberrypass.version import work

_MIN_STOP_MARGIN_S: t.Final = 1.0
_STOP_MARGIN_LEASE_SHARE: t.Final = 0.1


@t.final
class LeaseExpiries:
    """The expiries of leases in monotonic seconds, by task; not thread-safe."""

    def __init__(self) -> None:
        self._expiries: dict[work.TaskId, float] = {}
        self._lease_s = 0.0

    def extend(self, task: work.TaskId, expiry: float) -> None:
        """Extend the lease of a task; it is never shortened."""
        self._expiries[task] = max(self._expiries.get(task, 0.0), expiry)

    def renew(
        self, tasks: abc.Iterable[work.TaskId], sent_at: float, lease_s: float
    ) -> None:
        """Renew the leases of tasks, counted from the time a report was sent."""
        self._lease_s = lease_s
        for task in tasks:
            self.extend(task, sent_at + lease_s)

    def drop(self, task: work.TaskId) -> None:
        """Forget the lease of a task, if it has one."""
        self._expiries.pop(task, None)

    def items(self) -> abc.ItemsView[work.TaskId, float]:
        """Return the tasks that have had a lease, and its expiry."""
        return self._expiries.items()

    def find_expiring(self, tasks: abc.Iterable[work.TaskId]) -> list[work.TaskId]:
        """Return those of the tasks that are to be stopped before their leases end."""
        margin_s = max(_MIN_STOP_MARGIN_S, _STOP_MARGIN_LEASE_SHARE * self._lease_s)
        limit = time.monotonic() + margin_s
        return [task for task in tasks if self._expiries.get(task, limit) < limit]
