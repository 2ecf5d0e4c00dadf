"""Writes of job progress to the store, one group of jobs per transaction."""

import collections.abc as abc
import threading
import time
import typing as t

import logbook

from bilberrypass import clock, errors
from bilberrypass.observing import decisions
from bilberrypass.scheduling import election, keyvalue

_log = logbook.Logger("commit")

PROGRESS_PREFIX: t.Final = "progress/"
INTERFERENCE_KEY: t.Final = "interference"
FORECAST_KEY: t.Final = election.KEY + "/forecast"  # read by the watch of that key
# Each job uses two entries of a transaction: a precondition and a value. One more
# entry is the election's precondition and one the value of INTERFERENCE_KEY or
# FORECAST_KEY.
MAX_JOBS_PER_COMMIT: t.Final = (keyvalue.MAX_COMMIT_ENTRIES - 2) // 2
# four times the response time of a store that is 60 times slower than usual
_COMMIT_TIMEOUT_S: t.Final = 1.0
_RETRY_INTERVAL_S: t.Final = 0.1


class ProgressWrite(t.NamedTuple):
    """Encoded progress of a job, written if its key is at ``expected_revision``."""

    job: str
    value: bytes
    expected_revision: int


OnStored = abc.Callable[[list[ProgressWrite], int], None]


@t.final
class Committer:
    """Writes one group at a time, retrying until it is stored or leadership is lost.

    Parameters
    ----------
    store : keyvalue.Store
        Receives the writes.
    epoch : int
        Each transaction requires that the election's key has this revision.
    on_stored : callable
        Called with the group and its revision, on the committer's thread.
    on_leadership_lost : callable
        Called with the reason when a precondition shows that another process leads.
    """

    def __init__(
        self,
        store: keyvalue.Store,
        epoch: int,
        on_stored: OnStored,
        on_leadership_lost: abc.Callable[[str], None],
    ) -> None:
        self._store = store
        self._epoch = epoch
        self._on_stored = on_stored
        self._on_leadership_lost = on_leadership_lost
        self._group: list[ProgressWrite] | None = None
        self._extra: list[keyvalue.Put] = []
        self._ready = threading.Condition()
        self._commits = decisions.Dependency("commit")
        self._stopping = False
        self._thread = threading.Thread(target=self._run, name="commit", daemon=True)

    def start(self) -> None:
        """Start the thread that writes the submitted groups."""
        self._thread.start()

    def stop(self) -> None:
        """Signal the thread to end; a group that is not stored is dropped."""
        with self._ready:
            self._stopping = True
            self._ready.notify()

    def submit(
        self, group: list[ProgressWrite], extra: keyvalue.Put | None = None
    ) -> None:
        """Write a group of jobs in one transaction.

        Parameters
        ----------
        group : list of ProgressWrite
            At most ``MAX_JOBS_PER_COMMIT`` jobs. The previous group must have been
            stored.
        extra : keyvalue.Put, optional
            A value to write without a precondition on its key.
        """
        with self._ready:
            assert self._group is None
            self._group = group
            self._extra = [] if extra is None else [extra]
            self._ready.notify()

    def _run(self) -> None:
        try:
            self._write_groups()
        except Exception:
            _log.exception("commit: failed; the next leader reloads from the store")
            self._on_leadership_lost("the writer of progress failed")

    def _write_groups(self) -> None:
        while True:
            with self._ready:
                while self._group is None and not self._stopping:
                    self._ready.wait()
                group = self._group
            if self._stopping or group is None:
                return
            revision = self._write(group)
            if revision is None:
                return
            self._group = None
            self._on_stored(group, revision)

    def _write(self, group: list[ProgressWrite]) -> int | None:
        """Retry a group until it is stored; None if leadership is lost or on stop."""
        expected = {
            PROGRESS_PREFIX + write.job: write.expected_revision for write in group
        }
        expected[election.KEY] = self._epoch
        puts = [
            keyvalue.Put(PROGRESS_PREFIX + write.job, write.value) for write in group
        ]
        puts += self._extra
        while not self._stopping:
            try:
                revision = self._store.commit(
                    expected, puts, clock.now() + _COMMIT_TIMEOUT_S
                )
                self._commits.worked()
                return revision
            except keyvalue.PreconditionFailed as exc:
                return self._resolve_conflict(group, exc.items)
            except errors.Error as exc:
                self._commits.failed(exc)
            del puts[len(group) :]  # estimates would be out of date when stored
            time.sleep(_RETRY_INTERVAL_S)
        return None

    def _resolve_conflict(
        self, group: list[ProgressWrite], items: dict[str, keyvalue.Item]
    ) -> int | None:
        """Return the group's revision if an earlier attempt of it took effect.

        Otherwise another process wrote: report the loss of leadership, return None.
        """
        current = [items.get(PROGRESS_PREFIX + write.job) for write in group]
        if all(
            item is not None and item.value == write.value
            for item, write in zip(current, group, strict=True)
        ):
            return max(item.revision for item in current if item is not None)
        leader = items.get(election.KEY)
        why = f"the election key is at revision {leader.revision if leader else None}"
        if leader is not None and leader.revision == self._epoch:
            why = "another process wrote the progress of a job"
        self._on_leadership_lost(why)
        return None
