"""Job submissions and cancellations: stored by entries, watched by the scheduler."""

import collections.abc as abc
import threading
import time
import typing as t

import msgspec

from bilberrypass import clock, decoding, errors, supervision
from bilberrypass.observing import decisions
from bilberrypass.scheduling import (
    circuit_breaker,
    committing,
    jobs,
    keyvalue,
    state,
    stored_progress,
)

INTAKE_PREFIX: t.Final = "intake/"
JOB_PREFIX: t.Final = "intake/job/"
CANCEL_PREFIX: t.Final = "intake/cancel/"
REFUSED_PREFIX: t.Final = "refused/"
_READ_TIMEOUT_S: t.Final = 2.0
_WATCH_TIMEOUT_S: t.Final = 1.0
# allows several attempts within the usual deadline of a caller, 3 s
_WRITE_ATTEMPT_TIMEOUT_S: t.Final = 0.8
_RETRY_INTERVAL_S: t.Final = 0.2
# A lost write of an earlier attempt takes effect within seconds, or never.
_REFUSAL_TTL_S: t.Final = 60.0
_MAX_WAITED_S: t.Final = 600.0
_REFUSAL_LEASE_USE_S: t.Final = 30.0  # for new refusals


class Submissions:
    """Stores submissions and cancellations of callers; used by every entry.

    Parameters
    ----------
    store : keyvalue.Store
        Holds the jobs.
    """

    def __init__(self, store: keyvalue.Store) -> None:
        self._store = store
        self._breaker = circuit_breaker.CircuitBreaker(store)
        self._lease = 0
        self._lease_until = 0.0

    @property
    def outage_age_s(self) -> float:
        """How long the store has failed as this process sees it, 0 if it works."""
        return self._breaker.outage_age_s

    def check_size(self, job: jobs.Job) -> None:
        """Raise if a job is too large to be stored.

        Raises
        ------
        errors.Refused
            BODY_TOO_LARGE, with its size and the limit in bytes.
        """
        size = len(stored_progress.encode_job(job))
        if size > self._store.max_value_bytes:
            raise errors.Refused(
                errors.Kind.BODY_TOO_LARGE,
                f"job {job.id} takes {size} bytes in the store, which holds "
                f"{self._store.max_value_bytes}; submit several jobs",
                ran=errors.Ran.NO,
            )

    def submit(self, job: jobs.Job, deadline: float) -> bool:
        """Store a job and return whether it is new; idempotent by the job's id.

        Raises
        ------
        errors.Error
            STORE_DOWN or OVERLOADED if the job certainly is not stored,
            STORE_UNCERTAIN if it may be.
        """
        key, value = JOB_PREFIX + job.id, stored_progress.encode_job(job)

        def encode_again(refused: bytes) -> bytes:
            return stored_progress.encode_job(
                job._replace(waited_s=_decode_waited(refused))
            )

        return self._create(key, value, deadline, REFUSED_PREFIX + job.id, encode_again)

    def refuse(self, id: str, retry_after_s: float, deadline: float) -> bool:
        """Prevent that earlier attempts to submit a job take effect; they may be late.

        A later attempt can submit it. It counts as that much older as its caller was
        told to stay away, ``retry_after_s`` and what refusals before told.

        Returns
        -------
        bool
            False if the job is stored already; then nothing was changed.
        """
        self._breaker.check_available(deadline)
        key, refusal = JOB_PREFIX + id, REFUSED_PREFIX + id
        lease = self._refusal_lease(deadline)
        expected, waited_s = {key: 0, refusal: 0}, retry_after_s
        for _ in range(2):
            put = keyvalue.Put(refusal, _encode_waited(waited_s), lease)
            try:
                found = self._try_create(expected, put, deadline)
            except keyvalue.LeaseLost:
                self._lease_until = 0.0
                raise
            if found is None or key in found:
                return found is None
            item = found.get(refusal)
            if item is not None:
                expected[refusal] = item.revision
                waited_s = retry_after_s + _decode_waited(item.value)
        raise errors.Error(
            errors.Kind.CONFLICT, f"another attempt of {id} is being refused"
        )

    def _refusal_lease(self, deadline: float) -> int:
        """Return a lease that ends refusals some time after they were written."""
        now = clock.now()
        if now >= self._lease_until:
            self._lease = self._store.grant(_REFUSAL_TTL_S, deadline).id
            self._lease_until = now + _REFUSAL_LEASE_USE_S
        return self._lease

    def _create(
        self,
        key: str,
        value: bytes,
        deadline: float,
        refusal: str = "",
        encode_again: abc.Callable[[bytes], bytes] = bytes,
    ) -> bool:
        """Create a key unless it exists, with retries after a lost response.

        A retry is safe: an attempt that takes effect late finds the key in place and
        changes nothing. A ``refusal`` that is there at the first write was meant for
        an earlier attempt of the caller; one that comes later was meant for this one.
        """
        self._breaker.check_available(deadline)
        uncertain: errors.Error | None = None
        expected = {key: 0} | ({refusal: 0} if refusal else {})
        is_first = True
        while True:
            until = min(deadline, clock.now() + _WRITE_ATTEMPT_TIMEOUT_S)
            try:
                found = self._try_create(expected, keyvalue.Put(key, value), until)
                if found is None:
                    return True
                if key in found or not refusal:
                    return False
                if not is_first:
                    raise errors.Refused(
                        errors.Kind.OVERLOADED,
                        "another attempt of this submission was refused; retry later",
                    )
                item = found.get(refusal)
                expected[refusal] = 0 if item is None else item.revision
                value = value if item is None else encode_again(item.value)
                is_first = False
                continue
            except errors.Refused:
                raise
            except errors.Error as exc:
                is_first = False
                if uncertain is None:
                    decisions.record("create.failed", key=key, why=str(exc))
                if exc.kind is errors.Kind.STORE_UNCERTAIN:
                    uncertain = exc
                elif uncertain is None:
                    raise
            time.sleep(_RETRY_INTERVAL_S)
            if clock.now() >= deadline:
                raise uncertain

    def _try_create(
        self, expected: dict[str, int], put: keyvalue.Put, deadline: float
    ) -> dict[str, keyvalue.Item] | None:
        """Write a key; return None if it was written, else the keys that were there."""
        with self._breaker.track_call():
            try:
                self._store.commit(expected, [put], deadline)
            except keyvalue.PreconditionFailed as exc:
                return exc.items
        return None

    def _read(self, key: str, deadline: float) -> keyvalue.Item | None:
        self._breaker.check_available(deadline)
        try:
            with self._breaker.track_call():
                return self._store.get(key, deadline).item
        except errors.Error as exc:
            # A read without an answer changes nothing.
            raise errors.Error(
                errors.Kind.STORE_DOWN, exc.detail, ran=errors.Ran.NO
            ) from exc

    def cancel(self, id: str, deadline: float) -> bool:
        """Store the cancellation of a job; return False if the job is unknown.

        An unknown job may still be stored later, by a submission without an answer.
        """
        is_known = self._read(JOB_PREFIX + id, deadline) is not None
        self._create(CANCEL_PREFIX + id, b"", deadline)
        return is_known

    def read_status(self, id: str, deadline: float) -> str:
        """Return the stored status of a job; empty if the job is unknown.

        Raises
        ------
        errors.Error
            INTERNAL if the status cannot be decoded, or the error of the store.
        """
        if self._read(JOB_PREFIX + id, deadline) is None:
            return ""
        item = self._read(committing.PROGRESS_PREFIX + id, deadline)
        if item is None:
            return state.Status.QUEUED
        try:
            return stored_progress.decode(item.value).status
        except decoding.UnreadableError as exc:
            raise errors.Error(
                errors.Kind.INTERNAL, f"the stored progress of {id} is unreadable"
            ) from exc


