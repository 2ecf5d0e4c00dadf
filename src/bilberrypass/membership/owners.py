"""Connections to the other entries that own shards."""

import threading
import typing as t

from bilberrypass import errors
from bilberrypass.connection import channels
from bilberrypass.membership import directory

_RETRY_AFTER_S: t.Final = 1.0


@t.final
class OwnerConnections:
    """Connections to the entries that own the shards of one kind.

    Parameters
    ----------
    entry_directory : directory.Directory
        Looks up the owners.
    kind : str
        What the shards hold, such as ``jobs``.
    """

    def __init__(self, entry_directory: directory.Directory, kind: str) -> None:
        self._directory = entry_directory
        self._kind = kind
        self._lock = threading.Lock()
        self._peers: dict[str, channels.Peer] = {}

    def get_connection(self, shard: int) -> channels.Peer:
        """Return the connection to the other entry that owns a shard.

        Raises
        ------
        errors.Refused
            NOT_READY if no owner is known, or if the owner is this entry.
        """
        owner = self._directory.owner(self._kind, shard)
        if owner is None or owner.entry == self._directory.own_member.id:
            raise errors.Refused(
                errors.Kind.NOT_READY,
                f"{self._kind} shard {shard} has no owner at the moment; retry later",
                retry_after_s=_RETRY_AFTER_S,
            )
        with self._lock:
            if owner.peers not in self._peers:
                self._peers[owner.peers] = channels.Peer(owner.peers)
            return self._peers[owner.peers]
