"""The attempts that must not start again on one host."""

import collections
import time
import typing as t

from bilberrypass.version import work

_MAX_OLD_ATTEMPTS: t.Final = 4_096
_MIN_RETENTION_S: t.Final = 1_800.0


@t.final
class BarredAttempts:
    """Attempts that ended, were stopped or were lost here; not thread-safe.

    The worker refuses them as well, until it restarts. Beyond a limit the oldest are
    dropped, but only once each start that was sent before has expired.
    """

    def __init__(self) -> None:
        self._barred_at: collections.OrderedDict[work.TaskId, float] = (
            collections.OrderedDict()
        )

    def __contains__(self, task: work.TaskId) -> bool:
        return task in self._barred_at

    def add(self, task: work.TaskId) -> None:
        """Bar an attempt."""
        now = time.monotonic()
        self._barred_at[task] = now
        self._barred_at.move_to_end(task)
        while (
            len(self._barred_at) > _MAX_OLD_ATTEMPTS
            and next(iter(self._barred_at.values())) < now - _MIN_RETENTION_S
        ):
            self._barred_at.popitem(last=False)