class InitialState(t.NamedTuple):
    """Stored state from which a new scheduler starts.

    ``interference`` is the encoded interference estimates, empty if there are none.
    """

    jobs: list[jobs.Job]
    cancelled: list[str]
    progress: list[keyvalue.Item]
    interference: bytes


@t.final
class IntakeWatcher:
    """Loads all jobs once, then watches submissions and cancellations.

    Parameters
    ----------
    store : keyvalue.Store
        Holds the jobs.
    on_loaded : callable
        Called once with the stored state.
    on_job, on_cancel : callable
        Called with each new job and each cancelled id; called again for known ones
        after the store has dropped its change history.
    on_read : callable
        Called with a time, on ``clock.now``, after all that was stored before it has
        been passed on.
    """

    def __init__(
        self,
        store: keyvalue.Store,
        on_loaded: abc.Callable[[InitialState], None],
        on_job: abc.Callable[[jobs.Job], None],
        on_cancel: abc.Callable[[str], None],
        on_read: abc.Callable[[float], None],
    ) -> None:
        self._store = store
        self._on_read = on_read
        self._on_loaded = on_loaded
        self._on_job = on_job
        self._on_cancel = on_cancel
        self._store_reads = decisions.Dependency("intake.store")
        self._stopping = threading.Event()
        self._is_loaded = False
        self._thread = supervision.SupervisedThread("intake", self._run, self._stopping)

    def start(self) -> None:
        """Start the thread that loads and watches the jobs."""
        self._thread.start()

    def stop(self) -> None:
        """Signal the thread to end, without waiting for it."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.is_set():
            sent_at = clock.now()
            try:
                listing = self._store.list(INTAKE_PREFIX, sent_at + _READ_TIMEOUT_S)
                if not self._is_loaded:
                    self._load(listing)
                    self._is_loaded = True
                else:
                    for item in listing.items:
                        self._dispatch(item.key, item.value)
                self._on_read(sent_at)
                revision = listing.revision
                del listing  # the watch takes long
                self._watch(revision)
            except errors.Error as exc:
                self._store_reads.failed(exc)
                self._stopping.wait(_RETRY_INTERVAL_S)

    def _load(self, listing: keyvalue.Listing) -> None:
        progress = self._store.list(
            committing.PROGRESS_PREFIX, clock.now() + _READ_TIMEOUT_S
        )
        estimates = self._store.get(
            committing.INTERFERENCE_KEY, clock.now() + _READ_TIMEOUT_S
        )
        found, cancelled = [], []
        for item in listing.items:
            if item.key.startswith(CANCEL_PREFIX):
                cancelled.append(item.key.removeprefix(CANCEL_PREFIX))
            elif (job := _decode(item.key, item.value)) is not None:
                found.append(job)
        value = b"" if estimates.item is None else estimates.item.value
        self._on_loaded(InitialState(found, cancelled, progress.items, value))

    def _watch(self, revision: int) -> None:
        wait_s = _WATCH_TIMEOUT_S
        while not self._stopping.is_set():
            sent_at = clock.now()
            try:
                batch = self._store.watch(INTAKE_PREFIX, revision, wait_s)
            except keyvalue.HistoryLost as exc:
                decisions.record("intake.history_lost", why=exc.detail)
                self._stopping.wait(_RETRY_INTERVAL_S)
                return
            except errors.Error as exc:
                self._store_reads.failed(exc)
                self._stopping.wait(_RETRY_INTERVAL_S)
                wait_s = 0.0  # starts wait until what was missed is read
                continue
            wait_s = _WATCH_TIMEOUT_S
            self._store_reads.worked()
            revision = max(revision, batch.revision)
            for change in batch.changes:
                if change.value is not None:
                    self._dispatch(change.key, change.value)
            self._on_read(sent_at)

    def _dispatch(self, key: str, value: bytes) -> None:
        if key.startswith(CANCEL_PREFIX):
            self._on_cancel(key.removeprefix(CANCEL_PREFIX))
        elif (job := _decode(key, value)) is not None:
            self._on_job(job)


def _encode_waited(waited_s: float) -> bytes:
    return msgspec.msgpack.encode(min(waited_s, _MAX_WAITED_S))


_waited_decoder = msgspec.msgpack.Decoder(float)


def _decode_waited(value: bytes) -> float:
    """Return how long the caller of a refused job was told to stay away."""
    try:
        waited_s = decoding.decode_msgpack(value, _waited_decoder)
    except decoding.UnreadableError:
        return 0.0
    return waited_s if 0 <= waited_s <= _MAX_WAITED_S else 0.0


def _without_negatives(job: jobs.Job) -> jobs.Job:
    """Return a job without the negative times that earlier releases accepted."""
    steps = tuple(
        step._replace(estimate_s=0.0) if step.estimate_s < 0 else step
        for step in job.steps
    )
    interval_s = 0.0 if job.interval_s < 0 else job.interval_s
    return job._replace(steps=steps, interval_s=interval_s)


def _decode(key: str, value: bytes) -> jobs.Job | None:
    """Return a stored job; None if no entry can have stored it."""
    try:
        job = _without_negatives(stored_progress.decode_job(value))
        jobs.check(job)
        if key != JOB_PREFIX + job.id:
            raise decoding.UnreadableError(f"it is the value of job {job.id[:40]!r}")
    except (decoding.UnreadableError, errors.Refused) as exc:
        decisions.record("intake.unreadable", key=key, why=str(exc))
        return None
    return job
