"""One value of the store, changed by its owner in grouped writes."""

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

_CALL_S: t.Final = 2.0
_RETRY_S: t.Final = 0.5

State = t.TypeVar("State")
Change = t.Callable[[State], t.Any]


class _Pending(t.NamedTuple):
    """A change that waits for the next write, and who waits for it."""

    change: t.Callable[[t.Any], t.Any]
    fut: "futures.Future[t.Any]"


class _Lost(Exception):
    """The value has another owner now."""


class Grouped(abc.ABC, t.Generic[State]):
    """A value that one entry at a time owns and writes.

    The first change is written at once; those that arrive until the next write is
    due go into it together. The
    former owner's late writes fail, since the new owner stamps the value first.

    Parameters
    ----------
    names : directory.Directory
        The shared keys, and the entry's lease.
    kind : str
        What the value holds; first part of its key.
    number : int
        Which of its kind.
    prefix : str
        First part of each key.
    """

    pass_interval_s: t.ClassVar[float] = 0.2
    """Time between two passes while nothing is submitted."""

    least_gap_s: t.ClassVar[float] = 0.2
    """Least time between two writes; the store counts each call."""

    def __init__(
        self, names: directory.Directory, kind: str, number: int, prefix: str
    ) -> None:
        self.number = number
        self.ownership = ownership.Ownership(names, kind, number)
        self.state = self.empty()
        self._names = names
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
    def empty(self) -> State:
        """Return the state of a value that was never written."""

    @abc.abstractmethod
    def copy(self, state: State) -> State:
        """Return a copy that can be changed while the first stays."""

    @abc.abstractmethod
    def encode(self, state: State, write: str) -> bytes:
        """Write the state as a value; ``write`` tells it from any other."""

    @abc.abstractmethod
    def decode(self, value: bytes) -> State:
        """Read the state from a value."""

    def step(self, state: State) -> None:
        """Change the state by what time has brought, before each write."""

    def written(self) -> None:
        """Act on ``self.state``, which the store holds now."""

    @property
    def is_owned(self) -> bool:
        """Tell whether this entry owns the value and has read it."""
        return self._revision != store.ABSENT and self.ownership.is_held

    def start(self) -> None:
        """Begin to compete for the value."""
        self._thread.start()

    def stop(self) -> None:
        """Stop after the write in progress, and hand the value over."""
        self._stopping.set()
        self._wake.set()
        self._thread.join(_CALL_S)
        self.ownership.release()

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                self._own_once()
            except _Lost:
                _log.warning("grouped: {} has another owner", self._key)
            except errors.Error as exc:
                _log.warning("grouped: {}: {}", self._key, exc.detail)
                self._stopping.wait(_RETRY_S)
            except Exception:
                _log.exception("grouped: {} failed", self._key)
                self._stopping.wait(_RETRY_S)
            self._fail_pending()

    def _own_once(self) -> None:
        """Acquire, load, then one grouped write after another."""
        self._revision = store.ABSENT
        if not self.ownership.acquire():
            self._stopping.wait(_RETRY_S)
            return
        self._load()
        while not self._stopping.is_set():
            self._pass()
            if self.ownership.is_due_to_move:
                self._revision = store.ABSENT
                self.ownership.release()
                return

    def _load(self) -> None:
        """Read the value and stamp it, so that no former owner can write it."""
        item = self._names.kv.get(self._key, time.monotonic() + _CALL_S)
        state = self.decode(item.value) if item else self.empty()
        self._write(state, item.revision if item else store.ABSENT)

    def _write(self, state: State, expected: int) -> None:
        if not self.ownership.is_held:
            raise _Lost
        value = self.encode(state, secrets.token_hex(8))
        now = time.monotonic()
        deadline = now + _CALL_S
        self._next_write = now + self.least_gap_s
        swap = store.settle_swap(self._names.kv, self._key, value, expected, deadline)
        if not swap.done:
            self.ownership.lose()
            raise _Lost
        self.state = state
        self._revision = swap.revision

    def _pass(self) -> None:
        """Take what waits, write once, then act."""
        self._wake.wait(self.pass_interval_s)
        self._stopping.wait(max(0.0, self._next_write - time.monotonic()))
        self._wake.clear()
        if not self.ownership.is_held:
            raise _Lost
        state = self.copy(self.state)
        done = self._take_pending(state)
        try:
            self.step(state)
            if state != self.state:
                self._write(state, self._revision)
        except BaseException as exc:
            for pending, _ in done:
                pending.fut.set_exception(_as_answer(exc))
            raise
        for pending, result in done:
            pending.fut.set_result(result)
        self.written()

    def _take_pending(self, state: State) -> list[tuple[_Pending, t.Any]]:
        done = []
        while True:
            try:
                pending = self._pending.get_nowait()
            except queue.Empty:
                return done
            try:
                done.append((pending, pending.change(state)))
            except errors.Error as exc:
                pending.fut.set_exception(exc)

    def _fail_pending(self) -> None:
        while True:
            try:
                pending = self._pending.get_nowait()
            except queue.Empty:
                return
            pending.fut.set_exception(_not_applied())

    def submit(
        self, change: t.Callable[[State], t.Any], *, hurry: bool = True
    ) -> "futures.Future[t.Any]":
        """Apply a change with the next grouped write."""
        fut: futures.Future[t.Any] = futures.Future()
        self._pending.put(_Pending(change, fut))
        if hurry:
            self._wake.set()
        return fut

    def change(self, change: t.Callable[[State], t.Any], deadline: float) -> t.Any:
        """Apply a change with the next grouped write and return its result.

        Raises
        ------
        errors.Error
            What the change raised, or STORE_DOWN or STORE_UNCERTAIN.
        """
        fut = self.submit(change)
        try:
            return fut.result(max(0.0, deadline - time.monotonic()))
        except futures.TimeoutError:
            raise errors.Error(
                errors.Kind.STORE_UNCERTAIN,
                "the write was not confirmed in time; ask again with the same id",
                ran=errors.Ran.UNKNOWN,
                retry_after_s=1.0,
            ) from None


def _as_answer(exc: BaseException) -> errors.Error:
    if isinstance(exc, errors.Error):
        return exc
    return errors.Error(
        errors.Kind.STALE,
        "the shard changed its owner meanwhile; ask again",
        ran=errors.Ran.UNKNOWN,
        retry_after_s=1.0,
    )


def _not_applied() -> errors.Error:
    return errors.Error(
        errors.Kind.STALE,
        "the shard changed its owner before the change was looked at; ask again",
        ran=errors.Ran.NO,
        retry_after_s=1.0,
    )
