"""What the system asks of the platform's key-value service."""

import abc
import collections.abc as cabc
import typing as t


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
    def watch(
        self, prefix: str, after: int, deadline: float
    ) -> cabc.Iterator[list[Event]]:
        """Yield changes below the prefix after a store revision, in order.

        Ends quietly at the deadline. Yields an empty list now and then
        (at least each second) while nothing changes, so that the caller can
        look at its own state. Raises STORE_DOWN when the connection breaks or
        the revision is too old; the caller then lists afresh.
        """

    @abc.abstractmethod
    def close(self) -> None:
        """Close connections; a waiting watch ends."""
