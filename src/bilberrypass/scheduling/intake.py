"""Submissions and cancellations in the store, and how the scheduler follows them."""

import collections.abc as abc
import threading
import time
import typing as t

import msgspec

from bilberrypass import clock, errors
from bilberrypass.observing import decisions
from bilberrypass.scheduling import committing, jobs, keyvalue, reach, state

PREFIX: t.Final = "intake/"
JOB_PREFIX: t.Final = "intake/job/"
CANCEL_PREFIX: t.Final = "intake/cancel/"
_CALL_S: t.Final = 2.0
_WATCH_S: t.Final = 1.0
_TRY_S: t.Final = 0.8  # several tries within the usual 3 s of a caller
_RETRY_S: t.Final = 0.2


class Submissions:
    """Stores what callers ask for, from any entry.

    Parameters
    ----------
    store : keyvalue.Store
        Keeps it.
    """

    def __init__(self, store: keyvalue.Store) -> None:
        self._store = store
        self._reach = reach.Reach(store)

    def submit(self, job: jobs.Job, deadline: float) -> bool:
        """Store a job and tell whether it is new; the same id is the same job.

        Raises
        ------
        errors.Error
            STORE_DOWN if it certainly is not stored, STORE_UNCERTAIN if it may be.
        """
        return self._create(JOB_PREFIX + job.id, state.encode_job(job), deadline)

    def _create(self, key: str, value: bytes, deadline: float) -> bool:
        """Create a key unless it exists; after a lost answer, try again.

        A create that takes effect late finds the key there and changes nothing.
        """
        self._reach.require(deadline)
        lost: errors.Error | None = None
        while True:
            try:
                return self._try(key, value, min(deadline, clock.now() + _TRY_S))
            except errors.Error as exc:
                decisions.record("create.failed", key=key, why=str(exc))
                if exc.kind is errors.Kind.STORE_UNCERTAIN:
                    lost = exc
                elif lost is None:
                    raise
            time.sleep(_RETRY_S)
            if clock.now() >= deadline:
                raise lost

    def _try(self, key: str, value: bytes, deadline: float) -> bool:
        with self._reach.call():
            try:
                self._store.commit({key: 0}, [keyvalue.Put(key, value)], deadline)
            except keyvalue.PreconditionFailed:
                return False
        return True

    def _read(self, key: str, deadline: float) -> keyvalue.Item | None:
        self._reach.require(deadline)
        with self._reach.call():
            return self._store.get(key, deadline).item

    def cancel(self, id: str, deadline: float) -> bool:
        """Store a cancellation; False if there is no such job."""
        if self._read(JOB_PREFIX + id, deadline) is None:
            return False
        self._create(CANCEL_PREFIX + id, b"", deadline)
        return True

    def read_status(self, id: str, deadline: float) -> str:
        """Return a job's status as the store has it; empty if there is none."""
        if self._read(JOB_PREFIX + id, deadline) is None:
            return ""
        item = self._read(committing.PREFIX + id, deadline)
        return state.Status.QUEUED if item is None else state.decode(item.value).status


class Loaded(t.NamedTuple):
    """What a new scheduler starts from."""

    jobs: list[jobs.Job]
    cancelled: list[str]
    progress: list[keyvalue.Item]
    learnt: bytes


@t.final
class Follower:
    """Reads everything once, then follows what comes in.

    Parameters
    ----------
    store : keyvalue.Store
        Read and watched.
    on_loaded : callable
        Told everything, once.
    on_job, on_cancel : callable
        Told each job and each cancelled id, again after a gap in the history.
    """

    def __init__(
        self,
        store: keyvalue.Store,
        on_loaded: abc.Callable[[Loaded], None],
        on_job: abc.Callable[[jobs.Job], None],
        on_cancel: abc.Callable[[str], None],
    ) -> None:
        self._store = store
        self._on_loaded = on_loaded
        self._on_job = on_job
        self._on_cancel = on_cancel
        self._read = decisions.Dependency("intake.store")
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="intake", daemon=True)

    def start(self) -> None:
        """Begin to read."""
        self._thread.start()

    def stop(self) -> None:
        """Follow no longer."""
        self._stopping.set()

    def _run(self) -> None:
        is_loaded = False
        while not self._stopping.is_set():
            try:
                listing = self._store.list(PREFIX, clock.now() + _CALL_S)
                if not is_loaded:
                    self._load(listing)
                    is_loaded = True
                else:
                    for item in listing.items:
                        self._tell(item.key, item.value)
                self._watch(listing.revision)
            except errors.Error as exc:
                self._read.failed(exc)
                self._stopping.wait(_RETRY_S)

    def _load(self, listing: keyvalue.Listing) -> None:
        progress = self._store.list(committing.PREFIX, clock.now() + _CALL_S)
        learnt = self._store.get(committing.INTERFERENCE_KEY, clock.now() + _CALL_S)
        found, cancelled = [], []
        for item in listing.items:
            if item.key.startswith(CANCEL_PREFIX):
                cancelled.append(item.key.removeprefix(CANCEL_PREFIX))
            elif (job := _decode(item.key, item.value)) is not None:
                found.append(job)
        value = b"" if learnt.item is None else learnt.item.value
        self._on_loaded(Loaded(found, cancelled, progress.items, value))

    def _watch(self, revision: int) -> None:
        while not self._stopping.is_set():
            try:
                watched = self._store.watch(PREFIX, revision, _WATCH_S)
            except keyvalue.HistoryLost as exc:
                decisions.record("intake.history_lost", why=exc.detail)
                self._stopping.wait(_RETRY_S)
                return
            except errors.Error as exc:
                self._read.failed(exc)
                self._stopping.wait(_RETRY_S)
                continue
            self._read.worked()
            revision = max(revision, watched.revision)
            for change in watched.changes:
                if change.value is not None:
                    self._tell(change.key, change.value)

    def _tell(self, key: str, value: bytes) -> None:
        if key.startswith(CANCEL_PREFIX):
            self._on_cancel(key.removeprefix(CANCEL_PREFIX))
        elif (job := _decode(key, value)) is not None:
            self._on_job(job)


def _decode(key: str, value: bytes) -> jobs.Job | None:
    try:
        return state.decode_job(value)
    except msgspec.MsgspecError as exc:
        decisions.record("intake.unreadable", key=key, why=str(exc))
        return None
