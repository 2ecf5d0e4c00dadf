"""What the system asks of the platform's key-value service."""

import abc
import collections.abc as cabc
import random
import time
import typing as t

from bilberrypass import errors


class Item(t.NamedTuple):
    """A key's value and the store's revision that last changed it."""

    key: str
    value: bytes
    revision: int


class Listing(t.NamedTuple):
    """All items below a prefix, as of one store revision."""

    items: list[Item]
    revision: int


class Swap(t.NamedTuple):
    """The outcome of a compare-and-swap.

    ``revision`` is that of the write if ``done``; otherwise ``current`` is what
    stood in its way, None if the key is absent.
    """

    done: bool
    revision: int
    current: Item | None


class Event(t.NamedTuple):
    """A change seen by a watch; ``value`` is None where the key went away."""

    key: str
    value: bytes | None
    revision: int


Events: t.TypeAlias = list[Event]
"""Changes in order. Named here, as ``Store.list`` hides the type in the class."""

ABSENT: t.Final = 0
"""The revision to compare with where a key must not exist yet."""

NO_LEASE: t.Final = 0


class Store(abc.ABC):
    """Compare-and-swap of one key, leases and watches.

    Every call ends by its deadline (monotonic seconds, ``time.monotonic``).
    It raises ``errors.Error`` of kind STORE_DOWN where the call certainly had no
    effect, and of kind STORE_UNCERTAIN where it may have had one.
    """

    @abc.abstractmethod
    def get(self, key: str, deadline: float) -> Item | None:
        """Return the key's item, or None."""

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
        """Return a new lease that lapses after ``ttl_s`` seconds without renewal."""

    @abc.abstractmethod
    def renew(self, lease: int, deadline: float) -> bool:
        """Renew a lease; False if it has lapsed."""

    @abc.abstractmethod
    def revoke(self, lease: int, deadline: float) -> None:
        """End a lease; its keys go away."""

    @abc.abstractmethod
    def watch(self, prefix: str, after: int, deadline: float) -> cabc.Iterator[Events]:
        """Yield changes below the prefix after a store revision, in order.

        Ends quietly at the deadline. Yields an empty list now and then
        (at least each second) while nothing changes, so that the caller can
        look at its own state. Raises STORE_DOWN when the connection breaks or
        the revision is too old; the caller then lists afresh.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Close connections; a waiting watch ends."""


_FIRST_ATTEMPT_S: t.Final = 1.0
_FIRST_PAUSE_S: t.Final = 0.05
_LONGEST_PAUSE_S: t.Final = 1.0
_STORE_KINDS: t.Final = (errors.Kind.STORE_DOWN, errors.Kind.STORE_UNCERTAIN)


def settle_swap(
    store: Store,
    key: str,
    value: bytes,
    expected: int,
    deadline: float,
    lease: int = NO_LEASE,
) -> Swap:
    """Swap a key, and find out the outcome where the store's answer is lost.

    The outcome is "not done" too where the write took effect and somebody
    replaced it before it could be read back. Where ``expected`` is ``ABSENT``
    and others may delete the key, a write that was deleted at once is repeated.

    Parameters
    ----------
    store : Store
        Where the key is.
    key : str
        The key to write.
    value : bytes
        Carries an identity of this write, so that no other write is equal to it.
    expected : int
        The revision to replace, or ``ABSENT``.
    deadline : float
        Monotonic seconds.
    lease : int, optional
        The lease to bind the key to.

    Returns
    -------
    Swap
        The certain outcome.

    Raises
    ------
    errors.Error
        ``STORE_DOWN`` if the first attempt certainly had no effect;
        ``STORE_UNCERTAIN`` if the deadline passed with the outcome unknown.
    """
    try:
        first_deadline = min(deadline, time.monotonic() + _FIRST_ATTEMPT_S)
        return _recognise(
            store.swap(key, value, expected, first_deadline, lease), value
        )
    except errors.Error as exc:
        if exc.kind is not errors.Kind.STORE_UNCERTAIN:
            raise
        uncertain = exc
    attempt_s = _FIRST_ATTEMPT_S
    pause_s = _FIRST_PAUSE_S
    while time.monotonic() < deadline:
        attempt_deadline = min(deadline, time.monotonic() + attempt_s)
        try:
            return _read_back(store, key, value, expected, attempt_deadline, lease)
        except errors.Error as exc:
            if exc.kind not in _STORE_KINDS:
                raise
        pause_deadline = min(deadline, time.monotonic() + random.uniform(0, pause_s))
        time.sleep(max(0.0, pause_deadline - time.monotonic()))
        # A slow store is given more time with each attempt.
        attempt_s *= 2
        pause_s = min(2 * pause_s, _LONGEST_PAUSE_S)
    raise uncertain


def _read_back(
    store: Store, key: str, value: bytes, expected: int, deadline: float, lease: int
) -> Swap:
    current = store.get(key, deadline)
    revision = ABSENT if current is None else current.revision
    if revision == expected:
        # The lost write may still arrive; the two exclude each other.
        swap = store.swap(key, value, expected, deadline, lease)
    else:
        swap = Swap(done=False, revision=revision, current=current)
    return _recognise(swap, value)


def _recognise(swap: Swap, value: bytes) -> Swap:
    """Turn a swap that its own earlier write stood in the way of into a done one."""
    if swap.done or swap.current is None or swap.current.value != value:
        return swap
    return Swap(done=True, revision=swap.current.revision, current=None)
