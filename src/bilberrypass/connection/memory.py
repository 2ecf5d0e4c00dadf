"""A store inside the process."""

import collections
import collections.abc as abc
import itertools
import threading
import time
import typing as t

from bilberrypass import errors
from bilberrypass.connection import store

_IDLE_S: t.Final = 0.9
_HISTORY_EVENTS: t.Final = 4096
_HISTORY_BYTES: t.Final = 8 << 20


class _Entry(t.NamedTuple):
    item: store.Item
    lease: int


class _Lease(t.NamedTuple):
    ttl_s: int
    deadline: float


class _Batch(t.NamedTuple):
    """A watch's next events, which are all below its prefix up to a revision."""

    events: list[store.Event]
    revision: int


@t.final
class MemoryStore(store.Store):
    """A thread-safe store that lasts as long as its process.

    Parameters
    ----------
    history_events : int, optional
        How many changes a watch can be behind.
    """

    def __init__(self, history_events: int = _HISTORY_EVENTS) -> None:
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
        """Return the key's item, or None."""
        with self._changed:
            self._begin(deadline)
            entry = self._entries.get(key)
            return None if entry is None else entry.item

    def list(self, prefix: str, deadline: float) -> store.Listing:
        """Return all items below the prefix, sorted by key."""
        with self._changed:
            self._begin(deadline)
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
            self._begin(deadline)
            if lease != store.NO_LEASE and lease not in self._leases:
                raise errors.Error(
                    errors.Kind.STORE_DOWN,
                    f"lease {lease} for key {key} has lapsed; take a new one",
                )
            if not self._stands_at(key, expected):
                return self._refuse(key)
            self._revision += 1
            item = store.Item(key, value, self._revision)
            self._entries[key] = _Entry(item, lease)
            self._record(store.Event(key, value, self._revision))
            return store.Swap(done=True, revision=self._revision, current=None)

    def delete(self, key: str, expected: int, deadline: float) -> store.Swap:
        """Delete the key if its revision is the expected one."""
        with self._changed:
            self._begin(deadline)
            if not self._stands_at(key, expected):
                return self._refuse(key)
            self._remove([key] if key in self._entries else [])
            return store.Swap(done=True, revision=self._revision, current=None)

    def grant(self, ttl_s: int, deadline: float) -> int:
        """Return a new lease."""
        with self._changed:
            self._begin(deadline)
            lease = next(self._lease_ids)
            self._leases[lease] = _Lease(ttl_s, time.monotonic() + ttl_s)
            # A waiting watch has to look at the new lease's deadline too.
            self._changed.notify_all()
            return lease

    def renew(self, lease: int, deadline: float) -> bool:
        """Renew a lease; False if it has lapsed."""
        with self._changed:
            self._begin(deadline)
            if lease not in self._leases:
                return False
            ttl_s = self._leases[lease].ttl_s
            self._leases[lease] = _Lease(ttl_s, time.monotonic() + ttl_s)
            return True

    def revoke(self, lease: int, deadline: float) -> None:
        """End a lease; its keys go away."""
        with self._changed:
            self._begin(deadline)
            self._end_lease(lease)

    def watch(
        self, prefix: str, after: int, deadline: float
    ) -> abc.Iterator[store.Events]:
        """Yield changes below the prefix after a store revision."""
        while True:
            batch = self._next_batch(prefix, after, deadline)
            if batch is None:
                return
            after = batch.revision
            yield batch.events

    def close(self) -> None:
        """Refuse all further calls; a waiting watch ends."""
        with self._changed:
            self._closed = True
            self._changed.notify_all()

    def revision(self) -> int:
        """Return the revision of the newest change."""
        with self._changed:
            return self._revision

    def _begin(self, deadline: float) -> None:
        now = time.monotonic()
        if self._closed:
            raise errors.Error(errors.Kind.STORE_DOWN, "the store is closed")
        if now >= deadline:
            raise errors.Error(
                errors.Kind.STORE_DOWN, "the deadline passed before the store's call"
            )
        self._lapse(now)

    def _stands_at(self, key: str, expected: int) -> bool:
        entry = self._entries.get(key)
        revision = store.ABSENT if entry is None else entry.item.revision
        return revision == expected

    def _refuse(self, key: str) -> store.Swap:
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
            or self._history_bytes > _HISTORY_BYTES
        ):
            dropped = self._history.popleft()
            self._history_bytes -= len(dropped.value or b"")
            self._dropped_revision = dropped.revision
        self._changed.notify_all()

    def _lapse(self, now: float) -> None:
        lapsed = [id_ for id_, lease in self._leases.items() if lease.deadline <= now]
        for lease in lapsed:
            self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        if self._leases.pop(lease, None) is None:
            return
        entries = sorted(self._entries.items())
        self._remove([key for key, entry in entries if entry.lease == lease])

    def _next_batch(self, prefix: str, after: int, deadline: float) -> _Batch | None:
        """Wait for events; None once the watch is over."""
        idle_deadline = min(deadline, time.monotonic() + _IDLE_S)
        with self._changed:
            while not self._closed and time.monotonic() < deadline:
                self._lapse(time.monotonic())
                events = self._events_after(prefix, after)
                after = max(after, self._revision)
                if events or time.monotonic() >= idle_deadline:
                    return _Batch(events, after)
                self._wait(idle_deadline)
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

    def _wait(self, deadline: float) -> None:
        lapses = (lease.deadline for lease in self._leases.values())
        wake_at = min(deadline, *lapses) if self._leases else deadline
        self._changed.wait(max(0.0, wake_at - time.monotonic()))
