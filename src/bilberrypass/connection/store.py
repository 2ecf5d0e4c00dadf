"""Interface to the platform's key-value service."""

import abc
import collections.abc as cabc
import random
import time
import typing as t

from bilberrypass import errors


class Item(t.NamedTuple):
    """A key, its value, and the store revision that changed it last."""

    key: str
    value: bytes
    revision: int


class Listing(t.NamedTuple):
    """All items whose keys begin with a prefix, at one store revision."""

    items: list[Item]
    revision: int


class Swap(t.NamedTuple):
    """The outcome of a compare-and-swap.

    ``revision`` is that of the write if ``done``; otherwise ``current`` is the item
    found instead of the expected one, None if the key is absent.
    """

    done: bool
    revision: int
    current: Item | None


class Event(t.NamedTuple):
    """A change reported by a watch; ``value`` is None if the key was deleted."""

    key: str
    value: bytes | None
    revision: int


Events: t.TypeAlias = list[Event]
"""Changes in order; an alias, since ``Store.list`` hides ``list`` in the class."""

ABSENT: t.Final = 0
"""The expected revision of a key that must not exist."""

NO_LEASE: t.Final = 0


class Store(abc.ABC):
    """A key-value store with compare-and-swap of single keys, leases and watches.

    Every call ends by its deadline (monotonic seconds, ``time.monotonic``).
    It raises ``errors.Error`` of kind STORE_DOWN if the call certainly had no
    effect, and of kind STORE_UNCERTAIN if it may have had one.
    """

    @abc.abstractmethod
    def get(self, key: str, deadline: float) -> Item | None:
        """Return the key's item, or None if the key is absent."""

    @abc.abstractmethod
    def list(self, prefix: str, deadline: float) -> Listing:
        """Return all items whose keys begin with the prefix, sorted by key."""

    @abc.abstractmethod
    def swap(
        self,
        key: str,
        value: bytes,
        expected: int,
        deadline: float,
        lease: int = NO_LEASE,
    ) -> Swap:
        """Write the key if its revision is the expected one (or ``ABSENT``)."""

    @abc.abstractmethod
    def delete(self, key: str, expected: int, deadline: float) -> Swap:
        """Delete the key if its revision is the expected one."""

    @abc.abstractmethod
    def grant(self, ttl_s: int, deadline: float) -> int:
        """Return the id of a new lease that lasts ``ttl_s`` seconds without renewal."""

    @abc.abstractmethod
    def renew(self, lease: int, deadline: float) -> bool:
        """Renew a lease and return True, or return False if it has expired."""

    @abc.abstractmethod
    def revoke(self, lease: int, deadline: float) -> None:
        """End a lease and delete its keys; does nothing if it has ended already."""

    @abc.abstractmethod
    def watch(self, prefix: str, after: int, deadline: float) -> cabc.Iterator[Events]:
        """Yield changes of keys with the prefix after a store revision, in order.

        Ends without an error at the deadline. Yields an empty list at least once a
        second while nothing changes, so that the caller can check its own state.
        Raises STORE_DOWN if the connection breaks or the revision is too old; the
        caller must then list the keys again.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Close the connections and end the watches; later calls raise STORE_DOWN."""


_FIRST_ATTEMPT_TIMEOUT_S: t.Final = 1.0
_FIRST_BACKOFF_S: t.Final = 0.05
_MAX_BACKOFF_S: t.Final = 1.0
_STORE_KINDS: t.Final = (errors.Kind.STORE_DOWN, errors.Kind.STORE_UNCERTAIN)


def swap_until_certain(
    store: Store,
    key: str,
    value: bytes,
    expected: int,
    deadline: float,
    lease: int = NO_LEASE,
) -> Swap:
    """Swap a key, and determine the outcome if the store's response is lost.

    The outcome is also "not done" if the write took effect and was replaced by
    another one before it could be read back. If ``expected`` is ``ABSENT`` and
    others may delete the key, a write that was deleted at once is repeated.

    Parameters
    ----------
    store : Store
        The store that holds the key.
    key : str
        The key to write.
    value : bytes
        Must identify this write, so that no other write has the same value.
    expected : int
        The revision to replace, or ``ABSENT``.
    deadline : float
        Monotonic seconds.
    lease : int, optional
        The lease to bind the key to.

    Returns
    -------
    Swap
        The outcome, which is certain.

    Raises
    ------
    errors.Error
        ``STORE_DOWN`` if the first attempt certainly had no effect;
        ``STORE_UNCERTAIN`` if the deadline passed with the outcome unknown.
    """
    try:
        first_deadline = min(deadline, time.monotonic() + _FIRST_ATTEMPT_TIMEOUT_S)
        return _accept_own_write(
            store.swap(key, value, expected, first_deadline, lease), value
        )
    except errors.Error as exc:
        if exc.kind is not errors.Kind.STORE_UNCERTAIN:
            raise
        uncertain = exc
    attempt_timeout_s = _FIRST_ATTEMPT_TIMEOUT_S
    backoff_s = _FIRST_BACKOFF_S
    while time.monotonic() < deadline:
        attempt_deadline = min(deadline, time.monotonic() + attempt_timeout_s)
        try:
            return _read_back(store, key, value, expected, attempt_deadline, lease)
        except errors.Error as exc:
            if exc.kind not in _STORE_KINDS:
                raise
        backoff_deadline = min(
            deadline, time.monotonic() + random.uniform(0, backoff_s)
        )
        time.sleep(max(0.0, backoff_deadline - time.monotonic()))
        # Each attempt has a longer timeout, in case the store is slow.
        attempt_timeout_s *= 2
        backoff_s = min(2 * backoff_s, _MAX_BACKOFF_S)
    raise uncertain


def _read_back(
    store: Store, key: str, value: bytes, expected: int, deadline: float, lease: int
) -> Swap:
    current = store.get(key, deadline)
    revision = ABSENT if current is None else current.revision
    if revision == expected:
        # The lost write may still arrive; at most one of the two takes effect.
        swap = store.swap(key, value, expected, deadline, lease)
    else:
        swap = Swap(done=False, revision=revision, current=current)
    return _accept_own_write(swap, value)


def _accept_own_write(swap: Swap, value: bytes) -> Swap:
    """Return the swap as done if the item found is its own earlier write."""
    if swap.done or swap.current is None or swap.current.value != value:
        return swap
    return Swap(done=True, revision=swap.current.revision, current=None)
