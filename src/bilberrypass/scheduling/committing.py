"""Writes of job progress to the store, one group of jobs per transaction."""

import collections.abc as abc
import threading
import time
import typing as t

import logbook
import prometheus_client as prometheus

from bilberrypass import clock, errors
from bilberrypass.observing import decisions
from bilberrypass.scheduling import election, keyvalue

_log = logbook.Logger("commit")

_rejected_commits = prometheus.Counter(
    "bilberrypass_commits_rejected",
    "Writes of progress that the store refused for good",
)

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
    status: str = ""


OnStored = abc.Callable[[list[ProgressWrite], int], None]
OnRejected = abc.Callable[[ProgressWrite, keyvalue.Rejected], None]


class _Outcome(t.NamedTuple):
    """What became of a part of a group: stored at a revision, or refused for good."""

    part: list[ProgressWrite]
    revision: int
    rejected: keyvalue.Rejected | None = None


@t.final
class Committer:
    """Writes one group at a time, retrying until it is stored or leadership is lost.

    Of a group that the store refuses for good, each job is written by itself, so that
    no other job waits for the one at fault.

    Parameters
    ----------
    store : keyvalue.Store
        Receives the writes.
    epoch : int
        Each transaction requires that the election's key has this revision.
    on_stored : callable
        Called with the group, or a part of it, and its revision, on the committer's
        thread.
    on_rejected : callable
        Called with the write of a job that the store refuses for good, and the error.
    on_leadership_lost : callable
        Called with the reason when a precondition shows that another process leads.
    """

    def __init__(
        self,
        store: keyvalue.Store,
        epoch: int,
        on_stored: OnStored,
        on_rejected: OnRejected,
        on_leadership_lost: abc.Callable[[str], None],
    ) -> None:
        self._store = store
        self._epoch = epoch
        self._on_stored = on_stored
        self._on_rejected = on_rejected
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
            outcomes = self._write_parts(group, self._extra)
            if outcomes is None:
                return
            self._group = None
            for part, revision, rejected in outcomes:
                if rejected is None:
                    self._on_stored(part, revision)
                else:
                    self._on_rejected(part[0], rejected)

    def _write_parts(
        self, group: list[ProgressWrite], extra: list[keyvalue.Put]
    ) -> list[_Outcome] | None:
        """Write a group, job by job if the store refuses it; None as ``_write``.

        A store that refuses every commit has a fault of its own: the write is repeated.
        """
        while True:
            try:
                revision = self._write(group, extra)
                return None if revision is None else [_Outcome(group, revision)]
            except keyvalue.Rejected as exc:
                _rejected_commits.inc()
                decisions.record(
                    "commit.rejected",
                    jobs={write.job: len(write.value) for write in group},
                    why=exc.detail,
                )
                if len(group) > 1:
                    break
                if self._accepts_commits():
                    return [_Outcome(group, 0, exc)]
            time.sleep(_RETRY_INTERVAL_S)
        outcomes: list[_Outcome] = []
        for write in group:
            found = self._write_parts([write], [])
            if found is None:
                return None
            outcomes += found
        return outcomes

    def _accepts_commits(self) -> bool:
        """Return whether the store takes a commit that changes nothing."""
        try:
            self._store.commit(
                {election.KEY: self._epoch},
                [],
                clock.now() + _COMMIT_TIMEOUT_S,
                [PROGRESS_PREFIX],
            )
        except errors.Error as exc:
            self._commits.failed(exc)
            return False
        return True

    def _write(
        self, group: list[ProgressWrite], extra: list[keyvalue.Put]
    ) -> int | None:
        """Retry a group until it is stored; None if leadership is lost or on stop.

        Raises
        ------
        keyvalue.Rejected
            The store refuses the group for good, also without ``extra``.
        """
        expected = {
            PROGRESS_PREFIX + write.job: write.expected_revision for write in group
        }
        expected[election.KEY] = self._epoch
        puts = [
            keyvalue.Put(PROGRESS_PREFIX + write.job, write.value) for write in group
        ]
        puts += extra
        while not self._stopping:
            try:
                revision = self._store.commit(
                    expected, puts, clock.now() + _COMMIT_TIMEOUT_S
                )
                self._commits.worked()
                return revision
            except keyvalue.PreconditionFailed as exc:
                return self._resolve_conflict(group, exc.items)
            except keyvalue.Rejected as exc:
                if len(puts) == len(group):
                    raise
                decisions.record(
                    "commit.extra_rejected",
                    keys={put.key: len(put.value) for put in extra},
                    why=exc.detail,
                )
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
