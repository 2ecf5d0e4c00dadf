"""Interface of the linearizable key-value store that the scheduler uses."""

import abc
import collections.abc as cabc
import typing as t

from bilberrypass import errors

MAX_COMMIT_ENTRIES: t.Final = 32  # of one transaction, as stores allow
DEFAULT_MAX_VALUE_BYTES: t.Final = 1 << 20


class Item(t.NamedTuple):
    """A key with its value, the revision of its last change, and its lease or 0."""

    key: str
    value: bytes
    revision: int
    lease: int = 0


class Lookup(t.NamedTuple):
    """A key at a revision of the store; ``item`` is None if the key did not exist."""

    item: Item | None
    revision: int


class Change(t.NamedTuple):
    """A change of a key; ``value`` is None where the key was removed."""

    key: str
    value: bytes | None
    revision: int


class Listing(t.NamedTuple):
    """The keys under a prefix, and the revision after which to watch them."""

    items: list[Item]
    revision: int


class WatchBatch(t.NamedTuple):
    """Changes under a prefix, and the revision after which to continue watching."""

    changes: list[Change]
    revision: int


class Put(t.NamedTuple):
    """A value to write, attached to ``lease`` unless that is 0."""

    key: str
    value: bytes
    lease: int = 0


class Lease(t.NamedTuple):
    """A lease of the store; each renewal extends it to ``ttl_s`` seconds."""

    id: int
    ttl_s: float


class HistoryLost(errors.Error):
    """The store no longer holds the changes after a revision; list the keys again."""

    def __init__(self, prefix: str) -> None:
        super().__init__(
            errors.Kind.STALE,
            f"the change history of {prefix} is no longer stored; list it again",
        )


class LeaseLost(errors.Error):
    """A lease has expired or was revoked."""

    def __init__(self, id: int) -> None:
        super().__init__(errors.Kind.STALE, f"lease {id} has ended; request a new one")


class Rejected(errors.Error):
    """The store refused a call for good; it had no effect, and a retry has none."""

    def __init__(self, why: str) -> None:
        super().__init__(errors.Kind.STORE_REJECTED, why)


class PreconditionFailed(errors.Error):
    """A commit changed nothing, because a key was at another revision.

    Parameters
    ----------
    items : list of Item
        Current state of the keys with a precondition, without missing ones.
    """

    def __init__(self, items: list[Item]) -> None:
        super().__init__(
            errors.Kind.CONFLICT, "precondition failed: a key is at another revision"
        )
        self.items = {item.key: item for item in items}


class Store(abc.ABC):
    """A key-value store with transactions, leases and watches.

    Every method raises ``errors.Error`` with STORE_DOWN if the call certainly had
    no effect, and with STORE_UNCERTAIN if it may still take effect. Deadlines are
    on ``clock.now``. ``max_value_bytes`` is the limit of one value.
    """

    max_value_bytes: int = DEFAULT_MAX_VALUE_BYTES

    @abc.abstractmethod
    def get(self, key: str, deadline: float) -> Lookup:
        """Return a key's current state, and the revision after which to watch it."""

    @abc.abstractmethod
    def list(self, prefix: str, deadline: float) -> Listing:
        """Return all keys under a prefix, read page by page."""

    @abc.abstractmethod
    def watch(self, prefix: str, after: int, wait_s: float) -> WatchBatch:
        """Return changes after a revision, waiting up to ``wait_s`` for the first.

        Raises
        ------
        HistoryLost
            The store no longer holds the changes after that revision.
        """

    @abc.abstractmethod
    def commit(
        self,
        expected: cabc.Mapping[str, int],
        puts: cabc.Sequence[Put],
        deadline: float,
        removed: cabc.Sequence[str] = (),
    ) -> int:
        """Write and remove keys in one transaction, and return its revision.

        Parameters
        ----------
        expected : mapping of str to int
            The revision that each key must have; 0 if it must not exist.
        puts : sequence of Put
            Values to write.
        deadline : float
            On ``clock.now``.
        removed : sequence of str
            Keys to remove; those that do not exist are ignored.

        Raises
        ------
        PreconditionFailed
            A key was at another revision, so nothing was changed.
        LeaseLost
            A lease in ``puts`` has ended, so nothing was changed.
        Rejected
            The store will never accept the commit; nothing was changed.
        """

    @abc.abstractmethod
    def grant(self, ttl_s: float, deadline: float) -> Lease:
        """Return a new lease that lasts ``ttl_s`` seconds unless renewed."""

    @abc.abstractmethod
    def renew(self, lease: int, deadline: float) -> None:
        """Renew a lease; raise ``LeaseLost`` if it has ended."""

    @abc.abstractmethod
    def revoke(self, lease: int, deadline: float) -> None:
        """Revoke a lease and remove the keys attached to it."""
