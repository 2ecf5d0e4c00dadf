"""Ownership of one shard: a key under the entry's lease, and its fencing epoch."""

import secrets
import time
import typing as t

import logbook
import msgspec

from bilberrypass import errors
from bilberrypass.connection import store
from bilberrypass.membership import directory

_log = logbook.Logger("ownership")

_STORE_TIMEOUT_S: t.Final = 3.5
_VACANCY_GRACE_S: t.Final = 1.0
_MIN_TERM_S: t.Final = 1.0
_MIN_SUBSTITUTE_TERM_S: t.Final = 30.0


@t.final
class Ownership:
    """This entry's ownership of a shard, as the only writer of its value.

    The owner's key is attached to the entry's lease. Its revision is the epoch, which
    rises with each change of owner. ``owned_at`` is in monotonic seconds.

    Parameters
    ----------
    entry_directory : directory.Directory
        The shared keys, and the entry's lease.
    kind : str
        What the shard holds, such as ``jobs``.
    number : int
        Number of the shard.
    """

    def __init__(
        self, entry_directory: directory.Directory, kind: str, number: int
    ) -> None:
        self.kind = kind
        self.number = number
        self.epoch = 0
        self.owned_at = 0.0
        self._directory = entry_directory
        self._lease = store.NO_LEASE
        self._vacant_since: float | None = None
        self._term_deadline = 0.0

    @property
    def is_held(self) -> bool:
        """Whether this entry certainly owns the shard now."""
        lease = self._directory.lease
        if not self.epoch or lease == store.NO_LEASE or lease != self._lease:
            return False
        return self._directory.owner_epoch(self.kind, self.number) <= self.epoch

    @property
    def is_preferred(self) -> bool:
        """Whether this entry is the preferred owner of the shard."""
        return (
            self._directory.preferred_owner(self.kind, self.number)
            == self._directory.own_member.id
        )

    @property
    def is_due_to_move(self) -> bool:
        """Whether to release the shard so that the preferred member acquires it."""
        return time.monotonic() > self._term_deadline and not self.is_preferred

    def acquire(self) -> bool:
        """Try to acquire the shard, and return whether this entry owns it now.

        Another entry's shard is never acquired. A vacant one is left to the preferred
        member first.

        Raises
        ------
        errors.Error
            STORE_DOWN or STORE_UNCERTAIN.
        """
        if self.is_held:
            return True
        self.epoch = 0
        lease = self._directory.lease
        is_preferred = self.is_preferred
        if lease == store.NO_LEASE or not self._may_acquire(lease, is_preferred):
            return False
        # A key left over from this entry's earlier ownership is replaced, so that a
        # delayed delete of it fails its revision check.
        expected = self._directory.owner_epoch(self.kind, self.number)
        own_member = self._directory.own_member
        owner = directory.Owner(
            self.kind,
            self.number,
            own_member.id,
            own_member.peers,
            0,
            lease,
            secrets.token_hex(8),
        )
        swap = store.swap_until_certain(
            self._directory.kv,
            self._directory.owner_key(self.kind, self.number),
            msgspec.json.encode(owner),
            expected,
            time.monotonic() + _STORE_TIMEOUT_S,
            lease,
        )
        if not swap.done:
            return False
        self._set_owned(lease, swap.revision, is_preferred)
        return True

    def _may_acquire(self, lease: int, is_preferred: bool) -> bool:
        """Return whether to try; uses only the directory, since a try costs a write."""
        now = time.monotonic()
        owner = self._directory.owner(self.kind, self.number)
        if owner is not None:
            self._vacant_since = None
            return owner.lease == lease
        if self._vacant_since is None:
            self._vacant_since = now
        return is_preferred or now > self._vacant_since + _VACANCY_GRACE_S

    def _set_owned(self, lease: int, epoch: int, is_preferred: bool) -> None:
        self._lease = lease
        self._vacant_since = None
        self.owned_at = time.monotonic()
        term_s = _MIN_TERM_S if is_preferred else _MIN_SUBSTITUTE_TERM_S
        self._term_deadline = self.owned_at + term_s
        self.epoch = epoch
        _log.info(
            "ownership: {} shard {} acquired with epoch {}",
            self.kind,
            self.number,
            epoch,
        )

    def release(self) -> None:
        """Release the shard, so that another member can acquire it at once."""
        epoch, self.epoch = self.epoch, 0
        if not epoch:
            return
        key = self._directory.owner_key(self.kind, self.number)
        try:
            self._directory.kv.delete(key, epoch, time.monotonic() + _STORE_TIMEOUT_S)
        except errors.Error as exc:
            _log.warning(
                "ownership: key {} not deleted on release: {}", key, exc.detail
            )
            return
        _log.info("ownership: {} shard {} released", self.kind, self.number)

    def mark_lost(self) -> None:
        """Record that another entry owns the shard."""
        self.epoch = 0
