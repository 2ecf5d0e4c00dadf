"""Removes jobs from the store once nobody may ask for them any more."""

import collections.abc as abc
import threading
import typing as t

from bilberrypass import clock, errors
from bilberrypass.observing import decisions
from bilberrypass.scheduling import committing, election, intake, keyvalue

_INTERVAL_S: t.Final = 10.0
_CALL_S: t.Final = 2.0
# Each job has three keys; the election takes a precondition.
_MAX_JOBS: t.Final = (keyvalue.MAX_COMMIT_ENTRIES - 1) // 3


def keys(id: str) -> list[str]:
    """Return all keys of a job."""
    prefixes = (intake.JOB_PREFIX, intake.CANCEL_PREFIX, committing.PREFIX)
    return [prefix + id for prefix in prefixes]


@t.final
class Cleaner:
    """Removes what is due, now and then.

    Parameters
    ----------
    store : keyvalue.Store
        Holds the jobs.
    epoch : int
        Nothing is removed unless this is the election's revision.
    due : callable
        Returns the ids of jobs that may go.
    on_removed : callable
        Told the ids that are gone.
    """

    def __init__(
        self,
        store: keyvalue.Store,
        epoch: int,
        due: abc.Callable[[], list[str]],
        on_removed: abc.Callable[[list[str]], None],
    ) -> None:
        self._store = store
        self._epoch = epoch
        self._due = due
        self._on_removed = on_removed
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="cleaner", daemon=True)

    def start(self) -> None:
        """Begin to remove."""
        self._thread.start()

    def stop(self) -> None:
        """Remove nothing more."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.wait(_INTERVAL_S):
            self.clean()

    def clean(self) -> None:
        """Remove what is due now; what fails is due again the next time."""
        ids = self._due()
        for start in range(0, len(ids), _MAX_JOBS):
            group = ids[start : start + _MAX_JOBS]
            removed = [key for id in group for key in keys(id)]
            try:
                self._store.commit(
                    {election.KEY: self._epoch}, [], clock.now() + _CALL_S, removed
                )
            except errors.Error as exc:
                decisions.record("jobs.not_removed", jobs=len(group), why=str(exc))
                return
            decisions.record("jobs.removed", jobs=group)
            self._on_removed(group)
