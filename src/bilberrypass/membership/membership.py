"""The lease of an entry in the store, and its member key under that lease."""

import threading
import time
import typing as t

import logbook
import msgspec

from bilberrypass import errors
from bilberrypass.connection import store

_log = logbook.Logger("membership")

_STORE_TIMEOUT_S: t.Final = 3.5
_RETRY_INTERVAL_S: t.Final = 0.5
_MAX_CLOCK_DRIFT: t.Final = 0.02


class Member(t.NamedTuple):
    """An entry as stored for the others; ``peers`` is an IP address and port."""

    id: str
    peers: str
    lease: int = store.NO_LEASE


@t.final
class Membership:
    """Renews a lease, and keeps this entry's member key under it.

    Parameters
    ----------
    kv : store.Store
        The store.
    root : str
        Prefix of the members' keys.
    own_member : Member
        This entry.
    ttl_s : int
        Time to live of the lease, in seconds.
    """

    def __init__(
        self, kv: store.Store, root: str, own_member: Member, ttl_s: int
    ) -> None:
        self._kv = kv
        self._key = f"{root}{own_member.id}"
        self._own_member = own_member
        self._ttl_s = ttl_s
        self._lease = store.NO_LEASE
        self._lease_deadline = 0.0
        self._announced_revision = 0
        self._lock = threading.Lock()
        self._is_withdrawn = False
        self._stopping = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name="membership", daemon=True
        )

    def start(self) -> None:
        """Start the thread that acquires and renews the lease."""
        self._thread.start()

    @property
    def lease(self) -> int:
        """The lease, or NO_LEASE while the lease may have expired."""
        if time.monotonic() < self._lease_deadline:
            return self._lease
        return store.NO_LEASE

    def on_key_missing(self) -> None:
        """Record that the store lacks this entry's key, so that it is written again."""
        self._announced_revision = 0

    def withdraw(self) -> None:
        """Delete the member key, but keep the lease for the shards still owned."""
        with self._lock:
            self._is_withdrawn = True
            if not self._announced_revision:
                return
            try:
                deadline = time.monotonic() + _STORE_TIMEOUT_S
                self._kv.delete(self._key, self._announced_revision, deadline)
            except errors.Error as exc:
                _log.warning("membership: member key not deleted: {}", exc.detail)

    def stop(self) -> None:
        """Revoke the lease, so that others need not wait for its expiry."""
        self._stopping.set()
        if not self._lease:
            return
        try:
            self._kv.revoke(self._lease, time.monotonic() + _STORE_TIMEOUT_S)
        except errors.Error as exc:
            _log.warning("membership: lease not revoked: {}", exc.detail)

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                self._renew_lease()
                with self._lock:
                    self._announce()
                self._stopping.wait(self._ttl_s / 4)
            except errors.Error as exc:
                _log.warning("membership: lease not renewed: {}", exc.detail)
                self._stopping.wait(_RETRY_INTERVAL_S)

    def _renew_lease(self) -> None:
        sent_at = time.monotonic()
        deadline = sent_at + _STORE_TIMEOUT_S
        if not self._lease or not self._kv.renew(self._lease, deadline):
            self._lease_deadline = 0.0
            self._announced_revision = 0
            sent_at = time.monotonic()
            self._lease = self._kv.grant(self._ttl_s, deadline)
        self._lease_deadline = sent_at + self._ttl_s * (1 - _MAX_CLOCK_DRIFT)

    def _announce(self) -> None:
        """Write this entry's key, also over that of a process which it replaces."""
        if self._is_withdrawn or self._announced_revision:
            return
        deadline = time.monotonic() + _STORE_TIMEOUT_S
        current = self._kv.get(self._key, deadline)
        expected = current.revision if current else store.ABSENT
        value = msgspec.json.encode(self._own_member._replace(lease=self._lease))
        swap = store.swap_until_certain(
            self._kv, self._key, value, expected, deadline, self._lease
        )
        if swap.done:
            self._announced_revision = swap.revision
