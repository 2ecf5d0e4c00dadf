"""What the scheduler needs of a linearizable key-value store."""

import abc
import collections.abc as cabc
import typing as t

from bilberrypass import errors

MAX_COMMIT_ENTRIES: t.Final = 32  # PROTOCOL.md: entries of one transaction


class Item(t.NamedTuple):
    """A key with its value and the revision of its last change."""

    key: str
    value: bytes
    revision: int


class Found(t.NamedTuple):
    """A key as it was at a revision of the store; None if it did not exist."""

    item: Item | None
    revision: int


class Change(t.NamedTuple):
    """A change of a key; ``value`` is None where the key was removed."""

    key: str
    value: bytes | None
    revision: int


class Listing(t.NamedTuple):
    """The keys below a prefix, and a revision from which to watch them."""

    items: list[Item]
    revision: int


class Watched(t.NamedTuple):
    """Changes below a prefix, and the revision from which to watch on."""

    changes: list[Change]
    revision: int


class Put(t.NamedTuple):
    """A value to write, attached to a lease unless that is 0."""

    key: str
    value: bytes
    lease: int = 0


class Lease(t.NamedTuple):
    """A lease of the store and the time that each renewal adds, in seconds."""

    id: int
    ttl_s: float


class HistoryLost(errors.Error):
    """The store no longer has the changes since a revision: list again."""

    def __init__(self, prefix: str) -> None:
        super().__init__(
            errors.Kind.STALE, f"the history of {prefix} is gone; list it again"
        )


class LeaseLost(errors.Error):
    """The store has ended a lease."""

    def __init__(self, id: int) -> None:
        super().__init__(errors.Kind.STALE, f"lease {id} has ended; take a new one")


class PreconditionFailed(errors.Error):
    """A commit changed nothing, since a key was at another revision.

    Parameters
    ----------
    items : list of Item
        The keys that exist, as they are now.
    """

    def __init__(self, items: list[Item]) -> None:
        super().__init__(errors.Kind.CONFLICT, "a key is at another revision")
        self.items = {item.key: item for item in items}


class Store(abc.ABC):
    """A key-value store with transactions, leases and watches.

    Every method raises ``errors.Error`` with STORE_DOWN if the call certainly
    changed nothing, and STORE_UNCERTAIN if it may still take effect.
    """

    @abc.abstractmethod
    def get(self, key: str, deadline: float) -> Found:
        """Return a key as it is now, and a revision from which to watch it."""

    @abc.abstractmethod
    def list(self, prefix: str, deadline: float) -> Listing:
        """Return all keys below a prefix, page by page."""

    @abc.abstractmethod
    def watch(self, prefix: str, after: int, wait_s: float) -> Watched:
        """Wait for changes after a revision; ``HistoryLost`` if it is too old."""

    @abc.abstractmethod
    def commit(
        self,
        expected: cabc.Mapping[str, int],
        puts: cabc.Sequence[Put],
        deadline: float,
        removed: cabc.Sequence[str] = (),
    ) -> int:
        """Write and remove all or nothing, and return the revision.

        Parameters
        ----------
        expected : mapping of str to int
            The revision that each key must have; 0 means that it does not exist.
        puts : sequence of Put
            Values to write.
        deadline : float
            On ``clock.now``.
        removed : sequence of str
            Keys to remove; those that do not exist are left out.

        Raises
        ------
        PreconditionFailed
            A key was at another revision.
        LeaseLost
            A lease named in ``puts`` has ended.
        """

    @abc.abstractmethod
    def grant(self, ttl_s: float, deadline: float) -> Lease:
        """Take a lease."""

    @abc.abstractmethod
    def renew(self, lease: int, deadline: float) -> None:
        """Renew a lease; ``LeaseLost`` if it has ended."""

    @abc.abstractmethod
    def revoke(self, lease: int, deadline: float) -> None:
        """End a lease and remove its keys."""
