"""A store in the memory of the process."""

import collections
import collections.abc as abc
import itertools
import threading
import time
import typing as t

from bilberrypass import errors
from bilberrypass.connection import store

_IDLE_INTERVAL_S: t.Final = 0.9
_MAX_HISTORY_EVENTS: t.Final = 4096
_MAX_HISTORY_BYTES: t.Final = 8 << 20


class _Entry(t.NamedTuple):
    item: store.Item
    lease: int


class _Lease(t.NamedTuple):
    ttl_s: int
    deadline: float


class _Batch(t.NamedTuple):
    """The next events of a watch, complete for its prefix up to ``revision``."""

    events: list[store.Event]
    revision: int


@t.final
class MemoryStore(store.Store):
    """A thread-safe store whose content is lost when the process ends.

    Parameters
    ----------
    history_events : int, optional
        Number of changes that a watch can be behind.
    """

    def __init__(self, history_events: int = _MAX_HISTORY_EVENTS) -> None:
        self._changed = threading.Condition()
        self._entries: dict[str, _Entry] = {}
        self._leases: dict[int, _Lease] = {}
        self._lease_ids = itertools.count(1)
        self._revision = 1
        self._history: collections.deque[store.Event] = collections.deque()
        self._history_limit = history_events
        self._history_bytes = 0
        self._dropped_revision = 0
        self._closed = False

    def get(self, key: str, deadline: float) -> store.Item | None:
        """Return the key's item, or None if the key is absent."""
        with self._changed:
            self._begin_call(deadline)
            entry = self._entries.get(key)
            return None if entry is None else entry.item

    def list(self, prefix: str, deadline: float) -> store.Listing:
        """Return all items whose keys begin with the prefix, sorted by key."""
        with self._changed:
            self._begin_call(deadline)
            keys = sorted(key for key in self._entries if key.startswith(prefix))
            items = [self._entries[key].item for key in keys]
            return store.Listing(items, self._revision)

    def swap(
        self,
        key: str,
        value: bytes,
        expected: int,
        deadline: float,
        lease: int = store.NO_LEASE,
    ) -> store.Swap:
        """Write the key if its revision is the expected one."""
        with self._changed:
            self._begin_call(deadline)
            if lease != store.NO_LEASE and lease not in self._leases:
                raise errors.Error(
                    errors.Kind.STORE_DOWN,
                    f"lease {lease} for key {key} has expired; grant a new one",
                )
            if not self._has_revision(key, expected):
                return self._conflict(key)
            self._revision += 1
            item = store.Item(key, value, self._revision)
            self._entries[key] = _Entry(item, lease)
            self._record(store.Event(key, value, self._revision))
            return store.Swap(done=True, revision=self._revision, current=None)

    def delete(self, key: str, expected: int, deadline: float) -> store.Swap:
        """Delete the key if its revision is the expected one."""
        with self._changed:
            self._begin_call(deadline)
            if not self._has_revision(key, expected):
                return self._conflict(key)
            self._remove([key] if key in self._entries else [])
            return store.Swap(done=True, revision=self._revision, current=None)

    def grant(self, ttl_s: int, deadline: float) -> int:
        """Return the id of a new lease that lasts ``ttl_s`` seconds without renewal."""
        with self._changed:
            self._begin_call(deadline)
            lease = next(self._lease_ids)
            self._leases[lease] = _Lease(ttl_s, time.monotonic() + ttl_s)
            # A waiting watch must take the new lease's expiry into account.
            self._changed.notify_all()
            return lease

    def renew(self, lease: int, deadline: float) -> bool:
        """Renew a lease and return True, or return False if it has expired."""
        with self._changed:
            self._begin_call(deadline)
            if lease not in self._leases:
                return False
            ttl_s = self._leases[lease].ttl_s
            self._leases[lease] = _Lease(ttl_s, time.monotonic() + ttl_s)
            return True

    def revoke(self, lease: int, deadline: float) -> None:
        """End a lease and delete its keys; does nothing if it has ended already."""
        with self._changed:
            self._begin_call(deadline)
            self._end_lease(lease)

    def watch(
        self, prefix: str, after: int, deadline: float
    ) -> abc.Iterator[store.Events]:
        """Yield changes of keys with the prefix after a store revision."""
        while True:
            batch = self._next_batch(prefix, after, deadline)
            if batch is None:
                return
            after = batch.revision
            yield batch.events

    def close(self) -> None:
        """End the watches; later calls raise STORE_DOWN."""
        with self._changed:
            self._closed = True
            self._changed.notify_all()

    def revision(self) -> int:
        """Return the revision of the newest change."""
        with self._changed:
            return self._revision

    def _begin_call(self, deadline: float) -> None:
        now = time.monotonic()
        if self._closed:
            raise errors.Error(errors.Kind.STORE_DOWN, "the store is closed")
        if now >= deadline:
            raise errors.Error(
                errors.Kind.STORE_DOWN,
                "the deadline passed before the store was called",
            )
        self._expire_leases(now)

    def _has_revision(self, key: str, expected: int) -> bool:
        entry = self._entries.get(key)
        revision = store.ABSENT if entry is None else entry.item.revision
        return revision == expected

    def _conflict(self, key: str) -> store.Swap:
        entry = self._entries.get(key)
        current = None if entry is None else entry.item
        return store.Swap(done=False, revision=self._revision, current=current)

    def _remove(self, keys: abc.Sequence[str]) -> None:
        if not keys:
            return
        self._revision += 1
        for key in keys:
            del self._entries[key]
            self._record(store.Event(key, None, self._revision))

    def _record(self, event: store.Event) -> None:
        self._history.append(event)
        self._history_bytes += len(event.value or b"")
        while (
            len(self._history) > self._history_limit
            or self._history_bytes > _MAX_HISTORY_BYTES
        ):
            dropped = self._history.popleft()
            self._history_bytes -= len(dropped.value or b"")
            self._dropped_revision = dropped.revision
        self._changed.notify_all()

    def _expire_leases(self, now: float) -> None:
        expired = [id_ for id_, lease in self._leases.items() if lease.deadline <= now]
        for lease in expired:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        if self._leases.pop(lease, None) is None:
            return
        entries = sorted(self._entries.items())
        self._remove([key for key, entry in entries if entry.lease == lease])

    def _next_batch(self, prefix: str, after: int, deadline: float) -> _Batch | None:
        """Wait for events and return them, or return None once the watch has ended."""
        idle_deadline = min(deadline, time.monotonic() + _IDLE_INTERVAL_S)
        with self._changed:
            while not self._closed and time.monotonic() < deadline:
                self._expire_leases(time.monotonic())
                events = self._events_after(prefix, after)
                after = max(after, self._revision)
                if events or time.monotonic() >= idle_deadline:
                    return _Batch(events, after)
                self._wait_for_change(idle_deadline)
        return None

    def _events_after(self, prefix: str, after: int) -> store.Events:
        if after < self._dropped_revision:
            raise errors.Error(
                errors.Kind.STORE_DOWN,
                f"revision {after} is too old to watch from; list {prefix} afresh",
            )
        newer = itertools.takewhile(
            lambda event: event.revision > after, reversed(self._history)
        )
        events = [event for event in newer if event.key.startswith(prefix)]
        events.reverse()
        return events

    def _wait_for_change(self, deadline: float) -> None:
        expiries = (lease.deadline for lease in self._leases.values())
        wake_at = min(deadline, *expiries) if self._leases else deadline
        self._changed.wait(max(0.0, wake_at - time.monotonic()))
