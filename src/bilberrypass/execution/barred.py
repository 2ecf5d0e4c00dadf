"""The attempts that must not start again on one host."""

import collections
import typing as t

from bilberrypass.version import work

_MAX_ATTEMPTS: t.Final = 4_096


@t.final
class BarredAttempts:
    """Attempts that ended, were stopped or were lost here; not thread-safe.

    The worker refuses them as well, until it restarts. The oldest are dropped first.
    """

    def __init__(self) -> None:
        self._tasks: collections.OrderedDict[work.TaskId, None] = (
            collections.OrderedDict()
        )

    def __contains__(self, task: work.TaskId) -> bool:
        return task in self._tasks

    def add(self, task: work.TaskId) -> None:
        """Bar an attempt."""
        self._tasks[task] = None
        while len(self._tasks) > _MAX_ATTEMPTS:
            self._tasks.popitem(last=False)
