"""A store wrapper that counts and times the calls."""

import collections.abc as abc
import contextlib
import time
import typing as t

from bilberrypass import errors
from bilberrypass.connection import store
from bilberrypass.observing import metrics


def with_metrics(kv: store.Store) -> store.Store:
    """Return the store, wrapped to measure its calls if metrics are on."""
    return MeteredStore(kv) if metrics.is_on() else kv


@contextlib.contextmanager
def _measured(name: str) -> abc.Iterator[None]:
    began = time.monotonic()
    metrics.count(metrics.Name.STORE_CALLS, name)
    try:
        yield
    except errors.Error as exc:
        metrics.count(metrics.Name.STORE_ERRORS, exc.kind)
        raise
    finally:
        metrics.timing(metrics.Name.STORE_MS, began, name)


@t.final
class MeteredStore(store.Store):
    """Forwards each call to another store, and counts and times it.

    Parameters
    ----------
    kv : store.Store
        The store that the calls go to.
    """

    def __init__(self, kv: store.Store) -> None:
        self._kv = kv

    def get(self, key: str, deadline: float) -> store.Item | None:
        """Return the key's item, or None if the key is absent."""
        with _measured("get"):
            return self._kv.get(key, deadline)

    def list(self, prefix: str, deadline: float) -> store.Listing:
        """Return all items whose keys begin with the prefix, sorted by key."""
        with _measured("list"):
            return self._kv.list(prefix, deadline)

    def swap(
        self,
        key: str,
        value: bytes,
        expected: int,
        deadline: float,
        lease: int = store.NO_LEASE,
    ) -> store.Swap:
        """Write the key if its revision is the expected one."""
        with _measured("swap"):
            return self._kv.swap(key, value, expected, deadline, lease)

    def delete(self, key: str, expected: int, deadline: float) -> store.Swap:
        """Delete the key if its revision is the expected one."""
        with _measured("delete"):
            return self._kv.delete(key, expected, deadline)

    def grant(self, ttl_s: int, deadline: float) -> int:
        """Return the id of a new lease with a time to live of ``ttl_s`` seconds."""
        with _measured("grant"):
            return self._kv.grant(ttl_s, deadline)

    def renew(self, lease: int, deadline: float) -> bool:
        """Renew a lease; return False if it has expired."""
        with _measured("renew"):
            return self._kv.renew(lease, deadline)

    def revoke(self, lease: int, deadline: float) -> None:
        """Revoke a lease; the store deletes its keys."""
        with _measured("revoke"):
            self._kv.revoke(lease, deadline)

    def watch(
        self, prefix: str, after: int, deadline: float
    ) -> abc.Iterator[store.Events]:
        """Yield changes below the prefix; a whole watch counts as one call."""
        with _measured("watch"):
            yield from self._kv.watch(prefix, after, deadline)

    def close(self) -> None:
        """Close the connections, which ends any open watch."""
        self._kv.close()
