"""Removal of finished jobs from the store after their retention period."""

import collections.abc as abc
import threading
import typing as t

from bilberrypass import clock, errors, supervision
from bilberrypass.observing import decisions
from bilberrypass.scheduling import committing, election, intake, keyvalue, state

if t.TYPE_CHECKING:
    from bilberrypass.scheduling import scheduler

_CLEANUP_INTERVAL_S: t.Final = 10.0
_COMMIT_TIMEOUT_S: t.Final = 2.0
# Each job has three keys; one entry of the commit is the election's precondition.
_MAX_JOBS_PER_COMMIT: t.Final = (keyvalue.MAX_COMMIT_ENTRIES - 1) // 3


def job_keys(id: str) -> list[str]:
    """Return all keys under which the store holds a job."""
    prefixes = (intake.JOB_PREFIX, intake.CANCEL_PREFIX, committing.PROGRESS_PREFIX)
    return [prefix + id for prefix in prefixes]


def find_expired(owner: "scheduler.Scheduler") -> list[str]:
    """Return the ids of final or unknown jobs whose retention period is over."""
    before = clock.now() - owner.cfg.status_s
    early = list(owner.early_cancellations.items())
    return [id for id, at in early if at < before] + [
        id
        for id, job in list(owner.jobs.items())
        if job.stored_status in state.FINAL and 0 < job.final_since < before
    ]


@t.final
class Cleaner:
    """Periodically removes jobs whose retention period is over.

    Parameters
    ----------
    store : keyvalue.Store
        Holds the jobs.
    epoch : int
        Jobs are removed only while the election's key has this revision.
    find_expired : callable
        Returns the ids of jobs whose retention period is over.
    on_removed : callable
        Called with the ids of the removed jobs.
    """

    def __init__(
        self,
        store: keyvalue.Store,
        epoch: int,
        find_expired: abc.Callable[[], list[str]],
        on_removed: abc.Callable[[list[str]], None],
    ) -> None:
        self._store = store
        self._epoch = epoch
        self._find_expired = find_expired
        self._on_removed = on_removed
        self._stopping = threading.Event()
        self._thread = supervision.SupervisedThread(
            "cleaner", self._run, self._stopping
        )

    def start(self) -> None:
        """Start the thread that periodically removes expired jobs."""
        self._thread.start()

    def stop(self) -> None:
        """Signal the thread to end, without waiting for it."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.wait(_CLEANUP_INTERVAL_S):
            self.clean()

    def clean(self) -> None:
        """Remove all expired jobs; those that fail are retried by the next call."""
        ids = self._find_expired()
        for start in range(0, len(ids), _MAX_JOBS_PER_COMMIT):
            group = ids[start : start + _MAX_JOBS_PER_COMMIT]
            removed = [key for id in group for key in job_keys(id)]
            try:
                self._store.commit(
                    {election.KEY: self._epoch},
                    [],
                    clock.now() + _COMMIT_TIMEOUT_S,
                    removed,
                )
            except errors.Error as exc:
                decisions.record("jobs.not_removed", jobs=len(group), why=str(exc))
                return
            decisions.record("jobs.removed", jobs=group)
            self._on_removed(group)
