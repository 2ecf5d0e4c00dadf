"""Writes the progress of jobs, grouped, one transaction at a time."""

import collections.abc as abc
import threading
import time
import typing as t

from bilberrypass import clock, errors
from bilberrypass.observing import decisions
from bilberrypass.scheduling import election, keyvalue

PREFIX: t.Final = "progress/"
INTERFERENCE_KEY: t.Final = "interference"
# Each job takes a precondition and a value; the election takes a precondition, and
# what was learnt of images a value.
MAX_JOBS: t.Final = (keyvalue.MAX_COMMIT_ENTRIES - 2) // 2
_CALL_S: t.Final = 1.0  # four times the answer of a store 60 times slower than usual
_RETRY_S: t.Final = 0.1


class Write(t.NamedTuple):
    """The progress of a job, and the revision of what it replaces."""

    job: str
    value: bytes
    replaces: int


Committed = abc.Callable[[list[Write], int], None]


@t.final
class Committer:
    """Writes one group at a time, until it is stored or another leads.

    Parameters
    ----------
    store : keyvalue.Store
        Takes the writes.
    epoch : int
        Every write holds only while this is the election's revision.
    on_stored : callable
        Told the group and the revision, on the committer's thread.
    on_deposed : callable
        Told why, once another leads.
    """

    def __init__(
        self,
        store: keyvalue.Store,
        epoch: int,
        on_stored: Committed,
        on_deposed: abc.Callable[[str], None],
    ) -> None:
        self._store = store
        self._epoch = epoch
        self._on_stored = on_stored
        self._on_deposed = on_deposed
        self._group: list[Write] | None = None
        self._extra: list[keyvalue.Put] = []
        self._ready = threading.Condition()
        self._stored = decisions.Dependency("commit")
        self._stopping = False
        self._thread = threading.Thread(target=self._run, name="commit", daemon=True)

    def start(self) -> None:
        """Begin to write."""
        self._thread.start()

    def stop(self) -> None:
        """Write nothing more."""
        with self._ready:
            self._stopping = True
            self._ready.notify()

    def submit(self, group: list[Write], extra: keyvalue.Put | None = None) -> None:
        """Write a group, and a key that nobody depends on; after the one before."""
        with self._ready:
            assert self._group is None
            self._group = group
            self._extra = [] if extra is None else [extra]
            self._ready.notify()

    def _run(self) -> None:
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

    def _write(self, group: list[Write]) -> int | None:
        """Write a group until it is stored; None if another leads."""
        expected = {PREFIX + write.job: write.replaces for write in group}
        expected[election.KEY] = self._epoch
        puts = [keyvalue.Put(PREFIX + write.job, write.value) for write in group]
        puts += self._extra
        while not self._stopping:
            try:
                revision = self._store.commit(expected, puts, clock.now() + _CALL_S)
                self._stored.worked()
                return revision
            except keyvalue.PreconditionFailed as exc:
                return self._resolve(group, exc.items)
            except errors.Error as exc:
                self._stored.failed(exc)
            time.sleep(_RETRY_S)
        return None

    def _resolve(
        self, group: list[Write], items: dict[str, keyvalue.Item]
    ) -> int | None:
        """Tell a write that took effect before from one that another made."""
        found = [items.get(PREFIX + write.job) for write in group]
        if all(
            item is not None and item.value == write.value
            for item, write in zip(found, group, strict=True)
        ):
            return max(item.revision for item in found if item is not None)
        leader = items.get(election.KEY)
        why = f"the election's revision is {leader.revision if leader else None}"
        if leader is not None and leader.revision == self._epoch:
            why = "a job's progress was written by another"
        self._on_deposed(why)
        return None
