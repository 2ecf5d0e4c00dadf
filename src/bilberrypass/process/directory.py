"""What all entries share through the store: each other, owners, configuration."""

import functools
import threading
import time
import typing as t

import logbook
import msgspec

from bilberrypass import errors
from bilberrypass.connection import store

_log = logbook.Logger("directory")

_CALL_S: t.Final = 2.0
_POLL_INTERVAL_S: t.Final = 1.0
_RETRY_S: t.Final = 0.5
_KNOWN_MEMBERS: t.Final = 256


class Member(t.NamedTuple):
    """An entry as the others see it; the addresses are IP numbers and ports."""

    id: str
    peers: str


@functools.lru_cache(_KNOWN_MEMBERS)
def _decode_member(value: bytes) -> Member:
    """Read a member; each report asks for all of them."""
    return msgspec.json.decode(value, type=Member)


class Owner(t.NamedTuple):
    """The owner of a shard; ``epoch`` rises with each change of owner."""

    kind: str
    shard: int
    entry: str
    peers: str
    epoch: int


@t.final
class Directory:
    """Keeps this entry's lease, and a view of the shared keys below ``fleet/``.

    Parameters
    ----------
    kv : store.Store
        The platform's store.
    prefix : str
        First part of each key.
    me : Member
        This entry.
    ttl_s : int
        Life of this entry's lease, in seconds.
    """

    def __init__(self, kv: store.Store, prefix: str, me: Member, ttl_s: int) -> None:
        self.kv = kv
        self.me = me
        self._root = f"{prefix}fleet/"
        self._ttl_s = ttl_s
        self._lock = threading.Lock()
        self._items: dict[str, store.Item] = {}
        self._lease = store.NO_LEASE
        self._lease_deadline = 0.0
        self._stopping = threading.Event()
        self._threads: list[threading.Thread] = []
        self.seen_at = 0.0

    def start(self) -> None:
        """Begin to renew, to poll and to watch."""
        for target in (self._run_lease, self._run_poll, self._run_watch):
            thread = threading.Thread(target=target, daemon=True)
            thread.start()
            self._threads.append(thread)

    def stop(self) -> None:
        """Give the lease back, so that others need not wait for it to lapse."""
        self._stopping.set()
        if self._lease:
            try:
                self.kv.revoke(self._lease, time.monotonic() + _CALL_S)
            except errors.Error as exc:
                _log.warning("directory: lease not given back: {}", exc.detail)

    @property
    def lease(self) -> int:
        """This entry's lease, or NO_LEASE while it has none for certain."""
        if time.monotonic() < self._lease_deadline:
            return self._lease
        return store.NO_LEASE

    def owner_key(self, kind: str, shard: int) -> str:
        """Return the key that names a shard's owner."""
        return f"{self._root}owners/{kind}/{shard:04d}"

    @property
    def config_key(self) -> str:
        """The key that holds the configuration."""
        return f"{self._root}config"

    def config(self) -> store.Item | None:
        """Return the newest configuration seen."""
        return self._items.get(self.config_key)

    def members(self) -> list[Member]:
        """Return the entries that hold a lease."""
        root = f"{self._root}entries/"
        with self._lock:
            values = [i.value for k, i in self._items.items() if k.startswith(root)]
        return [_decode_member(value) for value in values]

    def owner(self, kind: str, shard: int) -> Owner | None:
        """Return a shard's owner as last seen."""
        item = self._items.get(self.owner_key(kind, shard))
        if item is None:
            return None
        owner = msgspec.json.decode(item.value, type=Owner)
        return owner._replace(epoch=item.revision)

    def _run_lease(self) -> None:
        while not self._stopping.is_set():
            try:
                self._hold_lease()
                self._stopping.wait(self._ttl_s / 4)
            except errors.Error as exc:
                _log.warning("directory: lease not renewed: {}", exc.detail)
                self._stopping.wait(_RETRY_S)

    def _hold_lease(self) -> None:
        began = time.monotonic()
        deadline = began + _CALL_S
        if self._lease and self.kv.renew(self._lease, deadline):
            self._lease_deadline = began + self._ttl_s
            return
        self._lease_deadline = 0.0
        self._lease = self.kv.grant(self._ttl_s, deadline)
        key = f"{self._root}entries/{self.me.id}"
        current = self.kv.get(key, deadline)
        expected = current.revision if current else store.ABSENT
        value = msgspec.json.encode(self.me)
        self.kv.swap(key, value, expected, deadline, self._lease)
        self._lease_deadline = began + self._ttl_s

    def _run_poll(self) -> None:
        while not self._stopping.is_set():
            try:
                self.refresh()
            except errors.Error as exc:
                _log.warning("directory: store not read: {}", exc.detail)
            self._stopping.wait(_POLL_INTERVAL_S)

    def refresh(self) -> int:
        """Read all shared keys; return the store's revision."""
        listing = self.kv.list(self._root, time.monotonic() + _CALL_S)
        with self._lock:
            newest = max((i.revision for i in self._items.values()), default=0)
            if listing.revision >= newest:
                self._items = {item.key: item for item in listing.items}
        self.seen_at = time.monotonic()
        return listing.revision

    def _run_watch(self) -> None:
        while not self._stopping.is_set():
            try:
                self._watch(self.refresh())
            except errors.Error as exc:
                _log.warning("directory: watch ended: {}", exc.detail)
                self._stopping.wait(_RETRY_S)

    def _watch(self, after: int) -> None:
        for events in self.kv.watch(self._root, after, time.monotonic() + 60.0):
            with self._lock:
                for event in events:
                    self._apply(event)
            if self._stopping.is_set():
                return

    def _apply(self, event: store.Event) -> None:
        known = self._items.get(event.key)
        if known is not None and known.revision >= event.revision:
            return
        if event.value is None:
            self._items.pop(event.key, None)
        else:
            self._items[event.key] = store.Item(event.key, event.value, event.revision)
