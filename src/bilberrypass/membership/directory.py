"""The members, shard owners and configuration that entries share in the store."""

import hashlib
import threading
import time
import typing as t

import logbook
import msgspec

from bilberrypass import errors
from bilberrypass.connection import store
from bilberrypass.membership import membership

_log = logbook.Logger("directory")

_STORE_TIMEOUT_S: t.Final = 3.5
_POLL_INTERVAL_S: t.Final = 1.0
_WATCH_RETRY_INTERVAL_S: t.Final = 0.5
_MEMBER_SETTLING_S: t.Final = 2.0
_WATCH_TIMEOUT_S: t.Final = 60.0

Member = membership.Member


class Owner(t.NamedTuple):
    """The owner of a shard; ``epoch`` rises with each change of owner.

    ``write`` is a random id that distinguishes this write from others.
    """

    kind: str
    shard: int
    entry: str
    peers: str
    epoch: int
    lease: int = store.NO_LEASE
    write: str = ""


def _ignore_config(value: bytes) -> None:
    """Do nothing; the default for ``Directory.on_config``."""


@t.final
class Directory:
    """This entry's lease, and a local view of the shared keys below ``fleet/``.

    The view is kept current by a poll and a watch. It never reverts to an older
    revision of the store. ``last_read_at`` is when the last complete read began, in
    monotonic seconds.

    Parameters
    ----------
    kv : store.Store
        The store.
    prefix : str
        Prefix of each key in the store.
    own_member : Member
        This entry.
    ttl_s : int
        Time to live of this entry's lease, in seconds.
    """

    def __init__(
        self, kv: store.Store, prefix: str, own_member: Member, ttl_s: int
    ) -> None:
        self.kv = kv
        self.own_member = own_member
        self.last_read_at = 0.0
        self.on_config: t.Callable[[bytes], None] = _ignore_config
        self._root = f"{prefix}fleet/"
        self._members_root = f"{self._root}entries/"
        self._membership = membership.Membership(
            kv, self._members_root, own_member, ttl_s
        )
        self._lock = threading.Lock()
        self._items: dict[str, store.Item] = {}
        self._revision = 0
        self._members: list[Member] = []
        self._member_since: dict[str, float] = {}
        self._config_revision = 0
        self._stopping = threading.Event()

    def start(self) -> None:
        """Start the threads that renew the lease, poll the store and watch it."""
        self._membership.start()
        for target in (self._run_poll, self._run_watch):
            threading.Thread(target=target, daemon=True).start()

    def withdraw(self) -> None:
        """Delete the member key, but keep the lease for the shards still owned."""
        self._membership.withdraw()

    def stop(self) -> None:
        """Revoke the lease, so that others need not wait for its expiry."""
        self._stopping.set()
        self._membership.stop()

    @property
    def lease(self) -> int:
        """This entry's lease, or NO_LEASE while the lease may have expired."""
        return self._membership.lease

    def owner_key(self, kind: str, shard: int) -> str:
        """Return the key that holds a shard's owner."""
        return f"{self._root}owners/{kind}/{shard:04d}"

    @property
    def config_key(self) -> str:
        """The key that holds the configuration."""
        return f"{self._root}config"

    def config(self) -> store.Item | None:
        """Return the configuration in the view, or None if there is none."""
        return self._items.get(self.config_key)

    def members(self) -> list[Member]:
        """Return the members: the entries whose keys are in the view."""
        return self._members

    def preferred_owner(self, kind: str, shard: int) -> str:
        """Return the id of the member that should own a shard.

        Rendezvous hashing moves few shards when members join and leave. A member
        that joined within the settling time is left out, unless all did.
        """
        now = time.monotonic()
        ids = [member.id for member in self.members()]
        settled = [
            id
            for id in ids
            if now >= self._member_since.get(id, now) + _MEMBER_SETTLING_S
        ]
        weight = lambda id: _hash_weight(id, kind, shard)
        return max(settled or ids, key=weight, default="")

    def owner(self, kind: str, shard: int) -> Owner | None:
        """Return a shard's owner in the view, or None if it has none."""
        item = self._items.get(self.owner_key(kind, shard))
        if item is None:
            return None
        owner = msgspec.json.decode(item.value, type=Owner)
        return owner._replace(epoch=item.revision)

    def owner_epoch(self, kind: str, shard: int) -> int:
        """Return the epoch of a shard's owner in the view, 0 if it has none."""
        item = self._items.get(self.owner_key(kind, shard))
        return item.revision if item else 0

    def _run_poll(self) -> None:
        while not self._stopping.is_set():
            try:
                self.refresh()
            except errors.Error as exc:
                _log.warning("directory: store not read: {}", exc.detail)
            except Exception:
                _log.exception("directory: shared keys not processed")
            self._stopping.wait(_POLL_INTERVAL_S)

    def refresh(self) -> int:
        """Read all shared keys, and return the store revision of the listing."""
        started_at = time.monotonic()
        listing = self.kv.list(self._root, started_at + _STORE_TIMEOUT_S)
        with self._lock:
            if listing.revision >= self._revision:
                self._items = {item.key: item for item in listing.items}
                self._revision = listing.revision
        self.last_read_at = max(self.last_read_at, started_at)
        self._process_changes()
        return listing.revision

    def _run_watch(self) -> None:
        while not self._stopping.is_set():
            try:
                self._watch(self.refresh())
            except errors.Error as exc:
                _log.warning("directory: watch interrupted: {}", exc.detail)
                self._stopping.wait(_WATCH_RETRY_INTERVAL_S)
            except Exception:
                _log.exception("directory: watch events not processed")
                self._stopping.wait(_WATCH_RETRY_INTERVAL_S)

    def _watch(self, after: int) -> None:
        for events in self.kv.watch(
            self._root, after, time.monotonic() + _WATCH_TIMEOUT_S
        ):
            with self._lock:
                for event in events:
                    self._apply(event)
            self._process_changes()
            if self._stopping.is_set():
                return

    def _apply(self, event: store.Event) -> None:
        """Apply an event, unless a newer listing already includes it."""
        if event.revision < self._revision:
            return
        self._revision = event.revision
        if event.value is None:
            self._items.pop(event.key, None)
        else:
            self._items[event.key] = store.Item(event.key, event.value, event.revision)

    def _process_changes(self) -> None:
        self._update_members()
        item = self.config()
        if item is not None and item.revision != self._config_revision:
            self._config_revision = item.revision
            self.on_config(item.value)

    def _update_members(self) -> None:
        now = time.monotonic()
        with self._lock:
            items = list(self._items.values())
        members = [
            msgspec.json.decode(item.value, type=Member)
            for item in items
            if item.key.startswith(self._members_root)
        ]
        since = self._member_since
        self._member_since = {m.id: since.get(m.id, now) for m in members}
        self._members = members
        if all(member.id != self.own_member.id for member in members):
            self._membership.on_key_missing()


def _hash_weight(id: str, kind: str, shard: int) -> bytes:
    return hashlib.sha256(f"{id} {kind} {shard}".encode()).digest()
