"""The value of a shard in the store, changed by its owner in batched writes."""

import abc
import concurrent.futures as futures
import queue
import secrets
import threading
import time
import typing as t

import logbook

from bilberrypass import errors
from bilberrypass.connection import store
from bilberrypass.membership import directory, ownership

_log = logbook.Logger("grouped")

_STORE_TIMEOUT_S: t.Final = 2.0
_RETRY_INTERVAL_S: t.Final = 0.5

State = t.TypeVar("State")
Change = t.Callable[[State], t.Any]


class _Pending(t.NamedTuple):
    """A change waiting for the next write, and the future of its result."""

    change: t.Callable[[t.Any], t.Any]
    fut: "futures.Future[t.Any]"


class _OwnershipLost(Exception):
    """This entry no longer owns the value."""


class OwnedShard(abc.ABC, t.Generic[State]):
    """The value of a shard, which one entry at a time owns and writes.

    A change is written at once if the last write is long enough ago; changes that
    arrive until the next write is due are batched into it. A former owner's late
    writes fail, because a new owner rewrites the value first, which changes its
    revision.

    Parameters
    ----------
    entry_directory : directory.Directory
        The shared keys, and the entry's lease.
    kind : str
        What the value holds, such as ``jobs``; part of its key.
    number : int
        Number of the shard.
    prefix : str
        Prefix of each key in the store.
    """

    idle_step_interval_s: t.ClassVar[float] = 0.2
    """Seconds between calls of ``update_before_write`` while no change is submitted."""

    min_write_interval_s: t.ClassVar[float] = 0.2
    """Minimum seconds between two writes; the store counts each call."""

    def __init__(
        self, entry_directory: directory.Directory, kind: str, number: int, prefix: str
    ) -> None:
        self.number = number
        self.ownership = ownership.Ownership(entry_directory, kind, number)
        self.state = self.initial_state()
        self._directory = entry_directory
        self._key = f"{prefix}{kind}/{number:04d}"
        self._revision = store.ABSENT
        self._next_write = 0.0
        self._pending: queue.SimpleQueue[_Pending] = queue.SimpleQueue()
        self._stopping = threading.Event()
        self._wake = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name=f"{kind}-{number}", daemon=True
        )

    @abc.abstractmethod
    def initial_state(self) -> State:
        """Return the state of a value that was never written."""

    @abc.abstractmethod
    def copy(self, state: State) -> State:
        """Return a copy whose changes do not affect the original."""

    @abc.abstractmethod
    def encode(self, state: State, write: str) -> bytes:
        """Encode the state; ``write`` is an id that makes the value unique."""

    @abc.abstractmethod
    def decode(self, value: bytes) -> State:
        """Decode the state from a value."""

    def update_before_write(self, state: State) -> None:
        """Apply changes due to the passage of time; called before writes or if idle."""

    def on_written(self) -> None:
        """Act on ``self.state``, which the store holds at this point."""

    @property
    def is_owned(self) -> bool:
        """Whether this entry owns the value and has loaded it."""
        return self._revision != store.ABSENT and self.ownership.is_held

    def start(self) -> None:
        """Start the thread that acquires the value and writes it."""
        self._thread.start()

    def stop(self) -> None:
        """Stop after the write in progress, and release the ownership."""
        self._stopping.set()
        self._wake.set()
        self._thread.join(_STORE_TIMEOUT_S)
        self.ownership.release()

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                self._acquire_and_write()
            except _OwnershipLost:
                _log.warning("grouped: ownership of {} lost", self._key)
            except errors.Error as exc:
                _log.warning(
                    "grouped: {} not acquired or written: {}", self._key, exc.detail
                )
                self._stopping.wait(_RETRY_INTERVAL_S)
            except Exception:
                _log.exception(
                    "grouped: {} failed with an unexpected exception", self._key
                )
                self._stopping.wait(_RETRY_INTERVAL_S)
            self._fail_pending()

    def _acquire_and_write(self) -> None:
        """Acquire and load the value, then write batches until it is due to move."""
        self._revision = store.ABSENT
        if not self.ownership.acquire():
            self._stopping.wait(_RETRY_INTERVAL_S)
            return
        self._load()
        while not self._stopping.is_set():
            self._write_pending()
            if self.ownership.is_due_to_move:
                self._revision = store.ABSENT
                self.ownership.release()
                return

    def _load(self) -> None:
        """Read the value and rewrite it, so that no former owner can write it."""
        item = self._directory.kv.get(self._key, time.monotonic() + _STORE_TIMEOUT_S)
        state = self.decode(item.value) if item else self.initial_state()
        self._write(state, item.revision if item else store.ABSENT)

    def _write(self, state: State, expected: int) -> None:
        if not self.ownership.is_held:
            raise _OwnershipLost
        value = self.encode(state, secrets.token_hex(8))
        now = time.monotonic()
        deadline = now + _STORE_TIMEOUT_S
        self._next_write = now + self.min_write_interval_s
        swap = store.swap_until_certain(
            self._directory.kv, self._key, value, expected, deadline
        )
        if not swap.done:
            self.ownership.mark_lost()
            raise _OwnershipLost
        self.state = state
        self._revision = swap.revision

    def _write_pending(self) -> None:
        """Apply the pending changes, write once, then call ``on_written``."""
        self._wake.wait(self.idle_step_interval_s)
        self._stopping.wait(max(0.0, self._next_write - time.monotonic()))
        self._wake.clear()
        if not self.ownership.is_held:
            raise _OwnershipLost
        state = self.copy(self.state)
        applied: list[tuple[_Pending, t.Any]] = []
        try:
            self._apply_pending(state, applied)
            self.update_before_write(state)
            if state != self.state:
                self._write(state, self._revision)
        except BaseException as exc:
            for pending, _ in applied:
                pending.fut.set_exception(_as_error(exc))
            raise
        for pending, result in applied:
            pending.fut.set_result(result)
        self.on_written()

    def _apply_pending(
        self, state: State, applied: list[tuple[_Pending, t.Any]]
    ) -> None:
        """Apply the pending changes, and add each with its result to ``applied``."""
        while True:
            try:
                pending = self._pending.get_nowait()
            except queue.Empty:
                return
            try:
                applied.append((pending, pending.change(state)))
            except errors.Error as exc:
                pending.fut.set_exception(exc)
            except Exception:
                applied.append((pending, None))
                raise

    def _fail_pending(self) -> None:
        while True:
            try:
                pending = self._pending.get_nowait()
            except queue.Empty:
                return
            pending.fut.set_exception(_not_applied_error())

    def submit(
        self, change: t.Callable[[State], t.Any], *, wake: bool = True
    ) -> "futures.Future[t.Any]":
        """Queue a change for the next batched write, and return its future.

        The write is made as soon as it is due if ``wake``; otherwise the change may
        wait for the next ``update_before_write``, up to ``idle_step_interval_s``.
        """
        fut: futures.Future[t.Any] = futures.Future()
        self._pending.put(_Pending(change, fut))
        if wake:
            self._wake.set()
        return fut

    def change(self, change: t.Callable[[State], t.Any], deadline: float) -> t.Any:
        """Apply a change with the next batched write, and return its result.

        Raises
        ------
        errors.Error
            What the change raised, STORE_DOWN or STORE_UNCERTAIN, or STALE if the
            ownership was lost.
        """
        fut = self.submit(change)
        try:
            return fut.result(max(0.0, deadline - time.monotonic()))
        except futures.TimeoutError:
            raise errors.Error(
                errors.Kind.STORE_UNCERTAIN,
                "the write was not confirmed by the deadline; retry with the same id",
                ran=errors.Ran.UNKNOWN,
                retry_after_s=1.0,
            ) from None


def _as_error(exc: BaseException) -> errors.Error:
    if isinstance(exc, errors.Error):
        return exc
    return errors.Error(
        errors.Kind.STALE,
        "the shard changed its owner during the write; retry",
        ran=errors.Ran.UNKNOWN,
        retry_after_s=1.0,
    )


def _not_applied_error() -> errors.Error:
    return errors.Error(
        errors.Kind.STALE,
        "the shard changed its owner before the change was applied; retry",
        ran=errors.Ran.NO,
        retry_after_s=1.0,
    )
