"""The ownership of one shard: a key under the entry's lease, and its epoch."""

import time
import typing as t

import logbook
import msgspec

from bilberrypass.connection import store
from bilberrypass.process import directory

_log = logbook.Logger("ownership")

_CALL_S: t.Final = 2.0


@t.final
class Ownership:
    """This entry's claim to be the only writer of a shard's pages.

    Parameters
    ----------
    names : directory.Directory
        The shared keys, and the entry's lease.
    kind : str
        What the shard holds, such as ``jobs``.
    number : int
        The shard.
    """

    def __init__(self, names: directory.Directory, kind: str, number: int) -> None:
        self.kind = kind
        self.number = number
        self.epoch = 0
        self.owned_at = 0.0
        self._names = names
        self._lease = store.NO_LEASE

    @property
    def is_held(self) -> bool:
        """Tell whether this entry owns the shard for certain now."""
        lease = self._names.lease
        return self.epoch > 0 and lease != store.NO_LEASE and lease == self._lease

    def acquire(self) -> bool:
        """Take the shard if nobody owns it.

        Raises
        ------
        errors.Error
            STORE_DOWN or STORE_UNCERTAIN.
        """
        if self.is_held:
            return True
        self.epoch = 0
        lease = self._names.lease
        if lease == store.NO_LEASE:
            return False
        me = self._names.me
        value = msgspec.json.encode(
            directory.Owner(self.kind, self.number, me.id, me.peers, lease)
        )
        swap = store.settle_swap(
            self._names.kv,
            self._names.owner_key(self.kind, self.number),
            value,
            store.ABSENT,
            time.monotonic() + _CALL_S,
            lease,
        )
        if not swap.done:
            return False
        self._lease = lease
        self.owned_at = time.monotonic()
        self.epoch = swap.revision
        _log.info(
            "ownership: {} {} owned, epoch {}", self.kind, self.number, self.epoch
        )
        return True

    def lose(self) -> None:
        """Note that another entry owns the shard."""
        self.epoch = 0
