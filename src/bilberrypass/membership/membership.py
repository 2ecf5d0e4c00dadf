"""An entry's lease in the store, and its membership under that lease."""

import threading
import time
import typing as t

import logbook
import msgspec

from bilberrypass import errors
from bilberrypass.connection import store

_log = logbook.Logger("membership")

_CALL_S: t.Final = 3.5
_RETRY_S: t.Final = 0.5
_MAX_DRIFT: t.Final = 0.02


class Member(t.NamedTuple):
    """An entry as the others see it; the addresses are IP numbers and ports."""

    id: str
    peers: str
    lease: int = store.NO_LEASE


@t.final
class Membership:
    """Keeps a lease, and this entry's key under it.

    Parameters
    ----------
    kv : store.Store
        The platform's store.
    root : str
        First part of the members' keys.
    me : Member
        This entry.
    ttl_s : int
        Life of the lease, in seconds.
    """

    def __init__(self, kv: store.Store, root: str, me: Member, ttl_s: int) -> None:
        self._kv = kv
        self._key = f"{root}{me.id}"
        self._me = me
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
        """Begin to hold the lease."""
        self._thread.start()

    @property
    def lease(self) -> int:
        """The lease, or NO_LEASE while there is none for certain."""
        if time.monotonic() < self._lease_deadline:
            return self._lease
        return store.NO_LEASE

    def note_absent(self) -> None:
        """Note that the store does not hold this entry's key."""
        self._announced_revision = 0

    def withdraw(self) -> None:
        """Be a member no longer, but keep the lease for what is still owned."""
        with self._lock:
            self._is_withdrawn = True
            if not self._announced_revision:
                return
            try:
                deadline = time.monotonic() + _CALL_S
                self._kv.delete(self._key, self._announced_revision, deadline)
            except errors.Error as exc:
                _log.warning("membership: not ended yet: {}", exc.detail)

    def stop(self) -> None:
        """Give the lease back, so that others need not wait for it to lapse."""
        self._stopping.set()
        if not self._lease:
            return
        try:
            self._kv.revoke(self._lease, time.monotonic() + _CALL_S)
        except errors.Error as exc:
            _log.warning("membership: lease not given back: {}", exc.detail)

    def _run(self) -> None:
        while not self._stopping.is_set():
            try:
                self._hold_lease()
                with self._lock:
                    self._announce()
                self._stopping.wait(self._ttl_s / 4)
            except errors.Error as exc:
                _log.warning("membership: lease not renewed: {}", exc.detail)
                self._stopping.wait(_RETRY_S)

    def _hold_lease(self) -> None:
        began = time.monotonic()
        deadline = began + _CALL_S
        if not self._lease or not self._kv.renew(self._lease, deadline):
            self._lease_deadline = 0.0
            self._announced_revision = 0
            began = time.monotonic()
            self._lease = self._kv.grant(self._ttl_s, deadline)
        self._lease_deadline = began + self._ttl_s * (1 - _MAX_DRIFT)

    def _announce(self) -> None:
        """Write this entry's key, also over that of one replaced by this one."""
        if self._is_withdrawn or self._announced_revision:
            return
        deadline = time.monotonic() + _CALL_S
        current = self._kv.get(self._key, deadline)
        expected = current.revision if current else store.ABSENT
        value = msgspec.json.encode(self._me._replace(lease=self._lease))
        swap = store.settle_swap(
            self._kv, self._key, value, expected, deadline, self._lease
        )
        if swap.done:
            self._announced_revision = swap.revision
